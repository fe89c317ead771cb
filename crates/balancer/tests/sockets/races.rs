//! Races: the end of a client, an attempt or the program coincides with another event. Where the order of events
//! matters, the program is paused with SIGSTOP until all of them have arrived.

use std::time::{Duration, Instant};

use serde_json::json;
use shorewharf_emulator::standin::*;

use crate::start;

#[test]
fn no_attempt_is_made_for_a_client_that_closed_before_it_was_accepted() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    program.pause();
    // The connection, its first line and its end all wait in the kernel.
    let finished = program.open("");
    finished.shutdown_write();
    let closed = program.open("");
    drop(closed);
    program.resume();
    program.sync();
    assert!(!server.has_pending_connection(), "an attempt for a client that has closed its connection");
    program.establish(&server);
}

#[test]
fn a_first_line_that_arrived_before_its_deadline_is_served_though_read_after_it() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut late, mut front_end) = (program.connect(), program.connect());
    // The reply shows that both connections have been accepted.
    front_end.send_line("PING");
    assert_eq!(front_end.receive_line(), "PONG");
    program.sync();
    let resume_at = Instant::now() + Duration::from_millis(2600);
    program.pause();
    late.send_line("OPEN 1 2 c=chat,t=acme,d=20000");
    front_end.send_line("PING");
    while Instant::now() < resume_at {
        std::thread::yield_now();
    }
    program.resume();
    assert_eq!(front_end.receive_line(), "PONG");
    server.establish(late);
}

#[test]
fn clients_in_the_backlog_at_the_end_of_a_shutdown_are_rejected() {
    let mut program = start(&config(&[]));
    program.terminate();
    program.wait_for_log("shutting-down");
    // Without clients the process ends 0.55 s later. By then more clients wait than one iteration of the event loop
    // accepts.
    let resume_at = Instant::now() + Duration::from_millis(600);
    program.pause();
    let mut waiting: Vec<_> = (0..100).map(|id| program.open_with_id(&format!("{id:x}"), "")).collect();
    while Instant::now() < resume_at {
        std::thread::yield_now();
    }
    program.resume();
    for client in &mut waiting {
        let answer = client.receive();
        assert!(matches!(&answer, Received::Line(line) if line.starts_with("BUSY")), "{answer:?}");
        assert_eq!(client.receive(), Received::Fin);
    }
    drop(waiting);
    assert!(program.wait().success());
}

#[test]
fn silent_clients_are_rejected_and_closed_without_a_reset_in_a_shutdown() {
    let mut program = start(&config(&[]));
    let mut silent = program.connect();
    let mut front_end = program.connect();
    front_end.send_line("PING");
    assert_eq!(front_end.receive_line(), "PONG");
    program.sync();
    program.terminate();
    for client in [&mut silent, &mut front_end] {
        assert!(client.receive_line().starts_with("BUSY "), "a request on its way would get no answer");
        assert_eq!(client.receive(), Received::Fin);
    }
    // The program still reads input, so the connections are not reset.
    silent.send_line("OPEN 1 2 c=chat,t=acme,d=20000");
    front_end.send_bytes(b"PING\r\n");
    assert_eq!((silent.receive(), front_end.receive()), (Received::Fin, Received::Fin));
    drop((silent, front_end));
    assert!(program.wait().success());
}

#[test]
fn a_second_sigterm_changes_nothing() {
    let server = Server::new();
    let mut program = start(&config(&[("s-1", server.address())]));
    let (mut client, mut upstream) = program.establish(&server);
    program.terminate();
    program.wait_for_log("shutting-down");
    program.terminate();
    assert!(program.open("").receive_line().starts_with("BUSY"));
    client.send_line("M 1");
    assert_eq!(upstream.receive_line(), "M 1");
    upstream.send_line("M 1");
    assert_eq!((client.receive_line(), client.receive_line()), ("M 1".into(), "MOVE".into()));
    assert_eq!(client.receive(), Received::Fin);
    drop(client);
    assert!(program.wait().success());
}

