//! The replicated engine under faults, against a stub over real HTTP. Time is emulated: a round is the 200 ms after which
//! the store's thread refreshes, and two seconds are ten rounds.

mod common;

use common::conformance::run_conformance;
use common::{NOW, create, execute_one, name, report};
use shorewharf_store::backup::{backup, open, restore};
use shorewharf_store::cached_store::CachedStore;
use shorewharf_store::check::check;
use shorewharf_store::commands::{ChangeRequest, Command, Granularity, Lookup, LookupResult, look_up};
use shorewharf_store::directory::Directory;
use shorewharf_store::error::StoreError;
use shorewharf_store::key::{Collection, Key};
use shorewharf_store::record::{Actor, NewTenant, NumericId, TenantChange};
use shorewharf_store::replicated::{Options, Replicated};
use shorewharf_store::service::{Notification, Options as ServiceOptions, StoreThread};
use shorewharf_store::standin::{Cluster, Fault, Member};
use shorewharf_store::store::Store;
use std::sync::mpsc::channel;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const ROUND: u64 = 200_000;

/// Long enough that a loaded machine does not make a healthy member time out.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn connect(members: &[&Member], instance: &str) -> Replicated {
    let endpoints = members.iter().map(|m| m.endpoint()).collect();
    Replicated::new(&Options {
        call_timeout: CALL_TIMEOUT,
        ..Options::new(endpoints, "shorewharf", instance, 7)
    })
    .unwrap()
}

/// Connects to members of which some are known not to answer.
fn connect_with_short_timeout(members: &[&Member], instance: &str) -> Replicated {
    let endpoints = members.iter().map(|m| m.endpoint()).collect();
    let call_timeout = Duration::from_millis(400);
    Replicated::new(&Options { call_timeout, ..Options::new(endpoints, "shorewharf", instance, 7) }).unwrap()
}

fn set_weight(store: &mut dyn Store, tenant: &str, weight: u32, now: u64) -> Result<(), StoreError> {
    let change = TenantChange { weight: Some(weight.try_into().unwrap()), ..TenantChange::default() };
    execute_one(store, Command::ChangeTenant { name: name(tenant), expected: None, change }, now).map(drop)
}

#[test]
fn the_replicated_engine_conforms() {
    let cluster = Cluster::new();
    let (first_member, second_member) = (cluster.member().unwrap(), cluster.member().unwrap());
    run_conformance(&mut connect(&[&first_member, &second_member], "n1"));
}

/// An instance: its copy of the store, and its directory.
struct Instance {
    cached: CachedStore,
    directory: Directory,
}

impl Instance {
    fn new(store: Replicated) -> Instance {
        Instance { cached: CachedStore::new(Box::new(store), None), directory: Directory::default() }
    }

    fn round(&mut self, now: u64) -> Result<(), StoreError> {
        let batch = self.cached.refresh(now)?;
        assert_eq!(self.directory.apply(&batch), []);
        Ok(())
    }

    fn weights(&self) -> Vec<(String, u32)> {
        self.directory.tenants().map(|t| (t.record.name.to_string(), t.record.weight.get())).collect()
    }
}

#[test]
fn two_instances_agree_within_two_seconds_of_the_engines_return() {
    let cluster = Cluster::new();
    let (first_member, second_member) = (cluster.member().unwrap(), cluster.member().unwrap());
    let mut first = Instance::new(connect(&[&first_member], "n1"));
    create(&mut first.cached, "grad").unwrap();
    let mut now = NOW;
    let mut worst = 0;
    let stale = Fault::Stale(cluster.revision());
    for (fault, compacted) in [
        (Fault::Refuses, false),
        (Fault::Silent, false),
        (Fault::Fails(503, 14), false),
        (stale, false),
        (Fault::Refuses, true),
        (Fault::Slow(Duration::from_secs(20)), true),
    ] {
        // A second instance has started, and then loses its member.
        let mut second = Instance::new(connect_with_short_timeout(&[&second_member], "n2"));
        while second.round(now).is_err() {
            now += ROUND;
        }
        first.round(now).unwrap();
        let before = second.weights();
        assert_eq!(before, first.weights());
        second_member.set(fault);
        let lost = now;
        for i in 0..20 {
            now += ROUND;
            set_weight(&mut first.cached, "grad", 200 + i, now).unwrap();
            if i < 3 {
                create(&mut first.cached, &format!("made-{}", cluster.revision())).unwrap();
            }
            first.round(now).unwrap();
            second.round(now).expect_err("a member that is away answered");
        }
        // It goes on with its last knowledge, and reports how old that is.
        assert_eq!(second.weights(), before);
        assert_eq!(second.directory.age(now), Some(now - lost), "{fault:?}");
        assert_eq!(second.cached.age(now), Some(now - lost));
        let found = look_up(&mut second.cached, &Lookup::Tenant(name("grad")), now).unwrap();
        assert!(matches!(found, LookupResult::Tenant(tenant) if tenant.record.weight.get() == before[0].1));
        let refused = set_weight(&mut second.cached, "grad", 999, now).unwrap_err();
        assert!(refused.is_transient(), "{fault:?}: {refused}");
        if compacted {
            cluster.compact(cluster.revision());
        }
        second_member.set(Fault::None);
        let back = now;
        while second.weights() != first.weights() {
            now += ROUND;
            let _ = second.round(now);
            assert!(now - back <= 2_000_000, "{fault:?}: not within 2 s");
        }
        worst = worst.max(now - back);
        now += ROUND;
    }
    println!("agreed at most {} ms after the return", worst / 1000);
}

