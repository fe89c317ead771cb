//! Placement: which server a client goes to, of those that may take one: the one reserved for it, one that holds its
//! group, or the least used of its group's pool.

use crate::interface::*;
use crate::policy::PERIOD;
use crate::state::{Balancer, Client, Server, hash, unit};

/// A server, whether it is far, and its rank.
type Ranked<'a> = (bool, f64, &'a Server);

/// Servers per pool member wanted: a group's pool is this many times its share of the fleet.
const SPREAD: f64 = 1.0;
/// Clients subtracted from a group's count: one sighting says little of a group's true size.
const DISCOUNT: f64 = 0.75;
/// Clients assumed elsewhere when few have been seen, so that the first one's group is not taken for all.
const PRIOR: f64 = 3.0;
/// Crossing price (parts of the result) from which pools are cut to the proxy's own zone.
const LOCAL_PRICE: f64 = 0.05;
/// A pool whose members are spent reaches so many ranks further down before clients are refused.
const REACH: usize = 1;
/// A pool member is passed over above this multiple of the mean usage plus this many mean clients.
const BOUND: f64 = 1.25;
const BOUND_CLIENTS: f64 = 3.0;

impl Balancer {
    /// How many of `fleet` servers make up a group's pool.
    pub(crate) fn pool_size(&self, group: Option<u64>, fleet: usize) -> usize {
        let Some(group) = group else { return fleet };
        let n = (self.groups.get(&group).map_or(0.0, |g| g.0) - DISCOUNT).max(0.0);
        let share = n / (self.seen + PRIOR);
        ((SPREAD * share * fleet as f64).round() as usize).clamp(1, fleet.max(1))
    }

    /// Where crossing zones costs much, the other zones' servers come after all of the proxy's own.
    pub(crate) fn far(&self, s: &Server) -> bool {
        self.set.zone_crossing_cost >= LOCAL_PRICE && s.entry.zone != self.set.zone
    }

    /// A server's place for a group, the same at every proxy: weighted rendezvous hashing, lowest first.
    pub(crate) fn rank(&self, group: Option<u64>, s: &Server) -> f64 {
        let size = if self.set.weight_kind == WeightKind::LoadAdjusted { 1.0 } else { s.entry.weight };
        -unit(hash(group.unwrap_or(0), s.entry.server.0)).ln() / size
    }

    /// The server for a client: its reserved one, else the lowest usage in its group's pool.
    pub(crate) fn choose(&mut self, now: f64, c: &Client) -> Option<ServerId> {
        let usable = |b: &Self, s: &Server| {
            now >= s.slow_until
                && b.bears_load(s, c)
                && b.has_a_hand(s)
                && b.entry_open(s, now)
                && b.may_send(c, s, now)
                && !c.tried.contains(&s.entry.server)
        };
        if let Some(r) = self.reserved.get(&c.request.key).filter(|_| c.request.key != 0)
            && self.servers.get(&r.server).is_some_and(|s| self.in_service(s, now) && usable(self, s))
        {
            return Some(r.server);
        }
        let group = self.group_of(&c.request);
        let far = |s: &Server| self.far(s);
        // Whoever puts a server back wants to see it used, and ranks may send nobody there: one client is.
        let thawed = |s: &&Server| s.thawed && !far(s) && self.in_service(s, now) && usable(self, s);
        if let Some(s) = self.servers.values().find(thawed) {
            return Some(s.entry.server);
        }
        let rank = |s: &Server| self.rank(group, s);
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        let near = ready.filter(|s| !far(s)).count();
        let (bound, client) = self.bound(now);
        let over = |s: &Server| s.used > bound * self.have(s, now) + client;
        // Servers where this proxy holds some of the group have paid for it: they come before the pool.
        let paid = self.holding(group).into_iter().filter_map(|id| self.servers.get(&id));
        let home = paid.filter(|s| self.in_service(s, now) && usable(self, s) && !over(s) && !far(s));
        if let Some(server) = self.lowest(now, c, home) {
            return Some(server);
        }
        let mut pool: Vec<Ranked> =
            self.servers.values().filter(|s| self.in_service(s, now)).map(|s| (far(s), rank(s), s)).collect();
        let k = self.pool_size(group, near).min(pool.len());
        if k == 0 {
            return None;
        }
        // Past its reach a group is refused rather than scattered: each server that holds it pays for it.
        let passes = c.passes && group.is_some();
        let reach = (k + REACH + usize::from(passes)).min(pool.len());
        let by_rank = |a: &Ranked, b: &Ranked| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1));
        if reach < pool.len() {
            pool.select_nth_unstable_by(reach - 1, by_rank);
            pool.truncate(reach);
        }
        pool.sort_by(by_rank);
        if passes && pool.len() > 1 && !self.heard_well(pool[0].2, now) {
            pool.remove(0);
        }
        pool.retain(|p| usable(self, p.2));
        pool.sort_by_key(|p| (over(p.2), p.0));
        let k = k.min(pool.len());
        self.lowest(now, c, pool[..k].iter().map(|p| p.2))
    }

    /// Clients here would have told of slow messages, and have not lately. A cold server has its own guard.
    pub(crate) fn heard_well(&self, s: &Server, now: f64) -> bool {
        self.ramp(s, now) < 1.0 || (s.open > 0 && now >= s.delay.1 + 2.0 * PERIOD)
    }

    /// Looky's weighted seed: the lowest usage; ties, most cases on a large fleet, by lots.
    pub(crate) fn lowest<'a>(
        &self,
        now: f64,
        c: &Client,
        of: impl Iterator<Item = &'a Server>,
    ) -> Option<ServerId> {
        let salt = hash(c.request.key, self.set.instance_index);
        let weighed = of.map(|s| {
            let have = self.have(s, now).max(f64::MIN_POSITIVE);
            let lot = -unit(hash(salt, s.entry.server.0)).ln() / have;
            (s.used * 100.0 / have, lot, s.entry.server)
        });
        weighed.min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|b| b.2)
    }

    /// The usage that a pool member may show before the pool grows past it, and the slack of a mean client.
    pub(crate) fn bound(&self, now: f64) -> (f64, f64) {
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        let (used, have, open) =
            ready.fold((0.0, 0.0, 0), |t, s| (t.0 + s.used, t.1 + self.have(s, now), t.2 + s.open));
        (BOUND * used / f64::max(have, f64::MIN_POSITIVE), BOUND_CLIENTS * used / f64::from(open.max(1)))
    }

    pub(crate) fn have(&self, s: &Server, now: f64) -> f64 {
        s.entry.weight * s.health * self.ramp(s, now)
    }
}
