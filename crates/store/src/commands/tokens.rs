//! Commands that create and revoke tokens.

use super::keys::{id_assignment_key, token_key};
use super::reply::{PENDING_REVISION, Reply};
use super::transaction::{AuditNote, Transaction};
use crate::error::{InvalidValue, StoreError};
use crate::record::{Actor, AuditAction, IdAssignment, NewToken, Role, TokenId, TokenRecord, TokenSeed};
use crate::store::Versioned;

pub(super) fn create(
    transaction: &mut Transaction<'_>,
    actor: &Actor,
    new: &NewToken,
    seed: &TokenSeed,
) -> Result<Reply, StoreError> {
    if let Role::TenantAdmin(id) = new.role {
        let assignment = transaction.get::<IdAssignment>(&id_assignment_key(id))?;
        if assignment.is_none_or(|(_, assignment)| assignment.removed.is_some()) {
            return Err(InvalidValue::new("place", format!("no tenant has {id}")).into());
        }
    }
    let minted = TokenRecord::mint(new.clone(), seed, transaction.now)?;
    let key = token_key(&minted.record.id);
    if transaction.get::<TokenRecord>(&key)?.is_some() {
        return Err(StoreError::AlreadyExists { key: key.text() });
    }
    transaction.put(&key, &minted.record)?;
    let note = AuditNote {
        action: AuditAction::TokenCreate,
        target: key.text(),
        before: None,
        after: Some(minted.record.redacted()),
    };
    transaction.audit(actor, note)?;
    let token = Versioned { version: PENDING_REVISION, record: minted.record };
    Ok(Reply::Token { token, text: Some(minted.text) })
}

/// Revokes a token. Revoking a revoked token succeeds and changes nothing.
pub(super) fn revoke(
    transaction: &mut Transaction<'_>,
    actor: &Actor,
    id: &TokenId,
) -> Result<Reply, StoreError> {
    let key = token_key(id);
    let (version, before): (_, TokenRecord) = transaction.require(&key, None)?;
    if before.revoked.is_some() {
        return Ok(Reply::Token { token: Versioned { version, record: before }, text: None });
    }
    let record = TokenRecord { revoked: Some(transaction.now), ..before.clone() };
    transaction.put(&key, &record)?;
    let note = AuditNote {
        action: AuditAction::TokenRevoke,
        target: key.text(),
        before: Some(before.redacted()),
        after: Some(record.redacted()),
    };
    transaction.audit(actor, note)?;
    Ok(Reply::Token { token: Versioned { version: PENDING_REVISION, record }, text: None })
}
