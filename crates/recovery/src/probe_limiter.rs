//! A token bucket for health checks of servers, since servers that come back cold have other work.

use shorewharf_decisions::interface::Action;

/// Tokens that are left for probes, as of a time.
#[derive(Debug, Default)]
pub(crate) struct ProbeLimiter {
    tokens: f64,
    updated_at: f64,
    /// Probes that were dropped.
    dropped: u64,
}

impl ProbeLimiter {
    /// Removes probes beyond `probes_per_second` from the actions from index `first` on. The decision module asks for
    /// them again by its own backoff.
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

    /// Takes a token, if one is left.
    fn take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }

    /// Probes that were dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }
}
