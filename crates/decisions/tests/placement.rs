//! One small test for each failure that was found; the decisions, not mere survival.

mod common;
use std::collections::{BTreeMap, BTreeSet};

use common::{
    TestInstance, attempted_server, endpoint_list, entry, is_rejected, migration_count, record_timers,
    request, settings,
};
use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestClass, RequestId, ServerEntry, ServerId, ServerState, Settings,
};

fn proxies(n: u64, servers: u64, set: impl Fn() -> Settings) -> Vec<TestInstance> {
    (0..n)
        .map(|me| {
            TestInstance::new(Settings { instance_index: me, instance_count: n as f64, ..set() }, servers)
        })
        .collect()
}

fn grouped(id: u32, group: u64) -> Request {
    Request { group, ..request(id, 100.0) }
}

fn slow(instance: &mut TestInstance, server: ServerId, delay: f64) -> Vec<Action> {
    instance.handle(Event::MessageDelay { server, delay })
}

#[test]
fn a_returning_client_goes_to_its_reserved_server() {
    let mut instance = TestInstance::new(settings(), 30);
    let at = instance.connect(request(1, 100.0)).unwrap();
    for id in 2..20 {
        instance.connect(request(id, 100.0));
    }
    instance.end_attempt(1, at, 0, Outcome::Ok);
    // Others fill the place up, so that nothing but the reservation speaks for it.
    for id in 100..190 {
        instance.connect(request(id, 100.0));
    }
    instance.now += 0.9;
    assert_eq!(instance.connect(Request { key: 1001, ..request(50, 100.9) }), Some(at));
    let fresh = (300..330).filter(|id| instance.connect(request(*id, 100.9)) == Some(at)).count();
    assert!(fresh < 10, "others do not crowd there");
}

#[test]
fn an_unknown_client_goes_to_the_lowest_usage_for_its_have() {
    let mut instance = TestInstance::new(settings(), 2);
    instance.handle(endpoint_list(&[entry(1), ServerEntry { weight: 6.0, ..entry(2) }]));
    let mut count = BTreeMap::new();
    for id in 0..40 {
        *count.entry(instance.connect(request(id, 100.0)).unwrap()).or_insert(0) += 1;
    }
    assert_eq!(count[&ServerId(2)], 3 * count[&ServerId(1)], "a third of the size, a third of the clients");
}

#[test]
fn proxies_do_not_all_start_with_the_same_server() {
    let firsts: Vec<_> = proxies(60, 30, settings)
        .iter_mut()
        .map(|instance| instance.connect(request(1, 100.0)).unwrap())
        .collect();
    let mut count = BTreeMap::new();
    firsts.iter().for_each(|s| *count.entry(s).or_insert(0) += 1);
    assert!(count.values().max().unwrap() <= &9, "{count:?}");
}

#[test]
fn a_group_lands_on_few_servers_without_proxies_talking() {
    let mut on = BTreeSet::new();
    for instance in &mut proxies(100, 80, settings) {
        for id in 0..9 {
            instance.connect(grouped(id, 500 + u64::from(id)));
        }
        on.insert(instance.connect(grouped(20, 77)).unwrap());
    }
    assert!(on.len() <= 6, "a hundred clients of a small group on {} servers", on.len());
}

#[test]
fn a_proxy_places_a_group_where_it_already_holds_some_of_it() {
    for at in 1..=30 {
        let mut instance = TestInstance::new(settings(), 30);
        instance.handle(Event::ConnectionRestored(grouped(1, 77), ServerId(at)));
        assert_eq!(
            instance.connect(grouped(2, 77)),
            Some(ServerId(at)),
            "that server has paid for the group"
        );
        slow(&mut instance, ServerId(at), 1.0);
        instance.now += 1.0;
        let late = Request { deadline: 103.0, ..grouped(3, 77) };
        assert_ne!(instance.connect(late), Some(ServerId(at)), "but not while it is spent");
    }
}

