//! Tracks the ids that clients choose for their open requests. An id belongs to at most one open request in the whole balancer:
//! across all workers of this process, and across the other processes of the balancer while one replaces another.
//!
//! The other processes report the ids of their open requests a moment after they were claimed there, so two processes may claim
//! the same id within that moment. Such an id has two claims until one of them is released.
//!
//! The id of a request that may have run, and must not run again, stays taken after its end, since no id returns. The number of
//! such ids is limited; the oldest are forgotten first.

use std::collections::{HashMap, VecDeque};
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use super::id_changes::IdChanges;

/// Number of locks over which the ids are spread, so that workers seldom contend for a lock.
const SHARDS: usize = 16;
/// The number of ids of ended requests that stay taken. Each takes about 60 bytes.
const MAX_RETAINED_IDS: usize = 8192;

/// A connection to another process of this balancer, over which that process reports its open ids.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SiblingLink {
    /// The process that this one replaces.
    Predecessor,
    /// The process with this number that has connected to this one.
    Successor(u64),
}

impl fmt::Display for SiblingLink {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SiblingLink::Predecessor => write!(f, "the predecessor process"),
            SiblingLink::Successor(number) => write!(f, "successor process {number}"),
        }
    }
}

/// What holds an id that can't be claimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdHolder {
    /// An open request of this process.
    OpenRequest,
    /// An open request of another process.
    Sibling(SiblingLink),
    /// A request that has ended and must not run again.
    EndedRequest,
}

impl fmt::Display for IdHolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            IdHolder::OpenRequest => write!(f, "another open request"),
            IdHolder::Sibling(link) => write!(f, "another open request of {link}"),
            IdHolder::EndedRequest => write!(f, "a request that has ended and must not run again"),
        }
    }
}

/// The state of an id as another process has to know it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IdState {
    /// A request may use the id.
    Free,
    /// A request with the id is open.
    Open,
    /// A request with the id has ended that must not run again.
    Retained,
}

/// The holders of one id.
#[derive(Debug, Default)]
struct Holders {
    /// The number of claims in this process.
    claims: u32,
    /// The links to the processes that hold the id.
    siblings: Vec<SiblingLink>,
    /// A request with the id has ended that must not run again.
    is_retained: bool,
}

impl Holders {
    fn is_empty(&self) -> bool {
        !self.is_open() && !self.is_retained
    }

    /// Whether a request with the id is open, in this process or in another one.
    fn is_open(&self) -> bool {
        self.claims > 0 || !self.siblings.is_empty()
    }

    fn add_sibling(&mut self, link: SiblingLink) {
        if !self.siblings.contains(&link) {
            self.siblings.push(link);
        }
    }

    /// The state of the id, if the process behind `link` is left out of account.
    fn state_apart_from(&self, link: SiblingLink) -> IdState {
        if self.claims > 0 || self.siblings.iter().any(|holder| *holder != link) {
            IdState::Open
        } else if self.is_retained {
            IdState::Retained
        } else {
            IdState::Free
        }
    }
}

type Shard = HashMap<u64, Holders>;

#[derive(Debug)]
struct Shared {
    shards: [Mutex<Shard>; SHARDS],
    changes: IdChanges,
    /// The ids that are retained, the oldest first.
    retained: Mutex<VecDeque<u64>>,
}

/// The ids of open requests, shared by all workers.
#[derive(Clone, Debug)]
pub struct OpenIds(Arc<Shared>);

impl Default for OpenIds {
    fn default() -> Self {
        OpenIds(Arc::new(Shared {
            shards: std::array::from_fn(|_| Mutex::default()),
            changes: IdChanges::default(),
            retained: Mutex::default(),
        }))
    }
}

