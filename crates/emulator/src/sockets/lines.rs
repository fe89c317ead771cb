//! A non-blocking TCP connection that carries lines. While nothing is buffered in either direction it owns no buffer.

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

/// The most bytes buffered for a peer that does not read; no line of the platform is answered by so many.
const MAX_OUTBOX_BYTES: usize = 4 << 20;

/// A line is longer than the protocol allows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a line of more than {most} bytes", most = shorewharf_protocol::line::MAX_LINE_BYTES)]
pub struct TooLong;

/// A connection that carries lines.
#[derive(Debug)]
pub struct LineConnection {
    stream: TcpStream,
    key: DefaultKey,
    role: Role,
    inbox: Vec<u8>,
    /// Bytes at the front of the inbox that have been consumed.
    consumed: usize,
    outbox: Vec<u8>,
    /// It is established.
    up: bool,
    writable: bool,
    /// The sending side is closed once the outbox is empty.
    finish: bool,
    /// How the peer ended its side, once it has and all before that was read.
    ended: Option<End>,
}

impl Net {
    /// Begins to connect.
    ///
    /// # Errors
    ///
    /// Fails if the system refuses the socket or its registration.
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
        // Lines are short and wanted at once.
        stream.set_nodelay(true)?;
        let key = self.register(&mut stream, Interest::READABLE | Interest::WRITABLE, role)?;
        Ok(LineConnection::new(stream, key, role))
    }

    /// Closes a connection: with `Reset`, or with unread bytes, the peer sees it break.
    pub fn close(&mut self, connection: LineConnection, how: End) {
        let (mut stream, key, buffers) = connection.into_parts();
        if how == End::Reset {
            // A socket that is broken already has no linger to set, and closes as it should anyway.
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

    /// Whether it has come up.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// How the peer ended its side. Lines that came before can still be taken.
    pub fn ended(&self) -> Option<End> {
        self.ended
    }

    /// Takes in what the system says: sends what waits and reads what has come.
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
        let mut room = net.scratch.len();
        while self.ended.is_none() {
            match self.stream.read(&mut net.scratch) {
                Ok(0) => self.ended = Some(End::Fin),
                Ok(n) => {
                    if self.inbox.capacity() == 0 {
                        self.inbox = net.take_buffer();
                    }
                    self.inbox.extend_from_slice(&net.scratch[..n]);
                    room = room.saturating_sub(n);
                    if room == 0 {
                        // Others have their turn first.
                        return net.requeue(self.role);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                Err(_) => self.ended = Some(End::Reset),
            }
        }
    }

    /// Bytes that have come and were not taken.
    pub fn buffered(&self) -> &[u8] {
        &self.inbox[self.consumed..]
    }

    /// Takes so many bytes.
    pub fn consume(&mut self, bytes: usize) {
        self.consumed = (self.consumed + bytes).min(self.inbox.len());
    }

    /// The next whole line, without its end.
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

    /// After reading: gives back the room of what was taken.
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

    /// Sends this, now or as soon as the peer takes it. False if the peer has let too much wait and this is lost.
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

    /// Whether everything said has been handed to the system.
    pub fn is_flushed(&self) -> bool {
        self.outbox.is_empty()
    }

    /// Ends sending once everything said has gone out.
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
                    // Reading says how it ended; here there is nobody left to send to.
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
                // A connection that has ended has no sending to end.
                let _: io::Result<()> = self.stream.shutdown(Shutdown::Write);
            }
        } else {
            self.outbox.drain(..sent);
        }
    }
}
