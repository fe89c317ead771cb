//! Tests of the schedule of a graceful shutdown.

use super::*;

#[test]
fn a_graceful_shutdown_completes_before_sigkill() {
    let usual = ShutdownSchedule::new(&[3_200_000]);
    assert_eq!((usual.migrate_from, usual.migrate_until, usual.end), (2_000_000, 2_900_000, 3_400_000));
    let short = ShutdownSchedule::new(&[1_000_000]);
    let successor = ShutdownSchedule::with_successor(&[1_000_000]);
    assert!(
        successor.migrate_from < successor.migrate_until && successor.migrate_until == short.migrate_until
    );
    // A request that was received just before SIGTERM is kept until its own deadline.
    assert!(short.answer_all_from >= 1_000_000 && short.answer_all_from < short.end);
    assert!(short.migrate_from >= MIN_DRAIN_TIME && short.migrate_until < short.end && short.end < 1_700_000);
}
