//! Who is where on loopback: every party has one address for each balancer, so that the far side of a connection
//! knows which balancer calls without being told.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU32, Ordering};

use crate::edge::{BalancerId, NodeId};

/// The most balancers of one run.
pub const BALANCERS_MOST: u32 = 4 * BYTES;
/// Second bytes of one run; some are left for others on the same machine. Balancers that share one are told apart by
/// the third, of which each has so many.
const BYTES: u32 = 120;
const THIRDS: u32 = 64;
/// The most nodes of one run: what a balancer's third bytes hold beside its own addresses.
pub const NODES_MOST: u32 = (THIRDS - 1) * 250;

/// The addresses of one run: 127.b.x.y, where b and a quarter of x are the balancer's.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// Runs at the same time begin at different bytes, so that a port one of them has left for a moment is not
    /// taken by another.
    first: u32,
}

impl Addresses {
    /// The addresses of the next run of this process.
    pub fn of_next_run() -> Self {
        static RUNS: AtomicU32 = AtomicU32::new(0);
        Addresses::new(std::process::id().wrapping_mul(64) + RUNS.fetch_add(1, Ordering::Relaxed))
    }

    /// The addresses of a run that is told apart from others by this number.
    pub fn new(run: u32) -> Self {
        Addresses { first: 1 + run.wrapping_mul(0x9e37_79b1) % (254 - BYTES) }
    }

    fn of(self, who: BalancerId, x: u32, y: u32) -> SocketAddr {
        let b = self.first + who.0 % BYTES;
        let x = who.0 / BYTES % 4 * THIRDS + x;
        SocketAddr::from((Ipv4Addr::new(127, b as u8, x as u8, y as u8), 0))
    }

    /// Where clients reach a balancer. The port is left to the system.
    pub fn balancer(self, who: BalancerId) -> SocketAddr {
        self.of(who, 0, 1)
    }

    /// Where a balancer reaches discovery after so many moves.
    pub fn discovery(self, who: BalancerId, moves: u32) -> SocketAddr {
        self.of(who, 0, 2 + moves % 200)
    }

    /// Where other balancers reach one, by datagrams.
    pub fn notes(self, who: BalancerId) -> SocketAddr {
        self.of(who, 0, 250)
    }

    /// Where a balancer reaches a node.
    pub fn node(self, who: BalancerId, node: NodeId) -> SocketAddr {
        self.of(who, 1 + node.0 / 250, 1 + node.0 % 250)
    }
}

#[cfg(test)]
mod tests;
