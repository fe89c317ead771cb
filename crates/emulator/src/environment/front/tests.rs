//! Tests of the front.

use super::*;
use crate::environment::tests::day;
use rand::SeedableRng;

/// One of two balancers of a zone dies and restarts, and another zone has no balancer. Clients are assigned
/// to the dead balancer only until its death is detected, the live balancers of a zone get equal shares, and
/// clients of the empty zone are assigned to balancers of other zones.
#[test]
fn dead_balancers_get_clients_until_detected_and_empty_zones_use_other_zones() {
    let mut day = day(4, &[0, 0, 1]);
    day.zones = vec!["a".into(), "b".into(), "c".into()];
    day.front.notice = 2_000_000;
    let mut front = Front::new(&day, Pcg64Mcg::seed_from_u64(3));
    assert_eq!(front.pick(0, 0), None, "no balancer is ready yet");
    (0..3).for_each(|b| front.on_ready(0, BalancerId(b)));
    let share = |front: &mut Front, now, zone| {
        let mut got = [0u32; 3];
        (0..3000).for_each(|_| got[front.pick(now, zone).expect("a balancer is assignable").0 as usize] += 1);
        got
    };
    let shares = share(&mut front, 1, 0);
    assert!(shares[0].abs_diff(1500) < 150 && shares[2] == 0, "{shares:?}");
    front.on_death(10, BalancerId(0));
    assert!(share(&mut front, 1_500_000, 0)[0] > 1_300, "the death is not detected yet");
    assert_eq!(share(&mut front, 2_400_010, 0), [0, 3000, 0]);
    let empty_zone = share(&mut front, 2_400_010, 2);
    assert!(empty_zone[0] == 0 && empty_zone[1] > 1_300 && empty_zone[2] > 1_300, "{empty_zone:?}");
    front.on_ready(3_000_000, BalancerId(0));
    front.on_ready(3_000_000, BalancerId(0));
    assert!(share(&mut front, 3_000_000, 0)[0].abs_diff(1500) < 150, "the restarted balancer is listed once");
    front.on_terminate(4_000_000, BalancerId(1));
    assert!(
        share(&mut front, 4_150_000, 0)[1] > 0,
        "a terminating balancer still gets clients for a short time"
    );
    assert_eq!(share(&mut front, 4_400_000, 0)[1], 0);
}
