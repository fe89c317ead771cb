//! The old process's side: whoever asks gets the listeners and the list, and is a successor once it serves.

use shorewharf_units::Micros;
use std::collections::{BTreeMap, VecDeque};
use std::fs::Permissions;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::{Shutdown, TcpListener};
use std::os::fd::AsFd;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};

use mio::net::{UnixListener, UnixStream};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};

use tracing::warn;

use crate::event_loop::poll::{EventSource, SourceRegistry};
use crate::handover::is_own;
use crate::handover::messages::{
    ENDS, HandoverState, KEEPS, LISTENERS, SERVES, TAKES, TransferredConnection, line, read_took,
};

/// Processes that may have asked at once: one, a second one before the first serves, and some that hang.
const SUCCESSORS: usize = 4;
/// A line of a successor's is no longer.
const LINE: usize = 64;

/// A successor that takes nothing for so long, of what is on its way to it, stands still: its clients wait.
const STALLS: Micros = 500_000;

/// A process that has asked.
#[derive(Debug)]
struct Successor {
    stream: UnixStream,
    inbox: Vec<u8>,
    outbox: Vec<u8>,
    /// The listeners have gone out, with the first bytes.
    given: bool,
    serves: bool,
    /// It says of each standing connection that it took it.
    takes: bool,
    /// It took nothing for long.
    stalls: bool,
    /// This process is to end, by its word.
    ends: bool,
    /// EstablishedConnection connections on their way there, in their order.
    out: VecDeque<TransferredConnection>,
    /// So many before those are its own.
    took: u64,
    /// When it took one last, or the first that is on its way was sent.
    since: Micros,
}

impl Successor {
    /// Writes what is to be written; false where the other side is gone.
    fn writes(&mut self, listeners: &[TcpListener]) -> bool {
        while !self.outbox.is_empty() {
            let wrote = if self.given {
                (&self.stream).write(&self.outbox)
            } else {
                let fds: Vec<_> = listeners.iter().map(AsFd::as_fd).collect();
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(LISTENERS))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                control.push(SendAncillaryMessage::ScmRights(&fds));
                let sent =
                    sendmsg(&self.stream, &[IoSlice::new(&self.outbox)], &mut control, SendFlags::NOSIGNAL);
                self.given = sent.is_ok();
                sent.map_err(io::Error::from)
            };
            match wrote {
                Ok(n) => drop(self.outbox.drain(..n)),
                Err(e) if e.kind() == ErrorKind::WouldBlock => return true,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
        }
        true
    }

    /// Reads what it says; false where it is gone.
    fn reads(&mut self, now: Micros) -> bool {
        let mut bytes = [0; LINE];
        loop {
            match self.stream.read(&mut bytes) {
                Ok(0) => return false,
                Ok(n) => self.inbox.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == ErrorKind::WouldBlock => break,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => return false,
            }
            while let Some(line) = line(&mut self.inbox) {
                self.serves |= line == SERVES;
                self.takes |= line == TAKES;
                self.ends |= line == ENDS;
                if let Some(all) = read_took(&line) {
                    let some = all.saturating_sub(self.took).min(self.out.len() as u64);
                    // Its own from now on: what is let go here is this process's descriptors of them.
                    self.out.drain(..some as usize);
                    (self.took, self.since) = (self.took + some, now);
                }
            }
            if self.inbox.len() > LINE {
                return false;
            }
        }
        true
    }
}

/// Where new processes ask, and those that have.
#[derive(Debug)]
pub struct Successors {
    path: PathBuf,
    listener: UnixListener,
    /// What is handed over.
    listeners: Vec<TcpListener>,
    table: BTreeMap<u64, Successor>,
    next: u64,
    /// EstablishedConnection connections that their successor has not taken, and will not.
    back: Vec<TransferredConnection>,
}

/// Listens at the path, in the place of whoever did before.
fn listen(path: &Path) -> io::Result<UnixListener> {
    let own = path.with_extension(std::process::id().to_string());
    // Left over by a process of this number, long ago.
    let _ = std::fs::remove_file(&own);
    let listener = UnixListener::bind(&own)?;
    std::fs::set_permissions(&own, Permissions::from_mode(0o600))?;
    std::fs::rename(&own, path)?;
    Ok(listener)
}

impl Successors {
    /// Offers these listeners at the path from now on.
    pub fn open(path: PathBuf, listeners: Vec<TcpListener>, poller: &SourceRegistry) -> io::Result<Self> {
        if listeners.len() > LISTENERS {
            let why = format!("{} listeners are more than can be handed over, {LISTENERS}", listeners.len());
            return Err(io::Error::new(ErrorKind::InvalidInput, why));
        }
        let mut listener = listen(&path)?;
        poller.register_readable(&mut listener, EventSource::HandoverListener)?;
        Ok(Successors { path, listener, listeners, table: BTreeMap::new(), next: 0, back: Vec::new() })
    }

