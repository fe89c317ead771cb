//! Tests of the built program on real sockets: what clients, servers, the discovery service and operators observe.

mod cli;
mod faults;
mod final_answers;
mod flooding;
mod gossip;
mod handover;
mod incomplete_requests;
mod invalid_input;
mod metrics;
mod model;
mod open_ids;
mod operators;
mod predecessor_stub;
mod pushed_lists;
mod races;
mod reload;
mod shutdown_end;
mod snapshot;
mod upgrade;
mod workers;

use std::io::{ErrorKind, Write};
use std::net::SocketAddr;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use shorewharf_emulator::standin::*;

const BINARY: &str = env!("CARGO_BIN_EXE_shorewharf");

/// Starts the built program and waits until it serves.
fn start(config: &Value) -> BalancerProcess {
    BalancerProcess::start(BINARY, config)
}

#[test]
fn a_client_is_served_and_lines_are_relayed_both_ways() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let mut client = program.open(",g=5c0f,again=1");
    let mut upstream = server.accept();
    let first = upstream.receive_line();
    let (head, d) = first.split_once("d=").expect("a d= field");
    let (d, rest) = d.split_once(',').expect("fields after d=");
    assert_eq!((head, rest), ("OPEN 9b1f 7f3a c=chat,t=acme,", "g=5c0f,again=1"));
    assert!(d.parse::<u32>().expect("milliseconds") < 20000);
    upstream.send_bytes(b"UP 77 receipt\r\nLOAD 120000\r\n");
    assert_eq!(
        (client.receive_line(), client.receive_line()),
        ("UP 77 receipt".into(), "LOAD 120000".into())
    );
    client.send_line("M 1 hello");
    assert_eq!(upstream.receive_line(), "M 1 hello");
    upstream.send_line("M 1 hello");
    assert_eq!(client.receive_line(), "M 1 hello");
    client.shutdown_write();
    assert_eq!(upstream.receive(), Received::Fin);
    upstream.send_line("BYE");
    drop(upstream);
    assert_eq!((client.receive(), client.receive()), (Received::Line("BYE".into()), Received::Fin));
}

#[test]
fn pings_of_a_front_end_are_answered() {
    let program = start(&config(&[]));
    let mut front = program.connect();
    front.send_line("PING");
    assert_eq!(front.receive_line(), "PONG");
    front.send_bytes(b"PI");
    front.send_bytes(b"NG\r\nPING\r\n");
    assert_eq!((front.receive_line(), front.receive_line()), ("PONG".into(), "PONG".into()));
}

#[test]
fn a_fin_from_the_server_reaches_the_client() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut client, upstream) = program.establish(&server);
    upstream.shutdown_write();
    assert_eq!(client.receive(), Received::Fin);
}

#[test]
fn a_reset_from_the_server_reaches_the_client() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut client, upstream) = program.establish(&server);
    upstream.reset();
    assert_eq!(client.receive(), Received::Reset);
}

#[test]
fn client_disconnects_do_not_count_as_server_failures() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    for _ in 0..3 {
        let (client, mut upstream) = program.establish(&server);
        drop(client);
        assert_eq!(upstream.receive(), Received::Fin);
    }
}

#[test]
fn a_reset_from_the_client_reaches_the_server() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (client, mut upstream) = program.establish(&server);
    client.reset();
    assert_eq!(upstream.receive(), Received::Reset);
}

#[test]
fn a_refused_connect_is_retried_at_another_server() {
    let server = Server::new();
    let program = start(&config(&[("s-1", refusing_address()), ("s-2", server.address())]));
    // Whichever server is tried first, each client must be served by the one that is running.
    let _connections: Vec<_> = (0..4).map(|_| program.establish(&server)).collect();
}

#[test]
fn a_connect_timeout_is_retried_at_another_server() {
    let ((silent, _queue), server) = (Server::with_full_backlog(), Server::new());
    let mut settings = config(&[("s-1", silent.address()), ("s-2", server.address())]);
    settings["settings"]["limits"]["connect_timeout_s"] = json!(0.2);
    let program = start(&settings);
    let _connections: Vec<_> = (0..4).map(|_| program.establish(&server)).collect();
}

