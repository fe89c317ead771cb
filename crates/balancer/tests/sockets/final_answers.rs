//! Final answers of requests that may have run. A rejection (`BUSY`) invites the client to retry, so it must only be
//! sent where a retry is harmless; and a request that must not be repeated is never sent to a server twice.
//!
//! Regression tests for the incident of 2026-12-02.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

use crate::start;

/// The client timeout of every class.
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2000);

/// A class of requests, with the settings that decide whether a request may be repeated.
#[derive(Clone, Copy, Debug)]
struct RetryClass {
    name: &'static str,
    semantics: &'static str,
    group: &'static str,
    /// A request that may have run may still be rejected.
    is_rejectable: bool,
}

const CLASSES: [RetryClass; 4] = [
    RetryClass { name: "read", semantics: "read_like", group: "", is_rejectable: true },
    RetryClass { name: "key-all", semantics: "idempotency_key", group: "all", is_rejectable: true },
    RetryClass { name: "key-zone", semantics: "idempotency_key", group: "zone", is_rejectable: false },
    RetryClass { name: "write", semantics: "non_idempotent", group: "", is_rejectable: false },
];

/// A configuration with these classes.
fn config_with_classes(servers: &[(&str, std::net::SocketAddr)]) -> Value {
    let mut settings = config(servers);
    let class_settings = |class: &RetryClass| {
        json!({"name": class.name, "semantics": class.semantics, "group": class.group, "window_s": 5.0,
            "promise_s": 1.0, "give_up_s": CLIENT_TIMEOUT.as_secs_f64()})
    };
    settings["settings"]["classes"] = CLASSES.iter().map(class_settings).collect();
    settings
}

/// Opens a request of this class, with the client timeout of the class as its deadline.
fn request(program: &BalancerProcess, id: usize, class: &RetryClass) -> Connection {
    let mut client = program.connect();
    client.send_line(&format!(
        "OPEN {:x} {:x} c={},t=acme,d={}",
        id + 1,
        id + 1,
        class.name,
        CLIENT_TIMEOUT.as_millis()
    ));
    client
}

/// Opens one request of each class and reads its first line at the server. Returns each with its attempt.
fn sent_requests(program: &BalancerProcess, server: &Server) -> Vec<(RetryClass, Connection, Connection)> {
    let send = |(id, class): (usize, &RetryClass)| {
        let client = request(program, id, class);
        let mut attempt = server.accept();
        attempt.receive_line();
        (*class, client, attempt)
    };
    CLASSES.iter().enumerate().map(send).collect()
}

/// Waits for the next attempt at any of the servers.
#[track_caller]
fn accept_at_any(servers: &[Server]) -> Connection {
    let by = Instant::now() + Duration::from_secs(10);
    while Instant::now() < by {
        let within = Duration::from_millis(10);
        if let Some(attempt) = servers.iter().find_map(|server| server.accept_within(within)) {
            return attempt;
        }
    }
    panic!("no attempt at any server in time");
}

/// Waits for the next attempt at any of the servers, or for an answer to the client.
#[track_caller]
fn next_attempt_or_answer(servers: &[Server], client: &mut Connection) -> Result<Connection, String> {
    let by = Instant::now() + Duration::from_secs(10);
    while Instant::now() < by {
        let within = Duration::from_millis(10);
        if let Some(attempt) = servers.iter().find_map(|server| server.accept_within(within)) {
            return Ok(attempt);
        }
        if client.has_input(within) {
            return Err(client.receive_line());
        }
    }
    panic!("neither an attempt nor an answer in time");
}

/// Checks the final answer of a request that may have run.
#[track_caller]
fn expect_answer_after_run(class: &RetryClass, client: &mut Connection) {
    let answer = client.receive_line();
    let is_rejection = answer.starts_with("BUSY");
    assert!(is_rejection || answer == "ERR", "{class:?}: {answer}");
    assert!(class.is_rejectable || !is_rejection, "{class:?}: rejected though it may have run: {answer}");
    assert_eq!(client.receive(), Received::Fin);
}

/// Starts a program with one server, and opens one request of each class whose first line the server has read.
fn start_and_send() -> (Server, BalancerProcess, Vec<(RetryClass, Connection, Connection)>) {
    let server = Server::new();
    let program = start(&config_with_classes(&[("s-1", server.address())]));
    let requests = sent_requests(&program, &server);
    (server, program, requests)
}

