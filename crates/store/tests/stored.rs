//! Compatibility with the data that earlier versions stored and the requests that they sent, byte for byte. The files
//! in `fixtures/` were written by an earlier version, so these tests fail if a renamed field changes a stored name.
//!
//! The fixtures are written again only when the schema changes:
//! `cargo test -p shorewharf-store --test stored -- --ignored write_fixtures`

mod common;

use common::recorder::Recorder;
use common::{NOW, name};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use shorewharf_store::backup::{backup, open};
use shorewharf_store::cached_store::CachedStore;
use shorewharf_store::check::check;
use shorewharf_store::commands::{
    ChangeRequest, Command, Completed, Granularity, Lookup, LookupResult, Reply, UsageRow, execute, look_up,
};
use shorewharf_store::directory::Directory;
use shorewharf_store::embedded::{Create, Embedded};
use shorewharf_store::exchange::{export, import};
use shorewharf_store::key::{Collection, Key};
use shorewharf_store::name::ClassName;
use shorewharf_store::record::{
    Actor, AuditAction, AuditEntry, ClassObjectives, ClassRecord, IdempotencyKey, InstanceName, NewTenant,
    NewToken, NumericId, Origin, PerSecond, Role, Semantics, ServiceLimits, TenantChange, TenantLimits,
    TenantState, TokenId, TokenSeed, Usage, UsageReport, Weight,
};
use shorewharf_store::replicated::{Options, Replicated};
use shorewharf_store::revision::Revision;
use shorewharf_store::standin::{Cluster, Fault};
use shorewharf_store::store::{Batch, Condition, Query, Store, StoreHealth};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::path::Path;
use std::time::Duration;

const STORE_FILE: &[u8] = include_bytes!("fixtures/store.redb");
const BACKUP_FILE: &[u8] = include_bytes!("fixtures/backup.redb");
const STORE_ROWS: &str = include_str!("fixtures/store.rows");
const GATEWAY_REQUESTS: &str = include_str!("fixtures/gateway.requests");
const GATEWAY_KEYS: &str = include_str!("fixtures/gateway.keys");
const EXPORT: &str = include_str!("fixtures/export.json");
const COPY: &str = include_str!("fixtures/copy");

/// The last acknowledged revision in the file beside the store: 24 as a little-endian number, in hexadecimal.
const HEAD: &str = "1800000000000000";

/// When the idempotency keys expire: an hour after [`NOW`].
const EXPIRES: u64 = NOW + 3_600_000_000;

fn rate(per_second: f64) -> Option<PerSecond> {
    Some(PerSecond::new(per_second).unwrap())
}

fn class_name(text: &str) -> ClassName {
    ClassName::new(text).unwrap()
}

fn class(name: &str, semantics: Semantics) -> ClassRecord {
    let objectives = ClassObjectives { setup_ms: 800.5, message_ms: 50.25, priority_weight: 1.5 };
    ClassRecord::new(class_name(name), objectives, semantics).unwrap()
}

fn token(role: Role, label: &str, expires: Option<u64>, seed: u8) -> Command {
    let new = NewToken { role, label: label.into(), expires };
    Command::CreateToken { new, seed: TokenSeed([seed; 40]) }
}

fn token_id(seed: u8) -> TokenId {
    TokenId::new(&format!("{seed:02x}").repeat(8)).unwrap()
}

/// The holder of the token that the first command creates.
fn token_actor() -> Actor {
    Actor::Token { id: token_id(1), role: Role::Operator, label: "first".into() }
}

fn usage(setups: u64) -> Usage {
    let rejections = [("quota".to_owned(), 2), ("overload".to_owned(), 1)].into();
    Usage { connection_micros: 60_000_000, setups, rejections, migrations: 3, lines: 400, bytes: 5000 }
}

/// A usage report about ids in two chunks.
fn report(instance: &str, minute: u64) -> Command {
    let usage_by_id = [(0, usage(7)), (2, usage(9)), (70, Usage { setups: 1, ..Usage::default() })].into();
    Command::RecordUsage(UsageReport::new(InstanceName::new(instance).unwrap(), minute, usage_by_id).unwrap())
}

