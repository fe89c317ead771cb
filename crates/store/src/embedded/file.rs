//! The file of the embedded engine: how it is made, opened and locked, and what its failures mean.

use super::guarded::Guarded;
use super::rows::Rows;
use crate::error::StoreError;
use crate::store::Revision;
use redb::backends::FileBackend;
use redb::{Builder, Database, StorageBackend};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Write};
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use twox_hash::XxHash3_64;

/// Page cache in bytes. A record is about 400 bytes, so 10,000 tenants with their indexes fit several times.
const CACHE: usize = 32 << 20;

/// Gives the storage of a store that is not in a file, each time it is opened.
pub type Backend = Box<dyn FnMut() -> io::Result<Box<dyn StorageBackend>> + Send>;

/// Whether a file that is not there is made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Create {
    /// It is made, whole or not at all.
    IfMissing,
    /// It must be there.
    Never,
    /// It must not be there, and is made to take the place of one that was lost: its revisions go on after the
    /// last that was acknowledged. For restoring a backup.
    Anew,
}

/// Why the engine gave no answer.
#[derive(Debug)]
pub(super) enum Failed {
    /// The store refuses; the engine is well.
    Refused(StoreError),
    /// The engine failed.
    Engine(redb::Error),
    /// The engine panicked.
    Panicked(String),
}

impl Failed {
    /// As an error that names the file.
    pub(super) fn told(self, what: &str) -> StoreError {
        let what = what.to_string();
        match self {
            Failed::Refused(e) => e,
            Failed::Panicked(cause) => StoreError::Damaged { what, cause },
            Failed::Engine(redb::Error::DatabaseAlreadyOpen) => StoreError::InUse { path: what.into() },
            Failed::Engine(redb::Error::Io(e)) => io_error(&what, &e),
            Failed::Engine(e @ redb::Error::PreviousIo) => StoreError::Io { what, cause: e.to_string() },
            Failed::Engine(e) => StoreError::Damaged { what, cause: e.to_string() },
        }
    }
}

impl From<StoreError> for Failed {
    fn from(e: StoreError) -> Failed {
        Failed::Refused(e)
    }
}

macro_rules! engine_errors {
    ($($kind:ident),*) => {
        $(impl From<redb::$kind> for Failed {
            fn from(e: redb::$kind) -> Failed {
                Failed::Engine(e.into())
            }
        })*
    };
}
engine_errors!(CommitError, DatabaseError, SetDurabilityError, StorageError, TableError, TransactionError);

/// What the system's error means for a file.
pub(crate) fn io_error(what: &str, e: &io::Error) -> StoreError {
    let (what, cause) = (what.to_string(), e.to_string());
    match e.kind() {
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded | io::ErrorKind::FileTooLarge => {
            StoreError::Full { what, cause }
        }
        // Too short, or no database: what was written is not there.
        io::ErrorKind::UnexpectedEof | io::ErrorKind::InvalidData => StoreError::Damaged { what, cause },
        _ => StoreError::Io { what, cause },
    }
}

/// Calls the engine; a panic of it becomes an error.
pub(super) fn guard<T, E: Into<Failed>>(f: impl FnOnce() -> Result<T, E>) -> Result<T, Failed> {
    match catch_unwind(AssertUnwindSafe(f)) {
        Ok(result) => result.map_err(Into::into),
        Err(panic) => {
            let text = panic.downcast_ref::<String>().map(String::as_str);
            let text = text.or_else(|| panic.downcast_ref::<&str>().copied()).unwrap_or("no reason");
            Err(Failed::Panicked(format!("the engine gave up: {text}")))
        }
    }
}

/// Opens the engine, as often as a failure makes that needful.
pub(super) enum Opener {
    File(PathBuf),
    On(Backend),
}

impl Opener {
    /// For a file; makes it if that is wanted.
    pub(super) fn file(path: &Path, create: Create) -> Result<Opener, StoreError> {
        let what = path.display().to_string();
        let opener = Opener::File(path.to_path_buf());
        let missing = match fs::metadata(path) {
            Ok(about) if about.len() == 0 => return Err(StoreError::damaged(what, "the file is empty")),
            Ok(_) => false,
            Err(e) if e.kind() == io::ErrorKind::NotFound => true,
            Err(e) => return Err(io_error(&what, &e)),
        };
        let lost = Head::of(&opener).read();
        match (create, missing, lost) {
            (Create::Anew, false, _) => return Err(StoreError::Exists { key: what }),
            (_, false, _) => {}
            (Create::Never, true, _) => return Err(StoreError::Missing { key: what }),
            (Create::IfMissing, true, Some(lost)) => {
                return Err(StoreError::damaged(
                    what,
                    format!("the file is gone, though {lost} was acknowledged"),
                ));
            }
            (_, true, lost) => make(path, |db| Rows::begin(db, lost.unwrap_or_default()))?,
        }
        Ok(opener)
    }

    pub(super) fn on(make: Backend) -> Opener {
        Opener::On(make)
    }

    pub(super) fn what(&self) -> String {
        match self {
            Opener::File(path) => path.display().to_string(),
            Opener::On(_) => "storage".into(),
        }
    }

