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
mod tests {
    use super::*;

    #[test]
    fn a_supervisor_hears_it_by_path_and_by_name_and_its_absence_is_an_error() {
        let folder = tempfile::tempdir().expect("a folder");
        let path = folder.path().join("notify");
        assert!(tell(path.as_os_str().as_bytes(), b"READY=1\n").is_err(), "nobody is there");
        let by_path = UnixDatagram::bind(&path).expect("a socket");
        let name = format!("shorewharf-test-{}", std::process::id());
        let by_name = SocketAddr::from_abstract_name(&name).and_then(|at| UnixDatagram::bind_addr(&at));
        let by_name = by_name.expect("a socket");
        for (to, at) in [(path.as_os_str().as_bytes(), by_path), (format!("@{name}").as_bytes(), by_name)] {
            tell(to, b"READY=1\n").expect("told");
            let mut words = [0; 64];
            let n = at.recv(&mut words).expect("heard");
            assert_eq!(&words[..n], b"READY=1\n");
        }
    }
}
