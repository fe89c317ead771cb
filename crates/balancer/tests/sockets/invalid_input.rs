//! Bad clients: what they get, and what usual clients notice of them.

use std::io::Write;

use serde_json::json;

use shorewharf_emulator::standin::*;

use crate::start;

fn served(client: &mut Peer, s: &mut Peer, words: &str) {
    client.say(words);
    assert_eq!(s.line(), words);
    s.say(words);
    assert_eq!(client.line(), words);
}

#[test]
fn each_form_gets_its_error_and_no_server_hears_of_it() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut usual, mut s) = program.stand(&server);
    let open = |list: &str| format!("OPEN 1 2 {list}\r\n").into_bytes();
    let forms: Vec<(&str, Vec<u8>)> = vec![
        ("nothing that can be read", b"\x16\x03\x01\x00\xff\r\n".to_vec()),
        ("another protocol", b"GET / HTTP/1.1\r\nHost: x\r\n\r\n".to_vec()),
        ("a line that never ends", vec![b'x'; 100_000]),
        ("no id", b"OPEN 2 c=chat,t=acme,d=2000\r\n".to_vec()),
        ("an empty id", b"OPEN  2 c=chat,t=acme,d=2000\r\n".to_vec()),
        ("a negative length", open("c=chat,t=acme,d=-5")),
        ("a huge length", open("c=chat,t=acme,d=99999999999999999999999")),
        ("a deadline that is no number", open("c=chat,t=acme,d=soon")),
        ("a deadline that is not a number", open("c=chat,t=acme,d=NaN")),
        ("a class that does not exist", open("c=none,t=acme,d=2000")),
        ("a tenant that does not exist", open("c=chat,t=none,d=2000")),
        ("a server that does not exist", open("c=chat,t=acme,d=2000,at=s-99")),
        ("the id of another client's open request", b"OPEN 9b1f 2 c=chat,t=acme,d=2000\r\n".to_vec()),
        ("hundreds of commands", b"PING\r\n".repeat(500)),
        ("hundreds of requests", b"OPEN 5 6 c=chat,t=acme,d=2000\r\n".repeat(300)),
    ];
    for (form, bytes) in forms {
        eprintln!("form: {form}");
        let mut client = program.client();
        // The program may end the connection before all of it is written.
        let _ = client.stream().write_all(&bytes);
        let heard = std::iter::repeat_with(|| client.hear()).find(|h| *h != Heard::Line("PONG".into()));
        match heard {
            Some(Heard::Line(line)) => assert_eq!(line, "ERR", "{form}"),
            // More than is read to an end: the end itself is the answer.
            other => assert!(bytes.len() > 8192, "{form}: {other:?}"),
        }
        served(&mut usual, &mut s, form);
    }
    assert!(!server.is_called(), "a server was asked for what can't be used");
}

#[test]
fn sixty_megabytes_get_an_end_soon() {
    let program = start(&config(&[]));
    let mut client = program.client();
    let mut line = b"OPEN 1 2 c=chat,t=acme,g=".to_vec();
    line.resize(60 << 20, b'7');
    let _ = client.stream().write_all(&line);
    client.hear();
    program.settled();
}

#[test]
fn half_a_command_and_silence_are_ended_in_time_and_a_front_is_not() {
    let program = start(&config(&[]));
    let (mut front, mut silent, mut client) = (program.client(), program.client(), program.client());
    front.say("PING");
    assert_eq!(front.line(), "PONG");
    client.put(b"OPEN 1 2 c=ch");
    assert_eq!((client.hear(), silent.hear()), (Heard::Fin, Heard::Fin), "they are owed an end within 3 s");
    program.logged("incomplete-line");
    front.say("PING");
    assert_eq!(front.line(), "PONG", "a front that came before them was cut off");
}

#[test]
fn an_id_is_free_again_once_its_request_is_over() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    // Each of these comes under the id of the one before, which left, was served, moved or refused.
    let (client, mut s) = program.stand_as(&server, "5");
    drop(client);
    assert_eq!(s.hear(), Heard::Fin);
    drop(s);
    program.logged("event=attempt-ended");
    let (mut client, mut s) = program.stand_as(&server, "5");
    s.say("BYE");
    drop(s);
    assert_eq!((client.line(), client.hear()), ("BYE".into(), Heard::Fin));
    // Another connection shows that the server lives while this one falls silent.
    let (mut other, mut sound) = program.stand(&server);
    let (mut client, mut silent) = program.stand_as(&server, "5");
    client.say("M 1");
    assert_eq!(silent.line(), "M 1");
    served(&mut other, &mut sound, "M 2");
    assert_eq!(client.line(), "MOVE");
    let mut refused = program.open_as("5", ",again=1");
    let mut s = server.accept();
    s.line();
    s.say("BUSY");
    assert!(refused.line().starts_with("BUSY"));
    assert!(!program.open_as("5", ",again=1").line().starts_with("ERR"));
}

#[test]
fn what_servers_can_not_read_is_not_their_fault() {
    let server = Node::new();
    let program = start(&config(&[("s-1", server.address())]));
    let (mut usual, mut other) = program.stand_as(&server, "1");
    for id in 2..6 {
        let (mut bad, mut s) = program.stand_as(&server, &id.to_string());
        bad.say("garbage");
        assert_eq!(s.line(), "garbage");
        s.finish();
        assert_eq!(bad.hear(), Heard::Fin);
    }
    let _client = program.stand_as(&server, "9");
    served(&mut usual, &mut other, "M 1");
}

#[test]
fn connections_that_ask_for_nothing_take_no_room_from_usual_clients() {
    let server = Node::new();
    let mut settings = config(&[("s-1", server.address())]);
    settings["limits"]["sockets"] = json!(96);
    let program = start(&settings);
    let mut flood = Vec::new();
    let mut stands = Vec::new();
    for id in 0..20 {
        for i in 0..40 {
            let mut client = program.client();
            if i % 2 == 0 {
                client.say("PING");
                assert_eq!(client.line(), "PONG");
            }
            flood.push(client);
        }
        stands.push(program.stand_as(&server, &format!("{id:x}")));
    }
    for (client, s) in &mut stands {
        served(client, s, "M 1");
    }
}
