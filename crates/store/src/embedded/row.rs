//! The encoding of a record as a table row: a checksum and the revision (eight bytes each, little-endian), then JSON.

use super::failure::EngineFailure;
use crate::error::StoreError;
use crate::key::Key;
use crate::revision::Revision;
use crate::store::Entry;
use twox_hash::XxHash3_64;

/// The checksum of a row and its key.
fn checksum(key: &str, revision_and_json: &[u8]) -> u64 {
    // The key's length is included so that moving a byte from the key to the value changes the checksum.
    let key_length = (key.len() as u64).to_le_bytes();
    XxHash3_64::oneshot(&[&key_length, key.as_bytes(), revision_and_json].concat())
}

/// Encodes a record as a row.
pub(super) fn encode_row(key: &str, revision: Revision, json: &[u8]) -> Vec<u8> {
    let revision_and_json = [&revision.0.to_le_bytes(), json].concat();
    let checksum = checksum(key, &revision_and_json);
    [&checksum.to_le_bytes(), &revision_and_json[..]].concat()
}

/// Decodes a row. A corrupt row is a failure of the engine, after which the file is closed.
pub(super) fn decode_row(key: &str, row: &[u8]) -> Result<Entry, EngineFailure> {
    let corrupt = |cause: &str| EngineFailure::corrupt(StoreError::corrupt(key, cause));
    let (stored_checksum, revision_and_json) = row
        .split_first_chunk::<8>()
        .ok_or_else(|| corrupt("the row is shorter than its checksum and revision"))?;
    if u64::from_le_bytes(*stored_checksum) != checksum(key, revision_and_json) {
        return Err(corrupt("the row does not match its checksum"));
    }
    let (revision, json) = revision_and_json
        .split_first_chunk::<8>()
        .ok_or_else(|| corrupt("the row is shorter than its checksum and revision"))?;
    let parsed = Key::parse(key).ok_or_else(|| corrupt("not a valid record key"))?;
    Ok(Entry { key: parsed, revision: Revision(u64::from_le_bytes(*revision)), value: json.to_vec() })
}
