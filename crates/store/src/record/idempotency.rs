//! Replies to calls with an idempotency key, stored so that a repeated call gets the same reply and changes nothing.

use crate::digest::sha256_hex;
use crate::error::InvalidValue;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;

/// The idempotency key of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// The hash of the caller and the key: the name of the record.
    pub(crate) caller_key_hash: String,
    /// The hash of the request.
    pub(crate) request_hash: String,
    /// When the key expires and may be used again.
    pub(crate) expires: Micros,
}

impl IdempotencyKey {
    /// The longest key in bytes.
    pub const MAX_BYTES: usize = 255;

    /// The key `key` that `caller` (a token's id) gave to the call that `request` describes (its method, address and
    /// body), stored until `expires`.
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
        // The caller's length, so that no two pairs of caller and key make the same text.
        let caller_and_key = format!("{}:{caller}{key}", caller.len());
        Ok(IdempotencyKey {
            caller_key_hash: sha256_hex(caller_and_key.as_bytes()),
            request_hash: sha256_hex(request),
            expires,
        })
    }
}

/// The stored reply to a call. The version in the reply is the version of this record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotencyRecord {
    /// The hash of the request.
    #[serde(rename = "print")]
    pub request_hash: String,
    /// The reply.
    #[serde(rename = "answer")]
    pub reply: serde_json::Value,
    /// When the call was made.
    #[serde(rename = "made")]
    pub created: Micros,
    /// When the key expires and may be used again.
    pub expires: Micros,
}
