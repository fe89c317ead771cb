//! Errors of the store. Each message names the affected key, file or endpoint and the cause.

use crate::revision::Revision;
use std::path::PathBuf;
use thiserror::Error;

/// The reason why an operation on the store failed.
///
/// A failed operation has changed nothing, except possibly after [`StoreError::OutcomeUnknown`].
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum StoreError {
    /// No record has this key.
    #[error("{key}: not found")]
    NotFound {
        /// The record's key.
        key: String,
    },
    /// The record to create already exists.
    #[error("{key}: already exists")]
    AlreadyExists {
        /// The record's key.
        key: String,
    },
    /// The record has changed since the caller read it.
    #[error("{key}: version conflict: expected {expected}, found {found}")]
    Conflict {
        /// The record's key.
        key: String,
        /// The version that the caller expected; 0 for no record.
        expected: Revision,
        /// The version of the record; 0 if there is none.
        found: Revision,
    },
    /// A field of the record has a value that is not allowed.
    #[error(transparent)]
    Invalid(#[from] InvalidValue),
    /// The name can be confused with an existing one that is written in other scripts.
    #[error(
        "name {name:?} can be confused with the existing name {existing:?}, which is written in other scripts"
    )]
    ConfusableName {
        /// The rejected name.
        name: String,
        /// The existing name.
        existing: String,
    },
    /// The idempotency key was already used for another request.
    #[error("the idempotency key was already used for another request, at {first_used} µs since 1970")]
    IdempotencyKeyReused {
        /// The time at which the key was first used, in microseconds since 1970.
        first_used: u64,
    },
    /// The instance has already reported other usage for the same minute.
    #[error("{instance}: other usage was already recorded for minute {minute} since 1970")]
    UsageAlreadyRecorded {
        /// The instance that sent the report.
        instance: String,
        /// The minute, counted from the start of 1970.
        minute: u64,
    },
    /// The stored data is corrupt: the store must be restored from a backup.
    #[error("{location}: corrupt data: {cause}")]
    Corrupt {
        /// The file or key with the corrupt data.
        location: String,
        /// The fault that was found.
        cause: String,
    },
    /// The data was written by a newer version of the program.
    #[error("{location}: has schema {found}; this program supports schemas up to {supported}")]
    NewerSchema {
        /// The file or key that holds the schema.
        location: String,
        /// The schema of the data.
        found: u32,
        /// The newest schema that this program supports.
        supported: u32,
    },
    /// Another process has the file open.
    #[error("{path}: the file is open in another process")]
    Locked {
        /// The path of the file.
        path: PathBuf,
    },
    /// The disk is full, the file has reached its size limit, or a member of the cluster has reached its quota.
    #[error("{location}: no space left: {cause}")]
    NoSpace {
        /// The path of the file, or the endpoint.
        location: String,
        /// The error message of the operating system or the member.
        cause: String,
    },
    /// A call of the operating system failed for another reason.
    #[error("{location}: {cause}")]
    Io {
        /// The path of the file, or the name of the thread.
        location: String,
        /// The error message of the operating system.
        cause: String,
    },
    /// The engine is unavailable: no endpoint answers, or other instances changed the record during every attempt.
    #[error("{endpoint}: unavailable: {cause}")]
    Unavailable {
        /// The last endpoint that was called, or the key of the record that was changed.
        endpoint: String,
        /// The reason why the call failed.
        cause: String,
    },
    /// The change may or may not have been made. The store determines which before its next write.
    #[error("{location}: unknown whether the change was committed: {cause}")]
    OutcomeUnknown {
        /// The file or endpoint.
        location: String,
        /// The reason why there was no answer.
        cause: String,
    },
    /// A member of the cluster answered with older data than was read before.
    #[error("{endpoint}: answered with {found}, which is older than {newest} read before")]
    Stale {
        /// The member's endpoint.
        endpoint: String,
        /// The revision of the answer.
        found: Revision,
        /// The newest revision read so far.
        newest: Revision,
    },
    /// A limit is exceeded.
    #[error("{what}: {found} exceeds the limit of {limit}")]
    LimitExceeded {
        /// The quantity that is limited.
        what: String,
        /// The amount that was requested or found.
        found: u64,
        /// The largest amount allowed.
        limit: u64,
    },
    /// The queue to the store's thread is full.
    #[error("the store's queue is full: {pending} jobs are pending")]
    QueueFull {
        /// The number of jobs in the queue.
        pending: usize,
    },
    /// The store's thread has ended, or its file is closed.
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

    /// A [`StoreError::Corrupt`] about `location`.
    pub(crate) fn corrupt(location: impl ToString, cause: impl ToString) -> StoreError {
        StoreError::Corrupt { location: location.to_string(), cause: cause.to_string() }
    }
}

/// An error about a field with a value that is not allowed.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{field}: {cause}")]
pub struct InvalidValue {
    /// The path of the field within the record or document.
    pub field: String,
    /// The reason why the value is not allowed.
    pub cause: String,
}

impl InvalidValue {
    /// An error about the field at this path.
    pub fn new(field: impl Into<String>, cause: impl Into<String>) -> InvalidValue {
        InvalidValue { field: field.into(), cause: cause.into() }
    }
}
