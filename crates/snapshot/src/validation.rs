//! Decides by a record's header and endpoint list whether the record may be restored.

use std::collections::BTreeSet;

use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_units::{MICROS_PER_SECOND, Micros};
use thiserror::Error;

use crate::record::Header;

/// How far in the future a record's time may be because of clock skew. A record from later is rejected, since its age is
/// unknown.
const MAX_CLOCK_SKEW: Micros = 5_000_000;

/// What a record is validated against.
#[derive(Clone, Debug)]
pub struct RestoreCriteria<'a> {
    /// The balancer's name.
    pub balancer: &'a str,
    /// The worker that restores the record.
    pub worker: usize,
    /// The number of workers of this process.
    pub worker_count: usize,
    /// The current time, in microseconds of Unix time.
    pub now: Micros,
    /// The greatest age at which a record is restored, in microseconds.
    pub max_age: Micros,
    /// The endpoint list with which this process would start.
    pub list: &'a EndpointList,
}

/// Why a record must not be restored.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ValidationError {
    /// Another balancer wrote the record.
    #[error("the snapshot is of balancer '{found}', expected '{expected}'")]
    OtherBalancer {
        /// The balancer that wrote the record.
        found: String,
        /// The balancer that restores it.
        expected: String,
    },
    /// Another worker wrote the record, or the process had another number of workers.
    #[error(
        "the snapshot is of worker {worker} of {worker_count}, expected worker {expected_worker} of {expected_count}"
    )]
    OtherWorker {
        /// The worker that exported the state.
        worker: usize,
        /// The number of workers of that process.
        worker_count: usize,
        /// The worker that restores the record.
        expected_worker: usize,
        /// The number of workers of this process.
        expected_count: usize,
    },
    /// The record's time is too far in the future.
    #[error("the snapshot's time is {seconds} s in the future")]
    FromFuture {
        /// The number of seconds from the current time to the record's time.
        seconds: u64,
    },
    /// The record is too old.
    #[error("the snapshot is {age_seconds} s old; the maximum age is {max_age_seconds} s")]
    TooOld {
        /// The record's age in seconds.
        age_seconds: u64,
        /// The greatest allowed age in seconds.
        max_age_seconds: u64,
    },
    /// The record lacks most of the servers that are listed now.
    #[error("the snapshot is of another fleet: it has only {found} of the {listed} servers listed now")]
    OtherFleet {
        /// Servers in both lists.
        found: usize,
        /// Servers in the current list.
        listed: usize,
    },
}

/// Validates a record and returns its age.
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
        return Err(ValidationError::OtherBalancer {
            found: header.balancer.clone(),
            expected: criteria.balancer.to_owned(),
        });
    }
    let Header { worker, worker_count, taken_at, .. } = *header;
    if (worker, worker_count) != (criteria.worker, criteria.worker_count) {
        return Err(ValidationError::OtherWorker {
            worker,
            worker_count,
            expected_worker: criteria.worker,
            expected_count: criteria.worker_count,
        });
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

/// The endpoint list to start with: the recorded one if it has a higher index and is not empty, otherwise the own one.
pub fn newer_list<'a>(own: &'a EndpointList, recorded: &'a EndpointList) -> &'a EndpointList {
    if recorded.index > own.index && !recorded.endpoints.is_empty() { recorded } else { own }
}
