//! The other balancers of the fleet: gossip about the connections that each holds, and budgets that all share.

pub mod budget_config;
pub mod budgets;
pub mod gossip;
pub mod gossip_config;

/// A fleet of one service has no more balancers than this.
pub const MAX_BALANCERS: usize = 4_096;
