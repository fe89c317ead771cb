//! Addresses of loopback that no other process of the machine uses.

use std::net::Ipv4Addr;

/// Who listens on loopback.
#[derive(Clone, Copy, Debug)]
pub enum Listener {
    /// The balancers.
    Balancers = 0,
    /// The stub servers.
    Servers = 1,
    /// Discovery.
    Discovery = 2,
}

/// This process's own address for a kind of listener.
pub fn address(listener: Listener) -> Ipv4Addr {
    // Process ids have 22 bits at most, which leaves two for the kind.
    let [_, a, b, c] = (std::process::id() << 2 | listener as u32).to_be_bytes();
    Ipv4Addr::new(127, a, b, c)
}
