//! The plain layer before the balancers: deals clients out over the balancers of their zone. It takes a balancer in
//! once it has answered, and learns of a death only after some time: until then it deals clients to the dead one.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

use crate::day::Day;
use crate::edge::BalancerId;

/// A balancer that begins a planned end is still dealt clients for between this ...
const LEAVES_AFTER_LEAST: Micros = 200_000;
/// ... and this.
const LEAVES_AFTER_MOST: Micros = 400_000;
/// A death is noticed within this much of the stated time, as discovery notices ended processes.
const NOTICE_SPREAD: f64 = 0.2;

/// Who is dealt clients.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BalancerStatus {
    /// It has not answered yet, or is known to be gone.
    Out,
    /// It is dealt clients.
    In,
    /// It is dealt clients until then.
    Until(Micros),
}

/// The front of all zones.
#[derive(Clone, Debug)]
pub struct Front {
    zone_of: Vec<u32>,
    standing: Vec<BalancerStatus>,
    /// By zone: who is dealt clients there. Those whose time is over are dropped when they are met.
    dealt: Vec<Vec<BalancerId>>,
    /// The same over all zones.
    everywhere: Vec<BalancerId>,
    notice: f64,
    rng: Pcg64Mcg,
}

impl Front {
    /// A front that has taken nobody in yet.
    pub fn new(day: &Day, rng: Pcg64Mcg) -> Front {
        let zone_of: Vec<u32> = day.balancers.iter().map(|b| b.zone).collect();
        let zones = zone_of.iter().map(|&z| z as usize + 1).max().unwrap_or(0).max(day.zones.len());
        Front {
            standing: vec![BalancerStatus::Out; zone_of.len()],
            zone_of,
            dealt: vec![Vec::new(); zones],
            everywhere: Vec::new(),
            notice: day.front.notice as f64,
            rng,
        }
    }

    /// The balancer has answered for the first time since it started: clients are dealt to it from now on.
    pub fn answered(&mut self, _now: Micros, balancer: BalancerId) {
        self.standing[balancer.0 as usize] = BalancerStatus::In;
        // It may still be listed from before its end: once each is enough.
        for list in [&mut self.dealt[self.zone_of[balancer.0 as usize] as usize], &mut self.everywhere] {
            list.retain(|&b| b != balancer);
            list.push(balancer);
        }
    }

    /// Its process has died: nothing says so to the front, which finds out after its notice time.
    pub fn died(&mut self, now: Micros, balancer: BalancerId) {
        let late = self.notice * self.rng.random_range(1.0 - NOTICE_SPREAD..1.0 + NOTICE_SPREAD);
        self.leaves(balancer, now + late as Micros);
    }

    /// A planned end has begun: clients come for a moment yet.
    pub fn terminates(&mut self, now: Micros, balancer: BalancerId) {
        let after = self.rng.random_range(LEAVES_AFTER_LEAST..=LEAVES_AFTER_MOST);
        self.leaves(balancer, now + after);
    }

    fn leaves(&mut self, balancer: BalancerId, at: Micros) {
        let standing = &mut self.standing[balancer.0 as usize];
        *standing = match *standing {
            BalancerStatus::Out => BalancerStatus::Out,
            BalancerStatus::In => BalancerStatus::Until(at),
            BalancerStatus::Until(sooner) => BalancerStatus::Until(sooner.min(at)),
        };
    }

    /// Whom a client of this zone is dealt to: any balancer of the zone, each as likely; where the zone has none, any
    /// of all. It may be one that has died unnoticed. None where nobody is left.
    pub fn pick(&mut self, now: Micros, zone: u32) -> Option<BalancerId> {
        let standing = &mut self.standing;
        let mut still = |b: &BalancerId| match standing[b.0 as usize] {
            BalancerStatus::In => true,
            BalancerStatus::Until(at) => now < at,
            BalancerStatus::Out => false,
        };
        let here = self.dealt.get_mut(zone as usize);
        if let Some(here) = here {
            here.retain(&mut still);
            if !here.is_empty() {
                return Some(here[self.rng.random_range(0..here.len())]);
            }
        }
        self.everywhere.retain(&mut still);
        if self.everywhere.is_empty() {
            return None;
        }
        Some(self.everywhere[self.rng.random_range(0..self.everywhere.len())])
    }
}

#[cfg(test)]
mod tests;
