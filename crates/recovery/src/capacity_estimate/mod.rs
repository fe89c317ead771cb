//! Estimates the load that each server can take from what one balancer observes. The estimate starts from the
//! server's listed weight and slow start, and is corrected by reported message delays, by setup times, and by the
//! absence of delay reports while the server is at its load limit.
//!
//! Each server has one learned factor: the load that this instance may put on the server, divided by this instance's
//! even share of the server's listed capacity. The load from other instances need not be known: slow messages are
//! caused by the load of all instances together, and all instances that receive the report reduce their load by the
//! same share.

mod estimator_settings;
mod server;
mod setup_model;

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use shorewharf_decisions::interface::{
    Action, Event, RequestId, ServerEntry, ServerId, ServerState, Settings,
};
use shorewharf_decisions::persistence::valid_load;

use crate::snapshot_state::{LoadModel, ServerCapacity};
use estimator_settings::{EstimatorSettings, TARGET_UTILIZATION};
use server::{AnnouncedCapacity, REPORT_PERIOD, ServerModel, Setup};
use setup_model::SetupModel;

/// The least weight of one load report in the mean load; the first 100 reports have equal weights.
const MEAN_LOAD_WEIGHT: f64 = 0.01;
/// Allowed rate of setups at a cold server, divided by the rate that would overload it without any other load.
const COLD_SETUP_RATIO: f64 = 0.67;
/// An estimate is announced again only if it has changed by more than this share of the last announced value.
const MIN_ANNOUNCED_CHANGE: f64 = 0.004;
/// Relative uncertainty of a server's capacity while a report of slow messages is recent.
const UNCERTAINTY_AFTER_REPORT: f64 = 0.1;
/// Relative uncertainty without a recent report: the load from other instances is then only assumed to equal this
/// instance's load.
const UNCERTAINTY: f64 = 0.25;
/// Share of a server's learned factor (as a logarithm) that a snapshot retains for each second of its age; after
/// half a minute about half is left.
const CAPACITY_RETENTION_PER_SECOND: f64 = 0.98;

/// The estimate for one server. Loads are work per second, in the unit of listed weights.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServerEstimate {
    /// The server's state in the endpoint list.
    pub state: ServerState,
    /// The server's weight in the endpoint list.
    pub weight: f64,
    /// The share of its warm capacity that the server has reached at least; 1 for a warm server.
    pub warm_up_ratio: f64,
    /// The load from all instances together that the server can take now.
    pub capacity: f64,
    /// The estimated load from all instances together that the server has now.
    pub load: f64,
    /// The part of `load` that comes from this instance, including attempts in progress and the cost of groups.
    pub local_load: f64,
    /// Relative uncertainty of `capacity`: the true value may be higher or lower by this share.
    pub uncertainty: f64,
    /// Time, in seconds, of the last message delay or completed setup that was observed at the server.
    pub updated_at: f64,
}

/// The estimates for all servers that are listed and not removed.
#[derive(Clone, Debug, Default)]
pub struct FleetEstimate {
    /// The estimate for each server.
    pub servers: BTreeMap<ServerId, ServerEstimate>,
    /// Mean load of an established connection, in the unit of listed weights; 0 before the first load report.
    pub mean_load: f64,
}

/// Provides the load that this instance has put on each server.
pub trait LocalLoad {
    /// Returns this instance's load on one server: work per second, in the unit of listed weights.
    fn local_load(&self, server: ServerId) -> f64;
}

impl LocalLoad for shorewharf_decisions::Balancer {
    fn local_load(&self, server: ServerId) -> f64 {
        self.assigned_load(server)
    }
}

/// Result of restoring one record of a snapshot.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestoreOutcome {
    /// The record was valid and was taken into account.
    Accepted,
    /// The record belongs to an earlier process of the server, or to a server that is not listed.
    Outdated,
    /// The record contains a number outside its valid range.
    Invalid,
}

/// An attempt in progress.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    server: ServerId,
    sent_at: f64,
}

/// Estimates the capacity of the servers for one instance.
#[derive(Debug)]
pub struct CapacityEstimator {
    settings: EstimatorSettings,
    servers: BTreeMap<ServerId, ServerModel>,
    attempts: BTreeMap<RequestId, Attempt>,
    /// Mean load of an established connection; 0 before the first load report.
    mean_load: f64,
    /// Number of load reports that contributed to the mean.
    load_samples: f64,
    setups: SetupModel,
    /// When the factors of servers at their load limit were last raised.
    last_growth_at: f64,
    announced_mean_load: f64,
}

