//! Tests of the module that these stand beside.

use super::*;
use std::collections::BTreeSet;

#[test]
fn no_two_parties_share_an_address() {
    let (addresses, mut seen) = (Addresses::new(77), BTreeSet::new());
    for who in (0..BALANCERS_MOST).map(BalancerId) {
        assert!(seen.insert(addresses.balancer(who)));
        assert!(seen.insert(addresses.notes(who)));
        assert!((0..200).all(|moves| seen.insert(addresses.discovery(who, moves))));
        assert!((0..600).all(|n| seen.insert(addresses.node(who, NodeId(n)))));
    }
    assert!(seen.iter().all(|at| at.ip().is_loopback()));
}
