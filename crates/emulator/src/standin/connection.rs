//! One end of a connection, played line by line.

use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::Duration;

use shorewharf_protocol::open_request::OpenRequestLine;

use super::LIMIT;

/// What comes next from the other end.
#[derive(Clone, Debug, PartialEq)]
pub enum Received {
    /// A line, without its end.
    Line(String),
    /// It has finished its sending.
    Fin,
    /// It has broken the connection off.
    Reset,
}

/// One end of a connection with the program. Its words go out at once.
#[derive(Debug)]
pub struct Connection(BufReader<TcpStream>);

impl Connection {
    /// This end of a connection.
    ///
    /// # Panics
    ///
    /// Panics if the socket options cannot be set.
    pub fn from_stream(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Connection(BufReader::new(stream))
    }

    /// A client that has connected and said nothing yet.
    ///
    /// # Panics
    ///
    /// Panics if nobody listens at the address.
    #[track_caller]
    pub fn connect(to: SocketAddr) -> Self {
        Connection::from_stream(TcpStream::connect(to).expect("the program listens"))
    }

    /// A client that has said its first line.
    #[track_caller]
    pub fn open(to: SocketAddr, line: &OpenRequestLine) -> Self {
        let mut client = Connection::connect(to);
        client.send_bytes(line.to_string().as_bytes());
        client
    }

    /// Says a line; its end is added.
    #[track_caller]
    pub fn send_line(&mut self, line: &str) {
        self.send_bytes(format!("{line}\r\n").as_bytes());
    }

    /// Writes bytes as they are.
    ///
    /// # Panics
    ///
    /// Panics if the connection is broken.
    #[track_caller]
    pub fn send_bytes(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the program reads");
    }

    /// The same to one that may have left.
    pub fn try_send_bytes(&mut self, bytes: &[u8]) -> bool {
        self.0.get_mut().write_all(bytes).is_ok()
    }

    /// Waits for what comes next.
    ///
    /// # Panics
    ///
    /// Panics if nothing arrives in time, or bytes that are not text.
    #[track_caller]
    pub fn receive(&mut self) -> Received {
        let mut bytes = Vec::new();
        match self.0.read_until(b'\n', &mut bytes) {
            Ok(0) => Received::Fin,
            Ok(_) => {
                Received::Line(String::from_utf8(bytes).expect("text").trim_end_matches("\r\n").to_owned())
            }
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Received::Reset,
            Err(e) => panic!("nothing was heard: {e}"),
        }
    }

    /// Waits for a line, which must come next.
    ///
    /// # Panics
    ///
    /// Panics if anything but a line arrives, or nothing in time.
    #[track_caller]
    pub fn receive_line(&mut self) -> String {
        match self.receive() {
            Received::Line(line) => line,
            other => panic!("a line was expected, not {other:?}"),
        }
    }

    /// Waits for all lines until it finishes its sending, which must come.
    ///
    /// # Panics
    ///
    /// Panics if the connection is reset, or does not end in time.
    #[track_caller]
    pub fn receive_until_fin(&mut self) -> Vec<String> {
        let mut lines = Vec::new();
        loop {
            match self.receive() {
                Received::Line(line) => lines.push(line),
                Received::Fin => return lines,
                Received::Reset => panic!("a reset after {lines:?}"),
            }
        }
    }

    /// Waits for so many bytes.
    ///
    /// # Panics
    ///
    /// Panics if the bytes do not arrive in time.
    #[track_caller]
    pub fn read_exactly(&mut self, n: usize) -> Vec<u8> {
        let mut bytes = vec![0; n];
        self.0.read_exact(&mut bytes).expect("as much as was sent");
        bytes
    }

    /// Whether anything has come that was not heard yet, the end included. Looks for `within` at most.
    ///
    /// # Panics
    ///
    /// Panics if the read timeout cannot be set.
    pub fn has_input(&self, within: Duration) -> bool {
        self.stream().set_read_timeout(Some(within)).expect("a time-out");
        let seen = self.stream().peek(&mut [0]);
        self.stream().set_read_timeout(Some(LIMIT)).expect("a time-out");
        let waits = |e: &std::io::Error| matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
        !self.0.buffer().is_empty() || !seen.is_err_and(|e| waits(&e))
    }

    /// The connection itself.
    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Finishes the sending; what the other end says can still be heard.
    ///
    /// # Panics
    ///
    /// Panics if the connection is not open.
    pub fn shutdown_write(&self) {
        self.stream().shutdown(Shutdown::Write).expect("open");
    }

    /// Breaks the connection off.
    ///
    /// # Panics
    ///
    /// Panics if the linger option cannot be set.
    pub fn reset(self) {
        let socket = socket2::SockRef::from(self.0.get_ref());
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
    }
}
