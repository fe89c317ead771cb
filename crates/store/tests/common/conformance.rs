//! Conformance tests that every storage engine must pass. They run in order on one store, since the last check covers
//! the audit trail of all changes.

use super::{NOW, create, execute_one, name, report};
use shorewharf_store::check::check;
use shorewharf_store::commands::{
    ChangeRequest, Command, Granularity, Lookup, LookupResult, Reply, execute, look_up,
};
use shorewharf_store::error::StoreError;
use shorewharf_store::name::ClassName;
use shorewharf_store::record::{
    Actor, ClassObjectives, ClassRecord, IdempotencyKey, NewTenant, NewToken, NumericId, Role, Semantics,
    ServiceLimits, TenantChange, TenantLimits, TenantState, TokenRecord, TokenSeed,
};
use shorewharf_store::{revision::Revision, store::Store};

fn found(store: &mut dyn Store, lookup: Lookup) -> LookupResult {
    look_up(store, &lookup, NOW).unwrap()
}

fn a_change_of_an_outdated_version_is_rejected(store: &mut dyn Store) {
    let created = create(store, "grad-uprava").unwrap();
    let weight = |w: u32| TenantChange { weight: Some(w.try_into().unwrap()), ..TenantChange::default() };
    let change = |w, expected| Command::ChangeTenant {
        name: name("GRAD-uprava"),
        expected: Some(expected),
        change: weight(w),
    };
    // Two requests of one group expect the same version; the first changes it.
    let both = [change(200, created.version), change(300, created.version)]
        .map(|c| ChangeRequest::new(Actor::File, c));
    let done = execute(store, &both, NOW + 1);
    let Ok(Reply::Tenant(first)) = done[0].as_ref().map(|d| &d.reply) else { panic!("{done:?}") };
    assert!(first.version > created.version && first.record.weight.get() == 200);
    assert!(
        matches!(&done[1], Err(StoreError::Conflict { key, .. }) if key == "tenant/grad-uprava"),
        "{done:?}"
    );
    let third = execute_one(store, change(300, first.version), NOW + 2).unwrap();
    let Reply::Tenant(third) = third.reply else { panic!() };
    assert_eq!(found(store, Lookup::Tenant(name("grad-uprava"))), LookupResult::Tenant(third));
}

fn a_recreated_tenant_gets_a_new_id(store: &mut dyn Store) {
    let before = create(store, "bolnica-sjever").unwrap();
    let remove = || Command::RemoveTenant { name: name("bolnica-sjever"), expected: None };
    let remove_and_create = [remove(), Command::CreateTenant(NewTenant::named(name("Bolnica-Sjever")))];
    let done = execute(store, &remove_and_create.map(|c| ChangeRequest::new(Actor::File, c)), NOW + 5);
    assert_eq!(done[0].as_ref().unwrap().reply, Reply::Removed(before.record.id));
    let Reply::Tenant(after) = &done[1].as_ref().unwrap().reply else { panic!() };
    assert!(after.record.id > before.record.id && after.version > before.version);
    let LookupResult::IdAssignment(old) = found(store, Lookup::IdAssignment(before.record.id)) else {
        panic!()
    };
    assert_eq!((old.removed, old.name.as_str()), (Some(NOW + 5), "bolnica-sjever"));
    assert!(matches!(create(store, "BOLNICA-SJEVER"), Err(StoreError::AlreadyExists { .. })));
}

fn a_confusable_name_is_rejected_while_the_other_one_exists(store: &mut dyn Store) {
    create(store, "pay").unwrap();
    assert!(
        matches!(create(store, "рау"), Err(StoreError::ConfusableName { existing, .. }) if existing == "pay")
    );
    execute_one(store, Command::RemoveTenant { name: name("pay"), expected: None }, NOW).unwrap();
    create(store, "рау").unwrap();
    assert!(matches!(create(store, "PAY"), Err(StoreError::ConfusableName { .. })));
    for long in ["x".repeat(4096), "長".repeat(1365), "я".into()] {
        let stored = create(store, &long).unwrap();
        assert_eq!(found(store, Lookup::Tenant(name(&long))), LookupResult::Tenant(stored));
    }
}

