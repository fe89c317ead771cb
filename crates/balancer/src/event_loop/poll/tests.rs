//! Tests of event sources and their tokens.

use super::*;

#[test]
fn a_token_identifies_its_source() {
    let id = RequestId(u32::MAX);
    for source in [
        EventSource::Session(id),
        EventSource::Attempt(id),
        EventSource::Probe(1 << 40),
        EventSource::DiscoveryClient,
        EventSource::Listener,
        EventSource::Signals,
        EventSource::WorkerMessages,
        EventSource::NeighbourListener,
        EventSource::AdminListener,
        EventSource::AdminConnection(1 << 40),
        EventSource::HandoverListener,
        EventSource::Successor(7),
        EventSource::Predecessor,
        EventSource::Gossip,
    ] {
        assert_eq!(EventSource::from_token(source.to_token()), source);
    }
}
