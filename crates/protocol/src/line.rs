//! Finds lines of the protocol in received bytes. A line has at most 4 KiB and ends with CRLF.

/// Maximum length of a line in bytes, without the CRLF.
pub const MAX_LINE_BYTES: usize = 4096;

/// The result of a search for a line at the start of a buffer.
#[derive(Debug, PartialEq, Eq)]
pub enum LineScan {
    /// The buffer starts with a complete line of this many bytes, including the CRLF.
    Complete(usize),
    /// The buffer contains only the beginning of a line, or nothing.
    Incomplete,
    /// The line is longer than [`MAX_LINE_BYTES`].
    TooLong,
}

/// Looks for a line at the start of `bytes`.
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