#[test]
fn a_hot_group_gets_a_pool_of_its_share() {
    let mut on = BTreeSet::new();
    for instance in &mut proxies(40, 60, settings) {
        for id in 0..20 {
            on.insert(instance.connect(grouped(id, if id % 2 == 0 { 77 } else { 1000 + u64::from(id) })));
        }
    }
    assert!(on.len() > 20, "{}", on.len());
}

#[test]
fn a_spent_pool_refuses_rather_than_scatters() {
    let mut instance = TestInstance::new(settings(), 40);
    let mut placed = BTreeSet::new();
    for id in 0..200 {
        let actions = instance.receive(grouped(id, 77));
        if let Some(server) = attempted_server(&actions) {
            instance.handle(Event::Established { request: RequestId(id), attempt: 0 });
            instance.end_attempt(id, server, 0, Outcome::Reset);
            placed.insert(server);
        }
        // Other groups keep the share of this one small.
        for other in 0..4 {
            let r = grouped(10_000 + id * 10 + other, 9000 + u64::from(id * 10 + other));
            instance.connect(r);
            instance.handle(Event::ClientLeft(r.id));
        }
    }
    assert!(placed.len() < 30, "a fifth of the traffic shed everywhere went to {} of 40", placed.len());
}

#[test]
fn a_few_slow_servers_do_not_shut_their_groups_out() {
    let mut instance = TestInstance::new(settings(), 10);
    // The two servers that a small group may go to turn slow for a moment, while eight have room.
    (100..160).for_each(|id| assert!(instance.connect(request(id, 100.0)).is_some()));
    for id in 1..3 {
        let at = instance.connect(grouped(id, 77)).expect("placed");
        slow(&mut instance, at, 0.05);
        slow(&mut instance, at, 0.001);
    }
    let third = instance.connect(grouped(3, 77)).expect("the next rank takes it");
    assert_eq!(instance.connect(grouped(4, 77)), Some(third), "and the group stays together there");
}

#[test]
fn a_shed_client_does_not_go_back_to_a_server_that_sheds() {
    let mut instance = TestInstance::new(settings(), 3);
    let at = instance.connect(request(1, 100.0)).unwrap();
    // Others stay there, so the server lives.
    let there: Vec<u32> = (2..15).filter(|id| instance.connect(request(*id, 100.0)) == Some(at)).collect();
    assert!(there.len() > 2);
    instance.end_attempt_as(there[0], at, 0, Outcome::Reset, true);
    instance.end_attempt_as(1, at, 0, Outcome::Reset, true);
    instance.now += 0.5;
    assert_ne!(instance.connect(Request { key: 1001, is_returning: true, ..request(50, 100.5) }), Some(at));
}

#[test]
fn connections_that_break_one_by_one_are_no_servers_fault() {
    let mut instance = TestInstance::new(settings(), 3);
    let mut timers = vec![(101.0, 1 << 40)];
    let on: Vec<ServerId> = (0..30).map(|id| instance.connect(request(id, 100.0)).unwrap()).collect();
    for id in 0..9 {
        instance.advance_to(&mut timers, 101.0 + f64::from(id));
        instance.end_attempt_as(id, on[id as usize], 0, Outcome::Reset, true);
        let again =
            Request { key: 1000 + u64::from(id), is_returning: true, ..request(100 + id, instance.now) };
        assert_eq!(instance.connect(again), Some(on[id as usize]), "a sound server takes its client back");
    }
}

#[test]
fn a_growing_pile_makes_clients_leave_and_a_draining_one_does_not() {
    let mut instance = TestInstance::new(settings(), 1);
    for id in 0..40 {
        instance.connect(request(id, 100.0));
    }
    slow(&mut instance, ServerId(1), 0.06);
    instance.now += 1.0;
    assert!(
        migration_count(&slow(&mut instance, ServerId(1), 0.5)) >= 8,
        "half a second of work a second is too much"
    );
    instance.now += 1.0;
    assert_eq!(migration_count(&slow(&mut instance, ServerId(1), 0.1)), 0, "the pile drains by itself");
}

