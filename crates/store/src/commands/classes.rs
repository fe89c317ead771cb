//! Commands that create, change and remove classes.

use super::keys::{NEXT_CLASS_ID, class_key};
use super::reply::{PENDING_REVISION, Reply};
use super::tenants::assign_id;
use super::transaction::{AuditNote, Transaction, check_version, to_audit_value};
use crate::error::{InvalidValue, StoreError};
use crate::key::Collection;
use crate::name::ClassName;
use crate::record::{Actor, AuditAction, ClassRecord, TenantRecord};
use crate::revision::Revision;
use crate::store::{Query, Versioned};

/// Creates the class, or changes an existing one, which keeps its id.
pub(super) fn put(
    transaction: &mut Transaction<'_>,
    actor: &Actor,
    class: &ClassRecord,
    expected: Option<Revision>,
) -> Result<Reply, StoreError> {
    let key = class_key(class.name());
    let before = transaction.get::<ClassRecord>(&key)?;
    let found = before.as_ref().map_or(Revision(0), |(version, _)| *version);
    check_version(&key, expected, found)?;
    let before = before.map(|(_, before)| before);
    let (id, created, action) = match &before {
        Some(before) => (before.id(), before.created(), AuditAction::ClassChange),
        None => (assign_id(transaction, NEXT_CLASS_ID)?, transaction.now, AuditAction::ClassCreate),
    };
    let record = class.clone().with_assigned(id, created, transaction.now);
    transaction.put(&key, &record)?;
    let note = AuditNote {
        action,
        target: key.text(),
        before: before.as_ref().map(to_audit_value),
        after: Some(to_audit_value(&record)),
    };
    transaction.audit(actor, note)?;
    Ok(Reply::Class(Versioned { version: PENDING_REVISION, record }))
}

/// Removes a class that no tenant refers to.
///
/// The list of tenants is not a condition of the batch. A tenant that is changed concurrently to refer to the class
/// keeps the name of a class that does not exist, for which no request is admitted.
pub(super) fn remove(
    transaction: &mut Transaction<'_>,
    actor: &Actor,
    name: &ClassName,
    expected: Option<Revision>,
) -> Result<Reply, StoreError> {
    let key = class_key(name);
    let (_, before): (_, ClassRecord) = transaction.require(&key, expected)?;
    if let Some(tenant) = find_tenant_using(transaction, name)? {
        let cause = format!("is still in use by tenant {:?}", tenant.name.as_str());
        return Err(InvalidValue::new(key.text(), cause).into());
    }
    transaction.remove(&key);
    let note = AuditNote {
        action: AuditAction::ClassRemove,
        target: key.text(),
        before: Some(to_audit_value(&before)),
        after: None,
    };
    transaction.audit(actor, note)?;
    Ok(Reply::Removed(before.id()))
}

/// Finds the first tenant that refers to a class.
fn find_tenant_using(
    transaction: &mut Transaction<'_>,
    class: &ClassName,
) -> Result<Option<TenantRecord>, StoreError> {
    let mut query = Query::all(Collection::Tenant);
    loop {
        let page = transaction.list(&query)?;
        for entry in &page.entries {
            let tenant: TenantRecord = entry.decode()?;
            if tenant.classes.as_ref().is_some_and(|classes| classes.contains(class)) {
                return Ok(Some(tenant));
            }
        }
        query.after = page.next_after();
        if query.after.is_none() {
            return Ok(None);
        }
    }
}
