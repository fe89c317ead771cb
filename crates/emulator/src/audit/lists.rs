//! What each balancer was notified of from the endpoint list, and what it counts as notified of.
//!
//! A balancer is notified once the discovery service has written a change to it. It also counts as notified of a change
//! that was listed long enough ago: without a watch, if it has not asked for the list for `poll_within` (four times as
//! long after a failed call); and on sockets after a few seconds in any case, whether the change arrived or not. A new
//! process has been notified of nothing: the list that it starts with names nodes, but may be old, so it says nothing
//! about nodes that are draining or gone.

use super::tolerances::AuditTolerances;
use crate::edge::{BalancerId, Listed, NodeId, Stage};
use shorewharf_units::Micros;

/// The factor by which a balancer may extend its interval between calls after a failed call.
const FAILED_POLL_FACTOR: Micros = 4;
/// Rounding of the start times in the list, which are whole milliseconds.
const START_TIME_ROUNDING: Micros = 1_000;

/// What one balancer was notified of about one node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeNotice {
    /// The balancer's list has had the node.
    was_listed: bool,
    /// When the balancer was notified that the node is draining or gone; none once it is listed as ready again.
    unavailable_since: Option<Micros>,
    /// The latest start of the node that the balancer was notified of.
    start_time: Option<Micros>,
}

/// What one balancer was notified of, and how it follows the list.
#[derive(Clone, Debug, Default)]
struct BalancerView {
    /// When its process started.
    started: Micros,
    is_watching: bool,
    /// When it last asked for the list, received it, or lost its watch.
    last_polled: Micros,
    /// Whether its last call failed.
    last_poll_failed: bool,
    /// When it was last sent SIGHUP.
    reloaded: Option<Micros>,
    /// What the balancer was notified of about each node, by the node's index.
    notices: Vec<NodeNotice>,
}

impl BalancerView {
    fn notice_mut(&mut self, node: NodeId) -> &mut NodeNotice {
        entry_mut(&mut self.notices, node.0)
    }
}

/// The discovery service's own state of a node.
#[derive(Clone, Copy, Debug, Default)]
struct Listing {
    /// The time from which the node has been listed as draining or gone; `None` if it is listed as ready.
    unavailable_since: Option<Micros>,
    /// The last start of the node's process, and when that was listed.
    start_time: Option<(Micros, Micros)>,
}

/// The endpoint list, and what each balancer was notified of.
#[derive(Debug, Default)]
pub(super) struct NotifiedLists {
    /// What each balancer was notified of, by the balancer's index.
    balancers: Vec<BalancerView>,
    /// The state of each node in the discovery service's own list, by the node's index.
    listings: Vec<Listing>,
}

/// The entry at an index; the vector grows as needed.
fn entry_mut<T: Default + Clone>(entries: &mut Vec<T>, index: u32) -> &mut T {
    let index = index as usize;
    if entries.len() <= index {
        entries.resize(index + 1, T::default());
    }
    &mut entries[index]
}

impl NotifiedLists {
    pub fn on_start(&mut self, now: Micros, balancer: BalancerId, known: &[Listed]) {
        let view = entry_mut(&mut self.balancers, balancer.0);
        *view = BalancerView { started: now, last_polled: now, ..BalancerView::default() };
        for entry in known {
            let notice = view.notice_mut(entry.node);
            notice.was_listed = true;
            notice.start_time = entry.started_at;
        }
    }

    pub fn on_watch(&mut self, now: Micros, balancer: BalancerId) {
        let view = entry_mut(&mut self.balancers, balancer.0);
        (view.is_watching, view.last_polled) = (true, now);
    }

    pub fn on_unwatch(&mut self, now: Micros, balancer: BalancerId) {
        let view = entry_mut(&mut self.balancers, balancer.0);
        (view.is_watching, view.last_polled) = (false, now);
    }

    pub fn on_poll_failed(&mut self, now: Micros, balancer: BalancerId) {
        let view = entry_mut(&mut self.balancers, balancer.0);
        (view.is_watching, view.last_poll_failed, view.last_polled) = (false, true, now);
    }

    pub fn on_reload(&mut self, now: Micros, balancer: BalancerId) {
        entry_mut(&mut self.balancers, balancer.0).reloaded = Some(now);
    }

