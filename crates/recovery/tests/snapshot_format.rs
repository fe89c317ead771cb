//! The format of snapshots on disk. Renaming a field or variant in the code must not change the stored bytes, since a
//! newer version has to read the snapshots of an older one.

use serde_json::json;
use shorewharf_decisions::persistence::{
    GroupRecord, InstanceRecord, QuarantineRecord, ReservationRecord, ServerRecord, StateRecord,
};
use shorewharf_protocol::endpoint_list::Endpoint;
use shorewharf_recovery::snapshot_state::{LoadModel, ServerCapacity, SnapshotEntry};
use shorewharf_snapshot::record::{Encoder, Header, Line, VERSION, decode};

const STORED: &[u8] = include_bytes!("fixtures/every-line.snapshot");

/// A snapshot with every kind of line, and with every optional field both set and unset.
fn snapshot() -> (Header, Vec<Line<SnapshotEntry>>) {
    let header = Header {
        version: VERSION,
        balancer: "n1".into(),
        worker: 1,
        worker_count: 4,
        taken_at: 1_800_000_000,
        list_index: 7,
    };
    let endpoint = json!({"name": "s-1", "address": "127.0.0.1:1", "zone": "z", "type": "large", "group": 3,
        "status": "Ready", "weight": 2.5, "since_ms": 12.5});
    let endpoint: Endpoint = serde_json::from_value(endpoint).expect("a valid endpoint");
    let instance = InstanceRecord {
        total_clients: 12.5,
        arrivals: 3.25,
        arrival_seconds: 1.5,
        migration_credit: 58.0,
        mean_load: 0.2,
        class_loads: vec![0.3, 0.7],
        setups_per_second: 50.0,
    };
    let server = ServerRecord {
        server: 1,
        started_at: 95.0,
        health: 0.6,
        unavailable_until: 101.4,
        quarantine: Some(QuarantineRecord { trial_at: 101.5, backoff: 1.25 }),
        warm_up_admissions: 4.0,
        recent_resets: 1.5,
    };
    let reservation = |key| ReservationRecord { key, server: 4, load: 0.25, expires_at: 102.5 };
    let balancer_records = [
        StateRecord::Instance(instance),
        StateRecord::Server(server.clone()),
        StateRecord::Server(ServerRecord { server: 2, quarantine: None, ..server }),
        StateRecord::Group(GroupRecord { group: 1, clients: 3.5, last_server: Some(4) }),
        StateRecord::Group(GroupRecord { group: 2, clients: 4.5, last_server: None }),
        StateRecord::Reservation(reservation(u64::MAX)),
        StateRecord::Connection(reservation(5)),
    ];
    let recovery_entries = [
        SnapshotEntry::LoadModel(LoadModel {
            mean_load: 0.2,
            load_samples: 12.0,
            log_setup_work: -4.5,
            setup_samples: 9.0,
        }),
        SnapshotEntry::ServerCapacity(ServerCapacity {
            server: 1,
            started_at: 95.0,
            factor: 1.25,
            slow_reported_at: Some(100.2),
            excluded_until: Some(103.5),
        }),
        SnapshotEntry::ServerCapacity(ServerCapacity {
            server: 2,
            started_at: 0.0,
            factor: 0.75,
            slow_reported_at: None,
            excluded_until: None,
        }),
    ];
    let entries = balancer_records.into_iter().map(SnapshotEntry::Balancer).chain(recovery_entries);
    (header, std::iter::once(Line::Endpoint(endpoint)).chain(entries.map(Line::State)).collect())
}

#[test]
fn a_snapshot_is_encoded_byte_for_byte_as_stored() {
    let (header, lines) = snapshot();
    let mut encoder = Encoder::begin(Vec::new(), &header).expect("writing to memory");
    for line in &lines {
        encoder.write_line(line).expect("writing to memory");
    }
    let (written, count) = encoder.finish().expect("writing to memory");
    assert_eq!(String::from_utf8_lossy(&written), String::from_utf8_lossy(STORED));
    assert_eq!((count, VERSION), (11, 1));
}

#[test]
fn a_stored_snapshot_is_decoded_to_the_same_header_and_lines() {
    let stored = decode::<SnapshotEntry>(STORED).expect("a valid snapshot");
    let (header, lines) = snapshot();
    let (mut endpoints, mut entries) = (Vec::new(), Vec::new());
    for line in lines {
        match line {
            Line::Endpoint(endpoint) => endpoints.push(endpoint),
            Line::State(entry) => entries.push(entry),
        }
    }
    assert_eq!((stored.list.index, stored.list.snapshot, stored.unknown_lines), (header.list_index, true, 0));
    assert_eq!((stored.header, stored.list.endpoints, stored.entries), (header, endpoints, entries));
}
