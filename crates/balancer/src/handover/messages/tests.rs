//! Tests of the module that these stand beside.

use super::*;

#[test]
fn lines_come_out_one_by_one_and_tell_what_was_said() {
    let mut inbox = [held(17).as_bytes(), LEAVES, b"\nHEL"].concat();
    assert_eq!(line(&mut inbox).as_deref().and_then(read_held), Some(17));
    assert_eq!(line(&mut inbox).as_deref(), Some(LEAVES));
    assert_eq!((line(&mut inbox), inbox.as_slice()), (None, &b"HEL"[..]));
    assert_eq!([&b"HELD"[..], b"HELD x", b"HELD -1"].map(read_held), [None; 3]);
}
