//! API tokens. Only the hash of a token is kept: who reads the store can't act as anybody.

use super::{LONGEST_LABEL, Micros, Place, label};
use crate::error::Invalid;
use crate::name::hex;
use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::fmt;
use subtle::ConstantTimeEq;

/// What a token's bearer may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "role", content = "place")]
pub enum Role {
    /// Everything.
    Operator,
    /// Read everything about the tenant at a place, and change what is that tenant's own.
    TenantAdmin(Place),
    /// Read everything but tokens.
    Viewer,
}

/// The public part of a token, by which it is found, revoked and named in the audit trail: 16 hexadecimal digits.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TokenId(String);

impl TokenId {
    /// Checks an id.
    pub fn new(text: &str) -> Result<TokenId, Invalid> {
        match text.len() == 16 && text.bytes().all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b)) {
            true => Ok(TokenId(text.into())),
            false => Err(Invalid::new("id", "is not 16 hexadecimal digits")),
        }
    }

    /// The id.
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
    type Error = Invalid;
    fn try_from(text: String) -> Result<TokenId, Invalid> {
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

/// What a token is made of.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct NewToken {
    /// What its bearer may do.
    #[serde(flatten)]
    pub role: Role,
    /// What it is for; at most 256 bytes.
    #[serde(default)]
    pub label: String,
    /// When it ends; `None` for never.
    #[serde(default)]
    pub expires: Option<Micros>,
}

/// A token as it is kept.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenRecord {
    /// Its id.
    pub id: TokenId,
    /// SHA-256 of its secret, as hexadecimal digits. The secret is 32 random bytes, so it needs no salt.
    pub hash: String,
    /// What its bearer may do.
    #[serde(flatten)]
    pub role: Role,
    /// What it is for.
    pub label: String,
    /// When it was made.
    pub created: Micros,
    /// When it ends; `None` for never.
    pub expires: Option<Micros>,
    /// When it was revoked.
    pub revoked: Option<Micros>,
}

/// A new token: its text is shown to its owner once and kept nowhere.
#[derive(Clone)]
pub struct Minted {
    /// What the bearer sends.
    pub text: String,
    /// What is kept.
    pub record: TokenRecord,
}

impl fmt::Debug for Minted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Minted").field("record", &self.record).finish_non_exhaustive()
    }
}

/// What each token begins with, so that a leaked one is recognised.
const MARK: &str = "swh";

impl TokenRecord {
    /// Makes a token of random bytes. Its text is `swh_`, the id, `_` and the secret in base64 (URL form).
    pub fn mint(new: NewToken, seed: &TokenSeed, now: Micros) -> Result<Minted, Invalid> {
        label("label", &new.label, LONGEST_LABEL)?;
        if new.expires.is_some_and(|at| at <= now) {
            return Err(Invalid::new("expires", "is in the past"));
        }
        let id = TokenId(hex(&seed.0[..8]));
        let secret = URL_SAFE_NO_PAD.encode(&seed.0[8..]);
        let record = TokenRecord {
            hash: hash(&secret),
            id: id.clone(),
            role: new.role,
            label: new.label,
            created: now,
            expires: new.expires,
            revoked: None,
        };
        Ok(Minted { text: format!("{MARK}_{id}_{secret}"), record })
    }

    /// The id and the secret within a token's text; `None` where it is no token.
    pub fn split(text: &str) -> Option<(TokenId, &str)> {
        let (id, secret) = text.strip_prefix(MARK)?.strip_prefix('_')?.split_once('_')?;
        Some((TokenId::new(id).ok()?, secret))
    }

    /// Whether the secret is this token's and the token is in force. The time that it takes tells nothing of the hash.
    pub fn admits(&self, secret: &str, now: Micros) -> bool {
        bool::from(hash(secret).as_bytes().ct_eq(self.hash.as_bytes())) && self.stands(now)
    }

    /// Whether it is neither revoked nor past its end.
    pub fn stands(&self, now: Micros) -> bool {
        self.revoked.is_none() && self.expires.is_none_or(|at| now < at)
    }

    /// The record as the audit trail and lists show it: without the hash.
    pub fn shown(&self) -> serde_json::Value {
        let mut shown = serde_json::to_value(self).unwrap_or_default();
        if let Some(fields) = shown.as_object_mut() {
            fields.remove("hash");
        }
        shown
    }
}

fn hash(secret: &str) -> String {
    hex(&Sha256::digest(secret.as_bytes()))
}
