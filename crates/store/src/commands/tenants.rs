//! Commands that create, change and remove tenants.

use super::keys::{
    NEXT_TENANT_ID, TENANT_COUNT, class_key, confusable_key, id_assignment_key, service_limits_key,
    tenant_key,
};
use super::reply::{PENDING_REVISION, Reply};
use super::transaction::{AuditNote, Transaction, to_audit_value};
use crate::error::{InvalidValue, StoreError};
use crate::key::{Collection, Key};
use crate::name::{ClassName, TenantName};
use crate::record::{
    Actor, AuditAction, IdAssignment, NewTenant, NumericId, ServiceLimits, TenantChange, TenantRecord,
};
use crate::revision::Revision;
use crate::store::Versioned;
use std::collections::{BTreeMap, BTreeSet};

/// The tenant names that have the same skeleton: the scripts of each, by canonical name.
type ConfusableNames = BTreeMap<String, String>;

/// Assigns the next id of a counter. Ids are never reused.
pub(super) fn assign_id(transaction: &mut Transaction<'_>, counter: &str) -> Result<NumericId, StoreError> {
    let next = transaction.counter(counter)?;
    let id = match u32::try_from(next) {
        Ok(id) if id < u32::MAX => id,
        _ => {
            let limit = u64::from(u32::MAX);
            return Err(StoreError::LimitExceeded { what: counter.into(), found: next, limit });
        }
    };
    transaction.set_counter(counter, next + 1)?;
    Ok(NumericId(id))
}

/// Rejects classes that do not exist: a tenant whose only class is misspelt would get no service at all.
fn check_classes(
    transaction: &mut Transaction<'_>,
    classes: Option<&BTreeSet<ClassName>>,
) -> Result<(), StoreError> {
    for (i, class) in classes.into_iter().flatten().enumerate() {
        let found = transaction.get::<serde_json::Value>(&class_key(class))?;
        if found.is_none() {
            return Err(
                InvalidValue::new(format!("classes[{i}]"), format!("class {class} does not exist")).into()
            );
        }
    }
    Ok(())
}

/// Rejects a number of tenants that exceeds the service-wide limit.
fn check_tenant_limit(transaction: &mut Transaction<'_>, count: u64) -> Result<(), StoreError> {
    let limits = transaction.get::<ServiceLimits>(&service_limits_key())?;
    match limits.and_then(|(_, limits)| limits.tenants) {
        Some(limit) if count > u64::from(limit) => {
            Err(StoreError::LimitExceeded { what: "tenants".into(), found: count, limit: u64::from(limit) })
        }
        _ => Ok(()),
    }
}

/// Adds a name to the index of confusable names. Rejects a name that can be confused with an existing one in other
/// scripts.
fn index_name(transaction: &mut Transaction<'_>, name: &TenantName) -> Result<(), StoreError> {
    let form = name.confusable_form();
    let key = Key::new(Collection::ConfusableName, form.skeleton_hash);
    let mut names: ConfusableNames = transaction.get(&key)?.map(|(_, names)| names).unwrap_or_default();
    if let Some((existing, _)) = names.iter().find(|(_, scripts)| **scripts != form.scripts) {
        return Err(StoreError::ConfusableName { name: name.to_string(), existing: existing.clone() });
    }
    names.insert(name.canonical(), form.scripts);
    transaction.put(&key, &names)
}

/// Removes a name from the index of confusable names.
fn unindex_name(transaction: &mut Transaction<'_>, name: &TenantName) -> Result<(), StoreError> {
    let key = confusable_key(name);
    let mut names: ConfusableNames = transaction.get(&key)?.map(|(_, names)| names).unwrap_or_default();
    names.remove(&name.canonical());
    if names.is_empty() {
        transaction.remove(&key);
        return Ok(());
    }
    transaction.put(&key, &names)
}

