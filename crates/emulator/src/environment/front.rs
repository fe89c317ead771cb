//! The layer-4 front end before the balancers: it assigns clients to the balancers of their zone. It adds a balancer once
//! the balancer is ready, and detects a death only after some time: until then clients are assigned to the dead one.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

use crate::day::Day;
use crate::edge::BalancerId;

/// The shortest time for which clients are still assigned to a balancer that terminates ...
const MIN_REMOVAL_DELAY: Micros = 200_000;
/// ... and the longest.
const MAX_REMOVAL_DELAY: Micros = 400_000;
/// A death is detected within this ratio of the stated time, as discovery detects ended processes.
const DETECTION_SPREAD_RATIO: f64 = 0.2;

/// Whether clients are assigned to a balancer.
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
    status: Vec<BalancerStatus>,
    /// By zone: who is dealt clients there. Those whose time is over are dropped when they are met.
    assignable: Vec<Vec<BalancerId>>,
    /// The same over all zones.
    assignable_in_any_zone: Vec<BalancerId>,
    detection_time: f64,
    rng: Pcg64Mcg,
}

impl Front {
    /// A front that has taken nobody in yet.
    pub fn new(day: &Day, rng: Pcg64Mcg) -> Front {
        let zone_of: Vec<u32> = day.balancers.iter().map(|b| b.zone).collect();
        let zones = zone_of.iter().map(|&z| z as usize + 1).max().unwrap_or(0).max(day.zones.len());
        Front {
            status: vec![BalancerStatus::Out; zone_of.len()],
            zone_of,
            assignable: vec![Vec::new(); zones],
            assignable_in_any_zone: Vec::new(),
            detection_time: day.front.notice as f64,
            rng,
        }
    }

    /// The balancer has answered for the first time since it started: clients are dealt to it from now on.
    pub fn on_ready(&mut self, _now: Micros, balancer: BalancerId) {
        self.status[balancer.0 as usize] = BalancerStatus::In;
        // It may still be listed from before its end: once each is enough.
        for list in [
            &mut self.assignable[self.zone_of[balancer.0 as usize] as usize],
            &mut self.assignable_in_any_zone,
        ] {
            list.retain(|&b| b != balancer);
            list.push(balancer);
        }
    }

    /// Its process has died: nothing says so to the front, which finds out after its notice time.
    pub fn on_death(&mut self, now: Micros, balancer: BalancerId) {
        let late = self.detection_time
            * self.rng.random_range(1.0 - DETECTION_SPREAD_RATIO..1.0 + DETECTION_SPREAD_RATIO);
        self.schedule_removal(balancer, now + late as Micros);
    }

    /// A planned end has begun: clients come for a moment yet.
    pub fn on_terminate(&mut self, now: Micros, balancer: BalancerId) {
        let after = self.rng.random_range(MIN_REMOVAL_DELAY..=MAX_REMOVAL_DELAY);
        self.schedule_removal(balancer, now + after);
    }

    fn schedule_removal(&mut self, balancer: BalancerId, at: Micros) {
        let status = &mut self.status[balancer.0 as usize];
        *status = match *status {
            BalancerStatus::Out => BalancerStatus::Out,
            BalancerStatus::In => BalancerStatus::Until(at),
            BalancerStatus::Until(sooner) => BalancerStatus::Until(sooner.min(at)),
        };
    }

    /// Whom a client of this zone is dealt to: any balancer of the zone, each as likely; where the zone has none, any
    /// of all. It may be one that has died unnoticed. None where nobody is left.
    pub fn pick(&mut self, now: Micros, zone: u32) -> Option<BalancerId> {
        let status = &mut self.status;
        let mut still = |b: &BalancerId| match status[b.0 as usize] {
            BalancerStatus::In => true,
            BalancerStatus::Until(at) => now < at,
            BalancerStatus::Out => false,
        };
        let here = self.assignable.get_mut(zone as usize);
        if let Some(here) = here {
            here.retain(&mut still);
            if !here.is_empty() {
                return Some(here[self.rng.random_range(0..here.len())]);
            }
        }
        self.assignable_in_any_zone.retain(&mut still);
        if self.assignable_in_any_zone.is_empty() {
            return None;
        }
        Some(self.assignable_in_any_zone[self.rng.random_range(0..self.assignable_in_any_zone.len())])
    }
}

#[cfg(test)]
mod tests;
