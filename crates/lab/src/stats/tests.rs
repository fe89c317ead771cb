//! Tests of the statistics.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::*;

/// Guards against wrong ranks and interval tails, with which `compare` and `fidelity` would report false
/// results. The expected values were calculated by hand.
#[test]
fn statistics_match_values_calculated_by_hand() {
    assert_eq!(quantile(&[4.0, 1.0, 3.0, 2.0], 0.5), Some(2.5));
    assert_eq!(quantile(&[], 0.5), None);
    assert!((deviation(&[2.0, 4.0, 4.0, 4.0, 5.0, 5.0, 7.0, 9.0]) - 2.138).abs() < 1e-3);
    // Ranks 1, 2.5, 2.5, 4 against 1, 3, 2, 4: 4.5 / sqrt(4.5 * 5).
    let tied = [(1.0, 10.0), (2.0, 30.0), (2.0, 20.0), (9.0, 40.0)];
    assert!((rank_correlation(&tied).unwrap() - 4.5 / 22.5f64.sqrt()).abs() < 1e-12);
    assert_eq!(rank_correlation(&[(1.0, 2.0), (1.0, 3.0), (1.0, 4.0)]), None);
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let apart = bootstrap_mean(&[0.1, 0.12, 0.09, 0.11, 0.1], 0.95, 2000, &mut rng).unwrap();
    assert!(!apart.contains(0.0) && apart.contains(0.104), "{apart:?}");
    let noise = bootstrap_mean(&[0.1, -0.12, 0.09, -0.11, 0.02], 0.95, 2000, &mut rng).unwrap();
    assert!(noise.contains(0.0), "{noise:?}");
}
