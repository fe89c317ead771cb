//! Admission checks: decisions on a request that come before the balancer's, and what they are told of it
//! afterwards.

use shorewharf_decisions::interface::{Event, Outcome, Request, Settings};
use shorewharf_settings::operator::Operator;
use shorewharf_units::Micros;

/// What an admission check decides on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The request goes on.
    Admit,
    /// The request is rejected at once; the balancer never hears of it.
    Reject {
        /// How long the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
        /// The reason's name, by which rejections are counted.
        reason: &'static str,
    },
}

/// What became of an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmittedOutcome {
    /// Its connection is established.
    Established,
    /// Its established connection has ended.
    ConnectionEnded(Outcome),
    /// The balancer rejected or failed it before it was established.
    Rejected,
    /// Its client left before it was established, or wants nothing more.
    ClientLeft,
}

/// Established connections of a tenant that are to be migrated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantMigrations {
    /// Index of the tenant.
    pub tenant: usize,
    /// How many connections.
    pub count: u32,
}

/// A decision that comes before the balancer's, such as a tenant's quota. It sees every event, may reject
/// requests, and may have established connections of a tenant migrated.
///
/// All checks are asked in order until one rejects the request. Only a request that none rejects is admitted,
/// so that no check counts one that another has rejected. An admitted request may be established once, and
/// has exactly one of the other outcomes after that.
pub trait Admission {
    /// Decides on a request. Nothing may be counted yet of one that is let on.
    fn check(&mut self, now: Micros, request: &Request) -> AdmissionDecision;
    /// The request that was checked last is admitted.
    fn on_admitted(&mut self, _now: Micros, _request: &Request) {}
    /// A connection was established before the start.
    fn on_restored(&mut self, _now: Micros, _request: &Request) {}
    /// An admitted or restored request has an outcome.
    fn on_outcome(&mut self, _now: Micros, _request: &Request, _outcome: AdmittedOutcome) {}
    /// Any event, before the balancer sees it.
    fn on_event(&mut self, _now: Micros, _event: &Event) {}
    /// Appends the migrations that are due now.
    fn due_migrations(&mut self, _now: Micros, _due: &mut Vec<TenantMigrations>) {}
    /// Fewer connections than asked for could be migrated: `count` are missing.
    fn on_migration_unavailable(&mut self, _tenant: usize, _count: u32) {}
    /// When [`Admission::due_migrations`] is to be called again, if at all.
    fn next_deadline(&self) -> Option<Micros> {
        None
    }
    /// New settings are in force.
    fn update_settings(&mut self, _now: Micros, _settings: &Settings, _operator: &Operator) {}
}
