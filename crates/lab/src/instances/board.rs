//! An ideal exchange of loads between balancers, a few tenths of a second late and without loss. Real gossip and its
//! faults are tested by the fault scenarios.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use shorewharf_decisions::Holding;
use shorewharf_decisions::interface::{RemoteLoad, ServerId};
use shorewharf_emulator::edge::BalancerId;
use shorewharf_units::Micros;

/// Interval between exchanges.
pub(super) const EXCHANGE_INTERVAL: Micros = 200_000;
/// Age of the published loads, in intervals. At least one: balancers run in parallel, and all must read the same loads
/// in any order.
const PUBLICATION_DELAY_INTERVALS: u64 = 2;

type PublishedLoads = Arc<BTreeMap<ServerId, RemoteLoad>>;

#[derive(Debug, Default)]
struct LoadSnapshot {
    held: BTreeMap<BalancerId, Vec<Holding>>,
    all: Option<PublishedLoads>,
}

/// Loads of all balancers in the last few intervals.
#[derive(Debug, Default)]
pub(super) struct SharedLoadBoard(Mutex<BTreeMap<u64, LoadSnapshot>>);

impl SharedLoadBoard {
    /// The interval that contains a time.
    pub(super) fn interval_of(now: Micros) -> u64 {
        now / EXCHANGE_INTERVAL
    }

    /// Publishes a balancer's load and returns the sum of the others' two intervals ago; none if nothing was published
    /// then.
    pub(super) fn exchange(&self, time: u64, who: BalancerId, holds: Vec<Holding>) -> Option<PublishedLoads> {
        let mut moments = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        moments.retain(|at, _| at + 2 * PUBLICATION_DELAY_INTERVALS > time);
        moments.entry(time).or_default().held.insert(who, holds);
        let before = moments.get_mut(&time.checked_sub(PUBLICATION_DELAY_INTERVALS)?)?;
        let all = before.all.get_or_insert_with(|| Arc::new(sum(&before.held)));
        let mut others = BTreeMap::clone(all);
        for h in before.held.get(&who).into_iter().flatten() {
            if let Some(away) = others.get_mut(&h.server) {
                away.load = (away.load - h.load).max(0.0);
                away.connections = (away.connections - f64::from(h.connections)).max(0.0);
            }
        }
        Some(Arc::new(others))
    }
}

fn sum(held: &BTreeMap<BalancerId, Vec<Holding>>) -> BTreeMap<ServerId, RemoteLoad> {
    let mut all = BTreeMap::<ServerId, RemoteLoad>::new();
    for h in held.values().flatten() {
        let away = all.entry(h.server).or_default();
        away.load += h.load;
        away.connections += f64::from(h.connections);
        if h.group != 0 {
            // Gossip names groups by the lower half of their ids.
            away.groups.insert(h.group as u32);
        }
    }
    all
}
