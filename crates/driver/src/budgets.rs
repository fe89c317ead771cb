//! Budgets of the whole fleet as an admission check: each request is checked against this balancer's
//! allocations of them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shorewharf_budgets::Allocations;
use shorewharf_decisions::interface::{Request, Settings};
use shorewharf_settings::operator::Operator;
use shorewharf_units::{MICROS_PER_SECOND, Micros, micros_from_seconds};

use crate::admission::{Admission, AdmissionDecision, AdmittedOutcome, TenantMigrations};

/// Connections that were migrated have this long to end before more of their tenant are.
const MIGRATION_TIMEOUT: Micros = 1_000_000;
/// Excess connections are looked for at most this often.
const MIGRATION_CHECK_INTERVAL: Micros = MIGRATION_TIMEOUT / 2;
/// The fractional parts of its multiples are spread evenly, however many there are.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
const CONNECTIONS_EXHAUSTED: &str = "fleet's budget of its connections";
const SETUPS_EXHAUSTED: &str = "fleet's budget of set-ups";

/// The check of requests against this balancer's allocations. They change on another thread, and are locked
/// for a few instructions at a time.
#[derive(Clone, Debug)]
pub struct Budgets {
    allocations: Arc<Mutex<Allocations>>,
    /// Index of the budget of set-ups a second.
    setup_budget: Option<usize>,
    /// By tenant, index of the budget of its connections.
    tenant_budgets: Vec<Option<usize>>,
    /// The longest wait that clients are advised; 0 for no advice.
    max_retry_after: Micros,
    /// When the wait ends that was advised last for a lack of set-ups.
    queue_end: Micros,
    /// Where in their range the last wait was that was advised for a lack of connections, from 0 to 1.
    wait_position: f64,
    /// By tenant, until when its migrated connections are waited for.
    migrating_until: Vec<Micros>,
    migrations_checked_at: Micros,
}

/// A budget that has nothing left.
enum ExhaustedBudget {
    /// The tenant's connections.
    Connections,
    /// Set-ups, of which so many a second are allowed.
    Setups { per_second: f64 },
}

impl Budgets {
    /// Creates the check from the indices of the budgets of set-ups and of each tenant's connections, where
    /// there are any.
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
            queue_end: 0,
            wait_position: 0.0,
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

    /// The first budget that has nothing left for a request.
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

    /// A wait until set-ups are free again: clients come back one after the other at the rate of the budget.
    fn wait_for_setups(&mut self, now: Micros, setups_per_second: f64) -> Micros {
        let interval = if setups_per_second > 0.0 {
            (MICROS_PER_SECOND as f64 / setups_per_second) as Micros
        } else {
            self.max_retry_after
        };
        let latest = now + self.max_retry_after;
        self.queue_end = self.queue_end.max(now).saturating_add(interval).min(latest);
        self.queue_end - now
    }

    /// A wait for connections, whose ends nobody knows: spread over the upper half of what may be advised.
    fn wait_for_connections(&mut self) -> Micros {
        self.wait_position = (self.wait_position + GOLDEN_RATIO_FRACTION).fract();
        (self.max_retry_after as f64 * 0.5 * (1.0 + self.wait_position)) as Micros
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
                retry_after: self.wait_for_connections(),
                reason: CONNECTIONS_EXHAUSTED,
            },
            Some(ExhaustedBudget::Setups { per_second }) => AdmissionDecision::Reject {
                retry_after: self.wait_for_setups(now, per_second),
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

    fn update_settings(&mut self, _now: Micros, settings: &Settings, _operator: &Operator) {
        self.max_retry_after = max_retry_after(settings);
    }
}