pub(super) fn create(
    transaction: &mut Transaction<'_>,
    actor: &Actor,
    new: &NewTenant,
) -> Result<Reply, StoreError> {
    let key = tenant_key(&new.name);
    if transaction.get::<TenantRecord>(&key)?.is_some() {
        return Err(StoreError::AlreadyExists { key: key.text() });
    }
    let count = transaction.counter(TENANT_COUNT)? + 1;
    check_tenant_limit(transaction, count)?;
    check_classes(transaction, new.classes.as_ref())?;
    index_name(transaction, &new.name)?;
    let id = assign_id(transaction, NEXT_TENANT_ID)?;
    let now = transaction.now;
    let record = TenantRecord {
        name: new.name.clone(),
        id,
        weight: new.weight,
        limits: new.limits.clone(),
        classes: new.classes.clone(),
        state: new.state,
        origin: new.origin,
        created: now,
        changed: now,
    };
    let assignment = IdAssignment { id, name: new.name.clone(), assigned: now, removed: None };
    transaction.put(&key, &record)?;
    transaction.put(&id_assignment_key(id), &assignment)?;
    transaction.set_counter(TENANT_COUNT, count)?;
    let note = AuditNote {
        action: AuditAction::TenantCreate,
        target: key.text(),
        before: None,
        after: Some(to_audit_value(&record)),
    };
    transaction.audit(actor, note)?;
    Ok(Reply::Tenant(Versioned { version: PENDING_REVISION, record }))
}

/// The record of a tenant after a change.
fn apply_change(
    transaction: &mut Transaction<'_>,
    before: &TenantRecord,
    change: &TenantChange,
) -> Result<TenantRecord, StoreError> {
    let mut record = before.clone();
    if let Some(name) = &change.name {
        if name.canonical() != before.name.canonical() {
            let cause = format!("{:?} is not a spelling of {:?}", name.as_str(), before.name.as_str());
            return Err(InvalidValue::new("name", cause).into());
        }
        record.name = name.clone();
    }
    if let Some(classes) = &change.classes {
        check_classes(transaction, classes.as_ref())?;
        record.classes = classes.clone();
    }
    record.weight = change.weight.unwrap_or(record.weight);
    record.limits = change.limits.clone().unwrap_or(record.limits);
    record.state = change.state.unwrap_or(record.state);
    record.origin = change.origin.unwrap_or(record.origin);
    record.changed = transaction.now;
    Ok(record)
}

/// A request to change a tenant.
pub(super) struct Change<'a> {
    /// The name of the tenant, in any spelling.
    pub(super) name: &'a TenantName,
    /// The version that the record must have; `None` for any.
    pub(super) expected: Option<Revision>,
    pub(super) change: &'a TenantChange,
}

pub(super) fn change(
    transaction: &mut Transaction<'_>,
    actor: &Actor,
    request: &Change<'_>,
) -> Result<Reply, StoreError> {
    let key = tenant_key(request.name);
    let (_, before): (_, TenantRecord) = transaction.require(&key, request.expected)?;
    let record = apply_change(transaction, &before, request.change)?;
    transaction.put(&key, &record)?;
    if record.name != before.name {
        let key = id_assignment_key(record.id);
        let (_, assignment): (_, IdAssignment) = transaction.require(&key, None)?;
        transaction.put(&key, &IdAssignment { name: record.name.clone(), ..assignment })?;
    }
    let note = AuditNote {
        action: AuditAction::TenantChange,
        target: key.text(),
        before: Some(to_audit_value(&before)),
        after: Some(to_audit_value(&record)),
    };
    transaction.audit(actor, note)?;
    Ok(Reply::Tenant(Versioned { version: PENDING_REVISION, record }))
}

pub(super) fn remove(
    transaction: &mut Transaction<'_>,
    actor: &Actor,
    name: &TenantName,
    expected: Option<Revision>,
) -> Result<Reply, StoreError> {
    let key = tenant_key(name);
    let (_, before): (_, TenantRecord) = transaction.require(&key, expected)?;
    transaction.remove(&key);
    unindex_name(transaction, &before.name)?;
    let assignment_key = id_assignment_key(before.id);
    let (_, assignment): (_, IdAssignment) = transaction.require(&assignment_key, None)?;
    transaction.put(&assignment_key, &IdAssignment { removed: Some(transaction.now), ..assignment })?;
    let count = transaction.counter(TENANT_COUNT)?;
    transaction.set_counter(TENANT_COUNT, count.saturating_sub(1))?;
    let note = AuditNote {
        action: AuditAction::TenantRemove,
        target: key.text(),
        before: Some(to_audit_value(&before)),
        after: None,
    };
    transaction.audit(actor, note)?;
    Ok(Reply::Removed(before.id))
}
