//! A record as bytes. It is written in one go from its head to its sum, and read whole or not at all: what has been cut
//! or changed anywhere is refused, and the error names the line.

use std::hash::Hasher;
use std::io::{self, Write};

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use shorewharf_protocol::endpoint_list::{Endpoint, EndpointList};
use thiserror::Error;
use twox_hash::XxHash3_64;

/// The version of this form. A record of another one is left aside.
pub const VERSION: u32 = 1;
/// A record is no larger: what is comes from no balancer.
pub const LARGEST: u64 = 256 << 20;

/// What a record says of itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Head {
    /// The version of its form.
    pub snapshot: u32,
    /// The balancer's name.
    pub balancer: String,
    /// The worker that knows it, from 0.
    pub worker: usize,
    /// Workers of that process: with another number, each has another part of the fleet's work.
    pub workers: usize,
    /// When it was begun, in microseconds of Unix time.
    pub taken: u64,
    /// The version of the list that its servers are of.
    pub index: u64,
}

/// A line between the head and the end.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Line<T> {
    /// A server as it is listed.
    Endpoint(Endpoint),
    /// Something that is known.
    Known(T),
}

/// What can't be read says why here.
#[derive(Debug, Error)]
pub enum Unreadable {
    /// It can't be had from the disk.
    #[error("{0}")]
    Io(#[from] io::Error),
    /// It is larger than any record.
    #[error("{0} bytes, of {LARGEST} at most")]
    TooLarge(u64),
    /// It does not begin as a record does.
    #[error("line 1: not the head of a snapshot: {0}")]
    Head(String),
    /// Its form is of another version.
    #[error("line 1: version {0}, and this program reads {VERSION}")]
    Version(u32),
    /// Its end is missing.
    #[error("line {0}: cut off before the last line")]
    Cut(usize),
    /// It is not what was written.
    #[error("line {line}: the sum is {found}, and {wanted} was written")]
    Sum {
        /// The last line.
        line: usize,
        /// Over what is there.
        found: String,
        /// By the last line.
        wanted: String,
    },
    /// Something stands behind the end.
    #[error("line {0}: more after the last line")]
    More(usize),
}

/// What the last line begins with; no other one does, since they are JSON objects.
const END: &str = "end ";

/// Writes a record as it comes.
pub struct Encoder<W: Write> {
    to: W,
    sum: XxHash3_64,
    lines: u64,
    line: Vec<u8>,
}

impl<W: Write> Encoder<W> {
    /// Begins with the head.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn begin(to: W, head: &Head) -> io::Result<Self> {
        let mut encoder = Encoder { to, sum: XxHash3_64::new(), lines: 0, line: Vec::new() };
        encoder.put(head)?;
        Ok(encoder)
    }

    fn put(&mut self, thing: &impl Serialize) -> io::Result<()> {
        self.line.clear();
        serde_json::to_writer(&mut self.line, thing)?;
        self.line.push(b'\n');
        self.sum.write(&self.line);
        self.to.write_all(&self.line)
    }

    /// Writes one more line.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn line<T: Serialize>(&mut self, line: &Line<T>) -> io::Result<()> {
        self.lines += 1;
        self.put(line)
    }

    /// Writes the end; what was written to is given back, and how many lines there are.
    ///
    /// # Errors
    /// Where it can't be written.
    pub fn end(mut self) -> io::Result<(W, u64)> {
        let last = format!("{END}{} {:016x}\n", self.lines, self.sum.finish());
        self.to.write_all(last.as_bytes())?;
        self.to.flush()?;
        Ok((self.to, self.lines))
    }
}

/// A record that was read whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Record<T> {
    /// What it says of itself.
    pub head: Head,
    /// The list as it stood.
    pub list: EndpointList,
    /// All that is known.
    pub known: Vec<T>,
    /// Lines that this program has no word for: another version of it may have written them.
    pub unknown: usize,
}

/// Reads a record; the sum is looked at before anything of it is believed.
///
/// # Errors
/// Where it is not what was written, or not for this program.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<Record<T>, Unreadable> {
    let lines = bytes.iter().filter(|b| **b == b'\n').count();
    let body = bytes.strip_suffix(b"\n").ok_or(Unreadable::Cut(lines + 1))?;
    let from = body.iter().rposition(|b| *b == b'\n').ok_or(Unreadable::Cut(lines))? + 1;
    let (whole, last) = (&bytes[..from], &body[from..]);
    let last = std::str::from_utf8(last).ok().and_then(|last| last.strip_prefix(END));
    let (count, wanted) = last.and_then(|last| last.split_once(' ')).ok_or(Unreadable::Cut(lines))?;
    let mut sum = XxHash3_64::new();
    sum.write(whole);
    let found = format!("{:016x}", sum.finish());
    if found != wanted {
        let wanted = wanted.chars().take(20).collect();
        return Err(Unreadable::Sum { line: lines, found, wanted });
    }
    if count.parse() != Ok(lines - 2) {
        return Err(Unreadable::More(lines));
    }
    let mut lines = whole.split(|b| *b == b'\n');
    let head = head(lines.next().unwrap_or_default())?;
    let (mut known, mut unknown) = (Vec::new(), 0);
    let mut list = EndpointList { index: head.index, snapshot: true, endpoints: Vec::new() };
    for line in lines.filter(|line| !line.is_empty()) {
        match serde_json::from_slice(line) {
            Ok(Line::Endpoint(endpoint)) => list.endpoints.push(endpoint),
            Ok(Line::Known(thing)) => known.push(thing),
            Err(_) => unknown += 1,
        }
    }
    Ok(Record { head, list, known, unknown })
}

/// Reads a head: the version first, since a later one may say the rest otherwise.
fn head(line: &[u8]) -> Result<Head, Unreadable> {
    #[derive(Deserialize)]
    struct Version {
        snapshot: u32,
    }
    let bad = |e: serde_json::Error| Unreadable::Head(e.to_string());
    let Version { snapshot } = serde_json::from_slice(line).map_err(bad)?;
    if snapshot != VERSION {
        return Err(Unreadable::Version(snapshot));
    }
    serde_json::from_slice(line).map_err(bad)
}