#[test]
fn instances_that_write_at_once_lose_nothing_and_number_the_trail_without_a_gap() {
    let cluster = Cluster::new();
    let members: Vec<Member> = (0..4).map(|_| cluster.member().unwrap()).collect();
    let mut created: Vec<String> = std::thread::scope(|scope| {
        let write = |n: usize| {
            let mut store = connect(&[&members[n]], &format!("n{n}"));
            let usage_by_id = [(7, 10), (200, 1)];
            let mut created = Vec::new();
            for i in 0..20 {
                // Half of the names are the same for all instances, of which one creates each.
                let tenant = if i % 2 == 0 { format!("all-{i}") } else { format!("n{n}-{i}") };
                match create(&mut store, &tenant) {
                    Ok(_) => created.push(tenant),
                    Err(e) => {
                        assert!(e.is_transient() || matches!(e, StoreError::AlreadyExists { .. }), "{e}");
                    }
                }
                execute_one(&mut store, report(&format!("n{n}@1"), i, &usage_by_id), NOW).unwrap();
            }
            created
        };
        let threads: Vec<_> = (0..4).map(|n| scope.spawn(move || write(n))).collect();
        threads.into_iter().flat_map(|t| t.join().unwrap()).collect()
    });
    let mut store = connect(&[&members[0]], "n9");
    assert_eq!(check(&mut store, NOW).unwrap(), [], "gaps, or places given twice, are faults");
    let ask = Lookup::Tenants { prefix: String::new(), after: None, limit: 1000 };
    let LookupResult::Tenants(stored, None) = look_up(&mut store, &ask, NOW).unwrap() else { panic!() };
    let mut stored: Vec<String> = stored.into_iter().map(|t| t.record.name.to_string()).collect();
    stored.sort();
    created.sort();
    assert_eq!(stored, created);
    let ask = Lookup::Usage { id: NumericId(7), granularity: Granularity::Hour, from: 0, to: u64::MAX };
    let LookupResult::Usage(rows, None) = look_up(&mut store, &ask, NOW).unwrap() else { panic!() };
    assert_eq!(rows[0].usage.setups, 4 * 20 * 10);
}

#[test]
fn the_threads_of_two_instances_agree_again_after_a_member_returns() {
    let cluster = Cluster::new();
    let (first_member, second_member) = (cluster.member().unwrap(), cluster.member().unwrap());
    let start = |store: Replicated| {
        let (wake, woken) = channel();
        let wake = Box::new(move || wake.send(()).unwrap_or_default());
        let clock = || SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_micros() as u64;
        let thread =
            StoreThread::start(Box::new(store), ServiceOptions::default(), Box::new(clock), wake).unwrap();
        (thread, woken)
    };
    let ((mut first, _), (mut second, woken)) =
        (start(connect(&[&first_member], "n1")), start(connect_with_short_timeout(&[&second_member], "n2")));
    let mut directory = Directory::default();
    let mut until = |what: &str, until: &dyn Fn(&Directory, bool) -> bool| {
        let (begun, mut has_fault) = (Instant::now(), false);
        loop {
            for notification in second.poll() {
                match notification {
                    Notification::RecordsChanged(batch) => assert_eq!(directory.apply(&batch), []),
                    Notification::HealthChanged(health) => has_fault = health.fault.is_some(),
                    other => panic!("{other:?}"),
                }
            }
            if until(&directory, has_fault) {
                return begun.elapsed();
            }
            woken.recv_timeout(Duration::from_secs(60)).expect(what);
        }
    };
    let make = |first: &mut StoreThread, tenant: &str| {
        let command = Command::CreateTenant(NewTenant::named(name(tenant)));
        first.change(ChangeRequest::new(Actor::File, command)).unwrap();
    };
    make(&mut first, "early");
    until("the first tenant", &|directory, _| directory.tenant(&name("early")).is_some());
    second_member.set(Fault::Silent);
    until("the fault", &|_, has_fault| has_fault);
    make(&mut first, "late");
    assert!(first.close().iter().any(|reported| matches!(reported, Notification::Changed(_, Ok(_)))));
    second_member.set(Fault::None);
    let elapsed = until("the second tenant", &|directory, _| directory.tenant(&name("late")).is_some());
    println!("the threads agreed {} ms after the return", elapsed.as_millis());
}

