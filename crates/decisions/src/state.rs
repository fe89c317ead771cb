//! The balancer: the state of one instance, made up of the tables and estimates on which its decisions are
//! based.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};

use crate::arrival_rate::ArrivalRate;
use crate::fleet_view::FleetView;
use crate::groups::{GroupTable, placement_group};
use crate::hashing::to_unit_interval;
use crate::interface::{Idempotency, Request, ServerId, Settings};
use crate::load::LoadEstimates;
use crate::probe_table::ProbeTable;
use crate::rate_limit::SetupRateLimiter;
use crate::requests::{RequestProfile, RequestTable, TrackedRequest};
use crate::reservations::{Reservation, ReservationTable};
use crate::servers::{Server, ServerTable};
use crate::slow_start::{SlowStart, SlowStartInputs};

/// Makes the decisions of one instance: [`Balancer::handle`] takes an event and appends the resulting
/// actions. It does no I/O and has no clock; its randomness comes from a seed.
#[derive(Debug)]
pub struct Balancer {
    pub(crate) settings: Settings,
    rng: Pcg64Mcg,
    pub(crate) servers: ServerTable,
    pub(crate) requests: RequestTable,
    pub(crate) reservations: ReservationTable,
    pub(crate) groups: GroupTable,
    pub(crate) arrivals: ArrivalRate,
    pub(crate) loads: LoadEstimates,
    pub(crate) probes: ProbeTable,
    pub(crate) fleet: FleetView,
    pub(crate) setup_limiter: SetupRateLimiter,
    pub(crate) slow_start: SlowStart,
    /// Number of migrations that are currently allowed.
    pub(crate) migration_credit: f64,
    /// Whether the timer that places deferred requests again is set.
    pub(crate) is_defer_timer_set: bool,
    pub(crate) is_subscribed: bool,
    pub(crate) are_retries_allowed: bool,
}

impl Balancer {
    /// Creates an instance that knows no servers yet. All its randomness comes from `seed`.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let loads = LoadEstimates::new(settings.classes.len());
        Balancer {
            settings,
            rng: Pcg64Mcg::seed_from_u64(seed),
            servers: ServerTable::default(),
            requests: RequestTable::default(),
            reservations: ReservationTable::default(),
            groups: GroupTable::default(),
            arrivals: ArrivalRate::default(),
            loads,
            probes: ProbeTable::default(),
            fleet: FleetView::default(),
            setup_limiter: SetupRateLimiter::default(),
            slow_start: SlowStart::default(),
            migration_credit: 0.0,
            is_defer_timer_set: false,
            is_subscribed: false,
            are_retries_allowed: true,
        }
    }

    /// Replaces the settings and keeps all learned state. Known classes must keep their indices.
    pub fn update_settings(&mut self, now: f64, settings: Settings) {
        // With other settings, slots that have begun may have been used under another division.
        self.slow_start.on_slots_reassigned(now);
        self.loads.class_loads.resize(settings.classes.len(), 0.0);
        self.settings = settings;
    }

    /// Draws a random number between 0 and 1, both excluded.
    pub(crate) fn draw(&mut self) -> f64 {
        to_unit_interval(self.rng.next_u64())
    }

    pub(crate) fn slow_start_inputs(&self, now: f64) -> SlowStartInputs<'_> {
        SlowStartInputs {
            settings: &self.settings,
            servers: &self.servers,
            loads: &self.loads,
            is_fleet_known: self.fleet.is_current(now),
        }
    }

    /// Whether slow start allows this instance to send a request to a server now.
    pub(crate) fn is_admitted_by_slow_start(&self, server: &Server, now: f64) -> bool {
        self.slow_start.may_admit(&self.slow_start_inputs(now), server, now)
    }

    /// Creates the record of a new request. The request counts towards the mean load of its class and the
    /// clients of its group.
    pub(crate) fn track(&mut self, now: f64, request: Request) -> TrackedRequest {
        let load = self.loads.estimate(&request);
        let group = placement_group(&self.settings, &request);
        self.groups.record_client(group);
        let class = self.settings.classes.get(request.class);
        let idempotency = class.map_or(Idempotency::NonIdempotent, |class| class.idempotency);
        TrackedRequest::new(now, request, RequestProfile { idempotency, group, load })
    }

    /// Latency objective of the request's class for the set-up, in seconds; 0 for an unknown class.
    pub(crate) fn latency_objective(&self, request: &Request) -> f64 {
        self.settings.classes.get(request.class).map_or(0.0, |class| class.latency_objective)
    }

    /// Reserves load on a server for a client that is expected to reconnect.
    pub(crate) fn insert_reservation(&mut self, key: u64, reservation: Reservation) {
        self.reservations.insert(key, reservation);
        self.servers.release_load(reservation.server, -reservation.load);
    }

    /// Removes the reservation of a client, if it has one, and releases the reserved load.
    pub(crate) fn remove_reservation(&mut self, key: u64) {
        if let Some(reservation) = self.reservations.remove(key) {
            self.servers.release_load(reservation.server, reservation.load);
        }
    }

    /// Servers that are known to have connections of a group: those of the group's clients at this instance,
    /// and the server to which the last of them was connected.
    pub(crate) fn servers_of_group(&self, group: u64) -> Vec<ServerId> {
        let members = self.requests.iter().filter(|tracked| tracked.group == Some(group));
        let last = self.groups.last_server(group);
        members.filter_map(TrackedRequest::server).chain(last).collect()
    }

    /// Sets the mean load of a connection. Requests whose own load is unknown get this load, and the loads
    /// assigned to all servers are computed anew.
    pub(crate) fn set_mean_load(&mut self, mean_load: f64) {
        self.loads.mean_load = mean_load;
        for server in self.servers.iter_mut() {
            server.assigned_load = 0.0;
        }
        for tracked in self.requests.iter_mut() {
            if !tracked.is_load_reported && tracked.request.load.is_none() {
                tracked.load = mean_load;
            }
            if let Some(server) = tracked.server().and_then(|id| self.servers.get_mut(id)) {
                server.assigned_load += tracked.load;
            }
        }
        for reservation in self.reservations.iter() {
            if let Some(server) = self.servers.get_mut(reservation.server) {
                server.assigned_load += reservation.load;
            }
        }
    }
}
