//! The decision module with overload protection: takes events and returns actions like [`Balancer`].
//!
//! It owns the decision module, the overload controller, the capacity estimates and the queue of rejected clients, and
//! passes events through them in a fixed order.

use shorewharf_decisions::interface::{Action, Event, Request};
use shorewharf_decisions::persistence::RestoreCounts;
use shorewharf_decisions::{Balancer, Holding, RequestId, ServerId, Settings};

use crate::capacity_estimate::{CapacityEstimator, FleetEstimate, RestoreOutcome};
use crate::capacity_shortage::CapacityShortage;
use crate::controller::{ControllerOptions, HandledEvent, OverloadController};
use crate::retry_after::RetryAfterQueue;
use crate::snapshot_state::{ExportCursor, LoadModel, ServerCapacity, SnapshotEntry};

/// Minimum time between two checks for a shortage of capacity, in seconds.
const SHORTAGE_CHECK_PERIOD: f64 = 1.0;

/// The decision module with the overload controller around it.
#[derive(Debug)]
pub struct ProtectedBalancer {
    balancer: Balancer,
    controller: OverloadController,
    estimator: CapacityEstimator,
    retry_after: RetryAfterQueue,
    shortage: CapacityShortage,
    shortage_checked_at: f64,
    /// Buffer for the events that the estimator announces; empty between calls.
    announced: Vec<Event>,
}

/// Numbers of clients that wait for capacity at this instance.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingClients {
    /// Number of deferred requests, which wait until a server has capacity.
    pub held: usize,
    /// Estimated number of rejected clients that wait for the time of their Retry-After.
    pub in_backoff: f64,
}

impl ProtectedBalancer {
    /// Creates a decision module with overload protection; `seed` determines all random values.
    pub fn new(settings: Settings, seed: u64, options: ControllerOptions) -> Self {
        ProtectedBalancer {
            controller: OverloadController::new(&settings, seed, options),
            estimator: CapacityEstimator::new(&settings),
            retry_after: RetryAfterQueue::new(&settings),
            shortage: CapacityShortage::default(),
            shortage_checked_at: f64::NEG_INFINITY,
            balancer: Balancer::new(settings, seed),
            announced: Vec::new(),
        }
    }

