//! Stand-ins for socket tests. A test starts the balancer as a process and scripts the peers that it talks to, step by
//! step, on loopback ports chosen by the operating system.
//!
//! - [`Server`]: a server that the balancer connects to. The test drives each accepted [`Connection`].
//! - [`DiscoveryService`]: the discovery service. The test sends endpoint lists on an accepted [`Watch`].
//! - [`Connection::connect`] and [`BalancerProcess::open`]: clients.
//! - [`BalancerProcess`]: the balancer with its configuration and log, killed at the end of the test.
//!
//! Every wait is for an event and lasts up to [`LIMIT`], which only a failing test reaches. Nothing sleeps, and nothing
//! expects an event by a shorter deadline. An event that does not occur panics with a message, as the caller is a test.
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
pub use server::{Server, loopback_address, refusing_address, stable_address};

use std::time::Duration;

/// The longest wait for an event. A working balancer takes less, however busy the machine is.
pub const LIMIT: Duration = Duration::from_secs(60);
