//! What an instance keeps of one tenant.

use crate::Why;
use crate::stats::TenantStats;
use crate::terms::Limits;
use crate::waits::{Room, Waits};
use shorewharf_units::Micros;

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

    pub fn add(&mut self, now: Micros, span: f64, by: f64) {
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
    pub held: u32,
    /// Those that have been asked to move and are still here.
    pub moving: u32,
    /// Those that are being set up, by flow.
    pending: [u32; 2],
    ends: Melting,
    returns: Melting,
    pub waits: Waits,
    /// Requests admitted, those of them on loan, and connections that were up.
    pub admitted: u64,
    pub on_loan: u64,
    pub set_up: u64,
    /// What is counted of those who are not served. Apart, so that who is served touches two lines of the cache.
    pub counts: Box<TenantStats>,
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
            admitted: 0,
            on_loan: 0,
            set_up: 0,
            counts: Box::default(),
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
        f64::from(self.pending[flow as usize])
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

    /// When there is room for a client, once so many connections have ended, at the pace of late.
    pub fn room(&self, now: Micros, connections: f64) -> Room {
        let each = (ENDS_FOR / self.ends.now(now, ENDS_FOR).max(1e-6)).min(1e12);
        Room { first: connections * each, each }
    }

    pub fn turned_away(&mut self, why: Why) {
        let at = Why::ALL.iter().position(|w| *w == why);
        if let Some(count) = at.and_then(|i| self.counts.turned_away.get_mut(i)) {
            *count += 1;
        }
    }
}
