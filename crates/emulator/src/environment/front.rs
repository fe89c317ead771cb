//! The layer-4 front end before the balancers: it assigns clients to the balancers of their zone.
//!
//! It adds a balancer once the balancer is ready. It detects the death of a balancer only after some time,
//! and until then still assigns clients to it.

use rand::Rng;
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

use crate::day::Day;
use crate::edge::BalancerId;

/// The shortest time for which clients are still assigned to a terminating balancer.
const MIN_REMOVAL_DELAY: Micros = 200_000;
/// The longest time for which clients are still assigned to a terminating balancer.
const MAX_REMOVAL_DELAY: Micros = 400_000;
/// The detection time of a death deviates from the configured mean by up to this ratio, as in discovery.
const DETECTION_SPREAD_RATIO: f64 = 0.2;

/// Whether clients are assigned to a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BalancerStatus {
    /// The balancer is not ready yet, or is known to be dead: clients are not assigned to it.
    Excluded,
    /// Clients are assigned to the balancer.
    Assignable,
    /// Clients are assigned to the balancer until this time.
    AssignableUntil(Micros),
}

/// The front of all zones.
#[derive(Clone, Debug)]
pub struct Front {
    zone_of: Vec<u32>,
    status: Vec<BalancerStatus>,
    /// By zone: the balancers to which clients are assigned. Expired entries are removed when a balancer is
    /// picked.
    assignable: Vec<Vec<BalancerId>>,
    /// The assignable balancers of all zones, expired entries included.
    assignable_in_any_zone: Vec<BalancerId>,
    detection_time: f64,
    rng: Pcg64Mcg,
}

impl Front {
    /// Creates a front without ready balancers.
    pub fn new(day: &Day, rng: Pcg64Mcg) -> Front {
        let zone_of: Vec<u32> = day.balancers.iter().map(|b| b.zone).collect();
        let zones = zone_of.iter().map(|&z| z as usize + 1).max().unwrap_or(0).max(day.zones.len());
        Front {
            status: vec![BalancerStatus::Excluded; zone_of.len()],
            zone_of,
            assignable: vec![Vec::new(); zones],
            assignable_in_any_zone: Vec::new(),
            detection_time: day.front.notice as f64,
            rng,
        }
    }

    /// Handles the first readiness of a balancer since its start: clients are assigned to it from now on.
    pub fn on_ready(&mut self, _now: Micros, balancer: BalancerId) {
        self.status[balancer.0 as usize] = BalancerStatus::Assignable;
        // A restarted balancer may still be listed from before its end; each list holds it once.
        for list in [
            &mut self.assignable[self.zone_of[balancer.0 as usize] as usize],
            &mut self.assignable_in_any_zone,
        ] {
            list.retain(|&b| b != balancer);
            list.push(balancer);
        }
    }

    /// Handles the death of a balancer's process, which the front detects only after its detection time.
    pub fn on_death(&mut self, now: Micros, balancer: BalancerId) {
        let delay = self.detection_time
            * self.rng.random_range(1.0 - DETECTION_SPREAD_RATIO..1.0 + DETECTION_SPREAD_RATIO);
        self.schedule_removal(balancer, now + delay as Micros);
    }

    /// Handles the begin of a planned termination: clients are still assigned for a short time.
    pub fn on_terminate(&mut self, now: Micros, balancer: BalancerId) {
        let after = self.rng.random_range(MIN_REMOVAL_DELAY..=MAX_REMOVAL_DELAY);
        self.schedule_removal(balancer, now + after);
    }

    fn schedule_removal(&mut self, balancer: BalancerId, at: Micros) {
        let status = &mut self.status[balancer.0 as usize];
        *status = match *status {
            BalancerStatus::Excluded => BalancerStatus::Excluded,
            BalancerStatus::Assignable => BalancerStatus::AssignableUntil(at),
            BalancerStatus::AssignableUntil(earlier) => BalancerStatus::AssignableUntil(earlier.min(at)),
        };
    }

    /// Picks a balancer for a client of this zone: one of the zone's balancers with equal probability, or one
    /// of all balancers if the zone has none. The balancer may be dead if its death is not detected yet.
    /// Returns none if no balancer is assignable.
    pub fn pick(&mut self, now: Micros, zone: u32) -> Option<BalancerId> {
        let status = &mut self.status;
        let mut is_assignable = |b: &BalancerId| match status[b.0 as usize] {
            BalancerStatus::Assignable => true,
            BalancerStatus::AssignableUntil(at) => now < at,
            BalancerStatus::Excluded => false,
        };
        let in_zone = self.assignable.get_mut(zone as usize);
        if let Some(in_zone) = in_zone {
            in_zone.retain(&mut is_assignable);
            if !in_zone.is_empty() {
                return Some(in_zone[self.rng.random_range(0..in_zone.len())]);
            }
        }
        self.assignable_in_any_zone.retain(&mut is_assignable);
        if self.assignable_in_any_zone.is_empty() {
            return None;
        }
        Some(self.assignable_in_any_zone[self.rng.random_range(0..self.assignable_in_any_zone.len())])
    }
}

#[cfg(test)]
mod tests;
