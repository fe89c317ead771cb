//! The words of etcd's v3 API in their JSON form: 64-bit numbers are texts, keys and values are base64, and what
//! is zero or empty is left out of answers.

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Bytes as base64.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Bytes(pub(super) Vec<u8>);

impl Serialize for Bytes {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&STANDARD.encode(&self.0))
    }
}

impl<'de> Deserialize<'de> for Bytes {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Bytes, D::Error> {
        let text = String::deserialize(from)?;
        STANDARD.decode(text).map(Bytes).map_err(serde::de::Error::custom)
    }
}

/// A 64-bit number as a text; some versions write it as a number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Num(pub(super) u64);

impl Serialize for Num {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.serialize_str(&self.0.to_string())
    }
}

impl<'de> Deserialize<'de> for Num {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Num, D::Error> {
        #[derive(Deserialize)]
        #[serde(untagged)]
        enum Either {
            Text(String),
            Number(u64),
        }
        match Either::deserialize(from)? {
            Either::Text(text) => text.parse().map(Num).map_err(serde::de::Error::custom),
            Either::Number(number) => Ok(Num(number)),
        }
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Header {
    pub(super) cluster_id: Num,
    pub(super) revision: Num,
}

/// An answer that tells where it comes from.
pub(super) trait Headed {
    fn header(&self) -> &Header;
}

#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Kv {
    pub(super) key: Bytes,
    pub(super) value: Bytes,
    pub(super) mod_revision: Num,
}

#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct RangeRequest {
    pub(super) key: Bytes,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) range_end: Option<Bytes>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) limit: Option<Num>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) revision: Option<Num>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct RangeAnswer {
    pub(super) header: Header,
    pub(super) kvs: Vec<Kv>,
    pub(super) more: bool,
}

impl Headed for RangeAnswer {
    fn header(&self) -> &Header {
        &self.header
    }
}

#[derive(Clone, Debug, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE", tag = "target")]
pub(super) enum Compare {
    /// The key was created in this revision; 0: it is not there.
    Create { key: Bytes, create_revision: Num, result: &'static str },
    /// It was last changed in this revision.
    Mod { key: Bytes, mod_revision: Num, result: &'static str },
    /// It has this value.
    Value { key: Bytes, value: Bytes, result: &'static str },
}

const EQUAL: &str = "EQUAL";

impl Compare {
    pub(super) fn absent(key: Bytes) -> Compare {
        Compare::Create { key, create_revision: Num(0), result: EQUAL }
    }

    pub(super) fn at(key: Bytes, revision: u64) -> Compare {
        Compare::Mod { key, mod_revision: Num(revision), result: EQUAL }
    }

    pub(super) fn is(key: Bytes, value: Bytes) -> Compare {
        Compare::Value { key, value, result: EQUAL }
    }
}

#[derive(Clone, Debug, Serialize)]
pub(super) enum Op {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put { key: Bytes, value: Bytes },
    #[serde(rename = "request_delete_range")]
    Remove { key: Bytes, range_end: Option<Bytes> },
}

impl Op {
    pub(super) fn read(key: Bytes) -> Op {
        Op::Range(RangeRequest { key, ..RangeRequest::default() })
    }
}

#[derive(Clone, Debug, Default, Serialize)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<Op>,
    pub(super) failure: Vec<Op>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct TxnAnswer {
    pub(super) header: Header,
    pub(super) succeeded: bool,
    pub(super) responses: Vec<OpAnswer>,
}

impl Headed for TxnAnswer {
    fn header(&self) -> &Header {
        &self.header
    }
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct OpAnswer {
    pub(super) response_range: Option<RangeAnswer>,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchRequest {
    pub(super) create_request: WatchCreate,
}

#[derive(Debug, Serialize)]
pub(super) struct WatchCreate {
    pub(super) key: Bytes,
    pub(super) range_end: Bytes,
    pub(super) start_revision: Num,
}

/// One line of a watch's answer.
#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchLine {
    pub(super) result: WatchResult,
    pub(super) error: Option<Refusal>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchResult {
    pub(super) header: Header,
    pub(super) canceled: bool,
    pub(super) compact_revision: Num,
    pub(super) cancel_reason: String,
    pub(super) events: Vec<WatchEvent>,
}

#[derive(Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct WatchEvent {
    #[serde(rename = "type")]
    pub(super) kind: Option<String>,
    pub(super) kv: Kv,
}

/// What is said instead of an answer.
#[derive(Clone, Debug, Default, Deserialize)]
#[serde(default)]
pub(super) struct Refusal {
    pub(super) message: String,
    pub(super) code: u32,
}

impl Refusal {
    /// The revision that was asked for is compacted away (gRPC's "out of range").
    pub(super) fn compacted(&self) -> bool {
        self.code == 11
    }

    /// No room is left for values (gRPC's "resource exhausted").
    pub(super) fn full(&self) -> bool {
        self.code == 8 && self.message.contains("space")
    }
}
