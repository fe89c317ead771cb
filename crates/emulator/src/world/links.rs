//! The links of balancers to nodes that the world knows of, each under a number of the world's own.

use shorewharf_units::Micros;
use std::collections::HashMap;

use crate::edge::{BalancerId, ConnId, LinkId, NodeId, NodeMessage};

/// How far a link has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum At {
    /// Its node has not heard its first line yet.
    Coming,
    /// The node has its first line.
    Asked,
    /// The node has said `UP`.
    Up,
}

/// A link.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Its balancer.
    pub balancer: BalancerId,
    /// Its number there.
    pub theirs: LinkId,
    /// Its node.
    pub node: NodeId,
    /// The client that it carries; none for a probe.
    pub conn: Option<ConnId>,
    /// How far it has come.
    pub at: At,
    /// Its balancer has ended it: nothing on it reaches the balancer any more.
    pub left: bool,
    /// Its node has ended it.
    pub ended: bool,
    /// The last word of the node that ended or may end it.
    pub last: Option<NodeMessage>,
    /// What was sent last reaches the node, and the balancer, then: words don't overtake each other.
    pub last_at_node: Micros,
    /// As above, at the balancer.
    pub last_at_balancer: Micros,
    /// The node's first word has reached the balancer.
    pub has_answered: bool,
    /// A line of the client's is unanswered.
    pub asked: bool,
    /// It uses the pair's connection.
    pub paired: bool,
}

#[derive(Clone, Debug)]
struct Slot {
    generation: u32,
    link: Option<Link>,
}

/// All links.
#[derive(Debug, Default)]
pub struct Links {
    slots: Vec<Slot>,
    free: Vec<u32>,
    by_theirs: HashMap<(BalancerId, LinkId), LinkId>,
}

fn place(id: LinkId) -> (usize, u32) {
    ((id.0 & 0xffff_ffff) as usize, (id.0 >> 32) as u32)
}

impl Links {
    /// Takes in a link, under a number that is not used again.
    pub fn add(&mut self, link: Link) -> LinkId {
        let at = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, link: None });
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[at as usize];
        slot.generation += 1;
        slot.link = Some(link);
        let id = LinkId(u64::from(slot.generation) << 32 | u64::from(at));
        self.by_theirs.insert((link.balancer, link.theirs), id);
        id
    }

    /// The link of this number, unless it is over.
    pub fn get(&self, id: LinkId) -> Option<&Link> {
        let (at, generation) = place(id);
        self.slots.get(at).filter(|s| s.generation == generation)?.link.as_ref()
    }

    /// As above.
    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        let (at, generation) = place(id);
        self.slots.get_mut(at).filter(|s| s.generation == generation)?.link.as_mut()
    }

    /// The world's number of a balancer's link.
    pub fn of(&self, balancer: BalancerId, theirs: LinkId) -> Option<LinkId> {
        self.by_theirs.get(&(balancer, theirs)).copied()
    }

    /// A link is over at both ends.
    pub fn remove(&mut self, id: LinkId) -> Option<Link> {
        let (at, generation) = place(id);
        let slot = self.slots.get_mut(at).filter(|s| s.generation == generation)?;
        let link = slot.link.take()?;
        self.free.push(at as u32);
        self.by_theirs.remove(&(link.balancer, link.theirs));
        Some(link)
    }

    /// All links that are not over, in an order that only the run itself sets.
    pub fn iter(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.slots.iter().enumerate().filter_map(|(at, s)| {
            let id = LinkId(u64::from(s.generation) << 32 | at as u64);
            s.link.as_ref().map(|l| (id, l))
        })
    }

    /// Links that are not over.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
