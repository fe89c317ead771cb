//! Tests of the end and the maximum length of a line.

use super::*;

#[test]
fn only_crlf_ends_a_line() {
    assert_eq!(scan_line(b""), LineScan::Incomplete);
    assert_eq!(scan_line(b"PING\r"), LineScan::Incomplete);
    assert_eq!(scan_line(b"PING\nPONG\r\nx"), LineScan::Complete(11));
    assert_eq!(scan_line(b"\r\n"), LineScan::Complete(2));
}

#[test]
fn the_maximum_length_is_accepted_and_one_more_byte_is_too_long() {
    let line = |n: usize| [vec![b'x'; n], b"\r\n".to_vec()].concat();
    assert_eq!(scan_line(&line(MAX_LINE_BYTES)), LineScan::Complete(MAX_LINE_BYTES + 2));
    assert_eq!(scan_line(&line(MAX_LINE_BYTES)[..MAX_LINE_BYTES + 1]), LineScan::Incomplete);
    assert_eq!(scan_line(&line(MAX_LINE_BYTES + 1)), LineScan::TooLong);
    assert_eq!(scan_line(&line(MAX_LINE_BYTES + 1)[..MAX_LINE_BYTES + 2]), LineScan::TooLong);
}
