//! Export and restore of what an instance has learned. The state is exported in portions, so that no event waits for it,
//! and restored record by record: what decays in a running instance has decayed by as much, and records of a server that
//! was restarted or is not listed are rejected.
//!
//! Not exported: what established connections report again where they go on, and the state of the random generator.

use serde::{Deserialize, Serialize};

use crate::arrival_rate::ARRIVAL_DECAY_RATIO;
use crate::groups::{GROUP_DECAY_RATIO, MIN_GROUP_CLIENTS};
use crate::interface::{RequestId, ServerId};
use crate::numeric::positive;
use crate::reservations::{Reservation, base_duration};
use crate::servers::{HEALTH_RECOVERY_RATIO, MIN_HEALTH, RESET_DECAY_RATIO, Server};
use crate::state::Balancer;

/// The smallest load that a connection can have, in work a second: what is divided by less is no finite number.
const MIN_CONNECTION_LOAD: f64 = 1e-9;
/// The largest load that a connection can have, in work a second.
const MAX_CONNECTION_LOAD: f64 = 1e9;
/// Counts and durations are below this.
const MAX_COUNT: f64 = 1e15;

/// A record of exported state. Times are seconds on the caller's clock.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StateRecord {
    /// The instance as a whole.
    #[serde(rename = "flow")]
    Instance(InstanceRecord),
    /// A server.
    Server(ServerRecord),
    /// A group of clients.
    Group(GroupRecord),
    /// A client that has left is expected back.
    #[serde(rename = "place")]
    Reservation(ReservationRecord),
    /// A client is connected; it is expected back if its connection is lost.
    #[serde(rename = "stands")]
    Connection(ReservationRecord),
}

/// What is known of the instance as a whole.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct InstanceRecord {
    /// Clients seen, decayed as the groups' counts are.
    #[serde(rename = "seen")]
    pub total_clients: f64,
    /// New clients, decayed.
    #[serde(rename = "rate")]
    pub arrivals: f64,
    /// Seconds in which they arrived, decayed.
    #[serde(rename = "span")]
    pub arrival_seconds: f64,
    /// Migrations that are allowed.
    #[serde(rename = "moves")]
    pub migration_credit: f64,
    /// Mean load of a connection; 0 while it is not known.
    #[serde(rename = "mean")]
    pub mean_load: f64,
    /// Mean hinted load by class; 0 where there was no hint.
    #[serde(rename = "class_load")]
    pub class_loads: Vec<f64>,
    /// The rate limit of set-ups.
    #[serde(rename = "pace")]
    pub setups_per_second: f64,
}

/// What is known of a server.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ServerRecord {
    /// The server.
    pub server: u64,
    /// When its process had started, as listed: the record does not hold for a later process.
    #[serde(rename = "born")]
    pub started_at: f64,
    /// Share of its weight that it is believed to have.
    pub health: f64,
    /// It gets nothing new before this time.
    #[serde(rename = "spent_until")]
    pub unavailable_until: f64,
    /// Its quarantine, if it could not be reached.
    #[serde(rename = "locked")]
    pub quarantine: Option<QuarantineRecord>,
    /// Requests sent to it while it was warming up.
    #[serde(rename = "entries")]
    pub warm_up_admissions: f64,
    /// Connections that broke there, decayed.
    #[serde(rename = "drops")]
    pub recent_resets: f64,
}

/// A server's quarantine; written as an array of its two values.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(from = "(f64, f64)", into = "(f64, f64)")]
pub struct QuarantineRecord {
    /// When the next trial is due.
    pub trial_at: f64,
    /// Pause before the next trial, in seconds.
    pub backoff: f64,
}

impl From<(f64, f64)> for QuarantineRecord {
    fn from((trial_at, backoff): (f64, f64)) -> Self {
        QuarantineRecord { trial_at, backoff }
    }
}

impl From<QuarantineRecord> for (f64, f64) {
    fn from(record: QuarantineRecord) -> Self {
        (record.trial_at, record.backoff)
    }
}

