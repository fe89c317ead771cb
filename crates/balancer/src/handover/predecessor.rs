//! The new process's end of a hand-over: requests the state of the old process, then receives its established
//! connections.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, OwnedFd};
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

use mio::net::{TcpStream, UnixStream};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg};
use thiserror::Error;
use tracing::warn;

use super::check_same_user;
use super::id_announcements::IdAnnouncements;
use super::id_sync::LinkSync;
use super::messages::{
    EstablishedConnection, HandoverState, MAX_LISTENERS, MAX_STATE_BYTES, OpenIdMessage, PredecessorMessage,
    SuccessorMessage, TransferredConnection, VERSION, take_line,
};
use crate::clients::id_changes::ChangeBatch;
use crate::clients::open_ids::{OpenIds, SiblingLink};
use crate::event_loop::poll::{EventSource, SourceRegistry};

/// Time within which the old process must send its state. Its event loop may be busy, and the new process
/// must be serving within 6 s of its start.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum length of the lines after the first one, in bytes. A line contains names as long as a line of the
/// protocol, and the contents of four buffers as text.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Maximum number of connections received in one iteration of the event loop.
const MAX_CONNECTIONS_PER_ITERATION: usize = 64;

/// The first part of a hand-over: what the old process sends at once.
#[derive(Debug)]
pub struct ReceivedHandover {
    /// The listeners of the old process.
    pub listeners: Vec<TcpListener>,
    /// The state of the old process.
    pub state: HandoverState,
    stream: StdUnixStream,
}

/// The reason why a state that was received can't be used.
#[derive(Debug, Error)]
enum InvalidState {
    #[error("the hand-over state is longer than {MAX_STATE_BYTES} bytes")]
    TooLong,
    #[error("the hand-over state is not valid JSON of the expected form: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error(
        "the hand-over state has version {version}, expected {VERSION}, and came with {received} listeners, \
         {announced} announced"
    )]
    Mismatch { version: u32, received: usize, announced: usize },
}

impl From<InvalidState> for io::Error {
    fn from(error: InvalidState) -> Self {
        io::Error::new(ErrorKind::InvalidData, error)
    }
}

/// Receives bytes and the descriptors that were sent with them. Returns the number of bytes.
fn receive(
    stream: impl AsFd,
    buffer: &mut [u8],
    mut on_descriptor: impl FnMut(OwnedFd),
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_LISTENERS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let received = recvmsg(stream, &mut [IoSliceMut::new(buffer)], &mut control, RecvFlags::CMSG_CLOEXEC);
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(descriptors) = message {
            descriptors.for_each(&mut on_descriptor);
        }
    }
    Ok(received?.bytes)
}

/// Requests the state of the process that listens at `path`.
///
/// # Errors
/// Returns an error if no process listens there, it does not answer in time, or its state can't be used.
pub fn request_state(path: &Path) -> io::Result<ReceivedHandover> {
    let stream = StdUnixStream::connect(path)?;
    check_same_user(&stream)?;
    let started = Instant::now();
    let (mut text, mut listeners) = (Vec::new(), Vec::new());
    let mut buffer = vec![0; 64 << 10];
    while text.last() != Some(&b'\n') {
        let remaining = RESPONSE_TIMEOUT.checked_sub(started.elapsed()).filter(|left| !left.is_zero());
        stream.set_read_timeout(Some(remaining.ok_or(ErrorKind::TimedOut)?))?;
        let received = receive(&stream, &mut buffer, |fd| listeners.push(TcpListener::from(fd)))?;
        if received == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        text.extend_from_slice(&buffer[..received]);
        if text.len() > MAX_STATE_BYTES {
            return Err(InvalidState::TooLong.into());
        }
    }
    let state: HandoverState = serde_json::from_slice(&text).map_err(InvalidState::Malformed)?;
    if state.version != VERSION || state.listener_count != listeners.len() {
        let (received, announced) = (listeners.len(), state.listener_count);
        return Err(InvalidState::Mismatch { version: state.version, received, announced }.into());
    }
    Ok(ReceivedHandover { listeners, state, stream })
}

