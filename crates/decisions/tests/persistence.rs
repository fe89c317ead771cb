//! What outlives an instance: what the next one restores of it, and what it must not.

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

fn export_all(instance: &TestInstance, most: usize) -> Vec<StateRecord> {
    let (mut known, mut at) = (Vec::new(), ExportCursor::default());
    while at != ExportCursor::End {
        let before = known.len();
        at = instance.balancer.export_state(at, most, &mut known);
        assert!(known.len() <= before + most, "a portion of {most} has {}", known.len() - before);
    }
    known
}

/// The next instance, `past` seconds later, with the same servers listed.
fn next(instance: &TestInstance, past: f64, servers: u64) -> (TestInstance, RestoreCounts) {
    let known = export_all(instance, 64);
    let mut next = TestInstance::new(settings(), servers);
    next.now = instance.now + past;
    let counts = next.balancer.restore(next.now, past, true, &known);
    (next, counts)
}

/// One that has learned something of everything.
fn learned() -> TestInstance {
    let mut instance = TestInstance::new(settings(), 12);
    for id in 0..40 {
        instance.connect(Request { group: u64::from(id % 5) + 70, load: Some(0.1), ..request(id, 100.0) });
    }
    for id in 100..120 {
        if let Some(at) = instance.connect(request(id, 100.0)) {
            instance.end_attempt(id, at, 0, Outcome::Ok);
        }
    }
    instance.handle(Event::MessageDelay { server: ServerId(3), delay: 0.09 });
    instance
}

#[test]
fn portions_of_any_size_are_the_same_memory() {
    let instance = learned();
    let whole = export_all(&instance, 100_000);
    let of = |kind: fn(&StateRecord) -> bool| whole.iter().filter(|k| kind(k)).count();
    assert_eq!(of(|k| matches!(k, StateRecord::Instance(_))), 1);
    assert_eq!(of(|k| matches!(k, StateRecord::Server(_))), 12);
    assert_eq!(of(|k| matches!(k, StateRecord::Group(_))), 5);
    assert!(
        of(|k| matches!(k, StateRecord::Reservation(_))) > 10
            && of(|k| matches!(k, StateRecord::Connection(_))) > 20
    );
    for most in [1, 2, 5, 12, 13, 40] {
        assert_eq!(export_all(&instance, most), whole, "portions of {most}");
    }
}

#[test]
fn a_client_that_stood_or_has_just_left_is_brought_to_its_server_again() {
    let mut instance = TestInstance::new(settings(), 30);
    let stood = instance.connect(request(1, 100.0)).expect("sent");
    let left = instance.connect(request(2, 100.0)).expect("sent");
    instance.end_attempt(2, left, 0, Outcome::Ok);
    let (mut next, counts) = next(&instance, 0.4, 30);
    assert!(counts.restored >= 32 && counts.invalid == 0, "{counts:?}");
    for (key, at) in [(1001, stood), (1002, left)] {
        let again = Request { key, is_returning: true, ..request(500 + key as u32, next.now) };
        assert_eq!(next.connect(again), Some(at));
    }
    // One that goes on with the connections has them by themselves: nobody is expected back.
    let mut successor = TestInstance::new(settings(), 30);
    successor.balancer.restore(100.4, 0.4, false, &export_all(&instance, 64));
    assert!(
        !export_all(&successor, 64)
            .iter()
            .any(|k| matches!(k, StateRecord::Reservation(place) if place.key == 1001))
    );
}

#[test]
fn a_server_that_could_not_be_reached_gets_nothing_until_a_trial_and_a_reborn_one_is_believed() {
    let mut instance = TestInstance::new(settings(), 2);
    let at = attempted_server(&instance.receive(request(1, 100.0))).expect("sent");
    instance.end_attempt(1, at, 0, Outcome::ConnectFailed);
    let other = ServerId(3 - at.0);
    let (mut knows, _) = next(&instance, 0.2, 2);
    let everywhere = |instance: &mut TestInstance| {
        (700..720).filter_map(|id| instance.connect(request(id, instance.now))).collect::<Vec<_>>()
    };
    assert!(everywhere(&mut knows).iter().all(|s| *s == other), "nothing goes where nobody answers");
    let mut anew = TestInstance::new(settings(), 2);
    anew.handle(endpoint_list(&[ServerEntry { started_at: 100.1, ..entry(at.0) }, entry(other.0)]));
    anew.now = 150.0;
    let counts = anew.balancer.restore(150.0, 0.2, true, &export_all(&instance, 64));
    assert!(counts.outdated == 1 && everywhere(&mut anew).contains(&at), "{counts:?}");
    let mut elsewhere = TestInstance::new(settings(), 1);
    let gone = elsewhere.balancer.restore(100.2, 0.2, true, &export_all(&instance, 64));
    assert_eq!(gone.outdated, 1, "one is not listed");
}

