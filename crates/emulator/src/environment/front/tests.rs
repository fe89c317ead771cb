//! Tests of the module that these stand beside.

use super::*;
use crate::environment::tests::day;
use rand::SeedableRng;

/// Failure: a balancer of two in a zone dies and comes back, and a zone has none at all. Promise: clients reach the
/// dead one only within the notice time, the others of the zone share evenly, and nobody is left without one.
#[test]
fn deaths_are_noticed_late_and_empty_zones_are_served_from_elsewhere() {
    let mut day = day(4, &[0, 0, 1]);
    day.zones = vec!["a".into(), "b".into(), "c".into()];
    day.front.notice = 2_000_000;
    let mut front = Front::new(&day, Pcg64Mcg::seed_from_u64(3));
    assert_eq!(front.pick(0, 0), None, "nobody has answered yet");
    (0..3).for_each(|b| front.on_ready(0, BalancerId(b)));
    let share = |front: &mut Front, now, zone| {
        let mut got = [0u32; 3];
        (0..3000).for_each(|_| got[front.pick(now, zone).expect("somebody").0 as usize] += 1);
        got
    };
    let even = share(&mut front, 1, 0);
    assert!(even[0].abs_diff(1500) < 150 && even[2] == 0, "{even:?}");
    front.on_death(10, BalancerId(0));
    assert!(share(&mut front, 1_500_000, 0)[0] > 1_300, "the death is not noticed yet");
    assert_eq!(share(&mut front, 2_400_010, 0), [0, 3000, 0]);
    let lone = share(&mut front, 2_400_010, 2);
    assert!(lone[0] == 0 && lone[1] > 1_300 && lone[2] > 1_300, "{lone:?}");
    front.on_ready(3_000_000, BalancerId(0));
    front.on_ready(3_000_000, BalancerId(0));
    assert!(share(&mut front, 3_000_000, 0)[0].abs_diff(1500) < 150, "back, and dealt to once");
    front.on_terminate(4_000_000, BalancerId(1));
    assert!(share(&mut front, 4_150_000, 0)[1] > 0, "clients come for a moment yet");
    assert_eq!(share(&mut front, 4_400_000, 0)[1], 0);
}
