//! The pace of set-ups: failures at many servers slow all sending down, as they speak of what the servers share.

use crate::interface::*;
use crate::policy::{PACE_FALL, PACE_FREE, PACE_LEAST, PERIOD};
use crate::state::Balancer;

/// The pace falls when set-ups failed within so many periods at more than this share of the servers.
const FAILING: f64 = 2.0;
const WIDE: f64 = 0.5;

impl Balancer {
    /// Guards the fleet and what set-ups share (a session store) against a storm of repeats: failed set-ups
    /// slow this proxy's sending down, good ones speed it up until the pace binds no more.
    pub(crate) fn permit(&mut self, now: f64) -> bool {
        self.permits = (self.permits + (now - self.paced_at) * self.pace).min(1.0 + self.pace * 0.1);
        self.paced_at = now;
        self.pace >= PACE_FREE || self.permits >= 1.0
    }

    /// Only failures at many servers speak of what they share. One that is ill has its own `have` lowered;
    /// clients must not be kept from the sound ones for it.
    pub(crate) fn set_up_failed(&mut self, now: f64, server: ServerId) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.failed_at = now;
        }
        let ready = self.servers.values().filter(|s| self.in_service(s, now));
        let (failing, all) = ready.fold((0.0, 0.0), |t, s| {
            (t.0 + f64::from(u8::from(now < s.failed_at + FAILING * PERIOD)), t.1 + 1.0)
        });
        if failing > WIDE * all {
            self.slow_down(now);
        }
    }

    pub(crate) fn slow_down(&mut self, now: f64) {
        if now < self.fell_at + PERIOD * 0.5 {
            return;
        }
        self.fell_at = now;
        let pace = if self.pace >= PACE_FREE { self.sends.max(1.0) } else { self.pace };
        self.pace = (pace * PACE_FALL).max(PACE_LEAST);
    }
}
