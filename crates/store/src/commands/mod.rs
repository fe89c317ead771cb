//! The commands that change records and the lookups that read them, the same for every engine.
//!
//! [`execute`] makes a group of changes at once. Each change is decided as if the changes before it had been written,
//! and all changes that succeed are written in one batch, so that a hundred pending changes cost one synced write.

mod classes;
mod command;
mod keys;
mod limits;
mod lookup;
mod reply;
mod tenants;
mod tokens;
mod transaction;
mod usage;
mod usage_keys;

pub use command::{ChangeRequest, Command};
pub(crate) use keys::{LAST_AUDIT_NUMBER, NEXT_CLASS_ID, NEXT_TENANT_ID, SERVICE_LIMITS, TENANT_COUNT};
pub use lookup::{Lookup, LookupResult, UsageRow, look_up};
pub use reply::{Completed, Reply};
pub use usage_keys::Granularity;

use crate::error::StoreError;
use crate::key::Key;
use crate::record::{AuditAction, IdempotencyRecord};
use crate::store::{Batch, Store};
use keys::{
    class_key, confusable_key, counter_key, idempotency_key, service_limits_key, tenant_key, token_key,
};
use shorewharf_units::Micros;
use std::collections::BTreeSet;
use transaction::{AuditNote, MAX_ATTEMPTS, Transaction, contention_error};

/// The result of each request of a group.
type Results = Vec<Result<Completed, StoreError>>;

/// Makes the requested changes in order, and returns the result of each.
pub fn execute(
    store: &mut dyn Store,
    requests: &[ChangeRequest],
    now: Micros,
) -> Vec<Result<Completed, StoreError>> {
    let mut results = Vec::with_capacity(requests.len());
    while results.len() < requests.len() {
        let remaining = &requests[results.len()..];
        if let Command::RecordUsage(report) = &remaining[0].command {
            results.push(usage::record(store, report, now).map(Completed::new));
        } else {
            results.extend(execute_group(store, remaining, now));
        }
    }
    results
}

/// Makes as many changes as fit into one batch, but at least one. Returns the results of those.
fn execute_group(store: &mut dyn Store, requests: &[ChangeRequest], now: Micros) -> Results {
    for attempt in 1.. {
        let mut transaction = Transaction::new(store, now);
        if let Err(e) = transaction.prefetch(keys_to_prefetch(requests)) {
            return vec![Err(e)];
        }
        let mut results = decide_group(&mut transaction, requests);
        if !transaction.has_writes() {
            return results;
        }
        let batch = transaction.into_batch();
        match store.apply(&batch, now) {
            Ok(revision) => {
                for completed in results.iter_mut().flatten() {
                    completed.reply.set_pending_version(revision);
                }
                return results;
            }
            // Another instance changed a record that was read: all requests are decided again, including the checks of
            // the versions that callers expect.
            Err(StoreError::Conflict { .. } | StoreError::AlreadyExists { .. }) if attempt < MAX_ATTEMPTS => {
            }
            Err(e) => return fail_changes(results, contention_error(e)),
        }
    }
    unreachable!("the last attempt returns")
}

/// Decides as many requests as fit into one batch, and returns their results.
fn decide_group(transaction: &mut Transaction<'_>, requests: &[ChangeRequest]) -> Results {
    let mut results = Results::new();
    for request in requests {
        // Usage is written in batches of its own. The removal of a class lists the tenants in the store, which does not
        // show the writes of this group.
        let needs_own_batch =
            matches!(request.command, Command::RemoveClass { .. }) && transaction.has_writes();
        if needs_own_batch || matches!(request.command, Command::RecordUsage(_)) {
            break;
        }
        match decide(transaction, request) {
            Ok(completed) if transaction.stage_draft() => results.push(Ok(completed)),
            Ok(_) => break,
            Err(e) => {
                transaction.discard_draft();
                results.push(Err(e));
            }
        }
    }
    results
}

