//! Tests of the schedule of a graceful shutdown.

use super::*;

#[test]
fn a_graceful_shutdown_completes_before_sigkill() {
    let usual = ShutdownSchedule::new(&[3_200_000]);
    assert_eq!((usual.migrate_from, usual.migrate_until, usual.end), (2_000_000, 2_900_000, 3_400_000));
    let short = ShutdownSchedule::new(&[1_000_000]);
    let successor = short.with_successor();
    assert!(
        successor.migrate_from < successor.migrate_until && successor.migrate_until == short.migrate_until
    );
    // A request that was received just before SIGTERM is kept until its own deadline.
    assert!(short.answer_all_from >= 1_000_000 && short.answer_all_from < short.end);
    assert!(short.migrate_from >= MIN_DRAIN_TIME && short.migrate_until < short.end && short.end < 1_700_000);
}

/// Guards against a schedule that ends connections while first lines are still coming in, for any client timeout.
#[test]
fn incomplete_requests_are_rejected_as_late_as_the_end_of_the_process_allows() {
    for timeout in (1..5_000_000).step_by(1000) {
        let schedule = ShutdownSchedule::new(&[timeout]);
        let kill = timeout.min(MAX_CLIENT_TIMEOUT) + KILL_DELAY;
        assert!(schedule.end < kill, "client timeout {timeout}: {schedule:?}");
        let latest = schedule.end - REJECT_BEFORE_END;
        assert!(schedule.reject_incomplete_from <= latest, "client timeout {timeout}: {schedule:?}");
        let are_lines_complete = schedule.reject_incomplete_from >= MIN_DRAIN_TIME + FIRST_LINE_TIME;
        assert!(
            are_lines_complete || schedule.reject_incomplete_from == latest,
            "client timeout {timeout}: {schedule:?}"
        );
    }
}

/// Guards against a process that ends before its established clients are migrated, for any client timeout.
#[test]
fn clients_are_migrated_after_the_drain_time_and_before_the_process_ends() {
    for timeout in (1..5_000_000).step_by(1000) {
        let usual = ShutdownSchedule::new(&[timeout]);
        for schedule in [usual, usual.with_successor()] {
            let is_after_drain_time = schedule.migrate_from >= MIN_DRAIN_TIME;
            let is_in_order =
                schedule.migrate_from < schedule.migrate_until && schedule.migrate_until <= schedule.end;
            assert!(is_after_drain_time && is_in_order, "client timeout {timeout}: {schedule:?}");
        }
    }
}