/// Checks the final answers of requests that may have run, and that the program exits successfully.
#[track_caller]
fn expect_answers_and_exit(
    mut program: BalancerProcess,
    mut requests: Vec<(RetryClass, Connection, Connection)>,
) {
    for (class, client, _) in &mut requests {
        expect_answer_after_run(class, client);
    }
    drop(requests);
    assert!(program.wait().success());
}

/// Reloads the program with a configuration in which requests of every class may be repeated.
fn make_all_repeatable(program: &BalancerProcess, settings: &Value) {
    let mut repeatable = settings.clone();
    for class in repeatable["settings"]["classes"].as_array_mut().expect("classes") {
        class["semantics"] = json!("read_like");
    }
    program.reconfigure(&repeatable.to_string());
    program.wait_for_log("reloaded");
}

#[test]
fn an_unanswered_request_is_not_rejected_at_the_end_of_a_shutdown() {
    let (_server, program, requests) = start_and_send();
    program.terminate();
    expect_answers_and_exit(program, requests);
}

#[test]
fn a_request_whose_server_answers_late_in_a_shutdown_is_served_unless_rejected_before() {
    let (_server, mut program, mut requests) = start_and_send();
    program.terminate();
    let terminated_at = Instant::now();
    std::thread::sleep((CLIENT_TIMEOUT - Duration::from_millis(300)).saturating_sub(terminated_at.elapsed()));
    for (class, client, attempt) in &mut requests {
        // The attempt of a rejected request has been cancelled, so this answer is ignored.
        attempt.try_send_bytes(b"UP 1\r\n");
        if class.is_rejectable {
            continue;
        }
        assert_eq!(client.receive_line(), "UP 1", "{class:?}: its server accepted it in time");
        assert_eq!((client.receive_line(), client.receive()), ("MOVE".into(), Received::Fin));
    }
    drop(requests);
    assert!(program.wait().success());
}

/// Checks the answer of a request that has certainly not run: it is rejected, whatever its class.
#[track_caller]
fn expect_answer_before_run(class: &RetryClass, client: &mut Connection) {
    let answer = client.receive_line();
    assert!(answer.starts_with("BUSY"), "{class:?}: never sent, but answered {answer}");
    assert_eq!(client.receive(), Received::Fin);
}

#[test]
fn an_error_from_the_server_during_a_shutdown_is_not_turned_into_a_rejection() {
    let (server, mut program, mut requests) = start_and_send();
    program.terminate();
    program.wait_for_log("shutting-down");
    for (class, client, attempt) in &mut requests {
        attempt.send_line("ERR");
        expect_answer_after_run(class, client);
    }
    assert!(!server.has_pending_connection(), "another attempt at the only server, which has failed");
    drop(requests);
    assert!(program.wait().success());
}

#[test]
fn a_reset_of_a_sent_request_during_a_shutdown_is_retried_only_if_repeatable() {
    let servers = [Server::new(), Server::new()];
    let same_zone = endpoint("s-1", servers[0].address(), "Ready");
    let mut other_zone = endpoint("s-2", servers[1].address(), "Ready");
    other_zone.zone = "b".into();
    let mut settings = config_with_classes(&[]);
    settings["known"]["endpoints"] = json!([same_zone, other_zone]);
    let mut program = start(&settings);
    let mut requests = Vec::new();
    for (id, class) in CLASSES.iter().enumerate() {
        let client = request(&program, id, class);
        let mut attempt = accept_at_any(&servers);
        attempt.receive_line();
        requests.push((*class, client, attempt));
    }
    program.terminate();
    program.wait_for_log("shutting-down");
    for (class, mut client, attempt) in requests {
        attempt.reset();
        if class.is_rejectable {
            // The first request must be retried at the other server. When its connection ends, both servers have
            // failed, which suspends all retries ("repeats=closed failing=2 of=2"): the next request may be rejected
            // instead.
            match next_attempt_or_answer(&servers, &mut client) {
                Ok(mut second) => {
                    second.receive_line();
                    second.send_line("UP 2");
                    assert_eq!(client.receive_line(), "UP 2");
                }
                Err(answer) => {
                    assert!(class.name != CLASSES[0].name, "not retried: {answer}");
                    assert!(answer.starts_with("BUSY"), "{class:?}: {answer}");
                }
            }
            continue;
        }
        expect_answer_after_run(&class, &mut client);
        assert!(!servers.iter().any(Server::has_pending_connection), "{class:?}: sent a second time");
    }
    assert!(program.wait().success());
}

