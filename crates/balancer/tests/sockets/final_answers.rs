//! Final answers of requests that may have run: whatever ends a request, a refusal (`BUSY`) is only said where trying
//! again is harmless, and nothing is sent a second time that must not be. Incident of 2026-12-02.

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

use crate::start;

/// How long clients of every class wait.
const GIVE_UP: Duration = Duration::from_millis(2000);

/// A class of requests and what its settings say of repeating one.
#[derive(Clone, Copy, Debug)]
struct Effect {
    class: &'static str,
    semantics: &'static str,
    group: &'static str,
    /// A request that may have run may still be refused.
    is_refusable: bool,
}

const EFFECTS: [Effect; 4] = [
    Effect { class: "read", semantics: "read_like", group: "", is_refusable: true },
    Effect { class: "key-all", semantics: "idempotency_key", group: "all", is_refusable: true },
    Effect { class: "key-zone", semantics: "idempotency_key", group: "zone", is_refusable: false },
    Effect { class: "write", semantics: "non_idempotent", group: "", is_refusable: false },
];

/// A configuration with one class for each effect.
fn config_of_effects(servers: &[(&str, std::net::SocketAddr)]) -> Value {
    let mut settings = config(servers);
    let class = |effect: &Effect| {
        json!({"name": effect.class, "semantics": effect.semantics, "group": effect.group, "window_s": 5.0,
            "promise_s": 1.0, "give_up_s": GIVE_UP.as_secs_f64()})
    };
    settings["settings"]["classes"] = EFFECTS.iter().map(class).collect();
    settings
}

/// A client of this class that waits as long as its class does.
fn request(program: &Program, id: usize, effect: &Effect) -> Peer {
    let mut client = program.client();
    client.say(&format!(
        "OPEN {:x} {:x} c={},t=acme,d={}",
        id + 1,
        id + 1,
        effect.class,
        GIVE_UP.as_millis()
    ));
    client
}

/// One request of each effect whose first line the server has read, with the server's end of each.
fn sent_requests(program: &Program, server: &Node) -> Vec<(Effect, Peer, Peer)> {
    let send = |(id, effect): (usize, &Effect)| {
        let client = request(program, id, effect);
        let mut attempt = server.accept();
        attempt.line();
        (*effect, client, attempt)
    };
    EFFECTS.iter().enumerate().map(send).collect()
}

/// The next attempt, at whichever of the servers.
#[track_caller]
fn accept_at_any(servers: &[Node]) -> Peer {
    let by = Instant::now() + Duration::from_secs(10);
    while Instant::now() < by {
        let within = Duration::from_millis(10);
        if let Some(attempt) = servers.iter().find_map(|server| server.accept_within(within)) {
            return attempt;
        }
    }
    panic!("no attempt at any server");
}

/// The next attempt, at whichever of the servers, or what the client is told instead.
#[track_caller]
fn next_attempt_or_answer(servers: &[Node], client: &mut Peer) -> Result<Peer, String> {
    let by = Instant::now() + Duration::from_secs(10);
    while Instant::now() < by {
        let within = Duration::from_millis(10);
        if let Some(attempt) = servers.iter().find_map(|server| server.accept_within(within)) {
            return Ok(attempt);
        }
        if client.has_word(within) {
            return Err(client.line());
        }
    }
    panic!("neither an attempt nor an answer");
}

/// Checks the final answer of a request that may have run.
#[track_caller]
fn expect_answer_after_run(effect: &Effect, client: &mut Peer) {
    let answer = client.line();
    let is_refusal = answer.starts_with("BUSY");
    assert!(is_refusal || answer == "ERR", "{effect:?}: {answer}");
    assert!(effect.is_refusable || !is_refusal, "{effect:?}: refused though it may have run: {answer}");
    assert_eq!(client.hear(), Heard::Fin);
}

/// A program with one server, and one request of each effect that the server has read.
fn start_and_send() -> (Node, Program, Vec<(Effect, Peer, Peer)>) {
    let server = Node::new();
    let program = start(&config_of_effects(&[("s-1", server.address())]));
    let requests = sent_requests(&program, &server);
    (server, program, requests)
}

