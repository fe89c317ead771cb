//! Storage that remembers the checksum of every block that passed it, and refuses a block that has changed since.
//!
//! The engine verifies all pages when a file is opened and trusts what it reads later. A page that is damaged
//! while the store runs could make it miss a record that is there. With this between them, whatever was verified
//! or written is either read back as it was or refused. It costs eight bytes for each 4 KiB.

use redb::{BackendError, StorageBackend};
use std::collections::HashMap;
use std::io;
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};
use twox_hash::XxHash3_64;

/// The engine's page size.
const BLOCK: u64 = 4096;

/// A storage and the checksums of its blocks.
#[derive(Debug)]
pub(super) struct Guarded {
    storage: Box<dyn StorageBackend>,
    blocks: Mutex<Blocks>,
}

/// Looked up by number and never gone through, so a hash map sways nothing.
#[derive(Debug)]
struct Blocks {
    sums: HashMap<u64, u64>,
    length: u64,
}

impl Guarded {
    pub(super) fn new(storage: Box<dyn StorageBackend>) -> io::Result<Guarded> {
        let length = storage.len()?;
        Ok(Guarded { storage, blocks: Mutex::new(Blocks { sums: HashMap::new(), length }) })
    }

    fn blocks(&self) -> MutexGuard<'_, Blocks> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads whole blocks that cover a range, and checks each; where they begin, and their bytes.
    fn whole(&self, blocks: &mut Blocks, offset: u64, length: u64) -> io::Result<(u64, Vec<u8>)> {
        if offset + length > blocks.length {
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, "ends before what should stand there"));
        }
        let from = offset / BLOCK * BLOCK;
        let to = (offset + length).next_multiple_of(BLOCK).min(blocks.length);
        let mut bytes = vec![0; (to - from) as usize];
        self.storage.read(from, &mut bytes)?;
        for (i, block) in (from / BLOCK..).zip(bytes.chunks(BLOCK as usize)) {
            let sum = XxHash3_64::oneshot(block);
            if *blocks.sums.entry(i).or_insert(sum) != sum {
                let at = i * BLOCK;
                let cause = format!("the block at byte {at} has changed since it was written");
                return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
            }
        }
        Ok((from, bytes))
    }
}

impl StorageBackend for Guarded {
    fn len(&self) -> io::Result<u64> {
        self.storage.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let (from, bytes) = self.whole(&mut self.blocks(), offset, out.len() as u64)?;
        let within = (offset - from) as usize;
        out.copy_from_slice(&bytes[within..within + out.len()]);
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let blocks = &mut *self.blocks();
        self.storage.set_len(len)?;
        // The block that the end lies in changes with it.
        let end = blocks.length.min(len) / BLOCK;
        blocks.sums.retain(|&i, _| i < end);
        blocks.length = len;
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.storage.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let blocks = &mut *self.blocks();
        let end = offset + data.len() as u64;
        let whole = offset.is_multiple_of(BLOCK) && (end.is_multiple_of(BLOCK) || end >= blocks.length);
        let (from, bytes) = match whole {
            true => (offset, data.to_vec()),
            false => {
                let (from, mut bytes) = self.whole(blocks, offset, data.len() as u64)?;
                let within = (offset - from) as usize;
                bytes[within..within + data.len()].copy_from_slice(data);
                (from, bytes)
            }
        };
        let written = self.storage.write(offset, data);
        for (i, block) in (from / BLOCK..).zip(bytes.chunks(BLOCK as usize)) {
            match written {
                Ok(()) => blocks.sums.insert(i, XxHash3_64::oneshot(block)),
                // How much of it was written is not known.
                Err(_) => blocks.sums.remove(&i),
            };
        }
        blocks.length = blocks.length.max(end);
        written
    }

    fn close(&self) -> io::Result<()> {
        self.storage.close()
    }

    fn try_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.storage.try_lock_range(start, end)
    }

    fn try_lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.storage.try_lock_shared_range(start, end)
    }

    fn lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.storage.lock_range(start, end)
    }

    fn lock_shared_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.storage.lock_shared_range(start, end)
    }

    fn unlock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<(), BackendError> {
        self.storage.unlock_range(start, end)
    }

    fn query_lock_range(&self, start: Bound<u64>, end: Bound<u64>) -> Result<bool, BackendError> {
        self.storage.query_lock_range(start, end)
    }
}
