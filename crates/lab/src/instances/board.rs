//! An ideal exchange of loads between balancers, a few tenths of a second late and without loss. Real gossip
//! and its faults are tested by the fault scenarios.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

use shorewharf_decisions::Holding;
use shorewharf_decisions::interface::{RemoteLoad, ServerId};
use shorewharf_emulator::edge::BalancerId;
use shorewharf_units::Micros;

/// Interval between exchanges.
pub(super) const EXCHANGE_INTERVAL: Micros = 200_000;
/// Age of the published loads, in intervals. At least one: balancers run in parallel, and all must read the
/// same loads in any order.
const PUBLICATION_DELAY_INTERVALS: u64 = 2;

type PublishedLoads = Arc<BTreeMap<ServerId, RemoteLoad>>;

/// Loads of the balancers in one interval.
#[derive(Debug, Default)]
struct LoadSnapshot {
    holdings: BTreeMap<BalancerId, Vec<Holding>>,
    /// The sum over all balancers, once one of them has read it.
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

    /// Publishes a balancer's load and returns the sum of the others' two intervals ago; none if nothing was
    /// published then.
    pub(super) fn exchange(
        &self,
        interval: u64,
        balancer: BalancerId,
        holdings: Vec<Holding>,
    ) -> Option<PublishedLoads> {
        let mut snapshots = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        snapshots.retain(|at, _| at + 2 * PUBLICATION_DELAY_INTERVALS > interval);
        snapshots.entry(interval).or_default().holdings.insert(balancer, holdings);
        let published = snapshots.get_mut(&interval.checked_sub(PUBLICATION_DELAY_INTERVALS)?)?;
        let all = published.all.get_or_insert_with(|| Arc::new(sum(&published.holdings)));
        let mut others = BTreeMap::clone(all);
        for h in published.holdings.get(&balancer).into_iter().flatten() {
            if let Some(remote) = others.get_mut(&h.server) {
                remote.load = (remote.load - h.load).max(0.0);
                remote.connections = (remote.connections - f64::from(h.connections)).max(0.0);
            }
        }
        Some(Arc::new(others))
    }
}

fn sum(holdings: &BTreeMap<BalancerId, Vec<Holding>>) -> BTreeMap<ServerId, RemoteLoad> {
    let mut all = BTreeMap::<ServerId, RemoteLoad>::new();
    for h in holdings.values().flatten() {
        let remote = all.entry(h.server).or_default();
        remote.load += h.load;
        remote.connections += f64::from(h.connections);
        if h.group != 0 {
            // Gossip names groups by the lower half of their ids.
            remote.groups.insert(h.group as u32);
        }
    }
    all
}
