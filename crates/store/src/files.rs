//! Atomic replacement of files: a file is written under a temporary name in the same folder, synced, and renamed.

use crate::error::StoreError;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::{Path, PathBuf};

/// The permissions of every file: only its owner may read and write it.
const OWNER_ONLY: u32 = 0o600;

/// The path of a file in the same folder as `path`, whose name is that of `path` with a dot and a suffix.
pub(crate) fn sibling_path(path: &Path, suffix: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(suffix);
    name.into()
}

/// The temporary path under which a file is written before it is published.
pub(crate) fn temporary_path(path: &Path) -> PathBuf {
    sibling_path(path, "part")
}

/// Options that open a file for writing, and create it or truncate an existing one.
pub(crate) fn create_options() -> OpenOptions {
    let mut options = OpenOptions::new();
    options.write(true).create(true).truncate(true).mode(OWNER_ONLY);
    options
}

/// Syncs a completely written file and renames it to its target path. When this returns, the target is durable.
pub(crate) fn publish(temporary: &Path, path: &Path) -> Result<(), StoreError> {
    let to_store_error = |e: io::Error| io_error(&path.display().to_string(), &e);
    File::open(temporary).and_then(|file| file.sync_all()).map_err(to_store_error)?;
    fs::rename(temporary, path).map_err(to_store_error)?;
    let folder = path.parent().filter(|parent| !parent.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder).and_then(|folder| folder.sync_all()).map_err(to_store_error)
}

/// Writes a file under its temporary path and publishes it. If that fails, the temporary file is removed.
pub(crate) fn publish_with<T>(
    path: &Path,
    write: impl FnOnce(&Path) -> Result<T, StoreError>,
) -> Result<T, StoreError> {
    let temporary = temporary_path(path);
    let published = write(&temporary).and_then(|written| {
        publish(&temporary, path)?;
        Ok(written)
    });
    if published.is_err() {
        // A temporary file that can't be removed is harmless: the next write truncates it.
        let _ = fs::remove_file(&temporary);
    }
    published
}

/// Replaces the content of a file, completely or not at all.
pub(crate) fn write_atomically(path: &Path, bytes: &[u8]) -> Result<(), StoreError> {
    publish_with(path, |temporary| {
        let written = create_options().open(temporary).and_then(|mut file| file.write_all(bytes));
        written.map_err(|e| io_error(&temporary.display().to_string(), &e))
    })
}

/// Replaces a file by a copy of another one, completely or not at all.
pub(crate) fn copy_atomically(from: &Path, to: &Path) -> Result<(), StoreError> {
    publish_with(to, |temporary| match fs::copy(from, temporary) {
        Ok(_) => Ok(()),
        Err(e) => Err(io_error(&temporary.display().to_string(), &e)),
    })
}

/// The [`StoreError`] for an I/O error at a file.
pub(crate) fn io_error(location: &str, e: &io::Error) -> StoreError {
    let (location, cause) = (location.to_owned(), e.to_string());
    match e.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            StoreError::NoSpace { location, cause }
        }
        // The file is too short, or is not a database, so it is not the file that was written.
        io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData => StoreError::Corrupt { location, cause },
        _ => StoreError::Io { location, cause },
    }
}