fn a_repeated_idempotency_key_replays_the_reply(store: &mut dyn Store) {
    let key = |body: &[u8]| Some(IdempotencyKey::new("token-1", "key-1", body, NOW + 1000).unwrap());
    let request = |tenant: &str, body| {
        let command = Command::CreateTenant(NewTenant::named(name(tenant)));
        ChangeRequest { actor: Actor::File, command, idempotency_key: key(body) }
    };
    let first = execute(store, &[request("knjiznica", b"a")], NOW).remove(0).unwrap();
    let repeated = execute(store, &[request("knjiznica", b"a")], NOW + 10).remove(0).unwrap();
    assert!(!first.replayed && repeated.replayed);
    assert_eq!(first.reply, repeated.reply);
    let other_body = execute(store, &[request("other", b"b")], NOW + 10).remove(0);
    assert_eq!(other_body, Err(StoreError::IdempotencyKeyReused { first_used: NOW }));
    let expired = execute(store, &[request("knjiznica", b"a")], NOW + 1000).remove(0);
    assert!(matches!(expired, Err(StoreError::AlreadyExists { .. })), "{expired:?}");
}

fn class_references_and_limits_are_enforced(store: &mut dyn Store) {
    let class = ClassName::new("ticket-stream").unwrap();
    let record = |priority_weight| {
        let objectives = ClassObjectives { setup_ms: 800.0, message_ms: 50.0, priority_weight };
        ClassRecord::new(class.clone(), objectives, Semantics::Idempotent).unwrap()
    };
    let mut new = NewTenant::named(name("desk"));
    new.classes = Some([class.clone()].into());
    let unknown = execute_one(store, Command::CreateTenant(new.clone()), NOW).unwrap_err();
    assert_eq!(unknown.to_string(), "classes[0]: class ticket-stream does not exist");
    execute_one(store, Command::PutClass { class: record(1.0), expected: Some(Revision(0)) }, NOW).unwrap();
    new.limits = TenantLimits { connections: Some(5), ..TenantLimits::default() };
    execute_one(store, Command::CreateTenant(new), NOW).unwrap();
    let Reply::Class(changed) =
        execute_one(store, Command::PutClass { class: record(2.0), expected: None }, NOW).unwrap().reply
    else {
        panic!()
    };
    assert_eq!((changed.record.id(), changed.record.priority_weight()), (NumericId(0), 2.0));
    let in_use =
        execute_one(store, Command::RemoveClass { name: class.clone(), expected: None }, NOW).unwrap_err();
    assert_eq!(in_use.to_string(), "class/ticket-stream: is still in use by tenant \"desk\"");
    let LookupResult::Tenants(all, None) =
        found(store, Lookup::Tenants { prefix: String::new(), after: None, limit: 1000 })
    else {
        panic!()
    };
    let limits = ServiceLimits { tenants: Some(all.len() as u32), ..ServiceLimits::default() };
    execute_one(store, Command::SetLimits { limits, expected: Some(Revision(0)) }, NOW).unwrap();
    assert!(matches!(create(store, "one-too-many"), Err(StoreError::LimitExceeded { .. })));
    let frozen =
        TenantChange { state: Some(TenantState::Frozen), classes: Some(None), ..TenantChange::default() };
    execute_one(store, Command::ChangeTenant { name: name("desk"), expected: None, change: frozen }, NOW)
        .unwrap();
    execute_one(store, Command::RemoveClass { name: class, expected: None }, NOW).unwrap();
}

fn a_token_is_stored_as_a_hash_and_rejected_once_expired_or_revoked(store: &mut dyn Store) {
    let new = NewToken { role: Role::Viewer, label: "night shift".into(), expires: Some(NOW + 100) };
    let Reply::Token { token, text: Some(text) } =
        execute_one(store, Command::CreateToken { new, seed: TokenSeed([7; 40]) }, NOW).unwrap().reply
    else {
        panic!()
    };
    let (id, secret) = TokenRecord::parse_text(&text).unwrap();
    let mut all = Vec::new();
    let visitor = &mut |e: shorewharf_store::store::Entry| {
        all.extend(e.value);
        Ok(())
    };
    store.visit(&shorewharf_store::key::Collection::ALL, NOW, visitor).unwrap();
    assert!(!String::from_utf8_lossy(&all).contains(secret), "the store contains the secret");
    let record = token.record;
    assert!(
        record.accepts(secret, NOW + 99) && !record.accepts(secret, NOW + 100) && !record.accepts("x", NOW)
    );
    execute_one(store, Command::RevokeToken { id: id.clone() }, NOW + 1).unwrap();
    let LookupResult::Token(token) = found(store, Lookup::Token(id)) else { panic!() };
    assert!(!token.record.accepts(secret, NOW + 2));
    let new = NewToken { role: Role::TenantAdmin(NumericId(9999)), label: String::new(), expires: None };
    let rejected =
        execute_one(store, Command::CreateToken { new, seed: TokenSeed([8; 40]) }, NOW).unwrap_err();
    assert_eq!(rejected.to_string(), "place: no tenant has id 9999");
}

