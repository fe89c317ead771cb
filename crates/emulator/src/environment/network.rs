//! How long a way takes. A leg never takes less than a fixed part of its mean, and what comes on top is exponential:
//! most legs are quick and a few are slow, as queues in a network make them.

use rand::Rng;
use rand_distr::Exp1;
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

use crate::day;

/// The delays of one day.
#[derive(Clone, Debug)]
pub struct Network {
    same: f64,
    cross: f64,
    client: Micros,
    jitter: f64,
    rng: Pcg64Mcg,
}

impl Network {
    /// The delays that `net` states, drawn with `rng`.
    pub fn new(net: &day::Net, rng: Pcg64Mcg) -> Network {
        let jitter = net.jitter.clamp(0.0, 1.0);
        Network { same: net.same as f64, cross: net.cross as f64, client: net.client, jitter, rng }
    }

    /// One way between two zones, drawn anew: `base · (1 − jitter + jitter · Exp(1))`, so the mean is the base.
    pub fn between(&mut self, from: u32, to: u32) -> Micros {
        let base = if from == to { self.same } else { self.cross };
        if self.jitter == 0.0 {
            return base as Micros;
        }
        let tail: f64 = self.rng.sample(Exp1);
        (base * (1.0 - self.jitter + self.jitter * tail)) as Micros
    }

    /// One way between a client and its balancer; it does not vary.
    pub fn client(&self) -> Micros {
        self.client
    }
}

#[cfg(test)]
mod tests;
