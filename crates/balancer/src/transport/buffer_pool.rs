//! Buffers of one size, used again. A quiet connection holds none.

use std::cell::RefCell;
use std::rc::Rc;

/// Bytes in a buffer: one line of the greatest length and as much again behind it.
pub const BUFFER_BYTES: usize = 8192;
const _: () = assert!(BUFFER_BYTES <= u16::MAX as usize, "places in a buffer are narrow");
/// Buffers kept for later; a burst's surplus goes back to the system.
const MAX_FREE_BUFFERS: usize = 128;

type FreeList = Rc<RefCell<Vec<Box<[u8; BUFFER_BYTES]>>>>;

/// Where buffers come from and go back to.
#[derive(Clone, Debug, Default)]
pub struct BufferPool(FreeList);

impl BufferPool {
    /// An empty buffer.
    pub fn take(&self) -> Buffer {
        let bytes = self.0.borrow_mut().pop().unwrap_or_else(|| Box::new([0; BUFFER_BYTES]));
        Buffer { bytes: Some(bytes), start: 0, end: 0, free_list: Rc::clone(&self.0) }
    }
}

/// Bytes on their way: filled at the end, used up from the front. Goes back to its pool when dropped.
#[derive(Debug)]
pub struct Buffer {
    bytes: Option<Box<[u8; BUFFER_BYTES]>>,
    // Narrow: every connection has room for the handles of its buffers.
    start: u16,
    end: u16,
    free_list: FreeList,
}

impl Buffer {
    fn bytes(&mut self) -> &mut [u8; BUFFER_BYTES] {
        self.bytes.as_mut().expect("held until dropped")
    }

    /// What it holds.
    pub fn contents(&self) -> &[u8] {
        &self.bytes.as_ref().expect("held until dropped")[usize::from(self.start)..usize::from(self.end)]
    }

    /// Room behind what it holds; what it holds is moved to the front if that makes any.
    pub fn spare(&mut self) -> &mut [u8] {
        if self.start > 0 {
            let (start, end) = (self.start, self.end);
            self.bytes().copy_within(usize::from(start)..usize::from(end), 0);
            (self.start, self.end) = (0, end - start);
        }
        let end = self.end;
        &mut self.bytes()[usize::from(end)..]
    }

    /// So many bytes were written into the room.
    pub fn commit(&mut self, n: usize) {
        self.end = (usize::from(self.end) + n).min(BUFFER_BYTES) as u16;
    }

    /// So many bytes at the front are done with.
    pub fn consume(&mut self, n: usize) {
        self.start = (usize::from(self.start) + n).min(usize::from(self.end)) as u16;
    }

    /// Appends all of `bytes`, or nothing and false where they don't fit.
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let room = self.spare();
        let fits = bytes.len() <= room.len();
        if fits {
            room[..bytes.len()].copy_from_slice(bytes);
            self.commit(bytes.len());
        }
        fits
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut home = self.free_list.borrow_mut();
        if let Some(bytes) = self.bytes.take().filter(|_| home.len() < MAX_FREE_BUFFERS) {
            home.push(bytes);
        }
    }
}

#[cfg(test)]
mod tests;
