//! The first line of a connection, `OPEN`. Parsing is strict: servers reject what they can't use, and a reply from a balancer
//! costs them nothing.

use std::fmt;

use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};
use thiserror::Error;

use crate::name_index::NameIndex;

/// The longest timeout that a line may name, in milliseconds. Connections from before the start name the greatest time that
/// fits 32 bits of microseconds.
const MAX_TIMEOUT_MS: f64 = u32::MAX as f64;
/// Timeouts are cut to this many milliseconds, an hour, so that sums of times stay far from the end of the clock.
const USED_TIMEOUT_MS: f64 = 3.6e6;
/// The greatest load that a line may estimate.
const MAX_LOAD: f64 = 1e12;
/// Digits that a number may have.
const MAX_NUMBER_LENGTH: usize = 24;
/// Hexadecimal digits of 64 bits.
const MAX_HEX_LENGTH: usize = 16;

/// A first line that can't be used.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OpenError {
    /// The line is not UTF-8, or has control characters.
    #[error("no text")]
    NotText,
    /// The line does not have four words, or does not begin with `OPEN`.
    #[error("not OPEN ID KEY LIST")]
    NotOpen,
    /// The id is not a hexadecimal number.
    #[error("bad id")]
    InvalidId,
    /// The key is not a hexadecimal number.
    #[error("bad key")]
    InvalidKey,
    /// An item of the list has no `=`.
    #[error("an item without a value")]
    MissingValue,
    /// An item stands in the list twice.
    #[error("an item twice")]
    DuplicateItem,
    /// The list has no class.
    #[error("no class")]
    MissingClass,
    /// The class is not configured.
    #[error("unknown class")]
    UnknownClass,
    /// The tenant is not configured.
    #[error("unknown tenant")]
    UnknownTenant,
    /// `d` is not a timeout in milliseconds.
    #[error("bad d")]
    InvalidTimeout,
    /// `g` is not a hexadecimal number.
    #[error("bad g")]
    InvalidGroup,
    /// `h` is not a load.
    #[error("bad h")]
    InvalidLoad,
}

/// A parsed first line.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRequest {
    /// The id that the client has given the connection.
    pub id: u64,
    /// Its flow key; 0 for none.
    pub key: u64,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; 0 if none is named.
    pub tenant: usize,
    /// The client, or the group that it belongs to; 0 for none.
    pub group: u64,
    /// Estimated load in work per second.
    pub load: Option<f64>,
    /// It is a retry or a reconnect.
    pub is_returning: bool,
    /// How long the client will wait, if the line says so.
    pub timeout: Option<Micros>,
    /// The server that had this connection before the balancer was started.
    pub previous_server: Option<String>,
}

/// A first line to be written. Its `Display` includes the end of the line.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenRequestLine<'a> {
    /// Id of the connection.
    pub id: u64,
    /// The flow key.
    pub key: u64,
    /// Name of the class.
    pub class: &'a str,
    /// Name of the tenant; not written if empty.
    pub tenant: &'a str,
    /// How long the client will wait, in milliseconds.
    pub timeout_ms: u64,
    /// The group; not written if 0.
    pub group: u64,
    /// Estimated load.
    pub load: Option<f64>,
    /// `r=1`: a retry.
    pub is_retry: bool,
    /// `again=1`: the connection before was migrated or broke.
    pub is_reconnect: bool,
    /// `at=`: the server that had this connection before.
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
        if let Some(load) = self.load {
            write!(f, ",h={load}")?;
        }
        if self.is_retry {
            f.write_str(",r=1")?;
        }
        if self.is_reconnect {
            f.write_str(",again=1")?;
        }
        if let Some(server) = self.previous_server {
            write!(f, ",at={server}")?;
        }
        f.write_str("\r\n")
    }
}

/// Copies a first line with the time that is left to this attempt as its `d`, and adds the end. All else stays as it is.
pub fn with_timeout(line: &[u8], left: Micros) -> Vec<u8> {
    let list_start = line.iter().rposition(|byte| *byte == b' ').map_or(0, |space| space + 1);
    let (head, list) = line.split_at(list_start);
    let timeout_ms = (left / MICROS_PER_MILLISECOND).max(1).to_string();
    let mut copy = head.to_vec();
    for (index, item) in list.split(|byte| *byte == b',').enumerate() {
        if index > 0 {
            copy.push(b',');
        }
        if item.starts_with(b"d=") {
            copy.extend(b"d=");
            copy.extend(timeout_ms.as_bytes());
        } else {
            copy.extend(item);
        }
    }
    copy.extend(b"\r\n");
    copy
}

