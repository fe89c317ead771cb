//! The decision module with overload protection around it: takes events and returns actions as [`Balancer`] does.
//!
//! It owns the decision module, the controller, the capacity estimates and the queue of rejected clients, and passes
//! events through them in a fixed order.

use shorewharf_decisions::interface::{Action, Event, Request};
use shorewharf_decisions::persistence::RestoreCounts;
use shorewharf_decisions::{Balancer, Holding, RequestId, ServerId, Settings};

use crate::capacity_estimate::{CapacityEstimator, FleetEstimate, Restored};
use crate::capacity_shortage::CapacityShortage;
use crate::controller::{ControllerOptions, HandledEvent, OverloadController};
use crate::retry_after::RetryAfterQueue;
use crate::snapshot_state::{ExportCursor, LoadModel, ServerCapacity, SnapshotEntry};

/// Period of the checks for a shortage of capacity, in seconds.
const SHORTAGE_CHECK_PERIOD: f64 = 1.0;

/// The decision module behind the overload controller.
#[derive(Debug)]
pub struct ProtectedBalancer {
    balancer: Balancer,
    controller: OverloadController,
    estimator: CapacityEstimator,
    retry_after: RetryAfterQueue,
    shortage: CapacityShortage,
    shortage_checked_at: f64,
    /// Buffer for the events that the estimator announces.
    announced: Vec<Event>,
}

/// Clients of this instance that wait for capacity.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WaitingClients {
    /// Requests that are held until a server has capacity.
    pub held: usize,
    /// Estimated number of rejected clients that were told when to come back.
    pub in_backoff: f64,
}

impl ProtectedBalancer {
    /// Creates a decision module with its protection; all randomness comes from `seed`.
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

    /// Handles one event and appends the actions that follow.
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
        self.advise_rejected(now, &mut actions[first..]);
        if now >= self.shortage_checked_at + SHORTAGE_CHECK_PERIOD {
            self.shortage_checked_at = now;
            let fleet = self.estimator.fleet(now, &self.balancer);
            actions.extend(self.shortage.check(self.balancer.waiting_requests(), &fleet).map(Action::Log));
        }
        let handled = HandledEvent { event: &event, first_action: first, actions };
        self.controller.observe_actions(now, handled, &mut self.balancer);
    }

    /// Tells rejected clients when to come back.
    fn advise_rejected(&mut self, now: f64, actions: &mut [Action]) {
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

    /// Applies other settings and options; what was learned stays.
    pub fn update_settings(&mut self, settings: Settings, options: ControllerOptions) {
        self.controller.set_options(options);
        self.controller.update_settings(&settings);
        self.estimator.update_settings(&settings);
        self.retry_after.update_settings(&settings);
        self.balancer.update_settings(settings);
    }

    /// A connection was asked to migrate by someone else.
    pub fn on_external_migration(&mut self, id: RequestId) {
        self.controller.on_external_migration(id);
    }

    /// The estimates of what the fleet can take.
    pub fn fleet(&self, now: f64) -> FleetEstimate {
        self.estimator.fleet(now, &self.balancer)
    }

    /// What is known of an established connection: its request, and its load where that was reported.
    pub fn established(&self, id: RequestId) -> Option<(Request, Option<f64>)> {
        self.balancer.established(id)
    }

    /// The connections of this instance, for gossip with other balancers.
    pub fn holdings(&self) -> Vec<Holding> {
        self.balancer.holdings()
    }

    /// Servers that get no new connections now.
    pub fn unavailable_servers(&self, now: f64) -> Vec<ServerId> {
        self.balancer.unavailable_servers(now)
    }

    /// Clients that wait for capacity here.
    pub fn waiting(&self, now: f64) -> WaitingClients {
        WaitingClients { held: self.balancer.waiting_requests(), in_backoff: self.retry_after.length(now) }
    }

    /// The overload controller.
    pub fn controller(&self) -> &OverloadController {
        &self.controller
    }

    /// The overload controller, for what it can't observe itself.
    pub fn controller_mut(&mut self) -> &mut OverloadController {
        &mut self.controller
    }

    /// Exports learned state from a cursor on, `most` entries at most; returns where to go on from.
    pub fn export_state(
        &self,
        from: ExportCursor,
        most: usize,
        entries: &mut Vec<SnapshotEntry>,
    ) -> ExportCursor {
        match from {
            ExportCursor::Balancer(cursor) => self.export_balancer(cursor, most, entries),
            ExportCursor::Servers(last) => self.export_servers(last, most, entries),
            ExportCursor::End => ExportCursor::End,
        }
    }

    fn export_balancer(
        &self,
        from: shorewharf_decisions::persistence::ExportCursor,
        most: usize,
        entries: &mut Vec<SnapshotEntry>,
    ) -> ExportCursor {
        let mut known = Vec::new();
        let next = self.balancer.export_state(from, most, &mut known);
        entries.extend(known.into_iter().map(SnapshotEntry::Balancer));
        match next {
            shorewharf_decisions::persistence::ExportCursor::End => ExportCursor::Servers(None),
            next => ExportCursor::Balancer(next),
        }
    }

    fn export_servers(
        &self,
        last: Option<ServerId>,
        most: usize,
        entries: &mut Vec<SnapshotEntry>,
    ) -> ExportCursor {
        if last.is_none() {
            entries.push(SnapshotEntry::LoadModel(self.estimator.load_model()));
        }
        let capacities = self.estimator.server_capacities(last, most);
        let exported = capacities.len();
        let last = capacities.last().map(|capacity| ServerId(capacity.server));
        entries.extend(capacities.into_iter().map(|capacity| {
            let excluded_until = self.controller.excluded_until(ServerId(capacity.server));
            SnapshotEntry::ServerCapacity(ServerCapacity { excluded_until, ..capacity })
        }));
        if exported < most { ExportCursor::End } else { ExportCursor::Servers(last) }
    }

    /// Restores what an earlier instance exported `age` seconds ago. The endpoint list must have been handled first.
    /// If its `connections_are_lost`, clients that were connected are expected to come back.
    pub fn restore_state(
        &mut self,
        now: f64,
        age: f64,
        connections_are_lost: bool,
        entries: Vec<SnapshotEntry>,
    ) -> RestoreCounts {
        let mut known = Vec::new();
        let mut counts = RestoreCounts::default();
        for entry in entries {
            let restored = match entry {
                SnapshotEntry::Balancer(one) => {
                    known.push(one);
                    continue;
                }
                SnapshotEntry::LoadModel(model) => self.restore_load_model(&model),
                SnapshotEntry::ServerCapacity(capacity) => self.restore_server(now, age, &capacity),
            };
            match restored {
                Restored::Accepted => counts.restored += 1,
                Restored::Outdated => counts.outdated += 1,
                Restored::Invalid => counts.invalid += 1,
            }
        }
        self.balancer.restore(now, age, connections_are_lost, &known).plus(counts)
    }

    fn restore_load_model(&mut self, model: &LoadModel) -> Restored {
        let restored = self.estimator.restore_load_model(model);
        if restored == Restored::Accepted {
            self.controller.restore_mean_load(model.mean_load);
        }
        restored
    }

    fn restore_server(&mut self, now: f64, age: f64, capacity: &ServerCapacity) -> Restored {
        let restored = self.estimator.restore_server(now, age, capacity);
        if restored == Restored::Accepted {
            let server = ServerId(capacity.server);
            self.controller.restore_exclusion(now, server, capacity.excluded_until);
        }
        restored
    }
}
