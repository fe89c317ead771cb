//! Random numbers. All of this package draws them in the same way, so that a run can be reproduced from its seed.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::RngCore;

/// Draws a uniformly distributed number from 0 (inclusive) to 1 (exclusive).
pub(crate) fn random_unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