/// Checks the final answers of requests that may have run, and that the program ends.
#[track_caller]
fn expect_answers_and_end(mut program: Program, mut requests: Vec<(Effect, Peer, Peer)>) {
    for (effect, client, _) in &mut requests {
        expect_answer_after_run(effect, client);
    }
    drop(requests);
    assert!(program.wait().success());
}

/// Has the program read a configuration that calls every class safe.
fn call_all_safe(program: &Program, settings: &Value) {
    let mut safe = settings.clone();
    for class in safe["settings"]["classes"].as_array_mut().expect("classes") {
        class["semantics"] = json!("read_like");
    }
    program.reconfigure(&safe.to_string());
    program.logged("reloaded");
}

#[test]
fn a_request_at_a_server_that_hangs_through_the_shutdown_is_not_refused() {
    let (_server, program, requests) = start_and_send();
    program.terminate();
    expect_answers_and_end(program, requests);
}

#[test]
fn a_request_whose_server_answers_after_the_planned_answers_is_served_or_failed() {
    let (_server, mut program, mut requests) = start_and_send();
    program.terminate();
    let leaving = Instant::now();
    std::thread::sleep((GIVE_UP - Duration::from_millis(300)).saturating_sub(leaving.elapsed()));
    for (effect, client, attempt) in &mut requests {
        // A refused request's attempt was ended: nobody hears this.
        attempt.try_put(b"UP 1\r\n");
        if effect.is_refusable {
            continue;
        }
        assert_eq!(client.line(), "UP 1", "{effect:?}: its server took it in time");
        assert_eq!((client.line(), client.hear()), ("MOVE".into(), Heard::Fin));
    }
    drop(requests);
    assert!(program.wait().success());
}

/// Checks the answer of a request that has certainly never run: it may be refused, whatever its class.
#[track_caller]
fn expect_answer_before_run(effect: &Effect, client: &mut Peer) {
    let answer = client.line();
    assert!(answer.starts_with("BUSY"), "{effect:?}: never sent, and told {answer}");
    assert_eq!(client.hear(), Heard::Fin);
}

#[test]
fn an_error_from_the_server_during_the_shutdown_is_no_refusal() {
    let (server, mut program, mut requests) = start_and_send();
    program.terminate();
    program.logged("shutting-down");
    for (effect, client, attempt) in &mut requests {
        attempt.say("ERR");
        expect_answer_after_run(effect, client);
    }
    assert!(!server.is_called(), "an attempt at the only server, which has failed");
    drop(requests);
    assert!(program.wait().success());
}

#[test]
fn a_reset_after_the_line_during_the_shutdown_is_no_refusal_and_not_repeated_where_it_must_not_be() {
    let servers = [Node::new(), Node::new()];
    let near = endpoint("s-1", servers[0].address(), "Ready");
    let mut far = endpoint("s-2", servers[1].address(), "Ready");
    far.zone = "b".into();
    let mut settings = config_of_effects(&[]);
    settings["known"]["endpoints"] = json!([near, far]);
    let mut program = start(&settings);
    let mut requests = Vec::new();
    for (id, effect) in EFFECTS.iter().enumerate() {
        let client = request(&program, id, effect);
        let mut attempt = accept_at_any(&servers);
        attempt.line();
        requests.push((*effect, client, attempt));
    }
    program.terminate();
    program.logged("shutting-down");
    for (effect, mut client, attempt) in requests {
        attempt.reset();
        if effect.is_refusable {
            // The first one must be tried at the other server. Its own end then closes the repeats of all others, as both
            // servers have failed ("repeats=closed failing=2 of=2"): the next one may be refused instead.
            match next_attempt_or_answer(&servers, &mut client) {
                Ok(mut second) => {
                    second.line();
                    second.say("UP 2");
                    assert_eq!(client.line(), "UP 2");
                }
                Err(answer) => {
                    assert!(effect.class != EFFECTS[0].class, "not tried again: {answer}");
                    assert!(answer.starts_with("BUSY"), "{effect:?}: {answer}");
                }
            }
            continue;
        }
        expect_answer_after_run(&effect, &mut client);
        assert!(!servers.iter().any(Node::is_called), "{effect:?}: sent again");
    }
    assert!(program.wait().success());
}

