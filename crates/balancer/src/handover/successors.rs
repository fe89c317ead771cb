//! The old process's end of a hand-over: offers the listeners and the state to each process that connects,
//! and transfers the established connections to the one that serves.

use std::collections::BTreeMap;
use std::fs::Permissions;
use std::io::{self, ErrorKind};
use std::net::{Shutdown, TcpListener};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use mio::net::UnixListener;
use shorewharf_units::Micros;
use tracing::warn;

use super::check_same_user;
use super::id_announcements::IdAnnouncements;
use super::id_sync::LinkSync;
use super::messages::{HandoverState, MAX_LISTENERS, PredecessorMessage, TransferredConnection};
use super::successor::Successor;
use crate::clients::id_changes::ChangeBatch;
use crate::clients::open_ids::{OpenIds, SiblingLink};
use crate::event_loop::poll::{EventSource, SourceRegistry};

/// Maximum number of connected processes: one that serves, another one that is starting, and some that hang.
const MAX_SUCCESSORS: usize = 4;

/// The socket that new processes connect to, and the processes that have connected.
#[derive(Debug)]
pub struct Successors {
    path: PathBuf,
    socket: UnixListener,
    /// The TCP listeners that are handed over.
    listeners: Vec<TcpListener>,
    /// The connected processes by number, in the order of connecting.
    by_number: BTreeMap<u64, Successor>,
    last_number: u64,
    /// Connections that belong to this process again, since they can't be acknowledged any more.
    returned: Vec<TransferredConnection>,
    /// The successors that have ended and whose ids have not been released, each with the ids of the connections that it
    /// had acknowledged.
    ended: Vec<(u64, Vec<u64>)>,
}

/// Listens at `path`, and replaces the socket of any process that listens there.
fn listen(path: &Path) -> io::Result<UnixListener> {
    let own_path = path.with_extension(std::process::id().to_string());
    // An earlier process with the same process id may have left the file.
    let _ = std::fs::remove_file(&own_path);
    let socket = UnixListener::bind(&own_path)?;
    std::fs::set_permissions(&own_path, Permissions::from_mode(0o600))?;
    std::fs::rename(&own_path, path)?;
    Ok(socket)
}

impl Successors {
    /// Offers `listeners` at `path`.
    ///
    /// # Errors
    /// Returns an error if there are more than [`MAX_LISTENERS`] listeners, or the socket can't be opened.
    pub fn open(path: PathBuf, listeners: Vec<TcpListener>, registry: &SourceRegistry) -> io::Result<Self> {
        if listeners.len() > MAX_LISTENERS {
            let count = listeners.len();
            let reason = format!("{count} listeners can't be handed over; at most {MAX_LISTENERS} can");
            return Err(io::Error::new(ErrorKind::InvalidInput, reason));
        }
        let mut socket = listen(&path)?;
        registry.register_readable(&mut socket, EventSource::HandoverListener)?;
        let (by_number, returned) = (BTreeMap::new(), Vec::new());
        Ok(Successors { path, socket, listeners, by_number, last_number: 0, returned, ended: Vec::new() })
    }

    /// Accepts processes that have connected, and sends the state to each, which contains the open ids up to the change with the
    /// number `change_count`.
    pub fn accept(
        &mut self,
        registry: &SourceRegistry,
        change_count: u64,
        state: impl Fn() -> HandoverState,
    ) {
        while let Ok((mut stream, _)) = self.socket.accept() {
            if let Err(e) = check_same_user(&stream) {
                warn!(event = "successor-rejected", why = %e);
                continue;
            }
            self.last_number += 1;
            let number = self.last_number;
            if registry.register_source(&mut stream, EventSource::Successor(number)).is_err()
                || !self.ensure_capacity()
            {
                continue;
            }
            let state = HandoverState { listener_count: self.listeners.len(), ..state() };
            // Serializing can't fail: the state is text and numbers.
            let Ok(mut outbox) = serde_json::to_vec(&state) else { continue };
            outbox.push(b'\n');
            let announced_ids = IdAnnouncements::new(&state.open_ids, &state.retained_ids);
            let sync = LinkSync::new(false, change_count);
            self.by_number.insert(number, Successor::new(stream, outbox, announced_ids, sync));
            self.on_ready(registry, 0, number);
        }
    }

    /// Ensures that one more successor can be added, if necessary by dropping the oldest idle one. Returns
    /// false if there are too many successors and none is idle. A stalled successor is not idle: it must still
    /// be told that the connections in transit do not belong to it.
    fn ensure_capacity(&mut self) -> bool {
        if self.by_number.len() < MAX_SUCCESSORS {
            return true;
        }
        let mut successors = self.by_number.iter();
        let idle = successors.find(|(_, successor)| !successor.is_serving && !successor.is_stalled);
        let Some(number) = idle.map(|(number, _)| *number) else { return false };
        self.ended.extend(self.by_number.remove(&number).map(|idle| (number, idle.acknowledged_ids)));
        true
    }

    /// Handles readiness of a successor's socket.
    pub fn on_ready(&mut self, registry: &SourceRegistry, now: Micros, number: u64) {
        let Some(successor) = self.by_number.get_mut(&number) else { return };
        // Messages that a process has sent before its end count even if it can't be written to any more.
        let is_writable = successor.flush(&self.listeners);
        if successor.receive(now) && is_writable {
            return;
        }
        let was_serving = successor.is_serving;
        if let Some(successor) = self.by_number.remove(&number) {
            self.returned.extend(successor.in_transit);
            self.ended.push((number, successor.acknowledged_ids));
        }
        // A serving successor has replaced the socket at the path by its own. Once the last one has ended,
        // this process replaces it again, so that the next process connects here.
        if was_serving
            && !self.is_any_serving()
            && let Ok(mut socket) = listen(&self.path)
            && registry.register_readable(&mut socket, EventSource::HandoverListener).is_ok()
        {
            self.socket = socket;
        }
    }

