//! Sums over workers.

use super::*;

#[test]
fn counters_of_all_workers_are_summed() {
    let loops = [WorkerCounters::default(), WorkerCounters::default()];
    loops[0].record_reply(0, Reply::Success);
    loops[1].record_reply(1, Reply::Overload);
    loops[1].record_reply(1, Reply::Error);
    loops.iter().for_each(WorkerCounters::record_dispatch);
    loops[0].set_held(3, 9);
    loops[1].set_held(4, 5);
    loops[0].set_held(2, 7);
    let sums = WorkerCounters::sum(&loops);
    assert_eq!((sums.dispatches, sums.concurrent, sums.descriptors), (2, 6, 12));
    let (first, second) = (
        ReplyCounts { success: 1, ..ReplyCounts::default() },
        ReplyCounts { success: 0, overload: 1, error: 1 },
    );
    assert_eq!(sums.replies, [first, second]);
}
