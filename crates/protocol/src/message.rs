//! The lines other than first lines: answers to clients, what servers say, and probes.

use shorewharf_units::Micros;
use std::fmt;

/// A line, read.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Message<'a> {
    /// `UP RECEIPT`: served; the receipt is empty where there is none.
    Accepted(&'a [u8]),
    /// `BUSY` or `BUSY MS`: turned away; come again after so many milliseconds if any are named.
    Rejected(Option<u64>),
    /// `ERR`: failed.
    Failed,
    /// `MOVE`: the connection ends politely; come again.
    Migrate,
    /// `BYE`: served to its end.
    Completed,
    /// `LOAD X`: a figure of a standing connection; none where X is no number above 0.
    LoadReport(Option<f64>),
    /// `PING`: a shallow probe.
    Ping,
    /// `PONG`: its answer.
    Pong,
    /// `STATS`: a probe that wants the load report.
    Stats,
    /// `NO`: probes are not answered here.
    ProbesUnsupported,
    /// `SYNTAX`: a first line in a form that no client sent.
    Malformed,
    /// Anything else: a message.
    Payload(&'a [u8]),
}

/// The figure of a `LOAD` line; none if it is no number above 0.
fn figure(text: &[u8]) -> Option<f64> {
    let figure = std::str::from_utf8(text).ok()?.trim().parse::<f64>().ok()?;
    (figure.is_finite() && figure > 0.0).then_some(figure)
}

/// Reads a line without its end.
pub fn parse_message(line: &[u8]) -> Message<'_> {
    match line {
        b"UP" => Message::Accepted(b""),
        b"BUSY" => Message::Rejected(None),
        b"ERR" => Message::Failed,
        b"MOVE" => Message::Migrate,
        b"BYE" => Message::Completed,
        b"PING" => Message::Ping,
        b"PONG" => Message::Pong,
        b"STATS" => Message::Stats,
        b"NO" => Message::ProbesUnsupported,
        b"SYNTAX" => Message::Malformed,
        _ => match line {
            [b'U', b'P', b' ', receipt @ ..] => Message::Accepted(receipt),
            [b'B', b'U', b'S', b'Y', b' ', ms @ ..] => {
                Message::Rejected(std::str::from_utf8(ms).ok().and_then(|t| t.parse().ok()))
            }
            [b'L', b'O', b'A', b'D', b' ', x @ ..] => Message::LoadReport(figure(x)),
            _ => Message::Payload(line),
        },
    }
}

/// Writes the line with its end.
impl fmt::Display for Message<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Message::Accepted(b"") => f.write_str("UP"),
            Message::Accepted(receipt) => write!(f, "UP {}", String::from_utf8_lossy(receipt)),
            Message::Rejected(None) => f.write_str("BUSY"),
            Message::Rejected(Some(ms)) => write!(f, "BUSY {ms}"),
            Message::Failed => f.write_str("ERR"),
            Message::Migrate => f.write_str("MOVE"),
            Message::Completed => f.write_str("BYE"),
            Message::LoadReport(x) => write!(f, "LOAD {}", x.unwrap_or(0.0)),
            Message::Ping => f.write_str("PING"),
            Message::Pong => f.write_str("PONG"),
            Message::Stats => f.write_str("STATS"),
            Message::ProbesUnsupported => f.write_str("NO"),
            Message::Malformed => f.write_str("SYNTAX"),
            Message::Payload(text) => f.write_str(&String::from_utf8_lossy(text)),
        }?;
        f.write_str("\r\n")
    }
}

/// A refusal with a wait, rounded up to whole milliseconds; without one for 0.
pub fn busy(after: Micros) -> Message<'static> {
    Message::Rejected(Some(after.div_ceil(1000)).filter(|ms| *ms > 0))
}

#[cfg(test)]
mod tests;
