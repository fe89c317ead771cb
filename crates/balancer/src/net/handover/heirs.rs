//! The old process's side: whoever asks gets the listeners and the list, and is an heir once it serves.

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

use shorewharf_driver::Micros;
use tracing::warn;

use super::is_own;
use super::words::{ENDS, Estate, Handed, KEEPS, LISTENERS, SERVES, TAKES, line, read_took};
use crate::net::poll::{Owner, Poller};

/// Processes that may have asked at once: one, a second one before the first serves, and some that hang.
const HEIRS: usize = 4;
/// A line of an heir's is no longer.
const LINE: usize = 64;

/// An heir that takes nothing for so long, of what is on its way to it, stands still: its clients wait.
const STALLS: Micros = 500_000;

/// A process that has asked.
#[derive(Debug)]
struct Heir {
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
    /// Standing connections on their way there, in their order.
    out: VecDeque<Handed>,
    /// So many before those are its own.
    took: u64,
    /// When it took one last, or the first that is on its way was sent.
    since: Micros,
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
pub struct Heirs {
    path: PathBuf,
    listener: UnixListener,
    /// What is handed over.
    listeners: Vec<TcpListener>,
    table: BTreeMap<u64, Heir>,
    next: u64,
    /// Standing connections that their heir has not taken, and will not.
    back: Vec<Handed>,
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

impl Heirs {
    /// Offers these listeners at the path from now on.
    pub fn open(path: PathBuf, listeners: Vec<TcpListener>, poller: &Poller) -> io::Result<Self> {
        if listeners.len() > LISTENERS {
            let why = format!("{} listeners are more than can be handed over, {LISTENERS}", listeners.len());
            return Err(io::Error::new(ErrorKind::InvalidInput, why));
        }
        let mut listener = listen(&path)?;
        poller.listen(&mut listener, Owner::Heirs)?;
        Ok(Heirs { path, listener, listeners, table: BTreeMap::new(), next: 0, back: Vec::new() })
    }

    /// Processes ask: each is given the estate.
    pub fn comes(&mut self, poller: &Poller, estate: impl Fn() -> Estate) {
        while let Ok((mut stream, _)) = self.listener.accept() {
            if let Err(e) = is_own(&stream) {
                warn!(event = "heir-refused", why = %e);
                continue;
            }
            self.next += 1;
            let number = self.next;
            if poller.watch_source(&mut stream, Owner::Heir(number)).is_err() {
                continue;
            }
            if self.table.len() >= HEIRS {
                // One that stands still must hear that it may take nothing.
                let idle = |heir: &Heir| !heir.serves && !heir.stalls;
                let idle = self.table.iter().find(|(_, heir)| idle(heir)).map(|(number, _)| *number);
                let Some(idle) = idle else { continue };
                self.table.remove(&idle);
            }
            let estate = Estate { listeners: self.listeners.len(), ..estate() };
            // A list is text and numbers, which can be written as JSON.
            let Ok(mut outbox) = serde_json::to_vec(&estate) else { continue };
            outbox.push(b'\n');
            let heir = Heir {
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
            self.table.insert(number, heir);
            self.ready(poller, 0, number);
        }
    }

    /// One of them is ready to be heard or written to.
    pub fn ready(&mut self, poller: &Poller, now: Micros, number: u64) {
        let Some(heir) = self.table.get_mut(&number) else { return };
        // What it has said before its end counts, whether it can be written to or not.
        let writes = heir.writes(&self.listeners);
        if heir.reads(now) && writes {
            return;
        }
        let served = heir.serves;
        if let Some(heir) = self.table.remove(&number) {
            self.back.extend(heir.out);
        }
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
    pub fn hears_all(&mut self, poller: &Poller, now: Micros) {
        for number in self.table.keys().copied().collect::<Vec<_>>() {
            self.ready(poller, now, number);
        }
    }

    /// Looks after those that have standing connections on their way to them and take none: such an heir stands still. From
    /// here on it can't take any: what it says is not heard any more, which it finds out when it says so, and it is told.
    pub fn look_after(&mut self, now: Micros) {
        for heir in self.table.values_mut() {
            if heir.out.is_empty() || now < heir.since + STALLS {
                continue;
            }
            // Fails only where the other side is gone.
            let _ = heir.stream.shutdown(Shutdown::Read);
            heir.reads(now);
            (heir.serves, heir.takes, heir.stalls) = (false, false, true);
            heir.outbox.extend_from_slice(&[KEEPS, b"\n"].concat());
            heir.writes(&self.listeners);
            warn!(event = "heir-stalls", back = heir.out.len());
            self.back.extend(heir.out.drain(..));
        }
    }

    /// Standing connections that are this process's again.
    pub fn take_back(&mut self) -> Vec<Handed> {
        std::mem::take(&mut self.back)
    }

    /// Standing connections that are on their way.
    pub fn on_their_way(&self) -> usize {
        self.table.values().map(|heir| heir.out.len()).sum()
    }

    /// Whether a standing connection can be sent to the one that serves now.
    pub fn can_hand_over(&mut self) -> bool {
        let heir = self.table.values_mut().rev().find(|heir| heir.serves);
        heir.is_some_and(|heir| heir.takes && heir.writes(&self.listeners) && heir.outbox.is_empty())
    }

    /// Whether one of them serves.
    pub fn has_one(&self) -> bool {
        self.table.values().any(|heir| heir.serves)
    }

    /// Whether one that serves has said that this process is to end.
    pub fn ends_this(&self) -> bool {
        self.table.values().any(|heir| heir.serves && heir.ends)
    }

    /// Hands a standing connection to the one that serves. What can't be sent now is this process's again.
    pub fn hand_over(&mut self, now: Micros, handed: Handed) -> bool {
        let line = handed.0.line();
        let heir = self.table.values_mut().rev().find(|heir| heir.serves && heir.takes);
        let sent = heir.and_then(|heir| {
            let ends = [handed.1.as_fd(), handed.2.as_fd()];
            let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(2))];
            let mut control = SendAncillaryBuffer::new(&mut space);
            control.push(SendAncillaryMessage::ScmRights(&ends));
            let sent =
                sendmsg(&heir.stream, &[IoSlice::new(&line)], &mut control, SendFlags::NOSIGNAL).ok()?;
            // What is sent is sent whole, the rest when there is room.
            heir.outbox.extend_from_slice(&line[sent..]);
            if heir.out.is_empty() {
                heir.since = now;
            }
            Some(heir)
        });
        match sent {
            Some(heir) => {
                heir.out.push_back(handed);
                heir.writes(&self.listeners);
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
        for heir in self.table.values_mut().filter(|heir| heir.outbox.is_empty()) {
            heir.outbox.extend_from_slice(line);
            heir.writes(&self.listeners);
        }
    }
}
