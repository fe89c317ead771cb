//! Tests of the text of messages, also byte for byte.

use super::*;

#[test]
fn every_written_message_parses_to_the_same_message() {
    for message in [
        Message::Accepted(b"7f"),
        Message::Accepted(b""),
        Message::Rejected(None),
        rejected(1),
        Message::Failed,
        Message::Migrate,
        Message::Completed,
        Message::LoadReport(Some(2.5)),
        Message::Ping,
        Message::Pong,
        Message::Stats,
        Message::ProbesUnsupported,
        Message::Malformed,
        Message::Payload(b"UPON"),
    ] {
        let line = message.to_string();
        assert_eq!(parse_message(line.trim_end().as_bytes()), message, "{line}");
    }
    assert_eq!((rejected(0), rejected(1_001)), (Message::Rejected(None), Message::Rejected(Some(2))));
}

#[test]
fn a_load_line_without_a_positive_number_has_no_load() {
    assert_eq!(parse_message(b"LOAD 255465.125"), Message::LoadReport(Some(255_465.125)));
    for line in [&b"LOAD 0"[..], b"LOAD -5", b"LOAD NaN", b"LOAD inf", b"LOAD ", b"LOAD x", b"LOAD \xff"] {
        assert_eq!(parse_message(line), Message::LoadReport(None), "{line:?}");
    }
    assert_eq!(parse_message(b"busy 5"), Message::Payload(b"busy 5"));
}

/// Every message as it is sent, one per line.
const MESSAGES: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt"));

#[test]
fn every_message_is_written_and_parsed_byte_for_byte() {
    let messages = [
        Message::Accepted(b""),
        Message::Accepted(b"7f3a9c21"),
        Message::Rejected(None),
        Message::Rejected(Some(250)),
        Message::Failed,
        Message::Migrate,
        Message::Completed,
        Message::LoadReport(Some(255_465.125)),
        Message::LoadReport(None),
        Message::Ping,
        Message::Pong,
        Message::Stats,
        Message::ProbesUnsupported,
        Message::Malformed,
        Message::Payload(b"hello, world"),
    ];
    assert_eq!(messages.map(|message| message.to_string()).concat(), MESSAGES);
    let parsed: Vec<Message<'_>> =
        MESSAGES.split_terminator("\r\n").map(|line| parse_message(line.as_bytes())).collect();
    assert_eq!(parsed, messages);
    assert_eq!(
        (rejected(0).to_string(), rejected(1_001).to_string()),
        ("BUSY\r\n".into(), "BUSY 2\r\n".into())
    );
}
