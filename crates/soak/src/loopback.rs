//! Loopback addresses for this process, which differ from those of soak tests in other processes.

use std::net::Ipv4Addr;

/// The kinds of listeners on loopback.
#[derive(Clone, Copy, Debug)]
pub enum Listener {
    /// The balancers.
    Balancers = 0,
    /// The stub servers.
    Servers = 1,
    /// Discovery.
    Discovery = 2,
}

/// The address for a kind of listener of this process.
pub fn address(listener: Listener) -> Ipv4Addr {
    // The address has 24 bits after 127. Process ids have at most 22 bits, which leaves two for the kind of listener.
    let [_, a, b, c] = (std::process::id() << 2 | listener as u32).to_be_bytes();
    Ipv4Addr::new(127, a, b, c)
}
