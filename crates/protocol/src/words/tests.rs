//! Tests of the module that these stand beside.

use super::*;

#[test]
fn every_word_is_read_as_it_is_written() {
    for w in [
        Word::Up(b"7f"),
        Word::Up(b""),
        Word::Busy(None),
        busy(1),
        Word::Err,
        Word::Move,
        Word::Bye,
        Word::Load(Some(2.5)),
        Word::Ping,
        Word::Pong,
        Word::Stats,
        Word::No,
        Word::Syntax,
        Word::Other(b"UPON"),
    ] {
        let line = w.to_string();
        assert_eq!(word(line.trim_end().as_bytes()), w, "{line}");
    }
    assert_eq!((busy(0), busy(1_001)), (Word::Busy(None), Word::Busy(Some(2))));
}

#[test]
fn a_load_line_tells_a_number_or_nothing() {
    assert_eq!(word(b"LOAD 255465.125"), Word::Load(Some(255_465.125)));
    for odd in [&b"LOAD 0"[..], b"LOAD -5", b"LOAD NaN", b"LOAD inf", b"LOAD ", b"LOAD x", b"LOAD \xff"] {
        assert_eq!(word(odd), Word::Load(None), "{odd:?}");
    }
    assert_eq!(word(b"busy 5"), Word::Other(b"busy 5"));
}

/// Each message as it stands on the wire, a line each.
const MESSAGES: &str = include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/messages.txt"));

#[test]
fn every_message_is_written_and_read_byte_for_byte() {
    let messages = [
        Word::Up(b""),
        Word::Up(b"7f3a9c21"),
        Word::Busy(None),
        Word::Busy(Some(250)),
        Word::Err,
        Word::Move,
        Word::Bye,
        Word::Load(Some(255_465.125)),
        Word::Load(None),
        Word::Ping,
        Word::Pong,
        Word::Stats,
        Word::No,
        Word::Syntax,
        Word::Other(b"hello, world"),
    ];
    assert_eq!(messages.map(|message| message.to_string()).concat(), MESSAGES);
    let read: Vec<Word<'_>> = MESSAGES.split_terminator("\r\n").map(|line| word(line.as_bytes())).collect();
    assert_eq!(read, messages);
    assert_eq!((busy(0).to_string(), busy(1_001).to_string()), ("BUSY\r\n".into(), "BUSY 2\r\n".into()));
}
