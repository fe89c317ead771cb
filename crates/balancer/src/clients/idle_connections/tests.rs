//! Tests of which idle connection is closed first.

use super::*;

#[test]
fn the_answered_go_first_and_then_the_eviction_candidate() {
    let mut idle = IdleConnections::default();
    idle.add_opening(10, RequestId(9));
    idle.add_opening(10, RequestId(3));
    idle.add_closing(40, RequestId(5));
    idle.add_opening(5, RequestId(7));
    let mut evicted = Vec::new();
    while let Some(id) = idle.eviction_candidate() {
        evicted.push((idle.len(), id.0));
        [5, 10, 40].into_iter().for_each(|since| idle.remove(since, id));
    }
    assert_eq!(evicted, [(4, 5), (3, 7), (2, 3), (1, 9)]);
}