#[test]
fn a_request_whose_connect_is_pending_in_a_shutdown_is_rejected() {
    let (server, _queue) = Server::with_full_backlog();
    let mut settings = config_with_classes(&[("s-1", server.address())]);
    settings["settings"]["limits"]["connect_timeout_s"] = json!(30.0);
    let mut program = start(&settings);
    let mut clients: Vec<_> =
        CLASSES.iter().enumerate().map(|(id, class)| (class, request(&program, id, class))).collect();
    program.sync();
    program.terminate();
    for (class, client) in &mut clients {
        expect_answer_before_run(class, client);
    }
    drop(clients);
    assert!(program.wait().success());
}

#[test]
fn a_request_that_its_server_rejects_during_a_shutdown_is_rejected() {
    let (_server, mut program, mut requests) = start_and_send();
    program.terminate();
    program.wait_for_log("shutting-down");
    for (class, client, attempt) in &mut requests {
        attempt.send_line("BUSY");
        expect_answer_before_run(class, client);
    }
    drop(requests);
    assert!(program.wait().success());
}

#[test]
fn a_request_that_arrives_during_a_shutdown_is_rejected_and_never_sent() {
    let server = Server::new();
    let mut program = start(&config_with_classes(&[("s-1", server.address())]));
    program.terminate();
    program.wait_for_log("shutting-down");
    for (id, class) in CLASSES.iter().enumerate() {
        expect_answer_before_run(class, &mut request(&program, id, class));
    }
    assert!(!server.has_pending_connection());
    assert!(program.wait().success());
}

#[test]
fn a_second_sigterm_and_a_reload_change_no_final_answer() {
    let server = Server::new();
    let settings = config_with_classes(&[("s-1", server.address())]);
    let program = start(&settings);
    let requests = sent_requests(&program, &server);
    // Requests that were accepted before the reload keep the settings of their class.
    make_all_repeatable(&program, &settings);
    program.terminate();
    program.wait_for_log("shutting-down");
    program.terminate();
    expect_answers_and_exit(program, requests);
}

#[test]
fn a_reload_does_not_make_an_accepted_request_repeatable() {
    let servers = [Server::new(), Server::new()];
    let known = [("s-1", servers[0].address()), ("s-2", servers[1].address())];
    let settings = config_with_classes(&known);
    let program = start(&settings);
    let write = &CLASSES[3];
    let mut client = request(&program, 0, write);
    let mut attempt = accept_at_any(&servers);
    attempt.receive_line();
    make_all_repeatable(&program, &settings);
    attempt.reset();
    expect_answer_after_run(write, &mut client);
    assert!(!servers.iter().any(Server::has_pending_connection), "sent a second time");
}

#[test]
fn a_sent_request_is_not_rejected_in_a_shutdown_with_a_successor() {
    let server = Server::new();
    let settings = crate::operators::with_operator_address(config_with_classes(&[("s-1", server.address())]));
    let old = start(&settings);
    let requests = sent_requests(&old, &server);
    let mut same = settings.clone();
    same["listen"] = json!(old.address());
    let _new = old.start_sibling(crate::BINARY, &same);
    old.terminate();
    assert!(old.wait_for_log("event=shutting-down").contains("successor=true"));
    expect_answers_and_exit(old, requests);
}

#[test]
fn a_deadline_missed_while_paused_in_a_shutdown_does_not_cause_a_rejection() {
    let (_server, program, requests) = start_and_send();
    program.terminate();
    program.wait_for_log("shutting-down");
    let past_deadline = Instant::now() + CLIENT_TIMEOUT + Duration::from_millis(50);
    program.pause();
    std::thread::sleep(past_deadline.saturating_duration_since(Instant::now()));
    program.resume();
    expect_answers_and_exit(program, requests);
}

#[test]
fn a_deadline_missed_while_paused_does_not_cause_a_rejection() {
    let server = Server::new();
    let program = start(&config_with_classes(&[("s-1", server.address())]));
    let mut requests = sent_requests(&program, &server);
    let past_deadline = Instant::now() + CLIENT_TIMEOUT + Duration::from_millis(200);
    program.pause();
    std::thread::sleep(past_deadline.saturating_duration_since(Instant::now()));
    program.resume();
    for (class, client, _) in &mut requests {
        expect_answer_after_run(class, client);
    }
}
