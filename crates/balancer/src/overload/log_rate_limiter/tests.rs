//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::context::tests::context;

#[test]
fn a_flood_is_counted_and_the_next_second_is_a_new_one() {
    let (mut context, mut c) = (context(SECOND), LogRateLimiter::default());
    assert_eq!(c.due(SECOND), 0);
    let written = (0..80).filter(|_| c.may(&mut context)).count();
    assert_eq!((written, c.due(2 * SECOND - 1), context.timers.pop_due()), (50, 0, None));
    context.begin_iteration(2 * SECOND);
    assert_eq!((context.timers.pop_due(), c.due(2 * SECOND)), (Some(TimerEvent::LogRateLimiter), 30));
    assert!(c.may(&mut context));
}