#[test]
fn a_short_client_deadline_does_not_quarantine_the_server() {
    let (host, queue) = Server::with_full_backlog();
    let program = start(&config(&[("s-1", host.address())]));
    let mut impatient = program.connect();
    impatient.send_line("OPEN 1 2 c=chat,t=acme,d=300");
    assert!(impatient.receive_line().starts_with("BUSY"));
    queue.iter().for_each(|_| drop(host.accept()));
    let _client = program.open("");
    // The impatient client's connects may still complete, with nothing sent on them. A quarantined server would get a
    // probe next instead of the request.
    let first = std::iter::repeat_with(|| host.accept().receive()).find(|heard| *heard != Received::Fin);
    assert!(matches!(first, Some(Received::Line(line)) if line.starts_with("OPEN 9b1f ")));
}

#[test]
fn a_server_that_starts_draining_during_a_connect_is_sent_nothing() {
    let ((draining, queue), server, discovery) =
        (Server::with_full_backlog(), Server::new(), DiscoveryService::new());
    let mut settings = config_with_discovery(&[("s-1", draining.address())], &discovery);
    settings["settings"]["limits"]["connect_timeout_s"] = json!(20.0);
    let program = start(&settings);
    let mut watch = discovery.accept_watch();
    let mut client = program.open("");
    // The program reads in order: the client's line, sent first, has started an attempt.
    program.sync();
    let terminating = endpoint("s-1", draining.address(), "Terminating");
    watch.send_list(42, false, vec![terminating, endpoint("s-2", server.address(), "Ready")]);
    program.wait_for_log("server-draining");
    queue.iter().for_each(|_| drop(draining.accept()));
    // The connection is established only now, and must be closed with nothing sent on it.
    assert_eq!(draining.accept().receive(), Received::Fin);
    let mut upstream = server.accept();
    upstream.receive_line();
    upstream.send_line("UP 1");
    assert_eq!(client.receive_line(), "UP 1");
}

#[test]
fn attempts_are_sequential_and_the_final_rejection_has_a_retry_after() {
    let servers = [Server::new(), Server::new()];
    let program = start(&config(&[("s-1", servers[0].address()), ("s-2", servers[1].address())]));
    let (sender, attempts) = channel();
    for (i, host) in servers.iter().enumerate() {
        let (sender, listener) = (sender.clone(), host.listener());
        std::thread::spawn(move || {
            listener
                .incoming()
                .flatten()
                .try_for_each(|stream| sender.send((i, Connection::from_stream(stream))))
        });
    }
    let mut client = program.open("");
    let (first_server, mut first) = attempts.recv_timeout(LIMIT).expect("a first attempt");
    first.receive_line();
    // No second attempt may begin until the first has ended.
    assert!(attempts.recv_timeout(Duration::from_millis(300)).is_err(), "two attempts at once");
    first.send_line("BUSY");
    let (second_server, mut second) = attempts.recv_timeout(LIMIT).expect("a second attempt");
    assert_ne!(first_server, second_server);
    second.receive_line();
    assert_eq!(first.receive(), Received::Fin);
    second.send_line("BUSY");
    let answer = client.receive_line();
    let retry_after = answer.strip_prefix("BUSY ").expect("BUSY with a retry-after");
    assert!(retry_after.parse::<u32>().expect("milliseconds") > 0);
    assert_eq!(client.receive(), Received::Fin);
}

#[test]
fn a_client_disconnect_cancels_its_attempt() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let client = program.open("");
    let mut upstream = server.accept();
    upstream.receive_line();
    drop(client);
    assert_eq!(upstream.receive(), Received::Fin);
}

#[test]
fn a_request_is_answered_before_its_client_times_out() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let mut client = program.connect();
    // The driver's tests check the exact time; this one checks that there is an answer at all.
    client.send_line("OPEN 1 2 c=chat,d=700");
    let mut upstream = server.accept();
    upstream.receive_line();
    assert!(client.receive_line().starts_with("BUSY"));
    assert_eq!(upstream.receive(), Received::Fin);
}

#[test]
fn a_reconnect_goes_to_the_server_that_it_names() {
    let servers = [Server::new(), Server::new()];
    let program = start(&config(&[("s-1", servers[0].address()), ("s-2", servers[1].address())]));
    for (name, host) in [("s-1", &servers[0]), ("s-2", &servers[1]), ("s-1", &servers[0])] {
        let mut client = program.open(&format!(",at={name}"));
        let mut upstream = host.accept();
        assert!(upstream.receive_line().ends_with(&format!(",at={name}")));
        upstream.send_line("UP 1");
        assert_eq!(client.receive_line(), "UP 1");
    }
}

