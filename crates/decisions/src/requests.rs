//! The request table: every request from its arrival to the end of its connection.

use std::collections::BTreeMap;
use std::ops::Bound::{Excluded, Unbounded};

use crate::interface::{Idempotency, Request, RequestId, ServerId};

/// The first attempt of a request that may have run at its server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleRun {
    pub server: ServerId,
    pub sent_at: f64,
    /// Number of the attempt, counted from 0.
    pub attempt: u32,
}

/// The properties of a new request that determine its placement and retries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RequestProfile {
    /// Whether the request may be repeated, as its class was configured when it arrived.
    pub idempotency: Idempotency,
    /// The group by which the request is placed.
    pub group: Option<u64>,
    /// Expected load.
    pub load: f64,
}

/// A request and its current state. At most one of `attempt_server` and `connected_server` is set.
#[derive(Clone, Debug)]
pub(crate) struct TrackedRequest {
    pub request: Request,
    /// Whether the request may be repeated, as its class was configured when it arrived.
    pub idempotency: Idempotency,
    /// The group by which the request is placed.
    pub group: Option<u64>,
    /// Load as reported, hinted or estimated.
    pub load: f64,
    /// Whether the load was reported.
    pub is_load_reported: bool,
    /// Number of attempts begun.
    pub attempts: u32,
    /// Server of the pending attempt.
    pub attempt_server: Option<ServerId>,
    /// Server of the established connection.
    pub connected_server: Option<ServerId>,
    pub possible_run: Option<PossibleRun>,
    /// Servers that are not tried again for now.
    pub tried_servers: Vec<ServerId>,
    /// Servers that answered with an error.
    pub failed_servers: Vec<ServerId>,
    /// When the last attempt began.
    pub last_sent_at: f64,
    pub received_at: f64,
    /// Whether the first-ranked server of the group is skipped unless its message delay is known to be
    /// normal.
    pub skips_first_rank: bool,
    /// Whether the request has its final answer, or its client no longer waits for one.
    pub is_answered: bool,
}

impl TrackedRequest {
    pub fn new(now: f64, request: Request, profile: RequestProfile) -> Self {
        TrackedRequest {
            request,
            idempotency: profile.idempotency,
            group: profile.group,
            load: profile.load,
            is_load_reported: false,
            attempts: 0,
            attempt_server: None,
            connected_server: None,
            possible_run: None,
            tried_servers: Vec::new(),
            failed_servers: Vec::new(),
            last_sent_at: now,
            received_at: now,
            skips_first_rank: false,
            is_answered: false,
        }
    }

    /// The server of the connection or of the pending attempt.
    pub fn server(&self) -> Option<ServerId> {
        self.connected_server.or(self.attempt_server)
    }

    /// Whether the request still needs a server.
    pub fn is_waiting(&self) -> bool {
        !self.is_answered && self.server().is_none()
    }

    /// Whether the connection is established and not about to end.
    pub fn is_established(&self) -> bool {
        self.connected_server.is_some() && !self.is_answered
    }
}

/// All requests by id.
#[derive(Debug, Default)]
pub(crate) struct RequestTable {
    requests: BTreeMap<RequestId, TrackedRequest>,
}

impl RequestTable {
    pub fn insert(&mut self, tracked: TrackedRequest) {
        self.requests.insert(tracked.request.id, tracked);
    }

    pub fn remove(&mut self, id: RequestId) {
        self.requests.remove(&id);
    }

    pub fn get(&self, id: RequestId) -> Option<&TrackedRequest> {
        self.requests.get(&id)
    }

    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut TrackedRequest> {
        self.requests.get_mut(&id)
    }

    pub fn iter(&self) -> impl Iterator<Item = &TrackedRequest> {
        self.requests.values()
    }

    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut TrackedRequest> {
        self.requests.values_mut()
    }

    /// The requests after the given one in order of id, or all requests for `None`.
    pub fn after(&self, id: Option<RequestId>) -> impl Iterator<Item = &TrackedRequest> {
        self.requests.range((id.map_or(Unbounded, Excluded), Unbounded)).map(|(_, tracked)| tracked)
    }

    /// Records that a request has its final answer. A request without a server is removed.
    pub fn mark_answered(&mut self, id: RequestId) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        tracked.is_answered = true;
        if tracked.server().is_none() {
            self.requests.remove(&id);
        }
    }

    /// Requests that wait for a server: returning clients first, then in order of arrival.
    pub fn waiting(&self) -> Vec<RequestId> {
        let mut waiting: Vec<&TrackedRequest> =
            self.requests.values().filter(|tracked| tracked.is_waiting()).collect();
        waiting.sort_by(|a, b| {
            let by_return = b.request.is_returning.cmp(&a.request.is_returning);
            by_return.then(a.received_at.total_cmp(&b.received_at))
        });
        waiting.into_iter().map(|tracked| tracked.request.id).collect()
    }
}
