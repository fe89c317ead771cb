//! Datagrams, which contain announcements and an authentication tag. Their content is not encrypted.

use hmac::{Hmac, KeyInit, Mac};
use sha2::Sha256;
use thiserror::Error;

use crate::announcement::Announcement;
use crate::error::RejectReason;

/// The maximum length of a datagram, which is low enough to avoid fragmentation.
pub const MAX_DATAGRAM_BYTES: usize = 1_300;
/// The name and the version of the format.
const MAGIC: &[u8; 4] = b"SWG1";
/// The length of the number of announcements.
const COUNT_BYTES: usize = 1;
/// The length of the authentication tag: the first half of an HMAC-SHA256.
const TAG_BYTES: usize = 16;
/// The minimum length of a key. Shorter keys are too easy to guess.
const MIN_KEY_BYTES: usize = 16;

/// The key is too short.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("the key has {0} bytes; expected at least {MIN_KEY_BYTES}")]
pub struct KeyError(usize);

/// The key that all balancers of a fleet share.
#[derive(Clone)]
pub struct Key(Hmac<Sha256>);

impl std::fmt::Debug for Key {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Key(..)")
    }
}

impl Key {
    /// The number of bytes for announcements in a datagram.
    pub(crate) const MAX_CONTENT_BYTES: usize = MAX_DATAGRAM_BYTES - MAGIC.len() - COUNT_BYTES - TAG_BYTES;

    /// Creates a key from these bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if there are fewer than 16 bytes.
    pub fn new(bytes: &[u8]) -> Result<Key, KeyError> {
        match Hmac::new_from_slice(bytes) {
            Ok(mac) if bytes.len() >= MIN_KEY_BYTES => Ok(Key(mac)),
            _ => Err(KeyError(bytes.len())),
        }
    }

    /// Encodes announcements as a datagram with an authentication tag. The announcements have to fit into one
    /// datagram.
    pub fn encode_datagram<'a>(&self, announcements: impl IntoIterator<Item = &'a Announcement>) -> Vec<u8> {
        let mut datagram = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        datagram.extend(MAGIC);
        datagram.push(0);
        for announcement in announcements {
            announcement.encode(&mut datagram);
            datagram[MAGIC.len()] += 1;
        }
        let mac = self.0.clone().chain_update(&datagram).finalize().into_bytes();
        datagram.extend(&mac[..TAG_BYTES]);
        datagram
    }

    /// Verifies the authentication tag of a datagram and decodes its announcements.
    ///
    /// # Errors
    ///
    /// Returns an error if the datagram is malformed or its tag was not made with this key.
    pub fn decode_datagram(&self, datagram: &[u8]) -> Result<Vec<Announcement>, RejectReason> {
        let content_len = datagram.len().checked_sub(TAG_BYTES).ok_or(RejectReason::Malformed)?;
        let (content, tag) = datagram.split_at(content_len);
        let body = content.strip_prefix(MAGIC).and_then(|body| body.split_first());
        let (count, mut input) = body.ok_or(RejectReason::Malformed)?;
        let mac = self.0.clone().chain_update(content);
        mac.verify_truncated_left(tag).map_err(|_| RejectReason::InvalidTag)?;
        let decoded = (0..*count).map(|_| Announcement::decode(&mut input));
        let announcements = decoded.collect::<Result<Vec<_>, _>>()?;
        if input.is_empty() { Ok(announcements) } else { Err(RejectReason::Malformed) }
    }
}
