//! The audit trail: who changed what, when, from what, to what.

use super::{LONGEST_LABEL, Micros, Role, TokenId, label};
use crate::error::Invalid;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Who makes a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", tag = "by")]
pub enum Actor {
    /// The bearer of a token.
    Token {
        /// The token.
        id: TokenId,
        /// What it allows.
        #[serde(flatten)]
        role: Role,
        /// What it is for.
        label: String,
    },
    /// The configuration file, at the start or on a reload.
    File,
    /// Whoever runs the program on the machine itself: restore, import, the first token.
    Console {
        /// The system's name of that person; at most 256 bytes.
        user: String,
    },
    /// The service itself.
    Service,
}

impl Actor {
    /// Somebody at the machine itself.
    pub fn console(user: &str) -> Result<Actor, Invalid> {
        label("user", user, LONGEST_LABEL)?;
        Ok(Actor::Console { user: user.into() })
    }
}

/// What was done.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Deed {
    /// A tenant was made.
    TenantCreate,
    /// A tenant was changed.
    TenantChange,
    /// A tenant was removed.
    TenantRemove,
    /// A class was made.
    ClassCreate,
    /// A class was changed.
    ClassChange,
    /// A class was removed.
    ClassRemove,
    /// A token was made.
    TokenCreate,
    /// A token was revoked.
    TokenRevoke,
    /// Service-wide limits were set.
    LimitsSet,
    /// Something was done to the fleet that no record holds: a server frozen, sessions moved.
    Command,
    /// All records were replaced by those of a backup.
    Restore,
    /// All records were replaced by those of an export.
    Import,
}

/// One entry. Entries are numbered from 1 without a gap, and only ever added.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AuditEntry {
    /// Its number.
    pub number: u64,
    /// When it was done.
    pub at: Micros,
    /// Who did it.
    pub who: Actor,
    /// What was done.
    pub deed: Deed,
    /// To which record, as a key's text, or to what else.
    pub target: String,
    /// The record before; `None` where there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub before: Option<Value>,
    /// The record after; `None` where there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub after: Option<Value>,
}

impl AuditEntry {
    /// The key's name of an entry's number: twenty digits, so that names are ordered as numbers are.
    pub fn name(number: u64) -> String {
        format!("{number:020}")
    }
}
