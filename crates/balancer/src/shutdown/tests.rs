//! Tests of the module that these stand beside.

use super::*;

#[test]
fn a_planned_end_fits_before_sigkill() {
    let usual = ShutdownSchedule::new(&[3_200_000]);
    assert_eq!((usual.move_from, usual.move_until, usual.last), (2_000_000, 2_900_000, 3_400_000));
    let short = ShutdownSchedule::new(&[1_000_000]);
    let successor = ShutdownSchedule::with_successor(&[1_000_000]);
    assert!(successor.move_from < successor.move_until && successor.move_until == short.move_until);
    // A request that was taken as SIGTERM came has until its own deadline.
    assert!(short.last_call >= 1_000_000 && short.last_call < short.last);
    assert!(short.move_from >= LEAVE_AFTER && short.move_until < short.last && short.last < 1_700_000);
}
