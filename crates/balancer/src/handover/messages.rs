//! The messages between two processes of one balancer during a hand-over: lines of text over a Unix socket.
//!
//! The old process first sends a [`HandoverState`] together with the descriptors of its listeners, and then
//! [`PredecessorMessage`]s. The new process sends [`SuccessorMessage`]s.

use std::fmt;
use std::net::SocketAddr;

use mio::net::TcpStream;
use serde::{Deserialize, Serialize};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::snapshot_state::SnapshotEntry;
use shorewharf_units::Micros;

use super::id_sync::LinkSync;
use crate::clients::open_ids::{OpenIds, SiblingLink};

/// The version of the messages. A process that receives another version starts without the hand-over.
pub const VERSION: u32 = 1;
/// The maximum number of listeners that are handed over, one for each worker.
pub const MAX_LISTENERS: usize = 16;
/// The maximum length of the first line, in bytes. Most of it is the endpoint list, which is limited to a
/// quarter of the memory; that is never more than this.
pub const MAX_STATE_BYTES: usize = 16 << 20;

/// The first line: the state that the old process hands over at once.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HandoverState {
    /// The version of the messages.
    pub version: u32,
    /// The number of listening descriptors that are sent with the line.
    #[serde(rename = "listeners")]
    pub listener_count: usize,
    /// The number of descriptors that the old process holds or may still open.
    #[serde(rename = "held")]
    pub descriptors: usize,
    /// The endpoint list.
    #[serde(rename = "known")]
    pub endpoints: EndpointList,
    /// The learned state of the primary worker's decisions, without its established connections.
    #[serde(default, rename = "memory")]
    pub learned: Vec<SnapshotEntry>,
    /// When the learned state was exported, in microseconds of Unix time.
    #[serde(default, rename = "taken")]
    pub exported_at: Micros,
    /// The ids of the open requests of the old process and of its other siblings. Processes of earlier versions send none.
    #[serde(default, rename = "open", skip_serializing_if = "Vec::is_empty")]
    pub open_ids: Vec<u64>,
    /// The ids of ended requests that must not run again.
    #[serde(default, rename = "retained", skip_serializing_if = "Vec::is_empty")]
    pub retained_ids: Vec<u64>,
    /// Whether the old process answers `SYNC`.
    #[serde(default, rename = "syncs", skip_serializing_if = "std::ops::Not::not")]
    pub syncs_ids: bool,
}

/// A message about the open requests of a process, which the process at the other end must know so that no id has two of them.
/// Processes of earlier versions ignore it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OpenIdMessage {
    /// `OPENED ID`: a request with this id is open.
    Opened(u64),
    /// `CLOSED ID`: no request with this id is open any more.
    Closed(u64),
    /// `RETAINED ID`: a request with this id has ended and must not run again.
    Retained(u64),
    /// `SYNC N`: all changes up to the N-th one have been sent; asks for `SYNCED N`.
    SyncRequest(u64),
    /// `SYNCED N`: the changes up to the N-th one are known, and all that were made here before have been sent.
    SyncReply(u64),
}

impl OpenIdMessage {
    /// Applies a message of the process behind `link`. `sync` is the state of that link.
    pub fn apply(self, open_ids: &OpenIds, link: SiblingLink, sync: &mut LinkSync) {
        match self {
            Self::Opened(id) => open_ids.hold_for_sibling(id, link),
            Self::Closed(id) => open_ids.release_for_sibling(id, link),
            Self::Retained(id) => {
                open_ids.retain(id);
                open_ids.release_for_sibling(id, link);
            }
            Self::SyncRequest(number) => sync.on_request(number),
            Self::SyncReply(number) => sync.on_reply(number),
        }
    }