/// The ids in the state of the old process, as messages to apply.
fn id_messages(state: HandoverState) -> Vec<OpenIdMessage> {
    let retained = state.retained_ids.into_iter().map(OpenIdMessage::Retained);
    retained.chain(state.open_ids.into_iter().map(OpenIdMessage::Opened)).collect()
}

/// The connection to the old process, while that runs.
#[derive(Debug)]
pub struct Predecessor {
    stream: UnixStream,
    inbox: Vec<u8>,
    /// The number of descriptors that the old process holds or may still open.
    pub descriptors: usize,
    /// Whether the old process accepts no more clients.
    pub is_draining: bool,
    /// Descriptors that were received and are not assigned to a connection yet, in the order of arrival.
    received_fds: VecDeque<OwnedFd>,
    /// Connections that were received and are not acknowledged yet.
    unacknowledged: Vec<TransferredConnection>,
    /// The number of connections that have been acknowledged.
    acknowledged: u64,
    /// Whether the old process keeps the connections that have not been acknowledged.
    keeps_unacknowledged: bool,
    /// Whether sending an acknowledgement has failed. None is sent after that.
    is_unreachable: bool,
    /// Whether the socket may have more data than has been received.
    pub has_more: bool,
    /// Changes of the old process's open ids that have been received and not been applied.
    id_messages: Vec<OpenIdMessage>,
    /// Whether the old process knows the open ids of this one.
    sync: LinkSync,
    /// The open ids that the old process knows from this one.
    announced_ids: IdAnnouncements,
}

impl Predecessor {
    /// Notifies the old process that this one serves. With `terminate`, has it terminate.
    ///
    /// # Errors
    /// Returns an error if the socket can't be registered or written to.
    pub fn announce(
        handover: ReceivedHandover,
        terminate: bool,
        registry: &SourceRegistry,
    ) -> io::Result<Self> {
        handover.stream.set_nonblocking(true)?;
        let mut stream = UnixStream::from_std(handover.stream);
        registry.register_source(&mut stream, EventSource::Predecessor)?;
        let ready =
            [SuccessorMessage::AcceptsConnections, SuccessorMessage::SyncsIds, SuccessorMessage::Serving];
        let ready = ready.map(|message| message.to_string()).concat();
        stream.write_all(ready.as_bytes())?;
        if terminate {
            stream.write_all(SuccessorMessage::Terminate.to_string().as_bytes())?;
        }
        Ok(Predecessor {
            stream,
            inbox: Vec::new(),
            descriptors: handover.state.descriptors,
            is_draining: false,
            received_fds: VecDeque::new(),
            unacknowledged: Vec::new(),
            acknowledged: 0,
            keeps_unacknowledged: false,
            is_unreachable: false,
            has_more: false,
            announced_ids: IdAnnouncements::new(&[], &handover.state.retained_ids),
            sync: LinkSync::new(handover.state.syncs_ids, 0),
            id_messages: id_messages(handover.state),
        })
    }

