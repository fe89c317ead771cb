//! Export and restore of learned state: what a new instance takes over from an old one, and what it must
//! reject.

mod common;
use common::{
    TestInstance, attempted_server, endpoint_list, entry, is_failed, is_rejected, record_timers, request,
    settings,
};
use proptest::prelude::*;
use shorewharf_decisions::interface::{Event, Outcome, Request, ServerEntry, ServerId};
use shorewharf_decisions::persistence::{
    ExportCursor, GroupRecord, InstanceRecord, QuarantineRecord, ReservationRecord, RestoreCounts,
    ServerRecord, StateRecord,
};

fn export_all(instance: &TestInstance, limit: usize) -> Vec<StateRecord> {
    let (mut records, mut cursor) = (Vec::new(), ExportCursor::default());
    while cursor != ExportCursor::End {
        let before = records.len();
        cursor = instance.balancer.export_state(cursor, limit, &mut records);
        assert!(
            records.len() <= before + limit,
            "a portion of {limit} has {} records",
            records.len() - before
        );
    }
    records
}

/// Starts another instance `age` seconds later with the same servers listed, and restores the state into it.
fn restore_after(instance: &TestInstance, age: f64, server_count: u64) -> (TestInstance, RestoreCounts) {
    let records = export_all(instance, 64);
    let mut restored = TestInstance::new(settings(), server_count);
    restored.now = instance.now + age;
    let counts = restored.balancer.restore(restored.now, age, true, &records);
    (restored, counts)
}

/// An instance that has learned something of every kind that is exported.
fn instance_with_state() -> TestInstance {
    let mut instance = TestInstance::new(settings(), 12);
    for id in 0..40 {
        instance.connect(Request { group: u64::from(id % 5) + 70, load: Some(0.1), ..request(id, 100.0) });
    }
    for id in 100..120 {
        if let Some(server) = instance.connect(request(id, 100.0)) {
            instance.end_attempt(id, server, 0, Outcome::Ok);
        }
    }
    instance.handle(Event::MessageDelay { server: ServerId(3), delay: 0.09 });
    instance
}

#[test]
fn portions_of_any_size_export_the_same_records() {
    let instance = instance_with_state();
    let all_records = export_all(&instance, 100_000);
    let count =
        |is_kind: fn(&StateRecord) -> bool| all_records.iter().filter(|record| is_kind(record)).count();
    assert_eq!(count(|record| matches!(record, StateRecord::Instance(_))), 1);
    assert_eq!(count(|record| matches!(record, StateRecord::Server(_))), 12);
    assert_eq!(count(|record| matches!(record, StateRecord::Group(_))), 5);
    assert!(
        count(|record| matches!(record, StateRecord::Reservation(_))) > 10
            && count(|record| matches!(record, StateRecord::Connection(_))) > 20
    );
    for limit in [1, 2, 5, 12, 13, 40] {
        assert_eq!(export_all(&instance, limit), all_records, "portions of {limit}");
    }
}

#[test]
fn a_client_that_was_connected_or_has_just_left_returns_to_its_server() {
    let mut instance = TestInstance::new(settings(), 30);
    let connected = instance.connect(request(1, 100.0)).expect("an attempt begins");
    let left = instance.connect(request(2, 100.0)).expect("an attempt begins");
    instance.end_attempt(2, left, 0, Outcome::Ok);
    let (mut restored, counts) = restore_after(&instance, 0.4, 30);
    assert!(counts.restored >= 32 && counts.invalid == 0, "{counts:?}");
    for (key, server) in [(1001, connected), (1002, left)] {
        let returning = Request { key, is_returning: true, ..request(500 + key as u32, restored.now) };
        assert_eq!(restored.connect(returning), Some(server));
    }
    // A successor that takes over the connections themselves does not expect their clients to reconnect.
    let mut successor = TestInstance::new(settings(), 30);
    successor.balancer.restore(100.4, 0.4, false, &export_all(&instance, 64));
    assert!(
        !export_all(&successor, 64)
            .iter()
            .any(|record| matches!(record, StateRecord::Reservation(reservation) if reservation.key == 1001))
    );
}