fn repeated_usage_reports_are_recorded_once(store: &mut dyn Store) {
    let day = 20_000 * 24 * 60;
    // Ids 63 and 64 are in different chunks, and 6,000 ids have more chunks than fit into one batch.
    let many: Vec<(u32, u64)> = (0..6000).step_by(3).map(|id| (id, u64::from(id) + 1)).collect();
    for (instance, minute) in [("a@1", day + 59), ("a@1", day + 60), ("b@1", day + 59)] {
        assert_eq!(
            execute_one(store, report(instance, minute, &many), NOW).unwrap().reply,
            Reply::UsageRecorded { new: true }
        );
        assert_eq!(
            execute_one(store, report(instance, minute, &many), NOW).unwrap().reply,
            Reply::UsageRecorded { new: false }
        );
    }
    let with_other_figures = execute_one(store, report("a@1", day + 59, &[(63, 1)]), NOW);
    assert_eq!(
        with_other_figures,
        Err(StoreError::UsageAlreadyRecorded { instance: "a@1".into(), minute: day + 59 })
    );
    let minute = 60_000_000;
    let mut rows = |id, granularity| {
        let (from, to) = (day * minute, (day + 120) * minute + Granularity::Day.micros());
        let LookupResult::Usage(rows, None) =
            found(store, Lookup::Usage { id: NumericId(id), granularity, from, to })
        else {
            panic!()
        };
        rows.iter()
            .map(|r| (r.start / minute - day, r.usage.setups, r.usage.rejections["quota"]))
            .collect::<Vec<_>>()
    };
    assert_eq!(rows(63, Granularity::Minute), [(59, 128, 64), (60, 64, 32)]);
    assert_eq!(rows(63, Granularity::Hour), [(0, 128, 64), (60, 64, 32)]);
    assert_eq!(rows(5997, Granularity::Day), [(0, 3 * 5998, 3 * 2999)]);
    assert_eq!(rows(64, Granularity::Day), []);
    // Days later, usage by minute has expired; a repeated report is still recognised.
    let later = (day + 5 * 24 * 60) * minute;
    for i in 0..130 {
        create(store, &format!("filler-{i}")).unwrap();
    }
    while let Reply::ExpiredRemoved { more: true, .. } =
        execute_one(store, Command::RemoveExpired, later).unwrap().reply
    {}
    let repeated = execute_one(store, report("b@1", day + 59, &many), later).unwrap().reply;
    assert_eq!(repeated, Reply::UsageRecorded { new: false });
}

fn every_change_has_its_audit_entry(store: &mut dyn Store) {
    let mut entries = Vec::new();
    let mut before = None;
    loop {
        let LookupResult::Audit(page, next) = found(store, Lookup::Audit { before, limit: 7 }) else {
            panic!()
        };
        entries.extend(page);
        match next {
            Some(_) => before = next,
            None => break,
        }
    }
    let numbers: Vec<u64> = entries.iter().map(|e| e.number).collect();
    assert_eq!(numbers, (1..=numbers[0]).rev().collect::<Vec<_>>());
    let last = entries.iter().rfind(|e| e.target == "tenant/grad-uprava" && e.before.is_some()).unwrap();
    assert_eq!(last.before.as_ref().unwrap()["weight"], 100);
    assert_eq!(last.after.as_ref().unwrap()["weight"], 200);
    assert!(entries.iter().all(|e| !e.after.as_ref().is_some_and(|a| a.to_string().contains("hash"))));
}

/// Runs all tests on an empty store, then checks the store's integrity.
pub fn run_conformance(store: &mut dyn Store) {
    a_change_of_an_outdated_version_is_rejected(store);
    a_recreated_tenant_gets_a_new_id(store);
    a_confusable_name_is_rejected_while_the_other_one_exists(store);
    a_repeated_idempotency_key_replays_the_reply(store);
    a_token_is_stored_as_a_hash_and_rejected_once_expired_or_revoked(store);
    repeated_usage_reports_are_recorded_once(store);
    class_references_and_limits_are_enforced(store);
    every_change_has_its_audit_entry(store);
    assert_eq!(check(store, NOW).unwrap(), []);
}