    /// Handles one event and appends the resulting actions.
    pub fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        let first = actions.len();
        self.estimator.observe_event(now, &event, &self.balancer);
        self.estimator.announce(now, &mut self.announced);
        for announced in self.announced.drain(..) {
            self.balancer.handle(now, announced, actions);
        }
        if self.controller.observe_event(now, &event, &mut self.balancer) {
            self.balancer.handle(now, event.clone(), actions);
        }
        self.estimator.observe_actions(now, &actions[first..]);
        self.set_retry_after(now, &mut actions[first..]);
        if now >= self.shortage_checked_at + SHORTAGE_CHECK_PERIOD {
            self.shortage_checked_at = now;
            let fleet = self.estimator.fleet(now, &self.balancer);
            actions.extend(self.shortage.check(self.balancer.waiting_requests(), &fleet).map(Action::Log));
        }
        let handled = HandledEvent { event: &event, first_action: first, actions };
        self.controller.observe_actions(now, handled, &mut self.balancer);
    }

    /// Sets the Retry-After of rejections, and records admissions, which determine it.
    fn set_retry_after(&mut self, now: f64, actions: &mut [Action]) {
        for action in actions {
            match action {
                Action::BeginAttempt { .. } => self.retry_after.on_admitted(now),
                Action::Reject { retry_after, .. } => {
                    *retry_after = self.retry_after.next_wait(now);
                    self.shortage.on_rejected();
                }
                _ => {}
            }
        }
    }

    /// Applies new settings and options and keeps the learned state.
    pub fn update_settings(&mut self, now: f64, settings: Settings, options: ControllerOptions) {
        self.controller.set_options(options);
        self.controller.update_settings(&settings);
        self.estimator.update_settings(&settings);
        self.retry_after.update_settings(&settings);
        self.balancer.update_settings(now, settings);
    }

    /// Records that a connection was asked to migrate by other code than the overload controller.
    pub fn on_external_migration(&mut self, id: RequestId) {
        self.controller.on_external_migration(id);
    }

    /// Returns the current capacity estimates of the fleet.
    pub fn fleet(&self, now: f64) -> FleetEstimate {
        self.estimator.fleet(now, &self.balancer)
    }

    /// Returns an established connection's request, and its load if it has reported one.
    pub fn established(&self, id: RequestId) -> Option<(Request, Option<f64>)> {
        self.balancer.established(id)
    }

    /// Returns the connections of this instance, for gossip with other balancers.
    pub fn holdings(&self) -> Vec<Holding> {
        self.balancer.holdings()
    }

    /// Returns the servers that get no new connections now.
    pub fn unavailable_servers(&self, now: f64) -> Vec<ServerId> {
        self.balancer.unavailable_servers(now)
    }

    /// Returns the numbers of clients that wait for capacity at this instance.
    pub fn waiting(&self, now: f64) -> WaitingClients {
        WaitingClients {
            held: self.balancer.waiting_requests(),
            in_backoff: self.retry_after.estimated_clients(now),
        }
    }

    /// Returns the overload controller.
    pub fn controller(&self) -> &OverloadController {
        &self.controller
    }

    /// Returns the overload controller, to supply the values that it can't observe itself.
    pub fn controller_mut(&mut self) -> &mut OverloadController {
        &mut self.controller
    }

    /// Appends learned state from a cursor on and returns the cursor for the next call. One call exports at most
    /// `max_entries` records of the decision module or of servers.
    pub fn export_state(
        &self,
        from: ExportCursor,
        max_entries: usize,
        entries: &mut Vec<SnapshotEntry>,
    ) -> ExportCursor {
        match from {
            ExportCursor::Balancer(cursor) => self.export_balancer(cursor, max_entries, entries),
            ExportCursor::Servers(after) => self.export_servers(after, max_entries, entries),
            ExportCursor::End => ExportCursor::End,
        }
    }

    fn export_balancer(
        &self,
        from: shorewharf_decisions::persistence::ExportCursor,
        max_entries: usize,
        entries: &mut Vec<SnapshotEntry>,
    ) -> ExportCursor {
        let mut balancer_records = Vec::new();
        let next = self.balancer.export_state(from, max_entries, &mut balancer_records);
        entries.extend(balancer_records.into_iter().map(SnapshotEntry::Balancer));
        match next {
            shorewharf_decisions::persistence::ExportCursor::End => ExportCursor::Servers(None),
            next => ExportCursor::Balancer(next),
        }
    }

    fn export_servers(
        &self,
        after: Option<ServerId>,
        max_entries: usize,
        entries: &mut Vec<SnapshotEntry>,
    ) -> ExportCursor {
        if after.is_none() {
            entries.push(SnapshotEntry::LoadModel(self.estimator.load_model()));
        }
        let capacities = self.estimator.server_capacities(after, max_entries);
        let exported = capacities.len();
        let last = capacities.last().map(|capacity| ServerId(capacity.server));
        entries.extend(capacities.into_iter().map(|capacity| {
            let excluded_until = self.controller.excluded_until(ServerId(capacity.server));
            SnapshotEntry::ServerCapacity(ServerCapacity { excluded_until, ..capacity })
        }));
        if exported < max_entries { ExportCursor::End } else { ExportCursor::Servers(last) }
    }

    /// Restores state that an earlier instance exported `age` seconds ago. An endpoint list must have been handled
    /// before. If `connections_are_lost`, the clients that were connected are expected to reconnect.
    pub fn restore_state(
        &mut self,
        now: f64,
        age: f64,
        connections_are_lost: bool,
        entries: Vec<SnapshotEntry>,
    ) -> RestoreCounts {
        let mut balancer_records = Vec::new();
        let mut counts = RestoreCounts::default();
        for entry in entries {
            let restored = match entry {
                SnapshotEntry::Balancer(record) => {
                    balancer_records.push(record);
                    continue;
                }
                SnapshotEntry::LoadModel(model) => self.restore_load_model(&model),
                SnapshotEntry::ServerCapacity(capacity) => self.restore_server(now, age, &capacity),
            };
            match restored {
                RestoreOutcome::Accepted => counts.restored += 1,
                RestoreOutcome::Outdated => counts.outdated += 1,
                RestoreOutcome::Invalid => counts.invalid += 1,
            }
        }
        self.balancer.restore(now, age, connections_are_lost, &balancer_records).plus(counts)
    }

    fn restore_load_model(&mut self, model: &LoadModel) -> RestoreOutcome {
        let restored = self.estimator.restore_load_model(model);
        if restored == RestoreOutcome::Accepted {
            self.controller.restore_mean_load(model.mean_load);
        }
        restored
    }

    fn restore_server(&mut self, now: f64, age: f64, capacity: &ServerCapacity) -> RestoreOutcome {
        let restored = self.estimator.restore_server(now, age, capacity);
        if restored == RestoreOutcome::Accepted {
            let server = ServerId(capacity.server);
            self.controller.restore_exclusion(now, server, capacity.excluded_until);
        }
        restored
    }
}
