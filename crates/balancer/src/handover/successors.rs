//! The old process's end of a hand-over: offers the listeners and the state to each process that connects,
//! and transfers the established connections to the one that serves.

use std::collections::{BTreeMap, VecDeque};
use std::fs::Permissions;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpListener};
use std::os::fd::{AsFd, BorrowedFd};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use mio::net::{UnixListener, UnixStream};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use shorewharf_units::Micros;
use tracing::warn;

use super::check_same_user;
use super::id_announcements::IdAnnouncements;
use super::messages::{
    HandoverState, MAX_LISTENERS, OpenIdChange, PredecessorMessage, SuccessorMessage, TransferredConnection,
    take_line,
};
use crate::clients::open_ids::{OpenIds, SiblingLink};
use crate::event_loop::poll::{EventSource, SourceRegistry};

/// Maximum number of connected processes: one that serves, another one that is starting, and some that hang.
const MAX_SUCCESSORS: usize = 4;
/// Maximum length of a line from a successor, in bytes.
const MAX_LINE_BYTES: usize = 64;
/// A successor has stalled if it acknowledges nothing for this long while connections are in transit to it.
const STALL_TIMEOUT: Micros = 500_000;
/// A successor that leaves more bytes than this unread gets no further changes of open ids.
const MAX_UNREAD_ID_BYTES: usize = 64 << 10;

