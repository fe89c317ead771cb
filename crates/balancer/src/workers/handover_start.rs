//! The part of the start that concerns other processes of this balancer: requesting a hand-over from the
//! process that runs, and offering a hand-over to the next one.

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

/// Name of the socket in the shared folder that new processes connect to.
pub const SOCKET_NAME: &str = "process";

/// The listeners that the predecessor offers do not match this process's configuration.
#[derive(Debug, Error)]
#[error(
    "the running process offers {count} listeners, {count_at_address} of them at {address}; expected one at \
     that address for each of {workers} workers"
)]
struct ListenersMismatch {
    count: usize,
    count_at_address: usize,
    address: SocketAddr,
    workers: usize,
}

/// Opens the folder that the processes of this balancer share. If it can't be opened, logs that and returns
/// `None`.
pub fn open_shared_folder(listen: SocketAddr) -> Option<SharedFolder> {
    let parent = std::env::var_os("TMPDIR").filter(|path| !path.is_empty());
    let opened = match &parent {
        Some(path) => SharedFolder::open(Path::new(path), listen),
        None => Err(io::Error::new(io::ErrorKind::NotFound, "TMPDIR is not set")),
    };
    if let Err(error) = &opened {
        warn!(event = "shared-folder-unavailable", %error, why = "other processes of this balancer do not learn which servers are disabled");
    }
    opened.ok()
}

/// Requests the listeners and the state of the process that this one replaces. Returns `None` if no process
/// runs.
///
/// `take_over` is the path of that process's socket. Without it, the socket in the shared folder is used.
///
/// # Errors
/// With `take_over`, returns an error if a process runs and can't be taken over. Without it, logs the error
/// and returns `None`; this process then starts beside the other one.
pub fn request_handover(
    config: &Config,
    take_over: Option<&Path>,
    shared_folder: Option<&SharedFolder>,
) -> io::Result<Option<ReceivedHandover>> {
    if let Some(path) = take_over {
        let failed =
            |e: io::Error| io::Error::new(e.kind(), format!("cannot take over from {}: {e}", path.display()));
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
    let (count, address, workers) = (handover.listeners.len(), config.listen, config.operator.workers);
    let is_same_address = |listener: &&TcpListener| listener.local_addr().is_ok_and(|bound| bound == address);
    let count_at_address = handover.listeners.iter().filter(is_same_address).count();
    if count != workers || count_at_address != count {
        let mismatch = ListenersMismatch { count, count_at_address, address, workers };
        return Err(io::Error::new(io::ErrorKind::InvalidData, mismatch));
    }
    Ok(Some(handover))
}

/// The inputs of [`connect_siblings`].
pub struct SiblingStart<'a> {
    /// The path of the socket at which this process offers a hand-over.
    pub path: PathBuf,
    /// The listeners that are offered.
    pub listeners: &'a [TcpListener],
    /// The hand-over received from the process that this one replaces.
    pub handover: Option<ReceivedHandover>,
    /// Whether that process is to terminate.
    pub terminate_predecessor: bool,
}

/// Notifies the predecessor that this process serves, and offers a hand-over to new processes. If there can
/// be no offer, logs that; if the predecessor can't be notified, it is treated as ended.
///
/// # Errors
/// Returns an error if the listeners can't be duplicated.
pub fn connect_siblings(start: SiblingStart<'_>, registry: &SourceRegistry) -> io::Result<SiblingProcesses> {
    let listeners = start.listeners.iter().map(TcpListener::try_clone).collect::<io::Result<_>>()?;
    let successors = Successors::open(start.path, listeners, registry);
    if let Err(e) = &successors {
        warn!(event = "handover-not-offered", why = %e);
    }
    let announce = |handover| Predecessor::announce(handover, start.terminate_predecessor, registry).ok();
    Ok(SiblingProcesses::new(successors.ok(), start.handover.and_then(announce)))
}
