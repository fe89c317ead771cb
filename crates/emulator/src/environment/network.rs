//! One-way network delays. A delay is a fixed part of its mean plus an exponential part: most delays are
//! short and a few are long, as with queues in a network.

use rand::Rng;
use rand_distr::Exp1;
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

use crate::day;

/// Draws the network delays of a day.
#[derive(Clone, Debug)]
pub struct Network {
    same: f64,
    cross: f64,
    client: Micros,
    jitter: f64,
    rng: Pcg64Mcg,
}

impl Network {
    /// Creates a network with the mean delays and the jitter of `net`.
    pub fn new(net: &day::Net, rng: Pcg64Mcg) -> Network {
        let jitter = net.jitter.clamp(0.0, 1.0);
        Network { same: net.same as f64, cross: net.cross as f64, client: net.client, jitter, rng }
    }

    /// Draws the one-way delay between two zones: `base · (1 − jitter + jitter · Exp(1))`, so the mean is the
    /// base.
    pub fn between(&mut self, from: u32, to: u32) -> Micros {
        let base = if from == to { self.same } else { self.cross };
        if self.jitter == 0.0 {
            return base as Micros;
        }
        let tail: f64 = self.rng.sample(Exp1);
        (base * (1.0 - self.jitter + self.jitter * tail)) as Micros
    }

    /// The one-way delay between a client and its balancer, which is constant.
    pub fn client(&self) -> Micros {
        self.client
    }
}

#[cfg(test)]
mod tests;
