//! The last acknowledged revision, kept in the file `FILE.head` beside the store's file.
//!
//! The file is not synced. After a power cut it may hold an older revision; the check on opening is then weaker, but
//! never rejects an intact store.

use crate::files::sibling_path;
use crate::revision::Revision;
use std::fs::{File, OpenOptions};
use std::io::Read;
use std::os::unix::fs::{FileExt, OpenOptionsExt};
use std::path::{Path, PathBuf};
use twox_hash::XxHash3_64;

/// The most bytes that are read; an intact file has 16: the revision and its checksum.
const MAX_FILE_BYTES: u64 = 64;

/// Reads and writes the file with the last acknowledged revision.
pub(super) struct AcknowledgedRevision {
    /// `None` for a store that is not in a file; nothing is recorded then.
    path: Option<PathBuf>,
    /// Opened at the first write.
    file: Option<File>,
}

impl AcknowledgedRevision {
    /// For the store in the file `store`, or for one that is not in a file.
    pub(super) fn beside(store: Option<&Path>) -> AcknowledgedRevision {
        AcknowledgedRevision { path: store.map(|path| sibling_path(path, "head")), file: None }
    }

    /// The last acknowledged revision; `None` if the file is missing or damaged.
    pub(super) fn read(&self) -> Option<Revision> {
        let mut bytes = Vec::new();
        File::open(self.path.as_ref()?).ok()?.take(MAX_FILE_BYTES).read_to_end(&mut bytes).ok()?;
        let (revision, checksum) = bytes.split_at_checked(size_of::<u64>())?;
        let checksum: [u8; 8] = checksum.try_into().ok()?;
        if XxHash3_64::oneshot(revision) != u64::from_le_bytes(checksum) {
            return None;
        }
        Some(Revision(u64::from_le_bytes(revision.try_into().ok()?)))
    }

    /// Records a revision. Failures are ignored: they weaken the check on opening, but lose no change.
    pub(super) fn write(&mut self, revision: Revision) {
        let Some(path) = &self.path else { return };
        if self.file.is_none() {
            let mut options = OpenOptions::new();
            options.write(true).create(true).truncate(false).mode(0o600);
            self.file = options.open(path).ok();
        }
        let Some(file) = &self.file else { return };
        let bytes = revision.0.to_le_bytes();
        let checksum = XxHash3_64::oneshot(&bytes).to_le_bytes();
        let _ = file.write_all_at(&[bytes, checksum].concat(), 0);
    }
}
