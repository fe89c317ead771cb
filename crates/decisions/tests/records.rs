//! Records of what outlives an instance, as their exact JSON text: versions beside this one read and write the same.

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
fn every_record_is_written_as_its_text() {
    let lines: Vec<String> =
        records().iter().map(|record| serde_json::to_string(record).expect("json")).collect();
    assert_eq!(lines, RECORDS.lines().collect::<Vec<_>>());
}

#[test]
fn every_record_is_read_from_its_text() {
    let read: Vec<StateRecord> =
        RECORDS.lines().map(|line| serde_json::from_str(line).expect("a record")).collect();
    assert_eq!(read, records());
}

/// Keys that an older version did not write.
#[test]
fn what_is_missing_from_a_record_gets_its_default() {
    let flow: StateRecord = serde_json::from_str(r#"{"flow":{}}"#).expect("a record");
    assert_eq!(flow, StateRecord::Instance(InstanceRecord::default()));
    let place: StateRecord =
        serde_json::from_str(r#"{"place":{"key":9,"server":42,"load":0.3}}"#).expect("a record");
    assert_eq!(
        place,
        StateRecord::Reservation(ReservationRecord { key: 9, server: 42, load: 0.3, expires_at: 0.0 })
    );
}
