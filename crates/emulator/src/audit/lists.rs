//! Who was told what of the list, and who counts as told.
//!
//! A balancer is told once discovery has written it to the balancer. Beside that it counts as told: without a watch and
//! without asking for `ask_within` (four times as long after a failed call) it counts as told of what was listed that
//! long ago; and on sockets of whatever was listed some seconds ago, whether it arrived or not. A new process has been
//! told nothing yet: the list that it starts from names nodes, but it may be old and is no news of an end.

use super::tolerances::AuditTolerances;
use crate::edge::{BalancerId, Listed, NodeId, Stage};
use shorewharf_units::Micros;

/// After a failed call a balancer may keep from asking for so many times as long.
const FAILED_POLL_FACTOR: Micros = 4;
/// Start times in the list are whole milliseconds.
const START_TIME_ROUNDING: Micros = 1_000;

/// What one balancer was told of one node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeNotice {
    /// Its list has named it.
    named: bool,
    /// Told that it drains or is gone, and not since that it is ready.
    unavailable_since: Option<Micros>,
    /// The latest start that it was told of.
    start_time: Option<Micros>,
}

/// What one balancer has heard, and how it listens.
#[derive(Clone, Debug, Default)]
struct BalancerView {
    started: Micros,
    is_watching: bool,
    /// When it last asked, or its watch ended.
    last_polled: Micros,
    /// The last call failed.
    last_poll_failed: bool,
    reloaded: Option<Micros>,
    notices: Vec<NodeNotice>,
}

impl BalancerView {
    fn notice_mut(&mut self, node: NodeId) -> &mut NodeNotice {
        let place = node.0 as usize;
        if self.notices.len() <= place {
            self.notices.resize(place + 1, NodeNotice::default());
        }
        &mut self.notices[place]
    }
}

/// What discovery lists of a node.
#[derive(Clone, Copy, Debug, Default)]
struct Listing {
    /// Draining or gone since then.
    unavailable_since: Option<Micros>,
    /// The last start, and when it was listed.
    start_time: Option<(Micros, Micros)>,
}

/// The list, and what each balancer was told of it.
#[derive(Debug, Default)]
pub(super) struct NotifiedLists {
    balancers: Vec<BalancerView>,
    listings: Vec<Listing>,
}

fn at<T: Default + Clone>(table: &mut Vec<T>, place: u32) -> &mut T {
    let place = place as usize;
    if table.len() <= place {
        table.resize(place + 1, T::default());
    }
    &mut table[place]
}

impl NotifiedLists {
    pub fn on_start(&mut self, now: Micros, by: BalancerId, known: &[Listed]) {
        let hearing = at(&mut self.balancers, by.0);
        *hearing = BalancerView { started: now, last_polled: now, ..BalancerView::default() };
        for entry in known {
            let word = hearing.notice_mut(entry.node);
            word.named = true;
            word.start_time = entry.started_at;
        }
    }

    pub fn on_watch(&mut self, now: Micros, by: BalancerId) {
        let hearing = at(&mut self.balancers, by.0);
        (hearing.is_watching, hearing.last_polled) = (true, now);
    }

    pub fn on_unwatch(&mut self, now: Micros, by: BalancerId) {
        let hearing = at(&mut self.balancers, by.0);
        (hearing.is_watching, hearing.last_polled) = (false, now);
    }

    pub fn on_poll_failed(&mut self, now: Micros, by: BalancerId) {
        let hearing = at(&mut self.balancers, by.0);
        (hearing.is_watching, hearing.last_poll_failed, hearing.last_polled) = (false, true, now);
    }

    pub fn on_reload(&mut self, now: Micros, by: BalancerId) {
        at(&mut self.balancers, by.0).reloaded = Some(now);
    }

