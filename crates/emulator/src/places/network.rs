//! How long a way takes. A leg never takes less than a fixed part of its mean, and what comes on top is exponential:
//! most legs are quick and a few are slow, as queues in a network make them.

use rand::Rng;
use rand_distr::Exp1;
use rand_pcg::Pcg64Mcg;

use crate::{Micros, day};

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
mod tests {
    use super::*;
    use rand::SeedableRng;

    /// Failure: delays that are drawn below what light and wires allow, or whose mean drifts from the stated one.
    #[test]
    fn a_leg_has_a_floor_and_the_stated_mean() {
        let net = day::Net { same: 300, cross: 10_000, client: 500, jitter: 0.3 };
        let mut network = Network::new(&net, Pcg64Mcg::seed_from_u64(1));
        let legs: Vec<Micros> = (0..20_000).map(|_| network.between(0, 1)).collect();
        let mean = legs.iter().sum::<u64>() as f64 / legs.len() as f64;
        assert!((9_900.0..10_100.0).contains(&mean), "mean {mean}");
        assert!(legs.iter().all(|&l| l >= 7_000), "a leg under the floor");
        // A tenth of exponential tails lies beyond ln 10.
        let slow = legs.iter().filter(|&&l| l as f64 > 7_000.0 + 3_000.0 * 10f64.ln()).count();
        assert!((1_800..2_200).contains(&slow), "{slow} slow legs of 20000");
        assert!(network.between(2, 2) < 3_000);
    }
}
