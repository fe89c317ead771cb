//! First lines: what an `OPEN` asks for. Read strictly: servers turn away what they can't use, and an answer
//! from a balancer costs them nothing.

use shorewharf_units::Micros;
use std::fmt;

use crate::name_index::NameIndex;

/// The longest wait that a line may name, in milliseconds; connections from before the start name 4294967, for
/// all that fits 32 bits of microseconds.
const WAIT_MOST: f64 = u32::MAX as f64;
/// An hour is more than any client waits, and keeps sums of times far from their end.
const WAIT_USED: f64 = 3.6e6;
/// The greatest load that a line may guess.
const LOAD_MOST: f64 = 1e12;

/// A first line, read.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRequest {
    /// The id that the client gave this connection.
    pub id: u64,
    /// The flow's key; 0 for none.
    pub key: u64,
    /// Place of its class.
    pub class: usize,
    /// Place of its tenant; 0 where none is named.
    pub tenant: usize,
    /// The client or the group it belongs to; 0 for none.
    pub group: u64,
    /// Expected load in work a second.
    pub load: Option<f64>,
    /// It says that it comes again.
    pub is_returning: bool,
    /// How long it will wait, if it says so.
    pub timeout: Option<Micros>,
    /// The server that it stood on before the balancer started.
    pub previous_server: Option<String>,
}

/// A first line to be written, with its end.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenRequestLine<'a> {
    /// The connection's id.
    pub id: u64,
    /// The flow's key.
    pub key: u64,
    /// The class by name.
    pub class: &'a str,
    /// The tenant by name; none is written where empty.
    pub tenant: &'a str,
    /// How long the client will wait, in milliseconds.
    pub timeout_ms: u64,
    /// The group; 0 for none.
    pub group: u64,
    /// A guess at the load.
    pub load: Option<f64>,
    /// `r=1`: a retry, where clients mark them.
    pub is_retry: bool,
    /// `again=1`: the connection before was moved or broke.
    pub is_reconnect: bool,
    /// `at=`: the server where this connection stood before.
    pub previous_server: Option<&'a str>,
}

impl fmt::Display for OpenRequestLine<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "OPEN {:x} {:x} c={}", self.id, self.key, self.class)?;
        if !self.tenant.is_empty() {
            write!(f, ",t={}", self.tenant)?;
        }
        write!(f, ",d={}", self.timeout_ms)?;
        if self.group != 0 {
            write!(f, ",g={:x}", self.group)?;
        }
        self.load.map_or(Ok(()), |h| write!(f, ",h={h}"))?;
        f.write_str(if self.is_retry { ",r=1" } else { "" })?;
        f.write_str(if self.is_reconnect { ",again=1" } else { "" })?;
        self.previous_server.map_or(Ok(()), |at| write!(f, ",at={at}"))?;
        f.write_str("\r\n")
    }
}

/// A first line with what is left for this attempt as its `d`, and its end; all else is passed on unchanged.
pub fn with_timeout(line: &[u8], left: Micros) -> Vec<u8> {
    let (head, list) = line.split_at(line.iter().rposition(|b| *b == b' ').map_or(0, |at| at + 1));
    let ms = (left / 1000).max(1).to_string();
    let mut out = head.to_vec();
    for (i, item) in list.split(|b| *b == b',').enumerate() {
        if i > 0 {
            out.push(b',');
        }
        match item.strip_prefix(b"d=") {
            Some(_) => out.extend([b"d=", ms.as_bytes()].concat()),
            None => out.extend(item),
        }
    }
    out.extend(b"\r\n");
    out
}

/// Up to 16 hexadecimal digits and nothing else: the standard parser takes a sign too.
fn hex(text: &str) -> Option<u64> {
    let digits = text.len() <= 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// A plain decimal number of at most `most`: no sign, exponent, infinity or NaN.
fn number(text: &str, most: f64) -> Option<f64> {
    let plain = text.len() <= 24 && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse::<f64>().ok().filter(|n| plain && *n <= most)
}

/// Reads a first line; the error says what is wrong with it.
pub fn parse_open(line: &[u8], names: &NameIndex) -> Result<OpenRequest, &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "no text")?;
    if text.chars().any(char::is_control) {
        return Err("no text");
    }
    let mut words = text.split(' ');
    let (Some("OPEN"), Some(id), Some(key), Some(list), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err("not OPEN ID KEY LIST");
    };
    let mut open = OpenRequest {
        id: hex(id).ok_or("bad id")?,
        key: hex(key).ok_or("bad key")?,
        class: 0,
        tenant: 0,
        group: 0,
        load: None,
        is_returning: false,
        timeout: None,
        previous_server: None,
    };
    let (mut class, mut tenant, mut wait, mut group) = (None, None, None, None);
    let once = |twice: bool| if twice { Err("an item twice") } else { Ok(()) };
    for item in list.split(',') {
        let (name, value) = item.split_once('=').ok_or("an item without a value")?;
        match name {
            "c" => once(class.replace(*names.classes.get(value).ok_or("unknown class")?).is_some())?,
            "t" => once(tenant.replace(*names.tenants.get(value).ok_or("unknown tenant")?).is_some())?,
            "d" => once(wait.replace(number(value, WAIT_MOST).ok_or("bad d")?).is_some())?,
            "g" => once(group.replace(hex(value).ok_or("bad g")?).is_some())?,
            "h" => once(open.load.replace(number(value, LOAD_MOST).ok_or("bad h")?).is_some())?,
            "at" => once(open.previous_server.replace(value.to_owned()).is_some())?,
            "r" | "again" => open.is_returning |= value == "1",
            _ => {}
        }
    }
    open.class = class.ok_or("no class")?;
    (open.tenant, open.group) = (tenant.unwrap_or(0), group.unwrap_or(0));
    open.timeout = wait.map(|ms: f64| (ms.min(WAIT_USED) * 1e3) as Micros);
    Ok(open)
}

/// The class that a first line names, whatever else is wrong with it.
pub fn class_of(line: &[u8], names: &NameIndex) -> Option<usize> {
    let mut items = line.split(|b| b" ,".contains(b));
    let named = items.find_map(|item| item.strip_prefix(b"c="))?;
    names.classes.get(std::str::from_utf8(named).ok()?).copied()
}

#[cfg(test)]
mod tests;
