//! One small test for each failure that was found; the decisions, not mere survival.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::{Proxy, entry, list, moved, note_timers, refused, request, sent, settings};
use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestClass, RequestId, ServerEntry, ServerId, ServerState, Settings,
};

fn proxies(n: u64, servers: u64, set: impl Fn() -> Settings) -> Vec<Proxy> {
    (0..n)
        .map(|me| Proxy::new(Settings { instance_index: me, instance_count: n as f64, ..set() }, servers))
        .collect()
}

fn grouped(id: u32, group: u64) -> Request {
    Request { group, ..request(id, 100.0) }
}

fn slow(p: &mut Proxy, server: ServerId, delay: f64) -> Vec<Action> {
    p.give(Event::MessageDelay { server, delay })
}

#[test]
fn a_returning_client_goes_to_its_reserved_server() {
    let mut p = Proxy::new(settings(), 30);
    let at = p.connect(request(1, 100.0)).unwrap();
    for id in 2..20 {
        p.connect(request(id, 100.0));
    }
    p.end(1, at, 0, Outcome::Ok);
    // Others fill the place up, so that nothing but the reservation speaks for it.
    for id in 100..190 {
        p.connect(request(id, 100.0));
    }
    p.now += 0.9;
    assert_eq!(p.connect(Request { key: 1001, ..request(50, 100.9) }), Some(at));
    let fresh = (300..330).filter(|id| p.connect(request(*id, 100.9)) == Some(at)).count();
    assert!(fresh < 10, "others do not crowd there");
}

#[test]
fn an_unknown_client_goes_to_the_lowest_usage_for_its_have() {
    let mut p = Proxy::new(settings(), 2);
    p.give(list(&[entry(1), ServerEntry { weight: 6.0, ..entry(2) }]));
    let mut count = BTreeMap::new();
    for id in 0..40 {
        *count.entry(p.connect(request(id, 100.0)).unwrap()).or_insert(0) += 1;
    }
    assert_eq!(count[&ServerId(2)], 3 * count[&ServerId(1)], "a third of the size, a third of the clients");
}

#[test]
fn proxies_do_not_all_start_with_the_same_server() {
    let firsts: Vec<_> =
        proxies(60, 30, settings).iter_mut().map(|p| p.connect(request(1, 100.0)).unwrap()).collect();
    let mut count = BTreeMap::new();
    firsts.iter().for_each(|s| *count.entry(s).or_insert(0) += 1);
    assert!(count.values().max().unwrap() <= &9, "{count:?}");
}

#[test]
fn a_group_lands_on_few_servers_without_proxies_talking() {
    let mut on = BTreeSet::new();
    for p in &mut proxies(100, 80, settings) {
        for id in 0..9 {
            p.connect(grouped(id, 500 + u64::from(id)));
        }
        on.insert(p.connect(grouped(20, 77)).unwrap());
    }
    assert!(on.len() <= 6, "a hundred clients of a small group on {} servers", on.len());
}

#[test]
fn a_proxy_places_a_group_where_it_already_holds_some_of_it() {
    for at in 1..=30 {
        let mut p = Proxy::new(settings(), 30);
        p.give(Event::ConnectionRestored(grouped(1, 77), ServerId(at)));
        assert_eq!(p.connect(grouped(2, 77)), Some(ServerId(at)), "that server has paid for the group");
        slow(&mut p, ServerId(at), 1.0);
        p.now += 1.0;
        let late = Request { deadline: 103.0, ..grouped(3, 77) };
        assert_ne!(p.connect(late), Some(ServerId(at)), "but not while it is spent");
    }
}

#[test]
fn a_hot_group_gets_a_pool_of_its_share() {
    let mut on = BTreeSet::new();
    for p in &mut proxies(40, 60, settings) {
        for id in 0..20 {
            on.insert(p.connect(grouped(id, if id % 2 == 0 { 77 } else { 1000 + u64::from(id) })));
        }
    }
    assert!(on.len() > 20, "{}", on.len());
}

#[test]
fn a_spent_pool_refuses_rather_than_scatters() {
    let mut p = Proxy::new(settings(), 40);
    let mut placed = BTreeSet::new();
    for id in 0..200 {
        let out = p.arrive(grouped(id, 77));
        if let Some(server) = sent(&out) {
            p.give(Event::Established { request: RequestId(id), attempt: 0 });
            p.end(id, server, 0, Outcome::Reset);
            placed.insert(server);
        }
        // Other groups keep the share of this one small.
        for other in 0..4 {
            let r = grouped(10_000 + id * 10 + other, 9000 + u64::from(id * 10 + other));
            p.connect(r);
            p.give(Event::ClientLeft(r.id));
        }
    }
    assert!(placed.len() < 30, "a fifth of the traffic shed everywhere went to {} of 40", placed.len());
}

