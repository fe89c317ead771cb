//! Tests of the module that these stand beside.

use super::*;

#[test]
fn lines_end_with_cr_and_lf_only() {
    assert_eq!(front(b""), Front::Part);
    assert_eq!(front(b"PING\r"), Front::Part);
    assert_eq!(front(b"PING\nPONG\r\nx"), Front::Whole(11));
    assert_eq!(front(b"\r\n"), Front::Whole(2));
}

#[test]
fn the_limit_is_exact() {
    let line = |n: usize| [vec![b'x'; n], b"\r\n".to_vec()].concat();
    assert_eq!(front(&line(MAX_LINE)), Front::Whole(MAX_LINE + 2));
    assert_eq!(front(&line(MAX_LINE)[..MAX_LINE + 1]), Front::Part);
    assert_eq!(front(&line(MAX_LINE + 1)), Front::TooLong);
    assert_eq!(front(&line(MAX_LINE + 1)[..MAX_LINE + 2]), Front::TooLong);
}
