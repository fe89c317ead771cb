//! Codec of the simulator's messages: decodes batches of records to events of the decisions, and encodes
//! actions to replies.
//!
//! All numbers are little endian, except the IPv4 addresses of servers. The codes and field names of the
//! simulator's protocol appear only in this package: `codes.rs`, `decoder.rs` and `encoder.rs` map them to
//! events and actions.

mod codes;
mod decoder;
mod encoder;
mod reader;

use thiserror::Error;

pub use decoder::{Batch, Decoder, InstanceRecord, Record};
pub use encoder::Encoder;

/// Maximum length of a frame in bytes, without its length field.
pub const MAX_FRAME_BYTES: usize = 256 << 20;

/// The reason why a frame is malformed. Offsets are in bytes from the start of the frame's body, which
/// follows its length field.
#[derive(Debug, Error, PartialEq, Eq)]
pub enum WireError {
    /// The record or the frame ends too early.
    #[error("offset {offset}: truncated; {missing} more bytes expected")]
    Truncated {
        /// Offset at which more bytes were expected.
        offset: usize,
        /// Number of missing bytes.
        missing: usize,
    },
    /// The code of a record is unknown.
    #[error("offset {offset}: unknown event code {code}")]
    UnknownCode {
        /// Offset of the record.
        offset: usize,
        /// The code.
        code: u16,
    },
    /// The value of a field is invalid.
    #[error("offset {offset}: invalid value {value} of field {field}")]
    InvalidValue {
        /// Offset of the value.
        offset: usize,
        /// The value. Of a floating-point number, its bits.
        value: u64,
        /// Name of the field in the simulator's protocol.
        field: &'static str,
    },
    /// An endpoint update refers to a server list that has not been sent.
    #[error("offset {offset}: server list {slot} has not been sent")]
    UnknownList {
        /// Offset of the slot number.
        offset: usize,
        /// Number of the slot.
        slot: u8,
    },
    /// There are bytes after the last record.
    #[error("offset {offset}: {count} bytes after the last record")]
    TrailingBytes {
        /// Offset of the end of the last record.
        offset: usize,
        /// Number of bytes after it.
        count: usize,
    },
    /// A record comes before the first one that selects an instance.
    #[error("offset {offset}: no instance selected")]
    NoInstanceSelected {
        /// Offset of the record.
        offset: usize,
    },
    /// The frame is longer than [`MAX_FRAME_BYTES`].
    #[error("offset 0: frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES} bytes")]
    FrameTooLarge {
        /// Length of the frame.
        length: usize,
    },
}
