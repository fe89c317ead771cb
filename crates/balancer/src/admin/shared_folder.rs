//! The folder that the processes of one balancer share. It is in `$TMPDIR` and has a small file for each
//! disabled server.
//!
//! A file is named by the server's id, and created and removed atomically, so that no change is lost if two
//! processes change the folder at the same time, or a process dies during a change.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::{self, DirEntry};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

use shorewharf_decisions::interface::ServerId;
use tracing::warn;

use crate::servers::disabled::DisabledServer;

/// The name of the subfolder of disabled servers. Other versions of the balancer use the same name.
const DISABLED_SERVERS: &str = "out";
/// The maximum length of a file's text in bytes. The text is the server's name, for people to read; a longer
/// one can't be a name.
const MAX_NAME_BYTES: u64 = 4096;

/// The shared folder of one balancer.
#[derive(Debug)]
pub struct SharedFolder {
    path: PathBuf,
    /// Files with an unexpected name or text that have been logged.
    reported: BTreeSet<PathBuf>,
}

/// Returns the name of a server's file.
fn file_name(server: ServerId) -> String {
    format!("{:016x}", server.0)
}

/// Returns the server whose file has this name; `None` if it is not the name of a server's file.
fn parse_file_name(name: &str) -> Option<ServerId> {
    if name.len() != 16 {
        return None;
    }
    u64::from_str_radix(name, 16).ok().map(ServerId)
}

impl SharedFolder {
    /// Opens the folder of the balancer that listens at `listen`, below `parent`. Creates it if necessary.
    ///
    /// # Errors
    /// Returns an error if the folder can't be created.
    pub fn open(parent: &Path, listen: SocketAddr) -> io::Result<Self> {
        let name = format!("shorewharf-{}", listen.to_string().replace(':', "-"));
        let path = parent.join(name);
        fs::create_dir_all(path.join(DISABLED_SERVERS))?;
        Ok(SharedFolder { path, reported: BTreeSet::new() })
    }

    /// Returns the path of a file in the folder.
    pub fn join(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn file(&self, server: ServerId) -> PathBuf {
        self.path.join(DISABLED_SERVERS).join(file_name(server))
    }

    /// Stores that a server is disabled.
    ///
    /// # Errors
    /// Returns an error if the file can't be written.
    pub fn store(&self, server: ServerId, name: &str) -> io::Result<()> {
        // Written outside the subfolder that is read, under a name that no other process uses.
        let temporary = self.path.join(format!("{}.{}", file_name(server), std::process::id()));
        fs::write(&temporary, name)?;
        fs::rename(&temporary, self.file(server)).inspect_err(|_| drop(fs::remove_file(&temporary)))
    }

    /// Removes a server that is enabled again.
    ///
    /// # Errors
    /// Returns an error if the file exists and can't be removed.
    pub fn remove(&self, server: ServerId) -> io::Result<()> {
        match fs::remove_file(self.file(server)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Reads the disabled servers. The files of servers in `known` are not opened again.
    ///
    /// # Errors
    /// Returns an error if the folder can't be read.
    pub fn read(
        &mut self,
        known: &BTreeMap<ServerId, DisabledServer>,
    ) -> io::Result<BTreeMap<ServerId, DisabledServer>> {
        let mut disabled = BTreeMap::new();
        for file in fs::read_dir(self.path.join(DISABLED_SERVERS))? {
            let file = file?;
            let Some(server) = file.file_name().to_str().and_then(parse_file_name) else {
                self.report(&file.path(), "the file name is not a server id of 16 hexadecimal digits");
                continue;
            };
            let entry = known.get(&server).cloned().or_else(|| self.read_file(&file));
            disabled.extend(entry.map(|entry| (server, entry)));
        }
        Ok(disabled)
    }

    /// Reads a server's file. Returns `None` if the file has been removed. A server is disabled if its file
    /// exists, whatever its text is.
    fn read_file(&mut self, file: &DirEntry) -> Option<DisabledServer> {
        let metadata = file.metadata().ok()?;
        let modified = metadata.modified().ok().and_then(|time| time.duration_since(UNIX_EPOCH).ok());
        let disabled_at = modified.map_or(0.0, |time| time.as_secs_f64());
        let mut name = String::new();
        if metadata.len() <= MAX_NAME_BYTES {
            name = fs::read_to_string(file.path()).unwrap_or_default();
        }
        if name.is_empty() || name.chars().any(char::is_control) {
            self.report(&file.path(), "the text is not a server's name; the server is disabled nevertheless");
        }
        Some(DisabledServer { name: name.into(), disabled_at })
    }

    /// Logs a file with an unexpected name or text, once.
    fn report(&mut self, file: &Path, why: &str) {
        if self.reported.insert(file.to_owned()) {
            warn!(event = "unexpected-file", file = %file.display(), why);
        }
    }
}

#[cfg(test)]
mod tests;
