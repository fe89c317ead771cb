//! Lines of the protocol: at most 4 KiB, ended by CRLF.

/// The longest line in bytes, without its end.
pub const MAX_LINE_BYTES: usize = 4096;

/// The result of looking for a line at the front of some bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum LineScan {
    /// A complete line of so many bytes, including its end.
    Complete(usize),
    /// The beginning of a line, which may be empty.
    Incomplete,
    /// More bytes than a line may have, without an end.
    TooLong,
}

/// Looks for a line at the front of `bytes`.
pub fn scan_line(bytes: &[u8]) -> LineScan {
    let mut line_feeds = memchr::memchr_iter(b'\n', bytes);
    let line_feed = line_feeds.find(|at| *at > 0 && bytes[at - 1] == b'\r');
    match line_feed {
        Some(at) if at - 1 <= MAX_LINE_BYTES => LineScan::Complete(at + 1),
        None if bytes.len() <= MAX_LINE_BYTES + 1 => LineScan::Incomplete,
        _ => LineScan::TooLong,
    }
}

#[cfg(test)]
mod tests;
