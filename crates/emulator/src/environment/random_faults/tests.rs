//! Tests of the random faults.

use super::*;
use rand::SeedableRng;
use shorewharf_units::seconds_from_micros;

/// Some ranges have a hardest value below the mildest, and some faults are longer than the day. Every
/// parameter lies within its range, most of each fault lies within the day where it fits, and the same seed
/// draws the same faults.
#[test]
fn faults_lie_within_their_ranges_and_mostly_within_the_day() {
    let crash =
        Range { kind: FaultKind::Crash, len_s: (5.0, 60.0), size: (0.0, 0.0), part: Some((0.05, 0.25)) };
    let reconnect = Range { kind: FaultKind::Reconnect, len_s: (2.5, 0.3), size: (0.1, 0.5), part: None };
    let kinds = [crash, reconnect];
    let mut rng = Pcg64Mcg::seed_from_u64(1);
    let all: Vec<Vec<Fault>> = (0..300).map(|_| draw(50_000_000, (2, 4), &kinds, &mut rng)).collect();
    let mut again = Pcg64Mcg::seed_from_u64(1);
    assert_eq!(draw(50_000_000, (2, 4), &kinds, &mut again), all[0]);
    assert!((2..=4).all(|n| all.iter().any(|day| day.len() == n)));
    for f in all.iter().flatten() {
        let (len, part, size) = (seconds_from_micros(f.len), f.part.unwrap_or(0.1), f.size);
        let in_range = match f.kind {
            FaultKind::Crash => (5.0..=60.0).contains(&len) && (0.05..=0.25).contains(&part),
            _ => (0.3..=2.5).contains(&len) && (0.1..=0.5).contains(&size),
        };
        let counted_end = seconds_from_micros(f.at) + 0.8 * len;
        assert!(in_range && f.at >= 1_500_000 && (counted_end <= 48.51 || f.at == 1_500_000), "{f:?}");
    }
}
