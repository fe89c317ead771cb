//! Replacing a process of a balancer by a new one: the old process offers its listeners and its state, the new one takes
//! them and serves, and while both run they keep to the limits of one balancer.

pub mod messages;
pub mod predecessor;
pub mod siblings;
pub mod successors;

use std::io;
use std::os::fd::AsFd;

/// Checks that the process at the other end of a Unix socket belongs to this user or to root. Connections are neither given
/// to nor taken from any other user.
fn check_same_user(stream: impl AsFd) -> io::Result<()> {
    let peer = rustix::net::sockopt::socket_peercred(stream)?.uid;
    let own = rustix::process::getuid();
    if peer == own || peer.is_root() {
        return Ok(());
    }
    let reason = format!("the other process is of user {}, and this one of {}", peer.as_raw(), own.as_raw());
    Err(io::Error::new(io::ErrorKind::PermissionDenied, reason))
}
