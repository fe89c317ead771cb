//! The replies to commands. Replies to calls with an idempotency key are stored.

use crate::record::{ClassRecord, NumericId, ServiceLimits, TenantRecord, TokenRecord};
use crate::revision::Revision;
use crate::store::Versioned;
use serde::{Deserialize, Serialize};

/// The version of a record that is not written yet.
pub(super) const PENDING_REVISION: Revision = Revision(u64::MAX);

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "of")]
pub enum Reply {
    /// The tenant as it is now.
    Tenant(Versioned<TenantRecord>),
    /// The class as it is now.
    Class(Versioned<ClassRecord>),
    /// The token's record, and its text if it was just created. The text is never stored, so a replayed reply has none.
    Token {
        /// The record.
        token: Versioned<TokenRecord>,
        /// The text.
        #[serde(skip)]
        text: Option<String>,
    },
    /// The limits as they are now.
    Limits(Versioned<ServiceLimits>),
    /// Removed; the id that the tenant or class had.
    Removed(NumericId),
    /// The audit entry was added.
    #[serde(rename = "noted")]
    ActionRecorded,
    /// The usage is recorded.
    #[serde(rename = "counted")]
    UsageRecorded {
        /// Whether any of it was new.
        new: bool,
    },
    /// Expired records were removed.
    #[serde(rename = "tidied")]
    ExpiredRemoved {
        /// How many.
        removed: usize,
        /// Whether more can be removed now.
        more: bool,
    },
}

impl Reply {
    /// Sets the version of a record that had not been written when the command was decided.
    pub(super) fn set_pending_version(&mut self, revision: Revision) {
        let version = match self {
            Reply::Tenant(tenant) => &mut tenant.version,
            Reply::Class(class) => &mut class.version,
            Reply::Token { token, .. } => &mut token.version,
            Reply::Limits(limits) => &mut limits.version,
            Reply::Removed(_)
            | Reply::ActionRecorded
            | Reply::UsageRecorded { .. }
            | Reply::ExpiredRemoved { .. } => return,
        };
        if *version == PENDING_REVISION {
            *version = revision;
        }
    }
}

/// The result of a change request.
#[derive(Clone, Debug, PartialEq)]
pub struct Completed {
    /// The reply.
    pub reply: Reply,
    /// Whether it is the reply to an earlier request with the same idempotency key, and nothing was changed now.
    pub replayed: bool,
}

impl Completed {
    pub(super) fn new(reply: Reply) -> Completed {
        Completed { reply, replayed: false }
    }
}
