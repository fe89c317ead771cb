//! Tests of the timer wheel, in comparison with a sorted list.

use super::*;
use proptest::prelude::*;

fn pop_all_due(timers: &mut TimerWheel<usize>, now: Micros) -> Vec<usize> {
    timers.advance(now);
    std::iter::from_fn(|| timers.pop_due()).collect()
}

#[test]
fn timers_fire_by_deadline_and_then_in_the_order_they_were_set() {
    let mut timers = TimerWheel::new(5);
    let keys = [(30_000, 0), (10_000, 1), (20_000, 2), (10_000, 3), (5, 4)]
        .map(|(deadline, n)| timers.schedule(deadline, n));
    assert_eq!((timers.next_deadline(), pop_all_due(&mut timers, 9_999)), (Some(5), vec![4]));
    assert_eq!((timers.next_deadline(), pop_all_due(&mut timers, 20_000)), (Some(10_000), vec![1, 3, 2]));
    assert_eq!(
        (timers.cancel(keys[1]), timers.cancel(keys[0]), timers.next_deadline()),
        (None, Some(0), None)
    );
    // After a jump of a day, all timers that became due during it fire once and in order.
    for n in 0..1000 {
        timers.schedule(60_000_000 * (1000 - n as u64), n);
    }
    assert_eq!(pop_all_due(&mut timers, 86_400_000_000), (0..1000).rev().collect::<Vec<_>>());
    assert!(timers.is_empty());
}

proptest! {
    /// For any sequence of setting, cancelling and waiting, no timer fires early, late, twice, out of order
    /// or after it was cancelled.
    #[test]
    fn the_wheel_fires_like_a_sorted_list(
        start in 0..u64::MAX / 4,
        steps in proptest::collection::vec((0..4_u8, 0..40_u32, 1..1000_u64), 1..200),
    ) {
        let start = start % 3_000_000_000_000_000;
        let mut timers = TimerWheel::new(start);
        let (mut now, mut set) = (start, Vec::new());
        for (n, (step, shift, part)) in steps.into_iter().enumerate() {
            let span = (part << shift) / 1000;
            match step {
                0 | 1 => {
                    // A timer that is due already fires at the current time, any other at the end of its
                    // tick.
                    let at = if span == 0 { now } else { (now + span).div_ceil(TICK_MICROS) * TICK_MICROS };
                    set.push((at, now + span, n, timers.schedule(now + span, n)));
                }
                2 if !set.is_empty() => {
                    let (_, _, n, key) = set.remove(part as usize % set.len());
                    prop_assert_eq!(timers.cancel(key), Some(n));
                }
                _ => {
                    now += span;
                    set.sort_unstable();
                    let due_now: Vec<_> = set.iter().filter(|t| t.0 <= now).map(|t| t.2).collect();
                    prop_assert_eq!(pop_all_due(&mut timers, now), due_now);
                    set.retain(|t| t.0 > now);
                }
            }
            prop_assert_eq!(timers.len(), set.len());
            let first = set.iter().map(|t| t.0).min();
            prop_assert!(first.is_none_or(|first| timers.next_deadline().is_some_and(|next| next <= first)));
        }
    }
}
