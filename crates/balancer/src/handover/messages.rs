//! Messages between two processes of one balancer during a hand-over: lines of text over a Unix socket.
//!
//! The old process sends a [`HandoverState`] first, with its listening descriptors, then [`PredecessorMessage`]s. The new
//! process sends [`SuccessorMessage`]s.

use std::fmt;
use std::net::SocketAddr;

use mio::net::TcpStream;
use serde::{Deserialize, Serialize};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::snapshot_state::SnapshotEntry;
use shorewharf_units::Micros;

/// Version of the messages. A process that finds another one starts on its own.
pub const VERSION: u32 = 1;
/// The most listeners that are handed over: one for each worker.
pub const MAX_LISTENERS: usize = 16;
/// The longest first line. The endpoint list takes up to a quarter of the memory, which is never more than this.
pub const MAX_STATE_BYTES: usize = 16 << 20;

/// The first line: what the old process hands over at once.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HandoverState {
    /// Version of the messages.
    pub version: u32,
    /// How many listening descriptors come along.
    #[serde(rename = "listeners")]
    pub listener_count: usize,
    /// Descriptors that the old process holds or may still open.
    #[serde(rename = "held")]
    pub descriptors: usize,
    /// The endpoint list.
    #[serde(rename = "known")]
    pub endpoints: EndpointList,
    /// What the decisions of the primary worker have learned, but for its established connections.
    #[serde(default, rename = "memory")]
    pub learned: Vec<SnapshotEntry>,
    /// When that was exported, in microseconds of Unix time.
    #[serde(default, rename = "taken")]
    pub exported_at: Micros,
}

/// The state of an established connection that moves to the new process. The descriptors of its client and its server
/// come with the first byte of its line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EstablishedConnection {
    /// The client's address.
    pub client: SocketAddr,
    /// The server's id.
    pub server: u64,
    /// The id that the client opened the connection with.
    #[serde(rename = "id")]
    pub open_id: u64,
    /// Name of its class.
    pub class: String,
    /// Name of its tenant; empty without one.
    pub tenant: String,
    /// Its flow key.
    pub key: u64,
    /// Its group.
    pub group: u64,
    /// Its load as the client estimated it, in work per second.
    #[serde(rename = "hint")]
    pub load_hint: Option<f64>,
    /// Its load as reported last.
    pub load: Option<f64>,
    /// Since when a message of the client has been without a reply, in microseconds of Unix time.
    #[serde(rename = "asked")]
    pub unanswered_since: Option<Micros>,
    /// Bytes in flight from and to the client.
    #[serde(default, rename = "at_client", skip_serializing_if = "BufferedBytes::is_empty")]
    pub client_buffers: BufferedBytes,
    /// Bytes in flight from and to the server.
    #[serde(default, rename = "at_server", skip_serializing_if = "BufferedBytes::is_empty")]
    pub server_buffers: BufferedBytes,
}

impl EstablishedConnection {
    /// The message that transfers it, with its end.
    pub fn to_line(&self) -> String {
        // Names and numbers, which can be written as JSON.
        format!("STANDS {}\n", serde_json::to_string(self).unwrap_or_default())
    }
}

/// Bytes in flight at one end of a connection.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BufferedBytes {
    /// Received and not passed on.
    #[serde(default, rename = "came", with = "base64_text", skip_serializing_if = "Vec::is_empty")]
    pub received: Vec<u8>,
    /// How many of them are lines that have been examined.
    #[serde(default, rename = "seen")]
    pub examined: usize,
    /// Messages of the balancer's own that are still to be sent.
    #[serde(default, rename = "said", with = "base64_text", skip_serializing_if = "Vec::is_empty")]
    pub unsent: Vec<u8>,
    /// The last line sent is incomplete.
    #[serde(default)]
    pub mid_line: bool,
}

impl BufferedBytes {
    fn is_empty(&self) -> bool {
        *self == BufferedBytes::default()
    }
}

