//! A pool of buffers of one size. A connection without pending bytes holds no buffer.

use std::cell::RefCell;
use std::rc::Rc;

/// The size of a buffer: twice the longest line.
pub const BUFFER_BYTES: usize = 8192;
const _: () = assert!(BUFFER_BYTES <= u16::MAX as usize, "positions in a buffer are 16 bits wide");
/// Maximum number of free buffers that are kept; the surplus after a burst is freed.
const MAX_FREE_BUFFERS: usize = 128;

type FreeList = Rc<RefCell<Vec<Box<[u8; BUFFER_BYTES]>>>>;

/// A pool from which buffers are taken and to which they return.
#[derive(Clone, Debug, Default)]
pub struct BufferPool(FreeList);

impl BufferPool {
    /// Takes an empty buffer.
    pub fn take(&self) -> Buffer {
        let bytes = self.0.borrow_mut().pop().unwrap_or_else(|| Box::new([0; BUFFER_BYTES]));
        Buffer { bytes: Some(bytes), start: 0, end: 0, free_list: Rc::clone(&self.0) }
    }
}

/// A queue of bytes, filled at the end and consumed from the front. It returns to its pool when dropped.
#[derive(Debug)]
pub struct Buffer {
    bytes: Option<Box<[u8; BUFFER_BYTES]>>,
    // 16 bits wide to save memory, since every connection holds two of these handles.
    start: u16,
    end: u16,
    free_list: FreeList,
}

impl Buffer {
    fn bytes(&mut self) -> &mut [u8; BUFFER_BYTES] {
        self.bytes.as_mut().expect("present until dropped")
    }

    /// The bytes in the buffer.
    pub fn contents(&self) -> &[u8] {
        &self.bytes.as_ref().expect("present until dropped")[usize::from(self.start)..usize::from(self.end)]
    }

    /// Returns the free space behind the contents, after moving the contents to the front of the buffer.
    pub fn spare(&mut self) -> &mut [u8] {
        if self.start > 0 {
            let (start, end) = (self.start, self.end);
            self.bytes().copy_within(usize::from(start)..usize::from(end), 0);
            (self.start, self.end) = (0, end - start);
        }
        let end = self.end;
        &mut self.bytes()[usize::from(end)..]
    }

    /// Adds the first `n` bytes of the spare space to the contents.
    pub fn commit(&mut self, n: usize) {
        self.end = (usize::from(self.end) + n).min(BUFFER_BYTES) as u16;
    }

    /// Removes `n` bytes from the front.
    pub fn consume(&mut self, n: usize) {
        self.start = (usize::from(self.start) + n).min(usize::from(self.end)) as u16;
    }

    /// Appends `bytes` and returns true, or returns false if they don't fit.
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let spare = self.spare();
        let fits = bytes.len() <= spare.len();
        if fits {
            spare[..bytes.len()].copy_from_slice(bytes);
            self.commit(bytes.len());
        }
        fits
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut free_list = self.free_list.borrow_mut();
        if let Some(bytes) = self.bytes.take().filter(|_| free_list.len() < MAX_FREE_BUFFERS) {
            free_list.push(bytes);
        }
    }
}

#[cfg(test)]
mod tests;
