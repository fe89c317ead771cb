//! Backups of a running store, and export and import of documents.

mod common;

use common::conformance::run_conformance;
use common::{NOW, execute_one, name};
use serde_json::{Value, json};
use shorewharf_store::backup::{backup, restore};
use shorewharf_store::check::check;
use shorewharf_store::commands::Command;
use shorewharf_store::embedded::{Create, Embedded};
use shorewharf_store::error::StoreError;
use shorewharf_store::exchange::{ImportError, check_document, export, import};
use shorewharf_store::record::Actor;
use shorewharf_store::store::Store;

fn export_json(store: &mut dyn Store) -> Value {
    let mut document = Vec::new();
    export(store, &mut document, NOW).unwrap();
    serde_json::from_slice(&document)
        .unwrap_or_else(|e| panic!("{e}: {}", String::from_utf8_lossy(&document)))
}

#[test]
fn an_import_copies_an_exported_store_and_an_invalid_one_changes_nothing() {
    let dir = tempfile::tempdir().unwrap();
    let mut first = Embedded::open(dir.path().join("first"), Create::IfMissing, NOW).unwrap();
    run_conformance(&mut first);
    let mut document = export_json(&mut first);
    let mut second = Embedded::open(dir.path().join("second"), Create::IfMissing, NOW).unwrap();
    let empty = export_json(&mut second);
    let actor = Actor::console("operator").unwrap();
    import(&mut second, &empty.to_string(), &actor, NOW).unwrap();
    import(&mut second, &document.to_string(), &actor, NOW).unwrap();
    assert_eq!(check(&mut second, NOW).unwrap(), []);
    let mut imported = export_json(&mut second);
    let entry = imported["audit"].as_array_mut().unwrap().pop().unwrap();
    assert_eq!(
        (entry["deed"].as_str(), &entry["after"]["revision"]),
        (Some("import"), &document["revision"])
    );
    for field in ["audit", "classes", "places", "tenants", "tokens", "limits", "usage"] {
        assert!(!document[field].is_null() && document[field] == imported[field], "{field} differs");
    }
    // Ids that either store assigned are not assigned again.
    let next_id = document["counters"]["tenant-places"].as_u64().unwrap();
    assert!(imported["counters"]["tenant-places"].as_u64().unwrap() >= next_id);

    // Every fault of an invalid document is reported with its path, and nothing is changed.
    let before = second.health().revision;
    let tenants = document["tenants"].as_array().unwrap().len();
    document["schema"] = json!(99);
    document["extra"] = json!(1);
    document["tenants"][0]["weight"] = json!(0);
    document["tenants"][1]["name"] = json!("a\nb");
    document["tenants"][2]["limits"]["set_ups"] = json!(-1.5);
    document["tenants"][3] = document["tenants"][4].clone();
    document["audit"][2]["deed"] = json!("nonsense");
    document["usage"][0]["chunk"] = json!("x");
    document["counters"]["tenant-places"] = json!("x");
    let Err(ImportError::Invalid(faults)) = import(&mut second, &document.to_string(), &actor, NOW) else {
        panic!()
    };
    let reported: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert_eq!(
        reported,
        [
            "schema: 99 is not between 1 and 2",
            "audit[2].deed: unknown variant `nonsense`, expected one of `tenant-create`, `tenant-change`, `tenant-remove`, \
             `class-create`, `class-change`, `class-remove`, `token-create`, `token-revoke`, `limits-set`, `command`, `restore`, `import`",
            "counters.tenant-places: is not a non-negative integer",
            "extra: unknown field",
            "tenants[0].weight: weight: 0 is not between 1 and 1000000",
            "tenants[1].name: name: contains the forbidden character U+000A",
            "tenants[2].limits.set_ups: rate: -1.5 is not between 0 and 1000000",
            "tenants[4]: has the same key as tenants[3]",
            "usage[0]: must have a valid level, chunk, interval, instance and record",
        ]
    );
    // Records that are valid by themselves but contradict each other.
    let mut document = export_json(&mut first);
    document["tenants"][5]["place"] = document["tenants"][6]["place"].clone();
    document["places"].as_array_mut().unwrap().pop();
    let Err(ImportError::Invalid(faults)) = check_document(&document.to_string()) else { panic!() };
    assert!(
        faults.iter().any(|f| f.field == "tenants[6].place" && f.cause.starts_with("is also assigned to ")),
        "{faults:?}"
    );
    assert!(faults.iter().any(|f| f.cause == "is not an id that is assigned to a tenant"), "{faults:?}");
    assert!(matches!(check_document("{"), Err(ImportError::Json(_))));
    assert!(matches!(check_document("[]"), Err(ImportError::Invalid(_))));
    assert_eq!(second.health().revision, before);
    assert_eq!(export_json(&mut second)["tenants"].as_array().unwrap().len(), tenants);
}

#[test]
fn a_backup_is_written_atomically_and_a_damaged_one_is_not_restored() {
    let dir = tempfile::tempdir().unwrap();
    let file = dir.path().join("backup");
    let mut store = Embedded::open(dir.path().join("store"), Create::IfMissing, NOW).unwrap();
    run_conformance(&mut store);
    let actor = Actor::console("operator").unwrap();
    let revision = store.health().revision;
    let taken = backup(&mut store, &file, NOW).unwrap();
    assert_eq!(taken.revision, revision);
    let exported = export_json(&mut store);
    execute_one(&mut store, Command::RemoveTenant { name: name("grad-uprava"), expected: None }, NOW)
        .unwrap();
    let after_removal = store.health().revision;
    let intact = std::fs::read(&file).unwrap();
    for length in [0, 100, 5000, intact.len() / 2, intact.len() - 1] {
        std::fs::write(&file, &intact[..length]).unwrap();
        let e = restore(&mut store, &file, &actor, NOW).unwrap_err();
        let named = e.to_string().starts_with(&format!("{}: corrupt data: ", file.display()));
        assert!(matches!(e, StoreError::Corrupt { .. }) && named, "{length} bytes: {e}");
    }
    assert_eq!(store.health().revision, after_removal, "a damaged backup changed the store");
    std::fs::write(&file, &intact).unwrap();
    let restored = restore(&mut store, &file, &actor, NOW).unwrap();
    assert!(restored.revision > after_removal);
    assert_eq!(export_json(&mut store)["tenants"], exported["tenants"]);
    assert_eq!(std::fs::read(&file).unwrap(), intact, "restoring changed the backup");
    // A backup that can't be written gives an error, and backups leave no temporary files.
    let error = backup(&mut store, &dir.path().join("no/where"), NOW).unwrap_err();
    assert!(error.to_string().contains("no/where"), "{error}");
    execute_one(&mut store, Command::RemoveTenant { name: name("я"), expected: None }, NOW).unwrap();
    backup(&mut store, &file, NOW).unwrap();
    let mut files: Vec<_> = std::fs::read_dir(dir.path())
        .unwrap()
        .map(|f| f.unwrap().file_name().into_string().unwrap())
        .collect();
    files.sort();
    assert_eq!(files, ["backup", "store", "store.head"]);
}