#[test]
fn clients_are_migrated_off_a_draining_server() {
    let (servers, discovery) = ([Server::new(), Server::new()], DiscoveryService::new());
    let known = [("s-1", servers[0].address()), ("s-2", servers[1].address())];
    let program = start(&config_with_discovery(&known, &discovery));
    let mut watch = discovery.accept_watch();
    assert_eq!(watch.request_line(), "GET /v1/servers?follow=1&since=41 HTTP/1.1");
    let mut client = program.open(",at=s-1");
    let mut upstream = servers[0].accept();
    upstream.receive_line();
    upstream.send_line("UP 1");
    assert_eq!(client.receive_line(), "UP 1");
    watch.send_list(42, false, vec![endpoint("s-1", servers[0].address(), "Terminating")]);
    assert_eq!((client.receive_line(), client.receive()), ("MOVE".into(), Received::Fin));
    assert_eq!(upstream.receive(), Received::Fin);
    let _connections: Vec<_> = (0..4).map(|_| program.establish(&servers[1])).collect();
    assert!(!servers[0].has_pending_connection(), "a new attempt at a draining server");
}

#[test]
fn a_failed_or_silent_watch_is_requested_again() {
    let discovery = DiscoveryService::new();
    let program = start(&config_with_discovery(&[], &discovery));
    let mut watch = discovery.accept_watch();
    watch.send_error("503 Busy");
    assert!(program.wait_for_log("discovery-failed").contains("status 503"));
    let mut watch = discovery.accept_watch();
    watch.send_list(50, true, Vec::new());
    program.wait_for_log("discovery-recovered");
    // From here on the discovery service sends nothing, not even blank lines. The watch has failed although its
    // connection is open.
    assert!(
        program
            .wait_for_log("discovery-failed")
            .contains("no data from the discovery service within the timeout")
    );
    assert_eq!(discovery.accept_watch().since(), 50);
}

#[test]
fn a_snapshot_logs_only_what_has_changed() {
    let (servers, discovery) = ([Server::new(), Server::new(), Server::new()], DiscoveryService::new());
    let at = |i: usize| servers[i].address();
    let program = start(&config_with_discovery(&[("s-1", at(0)), ("s-2", at(1))], &discovery));
    let mut watch = discovery.accept_watch();
    watch.send_list(42, true, vec![endpoint("s-1", at(0), "Ready"), endpoint("s-3", at(2), "Ready")]);
    let mut lines = [program.wait_for_log("server-"), program.wait_for_log("server-")]
        .map(|l| l[l.find("level").unwrap()..].to_owned());
    lines.sort();
    assert_eq!(
        lines,
        ["level=info event=server-ready server=s-3", "level=info event=server-removed server=s-2"]
    );
    watch.end();
    // A line about s-1 would come before this one. The decisions may log their own lines about the list.
    let mut next = program.wait_for_log("");
    while next.contains("event=decisions") {
        next = program.wait_for_log("");
    }
    assert!(next.contains("discovery-failed"), "{next}");
}

#[test]
fn the_client_of_an_unresponsive_server_is_migrated() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut client, _silent) = program.establish(&server);
    client.send_line("M 1");
    assert_eq!(client.receive_line(), "MOVE");
}

#[test]
fn one_silent_connection_does_not_quarantine_its_server() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let ((mut client, mut silent), (mut other, mut upstream)) =
        (program.establish(&server), program.establish(&server));
    client.send_line("M 1");
    // After the first line has certainly been relayed, the server answers on its other connection.
    assert_eq!(silent.receive_line(), "M 1");
    other.send_line("M 2");
    assert_eq!(upstream.receive_line(), "M 2");
    upstream.send_line("M 2");
    assert_eq!(other.receive_line(), "M 2");
    assert_eq!(client.receive_line(), "MOVE");
    // The only server stays in use: new clients are not rejected, and the other client is not migrated.
    program.establish(&server);
    other.send_line("M 3");
    assert_eq!(upstream.receive_line(), "M 3");
}

