//! The new process's end of a hand-over: it requests the state of the old one, then takes its established connections.

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
use super::messages::{
    EstablishedConnection, HandoverState, MAX_LISTENERS, MAX_STATE_BYTES, PredecessorMessage,
    SuccessorMessage, TransferredConnection, VERSION, take_line,
};
use crate::event_loop::poll::{EventSource, SourceRegistry};

/// The old process must answer within this time: its loop may be busy, and the start has 6 s in all.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(1500);
/// The longest line after the first: names are as long as a line of the protocol, and four buffers come along as text.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Connections that are taken in one iteration of the event loop.
const MAX_CONNECTIONS_PER_ITERATION: usize = 64;

/// What the old process has handed over at once.
#[derive(Debug)]
pub struct ReceivedHandover {
    /// Its listeners.
    pub listeners: Vec<TcpListener>,
    /// Its state.
    pub state: HandoverState,
    stream: StdUnixStream,
}

/// A state that can't be used.
#[derive(Debug, Error)]
enum InvalidState {
    #[error("the estate is longer than {MAX_STATE_BYTES} bytes")]
    TooLong,
    #[error("the estate: {0}")]
    Malformed(#[from] serde_json::Error),
    #[error("version {version} with {received} listeners of {announced}")]
    Mismatch { version: u32, received: usize, announced: usize },
}

impl From<InvalidState> for io::Error {
    fn from(error: InvalidState) -> Self {
        io::Error::new(ErrorKind::InvalidData, error)
    }
}

/// Receives bytes, and with them the descriptors that come along.
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
/// No process listens there, it does not answer in time, or its state can't be used.
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

/// The old process, while it runs.
#[derive(Debug)]
pub struct Predecessor {
    stream: UnixStream,
    inbox: Vec<u8>,
    /// Descriptors that it holds or may still open.
    pub descriptors: usize,
    /// It accepts no more clients.
    pub is_draining: bool,
    /// Descriptors received and not yet assigned to a connection, in their order.
    received_fds: VecDeque<OwnedFd>,
    /// Connections received and not yet acknowledged.
    unacknowledged: Vec<TransferredConnection>,
    /// How many connections have been acknowledged.
    acknowledged: u64,
    /// It keeps the connections that were not acknowledged.
    keeps_unacknowledged: bool,
    /// No acknowledgement can be sent any more.
    is_unreachable: bool,
    /// More may be waiting at the socket than was received.
    pub has_more: bool,
}

impl Predecessor {
    /// Tells the old process that this one serves, and to terminate if `terminate` is set.
    ///
    /// # Errors
    /// The socket can't be watched or written to.
    pub fn announce(
        handover: ReceivedHandover,
        terminate: bool,
        registry: &SourceRegistry,
    ) -> io::Result<Self> {
        handover.stream.set_nonblocking(true)?;
        let mut stream = UnixStream::from_std(handover.stream);
        registry.register_source(&mut stream, EventSource::Predecessor)?;
        let ready = format!("{}{}", SuccessorMessage::AcceptsConnections, SuccessorMessage::Serving);
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
        })
    }

    /// Receives messages, up to a number of connections; returns false once the old process is gone.
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
            Ok(None) => {}
            Err(e) => {
                drop(self.take_descriptors());
                warn!(event = "transfer-failed", why = %e);
            }
        }
    }

    /// Takes the connections that belong to this process from now on. Each belongs to exactly one process: the old one
    /// receives the acknowledgement before anything is relayed here, and keeps the connections that were not
    /// acknowledged, unless it is `gone` without having said so.
    pub fn take_connections(&mut self, gone: bool) -> Vec<TransferredConnection> {
        if gone && !self.keeps_unacknowledged {
            return std::mem::take(&mut self.unacknowledged);
        }
        if gone || self.is_unreachable || self.unacknowledged.is_empty() {
            return Vec::new();
        }
        let all = self.acknowledged + self.unacknowledged.len() as u64;
        let line = SuccessorMessage::Acknowledged(all).to_string();
        // One line is far less than the socket buffers: it is written completely or not at all.
        let is_sent = matches!((&self.stream).write(line.as_bytes()), Ok(written) if written == line.len());
        self.is_unreachable = !is_sent;
        if self.is_unreachable {
            return Vec::new();
        }
        self.acknowledged = all;
        std::mem::take(&mut self.unacknowledged)
    }

    /// Assigns a connection its descriptors.
    fn on_connection(&mut self, state: EstablishedConnection) {
        let Some([client, server]) = self.take_descriptors() else {
            warn!(event = "transfer-failed", why = "without its descriptors");
            return;
        };
        let [client, server] = [client, server].map(|fd| TcpStream::from_std(fd.into()));
        self.unacknowledged.push(TransferredConnection { state, client, server });
    }

    /// The client's and the server's descriptor of the next connection. They come with the first byte of its line, so they
    /// have been received when the line is complete.
    fn take_descriptors(&mut self) -> Option<[OwnedFd; 2]> {
        let (client, server) = (self.received_fds.pop_front(), self.received_fds.pop_front());
        Some([client?, server?])
    }
}

#[cfg(test)]
mod tests;