#[test]
fn a_few_slow_servers_do_not_shut_their_groups_out() {
    let mut p = Proxy::new(settings(), 10);
    // The two servers that a small group may go to turn slow for a moment, while eight have room.
    (100..160).for_each(|id| assert!(p.connect(request(id, 100.0)).is_some()));
    for id in 1..3 {
        let at = p.connect(grouped(id, 77)).expect("placed");
        slow(&mut p, at, 0.05);
        slow(&mut p, at, 0.001);
    }
    let third = p.connect(grouped(3, 77)).expect("the next rank takes it");
    assert_eq!(p.connect(grouped(4, 77)), Some(third), "and the group stays together there");
}

#[test]
fn a_shed_client_does_not_go_back_to_a_server_that_sheds() {
    let mut p = Proxy::new(settings(), 3);
    let at = p.connect(request(1, 100.0)).unwrap();
    // Others stay there, so the server lives.
    let there: Vec<u32> = (2..15).filter(|id| p.connect(request(*id, 100.0)) == Some(at)).collect();
    assert!(there.len() > 2);
    p.end_as(there[0], at, 0, Outcome::Reset, true);
    p.end_as(1, at, 0, Outcome::Reset, true);
    p.now += 0.5;
    assert_ne!(p.connect(Request { key: 1001, is_returning: true, ..request(50, 100.5) }), Some(at));
}

#[test]
fn connections_that_break_one_by_one_are_no_servers_fault() {
    let mut p = Proxy::new(settings(), 3);
    let mut timers = vec![(101.0, 1 << 40)];
    let on: Vec<ServerId> = (0..30).map(|id| p.connect(request(id, 100.0)).unwrap()).collect();
    for id in 0..9 {
        p.pass(&mut timers, 101.0 + f64::from(id));
        p.end_as(id, on[id as usize], 0, Outcome::Reset, true);
        let again = Request { key: 1000 + u64::from(id), is_returning: true, ..request(100 + id, p.now) };
        assert_eq!(p.connect(again), Some(on[id as usize]), "a sound server takes its client back");
    }
}

#[test]
fn a_growing_pile_makes_clients_leave_and_a_draining_one_does_not() {
    let mut p = Proxy::new(settings(), 1);
    for id in 0..40 {
        p.connect(request(id, 100.0));
    }
    slow(&mut p, ServerId(1), 0.06);
    p.now += 1.0;
    assert!(moved(&slow(&mut p, ServerId(1), 0.5)) >= 8, "half a second of work a second is too much");
    p.now += 1.0;
    assert_eq!(moved(&slow(&mut p, ServerId(1), 0.1)), 0, "the pile drains by itself");
}

#[test]
fn those_whose_class_is_hurt_leave_first() {
    let mut set = settings();
    let patient = RequestClass { message_latency_objective: 5.0, ..set.classes[0].clone() };
    set.classes.push(patient);
    let mut p = Proxy::new(set, 1);
    for id in 0..40 {
        p.connect(Request { class: id as usize % 2, ..request(id, 100.0) });
    }
    let out = slow(&mut p, ServerId(1), 0.3);
    assert!(moved(&out) > 3);
    assert!(
        !out.iter().any(|a| matches!(a, Action::Migrate(r) if r.0 % 2 == 1)),
        "the patient stay: {out:?}"
    );
}

#[test]
fn fast_messages_move_nobody() {
    let mut p = Proxy::new(settings(), 1);
    for id in 0..40 {
        p.connect(request(id, 100.0));
    }
    assert_eq!(moved(&slow(&mut p, ServerId(1), 0.04)), 0);
}

#[test]
fn a_failed_connect_locks_until_a_single_trial_succeeds() {
    let mut p = Proxy::new(settings(), 2);
    let at = sent(&p.arrive(request(1, 100.0))).unwrap();
    p.end(1, at, 0, Outcome::ConnectFailed);
    for id in 2..8 {
        assert_ne!(p.connect(request(id, 100.0)), Some(at), "locked");
    }
    p.now = 102.0;
    let tried: Vec<u32> = (20..30).filter(|id| sent(&p.arrive(request(*id, 102.0))) == Some(at)).collect();
    assert_eq!(tried.len(), 1, "one trial, however many clients come");
    p.give(Event::Established { request: RequestId(tried[0]), attempt: 0 });
    let again = (40..50).filter(|id| sent(&p.arrive(request(*id, 102.0))) == Some(at)).count();
    assert!(again > 1, "unlocked by the trial");
}