#[test]
fn a_reported_message_delay_keeps_new_clients_away() {
    let servers = [Server::new(), Server::new()];
    let mut settings = config(&[("s-1", servers[0].address()), ("s-2", servers[1].address())]);
    settings["settings"]["specifics"]["tells_delay"] = json!(true);
    let program = start(&settings);
    let mut client = program.open(",at=s-1");
    let mut upstream = servers[0].accept();
    upstream.receive_line();
    upstream.send_line("UP 1");
    upstream.send_line("LOAD 120000.5");
    upstream.send_line("LOAD 900.25");
    let lines = [client.receive_line(), client.receive_line(), client.receive_line()];
    assert_eq!(lines, ["UP 1", "LOAD 120000.5", "LOAD 900.25"]);
    // The client is migrated off the slow server. New clients are opened only after that: before it, the only server
    // with a connection of this balancer would be overloaded, and they would be rejected.
    assert_eq!(client.receive_line(), "MOVE");
    let _connections: Vec<_> = (0..4).map(|_| program.establish(&servers[1])).collect();
    assert!(
        !servers[0].has_pending_connection(),
        "a new client was placed on a server that reported a long delay"
    );
}

#[test]
fn a_graceful_shutdown_migrates_clients_and_rejects_new_ones() {
    let server = Server::new();
    let mut program = start(&config(&[("s-1", server.address())]));
    let mut connections: Vec<_> = (0..6).map(|_| program.establish(&server)).collect();
    let mut waiting = program.open("");
    let mut waiting_upstream = server.accept();
    waiting_upstream.receive_line();
    let began = Instant::now();
    program.terminate();
    program.wait_for_log("shutting-down");
    assert!(program.open("").receive_line().starts_with("BUSY "));
    // The waiting request is still served, and its client migrated after that.
    waiting_upstream.send_line("UP 9");
    assert_eq!((waiting.receive_line(), waiting.receive_line()), ("UP 9".into(), "MOVE".into()));
    // In a rolling restart the previously restarted balancer may be back only by now.
    assert!(began.elapsed() > Duration::from_millis(1900));
    for (client, upstream) in &mut connections {
        assert_eq!((client.receive_line(), client.receive()), ("MOVE".into(), Received::Fin));
        assert_eq!(upstream.receive(), Received::Fin);
    }
    drop((connections, waiting));
    assert!(program.wait().success());
}

#[test]
fn a_killed_balancer_restarts_at_the_same_address() {
    let server = Server::new();
    let mut settings = config(&[("s-1", server.address())]);
    // Only this process uses ports of this address, so the port is free again after the kill.
    settings["listen"] = json!(SocketAddr::from((loopback_address(1), 0)));
    let program = start(&settings);
    let (mut client, mut upstream) = program.establish(&server);
    settings["listen"] = json!(program.address());
    // The kill breaks the balancer's connections. The kernel keeps their state for some time, which must not keep the
    // address in use.
    drop(program);
    assert!(matches!(client.receive(), Received::Fin | Received::Reset));
    assert!(matches!(upstream.receive(), Received::Fin | Received::Reset));
    let program = start(&settings);
    program.establish(&server);
}

#[test]
fn malformed_input_ends_only_its_own_connection() {
    let server = Server::new();
    let mut program = start(&config(&[("s-1", server.address())]));
    for line in ["HELLO", "", "OPEN", "OPEN 1 2 c=none", "OPEN 1 2 c=chat,d=x", "OPEN  1 2 c=chat"] {
        let mut client = program.connect();
        client.send_line(line);
        assert_eq!((client.receive_line(), client.receive()), ("ERR".into(), Received::Fin));
        program.wait_for_log("malformed");
    }
    let mut client = program.connect();
    client.send_bytes(&[b'x'; 5000]);
    assert_eq!(client.receive_line(), "ERR");
    program.wait_for_log("line-too-long");
    let mut client = program.connect();
    client.send_bytes(b"OPEN 1 2 c=ch");
    client.shutdown_write();
    assert_eq!(client.receive(), Received::Fin);
    program.wait_for_log("incomplete-line");
    let (_client, _s) = program.establish(&server);
    assert!(program.is_running());
}

#[test]
fn a_line_over_the_limit_from_a_server_ends_its_connection() {
    let server = Server::new();
    let mut program = start(&config(&[("s-1", server.address())]));
    let (mut client, mut upstream) = program.establish(&server);
    upstream.send_bytes(&[b'x'; 5000]);
    assert_eq!(client.receive(), Received::Reset);
    program.wait_for_log("line-too-long");
    assert!(program.is_running());
}

