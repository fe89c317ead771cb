//! Opens the listening sockets of a process.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::thread;
use std::time::Duration;

use socket2::{Domain, Socket, Type};

use crate::config::{ConfigError, InvalidValue};
use crate::transport::connection::is_shortage;

/// Connections that the kernel holds until they are accepted.
const BACKLOG: i32 = 4096;
/// How often a socket is requested that can't be had for want of descriptors or memory ...
const SOCKET_ATTEMPTS: usize = 50;
/// ... with this pause between: at the start, other processes of the machine may hold them for a moment.
const SOCKET_RETRY_DELAY: Duration = Duration::from_millis(20);

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

/// Listens at an address, which other workers and processes may share with `reuse_port`.
///
/// # Errors
/// The system gives no socket, or refuses the address.
pub fn listen(address: SocketAddr, reuse_port: bool) -> io::Result<TcpListener> {
    let socket = new_socket(address)?;
    // After a restart, connections of the previous process may linger at the address.
    socket.set_reuse_address(true)?;
    if reuse_port {
        socket.set_reuse_port(true)?;
    }
    // Lines are short and wanted at once; accepted connections inherit the option.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// Listens for operators. An address that can't be used is an error of the configuration, found at the start.
///
/// # Errors
/// As [`listen`], under the key `operator`.
pub fn listen_for_admin(address: SocketAddr, reuse_port: bool) -> Result<TcpListener, ConfigError> {
    listen(address, reuse_port)
        .map_err(|source| ConfigError::invalid("operator", InvalidValue::CannotListen { address, source }))
}
