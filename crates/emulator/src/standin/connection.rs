//! One end of a connection with the balancer, scripted line by line.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use shorewharf_protocol::open_request::OpenRequestLine;

use super::LIMIT;

/// What the balancer's end of a connection sends next.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// A line, without its line ending.
    Line(String),
    /// The balancer has shut down its sending side.
    Fin,
    /// The balancer has reset the connection.
    Reset,
}

/// The test's end of a connection with the balancer. Data is sent without delay (`TCP_NODELAY`).
#[derive(Debug)]
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// Wraps an established connection.
    ///
    /// # Panics
    ///
    /// Panics if the socket options cannot be set.
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LIMIT)).expect("the read timeout should be set");
        stream.set_nodelay(true).expect("TCP_NODELAY should be set");
        Connection(BufReader::new(stream))
    }

    /// Connects as a client that has sent nothing yet.
    ///
    /// # Panics
    ///
    /// Panics if the address refuses the connection.
    #[track_caller]
    pub fn connect(to: SocketAddr) -> Self {
        Connection::from_stream(TcpStream::connect(to).expect("the balancer should accept connections"))
    }

    /// Connects as a client and sends its first line.
    ///
    /// # Panics
    ///
    /// Panics if the address refuses the connection, or if the connection is broken.
    #[track_caller]
    pub fn open(to: SocketAddr, line: &OpenRequestLine) -> Self {
        let mut client = Connection::connect(to);
        client.send_bytes(line.to_string().as_bytes());
        client
    }

    /// Sends a line; the line ending is added.
    ///
    /// # Panics
    ///
    /// Panics if the connection is broken.
    #[track_caller]
    pub fn send_line(&mut self, line: &str) {
        self.send_bytes(format!("{line}\r\n").as_bytes());
    }

    /// Sends bytes unchanged.
    ///
    /// # Panics
    ///
    /// Panics if the connection is broken.
    #[track_caller]
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the connection should accept data");
    }

    /// Sends bytes to a balancer that may have closed the connection; returns whether the write succeeded.
    pub fn try_send_bytes(&mut self, bytes: &[u8]) -> bool {
        self.0.get_mut().write_all(bytes).is_ok()
    }

    /// Waits for the next line or for the end of the connection.
    ///
    /// # Panics
    ///
    /// Panics if nothing arrives within [`LIMIT`], or bytes that are not UTF-8.
    #[track_caller]
    pub fn receive(&mut self) -> Received {
        let mut bytes = Vec::new();
        match self.0.read_until(b'\n', &mut bytes) {
            Ok(0) => Received::Fin,
            Ok(_) => Received::Line(
                String::from_utf8(bytes)
                    .expect("the line should be UTF-8")
                    .trim_end_matches("\r\n")
                    .to_owned(),
            ),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Received::Reset,
            Err(e) => panic!("expected a line or the end of the connection: {e}"),
        }
    }

    /// Waits for a line.
    ///
    /// # Panics
    ///
    /// Panics if the connection ends first, or if nothing arrives within [`LIMIT`].
    #[track_caller]
    pub fn receive_line(&mut self) -> String {
        match self.receive() {
            Received::Line(line) => line,
            other => panic!("expected a line, found {other:?}"),
        }
    }

    /// Waits for a FIN and returns the lines before it.
    ///
    /// # Panics
    ///
    /// Panics if the connection is reset, or if nothing arrives for [`LIMIT`].
    #[track_caller]
    pub fn receive_until_fin(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        loop {
            match self.receive() {
                Received::Line(line) => lines.push(line),
                Received::Fin => return lines,
                Received::Reset => panic!("expected a FIN, but the connection was reset after {lines:?}"),
            }
        }
    }

    /// Waits for `n` bytes.
    ///
    /// # Panics
    ///
    /// Panics if the connection ends first, or if nothing arrives for [`LIMIT`].
    #[track_caller]
    pub fn read_exactly(&mut self, n: usize) -> Vec<u8> {
        let mut bytes = vec![0; n];
        self.0.read_exact(&mut bytes).expect("all bytes should arrive");
        bytes
    }

    /// Whether unread data, a FIN or a reset has arrived or arrives within `within`.
    ///
    /// # Panics
    ///
    /// Panics if the read timeout cannot be set.
    pub fn has_input(&self, within: Duration) -> bool {
        self.stream().set_read_timeout(Some(within)).expect("the read timeout should be set");
        let peeked = self.stream().peek(&mut [0]);
        self.stream().set_read_timeout(Some(LIMIT)).expect("the read timeout should be set");
        let timed_out = |e: &std::io::Error| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        !self.0.buffer().is_empty() || !peeked.is_err_and(|e| timed_out(&e))
    }

    /// The underlying stream.
    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Shuts down the sending side (FIN); data can still be received.
    ///
    /// # Panics
    ///
    /// Panics if the connection is not open.
    pub fn shutdown_write(&self) {
        self.stream().shutdown(Shutdown::Write).expect("the connection should be open");
    }

    /// Closes the connection with a reset (RST).
    ///
    /// # Panics
    ///
    /// Panics if the linger option cannot be set.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(self.0.get_ref());
        socket.set_linger(Some(Duration::ZERO)).expect("the linger option should be set");
    }
}
