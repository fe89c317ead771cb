//! Rolling restarts of a fleet of balancers: each balancer must have recovered before the next one is restarted.
//!
//! This library only decides which balancer is restarted next. A [`Fleet`] restarts the balancers and reports their status.

use std::error::Error;
use std::time::Duration;

use thiserror::Error as ThisError;

/// The status that a balancer reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BalancerStatus {
    /// Whether it accepts clients.
    pub is_ready: bool,
    /// Servers in its endpoint list.
    pub servers: u64,
    /// Servers of the list to which it sends no requests.
    pub avoided_servers: u64,
}

impl BalancerStatus {
    /// Whether the balancer has recovered from a restart: it is ready, knows at least half as many servers as before, and
    /// does not avoid most of them.
    pub fn has_recovered(self, before: BalancerStatus) -> bool {
        self.is_ready && self.servers * 2 >= before.servers && self.avoided_servers * 2 <= self.servers
    }
}

/// The balancers of a fleet, numbered from 0.
pub trait Fleet {
    /// Why a balancer can't be restarted or does not report its status.
    type Error: Error;

    /// Restarts a balancer and waits until the restart is done.
    ///
    /// # Errors
    /// Returns an error if the restart fails.
    fn restart(&mut self, balancer: usize) -> Result<(), Self::Error>;

    /// Requests the status of a balancer.
    ///
    /// # Errors
    /// Returns an error if the balancer does not report it.
    fn status(&mut self, balancer: usize) -> Result<BalancerStatus, Self::Error>;

    /// Waits until the next poll of a status, and returns the time that it waited.
    fn wait(&mut self) -> Duration;
}

/// When a balancer counts as recovered.
#[derive(Clone, Copy, Debug)]
pub struct RecoveryPolicy {
    /// The time within which a balancer must have recovered after its restart.
    pub timeout: Duration,
    /// The time for which it must then stay recovered.
    pub stable_for: Duration,
}

/// Why a rolling restart stopped at a balancer.
#[derive(Clone, Debug, PartialEq, Eq, ThisError)]
pub enum StopCause<E: Error> {
    /// The balancer can't be restarted, or does not report its status before a restart.
    #[error("{0}")]
    Failed(E),
    /// The balancer does not accept clients at the time when the next one is to be restarted.
    #[error("the balancer does not accept clients")]
    NotReady,
    /// The balancer does not accept clients at the end of the time-out after its restart.
    #[error("the balancer does not accept clients {} s after its restart", .timeout.as_secs_f64())]
    NotReadyInTime {
        /// The time-out.
        timeout: Duration,
    },
    /// The balancer knows too few servers at the end of the time-out after its restart, or avoids too many.
    #[error(
        "{} s after its restart the balancer knows {} servers and avoids {} of them; it knew {} before",
        .timeout.as_secs_f64(), .after.servers, .after.avoided_servers, .before.servers
    )]
    NotRecovered {
        /// The time-out.
        timeout: Duration,
        /// The status before the restart.
        before: BalancerStatus,
        /// The last status.
        after: BalancerStatus,
    },
    /// The balancer does not report its status at the end of the time-out after its restart.
    #[error("no status {} s after the restart: {error}", .timeout.as_secs_f64())]
    NoStatus {
        /// The time-out.
        timeout: Duration,
        /// Why there is no status.
        error: E,
    },
}

/// The balancer at which a rolling restart stopped, and why.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Stop<E: Error> {
    /// The balancer's number.
    pub balancer: usize,
    /// Why the rolling restart stopped.
    pub cause: StopCause<E>,
}

/// The outcome of a rolling restart.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RestartReport<E: Error> {
    /// The balancers that were restarted and have recovered, in the order of their restarts.
    pub restarted: Vec<usize>,
    /// Where and why it stopped; `None` if all were restarted.
    pub stopped: Option<Stop<E>>,
    /// The balancers that were not restarted.
    pub remaining: Vec<usize>,
}

/// Restarts the balancers one after the other, and stops at the first one that does not recover.
pub fn rolling_restart<F: Fleet>(
    fleet: &mut F,
    balancers: usize,
    policy: RecoveryPolicy,
) -> RestartReport<F::Error> {
    let mut report =
        RestartReport { restarted: Vec::new(), stopped: None, remaining: (0..balancers).collect() };
    while let Some(next) = report.remaining.first().copied() {
        // No balancer is restarted while another one is not ready: the remaining ones would carry the load of both.
        let before = match all_ready(fleet, balancers) {
            Ok(statuses) => statuses[next],
            Err(stop) => {
                report.stopped = Some(stop);
                return report;
            }
        };
        report.remaining.remove(0);
        if let Err(cause) = restart_one(fleet, next, before, policy) {
            report.stopped = Some(Stop { balancer: next, cause });
            return report;
        }
        report.restarted.push(next);
    }
    report
}

/// Returns the statuses of all balancers if all are ready.
fn all_ready<F: Fleet>(fleet: &mut F, balancers: usize) -> Result<Vec<BalancerStatus>, Stop<F::Error>> {
    let mut statuses = Vec::with_capacity(balancers);
    for balancer in 0..balancers {
        match fleet.status(balancer) {
            Ok(status) if status.is_ready => statuses.push(status),
            Ok(_) => return Err(Stop { balancer, cause: StopCause::NotReady }),
            Err(e) => return Err(Stop { balancer, cause: StopCause::Failed(e) }),
        }
    }
    Ok(statuses)
}

/// Restarts a balancer and waits until it has recovered and stayed recovered for [`RecoveryPolicy::stable_for`].
fn restart_one<F: Fleet>(
    fleet: &mut F,
    balancer: usize,
    before: BalancerStatus,
    policy: RecoveryPolicy,
) -> Result<(), StopCause<F::Error>> {
    fleet.restart(balancer).map_err(StopCause::Failed)?;
    let mut waited = Duration::ZERO;
    let mut recovered_at = None;
    loop {
        let status = fleet.status(balancer);
        if status.as_ref().is_ok_and(|status| status.has_recovered(before)) {
            let since = *recovered_at.get_or_insert(waited);
            if waited - since >= policy.stable_for {
                return Ok(());
            }
        } else {
            recovered_at = None;
        }
        // A balancer that has recovered before the time-out may complete its stable time after it.
        if waited >= policy.timeout && recovered_at.is_none() {
            return Err(timeout_cause(status, before, policy.timeout));
        }
        waited += fleet.wait();
    }
}

fn timeout_cause<E: Error>(
    status: Result<BalancerStatus, E>,
    before: BalancerStatus,
    timeout: Duration,
) -> StopCause<E> {
    match status {
        Ok(status) if !status.is_ready => StopCause::NotReadyInTime { timeout },
        Ok(after) => StopCause::NotRecovered { timeout, before, after },
        Err(error) => StopCause::NoStatus { timeout, error },
    }
}