/// A tenant with every field set.
fn full_tenant() -> NewTenant {
    NewTenant {
        name: name("Grad-Uprava"),
        weight: Weight::new(250).unwrap(),
        limits: TenantLimits { connections: Some(5000), setups: rate(12.5), reconnects: rate(40.0) },
        classes: Some([class_name("ticket-stream"), class_name("plain")].into()),
        state: TenantState::Active,
        origin: Origin::File,
    }
}

fn service_limits() -> ServiceLimits {
    ServiceLimits {
        connections: Some(100_000),
        setups: rate(2000.0),
        reconnects: rate(4000.5),
        tenants: Some(10_000),
        migrations: rate(50.0),
        changed: 0,
    }
}

/// Commands of every kind by actors of every kind. Together they write records of every kind but budgets, which
/// [`fill`] writes.
fn commands() -> Vec<(Actor, Command)> {
    let plain = |text: &str, state| NewTenant { state, ..NewTenant::named(name(text)) };
    let change = TenantChange {
        name: Some(name("GRAD-Uprava")),
        weight: Some(Weight::new(300).unwrap()),
        limits: Some(TenantLimits { connections: Some(6000), ..TenantLimits::default() }),
        classes: Some(None),
        state: Some(TenantState::Frozen),
        origin: Some(Origin::Api),
    };
    let put = |class, expected| Command::PutClass { class, expected };
    vec![
        (Actor::console("root").unwrap(), token(Role::Operator, "first", None, 1)),
        (token_actor(), put(class("ticket-stream", Semantics::Idempotent), Some(Revision(0)))),
        (token_actor(), put(class("ticket-stream", Semantics::IdempotentWithKey), None)),
        (Actor::File, put(class("plain", Semantics::Idempotent), None)),
        (Actor::File, put(class("bulk", Semantics::NonIdempotent), None)),
        (Actor::File, put(class("write", Semantics::NonIdempotent), None)),
        (token_actor(), Command::SetLimits { limits: service_limits(), expected: Some(Revision(0)) }),
        (Actor::File, Command::CreateTenant(full_tenant())),
        (token_actor(), Command::CreateTenant(plain("bolnica", TenantState::Active))),
        (token_actor(), Command::CreateTenant(plain("Лука", TenantState::Frozen))),
        (token_actor(), Command::CreateTenant(plain("knjižnica", TenantState::Draining))),
        (token_actor(), Command::ChangeTenant { name: name("grad-uprava"), expected: None, change }),
        (token_actor(), Command::RemoveTenant { name: name("bolnica"), expected: None }),
        (token_actor(), Command::RemoveClass { name: class_name("bulk"), expected: None }),
        (token_actor(), token(Role::TenantAdmin(NumericId(0)), "admin", Some(NOW + 1_000_000_000), 2)),
        (token_actor(), token(Role::Viewer, "night shift", None, 3)),
        (token_actor(), Command::RevokeToken { id: token_id(3) }),
        (
            token_actor(),
            Command::RecordAction {
                target: "server/m-1".into(),
                before: Some(json!({"takes": true})),
                after: Some(json!({"takes": false})),
            },
        ),
        (Actor::Service, Command::RecordAction { target: "sessions/0".into(), before: None, after: None }),
        (Actor::Service, report("n1@1", 29_583_333)),
        (Actor::Service, report("n1@1", 29_583_334)),
        (Actor::Service, report("n2@1", 29_583_333)),
        (Actor::Service, Command::RemoveExpired),
    ]
}

/// The requests for all [`commands`], each with an idempotency key of its own.
fn requests() -> Vec<ChangeRequest> {
    let numbered = commands().into_iter().enumerate();
    numbered
        .map(|(number, (actor, command))| {
            let key =
                IdempotencyKey::new("0101010101010101", &format!("key-{number}"), b"body", EXPIRES).unwrap();
            ChangeRequest { actor, command, idempotency_key: Some(key) }
        })
        .collect()
}

