//! Whether a record may be believed at all, by its head and its list. What of it still holds is said by those who learned it.

use std::collections::BTreeSet;

use shorewharf_protocol::endpoint_list::EndpointList;
use thiserror::Error;

use crate::record::Head;

/// A clock may be so far off another one, in microseconds: a record from further ahead is from a clock that was wrong,
/// then or now, and no age can be told.
const AHEAD: u64 = 5_000_000;

/// Who asks.
#[derive(Clone, Debug)]
pub struct Asks<'a> {
    /// The balancer's name.
    pub balancer: &'a str,
    /// The worker.
    pub worker: usize,
    /// Of so many.
    pub workers: usize,
    /// The time, in microseconds of Unix time.
    pub now: u64,
    /// Nothing older is believed, in microseconds.
    pub oldest: u64,
    /// The list that this one would start with.
    pub list: &'a EndpointList,
}

/// Why a record is left aside.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum Aside {
    /// It is another balancer's.
    #[error("it is of balancer '{0}'")]
    Balancer(String),
    /// It is of another worker, or of one of another number of them.
    #[error("it is of worker {0} of {1}")]
    Worker(usize, usize),
    /// It was written later than now.
    #[error("it is {0} s from the future")]
    Future(u64),
    /// It is too old.
    #[error("it is {age} s old, and {oldest} s at most are believed")]
    Old {
        /// Its age.
        age: u64,
        /// As the settings have it.
        oldest: u64,
    },
    /// Most of the servers that are known now are not in it.
    #[error("it is of another fleet: {here} of the {known} servers known now are in it")]
    Fleet {
        /// In both lists.
        here: usize,
        /// In the list of now.
        known: usize,
    },
}

/// How old a record is, in microseconds, if it may be believed.
///
/// # Errors
/// Why not.
pub fn judge(head: &Head, list: &EndpointList, asks: &Asks) -> Result<u64, Aside> {
    if head.balancer != asks.balancer {
        return Err(Aside::Balancer(head.balancer.clone()));
    }
    if (head.worker, head.workers) != (asks.worker, asks.workers) {
        return Err(Aside::Worker(head.worker, head.workers));
    }
    if head.taken > asks.now.saturating_add(AHEAD) {
        return Err(Aside::Future((head.taken - asks.now) / 1_000_000));
    }
    let age = asks.now.saturating_sub(head.taken);
    if age > asks.oldest {
        return Err(Aside::Old { age: age / 1_000_000, oldest: asks.oldest / 1_000_000 });
    }
    let there: BTreeSet<_> = list.endpoints.iter().map(|e| &e.name).collect();
    let known = asks.list.endpoints.len();
    let here = asks.list.endpoints.iter().filter(|e| there.contains(&e.name)).count();
    if !there.is_empty() && here * 2 < known {
        return Err(Aside::Fleet { here, known });
    }
    Ok(age)
}

/// The list to start with: the later one of both, by discovery's own count.
pub fn later<'a>(own: &'a EndpointList, record: &'a EndpointList) -> &'a EndpointList {
    if record.index > own.index && !record.endpoints.is_empty() { record } else { own }
}