/// Locks a mutex. No caller leaves the value partly changed, so it is valid even if a thread panicked while it held the lock.
fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl OpenIds {
    fn shard(&self, id: u64) -> MutexGuard<'_, Shard> {
        lock(&self.0.shards[id as usize % SHARDS])
    }

    /// Changes the holders of an id, and records that for the siblings. Returns the result of `change`.
    fn change<T>(&self, id: u64, change: impl FnOnce(&mut Holders) -> T) -> T {
        self.change_numbered(id, change).0
    }

    /// Does the same as [`OpenIds::change`], and returns the number of the change too; 0 without siblings.
    fn change_numbered<T>(&self, id: u64, change: impl FnOnce(&mut Holders) -> T) -> (T, u64) {
        let mut shard = self.shard(id);
        let holders = shard.entry(id).or_default();
        let result = change(holders);
        if holders.is_empty() {
            shard.remove(&id);
        }
        drop(shard);
        (result, self.0.changes.record(id))
    }

    /// Claims an id for an open request. Returns `None` if another open request has it, in this process or in another one, or if
    /// it is retained; otherwise the number of the change, which [`IdChanges::is_confirmed`] takes.
    pub fn claim(&self, id: u64) -> Option<u64> {
        self.claim_if(id, Holders::is_empty)
    }

    /// Claims the id of a connection from before the start of this process, which comes again until it is established.
    /// Returns `None` if another open request has it, in this process or in another one.
    pub fn claim_restored(&self, id: u64) -> Option<u64> {
        self.claim_if(id, |holders| !holders.is_open())
    }

    fn claim_if(&self, id: u64, is_free: impl Fn(&Holders) -> bool) -> Option<u64> {
        if self.shard(id).get(&id).is_some_and(|holders| !is_free(holders)) {
            return None;
        }
        let (is_claimed, number) = self.change_numbered(id, |holders| {
            let is_free = is_free(holders);
            holders.claims += u32::from(is_free);
            is_free
        });
        is_claimed.then_some(number)
    }

    /// The changes of holders for the other processes.
    pub fn changes(&self) -> &IdChanges {
        &self.0.changes
    }

    /// Whether an id that this process has claimed belongs to the process that it replaces, which has claimed it at the same
    /// moment.
    pub fn is_predecessors(&self, id: u64) -> bool {
        self.shard(id).get(&id).is_some_and(|holders| holders.siblings.contains(&SiblingLink::Predecessor))
    }

    /// Claims the id of a connection that another process has transferred, which keeps its id in any case. Returns whether
    /// another open request of this process has it too.
    pub fn claim_transferred(&self, id: u64) -> bool {
        self.change(id, |holders| {
            holders.claims += 1;
            holders.claims > 1
        })
    }

    /// Releases one claim of an id.
    pub fn release(&self, id: u64) {
        self.change(id, |holders| holders.claims = holders.claims.saturating_sub(1));
    }

    /// Releases one claim of an id, and retains the id: the request may have run and must not run again.
    pub fn release_retained(&self, id: u64) {
        self.retain_and(id, |holders| holders.claims = holders.claims.saturating_sub(1));
    }

    /// Retains an id, as another process does.
    pub fn retain(&self, id: u64) {
        self.retain_and(id, |_| ());
    }

    /// Retains an id, and changes its holders in the same step.
    fn retain_and(&self, id: u64, change: impl FnOnce(&mut Holders)) {
        let is_new = self.change(id, |holders| {
            change(holders);
            !std::mem::replace(&mut holders.is_retained, true)
        });
        if !is_new {
            return;
        }
        let mut retained = lock(&self.0.retained);
        retained.push_back(id);
        let oldest = if retained.len() > MAX_RETAINED_IDS { retained.pop_front() } else { None };
        drop(retained);
        if let Some(oldest) = oldest {
            self.change(oldest, |holders| holders.is_retained = false);
        }
    }

    /// Releases the claim of a connection that now belongs to the process behind `link`, which holds the id from then on.
    pub fn transfer_to_sibling(&self, id: u64, link: SiblingLink) {
        self.change(id, |holders| {
            holders.claims = holders.claims.saturating_sub(1);
            holders.add_sibling(link);
        });
    }

    /// Records that the process behind `link` has an open request with this id.
    pub fn hold_for_sibling(&self, id: u64, link: SiblingLink) {
        self.change(id, |holders| holders.add_sibling(link));
    }

    /// Records that the process behind `link` has no open request with this id any more.
    pub fn release_for_sibling(&self, id: u64, link: SiblingLink) {
        self.change(id, |holders| holders.siblings.retain(|holder| *holder != link));
    }

    /// Releases all ids of a process that has ended.
    pub fn release_sibling(&self, link: SiblingLink) {
        for id in self.ids_where(|holders| holders.siblings.contains(&link)) {
            self.release_for_sibling(id, link);
        }
    }

    /// The state of an id, if the process behind `link` is left out of account.
    pub fn state_apart_from(&self, id: u64, link: SiblingLink) -> IdState {
        self.shard(id).get(&id).map_or(IdState::Free, |holders| holders.state_apart_from(link))
    }

    /// The holder because of which an id can't be claimed, for the log; `None` if it can.
    pub fn holder(&self, id: u64) -> Option<IdHolder> {
        let shard = self.shard(id);
        let holders = shard.get(&id)?;
        if let Some(link) = holders.siblings.first() {
            return Some(IdHolder::Sibling(*link));
        }
        Some(if holders.claims > 0 { IdHolder::OpenRequest } else { IdHolder::EndedRequest })
    }

    /// The ids of all open requests of this process and of its siblings.
    pub fn open(&self) -> Vec<u64> {
        self.ids_where(Holders::is_open)
    }

    /// The ids that are retained.
    pub fn retained(&self) -> Vec<u64> {
        self.ids_where(|holders| holders.is_retained)
    }

    fn ids_where(&self, condition: impl Fn(&Holders) -> bool) -> Vec<u64> {
        let mut ids = Vec::new();
        for shard in &self.0.shards {
            let shard = lock(shard);
            ids.extend(shard.iter().filter(|(_, holders)| condition(holders)).map(|(id, _)| *id));
        }
        ids.sort_unstable();
        ids
    }

    /// Whether an open request has this id.
    #[cfg(test)]
    pub fn contains(&self, id: u64) -> bool {
        self.shard(id).contains_key(&id)
    }
}

#[cfg(test)]
mod tests;
