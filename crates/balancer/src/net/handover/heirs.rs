//! The old process's side: whoever asks gets the listeners and the list, and is an heir once it serves.

use std::collections::BTreeMap;
use std::io::{self, ErrorKind, IoSlice, Read, Write};
use std::mem::MaybeUninit;
use std::net::TcpListener;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::{Path, PathBuf};

use mio::net::{UnixListener, UnixStream};
use rustix::net::{SendAncillaryBuffer, SendAncillaryMessage, SendFlags, sendmsg};

use super::words::{Estate, LISTENERS, SERVES, line};
use crate::net::poll::{Owner, Poller};

/// Processes that may have asked at once: one, a second one before the first serves, and some that hang.
const HEIRS: usize = 4;
/// A line of an heir's is no longer.
const LINE: usize = 64;

/// A process that has asked.
#[derive(Debug)]
struct Heir {
    stream: UnixStream,
    inbox: Vec<u8>,
    outbox: Vec<u8>,
    /// The listeners have gone out, with the first bytes.
    given: bool,
    serves: bool,
}

impl Heir {
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
    fn reads(&mut self) -> bool {
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
pub struct Heirs {
    path: PathBuf,
    listener: UnixListener,
    /// What is handed over.
    listeners: Vec<TcpListener>,
    table: BTreeMap<u64, Heir>,
    next: u64,
}

/// Listens at the path, in the place of whoever did before.
fn listen(path: &Path) -> io::Result<UnixListener> {
    let own = path.with_extension(std::process::id().to_string());
    // Left over by a process of this number, long ago.
    let _ = std::fs::remove_file(&own);
    let listener = UnixListener::bind(&own)?;
    std::fs::rename(&own, path)?;
    Ok(listener)
}

impl Heirs {
    /// Offers these listeners at the path from now on.
    pub fn open(path: PathBuf, listeners: Vec<TcpListener>, poller: &Poller) -> io::Result<Self> {
        if listeners.len() > LISTENERS {
            let why = format!("{} listeners are more than can be handed over, {LISTENERS}", listeners.len());
            return Err(io::Error::new(ErrorKind::InvalidInput, why));
        }
        let mut listener = listen(&path)?;
        poller.listen(&mut listener, Owner::Heirs)?;
        Ok(Heirs { path, listener, listeners, table: BTreeMap::new(), next: 0 })
    }

    /// Processes ask: each is given the estate.
    pub fn comes(&mut self, poller: &Poller, estate: impl Fn() -> Estate) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            self.next += 1;
            let number = self.next;
            if poller.watch_source(&mut stream, Owner::Heir(number)).is_err() {
                continue;
            }
            if self.table.len() >= HEIRS {
                let idle = self.table.iter().find(|(_, heir)| !heir.serves).map(|(number, _)| *number);
                let Some(idle) = idle else { continue };
                self.table.remove(&idle);
            }
            let estate = Estate { listeners: self.listeners.len(), ..estate() };
            // A list is text and numbers, which can be written as JSON.
            let Ok(mut outbox) = serde_json::to_vec(&estate) else { continue };
            outbox.push(b'\n');
            let heir = Heir { stream, inbox: Vec::new(), outbox, given: false, serves: false };
            self.table.insert(number, heir);
            self.ready(poller, number);
        }
    }

    /// One of them is ready to be heard or written to.
    pub fn ready(&mut self, poller: &Poller, number: u64) {
        let Some(heir) = self.table.get_mut(&number) else { return };
        if heir.writes(&self.listeners) && heir.reads() {
            return;
        }
        let served = heir.serves;
        self.table.remove(&number);
        // The last of them had taken the path; the next one must find this process again.
        if served
            && !self.has_one()
            && let Ok(mut listener) = listen(&self.path)
            && poller.listen(&mut listener, Owner::Heirs).is_ok()
        {
            self.listener = listener;
        }
    }

    /// Hears all of them now: what they have said must not be overlooked.
    pub fn hears_all(&mut self, poller: &Poller) {
        for number in self.table.keys().copied().collect::<Vec<_>>() {
            self.ready(poller, number);
        }
    }

    /// Whether one of them serves.
    pub fn has_one(&self) -> bool {
        self.table.values().any(|heir| heir.serves)
    }

    /// Hands a standing connection to the one that serves: false where it can't be now. What is sent is sent whole.
    pub fn hand_over(&mut self, line: &[u8], ends: &[BorrowedFd<'_>]) -> bool {
        let Some(heir) = self.table.values_mut().rev().find(|heir| heir.serves) else { return false };
        if !heir.writes(&self.listeners) || !heir.outbox.is_empty() {
            return false;
        }
        let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
        let mut control = SendAncillaryBuffer::new(&mut space);
        control.push(SendAncillaryMessage::ScmRights(ends));
        match sendmsg(&heir.stream, &[IoSlice::new(line)], &mut control, SendFlags::NOSIGNAL) {
            Ok(sent) => {
                heir.outbox.extend_from_slice(&line[sent..]);
                heir.writes(&self.listeners);
                true
            }
            Err(_) => false,
        }
    }

    /// Tells them a line; one that does not read gets what it can hold.
    pub fn tell(&mut self, line: &[u8]) {
        for heir in self.table.values_mut().filter(|heir| heir.outbox.is_empty()) {
            heir.outbox.extend_from_slice(line);
            heir.writes(&self.listeners);
        }
    }
}