/// Fills an empty store by executing all [`requests`], one microsecond apart, and writing a budget record.
fn fill(store: &mut dyn Store) -> Vec<Completed> {
    let mut done = Vec::new();
    for (number, request) in requests().iter().enumerate() {
        done.push(execute(store, std::slice::from_ref(request), NOW + number as u64).remove(0).unwrap());
    }
    let budget = (Key::new(Collection::Budget, "member/n1"), Some(b"{\"of\":\"the balancers\"}".to_vec()));
    let conditions = vec![Condition::Absent(budget.0.clone())];
    store.apply(&Batch { conditions, writes: vec![budget] }, NOW + 100).unwrap();
    done
}

/// All records, one per line: revision, key and value.
fn rows(store: &mut dyn Store) -> String {
    let mut rows = String::new();
    store
        .visit(&Collection::ALL, NOW, &mut |entry| {
            let value = std::str::from_utf8(&entry.value).unwrap();
            rows += &format!("{} {} {value}\n", entry.revision.0, entry.key);
            Ok(())
        })
        .unwrap();
    rows
}

/// Rows without their revisions, which differ between stores.
fn unversioned(rows: &str) -> Vec<&str> {
    rows.lines().map(|row| row.split_once(' ').unwrap().1).collect()
}

/// The JSON of each row's record by its key.
fn by_key(rows: &str) -> BTreeMap<String, Value> {
    let parts = |row: &str| {
        // A key may contain spaces. A record is a JSON object or a number.
        let row = row.split_once(' ').unwrap().1;
        let (key, json) = row
            .split_once(" {")
            .map_or_else(|| row.split_once(' ').unwrap(), |(key, _)| row.split_at(key.len()));
        (key.to_owned(), serde_json::from_str(json).unwrap())
    };
    rows.lines().map(parts).collect()
}

fn exported(store: &mut dyn Store) -> String {
    let mut document = Vec::new();
    export(store, &mut document, NOW + 200).unwrap();
    String::from_utf8(document).unwrap()
}

fn new_store(dir: &Path) -> Embedded {
    let mut store = Embedded::open(dir.join("store"), Create::IfMissing, NOW).unwrap();
    fill(&mut store);
    store
}

/// Makes calls of every kind to the replicated engine, one of which loses its response. Returns the requests that were
/// sent, and the keys and values in the engine afterwards.
fn run_replicated() -> (String, String) {
    let cluster = Cluster::new();
    let members = [cluster.member().unwrap(), cluster.member().unwrap()];
    let recorder = Recorder::default();
    let endpoints = members.iter().map(|member| recorder.start_proxy(&member.endpoint())).collect();
    let options =
        Options { call_timeout: Duration::from_secs(5), ..Options::new(endpoints, "shorewharf", "n1", 7) };
    let mut store = Replicated::new(&options).unwrap();
    fill(&mut store);
    store.get(&Key::new(Collection::Tenant, "grad-uprava"), NOW).unwrap().unwrap();
    store.list(&Query::all(Collection::Token).prefix("0").after(Some("02".into())).limit(2), NOW).unwrap();
    store.changes(Revision(0), NOW).unwrap();
    members[0].set(Fault::LosesAnswers);
    let write = |text: &str| {
        let writes = vec![(Key::new(Collection::Budget, "member/n2"), Some(text.as_bytes().to_vec()))];
        Batch { conditions: Vec::new(), writes }
    };
    store.apply(&write("lost"), NOW + 1).unwrap();
    members[0].set(Fault::None);
    store
        .apply(
            &Batch { conditions: vec![], writes: vec![(Key::new(Collection::Budget, "member/n2"), None)] },
            NOW,
        )
        .unwrap();
    let mut records = Vec::new();
    store
        .visit(&Collection::ALL, NOW, &mut |entry| {
            records.push((entry.key, entry.value));
            Ok(())
        })
        .unwrap();
    store.replace(records, NOW).unwrap();
    let keys = cluster.contents().into_iter().map(|(key, value)| format!("{key} {value}\n")).collect();
    (recorder.text(), keys)
}

