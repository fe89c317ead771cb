//! The budgets of the whole fleet as an admission check: requests are checked against the allocations that
//! this balancer has of those budgets.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shorewharf_budgets::Allocations;
use shorewharf_decisions::interface::{Request, Settings};
use shorewharf_settings::operator::OperatorSettings;
use shorewharf_units::{MICROS_PER_SECOND, Micros, micros_from_seconds};

use crate::admission::{Admission, AdmissionDecision, AdmittedOutcome, TenantMigrations};

/// Time that migrated connections have to end before more connections of the same tenant are migrated, in
/// microseconds.
const MIGRATION_TIMEOUT: Micros = 1_000_000;
/// Shortest time between two checks for connections that exceed an allocation, in microseconds.
const MIGRATION_CHECK_INTERVAL: Micros = MIGRATION_TIMEOUT / 2;
/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly from 0 to 1,
/// whatever their number.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Rejection reason if a tenant's budget of connections is exhausted.
const CONNECTIONS_EXHAUSTED: &str = "fleet-connections";
/// Rejection reason if the budget of set-ups is exhausted.
const SETUPS_EXHAUSTED: &str = "fleet-set-ups";

/// Checks requests against this balancer's allocations. Another thread updates the allocations. The lock on
/// them is held only for a few instructions at a time.
#[derive(Clone, Debug)]
pub struct Budgets {
    allocations: Arc<Mutex<Allocations>>,
    /// Index of the budget of set-ups a second, if there is one.
    setup_budget: Option<usize>,
    /// Index of each tenant's connection budget, if it has one. Indexed by tenant.
    tenant_budgets: Vec<Option<usize>>,
    /// Longest retry-after that clients are given; 0 if they are given none.
    max_retry_after: Micros,
    /// Time at which the client that was rejected last for a lack of set-ups has been told to retry.
    last_setup_retry_at: Micros,
    /// Position in its range, from 0 to 1, of the last retry-after that was given for a lack of connections.
    retry_after_position: f64,
    /// Time until which a tenant's migrated connections may take to end. Indexed by tenant.
    migrating_until: Vec<Micros>,
    migrations_checked_at: Micros,
}

/// A budget that has nothing left for a request.
enum ExhaustedBudget {
    /// The tenant's budget of connections.
    Connections,
    /// The budget of set-ups, with this balancer's allocation in set-ups a second.
    Setups { per_second: f64 },
}

impl Budgets {
    /// Creates the check. `setup_budget` is the index of the budget of set-ups, and `tenant_budgets` has the
    /// index of each tenant's connection budget; `None` where there is no such budget.
    pub fn new(
        allocations: Arc<Mutex<Allocations>>,
        setup_budget: Option<usize>,
        tenant_budgets: Vec<Option<usize>>,
        settings: &Settings,
    ) -> Budgets {
        let migrating_until = vec![0; tenant_budgets.len()];
        Budgets {
            allocations,
            setup_budget,
            tenant_budgets,
            max_retry_after: max_retry_after(settings),
            last_setup_retry_at: 0,
            retry_after_position: 0.0,
            migrating_until,
            migrations_checked_at: 0,
        }
    }

    fn allocations(&self) -> MutexGuard<'_, Allocations> {
        self.allocations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connection_budget(&self, request: &Request) -> Option<usize> {
        self.tenant_budgets.get(request.tenant).copied().flatten()
    }

    /// Returns the first budget that has nothing left for the request, if any.
    fn exhausted_budget(&self, now: Micros, request: &Request) -> Option<ExhaustedBudget> {
        let mut allocations = self.allocations();
        if let Some(budget) = self.connection_budget(request)
            && allocations.check(now, budget).is_err()
        {
            return Some(ExhaustedBudget::Connections);
        }
        let exhausted = allocations.check(now, self.setup_budget?).err()?;
        Some(ExhaustedBudget::Setups { per_second: exhausted.in_force })
    }

    /// Returns the retry-after for a lack of set-ups: the rejected clients come back one after the other, at
    /// the rate of the allocation.
    fn retry_after_for_setups(&mut self, now: Micros, setups_per_second: f64) -> Micros {
        let interval = if setups_per_second > 0.0 {
            (MICROS_PER_SECOND as f64 / setups_per_second) as Micros
        } else {
            self.max_retry_after
        };
        let latest = now + self.max_retry_after;
        self.last_setup_retry_at = self.last_setup_retry_at.max(now).saturating_add(interval).min(latest);
        self.last_setup_retry_at - now
    }

    /// Returns the retry-after for a lack of connections. When connections end is unknown, so the values are
    /// spread over the upper half of the allowed range.
    fn retry_after_for_connections(&mut self) -> Micros {
        self.retry_after_position = (self.retry_after_position + GOLDEN_RATIO_FRACTION).fract();
        (self.max_retry_after as f64 * 0.5 * (1.0 + self.retry_after_position)) as Micros
    }
}

fn max_retry_after(settings: &Settings) -> Micros {
    if settings.sends_retry_after { micros_from_seconds(settings.max_retry_after) } else { 0 }
}

impl Admission for Budgets {
    fn check(&mut self, now: Micros, request: &Request) -> AdmissionDecision {
        match self.exhausted_budget(now, request) {
            None => AdmissionDecision::Admit,
            Some(ExhaustedBudget::Connections) => AdmissionDecision::Reject {
                retry_after: self.retry_after_for_connections(),
                reason: CONNECTIONS_EXHAUSTED,
            },
            Some(ExhaustedBudget::Setups { per_second }) => AdmissionDecision::Reject {
                retry_after: self.retry_after_for_setups(now, per_second),
                reason: SETUPS_EXHAUSTED,
            },
        }
    }

    fn on_admitted(&mut self, now: Micros, request: &Request) {
        let budgets = [self.connection_budget(request), self.setup_budget];
        let mut allocations = self.allocations();
        for budget in budgets.into_iter().flatten() {
            allocations.acquire(now, budget);
        }
    }

    fn on_restored(&mut self, now: Micros, request: &Request) {
        if let Some(budget) = self.connection_budget(request) {
            self.allocations().acquire(now, budget);
        }
    }

    fn on_outcome(&mut self, _now: Micros, request: &Request, outcome: AdmittedOutcome) {
        if outcome == AdmittedOutcome::Established {
            return;
        }
        if let Some(budget) = self.connection_budget(request) {
            self.allocations().release(budget);
        }
    }

    fn due_migrations(&mut self, now: Micros, due: &mut Vec<TenantMigrations>) {
        self.migrations_checked_at = now;
        for tenant in 0..self.tenant_budgets.len() {
            let Some(budget) = self.tenant_budgets[tenant] else { continue };
            if now < self.migrating_until[tenant] {
                continue;
            }
            let count = self.allocations().excess(now, budget);
            if count > 0 {
                self.migrating_until[tenant] = now + MIGRATION_TIMEOUT;
                due.push(TenantMigrations { tenant, count });
            }
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        let next_check = self.migrations_checked_at + MIGRATION_CHECK_INTERVAL;
        Some(self.allocations().next_excess_at().max(next_check))
    }

    fn update_settings(&mut self, _now: Micros, settings: &Settings, _operator: &OperatorSettings) {
        self.max_retry_after = max_retry_after(settings);
    }
}