    /// Receives messages, up to the maximum number of connections of one iteration. Returns false if the old
    /// process has ended or has sent a line that is too long.
    pub fn receive(&mut self) -> bool {
        let mut buffer = [0; MAX_LINE_BYTES];
        self.has_more = false;
        loop {
            if self.unacknowledged.len() >= MAX_CONNECTIONS_PER_ITERATION && !self.is_unreachable {
                self.has_more = true;
                return true;
            }
            match receive(&self.stream, &mut buffer, |fd| self.received_fds.push_back(fd)) {
                Ok(0) => return false,
                Ok(received) => self.inbox.extend_from_slice(&buffer[..received]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
            while let Some(line) = take_line(&mut self.inbox) {
                self.on_line(&line);
            }
            if self.inbox.len() > MAX_LINE_BYTES {
                return false;
            }
        }
    }

    fn on_line(&mut self, line: &[u8]) {
        match PredecessorMessage::parse(line) {
            Ok(Some(PredecessorMessage::Connection(state))) => self.on_connection(*state),
            Ok(Some(PredecessorMessage::Descriptors(count))) => self.descriptors = count,
            Ok(Some(PredecessorMessage::Draining)) => self.is_draining = true,
            Ok(Some(PredecessorMessage::KeepsUnacknowledged)) => self.keeps_unacknowledged = true,
            Ok(Some(PredecessorMessage::OpenIdMessage(message))) => self.id_messages.push(message),
            Ok(None) => {}
            Err(e) => {
                drop(self.take_descriptors());
                warn!(event = "transfer-failed", why = %e);
            }
        }
    }

    /// Acknowledges the connections that were received, and returns those that belong to this process from
    /// now on. Each connection belongs to exactly one process: the acknowledgement is sent before this
    /// process relays anything, and the old process keeps every connection that has not been acknowledged. If
    /// the old process has ended, as `is_disconnected` tells, its unacknowledged connections belong to this
    /// process, unless it has announced before that it keeps them.
    pub fn take_connections(&mut self, is_disconnected: bool) -> Vec<TransferredConnection> {
        if is_disconnected && !self.keeps_unacknowledged {
            return std::mem::take(&mut self.unacknowledged);
        }
        if is_disconnected || self.is_unreachable || self.unacknowledged.is_empty() {
            return Vec::new();
        }
        let all = self.acknowledged + self.unacknowledged.len() as u64;
        let line = SuccessorMessage::Acknowledged(all).to_string();
        // The line is much shorter than the socket's buffer, so it is written completely or not at all.
        let is_sent = matches!((&self.stream).write(line.as_bytes()), Ok(written) if written == line.len());
        self.is_unreachable = !is_sent;
        if self.is_unreachable {
            return Vec::new();
        }
        self.acknowledged = all;
        std::mem::take(&mut self.unacknowledged)
    }

    /// Applies the changes of open ids that the old process has reported. Returns their number.
    pub fn apply_id_messages(&mut self, open_ids: &OpenIds) -> usize {
        let count = self.id_messages.len();
        for message in self.id_messages.drain(..) {
            message.apply(open_ids, SiblingLink::Predecessor, &mut self.sync);
        }
        count
    }

    /// Announces to the old process the ids that this process, or a successor of it, holds, asks it to confirm them, and answers
    /// its sync request. What the socket does not accept is dropped: the old process does not run then, and accepts no requests
    /// either.
    pub fn announce_ids(&mut self, changes: &ChangeBatch, open_ids: &OpenIds) {
        let state_of = |id| open_ids.state_apart_from(id, SiblingLink::Predecessor);
        let mut messages = self.announced_ids.update(&changes.ids, state_of);
        if self.sync.is_supported && !changes.ids.is_empty() {
            messages.push(OpenIdMessage::SyncRequest(changes.last));
        }
        messages.extend(self.sync.take_reply().map(OpenIdMessage::SyncReply));
        for message in messages {
            if self.is_unreachable {
                return;
            }
            // Like an acknowledgement, the line is written completely or not at all.
            let line = SuccessorMessage::OpenIdMessage(message).to_string();
            let written = (&self.stream).write(line.as_bytes());
            self.is_unreachable = written.is_ok_and(|written| written < line.len());
        }
    }

    /// The number of the last change of open ids that the old process has not to be waited for.
    pub fn confirmed_ids(&self) -> u64 {
        if self.is_unreachable { u64::MAX } else { self.sync.confirmed() }
    }

    /// Whether the old process waits for the answer to its sync request.
    pub fn is_sync_reply_due(&self) -> bool {
        self.sync.is_reply_due()
    }

    /// Assigns the descriptors that were received with a connection to it.
    fn on_connection(&mut self, state: EstablishedConnection) {
        let Some([client, server]) = self.take_descriptors() else {
            warn!(event = "transfer-failed", why = "a connection arrived without its two descriptors");
            return;
        };
        let [client, server] = [client, server].map(|fd| TcpStream::from_std(fd.into()));
        self.unacknowledged.push(TransferredConnection { state, client, server });
    }

    /// Takes the descriptors of the client and the server of the next connection. They are sent with the
    /// first byte of its line, so they have arrived when the line is complete.
    fn take_descriptors(&mut self) -> Option<[OwnedFd; 2]> {
        let (client, server) = (self.received_fds.pop_front(), self.received_fds.pop_front());
        Some([client?, server?])
    }
}

#[cfg(test)]
mod tests;