#[test]
#[ignore = "writes the fixtures"]
fn write_fixtures() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let write = |file: &str, bytes: &[u8]| std::fs::write(folder.join(file), bytes).unwrap();
    let dir = tempfile::tempdir().unwrap();
    let mut store = new_store(dir.path());
    write("store.rows", rows(&mut store).as_bytes());
    write("export.json", exported(&mut store).as_bytes());
    backup(&mut store, &dir.path().join("backup"), NOW).unwrap();
    let copy = dir.path().join("copy");
    CachedStore::new(Box::new(store), Some(copy.clone())).refresh(NOW).unwrap();
    for (file, written) in [("store.redb", "store"), ("backup.redb", "backup"), ("copy", "copy")] {
        write(file, &std::fs::read(dir.path().join(written)).unwrap());
    }
    let (requests, keys) = run_replicated();
    write("gateway.requests", requests.as_bytes());
    write("gateway.keys", keys.as_bytes());
}

#[test]
fn stored_files_and_exports_match_the_fixtures() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = new_store(dir.path());
    assert_eq!(rows(&mut store), STORE_ROWS);
    assert_eq!(exported(&mut store), EXPORT);
    let head = std::fs::read(dir.path().join("store.head")).unwrap();
    let hex: String = head[..8].iter().map(|byte| format!("{byte:02x}")).collect();
    assert_eq!((hex.as_str(), head.len()), (HEAD, 16));
    backup(&mut store, &dir.path().join("backup"), NOW).unwrap();
    assert_eq!(rows(&mut open(&dir.path().join("backup"), NOW).unwrap()), STORE_ROWS);
    let copy = dir.path().join("copy");
    CachedStore::new(Box::new(store), Some(copy.clone())).refresh(NOW).unwrap();
    assert_eq!(std::fs::read_to_string(copy).unwrap(), COPY);
}

#[test]
fn a_store_and_a_backup_of_an_earlier_version_can_be_read() {
    let dir = tempfile::tempdir().unwrap();
    let (path, old) = (dir.path().join("store"), dir.path().join("backup"));
    std::fs::write(&path, STORE_FILE).unwrap();
    std::fs::write(&old, BACKUP_FILE).unwrap();
    assert_eq!(rows(&mut open(&old, NOW).unwrap()), STORE_ROWS);
    let mut store = Embedded::open(&path, Create::Never, NOW).unwrap();
    assert_eq!(rows(&mut store), STORE_ROWS);
    assert_eq!(check(&mut store, NOW).unwrap(), []);
    // The stored reply to each request is replayed. Repeated usage reports are recognised as already recorded.
    for (number, (request, reply)) in requests().iter().zip(new_replies()).enumerate() {
        let repeated = execute(&mut store, std::slice::from_ref(request), NOW + 500).remove(0).unwrap();
        match &request.command {
            Command::RecordUsage(_) => assert_eq!(repeated.reply, Reply::UsageRecorded { new: false }),
            _ => {
                assert_eq!(
                    (repeated.replayed, repeated.reply),
                    (true, without_secret(reply)),
                    "request {number}"
                );
            }
        }
    }
    let LookupResult::Tenant(tenant) =
        look_up(&mut store, &Lookup::Tenant(name("grad-uprava")), NOW).unwrap()
    else {
        panic!()
    };
    assert_eq!((tenant.record.weight.get(), tenant.record.limits.connections), (300, Some(6000)));
    let lookup = Lookup::Usage { id: NumericId(2), granularity: Granularity::Day, from: 0, to: u64::MAX };
    let LookupResult::Usage(rows, None) = look_up(&mut store, &lookup, NOW).unwrap() else { panic!() };
    // Three reports.
    let mut total = usage(9);
    total.add(&usage(9));
    total.add(&usage(9));
    assert_eq!(rows, [UsageRow { start: 1_774_915_200_000_000, usage: total }]);
}

