//! What the two processes tell each other, a line each, over a Unix socket that nobody else is to use. The listening
//! descriptors come along with the first bytes of the first line.

use std::net::SocketAddr;

use mio::net::TcpStream;
use serde::{Deserialize, Serialize};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_recovery::snapshot_state::SnapshotEntry;
use shorewharf_units::Micros;

/// Another form of these lines is another version; who finds one starts by itself.
pub const VERSION: u32 = 1;
/// Listeners that are handed over at most: one for each worker.
pub const LISTENERS: usize = 16;
/// The first line is no longer than this: a list takes up to a quarter of the memory, and more than this none.
pub const LONGEST: usize = 16 << 20;
/// The new process takes clients from now on.
pub const SERVES: &[u8] = b"SERVES";
/// The new process takes standing connections with what is on its way on them, and says of each that it is its own.
pub const TAKES: &[u8] = b"TAKES 2";
/// The old process is to end now: whoever started the new one won't say so.
pub const ENDS: &[u8] = b"ENDS";
/// The old process goes on with all that the new one has not said of that it took it.
pub const KEEPS: &[u8] = b"KEEPS";
/// The old process takes none from now on.
pub const LEAVES: &[u8] = b"LEAVES";

/// The first line: what the old process leaves to the new one.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct HandoverState {
    /// The version of these words.
    pub version: u32,
    /// Listeners that come along.
    pub listeners: usize,
    /// Descriptors that the old process holds or may take.
    pub held: usize,
    /// The list as it stands.
    pub known: EndpointList,
    /// What the first worker knows; its standing connections come by themselves, later.
    #[serde(default)]
    pub memory: Vec<SnapshotEntry>,
    /// When that was read out, in microseconds of Unix time.
    #[serde(default)]
    pub taken: Micros,
}

/// A standing connection that goes along; the client's descriptor and the server's come with its first byte.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct EstablishedConnection {
    /// Where the client comes from.
    pub client: SocketAddr,
    /// The server's id.
    pub server: u64,
    /// The id that it opened with.
    pub id: u64,
    /// Its class, by name.
    pub class: String,
    /// Its tenant, by name; empty where it named none.
    pub tenant: String,
    /// Its key.
    pub key: u64,
    /// Its group.
    pub group: u64,
    /// Its load as it was guessed first, in work a second.
    pub hint: Option<f64>,
    /// Its load as it was told last.
    pub load: Option<f64>,
    /// Since when a line of the client's has gone unanswered, in microseconds of Unix time.
    pub asked: Option<Micros>,
    /// What is on its way from and to the client.
    #[serde(default, skip_serializing_if = "BufferedBytes::is_nothing")]
    pub at_client: BufferedBytes,
    /// The same for the server.
    #[serde(default, skip_serializing_if = "BufferedBytes::is_nothing")]
    pub at_server: BufferedBytes,
}

/// What is on its way on one end of a connection.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BufferedBytes {
    /// Bytes that came from there and were not passed on.
    #[serde(default, with = "bytes", skip_serializing_if = "Vec::is_empty")]
    pub came: Vec<u8>,
    /// So many of them are lines that were looked at.
    #[serde(default)]
    pub seen: usize,
    /// Words of the balancer's own that could not be sent there yet.
    #[serde(default, with = "bytes", skip_serializing_if = "Vec::is_empty")]
    pub said: Vec<u8>,
    /// A part of a line has gone out there.
    #[serde(default)]
    pub mid_line: bool,
}

impl BufferedBytes {
    fn is_nothing(&self) -> bool {
        *self == BufferedBytes::default()
    }
}

/// Bytes as text.
mod bytes {
    use base64::Engine;
    use base64::engine::general_purpose::STANDARD_NO_PAD;
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    pub fn serialize<S: Serializer>(bytes: &[u8], to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD_NO_PAD.encode(bytes))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<Vec<u8>, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(from)?;
        STANDARD_NO_PAD.decode(text.as_bytes()).map_err(D::Error::custom)
    }
}

/// What such a line begins with.
const STANDS: &[u8] = b"STANDS ";

impl EstablishedConnection {
    /// Its line.
    pub fn line(&self) -> Vec<u8> {
        // Names and numbers, which can be written as JSON.
        [STANDS, &serde_json::to_vec(self).unwrap_or_default(), b"\n"].concat()
    }

    /// Reads a line, without its end; none where it is another one.
    pub fn read(line: &[u8]) -> Option<Result<Self, serde_json::Error>> {
        line.strip_prefix(STANDS).map(serde_json::from_slice)
    }
}

/// The line that tells how many descriptors the old process holds or may take.
pub fn held(descriptors: usize) -> String {
    format!("HELD {descriptors}\n")
}

/// Reads that line, without its end.
pub fn read_held(line: &[u8]) -> Option<usize> {
    std::str::from_utf8(line.strip_prefix(b"HELD ")?).ok()?.parse().ok()
}

/// The line that tells that so many standing connections, counted from the first, are the new process's own.
pub fn took(connections: u64) -> String {
    format!("TOOK {connections}\n")
}

/// Reads that line, without its end.
pub fn read_took(line: &[u8]) -> Option<u64> {
    std::str::from_utf8(line.strip_prefix(b"TOOK ")?).ok()?.parse().ok()
}

/// A standing connection between two processes: its words, the client's end and the server's.
pub type TransferredConnection = (EstablishedConnection, TcpStream, TcpStream);

/// Takes the next line out of what has come, without its end.
pub fn line(inbox: &mut Vec<u8>) -> Option<Vec<u8>> {
    let end = inbox.iter().position(|b| *b == b'\n')?;
    let mut line: Vec<u8> = inbox.drain(..=end).collect();
    line.pop();
    Some(line)
}

#[cfg(test)]
mod tests;
