//! The four rules that the balancer must obey. Each test fails if the code that enforces its rule is removed.

mod common;
use common::{
    HOUSEKEEPING_TOKEN, SUBSCRIBE_TOKEN, TestInstance, attempted_server, endpoint_list, entry, is_failed,
    is_rejected, record_timers, request, settings,
};
use shorewharf_decisions::interface::{
    Action, DeduplicationScope, Event, Idempotency, Outcome, Request, RequestId, ServerEntry, ServerId,
    ServerState, Settings,
};

fn settings_with(idempotency: Idempotency) -> Settings {
    let mut settings = settings();
    settings.classes[0].idempotency = idempotency;
    settings
}

#[test]
fn a_request_without_any_server_is_rejected_before_its_deadline() {
    let mut instance = TestInstance::new(settings(), 0);
    let mut timers = Vec::new();
    let actions = instance.receive(request(1, 100.0));
    record_timers(&actions, 100.0, &mut timers);
    assert!(!is_rejected(&actions), "the request waits at first, as a list may arrive soon");
    assert!(is_rejected(&instance.advance_to(&mut timers, 101.99)));
}

#[test]
fn a_request_whose_attempt_does_not_end_is_answered_by_the_deadline_timer() {
    let mut instance = TestInstance::new(settings(), 3);
    let mut timers = Vec::new();
    let actions = instance.receive(request(1, 100.0));
    record_timers(&actions, 100.0, &mut timers);
    assert!(attempted_server(&actions).is_some());
    let actions = instance.advance_to(&mut timers, 102.0);
    assert!(is_failed(&actions), "the pending attempt may run, so the request fails and is not rejected");
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
fn a_non_idempotent_request_that_may_have_run_fails() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut instance = TestInstance::new(settings_with(Idempotency::NonIdempotent), 4);
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
fn a_non_idempotent_request_that_never_ran_is_sent_to_another_server() {
    for outcome in [Outcome::Rejected, Outcome::ConnectFailed, Outcome::NotSent] {
        let mut instance = TestInstance::new(settings_with(Idempotency::NonIdempotent), 4);
        let server = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
        instance.now += 1.0;
        let second = attempted_server(&instance.end_attempt(1, server, 0, outcome));
        assert!(second.is_some_and(|second| second != server), "{outcome:?}");
    }
}

#[test]
fn a_non_idempotent_request_that_never_ran_in_two_attempts_is_rejected() {
    let mut instance = TestInstance::new(settings_with(Idempotency::NonIdempotent), 2);
    let first = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    let second = attempted_server(&instance.end_attempt(1, first, 0, Outcome::ConnectFailed)).unwrap();
    let mut timers = Vec::new();
    let mut actions = instance.end_attempt(1, second, 1, Outcome::ConnectFailed);
    record_timers(&actions, 100.0, &mut timers);
    actions.extend(instance.advance_to(&mut timers, 101.99));
    assert!(is_rejected(&actions) && !is_failed(&actions));
}

#[test]
fn a_keyed_request_is_retried_only_in_its_deduplication_scope() {
    for (scope, is_zone) in [(DeduplicationScope::Zone, true), (DeduplicationScope::Cell, false)] {
        let mut instance = TestInstance::new(settings_with(Idempotency::Keyed(scope, 5.0)), 12);
        let first = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
        let second = attempted_server(&instance.end_attempt(1, first, 0, Outcome::Error));
        let is_in_scope = |server: ServerId| {
            if is_zone { server.0 % 2 == first.0 % 2 } else { server.0 / 2 == first.0 / 2 }
        };
        if let Some(second) = second {
            assert!(is_in_scope(second), "{scope:?}: first sent to {first:?}, then to {second:?}");
        } else {
            assert!(!is_zone, "a zone of six servers has another one");
        }
    }
}

#[test]
fn a_keyed_request_is_not_retried_after_its_deduplication_window() {
    let mut instance = TestInstance::new(settings_with(Idempotency::Keyed(DeduplicationScope::All, 0.3)), 6);
    let first = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    instance.now += 0.4;
    assert!(attempted_server(&instance.end_attempt(1, first, 0, Outcome::Error)).is_none());
}

#[test]
fn a_keyed_request_is_not_retried_if_connecting_could_outlast_the_deduplication_window() {
    let settings = settings_with(Idempotency::Keyed(DeduplicationScope::All, 0.5));
    let connect_timeout = settings.connect_timeout;
    for (delay, is_retried) in [(0.5 - connect_timeout - 0.02, true), (0.5 - connect_timeout + 0.02, false)] {
        let mut instance = TestInstance::new(settings.clone(), 6);
        let first = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
        instance.now += delay;
        assert_eq!(
            attempted_server(&instance.end_attempt(1, first, 0, Outcome::Error)).is_some(),
            is_retried,
            "error after {delay} s"
        );
    }
}

#[test]
fn a_keyed_request_of_cell_scope_that_may_have_run_is_not_rejected() {
    let mut instance = TestInstance::new(settings_with(Idempotency::Keyed(DeduplicationScope::Cell, 5.0)), 1);
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
fn a_request_has_no_two_attempts_at_once() {
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
    while let Some(failed) = server {
        instance.now += 0.01;
        server = attempted_server(&instance.end_attempt(1, failed, attempts, Outcome::ConnectFailed));
        attempts += 1;
    }
    assert_eq!(attempts, 4);
}

#[test]
fn draining_and_removed_servers_get_nothing_even_for_clients_with_a_reservation() {
    let mut instance = TestInstance::new(settings(), 2);
    let server = instance.connect(request(1, 100.0)).unwrap();
    instance.end_attempt(1, server, 0, Outcome::Ok);
    let mut draining = entry(server.0);
    draining.state = ServerState::Draining;
    instance.handle(Event::EndpointList {
        is_complete: false,
        is_cached: false,
        entries: vec![draining].into(),
    });
    for id in 2..40 {
        let request = Request { key: 1001, ..request(id, 100.0) };
        assert_ne!(instance.connect(request), Some(server));
    }
    let other = entry(3 - server.0);
    instance.handle(endpoint_list(&[other]));
    for id in 40..80 {
        assert_ne!(instance.connect(request(id, 100.0)), Some(server));
    }
}

#[test]
fn a_cold_server_is_not_overloaded_by_all_instances_together() {
    // There are 150 instances, each with a burst of clients just after one of 20 servers has restarted.
    let mut cold_server_clients = 0;
    for index in 0..150 {
        let mut instance =
            TestInstance::new(Settings { instance_index: index, instance_count: 150.0, ..settings() }, 20);
        instance.handle(Event::EndpointList {
            is_complete: false,
            is_cached: false,
            entries: vec![ServerEntry { started_at: 99.5, ..entry(4) }].into(),
        });
        for id in 0..3 {
            cold_server_clients += usize::from(instance.connect(request(id, 100.0)) == Some(ServerId(4)));
        }
    }
    // An even share of the 450 clients would be 22 at once, for a server that has a third of its capacity.
    assert!(
        cold_server_clients <= 6,
        "{cold_server_clients} clients at once on a server that started 0.5 s ago"
    );
}

#[test]
fn discovery_is_called_again_soon_however_often_calls_fail() {
    // An update counts as received 6 s after discovery can be reached again, whatever pause is allowed after
    // a failed call. The silence before the call and the wait for its first line take up the rest of that
    // time.
    for poll_interval in [1.0, 10.0, 60.0] {
        let mut instance =
            TestInstance::new(Settings { polls_discovery: true, poll_interval, ..settings() }, 3);
        for call in 0..50 {
            let actions = instance.handle(Event::DiscoveryFailed);
            let pause = actions.iter().find_map(|action| match action {
                Action::SetTimer { after, token } if *token == SUBSCRIBE_TOKEN => Some(*after),
                _ => None,
            });
            let pause = pause.expect("a timer for another call");
            assert!(
                pause > 0.0 && pause <= 1.35,
                "a pause of {pause} s after call {call} with a poll interval of {poll_interval} s"
            );
            instance.handle(Event::TimerFired(SUBSCRIBE_TOKEN));
        }
    }
}

#[test]
fn a_warm_server_gets_its_even_share_again() {
    let mut clients = 0;
    for index in 0..150 {
        let mut instance =
            TestInstance::new(Settings { instance_index: index, instance_count: 150.0, ..settings() }, 20);
        instance.handle(endpoint_list(
            &(1..=20).map(|id| ServerEntry { started_at: 85.0, ..entry(id) }).collect::<Vec<_>>(),
        ));
        for id in 0..3 {
            clients += usize::from(instance.connect(request(id, 100.0)) == Some(ServerId(4)));
        }
    }
    assert!((10..=40).contains(&clients), "{clients} of 450 clients on the server");
}

#[test]
fn a_single_instance_does_not_accumulate_unused_slots_for_a_burst() {
    let mut instance =
        TestInstance::new(Settings { instance_count: 1.0, warm_up_time: 23.0, ..settings() }, 10);
    let mut timers = vec![(100.5, HOUSEKEEPING_TOKEN)];
    for id in 0..80 {
        let until = instance.now + 0.2;
        instance.advance_to(&mut timers, until);
        let request = Request { deadline: until + 2.0, ..request(id, until) };
        let server = instance.connect(request).unwrap();
        instance.end_attempt(id, server, 0, Outcome::Ok);
    }
    let now = instance.now;
    let restarted = ServerEntry { started_at: now - 17.0, ..entry(4) };
    instance.handle(Event::EndpointList {
        is_complete: false,
        is_cached: false,
        entries: vec![restarted].into(),
    });
    let burst = (100..160).filter(|id| instance.connect(request(*id, now)) == Some(ServerId(4))).count();
    assert!((1..=2).contains(&burst), "{burst} clients at once after 17 s without any");
}
