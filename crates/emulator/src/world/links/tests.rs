//! Tests of the table of links.

use super::*;

fn link(balancer_link: u64) -> Link {
    Link {
        balancer: BalancerId(3),
        balancer_link: LinkId(balancer_link),
        node: NodeId(0),
        conn: None,
        stage: LinkStage::Opening,
        closed_by_balancer: false,
        closed_by_node: false,
        closing_message: None,
        last_at_node: 0,
        last_at_balancer: 0,
        has_answered: false,
        awaits_reply: false,
        uses_pair: false,
    }
}

/// Guards against a message in transit on a removed link that reaches the link which has taken over its slot.
#[test]
fn an_id_is_never_reused_although_its_slot_is() {
    let mut links = Links::default();
    let first = links.add(link(1));
    assert_eq!(links.find(BalancerId(3), LinkId(1)), Some(first));
    assert!(links.remove(first).is_some() && links.remove(first).is_none());
    let second = links.add(link(2));
    assert_eq!((first.0 as u32, links.len()), (second.0 as u32, 1), "the slot was not reused");
    assert!(links.get(first).is_none() && links.get_mut(first).is_none());
    assert_eq!(links.get(second).map(|l| l.balancer_link), Some(LinkId(2)));
    assert_eq!(links.find(BalancerId(3), LinkId(1)), None);
}
