//! Overload in virtual time.

use super::*;

/// Plays turns for so long: each takes `took` after a wait of `waited`, and leaves clients in the backlog or not.
/// How many of a hundred clients are taken at the end.
fn play(
    monitor: &mut OverloadMonitor,
    now: &mut Micros,
    long: Micros,
    (waited, took, backlog): (Micros, Micros, bool),
) -> usize {
    let end = *now + long;
    while *now < end {
        let began = *now + waited;
        *now = began + took;
        monitor.record_iteration(began, *now, backlog);
    }
    (0..100).filter(|_| monitor.admit()).count()
}

#[test]
fn fewer_clients_are_admitted_while_the_loop_lags_and_all_once_it_keeps_up() {
    let (mut monitor, mut now) = (OverloadMonitor::new(0), 0);
    monitor.set_latency_objective(50_000);
    for (what, turns) in [
        ("busy with short turns", (0, 3_000, false)),
        ("long turns with waits between them", (9_000, 20_000, true)),
        ("a core that is taken away for three quarters of the time", (25_000, 75_000, false)),
    ] {
        assert_eq!(play(&mut monitor, &mut now, 5_000_000, turns), 100, "{what}");
    }
    assert_eq!(play(&mut monitor, &mut now, 900_000, (0, 20_000, false)), 100, "a stall is no overload");
    let some = play(&mut monitor, &mut now, 700_000, (0, 20_000, false));
    let few = play(&mut monitor, &mut now, 20_000_000, (0, 20_000, false));
    assert!(some < 100 && (4..7).contains(&few), "{some} {few}");
    assert_eq!((monitor.max_accepts(), monitor.max_log_lines(50)), (MIN_ACCEPTS, 2));
    // Short turns with a backlog lag too: clients wait for longer and longer to be accepted.
    assert!(play(&mut monitor, &mut now, 5_000_000, (0, 3_000, true)) < 7);
    let back = play(&mut monitor, &mut now, 2_000_000, (500, 500, false));
    assert!((30..60).contains(&back), "{back}");
    assert_eq!(play(&mut monitor, &mut now, 6_000_000, (500, 500, false)), 100);
    assert!(monitor.overload.is_none() && monitor.max_accepts() == MAX_ACCEPTS);
}
