//! Effects of the ends of attempts: reduced health and quarantine of a server, and the rate limit of all
//! set-ups.

use crate::interface::{Outcome, ServerId};
use crate::servers::Server;
use crate::state::Balancer;
use crate::timers::HOUSEKEEPING_PERIOD_SECONDS;

/// First pause of a quarantine, in connect timeouts. The pause doubles at each failed trial.
const QUARANTINE_CONNECT_TIMEOUTS: f64 = 4.0;
/// Longest pause of a quarantine, in warm-up times.
const MAX_QUARANTINE_WARM_UP_TIMES: f64 = 0.5;
/// No new requests are sent for this time to a server that rejects a set-up or does not finish it in time.
const FAILED_SETUP_UNAVAILABLE_SECONDS: f64 = HOUSEKEEPING_PERIOD_SECONDS;
/// No new requests are sent for this time to a server that sheds its connections.
const SHEDDING_UNAVAILABLE_SECONDS: f64 = 12.0 * HOUSEKEEPING_PERIOD_SECONDS;
/// Failed set-ups at several servers count as concurrent within this time.
const SETUP_FAILURE_WINDOW_SECONDS: f64 = 2.0 * HOUSEKEEPING_PERIOD_SECONDS;
/// The rate limit is lowered when set-ups fail at more than this share of the servers.
const WIDESPREAD_FAILURE_RATIO: f64 = 0.5;

impl Balancer {
    /// Lowers a server's health, and marks the server as unavailable for `unavailable_for` seconds.
    pub(crate) fn reduce_health(&mut self, now: f64, id: ServerId, unavailable_for: f64) {
        if let Some(server) = self.servers.get_mut(id) {
            server.reduce_health(now, unavailable_for);
        }
    }

    /// Takes a server that can't be reached out of service until a probe or a single trial succeeds.
    pub(crate) fn quarantine(&mut self, now: f64, id: ServerId) {
        let jitter = 0.75 + 0.5 * self.draw();
        let first_pause = self.settings.connect_timeout * QUARANTINE_CONNECT_TIMEOUTS;
        let max_pause = (self.settings.warm_up_time * MAX_QUARANTINE_WARM_UP_TIMES).max(first_pause);
        if let Some(server) = self.servers.get_mut(id) {
            let doubled = (server.trial_backoff * 2.0).min(max_pause);
            server.trial_backoff = if server.is_quarantined { doubled } else { first_pause };
            server.is_quarantined = true;
            server.trial_at = now + server.trial_backoff * jitter;
        }
    }

    /// Updates the state of a server from the end of an attempt or of an established connection.
    pub(crate) fn apply_outcome(&mut self, now: f64, id: ServerId, outcome: Outcome, was_established: bool) {
        let connections_left = self.servers.get(id).map_or(0, |server| server.connections);
        match outcome {
            Outcome::ConnectFailed => self.quarantine(now, id),
            Outcome::Rejected | Outcome::TimedOut => {
                self.reduce_health(now, id, FAILED_SETUP_UNAVAILABLE_SECONDS);
                self.on_setup_failed(now, id);
            }
            // The last connection broke, so the server may be down. A trial will show.
            Outcome::Reset if was_established && connections_left == 0 => self.quarantine(now, id),
            Outcome::Reset => {
                if self.servers.get_mut(id).is_some_and(Server::record_reset) {
                    self.reduce_health(now, id, SHEDDING_UNAVAILABLE_SECONDS);
                }
            }
            Outcome::Error => self.reduce_health(now, id, 0.0),
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// Records a failed set-up. Only failures at many servers indicate a problem that the servers share, and
    /// lower the rate limit of all set-ups. A single bad server must not keep clients away from sound ones.
    fn on_setup_failed(&mut self, now: f64, id: ServerId) {
        if let Some(server) = self.servers.get_mut(id) {
            server.setup_failed_at = now;
        }
        let (mut failing, mut total) = (0.0, 0.0);
        for server in self.servers.in_service(&self.settings, now) {
            total += 1.0;
            if now < server.setup_failed_at + SETUP_FAILURE_WINDOW_SECONDS {
                failing += 1.0;
            }
        }
        if failing > WIDESPREAD_FAILURE_RATIO * total {
            self.setup_limiter.reduce(now);
        }
    }
}
