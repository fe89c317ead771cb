//! What the ends of attempts and connections say about a server: health, quarantine and the rate limit. Each
//! test guards against a failure that was found in an earlier version.

mod common;
use common::{HOUSEKEEPING_TOKEN, TestInstance, attempted_server, entry, request, settings};
use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestId, ServerEntry, ServerId, Settings,
};

#[test]
fn a_client_does_not_return_to_a_server_that_is_shedding_connections() {
    let mut instance = TestInstance::new(settings(), 3);
    let server = instance.connect(request(1, 100.0)).unwrap();
    // Other clients stay connected, so the server is still up.
    let clients: Vec<u32> =
        (2..15).filter(|id| instance.connect(request(*id, 100.0)) == Some(server)).collect();
    assert!(clients.len() > 2);
    instance.end_attempt_as(clients[0], server, 0, Outcome::Reset, true);
    instance.end_attempt_as(1, server, 0, Outcome::Reset, true);
    instance.now += 0.5;
    assert_ne!(
        instance.connect(Request { key: 1001, is_returning: true, ..request(50, 100.5) }),
        Some(server)
    );
}

#[test]
fn resets_at_intervals_are_not_attributed_to_the_server() {
    let mut instance = TestInstance::new(settings(), 3);
    let mut timers = vec![(101.0, HOUSEKEEPING_TOKEN)];
    let servers: Vec<ServerId> = (0..30).map(|id| instance.connect(request(id, 100.0)).unwrap()).collect();
    for id in 0..9 {
        instance.advance_to(&mut timers, 101.0 + f64::from(id));
        instance.end_attempt_as(id, servers[id as usize], 0, Outcome::Reset, true);
        let returning =
            Request { key: 1000 + u64::from(id), is_returning: true, ..request(100 + id, instance.now) };
        assert_eq!(
            instance.connect(returning),
            Some(servers[id as usize]),
            "the client returns to its healthy server"
        );
    }
}

#[test]
fn a_failed_connect_quarantines_a_server_until_a_single_trial_succeeds() {
    let mut instance = TestInstance::new(settings(), 2);
    let server = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    instance.end_attempt(1, server, 0, Outcome::ConnectFailed);
    for id in 2..8 {
        assert_ne!(instance.connect(request(id, 100.0)), Some(server), "the server is quarantined");
    }
    instance.now = 102.0;
    let trials: Vec<u32> = (20..30)
        .filter(|id| attempted_server(&instance.receive(request(*id, 102.0))) == Some(server))
        .collect();
    assert_eq!(trials.len(), 1, "there is a single trial, however many clients arrive");
    instance.handle(Event::Established { request: RequestId(trials[0]), attempt: 0 });
    let placed = (40..50)
        .filter(|id| attempted_server(&instance.receive(request(*id, 102.0))) == Some(server))
        .count();
    assert!(placed > 1, "the trial has ended the quarantine");
}

#[test]
fn a_successful_probe_ends_a_quarantine_where_probes_are_allowed() {
    let mut instance = TestInstance::new(Settings { may_probe: true, ..settings() }, 2);
    let mut timers = vec![(100.5, HOUSEKEEPING_TOKEN)];
    let server = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    instance.end_attempt(1, server, 0, Outcome::ConnectFailed);
    let actions = instance.advance_to(&mut timers, 103.0);
    assert!(actions.contains(&Action::Probe(server)));
    assert_ne!(instance.connect(request(5, 103.0)), Some(server), "no client's request is used as the trial");
    instance.handle(Event::ProbeEnded { server, outcome: Outcome::Ok, load_ratio: None });
    assert!((6..16).any(|id| instance.connect(request(id, 103.0)) == Some(server)));
}

#[test]
fn trials_begin_even_if_all_servers_are_quarantined() {
    let mut instance = TestInstance::new(settings(), 3);
    let mut server = attempted_server(&instance.receive(request(1, 100.0)));
    let mut attempt = 0;
    while let Some(failed) = server {
        server = attempted_server(&instance.end_attempt(1, failed, attempt, Outcome::ConnectFailed));
        attempt += 1;
    }
    instance.now = 103.0;
    assert!(
        instance.connect(request(9, 103.0)).is_some(),
        "a broken link must not quarantine all servers for good"
    );
}

