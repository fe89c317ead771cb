//! The fleet of balancers that this one belongs to: its members, gossip with them, and the budgets divided among them.

pub mod budget_config;
pub mod budgets;
pub mod gossip;
pub mod peers;
