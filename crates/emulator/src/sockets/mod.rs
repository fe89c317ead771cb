//! The real-time driver: runs the emulated platform on loopback sockets against processes of the built balancer.
//!
//! One thread emulates all nodes, all clients and discovery for a number of balancers, each of which is a separate
//! process. The [`World`](crate::world::World) decides how nodes and clients behave; this module carries out its
//! commands as connections, lines, HTTP responses and signals, and reports to it what the balancers do.

pub mod addresses;
pub mod clients;
pub mod clock;
pub mod connection_log;
pub mod datagram_proxy;
pub mod directory;
pub mod discovery;
pub mod fleet;
pub mod harness;
pub mod lines;
mod link;
pub mod load;
pub mod misbehaving_clients;
pub mod net;
pub mod network_faults;
pub mod nodes;
pub mod plain;
pub mod platform;
pub mod process;
pub mod report;
pub mod run;