/// What is known of a group.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct GroupRecord {
    /// The group.
    pub group: u64,
    /// Its clients that were seen, decayed.
    #[serde(rename = "seen")]
    pub clients: f64,
    /// Where the last one was connected.
    #[serde(rename = "last")]
    pub last_server: Option<u64>,
}

/// Load that a server keeps for a client.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ReservationRecord {
    /// The client's key.
    pub key: u64,
    /// The server.
    pub server: u64,
    /// The client's load.
    pub load: f64,
    /// When the reservation ends. Not used for a connected client, whose reservation begins with the export.
    #[serde(default, rename = "until")]
    pub expires_at: f64,
}

/// How far an export has come.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ExportCursor {
    /// It begins.
    #[default]
    Start,
    /// Servers behind this one are next.
    Servers(Option<ServerId>),
    /// Groups behind this one are next.
    Groups(Option<u64>),
    /// Reservations behind this key are next.
    Reservations(Option<u64>),
    /// Connections behind this request's are next.
    Connections(Option<RequestId>),
    /// Everything was exported.
    End,
}

/// Records by what a restore made of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RestoreCounts {
    /// Restored, decayed as they may be.
    pub restored: usize,
    /// Of servers that were restarted or are not listed.
    pub outdated: usize,
    /// Decayed to nothing, or beyond what is kept.
    pub expired: usize,
    /// With values out of their range.
    pub invalid: usize,
}

impl RestoreCounts {
    /// The sums of two counts.
    pub fn and(self, other: RestoreCounts) -> RestoreCounts {
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

/// What a restore made of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RestoreOutcome {
    Restored,
    Outdated,
    Expired,
    Invalid,
}

/// The load, if a connection can have it.
pub fn valid_load(load: f64) -> Option<f64> {
    (MIN_CONNECTION_LOAD..=MAX_CONNECTION_LOAD).contains(&load).then_some(load)
}

fn is_count(value: f64) -> bool {
    value.is_finite() && (0.0..MAX_COUNT).contains(&value)
}

impl Balancer {
    /// Exports at most `limit` further records, and returns where to go on. State that changes between two portions is
    /// exported as it is then: each record stands for itself.
    pub fn export_state(&self, from: ExportCursor, limit: usize, out: &mut Vec<StateRecord>) -> ExportCursor {
        let end = out.len() + limit;
        let mut cursor = from;
        while out.len() < end && cursor != ExportCursor::End {
            let room = end - out.len();
            cursor = match cursor {
                ExportCursor::Start => {
                    out.push(StateRecord::Instance(self.export_instance()));
                    ExportCursor::Servers(None)
                }
                ExportCursor::Servers(last) => self.export_servers(last, room, out),
                ExportCursor::Groups(last) => self.export_groups(last, room, out),
                ExportCursor::Reservations(last) => self.export_reservations(last, room, out),
                ExportCursor::Connections(last) => self.export_connections(last, room, out),
                ExportCursor::End => ExportCursor::End,
            };
        }
        cursor
    }

    fn export_instance(&self) -> InstanceRecord {
        InstanceRecord {
            total_clients: self.groups.total_clients,
            arrivals: self.arrivals.arrivals,
            arrival_seconds: self.arrivals.seconds,
            migration_credit: self.migration_credit,
            mean_load: self.loads.mean_load,
            class_loads: self.loads.class_loads.clone(),
            setups_per_second: self.setup_limiter.per_second(),
        }
    }

    fn export_servers(
        &self,
        last: Option<ServerId>,
        room: usize,
        out: &mut Vec<StateRecord>,
    ) -> ExportCursor {
        let portion: Vec<&Server> = self.servers.after(last).take(room).collect();
        out.extend(portion.iter().map(|server| {
            StateRecord::Server(ServerRecord {
                server: server.entry.server.0,
                started_at: server.entry.started_at,
                health: server.health,
                unavailable_until: server.unavailable_until,
                quarantine: server
                    .is_quarantined
                    .then_some(QuarantineRecord { trial_at: server.trial_at, backoff: server.trial_backoff }),
                warm_up_admissions: server.warm_up_admissions,
                recent_resets: server.recent_resets,
            })
        }));
        match portion.last() {
            Some(server) if portion.len() == room => ExportCursor::Servers(Some(server.entry.server)),
            _ => ExportCursor::Groups(None),
        }
    }

