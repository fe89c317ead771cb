//! The exact JSON text of exported records: other versions of the program read and write the same text.

use shorewharf_decisions::persistence::{
    GroupRecord, InstanceRecord, QuarantineRecord, ReservationRecord, ServerRecord, StateRecord,
};

const RECORDS: &str = include_str!("fixtures/records.json");

fn records() -> Vec<StateRecord> {
    vec![
        StateRecord::Instance(InstanceRecord {
            total_clients: 1.5,
            arrivals: 2.5,
            arrival_seconds: 3.5,
            migration_credit: 4.5,
            mean_load: 0.5,
            class_loads: vec![0.25, 0.0],
            setups_per_second: 50.0,
        }),
        StateRecord::Server(ServerRecord {
            server: 42,
            started_at: 12.25,
            health: 0.6,
            unavailable_until: 101.5,
            quarantine: Some(QuarantineRecord { trial_at: 102.5, backoff: 0.75 }),
            warm_up_admissions: 3.0,
            recent_resets: 1.25,
        }),
        StateRecord::Server(ServerRecord {
            server: 18_446_744_073_709_551_615,
            started_at: 0.0,
            health: 1.0,
            unavailable_until: 0.0,
            quarantine: None,
            warm_up_admissions: 0.0,
            recent_resets: 0.0,
        }),
        StateRecord::Group(GroupRecord { group: 7, clients: 0.125, last_server: Some(42) }),
        StateRecord::Group(GroupRecord { group: 8, clients: 2.0, last_server: None }),
        StateRecord::Reservation(ReservationRecord { key: 9, server: 42, load: 0.3, expires_at: 103.5 }),
        StateRecord::Connection(ReservationRecord { key: 10, server: 43, load: 0.4, expires_at: 0.0 }),
    ]
}

#[test]
fn every_record_is_serialized_as_its_json_text() {
    let lines: Vec<String> =
        records().iter().map(|record| serde_json::to_string(record).expect("json")).collect();
    assert_eq!(lines, RECORDS.lines().collect::<Vec<_>>());
}

#[test]
fn every_record_is_deserialized_from_its_json_text() {
    let read: Vec<StateRecord> =
        RECORDS.lines().map(|line| serde_json::from_str(line).expect("a record")).collect();
    assert_eq!(read, records());
}

/// Guards the reading of records by an older version, which did not write all keys.
#[test]
fn keys_missing_from_a_record_get_their_defaults() {
    let instance: StateRecord = serde_json::from_str(r#"{"flow":{}}"#).expect("a record");
    assert_eq!(instance, StateRecord::Instance(InstanceRecord::default()));
    let reservation: StateRecord =
        serde_json::from_str(r#"{"place":{"key":9,"server":42,"load":0.3}}"#).expect("a record");
    assert_eq!(
        reservation,
        StateRecord::Reservation(ReservationRecord { key: 9, server: 42, load: 0.3, expires_at: 0.0 })
    );
}
