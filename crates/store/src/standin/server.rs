//! How a member answers requests, subject to its present fault.

use super::keys::{KeyRange, KeyValueState, RequestError, decode_number, may_write};
use super::{Fault, Shared, State};
use serde_json::{Value, json};
use std::sync::Arc;
use std::time::Duration;

/// The longest time that [`Fault::Silent`] or [`Fault::Delays`] holds a request, so that no thread outlives a test by
/// much.
const MAX_HOLD: Duration = Duration::from_secs(30);

/// How long a watch waits for events before it checks whether its client has closed the connection.
const WATCH_WAIT: Duration = Duration::from_millis(100);

// Status codes of gRPC.
const GRPC_INVALID_ARGUMENT: u32 = 3;
const GRPC_NOT_FOUND: u32 = 5;
const GRPC_OUT_OF_RANGE: u32 = 11;
const GRPC_UNAVAILABLE: u32 = 14;

/// The answer to a request.
pub(super) enum Answer {
    /// A response with an HTTP status and a JSON body.
    Complete { status: u16, body: Value },
    /// A response with a stream of JSON lines, which [`StubServer::next_line`] returns.
    Watch(Watch),
    /// The connection is closed without a response.
    Close,
}

impl Answer {
    fn error(status: u16, code: u32, message: &str) -> Answer {
        Answer::Complete { status, body: json!({"error": message, "code": code, "message": message}) }
    }
}

/// An open watch.
pub(super) struct Watch {
    range: KeyRange,
    /// The first revision whose events have not been sent.
    next_revision: u64,
    /// Whether the line that confirms the watch has been sent.
    is_created: bool,
}

impl Watch {
    fn new(request: &Value, state: &KeyValueState) -> Watch {
        let create = &request["create_request"];
        let next_revision = match decode_number(&create["start_revision"]) {
            0 => state.revision() + 1,
            start => start,
        };
        Watch { range: KeyRange::of(create), next_revision, is_created: false }
    }

    /// The next line, if there is something to send. Events after revision `up_to` are withheld.
    fn next_line(&mut self, keys: &KeyValueState, up_to: u64) -> Option<Value> {
        let header = keys.header(None);
        if !self.is_created {
            self.is_created = true;
            return Some(json!({"result": {"header": header, "created": true}}));
        }
        if self.next_revision <= keys.compacted() {
            let compacted = keys.compacted().to_string();
            let result = json!({"header": header, "canceled": true, "compact_revision": compacted});
            return Some(json!({"result": result}));
        }
        let up_to = keys.revision().min(up_to);
        let events = keys.events(&self.range, self.next_revision, up_to);
        self.next_revision = self.next_revision.max(up_to.saturating_add(1));
        if events.is_empty() {
            return None;
        }
        Some(json!({"result": {"header": header, "events": events}}))
    }
}

/// The result of waiting for the next line of a watch.
pub(super) enum WatchStep {
    Line(Value),
    /// There was no event within [`WATCH_WAIT`].
    Idle,
    /// The member closes the stream.
    Cut,
}

/// Answers requests as one member.
pub(super) struct StubServer {
    pub(super) shared: Arc<Shared>,
    /// The member's number in the cluster.
    pub(super) number: usize,
}

impl StubServer {
    /// The member's present fault. A member that is closing refuses connections.
    fn fault(&self) -> Fault {
        self.fault_in(&self.shared.state())
    }

    fn fault_in(&self, state: &State) -> Fault {
        if state.closing[self.number] { Fault::Refuses } else { state.faults[self.number] }
    }

    /// Waits until the member's fault is no longer `fault`, for at most `timeout`.
    fn hold(&self, fault: Fault, timeout: Duration) {
        let number = self.number;
        self.shared.wait(timeout, |state| state.faults[number] != fault || state.closing[number]);
    }

    /// Answers a request, subject to the fault at its arrival.
    pub(super) fn answer(&self, path: &str, request: &Value) -> Answer {
        self.shared.state().calls += 1;
        let fault = self.fault();
        match fault {
            Fault::Refuses => return Answer::Close,
            Fault::Silent => {
                self.hold(fault, MAX_HOLD);
                return Answer::Close;
            }
            Fault::Fails(status, code) => {
                return Answer::error(status, code, "etcdserver: injected fault");
            }
            Fault::Slow(delay) => self.hold(fault, delay),
            Fault::Delays => self.hold(fault, MAX_HOLD),
            Fault::None | Fault::Stale(_) | Fault::LosesAnswers => {}
        }
        let answer = self.serve(path, request, fault);
        self.shared.changed.notify_all();
        let loses_answer = matches!(fault, Fault::LosesAnswers | Fault::Delays);
        match answer {
            Answer::Complete { .. } if loses_answer => Answer::Close,
            answer => answer,
        }
    }

    /// Executes a request.
    fn serve(&self, path: &str, request: &Value, fault: Fault) -> Answer {
        let stale = match fault {
            Fault::Stale(revision) => Some(revision),
            _ => None,
        };
        let mut state = self.shared.state();
        let keys = &mut state.keys;
        let result = match path {
            "/v3/kv/range" => keys.range(request, stale),
            "/v3/kv/txn" if stale.is_some() && may_write(request) => {
                return Answer::error(503, GRPC_UNAVAILABLE, "etcdserver: no leader");
            }
            "/v3/kv/txn" => keys.txn(request, stale),
            "/v3/watch" => return Answer::Watch(Watch::new(request, keys)),
            _ => return Answer::error(404, GRPC_NOT_FOUND, "Not Found"),
        };
        match result {
            Ok(body) => Answer::Complete { status: 200, body },
            Err(e @ RequestError::Compacted) => Answer::error(400, GRPC_OUT_OF_RANGE, &e.to_string()),
            Err(e) => Answer::error(400, GRPC_INVALID_ARGUMENT, &e.to_string()),
        }
    }

    /// Waits for the next line of a watch.
    pub(super) fn next_line(&self, watch: &mut Watch) -> WatchStep {
        let mut step = WatchStep::Idle;
        self.shared.wait(WATCH_WAIT, |state| {
            let up_to = match self.fault_in(state) {
                Fault::Refuses => {
                    step = WatchStep::Cut;
                    return true;
                }
                // The stream stays open but shows no events.
                Fault::Silent | Fault::Delays => 0,
                Fault::Stale(revision) => revision,
                Fault::None | Fault::Slow(_) | Fault::LosesAnswers | Fault::Fails(..) => u64::MAX,
            };
            if let Some(line) = watch.next_line(&state.keys, up_to) {
                step = WatchStep::Line(line);
                return true;
            }
            false
        });
        step
    }
}
