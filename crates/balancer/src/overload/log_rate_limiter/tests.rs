//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::iteration::tests::turn;

#[test]
fn a_flood_is_counted_and_the_next_second_is_a_new_one() {
    let (mut turn, mut c) = (turn(SECOND), LogRateLimiter::default());
    assert_eq!(c.due(SECOND), 0);
    let written = (0..80).filter(|_| c.may(&mut turn)).count();
    assert_eq!((written, c.due(2 * SECOND - 1), turn.timers.due()), (50, 0, None));
    turn.begin(2 * SECOND);
    assert_eq!((turn.timers.due(), c.due(2 * SECOND)), (Some(TimerEvent::LogRateLimiter), 30));
    assert!(c.may(&mut turn));
}
