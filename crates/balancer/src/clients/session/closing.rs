//! The end of a session: sends the final answer and closes the connection without a reset.

use shorewharf_units::Micros;

use super::{Session, SessionStage};
use crate::transport::buffer_pool::BufferPool;

/// Number of bytes that are read and discarded after the final answer. A client that sends more, at full
/// speed, gets a reset instead.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Maximum number of rounds of reading and discarding input before other connections are served.
const MAX_READ_ROUNDS: usize = 8;
/// Time that a client has to receive its final answer and close.
const CLOSE_TIMEOUT: Micros = 500_000;

/// The progress of closing a session.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseProgress {
    /// The client's close is awaited.
    AwaitingPeer,
    /// There may be more input to discard, after other connections have been served.
    MoreToRead,
    /// The connection may be closed.
    Done,
}

impl Session {
    /// Sends the final answer, after which the client's close is awaited. Returns the open id, which the
    /// caller releases.
    pub(crate) fn begin_close(&mut self, now: Micros, pool: &BufferPool, answer: &[u8]) -> Option<u64> {
        self.stage = SessionStage::Closing;
        self.stage_since = now;
        self.deadline = now + CLOSE_TIMEOUT;
        self.first_line = None;
        self.half_open_deadline = None;
        self.connection.send(pool, answer);
        self.open_id.take()
    }

    /// Shuts down the sending side once all output is written, and discards input until the client closes: a
    /// close with unread input would send a reset, which could destroy the final answer before the client
    /// reads it.
    pub fn continue_close(&mut self, pool: &BufferPool) -> CloseProgress {
        if self.connection.flush() && self.connection.peer_close.is_none() {
            self.connection.shutdown_write();
        }
        let mut has_read = true;
        for _ in 0..MAX_READ_ROUNDS {
            has_read = self.connection.read_available(pool);
            self.discarded_bytes += self.connection.pending_input().len();
            self.connection.discard_input();
            if !has_read || self.discarded_bytes > MAX_DISCARDED_BYTES {
                break;
            }
        }
        if self.connection.peer_close.is_some() || self.discarded_bytes > MAX_DISCARDED_BYTES {
            CloseProgress::Done
        } else if has_read {
            CloseProgress::MoreToRead
        } else {
            CloseProgress::AwaitingPeer
        }
    }
}
