//! Models of the platform around a balancer: update nodes, clients, front, discovery, network and faults.
//!
//! The models are pure: time is an argument, random numbers depend on the day's seed alone, and only the driver
//! on sockets opens sockets. Two drivers run the same models: one in virtual time, one on loopback sockets. An
//! emulated platform that shared code with the balancers it tests would share their defects, so of the workspace
//! this package uses only the protocol and the units.

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
