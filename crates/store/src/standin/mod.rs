//! A stub of an etcd cluster for tests of the replicated engine: it serves HTTP on loopback, has several members that
//! share one state, and each member can be given a fault.
//!
//! It implements the parts of etcd's v3 JSON gateway that [`crate::replicated`] uses: `/v3/kv/range`, `/v3/kv/txn` and
//! `/v3/watch`, revisions, reads at a revision, compaction, and gRPC's error codes. It is written from the description
//! of the API and shares no code with the client.

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

/// A fault that a member can be given.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Connections are closed at the next request, without a response; open watches end.
    Refuses,
    /// Requests are neither executed nor answered; connections are closed when the fault ends.
    Silent,
    /// Requests are executed and answered after this delay, or when the fault ends.
    Slow(Duration),
    /// Reads return the state at this revision, and writes are rejected, as by a member that was partitioned from the
    /// cluster then and has not noticed.
    Stale(u64),
    /// Requests are executed, but the connection is closed without a response.
    LosesAnswers,
    /// Requests are executed only when the fault ends, and get no response, as if the network delayed them.
    Delays,
    /// Requests are not executed and get a response with this HTTP status and gRPC code.
    Fails(u16, u32),
}

struct State {
    keys: KeyValueState,
    /// The fault of each member, by its number.
    faults: Vec<Fault>,
    /// Whether each member is closing, by its number.
    closing: Vec<bool>,
    /// The number of requests received so far.
    calls: u64,
}

/// A cluster; clones share its state.
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

    /// Waits until a condition holds, for at most `timeout`.
    fn wait(&self, timeout: Duration, mut condition: impl FnMut(&mut State) -> bool) {
        let state = self.state();
        drop(self.changed.wait_timeout_while(state, timeout, |state| !condition(state)));
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

    /// Starts a member on a free port of the loopback interface.
    ///
    /// # Errors
    /// If no socket can be bound or no thread be started.
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

    /// The number of requests that the members have received so far.
    pub fn calls(&self) -> u64 {
        self.shared.state().calls
    }

    /// Compacts the history: discards versions that were replaced at or before a revision.
    pub fn compact(&self, revision: u64) {
        self.shared.state().keys.compact(revision);
        self.shared.changed.notify_all();
    }

    /// Replaces the state by that of another, empty cluster.
    pub fn wipe(&self) {
        self.shared.state().keys = KeyValueState::new_cluster();
        self.shared.changed.notify_all();
    }

    /// Writes a key as another client would.
    pub fn put(&self, key: &str, value: &str) {
        self.shared.state().keys.put(key.as_bytes(), value.as_bytes());
        self.shared.changed.notify_all();
    }

    /// The present keys and values, ordered by key.
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

/// A member of a cluster; it stops when it is dropped.
pub struct Member {
    cluster: Cluster,
    number: usize,
    address: SocketAddr,
    thread: Option<JoinHandle<()>>,
}

impl Member {
    /// The member's endpoint, for [`crate::replicated::Options::endpoints`].
    pub fn endpoint(&self) -> String {
        format!("http://{}", self.address)
    }

    /// Sets the member's fault and returns the previous one.
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
        // The accepting thread is blocked in `accept`; a connection wakes it, so that it sees that it must end.
        drop(TcpStream::connect(self.address));
        if let Some(thread) = self.thread.take() {
            drop(thread.join());
        }
    }
}
