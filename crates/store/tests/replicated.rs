//! The replicated engine under faults, tested over HTTP against the stub of etcd. Time is emulated: a round stands for
//! the 200 ms between two refreshes by the store's thread, so 2 s are ten rounds.

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

/// The time between two refreshes of an instance, in microseconds.
const ROUND: u64 = 200_000;

/// The timeout of a call, long enough that calls to a healthy member do not time out on a loaded machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

fn connect(members: &[&Member], instance: &str) -> Replicated {
    let endpoints = members.iter().map(|m| m.endpoint()).collect();
    Replicated::new(&Options {
        call_timeout: CALL_TIMEOUT,
        ..Options::new(endpoints, "shorewharf", instance, 7)
    })
    .unwrap()
}

/// Connects with a timeout that is short enough for tests in which a member does not answer.
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

/// An instance with its copy of the store and its directory.
struct Instance {
    cached: CachedStore,
    directory: Directory,
}

impl Instance {
    fn new(store: Replicated) -> Instance {
        Instance { cached: CachedStore::new(Box::new(store), None), directory: Directory::default() }
    }

    /// Refreshes the copy and applies the changes to the directory.
    fn round(&mut self, now: u64) -> Result<(), StoreError> {
        let batch = self.cached.refresh(now)?;
        assert_eq!(self.directory.apply(&batch), []);
        Ok(())
    }

    /// The name and weight of each tenant in the directory.
    fn weights(&self) -> Vec<(String, u32)> {
        self.directory.tenants().map(|t| (t.record.name.to_string(), t.record.weight.get())).collect()
    }
}

#[test]
fn two_instances_agree_within_two_seconds_of_a_members_recovery() {
    let cluster = Cluster::new();
    let (first_member, second_member) = (cluster.member().unwrap(), cluster.member().unwrap());
    let mut first = Instance::new(connect(&[&first_member], "n1"));
    create(&mut first.cached, "grad").unwrap();
    let mut now = NOW;
    let mut longest = 0;
    let stale = Fault::Stale(cluster.revision());
    for (fault, compacted) in [
        (Fault::Refuses, false),
        (Fault::Silent, false),
        (Fault::Fails(503, 14), false),
        (stale, false),
        (Fault::Refuses, true),
        (Fault::Slow(Duration::from_secs(20)), true),
    ] {
        // A second instance starts and agrees with the first; then its member fails.
        let mut second = Instance::new(connect_with_short_timeout(&[&second_member], "n2"));
        while second.round(now).is_err() {
            now += ROUND;
        }
        first.round(now).unwrap();
        let before = second.weights();
        assert_eq!(before, first.weights());
        second_member.set(fault);
        let failed_at = now;
        for i in 0..20 {
            now += ROUND;
            set_weight(&mut first.cached, "grad", 200 + i, now).unwrap();
            if i < 3 {
                create(&mut first.cached, &format!("made-{}", cluster.revision())).unwrap();
            }
            first.round(now).unwrap();
            second.round(now).expect_err("a failed member answered");
        }
        // The second instance keeps its copy and reports how old it is.
        assert_eq!(second.weights(), before);
        assert_eq!(second.directory.age(now), Some(now - failed_at), "{fault:?}");
        assert_eq!(second.cached.age(now), Some(now - failed_at));
        let found = look_up(&mut second.cached, &Lookup::Tenant(name("grad")), now).unwrap();
        assert!(matches!(found, LookupResult::Tenant(tenant) if tenant.record.weight.get() == before[0].1));
        let error = set_weight(&mut second.cached, "grad", 999, now).unwrap_err();
        assert!(error.is_transient(), "{fault:?}: {error}");
        if compacted {
            cluster.compact(cluster.revision());
        }
        second_member.set(Fault::None);
        let recovered_at = now;
        while second.weights() != first.weights() {
            now += ROUND;
            let _ = second.round(now);
            assert!(now - recovered_at <= 2_000_000, "{fault:?}: no agreement within 2 s");
        }
        longest = longest.max(now - recovered_at);
        now += ROUND;
    }
    println!("the instances agreed at most {} ms after the recovery", longest / 1000);
}

