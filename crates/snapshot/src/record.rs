//! The format of a record. It is written sequentially from the header to the checksum, and a record that is truncated
//! or changed anywhere is rejected as a whole; the error names the line.

use std::hash::Hasher;
use std::io::{self, Write};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};
use thiserror::Error;
use twox_hash::XxHash3_64;

/// The version of the format. Records of other versions are rejected.
pub const VERSION: u32 = 1;
/// The maximum size of a record, larger than any that a balancer writes.
pub const MAX_RECORD_BYTES: u64 = 256 << 20;
/// The prefix of the end line, which is the last. No other line has it, since all others are JSON objects.
const END_MARK: &str = "end ";
/// The most characters of a mismatched checksum or line count that an error quotes.
const MAX_QUOTED_CHARS: usize = 20;

/// The header of a record: who wrote it and when.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Header {
    /// The version of the format.
    #[serde(rename = "snapshot")]
    pub version: u32,
    /// The balancer's name.
    pub balancer: String,
    /// The worker that exported it, from 0.
    pub worker: usize,
    /// The number of workers of that process. It determines which part of the fleet's work each worker has.
    #[serde(rename = "workers")]
    pub worker_count: usize,
    /// When the record was begun, in microseconds of Unix time.
    #[serde(rename = "taken")]
    pub taken_at: u64,
    /// The index of the endpoint list in the record.
    #[serde(rename = "index")]
    pub list_index: u64,
}

/// A line between the header and the end line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Line<T> {
    /// A server of the endpoint list.
    #[serde(rename = "endpoint")]
    Endpoint(Endpoint),
    /// An entry of learned state.
    #[serde(rename = "known")]
    State(T),
}

/// Why a record can't be decoded.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The file can't be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// The file is larger than a record may be.
    #[error("the file has {0} bytes; a snapshot has at most {MAX_RECORD_BYTES}")]
    TooLarge(u64),
    /// The first line is not a header.
    #[error("line 1: invalid snapshot header: {0}")]
    InvalidHeader(serde_json::Error),
    /// The format has another version.
    #[error("line 1: snapshot has format version {0}; this program reads version {VERSION}")]
    UnsupportedVersion(u32),
    /// The end line is missing or incomplete.
    #[error("line {0}: truncated: there is no complete end line")]
    Truncated(usize),
    /// The content does not have the checksum in the end line.
    #[error("line {line}: checksum mismatch: the content has {found}, the end line has {expected}")]
    ChecksumMismatch {
        /// The number of the end line.
        line: usize,
        /// The checksum of the content.
        found: String,
        /// The checksum in the end line.
        expected: String,
    },
    /// The content does not have the number of lines in the end line.
    #[error("line {line}: line count mismatch: the content has {found} lines, the end line has {expected}")]
    LineCountMismatch {
        /// The number of the end line.
        line: usize,
        /// The lines between the header and the end line.
        found: usize,
        /// The count in the end line.
        expected: String,
    },
}

/// Encodes a record line by line.
pub struct Encoder<W: Write> {
    output: W,
    checksum: XxHash3_64,
    lines: u64,
    buffer: Vec<u8>,
}

impl<W: Write> Encoder<W> {
    /// Begins a record by writing its header.
    ///
    /// # Errors
    ///
    /// Returns an error if the header can't be written.
    pub fn begin(output: W, header: &Header) -> io::Result<Self> {
        let mut encoder = Encoder { output, checksum: XxHash3_64::new(), lines: 0, buffer: Vec::new() };
        encoder.write_json(header)?;
        Ok(encoder)
    }

    fn write_json(&mut self, value: &impl Serialize) -> io::Result<()> {
        self.buffer.clear();
        serde_json::to_writer(&mut self.buffer, value)?;
        self.buffer.push(b'\n');
        self.checksum.write(&self.buffer);
        self.output.write_all(&self.buffer)
    }

