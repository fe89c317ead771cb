//! A stub of the replicated engine for tests: real HTTP on loopback, several members over one state, and faults that can
//! be switched on and off.
//!
//! It implements the parts of etcd's v3 JSON gateway that [`crate::replicated`] uses, from the API's description and
//! without code of the client: `/v3/kv/range`, `/v3/kv/txn` and `/v3/watch`, revisions, reads at a revision,
//! compaction, and gRPC's error codes.

mod http;
mod keys;
mod server;

use keys::KeyValueState;
use server::StubServer;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread::JoinHandle;
use std::time::Duration;

/// A fault of a member.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Connections are closed as soon as they are accepted.
    Refuses,
    /// Calls are accepted and never answered while the fault lasts.
    Silent,
    /// Calls are answered this much later.
    Slow(Duration),
    /// Reads are answered as of this revision, as by a member that was cut off then and does not know it. Writes are
    /// rejected.
    Stale(u64),
    /// Calls are done, and the connection is closed before the answer.
    LosesAnswers,
    /// Calls are held while the fault lasts, then done without an answer: requests that were long on their way.
    Delays,
    /// Every call is answered with this HTTP status and gRPC code.
    Fails(u16, u32),
}

struct State {
    keys: KeyValueState,
    /// By member.
    faults: Vec<Fault>,
    /// By member.
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
    /// Notified whenever the state changes.
    changed: Condvar,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits until a condition holds, at most for `longest`.
    fn wait(&self, longest: Duration, mut until: impl FnMut(&mut State) -> bool) {
        let state = self.state();
        drop(self.changed.wait_timeout_while(state, longest, |state| !until(state)));
    }
}

impl Default for Cluster {
    fn default() -> Cluster {
        let state =
            State { keys: KeyValueState::default(), faults: Vec::new(), closing: Vec::new(), calls: 0 };
        Cluster { shared: Arc::new(Shared { state: Mutex::new(state), changed: Condvar::new() }) }
    }
}

impl Cluster {
    /// A cluster without members.
    pub fn new() -> Cluster {
        Cluster::default()
    }

    /// Starts a member on a port of loopback.
    ///
    /// # Errors
    /// If the system gives no port or no thread.
    pub fn member(&self) -> io::Result<Member> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let mut state = self.shared.state();
        let number = state.faults.len();
        state.faults.push(Fault::None);
        state.closing.push(false);
        drop(state);
        let shared = self.shared.clone();
        let thread = std::thread::Builder::new()
            .name(format!("member-{number}"))
            .spawn(move || accept(&listener, &shared, number))?;
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

    /// Forgets the versions that were replaced before a revision.
    pub fn compact(&self, revision: u64) {
        self.shared.state().keys.compact(revision);
        self.shared.changed.notify_all();
    }

    /// Loses all keys and becomes another cluster.
    pub fn wipe(&self) {
        self.shared.state().keys = KeyValueState::new_cluster();
        self.shared.changed.notify_all();
    }

    /// Writes a key as another client would.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.state().keys.put(key.as_bytes(), value.as_bytes());
        self.shared.changed.notify_all();
    }

    /// The present keys and values.
    pub fn contents(&self) -> Vec<(String, String)> {
        let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
        self.shared.state().keys.iter().map(|(key, value)| (text(key), text(value))).collect()
    }
}

/// Serves each connection on a thread of its own until the member closes.
fn accept(listener: &TcpListener, shared: &Arc<Shared>, number: usize) {
    for stream in listener.incoming() {
        if shared.state().closing[number] {
            return;
        }
        let server = StubServer { shared: shared.clone(), number };
        if let Ok(stream) = stream {
            std::thread::spawn(move || drop(http::serve(stream, &server)));
        }
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
    /// Its address, for [`crate::replicated::Options::endpoints`].
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets its fault, and returns the earlier one.
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
        // A connection wakes the accepting thread, which then ends.
        drop(TcpStream::connect(self.address));
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}