    /// Discovery has written news to a balancer.
    pub fn on_endpoint_list(&mut self, now: Micros, by: BalancerId, full: bool, entries: &[Listed]) {
        let hearing = at(&mut self.balancers, by.0);
        (hearing.last_poll_failed, hearing.last_polled) = (false, now);
        for entry in entries {
            let word = hearing.notice_mut(entry.node);
            word.named = true;
            word.start_time = word.start_time.max(entry.started_at);
            word.unavailable_since =
                if entry.stage == Stage::Ready { None } else { word.unavailable_since.or(Some(now)) };
        }
        if !full {
            return;
        }
        let mut listed = vec![false; hearing.notices.len()];
        entries.iter().for_each(|e| listed[e.node.0 as usize] = true);
        for (place, word) in hearing.notices.iter_mut().enumerate() {
            if word.named && !listed[place] && word.unavailable_since.is_none() {
                word.unavailable_since = Some(now);
            }
        }
    }

    /// Discovery lists a node so from now on.
    pub fn on_listed(&mut self, now: Micros, entry: Listed) {
        let listing = at(&mut self.listings, entry.node.0);
        listing.unavailable_since =
            if entry.stage == Stage::Ready { None } else { listing.unavailable_since.or(Some(now)) };
        if entry.started_at > listing.start_time.map(|(born, _)| born) {
            listing.start_time = entry.started_at.map(|born| (born, now));
        }
    }

    /// Its list has named the node in this life.
    pub fn has_listed(&self, by: BalancerId, node: NodeId) -> bool {
        self.notice(by, node).named
    }

    fn notice(&self, by: BalancerId, node: NodeId) -> NodeNotice {
        let words = self.balancers.get(by.0 as usize).map(|h| h.notices.as_slice()).unwrap_or_default();
        words.get(node.0 as usize).copied().unwrap_or_default()
    }

    /// When a balancer counts as told of what was listed then, were it never written to it; none while it needn't.
    fn presumed_notified_at(
        &self,
        now: Micros,
        by: BalancerId,
        listed: Micros,
        tolerances: &AuditTolerances,
    ) -> Option<Micros> {
        let hearing = self.balancers.get(by.0 as usize)?;
        let wait = tolerances.poll_within * if hearing.last_poll_failed { FAILED_POLL_FACTOR } else { 1 };
        let neglect = (!hearing.is_watching && now.saturating_sub(hearing.last_polled) >= wait)
            .then(|| listed.max(hearing.last_polled) + wait);
        let anyhow = tolerances.notified_after.map(|after| listed.max(hearing.started) + after);
        let reload = hearing.reloaded.filter(|at| *at >= listed).zip(tolerances.notified_after_reload);
        [neglect, anyhow, reload.map(|(at, after)| at + after)]
            .into_iter()
            .flatten()
            .min()
            .filter(|t| *t <= now)
    }

    /// Since when a balancer was told, or counts as told, that a node drains or is gone.
    pub fn unavailable_since(
        &self,
        now: Micros,
        by: BalancerId,
        node: NodeId,
        tolerances: &AuditTolerances,
    ) -> Option<Micros> {
        let listed = self.listings.get(node.0 as usize).and_then(|l| l.unavailable_since);
        let counts = listed.and_then(|listed| self.presumed_notified_at(now, by, listed, tolerances));
        [self.notice(by, node).unavailable_since, counts].into_iter().flatten().min()
    }

    /// Whether a balancer knows, or counts as knowing, that the node's process started then.
    pub fn knows_of_start(
        &self,
        now: Micros,
        by: BalancerId,
        node: NodeId,
        started: Micros,
        tolerances: &AuditTolerances,
    ) -> bool {
        let is_it = |born: Micros| born + START_TIME_ROUNDING > started;
        if self.notice(by, node).start_time.is_some_and(is_it) {
            return true;
        }
        let listed =
            self.listings.get(node.0 as usize).and_then(|l| l.start_time).filter(|(born, _)| is_it(*born));
        listed.is_some_and(|(_, listed)| self.presumed_notified_at(now, by, listed, tolerances).is_some())
    }
}