/// Parses up to 16 hexadecimal digits. The standard parser also accepts a sign.
fn parse_hex(text: &str) -> Option<u64> {
    if text.len() > MAX_HEX_LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Parses a plain decimal number of at most `max`: no sign, exponent, infinity or NaN.
fn parse_number(text: &str, max: f64) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if text.len() > MAX_NUMBER_LENGTH || !is_plain {
        return None;
    }
    text.parse().ok().filter(|number| *number <= max)
}

/// The list of a first line, item by item.
#[derive(Default)]
struct Items {
    class: Option<usize>,
    tenant: Option<usize>,
    timeout_ms: Option<f64>,
    group: Option<u64>,
    load: Option<f64>,
    previous_server: Option<String>,
    is_returning: bool,
}

/// Sets the value of an item, which may stand in the list once.
fn set_once<T>(slot: &mut Option<T>, value: T) -> Result<(), OpenError> {
    match slot.replace(value) {
        Some(_) => Err(OpenError::DuplicateItem),
        None => Ok(()),
    }
}

impl Items {
    fn parse(list: &str, names: &NameIndex) -> Result<Self, OpenError> {
        let mut items = Items::default();
        for item in list.split(',') {
            let (name, value) = item.split_once('=').ok_or(OpenError::MissingValue)?;
            items.add(name, value, names)?;
        }
        Ok(items)
    }

    fn add(&mut self, name: &str, value: &str, names: &NameIndex) -> Result<(), OpenError> {
        match name {
            "c" => {
                let class = names.classes.get(value).ok_or(OpenError::UnknownClass)?;
                set_once(&mut self.class, *class)
            }
            "t" => {
                let tenant = names.tenants.get(value).ok_or(OpenError::UnknownTenant)?;
                set_once(&mut self.tenant, *tenant)
            }
            "d" => {
                let timeout_ms = parse_number(value, MAX_TIMEOUT_MS).ok_or(OpenError::InvalidTimeout)?;
                set_once(&mut self.timeout_ms, timeout_ms)
            }
            "g" => set_once(&mut self.group, parse_hex(value).ok_or(OpenError::InvalidGroup)?),
            "h" => {
                let load = parse_number(value, MAX_LOAD).ok_or(OpenError::InvalidLoad)?;
                set_once(&mut self.load, load)
            }
            "at" => set_once(&mut self.previous_server, value.to_owned()),
            "r" | "again" => {
                self.is_returning |= value == "1";
                Ok(())
            }
            _ => Ok(()),
        }
    }
}

/// Parses a first line, without its end.
///
/// # Errors
/// The first fault of the line.
pub fn parse_open(line: &[u8], names: &NameIndex) -> Result<OpenRequest, OpenError> {
    let text = std::str::from_utf8(line).map_err(|_| OpenError::NotText)?;
    if text.chars().any(char::is_control) {
        return Err(OpenError::NotText);
    }
    let mut words = text.split(' ');
    let (Some("OPEN"), Some(id), Some(key), Some(list), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err(OpenError::NotOpen);
    };
    let id = parse_hex(id).ok_or(OpenError::InvalidId)?;
    let key = parse_hex(key).ok_or(OpenError::InvalidKey)?;
    let items = Items::parse(list, names)?;
    let used_timeout = |ms: f64| (ms.min(USED_TIMEOUT_MS) * MICROS_PER_MILLISECOND as f64) as Micros;
    Ok(OpenRequest {
        id,
        key,
        class: items.class.ok_or(OpenError::MissingClass)?,
        tenant: items.tenant.unwrap_or(0),
        group: items.group.unwrap_or(0),
        load: items.load,
        is_returning: items.is_returning,
        timeout: items.timeout_ms.map(used_timeout),
        previous_server: items.previous_server,
    })
}

/// The class that a first line names, whatever else is wrong with the line.
pub fn class_of(line: &[u8], names: &NameIndex) -> Option<usize> {
    let mut items = line.split(|byte| b" ,".contains(byte));
    let name = items.find_map(|item| item.strip_prefix(b"c="))?;
    names.classes.get(std::str::from_utf8(name).ok()?).copied()
}

#[cfg(test)]
mod tests;