#[test]
fn where_probes_are_allowed_a_probe_unlocks() {
    let mut p = Proxy::new(Settings { may_probe: true, ..settings() }, 2);
    let mut timers = vec![(100.5, 1 << 40)];
    let at = sent(&p.arrive(request(1, 100.0))).unwrap();
    p.end(1, at, 0, Outcome::ConnectFailed);
    let out = p.pass(&mut timers, 103.0);
    assert!(out.contains(&Action::Probe(at)));
    assert_ne!(p.connect(request(5, 103.0)), Some(at), "no client is the trial");
    p.give(Event::ProbeEnded { server: at, outcome: Outcome::Ok, load_ratio: None });
    assert!((6..16).any(|id| p.connect(request(id, 103.0)) == Some(at)));
}

#[test]
fn with_all_servers_locked_trials_still_go_out() {
    let mut p = Proxy::new(settings(), 3);
    let mut server = sent(&p.arrive(request(1, 100.0)));
    let mut attempt = 0;
    while let Some(s) = server {
        server = sent(&p.end(1, s, attempt, Outcome::ConnectFailed));
        attempt += 1;
    }
    p.now = 103.0;
    assert!(p.connect(request(9, 103.0)).is_some(), "a cut link must not lock everything for good");
}

#[test]
fn failing_set_ups_slow_the_sending_and_good_ones_free_it() {
    let mut p = Proxy::new(settings(), 20);
    let mut sends = 0;
    for id in 0..60 {
        p.now += 0.02;
        if let Some(s) = sent(&p.arrive(request(id, p.now))) {
            sends += 1;
            p.end_as(id, s, 0, Outcome::Rejected, true);
        }
    }
    assert!(sends < 50, "{sends} of 60 went into servers that turn clients away");
    for id in 100..400 {
        p.now += 0.5;
        p.connect(request(id, p.now));
    }
    let free = (500..520).filter(|id| sent(&p.arrive(request(*id, p.now))).is_some()).count();
    assert_eq!(free, 20);
}

#[test]
fn errors_at_one_server_hold_nobody_back_who_can_go_elsewhere() {
    let mut p = Proxy::new(settings(), 4);
    // A burst before the first error must not count against those who come after it.
    for id in 0..60 {
        p.connect(request(id, 100.0)).expect("placed at once");
    }
    let mut errors = 0;
    for id in 100..160 {
        p.now += 0.25;
        let mut at = sent(&p.arrive(request(id, p.now)));
        let mut attempt = 0;
        while at == Some(ServerId(1)) {
            errors += 1;
            at = sent(&p.end(id, ServerId(1), attempt, Outcome::Error));
            attempt += 1;
        }
        assert!(at.is_some(), "client {id} waits although three servers are sound");
        p.give(Event::Established { request: RequestId(id), attempt });
    }
    assert!(errors > 0, "the server was never asked");
}

/// How many of forty clients land on the first of two servers.
fn on_the_first(p: &mut Proxy) -> usize {
    (1000..1040).filter(|id| p.connect(request(*id, p.now)) == Some(ServerId(1))).count()
}

#[test]
fn a_request_that_fails_everywhere_is_no_servers_fault() {
    let mut p = Proxy::new(settings(), 2);
    for id in 0..9 {
        // Bad at both servers, or gone after the first: neither has served what the other could not.
        let mut at = sent(&p.arrive(request(id, 100.0)));
        let mut attempt = 0;
        while let Some(s) = at.filter(|s| *s == ServerId(1) || id % 2 == 0) {
            at = sent(&p.end(id, s, attempt, Outcome::Error));
            attempt += 1;
        }
        p.give(Event::ClientLeft(RequestId(id)));
        if let Some(s) = at {
            p.end_as(id, s, attempt, Outcome::Cancelled, true);
        }
    }
    assert_eq!(on_the_first(&mut p), 20);
}

#[test]
fn an_error_counts_against_a_server_once_another_one_serves_the_same_request() {
    let mut p = Proxy::new(settings(), 2);
    let mut errors = 0;
    for id in 0..9 {
        let mut attempt = 0;
        if sent(&p.arrive(request(id, 100.0))) == Some(ServerId(1)) {
            p.end(id, ServerId(1), 0, Outcome::Error);
            (errors, attempt) = (errors + 1, 1);
        }
        p.give(Event::Established { request: RequestId(id), attempt });
        p.end_as(id, ServerId(2), attempt, Outcome::Cancelled, true);
    }
    assert!(errors > 0 && on_the_first(&mut p) < 15);
}

