//! The driver in real time: the emulated platform on loopback, round the built program.
//!
//! One thread plays all nodes, all clients and discovery for a number of balancers, each a process of its own. What
//! happens is the world's to say; this module turns its words into connections, lines, HTTP and signals, and tells it
//! what the balancers do. Nothing here decides how a node or a client behaves.

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
