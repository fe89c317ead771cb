//! A scenario's file, and the processes that its faults affect.

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;
use shorewharf_emulator::day::Day;
use shorewharf_emulator::edge::{BalancerId, NodeId};
use shorewharf_emulator::sockets::network_faults::NetworkFault;

use crate::error::ScenarioError;
use crate::expectations::Expectations;
use crate::fault::{InjectedFault, SharedFeatures, StoreFault};
use crate::selection::Selection;

/// Mixed into the day's seed, so that the random selections of network faults are independent of other uses of the seed.
const NETWORK_SALT: u64 = 0x7269_6674;
/// The same for the faults of the store.
const STORE_SALT: u64 = 0x7374_6f72;

/// A scenario as it is written in its file.
#[derive(Clone, Debug, Deserialize, PartialEq)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// A description of the scenario.
    pub about: String,
    /// The file of the day, relative to this file.
    pub day: String,
    /// Whether the balancers gossip.
    #[serde(rename = "together", default)]
    pub gossip: bool,
    /// The budgets that the balancers share: the operator's settings for them without the store and the members, which the
    /// lab adds.
    pub budgets: Option<toml::Table>,
    /// The injected faults.
    #[serde(rename = "breaks", default)]
    pub faults: Vec<InjectedFault>,
    /// What must hold under the faults.
    #[serde(rename = "promises", default)]
    pub expectations: Expectations,
}

impl Scenario {
    /// Reads a scenario from the text of its file, and checks it.
    ///
    /// # Errors
    /// Returns an error if the text is not TOML of this form, or a value is not allowed.
    pub fn read(text: &str) -> Result<Scenario, ScenarioError> {
        let scenario: Scenario = toml::from_str(text).map_err(|e| ScenarioError::Syntax(e.to_string()))?;
        scenario.check()?;
        Ok(scenario)
    }

    fn check(&self) -> Result<(), ScenarioError> {
        let shared = SharedFeatures { gossip: self.gossip, budgets: self.budgets.is_some() };
        for (index, fault) in self.faults.iter().enumerate() {
            fault.check(index, shared)?;
        }
        if shared.budgets && shared.gossip {
            return Err(ScenarioError::invalid("budgets", "can't be combined with together = true"));
        }
        self.expectations.check()
    }

    /// The faults between processes on this day. Random selections depend on the day's seed.
    ///
    /// # Errors
    /// Returns an error if a selection names a zone, balancer or node that the day does not have.
    pub fn network_faults(&self, day: &Day) -> Result<Vec<NetworkFault>, ScenarioError> {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed ^ NETWORK_SALT);
        let balancers: Vec<u32> = day.balancers.iter().map(|balancer| balancer.zone).collect();
        let nodes: Vec<u32> = day.nodes.iter().map(|node| node.zone).collect();
        let all = Selection::default();
        let mut faults = Vec::new();
        for (index, fault) in self.faults.iter().enumerate() {
            let Some(what) = fault.network_fault() else { continue };
            let mut select = |selection: &Selection, name: &str, members: &[u32]| {
                selection.select(&format!("breaks[{index}].{name}"), &day.zones, members, &mut rng)
            };
            let affected = select(&fault.balancers, "balancers", &balancers)?;
            let to_nodes = select(fault.nodes.as_ref().unwrap_or(&all), "nodes", &nodes)?;
            let to_peers = select(fault.gossip_peers.as_ref().unwrap_or(&all), "others", &balancers)?;
            faults.push(NetworkFault {
                kind: what,
                from: fault.from(),
                to: fault.to(),
                balancers: affected.into_iter().map(BalancerId).collect(),
                nodes: to_nodes.into_iter().map(NodeId).collect(),
                gossip_receivers: to_peers.into_iter().map(BalancerId).collect(),
            });
        }
        Ok(faults)
    }

    /// The faults of the store on this day. Random selections depend on the day's seed.
    ///
    /// # Errors
    /// Returns an error if a selection names a zone or balancer that the day does not have.
    pub fn store_faults(&self, day: &Day) -> Result<Vec<StoreFault>, ScenarioError> {
        let mut rng = Pcg64Mcg::seed_from_u64(day.seed ^ STORE_SALT);
        let balancers: Vec<u32> = day.balancers.iter().map(|balancer| balancer.zone).collect();
        let mut faults = Vec::new();
        for (index, fault) in self.faults.iter().enumerate() {
            if fault.kind.is_of_store() {
                let key = format!("breaks[{index}].balancers");
                let affected = fault.balancers.select(&key, &day.zones, &balancers, &mut rng)?;
                faults.push(StoreFault {
                    kind: fault.kind,
                    from: fault.from(),
                    to: fault.to(),
                    balancers: affected,
                });
            }
        }
        Ok(faults)
    }
}
