//! Lines and their limit.

use super::*;

#[test]
fn lines_end_with_cr_and_lf_only() {
    assert_eq!(scan_line(b""), LineScan::Incomplete);
    assert_eq!(scan_line(b"PING\r"), LineScan::Incomplete);
    assert_eq!(scan_line(b"PING\nPONG\r\nx"), LineScan::Complete(11));
    assert_eq!(scan_line(b"\r\n"), LineScan::Complete(2));
}

#[test]
fn the_limit_is_exact() {
    let line = |n: usize| [vec![b'x'; n], b"\r\n".to_vec()].concat();
    assert_eq!(scan_line(&line(MAX_LINE_BYTES)), LineScan::Complete(MAX_LINE_BYTES + 2));
    assert_eq!(scan_line(&line(MAX_LINE_BYTES)[..MAX_LINE_BYTES + 1]), LineScan::Incomplete);
    assert_eq!(scan_line(&line(MAX_LINE_BYTES + 1)), LineScan::TooLong);
    assert_eq!(scan_line(&line(MAX_LINE_BYTES + 1)[..MAX_LINE_BYTES + 2]), LineScan::TooLong);
}
