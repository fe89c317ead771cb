//! Invalid input from clients: what its senders receive, and that other clients are not affected.

use std::io::Write;

use serde_json::json;

use shorewharf_emulator::standin::*;

use crate::start;

/// Checks that a line is relayed both ways.
fn expect_relayed(client: &mut Peer, upstream: &mut Peer, line: &str) {
    client.say(line);
    assert_eq!(upstream.line(), line);
    upstream.say(line);
    assert_eq!(client.line(), line);
}

#[test]
fn each_invalid_input_gets_an_error_and_reaches_no_server() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut valid, mut upstream) = program.stand(&server);
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
        let mut client = program.client();
        // The program may end the connection before all of it is written.
        let _ = client.stream().write_all(&bytes);
        let answer = std::iter::repeat_with(|| client.hear()).find(|h| *h != Heard::Line("PONG".into()));
        match answer {
            Some(Heard::Line(line)) => assert_eq!(line, "ERR", "{input}"),
            // For long input the connection may be closed without an error line.
            other => assert!(bytes.len() > 8192, "{input}: {other:?}"),
        }
        expect_relayed(&mut valid, &mut upstream, input);
    }
    assert!(!server.is_called(), "an attempt was made for invalid input");
}

#[test]
fn a_line_of_sixty_megabytes_is_rejected_soon() {
    let program = start(&config(&[]));
    let mut client = program.client();
    let mut line = b"OPEN 1 2 c=chat,t=acme,g=".to_vec();
    line.resize(60 << 20, b'7');
    let _ = client.stream().write_all(&line);
    client.hear();
    program.settled();
}

#[test]
fn incomplete_and_silent_clients_are_closed_in_time_and_front_ends_are_not() {
    let program = start(&config(&[]));
    let (mut front_end, mut silent, mut incomplete) = (program.client(), program.client(), program.client());
    front_end.say("PING");
    assert_eq!(front_end.line(), "PONG");
    incomplete.put(b"OPEN 1 2 c=ch");
    assert_eq!(
        (incomplete.hear(), silent.hear()),
        (Heard::Fin, Heard::Fin),
        "they must be closed within 3 s"
    );
    program.logged("incomplete-line");
    front_end.say("PING");
    assert_eq!(front_end.line(), "PONG", "a front end that connected before them was closed");
}

#[test]
fn an_id_is_free_again_once_its_request_is_over() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    // Each request has the id of the previous one, which was disconnected, served, migrated or rejected.
    let (client, mut upstream) = program.stand_as(&server, "5");
    drop(client);
    assert_eq!(upstream.hear(), Heard::Fin);
    drop(upstream);
    program.logged("event=attempt-ended");
    let (mut client, mut upstream) = program.stand_as(&server, "5");
    upstream.say("BYE");
    drop(upstream);
    assert_eq!((client.line(), client.hear()), ("BYE".into(), Heard::Fin));
    // Another connection shows that the server works while this one is silent.
    let (mut other, mut other_upstream) = program.stand(&server);
    let (mut client, mut silent) = program.stand_as(&server, "5");
    client.say("M 1");
    assert_eq!(silent.line(), "M 1");
    expect_relayed(&mut other, &mut other_upstream, "M 2");
    assert_eq!(client.line(), "MOVE");
    let mut rejected = program.open_as("5", ",again=1");
    let mut upstream = server.accept();
    upstream.line();
    upstream.say("BUSY");
    assert!(rejected.line().starts_with("BUSY"));
    assert!(!program.open_as("5", ",again=1").line().starts_with("ERR"));
}

#[test]
fn connections_that_servers_close_after_invalid_lines_do_not_count_as_failures() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut valid, mut valid_upstream) = program.stand_as(&server, "1");
    for id in 2..6 {
        let (mut invalid, mut upstream) = program.stand_as(&server, &id.to_string());
        invalid.say("garbage");
        assert_eq!(upstream.line(), "garbage");
        upstream.finish();
        assert_eq!(invalid.hear(), Heard::Fin);
    }
    let _client = program.stand_as(&server, "9");
    expect_relayed(&mut valid, &mut valid_upstream, "M 1");
}

#[test]
fn idle_connections_take_no_descriptors_from_requests() {
    let server = Node::new();
    let mut settings = config(&[("s-1", server.address())]);
    settings["limits"]["sockets"] = json!(96);
    let program = start(&settings);
    let mut idle = Vec::new();
    let mut connections = Vec::new();
    for id in 0..20 {
        for i in 0..40 {
            let mut client = program.client();
            if i % 2 == 0 {
                client.say("PING");
                assert_eq!(client.line(), "PONG");
            }
            idle.push(client);
        }
        connections.push(program.stand_as(&server, &format!("{id:x}")));
    }
    for (client, upstream) in &mut connections {
        expect_relayed(client, upstream, "M 1");
    }
}
