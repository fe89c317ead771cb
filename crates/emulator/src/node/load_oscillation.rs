//! The variation of a client's load over time.
//!
//! A load is redrawn at the events of a Poisson process. The process belongs to the client and continues
//! while the client migrates between nodes, so it is computed as a function of time: time is divided into
//! windows as long as the mean time between events. A window holds a Poisson-distributed number of events at
//! uniformly distributed times, all drawn from the client's key and the index of the window. Any node can
//! compute the present load and the next change without keeping state.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Poisson};
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

use crate::day::Class;

/// The load of an idle connection, as a ratio of its client's mean load.
const IDLE_LOAD: f64 = 0.1;
/// The number of windows that are searched for an event in each direction. Without an event in all of them,
/// which has a probability of e^-64, the load does not change.
const MAX_WINDOWS: i64 = 64;
/// The sigma of the lognormal factor of a client's set-up work.
const SETUP_WORK_SIGMA: f64 = 0.3;

/// The variation of the loads of a class.
#[derive(Clone, Debug)]
pub(super) struct LoadOscillation {
    mean_interval: Micros,
    idle: f64,
    /// The distribution of the load of a connection that is not idle.
    active: LogNormal<f64>,
    events_per_window: Poisson<f64>,
}

/// A lognormal distribution with this mean.
pub(super) fn lognormal(mean: f64, sigma: f64) -> LogNormal<f64> {
    let sigma = if sigma.is_finite() { sigma.max(0.0) } else { 0.0 };
    LogNormal::new(mean.max(1e-12).ln() - sigma * sigma / 2.0, sigma)
        .expect("sigma is finite and not negative")
}

/// Returns a random number generator that depends only on a client's key and a window's index.
fn window_rng(key: u64, window: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(key ^ window.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23))
}

/// The factor of a client's set-up work, which has a mean of 1 and is the same in all of the client's
/// attempts.
pub(super) fn setup_work_factor(key: u64) -> f64 {
    lognormal(1.0, SETUP_WORK_SIGMA).sample(&mut window_rng(key, u64::MAX))
}

impl LoadOscillation {
    pub fn new(class: &Class) -> LoadOscillation {
        let idle = class.idle.clamp(0.0, 0.99);
        LoadOscillation {
            mean_interval: class.change,
            idle,
            active: lognormal((1.0 - IDLE_LOAD * idle) / (1.0 - idle), class.swing_sigma),
            events_per_window: Poisson::new(1.0).expect("the mean 1 is positive"),
        }
    }

    /// Computes the events of a window, ordered by time, each with the load from then on.
    fn window(&self, key: u64, window: i64, out: &mut Vec<(Micros, f64)>) {
        out.clear();
        let mut rng = window_rng(key, window as u64);
        let begin = window.saturating_mul(self.mean_interval as i64);
        for _ in 0..self.events_per_window.sample(&mut rng) as u32 {
            let at = begin + rng.random_range(0..self.mean_interval as i64);
            let load = if rng.random_bool(self.idle) { IDLE_LOAD } else { self.active.sample(&mut rng) };
            // Of the events before the day only the last one matters, and its exact time does not.
            out.push((at.max(0) as Micros, load));
        }
        out.sort_by_key(|(at, _)| *at);
    }

    /// The load at this time as a ratio of the client's mean load, and the time of its next change.
    pub fn at(&self, key: u64, now: Micros) -> (f64, Option<Micros>) {
        let mut events = Vec::new();
        if self.mean_interval == 0 {
            return (1.0, None);
        }
        let current = (now / self.mean_interval) as i64;
        let (mut load, mut next) = (None, None);
        for back in 0..MAX_WINDOWS {
            self.window(key, current - back, &mut events);
            if back == 0 {
                next = events.iter().map(|e| e.0).find(|at| *at > now);
            }
            if let Some(last) = events.iter().rev().find(|e| e.0 <= now) {
                load = Some(last.1);
                break;
            }
        }
        for ahead in 1..MAX_WINDOWS {
            if next.is_some() {
                break;
            }
            self.window(key, current + ahead, &mut events);
            next = events.first().map(|e| e.0);
        }
        (load.unwrap_or(1.0), next)
    }
}
