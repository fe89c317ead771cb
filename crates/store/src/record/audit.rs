//! The audit trail: for each change, who made it and when, and the record before and after.

use super::{Role, TokenId, check_label};
use crate::error::InvalidValue;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use shorewharf_units::Micros;

/// Who made a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "by")]
pub enum Actor {
    /// The bearer of a token.
    Token {
        /// The token's id.
        id: TokenId,
        /// The token's role.
        #[serde(flatten)]
        role: Role,
        /// The token's label.
        label: String,
    },
    /// The configuration file, read at the start of the service or on a reload.
    File,
    /// A user at the console of the machine, who restores or imports records or creates the first token.
    Console {
        /// The user's name in the operating system; at most 256 bytes.
        user: String,
    },
    /// The service itself.
    Service,
}

impl Actor {
    /// The actor for a user at the console of the machine.
    ///
    /// # Errors
    /// If the name is longer than 256 bytes or has control characters.
    pub fn console(user: &str) -> Result<Actor, InvalidValue> {
        check_label("user", user)?;
        Ok(Actor::Console { user: user.into() })
    }
}

/// What was done, by the kind of record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum AuditAction {
    /// A tenant was created.
    TenantCreate,
    /// A tenant was changed.
    TenantChange,
    /// A tenant was removed.
    TenantRemove,
    /// A class was created.
    ClassCreate,
    /// A class was changed.
    ClassChange,
    /// A class was removed.
    ClassRemove,
    /// A token was created.
    TokenCreate,
    /// A token was revoked.
    TokenRevoke,
    /// The service-wide limits were set.
    LimitsSet,
    /// A command to the fleet that changes no record, such as freezing a server or migrating sessions.
    Command,
    /// All records were replaced by those of a backup.
    Restore,
    /// All records were replaced by those of an export.
    Import,
}

/// An entry of the audit trail. Entries are numbered from 1 without gaps, and are never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// The number of the entry.
    pub number: u64,
    /// The time of the change, in microseconds since 1970.
    pub at: Micros,
    /// Who made the change.
    #[serde(rename = "who")]
    pub actor: Actor,
    /// The kind of the change.
    #[serde(rename = "deed")]
    pub action: AuditAction,
    /// The key of the changed record, or the name of the server, session or tenant that a command was about.
    pub target: String,
    /// The record before the change; `None` if there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// The record after the change; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

impl AuditEntry {
    /// The name of the record of entry `number`: twenty digits, so that names sort in the order of the numbers.
    pub fn key_name(number: u64) -> String {
        format!("{number:020}")
    }
}
