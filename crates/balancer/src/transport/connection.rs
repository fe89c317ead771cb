//! A non-blocking TCP connection that carries lines, with its unprocessed input and unsent output.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::net::TcpStream;
use shorewharf_protocol::line::{LineScan, scan_line};
use socket2::SockRef;
use thiserror::Error;

use crate::handover::messages::BufferedBytes;
use crate::transport::buffer_pool::{Buffer, BufferPool};
use crate::transport::readiness::Readiness;

/// Maximum number of calls of connect(2) while it fails for local reasons. In most cases the second call succeeds.
const MAX_CONNECT_TRIES: usize = 4;
/// The length of CR LF.
const LINE_END_BYTES: usize = 2;

/// How a peer has closed its side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerClose {
    /// The peer has shut down its sending side (FIN).
    Fin,
    /// The connection was reset or failed.
    Reset,
}

/// A TCP connection. It reads no more than its buffer holds, so that TCP's flow control slows down a peer
/// whose input is not consumed.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    input: Option<Buffer>,
    /// The number of bytes at the front of the input that have been inspected: complete lines, to be
    /// forwarded or discarded.
    inspected: usize,
    /// Unsent messages of the balancer itself; forwarded lines go directly from one connection's input to the
    /// other's stream.
    output: Option<Buffer>,
    can_read: bool,
    can_write: bool,
    /// Whether poll has reported that the peer has closed or the connection has failed.
    has_close_event: bool,
    /// How the peer has closed its side, once a read or a write has shown that.
    pub peer_close: Option<PeerClose>,
    is_write_shut: bool,
    /// Whether the last forwarded byte was not the end of a line.
    is_mid_line: bool,
}

impl Connection {
    /// Wraps an accepted stream, which has inherited `TCP_NODELAY` from its listener.
    pub fn new(stream: TcpStream) -> Self {
        Connection {
            stream,
            input: None,
            inspected: 0,
            output: None,
            can_read: true,
            can_write: true,
            has_close_event: false,
            peer_close: None,
            is_write_shut: false,
            is_mid_line: false,
        }
    }

    /// Begins to connect; [`Connection::is_connected`] returns the result. Calls that fail for local reasons
    /// are retried at once.
    ///
    /// # Errors
    ///
    /// Returns an error if connect(2) fails at once; for local reasons, only after all retries have failed.
    pub fn connect(to: SocketAddr) -> io::Result<Self> {
        for _ in 1..MAX_CONNECT_TRIES {
            match Connection::connect_once(to) {
                Err(e) if is_local_failure(&e) || is_shortage(&e) => {}
                connected => return connected,
            }
        }
        Connection::connect_once(to)
    }

    fn connect_once(to: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(to)?;
        // Lines are short and must not wait until a segment is full.
        stream.set_nodelay(true)?;
        Ok(Connection { can_read: false, can_write: false, ..Connection::new(stream) })
    }

    /// Whether the connection can be transferred to another process, together with its
    /// [`Connection::buffered`] bytes.
    pub fn is_transferable(&self) -> bool {
        self.peer_close.is_none() && !self.is_write_shut
    }

    /// The input that has not been forwarded and the output that has not been sent.
    pub fn buffered(&self) -> BufferedBytes {
        BufferedBytes {
            received: self.pending_input().to_vec(),
            examined: self.inspected,
            unsent: self.output.as_ref().map_or(&[][..], Buffer::contents).to_vec(),
            mid_line: self.is_mid_line,
        }
    }

    /// Returns the stream, for its transfer to another process.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Creates a connection that another process has transferred with these buffered bytes.
    ///
    /// # Errors
    /// Returns a connection without any buffered bytes if they don't fit the buffers or are inconsistent.
    pub fn resume(stream: TcpStream, pool: &BufferPool, buffered: &BufferedBytes) -> Result<Self, Box<Self>> {
        let mut connection = Connection {
            inspected: buffered.examined,
            is_mid_line: buffered.mid_line,
            ..Connection::new(stream)
        };
        let is_consistent = buffered.examined <= buffered.received.len();
        let fits = fill(&mut connection.input, pool, &buffered.received)
            && fill(&mut connection.output, pool, &buffered.unsent);
        if is_consistent && fits {
            return Ok(connection);
        }
        let is_mid_line = buffered.mid_line || !buffered.unsent.is_empty();
        Err(Box::new(Connection { is_mid_line, ..Connection::new(connection.stream) }))
    }

