//! Moments in which something ends while something else crosses it: who is still owed what gets it. Where the order matters
//! the program is held still meanwhile.

use std::time::{Duration, Instant};

use serde_json::json;
use shorewharf_emulator::standin::*;

use crate::start;

#[test]
fn a_client_that_ended_before_it_was_accepted_has_no_attempt() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    program.pause();
    // All of it waits in the system: the connection, its line and its end.
    let finished = program.open("");
    finished.finish();
    let gone = program.open("");
    drop(gone);
    program.resume();
    program.settled();
    assert!(!server.is_called(), "an attempt began for a client that had gone");
    program.stand(&server);
}

#[test]
fn a_line_that_waits_in_the_system_when_its_time_is_over_is_served() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut late, mut front) = (program.client(), program.client());
    // Both have been accepted.
    front.say("PING");
    assert_eq!(front.line(), "PONG");
    program.settled();
    let over = Instant::now() + Duration::from_millis(2600);
    program.pause();
    late.say("OPEN 1 2 c=chat,t=acme,d=20000");
    front.say("PING");
    while Instant::now() < over {
        std::thread::yield_now();
    }
    program.resume();
    assert_eq!(front.line(), "PONG");
    server.stand(late);
}

#[test]
fn who_waits_at_the_listener_when_the_program_is_about_to_end_is_told_to_come_again() {
    let mut program = start(&config(&[]));
    program.terminate();
    program.logged("shutting-down");
    // Nobody is here: the end is due 0.55 s later. More wait by then than one turn accepts.
    let over = Instant::now() + Duration::from_millis(600);
    program.pause();
    let mut waiting: Vec<_> = (0..100).map(|id| program.open_as(&format!("{id:x}"), "")).collect();
    while Instant::now() < over {
        std::thread::yield_now();
    }
    program.resume();
    for client in &mut waiting {
        let heard = client.hear();
        assert!(matches!(&heard, Heard::Line(line) if line.starts_with("BUSY")), "{heard:?}");
        assert_eq!(client.hear(), Heard::Fin);
    }
    drop(waiting);
    assert!(program.wait().success());
}

#[test]
fn a_client_that_has_said_nothing_is_ended_in_good_order_at_a_planned_end() {
    let mut program = start(&config(&[]));
    let mut silent = program.client();
    let mut front = program.client();
    front.say("PING");
    assert_eq!(front.line(), "PONG");
    program.settled();
    program.terminate();
    assert_eq!((silent.hear(), front.hear()), (Heard::Fin, Heard::Fin));
    // What is still written is read, and does not make the end a reset.
    front.put(b"PING\r\n");
    assert_eq!(front.hear(), Heard::Fin);
    drop((silent, front));
    assert!(program.wait().success());
}

#[test]
fn a_second_order_to_end_changes_nothing() {
    let server = Node::new();
    let mut program = start(&config(&[("s-1", server.address())]));
    let (mut client, mut s) = program.stand(&server);
    program.terminate();
    program.logged("shutting-down");
    program.terminate();
    assert!(program.open("").line().starts_with("BUSY"));
    client.say("M 1");
    assert_eq!(s.line(), "M 1");
    s.say("M 1");
    assert_eq!((client.line(), client.line()), ("M 1".into(), "MOVE".into()));
    assert_eq!(client.hear(), Heard::Fin);
    drop(client);
    assert!(program.wait().success());
}

#[test]
fn requests_on_their_way_are_not_dropped_with_idle_connections_that_make_room() {
    let server = Node::new();
    let mut settings = config(&[("s-1", server.address())]);
    settings["limits"]["sockets"] = json!(96);
    let program = start(&settings);
    // As many idle connections as may be held; each of the oldest writes its line while the program stands still, and
    // others come that need room.
    let mut idle: Vec<_> = (0..20).map(|_| program.client()).collect();
    program.settled();
    program.pause();
    for (id, client) in idle.iter_mut().take(5).enumerate() {
        client.say(&format!("OPEN {id:x} 2 c=chat,t=acme,d=20000"));
    }
    let _more: Vec<_> = (0..30).map(|_| program.client()).collect();
    program.resume();
    for client in idle.drain(..5) {
        server.stand(client);
    }
}

#[test]
fn no_further_attempt_begins_for_a_client_that_has_gone_meanwhile() {
    let servers = [Node::new(), Node::new()];
    let program = start(&config(&[("s-1", servers[0].address()), ("s-2", servers[1].address())]));
    let client = program.open("");
    let (at, mut first) = loop {
        let turn = Duration::from_millis(20);
        let came = servers.iter().enumerate().find_map(|(i, s)| Some((i, s.accept_within(turn)?)));
        if let Some(came) = came {
            break came;
        }
        assert!(!client.has_word(Duration::from_millis(1)), "an answer without an attempt");
    };
    first.line();
    program.pause();
    // The refusal is there first, so that it is heard first; the client has gone all the same.
    first.say("BUSY");
    drop(client);
    program.resume();
    assert_eq!(first.hear(), Heard::Fin);
    program.settled();
    assert!(!servers[1 - at].is_called(), "another attempt began for a client that had gone");
}

#[test]
fn a_client_that_goes_as_its_server_takes_it_leaves_nothing_behind() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    for up_first in [true, false] {
        let client = program.open("");
        let mut s = server.accept();
        s.line();
        program.pause();
        if up_first {
            s.say("UP 1");
            drop(client);
        } else {
            drop(client);
            s.say("UP 1");
        }
        program.resume();
        assert!(matches!(s.hear(), Heard::Fin | Heard::Reset));
        assert!(!server.is_called(), "a second attempt");
    }
    program.stand(&server);
}

#[test]
fn an_answer_that_comes_with_the_deadline_is_the_only_one() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    for answer in ["UP 1", "BUSY", "ERR"] {
        let mut client = program.client();
        client.say("OPEN 1 2 c=chat,t=acme,d=400");
        let over = Instant::now() + Duration::from_millis(450);
        let mut s = server.accept();
        s.line();
        program.pause();
        s.say(answer);
        while Instant::now() < over {
            std::thread::yield_now();
        }
        program.resume();
        let line = client.line();
        if line == "UP 1" {
            client.say("M 1");
            assert_eq!(s.line(), "M 1");
        } else {
            assert!(line.starts_with("BUSY") || line == "ERR", "{line}");
            assert_eq!(client.hear(), Heard::Fin);
            // What the server said may not have been read when the attempt was given up.
            assert!(matches!(s.hear(), Heard::Fin | Heard::Reset));
        }
        assert!(!server.is_called(), "an attempt after the deadline");
    }
}

#[test]
fn a_client_that_leaves_while_the_dial_comes_up_has_no_attempt() {
    let (host, queue) = Node::full();
    let mut settings = config(&[("s-1", host.address())]);
    settings["settings"]["limits"]["connect_timeout_s"] = json!(30.0);
    let program = start(&settings);
    let client = program.open("");
    program.settled();
    program.pause();
    queue.iter().for_each(|_| drop(host.accept()));
    // The dial is heard of first, then the client's end.
    let mut attempt = host.accept();
    drop(client);
    std::thread::sleep(Duration::from_millis(150));
    program.resume();
    assert_eq!(attempt.hear(), Heard::Fin, "a first line for a client that had gone");
}
