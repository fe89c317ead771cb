//! Tests of the messages of a hand-over, byte for byte.

use shorewharf_decisions::persistence::{
    GroupRecord, InstanceRecord, QuarantineRecord, ReservationRecord, ServerRecord, StateRecord,
};
use shorewharf_protocol::endpoint_list::Endpoint;
use shorewharf_recovery::snapshot_state::{LoadModel, ServerCapacity};

use super::*;

#[test]
fn lines_are_taken_one_by_one_and_parsed_strictly() {
    let mut inbox = b"HELD 17\nLEAVES\nHEL".to_vec();
    let mut next = || take_line(&mut inbox).map(|line| PredecessorMessage::parse(&line).expect("no JSON"));
    assert_eq!(next(), Some(Some(PredecessorMessage::Descriptors(17))));
    assert_eq!(next(), Some(Some(PredecessorMessage::Draining)));
    assert_eq!(next(), None);
    assert_eq!(inbox, b"HEL");
    for line in [&b"HELD"[..], b"HELD x", b"HELD -1", b"LEAVES 1", b"KEEPS ", b""] {
        assert!(matches!(PredecessorMessage::parse(line), Ok(None)), "{line:?}");
    }
    for line in [&b"TAKES"[..], b"TAKES 1", b"TOOK", b"TOOK x", b"serves"] {
        assert_eq!(SuccessorMessage::parse(line), None, "{line:?}");
    }
}

/// The bytes that a process of this version writes, and reads from a process of the previous version. The
/// names in them must not change when names in the code do.
macro_rules! fixture {
    ($name:literal) => {
        include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/handover/", $name))
    };
}

/// A list with a server that has every field set, and one without any optional field.
fn servers() -> EndpointList {
    let full = Endpoint {
        name: "s-5be2a07c".into(),
        address: "10.1.0.7:9000".into(),
        zone: "zone-b".into(),
        kind: "large".into(),
        group: 3,
        status: "Terminating".into(),
        weight: 2.5,
        since_ms: 1_764_747_000_123.0,
    };
    let bare = Endpoint {
        name: "s-1".into(),
        address: "10.1.0.8:9000".into(),
        zone: String::new(),
        kind: String::new(),
        group: 0,
        status: "Ready".into(),
        weight: 1.0,
        since_ms: 0.0,
    };
    EndpointList { index: 41, snapshot: true, endpoints: vec![full, bare] }
}

/// One entry of each kind of learned state.
fn learned() -> Vec<SnapshotEntry> {
    let reservation = ReservationRecord { key: 11, server: 7, load: 0.75, expires_at: 1_764_747_090.5 };
    vec![
        SnapshotEntry::Balancer(StateRecord::Instance(InstanceRecord {
            total_clients: 12.5,
            arrivals: 3.25,
            arrival_seconds: 4.5,
            migration_credit: 0.5,
            mean_load: 1.75,
            class_loads: vec![0.25, 2.0],
            setups_per_second: 40.5,
        })),
        SnapshotEntry::Balancer(StateRecord::Server(ServerRecord {
            server: 7,
            started_at: 1_764_740_000.5,
            health: 0.875,
            unavailable_until: 1_764_747_001.5,
            quarantine: Some(QuarantineRecord { trial_at: 1_764_747_002.5, backoff: 0.25 }),
            warm_up_admissions: 6.5,
            recent_resets: 1.5,
        })),
        SnapshotEntry::Balancer(StateRecord::Group(GroupRecord {
            group: 9,
            clients: 2.5,
            last_server: Some(7),
        })),
        SnapshotEntry::Balancer(StateRecord::Reservation(reservation)),
        SnapshotEntry::Balancer(StateRecord::Connection(ReservationRecord { key: 12, ..reservation })),
        SnapshotEntry::LoadModel(LoadModel {
            mean_load: 1.5,
            load_samples: 20.5,
            log_setup_work: -0.5,
            setup_samples: 30.5,
        }),
        SnapshotEntry::ServerCapacity(ServerCapacity {
            server: 7,
            started_at: 1_764_740_000.5,
            factor: 1.25,
            slow_reported_at: Some(1_764_747_003.5),
            excluded_until: Some(1_764_747_004.5),
        }),
    ]
}

fn state() -> HandoverState {
    HandoverState {
        version: VERSION,
        listener_count: 2,
        descriptors: 512,
        endpoints: servers(),
        learned: learned(),
        exported_at: 1_764_747_000_000_000,
        open_ids: Vec::new(),
        retained_ids: Vec::new(),
        syncs_ids: false,
    }
}

