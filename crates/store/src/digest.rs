//! The hashes in stored records and keys: SHA-256 in hexadecimal digits.

use sha2::{Digest, Sha256};

/// `bytes` as lower-case hexadecimal digits.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The SHA-256 hash of `bytes` as lower-case hexadecimal digits.
pub(crate) fn sha256_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}
