//! Opens the listening sockets of a process.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::config::{ConfigError, InvalidValue};
use crate::transport::connection::is_shortage;

/// Maximum number of connections that the kernel queues until they are accepted.
const BACKLOG: i32 = 4096;
/// Maximum number of attempts to create a socket while the system has too few descriptors or too little
/// memory. At the start, other processes of the machine may use them for a short time.
const SOCKET_ATTEMPTS: usize = 50;
/// Time between two attempts to create a socket.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Creates a TCP socket, and retries while the system has too few descriptors or too little memory.
fn new_socket(address: SocketAddr) -> io::Result<Socket> {
    let domain = Domain::for_address(address);
    for _ in 1..SOCKET_ATTEMPTS {
        match Socket::new(domain, Type::STREAM, None) {
            Err(e) if is_shortage(&e) => thread::sleep(SOCKET_RETRY_DELAY),
            result => return result,
        }
    }
    Socket::new(domain, Type::STREAM, None)
}

/// Listens at an address. With `reuse_port`, other workers and processes may listen at the same address.
///
/// # Errors
/// Returns an error if the socket can't be created or can't be bound to the address.
pub fn listen(address: SocketAddr, reuse_port: bool) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    // After a restart, closed connections of the previous process may still occupy the address.
    socket.set_reuse_address(true)?;
    if reuse_port {
        socket.set_reuse_port(true)?;
    }
    // Lines are short and must not be delayed. Accepted connections inherit the option.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Listens at the address for operators. An address that can't be used is a configuration error.
///
/// # Errors
/// Returns the error of [`listen`] as an invalid value of the key `operator`.
pub fn listen_for_admin(address: SocketAddr, reuse_port: bool) -> Result<TcpListener, ConfigError> {
    listen(address, reuse_port)
        .map_err(|source| ConfigError::invalid("operator", InvalidValue::CannotListen { address, source }))
}