    /// Opens and verifies every page.
    pub(super) fn open(&mut self) -> Result<Database, Failed> {
        let io = |e| Failed::Engine(redb::Error::Io(e));
        let (storage, new): (Box<dyn StorageBackend>, bool) = match self {
            Opener::File(path) => {
                let file = OpenOptions::new().read(true).write(true).open(path).map_err(io)?;
                (Box::new(FileBackend::new(file)?), false)
            }
            Opener::On(make) => {
                let storage = make().map_err(io)?;
                let new = storage.len().map_err(io)? == 0;
                (storage, new)
            }
        };
        let mut builder = Builder::new();
        builder.set_cache_size(CACHE).set_check_integrity_on_open(true);
        let db = builder.create_with_backend(Guarded::new(storage).map_err(io)?)?;
        if new {
            Rows::begin(&db, Revision(0))?;
        }
        Ok(db)
    }

    /// Keeps a copy of the file, as it was with an older schema.
    pub(super) fn keep_copy(&self, schema: u32) -> Result<(), StoreError> {
        let Opener::File(path) = self else { return Ok(()) };
        let copy = beside(path, &format!("schema-{schema}"));
        copy_synced(path, &copy)
    }
}

/// The path of a file that belongs to another one: its name, a dot and more.
pub(crate) fn beside(path: &Path, more: &str) -> PathBuf {
    let mut name = path.as_os_str().to_owned();
    name.push(".");
    name.push(more);
    name.into()
}

/// Makes a database file that nobody but its owner reads, whole or not at all: under another name first.
pub(crate) fn make(
    path: &Path,
    fill: impl FnOnce(&Database) -> Result<(), Failed>,
) -> Result<(), StoreError> {
    let part = beside(path, "part");
    let what = part.display().to_string();
    let result = guard(|| {
        let io = |e| Failed::Engine(redb::Error::Io(e));
        let file =
            OpenOptions::new().read(true).write(true).create(true).truncate(true).mode(0o600).open(&part);
        let storage = FileBackend::new(file.map_err(io)?)?;
        let db = Builder::new().create_with_backend(storage)?;
        fill(&db)?;
        drop(db);
        Ok::<(), Failed>(())
    });
    let result = result.map_err(|e| e.told(&what)).and_then(|()| put_in_place(&part, path));
    if result.is_err() {
        // It is of no use to anybody; that it could not be removed changes nothing.
        let _ = fs::remove_file(&part);
    }
    result
}

/// Renames a file that is done, so that it is there after a power cut too.
pub(crate) fn put_in_place(part: &Path, path: &Path) -> Result<(), StoreError> {
    let told = |e: io::Error| io_error(&path.display().to_string(), &e);
    File::open(part).and_then(|f| f.sync_all()).map_err(told)?;
    fs::rename(part, path).map_err(told)?;
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder).and_then(|f| f.sync_all()).map_err(told)
}

/// Copies a file, whole or not at all.
pub(crate) fn copy_synced(from: &Path, to: &Path) -> Result<(), StoreError> {
    let part = beside(to, "part");
    let told = |e: io::Error| io_error(&part.display().to_string(), &e);
    let copied = fs::copy(from, &part).map_err(told).and_then(|_| put_in_place(&part, to));
    if copied.is_err() {
        let _ = fs::remove_file(&part);
    }
    copied
}

/// The last revision that was acknowledged, in a small file beside the store's.
///
/// It is not synced: after a power cut it may be behind, and is then of no use but does no harm.
pub(super) struct Head {
    path: Option<PathBuf>,
    file: Option<File>,
}

impl Head {
    pub(super) fn of(opener: &Opener) -> Head {
        let path = match opener {
            Opener::File(path) => Some(beside(path, "head")),
            Opener::On(_) => None,
        };
        Head { path, file: None }
    }

    /// What was acknowledged; `None` where that is not known.
    pub(super) fn read(&self) -> Option<Revision> {
        let mut bytes = Vec::new();
        File::open(self.path.as_ref()?).ok()?.take(64).read_to_end(&mut bytes).ok()?;
        let (revision, sum) = bytes.split_at_checked(8)?;
        let sum: [u8; 8] = sum.try_into().ok()?;
        (XxHash3_64::oneshot(revision) == u64::from_le_bytes(sum)).then_some(())?;
        Some(Revision(u64::from_le_bytes(revision.try_into().ok()?)))
    }

    /// Notes a revision. That it could not be noted loses a check, not a change.
    pub(super) fn write(&mut self, revision: Revision) {
        let Some(path) = &self.path else { return };
        if self.file.is_none() {
            self.file =
                OpenOptions::new().write(true).create(true).truncate(false).mode(0o600).open(path).ok();
        }
        let Some(file) = &self.file else { return };
        let bytes = revision.0.to_le_bytes();
        let sum = XxHash3_64::oneshot(&bytes).to_le_bytes();
        let _ = file.write_all_at(&[bytes, sum].concat(), 0);
    }
}

/// Writes a file whole or not at all.
pub(crate) fn write_whole(path: &Path, text: &[u8]) -> Result<(), StoreError> {
    let part = beside(path, "part");
    let told = |e: io::Error| io_error(&part.display().to_string(), &e);
    let written = OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(&part)
        .and_then(|mut f| f.write_all(text))
        .map_err(told)
        .and_then(|()| put_in_place(&part, path));
    if written.is_err() {
        let _ = fs::remove_file(&part);
    }
    written
}
