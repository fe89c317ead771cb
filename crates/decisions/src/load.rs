//! What this proxy's clients load each server with, in the unit of list weights, and whether that leaves room for one
//! more. It keeps books; what a server bears is told from outside ([`Event::Bears`](crate::interface::Event::Bears)).

use crate::interface::ServerId;
use crate::state::{Balancer, Client, Server};

/// What holding a connection costs its server beside the connection's own load, in mean loads.
pub(crate) const HOLDING: f64 = 0.1;
/// What a server pays for each group it holds any of, in mean loads. The platform states 2 of them; proxies that hold
/// some of the same group count it once each, so it counts for less here. With 1 to 1.4 service was best, with 2 there
/// were 10 % more tries.
const GROUP: f64 = 1.4;
/// Set-ups in hand at a server that is as full as it may be, and so many more at one that is empty, for all proxies
/// together: each takes a core while it lasts, and a burst of them piles up work for those who stand.
const HAND: f64 = 1.0;
const HAND_MORE: f64 = 8.0;

/// What a server bears of this proxy's.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Borne {
    /// Work a second, what holding connections and groups costs included.
    pub load: f64,
    /// Set-ups a second while it is cold.
    pub entries: f64,
}

impl Balancer {
    /// What this proxy has put on a server, as work a second in the unit of list weights: loads that were told, the
    /// mean for the others, what is reserved there, and what holding connections and groups costs. 0 where the server
    /// is unknown.
    pub fn placed(&self, server: ServerId) -> f64 {
        self.servers.get(&server).map_or(0.0, |s| self.load_on(s))
    }

    /// Requests that wait for a server to have room.
    pub fn waiting(&self) -> usize {
        self.held().len()
    }

    pub(crate) fn load_on(&self, s: &Server) -> f64 {
        s.used + self.mean * (HOLDING * f64::from(s.open) + GROUP * s.groups.len() as f64)
    }

    /// Whether a server bears this client's load too. One that holds nothing takes one in any case: what it bears was
    /// guessed.
    pub(crate) fn bears_load(&self, s: &Server, c: &Client) -> bool {
        let Some(borne) = self.borne.get(&s.entry.server).filter(|_| self.mean > 0.0) else { return true };
        let new = c.group.is_some_and(|g| !s.groups.contains_key(&g));
        let cost = self.mean * (1.0 + HOLDING + if new { GROUP } else { 0.0 });
        self.load_on(s) + cost <= borne.load || s.open == 0
    }

    /// Whether a server can set up one more now, beside those that it has in hand.
    pub(crate) fn has_a_hand(&self, s: &Server) -> bool {
        let Some(borne) = self.borne.get(&s.entry.server).filter(|_| self.mean > 0.0) else { return true };
        let spare = (1.0 - self.load_on(s) / borne.load.max(f64::MIN_POSITIVE)).max(0.0);
        f64::from(s.in_hand) < HAND + HAND_MORE * spare / self.set.instance_count
    }

    /// Counts one more (or one less) client of a group at a server.
    pub(crate) fn count_at(&mut self, server: ServerId, group: Option<u64>, more: bool) {
        let (Some(g), Some(s)) = (group, self.servers.get_mut(&server)) else { return };
        let n = s.groups.entry(g).or_insert(0);
        *n = if more { *n + 1 } else { n.saturating_sub(1) };
        if *n == 0 {
            s.groups.remove(&g);
        }
    }

    /// The mean load is another one: whose load was never told counts with it.
    pub(crate) fn revalue(&mut self, mean: f64) {
        self.mean = mean;
        self.servers.values_mut().for_each(|s| s.used = 0.0);
        for c in self.clients.values_mut() {
            if !c.told && c.request.load.is_none() {
                c.load = mean;
            }
            if let Some(s) = c.out.or(c.on).and_then(|at| self.servers.get_mut(&at)) {
                s.used += c.load;
            }
        }
        for r in self.reserved.values() {
            if let Some(s) = self.servers.get_mut(&r.server) {
                s.used += r.load;
            }
        }
    }
}
