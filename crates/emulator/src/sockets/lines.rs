//! A non-blocking TCP connection that carries lines. It has a buffer only while bytes wait in that direction.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;

use mio::Interest;
use mio::net::TcpStream;
use shorewharf_protocol::line::{LineScan, scan_line};
use slotmap::DefaultKey;
use socket2::SockRef;

use super::net::{Net, Ready, Role};
use crate::edge::End;

/// The largest number of bytes buffered for a peer that does not read; no response of the platform is as long.
const MAX_OUTBOX_BYTES: usize = 4 << 20;

/// The error of a line that is longer than the protocol allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("line exceeds {limit} bytes", limit = shorewharf_protocol::line::MAX_LINE_BYTES)]
pub struct TooLong;

/// A connection that carries lines.
#[derive(Debug)]
pub struct LineConnection {
    stream: TcpStream,
    key: DefaultKey,
    role: Role,
    inbox: Vec<u8>,
    /// The number of bytes at the front of the inbox that have been consumed.
    consumed: usize,
    outbox: Vec<u8>,
    /// Whether the connection is established.
    up: bool,
    writable: bool,
    /// Whether the sending side is to be shut down once the outbox is empty.
    finish: bool,
    /// How the peer ended its side, once everything it had sent before has been read.
    ended: Option<End>,
}

impl Net {
    /// Starts to connect.
    ///
    /// # Errors
    ///
    /// Fails if the socket cannot be created, connected or registered.
    pub fn connect(&mut self, to: SocketAddr, role: Role) -> io::Result<LineConnection> {
        let stream = TcpStream::connect(to).inspect_err(|e| self.note_shortage(e))?;
        self.adopt(stream, role)
    }

    /// Takes over an accepted or connecting stream.
    ///
    /// # Errors
    ///
    /// Fails if the stream cannot be configured or registered.
    pub fn adopt(&mut self, mut stream: TcpStream, role: Role) -> io::Result<LineConnection> {
        // Lines are short and must not be delayed by Nagle's algorithm.
        stream.set_nodelay(true)?;
        let key = self.register(&mut stream, Interest::READABLE | Interest::WRITABLE, role)?;
        Ok(LineConnection::new(stream, key, role))
    }

    /// Closes a connection. With [`End::Reset`], or if unread bytes remain, the peer sees a reset.
    pub fn close(&mut self, connection: LineConnection, how: End) {
        let (mut stream, key, buffers) = connection.into_parts();
        if how == End::Reset {
            // An error is ignored: it means that the connection is already broken.
            let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
        }
        self.deregister(&mut stream, key);
        buffers.into_iter().for_each(|b| self.return_buffer(b));
    }
}

impl LineConnection {
    pub(super) fn new(stream: TcpStream, key: DefaultKey, role: Role) -> Self {
        LineConnection {
            stream,
            key,
            role,
            inbox: Vec::new(),
            consumed: 0,
            outbox: Vec::new(),
            up: false,
            writable: false,
            finish: false,
            ended: None,
        }
    }

    pub(super) fn into_parts(self) -> (TcpStream, DefaultKey, [Vec<u8>; 2]) {
        (self.stream, self.key, [self.inbox, self.outbox])
    }

    /// Whether the connection is established.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// How the peer ended its side; none while it has not. Lines received before can still be consumed.
    pub fn ended(&self) -> Option<End> {
        self.ended
    }

    /// Handles readiness: writes buffered bytes and reads those that have arrived.
    pub fn on_ready(&mut self, net: &mut Net, ready: Ready) {
        if ready.write {
            self.writable = true;
            if !self.up && !self.check_established() {
                return;
            }
            self.flush(net);
        }
        if ready.read && self.up {
            self.fill(net);
        }
    }

    fn check_established(&mut self) -> bool {
        match (self.stream.take_error(), self.stream.peer_addr()) {
            (Ok(None), Ok(_)) => self.up = true,
            (Ok(None), Err(e)) if e.kind() == ErrorKind::NotConnected => self.writable = false,
            _ => self.ended = Some(End::Reset),
        }
        self.up
    }

    fn fill(&mut self, net: &mut Net) {
        let mut allowance = net.scratch.len();
        while self.ended.is_none() {
            match self.stream.read(&mut net.scratch) {
                Ok(0) => self.ended = Some(End::Fin),
                Ok(n) => {
                    if self.inbox.capacity() == 0 {
                        self.inbox = net.take_buffer();
                    }
                    self.inbox.extend_from_slice(&net.scratch[..n]);
                    allowance = allowance.saturating_sub(n);
                    if allowance == 0 {
                        // Other connections are served before the rest is read.
                        return net.requeue(self.role);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.ended = Some(End::Reset),
            }
        }
    }

    /// The received bytes that have not been consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.inbox[self.consumed..]
    }

    /// Consumes this number of bytes.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed = (self.consumed + bytes).min(self.inbox.len());
    }

    /// Consumes and returns the next complete line, without the line end.
    ///
    /// # Errors
    ///
    /// Fails if the line is longer than the protocol allows.
    pub fn next_line(&mut self) -> Result<Option<&[u8]>, TooLong> {
        match scan_line(&self.inbox[self.consumed..]) {
            LineScan::Complete(n) => {
                let from = self.consumed;
                self.consumed += n;
                Ok(Some(&self.inbox[from..from + n - 2]))
            }
            LineScan::Incomplete => Ok(None),
            LineScan::TooLong => Err(TooLong),
        }
    }

    /// Frees the space of consumed bytes; to be called after reading.
    pub fn compact(&mut self, net: &mut Net) {
        if self.consumed == self.inbox.len() {
            if self.inbox.capacity() > 0 {
                net.return_buffer(std::mem::take(&mut self.inbox));
            }
        } else {
            self.inbox.drain(..self.consumed);
        }
        self.consumed = 0;
    }

    /// Sends bytes, now or as soon as the peer accepts them. Returns false and drops them if too many already wait.
    pub fn send(&mut self, net: &mut Net, bytes: &[u8]) -> bool {
        if self.outbox.len() + bytes.len() > MAX_OUTBOX_BYTES {
            return false;
        }
        if self.outbox.capacity() == 0 {
            self.outbox = net.take_buffer();
        }
        self.outbox.extend_from_slice(bytes);
        self.flush(net);
        true
    }

    /// Whether all bytes have been handed to the operating system.
    pub fn is_flushed(&self) -> bool {
        self.outbox.is_empty()
    }

    /// Shuts down the sending side once all bytes have been sent.
    pub fn finish(&mut self, net: &mut Net) {
        self.finish = true;
        self.flush(net);
    }

    fn flush(&mut self, net: &mut Net) {
        let mut sent = 0;
        while self.up && self.writable && sent < self.outbox.len() {
            match self.stream.write(&self.outbox[sent..]) {
                Ok(n) => sent += n,
                Err(e) if e.kind() == ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => {
                    // The bytes are dropped; reading finds out how the connection ended.
                    sent = self.outbox.len();
                }
            }
        }
        if sent == self.outbox.len() {
            if self.outbox.capacity() > 0 {
                net.return_buffer(std::mem::take(&mut self.outbox));
            }
            if self.finish && self.up {
                self.finish = false;
                // An error is ignored: it means that the connection has ended already.
                let _: io::Result<()> = self.stream.shutdown(Shutdown::Write);
            }
        } else {
            self.outbox.drain(..sent);
        }
    }
}
