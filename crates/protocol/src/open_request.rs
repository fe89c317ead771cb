//! The first line of a connection, `OPEN ID KEY LIST`.
//!
//! Parsing is strict: a server would reject a malformed line anyway, and if the balancer rejects it, the server
//! has no work with it.

use std::fmt;

use shorewharf_units::{MICROS_PER_MILLISECOND, Micros};
use thiserror::Error;

use crate::name_index::NameIndex;

/// Maximum timeout in a first line, in milliseconds. Clients that restore a connection from before the start
/// of the balancer send 4294967 ms, the longest timeout that fits in 32 bits of microseconds.
const MAX_TIMEOUT_MS: f64 = u32::MAX as f64;
/// Longer timeouts are reduced to one hour, in milliseconds, so that a timeout added to a clock value can't
/// overflow.
const TIMEOUT_CAP_MS: f64 = 3.6e6;
/// Maximum estimated load in a first line.
const MAX_LOAD: f64 = 1e12;
/// Maximum length of a decimal number, in characters.
const MAX_NUMBER_LENGTH: usize = 24;
/// Maximum number of hexadecimal digits, which is that of a 64-bit number.
const MAX_HEX_LENGTH: usize = 16;

/// The reason why a first line is malformed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum OpenError {
    /// The line is not UTF-8, or contains control characters.
    #[error("the line is not UTF-8 or contains control characters")]
    NotText,
    /// The line does not have four words, or does not begin with `OPEN`.
    #[error("the line does not have the form OPEN ID KEY LIST")]
    NotOpen,
    /// The id is not a hexadecimal number.
    #[error("ID is not a hexadecimal number of 1 to {MAX_HEX_LENGTH} digits")]
    InvalidId,
    /// The key is not a hexadecimal number.
    #[error("KEY is not a hexadecimal number of 1 to {MAX_HEX_LENGTH} digits")]
    InvalidKey,
    /// An item of the list has no `=`.
    #[error("an item of LIST has no value")]
    MissingValue,
    /// The list has an item twice.
    #[error("LIST has an item twice")]
    DuplicateItem,
    /// The list has no class.
    #[error("LIST has no class (c)")]
    MissingClass,
    /// The class is not configured.
    #[error("the class (c) is not configured")]
    UnknownClass,
    /// The tenant is not configured.
    #[error("the tenant (t) is not configured")]
    UnknownTenant,
    /// `d` is not a timeout in milliseconds.
    #[error("the timeout (d) is not a number of milliseconds from 0 to {MAX_TIMEOUT_MS}")]
    InvalidTimeout,
    /// `g` is not a hexadecimal number.
    #[error("the group (g) is not a hexadecimal number of 1 to {MAX_HEX_LENGTH} digits")]
    InvalidGroup,
    /// `h` is not a load.
    #[error("the load (h) is not a number from 0 to {MAX_LOAD}")]
    InvalidLoad,
}

/// A parsed first line.
#[derive(Clone, Debug, PartialEq)]
pub struct OpenRequest {
    /// Id of the connection, chosen by the client.
    pub id: u64,
    /// Flow key; 0 for none.
    pub key: u64,
    /// Index of the request class.
    pub class: usize,
    /// Index of the tenant; 0 if the line names none.
    pub tenant: usize,
    /// The group that the connection belongs to, which may consist of one client; 0 for none.
    pub group: u64,
    /// Estimated load, in work per second, if the line gives one.
    pub load: Option<f64>,
    /// Whether the connection is a retry or a reconnect.
    pub is_returning: bool,
    /// How long the client waits, if the line gives a timeout. At most one hour.
    pub timeout: Option<Micros>,
    /// Name of the server that held this connection before the balancer started, if the line names one.
    pub previous_server: Option<String>,
}

/// A first line to be sent. Its `Display` output includes the CRLF.
#[derive(Clone, Copy, Debug, Default)]
pub struct OpenRequestLine<'a> {
    /// Id of the connection.
    pub id: u64,
    /// Flow key; 0 for none.
    pub key: u64,
    /// Name of the request class.
    pub class: &'a str,
    /// Name of the tenant; left out if empty.
    pub tenant: &'a str,
    /// How long the client waits, in milliseconds.
    pub timeout_ms: u64,
    /// The group that the connection belongs to; left out if 0.
    pub group: u64,
    /// Estimated load, in work per second; left out if `None`.
    pub load: Option<f64>,
    /// Whether the connection is a retry (`r=1`).
    pub is_retry: bool,
    /// Whether an earlier connection of the client was migrated or broke (`again=1`).
    pub is_reconnect: bool,
    /// Name of the server that held this connection before (`at=`).
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

/// Copies a first line with its timeout `d`, if any, replaced by the time that remains for this attempt, in
/// whole milliseconds but at least 1, and adds the CRLF. The rest of the line is unchanged.
pub fn with_timeout(line: &[u8], remaining: Micros) -> Vec<u8> {
    let list_start = line.iter().rposition(|byte| *byte == b' ').map_or(0, |space| space + 1);
    let (head, list) = line.split_at(list_start);
    let timeout_ms = (remaining / MICROS_PER_MILLISECOND).max(1).to_string();
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

/// Parses 1 to 16 hexadecimal digits. Unlike the standard parser, rejects a sign.
fn parse_hex(text: &str) -> Option<u64> {
    if text.len() > MAX_HEX_LENGTH || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
        return None;
    }
    u64::from_str_radix(text, 16).ok()
}

/// Parses a decimal number of at most `max`. Rejects a sign, an exponent, infinity and NaN.
fn parse_number(text: &str, max: f64) -> Option<f64> {
    let is_plain = text.bytes().all(|byte| byte.is_ascii_digit() || byte == b'.');
    if text.len() > MAX_NUMBER_LENGTH || !is_plain {
        return None;
    }
    text.parse().ok().filter(|number| *number <= max)
}

/// The items in the list of a first line.
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

/// Sets the value of an item, and fails if it is already set: an item may occur only once.
fn set_once<T>(item: &mut Option<T>, value: T) -> Result<(), OpenError> {
    match item.replace(value) {
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

/// Parses a first line, without its CRLF.
///
/// # Errors
///
/// Fails if the line is malformed; the error is the first one found.
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
    let capped_timeout = |ms: f64| (ms.min(TIMEOUT_CAP_MS) * MICROS_PER_MILLISECOND as f64) as Micros;
    Ok(OpenRequest {
        id,
        key,
        class: items.class.ok_or(OpenError::MissingClass)?,
        tenant: items.tenant.unwrap_or(0),
        group: items.group.unwrap_or(0),
        load: items.load,
        is_returning: items.is_returning,
        timeout: items.timeout_ms.map(capped_timeout),
        previous_server: items.previous_server,
    })
}

/// Returns the class that a first line names, even if the line is otherwise malformed.
pub fn class_of(line: &[u8], names: &NameIndex) -> Option<usize> {
    let mut items = line.split(|byte| b" ,".contains(byte));
    let name = items.find_map(|item| item.strip_prefix(b"c="))?;
    names.classes.get(std::str::from_utf8(name).ok()?).copied()
}

#[cfg(test)]
mod tests;
