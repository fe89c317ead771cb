//! The new process's side: what the old one leaves, and whether it is still there.

use std::collections::VecDeque;
use std::io::{self, ErrorKind, IoSliceMut, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::OwnedFd;
use std::os::unix::net::UnixStream as StdUnixStream;
use std::path::Path;
use std::time::{Duration, Instant};

use mio::net::{TcpStream, UnixStream};
use rustix::net::{RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, recvmsg};
use tracing::warn;

use crate::event_loop::poll::{EventSource, SourceRegistry};
use crate::handover::is_own;
use crate::handover::messages::{
    ENDS, EstablishedConnection, HandoverState, KEEPS, LEAVES, LISTENERS, LONGEST, SERVES, TAKES,
    TransferredConnection, VERSION, line, read_held, took,
};

/// The old process has this long to answer: its loop may be busy, and the start has 6 s in all.
const PATIENCE: Duration = Duration::from_millis(1500);

/// A line of the old process's is no longer: names are lines of the platform's at the most, and four buffers go along as
/// text.
const LINE: usize = 64 << 10;

/// EstablishedConnection connections that are taken in in one turn: their lines wait no longer than that.
const PORTION: usize = 64;

/// What the old process has left.
#[derive(Debug)]
pub struct ReceivedHandover {
    /// Its listeners.
    pub listeners: Vec<TcpListener>,
    /// The rest.
    pub estate: HandoverState,
    stream: StdUnixStream,
}

/// Asks the process that listens at the path.
///
/// # Errors
/// Where nobody does, where it does not answer in time, or with what can't be used.
pub fn ask(path: &Path) -> io::Result<ReceivedHandover> {
    let stream = StdUnixStream::connect(path)?;
    is_own(&stream)?;
    let began = Instant::now();
    let (mut text, mut listeners) = (Vec::new(), Vec::new());
    let bad = |why: String| io::Error::new(ErrorKind::InvalidData, why);
    let mut bytes = vec![0; 64 << 10];
    while text.last() != Some(&b'\n') {
        let left = PATIENCE.checked_sub(began.elapsed()).filter(|left| !left.is_zero());
        stream.set_read_timeout(Some(left.ok_or(ErrorKind::TimedOut)?))?;
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
        let mut control = RecvAncillaryBuffer::new(&mut space);
        let got =
            recvmsg(&stream, &mut [IoSliceMut::new(&mut bytes)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
        for message in control.drain() {
            if let RecvAncillaryMessage::ScmRights(fds) = message {
                listeners.extend(fds.map(TcpListener::from));
            }
        }
        if got.bytes == 0 {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        text.extend_from_slice(&bytes[..got.bytes]);
        if text.len() > LONGEST {
            return Err(bad(format!("the estate is longer than {LONGEST} bytes")));
        }
    }
    let estate: HandoverState = serde_json::from_slice(&text).map_err(|e| bad(format!("the estate: {e}")))?;
    if estate.version != VERSION || estate.listeners != listeners.len() {
        let (version, n) = (estate.version, listeners.len());
        return Err(bad(format!("version {version} with {n} listeners of {}", estate.listeners)));
    }
    Ok(ReceivedHandover { listeners, estate, stream })
}

/// The old process, while it is there.
#[derive(Debug)]
pub struct Predecessor {
    stream: UnixStream,
    inbox: Vec<u8>,
    /// Descriptors that it holds or may take.
    pub held: usize,
    /// It takes no clients any more.
    pub leaves: bool,
    /// Descriptors that came along, in their order.
    ends: VecDeque<OwnedFd>,
    /// EstablishedConnection connections that came along and are not this process's yet.
    stands: Vec<TransferredConnection>,
    /// So many are.
    took: u64,
    /// The old process goes on with those that it was not told of.
    keeps: bool,
    /// It can't be told any more, or not now.
    deaf: bool,
    /// More may have come than was taken in.
    pub more: bool,
}

impl Predecessor {
    /// The old process, told that this one serves, and that it is to end if it is.
    pub fn told(inherited: ReceivedHandover, ends: bool, poller: &SourceRegistry) -> io::Result<Self> {
        inherited.stream.set_nonblocking(true)?;
        let mut stream = UnixStream::from_std(inherited.stream);
        poller.register_source(&mut stream, EventSource::Predecessor)?;
        stream.write_all(&[TAKES, b"\n", SERVES, b"\n"].concat())?;
        if ends {
            stream.write_all(&[ENDS, b"\n"].concat())?;
        }
        Ok(Predecessor {
            stream,
            inbox: Vec::new(),
            held: inherited.estate.held,
            leaves: false,
            ends: VecDeque::new(),
            stands: Vec::new(),
            took: 0,
            keeps: false,
            deaf: false,
            more: false,
        })
    }

    /// Hears what it says, up to a portion of standing connections; false once it is gone.
    pub fn ready(&mut self) -> bool {
        let mut bytes = [0; LINE];
        self.more = false;
        loop {
            if self.stands.len() >= PORTION && !self.deaf {
                self.more = true;
                return true;
            }
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
            let mut control = RecvAncillaryBuffer::new(&mut space);
            let into = &mut [IoSliceMut::new(&mut bytes)];
            let got = recvmsg(&self.stream, into, &mut control, RecvFlags::CMSG_CLOEXEC);
            for message in control.drain() {
                if let RecvAncillaryMessage::ScmRights(fds) = message {
                    self.ends.extend(fds);
                }
            }
            match got.map_err(io::Error::from) {
                Ok(got) if got.bytes == 0 => return false,
                Ok(got) => self.inbox.extend_from_slice(&bytes[..got.bytes]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
            while let Some(line) = line(&mut self.inbox) {
                self.leaves |= line == LEAVES;
                self.keeps |= line == KEEPS;
                self.held = read_held(&line).unwrap_or(self.held);
                if let Some(standing) = EstablishedConnection::read(&line) {
                    self.comes_along(standing);
                }
            }
            if self.inbox.len() > LINE {
                return false;
            }
        }
    }

    /// EstablishedConnection connections that are this process's from now on. Each is exactly one's: the old process is told before
    /// anything is passed on here, and goes on with those it was not told of, which it says, unless it is gone.
    pub fn taken(&mut self, gone: bool) -> Vec<TransferredConnection> {
        if gone && !self.keeps {
            return std::mem::take(&mut self.stands);
        }
        let all = self.took + self.stands.len() as u64;
        if gone || self.deaf || self.stands.is_empty() {
            return Vec::new();
        }
        // One line is far less than the socket holds: it goes whole or not at all.
        let line = took(all);
        self.deaf = !matches!((&self.stream).write(line.as_bytes()), Ok(n) if n == line.len());
        if self.deaf {
            return Vec::new();
        }
        self.took = all;
        std::mem::take(&mut self.stands)
    }

    /// A standing connection has come along. Its ends came with the first byte of its line, so they are here.
    fn comes_along(&mut self, standing: Result<EstablishedConnection, serde_json::Error>) {
        let (client, server) = (self.ends.pop_front(), self.ends.pop_front());
        match (standing, client, server) {
            (Ok(standing), Some(client), Some(server)) => {
                let [client, server] = [client, server].map(|end| TcpStream::from_std(end.into()));
                self.stands.push((standing, client, server));
            }
            (standing, ..) => {
                let why =
                    standing.err().map_or_else(|| "without its descriptors".to_owned(), |e| e.to_string());
                warn!(event = "not-taken-over", why);
            }
        }
    }
}

#[cfg(test)]
mod tests;
