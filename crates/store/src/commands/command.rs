//! The commands that change records.

use crate::name::{ClassName, TenantName};
use crate::record::{
    Actor, ClassRecord, IdempotencyKey, NewTenant, NewToken, ServiceLimits, TenantChange, TokenId, TokenSeed,
    UsageReport,
};
use crate::revision::Revision;
use serde_json::Value;

/// A command, who gives it, and its idempotency key.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Who makes the change.
    pub actor: Actor,
    /// The change.
    pub command: Command,
    /// The idempotency key, if there is one.
    pub idempotency_key: Option<IdempotencyKey>,
}

impl ChangeRequest {
    /// A request without an idempotency key.
    pub fn new(actor: Actor, command: Command) -> ChangeRequest {
        ChangeRequest { actor, command, idempotency_key: None }
    }
}

/// A change. `expected` is the version that the record must have; `None` for any.
#[derive(Clone, Debug)]
pub enum Command {
    /// Creates a tenant and assigns it an id.
    CreateTenant(NewTenant),
    /// Changes a tenant.
    ChangeTenant {
        /// The tenant, in any spelling of its name.
        name: TenantName,
        /// Its version.
        expected: Option<Revision>,
        /// The changes.
        change: TenantChange,
    },
    /// Removes a tenant. Its name can be used again at once, its id never.
    RemoveTenant {
        /// The tenant, in any spelling of its name.
        name: TenantName,
        /// Its version.
        expected: Option<Revision>,
    },
    /// Creates a class, or changes it without changing its id.
    PutClass {
        /// The class.
        class: ClassRecord,
        /// Its version; 0 if it must not exist.
        expected: Option<Revision>,
    },
    /// Removes a class that no tenant refers to.
    RemoveClass {
        /// The class.
        name: ClassName,
        /// Its version.
        expected: Option<Revision>,
    },
    /// Creates a token.
    CreateToken {
        /// The token to create.
        new: NewToken,
        /// Its random bytes.
        seed: TokenSeed,
    },
    /// Revokes a token for good.
    RevokeToken {
        /// The token.
        id: TokenId,
    },
    /// Sets the service-wide limits, all of them.
    SetLimits {
        /// The limits.
        limits: ServiceLimits,
        /// Their version; 0 if none were set.
        expected: Option<Revision>,
    },
    /// Adds an entry to the audit trail for a command to the fleet that changes no record.
    RecordAction {
        /// What was acted on: a server, a session, a tenant's sessions.
        target: String,
        /// Its state before.
        before: Option<Value>,
        /// Its state after.
        after: Option<Value>,
    },
    /// Records what an instance counted in a minute.
    RecordUsage(UsageReport),
    /// Removes a limited number of expired records: idempotency keys, and usage by minute and hour.
    RemoveExpired,
}
