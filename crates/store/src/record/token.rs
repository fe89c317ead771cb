//! API tokens. Only the hash of a token's secret is stored, so the content of the store does not grant access.

use super::{NumericId, check_label};
use crate::digest::{hex, sha256_hex};
use crate::error::InvalidValue;
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;
use std::fmt;
use subtle::ConstantTimeEq;

/// The prefix of every token's text, by which scanners recognise leaked tokens.
const TOKEN_PREFIX: &str = "swh";

/// The number of hexadecimal digits of a token's id.
const ID_DIGITS: usize = 16;

/// The number of bytes of a seed from which the id is made; the secret is made from the others.
const ID_SEED_BYTES: usize = 8;

/// The role of a token's bearer, which determines what the bearer may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "role", content = "place")]
pub enum Role {
    /// May read and change everything.
    Operator,
    /// May read everything about the tenant with this id, and change what belongs to that tenant.
    TenantAdmin(NumericId),
    /// May read everything except tokens.
    Viewer,
}

/// The public part of a token, by which it is looked up, revoked and named in the audit trail: 16 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenId(String);

impl TokenId {
    /// Checks an id.
    ///
    /// # Errors
    /// If the text is not 16 lower-case hexadecimal digits.
    pub fn new(text: &str) -> Result<TokenId, InvalidValue> {
        let is_digit = |byte: u8| byte.is_ascii_digit() || (b'a'..=b'f').contains(&byte);
        if text.len() != ID_DIGITS || !text.bytes().all(is_digit) {
            return Err(InvalidValue::new("id", "is not 16 lower-case hexadecimal digits"));
        }
        Ok(TokenId(text.into()))
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl fmt::Display for TokenId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl TryFrom<String> for TokenId {
    type Error = InvalidValue;
    fn try_from(text: String) -> Result<TokenId, InvalidValue> {
        TokenId::new(&text)
    }
}

impl From<TokenId> for String {
    fn from(id: TokenId) -> String {
        id.0
    }
}

/// Random bytes for a new token, from the operating system's secure random number generator: 8 for the id and 32 for
/// the secret.
#[derive(Clone)]
pub struct TokenSeed(pub [u8; 40]);

impl fmt::Debug for TokenSeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenSeed")
    }
}

/// The properties of a token to create.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewToken {
    /// The role of the token's bearer.
    #[serde(flatten)]
    pub role: Role,
    /// A description of the token's purpose; at most 256 bytes.
    #[serde(default)]
    pub label: String,
    /// The time at which the token expires; `None` for never.
    #[serde(default)]
    pub expires: Option<Micros>,
}

/// The stored record of a token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRecord {
    /// The token's id.
    pub id: TokenId,
    /// The SHA-256 hash of the secret in hexadecimal digits. The secret is 32 random bytes, so it needs no salt.
    pub hash: String,
    /// The role of the token's bearer.
    #[serde(flatten)]
    pub role: Role,
    /// A description of the token's purpose.
    pub label: String,
    /// The time at which the token was created.
    pub created: Micros,
    /// The time at which the token expires; `None` for never.
    pub expires: Option<Micros>,
    /// The time at which the token was revoked; `None` if it was not.
    pub revoked: Option<Micros>,
}

/// A newly created token. Its text is shown to its owner once and is not stored.
#[derive(Clone)]
pub struct MintedToken {
    /// The text that the bearer sends to authenticate.
    pub text: String,
    /// The record to store.
    pub record: TokenRecord,
}

impl fmt::Debug for MintedToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MintedToken").field("record", &self.record).finish_non_exhaustive()
    }
}

impl TokenRecord {
    /// Makes a token from random bytes. Its text is `swh_`, the id, `_`, and the secret in URL-safe base64.
    ///
    /// # Errors
    /// If the label is too long or has control characters, or if the time of expiry is not in the future.
    pub fn mint(new: NewToken, seed: &TokenSeed, now: Micros) -> Result<MintedToken, InvalidValue> {
        check_label("label", &new.label)?;
        if new.expires.is_some_and(|expires| expires <= now) {
            return Err(InvalidValue::new("expires", "is in the past"));
        }
        let (id_seed, secret_seed) = seed.0.split_at(ID_SEED_BYTES);
        let id = TokenId(hex(id_seed));
        let secret = URL_SAFE_NO_PAD.encode(secret_seed);
        let text = format!("{TOKEN_PREFIX}_{id}_{secret}");
        let record = TokenRecord {
            id,
            hash: sha256_hex(secret.as_bytes()),
            role: new.role,
            label: new.label,
            created: now,
            expires: new.expires,
            revoked: None,
        };
        Ok(MintedToken { text, record })
    }

    /// Splits a token's text into the id and the secret; `None` if the text does not have the form of a token.
    pub fn parse_text(text: &str) -> Option<(TokenId, &str)> {
        let (id, secret) = text.strip_prefix(TOKEN_PREFIX)?.strip_prefix('_')?.split_once('_')?;
        Some((TokenId::new(id).ok()?, secret))
    }

    /// Whether `secret` is this token's secret and the token is valid. The hashes are compared in constant time.
    pub fn accepts(&self, secret: &str, now: Micros) -> bool {
        let hash = sha256_hex(secret.as_bytes());
        bool::from(hash.as_bytes().ct_eq(self.hash.as_bytes())) && self.is_valid(now)
    }

    /// Whether the token is neither revoked nor expired.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.revoked.is_none() && self.expires.is_none_or(|expires| now < expires)
    }

    /// The record without the hash, as it is shown in the audit trail and in lists.
    pub fn redacted(&self) -> serde_json::Value {
        let mut value = serde_json::to_value(self).unwrap_or_default();
        if let Some(fields) = value.as_object_mut() {
            fields.remove("hash");
        }
        value
    }
}
