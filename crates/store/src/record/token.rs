//! API tokens. Only the hash of a token's secret is stored, so reading the store gives nobody access.

use super::{NumericId, check_label};
use crate::digest::{hex, sha256_hex};
use crate::error::InvalidValue;
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use shorewharf_units::Micros;
use std::fmt;
use subtle::ConstantTimeEq;

/// The beginning of every token's text, by which leaked tokens are recognised.
const TOKEN_PREFIX: &str = "swh";

/// Digits of a token's id.
const ID_DIGITS: usize = 16;

/// Bytes of a seed that make the id; the rest makes the secret.
const ID_SEED_BYTES: usize = 8;

/// What a token's bearer may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "role", content = "place")]
pub enum Role {
    /// Everything.
    Operator,
    /// Read everything about the tenant with this id, and change what is that tenant's own.
    TenantAdmin(NumericId),
    /// Read everything but tokens.
    Viewer,
}

/// The public part of a token, by which it is found, revoked and named in the audit trail: 16 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenId(String);

impl TokenId {
    /// Checks an id.
    ///
    /// # Errors
    /// If it is not 16 lower-case hexadecimal digits.
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

/// Random bytes of a new token, from the system's source of secrets: 8 for its id, 32 for its secret.
#[derive(Clone)]
pub struct TokenSeed(pub [u8; 40]);

impl fmt::Debug for TokenSeed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("TokenSeed")
    }
}

/// A token to create.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewToken {
    /// What its bearer may do.
    #[serde(flatten)]
    pub role: Role,
    /// What it is for; at most 256 bytes.
    #[serde(default)]
    pub label: String,
    /// When it expires; `None` for never.
    #[serde(default)]
    pub expires: Option<Micros>,
}

/// A token as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRecord {
    /// Its id.
    pub id: TokenId,
    /// SHA-256 of its secret in hexadecimal digits. The secret is 32 random bytes, so it needs no salt.
    pub hash: String,
    /// What its bearer may do.
    #[serde(flatten)]
    pub role: Role,
    /// What it is for.
    pub label: String,
    /// When it was created.
    pub created: Micros,
    /// When it expires; `None` for never.
    pub expires: Option<Micros>,
    /// When it was revoked.
    pub revoked: Option<Micros>,
}

/// A new token. Its text is shown to its owner once and stored nowhere.
#[derive(Clone)]
pub struct MintedToken {
    /// What the bearer sends.
    pub text: String,
    /// What is stored.
    pub record: TokenRecord,
}

impl fmt::Debug for MintedToken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("MintedToken").field("record", &self.record).finish_non_exhaustive()
    }
}

impl TokenRecord {
    /// Makes a token of random bytes. Its text is `swh_`, the id, `_` and the secret in base64 (URL form).
    ///
    /// # Errors
    /// If the label is too long or has control characters, or the token would have expired already.
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

    /// The id and the secret within a token's text; `None` if it is not a token.
    pub fn parse_text(text: &str) -> Option<(TokenId, &str)> {
        let (id, secret) = text.strip_prefix(TOKEN_PREFIX)?.strip_prefix('_')?.split_once('_')?;
        Some((TokenId::new(id).ok()?, secret))
    }

    /// Whether the secret is this token's and the token is valid. Takes constant time in the hash.
    pub fn accepts(&self, secret: &str, now: Micros) -> bool {
        let hash = sha256_hex(secret.as_bytes());
        bool::from(hash.as_bytes().ct_eq(self.hash.as_bytes())) && self.is_valid(now)
    }

    /// Whether it is neither revoked nor expired.
    pub fn is_valid(&self, now: Micros) -> bool {
        self.revoked.is_none() && self.expires.is_none_or(|expires| now < expires)
    }

    /// The record as the audit trail and lists show it: without the hash.
    pub fn redacted(&self) -> serde_json::Value {
        let mut value = serde_json::to_value(self).unwrap_or_default();
        if let Some(fields) = value.as_object_mut() {
            fields.remove("hash");
        }
        value
    }
}
