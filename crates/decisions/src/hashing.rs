//! Hashes that are the same at all instances, so that the instances agree on an order of servers without
//! communicating.

use crate::interface::ServerId;

const GOLDEN_RATIO_BITS: u64 = 0x9e37_79b9_7f4a_7c15;

/// The finalizer of SplitMix64.
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// Hashes two values into one.
pub(crate) fn hash_pair(first: u64, second: u64) -> u64 {
    mix(mix(first.wrapping_add(GOLDEN_RATIO_BITS)).wrapping_add(second))
}

/// Maps 64 random bits to a number between 0 and 1, both excluded.
pub(crate) fn to_unit_interval(bits: u64) -> f64 {
    ((bits >> 11) as f64 + 0.5) / (1u64 << 53) as f64
}

/// The rank of a server for `key` by weighted rendezvous hashing: the lowest rank comes first.
pub fn rendezvous_rank(key: u64, server: ServerId, weight: f64) -> f64 {
    -to_unit_interval(hash_pair(key, server.0)).ln() / weight
}

/// A pseudo-random number between 0 and 1 that depends on `key`, the server and the start time of its
/// process.
pub fn pseudo_random_ratio(key: u64, server: ServerId, started_at: f64) -> f64 {
    to_unit_interval(hash_pair(hash_pair(key, server.0), started_at.to_bits()))
}
