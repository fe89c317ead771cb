//! The four rules, each broken if the code that keeps it goes.

mod common;
use common::{
    TestInstance, attempted_server, endpoint_list, entry, is_failed, is_rejected, record_timers, request,
    settings,
};
use shorewharf_decisions::interface::{
    Action, DeduplicationScope, Event, Idempotency, Outcome, Request, RequestId, ServerEntry, ServerId,
    ServerState, Settings,
};

fn with(semantics: Idempotency) -> Settings {
    let mut set = settings();
    set.classes[0].idempotency = semantics;
    set
}

#[test]
fn a_request_without_any_server_is_refused_before_its_deadline() {
    let mut instance = TestInstance::new(settings(), 0);
    let mut timers = Vec::new();
    let actions = instance.receive(request(1, 100.0));
    record_timers(&actions, 100.0, &mut timers);
    assert!(!is_rejected(&actions), "held at first: a list may be on its way");
    assert!(is_rejected(&instance.advance_to(&mut timers, 101.99)));
}

#[test]
fn a_silent_attempt_is_answered_by_the_deadline_timer() {
    let mut instance = TestInstance::new(settings(), 3);
    let mut timers = Vec::new();
    let actions = instance.receive(request(1, 100.0));
    record_timers(&actions, 100.0, &mut timers);
    assert!(attempted_server(&actions).is_some());
    let actions = instance.advance_to(&mut timers, 102.0);
    assert!(is_failed(&actions), "an attempt that is out may run: no refusal");
    assert!(actions.contains(&Action::CancelAttempt { request: RequestId(1), attempt: 0 }));
}

#[test]
fn nothing_is_sent_after_the_final_answer() {
    let mut instance = TestInstance::new(settings(), 3);
    let mut timers = Vec::new();
    let actions = instance.receive(request(1, 100.0));
    record_timers(&actions, 100.0, &mut timers);
    let server = attempted_server(&actions).unwrap();
    instance.advance_to(&mut timers, 102.0);
    let late = instance.end_attempt(1, server, 0, Outcome::ConnectFailed);
    assert!(attempted_server(&late).is_none() && !is_rejected(&late) && !is_failed(&late));
}

#[test]
fn an_unsafe_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut instance = TestInstance::new(with(Idempotency::NonIdempotent), 4);
        let server = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
        let mut timers = Vec::new();
        let mut actions = instance.end_attempt(1, server, 0, outcome);
        record_timers(&actions, 100.0, &mut timers);
        actions.extend(instance.advance_to(&mut timers, 101.99));
        assert!(
            attempted_server(&actions).is_none() && !is_rejected(&actions) && is_failed(&actions),
            "{outcome:?}"
        );
    }
}

#[test]
fn an_unsafe_request_that_never_ran_goes_elsewhere() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut instance = TestInstance::new(with(Idempotency::NonIdempotent), 4);
        let server = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
        instance.now += 1.0;
        let second = attempted_server(&instance.end_attempt(1, server, 0, outcome));
        assert!(second.is_some_and(|s| s != server), "{outcome:?}");
    }
}

#[test]
fn never_ran_twice_may_still_be_refused() {
    let mut instance = TestInstance::new(with(Idempotency::NonIdempotent), 2);
    let first = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    let second = attempted_server(&instance.end_attempt(1, first, 0, Outcome::ConnectFailed)).unwrap();
    let mut timers = Vec::new();
    let mut actions = instance.end_attempt(1, second, 1, Outcome::ConnectFailed);
    record_timers(&actions, 100.0, &mut timers);
    actions.extend(instance.advance_to(&mut timers, 101.99));
    assert!(is_rejected(&actions) && !is_failed(&actions));
}

#[test]
fn a_keyed_request_repeats_only_in_its_scope() {
    for (scope, zone_of) in [(DeduplicationScope::Zone, true), (DeduplicationScope::Cell, false)] {
        let mut instance = TestInstance::new(with(Idempotency::Keyed(scope, 5.0)), 12);
        let first = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
        let second = attempted_server(&instance.end_attempt(1, first, 0, Outcome::Error));
        let same = |s: ServerId| if zone_of { s.0 % 2 == first.0 % 2 } else { s.0 / 2 == first.0 / 2 };
        if let Some(second) = second {
            assert!(same(second), "{scope:?}: {first:?} then {second:?}");
        } else {
            assert!(!zone_of, "a zone of six has another server");
        }
    }
}

#[test]
fn a_keyed_request_does_not_repeat_after_its_window() {
    let mut instance = TestInstance::new(with(Idempotency::Keyed(DeduplicationScope::All, 0.3)), 6);
    let first = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    instance.now += 0.4;
    assert!(attempted_server(&instance.end_attempt(1, first, 0, Outcome::Error)).is_none());
}

#[test]
fn a_keyed_request_is_not_repeated_where_its_dial_could_outlast_the_window() {
    let set = with(Idempotency::Keyed(DeduplicationScope::All, 0.5));
    let dial = set.connect_timeout;
    for (at, repeats) in [(0.5 - dial - 0.02, true), (0.5 - dial + 0.02, false)] {
        let mut instance = TestInstance::new(set.clone(), 6);
        let first = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
        instance.now += at;
        assert_eq!(
            attempted_server(&instance.end_attempt(1, first, 0, Outcome::Error)).is_some(),
            repeats,
            "after {at} s"
        );
    }
}