    /// The stream, to be registered with poll.
    pub fn stream(&mut self) -> &mut TcpStream {
        &mut self.stream
    }

    /// Records the readiness that poll has reported.
    pub fn on_ready(&mut self, readiness: Readiness) {
        self.can_read |= readiness.is_readable;
        self.can_write |= readiness.is_writable;
        self.has_close_event |= readiness.is_closed;
    }

    /// Whether the connection is up, after [`Connection::connect`].
    ///
    /// # Errors
    ///
    /// Returns the reason if connecting has failed.
    pub fn is_connected(&self) -> io::Result<bool> {
        if !self.can_write || !self.has_close_event {
            return Ok(self.can_write);
        }
        self.stream.take_error()?.map_or(Ok(true), Err)
    }

    /// Reads until the buffer is full or no more input is available. Returns whether anything was read; the
    /// end of the stream or a failure of the connection counts as well.
    pub fn read_available(&mut self, pool: &BufferPool) -> bool {
        let mut has_read = false;
        while self.can_read && self.peer_close.is_none() {
            let input = self.input.get_or_insert_with(|| pool.take());
            let spare = input.spare();
            if spare.is_empty() {
                break;
            }
            match (&self.stream).read(spare) {
                Ok(0) => self.peer_close = Some(PeerClose::Fin),
                // Reading continues until `WouldBlock`: a short read doesn't mean that no input is left
                // (read(2)), and poll reports input only once.
                Ok(n) => input.commit(n),
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.can_read = false;
                    break;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => continue,
                Err(_) => self.peer_close = Some(PeerClose::Reset),
            }
            has_read = true;
        }
        self.release_empty_buffers();
        has_read
    }

    fn release_empty_buffers(&mut self) {
        self.input.take_if(|buffer| buffer.contents().is_empty());
        self.output.take_if(|buffer| buffer.contents().is_empty());
    }

    /// Input that has been read and neither forwarded nor discarded.
    pub fn pending_input(&self) -> &[u8] {
        self.input.as_ref().map_or(&[], Buffer::contents)
    }

    /// Inspects the next line and returns it without its end, or `None` while it is incomplete. The line
    /// stays in the input, to be forwarded or discarded.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is over the protocol's limit.
    pub fn inspect_line(&mut self) -> Result<Option<&[u8]>, LineTooLong> {
        let start = self.inspected;
        match scan_line(&self.pending_input()[start..]) {
            LineScan::Incomplete => Ok(None),
            LineScan::TooLong => Err(LineTooLong),
            LineScan::Complete(length) => {
                self.inspected += length;
                Ok(Some(&self.pending_input()[start..start + length - LINE_END_BYTES]))
            }
        }
    }

    /// Removes the next line from the input and returns it without its end, or `None` while it is incomplete.
    ///
    /// # Errors
    ///
    /// Returns an error if the line is over the protocol's limit.
    pub fn take_line(&mut self) -> Result<Option<Vec<u8>>, LineTooLong> {
        let line = self.inspect_line()?.map(<[u8]>::to_vec);
        self.discard_inspected();
        Ok(line)
    }

    /// Whether lines have been inspected and neither forwarded nor discarded.
    pub fn has_inspected_lines(&self) -> bool {
        self.inspected > 0
    }

    /// Discards the lines that have been inspected.
    pub fn discard_inspected(&mut self) {
        let inspected = std::mem::take(&mut self.inspected);
        self.discard(inspected);
    }

    /// Discards bytes at the front of the input, whether they are lines or not.
    pub fn discard(&mut self, bytes: usize) {
        if let Some(input) = &mut self.input {
            input.consume(bytes);
        }
        self.release_empty_buffers();
    }

    /// Discards all input.
    pub fn discard_input(&mut self) {
        self.input = None;
        self.inspected = 0;
    }

    /// Marks all input as inspected, so that an incomplete last line is forwarded unchanged after the peer
    /// has closed.
    pub fn inspect_rest(&mut self) {
        self.inspected = self.pending_input().len();
    }