/// Sends bytes together with descriptors. Returns the number of bytes that were sent.
fn send_with_descriptors(
    stream: &UnixStream,
    bytes: &[u8],
    descriptors: &[BorrowedFd<'_>],
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    control.push(SendAncillaryMessage::ScmRights(descriptors));
    Ok(sendmsg(stream, &[IoSlice::new(bytes)], &mut control, SendFlags::NOSIGNAL)?)
}

/// A process that has connected.
#[derive(Debug)]
struct Successor {
    stream: UnixStream,
    inbox: Vec<u8>,
    outbox: Vec<u8>,
    /// Whether the listeners have been sent, which happens with the first bytes.
    has_listeners: bool,
    is_serving: bool,
    /// Whether the process accepts established connections and acknowledges each.
    accepts_connections: bool,
    /// Whether the process has been found stalled; see [`STALL_TIMEOUT`].
    is_stalled: bool,
    /// Whether the process requests that this one terminates.
    wants_termination: bool,
    /// Connections that were sent and not acknowledged, in the order of sending.
    in_transit: VecDeque<TransferredConnection>,
    /// The number of connections that have been acknowledged.
    acknowledged: u64,
    /// When the last acknowledgement was received, or the first connection in transit was sent if that was
    /// later.
    last_progress: Micros,
    /// The open ids that the process knows from this one.
    announced_ids: IdAnnouncements,
    /// Changes of the process's open ids that have been received and not been taken.
    id_changes: Vec<OpenIdChange>,
    /// The ids of connections that have been acknowledged, which this process still claims.
    acknowledged_ids: Vec<u64>,
}

impl Successor {
    /// Creates the state of a connected process. `outbox` holds the bytes that are sent first, which contain
    /// `announced_ids`.
    fn new(stream: UnixStream, outbox: Vec<u8>, announced_ids: IdAnnouncements) -> Self {
        Successor {
            stream,
            inbox: Vec::new(),
            outbox,
            has_listeners: false,
            is_serving: false,
            accepts_connections: false,
            is_stalled: false,
            wants_termination: false,
            in_transit: VecDeque::new(),
            acknowledged: 0,
            last_progress: 0,
            announced_ids,
            id_changes: Vec::new(),
            acknowledged_ids: Vec::new(),
        }
    }

    /// Sends as much of the outbox as the socket accepts. Returns false if the process has ended.
    fn flush(&mut self, listeners: &[TcpListener]) -> bool {
        while !self.outbox.is_empty() {
            let written = if self.has_listeners {
                (&self.stream).write(&self.outbox)
            } else {
                let descriptors: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
                let sent = send_with_descriptors(&self.stream, &self.outbox, &descriptors);
                self.has_listeners = sent.is_ok();
                sent
            };
            match written {
                Ok(count) => drop(self.outbox.drain(..count)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Receives messages. Returns false if the process has ended or has sent a line that is too long.
    fn receive(&mut self, now: Micros) -> bool {
        let mut buffer = [0; MAX_LINE_BYTES];
        loop {
            match self.stream.read(&mut buffer) {
                Ok(0) => return false,
                Ok(count) => self.inbox.extend_from_slice(&buffer[..count]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
            while let Some(line) = take_line(&mut self.inbox) {
                if let Some(message) = SuccessorMessage::parse(&line) {
                    self.on_message(now, message);
                }
            }
            if self.inbox.len() > MAX_LINE_BYTES {
                return false;
            }
        }
    }

    fn on_message(&mut self, now: Micros, message: SuccessorMessage) {
        match message {
            SuccessorMessage::Serving => self.is_serving = true,
            SuccessorMessage::AcceptsConnections => self.accepts_connections = true,
            SuccessorMessage::Terminate => self.wants_termination = true,
            SuccessorMessage::Acknowledged(all) => {
                let newly = all.saturating_sub(self.acknowledged).min(self.in_transit.len() as u64);
                // The connections belong to the successor now, so this process closes its descriptors of
                // them.
                let ended = self.in_transit.drain(..newly as usize);
                self.acknowledged_ids.extend(ended.map(|connection| connection.state.open_id));
                self.acknowledged += newly;
                self.last_progress = now;
            }
            SuccessorMessage::OpenIdChange(change) => self.id_changes.push(change),
        }
    }

    /// Sends the changes of `ids` that the process does not know.
    fn announce_ids(&mut self, listeners: &[TcpListener], ids: &[u64], is_held: impl Fn(u64) -> bool) {
        if self.is_stalled || self.outbox.len() > MAX_UNREAD_ID_BYTES {
            return;
        }
        for change in self.announced_ids.update(ids, is_held) {
            self.outbox.extend_from_slice(change.to_string().as_bytes());
        }
        self.flush(listeners);
    }

    /// Sends a connection together with its descriptors.
    fn send(&mut self, connection: &TransferredConnection) -> io::Result<()> {
        let line = connection.state.to_line();
        let descriptors = [connection.client.as_fd(), connection.server.as_fd()];
        let sent = send_with_descriptors(&self.stream, line.as_bytes(), &descriptors)?;
        // The rest of the line is sent when the socket accepts more.
        self.outbox.extend_from_slice(&line.as_bytes()[sent..]);
        Ok(())
    }

    fn add_in_transit(&mut self, now: Micros, connection: TransferredConnection) {
        if self.in_transit.is_empty() {
            self.last_progress = now;
        }
        self.in_transit.push_back(connection);
    }

    fn has_stalled(&self, now: Micros) -> bool {
        !self.in_transit.is_empty() && now >= self.last_progress + STALL_TIMEOUT
    }
}

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

    /// Accepts processes that have connected, and sends the state to each.
    pub fn accept(&mut self, registry: &SourceRegistry, state: impl Fn() -> HandoverState) {
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
            let announced_ids = IdAnnouncements::new(&state.open_ids);
            self.by_number.insert(number, Successor::new(stream, outbox, announced_ids));
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

    /// Applies the changes of open ids that the successors have reported, and releases the ids of connections that
    /// belong to a successor now. Returns the number of reported changes.
    pub fn apply_id_changes(&mut self, open_ids: &OpenIds) -> usize {
        let mut count = 0;
        for (number, successor) in &mut self.by_number {
            let link = SiblingLink::Successor(*number);
            count += successor.id_changes.len();
            successor.id_changes.drain(..).for_each(|change| change.apply(open_ids, link));
            successor.acknowledged_ids.drain(..).for_each(|id| open_ids.release(id));
        }
        for (number, acknowledged_ids) in self.ended.drain(..) {
            open_ids.release_sibling(SiblingLink::Successor(number));
            acknowledged_ids.into_iter().for_each(|id| open_ids.release(id));
        }
        count
    }

    /// Announces to each successor which of these ids other processes, or this one, hold.
    pub fn announce_ids(&mut self, ids: &[u64], open_ids: &OpenIds) {
        for (number, successor) in &mut self.by_number {
            let link = SiblingLink::Successor(*number);
            successor.announce_ids(&self.listeners, ids, |id| open_ids.is_held_apart_from(id, link));
        }
    }

    /// Whether a successor serves.
    pub fn is_any_serving(&self) -> bool {
        self.by_number.values().any(|successor| successor.is_serving)
    }

    /// Whether a successor that serves requests that this process terminates.
    pub fn wants_termination(&self) -> bool {
        self.by_number.values().any(|successor| successor.is_serving && successor.wants_termination)
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