#[test]
fn a_line_over_the_limit_from_a_client_does_not_count_against_its_server() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut client, _s) = program.establish(&server);
    client.send_bytes(&[b'x'; 5000]);
    program.wait_for_log("line-too-long");
    assert_eq!(client.receive(), Received::Reset);
    program.establish(&server);
}

#[test]
fn an_unexpected_answer_is_logged_and_counts_as_an_error() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let mut client = program.open("");
    let mut upstream = server.accept();
    upstream.receive_line();
    upstream.send_line("SYNTAX");
    program.wait_for_log("unexpected-answer");
    assert!(client.receive_line().starts_with("BUSY"));
}

#[test]
fn a_full_balancer_awaits_the_first_line_of_a_client_and_rejects_it() {
    let mut settings = config(&[]);
    // No descriptors beyond those that are reserved for the process and for idle clients.
    settings["limits"]["sockets"] = json!(32);
    let program = start(&settings);
    let mut slow = program.connect();
    for _ in 0..4 {
        // Each further client that is accepted triggers a check for connections to evict.
        assert!(program.open("").receive_line().starts_with("BUSY "));
    }
    slow.send_line("OPEN 1 2 c=chat,t=acme,d=20000");
    assert!(slow.receive_line().starts_with("BUSY "));
}

#[test]
fn clients_are_rejected_while_descriptors_are_short_and_accepted_again_after() {
    let server = Server::new();
    let mut settings = config(&[("s-1", server.address())]);
    settings["limits"]["sockets"] = json!(40);
    let mut program = start(&settings);
    // Of 40 descriptors 16 are reserved for the process and 16 for idle clients, which leaves four
    // established connections.
    let mut connections = Vec::new();
    let rejection = loop {
        assert!(connections.len() < 40, "the descriptor limit has no effect");
        let mut client = program.open("");
        let mut upstream = match server.accept_or_receive(&mut client) {
            Ok(upstream) => upstream,
            Err(answer) => break answer,
        };
        upstream.receive_line();
        upstream.send_line("UP 1");
        assert_eq!(client.receive_line(), "UP 1");
        connections.push((client, upstream));
    };
    assert!(matches!(&rejection, Received::Line(line) if line.starts_with("BUSY ")), "{rejection:?}");
    program.wait_for_log("descriptors-short");
    for (_client, mut upstream) in connections {
        upstream.send_line("BYE");
    }
    program.wait_for_log("descriptors-recovered");
    program.establish(&server);
    assert!(program.is_running());
}

#[test]
fn backpressure_from_a_client_reaches_the_server_and_nothing_is_lost() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut client, mut upstream) = program.establish(&server);
    upstream.stream().set_write_timeout(Some(Duration::from_millis(700))).expect("a write timeout");
    let line = [b"L ".as_slice(), &[b'x'; 996], b"\r\n"].concat();
    let max_bytes = 64 << 20;
    let mut sent = 0;
    // Writes until all buffers are full: the program must stop reading instead of buffering everything.
    let blocked = loop {
        let at = sent % line.len();
        match (&mut upstream.stream()).write(&line[at..]) {
            Ok(n) => sent += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => break e.kind(),
        }
        assert!(sent < max_bytes, "the program buffers everything");
    };
    assert!(matches!(blocked, ErrorKind::WouldBlock | ErrorKind::TimedOut), "{blocked}");
    // Only complete lines are relayed.
    let relayed = client.read_exactly(sent - sent % line.len());
    assert!(relayed.chunks(line.len()).all(|l| l == line));
    upstream.send_bytes(&line[sent % line.len()..]);
    upstream.send_line("last");
    assert_eq!(client.read_exactly(line.len()), line);
    assert_eq!(client.receive_line(), "last");
}

#[test]
fn an_invalid_configuration_logs_one_error_and_prevents_the_start() {
    for (key, value) in
        [("listen", json!("nowhere")), ("settings", json!({"classes": 5})), ("seed", json!("x"))]
    {
        let mut config = config(&[]);
        config[key] = value;
        let (code, log) = run_to_exit(BINARY, &config);
        assert_eq!((code, log.lines().count()), (Some(2), 1), "{log}");
        assert!(log.contains(&format!("level=error event=bad-config key={key}")), "{log}");
    }
}