/// The replies when [`fill`] fills an empty store.
fn new_replies() -> Vec<Reply> {
    let dir = tempfile::tempdir().unwrap();
    let mut store = Embedded::open(dir.path().join("store"), Create::IfMissing, NOW).unwrap();
    fill(&mut store).into_iter().map(|done| done.reply).collect()
}

/// A reply as it is replayed: without the text of a token, which is not stored.
fn without_secret(reply: Reply) -> Reply {
    match reply {
        Reply::Token { token, .. } => Reply::Token { token, text: None },
        reply => reply,
    }
}

#[test]
fn an_export_of_an_earlier_version_can_be_imported() {
    let dir = tempfile::tempdir().unwrap();
    let mut store = Embedded::open(dir.path().join("store"), Create::IfMissing, NOW).unwrap();
    import(&mut store, EXPORT, &Actor::console("root").unwrap(), NOW + 300).unwrap();
    let imported = by_key(&rows(&mut store));
    let is_exported = |key: &str| !["once/", "budget/", "meta/"].iter().any(|prefix| key.starts_with(prefix));
    for (key, record) in by_key(STORE_ROWS).into_iter().filter(|(key, _)| is_exported(key)) {
        assert_eq!(imported.get(&key), Some(&record), "{key}");
    }
    let entry = &imported["audit/00000000000000000020"];
    let expected = json!({
        "number": 20, "at": NOW + 300, "who": {"by": "console", "user": "root"}, "deed": "import", "target": "export",
        "after": {"revision": 24},
    });
    assert_eq!(*entry, expected);
    assert_eq!(
        (&imported["meta/tenant-places"], &imported["meta/class-places"]),
        (&json!(65_540), &json!(65_540))
    );
    assert_eq!((&imported["meta/tenants"], &imported["meta/audit"]), (&json!(3), &json!(20)));
}

#[test]
fn a_copy_file_of_an_earlier_version_is_used_while_the_engine_is_unavailable() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("copy");
    std::fs::write(&file, COPY).unwrap();
    let cluster = Cluster::new();
    let member = cluster.member().unwrap();
    member.set(Fault::Refuses);
    let store = Replicated::new(&Options::new(vec![member.endpoint()], "shorewharf", "n1", 7)).unwrap();
    let mut directory = Directory::default();
    assert_eq!(directory.apply(&CachedStore::new(Box::new(store), Some(file)).refresh(NOW + 5).unwrap()), []);
    assert_eq!((directory.age(NOW + 5), directory.revision()), (Some(5), Revision(24)));
    assert_eq!((directory.tenants().count(), directory.classes().count()), (3, 3));
    assert_eq!(directory.limits().record, ServiceLimits { changed: NOW + 6, ..service_limits() });
    assert!(directory.id_assignment(NumericId(1)).unwrap().removed.is_some());
    assert!(
        directory.valid_token(&token_id(2), NOW).is_some()
            && directory.valid_token(&token_id(3), NOW).is_none()
    );
}

#[test]
fn requests_to_the_replicated_engine_and_its_keys_match_the_fixtures() {
    let (requests, keys) = run_replicated();
    for (number, (sent, expected)) in requests.lines().zip(GATEWAY_REQUESTS.lines()).enumerate() {
        assert_eq!(sent, expected, "request {number}");
    }
    assert_eq!(requests.lines().count(), GATEWAY_REQUESTS.lines().count());
    assert_eq!(keys, GATEWAY_KEYS);
    // Another instance can read the fixture's keys.
    let cluster = Cluster::new();
    let member = cluster.member().unwrap();
    for row in GATEWAY_KEYS.lines() {
        let (key, value) = row.split_once(' ').unwrap();
        cluster.put(key, value);
    }
    let mut store = Replicated::new(&Options::new(vec![member.endpoint()], "shorewharf", "n2", 8)).unwrap();
    let mut expected = unversioned(STORE_ROWS);
    let found = rows(&mut store);
    // Stored replies contain no revision, so both engines hold the same records.
    let mut found = unversioned(&found);
    found.sort_unstable();
    expected.sort_unstable();
    assert_eq!(found, expected);
    assert_eq!(check(&mut store, NOW).unwrap(), []);
}

