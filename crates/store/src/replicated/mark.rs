//! The mark of an instance: the name of its last transaction, which is a condition of its next one.
//!
//! If the answer to a transaction is lost, a fence (a transaction that only changes the mark) finds out whether the lost
//! one was made, and prevents it from being made later.

use rand::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Distinguishes the random number of a mark from others of the same seed.
const NONCE_SALT: u64 = 0x6d61_726b;

/// A transaction whose answer was lost.
#[derive(Clone)]
pub(super) struct LostTransaction {
    /// The mark before it; `None` if there was none.
    pub(super) before: Option<String>,
    /// The mark that it writes.
    pub(super) mark: String,
}

/// Makes the marks of one process.
pub(super) struct MarkSequence {
    /// New at each start, so that an earlier process with the same name is distinguished from this one.
    nonce: u64,
    sequence: u64,
}

impl MarkSequence {
    pub(super) fn new(seed: u64) -> MarkSequence {
        MarkSequence { nonce: Pcg64Mcg::seed_from_u64(seed ^ NONCE_SALT).next_u64(), sequence: 0 }
    }

    /// A mark that sorts after all before.
    pub(super) fn next(&mut self) -> String {
        self.sequence += 1;
        format!("{:016x}:{:020}", self.nonce, self.sequence)
    }

    /// Whether a mark is of this process and after another one of it.
    pub(super) fn is_own_after(&self, mark: &str, earlier: &str) -> bool {
        mark.starts_with(&format!("{:016x}:", self.nonce)) && mark > earlier
    }

    /// The name of the first generation.
    pub(super) fn first_generation(&self) -> String {
        format!("g1-{:016x}", self.nonce)
    }

    /// The name of a new generation at a revision.
    pub(super) fn next_generation(&mut self, revision: u64) -> String {
        self.sequence += 1;
        format!("g{revision}-{:016x}", self.nonce.wrapping_add(self.sequence))
    }
}
