//! The commands that change records, and the requests that carry them.

use crate::name::{ClassName, TenantName};
use crate::record::{
    Actor, ClassRecord, IdempotencyKey, NewTenant, NewToken, ServiceLimits, TenantChange, TokenId, TokenSeed,
    UsageReport,
};
use crate::revision::Revision;
use serde_json::Value;

/// A request to carry out a command.
#[derive(Clone, Debug)]
pub struct ChangeRequest {
    /// Who makes the change.
    pub actor: Actor,
    /// The change to make.
    pub command: Command,
    /// The idempotency key that the caller gave, if any.
    pub idempotency_key: Option<IdempotencyKey>,
}

impl ChangeRequest {
    /// A request without an idempotency key.
    pub fn new(actor: Actor, command: Command) -> ChangeRequest {
        ChangeRequest { actor, command, idempotency_key: None }
    }
}

/// A change of records. In all commands, `expected` is the version that the record must have; `None` allows any
/// version.
#[derive(Clone, Debug)]
pub enum Command {
    /// Creates a tenant and assigns a numeric id to it.
    CreateTenant(NewTenant),
    /// Changes a tenant.
    ChangeTenant {
        /// The name of the tenant, in any spelling.
        name: TenantName,
        /// The version that the record must have.
        expected: Option<Revision>,
        /// The fields to change.
        change: TenantChange,
    },
    /// Removes a tenant. Its name can be used again at once; its id is never reused.
    RemoveTenant {
        /// The name of the tenant, in any spelling.
        name: TenantName,
        /// The version that the record must have.
        expected: Option<Revision>,
    },
    /// Creates a class, or changes an existing one, which keeps its id.
    PutClass {
        /// The definition of the class.
        class: ClassRecord,
        /// The version that the record must have; 0 if the class must not exist.
        expected: Option<Revision>,
    },
    /// Removes a class that no tenant refers to.
    RemoveClass {
        /// The name of the class.
        name: ClassName,
        /// The version that the record must have.
        expected: Option<Revision>,
    },
    /// Creates a token.
    CreateToken {
        /// The properties of the token.
        new: NewToken,
        /// The random bytes from which the id and the secret are made.
        seed: TokenSeed,
    },
    /// Revokes a token permanently.
    RevokeToken {
        /// The id of the token.
        id: TokenId,
    },
    /// Replaces all service-wide limits.
    SetLimits {
        /// The new limits.
        limits: ServiceLimits,
        /// The version that the record must have; 0 if no limits must be set yet.
        expected: Option<Revision>,
    },
    /// Adds an entry to the audit trail for a command to the fleet that changes no record.
    RecordAction {
        /// The subject of the command: a server, a session, or the sessions of a tenant.
        target: String,
        /// The state of the subject before the command.
        before: Option<Value>,
        /// The state of the subject after the command.
        after: Option<Value>,
    },
    /// Records the usage that an instance counted in a minute.
    RecordUsage(UsageReport),
    /// Removes a limited number of expired records: replies to requests with an idempotency key, and usage by minute
    /// and hour.
    RemoveExpired,
}
