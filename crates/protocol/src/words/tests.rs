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
