//! Tests of the module that these stand beside.

use super::*;

#[test]
fn the_answered_go_first_and_then_the_oldest() {
    let mut u = IdleConnections::default();
    u.add_opening(10, RequestId(9));
    u.add_opening(10, RequestId(3));
    u.add_closing(40, RequestId(5));
    u.add_opening(5, RequestId(7));
    let mut gone = Vec::new();
    while let Some(id) = u.oldest() {
        gone.push((u.len(), id.0));
        [5, 10, 40].into_iter().for_each(|since| u.remove(since, id));
    }
    assert_eq!(gone, [(4, 5), (3, 7), (2, 3), (1, 9)]);
}