#[test]
fn concurrent_writers_lose_no_changes_and_leave_no_gap_in_the_audit_trail() {
    let cluster = Cluster::new();
    let members: Vec<Member> = (0..4).map(|_| cluster.member().unwrap()).collect();
    let mut created: Vec<String> = std::thread::scope(|scope| {
        let write = |n: usize| {
            let mut store = connect(&[&members[n]], &format!("n{n}"));
            let usage_by_id = [(7, 10), (200, 1)];
            let mut created = Vec::new();
            for i in 0..20 {
                // Every other name is the same for all instances; only one of them can create that tenant.
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
    // The check also finds gaps in the audit trail and ids that were assigned twice.
    assert_eq!(check(&mut store, NOW).unwrap(), []);
    let lookup = Lookup::Tenants { prefix: String::new(), after: None, limit: 1000 };
    let LookupResult::Tenants(stored, None) = look_up(&mut store, &lookup, NOW).unwrap() else { panic!() };
    let mut stored: Vec<String> = stored.into_iter().map(|t| t.record.name.to_string()).collect();
    stored.sort();
    created.sort();
    assert_eq!(stored, created);
    let lookup = Lookup::Usage { id: NumericId(7), granularity: Granularity::Hour, from: 0, to: u64::MAX };
    let LookupResult::Usage(rows, None) = look_up(&mut store, &lookup, NOW).unwrap() else { panic!() };
    assert_eq!(rows[0].usage.setups, 4 * 20 * 10);
}

#[test]
fn two_store_threads_agree_after_a_member_recovers() {
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
    // Polls the second thread until a condition on its directory, and on whether its store has a fault, holds.
    let mut wait_until = |event: &str, condition: &dyn Fn(&Directory, bool) -> bool| {
        let (start, mut has_fault) = (Instant::now(), false);
        loop {
            for notification in second.poll() {
                match notification {
                    Notification::RecordsChanged(batch) => assert_eq!(directory.apply(&batch), []),
                    Notification::HealthChanged(health) => has_fault = health.fault.is_some(),
                    other => panic!("{other:?}"),
                }
            }
            if condition(&directory, has_fault) {
                return start.elapsed();
            }
            woken.recv_timeout(Duration::from_secs(60)).expect(event);
        }
    };
    let create = |first: &mut StoreThread, tenant: &str| {
        let command = Command::CreateTenant(NewTenant::named(name(tenant)));
        first.change(ChangeRequest::new(Actor::File, command)).unwrap();
    };
    create(&mut first, "early");
    wait_until("the first tenant", &|directory, _| directory.tenant(&name("early")).is_some());
    second_member.set(Fault::Silent);
    wait_until("the fault", &|_, has_fault| has_fault);
    create(&mut first, "late");
    assert!(first.close().iter().any(|reported| matches!(reported, Notification::Changed(_, Ok(_)))));
    second_member.set(Fault::None);
    let elapsed = wait_until("the second tenant", &|directory, _| directory.tenant(&name("late")).is_some());
    println!("the threads agreed {} ms after the recovery", elapsed.as_millis());
}

#[test]
fn a_change_whose_response_is_lost_is_made_once_and_reported_correctly() {
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
    // The change is made but its response is lost; the other member shows the outcome.
    first_member.set(Fault::LosesAnswers);
    set_weight(&mut store, "grad", 7, NOW + 1).unwrap();
    assert_eq!(weight(&mut other), 7);
    first_member.set(Fault::None);
    // The request is delayed: it times out, is fenced, and is retried at the other member. Then another instance
    // changes the tenant. The delayed request is executed after that and must change nothing.
    let mut store = connect_with_short_timeout(&[&first_member, &second_member], "n3");
    set_weight(&mut store, "grad", 8, NOW + 2).unwrap();
    first_member.set(Fault::Delays);
    set_weight(&mut store, "grad", 9, NOW + 3).unwrap();
    set_weight(&mut other, "grad", 10, NOW + 4).unwrap();
    let revision = cluster.revision();
    first_member.set(Fault::None);
    create(&mut store, "bolnica").unwrap();
    assert_eq!(weight(&mut other), 10);
    assert_eq!(cluster.revision(), revision + 1, "the delayed request wrote after it was fenced");
    // Without another member the outcome stays unknown; the next call resolves it first.
    let mut single = connect_with_short_timeout(&[&first_member], "n4");
    set_weight(&mut single, "grad", 11, NOW + 5).unwrap();
    first_member.set(Fault::LosesAnswers);
    assert!(matches!(set_weight(&mut single, "grad", 12, NOW + 6), Err(e) if e.is_transient()));
    first_member.set(Fault::None);
    set_weight(&mut single, "grad", 13, NOW + 1_000_000).unwrap();
    let LookupResult::Audit(entries, _) =
        look_up(&mut other, &Lookup::Audit { before: None, limit: 100 }, NOW).unwrap()
    else {
        panic!()
    };
    let weights: Vec<u64> =
        entries.iter().rev().filter_map(|e| e.after.as_ref()?["weight"].as_u64()).collect();
    // The change to 12, whose outcome was unknown, may have been made.
    let times_set_to_12 = weights.iter().filter(|w| **w == 12).count();
    assert!(times_set_to_12 <= 1);
    let others: Vec<u64> = weights.into_iter().filter(|w| *w != 12).collect();
    assert_eq!(others, [100, 7, 8, 9, 10, 100, 11, 13], "not each change once, in the order of the calls");
    assert_eq!(check(&mut other, NOW).unwrap(), []);
}

#[test]
fn a_newer_schema_and_another_cluster_are_rejected() {
    let cluster = Cluster::new();
    let member = cluster.member().unwrap();
    let mut store = connect(&[&member], "n1");
    create(&mut store, "grad").unwrap();
    let (description_key, value) =
        cluster.contents().into_iter().find(|(key, _)| key.ends_with("engine/about")).unwrap();
    // After a newer program has migrated the store, this one can neither read nor write it.
    cluster.put(&description_key, &value.replace("\"schema\":2", "\"schema\":3"));
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
    let options = Options::new(vec!["udp://x".into()], "shorewharf", "n1", 1);
    assert_eq!(Replicated::new(&options).map(drop).unwrap_err().field, "endpoints[0]");
}

#[test]
fn a_schema_migration_and_a_restore_work_while_other_instances_run() {
    let cluster = Cluster::new();
    let member = cluster.member().unwrap();
    let mut store = connect(&[&member], "n1");
    let mut other = Instance::new(connect(&[&member], "n2"));
    for i in 0..250 {
        create(&mut store, &format!("tenant-{i}")).unwrap();
    }
    other.round(NOW).unwrap();
    // Turn the store into one of schema 1, which had no index of confusable names.
    let (description_key, value) =
        cluster.contents().into_iter().find(|(key, _)| key.ends_with("engine/about")).unwrap();
    let index_keys: Vec<Key> = store
        .list(&shorewharf_store::store::Query::all(Collection::ConfusableName), NOW)
        .unwrap()
        .entries
        .into_iter()
        .map(|e| e.key)
        .collect();
    for keys in index_keys.chunks(100) {
        let writes = keys.iter().map(|key| (key.clone(), None)).collect();
        store.apply(&shorewharf_store::store::Batch { conditions: vec![], writes }, NOW).unwrap();
    }
    cluster.put(&description_key, &value.replace("\"schema\":2", "\"schema\":1"));
    let mut migrating = connect(&[&member], "n3");
    assert_eq!(check(&mut migrating, NOW).unwrap(), []);
    assert!(
        matches!(create(&mut migrating, "tеnant-7"), Err(StoreError::ConfusableName { .. })),
        "a name with a Cyrillic letter was not rejected"
    );
    // Instances that were connected before the migration continue in the new generation.
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
    // The second part of a key is a generation, or `engine` in the engine's own keys.
    assert_eq!(generations.len(), 2, "expected `engine` and one generation: {generations:?}");
}

#[test]
fn an_instance_that_starts_without_its_engine_uses_its_copy_file() {
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
    // A damaged copy file is not used.
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
    // A failing member gets few calls, because of the backoff.
    member.set(Fault::Fails(503, 14));
    let calls_before = cluster.calls();
    for _ in 0..100 {
        now += 10_000;
        after.refresh(now).unwrap_err();
    }
    let calls = cluster.calls() - calls_before;
    assert!((2..=12).contains(&calls), "{calls} calls within a second");
}
