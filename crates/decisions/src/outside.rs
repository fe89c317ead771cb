//! What others who decide beside the module may tell it, and what they share with it: whether repeats are worth their
//! cost, who was asked to move and where to, and the order of servers that all instances draw alike.

use crate::interface::{Request, RequestId, ServerId};
use crate::state::{Balancer, Reservation, Server, hash, unit};

/// A server's place for a group, the same at every instance: weighted rendezvous hashing, lowest first.
pub fn rank(group: u64, server: ServerId, weight: f64) -> f64 {
    -unit(hash(group, server.0)).ln() / weight
}

/// A lot in (0, 1) that all instances draw alike for something and a server's process.
pub fn lot(of: u64, server: ServerId, born: f64) -> f64 {
    unit(hash(hash(of, server.0), born.to_bits()))
}

impl Balancer {
    /// Whether a request may have another attempt after one that failed; until told otherwise it may.
    pub fn allow_repeats(&mut self, yes: bool) {
        self.repeats = yes;
    }

    /// What is known of a standing connection that is not about to move: what it asked for, and its load where that was told.
    pub fn standing(&self, id: RequestId) -> Option<(Request, Option<f64>)> {
        let client = self.clients.get(&id).filter(|c| c.on.is_some() && !c.answered)?;
        Some((client.request, client.told.then_some(client.load)))
    }

    /// Servers that get nothing new now: frozen, locked or spent.
    pub fn avoided(&self, now: f64) -> Vec<ServerId> {
        let avoided = |s: &&Server| !self.in_service(s, now) || now < s.slow_until;
        self.servers.values().filter(avoided).map(|s| s.entry.server).collect()
    }

    /// A standing client has been asked to move by someone else. Its server keeps no place for it; `to` does, until
    /// `until`, so that it is sent there when it comes again, if that server takes clients then.
    pub fn sent_away(&mut self, id: RequestId, to: Option<ServerId>, until: f64) {
        let Some(c) = self.clients.get_mut(&id).filter(|c| c.on.is_some()) else { return };
        c.answered = true;
        let (key, load) = (c.request.key, c.load);
        let Some(server) = to.filter(|_| key != 0) else { return };
        self.drop_reservation(key);
        self.reserved.insert(key, Reservation { server, load, until });
        self.unuse(server, -load);
    }
}