#[test]
fn those_whose_class_is_hurt_leave_first() {
    let mut set = settings();
    let patient = RequestClass { message_latency_objective: 5.0, ..set.classes[0].clone() };
    set.classes.push(patient);
    let mut instance = TestInstance::new(set, 1);
    for id in 0..40 {
        instance.connect(Request { class: id as usize % 2, ..request(id, 100.0) });
    }
    let actions = slow(&mut instance, ServerId(1), 0.3);
    assert!(migration_count(&actions) > 3);
    assert!(
        !actions.iter().any(|a| matches!(a, Action::Migrate(r) if r.0 % 2 == 1)),
        "the patient stay: {actions:?}"
    );
}

#[test]
fn fast_messages_move_nobody() {
    let mut instance = TestInstance::new(settings(), 1);
    for id in 0..40 {
        instance.connect(request(id, 100.0));
    }
    assert_eq!(migration_count(&slow(&mut instance, ServerId(1), 0.04)), 0);
}

#[test]
fn a_failed_connect_locks_until_a_single_trial_succeeds() {
    let mut instance = TestInstance::new(settings(), 2);
    let at = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    instance.end_attempt(1, at, 0, Outcome::ConnectFailed);
    for id in 2..8 {
        assert_ne!(instance.connect(request(id, 100.0)), Some(at), "locked");
    }
    instance.now = 102.0;
    let tried: Vec<u32> =
        (20..30).filter(|id| attempted_server(&instance.receive(request(*id, 102.0))) == Some(at)).collect();
    assert_eq!(tried.len(), 1, "one trial, however many clients come");
    instance.handle(Event::Established { request: RequestId(tried[0]), attempt: 0 });
    let again =
        (40..50).filter(|id| attempted_server(&instance.receive(request(*id, 102.0))) == Some(at)).count();
    assert!(again > 1, "unlocked by the trial");
}

#[test]
fn where_probes_are_allowed_a_probe_unlocks() {
    let mut instance = TestInstance::new(Settings { may_probe: true, ..settings() }, 2);
    let mut timers = vec![(100.5, 1 << 40)];
    let at = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    instance.end_attempt(1, at, 0, Outcome::ConnectFailed);
    let actions = instance.advance_to(&mut timers, 103.0);
    assert!(actions.contains(&Action::Probe(at)));
    assert_ne!(instance.connect(request(5, 103.0)), Some(at), "no client is the trial");
    instance.handle(Event::ProbeEnded { server: at, outcome: Outcome::Ok, load_ratio: None });
    assert!((6..16).any(|id| instance.connect(request(id, 103.0)) == Some(at)));
}

#[test]
fn with_all_servers_locked_trials_still_go_out() {
    let mut instance = TestInstance::new(settings(), 3);
    let mut server = attempted_server(&instance.receive(request(1, 100.0)));
    let mut attempt = 0;
    while let Some(s) = server {
        server = attempted_server(&instance.end_attempt(1, s, attempt, Outcome::ConnectFailed));
        attempt += 1;
    }
    instance.now = 103.0;
    assert!(instance.connect(request(9, 103.0)).is_some(), "a cut link must not lock everything for good");
}

#[test]
fn failing_set_ups_slow_the_sending_and_good_ones_free_it() {
    let mut instance = TestInstance::new(settings(), 20);
    let mut sends = 0;
    for id in 0..60 {
        instance.now += 0.02;
        if let Some(s) = attempted_server(&instance.receive(request(id, instance.now))) {
            sends += 1;
            instance.end_attempt_as(id, s, 0, Outcome::Rejected, true);
        }
    }
    assert!(sends < 50, "{sends} of 60 went into servers that turn clients away");
    for id in 100..400 {
        instance.now += 0.5;
        instance.connect(request(id, instance.now));
    }
    let free = (500..520)
        .filter(|id| attempted_server(&instance.receive(request(*id, instance.now))).is_some())
        .count();
    assert_eq!(free, 20);
}