#[test]
fn what_fades_has_faded_by_as_much() {
    let instance = learned();
    let health = |known: &[StateRecord]| {
        known.iter().find_map(|k| match k {
            StateRecord::Server(s) if s.server == 3 => Some(s.health),
            _ => None,
        })
    };
    let groups = |known: &[StateRecord]| known.iter().filter(|k| matches!(k, StateRecord::Group(_))).count();
    let before = export_all(&instance, 64);
    assert!(health(&before).expect("listed") < 0.7 && groups(&before) == 5);
    let soon = export_all(&next(&instance, 1.0, 12).0, 64);
    let late = export_all(&next(&instance, 500.0, 12).0, 64);
    assert!(health(&soon).expect("listed") < 0.75 && groups(&soon) == 5);
    assert!(health(&late).expect("listed") > 0.99 && groups(&late) == 0, "{:?}", health(&late));
    let places =
        |known: &[StateRecord]| known.iter().filter(|k| matches!(k, StateRecord::Reservation(_))).count();
    assert!(places(&soon) > 10 && places(&late) == 0);
}

/// Found by fuzzing: what a cold server may take is divided by the mean load, and was no number from there on.
#[test]
fn a_mean_load_that_no_connection_can_have_is_not_believed() {
    let mut instance = TestInstance::new(settings(), 2);
    let known = [
        StateRecord::Instance(InstanceRecord {
            mean_load: 1e-300,
            arrival_seconds: 1.0,
            setups_per_second: 50.0,
            ..InstanceRecord::default()
        }),
        StateRecord::Reservation(ReservationRecord { key: 5, server: 1, load: 1e300, expires_at: 101.0 }),
    ];
    assert_eq!(
        instance.balancer.restore(100.0, 0.1, true, &known),
        RestoreCounts { invalid: 2, ..RestoreCounts::default() }
    );
}

fn number() -> impl Strategy<Value = f64> + Clone {
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

fn known() -> impl Strategy<Value = StateRecord> {
    let ids = 0u64..5;
    let place = (0u64..9, ids.clone(), number(), number())
        .prop_map(|(key, server, load, until)| ReservationRecord { key, server, load, expires_at: until });
    let flow = (prop::collection::vec(number(), 6), prop::collection::vec(number(), 0..3)).prop_map(
        |(n, class_load)| {
            StateRecord::Instance(InstanceRecord {
                total_clients: n[0],
                arrivals: n[1],
                arrival_seconds: n[2],
                migration_credit: n[3],
                mean_load: n[4],
                class_loads: class_load,
                setups_per_second: n[5],
            })
        },
    );
    let server =
        (ids.clone(), prop::collection::vec(number(), 7), any::<bool>()).prop_map(|(server, n, locked)| {
            let quarantine = locked.then_some(QuarantineRecord { trial_at: n[3], backoff: n[4] });
            StateRecord::Server(ServerRecord {
                server,
                started_at: if n[0] < 1.0 { 0.0 } else { n[0] },
                health: n[1],
                unavailable_until: n[2],
                quarantine,
                warm_up_admissions: n[5],
                recent_resets: n[6],
            })
        });
    let group = (0u64..9, number(), prop::option::of(ids)).prop_map(|(group, clients, last_server)| {
        StateRecord::Group(GroupRecord { group, clients, last_server })
    });
    prop_oneof![
        flow,
        server,
        group,
        place.clone().prop_map(StateRecord::Reservation),
        place.prop_map(StateRecord::Connection)
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: proptest::test_runner::RngSeed::Fixed(23), ..ProptestConfig::default() })]

    #[test]
    fn whatever_a_record_says_numbers_stay_in_their_range_and_everybody_is_answered(
        known in prop::collection::vec(known(), 0..30),
        past in prop_oneof![Just(0.0), Just(f64::MAX), 0.0..700.0f64],
    ) {
        let mut instance = TestInstance::new(settings(), 4);
        let counts = instance.balancer.restore(instance.now, past, true, &known);
        prop_assert!(counts.restored + counts.outdated + counts.expired + counts.invalid == known.len());
        for k in export_all(&instance, 3) {
            match k {
                StateRecord::Server(s) => {
                    prop_assert!(s.health > 0.0 && s.health <= 1.0 && s.warm_up_admissions >= 0.0 && s.recent_resets >= 0.0, "{s:?}");
                    // Nothing is kept out for longer than a living instance would keep it.
                    prop_assert!(s.unavailable_until <= instance.now + 10.0, "{s:?}");
                    prop_assert!(s.quarantine.is_none_or(|q| q.trial_at <= instance.now + 10.0 && q.backoff <= 10.0), "{s:?}");
                }
                StateRecord::Instance(f) => {
                    let all = [f.total_clients, f.arrivals, f.arrival_seconds, f.migration_credit, f.mean_load, f.setups_per_second];
                    prop_assert!(all.iter().all(|x| x.is_finite() && *x >= 0.0), "{f:?}");
                    prop_assert!(f.arrival_seconds >= 1.0 && f.setups_per_second >= 0.2, "{f:?}");
                }
                StateRecord::Group(group) => prop_assert!(group.clients.is_finite() && group.clients > 0.0),
                StateRecord::Reservation(place) => prop_assert!(place.expires_at <= instance.now + 3.001, "{place:?}"),
                StateRecord::Connection(_) => prop_assert!(false, "nobody stands"),
            }
        }
        let mut timers = Vec::new();
        let actions = instance.receive(request(900, instance.now));
        record_timers(&actions, instance.now, &mut timers);
        let actions = [actions, instance.advance_to(&mut timers, 103.0)].concat();
        prop_assert!(attempted_server(&actions).is_some() || is_rejected(&actions) || is_failed(&actions));
    }
}
