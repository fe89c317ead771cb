//! Lists as they come: JSON objects, one a line, read in pieces of any size. Only one server's entry is held as text
//! at a time, so that a list of megabytes takes no more memory than what is kept of it.
//!
//! The text is cut where an entry begins and ends, and `serde_json` reads each, and at the end the object without
//! them. Its own stream reader wants whole values, and its reader of a list's entries one by one pulls: it would need
//! a thread that may wait.

use serde::Deserialize;
use shorewharf_protocol::endpoint_list::Endpoint;

/// The longest text of one entry, and of an object without its entries. What is longer is no list.
const MOST: usize = 64 << 10;

/// What has been read.
#[derive(Debug, PartialEq)]
pub enum Part {
    /// A server's entry of the list that is being read.
    Entry(Box<Endpoint>),
    /// That list has ended: all its entries count from now on.
    End {
        /// Its version.
        index: u64,
        /// It is whole rather than changes.
        snapshot: bool,
    },
}

/// An object without its entries.
#[derive(Deserialize)]
struct Rest {
    #[serde(default)]
    index: u64,
    #[serde(default)]
    snapshot: bool,
    /// They were cut out.
    #[serde(default)]
    #[allow(dead_code)]
    endpoints: [(); 0],
}

/// Where in the list of entries it is.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Place {
    Outside,
    /// Behind its beginning.
    First,
    /// Behind a comma.
    Next,
    /// Behind an entry.
    Behind,
    /// In an entry.
    Within,
}

/// The reader: pieces of text in, parts of lists out.
#[derive(Debug)]
pub struct Reader {
    place: Place,
    /// Brackets and braces that are open.
    depth: u32,
    in_string: bool,
    /// The byte behind a backslash is next.
    escaped: bool,
    rest: Vec<u8>,
    entry: Vec<u8>,
}

impl Default for Reader {
    fn default() -> Self {
        Reader::new()
    }
}

impl Reader {
    /// A reader to which nothing has come.
    pub fn new() -> Self {
        let (rest, entry) = (Vec::new(), Vec::new());
        Reader { place: Place::Outside, depth: 0, in_string: false, escaped: false, rest, entry }
    }

    /// Reads on; the error says what is wrong with the list.
    pub fn read(&mut self, mut bytes: &[u8], part: &mut impl FnMut(Part)) -> Result<(), String> {
        while let Some(byte) = bytes.first().copied() {
            if self.in_string && !self.escaped {
                // Most of a list is names and addresses: they are passed over at once.
                let plain =
                    bytes.iter().position(|b| matches!(b, b'"' | b'\\' | b'\n')).unwrap_or(bytes.len());
                self.keep(&bytes[..plain])?;
                bytes = &bytes[plain..];
                if plain > 0 {
                    continue;
                }
            }
            self.byte(byte, part)?;
            bytes = &bytes[1..];
        }
        Ok(())
    }

    fn keep(&mut self, bytes: &[u8]) -> Result<(), String> {
        let text = if self.place == Place::Within { &mut self.entry } else { &mut self.rest };
        if text.len() + bytes.len() > MOST {
            return Err("an entry over the limit".into());
        }
        text.extend_from_slice(bytes);
        Ok(())
    }

    fn byte(&mut self, byte: u8, part: &mut impl FnMut(Part)) -> Result<(), String> {
        if byte == b'\n' {
            return if self.depth == 0 { Ok(()) } else { Err("bad list: a line ends within it".into()) };
        }
        if self.in_string {
            let escaped = std::mem::take(&mut self.escaped);
            self.escaped = byte == b'\\' && !escaped;
            self.in_string = byte != b'"' || escaped;
            return self.keep(&[byte]);
        }
        match (self.place, byte) {
            (_, b' ' | b'\t' | b'\r') => return Ok(()),
            (Place::Behind, b',') => {
                self.place = Place::Next;
                return Ok(());
            }
            (Place::First | Place::Next, b'{') => self.place = Place::Within,
            (Place::First | Place::Behind, b']') => self.place = Place::Outside,
            (Place::First | Place::Next | Place::Behind, _) => {
                return Err("bad list: an entry is expected".into());
            }
            (Place::Outside, _) if self.depth == 0 && byte != b'{' => {
                return Err("bad list: no object".into());
            }
            _ => {}
        }
        self.in_string = byte == b'"';
        self.keep(&[byte])?;
        match byte {
            b'{' | b'[' => self.depth += 1,
            b'}' | b']' => self.depth = self.depth.saturating_sub(1),
            _ => {}
        }
        if self.place == Place::Within && self.depth == 2 {
            let entry = serde_json::from_slice(&self.entry).map_err(|e| format!("bad list: {e}"))?;
            part(Part::Entry(entry));
            self.entry.clear();
            self.place = Place::Behind;
        } else if self.place == Place::Outside && self.depth == 0 {
            let rest: Rest = serde_json::from_slice(&self.rest).map_err(|e| format!("bad list: {e}"))?;
            part(Part::End { index: rest.index, snapshot: rest.snapshot });
            self.rest.clear();
        } else if self.place == Place::Outside && self.depth == 2 && byte == b'[' {
            // The key stands before it, without the blanks between; a quote within a name has a backslash before it.
            let key = |k: &[u8]| self.rest.ends_with(k);
            if key(b"{\"endpoints\":[") || key(b",\"endpoints\":[") {
                self.place = Place::First;
            }
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
