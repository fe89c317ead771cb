//! First lines, byte for byte, and each of their faults.

use super::*;

fn names() -> NameIndex {
    NameIndex {
        classes: [("chat".to_owned(), 0), ("feed".to_owned(), 1)].into(),
        tenants: [("acme".to_owned(), 2)].into(),
        zones: Default::default(),
    }
}

#[test]
fn an_open_line_is_read() {
    let line = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=2000,g=5c0f,r=1,h=0.25,new=7";
    let open = parse_open(line, &names()).expect("good");
    assert_eq!((open.class, open.tenant, open.key, open.group), (1, 2, 0x7f3a_9c21_e0b4_d655, 0x5c0f));
    assert_eq!((open.load, open.is_returning, open.previous_server), (Some(0.25), true, None));
    assert_eq!((open.id, open.timeout), (0x9b1f_03aa_5c7e_2d41, Some(2_000_000)));
    let open = parse_open(b"OPEN 1 2 c=chat,again=1,at=s-1", &names()).expect("good");
    assert_eq!((open.is_returning, open.previous_server.as_deref(), open.timeout), (true, Some("s-1"), None));
    let longest = parse_open(b"OPEN 1 2 c=chat,d=4294967", &names()).expect("good");
    assert_eq!(longest.timeout, Some(3_600_000_000));
}

#[test]
fn the_class_of_a_malformed_line_is_found_if_it_names_one() {
    for (line, class) in [
        (&b"OPEN 1 2 t=acme,c=feed,d=x"[..], Some(1)),
        (b"OPEN c=chat", Some(0)),
        (b"OPEN 1 2 c=none", None),
        (b"\xff\xff", None),
        (b"", None),
    ] {
        assert_eq!(class_of(line, &names()), class, "{line:?}");
    }
}

#[test]
fn a_line_is_read_as_it_is_written() {
    let words = OpenRequestLine {
        id: 7,
        key: 9,
        class: "feed",
        tenant: "acme",
        timeout_ms: 5,
        ..OpenRequestLine::default()
    };
    let full = OpenRequestLine {
        group: 3,
        load: Some(0.5),
        is_retry: true,
        is_reconnect: true,
        previous_server: Some("s-1"),
        ..words
    };
    for (words, again) in [(words, false), (full, true)] {
        let line = words.to_string();
        let open = parse_open(line.trim_end().as_bytes(), &names()).expect("good");
        assert_eq!((open.id, open.key, open.class, open.tenant, open.group), (7, 9, 1, 2, words.group));
        assert_eq!(
            (open.is_returning, open.load, open.previous_server.as_deref()),
            (again, words.load, words.previous_server)
        );
    }
}

#[test]
fn only_the_timeout_of_a_first_line_is_replaced() {
    let line = b"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,again=1";
    let out = with_timeout(line, 1_234_567);
    assert_eq!(out, b"OPEN 9b1f 7f3a c=chat,t=acme,d=1234,g=5c0f,again=1\r\n");
    assert_eq!(with_timeout(b"OPEN 1 2 d=5", 10), b"OPEN 1 2 d=1\r\n");
    assert_eq!(with_timeout(b"OPEN 1 2 c=chat,id=7", 10), b"OPEN 1 2 c=chat,id=7\r\n");
}

