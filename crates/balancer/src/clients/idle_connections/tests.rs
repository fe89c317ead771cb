//! Tests of the order in which idle connections are evicted.

use super::*;

#[test]
fn answered_connections_are_evicted_first_and_then_the_longest_idle() {
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
