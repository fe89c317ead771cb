//! Records of what outlives an instance, as their exact JSON text: versions beside this one read and write the same.

use shorewharf_decisions::memory::*;

const RECORDS: &str = include_str!("fixtures/records.json");

fn records() -> Vec<Known> {
    vec![
        Known::Flow(Flow {
            seen: 1.5,
            rate: 2.5,
            span: 3.5,
            moves: 4.5,
            mean: 0.5,
            class_load: vec![0.25, 0.0],
            pace: 50.0,
        }),
        Known::Server(KnownServer {
            server: 42,
            born: 12.25,
            health: 0.6,
            spent_until: 101.5,
            locked: Some((102.5, 0.75)),
            entries: 3.0,
            drops: 1.25,
        }),
        Known::Server(KnownServer {
            server: 18_446_744_073_709_551_615,
            born: 0.0,
            health: 1.0,
            spent_until: 0.0,
            locked: None,
            entries: 0.0,
            drops: 0.0,
        }),
        Known::Group { group: 7, seen: 0.125, last: Some(42) },
        Known::Group { group: 8, seen: 2.0, last: None },
        Known::Place(Place { key: 9, server: 42, load: 0.3, until: 103.5 }),
        Known::Stands(Place { key: 10, server: 43, load: 0.4, until: 0.0 }),
    ]
}

#[test]
fn every_record_is_written_as_its_text() {
    let lines: Vec<String> =
        records().iter().map(|record| serde_json::to_string(record).expect("json")).collect();
    assert_eq!(lines, RECORDS.lines().collect::<Vec<_>>());
}

#[test]
fn every_record_is_read_from_its_text() {
    let read: Vec<Known> =
        RECORDS.lines().map(|line| serde_json::from_str(line).expect("a record")).collect();
    assert_eq!(read, records());
}

/// Keys that an older version did not write.
#[test]
fn what_is_missing_from_a_record_gets_its_default() {
    let flow: Known = serde_json::from_str(r#"{"flow":{}}"#).expect("a record");
    assert_eq!(flow, Known::Flow(Flow::default()));
    let place: Known =
        serde_json::from_str(r#"{"place":{"key":9,"server":42,"load":0.3}}"#).expect("a record");
    assert_eq!(place, Known::Place(Place { key: 9, server: 42, load: 0.3, until: 0.0 }));
}
