//! Random numbers between 0 and 1, drawn as all of this package does, so that a seed always gives the same run.

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::RngCore;

/// Draws a number from 0 to 1, 1 excluded.
pub(crate) fn random_unit(rng: &mut Pcg64Mcg) -> f64 {
    (rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
}
