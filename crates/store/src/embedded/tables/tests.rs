//! Tests of schema checks and migrations when a file is opened.

use super::*;
use crate::commands::{ChangeRequest, Command, execute};
use crate::embedded::{Create, Embedded};
use crate::name::TenantName;
use crate::record::{Actor, NewTenant};
use crate::store::{Query, Store};

fn set_schema(path: &std::path::Path, schema: u64) {
    let db = Database::create(path).unwrap();
    let txn = begin_write(&db).unwrap();
    txn.open_table(NUMBERS).unwrap().insert(SCHEMA, schema).unwrap();
    txn.commit().unwrap();
}

#[test]
fn an_older_schema_is_migrated_and_a_newer_one_is_rejected() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("store");
    let mut store = Embedded::open(&path, Create::IfMissing, 0).unwrap();
    let create = |store: &mut Embedded, name| {
        let command = Command::CreateTenant(NewTenant::named(TenantName::new(name).unwrap()));
        execute(store, &[ChangeRequest::new(Actor::File, command)], 0).remove(0)
    };
    create(&mut store, "pay").unwrap();
    // Turn the file into one of schema 1, which had no index of confusable names.
    let index_entries = store.list(&Query::all(Collection::ConfusableName), 0).unwrap().entries;
    let writes = index_entries.into_iter().map(|entry| (entry.key, None)).collect();
    store.apply(&Batch { conditions: vec![], writes }, 0).unwrap();
    drop(store);
    set_schema(&path, 1);
    let mut store = Embedded::open(&path, Create::Never, 0).unwrap();
    assert!(matches!(create(&mut store, "рау"), Err(StoreError::ConfusableName { .. })));
    assert_eq!(crate::check::check(&mut store, 0).unwrap(), []);
    drop(store);
    assert!(dir.path().join("store.schema-1").exists(), "the file was not copied before the migration");
    set_schema(&path, 3);
    let e = Embedded::open(&path, Create::Never, 0).map(drop).unwrap_err().to_string();
    assert!(e.ends_with("store: has schema 3; this program supports schemas up to 2"), "{e}");
}
