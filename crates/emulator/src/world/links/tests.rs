//! Tests of the module that these stand beside.

use super::*;

fn link(theirs: u64) -> Link {
    Link {
        balancer: BalancerId(3),
        theirs: LinkId(theirs),
        node: NodeId(0),
        conn: None,
        at: At::Coming,
        left: false,
        ended: false,
        last: None,
        last_at_node: 0,
        last_at_balancer: 0,
        has_answered: false,
        asked: false,
        paired: false,
    }
}

/// A word that is still on its way for a link that is over must not reach the one that took its place.
#[test]
fn a_number_is_never_used_again_though_its_place_is() {
    let mut links = Links::default();
    let first = links.add(link(1));
    assert_eq!(links.of(BalancerId(3), LinkId(1)), Some(first));
    assert!(links.remove(first).is_some() && links.remove(first).is_none());
    let second = links.add(link(2));
    assert_eq!((first.0 as u32, links.len()), (second.0 as u32, 1), "the place was not used again");
    assert!(links.get(first).is_none() && links.get_mut(first).is_none());
    assert_eq!(links.get(second).map(|l| l.theirs), Some(LinkId(2)));
    assert_eq!(links.of(BalancerId(3), LinkId(1)), None);
}
