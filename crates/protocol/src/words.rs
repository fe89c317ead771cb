//! The lines other than first lines: answers to clients, what servers say, and probes.

use shorewharf_units::Micros;
use std::fmt;

/// A line, read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Word<'a> {
    /// `UP RECEIPT`: served; the receipt is empty where there is none.
    Up(&'a [u8]),
    /// `BUSY` or `BUSY MS`: turned away; come again after so many milliseconds if any are named.
    Busy(Option<u64>),
    /// `ERR`: failed.
    Err,
    /// `MOVE`: the connection ends politely; come again.
    Move,
    /// `BYE`: served to its end.
    Bye,
    /// `LOAD X`: a figure of a standing connection; none where X is no number above 0.
    Load(Option<f64>),
    /// `PING`: a shallow probe.
    Ping,
    /// `PONG`: its answer.
    Pong,
    /// `STATS`: a probe that wants the load report.
    Stats,
    /// `NO`: probes are not answered here.
    No,
    /// `SYNTAX`: a first line in a form that no client sent.
    Syntax,
    /// Anything else: a message.
    Other(&'a [u8]),
}

/// The figure of a `LOAD` line; none if it is no number above 0.
fn figure(text: &[u8]) -> Option<f64> {
    let figure = std::str::from_utf8(text).ok()?.trim().parse::<f64>().ok()?;
    (figure.is_finite() && figure > 0.0).then_some(figure)
}

/// Reads a line without its end.
pub fn word(line: &[u8]) -> Word<'_> {
    match line {
        b"UP" => Word::Up(b""),
        b"BUSY" => Word::Busy(None),
        b"ERR" => Word::Err,
        b"MOVE" => Word::Move,
        b"BYE" => Word::Bye,
        b"PING" => Word::Ping,
        b"PONG" => Word::Pong,
        b"STATS" => Word::Stats,
        b"NO" => Word::No,
        b"SYNTAX" => Word::Syntax,
        _ => match line {
            [b'U', b'P', b' ', receipt @ ..] => Word::Up(receipt),
            [b'B', b'U', b'S', b'Y', b' ', ms @ ..] => {
                Word::Busy(std::str::from_utf8(ms).ok().and_then(|t| t.parse().ok()))
            }
            [b'L', b'O', b'A', b'D', b' ', x @ ..] => Word::Load(figure(x)),
            _ => Word::Other(line),
        },
    }
}

/// Writes the line with its end.
impl fmt::Display for Word<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Word::Up(b"") => f.write_str("UP"),
            Word::Up(receipt) => write!(f, "UP {}", String::from_utf8_lossy(receipt)),
            Word::Busy(None) => f.write_str("BUSY"),
            Word::Busy(Some(ms)) => write!(f, "BUSY {ms}"),
            Word::Err => f.write_str("ERR"),
            Word::Move => f.write_str("MOVE"),
            Word::Bye => f.write_str("BYE"),
            Word::Load(x) => write!(f, "LOAD {}", x.unwrap_or(0.0)),
            Word::Ping => f.write_str("PING"),
            Word::Pong => f.write_str("PONG"),
            Word::Stats => f.write_str("STATS"),
            Word::No => f.write_str("NO"),
            Word::Syntax => f.write_str("SYNTAX"),
            Word::Other(text) => f.write_str(&String::from_utf8_lossy(text)),
        }?;
        f.write_str("\r\n")
    }
}

/// A refusal with a wait, rounded up to whole milliseconds; without one for 0.
pub fn busy(after: Micros) -> Word<'static> {
    Word::Busy(Some(after.div_ceil(1000)).filter(|ms| *ms > 0))
}

#[cfg(test)]
mod tests;
