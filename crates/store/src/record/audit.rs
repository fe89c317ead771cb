//! The audit trail: who changed what and when, with the record before and after.

use super::{Role, TokenId, check_label};
use crate::error::InvalidValue;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use shorewharf_units::Micros;

/// Who makes a change.
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
    /// The configuration file, at the start or on a reload.
    File,
    /// A user at the machine's console: restore, import, the first token.
    Console {
        /// The user's name in the system; at most 256 bytes.
        user: String,
    },
    /// The service itself.
    Service,
}

impl Actor {
    /// A user at the machine's console.
    ///
    /// # Errors
    /// If the name is longer than 256 bytes or has control characters.
    pub fn console(user: &str) -> Result<Actor, InvalidValue> {
        check_label("user", user)?;
        Ok(Actor::Console { user: user.into() })
    }
}

/// The kind of a change.
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
    /// Service-wide limits were set.
    LimitsSet,
    /// A command to the fleet that changes no record: a server frozen, sessions migrated.
    Command,
    /// All records were replaced by those of a backup.
    Restore,
    /// All records were replaced by those of an export.
    Import,
}

/// An entry of the audit trail. Entries are numbered from 1 without a gap, and never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// Its number.
    pub number: u64,
    /// When the change was made.
    pub at: Micros,
    /// Who made the change.
    #[serde(rename = "who")]
    pub actor: Actor,
    /// What was done.
    #[serde(rename = "deed")]
    pub action: AuditAction,
    /// The key of the changed record, or what else was acted on.
    pub target: String,
    /// The record before; `None` if there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// The record after; `None` if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

impl AuditEntry {
    /// The name of an entry's record: twenty digits, so that names are ordered as numbers are.
    pub fn key_name(number: u64) -> String {
        format!("{number:020}")
    }
}