    /// The discovery service has written a list, or changes to it, to a balancer.
    pub fn on_endpoint_list(&mut self, now: Micros, balancer: BalancerId, full: bool, entries: &[Listed]) {
        let view = entry_mut(&mut self.balancers, balancer.0);
        (view.last_poll_failed, view.last_polled) = (false, now);
        for entry in entries {
            let notice = view.notice_mut(entry.node);
            notice.was_listed = true;
            notice.start_time = notice.start_time.max(entry.started_at);
            notice.unavailable_since =
                if entry.stage == Stage::Ready { None } else { notice.unavailable_since.or(Some(now)) };
        }
        if !full {
            return;
        }
        let mut listed = vec![false; view.notices.len()];
        entries.iter().for_each(|e| listed[e.node.0 as usize] = true);
        for (index, notice) in view.notices.iter_mut().enumerate() {
            if notice.was_listed && !listed[index] && notice.unavailable_since.is_none() {
                notice.unavailable_since = Some(now);
            }
        }
    }

    /// The discovery service's own state of a node changes.
    pub fn on_listed(&mut self, now: Micros, entry: Listed) {
        let listing = entry_mut(&mut self.listings, entry.node.0);
        listing.unavailable_since =
            if entry.stage == Stage::Ready { None } else { listing.unavailable_since.or(Some(now)) };
        if entry.started_at > listing.start_time.map(|(started_at, _)| started_at) {
            listing.start_time = entry.started_at.map(|started_at| (started_at, now));
        }
    }

    /// Whether the balancer's list has had the node since its process started.
    pub fn has_listed(&self, balancer: BalancerId, node: NodeId) -> bool {
        self.notice(balancer, node).was_listed
    }

    fn notice(&self, balancer: BalancerId, node: NodeId) -> NodeNotice {
        let notices =
            self.balancers.get(balancer.0 as usize).map(|view| view.notices.as_slice()).unwrap_or_default();
        notices.get(node.0 as usize).copied().unwrap_or_default()
    }

    /// When a balancer counts as notified of a change that was listed at `listed`, even if the change was never written
    /// to it; none if that time has not come.
    fn presumed_notified_at(
        &self,
        now: Micros,
        balancer: BalancerId,
        listed: Micros,
        tolerances: &AuditTolerances,
    ) -> Option<Micros> {
        let view = self.balancers.get(balancer.0 as usize)?;
        let wait = tolerances.poll_within * if view.last_poll_failed { FAILED_POLL_FACTOR } else { 1 };
        let by_polling = (!view.is_watching && now.saturating_sub(view.last_polled) >= wait)
            .then(|| listed.max(view.last_polled) + wait);
        let in_any_case = tolerances.notified_after.map(|after| listed.max(view.started) + after);
        let by_reload = view.reloaded.filter(|at| *at >= listed).zip(tolerances.notified_after_reload);
        [by_polling, in_any_case, by_reload.map(|(at, after)| at + after)]
            .into_iter()
            .flatten()
            .min()
            .filter(|t| *t <= now)
    }

    /// Returns when a balancer was notified, or began to count as notified, that a node is draining or gone.
    pub fn unavailable_since(
        &self,
        now: Micros,
        balancer: BalancerId,
        node: NodeId,
        tolerances: &AuditTolerances,
    ) -> Option<Micros> {
        let listed = self.listings.get(node.0 as usize).and_then(|l| l.unavailable_since);
        let presumed = listed.and_then(|listed| self.presumed_notified_at(now, balancer, listed, tolerances));
        [self.notice(balancer, node).unavailable_since, presumed].into_iter().flatten().min()
    }

    /// Whether a balancer has been, or counts as, notified that the node's process started at `started`.
    pub fn knows_of_start(
        &self,
        now: Micros,
        balancer: BalancerId,
        node: NodeId,
        started: Micros,
        tolerances: &AuditTolerances,
    ) -> bool {
        let is_same = |other: Micros| other + START_TIME_ROUNDING > started;
        if self.notice(balancer, node).start_time.is_some_and(is_same) {
            return true;
        }
        let listed =
            self.listings.get(node.0 as usize).and_then(|l| l.start_time).filter(|(at, _)| is_same(*at));
        listed
            .is_some_and(|(_, listed)| self.presumed_notified_at(now, balancer, listed, tolerances).is_some())
    }
}
