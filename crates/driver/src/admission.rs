//! Who is asked before the module is told of a request, and what they are told of it afterwards.

use shorewharf_decisions::interface::{Event, Outcome, Request, Settings};

use shorewharf_settings::operator::Operator;
use shorewharf_units::Micros;

/// What becomes of a client that asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// Let it on.
    Admit,
    /// It is refused at once; the module never hears of it.
    Reject {
        /// When to come back, from now; 0 where it is not told.
        after: Micros,
        /// The reason, to be counted.
        why: &'static str,
    },
}

/// What became of a request that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmittedOutcome {
    /// Its connection stands.
    Established,
    /// Its connection, which stood, has ended so.
    ConnectionEnded(Outcome),
    /// The module refused it, or failed it, before it stood.
    Rejected,
    /// Its client went away before it stood, or wants nothing more.
    ClientLeft,
}

/// Decisions that come before the module's: tenants' shares, an outage's end. Each sees every event, may turn clients
/// away, and may have standing connections of a tenant moved.
///
/// All are asked in order, until one turns the client away. Only a client that nobody turned away is taken, so that
/// nobody counts one that another has refused. A request that was taken may come up once, and has exactly one of the
/// other fates after that.
pub trait Admission {
    /// A client asks. Nothing may be counted yet of one that is let on.
    fn check(&mut self, now: Micros, request: &Request) -> AdmissionDecision;
    /// The client that was asked about last goes on to the module.
    fn on_admitted(&mut self, _now: Micros, _request: &Request) {}
    /// A connection from before the start stands.
    fn on_restored(&mut self, _now: Micros, _request: &Request) {}
    /// What became of a request that was taken or carried.
    fn on_outcome(&mut self, _now: Micros, _request: &Request, _fate: AdmittedOutcome) {}
    /// Anything that happens, before the module hears of it.
    fn on_event(&mut self, _now: Micros, _event: &Event) {}
    /// Which tenants' standing connections are to be moved now, and how many.
    fn due_migrations(&mut self, _now: Micros, _moves: &mut Vec<(usize, u32)>) {}
    /// So many of those moves had no connection to go by.
    fn on_migration_unavailable(&mut self, _tenant: usize, _count: u32) {}
    /// When [`Admission::due`] is to be called again, if at all.
    fn next_deadline(&self) -> Option<Micros> {
        None
    }
    /// Other settings are in force.
    fn update_settings(&mut self, _now: Micros, _set: &Settings, _operator: &Operator) {}
}