#[test]
fn failed_set_ups_lower_the_rate_limit_and_successful_ones_raise_it() {
    let mut instance = TestInstance::new(settings(), 20);
    let mut attempts = 0;
    for id in 0..60 {
        instance.now += 0.02;
        if let Some(server) = attempted_server(&instance.receive(request(id, instance.now))) {
            attempts += 1;
            instance.end_attempt_as(id, server, 0, Outcome::Rejected, true);
        }
    }
    assert!(attempts < 50, "{attempts} of 60 requests were sent to servers that reject them");
    for id in 100..400 {
        instance.now += 0.5;
        instance.connect(request(id, instance.now));
    }
    let attempts = (500..520)
        .filter(|id| attempted_server(&instance.receive(request(*id, instance.now))).is_some())
        .count();
    assert_eq!(attempts, 20);
}

#[test]
fn errors_at_one_server_do_not_delay_clients_that_other_servers_can_accept() {
    let mut instance = TestInstance::new(settings(), 4);
    // A burst before the first error must not count against clients that arrive after the error.
    for id in 0..60 {
        instance.connect(request(id, 100.0)).expect("placed at once");
    }
    let mut errors = 0;
    for id in 100..160 {
        instance.now += 0.25;
        let mut server = attempted_server(&instance.receive(request(id, instance.now)));
        let mut attempt = 0;
        while server == Some(ServerId(1)) {
            errors += 1;
            server = attempted_server(&instance.end_attempt(id, ServerId(1), attempt, Outcome::Error));
            attempt += 1;
        }
        assert!(server.is_some(), "client {id} waits although three servers are healthy");
        instance.handle(Event::Established { request: RequestId(id), attempt });
    }
    assert!(errors > 0, "server 1 was never tried");
}

/// Connects 40 clients to one of two servers, and returns how many of them the first server gets.
fn clients_on_first_server(instance: &mut TestInstance) -> usize {
    (1000..1040).filter(|id| instance.connect(request(*id, instance.now)) == Some(ServerId(1))).count()
}

#[test]
fn an_error_without_a_success_elsewhere_is_not_attributed_to_the_server() {
    let mut instance = TestInstance::new(settings(), 2);
    for id in 0..9 {
        // The request fails at both servers, or its client leaves after the first error. In neither case does
        // another server accept a request that failed before.
        let mut server = attempted_server(&instance.receive(request(id, 100.0)));
        let mut attempt = 0;
        while let Some(failed) = server.filter(|server| *server == ServerId(1) || id % 2 == 0) {
            server = attempted_server(&instance.end_attempt(id, failed, attempt, Outcome::Error));
            attempt += 1;
        }
        instance.handle(Event::ClientLeft(RequestId(id)));
        if let Some(server) = server {
            instance.end_attempt_as(id, server, attempt, Outcome::Cancelled, true);
        }
    }
    assert_eq!(clients_on_first_server(&mut instance), 20);
}

#[test]
fn an_error_is_attributed_to_the_server_once_another_one_serves_the_request() {
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
    assert!(errors > 0 && clients_on_first_server(&mut instance) < 15);
}

#[test]
fn failures_of_clients_with_a_short_deadline_are_not_attributed_to_the_server() {
    for outcome in [Outcome::TimedOut, Outcome::Rejected] {
        let mut instance = TestInstance::new(settings(), 2);
        for id in 0..9 {
            let request = Request { deadline: 100.1, ..request(id, 100.0) };
            let mut server = attempted_server(&instance.receive(request));
            let mut attempt = 0;
            while let Some(failed) = server {
                server = attempted_server(&instance.end_attempt(id, failed, attempt, outcome));
                attempt += 1;
            }
        }
        assert_eq!(clients_on_first_server(&mut instance), 20, "{outcome:?}");
    }
}

#[test]
fn a_restart_ends_the_quarantine_of_a_server() {
    let mut instance = TestInstance::new(settings(), 2);
    let server = attempted_server(&instance.receive(request(1, 100.0))).unwrap();
    instance.end_attempt(1, server, 0, Outcome::ConnectFailed);
    let restarted = ServerEntry { started_at: 50.0, ..entry(server.0) };
    instance.handle(Event::EndpointList {
        is_complete: false,
        is_cached: false,
        entries: vec![restarted].into(),
    });
    assert!(
        (2..10).any(|id| instance.connect(request(id, 100.0)) == Some(server)),
        "the server is used after its restart"
    );
}
