//! The command that sets the service-wide limits.

use super::keys::service_limits_key;
use super::reply::{PENDING_REVISION, Reply};
use super::transaction::{AuditNote, Transaction, check_version, to_audit_value};
use crate::error::StoreError;
use crate::record::{Actor, AuditAction, ServiceLimits};
use crate::revision::Revision;
use crate::store::Versioned;

pub(super) fn set(
    transaction: &mut Transaction<'_>,
    actor: &Actor,
    limits: &ServiceLimits,
    expected: Option<Revision>,
) -> Result<Reply, StoreError> {
    let key = service_limits_key();
    let before = transaction.get::<ServiceLimits>(&key)?;
    let found = before.as_ref().map_or(Revision(0), |(version, _)| *version);
    check_version(&key, expected, found)?;
    let record = ServiceLimits { changed: transaction.now, ..limits.clone() };
    transaction.put(&key, &record)?;
    let note = AuditNote {
        action: AuditAction::LimitsSet,
        target: key.text(),
        before: before.map(|(_, before)| to_audit_value(&before)),
        after: Some(to_audit_value(&record)),
    };
    transaction.audit(actor, note)?;
    Ok(Reply::Limits(Versioned { version: PENDING_REVISION, record }))
}
