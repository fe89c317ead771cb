//! A node that the test plays, and addresses at which nobody answers.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::OnceLock;
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use super::{Connection, LIMIT, Received};

fn bound() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from((loopback_address(0), 0)).into()).expect("a port");
    socket
}

/// A server, or whoever else the program connects to.
#[derive(Debug)]
pub struct Server(TcpListener);

impl Default for Server {
    fn default() -> Self {
        Server::new()
    }
}

impl Server {
    /// A node that listens.
    ///
    /// # Panics
    ///
    /// Panics if no address can be listened on.
    pub fn new() -> Self {
        let socket = bound();
        socket.listen(1024).expect("a queue");
        Server(socket.into())
    }

    /// A node to which connections don't come up, as its queue is full: of the connections that are returned too.
    /// Once those have been accepted it is like any other.
    pub fn with_full_backlog() -> (Self, Vec<TcpStream>) {
        let socket = bound();
        socket.listen(1).expect("a queue");
        let node = Server(socket.into());
        let mut queue = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&node.address(), Duration::from_millis(500)) {
            queue.push(stream);
            assert!(queue.len() < 64, "the queue has no end");
        }
        (node, queue)
    }

    /// Where it listens.
    ///
    /// # Panics
    ///
    /// Panics if the listener has no address.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("bound")
    }

    /// Waits for the next connection.
    ///
    /// # Panics
    ///
    /// Panics if the program does not connect in time.
    #[track_caller]
    pub fn accept(&self) -> Connection {
        self.accept_within(LIMIT).expect("the program connects")
    }

    /// Waits so long for the next connection.
    pub fn accept_within(&self, limit: Duration) -> Option<Connection> {
        SockRef::from(&self.0).set_read_timeout(Some(limit)).expect("a time-out");
        self.0.accept().ok().map(|(stream, _)| Connection::from_stream(stream))
    }

    /// Waits for the next connection, or for what a client is told instead.
    ///
    /// # Errors
    ///
    /// Fails with what the client has heard, if that comes first.
    ///
    /// # Panics
    ///
    /// Panics if neither a connection nor a message arrives in time.
    #[track_caller]
    pub fn accept_or_receive(&self, client: &mut Connection) -> Result<Connection, Received> {
        let turn = Duration::from_millis(20);
        for _ in 0..LIMIT.as_millis() / turn.as_millis() {
            if let Some(server) = self.accept_within(turn) {
                return Ok(server);
            }
            if client.has_input(turn) {
                return Err(client.receive());
            }
        }
        panic!("neither a connection nor a word");
    }

    /// Takes the next client, whose first line is dropped: both ends of what stands now.
    #[track_caller]
    pub fn establish(&self, mut client: Connection) -> (Connection, Connection) {
        let mut server = self.accept();
        server.receive_line();
        server.send_line("UP 77");
        assert_eq!(client.receive_line(), "UP 77");
        (client, server)
    }

    /// A second handle, for a thread that accepts.
    pub fn listener(&self) -> TcpListener {
        self.0.try_clone().expect("a handle")
    }

    /// Whether a connection waits to be accepted.
    pub fn has_pending_connection(&self) -> bool {
        self.0.set_nonblocking(true).expect("a flag");
        let called = self.0.accept().is_ok();
        self.0.set_nonblocking(false).expect("a flag");
        called
    }
}

/// An address at which nobody listens: connections are refused. It is held, so that nobody can get it meanwhile.
pub fn refusing_address() -> SocketAddr {
    static HELD: OnceLock<Socket> = OnceLock::new();
    HELD.get_or_init(bound).local_addr().ok().and_then(|a| a.as_socket()).expect("bound")
}

/// A loopback address of this process's own, one of four: ports on it are not taken by whatever else runs on this
/// machine, such as the same tests once more.
pub fn loopback_address(index: u8) -> Ipv4Addr {
    // Process ids have 22 bits at most.
    let [_, a, b, c] = (std::process::id() << 2 | u32::from(index % 4)).to_be_bytes();
    Ipv4Addr::new(127, a, b, c)
}
