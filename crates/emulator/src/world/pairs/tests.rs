//! Tests of the module that these stand beside.

use super::*;

const B: BalancerId = BalancerId(1);
const N: NodeId = NodeId(2);

/// A handshake for every link, or none after a close, would shift set-up times and the price of connections.
#[test]
fn a_pair_shares_one_connection_until_it_is_unused_for_long_or_breaks() {
    let mut pairs = Pairs::new(2, 3, 1000);
    assert_eq!(pairs.used(0, B, N, 50), 50);
    assert_eq!(pairs.used(20, B, N, 50), 50, "the second waits for the same handshake");
    assert!(pairs.came_up(B, N) && !pairs.came_up(B, N), "news only once");
    assert_eq!((pairs.used(100, B, N, 50), pairs.open()), (100, 1));
    (0..3).for_each(|_| pairs.left(200, B, N));
    pairs.sweep(1200);
    assert_eq!((pairs.used(1200, B, N, 50), pairs.open()), (1200, 1), "still open at the end of its time");
    pairs.left(1300, B, N);
    assert_eq!((pairs.used(2301, B, N, 50), pairs.open()), (2351, 0), "closed for being unused");
    assert!(pairs.came_up(B, N));
    pairs.broke(None, Some(NodeId(0)));
    assert_eq!(pairs.open(), 1, "another node's end is none of its business");
    pairs.broke(None, Some(N));
    assert_eq!((pairs.used(2400, B, N, 50), pairs.open()), (2450, 0));
}