#[test]
fn a_client_that_leaves_no_time_says_nothing_of_its_server() {
    for outcome in [Outcome::TimedOut, Outcome::Rejected] {
        let mut p = Proxy::new(settings(), 2);
        for id in 0..9 {
            let hasty = Request { deadline: 100.1, ..request(id, 100.0) };
            let mut at = sent(&p.arrive(hasty));
            let mut attempt = 0;
            while let Some(s) = at {
                at = sent(&p.end(id, s, attempt, outcome));
                attempt += 1;
            }
        }
        assert_eq!(on_the_first(&mut p), 20, "{outcome:?}");
    }
}

/// All servers bear so much, where a connection loads 0.1.
fn bears(p: &mut Proxy, load: f64) {
    p.give(Event::MeanLoadEstimated(0.1));
    for id in 1..=2 {
        p.give(Event::CapacityEstimated { server: ServerId(id), load, setup_rate: 1.0 });
    }
}

#[test]
fn a_server_gets_no_more_than_it_bears_and_who_finds_no_room_is_told_at_once() {
    let mut p = Proxy::new(settings(), 2);
    bears(&mut p, 1.0);
    let (mut stands, mut refusals) = (0, 0);
    for id in 0..40 {
        let out = p.arrive(request(id, 100.0));
        match sent(&out) {
            Some(_) => {
                p.give(Event::Established { request: RequestId(id), attempt: 0 });
                stands += 1;
            }
            None => {
                let told = |a: &Action| matches!(a, Action::Reject { retry_after, .. } if *retry_after > 0.0);
                assert!(
                    out.iter().any(told),
                    "no room is told in the same turn, with a time to come back: {out:?}"
                );
                refusals += 1;
            }
        }
    }
    // 0.1 of its own and 0.01 for being held, each.
    assert_eq!((stands, refusals), (18, 22));
    bears(&mut p, 1.12);
    assert!(sent(&p.arrive(request(99, 100.0))).is_some(), "room is used as soon as it is there");
}

#[test]
fn who_waits_for_hands_is_placed_within_its_aim_or_told() {
    let mut p = Proxy::new(settings(), 2);
    bears(&mut p, 20.0);
    let mut timers = Vec::new();
    let mut out_there = Vec::new();
    // Set-ups are in hand at both servers, which bear far more: room comes within moments.
    let waits = (0..).find(|id| {
        let out = p.arrive(request(*id, 100.0));
        note_timers(&out, p.now, &mut timers);
        out_there.extend(sent(&out).map(|server| (*id, server)));
        assert!(!refused(&out) || *id > 8, "a server that has only its hands full is waited for: {out:?}");
        sent(&out).is_none()
    });
    let waits = waits.expect("hands are full at last");
    p.give(Event::Established { request: RequestId(out_there[0].0), attempt: 0 });
    let out = p.pass(&mut timers, 100.2);
    let placed = |a: &Action| matches!(a, Action::BeginAttempt { request, .. } if request.0 == waits);
    assert!(out.iter().any(placed), "it is placed as soon as a hand is free: {out:?}");
    let late = p.arrive(request(900, 100.2));
    note_timers(&late, p.now, &mut timers);
    assert!(sent(&late).is_none() && !refused(&late), "hands are full again");
    // The aim is 0.5 s: nobody waits for longer, though its time has not run out.
    let out = p.pass(&mut timers, 100.8);
    assert!(out.iter().any(|a| matches!(a, Action::Reject { request, .. } if request.0 == 900)), "{out:?}");
}

#[test]
fn what_was_never_told_counts_with_the_mean() {
    let mut p = Proxy::new(settings(), 1);
    for id in 0..5 {
        p.connect(request(id, 100.0));
    }
    p.give(Event::LoadChanged { request: RequestId(0), load: 0.3 });
    p.give(Event::MeanLoadEstimated(0.1));
    let placed = p.module.assigned_load(ServerId(1));
    assert!((placed - (0.3 + 4.0 * 0.1 + 5.0 * 0.01)).abs() < 1e-9, "{placed}");
}

#[test]
fn clients_leave_a_draining_server_before_it_stops() {
    let mut p = Proxy::new(settings(), 2);
    let n = (0..20).filter(|id| p.connect(request(*id, 100.0)) == Some(ServerId(1))).count();
    let frozen = ServerEntry { state: ServerState::Draining, ..entry(1) };
    let out =
        p.give(Event::EndpointList { is_complete: false, is_cached: false, entries: vec![frozen].into() });
    assert_eq!(moved(&out), n);
}