    /// Appends a line.
    ///
    /// # Errors
    ///
    /// Returns an error if the line can't be written.
    pub fn write_line<T: Serialize>(&mut self, line: &Line<T>) -> io::Result<()> {
        self.lines += 1;
        self.write_json(line)
    }

    /// Writes the end line. Returns the output and the number of lines between the header and the end line.
    ///
    /// # Errors
    ///
    /// Returns an error if the end line can't be written.
    pub fn finish(mut self) -> io::Result<(W, u64)> {
        let end = format!("{END_MARK}{} {:016x}\n", self.lines, self.checksum.finish());
        self.output.write_all(end.as_bytes())?;
        self.output.flush()?;
        Ok((self.output, self.lines))
    }
}

/// A decoded record.
#[derive(Clone, Debug, PartialEq)]
pub struct Record<T> {
    /// The header.
    pub header: Header,
    /// The endpoint list when the record was written.
    pub list: EndpointList,
    /// The entries of learned state.
    pub entries: Vec<T>,
    /// The number of lines that this program can't read, as another version of it may have written.
    pub unknown_lines: usize,
}

/// Decodes a record after verifying its checksum.
///
/// # Errors
///
/// Returns an error if the record is damaged or has another version of the format.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<Record<T>, DecodeError> {
    let verified = verify(bytes)?;
    let mut lines = verified.split(|byte| *byte == b'\n');
    let header = decode_header(lines.next().unwrap_or_default())?;
    let mut list = EndpointList { index: header.list_index, snapshot: true, endpoints: Vec::new() };
    let (mut entries, mut unknown_lines) = (Vec::new(), 0);
    for line in lines.filter(|line| !line.is_empty()) {
        match serde_json::from_slice(line) {
            Ok(Line::Endpoint(endpoint)) => list.endpoints.push(endpoint),
            Ok(Line::State(entry)) => entries.push(entry),
            Err(_) => unknown_lines += 1,
        }
    }
    Ok(Record { header, list, entries, unknown_lines })
}

/// Verifies the checksum and the line count in the end line, and returns all lines before it.
fn verify(bytes: &[u8]) -> Result<&[u8], DecodeError> {
    let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
    let unterminated = bytes.strip_suffix(b"\n").ok_or(DecodeError::Truncated(lines + 1))?;
    let before_last = unterminated.iter().rposition(|byte| *byte == b'\n');
    let last_start = before_last.ok_or(DecodeError::Truncated(lines))? + 1;
    let (content, last) = (&bytes[..last_start], &unterminated[last_start..]);
    let end = std::str::from_utf8(last).ok().and_then(|last| last.strip_prefix(END_MARK));
    let (count, expected) = end.and_then(|end| end.split_once(' ')).ok_or(DecodeError::Truncated(lines))?;
    let mut checksum = XxHash3_64::new();
    checksum.write(content);
    let found = format!("{:016x}", checksum.finish());
    if found != expected {
        return Err(DecodeError::ChecksumMismatch { line: lines, found, expected: quoted(expected) });
    }
    let found = lines - 2;
    if count.parse() != Ok(found) {
        return Err(DecodeError::LineCountMismatch { line: lines, found, expected: quoted(count) });
    }
    Ok(content)
}

/// The beginning of a text, as an error quotes it.
fn quoted(text: &str) -> String {
    text.chars().take(MAX_QUOTED_CHARS).collect()
}

/// Decodes a header. The version is checked first, since other versions may have other fields.
fn decode_header(line: &[u8]) -> Result<Header, DecodeError> {
    #[derive(Deserialize)]
    struct Version {
        snapshot: u32,
    }
    let Version { snapshot } = serde_json::from_slice(line).map_err(DecodeError::InvalidHeader)?;
    if snapshot != VERSION {
        return Err(DecodeError::UnsupportedVersion(snapshot));
    }
    serde_json::from_slice(line).map_err(DecodeError::InvalidHeader)
}
