//! A token bucket for health checks, so that they don't add load to cold servers during an outage.

use shorewharf_decisions::interface::Action;

/// Token bucket for probes of servers.
#[derive(Debug, Default)]
pub(crate) struct ProbeLimiter {
    tokens: f64,
    /// When `tokens` was last refilled.
    updated_at: f64,
    /// Number of probes dropped since the start.
    dropped: u64,
}

impl ProbeLimiter {
    /// Removes probes in excess of `probes_per_second` from the actions at index `first` and later. The decision
    /// module requests them again after its own backoff.
    pub fn limit(&mut self, now: f64, probes_per_second: f64, first: usize, actions: &mut Vec<Action>) {
        if !probes_per_second.is_finite() {
            (self.tokens, self.updated_at) = (1.0, now);
            return;
        }
        let refilled = self.tokens + (now - self.updated_at) * probes_per_second;
        (self.tokens, self.updated_at) = (refilled.min(probes_per_second), now);
        let mut index = first;
        while index < actions.len() {
            if matches!(actions[index], Action::Probe(_)) && !self.take() {
                actions.remove(index);
                self.dropped += 1;
            } else {
                index += 1;
            }
        }
    }

    /// Takes a token; false if none is left.
    fn take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Returns the number of probes dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
