//! The end of a session: its final answer, and the close in good order.

use shorewharf_units::Micros;

use super::{Session, SessionStage};
use crate::transport::buffer_pool::BufferPool;

/// After its final answer a client may send this much, which is read and discarded. One that goes on sending at full speed
/// gets a reset instead.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Rounds of reading what is discarded before other connections are served.
const MAX_READ_ROUNDS: usize = 8;
/// Once its final answer is on its way, a client has this long to take it.
const CLOSE_TIMEOUT: Micros = 500_000;

/// How far the close of a session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseProgress {
    /// The client's close is awaited.
    AwaitingPeer,
    /// There is more to read, once other connections have been served.
    MoreToRead,
    /// The connection may be closed.
    Done,
}

impl Session {
    /// Sends the final answer; the client's close is awaited from now on. Returns the open id, which becomes free.
    pub(crate) fn begin_close(&mut self, now: Micros, pool: &BufferPool, answer: &[u8]) -> Option<u64> {
        self.stage = SessionStage::Closing;
        self.stage_since = now;
        self.deadline = now + CLOSE_TIMEOUT;
        self.first_line = None;
        self.half_open_deadline = None;
        self.connection.send(pool, answer);
        self.open_id.take()
    }

    /// Ends the sending and reads on until the client closes: a close with unread input would become a reset, which could
    /// overtake the final answer.
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
