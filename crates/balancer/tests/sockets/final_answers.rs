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

/// Checks the final answer of a request that may have run.
#[track_caller]
fn expect_answer_after_run(effect: &Effect, client: &mut Peer) {
    let answer = client.line();
    let is_refusal = answer.starts_with("BUSY");
    assert!(is_refusal || answer == "ERR", "{effect:?}: {answer}");
    assert!(effect.is_refusable || !is_refusal, "{effect:?}: refused though it may have run: {answer}");
    assert_eq!(client.hear(), Heard::Fin);
}

#[test]
fn a_request_at_a_server_that_hangs_through_the_shutdown_is_not_refused() {
    let server = Node::new();
    let mut program = start(&config_of_effects(&[("s-1", server.address())]));
    let mut requests = sent_requests(&program, &server);
    program.terminate();
    for (effect, client, _) in &mut requests {
        expect_answer_after_run(effect, client);
    }
    drop(requests);
    assert!(program.wait().success());
}

#[test]
fn a_request_whose_server_answers_after_the_planned_answers_is_served_or_failed() {
    let server = Node::new();
    let mut program = start(&config_of_effects(&[("s-1", server.address())]));
    let mut requests = sent_requests(&program, &server);
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