#[test]
fn malformed_lines_are_distinguished() {
    for (line, why) in [
        (&b""[..], "not OPEN ID KEY LIST"),
        (b"OPEN", "not OPEN ID KEY LIST"),
        (b"OPEN 1 2", "not OPEN ID KEY LIST"),
        (b"OPEN 2 c=chat", "not OPEN ID KEY LIST"),
        (b"HELLO 1 2 c=chat", "not OPEN ID KEY LIST"),
        (b"open 1 2 c=chat", "not OPEN ID KEY LIST"),
        (b"OPEN 1 2 c=chat x", "not OPEN ID KEY LIST"),
        (b"OPEN  2 c=chat", "bad id"),
        (b"OPEN x 2 c=chat", "bad id"),
        (b"OPEN +1 2 c=chat", "bad id"),
        (b"OPEN -1 2 c=chat", "bad id"),
        (b"OPEN 00000000000000001 2 c=chat", "bad id"),
        (b"OPEN 1 x c=chat", "bad key"),
        (b"OPEN 1 +2 c=chat", "bad key"),
        (b"OPEN 1 2 ", "an item without a value"),
        (b"OPEN 1 2 c=none", "unknown class"),
        (b"OPEN 1 2 c=", "unknown class"),
        (b"OPEN 1 2 t=acme", "no class"),
        (b"OPEN 1 2 c=chat,c=feed", "an item twice"),
        (b"OPEN 1 2 c=chat,t=none", "unknown tenant"),
        (b"OPEN 1 2 c=chat,d=", "bad d"),
        (b"OPEN 1 2 c=chat,d=-1", "bad d"),
        (b"OPEN 1 2 c=chat,d=+1", "bad d"),
        (b"OPEN 1 2 c=chat,d=NaN", "bad d"),
        (b"OPEN 1 2 c=chat,d=inf", "bad d"),
        (b"OPEN 1 2 c=chat,d=1e3", "bad d"),
        (b"OPEN 1 2 c=chat,d=soon", "bad d"),
        (b"OPEN 1 2 c=chat,d=4294967296", "bad d"),
        (b"OPEN 1 2 c=chat,d=99999999999999999999999", "bad d"),
        (b"OPEN 1 2 c=chat,d=5,d=6", "an item twice"),
        (b"OPEN 1 2 c=chat,g=-1", "bad g"),
        (b"OPEN 1 2 c=chat,h=-0.5", "bad h"),
        (b"OPEN 1 2 c=chat,h=NaN", "bad h"),
        (b"OPEN 1 2 c=chat,g", "an item without a value"),
        (b"OPEN 1 2 c=chat\nOPEN 3 4 c=chat", "no text"),
        (b"OPEN 1 2 c=chat\0", "no text"),
        (b"OPEN 1 2 c=\xff", "no text"),
    ] {
        let found = parse_open(line, &names()).map(|open| open.class).map_err(|error| error.to_string());
        assert_eq!(found, Err(why.to_owned()), "{}", String::from_utf8_lossy(line));
    }
}

/// First lines as they stand on the wire: all fields, and none that may be left out.
const FIRST_LINES: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/open.txt"));

#[test]
fn a_first_line_with_all_its_fields_is_written_and_read_byte_for_byte() {
    let full = OpenRequestLine {
        id: 0x9b1f_03aa_5c7e_2d41,
        key: 0x7f3a_9c21_e0b4_d655,
        class: "feed",
        tenant: "acme",
        timeout_ms: 2000,
        group: 0x5c0f,
        load: Some(0.25),
        is_retry: true,
        is_reconnect: true,
        previous_server: Some("s-5be2a07c"),
    };
    let bare =
        OpenRequestLine { id: 1, key: 2, class: "chat", timeout_ms: 500, ..OpenRequestLine::default() };
    assert_eq!(full.to_string() + &bare.to_string(), FIRST_LINES);

    let mut lines = FIRST_LINES.split_terminator("\r\n").map(str::as_bytes);
    let line = lines.next().expect("a line");
    let open = parse_open(line, &names()).expect("good");
    assert_eq!((open.id, open.key, open.group), (full.id, full.key, full.group));
    assert_eq!((open.class, open.tenant, open.timeout), (1, 2, Some(2_000_000)));
    assert_eq!(
        (open.load, open.is_returning, open.previous_server.as_deref()),
        (full.load, true, full.previous_server)
    );
    assert_eq!(class_of(line, &names()), Some(1));
    assert_eq!(
        with_timeout(line, 1_500_000),
        b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=1500,g=5c0f,h=0.25,r=1,again=1,at=s-5be2a07c\r\n"
    );

    let open = parse_open(lines.next().expect("a line"), &names()).expect("good");
    assert_eq!((open.id, open.key, open.group), (1, 2, 0));
    assert_eq!((open.class, open.tenant, open.timeout), (0, 0, Some(500_000)));
    assert_eq!((open.load, open.is_returning, open.previous_server), (None, false, None));
    assert_eq!(lines.next(), None);
}

#[test]
fn each_mark_of_a_returning_client_is_read_by_its_own_name() {
    for (list, returning) in [("r=1", true), ("again=1", true), ("r=0,again=0", false), ("retry=1", false)] {
        let open = parse_open(format!("OPEN 1 2 c=chat,{list}").as_bytes(), &names()).expect("good");
        assert_eq!(open.is_returning, returning, "{list}");
    }
}
