//! Restores exported state into an instance, as far as it is still valid.

use super::records::{
    GroupRecord, InstanceRecord, QuarantineRecord, ReservationRecord, ServerRecord, StateRecord,
};
use crate::arrival_rate::ARRIVAL_DECAY_RATIO;
use crate::groups::{GROUP_DECAY_RATIO, MIN_GROUP_CLIENTS};
use crate::interface::ServerId;
use crate::numeric::positive;
use crate::reservations::{Reservation, base_duration};
use crate::servers::{HEALTH_RECOVERY_RATIO, MIN_HEALTH, RESET_DECAY_RATIO};
use crate::state::Balancer;

/// Smallest valid load of a connection, in work per second. Dividing by a smaller one may give a result that
/// is not finite.
const MIN_CONNECTION_LOAD: f64 = 1e-9;
/// Largest valid load of a connection, in work per second.
const MAX_CONNECTION_LOAD: f64 = 1e9;
/// Upper bound, exclusive, of valid counts, of rates per second and of durations in seconds.
const MAX_COUNT: f64 = 1e15;

/// Numbers of records, by the result of restoring them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoreCounts {
    /// Restored, decayed where applicable.
    pub restored: usize,
    /// Rejected because the server has restarted or is not listed.
    pub outdated: usize,
    /// Rejected because nothing is left after the decay, the reservation has expired or exists already, or
    /// the table is full.
    pub expired: usize,
    /// Rejected because of a value out of range.
    pub invalid: usize,
}

impl RestoreCounts {
    /// Adds the numbers of two restores.
    pub fn plus(self, other: RestoreCounts) -> RestoreCounts {
        RestoreCounts {
            restored: self.restored + other.restored,
            outdated: self.outdated + other.outdated,
            expired: self.expired + other.expired,
            invalid: self.invalid + other.invalid,
        }
    }

    fn record(&mut self, outcome: RestoreOutcome) {
        match outcome {
            RestoreOutcome::Restored => self.restored += 1,
            RestoreOutcome::Outdated => self.outdated += 1,
            RestoreOutcome::Expired => self.expired += 1,
            RestoreOutcome::Invalid => self.invalid += 1,
        }
    }
}

/// The result of restoring one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestoreOutcome {
    Restored,
    Outdated,
    Expired,
    Invalid,
}

/// Returns the load if it is a valid load of a connection.
pub fn valid_load(load: f64) -> Option<f64> {
    (MIN_CONNECTION_LOAD..=MAX_CONNECTION_LOAD).contains(&load).then_some(load)
}

fn is_count(value: f64) -> bool {
    value.is_finite() && (0.0..MAX_COUNT).contains(&value)
}

impl Balancer {
    /// Restores the records that an instance exported `age` seconds ago. The endpoint list has to be known.
    /// `are_connections_lost` tells whether the connections of that time have ended, so that their clients
    /// are expected to reconnect; connections that continue are restored by events.
    pub fn restore(
        &mut self,
        now: f64,
        age: f64,
        are_connections_lost: bool,
        records: &[StateRecord],
    ) -> RestoreCounts {
        let age = age.max(0.0);
        let mut counts = RestoreCounts::default();
        for record in records {
            counts.record(match record {
                StateRecord::Instance(record) => self.restore_instance(age, record),
                StateRecord::Server(record) => self.restore_server(now, age, record),
                StateRecord::Group(record) => self.restore_group(age, record),
                StateRecord::Reservation(record) => self.restore_reservation(now, record),
                StateRecord::Connection(record) if are_connections_lost => {
                    let expires_at = now - age + base_duration(&self.settings) * (1.0 + self.draw());
                    self.restore_reservation(now, &ReservationRecord { expires_at, ..*record })
                }
                StateRecord::Connection(_) => continue,
            });
        }
        counts
    }