#[test]
fn the_quarantine_of_a_server_is_restored_unless_the_server_has_restarted_or_is_not_listed() {
    let mut instance = TestInstance::new(settings(), 2);
    let server = attempted_server(&instance.receive(request(1, 100.0))).expect("an attempt begins");
    instance.end_attempt(1, server, 0, Outcome::ConnectFailed);
    let other = ServerId(3 - server.0);
    let (mut restored, _) = restore_after(&instance, 0.2, 2);
    let used_servers = |instance: &mut TestInstance| {
        (700..720).filter_map(|id| instance.connect(request(id, instance.now))).collect::<Vec<_>>()
    };
    assert!(
        used_servers(&mut restored).iter().all(|used| *used == other),
        "the quarantined server gets nothing"
    );
    let mut after_restart = TestInstance::new(settings(), 2);
    after_restart
        .handle(endpoint_list(&[ServerEntry { started_at: 100.1, ..entry(server.0) }, entry(other.0)]));
    after_restart.now = 150.0;
    let counts = after_restart.balancer.restore(150.0, 0.2, true, &export_all(&instance, 64));
    assert!(counts.outdated == 1 && used_servers(&mut after_restart).contains(&server), "{counts:?}");
    let mut without_server = TestInstance::new(settings(), 1);
    let counts = without_server.balancer.restore(100.2, 0.2, true, &export_all(&instance, 64));
    assert_eq!(counts.outdated, 1, "one server is not listed");
}

#[test]
fn restored_values_have_decayed_by_their_age() {
    let instance = instance_with_state();
    let health = |records: &[StateRecord]| {
        records.iter().find_map(|record| match record {
            StateRecord::Server(server) if server.server == 3 => Some(server.health),
            _ => None,
        })
    };
    let groups = |records: &[StateRecord]| {
        records.iter().filter(|record| matches!(record, StateRecord::Group(_))).count()
    };
    let before = export_all(&instance, 64);
    assert!(health(&before).expect("listed") < 0.7 && groups(&before) == 5);
    let soon = export_all(&restore_after(&instance, 1.0, 12).0, 64);
    let late = export_all(&restore_after(&instance, 500.0, 12).0, 64);
    assert!(health(&soon).expect("listed") < 0.75 && groups(&soon) == 5);
    assert!(health(&late).expect("listed") > 0.99 && groups(&late) == 0, "{:?}", health(&late));
    let reservations = |records: &[StateRecord]| {
        records.iter().filter(|record| matches!(record, StateRecord::Reservation(_))).count()
    };
    assert!(reservations(&soon) > 10 && reservations(&late) == 0);
}

/// Found by fuzzing: the capacity of a cold server is divided by the mean load, and with a tiny mean load the
/// result was not a number.
#[test]
fn an_invalid_mean_load_is_rejected() {
    let mut instance = TestInstance::new(settings(), 2);
    let records = [
        StateRecord::Instance(InstanceRecord {
            mean_load: 1e-300,
            arrival_seconds: 1.0,
            setups_per_second: 50.0,
            ..InstanceRecord::default()
        }),
        StateRecord::Reservation(ReservationRecord { key: 5, server: 1, load: 1e300, expires_at: 101.0 }),
    ];
    assert_eq!(
        instance.balancer.restore(100.0, 0.1, true, &records),
        RestoreCounts { invalid: 2, ..RestoreCounts::default() }
    );
}

fn any_number() -> impl Strategy<Value = f64> + Clone {
    prop_oneof![
        Just(f64::NAN),
        Just(f64::INFINITY),
        Just(f64::NEG_INFINITY),
        Just(-1.0),
        Just(0.0),
        Just(1e300),
        Just(1e-300),
        0.0..2.0f64,
        90.0..200.0f64,
    ]
}

