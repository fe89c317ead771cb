//! A stand-in of the replicated engine for tests: real HTTP on loopback, several members over one state, and
//! faults that can be switched on and off.
//!
//! It plays the parts of etcd's v3 JSON gateway that [`crate::replicated`] uses, written from the API's
//! description and sharing no code with the client: `/v3/kv/range`, `/v3/kv/txn` and `/v3/watch`, revisions, reads
//! at a revision, compaction, and refusals in gRPC's codes.

mod http;
mod keys;

use keys::Keys;
use serde_json::{Value, json};
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// What is wrong with a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Connections are closed as soon as they are taken.
    Refuses,
    /// Calls are taken and never answered, until that ends.
    Silent,
    /// Calls are answered this much later.
    Slow(Duration),
    /// Reads are answered as of this revision, as a member would that was cut off then and does not know it.
    /// Writes are refused.
    Stale(u64),
    /// Calls are done, and the connection is closed before the answer.
    LosesAnswers,
    /// Calls are held until this fault ends, then done, and nobody is told: a request that was long on its way.
    Delays,
    /// Every call is answered with this HTTP status and gRPC code.
    Fails(u16, u32),
}

struct State {
    keys: Keys,
    faults: Vec<Fault>,
    closing: Vec<bool>,
    calls: u64,
}

/// The shared state of a cluster.
#[derive(Clone)]
pub struct Cluster {
    shared: Arc<Shared>,
}

struct Shared {
    state: Mutex<State>,
    /// Told whenever the state changes.
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until something holds, at most so long.
    fn wait(&self, longest: Duration, mut until: impl FnMut(&mut State) -> bool) {
        let state = self.state();
        drop(self.changed.wait_timeout_while(state, longest, |state| !until(state)));
    }
}

/// The longest that a silent or delayed call is held, so that no thread outlives a test by much.
const HELD: Duration = Duration::from_secs(30);

impl Default for Cluster {
    fn default() -> Cluster {
        let state = State { keys: Keys::default(), faults: Vec::new(), closing: Vec::new(), calls: 0 };
        Cluster { shared: Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() }) }
    }
}

impl Cluster {
    /// A cluster without members.
    pub fn new() -> Cluster {
        Cluster::default()
    }

    /// Starts a member on a port of loopback.
    pub fn member(&self) -> io::Result<Member> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let mut state = self.shared.state();
        let number = state.faults.len();
        state.faults.push(Fault::None);
        state.closing.push(false);
        drop(state);
        let shared = self.shared.clone();
        let thread = std::thread::Builder::new().name(format!("member-{number}")).spawn(move || {
            for stream in listener.incoming() {
                if shared.state().closing[number] {
                    return;
                }
                let shared = shared.clone();
                if let Ok(stream) = stream {
                    std::thread::spawn(move || drop(http::serve(stream, &Desk { shared, number })));
                }
            }
        })?;
        Ok(Member { cluster: self.clone(), number, address, thread: Some(thread) })
    }

    /// The newest revision.
    pub fn revision(&self) -> u64 {
        self.shared.state().keys.revision()
    }

    /// Calls that came so far.
    pub fn calls(&self) -> u64 {
        self.shared.state().calls
    }

    /// Forgets what records were before a revision.
    pub fn compact(&self, revision: u64) {
        self.shared.state().keys.compact(revision);
        self.shared.changed.notify_all();
    }

    /// Loses everything and begins anew as another cluster.
    pub fn wipe(&self) {
        self.shared.state().keys = Keys::another();
        self.shared.changed.notify_all();
    }

    /// Writes a key as somebody else would.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.state().keys.put_alone(key.as_bytes(), value.as_bytes());
        self.shared.changed.notify_all();
    }

    /// The keys and values that there are.
    pub fn contents(&self) -> Vec<(String, String)> {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        self.shared.state().keys.now().map(|(key, value)| (text(key), text(value))).collect()
    }
}