#[test]
fn a_connection_with_a_received_request_is_not_evicted_as_idle() {
    let server = Server::new();
    let mut settings = config(&[("s-1", server.address())]);
    settings["limits"]["sockets"] = json!(96);
    let program = start(&settings);
    // As many idle connections as there are descriptors for. While the program is paused, the oldest ones send their
    // requests, and further clients connect that need descriptors.
    let mut idle: Vec<_> = (0..20).map(|_| program.connect()).collect();
    program.sync();
    program.pause();
    for (id, client) in idle.iter_mut().take(5).enumerate() {
        client.send_line(&format!("OPEN {id:x} 2 c=chat,t=acme,d=20000"));
    }
    let _further: Vec<_> = (0..30).map(|_| program.connect()).collect();
    program.resume();
    for client in idle.drain(..5) {
        server.establish(client);
    }
}

#[test]
fn no_second_attempt_begins_for_a_client_that_has_disconnected() {
    let servers = [Server::new(), Server::new()];
    let program = start(&config(&[("s-1", servers[0].address()), ("s-2", servers[1].address())]));
    let client = program.open("");
    let (first_server, mut first) = loop {
        let step = Duration::from_millis(20);
        let accepted =
            servers.iter().enumerate().find_map(|(i, server)| Some((i, server.accept_within(step)?)));
        if let Some(accepted) = accepted {
            break accepted;
        }
        assert!(!client.has_input(Duration::from_millis(1)), "an answer without an attempt");
    };
    first.receive_line();
    program.pause();
    // The server's rejection arrives before the end of the client and is read first; the client has disconnected all
    // the same.
    first.send_line("BUSY");
    drop(client);
    program.resume();
    assert_eq!(first.receive(), Received::Fin);
    program.sync();
    assert!(
        !servers[1 - first_server].has_pending_connection(),
        "another attempt for a client that has disconnected"
    );
}

#[test]
fn a_client_that_disconnects_as_its_server_accepts_it_leaves_no_connection() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    for up_first in [true, false] {
        let client = program.open("");
        let mut upstream = server.accept();
        upstream.receive_line();
        program.pause();
        if up_first {
            upstream.send_line("UP 1");
            drop(client);
        } else {
            drop(client);
            upstream.send_line("UP 1");
        }
        program.resume();
        assert!(matches!(upstream.receive(), Received::Fin | Received::Reset));
        assert!(!server.has_pending_connection(), "a second attempt");
    }
    program.establish(&server);
}

#[test]
fn a_server_answer_at_the_deadline_leads_to_exactly_one_answer() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    for answer in ["UP 1", "BUSY", "ERR"] {
        let mut client = program.connect();
        client.send_line("OPEN 1 2 c=chat,t=acme,d=400");
        let resume_at = Instant::now() + Duration::from_millis(450);
        let mut upstream = server.accept();
        upstream.receive_line();
        program.pause();
        upstream.send_line(answer);
        while Instant::now() < resume_at {
            std::thread::yield_now();
        }
        program.resume();
        let line = client.receive_line();
        if line == "UP 1" {
            client.send_line("M 1");
            assert_eq!(upstream.receive_line(), "M 1");
        } else {
            assert!(line.starts_with("BUSY") || line == "ERR", "{line}");
            assert_eq!(client.receive(), Received::Fin);
            // The attempt may be cancelled before the server's answer is read, which causes a reset.
            assert!(matches!(upstream.receive(), Received::Fin | Received::Reset));
        }
        assert!(!server.has_pending_connection(), "an attempt after the deadline");
    }
}

#[test]
fn nothing_is_sent_for_a_client_that_disconnects_as_its_connect_completes() {
    let (host, queue) = Server::with_full_backlog();
    let mut settings = config(&[("s-1", host.address())]);
    settings["settings"]["limits"]["connect_timeout_s"] = json!(30.0);
    let program = start(&settings);
    let client = program.open("");
    program.sync();
    program.pause();
    queue.iter().for_each(|_| drop(host.accept()));
    // The program is notified of the connect first, then of the client's end.
    let mut attempt = host.accept();
    drop(client);
    std::thread::sleep(Duration::from_millis(150));
    program.resume();
    assert_eq!(attempt.receive(), Received::Fin, "a first line for a client that has disconnected");
}
