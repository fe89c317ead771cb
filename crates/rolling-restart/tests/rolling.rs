//! Rolling restarts of an emulated fleet, with and without balancers that fail.

use std::collections::BTreeMap;
use std::time::Duration;

use shorewharf_rolling_restart::{BalancerStatus, Fleet, RecoveryPolicy, RestartReport, rolling_restart};
use thiserror::Error;

const RECOVERED: BalancerStatus = BalancerStatus { is_ready: true, servers: 10, avoided_servers: 1 };
const POLICY: RecoveryPolicy =
    RecoveryPolicy { timeout: Duration::from_secs(10), stable_for: Duration::from_secs(2) };

/// A failure that the test causes.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
struct Failure(&'static str);

/// Balancers that recover at once, unless the test specifies otherwise.
#[derive(Default)]
struct EmulatedFleet {
    /// The number of status polls of each balancer since its restart.
    polls: BTreeMap<usize, u32>,
    restarted: Vec<usize>,
    /// What a balancer reports from a poll on, by balancer and number of the poll since its restart.
    reports: BTreeMap<(usize, u32), Result<BalancerStatus, Failure>>,
    /// The balancer that can't be restarted.
    cannot_restart: Option<usize>,
    /// A balancer, and another one after whose restart it is no longer ready.
    not_ready_after: Option<(usize, usize)>,
}

impl Fleet for EmulatedFleet {
    type Error = Failure;

    fn restart(&mut self, balancer: usize) -> Result<(), Failure> {
        assert!(self.polls.insert(balancer, 0).is_none(), "restarted twice");
        self.restarted.push(balancer);
        if self.cannot_restart == Some(balancer) { Err(Failure("no such unit")) } else { Ok(()) }
    }

    fn status(&mut self, balancer: usize) -> Result<BalancerStatus, Failure> {
        let is_affected = |(affected, other)| affected == balancer && self.restarted.contains(&other);
        if self.not_ready_after.is_some_and(is_affected) {
            return Ok(BalancerStatus { is_ready: false, ..RECOVERED });
        }
        let Some(polls) = self.polls.get_mut(&balancer) else { return Ok(RECOVERED) };
        *polls += 1;
        let last = self.reports.range((balancer, 0)..=(balancer, *polls)).next_back();
        last.map_or(Ok(RECOVERED), |(_, report)| report.clone())
    }

    fn wait(&mut self) -> Duration {
        Duration::from_secs(1)
    }
}

fn stopped(report: &RestartReport<Failure>) -> (usize, String) {
    let stop = report.stopped.as_ref().expect("stopped");
    (stop.balancer, stop.cause.to_string())
}

#[test]
fn each_balancer_is_restarted_after_the_previous_one_has_recovered() {
    let mut fleet = EmulatedFleet::default();
    fleet.reports.insert((1, 0), Err(Failure("refused")));
    fleet.reports.insert((1, 3), Ok(BalancerStatus { is_ready: true, servers: 0, avoided_servers: 0 }));
    fleet.reports.insert((1, 6), Ok(RECOVERED));
    let report = rolling_restart(&mut fleet, 3, POLICY);
    assert_eq!(report, RestartReport { restarted: vec![0, 1, 2], stopped: None, remaining: vec![] });
    assert!(fleet.polls[&1] >= 8, "polled until it has stayed recovered: {} polls", fleet.polls[&1]);
}

#[test]
fn the_first_failure_stops_the_restart_and_the_remaining_balancers_are_not_restarted() {
    let mut fleet = EmulatedFleet { cannot_restart: Some(1), ..EmulatedFleet::default() };
    let report = rolling_restart(&mut fleet, 4, POLICY);
    assert_eq!(
        (report.restarted.clone(), stopped(&report), report.remaining.clone()),
        (vec![0], (1, "no such unit".to_owned()), vec![2, 3])
    );
    for (report, cause) in [
        (Err(Failure("refused")), "no status 10 s after the restart: refused"),
        (
            Ok(BalancerStatus { is_ready: false, ..RECOVERED }),
            "the balancer does not accept clients 10 s after its restart",
        ),
        (
            Ok(BalancerStatus { servers: 4, ..RECOVERED }),
            "10 s after its restart the balancer knows 4 servers and avoids 1 of them; it knew 10 before",
        ),
        (
            Ok(BalancerStatus { avoided_servers: 6, ..RECOVERED }),
            "10 s after its restart the balancer knows 10 servers and avoids 6 of them; it knew 10 before",
        ),
    ] {
        let mut fleet = EmulatedFleet::default();
        fleet.reports.insert((0, 0), report);
        let report = rolling_restart(&mut fleet, 2, POLICY);
        assert_eq!(
            (stopped(&report), report.remaining.clone(), fleet.restarted),
            ((0, cause.to_owned()), vec![1], vec![0])
        );
    }
}

#[test]
fn no_balancer_is_restarted_while_another_one_is_not_ready() {
    let mut fleet = EmulatedFleet { not_ready_after: Some((3, 0)), ..EmulatedFleet::default() };
    let report = rolling_restart(&mut fleet, 4, POLICY);
    assert_eq!((report.restarted.clone(), report.remaining.clone()), (vec![0], vec![1, 2, 3]));
    assert_eq!(stopped(&report), (3, "the balancer does not accept clients".to_owned()));
}

#[test]
fn a_balancer_that_alternates_between_ready_and_unreachable_has_not_recovered() {
    let mut fleet = EmulatedFleet::default();
    for poll in (0..40).step_by(2) {
        fleet.reports.insert((0, poll), Ok(RECOVERED));
        fleet.reports.insert((0, poll + 1), Err(Failure("unreachable")));
    }
    let report = rolling_restart(&mut fleet, 1, POLICY);
    assert_eq!(stopped(&report), (0, "no status 10 s after the restart: unreachable".to_owned()));
}
