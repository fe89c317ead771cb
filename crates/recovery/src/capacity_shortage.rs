//! Log lines about a shortage of capacity: when clients begin to wait, how it goes on, and how it ended.

use shorewharf_decisions::interface::ServerState;

use crate::capacity_estimate::FleetEstimate;

/// A shortage is reported once clients have waited in this many checks in a row; a single wait is no news.
const CHECKS_TO_BEGIN: u32 = 2;
/// A shortage is over once nobody has waited in this many checks in a row.
const CHECKS_TO_END: u32 = 5;
/// An ongoing shortage is reported again after this many checks.
const CHECKS_PER_REPORT: u32 = 10;

/// Follows one shortage after the other. Checks are a second apart.
#[derive(Debug, Default)]
pub(crate) struct CapacityShortage {
    is_reported: bool,
    /// Checks since the shortage was reported, or since the last one ended.
    checks: u32,
    /// Checks in a row that contradict `is_reported`.
    contradicting_checks: u32,
    rejected: u64,
    max_waiting: usize,
}

impl CapacityShortage {
    /// Counts a rejected client.
    pub fn on_rejected(&mut self) {
        self.rejected += 1;
    }

    /// Checks whether clients wait; returns a line for the log where there is something to report.
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
