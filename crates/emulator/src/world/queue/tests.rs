//! Tests of the event queue.

use super::*;

/// Guards against events of the same time that are handled in another order than they were scheduled, which
/// would make runs of the same day differ.
#[test]
fn events_are_ordered_by_time_and_then_by_insertion() {
    let mut queue = Queue::default();
    for (at, what) in [(5, 'a'), (3, 'b'), (5, 'c'), (3, 'd'), (4, 'e'), (5, 'f')] {
        queue.push(at, what);
    }
    assert_eq!(queue.pop(2), None, "an event was returned before it was due");
    let got: Vec<_> = std::iter::from_fn(|| queue.pop(5)).collect();
    assert_eq!(got, [(3, 'b'), (3, 'd'), (4, 'e'), (5, 'a'), (5, 'c'), (5, 'f')]);
}