    /// Sends a message of the balancer itself, ahead of lines that are forwarded later. Returns whether the
    /// message fits the buffer.
    pub fn send(&mut self, pool: &BufferPool, message: &[u8]) -> bool {
        let fits = self.output.get_or_insert_with(|| pool.take()).append(message);
        self.flush();
        fits
    }

    /// Writes the balancer's own messages as far as possible. Returns whether all of them have been written.
    pub fn flush(&mut self) -> bool {
        if let Some(output) = self.output.as_mut() {
            let written =
                write_available(&self.stream, &mut self.can_write, &mut self.peer_close, output.contents());
            output.consume(written);
        }
        self.release_empty_buffers();
        self.output.is_none()
    }

    /// Forwards inspected lines to another connection, unchanged; with `only_line_end`, only the rest of a
    /// line that has been forwarded in part. Returns whether any bytes were written.
    pub fn forward_to(&mut self, to: &mut Connection, only_line_end: bool) -> bool {
        if !to.flush() || (only_line_end && !to.is_mid_line) || to.is_write_shut {
            return false;
        }
        let Some(input) = self.input.as_mut().filter(|_| self.inspected > 0) else { return false };
        let mut lines = &input.contents()[..self.inspected];
        if only_line_end && let LineScan::Complete(length) = scan_line(lines) {
            lines = &lines[..length];
        }
        let written = write_available(&to.stream, &mut to.can_write, &mut to.peer_close, lines);
        if written > 0 {
            to.is_mid_line = lines[written - 1] != b'\n';
        }
        input.consume(written);
        self.inspected -= written;
        self.release_empty_buffers();
        written > 0
    }

    /// Whether the last forwarded byte was the end of a line, so that a message of the balancer itself may
    /// follow.
    pub fn is_at_line_boundary(&self) -> bool {
        !self.is_mid_line
    }

    /// Whether no inspected line is left to forward and no message of the balancer itself is left to send.
    pub fn is_drained(&self) -> bool {
        self.inspected == 0 && self.output.is_none()
    }

    /// Shuts down the sending side; does nothing if that was done before.
    pub fn shutdown_write(&mut self) {
        if !std::mem::replace(&mut self.is_write_shut, true) {
            // Fails only if the connection is gone already.
            let _ = self.stream.shutdown(Shutdown::Write);
        }
    }

    /// Makes the connection send a reset when it is closed.
    pub fn reset_on_close(&mut self) {
        // Fails only if the connection is gone already.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

/// Writes as much of `bytes` as the stream accepts without blocking. Returns the number of bytes written.
fn write_available(
    stream: &TcpStream,
    can_write: &mut bool,
    peer_close: &mut Option<PeerClose>,
    bytes: &[u8],
) -> usize {
    let mut written = 0;
    while written < bytes.len() && *can_write && *peer_close != Some(PeerClose::Reset) {
        match (&*stream).write(&bytes[written..]) {
            // A socket never returns this; it counts as a failure, since no later event would follow.
            Ok(0) => *peer_close = Some(PeerClose::Reset),
            Ok(n) => written += n,
            Err(e) if e.kind() == ErrorKind::WouldBlock => *can_write = false,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(_) => *peer_close = Some(PeerClose::Reset),
        }
    }
    written
}

/// Appends bytes to a buffer, which is taken from the pool if there are any bytes. Returns whether they fit.
fn fill(buffer: &mut Option<Buffer>, pool: &BufferPool, bytes: &[u8]) -> bool {
    bytes.is_empty() || buffer.get_or_insert_with(|| pool.take()).append(bytes)
}

/// A line is longer than the protocol allows.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("line longer than the protocol allows")]
pub struct LineTooLong;

/// Whether an error means that descriptors, or memory for them, have run out in the process or the system.
pub fn is_shortage(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    e.kind() == ErrorKind::OutOfMemory || matches!(e.raw_os_error(), Some(ENFILE | EMFILE | ENOBUFS))
}

/// Whether an error of connect(2) has a local cause, such as a lack of ports or of a route, and says nothing
/// about the peer.
pub fn is_local_failure(e: &io::Error) -> bool {
    let no_port_or_route =
        [ErrorKind::AddrNotAvailable, ErrorKind::NetworkUnreachable, ErrorKind::HostUnreachable];
    no_port_or_route.contains(&e.kind()) || matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}