    fn restore_instance(&mut self, age: f64, record: &InstanceRecord) -> RestoreOutcome {
        let counts = [
            record.total_clients,
            record.arrivals,
            record.arrival_seconds,
            record.migration_credit,
            record.mean_load,
            record.setups_per_second,
        ];
        let is_known_load = |load: f64| load == 0.0 || valid_load(load).is_some();
        let mut loads = record.class_loads.iter().copied().chain([record.mean_load]);
        if !counts.into_iter().all(is_count) || !loads.all(is_known_load) {
            return RestoreOutcome::Invalid;
        }
        self.groups.total_clients += record.total_clients * GROUP_DECAY_RATIO.powf(age);
        let remaining = ARRIVAL_DECAY_RATIO.powf(age);
        self.arrivals.restore(record.arrivals, record.arrival_seconds, remaining);
        self.migration_credit += record.migration_credit;
        // A low limit reflects the state of the fleet at that time, so it is raised by the age of the record.
        self.setup_limiter.restore(record.setups_per_second, remaining);
        for (own, load) in self.loads.class_loads.iter_mut().zip(&record.class_loads) {
            if *own <= 0.0 {
                *own = *load;
            }
        }
        if self.loads.mean_load <= 0.0
            && let Some(mean_load) = positive(record.mean_load)
        {
            self.set_mean_load(mean_load);
        }
        RestoreOutcome::Restored
    }

    fn restore_server(&mut self, now: f64, age: f64, record: &ServerRecord) -> RestoreOutcome {
        let QuarantineRecord { trial_at, backoff } = record.quarantine.unwrap_or_default();
        let counts = [record.warm_up_admissions, record.recent_resets, backoff];
        let times = [record.unavailable_until, record.started_at, trial_at];
        let is_valid_health = record.health > 0.0 && record.health <= 1.0;
        if !counts.into_iter().all(is_count) || !times.into_iter().all(f64::is_finite) || !is_valid_health {
            return RestoreOutcome::Invalid;
        }
        let max_pause = self.settings.warm_up_time.max(self.settings.connect_timeout);
        let server = self.servers.get_mut(ServerId(record.server));
        let Some(server) = server.filter(|server| server.entry.started_at == record.started_at) else {
            return RestoreOutcome::Outdated;
        };
        let lost_health = (1.0 - record.health.max(MIN_HEALTH)) * (1.0 - HEALTH_RECOVERY_RATIO).powf(age);
        server.health = server.health.min(1.0 - lost_health);
        let unavailable_until = record.unavailable_until.min(now + max_pause);
        server.unavailable_until = server.unavailable_until.max(unavailable_until);
        if record.quarantine.is_some() && !server.is_quarantined && server.connections == 0 {
            // A trial will show whether the server can be reached now.
            server.is_quarantined = true;
            server.trial_backoff = backoff.min(max_pause);
            server.trial_at = trial_at.min(now + server.trial_backoff);
        }
        // The count does not decay: the requests that were admitted are connected or have been sent again.
        server.warm_up_admissions = server.warm_up_admissions.max(record.warm_up_admissions);
        let recent_resets = record.recent_resets * RESET_DECAY_RATIO.powf(age);
        server.recent_resets = server.recent_resets.max(recent_resets);
        RestoreOutcome::Restored
    }

    fn restore_group(&mut self, age: f64, record: &GroupRecord) -> RestoreOutcome {
        if !is_count(record.clients) {
            return RestoreOutcome::Invalid;
        }
        let clients = record.clients * GROUP_DECAY_RATIO.powf(age);
        if clients <= MIN_GROUP_CLIENTS || !self.groups.has_capacity_for(record.group) {
            return RestoreOutcome::Expired;
        }
        let last_server = record.last_server.map(ServerId).filter(|id| self.servers.contains(*id));
        self.groups.merge(record.group, clients, last_server);
        RestoreOutcome::Restored
    }

    fn restore_reservation(&mut self, now: f64, record: &ReservationRecord) -> RestoreOutcome {
        let is_valid = record.key != 0 && record.expires_at.is_finite();
        let Some(load) = valid_load(record.load).filter(|_| is_valid) else {
            return RestoreOutcome::Invalid;
        };
        let is_expired = record.expires_at <= now;
        if is_expired || self.reservations.is_full() || self.reservations.contains(record.key) {
            return RestoreOutcome::Expired;
        }
        let server = ServerId(record.server);
        if !self.servers.contains(server) {
            return RestoreOutcome::Outdated;
        }
        let expires_at = record.expires_at.min(now + base_duration(&self.settings) * 2.0);
        self.insert_reservation(record.key, Reservation { server, load, expires_at });
        RestoreOutcome::Restored
    }
}
