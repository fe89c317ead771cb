//! One process of a balancer replaced by another: the old one offers its listeners and what it knows of the list, the
//! new one says when it serves, and while both run they are one balancer to rules and limits.

pub mod messages;
pub mod predecessor;
pub mod siblings;
pub mod successors;

use std::io;
use std::os::fd::AsFd;

/// Whether the other side of a Unix socket is a process of this user's, or the system's own: connections are given to
/// nobody else, nor taken from anybody else.
fn is_own(stream: impl AsFd) -> io::Result<()> {
    let (peer, own) = (rustix::net::sockopt::socket_peercred(stream)?.uid, rustix::process::getuid());
    if peer == own || peer.is_root() {
        return Ok(());
    }
    let why = format!("the other process is of user {}, and this one of {}", peer.as_raw(), own.as_raw());
    Err(io::Error::new(io::ErrorKind::PermissionDenied, why))
}
