//! One TCP connection with what waits on it, whoever the peer is. It never waits itself.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use socket2::SockRef;

use crate::handover::messages::BufferedBytes;
use crate::transport::buffer_pool::{Buffer, BufferPool};
use crate::transport::readiness::Readiness;
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
    input: Option<Buffer>,
    /// Bytes at the inbox's front that are whole lines and have been looked at.
    inspected: usize,
    output: Option<Buffer>,
    can_read: bool,
    can_write: bool,
    /// The loop has seen its end, which reading on comes to.
    is_closed_event_pending: bool,
    /// How the peer ended, once it has.
    pub peer_close: Option<PeerClose>,
    is_write_shut: bool,
    /// Part of a line has gone out, its rest has not.
    is_mid_line: bool,
}

impl Connection {
    /// Takes over a connection that has been accepted. Its listener has seen to it that lines go out at once.
    pub fn new(stream: TcpStream) -> Self {
        Connection {
            stream,
            input: None,
            inspected: 0,
            output: None,
            can_read: true,
            can_write: true,
            is_closed_event_pending: false,
            peer_close: None,
            is_write_shut: false,
            is_mid_line: false,
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
    pub fn is_transferable(&self) -> bool {
        self.peer_close.is_none() && !self.is_write_shut
    }

    /// What is on its way here.
    pub fn buffered(&self) -> BufferedBytes {
        let said = self.output.as_ref().map_or(&[][..], Buffer::contents).to_vec();
        BufferedBytes {
            received: self.pending_input().to_vec(),
            examined: self.inspected,
            unsent: said,
            mid_line: self.is_mid_line,
        }
    }

    /// The connection itself, to go on elsewhere.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Goes on with a connection that had so much on its way elsewhere; none where that can't be.
    pub fn resume(stream: TcpStream, pool: &BufferPool, on_the_way: &BufferedBytes) -> Option<Self> {
        let mut link = Connection { is_mid_line: on_the_way.mid_line, ..Connection::new(stream) };
        for (bytes, buffer) in
            [(&on_the_way.received, &mut link.input), (&on_the_way.unsent, &mut link.output)]
        {
            if !bytes.is_empty() && !buffer.get_or_insert_with(|| pool.take()).append(bytes) {
                return None;
            }
        }
        link.inspected = on_the_way.examined;
        (link.inspected <= on_the_way.received.len()).then_some(link)
    }

    /// The stream, for the loop to watch.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// What the loop says the connection is ready for.
    pub fn on_ready(&mut self, ready: Readiness) {
        self.can_read |= ready.is_readable;
        self.can_write |= ready.is_writable;
        self.is_closed_event_pending |= ready.is_closed;
    }

    /// Whether a started connection is up (or not yet), or why it failed.
    pub fn is_connected(&self) -> io::Result<bool> {
        if !self.can_write || !self.is_closed_event_pending {
            return Ok(self.can_write);
        }
        self.stream.take_error()?.map_or(Ok(true), Err)
    }

    /// Reads what there is room for; true if anything came, the end included.
    pub fn read_available(&mut self, pool: &BufferPool) -> bool {
        let mut any = false;
        while self.can_read && self.peer_close.is_none() {
            let inbox = self.input.get_or_insert_with(|| pool.take());
            let room = inbox.spare();
            if room.is_empty() {
                break;
            }
            match (&self.stream).read(room) {
                Ok(0) => self.peer_close = Some(PeerClose::Fin),
                Ok(n) => {
                    // A read may return less than there is (read(2)), and the loop tells of what has come only once:
                    // only the system's own word that there is no more ends the reading.
                    inbox.commit(n);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.can_read = false;
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => self.peer_close = Some(PeerClose::Reset),
            }
            any = true;
        }
        self.tidy();
        any
    }

    fn tidy(&mut self) {
        self.input.take_if(|b| b.contents().is_empty());
        self.output.take_if(|b| b.contents().is_empty());
    }

    /// What has come in and is not handed on yet.
    pub fn pending_input(&self) -> &[u8] {
        self.input.as_ref().map_or(&[], Buffer::contents)
    }

    /// The next line that nobody has looked at; it stays in the inbox to be carried on.
    pub fn inspect_line(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        let from = self.inspected;
        match scan_line(&self.pending_input()[from..]) {
            LineScan::Incomplete => Ok(None),
            LineScan::TooLong => Err(LineTooLong),
            LineScan::Complete(n) => {
                self.inspected += n;
                Ok(Some(&self.pending_input()[from..from + n - 2]))
            }
        }
    }

    /// Takes the next line out of the inbox.
    pub fn take_line(&mut self) -> Result<Option<Vec<u8>>, LineTooLong> {
        let line = self.inspect_line()?.map(<[u8]>::to_vec);
        self.discard_inspected();
        Ok(line)
    }

    /// Throws away the lines that were looked at.
    pub fn discard_inspected(&mut self) {
        let n = std::mem::take(&mut self.inspected);
        self.input.iter_mut().for_each(|b| b.consume(n));
        self.tidy();
    }

    /// Takes so many bytes out of the inbox, lines or not.
    pub fn discard(&mut self, n: usize) {
        self.input.iter_mut().for_each(|b| b.consume(n));
        self.tidy();
    }

    /// Throws away all input.
    pub fn discard_input(&mut self) {
        self.input = None;
        self.inspected = 0;
    }

    /// After its end a peer's unfinished last line counts as looked at: it is carried on as it came.
    pub fn inspect_rest(&mut self) {
        self.inspected = self.pending_input().len();
    }

    fn write_available(
        stream: &TcpStream,
        can_write: &mut bool,
        ended: &mut Option<PeerClose>,
        bytes: &[u8],
    ) -> usize {
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
    pub fn send(&mut self, pool: &BufferPool, words: &[u8]) -> bool {
        let said = self.output.get_or_insert_with(|| pool.take()).append(words);
        self.flush();
        said
    }

    /// Sends what the balancer said; true once all of it is out.
    pub fn flush(&mut self) -> bool {
        if let Some(out) = self.output.as_mut() {
            let n = Connection::write_available(
                &self.stream,
                &mut self.can_write,
                &mut self.peer_close,
                out.contents(),
            );
            out.consume(n);
        }
        self.tidy();
        self.output.is_none()
    }

    /// Carries lines that were looked at to the other side, unchanged; true if any bytes went. With
    /// `to_line_end`, only the rest of a line that has begun to go out.
    pub fn forward_to(&mut self, to: &mut Connection, to_line_end: bool) -> bool {
        if !to.flush() || (to_line_end && !to.is_mid_line) || to.is_write_shut {
            return false;
        }
        let Some(inbox) = self.input.as_mut().filter(|_| self.inspected > 0) else { return false };
        let mut whole = &inbox.contents()[..self.inspected];
        if to_line_end {
            whole = match scan_line(whole) {
                LineScan::Complete(n) => &whole[..n],
                _ => whole,
            };
        }
        let n = Connection::write_available(&to.stream, &mut to.can_write, &mut to.peer_close, whole);
        if n > 0 {
            to.is_mid_line = whole[n - 1] != b'\n';
        }
        inbox.consume(n);
        self.inspected -= n;
        self.tidy();
        n > 0
    }

    /// Whether the last thing sent was a line's end, so that words of the balancer's own may follow.
    pub fn is_at_line_boundary(&self) -> bool {
        !self.is_mid_line
    }

    /// Everything that was looked at, or said, has gone out.
    pub fn is_drained(&self) -> bool {
        self.inspected == 0 && self.output.is_none()
    }

    /// Ends the sending.
    pub fn shutdown_write(&mut self) {
        if !std::mem::replace(&mut self.is_write_shut, true) {
            // Fails only where the connection is gone already.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Makes the close a reset.
    pub fn reset_on_close(&mut self) {
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
