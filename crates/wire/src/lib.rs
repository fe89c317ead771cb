//! Codec of the simulator's messages: batches of records to events of the decisions, actions to replies.
//!
//! All numbers are little endian, but for the IPv4 addresses of servers. The names of the platform's protocol
//! end here: the table from its record codes to events and actions stands in `codes.rs`, `decoder.rs` and
//! `encoder.rs`.

mod codes;
mod decoder;
mod encoder;
mod reader;

use thiserror::Error;

pub use decoder::{Batch, Decoder, InstanceRecord, Record};
pub use encoder::Encoder;

/// The largest frame that is read, in bytes.
pub const MAX_FRAME_BYTES: usize = 256 << 20;

/// What is wrong with a frame, and where, as an offset in bytes from the start of the frame's body.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The record or the frame ends too early.
    #[error("offset {offset}: truncated, {missing} more bytes wanted")]
    Truncated {
        /// Where more was expected.
        offset: usize,
        /// How many bytes are missing.
        missing: usize,
    },
    /// A record code that is not known.
    #[error("offset {offset}: unknown event code {code}")]
    UnknownCode {
        /// Where the record begins.
        offset: usize,
        /// The code.
        code: u16,
    },
    /// A value out of its range.
    #[error("offset {offset}: bad value {value} for {field}")]
    BadValue {
        /// Where the value begins.
        offset: usize,
        /// The value; a float's bits.
        value: u64,
        /// The protocol's name of the field.
        field: &'static str,
    },
    /// An update refers to a server list that has not been sent.
    #[error("offset {offset}: list {slot} has not been sent")]
    UnknownList {
        /// Where the slot is named.
        offset: usize,
        /// The slot.
        slot: u8,
    },
    /// Bytes behind the last record.
    #[error("offset {offset}: {count} bytes behind the last record")]
    TrailingBytes {
        /// Where the last record ends.
        offset: usize,
        /// How many bytes are left.
        count: usize,
    },
    /// An event before the first record that selects an instance.
    #[error("offset {offset}: no instance selected")]
    NoInstanceSelected {
        /// Where the record begins.
        offset: usize,
    },
    /// A frame over [`MAX_FRAME_BYTES`].
    #[error("offset 0: frame of {length} bytes is over the limit")]
    FrameTooLarge {
        /// The frame's length.
        length: usize,
    },
}