fn any_record() -> impl Strategy<Value = StateRecord> {
    let ids = 0u64..5;
    let reservation = (0u64..9, ids.clone(), any_number(), any_number())
        .prop_map(|(key, server, load, expires_at)| ReservationRecord { key, server, load, expires_at });
    let instance = (prop::collection::vec(any_number(), 6), prop::collection::vec(any_number(), 0..3))
        .prop_map(|(numbers, class_loads)| {
            StateRecord::Instance(InstanceRecord {
                total_clients: numbers[0],
                arrivals: numbers[1],
                arrival_seconds: numbers[2],
                migration_credit: numbers[3],
                mean_load: numbers[4],
                class_loads,
                setups_per_second: numbers[5],
            })
        });
    let server = (ids.clone(), prop::collection::vec(any_number(), 7), any::<bool>()).prop_map(
        |(server, numbers, is_quarantined)| {
            let quarantine =
                is_quarantined.then_some(QuarantineRecord { trial_at: numbers[3], backoff: numbers[4] });
            StateRecord::Server(ServerRecord {
                server,
                started_at: if numbers[0] < 1.0 { 0.0 } else { numbers[0] },
                health: numbers[1],
                unavailable_until: numbers[2],
                quarantine,
                warm_up_admissions: numbers[5],
                recent_resets: numbers[6],
            })
        },
    );
    let group = (0u64..9, any_number(), prop::option::of(ids)).prop_map(|(group, clients, last_server)| {
        StateRecord::Group(GroupRecord { group, clients, last_server })
    });
    prop_oneof![
        instance,
        server,
        group,
        reservation.clone().prop_map(StateRecord::Reservation),
        reservation.prop_map(StateRecord::Connection)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(23), ..ProptestConfig::default() })]

    #[test]
    fn any_record_leaves_numbers_in_range_and_requests_answered(
        records in prop::collection::vec(any_record(), 0..30),
        age in prop_oneof![Just(0.0), Just(f64::MAX), 0.0..700.0f64],
    ) {
        let mut instance = TestInstance::new(settings(), 4);
        let counts = instance.balancer.restore(instance.now, age, true, &records);
        prop_assert!(counts.restored + counts.outdated + counts.expired + counts.invalid == records.len());
        for record in export_all(&instance, 3) {
            match record {
                StateRecord::Server(server) => {
                    prop_assert!(server.health > 0.0 && server.health <= 1.0, "{server:?}");
                    prop_assert!(server.warm_up_admissions >= 0.0 && server.recent_resets >= 0.0, "{server:?}");
                    // No server is kept out of service for longer than a running instance would keep it.
                    prop_assert!(server.unavailable_until <= instance.now + 10.0, "{server:?}");
                    let is_short = |quarantine: QuarantineRecord| {
                        quarantine.trial_at <= instance.now + 10.0 && quarantine.backoff <= 10.0
                    };
                    prop_assert!(server.quarantine.is_none_or(is_short), "{server:?}");
                }
                StateRecord::Instance(state) => {
                    let values = [
                        state.total_clients,
                        state.arrivals,
                        state.arrival_seconds,
                        state.migration_credit,
                        state.mean_load,
                        state.setups_per_second,
                    ];
                    prop_assert!(values.iter().all(|value| value.is_finite() && *value >= 0.0), "{state:?}");
                    prop_assert!(state.arrival_seconds >= 1.0 && state.setups_per_second >= 0.2, "{state:?}");
                }
                StateRecord::Group(group) => prop_assert!(group.clients.is_finite() && group.clients > 0.0),
                StateRecord::Reservation(reservation) => {
                    prop_assert!(reservation.expires_at <= instance.now + 3.001, "{reservation:?}");
                }
                StateRecord::Connection(_) => prop_assert!(false, "there are no connections"),
            }
        }
        let mut timers = Vec::new();
        let actions = instance.receive(request(900, instance.now));
        record_timers(&actions, instance.now, &mut timers);
        let actions = [actions, instance.advance_to(&mut timers, 103.0)].concat();
        prop_assert!(attempted_server(&actions).is_some() || is_rejected(&actions) || is_failed(&actions));
    }
}
