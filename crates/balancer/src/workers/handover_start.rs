//! The part of the start that concerns other processes of this balancer: taking over from the one that runs, and offering
//! this one to the next.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};

use thiserror::Error;
use tracing::warn;

use crate::admin::shared_folder::SharedFolder;
use crate::config::Config;
use crate::event_loop::poll::SourceRegistry;
use crate::handover::predecessor::{self, Predecessor, ReceivedHandover};
use crate::handover::siblings::SiblingProcesses;
use crate::handover::successors::Successors;

/// The socket in the shared folder at which new processes connect.
pub const SOCKET_NAME: &str = "process";

/// The listeners of the process that is replaced do not fit this one's configuration.
#[derive(Debug, Error)]
#[error("{count} listeners, not all at {address} or not for as many workers")]
struct ListenersMismatch {
    count: usize,
    address: SocketAddr,
}

/// Opens the folder that processes of this balancer share; none, which is logged, if there is no place for it.
pub fn open_shared_folder(listen: SocketAddr) -> Option<SharedFolder> {
    let parent = std::env::var_os("TMPDIR").filter(|path| !path.is_empty());
    let opened = match &parent {
        Some(path) => SharedFolder::open(Path::new(path), listen),
        None => Err(io::Error::new(io::ErrorKind::NotFound, "TMPDIR is not set")),
    };
    if let Err(error) = &opened {
        warn!(event = "shared-folder-unavailable", %error, why = "other processes of this balancer do not hear of calls");
    }
    opened.ok()
}

/// Requests the listeners and the state of the process that this one replaces; none if no process runs.
///
/// `take_over` names its socket explicitly; otherwise it is looked for in the shared folder.
///
/// # Errors
/// With `take_over`, a process is there and can't be taken over. Without it this is logged, and the process started beside it.
pub fn request_handover(
    config: &Config,
    take_over: Option<&Path>,
    shared_folder: Option<&SharedFolder>,
) -> io::Result<Option<ReceivedHandover>> {
    if let Some(path) = take_over {
        let failed = |e: io::Error| {
            io::Error::new(e.kind(), format!("nothing is taken over from {}: {e}", path.display()))
        };
        return request_from(path, config).map_err(failed);
    }
    let Some(folder) = shared_folder else { return Ok(None) };
    Ok(request_from(&folder.join(SOCKET_NAME), config).unwrap_or_else(|e| {
        warn!(event = "handover-not-received", why = %e);
        None
    }))
}

fn request_from(path: &Path, config: &Config) -> io::Result<Option<ReceivedHandover>> {
    let handover = match predecessor::request_state(path) {
        Ok(handover) => handover,
        Err(e) if matches!(e.kind(), io::ErrorKind::NotFound | io::ErrorKind::ConnectionRefused) => {
            return Ok(None);
        }
        Err(e) => return Err(e),
    };
    let (count, address) = (handover.listeners.len(), config.listen);
    let is_same_address = |listener: &TcpListener| listener.local_addr().is_ok_and(|bound| bound == address);
    if count != config.operator.workers || !handover.listeners.iter().all(is_same_address) {
        let mismatch = ListenersMismatch { count, address };
        return Err(io::Error::new(io::ErrorKind::InvalidData, mismatch));
    }
    Ok(Some(handover))
}

/// What [`connect_siblings`] connects.
pub struct SiblingStart<'a> {
    /// The socket at which new processes connect.
    pub path: PathBuf,
    /// The listeners that they are offered.
    pub listeners: &'a [TcpListener],
    /// The process that this one replaces.
    pub handover: Option<ReceivedHandover>,
    /// Whether that process is to terminate.
    pub terminate_predecessor: bool,
}

/// Tells the old process that this one serves, and offers this one to new processes. What fails is logged.
///
/// # Errors
/// The listeners can't be duplicated.
pub fn connect_siblings(start: SiblingStart<'_>, registry: &SourceRegistry) -> io::Result<SiblingProcesses> {
    let listeners = start.listeners.iter().map(TcpListener::try_clone).collect::<io::Result<_>>()?;
    let successors = Successors::open(start.path, listeners, registry);
    if let Err(e) = &successors {
        warn!(event = "handover-not-offered", why = %e);
    }
    let announce = |handover| Predecessor::announce(handover, start.terminate_predecessor, registry).ok();
    Ok(SiblingProcesses::new(successors.ok(), start.handover.and_then(announce)))
}