#[test]
fn a_request_whose_dial_is_pending_at_the_planned_answers_is_refused() {
    let (server, _queue) = Node::full();
    let mut settings = config_of_effects(&[("s-1", server.address())]);
    settings["settings"]["limits"]["connect_timeout_s"] = json!(30.0);
    let mut program = start(&settings);
    let mut clients: Vec<_> =
        EFFECTS.iter().enumerate().map(|(id, effect)| (effect, request(&program, id, effect))).collect();
    program.settled();
    program.terminate();
    for (effect, client) in &mut clients {
        expect_answer_before_run(effect, client);
    }
    drop(clients);
    assert!(program.wait().success());
}

#[test]
fn a_request_that_a_server_turned_away_before_the_shutdown_is_refused() {
    let (_server, mut program, mut requests) = start_and_send();
    program.terminate();
    program.logged("shutting-down");
    for (effect, client, attempt) in &mut requests {
        attempt.say("BUSY");
        expect_answer_before_run(effect, client);
    }
    drop(requests);
    assert!(program.wait().success());
}

#[test]
fn a_request_that_arrives_during_the_shutdown_is_refused_and_never_sent() {
    let server = Node::new();
    let mut program = start(&config_of_effects(&[("s-1", server.address())]));
    program.terminate();
    program.logged("shutting-down");
    for (id, effect) in EFFECTS.iter().enumerate() {
        expect_answer_before_run(effect, &mut request(&program, id, effect));
    }
    assert!(!server.is_called());
    assert!(program.wait().success());
}

#[test]
fn a_second_order_to_end_and_a_reload_change_no_final_answer() {
    let server = Node::new();
    let settings = config_of_effects(&[("s-1", server.address())]);
    let program = start(&settings);
    let requests = sent_requests(&program, &server);
    // The reload calls every class safe: what was taken before it stays what it was.
    call_all_safe(&program, &settings);
    program.terminate();
    program.logged("shutting-down");
    program.terminate();
    expect_answers_and_end(program, requests);
}

#[test]
fn a_reload_does_not_make_a_request_repeatable_that_was_taken_before_it() {
    let servers = [Node::new(), Node::new()];
    let known = [("s-1", servers[0].address()), ("s-2", servers[1].address())];
    let settings = config_of_effects(&known);
    let program = start(&settings);
    let write = &EFFECTS[3];
    let mut client = request(&program, 0, write);
    let mut attempt = accept_at_any(&servers);
    attempt.line();
    call_all_safe(&program, &settings);
    attempt.reset();
    expect_answer_after_run(write, &mut client);
    assert!(!servers.iter().any(Node::is_called), "sent again");
}

#[test]
fn a_request_that_waits_here_while_a_successor_takes_over_is_not_refused_after_it_was_sent() {
    let server = Node::new();
    let settings = crate::operators::with_operator_address(config_of_effects(&[("s-1", server.address())]));
    let old = start(&settings);
    let requests = sent_requests(&old, &server);
    let mut same = settings.clone();
    same["listen"] = json!(old.address());
    let _new = old.start_beside(crate::BINARY, &same);
    old.terminate();
    assert!(old.logged("event=shutting-down").contains("successor=true"));
    expect_answers_and_end(old, requests);
}

#[test]
fn a_deadline_in_the_turn_of_the_planned_answers_is_no_refusal() {
    let (_server, program, requests) = start_and_send();
    program.terminate();
    program.logged("shutting-down");
    let over = Instant::now() + GIVE_UP + Duration::from_millis(50);
    program.pause();
    std::thread::sleep(over.saturating_duration_since(Instant::now()));
    program.resume();
    expect_answers_and_end(program, requests);
}

#[test]
fn a_deadline_that_passes_while_the_process_stands_still_is_no_refusal() {
    let server = Node::new();
    let program = start(&config_of_effects(&[("s-1", server.address())]));
    let mut requests = sent_requests(&program, &server);
    let over = Instant::now() + GIVE_UP + Duration::from_millis(200);
    program.pause();
    std::thread::sleep(over.saturating_duration_since(Instant::now()));
    program.resume();
    for (effect, client, _) in &mut requests {
        expect_answer_after_run(effect, client);
    }
}
