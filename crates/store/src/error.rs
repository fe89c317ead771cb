//! Errors of the store. Each names the key, file or endpoint at fault and the cause.

use crate::revision::Revision;
use std::path::PathBuf;
use thiserror::Error;

/// Why an operation on the store failed.
///
/// Nothing was changed, except perhaps after [`StoreError::OutcomeUnknown`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No record has this key.
    #[error("{key}: not there")]
    NotFound {
        /// The record's key.
        key: String,
    },
    /// The record to create exists already.
    #[error("{key}: there already")]
    AlreadyExists {
        /// The record's key.
        key: String,
    },
    /// The record has changed since the caller read it.
    #[error("{key}: last changed at {found}, not at {expected}")]
    Conflict {
        /// The record's key.
        key: String,
        /// The version that the caller expected; 0 for no record.
        expected: Revision,
        /// The version of the record; 0 if there is none.
        found: Revision,
    },
    /// A field has a value that is not allowed.
    #[error(transparent)]
    Invalid(#[from] InvalidValue),
    /// The name can be confused with an existing one that is written in other scripts.
    #[error("name {name:?} looks like {existing:?}, which is written in other scripts")]
    ConfusableName {
        /// The rejected name.
        name: String,
        /// The existing name.
        existing: String,
    },
    /// The idempotency key was used for another call.
    #[error("the idempotency key was used at {first_used} µs for another call")]
    IdempotencyKeyReused {
        /// When the key was first used, in microseconds since 1970.
        first_used: u64,
    },
    /// The same minute of usage was reported before, with other figures.
    #[error("usage of {instance} in minute {minute}: other figures were counted already")]
    UsageAlreadyRecorded {
        /// The reporting instance.
        instance: String,
        /// The minute since 1970.
        minute: u64,
    },
    /// The stored data is corrupt: the store must be restored from a backup.
    #[error("{location}: damaged: {cause}")]
    Corrupt {
        /// The file or key.
        location: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The data was written by a newer program.
    #[error("{location}: has schema {found}; this program knows schemas up to {supported}")]
    NewerSchema {
        /// The file or key prefix.
        location: String,
        /// The schema of the data.
        found: u32,
        /// The newest schema that this program supports.
        supported: u32,
    },
    /// Another process has the file open.
    #[error("{path}: open in another process")]
    Locked {
        /// The file.
        path: PathBuf,
    },
    /// The disk is full, or the file has reached its size limit.
    #[error("{location}: no space: {cause}")]
    NoSpace {
        /// The file.
        location: String,
        /// The system's error message.
        cause: String,
    },
    /// Reading or writing failed.
    #[error("{location}: {cause}")]
    Io {
        /// The file or endpoint.
        location: String,
        /// The system's error message.
        cause: String,
    },
    /// No endpoint of the engine answers.
    #[error("{endpoint}: not to be reached: {cause}")]
    Unavailable {
        /// The last endpoint called.
        endpoint: String,
        /// Why the call failed.
        cause: String,
    },
    /// The change may or may not have been made. The store finds out before its next write.
    #[error("{location}: not known whether the change was kept: {cause}")]
    OutcomeUnknown {
        /// The file or endpoint.
        location: String,
        /// Why no answer came.
        cause: String,
    },
    /// A member answered with older data than was read before.
    #[error("{endpoint}: answers with revision {found}, older than {newest} which was seen already")]
    Stale {
        /// The member's endpoint.
        endpoint: String,
        /// The revision it answered with.
        found: Revision,
        /// The newest revision read so far.
        newest: Revision,
    },
    /// A limit is exceeded.
    #[error("{what}: {found} where at most {limit} may be")]
    LimitExceeded {
        /// What is limited.
        what: String,
        /// The requested amount.
        found: u64,
        /// The largest amount allowed.
        limit: u64,
    },
    /// The queue to the store's thread is full.
    #[error("{pending} calls wait for the store already")]
    QueueFull {
        /// Calls in the queue.
        pending: usize,
    },
    /// The store's thread has ended.
    #[error("the store is closed")]
    Closed,
}

impl StoreError {
    /// Whether the same call may succeed later without any change by the caller.
    pub fn is_transient(&self) -> bool {
        matches!(
            self,
            StoreError::NoSpace { .. }
                | StoreError::Io { .. }
                | StoreError::Unavailable { .. }
                | StoreError::OutcomeUnknown { .. }
                | StoreError::Stale { .. }
                | StoreError::QueueFull { .. }
        )
    }

    pub(crate) fn corrupt(location: impl ToString, cause: impl ToString) -> StoreError {
        StoreError::Corrupt { location: location.to_string(), cause: cause.to_string() }
    }
}

/// A field with a value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {cause}")]
pub struct InvalidValue {
    /// The field, as a path in the record.
    pub field: String,
    /// What is wrong with its value.
    pub cause: String,
}

impl InvalidValue {
    /// An error about `field`.
    pub fn new(field: impl Into<String>, cause: impl Into<String>) -> InvalidValue {
        InvalidValue { field: field.into(), cause: cause.into() }
    }
}
