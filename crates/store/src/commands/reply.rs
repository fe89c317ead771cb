//! The replies to commands. Replies to requests with an idempotency key are stored, so their JSON form must not change.

use crate::record::{ClassRecord, NumericId, ServiceLimits, TenantRecord, TokenRecord};
use crate::revision::Revision;
use crate::store::Versioned;
use serde::{Deserialize, Serialize};

/// Stands for the version of a record that is not written yet.
pub(super) const PENDING_REVISION: Revision = Revision(u64::MAX);

/// The reply to a command.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "kind", content = "of")]
pub enum Reply {
    /// The tenant after the command.
    Tenant(Versioned<TenantRecord>),
    /// The class after the command.
    Class(Versioned<ClassRecord>),
    /// The token after the command. The reply to the creation of a token has the token's text, which is never stored,
    /// so that a replayed reply has none.
    Token {
        /// The record of the token.
        token: Versioned<TokenRecord>,
        /// The text of the token, if it was created by this request.
        #[serde(skip)]
        text: Option<String>,
    },
    /// The service-wide limits after the command.
    Limits(Versioned<ServiceLimits>),
    /// The tenant or class with this id was removed.
    Removed(NumericId),
    /// The audit entry was added.
    #[serde(rename = "noted")]
    ActionRecorded,
    /// The usage of the report is recorded.
    #[serde(rename = "counted")]
    UsageRecorded {
        /// Whether any of it had not been recorded before.
        new: bool,
    },
    /// Expired records were removed.
    #[serde(rename = "tidied")]
    ExpiredRemoved {
        /// The number of records that were removed.
        removed: usize,
        /// Whether more expired records may remain.
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
    /// The reply to the command.
    pub reply: Reply,
    /// Whether this is the stored reply to an earlier request with the same idempotency key. This request has then
    /// changed nothing.
    pub replayed: bool,
}

impl Completed {
    pub(super) fn new(reply: Reply) -> Completed {
        Completed { reply, replayed: false }
    }
}
