//! One TCP connection with what waits on it, whoever the peer is. It never waits itself.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use socket2::SockRef;

use crate::event_loop::poll::Readiness;
use crate::handover::messages::BufferedBytes;
use crate::transport::buffer_pool::{Buffer, BufferPool};
use shorewharf_protocol::line::{LineScan, scan_line};

/// How often a connection is begun that this machine itself could not begin. Most such failures are over with the call.
const MAX_CONNECT_TRIES: usize = 4;

/// How a peer ended its side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerClose {
    /// It finished its sending.
    Fin,
    /// The connection broke.
    Reset,
}

/// A connection. Input is taken in as long as there is room, so a peer that isn't read is slowed down by TCP.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    inbox: Option<Buffer>,
    /// Bytes at the inbox's front that are whole lines and have been looked at.
    seen: usize,
    outbox: Option<Buffer>,
    can_read: bool,
    can_write: bool,
    /// The loop has seen its end, which reading on comes to.
    ends: bool,
    /// How the peer ended, once it has.
    pub ended: Option<PeerClose>,
    shut: bool,
    /// Part of a line has gone out, its rest has not.
    mid_line: bool,
}

impl Connection {
    /// Takes over a connection that has been accepted. Its listener has seen to it that lines go out at once.
    pub fn new(stream: TcpStream) -> Self {
        Connection {
            stream,
            inbox: None,
            seen: 0,
            outbox: None,
            can_read: true,
            can_write: true,
            ends: false,
            ended: None,
            shut: false,
            mid_line: false,
        }
    }