/// Checks that a value is encoded as this JSON, and that the JSON is decoded to the same value.
fn assert_json<T: Serialize + DeserializeOwned + PartialEq + Debug>(value: &T, text: &str) {
    assert_eq!(serde_json::to_string(value).unwrap(), text);
    assert_eq!(&serde_json::from_str::<T>(text).unwrap(), value);
}

#[test]
fn the_json_of_requests_and_replies_is_unchanged() {
    assert_json(
        &full_tenant(),
        r#"{"name":"Grad-Uprava","weight":250,"limits":{"connections":5000,"set_ups":12.5,"returns":40.0},"classes":["plain","ticket-stream"],"state":"active","origin":"file"}"#,
    );
    let change = TenantChange { classes: Some(None), ..TenantChange::default() };
    assert_json(
        &change,
        r#"{"name":null,"weight":null,"limits":null,"classes":null,"state":null,"origin":null}"#,
    );
    assert_json(
        &NewToken { role: Role::TenantAdmin(NumericId(3)), label: "l".into(), expires: Some(9) },
        r#"{"role":"tenant-admin","place":3,"label":"l","expires":9}"#,
    );
    assert_json(
        &UsageRow { start: 60, usage: usage(7) },
        r#"{"start":60,"usage":{"c":60000000,"s":7,"r":{"overload":1,"quota":2},"m":3,"l":400,"b":5000}}"#,
    );
    for (granularity, text) in
        [(Granularity::Minute, "\"minute\""), (Granularity::Hour, "\"hour\""), (Granularity::Day, "\"day\"")]
    {
        assert_json(&granularity, text);
    }
    assert_json(&Reply::UsageRecorded { new: true }, r#"{"kind":"counted","of":{"new":true}}"#);
    let health = StoreHealth {
        engine: "file x".into(),
        revision: Revision(4),
        last_answer: Some(5),
        fault: Some("full".into()),
        schema: 2,
    };
    assert_eq!(
        serde_json::to_string(&health).unwrap(),
        r#"{"engine":"file x","revision":4,"answered":5,"trouble":"full","schema":2}"#
    );
    let dir = tempfile::tempdir().unwrap();
    let mut store = new_store(dir.path());
    let records = STORE_ROWS.lines().count();
    let taken = backup(&mut store, &dir.path().join("backup"), NOW).unwrap();
    assert_eq!(serde_json::to_value(taken).unwrap(), json!({"revision": 24, "records": records}));
}

#[test]
fn the_json_of_audit_entries_is_unchanged() {
    let actions: BTreeMap<&str, AuditAction> = [
        ("tenant-create", AuditAction::TenantCreate),
        ("tenant-change", AuditAction::TenantChange),
        ("tenant-remove", AuditAction::TenantRemove),
        ("class-create", AuditAction::ClassCreate),
        ("class-change", AuditAction::ClassChange),
        ("class-remove", AuditAction::ClassRemove),
        ("token-create", AuditAction::TokenCreate),
        ("token-revoke", AuditAction::TokenRevoke),
        ("limits-set", AuditAction::LimitsSet),
        ("command", AuditAction::Command),
        ("restore", AuditAction::Restore),
        ("import", AuditAction::Import),
    ]
    .into();
    for (text, action) in actions {
        let actor =
            Actor::Token { id: token_id(2), role: Role::TenantAdmin(NumericId(7)), label: "l".into() };
        let (before, after) = (Some(json!(1)), Some(Value::Bool(true)));
        assert_json(
            &AuditEntry { number: 3, at: 4, actor, action, target: "t".into(), before, after },
            &format!(
                r#"{{"number":3,"at":4,"who":{{"by":"token","id":"0202020202020202","role":"tenant-admin","place":7,"label":"l"}},"deed":"{text}","target":"t","before":1,"after":true}}"#
            ),
        );
    }
}