#[test]
fn the_hand_over_state_is_written_and_read_byte_for_byte() {
    let text = fixture!("state.jsonl");
    assert_eq!(serde_json::to_string(&state()).expect("text") + "\n", text);
    assert_eq!(serde_json::from_str::<HandoverState>(text).expect("a state"), state());
    assert!(text.starts_with(r#"{"version":1,"#));
}

/// A process of the version before reads a state with ids as one without, and writes no ids.
#[test]
fn the_open_ids_of_a_hand_over_state_are_written_only_if_there_are_any() {
    let state =
        HandoverState { open_ids: vec![5, u64::MAX], retained_ids: vec![7], syncs_ids: true, ..state() };
    let text = serde_json::to_string(&state).expect("text");
    assert!(text.ends_with(r#","open":[5,18446744073709551615],"retained":[7],"syncs":true}"#), "{text}");
    assert_eq!(serde_json::from_str::<HandoverState>(&text).expect("a state"), state);
    let before = serde_json::from_str::<HandoverState>(fixture!("state.jsonl")).expect("a state");
    assert!(before.open_ids.is_empty() && before.retained_ids.is_empty() && !before.syncs_ids);
}

#[test]
fn changes_of_open_ids_are_written_and_read_by_both_processes() {
    for (change, line) in [
        (OpenIdMessage::Opened(u64::MAX), "OPENED 18446744073709551615\n"),
        (OpenIdMessage::Closed(7), "CLOSED 7\n"),
        (OpenIdMessage::Retained(8), "RETAINED 8\n"),
        (OpenIdMessage::SyncRequest(9), "SYNC 9\n"),
        (OpenIdMessage::SyncReply(9), "SYNCED 9\n"),
    ] {
        let (old, new) = (PredecessorMessage::OpenIdMessage(change), SuccessorMessage::OpenIdMessage(change));
        assert_eq!([old.to_string(), new.to_string()], [line, line]);
        assert_eq!(PredecessorMessage::parse(line.trim_end().as_bytes()).expect("no JSON"), Some(old));
        assert_eq!(SuccessorMessage::parse(line.trim_end().as_bytes()), Some(new));
    }
    for line in [&b"OPENED"[..], b"OPENED x", b"CLOSED -1"] {
        assert_eq!(SuccessorMessage::parse(line), None, "{line:?}");
    }
}

#[test]
fn a_hand_over_state_without_learned_state_is_read() {
    let read: HandoverState = serde_json::from_str(fixture!("state-without-learned.jsonl")).expect("a state");
    assert_eq!(read, HandoverState { learned: Vec::new(), exported_at: 0, ..state() });
}

/// A connection with every optional field, and buffered bytes that are not valid text.
fn busy() -> EstablishedConnection {
    EstablishedConnection {
        client: "10.0.0.9:50123".parse().expect("an address"),
        server: 0xfedc_ba98_7654_3210,
        open_id: 0x9b1f_03aa_5c7e_2d41,
        class: "chat".into(),
        tenant: "acme".into(),
        key: 0x7f3a_9c21_e0b4_d655,
        group: 0x5c0f,
        load_hint: Some(0.25),
        load: Some(255_465.125),
        unanswered_since: Some(1_764_747_000_000_001),
        client_buffers: BufferedBytes {
            received: b"hello\r\nwor".to_vec(),
            examined: 7,
            unsent: b"MOVE\r\n".to_vec(),
            mid_line: true,
        },
        server_buffers: BufferedBytes {
            received: vec![0xff, 0x00, b'\n'],
            examined: 1,
            unsent: b"STATS\r\n".to_vec(),
            mid_line: true,
        },
    }
}

/// The connection of `busy` without optional loads and buffered bytes.
fn quiet() -> EstablishedConnection {
    let nothing = BufferedBytes::default;
    EstablishedConnection {
        load_hint: None,
        load: None,
        unanswered_since: None,
        client_buffers: nothing(),
        server_buffers: nothing(),
        ..busy()
    }
}

#[test]
fn an_established_connection_is_written_and_read_byte_for_byte() {
    let partly_buffered = BufferedBytes { unsent: b"MOVE\r\n".to_vec(), ..BufferedBytes::default() };
    for (connection, line) in [
        (busy(), fixture!("connection.txt")),
        (quiet(), fixture!("connection-quiet.txt")),
        (
            EstablishedConnection { client_buffers: partly_buffered, ..quiet() },
            fixture!("connection-in-part.txt"),
        ),
    ] {
        let message = PredecessorMessage::Connection(Box::new(connection));
        assert_eq!(message.to_string(), line);
        let read = PredecessorMessage::parse(line.trim_end().as_bytes()).expect("JSON");
        assert_eq!(read, Some(message));
    }
    assert!(PredecessorMessage::parse(b"STANDS {}").is_err());
}

#[test]
fn the_short_lines_are_written_and_read_byte_for_byte() {
    let successor = [
        SuccessorMessage::Serving,
        SuccessorMessage::AcceptsConnections,
        SuccessorMessage::Terminate,
        SuccessorMessage::Acknowledged(17),
    ];
    let predecessor = [
        PredecessorMessage::KeepsUnacknowledged,
        PredecessorMessage::Draining,
        PredecessorMessage::Descriptors(1024),
    ];
    let [serving, accepts, terminate, acknowledged] = successor.map(|message| message.to_string());
    let [keeps, draining, descriptors] = predecessor.clone().map(|message| message.to_string());
    let text =
        [&serving, &accepts, &terminate, &keeps, &draining, &descriptors, &acknowledged].map(String::as_str);
    assert_eq!(text.concat(), fixture!("short-lines.txt"));
    for message in successor {
        assert_eq!(SuccessorMessage::parse(message.to_string().trim_end().as_bytes()), Some(message));
    }
    for message in predecessor {
        let line = message.to_string();
        assert_eq!(PredecessorMessage::parse(line.trim_end().as_bytes()).expect("no JSON"), Some(message));
    }
}
