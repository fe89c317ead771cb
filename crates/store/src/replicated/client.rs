//! The client of an etcd cluster: one call at a time over HTTP/1.1, with timeouts, backoff from failed members, a retry
//! budget, and rejection of responses that are older than earlier ones.

use super::api::{
    ErrorResponse, HasHeader, RangeRequest, RangeResponse, ResponseHeader, TxnRequest, TxnResponse,
    WatchRequest,
};
use crate::error::{InvalidValue, StoreError};
use crate::revision::Revision;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde::de::DeserializeOwned;
use shorewharf_units::Micros;
use std::io::{self, BufRead, BufReader, Read};
use std::time::Duration;
use ureq::Agent;

const RANGE_PATH: &str = "/v3/kv/range";
const TXN_PATH: &str = "/v3/kv/txn";
const WATCH_PATH: &str = "/v3/watch";

/// The backoff in microseconds after a member's first failure. It is doubled with each further failure.
const INITIAL_BACKOFF: Micros = 50_000;

/// The longest backoff in microseconds: short enough that two instances agree within 2 s of the engine's recovery.
const MAX_BACKOFF: Micros = 500_000;

/// The number of failures after which the backoff is no longer doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 8;

/// The most retries that the retry budget holds.
const MAX_RETRY_BUDGET: f64 = 10.0;

/// What each successful call adds to the retry budget: in the long run, retries add at most a tenth to the calls.
const RETRIES_PER_SUCCESS: f64 = 0.1;

/// The most bytes that are read of one response.
const MAX_RESPONSE_BYTES: u64 = 64 << 20;

/// How a call failed.
#[derive(Debug)]
pub(super) enum CallFailure {
    /// The request was not sent, or the member rejected it without executing it.
    NotExecuted(StoreError),
    /// The request was sent but got no usable response: it may have been executed, or may still be executed later.
    OutcomeUnknown(StoreError),
    /// The requested revision has been compacted.
    Compacted,
}

impl CallFailure {
    pub(super) fn into_store_error(self) -> StoreError {
        match self {
            CallFailure::NotExecuted(e) | CallFailure::OutcomeUnknown(e) => e,
            CallFailure::Compacted => StoreError::Unavailable {
                endpoint: "engine".into(),
                cause: "the requested revision has been compacted".into(),
            },
        }
    }

    /// A failure after which the request may have been executed.
    pub(super) fn unknown(endpoint: &str, cause: impl ToString) -> CallFailure {
        CallFailure::OutcomeUnknown(unavailable(endpoint, cause))
    }
}

fn unavailable(endpoint: &str, cause: impl ToString) -> StoreError {
    StoreError::Unavailable { endpoint: endpoint.into(), cause: cause.to_string() }
}

/// When a failed call may be retried at another member.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Retry {
    /// After any failure: executing the request twice is harmless.
    Always,
    /// Only if the failed attempt was certainly not executed.
    IfNotExecuted,
}

/// A member of the cluster.
struct Member {
    endpoint: String,
    /// The number of failed calls since the last successful one.
    failures: u32,
    /// When the backoff ends; 0 if there is none.
    retry_at: Micros,
}

/// A client of the cluster.
pub(super) struct EtcdClient {
    agent: Agent,
    members: Vec<Member>,
    /// The index of the member that last responded; it is called first.
    current: usize,
    rng: Pcg64Mcg,
    /// The retries that may be made now.
    retry_budget: f64,
    /// The newest revision in any response.
    newest_revision: Revision,
    /// The cluster that sent the first response; responses of other clusters are rejected.
    cluster_id: Option<u64>,
    last_answer: Option<Micros>,
    /// Why the last attempt failed; `None` after a success.
    fault: Option<String>,
}

impl EtcdClient {
    pub(super) fn new(
        endpoints: &[String],
        call_timeout: Duration,
        seed: u64,
    ) -> Result<EtcdClient, InvalidValue> {
        check_endpoints(endpoints)?;
        // Members are called directly, without a proxy from the environment. `send` handles every HTTP status itself.
        let config = Agent::config_builder()
            .proxy(None)
            .http_status_as_error(false)
            .timeout_global(Some(call_timeout))
            .timeout_connect(Some(call_timeout / 2))
            .max_redirects(0)
            .build();
        let member = |endpoint: &String| Member {
            endpoint: endpoint.trim_end_matches('/').into(),
            failures: 0,
            retry_at: 0,
        };
        Ok(EtcdClient {
            agent: config.into(),
            members: endpoints.iter().map(member).collect(),
            current: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            retry_budget: MAX_RETRY_BUDGET,
            newest_revision: Revision(0),
            cluster_id: None,
            last_answer: None,
            fault: None,
        })
    }

    /// When a call last succeeded.
    pub(super) fn last_answer(&self) -> Option<Micros> {
        self.last_answer
    }

    /// Why the last attempt failed; `None` after a success.
    pub(super) fn fault(&self) -> Option<&String> {
        self.fault.as_ref()
    }

