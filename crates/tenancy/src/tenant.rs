//! What an instance keeps of one tenant.

use crate::stats::TenantStats;
use crate::terms::Limits;
use crate::waits::Waits;
use crate::{Micros, Why};

/// Connections that ended lately entitle so many clients to return; melts by e in so long.
const RETURNS_FOR: f64 = 6e6;
/// How fast connections end is remembered for about so long.
const ENDS_FOR: f64 = 8e6;

/// Which of the two flows a request belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Flow {
    /// A new connection.
    SetUp,
    /// One in place of a connection that ended lately.
    Return,
}

/// A tenant's standing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum State {
    /// As usual.
    Lives,
    /// Its share was lowered below what stood: nothing is lent to it until it is under.
    Lowered,
    /// It was removed.
    Removed,
}

/// A number that melts away with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Melting {
    number: f64,
    at: Micros,
}

impl Melting {
    pub fn now(&self, now: Micros, span: f64) -> f64 {
        self.number * (-(now.saturating_sub(self.at) as f64) / span).exp()
    }

    fn add(&mut self, now: Micros, span: f64, by: f64) {
        self.number = (self.now(now, span) + by).max(0.0);
        self.at = self.at.max(now);
    }
}

/// One tenant.
#[derive(Clone, Debug)]
pub(crate) struct Tenant {
    /// None where it is not limited.
    pub limits: Option<Limits>,
    pub state: State,
    /// Connections that stand or are being set up.
    pub held: u64,
    /// Those that have been asked to move and are still here.
    pub moving: u64,
    /// Those that are being set up, by flow.
    pending: [u64; 2],
    ends: Melting,
    returns: Melting,
    pub waits: Waits,
    pub counts: TenantStats,
}

impl Tenant {
    pub fn new(limits: Option<Limits>) -> Tenant {
        Tenant {
            limits,
            state: State::Lives,
            held: 0,
            moving: 0,
            pending: [0; 2],
            ends: Melting::default(),
            returns: Melting::default(),
            waits: Waits::default(),
            counts: TenantStats::default(),
        }
    }

    /// A connection that stood has ended.
    pub fn ended(&mut self, now: Micros) {
        self.ends.add(now, ENDS_FOR, 1.0);
        self.returns.add(now, RETURNS_FOR, 1.0);
        self.moving = self.moving.saturating_sub(1).min(self.held);
    }

    /// Whether a connection ended lately that a client may come back for.
    pub fn may_return(&self, now: Micros) -> bool {
        self.returns.now(now, RETURNS_FOR) >= 0.5
    }

    /// Clients of this flow that are being set up.
    pub fn pending(&self, flow: Flow) -> f64 {
        self.pending[flow as usize] as f64
    }

    /// A client of this flow is being set up.
    pub fn begins(&mut self, now: Micros, flow: Flow) {
        self.pending[flow as usize] += 1;
        if flow == Flow::Return {
            self.returns.add(now, RETURNS_FOR, -1.0);
        }
    }

    /// One that was being set up is so no more; of which flow is not told, so it is one of the larger, which is right
    /// on the whole.
    pub fn begun(&mut self) -> Option<Flow> {
        let flow = if self.pending[Flow::Return as usize] > self.pending[Flow::SetUp as usize] {
            Flow::Return
        } else {
            Flow::SetUp
        };
        let pending = &mut self.pending[flow as usize];
        *pending = pending.checked_sub(1)?;
        Some(flow)
    }

    /// A client that came back was not served: it may come back again.
    pub fn not_returned(&mut self, now: Micros) {
        self.returns.add(now, RETURNS_FOR, 1.0);
    }

    /// How long it takes until so many connections have ended, at the pace of late.
    pub fn until_ended(&self, now: Micros, connections: f64) -> Micros {
        let per_us = self.ends.now(now, ENDS_FOR) / ENDS_FOR;
        (connections / per_us.max(1e-12)).min(1e12) as Micros
    }

    pub fn turned_away(&mut self, why: Why) {
        let at = Why::ALL.iter().position(|w| *w == why);
        if let Some(count) = at.and_then(|i| self.counts.turned_away.get_mut(i)) {
            *count += 1;
        }
    }
}
