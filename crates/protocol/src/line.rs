//! Lines: at most 4 KiB, ended by CRLF.

/// The longest line, without its end.
pub const MAX_LINE: usize = 4096;

/// What stands at the front of some bytes.
#[derive(Debug, PartialEq, Eq)]
pub enum LineScan {
    /// A whole line, which takes so many bytes with its end.
    Complete(usize),
    /// The beginning of a line, or nothing.
    Incomplete,
    /// More than a line may be, with no end in sight.
    TooLong,
}

/// Looks for a line at the front of `bytes`.
pub fn scan_line(bytes: &[u8]) -> LineScan {
    let ends = memchr::memchr_iter(b'\n', bytes);
    match ends.filter(|at| *at > 0 && bytes[at - 1] == b'\r').map(|at| at - 1).next() {
        Some(at) if at <= MAX_LINE => LineScan::Complete(at + 2),
        None if bytes.len() <= MAX_LINE + 1 => LineScan::Incomplete,
        _ => LineScan::TooLong,
    }
}

#[cfg(test)]
mod tests;
