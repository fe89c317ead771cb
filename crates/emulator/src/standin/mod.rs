//! Stand-ins for socket tests: the test plays the peers of a balancer step by step, on loopback ports that the system
//! picks, against a program that it starts.
//!
//! - [`Server`]: a server that the program connects to; each connection is a [`Connection`] that the test speaks through.
//! - [`DiscoveryService`]: discovery, whose [`Watch`] tells lists.
//! - [`Connection::connect`] and [`BalancerProcess::open`]: clients.
//! - [`BalancerProcess`]: the program itself, with its configuration and its log, ended with the test.
//!
//! Everything waits for an event, up to [`LIMIT`], which only a failure reaches; nothing sleeps, and nothing expects an
//! event *by* a time. What does not come to pass is a panic that says so, since it is a test that waits.
//!
//! ```no_run
//! use shorewharf_emulator::standin::{Server, BalancerProcess, config};
//!
//! let node = Server::new();
//! let program = BalancerProcess::start("target/debug/shorewharf", &config(&[("s-1", node.address())]));
//! let mut client = program.open("");
//! let mut server = node.accept();
//! assert!(server.receive_line().starts_with("OPEN "));
//! server.send_line("UP 1");
//! assert_eq!(client.receive_line(), "UP 1");
//! ```

mod balancer_process;
mod connection;
mod discovery_service;
mod server;

pub use balancer_process::{
    BalancerProcess, config, config_with_discovery, endpoint, run_to_exit, run_to_exit_with_env,
};
pub use connection::{Connection, Received};
pub use discovery_service::{DiscoveryService, Watch};
pub use server::{Server, loopback_address, refusing_address};

use std::time::Duration;

/// No event takes this long with a program that works, on however busy a machine.
pub const LIMIT: Duration = Duration::from_secs(60);
