//! A record as bytes. It is written in one go from its header to its checksum, and read whole or not at all: whatever
//! has been cut off or changed anywhere is rejected, and the error names the line.

use std::hash::Hasher;
use std::io::{self, Write};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};
use thiserror::Error;
use twox_hash::XxHash3_64;

/// The version of the format. A record of another version is rejected.
pub const VERSION: u32 = 1;
/// A larger record comes from no balancer.
pub const MAX_RECORD_BYTES: u64 = 256 << 20;
/// What the last line begins with; no other line does, since they are JSON objects.
const END_MARK: &str = "end ";
/// Characters of a wrong checksum that an error names.
const MAX_NAMED_CHECKSUM_CHARS: usize = 20;

/// What a record says of itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Header {
    /// The version of its format.
    #[serde(rename = "snapshot")]
    pub version: u32,
    /// The balancer's name.
    pub balancer: String,
    /// The worker that exported it, from 0.
    pub worker: usize,
    /// Workers of that process: with another number, each has another part of the fleet's work.
    #[serde(rename = "workers")]
    pub worker_count: usize,
    /// When it was begun, in microseconds of Unix time.
    #[serde(rename = "taken")]
    pub taken_at: u64,
    /// The version of its endpoint list.
    #[serde(rename = "index")]
    pub list_index: u64,
}

/// A line between the header and the end.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum Line<T> {
    /// A server as it is listed.
    #[serde(rename = "endpoint")]
    Endpoint(Endpoint),
    /// An entry of learned state.
    #[serde(rename = "known")]
    State(T),
}

/// Why bytes can't be read as a record.
#[derive(Debug, Error)]
pub enum DecodeError {
    /// The file can't be read.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It is larger than any record.
    #[error("{0} bytes, of {MAX_RECORD_BYTES} at most")]
    TooLarge(u64),
    /// It does not begin with a header.
    #[error("line 1: not the head of a snapshot: {0}")]
    InvalidHeader(serde_json::Error),
    /// Its format is of another version.
    #[error("line 1: version {0}, and this program reads {VERSION}")]
    UnsupportedVersion(u32),
    /// Its end is missing.
    #[error("line {0}: cut off before the last line")]
    Truncated(usize),
    /// It is not what was written.
    #[error("line {line}: the sum is {found}, and {expected} was written")]
    ChecksumMismatch {
        /// The last line.
        line: usize,
        /// The checksum of what is there.
        found: String,
        /// The checksum by the last line.
        expected: String,
    },
    /// Something stands behind the end.
    #[error("line {0}: more after the last line")]
    TrailingData(usize),
}

/// Writes a record line by line.
pub struct Encoder<W: Write> {
    output: W,
    checksum: XxHash3_64,
    lines: u64,
    buffer: Vec<u8>,
}

impl<W: Write> Encoder<W> {
    /// Begins a record with its header.
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

    /// Writes one more line.
    ///
    /// # Errors
    ///
    /// Returns an error if the line can't be written.
    pub fn write_line<T: Serialize>(&mut self, line: &Line<T>) -> io::Result<()> {
        self.lines += 1;
        self.write_json(line)
    }

    /// Writes the end. Returns the output, and how many lines were written between the header and the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the end can't be written.
    pub fn finish(mut self) -> io::Result<(W, u64)> {
        let end = format!("{END_MARK}{} {:016x}\n", self.lines, self.checksum.finish());
        self.output.write_all(end.as_bytes())?;
        self.output.flush()?;
        Ok((self.output, self.lines))
    }
}

/// A record that was read whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Record<T> {
    /// What it says of itself.
    pub header: Header,
    /// The endpoint list as it stood.
    pub list: EndpointList,
    /// The entries of learned state.
    pub entries: Vec<T>,
    /// Lines that this program can't read: another version of it may have written them.
    pub unknown_lines: usize,
}

/// Reads a record; the checksum is verified before anything of it is used.
///
/// # Errors
///
/// Returns an error if the bytes are not what was written, or not for this program.
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

/// Verifies the last line's checksum and count; returns all lines before it.
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
        let expected = expected.chars().take(MAX_NAMED_CHECKSUM_CHARS).collect();
        return Err(DecodeError::ChecksumMismatch { line: lines, found, expected });
    }
    if count.parse() != Ok(lines - 2) {
        return Err(DecodeError::TrailingData(lines));
    }
    Ok(content)
}

/// Reads a header: the version first, since a later one may say the rest otherwise.
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