    /// Parses a line without its line end. Returns `None` for another message.
    fn parse(line: &[u8]) -> Option<Self> {
        let opened = parse_number(line, b"OPENED ").map(Self::Opened);
        opened
            .or_else(|| parse_number(line, b"CLOSED ").map(Self::Closed))
            .or_else(|| parse_number(line, b"RETAINED ").map(Self::Retained))
            .or_else(|| parse_number(line, b"SYNC ").map(Self::SyncRequest))
            .or_else(|| parse_number(line, b"SYNCED ").map(Self::SyncReply))
    }
}

/// Writes the line with its line end.
impl fmt::Display for OpenIdMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Opened(id) => writeln!(f, "OPENED {id}"),
            Self::Closed(id) => writeln!(f, "CLOSED {id}"),
            Self::Retained(id) => writeln!(f, "RETAINED {id}"),
            Self::SyncRequest(number) => writeln!(f, "SYNC {number}"),
            Self::SyncReply(number) => writeln!(f, "SYNCED {number}"),
        }
    }
}

/// The state of an established connection that is transferred to the new process. The descriptors of its
/// client and its server are sent with the first byte of its line.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EstablishedConnection {
    /// The client's address.
    pub client: SocketAddr,
    /// The server's id.
    pub server: u64,
    /// The id that the client opened the connection with.
    #[serde(rename = "id")]
    pub open_id: u64,
    /// The name of the connection's class.
    pub class: String,
    /// The name of the connection's tenant; empty if it has none.
    pub tenant: String,
    /// The connection's flow key.
    pub key: u64,
    /// The connection's group.
    pub group: u64,
    /// The connection's load as the client has estimated it, in work per second.
    #[serde(rename = "hint")]
    pub load_hint: Option<f64>,
    /// The connection's load as last reported, in work per second.
    pub load: Option<f64>,
    /// Since when a message of the client has been unanswered, in microseconds of Unix time.
    #[serde(rename = "asked")]
    pub unanswered_since: Option<Micros>,
    /// Buffered bytes from and to the client.
    #[serde(default, rename = "at_client", skip_serializing_if = "BufferedBytes::is_empty")]
    pub client_buffers: BufferedBytes,
    /// Buffered bytes from and to the server.
    #[serde(default, rename = "at_server", skip_serializing_if = "BufferedBytes::is_empty")]
    pub server_buffers: BufferedBytes,
}

impl EstablishedConnection {
    /// Returns the line that transfers the connection, with its line end.
    pub fn to_line(&self) -> String {
        // Serializing can't fail: the fields are text and numbers.
        format!("STANDS {}\n", serde_json::to_string(self).unwrap_or_default())
    }
}

/// The bytes that are buffered for one end of a connection.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BufferedBytes {
    /// Bytes that were received from this end and not relayed yet.
    #[serde(default, rename = "came", with = "base64_text", skip_serializing_if = "Vec::is_empty")]
    pub received: Vec<u8>,
    /// The number of received bytes that are lines which have been examined.
    #[serde(default, rename = "seen")]
    pub examined: usize,
    /// The balancer's own messages to this end that have not been sent yet.
    #[serde(default, rename = "said", with = "base64_text", skip_serializing_if = "Vec::is_empty")]
    pub unsent: Vec<u8>,
    /// Whether the last line sent to this end is incomplete.
    #[serde(default)]
    pub mid_line: bool,
}

impl BufferedBytes {
    fn is_empty(&self) -> bool {
        *self == BufferedBytes::default()
    }
}

/// Serializes bytes as base64 text without padding.
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

/// An established connection that is being transferred between two processes, with its descriptors. The process that has this
/// value has claimed the id of the connection.
#[derive(Debug)]
pub struct TransferredConnection {
    /// The state of the connection.
    pub state: EstablishedConnection,
    /// The connection to the client.
    pub client: TcpStream,
    /// The connection to the server.
    pub server: TcpStream,
}

