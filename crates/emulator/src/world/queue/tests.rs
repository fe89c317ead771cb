//! Tests of the module that these stand beside.

use super::*;

/// Events of one time that came out in another order than they went in would make runs differ.
#[test]
fn events_come_by_time_and_at_one_time_in_the_order_of_being_put_in() {
    let mut queue = Queue::default();
    for (at, what) in [(5, 'a'), (3, 'b'), (5, 'c'), (3, 'd'), (4, 'e'), (5, 'f')] {
        queue.push(at, what);
    }
    assert_eq!(queue.pop(2), None, "came before its time");
    let got: Vec<_> = std::iter::from_fn(|| queue.pop(5)).collect();
    assert_eq!(got, [(3, 'b'), (3, 'd'), (4, 'e'), (5, 'a'), (5, 'c'), (5, 'f')]);
}