    /// The newest revision in any response.
    pub(super) fn newest_revision(&self) -> Revision {
        self.newest_revision
    }

    /// Reads keys.
    pub(super) fn range(&mut self, request: &RangeRequest, now: Micros) -> Result<RangeResponse, StoreError> {
        self.call(RANGE_PATH, request, Retry::Always, now).map_err(CallFailure::into_store_error)
    }

    /// Executes a transaction that is idempotent: it is retried after any failure, and may be executed twice.
    pub(super) fn idempotent_txn(
        &mut self,
        request: &TxnRequest,
        now: Micros,
    ) -> Result<TxnResponse, CallFailure> {
        self.call(TXN_PATH, request, Retry::Always, now)
    }

    /// Executes a transaction at most once.
    pub(super) fn txn(&mut self, request: &TxnRequest, now: Micros) -> Result<TxnResponse, CallFailure> {
        self.call(TXN_PATH, request, Retry::IfNotExecuted, now)
    }

    /// Opens a watch and reads its lines until `on_line` returns `true`.
    pub(super) fn watch(
        &mut self,
        request: &WatchRequest,
        now: Micros,
        on_line: &mut dyn FnMut(&str) -> Result<bool, CallFailure>,
    ) -> Result<(), CallFailure> {
        self.attempt(Retry::Always, now, |client, endpoint| {
            let mut response = client.send(endpoint, WATCH_PATH, request)?;
            let mut lines = BufReader::new(response.body_mut().as_reader().take(MAX_RESPONSE_BYTES));
            let mut line = String::new();
            loop {
                line.clear();
                match lines.read_line(&mut line) {
                    Ok(0) => return Err(CallFailure::unknown(endpoint, "the response ended early")),
                    Ok(_) if line.trim().is_empty() => {}
                    Ok(_) => {
                        if on_line(&line)? {
                            return Ok(());
                        }
                    }
                    Err(e) => return Err(CallFailure::unknown(endpoint, e)),
                }
            }
        })
    }

    fn call<A: DeserializeOwned + HasHeader>(
        &mut self,
        path: &str,
        body: &impl Serialize,
        retry: Retry,
        now: Micros,
    ) -> Result<A, CallFailure> {
        self.attempt(retry, now, |client, endpoint| {
            let response: A = client.post(endpoint, path, body)?;
            client.check_header(endpoint, response.header())?;
            Ok(response)
        })
    }

    /// Calls the current member, then the others as long as `retry` and the retry budget allow it. Skips members in
    /// backoff.
    fn attempt<T>(
        &mut self,
        retry: Retry,
        now: Micros,
        mut call: impl FnMut(&mut EtcdClient, &str) -> Result<T, CallFailure>,
    ) -> Result<T, CallFailure> {
        let mut last_failure = None;
        for offset in 0..self.members.len() {
            let index = (self.current + offset) % self.members.len();
            if now < self.members[index].retry_at {
                continue;
            }
            if last_failure.is_some() && !self.spend_retry() {
                break;
            }
            let endpoint = self.members[index].endpoint.clone();
            let failure = match call(self, &endpoint) {
                Ok(response) => {
                    self.record_success(index, now);
                    return Ok(response);
                }
                Err(failure) => failure,
            };
            match &failure {
                CallFailure::Compacted => {
                    self.record_success(index, now);
                    return Err(failure);
                }
                CallFailure::NotExecuted(e) | CallFailure::OutcomeUnknown(e) => {
                    self.fault = Some(e.to_string());
                    if is_same_at_every_member(e) {
                        return Err(failure);
                    }
                    self.back_off(index, now);
                }
            }
            if retry == Retry::IfNotExecuted && !matches!(failure, CallFailure::NotExecuted(_)) {
                return Err(failure);
            }
            last_failure = Some(failure);
        }
        Err(last_failure.unwrap_or_else(|| self.all_in_backoff()))
    }

    /// Takes one retry from the budget; returns `false` if the budget is exhausted.
    fn spend_retry(&mut self) -> bool {
        if self.retry_budget < 1.0 {
            return false;
        }
        self.retry_budget -= 1.0;
        true
    }

    fn record_success(&mut self, index: usize, now: Micros) {
        self.current = index;
        let member = &mut self.members[index];
        member.failures = 0;
        member.retry_at = 0;
        self.retry_budget = (self.retry_budget + RETRIES_PER_SUCCESS).min(MAX_RETRY_BUDGET);
        self.last_answer = Some(now);
        self.fault = None;
    }

    /// Starts a member's backoff after a failure.
    fn back_off(&mut self, index: usize, now: Micros) {
        let member = &mut self.members[index];
        let doublings = member.failures.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = (INITIAL_BACKOFF << doublings).min(MAX_BACKOFF);
        member.failures += 1;
        // Half of the backoff is random, so that instances whose calls failed together do not retry together.
        member.retry_at = now + backoff / 2 + self.rng.random_range(0..=backoff / 2);
    }

