//! Exports the state of an instance in portions.

use super::records::{
    GroupRecord, InstanceRecord, QuarantineRecord, ReservationRecord, ServerRecord, StateRecord,
};
use crate::interface::{RequestId, ServerId};
use crate::servers::Server;
use crate::state::Balancer;

/// The position of an export.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum ExportCursor {
    /// The export begins.
    #[default]
    Start,
    /// The servers after this one are next.
    Servers(Option<ServerId>),
    /// The groups after this one are next.
    Groups(Option<u64>),
    /// The reservations after the one with this key are next.
    Reservations(Option<u64>),
    /// The connections of the requests after this one are next.
    Connections(Option<RequestId>),
    /// Everything has been exported.
    End,
}

impl Balancer {
    /// Appends at most `limit` further records, and returns the position at which to continue. State that
    /// changes between two portions is exported as it is at the later one; records are independent of each
    /// other.
    pub fn export_state(
        &self,
        from: ExportCursor,
        limit: usize,
        records: &mut Vec<StateRecord>,
    ) -> ExportCursor {
        let end = records.len() + limit;
        let mut cursor = from;
        while records.len() < end && cursor != ExportCursor::End {
            let remaining = end - records.len();
            cursor = match cursor {
                ExportCursor::Start => {
                    records.push(StateRecord::Instance(self.export_instance()));
                    ExportCursor::Servers(None)
                }
                ExportCursor::Servers(last) => self.export_servers(last, remaining, records),
                ExportCursor::Groups(last) => self.export_groups(last, remaining, records),
                ExportCursor::Reservations(last) => self.export_reservations(last, remaining, records),
                ExportCursor::Connections(last) => self.export_connections(last, remaining, records),
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
        remaining: usize,
        records: &mut Vec<StateRecord>,
    ) -> ExportCursor {
        let portion: Vec<&Server> = self.servers.after(last).take(remaining).collect();
        records.extend(portion.iter().map(|server| {
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
            Some(server) if portion.len() == remaining => ExportCursor::Servers(Some(server.entry.server)),
            _ => ExportCursor::Groups(None),
        }
    }

    fn export_groups(
        &self,
        last: Option<u64>,
        remaining: usize,
        records: &mut Vec<StateRecord>,
    ) -> ExportCursor {
        let (mut count, mut last_exported) = (0, None);
        for (group, stats) in self.groups.after(last).take(remaining) {
            let last_server = stats.last_server.map(|server| server.0);
            records.push(StateRecord::Group(GroupRecord { group, clients: stats.clients, last_server }));
            (count, last_exported) = (count + 1, Some(group));
        }
        if count < remaining { ExportCursor::Reservations(None) } else { ExportCursor::Groups(last_exported) }
    }

    fn export_reservations(
        &self,
        last: Option<u64>,
        remaining: usize,
        records: &mut Vec<StateRecord>,
    ) -> ExportCursor {
        let (mut count, mut last_exported) = (0, None);
        for (key, reservation) in self.reservations.after(last).take(remaining) {
            records.push(StateRecord::Reservation(ReservationRecord {
                key,
                server: reservation.server.0,
                load: reservation.load,
                expires_at: reservation.expires_at,
            }));
            (count, last_exported) = (count + 1, Some(key));
        }
        if count < remaining {
            ExportCursor::Connections(None)
        } else {
            ExportCursor::Reservations(last_exported)
        }
    }

    /// Examines at most `remaining` requests, whether connected or not.
    fn export_connections(
        &self,
        last: Option<RequestId>,
        remaining: usize,
        records: &mut Vec<StateRecord>,
    ) -> ExportCursor {
        let (mut count, mut last_exported) = (0, None);
        for tracked in self.requests.after(last).take(remaining) {
            (count, last_exported) = (count + 1, Some(tracked.request.id));
            let key = tracked.request.key;
            // A client that is being migrated is expected at another server.
            if let (Some(server), false, true) = (tracked.connected_server, tracked.is_answered, key != 0) {
                let (server, load) = (server.0, tracked.load);
                let record = ReservationRecord { key, server, load, expires_at: 0.0 };
                records.push(StateRecord::Connection(record));
            }
        }
        if count < remaining { ExportCursor::End } else { ExportCursor::Connections(last_exported) }
    }
}
