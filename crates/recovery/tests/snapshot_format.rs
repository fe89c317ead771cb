//! The bytes of a snapshot as they are on disk: a renamed field or variant must not change what is stored, since the
//! next version has to read what this one wrote.

use serde_json::json;
use shorewharf_decisions::memory::{Flow, Known, KnownServer, Place};
use shorewharf_protocol::endpoint_list::Endpoint;
use shorewharf_recovery::snapshot_state::{LoadModel, ServerCapacity, SnapshotEntry};
use shorewharf_snapshot::record::{Encoder, Head, Line, VERSION, decode};

const STORED: &[u8] = include_bytes!("fixtures/every-line.snapshot");

/// A record that holds every kind of line, with every optional field both set and unset.
fn record() -> (Head, Vec<Line<SnapshotEntry>>) {
    let head = Head {
        snapshot: VERSION,
        balancer: "n1".into(),
        worker: 1,
        workers: 4,
        taken: 1_800_000_000,
        index: 7,
    };
    let endpoint = json!({"name": "s-1", "address": "127.0.0.1:1", "zone": "z", "type": "large", "group": 3,
        "status": "Ready", "weight": 2.5, "since_ms": 12.5});
    let endpoint: Endpoint = serde_json::from_value(endpoint).expect("an endpoint");
    let flow = Flow {
        seen: 12.5,
        rate: 3.25,
        span: 1.5,
        moves: 58.0,
        mean: 0.2,
        class_load: vec![0.3, 0.7],
        pace: 50.0,
    };
    let server = KnownServer {
        server: 1,
        born: 95.0,
        health: 0.6,
        spent_until: 101.4,
        locked: Some((101.5, 1.25)),
        entries: 4.0,
        drops: 1.5,
    };
    let place = |key| Place { key, server: 4, load: 0.25, until: 102.5 };
    let known = [
        Known::Flow(flow),
        Known::Server(server.clone()),
        Known::Server(KnownServer { server: 2, locked: None, ..server }),
        Known::Group { group: 1, seen: 3.5, last: Some(4) },
        Known::Group { group: 2, seen: 4.5, last: None },
        Known::Place(place(u64::MAX)),
        Known::Stands(place(5)),
    ];
    let learned = [
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
    let known = known.into_iter().map(SnapshotEntry::Balancer).chain(learned).map(Line::Known);
    (head, std::iter::once(Line::Endpoint(endpoint)).chain(known).collect())
}

#[test]
fn a_record_is_written_byte_for_byte_as_stored_ones_are() {
    let (head, lines) = record();
    let mut encoder = Encoder::begin(Vec::new(), &head).expect("memory");
    for line in &lines {
        encoder.line(line).expect("memory");
    }
    let (written, count) = encoder.end().expect("memory");
    assert_eq!(String::from_utf8_lossy(&written), String::from_utf8_lossy(STORED));
    assert_eq!((count, VERSION), (11, 1));
}

#[test]
fn a_stored_record_is_read_back_as_what_was_written() {
    let stored = decode::<SnapshotEntry>(STORED).expect("a good record");
    let (head, lines) = record();
    let (mut endpoints, mut known) = (Vec::new(), Vec::new());
    for line in lines {
        match line {
            Line::Endpoint(endpoint) => endpoints.push(endpoint),
            Line::Known(learned) => known.push(learned),
        }
    }
    assert_eq!((stored.list.index, stored.list.snapshot, stored.unknown), (head.index, true, 0));
    assert_eq!((stored.head, stored.list.endpoints, stored.known), (head, endpoints, known));
}
