//! Tests of first lines, byte for byte, and of every error in them.

use super::*;

fn names() -> NameIndex {
    NameIndex {
        classes: [("chat".to_owned(), 0), ("feed".to_owned(), 1)].into(),
        tenants: [("acme".to_owned(), 2)].into(),
        zones: Default::default(),
    }
}

#[test]
fn an_open_line_is_parsed() {
    let line = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=2000,g=5c0f,r=1,h=0.25,new=7";
    let open = parse_open(line, &names()).expect("a valid line");
    assert_eq!((open.class, open.tenant, open.key, open.group), (1, 2, 0x7f3a_9c21_e0b4_d655, 0x5c0f));
    assert_eq!((open.load, open.is_returning, open.previous_server), (Some(0.25), true, None));
    assert_eq!((open.id, open.timeout), (0x9b1f_03aa_5c7e_2d41, Some(2_000_000)));
    let open = parse_open(b"OPEN 1 2 c=chat,again=1,at=s-1", &names()).expect("a valid line");
    assert_eq!((open.is_returning, open.previous_server.as_deref(), open.timeout), (true, Some("s-1"), None));
    let longest = parse_open(b"OPEN 1 2 c=chat,d=4294967", &names()).expect("a valid line");
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
fn a_written_line_parses_to_the_same_values() {
    let bare = OpenRequestLine {
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
        ..bare
    };
    for (written, is_returning) in [(bare, false), (full, true)] {
        let line = written.to_string();
        let open = parse_open(line.trim_end().as_bytes(), &names()).expect("a valid line");
        assert_eq!((open.id, open.key, open.class, open.tenant, open.group), (7, 9, 1, 2, written.group));
        assert_eq!(
            (open.is_returning, open.load, open.previous_server.as_deref()),
            (is_returning, written.load, written.previous_server)
        );
    }
}

#[test]
fn only_the_timeout_of_a_first_line_is_replaced() {
    let line = b"OPEN 9b1f 7f3a c=chat,t=acme,d=2000,g=5c0f,again=1";
    let copy = with_timeout(line, 1_234_567);
    assert_eq!(copy, b"OPEN 9b1f 7f3a c=chat,t=acme,d=1234,g=5c0f,again=1\r\n");
    assert_eq!(with_timeout(b"OPEN 1 2 d=5", 10), b"OPEN 1 2 d=1\r\n");
    assert_eq!(with_timeout(b"OPEN 1 2 c=chat,id=7", 10), b"OPEN 1 2 c=chat,id=7\r\n");
}

#[test]
fn malformed_lines_are_rejected_with_the_reason() {
    let wrong_form = "the line does not have the form OPEN ID KEY LIST";
    let invalid_id = "ID is not a hexadecimal number of 1 to 16 digits";
    let invalid_key = "KEY is not a hexadecimal number of 1 to 16 digits";
    let invalid_timeout = "the timeout (d) is not a number of milliseconds from 0 to 4294967295";
    let invalid_group = "the group (g) is not a hexadecimal number of 1 to 16 digits";
    let invalid_load = "the load (h) is not a number from 0 to 1000000000000";
    let missing_value = "an item of LIST has no value";
    let duplicate_item = "LIST has an item twice";
    let unknown_class = "the class (c) is not configured";
    let not_text = "the line is not UTF-8 or contains control characters";
    for (line, reason) in [
        (&b""[..], wrong_form),
        (b"OPEN", wrong_form),
        (b"OPEN 1 2", wrong_form),
        (b"OPEN 2 c=chat", wrong_form),
        (b"HELLO 1 2 c=chat", wrong_form),
        (b"open 1 2 c=chat", wrong_form),
        (b"OPEN 1 2 c=chat x", wrong_form),
        (b"OPEN  2 c=chat", invalid_id),
        (b"OPEN x 2 c=chat", invalid_id),
        (b"OPEN +1 2 c=chat", invalid_id),
        (b"OPEN -1 2 c=chat", invalid_id),
        (b"OPEN 00000000000000001 2 c=chat", invalid_id),
        (b"OPEN 1 x c=chat", invalid_key),
        (b"OPEN 1 +2 c=chat", invalid_key),
        (b"OPEN 1 2 ", missing_value),
        (b"OPEN 1 2 c=none", unknown_class),
        (b"OPEN 1 2 c=", unknown_class),
        (b"OPEN 1 2 t=acme", "LIST has no class (c)"),
        (b"OPEN 1 2 c=chat,c=feed", duplicate_item),
        (b"OPEN 1 2 c=chat,t=none", "the tenant (t) is not configured"),
        (b"OPEN 1 2 c=chat,d=", invalid_timeout),
        (b"OPEN 1 2 c=chat,d=-1", invalid_timeout),
        (b"OPEN 1 2 c=chat,d=+1", invalid_timeout),
        (b"OPEN 1 2 c=chat,d=NaN", invalid_timeout),
        (b"OPEN 1 2 c=chat,d=inf", invalid_timeout),
        (b"OPEN 1 2 c=chat,d=1e3", invalid_timeout),
        (b"OPEN 1 2 c=chat,d=soon", invalid_timeout),
        (b"OPEN 1 2 c=chat,d=4294967296", invalid_timeout),
        (b"OPEN 1 2 c=chat,d=99999999999999999999999", invalid_timeout),
        (b"OPEN 1 2 c=chat,d=5,d=6", duplicate_item),
        (b"OPEN 1 2 c=chat,g=-1", invalid_group),
        (b"OPEN 1 2 c=chat,h=-0.5", invalid_load),
        (b"OPEN 1 2 c=chat,h=NaN", invalid_load),
        (b"OPEN 1 2 c=chat,g", missing_value),
        (b"OPEN 1 2 c=chat\nOPEN 3 4 c=chat", not_text),
        (b"OPEN 1 2 c=chat\0", not_text),
        (b"OPEN 1 2 c=\xff", not_text),
    ] {
        let parsed = parse_open(line, &names()).map(|open| open.class).map_err(|error| error.to_string());
        assert_eq!(parsed, Err(reason.to_owned()), "{}", String::from_utf8_lossy(line));
    }
}

/// Two first lines as they are sent: one with all fields, and one without any optional field.
const FIRST_LINES: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/open.txt"));

#[test]
fn first_lines_with_all_and_with_no_optional_fields_are_written_and_parsed_byte_for_byte() {
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
    let open = parse_open(line, &names()).expect("a valid line");
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

    let open = parse_open(lines.next().expect("a line"), &names()).expect("a valid line");
    assert_eq!((open.id, open.key, open.group), (1, 2, 0));
    assert_eq!((open.class, open.tenant, open.timeout), (0, 0, Some(500_000)));
    assert_eq!((open.load, open.is_returning, open.previous_server), (None, false, None));
    assert_eq!(lines.next(), None);
}

#[test]
fn the_items_of_a_returning_client_are_parsed_by_their_own_names() {
    for (list, is_returning) in [("r=1", true), ("again=1", true), ("r=0,again=0", false), ("retry=1", false)]
    {
        let open = parse_open(format!("OPEN 1 2 c=chat,{list}").as_bytes(), &names()).expect("a valid line");
        assert_eq!(open.is_returning, is_returning, "{list}");
    }
}
