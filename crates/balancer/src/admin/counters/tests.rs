//! Tests of the module that these stand beside.

use super::*;

#[test]
fn all_loops_are_summed() {
    let loops = [WorkerCounters::default(), WorkerCounters::default()];
    loops[0].replied(0, Reply::Success);
    loops[1].replied(1, Reply::Overload);
    loops[1].replied(1, Reply::Error);
    loops.iter().for_each(WorkerCounters::dispatched);
    loops[0].holds(3, 9);
    loops[1].holds(4, 5);
    loops[0].holds(2, 7);
    let sums = WorkerCounters::of_all(&loops);
    assert_eq!((sums.dispatches, sums.concurrent, sums.descriptors), (2, 6, 12));
    let (first, second) = (
        ReplyCounts { success: 1, ..ReplyCounts::default() },
        ReplyCounts { success: 0, overload: 1, error: 1 },
    );
    assert_eq!(sums.replies, [first, second]);
}
