//! Stand-ins for socket tests: the test plays the peers of a balancer step by step, on loopback ports that the system
//! picks, against a program that it starts.
//!
//! - [`Node`]: a server that the program connects to; each connection is a [`Peer`] that the test speaks through.
//! - [`Director`]: discovery, whose [`Watch`] tells lists.
//! - [`Peer::connect`] and [`Program::open`]: clients.
//! - [`Program`]: the program itself, with its configuration and its log, ended with the test.
//!
//! Everything waits for an event, up to [`LIMIT`], which only a failure reaches; nothing sleeps, and nothing expects an
//! event *by* a time. What does not come to pass is a panic that says so, since it is a test that waits.
//!
//! ```no_run
//! use shorewharf_emulator::standin::{Node, Program, config};
//!
//! let node = Node::new();
//! let program = Program::start("target/debug/shorewharf", &config(&[("s-1", node.address())]));
//! let mut client = program.open("");
//! let mut server = node.accept();
//! assert!(server.line().starts_with("OPEN "));
//! server.say("UP 1");
//! assert_eq!(client.line(), "UP 1");
//! ```

mod director;
mod node;
mod peer;
mod program;

pub use director::{Director, Watch};
pub use node::{Node, loopback, nobody};
pub use peer::{Heard, Peer};
pub use program::{Program, asking, config, endpoint, refused_start, refused_start_with};

use std::time::Duration;

/// No event takes this long with a program that works, on however busy a machine.
pub const LIMIT: Duration = Duration::from_secs(60);