    /// Processes ask: each is given the estate.
    pub fn comes(&mut self, poller: &SourceRegistry, estate: impl Fn() -> HandoverState) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            if let Err(e) = is_own(&stream) {
                warn!(event = "successor-refused", why = %e);
                continue;
            }
            self.next += 1;
            let number = self.next;
            if poller.register_source(&mut stream, EventSource::Successor(number)).is_err() {
                continue;
            }
            if self.table.len() >= SUCCESSORS {
                // One that stands still must hear that it may take nothing.
                let idle = |successor: &Successor| !successor.serves && !successor.stalls;
                let idle =
                    self.table.iter().find(|(_, successor)| idle(successor)).map(|(number, _)| *number);
                let Some(idle) = idle else { continue };
                self.table.remove(&idle);
            }
            let estate = HandoverState { listeners: self.listeners.len(), ..estate() };
            // A list is text and numbers, which can be written as JSON.
            let Ok(mut outbox) = serde_json::to_vec(&estate) else { continue };
            outbox.push(b'\n');
            let successor = Successor {
                stream,
                inbox: Vec::new(),
                outbox,
                given: false,
                serves: false,
                takes: false,
                stalls: false,
                ends: false,
                out: VecDeque::new(),
                took: 0,
                since: 0,
            };
            self.table.insert(number, successor);
            self.ready(poller, 0, number);
        }
    }

    /// One of them is ready to be heard or written to.
    pub fn ready(&mut self, poller: &SourceRegistry, now: Micros, number: u64) {
        let Some(successor) = self.table.get_mut(&number) else { return };
        // What it has said before its end counts, whether it can be written to or not.
        let writes = successor.writes(&self.listeners);
        if successor.reads(now) && writes {
            return;
        }
        let served = successor.serves;
        if let Some(successor) = self.table.remove(&number) {
            self.back.extend(successor.out);
        }
        // The last of them had taken the path; the next one must find this process again.
        if served
            && !self.has_one()
            && let Ok(mut listener) = listen(&self.path)
            && poller.register_readable(&mut listener, EventSource::HandoverListener).is_ok()
        {
            self.listener = listener;
        }
    }

    /// Hears all of them now: what they have said must not be overlooked.
    pub fn hears_all(&mut self, poller: &SourceRegistry, now: Micros) {
        for number in self.table.keys().copied().collect::<Vec<_>>() {
            self.ready(poller, now, number);
        }
    }

    /// Looks after those that have standing connections on their way to them and take none: such a successor stands still. From
    /// here on it can't take any: what it says is not heard any more, which it finds out when it says so, and it is told.
    pub fn look_after(&mut self, now: Micros) {
        for successor in self.table.values_mut() {
            if successor.out.is_empty() || now < successor.since + STALLS {
                continue;
            }
            // Fails only where the other side is gone.
            let _ = successor.stream.shutdown(Shutdown::Read);
            successor.reads(now);
            (successor.serves, successor.takes, successor.stalls) = (false, false, true);
            successor.outbox.extend_from_slice(&[KEEPS, b"\n"].concat());
            successor.writes(&self.listeners);
            warn!(event = "successor-stalls", back = successor.out.len());
            self.back.extend(successor.out.drain(..));
        }
    }

    /// EstablishedConnection connections that are this process's again.
    pub fn take_back(&mut self) -> Vec<TransferredConnection> {
        std::mem::take(&mut self.back)
    }

    /// EstablishedConnection connections that are on their way.
    pub fn on_their_way(&self) -> usize {
        self.table.values().map(|successor| successor.out.len()).sum()
    }

    /// Whether a standing connection can be sent to the one that serves now.
    pub fn can_hand_over(&mut self) -> bool {
        let successor = self.table.values_mut().rev().find(|successor| successor.serves);
        successor.is_some_and(|successor| {
            successor.takes && successor.writes(&self.listeners) && successor.outbox.is_empty()
        })
    }

    /// Whether one of them serves.
    pub fn has_one(&self) -> bool {
        self.table.values().any(|successor| successor.serves)
    }

    /// Whether one that serves has said that this process is to end.
    pub fn ends_this(&self) -> bool {
        self.table.values().any(|successor| successor.serves && successor.ends)
    }

    /// Hands a standing connection to the one that serves. What can't be sent now is this process's again.
    pub fn hand_over(&mut self, now: Micros, handed: TransferredConnection) -> bool {
        let line = handed.0.line();
        let successor = self.table.values_mut().rev().find(|successor| successor.serves && successor.takes);
        let sent = successor.and_then(|successor| {
            let ends = [handed.1.as_fd(), handed.2.as_fd()];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            control.push(SendAncillaryMessage::ScmRights(&ends));
            let sent =
                sendmsg(&successor.stream, &[IoSlice::new(&line)], &mut control, SendFlags::NOSIGNAL).ok()?;
            // What is sent is sent whole, the rest when there is room.
            successor.outbox.extend_from_slice(&line[sent..]);
            if successor.out.is_empty() {
                successor.since = now;
            }
            Some(successor)
        });
        match sent {
            Some(successor) => {
                successor.out.push_back(handed);
                successor.writes(&self.listeners);
                true
            }
            None => {
                self.back.push(handed);
                false
            }
        }
    }

    /// Tells them a line; one that does not read gets what it can hold.
    pub fn tell(&mut self, line: &[u8]) {
        for successor in self.table.values_mut().filter(|successor| successor.outbox.is_empty()) {
            successor.outbox.extend_from_slice(line);
            successor.writes(&self.listeners);
        }
    }
}
