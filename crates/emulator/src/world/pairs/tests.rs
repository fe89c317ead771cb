//! Tests of the shared connections of balancers and nodes.

use super::*;

const B: BalancerId = BalancerId(1);
const N: NodeId = NodeId(2);

/// The links of a pair share one handshake, and a connection that was closed needs a new handshake. Otherwise
/// set-up times and the price of connections would differ.
#[test]
fn links_of_a_pair_share_a_connection_until_it_is_idle_too_long_or_disconnected() {
    let mut pairs = Pairs::new(2, 3, 1000);
    assert_eq!(pairs.acquire(0, B, N, 50), 50);
    assert_eq!(pairs.acquire(20, B, N, 50), 50, "the second link waits for the same handshake");
    assert!(pairs.on_established(B, N) && !pairs.on_established(B, N), "reported as new only once");
    assert_eq!((pairs.acquire(100, B, N, 50), pairs.open_count()), (100, 1));
    (0..3).for_each(|_| pairs.release(200, B, N));
    pairs.close_idle(1200);
    assert_eq!(
        (pairs.acquire(1200, B, N, 50), pairs.open_count()),
        (1200, 1),
        "still open after exactly the idle time"
    );
    pairs.release(1300, B, N);
    assert_eq!(
        (pairs.acquire(2301, B, N, 50), pairs.open_count()),
        (2351, 0),
        "closed after the idle time, so it needs a new handshake"
    );
    assert!(pairs.on_established(B, N));
    pairs.disconnect(None, Some(NodeId(0)));
    assert_eq!(pairs.open_count(), 1, "the end of another node does not close it");
    pairs.disconnect(None, Some(N));
    assert_eq!((pairs.acquire(2400, B, N, 50), pairs.open_count()), (2450, 0));
}