/// The keys of most records that the requests will read. Other records are read on demand.
fn keys_to_prefetch(requests: &[ChangeRequest]) -> Vec<Key> {
    let mut keys = BTreeSet::from([counter_key(LAST_AUDIT_NUMBER)]);
    for request in requests.iter().take(Batch::MAX_OPERATIONS) {
        keys.extend(request.idempotency_key.as_ref().map(idempotency_key));
        match &request.command {
            Command::CreateTenant(new) => {
                keys.extend([tenant_key(&new.name), confusable_key(&new.name), service_limits_key()]);
                keys.extend([counter_key(NEXT_TENANT_ID), counter_key(TENANT_COUNT)]);
                keys.extend(new.classes.iter().flatten().map(class_key));
            }
            Command::ChangeTenant { name, .. } => keys.extend([tenant_key(name)]),
            Command::RemoveTenant { name, .. } => {
                keys.extend([tenant_key(name), confusable_key(name), counter_key(TENANT_COUNT)]);
            }
            Command::PutClass { class, .. } => keys.extend([class_key(class.name())]),
            Command::RevokeToken { id } => keys.extend([token_key(id)]),
            Command::SetLimits { .. } => keys.extend([service_limits_key()]),
            Command::RemoveClass { .. }
            | Command::CreateToken { .. }
            | Command::RecordAction { .. }
            | Command::RecordUsage(_)
            | Command::RemoveExpired => {}
        }
    }
    keys.into_iter().collect()
}

/// The results if a batch was not written: requests that succeeded fail with `e`, while replayed replies and earlier
/// errors stay.
fn fail_changes(results: Results, e: StoreError) -> Results {
    let fail = |completed: Completed| if completed.replayed { Ok(completed) } else { Err(e.clone()) };
    results.into_iter().map(|result| result.and_then(fail)).collect()
}

/// Decides one request, or replays the stored reply to an earlier request with the same idempotency key.
fn decide(transaction: &mut Transaction<'_>, request: &ChangeRequest) -> Result<Completed, StoreError> {
    let Some(idempotency) = &request.idempotency_key else {
        return dispatch(transaction, request).map(Completed::new);
    };
    let key = idempotency_key(idempotency);
    let earlier = transaction.get::<IdempotencyRecord>(&key)?;
    if let Some((version, earlier)) = earlier.filter(|(_, earlier)| transaction.now < earlier.expires) {
        if earlier.request_hash != idempotency.request_hash {
            return Err(StoreError::IdempotencyKeyReused { first_used: earlier.created });
        }
        let mut reply: Reply =
            serde_json::from_value(earlier.reply).map_err(|e| StoreError::corrupt(&key, e))?;
        reply.set_pending_version(version);
        return Ok(Completed { reply, replayed: true });
    }
    let reply = dispatch(transaction, request)?;
    let record = IdempotencyRecord {
        request_hash: idempotency.request_hash.clone(),
        reply: serde_json::to_value(&reply).map_err(|e| StoreError::corrupt(&key, e))?,
        created: transaction.now,
        expires: idempotency.expires,
    };
    transaction.put(&key, &record)?;
    Ok(Completed::new(reply))
}

fn dispatch(transaction: &mut Transaction<'_>, request: &ChangeRequest) -> Result<Reply, StoreError> {
    let actor = &request.actor;
    match &request.command {
        Command::CreateTenant(new) => tenants::create(transaction, actor, new),
        Command::ChangeTenant { name, expected, change } => {
            tenants::change(transaction, actor, &tenants::Change { name, expected: *expected, change })
        }
        Command::RemoveTenant { name, expected } => tenants::remove(transaction, actor, name, *expected),
        Command::PutClass { class, expected } => classes::put(transaction, actor, class, *expected),
        Command::RemoveClass { name, expected } => classes::remove(transaction, actor, name, *expected),
        Command::CreateToken { new, seed } => tokens::create(transaction, actor, new, seed),
        Command::RevokeToken { id } => tokens::revoke(transaction, actor, id),
        Command::SetLimits { limits, expected } => limits::set(transaction, actor, limits, *expected),
        Command::RecordAction { target, before, after } => {
            let note = AuditNote {
                action: AuditAction::Command,
                target: target.clone(),
                before: before.clone(),
                after: after.clone(),
            };
            transaction.audit(actor, note)?;
            Ok(Reply::ActionRecorded)
        }
        Command::RemoveExpired => usage::remove_expired(transaction),
        Command::RecordUsage(_) => Ok(Reply::UsageRecorded { new: false }),
    }
}