#[test]
fn a_restarted_server_starts_without_its_old_record() {
    let mut p = Proxy::new(settings(), 2);
    let at = sent(&p.arrive(request(1, 100.0))).unwrap();
    p.end(1, at, 0, Outcome::ConnectFailed);
    let reborn = ServerEntry { started_at: 50.0, ..entry(at.0) };
    p.give(Event::EndpointList { is_complete: false, is_cached: false, entries: vec![reborn].into() });
    assert!((2..10).any(|id| p.connect(request(id, 100.0)) == Some(at)), "unlocked by its restart");
}

#[test]
fn where_crossing_costs_the_own_zone_comes_first() {
    let set = || Settings { zone_crossing_cost: 0.08, ..settings() };
    for p in &mut proxies(10, 20, set) {
        for id in 0..10 {
            assert_eq!(p.connect(grouped(id, u64::from(id) + 5)).unwrap().0 % 2, 0);
        }
    }
}

#[test]
fn the_registry_is_asked_once_at_a_drawn_time_and_again_after_failures() {
    let mut at = BTreeSet::new();
    for seed in 0..20 {
        let set = Settings { polls_discovery: true, ..settings() };
        let mut p = Proxy { module: shorewharf_decisions::Balancer::new(set, seed), now: 100.0 };
        let mut timers = Vec::new();
        let out = p.give(Event::Start);
        assert!(!out.contains(&Action::Subscribe), "not in step with every other proxy");
        note_timers(&out, 100.0, &mut timers);
        timers.retain(|t| t.1 == 2 << 40);
        at.insert((timers[0].0 * 100.0) as u64);
        let asked = |out: Vec<Action>| out.iter().filter(|a| **a == Action::Subscribe).count();
        assert_eq!(asked(p.pass(&mut timers, 109.0)), 1);
        let out = p.give(Event::DiscoveryFailed);
        note_timers(&out, 109.0, &mut timers);
        assert_eq!(asked(p.pass(&mut timers, 119.0)), 1, "again, and within the time that counts as asking");
    }
    assert!(at.len() > 10, "spread out");
}

#[test]
fn state_stays_bounded_under_long_churn() {
    let mut p = Proxy::new(settings(), 20);
    let mut timers = vec![(100.5, 1 << 40)];
    for round in 0..400u32 {
        let start = u64::from(round % 50);
        p.give(list(&(start..start + 20).map(|i| entry(i + 1)).collect::<Vec<_>>()));
        for n in 0..20 {
            let id = round * 20 + n;
            let r = Request { deadline: p.now + 2.0, ..grouped(id, u64::from(id) + 1) };
            if let Some(s) = p.connect(r) {
                p.end(id, s, 0, Outcome::Ok);
            }
        }
        let until = p.now + 1.0;
        p.pass(&mut timers, until);
    }
    let size = format!("{:?}", p.module).len();
    assert!(size < 400_000, "{size} bytes of state after 8,000 clients, groups and changing servers");
}

#[test]
fn where_packets_pass_through_another_proxy_finds_the_server_of_a_connection() {
    let set = || Settings { is_pass_through: true, parked_connection_timeout: 6.0, ..settings() };
    let at: BTreeSet<_> = proxies(20, 30, set)
        .iter_mut()
        .map(|p| {
            for id in 0..15 {
                p.connect(request(id, 100.0));
            }
            p.connect(Request { key: 4242, is_mid_flow: true, ..request(50, 100.0) }).unwrap()
        })
        .collect();
    assert_eq!(at.len(), 1, "{at:?}");
}

#[test]
fn a_server_that_is_put_back_gets_one_client_though_no_group_ranks_it_first() {
    let mut p = Proxy::new(settings(), 8);
    // Two groups, and a server that is home to neither: by ranks nobody would be sent there.
    let homes = [7, 8].map(|group| p.connect(grouped(group as u32, group)).unwrap());
    let back = (1..=8).map(ServerId).find(|s| !homes.contains(s)).unwrap();
    let change = |stage, born| Event::EndpointList {
        is_complete: false,
        is_cached: true,
        entries: vec![ServerEntry { state: stage, started_at: born, ..entry(back.0) }].into(),
    };
    p.give(change(ServerState::Draining, 0.0));
    assert_eq!(p.connect(grouped(20, 7)), Some(homes[0]));
    p.give(change(ServerState::Ready, 0.0));
    assert_eq!(p.connect(grouped(21, 7)), Some(back), "one client tells whether it works");
    assert_eq!(p.connect(grouped(22, 8)), Some(homes[1]), "and no more than one");
    // Cold, it gets its client no sooner than its guard lets anybody in.
    p.give(change(ServerState::Draining, 0.0));
    p.give(change(ServerState::Ready, p.now));
    assert_eq!(p.connect(grouped(23, 8)), Some(homes[1]));
}