impl CapacityEstimator {
    /// Creates an estimator without learned state.
    pub fn new(settings: &Settings) -> Self {
        CapacityEstimator {
            settings: EstimatorSettings::new(settings),
            servers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            mean_load: 0.0,
            load_samples: 0.0,
            setups: SetupModel::default(),
            last_growth_at: f64::NEG_INFINITY,
            announced_mean_load: 0.0,
        }
    }

    /// Applies new settings and keeps the learned state.
    pub fn update_settings(&mut self, settings: &Settings) {
        self.settings = EstimatorSettings::new(settings);
    }

    /// Observes an event, before the decision module handles it.
    pub fn observe_event(&mut self, now: f64, event: &Event, loads: &impl LocalLoad) {
        match event {
            Event::EndpointList { is_complete, entries, .. } => {
                self.on_endpoint_list(now, *is_complete, entries);
            }
            Event::Established { request, .. } => {
                if let Some(attempt) = self.attempts.remove(request) {
                    self.on_setup(now, attempt, loads);
                }
            }
            Event::LoadChanged { load, .. } if load.is_finite() && *load > 0.0 => {
                self.load_samples += 1.0;
                let weight = f64::max(1.0 / self.load_samples, MEAN_LOAD_WEIGHT);
                self.mean_load += (load - self.mean_load) * weight;
            }
            Event::MessageDelay { server, delay } if delay.is_finite() && *delay > 0.0 => {
                if let Some(model) = self.servers.get_mut(server) {
                    model.on_message_delay(now, *delay, loads.local_load(*server), &self.settings);
                }
            }
            Event::AttemptEnded { request, .. } => {
                self.attempts.remove(request);
            }
            _ => {}
        }
        if now >= self.last_growth_at + REPORT_PERIOD {
            self.last_growth_at = now;
            for (id, model) in &mut self.servers {
                model.grow(now, loads.local_load(*id), &self.settings);
            }
        }
    }

    /// Observes the actions that the decision module has returned.
    pub fn observe_actions(&mut self, now: f64, actions: &[Action]) {
        for action in actions {
            let Action::BeginAttempt { request, server, .. } = action else { continue };
            self.attempts.insert(*request, Attempt { server: *server, sent_at: now });
            if let Some(model) = self.servers.get_mut(server) {
                model.on_attempt(now);
            }
        }
    }

    /// Appends an event for each estimate that has changed since it was last announced. Nothing is announced before
    /// the first load report, since loads can't be compared with weights until then.
    pub fn announce(&mut self, now: f64, events: &mut Vec<Event>) {
        if self.mean_load <= 0.0 || !self.settings.has_capacity_weights {
            return;
        }
        let has_changed = |to: f64, from: f64| (to - from).abs() > MIN_ANNOUNCED_CHANGE * from;
        if has_changed(self.mean_load, self.announced_mean_load) {
            self.announced_mean_load = self.mean_load;
            events.push(Event::MeanLoadEstimated(self.mean_load));
        }
        let settings = self.settings;
        for (id, model) in &mut self.servers {
            let load = model.load_limit(now, &settings);
            let setup_rate = COLD_SETUP_RATIO * settings.overload_ratio * model.entry.weight
                / self.mean_load
                / settings.slow_start.warm_up_time
                / settings.instance_count;
            let announced = model.announced;
            if has_changed(load, announced.load) || has_changed(setup_rate, announced.setup_rate) {
                model.announced = AnnouncedCapacity { load, setup_rate };
                events.push(Event::CapacityEstimated { server: *id, load, setup_rate });
            }
        }
    }

    /// Returns the current estimates for all servers.
    pub fn fleet(&self, now: f64, loads: &impl LocalLoad) -> FleetEstimate {
        let estimate = |(id, model): (&ServerId, &ServerModel)| {
            let local_load = loads.local_load(*id);
            let is_recently_slow = model.is_recently_slow(now);
            let estimate = ServerEstimate {
                state: model.entry.state,
                weight: model.entry.weight,
                warm_up_ratio: self.settings.slow_start.warm_up_ratio(&model.entry, now),
                capacity: model.load_limit(now, &self.settings) * self.settings.instance_count
                    / TARGET_UTILIZATION,
                load: local_load * self.settings.instance_count,
                local_load,
                uncertainty: if is_recently_slow { UNCERTAINTY_AFTER_REPORT } else { UNCERTAINTY },
                updated_at: model.updated_at,
            };
            (*id, estimate)
        };
        FleetEstimate { servers: self.servers.iter().map(estimate).collect(), mean_load: self.mean_load }
    }

