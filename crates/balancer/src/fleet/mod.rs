//! Cooperation with the other balancers of the fleet: gossip about the connections of each balancer, and shared budgets.

pub mod budget_config;
pub mod budgets;
pub mod gossip;
pub mod gossip_config;

/// The maximum number of balancers in a fleet.
pub const MAX_BALANCERS: usize = 4_096;
