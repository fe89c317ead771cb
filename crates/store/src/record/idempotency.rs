//! Replies to requests with an idempotency key. They are stored so that a repeated request gets the same reply and
//! changes nothing.

use crate::digest::sha256_hex;
use crate::error::InvalidValue;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

/// The idempotency key of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The hash of the caller and the key, which is the name of the stored reply's record.
    pub(crate) caller_key_hash: String,
    /// The hash of the request, by which another request with the same key is recognised.
    pub(crate) request_hash: String,
    /// The time at which the key expires and may be used again.
    pub(crate) expires: Micros,
}

impl IdempotencyKey {
    /// The maximum length of a key in bytes.
    pub const MAX_BYTES: usize = 255;

    /// The key `key` that `caller` (a token's id) gave to a request, which is stored until `expires`. `request` is the
    /// method, URL and body of the request.
    ///
    /// # Errors
    /// If the key is not 1 to 255 printable ASCII characters, which include the space.
    pub fn new(
        caller: &str,
        key: &str,
        request: &[u8],
        expires: Micros,
    ) -> Result<IdempotencyKey, InvalidValue> {
        let is_printable = |byte: u8| (0x20..0x7f).contains(&byte);
        if key.is_empty() || key.len() > IdempotencyKey::MAX_BYTES || !key.bytes().all(is_printable) {
            return Err(InvalidValue::new("Idempotency-Key", "is not 1 to 255 printable ASCII characters"));
        }
        // The length of `caller` ensures that different pairs of caller and key yield different texts.
        let caller_and_key = format!("{}:{caller}{key}", caller.len());
        Ok(IdempotencyKey {
            caller_key_hash: sha256_hex(caller_and_key.as_bytes()),
            request_hash: sha256_hex(request),
            expires,
        })
    }
}

/// The stored reply to a request. The pending version in the reply stands for the version of this record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyRecord {
    /// The hash of the request.
    #[serde(rename = "print")]
    pub request_hash: String,
    /// The reply as JSON.
    #[serde(rename = "answer")]
    pub reply: serde_json::Value,
    /// The time of the request.
    #[serde(rename = "made")]
    pub created: Micros,
    /// The time at which the key expires and may be used again.
    pub expires: Micros,
}