    fn export_groups(&self, last: Option<u64>, room: usize, out: &mut Vec<StateRecord>) -> ExportCursor {
        let (mut count, mut behind) = (0, None);
        for (group, stats) in self.groups.after(last).take(room) {
            let last_server = stats.last_server.map(|server| server.0);
            out.push(StateRecord::Group(GroupRecord { group, clients: stats.clients, last_server }));
            (count, behind) = (count + 1, Some(group));
        }
        if count < room { ExportCursor::Reservations(None) } else { ExportCursor::Groups(behind) }
    }

    fn export_reservations(
        &self,
        last: Option<u64>,
        room: usize,
        out: &mut Vec<StateRecord>,
    ) -> ExportCursor {
        let (mut count, mut behind) = (0, None);
        for (key, reservation) in self.reservations.after(last).take(room) {
            out.push(StateRecord::Reservation(ReservationRecord {
                key,
                server: reservation.server.0,
                load: reservation.load,
                expires_at: reservation.expires_at,
            }));
            (count, behind) = (count + 1, Some(key));
        }
        if count < room { ExportCursor::Connections(None) } else { ExportCursor::Reservations(behind) }
    }

    /// Looks at `room` requests at most, connected or not.
    fn export_connections(
        &self,
        last: Option<RequestId>,
        room: usize,
        out: &mut Vec<StateRecord>,
    ) -> ExportCursor {
        let (mut count, mut behind) = (0, None);
        for tracked in self.requests.after(last).take(room) {
            (count, behind) = (count + 1, Some(tracked.request.id));
            let key = tracked.request.key;
            // A client that was told to migrate is expected elsewhere.
            if let (Some(server), false, true) = (tracked.connected_server, tracked.is_answered, key != 0) {
                let (server, load) = (server.0, tracked.load);
                let record = ReservationRecord { key, server, load, expires_at: 0.0 };
                out.push(StateRecord::Connection(record));
            }
        }
        if count < room { ExportCursor::End } else { ExportCursor::Connections(behind) }
    }

    /// Restores what an instance has exported `age` seconds ago; the endpoint list has to be known. `are_connections_lost`
    /// tells that the connections of that time have ended, so that their clients are expected back; where they go on they
    /// are restored by events.
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
        // A low limit speaks of the fleet of that time.
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
        let is_share = record.health > 0.0 && record.health <= 1.0;
        if !counts.into_iter().all(is_count) || !times.into_iter().all(f64::is_finite) || !is_share {
            return RestoreOutcome::Invalid;
        }
        let longest = self.settings.warm_up_time.max(self.settings.connect_timeout);
        let server = self.servers.get_mut(ServerId(record.server));
        let Some(server) = server.filter(|server| server.entry.started_at == record.started_at) else {
            return RestoreOutcome::Outdated;
        };
        let lost_health = (1.0 - record.health.max(MIN_HEALTH)) * (1.0 - HEALTH_RECOVERY_RATIO).powf(age);
        server.health = server.health.min(1.0 - lost_health);
        let unavailable_until = record.unavailable_until.min(now + longest);
        server.unavailable_until = server.unavailable_until.max(unavailable_until);
        if record.quarantine.is_some() && !server.is_quarantined && server.connections == 0 {
            // A trial will show whether it can be reached now.
            server.is_quarantined = true;
            server.trial_backoff = backoff.min(longest);
            server.trial_at = trial_at.min(now + server.trial_backoff);
        }
        // Requests that were admitted then are connected, or came again.
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
        if clients <= MIN_GROUP_CLIENTS || !self.groups.has_room_for(record.group) {
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
