//! Tests of the overload monitor in virtual time.

use super::*;

/// Runs iterations for a time of `duration`: each takes `busy` after a wait of `idle`, and leaves clients in the
/// backlog if `has_backlog`. Returns how many of 100 new clients are admitted at the end.
fn run_iterations(
    monitor: &mut OverloadMonitor,
    now: &mut Micros,
    duration: Micros,
    (idle, busy, has_backlog): (Micros, Micros, bool),
) -> usize {
    let end = *now + duration;
    while *now < end {
        let started_at = *now + idle;
        *now = started_at + busy;
        monitor.record_iteration(started_at, *now, has_backlog);
    }
    (0..100).filter(|_| monitor.admit()).count()
}

#[test]
fn fewer_clients_are_admitted_while_the_loop_lags_and_all_once_it_keeps_up() {
    let (mut monitor, mut now) = (OverloadMonitor::new(0), 0);
    monitor.set_latency_objective(50_000);
    for (case, iterations) in [
        ("busy with short iterations", (0, 3_000, false)),
        ("long iterations with waits between them", (9_000, 20_000, true)),
        ("a core that is unavailable for three quarters of the time", (25_000, 75_000, false)),
    ] {
        assert_eq!(run_iterations(&mut monitor, &mut now, 5_000_000, iterations), 100, "{case}");
    }
    assert_eq!(
        run_iterations(&mut monitor, &mut now, 900_000, (0, 20_000, false)),
        100,
        "a stall counted as an overload"
    );
    let admitted_at_first = run_iterations(&mut monitor, &mut now, 700_000, (0, 20_000, false));
    let admitted_later = run_iterations(&mut monitor, &mut now, 20_000_000, (0, 20_000, false));
    assert!(
        admitted_at_first < 100 && (4..7).contains(&admitted_later),
        "admitted {admitted_at_first}, later {admitted_later}"
    );
    assert_eq!((monitor.max_accepts(), monitor.max_log_lines(50)), (MIN_ACCEPTS, 2));
    // Short iterations with a backlog lag too: clients wait for longer and longer to be accepted.
    assert!(run_iterations(&mut monitor, &mut now, 5_000_000, (0, 3_000, true)) < 7);
    let admitted_in_recovery = run_iterations(&mut monitor, &mut now, 2_000_000, (500, 500, false));
    assert!((30..60).contains(&admitted_in_recovery), "admitted {admitted_in_recovery}");
    assert_eq!(run_iterations(&mut monitor, &mut now, 6_000_000, (500, 500, false)), 100);
    assert!(monitor.overload.is_none() && monitor.max_accepts() == MAX_ACCEPTS);
}
