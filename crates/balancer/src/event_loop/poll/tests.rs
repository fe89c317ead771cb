//! Tests of the module that these stand beside.

use super::*;

#[test]
fn a_token_tells_its_owner() {
    let id = RequestId(u32::MAX);
    for owner in [
        Owner::Session(id),
        Owner::Attempt(id),
        Owner::Probe(1 << 40),
        Owner::DiscoveryClient,
        Owner::Listener,
        Owner::Signals,
        Owner::Orders,
        Owner::Neighbour,
        Owner::Operators,
        Owner::Caller(1 << 40),
        Owner::Successors,
        Owner::Successor(7),
        Owner::Predecessor,
        Owner::Gossip,
    ] {
        assert_eq!(Owner::of(owner.token()), owner);
    }
}
