//! Replacing a process of a balancer by a new one. The old process offers its listeners and its state; the
//! new process takes them and serves. While both run, they keep to the limits of one balancer.

pub mod id_announcements;
pub mod id_sync;
pub mod messages;
pub mod predecessor;
pub mod siblings;
mod successor;
pub mod successors;

use std::io;
use std::os::fd::AsFd;

/// Checks that the process at the other end of a Unix socket belongs to the user of this process or to root.
/// Connections are never handed over to, or taken from, a process of any other user.
fn check_same_user(stream: impl AsFd) -> io::Result<()> {
    let peer = rustix::net::sockopt::socket_peercred(stream)?.uid;
    let own = rustix::process::getuid();
    if peer == own || peer.is_root() {
        return Ok(());
    }
    let (peer, own) = (peer.as_raw(), own.as_raw());
    let reason = format!("the other process belongs to user {peer}; expected user {own} or root");
    Err(io::Error::new(io::ErrorKind::PermissionDenied, reason))
}
