//! Budgets of the whole fleet as an admission: this balancer's parts are held against each request, at the moment it asks.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use shorewharf_budgets::Allocations;
use shorewharf_decisions::interface::{Request, Settings};
use shorewharf_settings::operator::Operator;
use shorewharf_units::{Micros, micros_from_seconds};

use crate::admission::{Admission, AdmissionDecision, AdmittedOutcome};

/// Standing connections that were asked to move have so long to do so before they are asked for again.
const MOVES: Micros = 1_000_000;
/// Multiples of it, without their whole parts, spread evenly however many there are.
const GOLDEN: f64 = 0.618_033_988_749_895;

/// Which budgets requests are held against. The parts change from another thread; they are locked for a few instructions.
#[derive(Clone, Debug)]
pub struct Budgets {
    parts: Arc<Mutex<Allocations>>,
    /// The budget of set-ups a second.
    set_ups: Option<usize>,
    /// By tenant, the budget of its standing connections.
    tenants: Vec<Option<usize>>,
    /// The longest time to come back that may be told; 0 for none.
    longest: Micros,
    /// The place in the queue that was told last ends then.
    queue: Micros,
    /// Where in their range the last time was that told of no room.
    spread: f64,
    /// By tenant, until when those that were asked to move are waited for.
    moves: Vec<Micros>,
    /// When it was looked at last whether some have to move.
    looked: Micros,
}

impl Budgets {
    /// The set-ups of all, and each tenant's connections, where there is a budget of them.
    pub fn new(
        parts: Arc<Mutex<Allocations>>,
        set_ups: Option<usize>,
        tenants: Vec<Option<usize>>,
        set: &Settings,
    ) -> Budgets {
        let moves = vec![0; tenants.len()];
        Budgets { parts, set_ups, tenants, longest: longest(set), queue: 0, spread: 0.0, moves, looked: 0 }
    }

    fn parts(&self) -> MutexGuard<'_, Allocations> {
        self.parts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn of(&self, request: &Request) -> Option<usize> {
        self.tenants.get(request.tenant).copied().flatten()
    }

    /// When to come back: one after the other, as a rate of so many a second makes room.
    fn turn(&mut self, now: Micros, rate: f64) -> Micros {
        let every = if rate > 0.0 { (1e6 / rate) as Micros } else { self.longest };
        self.queue = self.queue.max(now).saturating_add(every).min(now + self.longest);
        self.queue - now
    }

    /// When to come back where nothing tells when there will be room: spread, so that not all come at once.
    fn some_time(&mut self) -> Micros {
        self.spread = (self.spread + GOLDEN).fract();
        (self.longest as f64 * 0.5 * (1.0 + self.spread)) as Micros
    }
}

fn longest(set: &Settings) -> Micros {
    if set.sends_retry_after { micros_from_seconds(set.max_retry_after) } else { 0 }
}

impl Admission for Budgets {
    fn check(&mut self, now: Micros, request: &Request) -> AdmissionDecision {
        let tenant = self.of(request);
        let refused = {
            let mut parts = self.parts();
            let connections = tenant.map_or(Ok(()), |place| parts.check(now, place));
            let connections = connections.map_err(|_| (None, "fleet's budget of its connections"));
            connections.and_then(|()| {
                let set_ups = self.set_ups.map_or(Ok(()), |place| parts.check(now, place));
                set_ups.map_err(|exhausted| (Some(exhausted.in_force), "fleet's budget of set-ups"))
            })
        };
        match refused {
            Ok(()) => AdmissionDecision::Admit,
            Err((Some(rate), why)) => AdmissionDecision::Reject { after: self.turn(now, rate), why },
            // Nothing tells when a connection ends.
            Err((None, why)) => AdmissionDecision::Reject { after: self.some_time(), why },
        }
    }

    fn on_admitted(&mut self, now: Micros, request: &Request) {
        let (tenant, set_ups) = (self.of(request), self.set_ups);
        let mut parts = self.parts();
        tenant.into_iter().chain(set_ups).for_each(|place| parts.acquire(now, place));
    }

    fn on_restored(&mut self, now: Micros, request: &Request) {
        if let Some(place) = self.of(request) {
            self.parts().acquire(now, place);
        }
    }

    fn on_outcome(&mut self, _now: Micros, request: &Request, fate: AdmittedOutcome) {
        if let (
            AdmittedOutcome::ConnectionEnded(_) | AdmittedOutcome::Rejected | AdmittedOutcome::ClientLeft,
            Some(place),
        ) = (fate, self.of(request))
        {
            self.parts().release(place);
        }
    }

    fn due_migrations(&mut self, now: Micros, moves: &mut Vec<(usize, u32)>) {
        self.looked = now;
        for tenant in 0..self.tenants.len() {
            let Some(place) = self.tenants[tenant].filter(|_| now >= self.moves[tenant]) else { continue };
            let count = self.parts().excess(now, place);
            if count > 0 {
                self.moves[tenant] = now + MOVES;
                moves.push((tenant, count));
            }
        }
    }

    fn next_deadline(&self) -> Option<Micros> {
        Some(self.parts().next_excess_at().max(self.looked + MOVES / 2))
    }

    fn update_settings(&mut self, _now: Micros, set: &Settings, _operator: &Operator) {
        self.longest = longest(set);
    }
}
