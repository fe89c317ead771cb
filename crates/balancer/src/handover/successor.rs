//! The old process's connection to one process that replaces it, or is about to.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, BorrowedFd};

use mio::net::UnixStream;
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};
use shorewharf_units::Micros;

use super::id_announcements::IdAnnouncements;
use super::id_sync::LinkSync;
use super::messages::{MAX_LISTENERS, OpenIdMessage, SuccessorMessage, TransferredConnection, take_line};
use crate::clients::id_changes::ChangeBatch;
use crate::clients::open_ids::IdState;

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
pub(super) struct Successor {
    pub(super) stream: UnixStream,
    inbox: Vec<u8>,
    pub(super) outbox: Vec<u8>,
    /// Whether the listeners have been sent, which happens with the first bytes.
    has_listeners: bool,
    pub(super) is_serving: bool,
    /// Whether the process accepts established connections and acknowledges each.
    pub(super) accepts_connections: bool,
    /// Whether the process has been found stalled; see [`STALL_TIMEOUT`].
    pub(super) is_stalled: bool,
    /// Whether the process requests that this one terminates.
    pub(super) requests_termination: bool,
    /// Connections that were sent and not acknowledged, in the order of sending.
    pub(super) in_transit: VecDeque<TransferredConnection>,
    /// The number of connections that have been acknowledged.
    acknowledged: u64,
    /// When the last acknowledgement was received, or the first connection in transit was sent if that was
    /// later.
    last_progress: Micros,
    /// The open ids that the process knows from this one.
    announced_ids: IdAnnouncements,
    /// Changes of the process's open ids that have been received and not been taken.
    pub(super) id_messages: Vec<OpenIdMessage>,
    /// Whether the process knows the open ids of this one.
    pub(super) sync: LinkSync,
    /// The ids of connections that have been acknowledged, which this process still claims.
    pub(super) acknowledged_ids: Vec<u64>,
}

impl Successor {
    /// Creates the state of a connected process. `outbox` holds the bytes that are sent first, which contain
    /// `announced_ids`.
    pub(super) fn new(
        stream: UnixStream,
        outbox: Vec<u8>,
        announced_ids: IdAnnouncements,
        sync: LinkSync,
    ) -> Self {
        Successor {
            stream,
            inbox: Vec::new(),
            outbox,
            has_listeners: false,
            is_serving: false,
            accepts_connections: false,
            is_stalled: false,
            requests_termination: false,
            in_transit: VecDeque::new(),
            acknowledged: 0,
            last_progress: 0,
            announced_ids,
            id_messages: Vec::new(),
            sync,
            acknowledged_ids: Vec::new(),
        }
    }

    /// Sends as much of the outbox as the socket accepts. Returns false if the process has ended.
    pub(super) fn flush(&mut self, listeners: &[TcpListener]) -> bool {
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
    pub(super) fn receive(&mut self, now: Micros) -> bool {
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
            SuccessorMessage::Terminate => self.requests_termination = true,
            SuccessorMessage::Acknowledged(all) => {
                let newly = all.saturating_sub(self.acknowledged).min(self.in_transit.len() as u64);
                // The connections belong to the successor now, so this process closes its descriptors of
                // them.
                let ended = self.in_transit.drain(..newly as usize);
                self.acknowledged_ids.extend(ended.map(|connection| connection.state.open_id));
                self.acknowledged += newly;
                self.last_progress = now;
            }
            SuccessorMessage::SyncsIds => self.sync.is_supported = true,
            SuccessorMessage::OpenIdMessage(message) => self.id_messages.push(message),
        }
    }

    /// Sends the changes that the process does not know, asks it to confirm them, and answers its own sync request.
    pub(super) fn announce_ids(
        &mut self,
        listeners: &[TcpListener],
        changes: &ChangeBatch,
        state_of: impl Fn(u64) -> IdState,
    ) {
        if !self.accepts_id_messages() {
            return;
        }
        let mut messages = self.announced_ids.update(&changes.ids, state_of);
        if self.sync.is_supported && !changes.ids.is_empty() {
            messages.push(OpenIdMessage::SyncRequest(changes.last));
        }
        messages.extend(self.sync.take_reply().map(OpenIdMessage::SyncReply));
        for message in messages {
            self.outbox.extend_from_slice(message.to_string().as_bytes());
        }
        self.flush(listeners);
    }

    /// Whether the process reads what it is sent.
    fn accepts_id_messages(&self) -> bool {
        !self.is_stalled && self.outbox.len() <= MAX_UNREAD_ID_BYTES
    }

    /// The number of the last change that need not be waited for.
    pub(super) fn confirmed_ids(&self) -> u64 {
        if self.accepts_id_messages() { self.sync.confirmed() } else { u64::MAX }
    }

    /// Sends a connection together with its descriptors.
    pub(super) fn send(&mut self, connection: &TransferredConnection) -> io::Result<()> {
        let line = connection.state.to_line();
        let descriptors = [connection.client.as_fd(), connection.server.as_fd()];
        let sent = send_with_descriptors(&self.stream, line.as_bytes(), &descriptors)?;
        // The rest of the line is sent when the socket accepts more.
        self.outbox.extend_from_slice(&line.as_bytes()[sent..]);
        Ok(())
    }

    pub(super) fn add_in_transit(&mut self, now: Micros, connection: TransferredConnection) {
        if self.in_transit.is_empty() {
            self.last_progress = now;
        }
        self.in_transit.push_back(connection);
    }

    pub(super) fn has_stalled(&self, now: Micros) -> bool {
        !self.in_transit.is_empty() && now >= self.last_progress + STALL_TIMEOUT
    }
}
