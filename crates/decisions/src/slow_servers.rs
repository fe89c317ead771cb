//! Servers with slow messages: they get nothing new, and a part of their clients is asked to come again elsewhere.

use crate::interface::*;
use crate::policy::{PERIOD, SLOW_HOLD};
use crate::state::{Balancer, Client, sane};

/// Delay over message aim at which a server counts as slow and clients start to leave it.
const SLOW: f64 = 0.4;
/// A slow server's pile of work should be gone within this many periods: so much of its load must leave.
const DRAIN: f64 = 0.4;
const LEAVE_MOST: f64 = 0.5;

impl Balancer {
    /// Messages are slow: the server has no room now, and some of its clients do better elsewhere.
    pub(crate) fn message_delay(&mut self, now: f64, server: ServerId, delay: f64, out: &mut Vec<Action>) {
        let Some(delay) = sane(delay) else { return };
        let aim = self.message_aim();
        let Some(s) = self.servers.get_mut(&server) else { return };
        let (before, at) = std::mem::replace(&mut s.delay, (delay, now));
        if delay / aim < SLOW {
            s.slow_until = s.slow_until.min(now);
            return;
        }
        // A pile grows by the load beyond what the server can do, and shrinks by its room: growth since the
        // last note tells how much must leave. Without it a pile that already drains sheds clients again.
        let growth =
            if now - at < 1.5 * PERIOD { (delay - before) / (now - at).max(PERIOD * 0.5) } else { 0.0 };
        let share = (growth + delay / (DRAIN * PERIOD)) / (1.0 + growth.max(0.0));
        self.lower(now, server, SLOW_HOLD * PERIOD);
        if share > 0.0 {
            self.leave(server, share.min(LEAVE_MOST), delay, out);
        }
    }

    /// Asks a share of the load on a server to come again, heaviest first: fewer clients are moved.
    pub(crate) fn leave(&mut self, server: ServerId, share: f64, delay: f64, out: &mut Vec<Action>) {
        let on = |c: &&Client| c.on == Some(server) && !c.answered;
        // Those whose class can still live with the delay lose by leaving: they come last.
        let hurt = |c: &Client| {
            self.set.classes.get(c.request.class).is_none_or(|k| k.message_latency_objective <= delay)
        };
        let mut there: Vec<(bool, f64, RequestId)> =
            self.clients.values().filter(on).map(|c| (!hurt(c), c.load, c.request.id)).collect();
        there.sort_by(|a, b| a.0.cmp(&b.0).then(b.1.total_cmp(&a.1)));
        let mut due = there.iter().map(|c| c.1).sum::<f64>() * share;
        for (_, load, id) in there {
            // Whole clients only: one that is more than what is due leaves with that chance.
            if due <= 0.0 || self.moves < 1.0 || (due < load && self.draw() * load >= due) {
                break;
            }
            due -= load;
            self.moves -= 1.0;
            out.push(Action::Migrate(id));
            if let Some(c) = self.clients.get_mut(&id) {
                c.answered = true;
            }
        }
    }
}
