//! Tests of the totals over several workers.

use super::*;

#[test]
fn counters_of_all_workers_are_summed() {
    let workers = [WorkerCounters::default(), WorkerCounters::default()];
    workers[0].record_reply(0, Reply::Success);
    workers[1].record_reply(1, Reply::Overload);
    workers[1].record_reply(1, Reply::Error);
    workers.iter().for_each(WorkerCounters::record_dispatch);
    workers[0].set_gauges(3, 9);
    workers[1].set_gauges(4, 5);
    workers[0].set_gauges(2, 7);
    let totals = WorkerCounters::sum(&workers);
    assert_eq!((totals.dispatches, totals.concurrent, totals.descriptors), (2, 6, 12));
    let (first_class, second_class) = (
        ReplyCounts { success: 1, ..ReplyCounts::default() },
        ReplyCounts { success: 0, overload: 1, error: 1 },
    );
    assert_eq!(totals.replies, [first_class, second_class]);
}
