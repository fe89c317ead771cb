//! Parses endpoint lists as they are received: JSON objects, one a line, in pieces of any size. Only one server's entry is held
//! as text at a time, so a list of megabytes takes no more memory than what is kept of it.
//!
//! The text is cut where an entry begins and ends; `serde_json` parses each entry, and at the end the object without them.
//! Its stream deserializer wants complete values, and a visitor of the entries pulls its input: it would need a thread that
//! may block.

use serde::Deserialize;
use shorewharf_protocol::endpoint_list::Endpoint;
use thiserror::Error;

/// The longest text of one entry, and of an object without its entries.
const MAX_TEXT_BYTES: usize = 64 << 10;

/// Text that is not an endpoint list.
#[derive(Debug, Error)]
pub enum ListError {
    /// An entry, or the object without its entries, is too long.
    #[error("an entry over the limit")]
    TooLong,
    /// A line ends within a list.
    #[error("bad list: a line ends within it")]
    UnexpectedLineEnd,
    /// There is something else than an entry between the brackets.
    #[error("bad list: an entry is expected")]
    EntryExpected,
    /// The text does not begin with an object.
    #[error("bad list: no object")]
    NotAnObject,
    /// An entry, or the object without its entries, is malformed.
    #[error("bad list: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A part of a list that has been parsed.
#[derive(Debug, PartialEq)]
pub enum ListPart {
    /// An entry of the list that is being read.
    Entry(Box<Endpoint>),
    /// The end of that list: its entries are complete.
    End {
        /// Version of the list.
        index: u64,
        /// The list is complete rather than a set of changes.
        snapshot: bool,
    },
}

/// A list without its entries.
#[derive(Deserialize)]
struct Envelope {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    snapshot: bool,
    /// Empty, since the entries have been cut out.
    #[serde(default)]
    #[allow(dead_code)]
    endpoints: [(); 0],
}

/// Where the reader is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Position {
    /// Outside the array of entries.
    Outside,
    /// Behind the array's opening bracket.
    ArrayStart,
    /// Behind a comma between entries.
    AfterComma,
    /// Behind an entry.
    AfterEntry,
    /// Within an entry.
    InEntry,
}

/// Parses lists piece by piece.
#[derive(Debug)]
pub struct ListReader {
    position: Position,
    /// Open brackets and braces.
    depth: u32,
    in_string: bool,
    /// The last byte was a backslash that escapes the next one.
    is_escaped: bool,
    envelope: Vec<u8>,
    entry: Vec<u8>,
}

impl Default for ListReader {
    fn default() -> Self {
        ListReader::new()
    }
}

impl ListReader {
    /// A reader at the beginning of a list.
    pub fn new() -> Self {
        ListReader {
            position: Position::Outside,
            depth: 0,
            in_string: false,
            is_escaped: false,
            envelope: Vec::new(),
            entry: Vec::new(),
        }
    }

    /// Reads a piece of text. Parts that are complete go to `on_part`.
    ///
    /// # Errors
    /// The text is not a list.
    pub fn read(&mut self, mut bytes: &[u8], on_part: &mut impl FnMut(ListPart)) -> Result<(), ListError> {
        while let Some(byte) = bytes.first().copied() {
            if self.in_string && !self.is_escaped {
                // Most of a list is names and addresses: they are copied at once.
                let special = bytes.iter().position(|byte| matches!(byte, b'"' | b'\\' | b'\n'));
                let (plain, rest) = bytes.split_at(special.unwrap_or(bytes.len()));
                self.append(plain)?;
                bytes = rest;
                if !plain.is_empty() {
                    continue;
                }
            }
            self.read_byte(byte, on_part)?;
            bytes = &bytes[1..];
        }
        Ok(())
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), ListError> {
        let text = if self.position == Position::InEntry { &mut self.entry } else { &mut self.envelope };
        if text.len() + bytes.len() > MAX_TEXT_BYTES {
            return Err(ListError::TooLong);
        }
        text.extend_from_slice(bytes);
        Ok(())
    }

    fn read_byte(&mut self, byte: u8, on_part: &mut impl FnMut(ListPart)) -> Result<(), ListError> {
        if byte == b'\n' {
            return if self.depth == 0 { Ok(()) } else { Err(ListError::UnexpectedLineEnd) };
        }
        if self.in_string {
            let was_escaped = std::mem::take(&mut self.is_escaped);
            self.is_escaped = byte == b'\\' && !was_escaped;
            self.in_string = byte != b'"' || was_escaped;
            return self.append(&[byte]);
        }
        if !self.enter(byte)? {
            return Ok(());
        }
        self.in_string = byte == b'"';
        self.append(&[byte])?;
        match byte {
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        match (self.position, self.depth) {
            (Position::InEntry, 2) => self.finish_entry(on_part)?,
            (Position::Outside, 0) => self.finish_list(on_part)?,
            (Position::Outside, 2) if byte == b'[' && self.is_behind_entries_key() => {
                self.position = Position::ArrayStart;
            }
            _ => {}
        }
        Ok(())
    }

    /// Moves on to where a byte outside strings stands; returns false if the byte itself is to be dropped.
    fn enter(&mut self, byte: u8) -> Result<bool, ListError> {
        match (self.position, byte) {
            (_, b' ' | b'\t' | b'\r') => return Ok(false),
            (Position::AfterEntry, b',') => {
                self.position = Position::AfterComma;
                return Ok(false);
            }
            (Position::ArrayStart | Position::AfterComma, b'{') => self.position = Position::InEntry,
            (Position::ArrayStart | Position::AfterEntry, b']') => self.position = Position::Outside,
            (Position::ArrayStart | Position::AfterComma | Position::AfterEntry, _) => {
                return Err(ListError::EntryExpected);
            }
            (Position::Outside, _) if self.depth == 0 && byte != b'{' => return Err(ListError::NotAnObject),
            _ => {}
        }
        Ok(true)
    }

    /// Whether the bracket just read opens the array of entries. Its key stands before it without blanks between; a quote
    /// within a name has a backslash before it.
    fn is_behind_entries_key(&self) -> bool {
        self.envelope.ends_with(b"{\"endpoints\":[") || self.envelope.ends_with(b",\"endpoints\":[")
    }

    fn finish_entry(&mut self, on_part: &mut impl FnMut(ListPart)) -> Result<(), ListError> {
        on_part(ListPart::Entry(serde_json::from_slice(&self.entry)?));
        self.entry.clear();
        self.position = Position::AfterEntry;
        Ok(())
    }

    fn finish_list(&mut self, on_part: &mut impl FnMut(ListPart)) -> Result<(), ListError> {
        let envelope: Envelope = serde_json::from_slice(&self.envelope)?;
        on_part(ListPart::End { index: envelope.index, snapshot: envelope.snapshot });
        self.envelope.clear();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
