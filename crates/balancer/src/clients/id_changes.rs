//! Records which ids of open requests have changed their holders, for the other processes of this balancer, and how many of the
//! changes these processes know.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

#[derive(Debug, Default)]
struct Recorded {
    /// The ids that have changed since they were last taken.
    ids: Vec<u64>,
    /// The number of changes so far.
    count: u64,
}

/// Changes that are to be announced together.
#[derive(Debug, Default)]
pub struct ChangeBatch {
    /// The ids whose holders have changed. An id may be repeated.
    pub ids: Vec<u64>,
    /// The number of the last change.
    pub last: u64,
}

/// The changes of the holders of ids, numbered from 1. They are recorded only while there are other processes.
#[derive(Debug)]
pub struct IdChanges {
    has_siblings: AtomicBool,
    recorded: Mutex<Recorded>,
    /// The number of the last change that all other processes know.
    confirmed: AtomicU64,
    /// The value of `confirmed` at which a request has waited long enough for a process that does not reply. Until it replies,
    /// nothing waits for it.
    given_up_at: AtomicU64,
}

impl Default for IdChanges {
    fn default() -> Self {
        IdChanges {
            has_siblings: AtomicBool::new(false),
            recorded: Mutex::default(),
            confirmed: AtomicU64::new(u64::MAX),
            given_up_at: AtomicU64::new(u64::MAX),
        }
    }
}

impl IdChanges {
    fn lock(&self) -> MutexGuard<'_, Recorded> {
        // No caller leaves the value partly changed, so it is valid even if a thread panicked while it held the lock.
        self.recorded.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Begins or ends recording.
    pub fn set_has_siblings(&self, has_siblings: bool) {
        self.has_siblings.store(has_siblings, Ordering::Relaxed);
    }

    /// Records a change. Returns its number; 0 while there are no other processes.
    pub(super) fn record(&self, id: u64) -> u64 {
        if !self.has_siblings.load(Ordering::Relaxed) {
            return 0;
        }
        let mut recorded = self.lock();
        recorded.ids.push(id);
        recorded.count += 1;
        recorded.count
    }

    /// The number of changes so far.
    pub fn count(&self) -> u64 {
        self.lock().count
    }

    /// Whether there are changes to announce.
    pub fn is_any_recorded(&self) -> bool {
        self.has_siblings.load(Ordering::Relaxed) && !self.lock().ids.is_empty()
    }

    /// Takes the changes since the last call.
    pub fn take(&self) -> ChangeBatch {
        let mut recorded = self.lock();
        ChangeBatch { ids: std::mem::take(&mut recorded.ids), last: recorded.count }
    }

    /// Whether all other processes know the change with this number, and this process knows what they had changed before. Also
    /// true while a process does not reply and is not waited for.
    pub fn is_confirmed(&self, number: u64) -> bool {
        let confirmed = self.confirmed.load(Ordering::Acquire);
        number <= confirmed || self.given_up_at.load(Ordering::Acquire) == confirmed
    }

    /// Sets the number of the last change that all other processes know. Returns whether that has changed.
    pub fn set_confirmed(&self, number: u64) -> bool {
        self.confirmed.swap(number, Ordering::AcqRel) != number
    }

    /// Has nothing wait for other processes until one of them replies.
    pub fn give_up_confirmation(&self) {
        let confirmed = self.confirmed.load(Ordering::Acquire);
        self.given_up_at.store(confirmed, Ordering::Release);
    }
}
