//! A rolling restart of an emulated fleet, and what goes wrong on the way.

use std::collections::BTreeMap;
use std::time::Duration;

use shorewharf_rolling_restart::{BalancerStatus, Fleet, RecoveryPolicy, RestartReport, rolling_restart};
use thiserror::Error;

const WELL: BalancerStatus = BalancerStatus { is_ready: true, servers: 10, avoided_servers: 1 };
const POLICY: RecoveryPolicy =
    RecoveryPolicy { timeout: Duration::from_secs(10), stable_for: Duration::from_secs(2) };

/// A failure that the test causes.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("{0}")]
struct Failure(&'static str);

/// Balancers that recover at once, or as the test has it.
#[derive(Default)]
struct Emulated {
    /// Polls of the status since a restart.
    polls: BTreeMap<usize, u32>,
    restarted: Vec<usize>,
    /// What a balancer reports from the given poll after its restart on.
    reports: BTreeMap<(usize, u32), Result<BalancerStatus, Failure>>,
    /// The balancer that can't be restarted.
    cannot_restart: Option<usize>,
    /// A balancer that is not ready once another one was restarted.
    ill_after: Option<(usize, usize)>,
}

impl Fleet for Emulated {
    type Error = Failure;

    fn restart(&mut self, balancer: usize) -> Result<(), Failure> {
        assert!(self.polls.insert(balancer, 0).is_none(), "restarted twice");
        self.restarted.push(balancer);
        if self.cannot_restart == Some(balancer) { Err(Failure("no such unit")) } else { Ok(()) }
    }

    fn status(&mut self, balancer: usize) -> Result<BalancerStatus, Failure> {
        if self.ill_after.is_some_and(|(ill, after)| ill == balancer && self.restarted.contains(&after)) {
            return Ok(BalancerStatus { is_ready: false, ..WELL });
        }
        let Some(polls) = self.polls.get_mut(&balancer) else { return Ok(WELL) };
        *polls += 1;
        let last = self.reports.range((balancer, 0)..=(balancer, *polls)).next_back();
        last.map_or(Ok(WELL), |(_, report)| report.clone())
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
fn all_are_restarted_each_after_the_one_before_is_back_and_knowing() {
    let mut fleet = Emulated::default();
    fleet.reports.insert((1, 0), Err(Failure("refused")));
    fleet.reports.insert((1, 3), Ok(BalancerStatus { is_ready: true, servers: 0, avoided_servers: 0 }));
    fleet.reports.insert((1, 6), Ok(WELL));
    let report = rolling_restart(&mut fleet, 3, POLICY);
    assert_eq!(report, RestartReport { restarted: vec![0, 1, 2], stopped: None, remaining: vec![] });
    assert!(fleet.polls[&1] >= 8, "it is to stay well: {} polls", fleet.polls[&1]);
}

#[test]
fn the_first_sign_of_trouble_stops_it_and_the_rest_is_left_as_it_was() {
    let mut fleet = Emulated { cannot_restart: Some(1), ..Emulated::default() };
    let report = rolling_restart(&mut fleet, 4, POLICY);
    assert_eq!(
        (report.restarted.clone(), stopped(&report), report.remaining.clone()),
        (vec![0], (1, "no such unit".to_owned()), vec![2, 3])
    );
    for (told, why) in [
        (Err(Failure("nobody")), "after 10 s: nobody"),
        (Ok(BalancerStatus { is_ready: false, ..WELL }), "it does not take clients after 10 s"),
        (
            Ok(BalancerStatus { servers: 4, ..WELL }),
            "after 10 s it knows 4 servers, 1 of them avoided, and knew 10 before",
        ),
        (
            Ok(BalancerStatus { avoided_servers: 6, ..WELL }),
            "after 10 s it knows 10 servers, 6 of them avoided, and knew 10 before",
        ),
    ] {
        let mut fleet = Emulated::default();
        fleet.reports.insert((0, 0), told);
        let report = rolling_restart(&mut fleet, 2, POLICY);
        assert_eq!(
            (stopped(&report), report.remaining.clone(), fleet.restarted),
            ((0, why.to_owned()), vec![1], vec![0])
        );
    }
}

#[test]
fn nobody_is_restarted_while_another_one_is_ill() {
    let mut fleet = Emulated { ill_after: Some((3, 0)), ..Emulated::default() };
    let report = rolling_restart(&mut fleet, 4, POLICY);
    assert_eq!((report.restarted.clone(), report.remaining.clone()), (vec![0], vec![1, 2, 3]));
    assert_eq!(stopped(&report), (3, "it does not take clients".to_owned()));
}

#[test]
fn one_that_comes_and_goes_is_not_back() {
    let mut fleet = Emulated::default();
    for poll in (0..40).step_by(2) {
        fleet.reports.insert((0, poll), Ok(WELL));
        fleet.reports.insert((0, poll + 1), Err(Failure("gone again")));
    }
    let report = rolling_restart(&mut fleet, 1, POLICY);
    assert_eq!(stopped(&report), (0, "after 10 s: gone again".to_owned()));
}
