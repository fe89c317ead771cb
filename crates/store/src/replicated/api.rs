//! Messages of etcd's v3 API in the JSON encoding of its gateway: 64-bit numbers are strings, keys and values are
//! base64, and responses omit fields that are zero or empty.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// gRPC's code for "out of range": the requested revision has been compacted.
const GRPC_OUT_OF_RANGE: u32 = 11;
/// gRPC's code for "resource exhausted".
const GRPC_RESOURCE_EXHAUSTED: u32 = 8;

/// Bytes, encoded as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Bytes(pub(super) Vec<u8>);

impl Bytes {
    pub(super) fn from_text(text: impl Into<String>) -> Bytes {
        Bytes(text.into().into_bytes())
    }

    pub(super) fn into_text(self) -> String {
        String::from_utf8_lossy(&self.0).into_owned()
    }
}

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map(Bytes).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit number, encoded as a string. Decoding also accepts a JSON number, which some versions of etcd send.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Number(pub(super) u64);

impl Serialize for Number {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Number {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Number, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum TextOrNumber {
            Text(String),
            Number(u64),
        }
        match TextOrNumber::deserialize(deserializer)? {
            TextOrNumber::Text(text) => text.parse().map(Number).map_err(serde::de::Error::custom),
            TextOrNumber::Number(number) => Ok(Number(number)),
        }
    }
}

/// The header of a response: the cluster that sent it, and the cluster's revision.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ResponseHeader {
    pub(super) cluster_id: Number,
    pub(super) revision: Number,
}

/// A response that contains a header.
pub(super) trait HasHeader {
    fn header(&self) -> &ResponseHeader;
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct KeyValue {
    pub(super) key: Bytes,
    pub(super) value: Bytes,
    /// The revision of the last change of the key.
    pub(super) mod_revision: Number,
}

/// Reads one key, or all keys from `key` up to but not including `range_end`.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<Bytes>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) limit: Option<Number>,
    /// The revision to read at; the newest one if `None`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) revision: Option<Number>,
}

impl RangeRequest {
    /// Reads one key.
    pub(super) fn single(key: Bytes) -> RangeRequest {
        RangeRequest { key, ..RangeRequest::default() }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeResponse {
    pub(super) header: ResponseHeader,
    pub(super) kvs: Vec<KeyValue>,
    pub(super) more: bool,
}

impl RangeResponse {
    pub(super) fn into_first(self) -> Option<KeyValue> {
        self.kvs.into_iter().next()
    }
}

impl HasHeader for RangeResponse {
    fn header(&self) -> &ResponseHeader {
        &self.header
    }
}

/// A condition of a transaction.
#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE", tag = "target")]
pub(super) enum Compare {
    /// The key was created at this revision, or does not exist if it is 0.
    Create { key: Bytes, create_revision: Number, result: &'static str },
    /// The key was last changed at this revision.
    Mod { key: Bytes, mod_revision: Number, result: &'static str },
    /// The key has this value.
    Value { key: Bytes, value: Bytes, result: &'static str },
}

const EQUAL: &str = "EQUAL";

impl Compare {
    pub(super) fn absent(key: Bytes) -> Compare {
        Compare::Create { key, create_revision: Number(0), result: EQUAL }
    }

    pub(super) fn at_revision(key: Bytes, revision: u64) -> Compare {
        Compare::Mod { key, mod_revision: Number(revision), result: EQUAL }
    }

    pub(super) fn has_value(key: Bytes, value: Bytes) -> Compare {
        Compare::Value { key, value, result: EQUAL }
    }
}

/// An operation of a transaction.
#[derive(Clone, Debug, Serialize)]
pub(super) enum RequestOp {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put { key: Bytes, value: Bytes },
    #[serde(rename = "request_delete_range")]
    Delete { key: Bytes, range_end: Option<Bytes> },
}

impl RequestOp {
    /// Reads one key.
    pub(super) fn get(key: Bytes) -> RequestOp {
        RequestOp::Range(RangeRequest::single(key))
    }

    pub(super) fn put(key: Bytes, value: Bytes) -> RequestOp {
        RequestOp::Put { key, value }
    }
}

/// A transaction: executes the operations of `success` if all conditions in `compare` hold, otherwise those of
/// `failure`.
#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<RequestOp>,
    pub(super) failure: Vec<RequestOp>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnResponse {
    pub(super) header: ResponseHeader,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<ResponseOp>,
}

impl TxnResponse {
    /// For each operation, the first key and value of its response, if it read any.
    pub(super) fn into_first_key_values(self) -> impl Iterator<Item = Option<KeyValue>> {
        self.responses.into_iter().map(|response| response.response_range?.into_first())
    }
}

impl HasHeader for TxnResponse {
    fn header(&self) -> &ResponseHeader {
        &self.header
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ResponseOp {
    pub(super) response_range: Option<RangeResponse>,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreateRequest,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchCreateRequest {
    pub(super) key: Bytes,
    pub(super) range_end: Bytes,
    pub(super) start_revision: Number,
}

/// One line of the response to a watch request.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchLine {
    pub(super) result: WatchResponse,
    pub(super) error: Option<ErrorResponse>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResponse {
    pub(super) canceled: bool,
    pub(super) compact_revision: Number,
    pub(super) cancel_reason: String,
    pub(super) events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchEvent {
    #[serde(rename = "type")]
    kind: Option<String>,
    pub(super) kv: KeyValue,
}

impl WatchEvent {
    pub(super) fn is_delete(&self) -> bool {
        self.kind.as_deref() == Some("DELETE")
    }
}

/// The body of the response to a failed request.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct ErrorResponse {
    pub(super) message: String,
    code: u32,
}

impl ErrorResponse {
    /// Whether the requested revision has been compacted.
    pub(super) fn is_compacted(&self) -> bool {
        self.code == GRPC_OUT_OF_RANGE
    }

    /// Whether the cluster's storage quota is exceeded.
    pub(super) fn is_no_space(&self) -> bool {
        self.code == GRPC_RESOURCE_EXHAUSTED && self.message.contains("space")
    }
}