#[test]
fn a_keyed_request_of_a_narrow_scope_that_may_have_run_is_not_refused() {
    let mut instance = TestInstance::new(with(Idempotency::Keyed(DeduplicationScope::Cell, 5.0)), 1);
    let mut timers = Vec::new();
    let actions = instance.receive(request(1, 100.0));
    record_timers(&actions, 100.0, &mut timers);
    let first = attempted_server(&actions).unwrap();
    let mut actions = instance.end_attempt(1, first, 0, Outcome::Error);
    record_timers(&actions, 100.0, &mut timers);
    actions.extend(instance.advance_to(&mut timers, 102.0));
    assert!(is_failed(&actions) && !is_rejected(&actions));
}

#[test]
fn never_two_attempts_at_once() {
    let mut instance = TestInstance::new(settings(), 5);
    let mut timers = Vec::new();
    let actions = instance.receive(request(1, 100.0));
    record_timers(&actions, 100.0, &mut timers);
    let mut more = instance.advance_to(&mut timers, 101.9);
    more.extend(instance.handle(endpoint_list(&(1..=9).map(entry).collect::<Vec<_>>())));
    assert!(attempted_server(&more).is_none());
}

#[test]
fn attempts_stop_at_the_limit() {
    let mut instance = TestInstance::new(settings(), 30);
    let mut server = attempted_server(&instance.receive(request(1, 100.0)));
    let mut attempts = 0;
    while let Some(s) = server {
        instance.now += 0.01;
        server = attempted_server(&instance.end_attempt(1, s, attempts, Outcome::ConnectFailed));
        attempts += 1;
    }
    assert_eq!(attempts, 4);
}

#[test]
fn draining_and_gone_servers_get_nothing_and_keep_no_reservation() {
    let mut instance = TestInstance::new(settings(), 2);
    let at = instance.connect(request(1, 100.0)).unwrap();
    instance.end_attempt(1, at, 0, Outcome::Ok);
    let mut frozen = entry(at.0);
    frozen.state = ServerState::Draining;
    instance.handle(Event::EndpointList {
        is_complete: false,
        is_cached: false,
        entries: vec![frozen].into(),
    });
    for id in 2..40 {
        let r = Request { key: 1001, ..request(id, 100.0) };
        assert_ne!(instance.connect(r), Some(at));
    }
    let other = entry(3 - at.0);
    instance.handle(endpoint_list(&[other]));
    for id in 40..80 {
        assert_ne!(instance.connect(request(id, 100.0)), Some(at));
    }
}

#[test]
fn a_cold_server_is_not_pushed_over_by_all_proxies_together() {
    // 150 proxies, each with a burst of clients just after one of 20 servers has restarted.
    let mut to_cold = 0;
    for me in 0..150 {
        let mut instance =
            TestInstance::new(Settings { instance_index: me, instance_count: 150.0, ..settings() }, 20);
        instance.handle(Event::EndpointList {
            is_complete: false,
            is_cached: false,
            entries: vec![ServerEntry { started_at: 99.5, ..entry(4) }].into(),
        });
        for id in 0..3 {
            to_cold += usize::from(instance.connect(request(id, 100.0)) == Some(ServerId(4)));
        }
    }
    // An even share of the 450 clients would be 22 at once, for a server at a third of its work.
    assert!(to_cold <= 6, "{to_cold} clients at once on a server half a second old");
}

#[test]
fn the_registry_is_asked_again_soon_however_often_calls_fail() {
    // What it has to tell counts as told 6 s after it could be reached, whatever was allowed after a failed call; the
    // silence before the call and the wait for its first line take the rest.
    for ask_within in [1.0, 10.0, 60.0] {
        let mut instance =
            TestInstance::new(Settings { polls_discovery: true, poll_interval: ask_within, ..settings() }, 3);
        for call in 0..50 {
            let actions = instance.handle(Event::DiscoveryFailed);
            let pause = actions.iter().find_map(|a| match a {
                Action::SetTimer { after, token } if *token == 2 << 40 => Some(*after),
                _ => None,
            });
            let pause = pause.expect("another call");
            assert!(pause > 0.0 && pause <= 1.35, "{pause} s after call {call} with {ask_within} s");
            instance.handle(Event::TimerFired(2 << 40));
        }
    }
}

#[test]
fn a_warm_server_gets_its_even_share_again() {
    let mut to_it = 0;
    for me in 0..150 {
        let mut instance =
            TestInstance::new(Settings { instance_index: me, instance_count: 150.0, ..settings() }, 20);
        instance.handle(endpoint_list(
            &(1..=20).map(|i| ServerEntry { started_at: 85.0, ..entry(i) }).collect::<Vec<_>>(),
        ));
        for id in 0..3 {
            to_it += usize::from(instance.connect(request(id, 100.0)) == Some(ServerId(4)));
        }
    }
    assert!((10..=40).contains(&to_it), "{to_it}");
}

#[test]
fn a_lone_proxy_does_not_save_up_entries_for_a_burst() {
    let mut instance =
        TestInstance::new(Settings { instance_count: 1.0, warm_up_time: 23.0, ..settings() }, 10);
    let mut timers = vec![(100.5, 1 << 40)];
    for id in 0..80 {
        let until = instance.now + 0.2;
        instance.advance_to(&mut timers, until);
        let r = Request { deadline: until + 2.0, ..request(id, until) };
        let at = instance.connect(r).unwrap();
        instance.end_attempt(id, at, 0, Outcome::Ok);
    }
    let now = instance.now;
    let reborn = ServerEntry { started_at: now - 17.0, ..entry(4) };
    instance.handle(Event::EndpointList {
        is_complete: false,
        is_cached: false,
        entries: vec![reborn].into(),
    });
    let burst = (100..160).filter(|id| instance.connect(request(*id, now)) == Some(ServerId(4))).count();
    assert!((1..=2).contains(&burst), "{burst} at once after 17 s without any");
}
