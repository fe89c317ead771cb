//! A storage backend that remembers the checksum of every block it has read or written, and fails to read a block that
//! no longer matches.
//!
//! The engine verifies all pages when a file is opened and trusts later reads, so a page that is damaged while the
//! store is open could make it miss an existing record. On top of this backend, a read returns the data that was
//! verified or written, or fails. Each block costs eight bytes of memory.

use redb::{BackendError, StorageBackend};
use std::collections::HashMap;
use std::io;
use std::ops::Bound;
use std::sync::{Mutex, MutexGuard, PoisonError};
use twox_hash::XxHash3_64;

/// The engine's page size.
const BLOCK_BYTES: u64 = 4096;

/// Wraps a storage backend and verifies the checksums of its blocks.
#[derive(Debug)]
pub(super) struct ChecksummedStorage {
    storage: Box<dyn StorageBackend>,
    blocks: Mutex<Blocks>,
}

#[derive(Debug)]
struct Blocks {
    /// The checksum of each known block, by block number. Never iterated over, so the order does not matter.
    checksums: HashMap<u64, u64>,
    /// The storage's length in bytes.
    length: u64,
}

/// The content of consecutive blocks.
struct Span {
    /// The offset of the first block in the storage.
    offset: u64,
    bytes: Vec<u8>,
}

impl Span {
    fn blocks(&self) -> impl Iterator<Item = (u64, &[u8])> {
        (self.offset / BLOCK_BYTES..).zip(self.bytes.chunks(BLOCK_BYTES as usize))
    }

    /// The `length` bytes at `offset` of the storage.
    fn part(&mut self, offset: u64, length: usize) -> &mut [u8] {
        let from = (offset - self.offset) as usize;
        &mut self.bytes[from..from + length]
    }
}

impl ChecksummedStorage {
    pub(super) fn new(storage: Box<dyn StorageBackend>) -> io::Result<ChecksummedStorage> {
        let length = storage.len()?;
        let blocks = Mutex::new(Blocks { checksums: HashMap::new(), length });
        Ok(ChecksummedStorage { storage, blocks })
    }

    fn lock(&self) -> MutexGuard<'_, Blocks> {
        self.blocks.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reads the blocks that cover a range. Verifies those with a known checksum and records the checksum of the
    /// others.
    fn read_blocks(&self, blocks: &mut Blocks, offset: u64, length: u64) -> io::Result<Span> {
        if offset + length > blocks.length {
            let cause =
                format!("{length} bytes expected at byte {offset}, but the length is {}", blocks.length);
            return Err(io::Error::new(io::ErrorKind::UnexpectedEof, cause));
        }
        let from = offset / BLOCK_BYTES * BLOCK_BYTES;
        let to = (offset + length).next_multiple_of(BLOCK_BYTES).min(blocks.length);
        let mut span = Span { offset: from, bytes: vec![0; (to - from) as usize] };
        self.storage.read(from, &mut span.bytes)?;
        for (number, block) in span.blocks() {
            let checksum = XxHash3_64::oneshot(block);
            if *blocks.checksums.entry(number).or_insert(checksum) != checksum {
                let at = number * BLOCK_BYTES;
                let cause = format!("the block at byte {at} has changed since it was last read or written");
                return Err(io::Error::new(io::ErrorKind::InvalidData, cause));
            }
        }
        Ok(span)
    }

    /// The content that the blocks around `offset` have once `data` is written there. Blocks that are only partly
    /// overwritten are read first.
    fn blocks_after_write(&self, blocks: &mut Blocks, offset: u64, data: &[u8]) -> io::Result<Span> {
        let end = offset + data.len() as u64;
        let ends_with_block = end.is_multiple_of(BLOCK_BYTES) || end >= blocks.length;
        if offset.is_multiple_of(BLOCK_BYTES) && ends_with_block {
            return Ok(Span { offset, bytes: data.to_vec() });
        }
        let mut span = self.read_blocks(blocks, offset, data.len() as u64)?;
        span.part(offset, data.len()).copy_from_slice(data);
        Ok(span)
    }
}

impl StorageBackend for ChecksummedStorage {
    fn len(&self) -> io::Result<u64> {
        self.storage.len()
    }

    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        let mut span = self.read_blocks(&mut self.lock(), offset, out.len() as u64)?;
        out.copy_from_slice(span.part(offset, out.len()));
        Ok(())
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        let blocks = &mut *self.lock();
        self.storage.set_len(len)?;
        // The block that contains the old or new end gets another length, so its checksum is dropped too.
        let first_changed = blocks.length.min(len) / BLOCK_BYTES;
        blocks.checksums.retain(|&number, _| number < first_changed);
        blocks.length = len;
        Ok(())
    }

    fn sync_data(&self) -> io::Result<()> {
        self.storage.sync_data()
    }

    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        let blocks = &mut *self.lock();
        let span = self.blocks_after_write(blocks, offset, data)?;
        let written = self.storage.write(offset, data);
        for (number, block) in span.blocks() {
            match written {
                Ok(()) => blocks.checksums.insert(number, XxHash3_64::oneshot(block)),
                // Any part of the block may have been written.
                Err(_) => blocks.checksums.remove(&number),
            };
        }
        blocks.length = blocks.length.max(offset + data.len() as u64);
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
