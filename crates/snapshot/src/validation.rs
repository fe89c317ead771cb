//! Whether a record may be used at all, by its header and its endpoint list.

use std::collections::BTreeSet;

use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_units::{MICROS_PER_SECOND, Micros};
use thiserror::Error;

use crate::record::Header;

/// Clocks may be so far apart: no age can be told of a record from further ahead.
const MAX_CLOCK_SKEW: Micros = 5_000_000;

/// What a record is checked against.
#[derive(Clone, Debug)]
pub struct RestoreCriteria<'a> {
    /// The balancer's name.
    pub balancer: &'a str,
    /// The worker that restores it.
    pub worker: usize,
    /// Workers of this process.
    pub worker_count: usize,
    /// The time, in microseconds of Unix time.
    pub now: Micros,
    /// The oldest record that is used.
    pub max_age: Micros,
    /// The endpoint list that this process would start with.
    pub list: &'a EndpointList,
}

/// Why a record is not used.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValidationError {
    /// It is another balancer's.
    #[error("it is of balancer '{0}'")]
    OtherBalancer(String),
    /// It is of another worker, or of one of another number of workers.
    #[error("it is of worker {worker} of {worker_count}")]
    OtherWorker {
        /// The worker that exported it.
        worker: usize,
        /// Workers of that process.
        worker_count: usize,
    },
    /// It was written later than now.
    #[error("it is {seconds} s from the future")]
    FromFuture {
        /// How much later.
        seconds: u64,
    },
    /// It is too old.
    #[error("it is {age_seconds} s old, and {max_age_seconds} s at most are believed")]
    TooOld {
        /// Its age.
        age_seconds: u64,
        /// The oldest that is used.
        max_age_seconds: u64,
    },
    /// Most of the servers that are listed now are not in it.
    #[error("it is of another fleet: {found} of the {listed} servers known now are in it")]
    OtherFleet {
        /// Servers in both lists.
        found: usize,
        /// Servers in the list of now.
        listed: usize,
    },
}

/// Returns the age of a record that may be used.
///
/// # Errors
///
/// Returns the first criterion that the record fails.
pub fn validate(
    header: &Header,
    list: &EndpointList,
    criteria: &RestoreCriteria<'_>,
) -> Result<Micros, ValidationError> {
    if header.balancer != criteria.balancer {
        return Err(ValidationError::OtherBalancer(header.balancer.clone()));
    }
    let Header { worker, worker_count, taken_at, .. } = *header;
    if (worker, worker_count) != (criteria.worker, criteria.worker_count) {
        return Err(ValidationError::OtherWorker { worker, worker_count });
    }
    if taken_at > criteria.now.saturating_add(MAX_CLOCK_SKEW) {
        return Err(ValidationError::FromFuture { seconds: (taken_at - criteria.now) / MICROS_PER_SECOND });
    }
    let age = criteria.now.saturating_sub(taken_at);
    if age > criteria.max_age {
        return Err(ValidationError::TooOld {
            age_seconds: age / MICROS_PER_SECOND,
            max_age_seconds: criteria.max_age / MICROS_PER_SECOND,
        });
    }
    let recorded: BTreeSet<_> = list.endpoints.iter().map(|endpoint| &endpoint.name).collect();
    let listed = criteria.list.endpoints.len();
    let is_recorded = |name: &String| recorded.contains(name);
    let found = criteria.list.endpoints.iter().filter(|endpoint| is_recorded(&endpoint.name)).count();
    if !recorded.is_empty() && found * 2 < listed {
        return Err(ValidationError::OtherFleet { found, listed });
    }
    Ok(age)
}

/// The endpoint list to start with: the newer one by discovery's own count.
pub fn newer_list<'a>(own: &'a EndpointList, recorded: &'a EndpointList) -> &'a EndpointList {
    if recorded.index > own.index && !recorded.endpoints.is_empty() { recorded } else { own }
}
