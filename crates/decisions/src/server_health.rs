//! What is believed of a server after attempts and probes: its share of its size, its lock, its drops.

use crate::interface::*;
use crate::policy::{DROPPED, DROPS, FALL, LEAST, PERIOD, SHED_HOLD};
use crate::probing::CROWD;
use crate::state::{Balancer, Server};

/// Lock after a failed connect, in connect time-outs; doubles up to the cap, in warm-up times.
const LOCK: f64 = 4.0;
const LOCK_MOST: f64 = 0.5;

impl Balancer {
    /// Neither frozen nor locked: part of the pools. A locked server takes one trial when its time is up.
    pub(crate) fn in_service(&self, s: &Server, now: f64) -> bool {
        s.entry.state == ServerState::Ready && (!s.locked || (!self.set.may_probe && now >= s.retry_at))
    }

    pub(crate) fn lower(&mut self, now: f64, server: ServerId, spent_for: f64) {
        if let Some(s) = self.servers.get_mut(&server) {
            s.health = (s.health * FALL).max(LEAST);
            s.slow_until = s.slow_until.max(now + spent_for);
        }
    }

    pub(crate) fn lock(&mut self, now: f64, server: ServerId) {
        let jitter = 0.75 + 0.5 * self.draw();
        let (first, most) = (self.set.connect_timeout * LOCK, self.set.warm_up_time * LOCK_MOST);
        if let Some(s) = self.servers.get_mut(&server) {
            s.backoff = if s.locked { (s.backoff * 2.0).min(most.max(first)) } else { first };
            s.locked = true;
            s.retry_at = now + s.backoff * jitter;
        }
    }

    pub(crate) fn probed(&mut self, now: f64, server: ServerId, outcome: Outcome, out: &mut Vec<Action>) {
        let turned_away = self.heard(now, server, outcome);
        match outcome {
            Outcome::Ok => self.servers.get_mut(&server).into_iter().for_each(|s| s.locked = false),
            _ if turned_away => {}
            _ => self.lock(now, server),
        }
        let mut waiting = if self.is_blind() { self.held() } else { Vec::new() };
        // A crowd is left to the timer: looking at all of it at each probe's end costs more than it brings.
        if waiting.len() > CROWD {
            waiting.clear();
        }
        waiting.into_iter().for_each(|id| self.place(now, id, out));
    }

    /// What an attempt's end says of its server.
    pub(crate) fn judge(&mut self, now: f64, server: ServerId, outcome: Outcome, stood: bool) {
        let left = self.servers.get(&server).map_or(0, |s| s.open);
        match outcome {
            Outcome::ConnectFailed => self.lock(now, server),
            Outcome::Rejected | Outcome::TimedOut => {
                self.lower(now, server, PERIOD);
                self.set_up_failed(now, server);
            }
            // The last connection broke: the server may be down. A trial will tell.
            Outcome::Reset if stood && left == 0 => self.lock(now, server),
            Outcome::Reset => self.dropped(now, server),
            Outcome::Error => self.lower(now, server, 0.0),
            Outcome::Ok | Outcome::Cancelled | Outcome::NotSent => {}
        }
    }

    /// A server that sheds a good part of its clients while others stay has no room, as if it had said so.
    /// Connections break one by one on a bad network too, and that is no fault of their server.
    pub(crate) fn dropped(&mut self, now: f64, server: ServerId) {
        let Some(s) = self.servers.get_mut(&server) else { return };
        s.drops += 1.0;
        if s.drops >= DROPS && s.drops >= DROPPED * (s.drops + f64::from(s.open)) {
            self.lower(now, server, SHED_HOLD * PERIOD);
        }
    }
}
