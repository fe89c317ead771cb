//! Tests of the module that these stand beside.

use super::*;

#[test]
fn a_token_tells_its_owner() {
    let id = RequestId(u32::MAX);
    for owner in [
        EventSource::Session(id),
        EventSource::Attempt(id),
        EventSource::Probe(1 << 40),
        EventSource::DiscoveryClient,
        EventSource::Listener,
        EventSource::Signals,
        EventSource::WorkerMessages,
        EventSource::Neighbour,
        EventSource::AdminListener,
        EventSource::AdminConnection(1 << 40),
        EventSource::Successors,
        EventSource::Successor(7),
        EventSource::Predecessor,
        EventSource::Gossip,
    ] {
        assert_eq!(EventSource::of(owner.token()), owner);
    }
}
