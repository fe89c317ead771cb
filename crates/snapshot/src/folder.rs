//! A folder with a few generations of records.
//!
//! Each record is written to a temporary file that is renamed at the end, so a file with a record's name was written
//! completely. Damage by a crash of the machine is detected by the record's checksum.

use std::fs::{self, File, OpenOptions};
use std::io::{self, BufWriter};
use std::os::unix::fs::{DirBuilderExt, OpenOptionsExt};
use std::path::{Path, PathBuf};

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::record::{DecodeError, Encoder, Header, Line, MAX_RECORD_BYTES, Record, decode};

/// The file extension of complete records.
const EXTENSION: &str = ".snapshot";
/// The folder's mode: only its owner has access.
const FOLDER_MODE: u32 = 0o700;
/// A record's mode: only its owner can read and write it.
const FILE_MODE: u32 = 0o600;

/// The folder with the records of one worker.
#[derive(Clone, Debug)]
pub struct SnapshotFolder {
    path: PathBuf,
    worker: usize,
    generations: usize,
}

impl SnapshotFolder {
    /// Opens the folder for the records of `worker`, and creates it if it is missing. Commits keep the latest
    /// `generations` records, at least one.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be created.
    pub fn open(path: &Path, worker: usize, generations: usize) -> io::Result<SnapshotFolder> {
        fs::DirBuilder::new().recursive(true).mode(FOLDER_MODE).create(path)?;
        Ok(SnapshotFolder { path: path.to_owned(), worker, generations: generations.max(1) })
    }

    fn prefix(&self) -> String {
        format!("worker-{}.", self.worker)
    }

    /// The paths of the worker's complete records, the latest first.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder can't be read.
    pub fn records(&self) -> io::Result<Vec<PathBuf>> {
        let prefix = self.prefix();
        let mut names = Vec::new();
        for file in fs::read_dir(&self.path)? {
            if let Ok(name) = file?.file_name().into_string()
                && name.starts_with(&prefix)
                && name.ends_with(EXTENSION)
            {
                names.push(name);
            }
        }
        // File names contain the time with a fixed number of digits, so they sort by time.
        names.sort_unstable_by(|a, b| b.cmp(a));
        Ok(names.into_iter().map(|name| self.path.join(name)).collect())
    }

    /// Begins a record in a temporary file, which [`SnapshotFolder::commit`] renames to the record's name.
    ///
    /// # Errors
    ///
    /// Returns an error if the file can't be created or written.
    pub fn begin(&self, header: &Header) -> io::Result<PartialRecord> {
        let path = self.path.join(format!("{}{}.part", self.prefix(), std::process::id()));
        let file = OpenOptions::new().write(true).create(true).truncate(true).mode(FILE_MODE).open(&path)?;
        let name = format!("{}{:020}{EXTENSION}", self.prefix(), header.taken_at);
        // From here on, dropping the partial record after an error removes the file.
        let mut partial = PartialRecord { encoder: None, path, name };
        partial.encoder = Some(Encoder::begin(BufWriter::new(file), header)?);
        Ok(partial)
    }

    /// Completes a record: syncs the file and the folder to the disk, then removes the oldest generations. Returns the
    /// number of lines between the header and the end line.
    ///
    /// # Errors
    ///
    /// Returns an error if the record can't be written. Earlier generations are unchanged in that case.
    pub fn commit(&self, mut partial: PartialRecord) -> io::Result<u64> {
        let Some(encoder) = partial.encoder.take() else { return Ok(0) };
        let (file, lines) = encoder.finish()?;
        file.into_inner().map_err(io::IntoInnerError::into_error)?.sync_all()?;
        let path = std::mem::take(&mut partial.path);
        fs::rename(&path, self.path.join(&partial.name)).inspect_err(|_| drop(fs::remove_file(&path)))?;
        File::open(&self.path)?.sync_all()?;
        for old in self.records()?.into_iter().skip(self.generations) {
            // Another process of this balancer may have removed it already.
            let _ = fs::remove_file(old);
        }
        Ok(lines)
    }
}

/// A record that is being written. Its temporary file is removed if it is dropped before it is committed.
pub struct PartialRecord {
    encoder: Option<Encoder<BufWriter<File>>>,
    path: PathBuf,
    name: String,
}

impl PartialRecord {
    /// Appends a line.
    ///
    /// # Errors
    ///
    /// Returns an error if the line can't be written.
    pub fn write_line<T: Serialize>(&mut self, line: &Line<T>) -> io::Result<()> {
        match &mut self.encoder {
            Some(encoder) => encoder.write_line(line),
            None => Ok(()),
        }
    }
}

impl Drop for PartialRecord {
    fn drop(&mut self) {
        if !self.path.as_os_str().is_empty() {
            let _ = fs::remove_file(&self.path);
        }
    }
}

/// Reads a record from a file.
///
/// # Errors
///
/// Returns an error if the file can't be read or is damaged.
pub fn read<T: DeserializeOwned>(path: &Path) -> Result<Record<T>, DecodeError> {
    let length = fs::metadata(path)?.len();
    if length > MAX_RECORD_BYTES {
        return Err(DecodeError::TooLarge(length));
    }
    decode(&fs::read(path)?)
}
