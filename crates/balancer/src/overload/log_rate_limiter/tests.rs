//! Tests of the limit on log lines, with a flood of faulty clients.

use super::*;
use crate::event_loop::context::tests::context;

#[test]
fn lines_beyond_the_limit_are_counted_and_the_next_second_has_the_full_limit() {
    let (mut context, mut limiter) = (context(MICROS_PER_SECOND), LogRateLimiter::default());
    assert_eq!(limiter.log_suppressed(MICROS_PER_SECOND), 0);
    let written = (0..80).filter(|_| limiter.acquire(&mut context)).count();
    assert_eq!(
        (written, limiter.log_suppressed(2 * MICROS_PER_SECOND - 1), context.timers.pop_due()),
        (50, 0, None)
    );
    context.begin_iteration(2 * MICROS_PER_SECOND);
    assert_eq!(
        (context.timers.pop_due(), limiter.log_suppressed(2 * MICROS_PER_SECOND)),
        (Some(TimerEvent::LogRateLimiter), 30)
    );
    assert!(limiter.acquire(&mut context));
}
