//! Parses endpoint lists incrementally, as they are received. A list is a JSON object on a line of its own; the input may be
//! split anywhere. Only the text of one entry is buffered at a time, so a list of megabytes takes no more memory than its
//! parsed entries.
//!
//! The reader finds where each entry begins and ends. `serde_json` parses each entry, and at the end of the list the object
//! without its entries. The streaming interfaces of `serde_json` don't fit: `StreamDeserializer` needs complete top-level
//! values, and a visitor of the entries pulls its input, which would need a thread that may block.

use serde::Deserialize;
use shorewharf_protocol::endpoint_list::Endpoint;
use thiserror::Error;

/// The maximum length of the text of one entry, and of a list without its entries.
const MAX_TEXT_BYTES: usize = 64 << 10;

/// The reason why text is not a valid endpoint list.
#[derive(Debug, Error)]
pub enum ListError {
    /// An entry, or the list without its entries, is too long.
    #[error(
        "endpoint list: an entry, or the list without its entries, is longer than {MAX_TEXT_BYTES} bytes"
    )]
    TooLong,
    /// A line ends within a list.
    #[error("endpoint list: found the end of a line before the end of the list")]
    UnexpectedLineEnd,
    /// The array of entries contains something other than objects separated by commas.
    #[error("endpoint list: expected an object in the array `endpoints`")]
    EntryExpected,
    /// The text does not begin with an object.
    #[error("endpoint list: expected a JSON object")]
    NotAnObject,
    /// An entry, or the list without its entries, is malformed.
    #[error("endpoint list: {0}")]
    Malformed(#[from] serde_json::Error),
}

/// A parsed part of an endpoint list.
#[derive(Debug, PartialEq)]
pub enum ListPart {
    /// An entry of the current list.
    Entry(Box<Endpoint>),
    /// The end of the current list, all entries of which have been reported.
    End {
        /// The version of the list.
        index: u64,
        /// Whether the list is complete. Otherwise it contains only changes.
        snapshot: bool,
    },
}

/// The fields of a list other than its entries.
#[derive(Deserialize)]
struct Envelope {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    snapshot: bool,
    /// Always empty, since the reader has removed the entries. Declared so that a value of another type or a duplicate key is
    /// an error.
    #[serde(default)]
    #[allow(dead_code)]
    endpoints: [(); 0],
}

/// The reader's position in relation to the array of entries.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Position {
    /// Outside the array.
    Outside,
    /// After the array's opening bracket.
    ArrayStart,
    /// After a comma between entries.
    AfterComma,
    /// After an entry.
    AfterEntry,
    /// Within an entry.
    InEntry,
}

/// An incremental parser of endpoint lists.
#[derive(Debug)]
pub struct ListReader {
    position: Position,
    /// The number of open brackets and braces.
    depth: u32,
    in_string: bool,
    /// The last byte was a backslash in a string, which escapes the next byte.
    is_escaped: bool,
    /// The text of the current list without its entries.
    envelope: Vec<u8>,
    /// The text of the current entry.
    entry: Vec<u8>,
}

impl Default for ListReader {
    fn default() -> Self {
        ListReader::new()
    }
}

impl ListReader {
    /// Creates a reader that expects the beginning of a list.
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

    /// Parses the next bytes of the input. Calls `on_part` for each part that is complete.
    ///
    /// # Errors
    /// Returns an error if the text is not an endpoint list.
    pub fn read(&mut self, mut bytes: &[u8], on_part: &mut impl FnMut(ListPart)) -> Result<(), ListError> {
        while let Some(byte) = bytes.first().copied() {
            if self.in_string && !self.is_escaped {
                // Most of a list consists of strings, so their plain parts are copied in bulk.
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
        if !self.update_position(byte)? {
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
            (Position::Outside, 2) if byte == b'[' && self.is_after_entries_key() => {
                self.position = Position::ArrayStart;
            }
            _ => {}
        }
        Ok(())
    }

    /// Updates the position for a byte outside strings. Returns false if the byte is to be dropped, such as a blank.
    fn update_position(&mut self, byte: u8) -> Result<bool, ListError> {
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

    /// Whether the bracket that was just read opens the array of entries. Its key directly precedes it, since blanks are
    /// dropped. A string that merely contains the same text can't match, since its quotes are escaped by backslashes.
    fn is_after_entries_key(&self) -> bool {
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