#[test]
fn errors_at_one_server_hold_nobody_back_who_can_go_elsewhere() {
    let mut instance = TestInstance::new(settings(), 4);
    // A burst before the first error must not count against those who come after it.
    for id in 0..60 {
        instance.connect(request(id, 100.0)).expect("placed at once");
    }
    let mut errors = 0;
    for id in 100..160 {
        instance.now += 0.25;
        let mut at = attempted_server(&instance.receive(request(id, instance.now)));
        let mut attempt = 0;
        while at == Some(ServerId(1)) {
            errors += 1;
            at = attempted_server(&instance.end_attempt(id, ServerId(1), attempt, Outcome::Error));
            attempt += 1;
        }
        assert!(at.is_some(), "client {id} waits although three servers are sound");
        instance.handle(Event::Established { request: RequestId(id), attempt });
    }
    assert!(errors > 0, "the server was never asked");
}

/// How many of forty clients land on the first of two servers.
fn on_the_first(instance: &mut TestInstance) -> usize {
    (1000..1040).filter(|id| instance.connect(request(*id, instance.now)) == Some(ServerId(1))).count()
}

#[test]
fn a_request_that_fails_everywhere_is_no_servers_fault() {
    let mut instance = TestInstance::new(settings(), 2);
    for id in 0..9 {
        // Bad at both servers, or gone after the first: neither has served what the other could not.
        let mut at = attempted_server(&instance.receive(request(id, 100.0)));
        let mut attempt = 0;
        while let Some(s) = at.filter(|s| *s == ServerId(1) || id % 2 == 0) {
            at = attempted_server(&instance.end_attempt(id, s, attempt, Outcome::Error));
            attempt += 1;
        }
        instance.handle(Event::ClientLeft(RequestId(id)));
        if let Some(s) = at {
            instance.end_attempt_as(id, s, attempt, Outcome::Cancelled, true);
        }
    }
    assert_eq!(on_the_first(&mut instance), 20);
}

#[test]
fn an_error_counts_against_a_server_once_another_one_serves_the_same_request() {
    let mut instance = TestInstance::new(settings(), 2);
    let mut errors = 0;
    for id in 0..9 {
        let mut attempt = 0;
        if attempted_server(&instance.receive(request(id, 100.0))) == Some(ServerId(1)) {
            instance.end_attempt(id, ServerId(1), 0, Outcome::Error);
            (errors, attempt) = (errors + 1, 1);
        }
        instance.handle(Event::Established { request: RequestId(id), attempt });
        instance.end_attempt_as(id, ServerId(2), attempt, Outcome::Cancelled, true);
    }
    assert!(errors > 0 && on_the_first(&mut instance) < 15);
}

#[test]
fn a_client_that_leaves_no_time_says_nothing_of_its_server() {
    for outcome in [Outcome::TimedOut, Outcome::Rejected] {
        let mut instance = TestInstance::new(settings(), 2);
        for id in 0..9 {
            let hasty = Request { deadline: 100.1, ..request(id, 100.0) };
            let mut at = attempted_server(&instance.receive(hasty));
            let mut attempt = 0;
            while let Some(s) = at {
                at = attempted_server(&instance.end_attempt(id, s, attempt, outcome));
                attempt += 1;
            }
        }
        assert_eq!(on_the_first(&mut instance), 20, "{outcome:?}");
    }
}

/// All servers bear so much, where a connection loads 0.1.
fn bears(instance: &mut TestInstance, load: f64) {
    instance.handle(Event::MeanLoadEstimated(0.1));
    for id in 1..=2 {
        instance.handle(Event::CapacityEstimated { server: ServerId(id), load, setup_rate: 1.0 });
    }
}

#[test]
fn a_server_gets_no_more_than_it_bears_and_who_finds_no_room_is_told_at_once() {
    let mut instance = TestInstance::new(settings(), 2);
    bears(&mut instance, 1.0);
    let (mut stands, mut refusals) = (0, 0);
    for id in 0..40 {
        let actions = instance.receive(request(id, 100.0));
        match attempted_server(&actions) {
            Some(_) => {
                instance.handle(Event::Established { request: RequestId(id), attempt: 0 });
                stands += 1;
            }
            None => {
                let told = |a: &Action| matches!(a, Action::Reject { retry_after, .. } if *retry_after > 0.0);
                assert!(
                    actions.iter().any(told),
                    "no room is told in the same turn, with a time to come back: {actions:?}"
                );
                refusals += 1;
            }
        }
    }
    // 0.1 of its own and 0.01 for being held, each.
    assert_eq!((stands, refusals), (18, 22));
    bears(&mut instance, 1.12);
    assert!(
        attempted_server(&instance.receive(request(99, 100.0))).is_some(),
        "room is used as soon as it is there"
    );
}

