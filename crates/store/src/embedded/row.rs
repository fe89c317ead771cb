//! How a record is stored in a row: checksum and revision (eight bytes each, least significant first), then JSON.

use super::failure::EngineFailure;
use crate::error::StoreError;
use crate::key::Key;
use crate::revision::Revision;
use crate::store::Entry;
use twox_hash::XxHash3_64;

/// The checksum of a key, and the revision and JSON under it.
fn checksum(key: &str, revision_and_json: &[u8]) -> u64 {
    // The length of the key, so that no byte can move unnoticed from the key to the value.
    let key_length = (key.len() as u64).to_le_bytes();
    XxHash3_64::oneshot(&[&key_length, key.as_bytes(), revision_and_json].concat())
}

/// The row of a record.
pub(super) fn encode_row(key: &str, revision: Revision, json: &[u8]) -> Vec<u8> {
    let revision_and_json = [&revision.0.to_le_bytes(), json].concat();
    let checksum = checksum(key, &revision_and_json);
    [&checksum.to_le_bytes(), &revision_and_json[..]].concat()
}

/// The record in a row. A row that is not what was written closes the file.
pub(super) fn decode_row(key: &str, row: &[u8]) -> Result<Entry, EngineFailure> {
    let corrupt = |cause: &str| EngineFailure::corrupt(StoreError::corrupt(key, cause));
    let (stored_checksum, revision_and_json) =
        row.split_first_chunk::<8>().ok_or_else(|| corrupt("the row is too short"))?;
    if u64::from_le_bytes(*stored_checksum) != checksum(key, revision_and_json) {
        return Err(corrupt("the row's checksum differs"));
    }
    let (revision, json) =
        revision_and_json.split_first_chunk::<8>().ok_or_else(|| corrupt("the row is too short"))?;
    let parsed = Key::parse(key).ok_or_else(|| corrupt("is no key"))?;
    Ok(Entry { key: parsed, revision: Revision(u64::from_le_bytes(*revision)), value: json.to_vec() })
}
