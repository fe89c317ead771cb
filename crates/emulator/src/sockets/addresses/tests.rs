//! Tests of the loopback addresses.

use super::*;
use std::collections::BTreeSet;

#[test]
fn addresses_are_distinct_and_on_loopback() {
    let (addresses, mut seen) = (Addresses::new(77), BTreeSet::new());
    for who in (0..MAX_BALANCERS).map(BalancerId) {
        assert!(seen.insert(addresses.balancer(who)));
        assert!(seen.insert(addresses.gossip(who)));
        assert!((0..200).all(|moves| seen.insert(addresses.discovery(who, moves))));
        assert!((0..600).all(|n| seen.insert(addresses.node(who, NodeId(n)))));
    }
    assert!(seen.iter().all(|at| at.ip().is_loopback()));
}