#[test]
fn a_change_whose_answer_is_lost_is_made_once_and_told_truly() {
    let cluster = Cluster::new();
    let (first_member, second_member) = (cluster.member().unwrap(), cluster.member().unwrap());
    let mut store = connect(&[&first_member, &second_member], "n1");
    create(&mut store, "grad").unwrap();
    let mut other = connect(&[&second_member], "n2");
    let weight = |store: &mut Replicated| {
        let LookupResult::Tenant(tenant) = look_up(store, &Lookup::Tenant(name("grad")), NOW).unwrap() else {
            panic!()
        };
        tenant.record.weight.get()
    };
    // The change is made and its answer lost: the other member reports it.
    first_member.set(Fault::LosesAnswers);
    set_weight(&mut store, "grad", 7, NOW + 1).unwrap();
    assert_eq!(weight(&mut other), 7);
    first_member.set(Fault::None);
    // The request is delayed: it times out, is fenced, and is made again by the other member. Then another instance changes
    // the tenant; the old request arrives after that and must do nothing.
    let mut store = connect_with_short_timeout(&[&first_member, &second_member], "n3");
    set_weight(&mut store, "grad", 8, NOW + 2).unwrap();
    first_member.set(Fault::Delays);
    set_weight(&mut store, "grad", 9, NOW + 3).unwrap();
    set_weight(&mut other, "grad", 10, NOW + 4).unwrap();
    let revision = cluster.revision();
    first_member.set(Fault::None);
    create(&mut store, "bolnica").unwrap();
    assert_eq!(weight(&mut other), 10);
    assert_eq!(cluster.revision(), revision + 1, "a request that was given up was done after all");
    // With no other member the outcome is unknown; the next call finds it out first.
    let mut alone = connect_with_short_timeout(&[&first_member], "n4");
    set_weight(&mut alone, "grad", 11, NOW + 5).unwrap();
    first_member.set(Fault::LosesAnswers);
    assert!(matches!(set_weight(&mut alone, "grad", 12, NOW + 6), Err(e) if e.is_transient()));
    first_member.set(Fault::None);
    set_weight(&mut alone, "grad", 13, NOW + 1_000_000).unwrap();
    let LookupResult::Audit(entries, _) =
        look_up(&mut other, &Lookup::Audit { before: None, limit: 100 }, NOW).unwrap()
    else {
        panic!()
    };
    let weights: Vec<u64> =
        entries.iter().rev().filter_map(|e| e.after.as_ref()?["weight"].as_u64()).collect();
    let twelve = weights.iter().filter(|w| **w == 12).count();
    assert!(twelve <= 1);
    let others: Vec<u64> = weights.into_iter().filter(|w| *w != 12).collect();
    assert_eq!(others, [100, 7, 8, 9, 10, 100, 11, 13], "each change once, in the order of the calls");
    assert_eq!(check(&mut other, NOW).unwrap(), []);
}

#[test]
fn a_store_of_another_cluster_or_a_newer_program_is_refused_by_name() {
    let cluster = Cluster::new();
    let member = cluster.member().unwrap();
    let mut store = connect(&[&member], "n1");
    create(&mut store, "grad").unwrap();
    let (about, value) =
        cluster.contents().into_iter().find(|(key, _)| key.ends_with("engine/about")).unwrap();
    // A newer program migrates the store: this one can neither read nor write from then on.
    cluster.put(&about, &value.replace("\"schema\":2", "\"schema\":3"));
    for e in [
        set_weight(&mut store, "grad", 5, NOW).unwrap_err(),
        store.get(&Key::new(Collection::Tenant, "grad"), NOW).unwrap_err(),
    ] {
        let text = "shorewharf/engine/about: has schema 3; this program supports schemas up to 2";
        assert_eq!(e.to_string(), text);
    }
    cluster.wipe();
    let e = store.get(&Key::new(Collection::Tenant, "grad"), NOW + 1_000_000).unwrap_err();
    assert!(
        matches!(&e, StoreError::Corrupt { .. }) && e.to_string().contains("belongs to cluster decaf"),
        "{e}"
    );
    let other = Options::new(vec!["udp://x".into()], "shorewharf", "n1", 1);
    assert_eq!(Replicated::new(&other).map(drop).unwrap_err().field, "endpoints[0]");
}

