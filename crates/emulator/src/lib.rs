//! The platform round a balancer, as models: update nodes, clients, front, discovery, network and faults.
//!
//! Models are pure: time is an argument, randomness comes from the day's seed, and nothing here opens a socket but
//! the driver that says so. Two drivers run the same models: one in virtual time, one on loopback sockets. What
//! plays the other side must not share the faults of the side it tests, so this package uses `protocol` and nothing
//! of the balancer.

pub mod audit;
pub mod day;
pub mod edge;
pub mod environment;
pub mod node;
pub mod population;
pub mod score;
pub mod sockets;
pub mod standin;
pub mod virtual_time;
pub mod world;
