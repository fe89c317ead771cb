//! Messages: all lines of a connection except the first. They are replies to clients, load reports, probes,
//! and the data that clients and servers exchange.

use std::fmt;

use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};

/// A message. The documentation of each variant gives its form on the wire.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Message<'a> {
    /// `UP` or `UP RECEIPT`: the server has accepted the connection. The receipt may be empty.
    Accepted(&'a [u8]),
    /// `BUSY` or `BUSY MS`: the request is rejected. The number, if any, is the retry-after in milliseconds.
    Rejected(Option<u64>),
    /// `ERR`: the request has failed.
    Failed,
    /// `MOVE`: the client must reconnect; this connection is closed.
    Migrate,
    /// `BYE`: the connection has been served completely.
    Completed,
    /// `LOAD X`: the load of an established connection; `None` if X is not a finite number greater than 0.
    LoadReport(Option<f64>),
    /// `PING`: a probe to which the server only has to reply.
    Ping,
    /// `PONG`: the reply to `PING`.
    Pong,
    /// `STATS`: a probe that requests a load report.
    Stats,
    /// `NO`: this server does not answer probes.
    ProbesUnsupported,
    /// `SYNTAX`: the server could not parse the first line of the connection.
    Malformed,
    /// Any other line, which is passed on unchanged.
    Payload(&'a [u8]),
}

/// Parses the number of a `LOAD` line; `None` if it is not a finite number greater than 0.
fn parse_load(text: &[u8]) -> Option<f64> {
    let load = std::str::from_utf8(text).ok()?.trim().parse::<f64>().ok()?;
    (load.is_finite() && load > 0.0).then_some(load)
}

/// Parses a line, without its CRLF.
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
                Message::Rejected(std::str::from_utf8(ms).ok().and_then(|ms| ms.parse().ok()))
            }
            [b'L', b'O', b'A', b'D', b' ', load @ ..] => Message::LoadReport(parse_load(load)),
            _ => Message::Payload(line),
        },
    }
}

/// Formats the message as a line, including the CRLF.
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
            Message::LoadReport(load) => write!(f, "LOAD {}", load.unwrap_or(0.0)),
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

/// Creates a rejection with this retry-after, rounded up to whole milliseconds, or without one if it is 0.
pub fn rejected(retry_after: Micros) -> Message<'static> {
    Message::Rejected(Some(retry_after.div_ceil(MICROS_PER_MILLISECOND)).filter(|ms| *ms > 0))
}

#[cfg(test)]
mod tests;