#[test]
fn an_old_schema_moves_forward_while_others_run_and_a_backup_moves_between_engines() {
    let cluster = Cluster::new();
    let member = cluster.member().unwrap();
    let mut store = connect(&[&member], "n1");
    let mut other = Instance::new(connect(&[&member], "n2"));
    for i in 0..250 {
        create(&mut store, &format!("tenant-{i}")).unwrap();
    }
    other.round(NOW).unwrap();
    // The store as an older program would have left it: its schema, and no index of confusable names.
    let (about, value) =
        cluster.contents().into_iter().find(|(key, _)| key.ends_with("engine/about")).unwrap();
    let looks: Vec<Key> = store
        .list(&shorewharf_store::store::Query::all(Collection::ConfusableName), NOW)
        .unwrap()
        .entries
        .into_iter()
        .map(|e| e.key)
        .collect();
    for looks in looks.chunks(100) {
        let writes = looks.iter().map(|key| (key.clone(), None)).collect();
        store.apply(&shorewharf_store::store::Batch { conditions: vec![], writes }, NOW).unwrap();
    }
    cluster.put(&about, &value.replace("\"schema\":2", "\"schema\":1"));
    let mut next = connect(&[&member], "n3");
    assert_eq!(check(&mut next, NOW).unwrap(), []);
    assert!(
        matches!(create(&mut next, "tеnant-7"), Err(StoreError::ConfusableName { .. })),
        "with a Cyrillic letter"
    );
    // Instances that ran meanwhile go on in the new generation.
    set_weight(&mut store, "tenant-7", 77, NOW).unwrap();
    other.round(NOW + ROUND).unwrap();
    assert_eq!(other.weights().iter().filter(|(_, w)| *w == 77).count(), 1);

    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("backup");
    let taken = backup(&mut store, &file, NOW).unwrap();
    assert_eq!(check(&mut open(&file, NOW).unwrap(), NOW).unwrap(), []);
    set_weight(&mut store, "tenant-8", 88, NOW).unwrap();
    let late = create(&mut store, "late").unwrap();
    let actor = Actor::console("operator").unwrap();
    let restored = restore(&mut store, &file, &actor, NOW).unwrap();
    assert!(restored.revision > taken.revision);
    other.round(NOW + 2 * ROUND).unwrap();
    let weights = other.weights();
    assert_eq!(weights.iter().filter(|(_, w)| *w == 88).count(), 0);
    assert!(weights.len() == 250 && !weights.iter().any(|(name, _)| name == "late"));
    assert!(create(&mut store, "late").unwrap().record.id > late.record.id);
    let generations: std::collections::BTreeSet<_> =
        cluster.contents().iter().filter_map(|(k, _)| Some(k.split('/').nth(1)?.to_owned())).collect();
    assert_eq!(generations.len(), 2, "the engine's own keys and one generation: {generations:?}");
}

#[test]
fn an_instance_that_starts_without_its_engine_goes_on_from_its_copy() {
    let cluster = Cluster::new();
    let member = cluster.member().unwrap();
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("copy");
    let mut before = CachedStore::new(Box::new(connect(&[&member], "n1")), Some(file.clone()));
    create(&mut before, "grad").unwrap();
    before.refresh(NOW).unwrap();
    drop(before);
    member.set(Fault::Refuses);
    let start = |file: &std::path::Path| {
        CachedStore::new(Box::new(connect_with_short_timeout(&[&member], "n1")), Some(file.to_path_buf()))
    };
    let mut directory = Directory::default();
    let mut after = start(&file);
    directory.apply(&after.refresh(NOW + 60_000_000).unwrap());
    assert_eq!(directory.age(NOW + 60_000_000), Some(60_000_000));
    assert!(directory.tenant(&name("grad")).is_some());
    // A damaged copy is not used.
    let mut bytes = std::fs::read(&file).unwrap();
    let last = bytes.len() - 20;
    bytes[last] ^= 1;
    std::fs::write(&file, bytes).unwrap();
    assert!(start(&file).refresh(NOW).unwrap_err().is_transient());
    member.set(Fault::None);
    let mut now = NOW + 60_000_000;
    while directory.age(now) != Some(0) {
        now += ROUND;
        after.refresh(now).map(|batch| directory.apply(&batch)).ok();
        assert!(now < NOW + 63_000_000);
    }
    // An unavailable member costs few calls: they back off.
    member.set(Fault::Fails(503, 14));
    let calls = cluster.calls();
    for _ in 0..100 {
        now += 10_000;
        after.refresh(now).unwrap_err();
    }
    let cost = cluster.calls() - calls;
    assert!((2..=12).contains(&cost), "{cost} calls within a second");
}
