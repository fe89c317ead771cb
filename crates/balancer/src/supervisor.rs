//! Tells a supervisor that asks for it (`NOTIFY_SOCKET`, as systemd has it) that this process serves, and is the one to
//! watch from now on: one that has taken another's place is not the process that the supervisor started.

use std::io;
use std::os::linux::net::SocketAddrExt;
use std::os::unix::ffi::OsStrExt;
use std::os::unix::net::{SocketAddr, UnixDatagram};

use tracing::warn;

/// Where it is asked for.
const NOTIFY: &str = "NOTIFY_SOCKET";

/// This process serves.
pub fn serves() {
    let Some(to) = std::env::var_os(NOTIFY).filter(|to| !to.is_empty()) else { return };
    let words = format!("READY=1\nMAINPID={}\n", std::process::id());
    if let Err(e) = tell(to.as_bytes(), words.as_bytes()) {
        warn!(event = "not-notified", socket = %to.display(), error = %e);
    }
}

fn tell(to: &[u8], words: &[u8]) -> io::Result<()> {
    let address = match to.strip_prefix(b"@") {
        Some(name) => SocketAddr::from_abstract_name(name)?,
        None => SocketAddr::from_pathname(std::ffi::OsStr::from_bytes(to))?,
    };
    let socket = UnixDatagram::unbound()?;
    socket.set_nonblocking(true)?;
    socket.send_to_addr(words, &address).map(drop)
}

#[cfg(test)]
mod tests;
