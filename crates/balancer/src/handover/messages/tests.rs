//! Tests of the module that these stand beside.

use shorewharf_decisions::memory::{Flow, Known, KnownServer, Place};
use shorewharf_protocol::endpoint_list::Endpoint;
use shorewharf_recovery::snapshot_state::{LoadModel, ServerCapacity};

use super::*;

#[test]
fn lines_come_out_one_by_one_and_tell_what_was_said() {
    let mut inbox = [held(17).as_bytes(), LEAVES, b"\nHEL"].concat();
    assert_eq!(line(&mut inbox).as_deref().and_then(read_held), Some(17));
    assert_eq!(line(&mut inbox).as_deref(), Some(LEAVES));
    assert_eq!((line(&mut inbox), inbox.as_slice()), (None, &b"HEL"[..]));
    assert_eq!([&b"HELD"[..], b"HELD x", b"HELD -1"].map(read_held), [None; 3]);
}

/// The bytes that a process of this version writes, and reads from the one before it: stored names are not the code's to change.
macro_rules! fixture {
    ($name:literal) => {
        include_str!(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures/handover/", $name))
    };
}

/// A list with a server that has every field set, and one with none that may be left out.
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

/// One of each thing that a module knows.
fn learned() -> Vec<SnapshotEntry> {
    let place = Place { key: 11, server: 7, load: 0.75, until: 1_764_747_090.5 };
    vec![
        SnapshotEntry::Balancer(Known::Flow(Flow {
            seen: 12.5,
            rate: 3.25,
            span: 4.5,
            moves: 0.5,
            mean: 1.75,
            class_load: vec![0.25, 2.0],
            pace: 40.5,
        })),
        SnapshotEntry::Balancer(Known::Server(KnownServer {
            server: 7,
            born: 1_764_740_000.5,
            health: 0.875,
            spent_until: 1_764_747_001.5,
            locked: Some((1_764_747_002.5, 0.25)),
            entries: 6.5,
            drops: 1.5,
        })),
        SnapshotEntry::Balancer(Known::Group { group: 9, seen: 2.5, last: Some(7) }),
        SnapshotEntry::Balancer(Known::Place(place)),
        SnapshotEntry::Balancer(Known::Stands(Place { key: 12, ..place })),
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

fn estate() -> HandoverState {
    HandoverState {
        version: VERSION,
        listeners: 2,
        held: 512,
        known: servers(),
        memory: learned(),
        taken: 1_764_747_000_000_000,
    }
}

#[test]
fn the_first_line_is_written_and_read_byte_for_byte() {
    let text = fixture!("estate.jsonl");
    assert_eq!(serde_json::to_string(&estate()).expect("text") + "\n", text);
    assert_eq!(serde_json::from_str::<HandoverState>(text).expect("an estate"), estate());
    assert!(text.starts_with(r#"{"version":1,"#));
}

#[test]
fn the_first_line_of_a_process_without_memory_is_read() {
    let read: HandoverState =
        serde_json::from_str(fixture!("estate-without-memory.jsonl")).expect("an estate");
    assert_eq!(read, HandoverState { memory: Vec::new(), taken: 0, ..estate() });
}

/// A connection with all that may be left out, and bytes that are no text.
fn busy() -> EstablishedConnection {
    EstablishedConnection {
        client: "10.0.0.9:50123".parse().expect("an address"),
        server: 0xfedc_ba98_7654_3210,
        id: 0x9b1f_03aa_5c7e_2d41,
        class: "chat".into(),
        tenant: "acme".into(),
        key: 0x7f3a_9c21_e0b4_d655,
        group: 0x5c0f,
        hint: Some(0.25),
        load: Some(255_465.125),
        asked: Some(1_764_747_000_000_001),
        at_client: BufferedBytes {
            came: b"hello\r\nwor".to_vec(),
            seen: 7,
            said: b"MOVE\r\n".to_vec(),
            mid_line: true,
        },
        at_server: BufferedBytes {
            came: vec![0xff, 0x00, b'\n'],
            seen: 1,
            said: b"STATS\r\n".to_vec(),
            mid_line: true,
        },
    }
}

/// The same with nothing on its way.
fn quiet() -> EstablishedConnection {
    let nothing = BufferedBytes::default;
    EstablishedConnection {
        hint: None,
        load: None,
        asked: None,
        at_client: nothing(),
        at_server: nothing(),
        ..busy()
    }
}

#[test]
fn a_standing_connection_is_written_and_read_byte_for_byte() {
    let in_part = BufferedBytes { said: b"MOVE\r\n".to_vec(), ..BufferedBytes::default() };
    for (standing, line) in [
        (busy(), fixture!("standing.txt")),
        (quiet(), fixture!("standing-quiet.txt")),
        (EstablishedConnection { at_client: in_part, ..quiet() }, fixture!("standing-in-part.txt")),
    ] {
        assert_eq!(String::from_utf8(standing.line()).expect("text"), line);
        let read = EstablishedConnection::read(line.trim_end().as_bytes())
            .expect("such a line")
            .expect("a connection");
        assert_eq!(read, standing);
    }
    assert!(EstablishedConnection::read(b"HELD 17").is_none());
}

#[test]
fn the_short_lines_are_written_and_read_byte_for_byte() {
    let lines =
        [SERVES, TAKES, ENDS, KEEPS, LEAVES].map(|line| String::from_utf8_lossy(line).into_owned() + "\n");
    let text = lines.concat() + &held(1024) + &took(17);
    assert_eq!(text, fixture!("short-lines.txt"));
    assert_eq!((read_held(b"HELD 1024"), read_took(b"TOOK 17")), (Some(1024), Some(17)));
}