#[test]
fn who_waits_for_hands_is_placed_within_its_aim_or_told() {
    let mut instance = TestInstance::new(settings(), 2);
    bears(&mut instance, 20.0);
    let mut timers = Vec::new();
    let mut out_there = Vec::new();
    // Set-ups are in hand at both servers, which bear far more: room comes within moments.
    let waits = (0..).find(|id| {
        let actions = instance.receive(request(*id, 100.0));
        record_timers(&actions, instance.now, &mut timers);
        out_there.extend(attempted_server(&actions).map(|server| (*id, server)));
        assert!(
            !is_rejected(&actions) || *id > 8,
            "a server that has only its hands full is waited for: {actions:?}"
        );
        attempted_server(&actions).is_none()
    });
    let waits = waits.expect("hands are full at last");
    instance.handle(Event::Established { request: RequestId(out_there[0].0), attempt: 0 });
    let actions = instance.advance_to(&mut timers, 100.2);
    let placed = |a: &Action| matches!(a, Action::BeginAttempt { request, .. } if request.0 == waits);
    assert!(actions.iter().any(placed), "it is placed as soon as a hand is free: {actions:?}");
    let late = instance.receive(request(900, 100.2));
    record_timers(&late, instance.now, &mut timers);
    assert!(attempted_server(&late).is_none() && !is_rejected(&late), "hands are full again");
    // The aim is 0.5 s: nobody waits for longer, though its time has not run out.
    let actions = instance.advance_to(&mut timers, 100.8);
    assert!(
        actions.iter().any(|a| matches!(a, Action::Reject { request, .. } if request.0 == 900)),
        "{actions:?}"
    );
}

#[test]
fn what_was_never_told_counts_with_the_mean() {
    let mut instance = TestInstance::new(settings(), 1);
    for id in 0..5 {
        instance.connect(request(id, 100.0));
    }
    instance.handle(Event::LoadChanged { request: RequestId(0), load: 0.3 });
    instance.handle(Event::MeanLoadEstimated(0.1));
    let placed = instance.balancer.assigned_load(ServerId(1));
    assert!((placed - (0.3 + 4.0 * 0.1 + 5.0 * 0.01)).abs() < 1e-9, "{placed}");
}

#[test]
fn clients_leave_a_draining_server_before_it_stops() {
    let mut instance = TestInstance::new(settings(), 2);
    let n = (0..20).filter(|id| instance.connect(request(*id, 100.0)) == Some(ServerId(1))).count();
    let frozen = ServerEntry { state: ServerState::Draining, ..entry(1) };
    let actions = instance.handle(Event::EndpointList {
        is_complete: false,
        is_cached: false,
        entries: vec![frozen].into(),
    });
    assert_eq!(migration_count(&actions), n);
}

#[test]
fn a_restarted_server_starts_without_its_old_record() {
    let mut instance = TestInstance::new(settings(), 2);
    let at = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    instance.end_attempt(1, at, 0, Outcome::ConnectFailed);
    let reborn = ServerEntry { started_at: 50.0, ..entry(at.0) };
    instance.handle(Event::EndpointList {
        is_complete: false,
        is_cached: false,
        entries: vec![reborn].into(),
    });
    assert!((2..10).any(|id| instance.connect(request(id, 100.0)) == Some(at)), "unlocked by its restart");
}

#[test]
fn where_crossing_costs_the_own_zone_comes_first() {
    let set = || Settings { zone_crossing_cost: 0.08, ..settings() };
    for instance in &mut proxies(10, 20, set) {
        for id in 0..10 {
            assert_eq!(instance.connect(grouped(id, u64::from(id) + 5)).unwrap().0 % 2, 0);
        }
    }
}

