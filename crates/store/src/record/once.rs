//! Answers of calls that carry an idempotency key, kept so that a repeat gets the same and changes nothing.

use super::Micros;
use crate::error::Invalid;
use crate::name::hex;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// The idempotency key of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OnceKey {
    /// The hash of who calls and the key.
    pub(crate) name: String,
    /// The hash of what is called.
    pub(crate) print: String,
    pub(crate) expires: Micros,
}

impl OnceKey {
    /// The longest key in bytes.
    pub const LONGEST: usize = 255;

    /// A key `key` (1 to 255 visible ASCII characters) that `caller` (a token's id) gave to the call that
    /// `request` describes (its method, address and body), kept until `expires`.
    pub fn new(caller: &str, key: &str, request: &[u8], expires: Micros) -> Result<OnceKey, Invalid> {
        if key.is_empty() || key.len() > OnceKey::LONGEST || !key.bytes().all(|b| (0x20..0x7f).contains(&b)) {
            return Err(Invalid::new("Idempotency-Key", "is not 1 to 255 visible ASCII characters"));
        }
        let name = hex(&Sha256::digest(format!("{}:{caller}{key}", caller.len())));
        Ok(OnceKey { name, print: hex(&Sha256::digest(request)), expires })
    }
}

/// The answer of a call, as it is kept; the version that it told is the version of this record.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OnceRecord {
    /// The hash of the call.
    pub print: String,
    /// The answer.
    pub answer: serde_json::Value,
    /// When the call came.
    pub made: Micros,
    /// When the key may be used anew.
    pub expires: Micros,
}
