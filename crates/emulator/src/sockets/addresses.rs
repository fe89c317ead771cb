//! Loopback addresses of a run. Every node, discovery and the gossip proxy have a separate address for each balancer, so
//! that the local address of an accepted connection identifies the balancer that opened it.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::edge::{BalancerId, NodeId};

/// The largest number of balancers in a run: four share each second byte of the address.
pub const MAX_BALANCERS: u32 = 4 * SECOND_BYTES;
/// Values of the second address byte that one run uses. The others are left to concurrent runs on the same machine.
const SECOND_BYTES: u32 = 120;
/// Values of the third address byte that each balancer has; they tell balancers with the same second byte apart.
const THIRD_BYTES: u32 = 64;
/// The largest number of nodes in a run: a balancer's first third byte is taken by the balancer itself, discovery and
/// gossip; each of the others holds 250 nodes.
pub const MAX_NODES: u32 = (THIRD_BYTES - 1) * 250;

/// The addresses of one run: 127.b.x.y, where b and the upper two bits of x identify the balancer.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// The first value of the second address byte. Concurrent runs begin at different values, so that none takes a
    /// port that another one has closed for a moment.
    first_byte: u32,
}

impl Addresses {
    /// The addresses of this process's next run.
    pub fn for_next_run() -> Self {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        Addresses::new(std::process::id().wrapping_mul(64) + RUNS.fetch_add(1, Ordering::Relaxed))
    }

    /// The addresses of the run with this number.
    pub fn new(run: u32) -> Self {
        Addresses { first_byte: 1 + run.wrapping_mul(0x9e37_79b1) % (254 - SECOND_BYTES) }
    }

    fn address(self, who: BalancerId, x: u32, y: u32) -> SocketAddr {
        let b = self.first_byte + who.0 % SECOND_BYTES;
        let x = who.0 / SECOND_BYTES % 4 * THIRD_BYTES + x;
        SocketAddr::from((Ipv4Addr::new(127, b as u8, x as u8, y as u8), 0))
    }

    /// The address at which a balancer listens for clients. Its port is 0: the operating system chooses one.
    pub fn balancer(self, who: BalancerId) -> SocketAddr {
        self.address(who, 0, 1)
    }

    /// The address at which discovery serves a balancer after `moves` changes of address.
    pub fn discovery(self, who: BalancerId, moves: u32) -> SocketAddr {
        self.address(who, 0, 2 + moves % 200)
    }

    /// The address of the gossip proxy to which other balancers send datagrams for this one.
    pub fn gossip(self, who: BalancerId) -> SocketAddr {
        self.address(who, 0, 250)
    }

    /// The address at which a node listens for a balancer.
    pub fn node(self, who: BalancerId, node: NodeId) -> SocketAddr {
        self.address(who, 1 + node.0 / 250, 1 + node.0 % 250)
    }
}

#[cfg(test)]
mod tests;
