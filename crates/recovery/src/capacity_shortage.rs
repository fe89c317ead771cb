//! Log lines about shortages of capacity: when clients begin to wait, periodically while they wait, and at the end.

use shorewharf_decisions::interface::ServerState;

use crate::capacity_estimate::FleetEstimate;

/// Number of consecutive checks with waiting clients after which a shortage is reported; a single short wait is not.
const CHECKS_TO_BEGIN: u32 = 2;
/// Number of consecutive checks without waiting clients after which a shortage has ended.
const CHECKS_TO_END: u32 = 5;
/// Number of checks after which an ongoing shortage is reported again.
const CHECKS_PER_REPORT: u32 = 10;

/// Detects the begin and end of shortages. Checks are a second apart.
#[derive(Debug, Default)]
pub(crate) struct CapacityShortage {
    /// Whether a shortage has been reported and has not ended.
    is_reported: bool,
    /// Number of checks since the shortage was reported, or since the last one ended.
    checks: u32,
    /// Number of consecutive checks that contradict `is_reported`.
    contradicting_checks: u32,
    /// Number of clients rejected since clients began to wait.
    rejected: u64,
    /// Largest number of waiting clients since clients began to wait.
    max_waiting: usize,
}

impl CapacityShortage {
    /// Records a rejected client.
    pub fn on_rejected(&mut self) {
        self.rejected += 1;
    }

    /// Takes the present number of waiting clients into account; returns a log line if there is a change to report or a
    /// periodic report is due.
    pub fn check(&mut self, waiting: usize, fleet: &FleetEstimate) -> Option<String> {
        self.max_waiting = self.max_waiting.max(waiting);
        self.checks += 1;
        let is_as_reported = (waiting > 0) == self.is_reported;
        self.contradicting_checks = if is_as_reported { 0 } else { self.contradicting_checks + 1 };
        if self.is_reported {
            self.check_for_end(waiting, fleet)
        } else {
            self.check_for_shortage(waiting, fleet)
        }
    }

    fn check_for_shortage(&mut self, waiting: usize, fleet: &FleetEstimate) -> Option<String> {
        if self.contradicting_checks >= CHECKS_TO_BEGIN {
            (self.is_reported, self.checks, self.contradicting_checks) = (true, 0, 0);
            return Some(format!("room-short {}", self.format_figures(waiting, fleet)));
        }
        if waiting == 0 {
            (self.rejected, self.max_waiting) = (0, 0);
        }
        None
    }

    fn check_for_end(&mut self, waiting: usize, fleet: &FleetEstimate) -> Option<String> {
        if self.contradicting_checks >= CHECKS_TO_END {
            let lasted = self.checks - self.contradicting_checks;
            let line = format!("room-again after_s={lasted} {}", self.format_figures(waiting, fleet));
            *self = CapacityShortage::default();
            return Some(line);
        }
        let is_due = self.checks.is_multiple_of(CHECKS_PER_REPORT);
        is_due.then(|| {
            format!("room-still-short for_s={} {}", self.checks, self.format_figures(waiting, fleet))
        })
    }

    fn format_figures(&self, waiting: usize, fleet: &FleetEstimate) -> String {
        let ready = || fleet.servers.values().filter(|server| server.state == ServerState::Ready);
        let (capacity, load) =
            ready().fold((0.0, 0.0), |sums, server| (sums.0 + server.capacity, sums.1 + server.load));
        let listed: f64 = ready().map(|server| server.weight).sum();
        let cold = ready().filter(|server| server.warm_up_ratio < 1.0).count();
        format!(
            "waiting={waiting} most={} refused={} servers={} cold={cold} listed={listed:.1} bears={capacity:.1} \
             carries={load:.1}",
            self.max_waiting,
            self.rejected,
            ready().count(),
        )
    }
}

#[cfg(test)]
mod tests;
