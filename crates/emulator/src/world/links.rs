//! The links of balancers to nodes, each under an id of the world's own.

use shorewharf_units::Micros;
use std::collections::HashMap;

use crate::edge::{BalancerId, ConnId, LinkId, NodeId, NodeMessage};

/// The state of a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkStage {
    /// The first line has not arrived at the node.
    Opening,
    /// The first line has arrived at the node.
    Requested,
    /// The balancer has received the node's `UP`.
    Established,
}

/// A link.
#[derive(Clone, Copy, Debug)]
pub struct Link {
    /// Its balancer.
    pub balancer: BalancerId,
    /// The id that the balancer gave it.
    pub balancer_link: LinkId,
    /// Its node.
    pub node: NodeId,
    /// The client's connection that it carries; `None` for a probe.
    pub conn: Option<ConnId>,
    /// Its state.
    pub stage: LinkStage,
    /// Whether the balancer has closed it: nothing more on it reaches the balancer.
    pub closed_by_balancer: bool,
    /// Whether the node has closed it.
    pub closed_by_node: bool,
    /// The last `BYE` or `MOVE` of the node that has reached the balancer.
    pub closing_message: Option<NodeMessage>,
    /// When the message that was sent last to the node arrives there. Later messages don't arrive earlier.
    pub last_at_node: Micros,
    /// When the message that was sent last to the balancer arrives there. Later messages don't arrive
    /// earlier.
    pub last_at_balancer: Micros,
    /// Whether the node's first message has reached the balancer.
    pub has_answered: bool,
    /// Whether a line of the client awaits a reply.
    pub awaits_reply: bool,
    /// Whether it uses the shared connection of its balancer and node.
    pub uses_pair: bool,
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
    by_balancer_link: HashMap<(BalancerId, LinkId), LinkId>,
}

/// The slot and the generation in an id.
fn slot_and_generation(id: LinkId) -> (usize, u32) {
    ((id.0 & 0xffff_ffff) as usize, (id.0 >> 32) as u32)
}

impl Links {
    /// Adds a link and returns its id, which is never reused.
    pub fn add(&mut self, link: Link) -> LinkId {
        let at = self.free.pop().unwrap_or_else(|| {
            self.slots.push(Slot { generation: 0, link: None });
            (self.slots.len() - 1) as u32
        });
        let slot = &mut self.slots[at as usize];
        slot.generation += 1;
        slot.link = Some(link);
        let id = LinkId(u64::from(slot.generation) << 32 | u64::from(at));
        self.by_balancer_link.insert((link.balancer, link.balancer_link), id);
        id
    }

    /// Returns the link, unless it was removed.
    pub fn get(&self, id: LinkId) -> Option<&Link> {
        let (at, generation) = slot_and_generation(id);
        self.slots.get(at).filter(|s| s.generation == generation)?.link.as_ref()
    }

    /// Returns the link for changes, unless it was removed.
    pub fn get_mut(&mut self, id: LinkId) -> Option<&mut Link> {
        let (at, generation) = slot_and_generation(id);
        self.slots.get_mut(at).filter(|s| s.generation == generation)?.link.as_mut()
    }

    /// Returns the world's id of a balancer's link.
    pub fn find(&self, balancer: BalancerId, balancer_link: LinkId) -> Option<LinkId> {
        self.by_balancer_link.get(&(balancer, balancer_link)).copied()
    }

    /// Removes a link that is closed at both ends.
    pub fn remove(&mut self, id: LinkId) -> Option<Link> {
        let (at, generation) = slot_and_generation(id);
        let slot = self.slots.get_mut(at).filter(|s| s.generation == generation)?;
        let link = slot.link.take()?;
        self.free.push(at as u32);
        self.by_balancer_link.remove(&(link.balancer, link.balancer_link));
        Some(link)
    }

    /// Iterates over all links, in an order that is the same in every run of the same day.
    pub fn iter(&self) -> impl Iterator<Item = (LinkId, &Link)> {
        self.slots.iter().enumerate().filter_map(|(at, s)| {
            let id = LinkId(u64::from(s.generation) << 32 | at as u64);
            s.link.as_ref().map(|l| (id, l))
        })
    }

    /// The number of links.
    pub fn len(&self) -> usize {
        self.slots.len() - self.free.len()
    }

    /// Whether there are no links.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

#[cfg(test)]
mod tests;
