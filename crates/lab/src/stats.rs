//! Statistics for the reports: means, standard deviations, quantiles, rank correlations and bootstrap
//! intervals. All are pure functions; random draws come from the caller's generator.

use rand::Rng;
use serde::{Deserialize, Serialize};

/// The mean; none for an empty list.
pub fn mean(xs: &[f64]) -> Option<f64> {
    (!xs.is_empty()).then(|| xs.iter().sum::<f64>() / xs.len() as f64)
}

/// The standard deviation of a sample; 0 for fewer than two values.
pub fn deviation(xs: &[f64]) -> f64 {
    let Some(m) = mean(xs).filter(|_| xs.len() > 1) else { return 0.0 };
    (xs.iter().map(|x| (x - m).powi(2)).sum::<f64>() / (xs.len() - 1) as f64).sqrt()
}

/// The quantile `q` (0 to 1) with linear interpolation between neighbours; none for an empty list.
pub fn quantile(xs: &[f64], q: f64) -> Option<f64> {
    let mut sorted = xs.to_vec();
    sorted.sort_by(f64::total_cmp);
    let at = q.clamp(0.0, 1.0) * sorted.len().checked_sub(1)? as f64;
    let (low, part) = (at.floor() as usize, at.fract());
    let high = (low + 1).min(sorted.len() - 1);
    Some(sorted[low] * (1.0 - part) + sorted[high] * part)
}

/// A closed interval.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Interval {
    /// The lower end.
    pub low: f64,
    /// The upper end.
    pub high: f64,
}

impl Interval {
    /// Whether the interval contains a value.
    pub fn contains(&self, x: f64) -> bool {
        (self.low..=self.high).contains(&x)
    }
}

/// Interval that contains the part `level` of the means of `draws` resamples (percentile bootstrap). None for
/// fewer than two values, which say nothing about their spread.
pub fn bootstrap_mean(xs: &[f64], level: f64, draws: usize, rng: &mut impl Rng) -> Option<Interval> {
    if xs.len() < 2 {
        return None;
    }
    let means: Vec<f64> = (0..draws)
        .map(|_| (0..xs.len()).map(|_| xs[rng.random_range(0..xs.len())]).sum::<f64>() / xs.len() as f64)
        .collect();
    let tail = (1.0 - level.clamp(0.0, 1.0)) / 2.0;
    Some(Interval { low: quantile(&means, tail)?, high: quantile(&means, 1.0 - tail)? })
}

/// Spearman's rank correlation, where ties get their mean rank. None for fewer than three pairs, or if all
/// values of one side are equal.
pub fn rank_correlation(pairs: &[(f64, f64)]) -> Option<f64> {
    if pairs.len() < 3 {
        return None;
    }
    let a = ranks(&pairs.iter().map(|p| p.0).collect::<Vec<_>>());
    let b = ranks(&pairs.iter().map(|p| p.1).collect::<Vec<_>>());
    let middle = (pairs.len() as f64 + 1.0) / 2.0;
    let (mut ab, mut aa, mut bb) = (0.0, 0.0, 0.0);
    for (x, y) in a.iter().zip(&b) {
        ab += (x - middle) * (y - middle);
        aa += (x - middle).powi(2);
        bb += (y - middle).powi(2);
    }
    (aa > 0.0 && bb > 0.0).then(|| ab / (aa * bb).sqrt())
}

fn ranks(xs: &[f64]) -> Vec<f64> {
    let mut order: Vec<usize> = (0..xs.len()).collect();
    order.sort_by(|a, b| xs[*a].total_cmp(&xs[*b]));
    let mut ranks = vec![0.0; xs.len()];
    let mut from = 0;
    while from < order.len() {
        let ties = order[from..].iter().take_while(|i| xs[**i] == xs[order[from]]).count();
        for i in &order[from..from + ties] {
            ranks[*i] = from as f64 + (ties as f64 + 1.0) / 2.0;
        }
        from += ties;
    }
    ranks
}

#[cfg(test)]
mod tests;
