//! Notifies the supervisor (`NOTIFY_SOCKET`, as systemd defines it) that this process serves, and that it is
//! the main process now: a process that has replaced another one is not the one that the supervisor started.

use std::ffi::OsStr;
use std::io;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};

use tracing::warn;

/// The environment variable that names the supervisor's socket.
const SOCKET_VARIABLE: &str = "NOTIFY_SOCKET";

/// Notifies the supervisor, if there is one, that this process serves. Logs a failure.
pub fn notify_serving() {
    let Some(socket) = std::env::var_os(SOCKET_VARIABLE).filter(|socket| !socket.is_empty()) else { return };
    let message = format!("READY=1\nMAINPID={}\n", std::process::id());
    if let Err(e) = send(socket.as_bytes(), message.as_bytes()) {
        warn!(event = "supervisor-not-notified", socket = %socket.display(), error = %e);
    }
}

/// Sends a datagram to a socket in the file system, or in the abstract namespace if its name begins with `@`.
fn send(socket: &[u8], message: &[u8]) -> io::Result<()> {
    let address = match socket.strip_prefix(b"@") {
        Some(name) => SocketAddr::from_abstract_name(name)?,
        None => SocketAddr::from_pathname(OsStr::from_bytes(socket))?,
    };
    let sender = UnixDatagram::unbound()?;
    sender.set_nonblocking(true)?;
    sender.send_to_addr(message, &address).map(drop)
}

#[cfg(test)]
mod tests;
