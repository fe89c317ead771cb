//! The beginning of a session: its first line, and the wait for its answer.

use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_units::Micros;

use super::{FIRST_LINE_TIMEOUT, Session};
use crate::transport::buffer_pool::BufferPool;
use crate::transport::connection::LineTooLong;

/// A front end that has pinged has this long for its next ping.
const NEXT_PING_TIMEOUT: Micros = 10_000_000;
/// Pings that are answered in one go; a client that sends more at a time is no front end.
const MAX_PINGS_PER_READ: usize = 16;

/// What a client has sent whose first line is awaited.
#[derive(Debug, PartialEq)]
pub enum FirstLine {
    /// No complete line yet.
    Incomplete,
    /// Its first line, without the line end.
    Line(Vec<u8>),
    /// It has closed its side.
    Closed,
    /// A line over the protocol's limit.
    LineTooLong,
    /// More pings at a time than a front end sends.
    TooManyPings,
}

/// What a client does while it waits for its answer.
#[derive(Debug, PartialEq, Eq)]
pub enum WaitingActivity {
    /// Nothing, as the protocol has it.
    Silent,
    /// It has sent something.
    SentData,
    /// It has closed its side.
    Closed,
}

impl Session {
    /// Reads the first line as far as it has come. Pings of a front end are answered on the way.
    pub fn read_first_line(&mut self, now: Micros, pool: &BufferPool) -> FirstLine {
        for _ in 0..=MAX_PINGS_PER_READ {
            self.connection.read_available(pool);
            match self.connection.take_line() {
                Ok(Some(line)) if parse_message(&line) == Message::Ping => {
                    self.first_line_deadline = now + NEXT_PING_TIMEOUT;
                    self.deadline = self.first_line_deadline;
                    self.connection.send(pool, Message::Pong.to_string().as_bytes());
                }
                Ok(Some(line)) => return FirstLine::Line(line),
                Ok(None) if self.connection.peer_close.is_some() => return FirstLine::Closed,
                Ok(None) => {
                    if !self.connection.pending_input().is_empty() {
                        // Counted from the first piece of the line: pieces may come one by one forever.
                        self.first_line_deadline = self.first_line_deadline.min(now + FIRST_LINE_TIMEOUT);
                        self.deadline = self.first_line_deadline;
                    }
                    return FirstLine::Incomplete;
                }
                Err(LineTooLong) => return FirstLine::LineTooLong,
            }
        }
        FirstLine::TooManyPings
    }

    /// Checks what a client does while it waits for its answer.
    pub fn poll_while_waiting(&mut self, pool: &BufferPool) -> WaitingActivity {
        self.connection.read_available(pool);
        if !self.connection.pending_input().is_empty() {
            WaitingActivity::SentData
        } else if self.connection.peer_close.is_some() {
            WaitingActivity::Closed
        } else {
            WaitingActivity::Silent
        }
    }
}
