//! A flag that several threads share.

use std::sync::atomic::{AtomicBool, Ordering};

/// A boolean that any thread may read and set.
#[derive(Debug, Default)]
pub struct Flag(AtomicBool);

impl Flag {
    /// Sets the flag.
    pub fn set(&self, value: bool) {
        self.0.store(value, Ordering::SeqCst);
    }

    /// Whether the flag is set.
    pub fn is_set(&self) -> bool {
        self.0.load(Ordering::SeqCst)
    }
}
