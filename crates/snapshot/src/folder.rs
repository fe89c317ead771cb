//! A folder with a few generations of records. Each is made whole under another name and then renamed, so a name that
//! ends as a record's does was written to its end; what a crash of the machine does to it all the same is found by its sum.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::record::{Encoder, Head, LARGEST, Line, Record, Unreadable, decode};

/// What a record's name ends with.
const WHOLE: &str = ".snapshot";

/// Where the records of one worker are.
#[derive(Clone, Debug)]
pub struct Folder {
    path: PathBuf,
    worker: usize,
    keep: usize,
}

impl Folder {
    /// The folder, made for its owner alone where it is missing; so many generations are kept.
    ///
    /// # Errors
    /// Where it can't be made.
    pub fn open(path: &Path, worker: usize, keep: usize) -> io::Result<Folder> {
        fs::DirBuilder::new().recursive(true).mode(0o700).create(path)?;
        Ok(Folder { path: path.to_owned(), worker, keep: keep.max(1) })
    }

    fn prefix(&self) -> String {
        format!("worker-{}.", self.worker)
    }

    /// Records that are there, the latest first.
    ///
    /// # Errors
    /// Where the folder can't be read.
    pub fn records(&self) -> io::Result<Vec<PathBuf>> {
        let prefix = self.prefix();
        let mut names = Vec::new();
        for file in fs::read_dir(&self.path)? {
            if let Ok(name) = file?.file_name().into_string()
                && name.starts_with(&prefix)
                && name.ends_with(WHOLE)
            {
                names.push(name);
            }
        }
        // Names have their time in them, all of one width.
        names.sort_unstable_by(|a, b| b.cmp(a));
        Ok(names.into_iter().map(|name| self.path.join(name)).collect())
    }

    /// Begins a record. Its name is not a whole one's until [`Folder::end`].
    ///
    /// # Errors
    /// Where it can't be made or written.
    pub fn begin(&self, head: &Head) -> io::Result<Writing> {
        let path = self.path.join(format!("{}{}.part", self.prefix(), std::process::id()));
        let file = OpenOptions::new().write(true).create(true).truncate(true).mode(0o600).open(&path)?;
        let name = format!("{}{:020}{WHOLE}", self.prefix(), head.taken);
        // From here on what fails leaves nothing behind.
        let mut writing = Writing { encoder: None, path, name };
        writing.encoder = Some(Encoder::begin(BufWriter::new(file), head)?);
        Ok(writing)
    }

    /// Ends a record: it is on the disk, and in the folder, before those that are more than enough go. How many lines
    /// it holds.
    ///
    /// # Errors
    /// Where it can't be written; nothing of the generations before it has changed then.
    pub fn end(&self, mut writing: Writing) -> io::Result<u64> {
        let Some(encoder) = writing.encoder.take() else { return Ok(0) };
        let (file, lines) = encoder.end()?;
        file.into_inner().map_err(io::IntoInnerError::into_error)?.sync_all()?;
        let there = std::mem::take(&mut writing.path);
        fs::rename(&there, self.path.join(&writing.name)).inspect_err(|_| drop(fs::remove_file(&there)))?;
        File::open(&self.path)?.sync_all()?;
        for old in self.records()?.into_iter().skip(self.keep) {
            // Another process of this balancer may have been faster.
            let _ = fs::remove_file(old);
        }
        Ok(lines)
    }
}

/// A record that is being written. Dropped before its end, it leaves nothing behind.
pub struct Writing {
    encoder: Option<Encoder<BufWriter<File>>>,
    path: PathBuf,
    name: String,
}

impl Writing {
    /// Writes one more line.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn line<T: Serialize>(&mut self, line: &Line<T>) -> io::Result<()> {
        self.encoder.as_mut().map_or(Ok(()), |encoder| encoder.line(line))
    }
}

impl Drop for Writing {
    fn drop(&mut self) {
        if !self.path.as_os_str().is_empty() {
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Reads a record.
///
/// # Errors
/// Where it can't be read, or is not what was written.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Record<T>, Unreadable> {
    let length = fs::metadata(path)?.len();
    if length > LARGEST {
        return Err(Unreadable::TooLarge(length));
    }
    decode(&fs::read(path)?)
}
