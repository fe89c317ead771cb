//! The interface of admission checks, which decide on a request before the balancer does and are then told
//! how the requests that they admitted turn out.

use shorewharf_decisions::interface::{Event, Outcome, Request, Settings};
use shorewharf_settings::operator::OperatorSettings;
use shorewharf_units::Micros;

/// The decision of an admission check on a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// The check lets the request pass. It goes to the next check, or after the last one to the balancer.
    Admit,
    /// The request is rejected at once, and the balancer does not see it.
    Reject {
        /// Time that the client should wait before it retries; 0 for no advice.
        retry_after: Micros,
        /// Name of the reason, under which the rejection is counted and logged.
        reason: &'static str,
    },
}

/// What happened to an admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdmittedOutcome {
    /// The request's connection is established.
    Established,
    /// The request's established connection has ended with this outcome.
    ConnectionEnded(Outcome),
    /// The balancer rejected or failed the request before its connection was established.
    Rejected,
    /// The request ended before its connection was established, and needs no answer: in most cases its client
    /// has left.
    ClientLeft,
}

/// A number of a tenant's established connections that are to be migrated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TenantMigrations {
    /// The tenant's index.
    pub tenant: usize,
    /// Number of connections to migrate.
    pub count: u32,
}

/// A check on requests ahead of the balancer, such as a tenant's quota. It sees every event, may reject
/// requests, and may have established connections of a tenant migrated.
///
/// The checks are asked in a fixed order until one rejects the request. A request is admitted once all checks
/// have let it pass. No check counts it before that, as another may still reject it. For an admitted request,
/// [`AdmittedOutcome::Established`] is reported at most once, and then exactly one of the other outcomes.
pub trait Admission {
    /// Decides on a request. A request that passes must not be counted yet: see [`Admission::on_admitted`].
    fn check(&mut self, now: Micros, request: &Request) -> AdmissionDecision;
    /// Called when all checks have let the request pass that was checked last.
    fn on_admitted(&mut self, _now: Micros, _request: &Request) {}
    /// Called for each connection that was established before this instance started.
    fn on_restored(&mut self, _now: Micros, _request: &Request) {}
    /// Called with each outcome of an admitted or restored request.
    fn on_outcome(&mut self, _now: Micros, _request: &Request, _outcome: AdmittedOutcome) {}
    /// Called with every event before the balancer handles it.
    fn on_event(&mut self, _now: Micros, _event: &Event) {}
    /// Appends the migrations that are due at `now`.
    fn due_migrations(&mut self, _now: Micros, _due: &mut Vec<TenantMigrations>) {}
    /// Called when the tenant had too few connections for the migrations that were due: `count` were not
    /// made.
    fn on_migration_unavailable(&mut self, _tenant: usize, _count: u32) {}
    /// The time at which [`Admission::due_migrations`] has to be called again, if it has to.
    fn next_deadline(&self) -> Option<Micros> {
        None
    }
    /// Applies new settings.
    fn update_settings(&mut self, _now: Micros, _settings: &Settings, _operator: &OperatorSettings) {}
}
