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

use crate::net::servers::taken_out::Out;

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
    pub fn read(&mut self, known: &BTreeMap<ServerId, Out>) -> io::Result<BTreeMap<ServerId, Out>> {
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
            out.insert(server, Out { name: name.into(), since });
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
mod tests {
    use super::*;

    fn folder(common: &Path) -> Folder {
        Folder::open(common, "127.0.0.1:8000".parse().expect("an address")).expect("a folder")
    }

    fn ids(folder: &mut Folder) -> Vec<u64> {
        folder.read(&BTreeMap::new()).expect("readable").keys().map(|id| id.0).collect()
    }

    #[test]
    fn what_one_process_keeps_the_other_reads_whole_whatever_lies_beside_it() {
        let common = tempfile::tempdir().expect("a folder");
        let (one, mut other) = (folder(common.path()), folder(common.path()));
        one.keep(ServerId(7), "s-7").expect("kept");
        one.keep(ServerId(7), "s-7").expect("kept again");
        other.keep(ServerId(8), "s-8").expect("kept");
        // A process died while it wrote, and somebody has left something.
        fs::write(one.path.join("0000000000000009.1"), "").expect("a file");
        fs::write(one.path.join("out/readme"), "hello").expect("a file");
        fs::write(one.path.join("out/000000000000000a"), [0xff, 0]).expect("a file");
        let out = other.read(&BTreeMap::new()).expect("readable");
        assert_eq!(out.keys().map(|id| id.0).collect::<Vec<_>>(), [7, 8, 10]);
        assert_eq!((&*out[&ServerId(7)].name, &*out[&ServerId(10)].name), ("s-7", ""));
        assert!(out[&ServerId(7)].since > 1e9);
        assert_eq!(other.odd.len(), 2);
        one.let_go(ServerId(7)).expect("gone");
        one.let_go(ServerId(7)).expect("gone before");
        assert_eq!(ids(&mut other), [8, 10]);
        // Another balancer's is another folder.
        let mut third =
            Folder::open(common.path(), "127.0.0.1:8001".parse().expect("an address")).expect("a folder");
        assert!(ids(&mut third).is_empty());
    }

    #[test]
    fn calls_to_both_processes_at_once_lose_nothing() {
        let common = tempfile::tempdir().expect("a folder");
        let path = common.path();
        std::thread::scope(|s| {
            for process in 0..2u64 {
                s.spawn(move || {
                    let folder = folder(path);
                    for i in 0..200 {
                        folder.keep(ServerId(process * 1000 + i), "s").expect("kept");
                        if i % 2 == 1 {
                            folder.let_go(ServerId(process * 1000 + i)).expect("gone");
                        }
                    }
                });
            }
        });
        let wanted: Vec<u64> =
            [0, 1000].into_iter().flat_map(|p| (0..200).step_by(2).map(move |i| p + i)).collect();
        assert_eq!(ids(&mut folder(path)), wanted);
    }
}
