//! Hashes as they are stored in records and keys: SHA-256 in hexadecimal digits.

use sha2::{Digest, Sha256};

/// Lower-case hexadecimal digits of `bytes`.
pub(crate) fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// SHA-256 of `bytes` in hexadecimal digits.
pub(crate) fn sha256_hex(bytes: &[u8]) -> String {
    hex(&Sha256::digest(bytes))
}
