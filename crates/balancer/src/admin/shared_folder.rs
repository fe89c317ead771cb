//! What processes of one balancer have in common: a folder in `$TMPDIR`, with a small file for each server that is taken out.
//! A file is named by the server's id and made and removed whole, so that nothing is lost when two processes are called at
//! once, or when one dies in the middle.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

use shorewharf_decisions::interface::ServerId;
use tracing::warn;

use crate::servers::disabled::DisabledServer;

/// A file's text is the server's name, for whoever looks; what is longer is none.
const LONGEST: u64 = 4096;

/// The folder.
#[derive(Debug)]
pub struct Folder {
    /// The balancer's own.
    path: PathBuf,
    /// Names of files that can't be read, each told of once.
    odd: BTreeSet<PathBuf>,
}

fn hex(server: ServerId) -> String {
    format!("{:016x}", server.0)
}

impl Folder {
    /// The folder of the balancer that listens there, made where it is missing.
    pub fn open(common: &Path, listen: SocketAddr) -> io::Result<Self> {
        let name = format!("shorewharf-{}", listen.to_string().replace(':', "-"));
        let path = common.join(name);
        fs::create_dir_all(path.join("out"))?;
        Ok(Folder { path, odd: BTreeSet::new() })
    }

    /// A place in it.
    pub fn place(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    fn file(&self, server: ServerId) -> PathBuf {
        self.path.join("out").join(hex(server))
    }

    /// Keeps that a server is out.
    pub fn keep(&self, server: ServerId, name: &str) -> io::Result<()> {
        // Not in the folder that is read, and not another process's.
        let whole = self.path.join(format!("{}.{}", hex(server), std::process::id()));
        fs::write(&whole, name)?;
        fs::rename(&whole, self.file(server)).inspect_err(|_| drop(fs::remove_file(&whole)))
    }

    /// Keeps that a server is no longer out.
    pub fn let_go(&self, server: ServerId) -> io::Result<()> {
        match fs::remove_file(self.file(server)) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => Err(e),
            _ => Ok(()),
        }
    }

    /// Which servers are out, by what `known` says of those that are known to be; none where the folder can't be read.
    pub fn read(
        &mut self,
        known: &BTreeMap<ServerId, DisabledServer>,
    ) -> io::Result<BTreeMap<ServerId, DisabledServer>> {
        let mut out = BTreeMap::new();
        for file in fs::read_dir(self.path.join("out"))? {
            let file = file?;
            let name = file.file_name();
            let server =
                name.to_str().filter(|n| n.len() == 16).and_then(|n| u64::from_str_radix(n, 16).ok());
            let Some(server) = server.map(ServerId) else {
                self.is_odd(&file.path(), "its name is no server's id");
                continue;
            };
            if let Some(one) = known.get(&server) {
                out.insert(server, one.clone());
                continue;
            }
            // That it is there is what counts; its text is for people.
            let Ok(meta) = file.metadata() else { continue };
            let since = meta.modified().ok().and_then(|t| t.duration_since(UNIX_EPOCH).ok());
            let since = since.map_or(0.0, |t| t.as_secs_f64());
            let text =
                if meta.len() <= LONGEST { fs::read_to_string(file.path()) } else { Ok(String::new()) };
            let name = text.unwrap_or_default();
            if name.is_empty() || name.chars().any(char::is_control) {
                self.is_odd(&file.path(), "its text is no server's name; the server is out all the same");
            }
            out.insert(server, DisabledServer { name: name.into(), disabled_at: since });
        }
        Ok(out)
    }

    fn is_odd(&mut self, file: &Path, why: &str) {
        if self.odd.insert(file.to_owned()) {
            warn!(event = "odd-file", file = %file.display(), why);
        }
    }
}

#[cfg(test)]
mod tests;
