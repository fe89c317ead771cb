//! How a client's load moves over time.
//!
//! Loads are redrawn at the events of a Poisson process. The process belongs to the client and goes on while it moves
//! from node to node, so it is laid out as a function of time: a window of the mean distance holds a Poisson number of
//! events at even places, all drawn from the client's key and the window's number. Any node can ask for the load now
//! and for the next change, and keeps nothing.

use rand::{Rng, SeedableRng};
use rand_distr::{Distribution, LogNormal, Poisson};
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

use crate::day::Class;

/// Load of an idle connection, in its usual loads.
const IDLE: f64 = 0.1;
/// Windows that are looked at for an event; without one in so many, the load stays (a chance of e^-64).
const WINDOWS: i64 = 64;
/// Sigma of a client's own part of the set-up work.
const SET_UP_SIGMA: f64 = 0.3;

/// How the loads of a class move.
#[derive(Clone, Debug)]
pub(super) struct LoadOscillation {
    change: Micros,
    idle: f64,
    /// Of one who is not idle.
    active: LogNormal<f64>,
    one: Poisson<f64>,
}

/// A lognormal of this mean.
pub(super) fn lognormal(mean: f64, sigma: f64) -> LogNormal<f64> {
    let sigma = if sigma.is_finite() { sigma.max(0.0) } else { 0.0 };
    LogNormal::new(mean.max(1e-12).ln() - sigma * sigma / 2.0, sigma).expect("a finite sigma, not below 0")
}

/// A generator of its own for each pair.
fn of(key: u64, what: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(key ^ what.wrapping_mul(0x9e37_79b9_7f4a_7c15).rotate_left(23))
}

/// A client's own part of the work of its set-ups: mean 1, the same at each of its tries.
pub(super) fn set_up(key: u64) -> f64 {
    lognormal(1.0, SET_UP_SIGMA).sample(&mut of(key, u64::MAX))
}

impl LoadOscillation {
    pub fn new(class: &Class) -> LoadOscillation {
        let idle = class.idle.clamp(0.0, 0.99);
        LoadOscillation {
            change: class.change,
            idle,
            active: lognormal((1.0 - IDLE * idle) / (1.0 - idle), class.swing_sigma),
            one: Poisson::new(1.0).expect("1 is above 0"),
        }
    }

    /// The events of a window, in order, each with the load that it sets.
    fn window(&self, key: u64, window: i64, out: &mut Vec<(Micros, f64)>) {
        out.clear();
        let mut rng = of(key, window as u64);
        let begin = window.saturating_mul(self.change as i64);
        for _ in 0..self.one.sample(&mut rng) as u32 {
            let at = begin + rng.random_range(0..self.change as i64);
            let load = if rng.random_bool(self.idle) { IDLE } else { self.active.sample(&mut rng) };
            // Before the day only the last event counts, and any time before 0 does.
            out.push((at.max(0) as Micros, load));
        }
        out.sort_by_key(|(at, _)| *at);
    }

    /// The load at this time, in the client's usual loads, and when it changes next.
    pub fn at(&self, key: u64, now: Micros) -> (f64, Option<Micros>) {
        let mut events = Vec::new();
        if self.change == 0 {
            return (1.0, None);
        }
        let home = (now / self.change) as i64;
        let (mut load, mut next) = (None, None);
        for back in 0..WINDOWS {
            self.window(key, home - back, &mut events);
            if back == 0 {
                next = events.iter().map(|e| e.0).find(|at| *at > now);
            }
            if let Some(last) = events.iter().rev().find(|e| e.0 <= now) {
                load = Some(last.1);
                break;
            }
        }
        for ahead in 1..WINDOWS {
            if next.is_some() {
                break;
            }
            self.window(key, home + ahead, &mut events);
            next = events.first().map(|e| e.0);
        }
        (load.unwrap_or(1.0), next)
    }
}