    fn on_endpoint_list(&mut self, now: f64, is_complete: bool, entries: &[ServerEntry]) {
        if is_complete {
            self.servers.retain(|id, _| entries.iter().any(|entry| entry.server == *id));
        }
        for entry in entries {
            if entry.state == ServerState::Removed {
                self.servers.remove(&entry.server);
                continue;
            }
            let model = self.servers.entry(entry.server).or_insert_with(|| ServerModel::new(*entry, now));
            if model.entry.started_at != entry.started_at {
                // The server was restarted: state learned about the earlier process does not apply.
                *model = ServerModel::new(*entry, now);
            }
            model.entry = *entry;
        }
    }

    fn on_setup(&mut self, now: f64, attempt: Attempt, loads: &impl LocalLoad) {
        let Some(model) = self.servers.get_mut(&attempt.server) else { return };
        model.updated_at = now;
        let has_load_unit = self.mean_load > 0.0 && self.settings.has_capacity_weights;
        if has_load_unit && model.has_comparable_setups(now) {
            let setup =
                Setup { seconds: now - attempt.sent_at, local_load: loads.local_load(attempt.server) };
            model.on_setup(now, setup, &mut self.setups, &self.settings);
        }
    }

    /// Returns the learned state about loads and setups, for a snapshot.
    pub(crate) fn load_model(&self) -> LoadModel {
        LoadModel {
            mean_load: self.mean_load,
            load_samples: self.load_samples,
            log_setup_work: self.setups.log_work,
            setup_samples: self.setups.samples,
        }
    }

    /// Returns the learned state of up to `max_count` servers whose ids follow `after`, for a snapshot. The caller
    /// adds the exclusions, which the estimator does not know.
    pub(crate) fn server_capacities(&self, after: Option<ServerId>, max_count: usize) -> Vec<ServerCapacity> {
        let from = after.map_or(Unbounded, Excluded);
        let capacity = |(id, model): (&ServerId, &ServerModel)| ServerCapacity {
            server: id.0,
            started_at: model.entry.started_at,
            factor: model.factor,
            slow_reported_at: model.slow_reported_at.is_finite().then_some(model.slow_reported_at),
            excluded_until: None,
        };
        self.servers.range((from, Unbounded)).take(max_count).map(capacity).collect()
    }

    /// Restores learned state about loads and setups, except where this instance has observed its own since.
    pub(crate) fn restore_load_model(&mut self, model: &LoadModel) -> RestoreOutcome {
        let numbers = [model.mean_load, model.load_samples, model.log_setup_work, model.setup_samples];
        let has_valid_mean = model.mean_load == 0.0 || valid_load(model.mean_load).is_some();
        let has_valid_counts = model.load_samples >= 0.0 && model.setup_samples >= 0.0;
        if !numbers.into_iter().all(f64::is_finite) || !has_valid_mean || !has_valid_counts {
            return RestoreOutcome::Invalid;
        }
        if self.load_samples <= 0.0 {
            (self.mean_load, self.load_samples) = (model.mean_load, model.load_samples);
        }
        if self.setups.samples <= 0.0 {
            self.setups = SetupModel { log_work: model.log_setup_work, samples: model.setup_samples };
        }
        RestoreOutcome::Accepted
    }

    /// Restores a server's state from a snapshot that is `age` seconds old, if the server is still the same process.
    pub(crate) fn restore_server(&mut self, now: f64, age: f64, capacity: &ServerCapacity) -> RestoreOutcome {
        let has_valid_factor = capacity.factor.is_finite() && capacity.factor > 0.0;
        if !has_valid_factor || !capacity.started_at.is_finite() {
            return RestoreOutcome::Invalid;
        }
        let log_factor = capacity.factor.ln() * CAPACITY_RETENTION_PER_SECOND.powf(age.max(0.0));
        let slow_reported_at = capacity.slow_reported_at.filter(|at| at.is_finite() && *at <= now);
        match self.servers.get_mut(&ServerId(capacity.server)) {
            Some(model) if model.entry.started_at == capacity.started_at => {
                model.restore(log_factor.exp(), slow_reported_at);
                RestoreOutcome::Accepted
            }
            _ => RestoreOutcome::Outdated,
        }
    }
}
