//! Failures of the embedded engine, and their conversion into store errors.

use crate::error::StoreError;
use crate::files::io_error;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// Why a call of the engine failed.
#[derive(Debug)]
pub(super) enum EngineFailure {
    /// The store rejected the call; the database stays open.
    Rejected(StoreError),
    /// The engine returned an error, or its data is corrupt; the database must be closed.
    Engine(redb::Error),
    /// The engine panicked with this message; the database must be closed.
    Panicked(String),
}

impl EngineFailure {
    /// Converts the failure into an error about the file `location`.
    pub(super) fn into_store_error(self, location: &str) -> StoreError {
        let location = location.to_owned();
        match self {
            EngineFailure::Rejected(e) => e,
            EngineFailure::Panicked(cause) => StoreError::Corrupt { location, cause },
            EngineFailure::Engine(redb::Error::DatabaseAlreadyOpen) => {
                StoreError::Locked { path: location.into() }
            }
            EngineFailure::Engine(redb::Error::Io(e)) => io_error(&location, &e),
            EngineFailure::Engine(e @ redb::Error::PreviousIo) => {
                StoreError::Io { location, cause: e.to_string() }
            }
            EngineFailure::Engine(e) => StoreError::Corrupt { location, cause: e.to_string() },
        }
    }

    /// Turns corruption that this module has found into a failure of the engine, so that the file is closed. Other
    /// errors remain rejections.
    pub(super) fn corrupt(e: StoreError) -> EngineFailure {
        match e {
            StoreError::Corrupt { location, cause } => {
                EngineFailure::Engine(redb::Error::Corrupted(format!("{location}: {cause}")))
            }
            e => EngineFailure::Rejected(e),
        }
    }
}

impl From<StoreError> for EngineFailure {
    fn from(e: StoreError) -> EngineFailure {
        EngineFailure::Rejected(e)
    }
}

impl From<io::Error> for EngineFailure {
    fn from(e: io::Error) -> EngineFailure {
        EngineFailure::Engine(redb::Error::Io(e))
    }
}

macro_rules! from_engine_errors {
    ($($kind:ident),*) => {
        $(impl From<redb::$kind> for EngineFailure {
            fn from(e: redb::$kind) -> EngineFailure {
                EngineFailure::Engine(e.into())
            }
        })*
    };
}
from_engine_errors!(
    CommitError,
    DatabaseError,
    SetDurabilityError,
    StorageError,
    TableError,
    TransactionError
);

/// Calls the engine and converts a panic into a failure.
pub(super) fn catch_panics<T, E: Into<EngineFailure>>(
    call: impl FnOnce() -> Result<T, E>,
) -> Result<T, EngineFailure> {
    match catch_unwind(AssertUnwindSafe(call)) {
        Ok(result) => result.map_err(Into::into),
        Err(panic) => {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no panic message");
            Err(EngineFailure::Panicked(format!("the engine panicked: {text}")))
        }
    }
}
