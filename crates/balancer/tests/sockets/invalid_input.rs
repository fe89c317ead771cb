//! Invalid input from clients: what its senders receive, and that other clients are not affected.

use std::io::Write;
use std::time::{Duration, Instant};

use serde_json::json;

use shorewharf_emulator::standin::*;

use crate::start;

/// Checks that a line is relayed both ways.
fn expect_relayed(client: &mut Connection, upstream: &mut Connection, line: &str) {
    client.send_line(line);
    assert_eq!(upstream.receive_line(), line);
    upstream.send_line(line);
    assert_eq!(client.receive_line(), line);
}

#[test]
fn each_invalid_input_gets_an_error_and_reaches_no_server() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut valid, mut upstream) = program.establish(&server);
    let open = |fields: &str| format!("OPEN 1 2 {fields}\r\n").into_bytes();
    let inputs: Vec<(&str, Vec<u8>)> = vec![
        ("binary data", b"\x16\x03\x01\x00\xff\r\n".to_vec()),
        ("another protocol", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec()),
        ("a line that never ends", vec![b'x'; 100_000]),
        ("no id", b"OPEN 2 c=chat,t=acme,d=2000\r\n".to_vec()),
        ("an empty id", b"OPEN  2 c=chat,t=acme,d=2000\r\n".to_vec()),
        ("a negative deadline", open("c=chat,t=acme,d=-5")),
        ("a huge deadline", open("c=chat,t=acme,d=99999999999999999999999")),
        ("a deadline of letters", open("c=chat,t=acme,d=soon")),
        ("a deadline of NaN", open("c=chat,t=acme,d=NaN")),
        ("a class that does not exist", open("c=none,t=acme,d=2000")),
        ("a tenant that does not exist", open("c=chat,t=none,d=2000")),
        ("a server that does not exist", open("c=chat,t=acme,d=2000,at=s-99")),
        ("the id of another client's open request", b"OPEN 9b1f 2 c=chat,t=acme,d=2000\r\n".to_vec()),
        ("hundreds of commands", b"PING\r\n".repeat(500)),
        ("hundreds of requests", b"OPEN 5 6 c=chat,t=acme,d=2000\r\n".repeat(300)),
    ];
    for (input, bytes) in inputs {
        eprintln!("input: {input}");
        let mut client = program.connect();
        // The program may end the connection before all of it is written.
        let _ = client.stream().write_all(&bytes);
        let answer =
            std::iter::repeat_with(|| client.receive()).find(|h| *h != Received::Line("PONG".into()));
        match answer {
            Some(Received::Line(line)) => assert_eq!(line, "ERR", "{input}"),
            // For long input the connection may be closed without an error line.
            other => assert!(bytes.len() > 8192, "{input}: {other:?}"),
        }
        expect_relayed(&mut valid, &mut upstream, input);
    }
    assert!(!server.has_pending_connection(), "an attempt was made for invalid input");
}

#[test]
fn a_line_of_sixty_megabytes_is_rejected_soon() {
    let program = start(&config(&[]));
    let mut client = program.connect();
    let mut line = b"OPEN 1 2 c=chat,t=acme,g=".to_vec();
    line.resize(60 << 20, b'7');
    let _ = client.stream().write_all(&line);
    client.receive();
    program.sync();
}

#[test]
fn incomplete_and_silent_clients_are_closed_in_time_and_front_ends_are_not() {
    let program = start(&config(&[]));
    let (mut front_end, mut silent, mut incomplete) =
        (program.connect(), program.connect(), program.connect());
    front_end.send_line("PING");
    assert_eq!(front_end.receive_line(), "PONG");
    incomplete.send_bytes(b"OPEN 1 2 c=ch");
    let sent_at = Instant::now();
    // What is missing of their lines may be on its way, and gets its answer beforehand.
    for client in [&mut incomplete, &mut silent] {
        assert_eq!((client.receive_line(), client.receive()), ("ERR".into(), Received::Fin));
    }
    assert!(sent_at.elapsed() < Duration::from_secs(3), "they must be closed within 3 s");
    program.wait_for_log("incomplete-line");
    front_end.send_line("PING");
    assert_eq!(front_end.receive_line(), "PONG", "a front end that connected before them was closed");
}

#[test]
fn an_id_is_free_again_once_its_request_is_over() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    // Each request has the id of the previous one, which was disconnected, served, migrated or rejected.
    let (client, mut upstream) = program.establish_with_id(&server, "5");
    drop(client);
    assert_eq!(upstream.receive(), Received::Fin);
    drop(upstream);
    program.wait_for_log("event=attempt-ended");
    let (mut client, mut upstream) = program.establish_with_id(&server, "5");
    upstream.send_line("BYE");
    drop(upstream);
    assert_eq!((client.receive_line(), client.receive()), ("BYE".into(), Received::Fin));
    // Another connection shows that the server works while this one is silent.
    let (mut other, mut other_upstream) = program.establish(&server);
    let (mut client, mut silent) = program.establish_with_id(&server, "5");
    client.send_line("M 1");
    assert_eq!(silent.receive_line(), "M 1");
    expect_relayed(&mut other, &mut other_upstream, "M 2");
    assert_eq!(client.receive_line(), "MOVE");
    let mut rejected = program.open_with_id("5", ",again=1");
    let mut upstream = server.accept();
    upstream.receive_line();
    upstream.send_line("BUSY");
    assert!(rejected.receive_line().starts_with("BUSY"));
    assert!(!program.open_with_id("5", ",again=1").receive_line().starts_with("ERR"));
}

#[test]
fn connections_that_servers_close_after_invalid_lines_do_not_count_as_failures() {
    let server = Server::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut valid, mut valid_upstream) = program.establish_with_id(&server, "1");
    for id in 2..6 {
        let (mut invalid, mut upstream) = program.establish_with_id(&server, &id.to_string());
        invalid.send_line("garbage");
        assert_eq!(upstream.receive_line(), "garbage");
        upstream.shutdown_write();
        assert_eq!(invalid.receive(), Received::Fin);
    }
    let _client = program.establish_with_id(&server, "9");
    expect_relayed(&mut valid, &mut valid_upstream, "M 1");
}

#[test]
fn idle_connections_take_no_descriptors_from_requests() {
    let server = Server::new();
    let mut settings = config(&[("s-1", server.address())]);
    settings["limits"]["sockets"] = json!(96);
    let program = start(&settings);
    let mut idle = Vec::new();
    let mut connections = Vec::new();
    for id in 0..20 {
        for i in 0..40 {
            let mut client = program.connect();
            if i % 2 == 0 {
                client.send_line("PING");
                assert_eq!(client.receive_line(), "PONG");
            }
            idle.push(client);
        }
        connections.push(program.establish_with_id(&server, &format!("{id:x}")));
    }
    for (client, upstream) in &mut connections {
        expect_relayed(client, upstream, "M 1");
    }
}
