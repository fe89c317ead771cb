//! Revisions: the numbers of transactions, which are also the versions of records.

use serde::{Deserialize, Serialize};
use std::fmt;

/// The number of a transaction, which increases over the whole store. 0 stands for the time before the first
/// transaction.
///
/// The version of a record is the revision of the transaction that last wrote it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "revision {}", self.0)
    }
}