/// A member; it stops when it is dropped.
pub struct Member {
    cluster: Cluster,
    number: usize,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl Member {
    /// Its address, as a client is told it.
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets what is wrong with it, and returns what was.
    pub fn set(&self, fault: Fault) -> Fault {
        let before = std::mem::replace(&mut self.cluster.shared.state().faults[self.number], fault);
        self.cluster.shared.changed.notify_all();
        before
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        self.cluster.shared.state().closing[self.number] = true;
        self.cluster.shared.changed.notify_all();
        // Wakes the accepting thread, which looks and ends.
        drop(TcpStream::connect(self.address));
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}

/// What a connection's thread asks: one member's view of the state.
struct Desk {
    shared: Arc<Shared>,
    number: usize,
}

/// What is to be answered.
enum Answer {
    /// Status and body.
    Whole(u16, Value),
    /// Lines, from [`Desk::next`].
    Watch(Watch),
    /// Nothing: the connection is closed.
    Nothing,
}

struct Watch {
    key: Vec<u8>,
    end: Vec<u8>,
    next: u64,
    begun: bool,
}

fn refusal(status: u16, code: u32, message: &str) -> Answer {
    Answer::Whole(status, json!({"error": message, "code": code, "message": message}))
}

impl Desk {
    fn fault(&self) -> Fault {
        let state = self.shared.state();
        match state.closing[self.number] {
            true => Fault::Refuses,
            false => state.faults[self.number],
        }
    }

    /// Holds on while the fault lasts.
    fn hold(&self, fault: Fault, longest: Duration) {
        let n = self.number;
        self.shared.wait(longest, |state| state.faults[n] != fault || state.closing[n]);
    }

    fn answer(&self, path: &str, body: &Value) -> Answer {
        self.shared.state().calls += 1;
        let fault = self.fault();
        match fault {
            Fault::Refuses => return Answer::Nothing,
            Fault::Silent => {
                self.hold(fault, HELD);
                return Answer::Nothing;
            }
            Fault::Fails(status, code) => return refusal(status, code, "etcdserver: the test says so"),
            Fault::Slow(time) => self.hold(fault, time),
            Fault::Delays => self.hold(fault, HELD),
            _ => {}
        }
        let stale = match fault {
            Fault::Stale(revision) => Some(revision),
            _ => None,
        };
        let mut state = self.shared.state();
        let answer = match path {
            "/v3/kv/range" => state.keys.range(body, stale),
            "/v3/kv/txn" if stale.is_some() && keys::writes(body) => {
                return refusal(503, 14, "etcdserver: no leader");
            }
            "/v3/kv/txn" => state.keys.txn(body, stale),
            "/v3/watch" => {
                let create = &body["create_request"];
                let (key, end) = (keys::bytes(&create["key"]), keys::bytes(&create["range_end"]));
                let next = keys::number(&create["start_revision"]);
                let next = if next == 0 { state.keys.revision() + 1 } else { next };
                return Answer::Watch(Watch { key, end, next, begun: false });
            }
            _ => return refusal(404, 5, "Not Found"),
        };
        drop(state);
        self.shared.changed.notify_all();
        match fault {
            Fault::LosesAnswers | Fault::Delays => Answer::Nothing,
            _ => match answer {
                Ok(value) => Answer::Whole(200, value),
                Err(message) if message.contains("compacted") => refusal(400, 11, &message),
                Err(message) => refusal(400, 3, &message),
            },
        }
    }

    /// The next line of a watch; `None` if nothing happens for a while, an empty answer if the stream is cut.
    fn next(&self, watch: &mut Watch) -> Option<Option<Value>> {
        let n = self.number;
        let mut line = None;
        self.shared.wait(Duration::from_millis(100), |state| {
            let limit = match state.faults[n] {
                Fault::Refuses => {
                    line = Some(None);
                    return true;
                }
                _ if state.closing[n] => {
                    line = Some(None);
                    return true;
                }
                // Cut off without knowing it.
                Fault::Silent | Fault::Delays => 0,
                Fault::Stale(revision) => revision,
                _ => u64::MAX,
            };
            let keys = &state.keys;
            if !watch.begun {
                watch.begun = true;
                line = Some(Some(json!({"result": {"header": keys.header(None), "created": true}})));
                return true;
            }
            if watch.next <= keys.compacted() {
                let compacted = keys.compacted().to_string();
                let result =
                    json!({"header": keys.header(None), "canceled": true, "compact_revision": compacted});
                line = Some(Some(json!({"result": result})));
                return true;
            }
            let (events, next) = keys.events(&watch.key, &watch.end, watch.next, limit);
            watch.next = next;
            if !events.is_empty() {
                line = Some(Some(json!({"result": {"header": keys.header(None), "events": events}})));
            }
            line.is_some()
        });
        line
    }
}