/// Bytes as base64 text without padding.
mod base64_text {
    use std::borrow::Cow;

    use base64::Engine;
    use base64::engine::general_purpose::STANDARD_NO_PAD;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<u8>, D::Error> {
        let text = Cow::<str>::deserialize(deserializer)?;
        STANDARD_NO_PAD.decode(text.as_bytes()).map_err(D::Error::custom)
    }
}

/// An established connection on its way between two processes, with its descriptors.
#[derive(Debug)]
pub struct TransferredConnection {
    /// Its state.
    pub state: EstablishedConnection,
    /// The client's end.
    pub client: TcpStream,
    /// The server's end.
    pub server: TcpStream,
}

/// A message of the old process.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorMessage {
    /// `STANDS JSON`: an established connection, whose descriptors come along.
    Connection(Box<EstablishedConnection>),
    /// `HELD N`: descriptors that the old process holds or may still open.
    Descriptors(usize),
    /// `LEAVES`: the old process accepts no more clients.
    Draining,
    /// `KEEPS`: the old process keeps every connection that has not been acknowledged.
    KeepsUnacknowledged,
}

impl PredecessorMessage {
    /// Parses a line, without its end; none for a line of another kind.
    ///
    /// # Errors
    /// A connection whose state can't be parsed.
    pub fn parse(line: &[u8]) -> Result<Option<Self>, serde_json::Error> {
        if let Some(json) = line.strip_prefix(b"STANDS ") {
            return Ok(Some(Self::Connection(serde_json::from_slice(json)?)));
        }
        Ok(match line {
            b"LEAVES" => Some(Self::Draining),
            b"KEEPS" => Some(Self::KeepsUnacknowledged),
            _ => parse_number(line, b"HELD ").map(Self::Descriptors),
        })
    }
}

/// Writes the line with its end.
impl fmt::Display for PredecessorMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(connection) => f.write_str(&connection.to_line()),
            Self::Descriptors(count) => writeln!(f, "HELD {count}"),
            Self::Draining => writeln!(f, "LEAVES"),
            Self::KeepsUnacknowledged => writeln!(f, "KEEPS"),
        }
    }
}

/// A message of the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorMessage {
    /// `TAKES 2`: the new process takes established connections with the bytes in flight, and acknowledges each.
    AcceptsConnections,
    /// `SERVES`: the new process accepts clients.
    Serving,
    /// `ENDS`: the old process is to terminate.
    Terminate,
    /// `TOOK N`: the first so many connections, counted from the first one sent, belong to the new process.
    Acknowledged(u64),
}

impl SuccessorMessage {
    /// Parses a line, without its end; none for a line of another kind.
    pub fn parse(line: &[u8]) -> Option<Self> {
        match line {
            b"TAKES 2" => Some(Self::AcceptsConnections),
            b"SERVES" => Some(Self::Serving),
            b"ENDS" => Some(Self::Terminate),
            _ => parse_number(line, b"TOOK ").map(Self::Acknowledged),
        }
    }
}

/// Writes the line with its end.
impl fmt::Display for SuccessorMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AcceptsConnections => writeln!(f, "TAKES 2"),
            Self::Serving => writeln!(f, "SERVES"),
            Self::Terminate => writeln!(f, "ENDS"),
            Self::Acknowledged(connections) => writeln!(f, "TOOK {connections}"),
        }
    }
}

fn parse_number<N: std::str::FromStr>(line: &[u8], prefix: &[u8]) -> Option<N> {
    std::str::from_utf8(line.strip_prefix(prefix)?).ok()?.parse().ok()
}

/// Removes the next complete line from `inbox` and returns it without its end.
pub fn take_line(inbox: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = inbox.iter().position(|byte| *byte == b'\n')?;
    let mut line: Vec<u8> = inbox.drain(..=end).collect();
    line.pop();
    Some(line)
}

#[cfg(test)]
mod tests;