#[test]
fn the_registry_is_asked_once_at_a_drawn_time_and_again_after_failures() {
    let mut at = BTreeSet::new();
    for seed in 0..20 {
        let set = Settings { polls_discovery: true, ..settings() };
        let mut instance =
            TestInstance { balancer: shorewharf_decisions::Balancer::new(set, seed), now: 100.0 };
        let mut timers = Vec::new();
        let actions = instance.handle(Event::Start);
        assert!(!actions.contains(&Action::Subscribe), "not in step with every other proxy");
        record_timers(&actions, 100.0, &mut timers);
        timers.retain(|t| t.1 == 2 << 40);
        at.insert((timers[0].0 * 100.0) as u64);
        let asked = |actions: Vec<Action>| actions.iter().filter(|a| **a == Action::Subscribe).count();
        assert_eq!(asked(instance.advance_to(&mut timers, 109.0)), 1);
        let actions = instance.handle(Event::DiscoveryFailed);
        record_timers(&actions, 109.0, &mut timers);
        assert_eq!(
            asked(instance.advance_to(&mut timers, 119.0)),
            1,
            "again, and within the time that counts as asking"
        );
    }
    assert!(at.len() > 10, "spread out");
}

#[test]
fn state_stays_bounded_under_long_churn() {
    let mut instance = TestInstance::new(settings(), 20);
    let mut timers = vec![(100.5, 1 << 40)];
    for round in 0..400u32 {
        let start = u64::from(round % 50);
        instance.handle(endpoint_list(&(start..start + 20).map(|i| entry(i + 1)).collect::<Vec<_>>()));
        for n in 0..20 {
            let id = round * 20 + n;
            let r = Request { deadline: instance.now + 2.0, ..grouped(id, u64::from(id) + 1) };
            if let Some(s) = instance.connect(r) {
                instance.end_attempt(id, s, 0, Outcome::Ok);
            }
        }
        let until = instance.now + 1.0;
        instance.advance_to(&mut timers, until);
    }
    let size = format!("{:?}", instance.balancer).len();
    assert!(size < 400_000, "{size} bytes of state after 8,000 clients, groups and changing servers");
}

#[test]
fn where_packets_pass_through_another_proxy_finds_the_server_of_a_connection() {
    let set = || Settings { is_pass_through: true, parked_connection_timeout: 6.0, ..settings() };
    let at: BTreeSet<_> = proxies(20, 30, set)
        .iter_mut()
        .map(|instance| {
            for id in 0..15 {
                instance.connect(request(id, 100.0));
            }
            instance.connect(Request { key: 4242, is_mid_flow: true, ..request(50, 100.0) }).unwrap()
        })
        .collect();
    assert_eq!(at.len(), 1, "{at:?}");
}

#[test]
fn a_server_that_is_put_back_gets_one_client_though_no_group_ranks_it_first() {
    let mut instance = TestInstance::new(settings(), 8);
    // Two groups, and a server that is home to neither: by ranks nobody would be sent there.
    let homes = [7, 8].map(|group| instance.connect(grouped(group as u32, group)).unwrap());
    let back = (1..=8).map(ServerId).find(|s| !homes.contains(s)).unwrap();
    let change = |stage, born| Event::EndpointList {
        is_complete: false,
        is_cached: true,
        entries: vec![ServerEntry { state: stage, started_at: born, ..entry(back.0) }].into(),
    };
    instance.handle(change(ServerState::Draining, 0.0));
    assert_eq!(instance.connect(grouped(20, 7)), Some(homes[0]));
    instance.handle(change(ServerState::Ready, 0.0));
    assert_eq!(instance.connect(grouped(21, 7)), Some(back), "one client tells whether it works");
    assert_eq!(instance.connect(grouped(22, 8)), Some(homes[1]), "and no more than one");
    // Cold, it gets its client no sooner than its guard lets anybody in.
    instance.handle(change(ServerState::Draining, 0.0));
    instance.handle(change(ServerState::Ready, instance.now));
    assert_eq!(instance.connect(grouped(23, 8)), Some(homes[1]));
}
