//! The beginning of a session: reads the first line, and watches the client while it waits for its answer.

use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_units::Micros;

use super::{FIRST_LINE_TIMEOUT, Session};
use crate::transport::buffer_pool::BufferPool;
use crate::transport::connection::LineTooLong;

/// Time within which a front end that has sent a ping must send its next line.
const NEXT_PING_TIMEOUT: Micros = 10_000_000;
/// Maximum number of pings answered per read. A client that sends more at a time is not a front end.
const MAX_PINGS_PER_READ: usize = 16;

/// The result of reading the first line of a client.
#[derive(Debug, PartialEq)]
pub enum FirstLine {
    /// The first line is not complete yet.
    Incomplete,
    /// The complete first line, without the line end.
    Line(Vec<u8>),
    /// The client has closed its side.
    Closed,
    /// The client has sent a line over the protocol's limit.
    LineTooLong,
    /// The client has sent more pings at a time than a front end does.
    TooManyPings,
}

/// What a client has done while it waits for its answer.
#[derive(Debug, PartialEq, Eq)]
pub enum WaitingActivity {
    /// Nothing, as the protocol requires.
    Silent,
    /// The client has sent data.
    SentData,
    /// The client has closed its side.
    Closed,
}

impl Session {
    /// Reads the first line as far as it has been received. Pings that precede it are answered.
    pub fn read_first_line(&mut self, now: Micros, pool: &BufferPool) -> FirstLine {
        for _ in 0..=MAX_PINGS_PER_READ {
            self.connection.read_available(pool);
            match self.connection.take_line() {
                Ok(Some(line)) if parse_message(&line) == Message::Ping => {
                    self.has_pinged = true;
                    self.first_line_deadline = now + NEXT_PING_TIMEOUT;
                    self.deadline = self.first_line_deadline;
                    self.connection.send(pool, Message::Pong.to_string().as_bytes());
                }
                Ok(Some(line)) => return FirstLine::Line(line),
                Ok(None) if self.connection.peer_close.is_some() => return FirstLine::Closed,
                Ok(None) => {
                    if !self.connection.pending_input().is_empty() {
                        // The timeout runs from the first piece of the line, since pieces could arrive one by
                        // one forever.
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

    /// Reads input and returns what the client has done while it waits for its answer.
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