/// A message from the old process.
#[derive(Clone, Debug, PartialEq)]
pub enum PredecessorMessage {
    /// `STANDS JSON`: an established connection, whose descriptors are sent with the line.
    Connection(Box<EstablishedConnection>),
    /// `HELD N`: the number of descriptors that the old process holds or may still open.
    Descriptors(usize),
    /// `LEAVES`: the old process accepts no more clients.
    Draining,
    /// `KEEPS`: the old process keeps every connection that has not been acknowledged.
    KeepsUnacknowledged,
    /// A message about open ids.
    OpenIdMessage(OpenIdMessage),
}

impl PredecessorMessage {
    /// Parses a line without its line end. Returns `None` for an unknown message.
    ///
    /// # Errors
    /// Returns an error if the line transfers a connection and its state can't be parsed.
    pub fn parse(line: &[u8]) -> Result<Option<Self>, serde_json::Error> {
        if let Some(json) = line.strip_prefix(b"STANDS ") {
            return Ok(Some(Self::Connection(serde_json::from_slice(json)?)));
        }
        Ok(match line {
            b"LEAVES" => Some(Self::Draining),
            b"KEEPS" => Some(Self::KeepsUnacknowledged),
            _ => parse_number(line, b"HELD ")
                .map(Self::Descriptors)
                .or_else(|| OpenIdMessage::parse(line).map(Self::OpenIdMessage)),
        })
    }
}

/// Writes the line with its line end.
impl fmt::Display for PredecessorMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(connection) => f.write_str(&connection.to_line()),
            Self::Descriptors(count) => writeln!(f, "HELD {count}"),
            Self::Draining => writeln!(f, "LEAVES"),
            Self::KeepsUnacknowledged => writeln!(f, "KEEPS"),
            Self::OpenIdMessage(change) => change.fmt(f),
        }
    }
}

/// A message from the new process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SuccessorMessage {
    /// `TAKES 2`: the new process accepts established connections with buffered bytes, and acknowledges each.
    AcceptsConnections,
    /// `SYNCS`: the new process answers `SYNC`.
    SyncsIds,
    /// `SERVES`: the new process accepts clients.
    Serving,
    /// `ENDS`: the old process is to terminate.
    Terminate,
    /// `TOOK N`: the first N connections that were sent over this socket belong to the new process now.
    Acknowledged(u64),
    /// A message about open ids.
    OpenIdMessage(OpenIdMessage),
}

impl SuccessorMessage {
    /// Parses a line without its line end. Returns `None` for an unknown message.
    pub fn parse(line: &[u8]) -> Option<Self> {
        match line {
            b"TAKES 2" => Some(Self::AcceptsConnections),
            b"SYNCS" => Some(Self::SyncsIds),
            b"SERVES" => Some(Self::Serving),
            b"ENDS" => Some(Self::Terminate),
            _ => parse_number(line, b"TOOK ")
                .map(Self::Acknowledged)
                .or_else(|| OpenIdMessage::parse(line).map(Self::OpenIdMessage)),
        }
    }
}

/// Writes the line with its line end.
impl fmt::Display for SuccessorMessage {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AcceptsConnections => writeln!(f, "TAKES 2"),
            Self::SyncsIds => writeln!(f, "SYNCS"),
            Self::Serving => writeln!(f, "SERVES"),
            Self::Terminate => writeln!(f, "ENDS"),
            Self::Acknowledged(connections) => writeln!(f, "TOOK {connections}"),
            Self::OpenIdMessage(change) => change.fmt(f),
        }
    }
}

fn parse_number<N: std::str::FromStr>(line: &[u8], prefix: &[u8]) -> Option<N> {
    std::str::from_utf8(line.strip_prefix(prefix)?).ok()?.parse().ok()
}

/// Removes the next complete line from `inbox`. Returns it without its line end.
pub fn take_line(inbox: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = inbox.iter().position(|byte| *byte == b'\n')?;
    let mut line: Vec<u8> = inbox.drain(..=end).collect();
    line.pop();
    Some(line)
}

#[cfg(test)]
mod tests;