    /// Starts a connection; whether it came up shows in [`Connection::connected`]. What this machine fails at for a moment is
    /// tried again at once.
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        let is_own = |e: &io::Error| is_local_failure(e) || is_shortage(e);
        for _ in 1..MAX_CONNECT_TRIES {
            match Connection::connect_once(to) {
                Err(e) if is_own(&e) => {}
                connected => return connected,
            }
        }
        Connection::connect_once(to)
    }

    fn connect_once(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        // Lines are short and wanted at once.
        stream.set_nodelay(true)?;
        Ok(Connection { can_read: false, can_write: false, ..Connection::new(stream) })
    }

    /// Whether it can go on elsewhere, with what is on its way here.
    pub fn can_go(&self) -> bool {
        self.ended.is_none() && !self.shut
    }

    /// What is on its way here.
    pub fn on_the_way(&self) -> BufferedBytes {
        let said = self.outbox.as_ref().map_or(&[][..], Buffer::held).to_vec();
        BufferedBytes {
            received: self.held().to_vec(),
            examined: self.seen,
            unsent: said,
            mid_line: self.mid_line,
        }
    }

    /// The connection itself, to go on elsewhere.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Goes on with a connection that had so much on its way elsewhere; none where that can't be.
    pub fn going_on(stream: TcpStream, pool: &BufferPool, on_the_way: &BufferedBytes) -> Option<Self> {
        let mut link = Connection { mid_line: on_the_way.mid_line, ..Connection::new(stream) };
        for (bytes, buffer) in
            [(&on_the_way.received, &mut link.inbox), (&on_the_way.unsent, &mut link.outbox)]
        {
            if !bytes.is_empty() && !buffer.get_or_insert_with(|| pool.take()).append(bytes) {
                return None;
            }
        }
        link.seen = on_the_way.examined;
        (link.seen <= on_the_way.received.len()).then_some(link)
    }

    /// The stream, for the loop to watch.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// What the loop says the connection is ready for.
    pub fn ready(&mut self, ready: Readiness) {
        self.can_read |= ready.read;
        self.can_write |= ready.write;
        self.ends |= ready.ends;
    }

    /// Whether a started connection is up (or not yet), or why it failed.
    pub fn connected(&self) -> io::Result<bool> {
        if !self.can_write || !self.ends {
            return Ok(self.can_write);
        }
        self.stream.take_error()?.map_or(Ok(true), Err)
    }

    /// Reads what there is room for; true if anything came, the end included.
    pub fn fill(&mut self, pool: &BufferPool) -> bool {
        let mut any = false;
        while self.can_read && self.ended.is_none() {
            let inbox = self.inbox.get_or_insert_with(|| pool.take());
            let room = inbox.room();
            if room.is_empty() {
                break;
            }
            match (&self.stream).read(room) {
                Ok(0) => self.ended = Some(PeerClose::Fin),
                Ok(n) => {
                    // A read may return less than there is (read(2)), and the loop tells of what has come only once:
                    // only the system's own word that there is no more ends the reading.
                    inbox.added(n);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.can_read = false;
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => self.ended = Some(PeerClose::Reset),
            }
            any = true;
        }
        self.tidy();
        any
    }

    fn tidy(&mut self) {
        self.inbox.take_if(|b| b.held().is_empty());
        self.outbox.take_if(|b| b.held().is_empty());
    }

    /// What has come in and is not handed on yet.
    pub fn held(&self) -> &[u8] {
        self.inbox.as_ref().map_or(&[], Buffer::held)
    }

    /// The next line that nobody has looked at; it stays in the inbox to be carried on.
    pub fn look(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        let from = self.seen;
        match scan_line(&self.held()[from..]) {
            LineScan::Incomplete => Ok(None),
            LineScan::TooLong => Err(LineTooLong),
            LineScan::Complete(n) => {
                self.seen += n;
                Ok(Some(&self.held()[from..from + n - 2]))
            }
        }
    }

    /// Takes the next line out of the inbox.
    pub fn line(&mut self) -> Result<Option<Vec<u8>>, LineTooLong> {
        let line = self.look()?.map(<[u8]>::to_vec);
        self.drop_seen();
        Ok(line)
    }

    /// Throws away the lines that were looked at.
    pub fn drop_seen(&mut self) {
        let n = std::mem::take(&mut self.seen);
        self.inbox.iter_mut().for_each(|b| b.used(n));
        self.tidy();
    }

    /// Takes so many bytes out of the inbox, lines or not.
    pub fn take(&mut self, n: usize) {
        self.inbox.iter_mut().for_each(|b| b.used(n));
        self.tidy();
    }

    /// Throws away all input.
    pub fn drop_input(&mut self) {
        self.inbox = None;
        self.seen = 0;
    }

    /// After its end a peer's unfinished last line counts as looked at: it is carried on as it came.
    pub fn look_at_rest(&mut self) {
        self.seen = self.held().len();
    }

    fn put(stream: &TcpStream, can_write: &mut bool, ended: &mut Option<PeerClose>, bytes: &[u8]) -> usize {
        let mut put = 0;
        while put < bytes.len() && *can_write && *ended != Some(PeerClose::Reset) {
            match (&*stream).write(&bytes[put..]) {
                // No bytes and no error: nothing that a socket says, and nothing to wait for.
                Ok(0) => *ended = Some(PeerClose::Reset),
                Ok(n) => put += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => *can_write = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => *ended = Some(PeerClose::Reset),
            }
        }
        put
    }

    /// Says something of the balancer's own; it goes out before anything that is carried later.
    pub fn say(&mut self, pool: &BufferPool, words: &[u8]) -> bool {
        let said = self.outbox.get_or_insert_with(|| pool.take()).append(words);
        self.flush();
        said
    }

    /// Sends what the balancer said; true once all of it is out.
    pub fn flush(&mut self) -> bool {
        if let Some(out) = self.outbox.as_mut() {
            let n = Connection::put(&self.stream, &mut self.can_write, &mut self.ended, out.held());
            out.used(n);
        }
        self.tidy();
        self.outbox.is_none()
    }

    /// Carries lines that were looked at to the other side, unchanged; true if any bytes went. With
    /// `to_line_end`, only the rest of a line that has begun to go out.
    pub fn carry(&mut self, to: &mut Connection, to_line_end: bool) -> bool {
        if !to.flush() || (to_line_end && !to.mid_line) || to.shut {
            return false;
        }
        let Some(inbox) = self.inbox.as_mut().filter(|_| self.seen > 0) else { return false };
        let mut whole = &inbox.held()[..self.seen];
        if to_line_end {
            whole = match scan_line(whole) {
                LineScan::Complete(n) => &whole[..n],
                _ => whole,
            };
        }
        let n = Connection::put(&to.stream, &mut to.can_write, &mut to.ended, whole);
        if n > 0 {
            to.mid_line = whole[n - 1] != b'\n';
        }
        inbox.used(n);
        self.seen -= n;
        self.tidy();
        n > 0
    }

    /// Whether the last thing sent was a line's end, so that words of the balancer's own may follow.
    pub fn between_lines(&self) -> bool {
        !self.mid_line
    }

    /// Everything that was looked at, or said, has gone out.
    pub fn quiet(&self) -> bool {
        self.seen == 0 && self.outbox.is_none()
    }

    /// Ends the sending.
    pub fn shut(&mut self) {
        if !std::mem::replace(&mut self.shut, true) {
            // Fails only where the connection is gone already.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Makes the close a reset.
    pub fn break_off(&mut self) {
        // Fails only where the connection is gone already.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// A line over the limit.
#[derive(Debug, PartialEq, Eq)]
pub struct LineTooLong;

/// Whether an error means that descriptors or memory for them have run out (here, or in the whole system).
pub fn is_shortage(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    e.kind() == ErrorKind::OutOfMemory
        || matches!(e.raw_os_error(), Some(ENFILE) | Some(EMFILE) | Some(ENOBUFS))
}

/// Whether an error of a call that starts a connection is this machine's own, and says nothing of the peer: there are no
/// ports left, or no route.
pub fn is_local_failure(e: &io::Error) -> bool {
    let no_way = [ErrorKind::AddrNotAvailable, ErrorKind::NetworkUnreachable, ErrorKind::HostUnreachable];
    no_way.contains(&e.kind()) || matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