    /// The failure of a call that was not attempted because every member is in backoff.
    fn all_in_backoff(&self) -> CallFailure {
        let cause = self.fault.clone().unwrap_or_default();
        let cause = format!("every member is in backoff; last failure: {cause}");
        CallFailure::NotExecuted(unavailable(&self.members[self.current].endpoint, cause))
    }

    /// Ends the backoff of every member, for an urgent call.
    pub(super) fn end_backoff(&mut self) {
        for member in &mut self.members {
            member.retry_at = 0;
        }
    }

    /// Sends a request and returns the response if its status is 200.
    fn send(
        &mut self,
        endpoint: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<ureq::http::Response<ureq::Body>, CallFailure> {
        let body = serde_json::to_vec(body).map_err(|e| CallFailure::unknown(endpoint, e))?;
        let request = self.agent.post(format!("{endpoint}{path}")).content_type("application/json");
        let mut response = request.send(&body[..]).map_err(|e| send_failure(endpoint, e))?;
        let status = response.status().as_u16();
        if status == 200 {
            return Ok(response);
        }
        let text = response.body_mut().read_to_string().unwrap_or_default();
        let error: ErrorResponse = serde_json::from_str(&text).unwrap_or_default();
        let cause = format!("HTTP status {status}: {}", error.message);
        Err(match status {
            _ if error.is_compacted() => CallFailure::Compacted,
            _ if error.is_no_space() => {
                CallFailure::NotExecuted(StoreError::NoSpace { location: endpoint.to_owned(), cause })
            }
            400..=499 => {
                CallFailure::NotExecuted(InvalidValue::new(format!("{endpoint}{path}"), cause).into())
            }
            _ => CallFailure::unknown(endpoint, cause),
        })
    }

    /// Sends a request and decodes the response.
    fn post<A: DeserializeOwned>(
        &mut self,
        endpoint: &str,
        path: &str,
        body: &impl Serialize,
    ) -> Result<A, CallFailure> {
        let mut response = self.send(endpoint, path, body)?;
        let bytes = response.body_mut().with_config().limit(MAX_RESPONSE_BYTES).read_to_vec();
        let bytes = bytes.map_err(|e| CallFailure::unknown(endpoint, e))?;
        serde_json::from_slice(&bytes).map_err(|e| CallFailure::unknown(endpoint, e))
    }

    /// Rejects responses from another cluster, and responses that are older than earlier ones.
    fn check_header(&mut self, endpoint: &str, header: &ResponseHeader) -> Result<(), CallFailure> {
        let cluster_id = header.cluster_id.0;
        let known = *self.cluster_id.get_or_insert(cluster_id);
        if cluster_id != known {
            let cause = format!("belongs to cluster {cluster_id:x}, expected cluster {known:x}");
            return Err(CallFailure::OutcomeUnknown(StoreError::corrupt(endpoint, cause)));
        }
        let found = Revision(header.revision.0);
        if found < self.newest_revision {
            let (endpoint, newest) = (endpoint.to_owned(), self.newest_revision);
            return Err(CallFailure::OutcomeUnknown(StoreError::Stale { endpoint, found, newest }));
        }
        self.newest_revision = found;
        Ok(())
    }
}

fn check_endpoints(endpoints: &[String]) -> Result<(), InvalidValue> {
    if endpoints.is_empty() {
        return Err(InvalidValue::new("endpoints", "at least one endpoint is required"));
    }
    for (i, endpoint) in endpoints.iter().enumerate() {
        let is_tls = cfg!(feature = "tls") && endpoint.starts_with("https://");
        if !is_tls && !endpoint.starts_with("http://") {
            let schemes = if cfg!(feature = "tls") { "http:// or https://" } else { "http://" };
            let cause = format!("{endpoint:?} does not begin with {schemes}");
            return Err(InvalidValue::new(format!("endpoints[{i}]"), cause));
        }
    }
    Ok(())
}

/// Whether the error is not specific to the member, so that every other member would return it too.
fn is_same_at_every_member(e: &StoreError) -> bool {
    matches!(e, StoreError::NoSpace { .. } | StoreError::Invalid(_))
}

/// Classifies the failure of a request that got no response. It was certainly not executed if no connection was made.
fn send_failure(endpoint: &str, e: ureq::Error) -> CallFailure {
    let is_not_sent = match &e {
        ureq::Error::Io(io) => io.kind() == io::ErrorKind::ConnectionRefused,
        ureq::Error::HostNotFound
        | ureq::Error::ConnectionFailed
        | ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve) => true,
        _ => false,
    };
    if !is_not_sent {
        return CallFailure::unknown(endpoint, e);
    }
    let cause = match e {
        ureq::Error::Io(io) => io.to_string(),
        e => e.to_string(),
    };
    CallFailure::NotExecuted(unavailable(endpoint, cause))
}