    /// Receives the messages of all successors, whether or not their sockets were reported ready.
    pub fn receive_all(&mut self, registry: &SourceRegistry, now: Micros) {
        for number in self.by_number.keys().copied().collect::<Vec<_>>() {
            self.on_ready(registry, now, number);
        }
    }

    /// Takes back the connections in transit to successors that have stalled. A stalled successor can't
    /// acknowledge connections any more: its messages are not received, so that sending one fails, and it is
    /// told that this process keeps the connections.
    pub fn check_stalled(&mut self, now: Micros) {
        for successor in self.by_number.values_mut().filter(|successor| successor.has_stalled(now)) {
            // Fails only if the process has ended.
            let _ = successor.stream.shutdown(Shutdown::Read);
            successor.receive(now);
            successor.is_serving = false;
            successor.accepts_connections = false;
            successor.is_stalled = true;
            let keeps = PredecessorMessage::KeepsUnacknowledged.to_string();
            successor.outbox.extend_from_slice(keeps.as_bytes());
            successor.flush(&self.listeners);
            warn!(event = "successor-stalled", back = successor.in_transit.len());
            self.returned.extend(successor.in_transit.drain(..));
        }
    }

    /// Takes the connections that belong to this process again.
    pub fn take_returned(&mut self) -> Vec<TransferredConnection> {
        std::mem::take(&mut self.returned)
    }

    /// The number of connections that were sent and not acknowledged.
    pub fn in_transit(&self) -> usize {
        self.by_number.values().map(|successor| successor.in_transit.len()).sum()
    }

    /// Whether a connection can be sent now to the newest successor that serves.
    pub fn can_transfer(&mut self) -> bool {
        let successor = self.by_number.values_mut().rev().find(|successor| successor.is_serving);
        successor.is_some_and(|successor| {
            successor.accepts_connections && successor.flush(&self.listeners) && successor.outbox.is_empty()
        })
    }

    /// Whether a process has connected and not ended.
    pub fn is_any_connected(&self) -> bool {
        !self.by_number.is_empty()
    }

    /// Applies the changes of open ids that the successors have reported, and has them hold the ids of connections that
    /// belong to them now. Returns the number of reported changes.
    pub fn apply_id_messages(&mut self, open_ids: &OpenIds) -> usize {
        let mut count = 0;
        for (number, successor) in &mut self.by_number {
            let link = SiblingLink::Successor(*number);
            count += successor.id_messages.len();
            // The process reports changes of these ids only after it has acknowledged the connections.
            successor.acknowledged_ids.drain(..).for_each(|id| open_ids.transfer_to_sibling(id, link));
            for message in successor.id_messages.drain(..) {
                message.apply(open_ids, link, &mut successor.sync);
            }
        }
        for (number, acknowledged_ids) in self.ended.drain(..) {
            open_ids.release_sibling(SiblingLink::Successor(number));
            acknowledged_ids.into_iter().for_each(|id| open_ids.release(id));
        }
        count
    }

    /// Announces to each successor the ids that other processes, or this one, hold, and answers its sync request.
    pub fn announce_ids(&mut self, changes: &ChangeBatch, open_ids: &OpenIds) {
        for (number, successor) in &mut self.by_number {
            let link = SiblingLink::Successor(*number);
            successor.announce_ids(&self.listeners, changes, |id| open_ids.state_apart_from(id, link));
        }
    }

    /// The number of the last change of open ids that no successor has to be waited for.
    pub fn confirmed_ids(&self) -> u64 {
        self.by_number.values().map(Successor::confirmed_ids).min().unwrap_or(u64::MAX)
    }

    /// Whether a successor waits for the answer to its sync request.
    pub fn is_sync_reply_due(&self) -> bool {
        self.by_number.values().any(|successor| successor.sync.is_reply_due())
    }

    /// Whether a successor serves.
    pub fn is_any_serving(&self) -> bool {
        self.by_number.values().any(|successor| successor.is_serving)
    }

    /// Whether a successor that serves requests that this process terminates.
    pub fn requests_termination(&self) -> bool {
        self.by_number.values().any(|successor| successor.is_serving && successor.requests_termination)
    }

    /// Sends a connection to the newest successor that serves and accepts connections. Returns false if it
    /// could not be sent; [`Successors::take_returned`] returns it then.
    pub fn transfer(&mut self, now: Micros, connection: TransferredConnection) -> bool {
        let mut newest_first = self.by_number.values_mut().rev();
        let serving = newest_first.find(|successor| successor.is_serving && successor.accepts_connections);
        match serving.and_then(|successor| successor.send(&connection).is_ok().then_some(successor)) {
            Some(successor) => {
                successor.add_in_transit(now, connection);
                successor.flush(&self.listeners);
                true
            }
            None => {
                self.returned.push(connection);
                false
            }
        }
    }

    /// Sends a message to each successor for which no earlier message is still to be sent.
    pub fn broadcast(&mut self, message: &PredecessorMessage) {
        let line = message.to_string();
        for successor in self.by_number.values_mut().filter(|successor| successor.outbox.is_empty()) {
            successor.outbox.extend_from_slice(line.as_bytes());
            successor.flush(&self.listeners);
        }
    }
}
