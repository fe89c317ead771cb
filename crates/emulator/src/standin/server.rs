//! A server that a test scripts, and loopback addresses, among them one that refuses connections.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;

use socket2::{Domain, SockRef, Socket, Type};

use super::{Connection, LIMIT, Received};

/// The index of the loopback address on which [`stable_address`] gives out ports.
const STABLE_IP_INDEX: u8 = 3;
const FIRST_STABLE_PORT: u16 = 20_000;

fn bind_socket() -> Socket {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("the socket should be created");
    socket.bind(&SocketAddr::from((loopback_address(0), 0)).into()).expect("a loopback port should be free");
    socket
}

/// A server, or any other party that the balancer connects to.
#[derive(Debug)]
pub struct Server(TcpListener);

impl Default for Server {
    fn default() -> Self {
        Server::new()
    }
}

impl Server {
    /// Starts listening.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound.
    pub fn new() -> Self {
        let socket = bind_socket();
        socket.listen(1024).expect("the socket should listen");
        Server(socket.into())
    }

    /// Starts listening at an address that [`stable_address`] has returned, at which another server may have listened before.
    ///
    /// # Panics
    ///
    /// Panics if the address is in use.
    pub fn at(address: SocketAddr) -> Self {
        Server(TcpListener::bind(address).expect("the address should be free again"))
    }

    /// A server whose accept queue is full, so that further connections are not established. Also returns the
    /// connections that fill the queue. Once they have been accepted, the server behaves like any other.
    ///
    /// # Panics
    ///
    /// Panics if no port can be bound, or if the accept queue does not fill up.
    pub fn with_full_backlog() -> (Self, Vec<TcpStream>) {
        let socket = bind_socket();
        socket.listen(1).expect("the socket should listen");
        let server = Server(socket.into());
        let mut queue = Vec::new();
        while let Ok(stream) = TcpStream::connect_timeout(&server.address(), Duration::from_millis(500)) {
            queue.push(stream);
            assert!(
                queue.len() < 64,
                "the accept queue should fill up, but took {} connections",
                queue.len()
            );
        }
        (server, queue)
    }

    /// The address that the server listens on.
    ///
    /// # Panics
    ///
    /// Panics if the listener has no address.
    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("the listener should have an address")
    }

    /// Waits for the next connection.
    ///
    /// # Panics
    ///
    /// Panics if the balancer does not connect within [`LIMIT`].
    #[track_caller]
    pub fn accept(&self) -> Connection {
        self.accept_within(LIMIT).expect("the balancer should connect")
    }

    /// Waits up to `limit` for the next connection.
    ///
    /// # Panics
    ///
    /// Panics if the timeout cannot be set.
    pub fn accept_within(&self, limit: Duration) -> Option<Connection> {
        SockRef::from(&self.0).set_read_timeout(Some(limit)).expect("the accept timeout should be set");
        self.0.accept().ok().map(|(stream, _)| Connection::from_stream(stream))
    }

    /// Waits for the next connection, or for input to a client.
    ///
    /// # Errors
    ///
    /// Returns what the client has received if that comes first.
    ///
    /// # Panics
    ///
    /// Panics if neither arrives within [`LIMIT`].
    #[track_caller]
    pub fn accept_or_receive(&self, client: &mut Connection) -> Result<Connection, Received> {
        let interval = Duration::from_millis(20);
        for _ in 0..LIMIT.as_millis() / interval.as_millis() {
            if let Some(server) = self.accept_within(interval) {
                return Ok(server);
            }
            if client.has_input(interval) {
                return Err(client.receive());
            }
        }
        panic!("the balancer neither connected to the server nor sent anything to the client");
    }

    /// Accepts the next attempt, discards its first line and answers `UP 77`, which must reach the client. Returns
    /// both ends of the connection, which is established now: the client's and the server's.
    ///
    /// # Panics
    ///
    /// Panics if the balancer does not connect, or if the client receives anything else.
    #[track_caller]
    pub fn establish(&self, mut client: Connection) -> (Connection, Connection) {
        let mut server = self.accept();
        server.receive_line();
        server.send_line("UP 77");
        assert_eq!(client.receive_line(), "UP 77");
        (client, server)
    }

    /// Another handle of the listening socket, for a thread that accepts connections.
    ///
    /// # Panics
    ///
    /// Panics if the handle cannot be duplicated.
    pub fn listener(&self) -> TcpListener {
        self.0.try_clone().expect("the handle should be duplicated")
    }

    /// Whether a connection is waiting in the accept queue; a connection that is found is accepted and closed.
    ///
    /// # Panics
    ///
    /// Panics if the listener's blocking mode cannot be changed.
    pub fn has_pending_connection(&self) -> bool {
        self.0.set_nonblocking(true).expect("the blocking mode should change");
        let is_pending = self.0.accept().is_ok();
        self.0.set_nonblocking(false).expect("the blocking mode should change");
        is_pending
    }
}

/// An address that refuses connections. Its port stays bound without listening, so that no other process can take it.
///
/// # Panics
///
/// Panics if no port can be bound.
pub fn refusing_address() -> SocketAddr {
    static BOUND: OnceLock<Socket> = OnceLock::new();
    BOUND
        .get_or_init(bind_socket)
        .local_addr()
        .ok()
        .and_then(|a| a.as_socket())
        .expect("the socket should have an address")
}

/// An address at which nothing listens yet. Its port is given out once, and none on its IP address is chosen by the system, so
/// that it stays free between two listeners.
pub fn stable_address() -> SocketAddr {
    static NEXT_PORT: AtomicU16 = AtomicU16::new(FIRST_STABLE_PORT);
    SocketAddr::from((loopback_address(STABLE_IP_INDEX), NEXT_PORT.fetch_add(1, Ordering::Relaxed)))
}

/// One of four loopback addresses derived from this process's id. Other processes on the machine, such as a second run
/// of the same tests, take no ports on them.
pub fn loopback_address(index: u8) -> Ipv4Addr {
    // Process ids have 22 bits at most.
    let [_, a, b, c] = (std::process::id() << 2 | u32::from(index % 4)).to_be_bytes();
    Ipv4Addr::new(127, a, b, c)
}
