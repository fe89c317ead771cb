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
const AFTER_FAILURE: Micros = 4;
/// Start times in the list are whole milliseconds.
const BORN_ROUNDING: Micros = 1_000;

/// What one balancer was told of one node.
#[derive(Clone, Copy, Debug, Default)]
struct NodeNotice {
    /// Its list has named it.
    named: bool,
    /// Told that it drains or is gone, and not since that it is ready.
    off: Option<Micros>,
    /// The latest start that it was told of.
    born: Option<Micros>,
}

/// What one balancer has heard, and how it listens.
#[derive(Clone, Debug, Default)]
struct BalancerView {
    started: Micros,
    watching: bool,
    /// When it last asked, or its watch ended.
    asked: Micros,
    /// The last call failed.
    failed: bool,
    reloaded: Option<Micros>,
    words: Vec<NodeNotice>,
}

impl BalancerView {
    fn word(&mut self, node: NodeId) -> &mut NodeNotice {
        let place = node.0 as usize;
        if self.words.len() <= place {
            self.words.resize(place + 1, NodeNotice::default());
        }
        &mut self.words[place]
    }
}

/// What discovery lists of a node.
#[derive(Clone, Copy, Debug, Default)]
struct Listing {
    /// Draining or gone since then.
    off: Option<Micros>,
    /// The last start, and when it was listed.
    born: Option<(Micros, Micros)>,
}

/// The list, and what each balancer was told of it.
#[derive(Debug, Default)]
pub(super) struct NotifiedLists {
    hearing: Vec<BalancerView>,
    listing: Vec<Listing>,
}

fn at<T: Default + Clone>(table: &mut Vec<T>, place: u32) -> &mut T {
    let place = place as usize;
    if table.len() <= place {
        table.resize(place + 1, T::default());
    }
    &mut table[place]
}

impl NotifiedLists {
    pub fn started(&mut self, now: Micros, by: BalancerId, known: &[Listed]) {
        let hearing = at(&mut self.hearing, by.0);
        *hearing = BalancerView { started: now, asked: now, ..BalancerView::default() };
        for entry in known {
            let word = hearing.word(entry.node);
            word.named = true;
            word.born = entry.born;
        }
    }

    pub fn asks(&mut self, now: Micros, by: BalancerId) {
        let hearing = at(&mut self.hearing, by.0);
        (hearing.watching, hearing.asked) = (true, now);
    }

    pub fn unwatches(&mut self, now: Micros, by: BalancerId) {
        let hearing = at(&mut self.hearing, by.0);
        (hearing.watching, hearing.asked) = (false, now);
    }

    pub fn failed(&mut self, now: Micros, by: BalancerId) {
        let hearing = at(&mut self.hearing, by.0);
        (hearing.watching, hearing.failed, hearing.asked) = (false, true, now);
    }

    pub fn reloaded(&mut self, now: Micros, by: BalancerId) {
        at(&mut self.hearing, by.0).reloaded = Some(now);
    }

    /// Discovery has written news to a balancer.
    pub fn told(&mut self, now: Micros, by: BalancerId, full: bool, entries: &[Listed]) {
        let hearing = at(&mut self.hearing, by.0);
        (hearing.failed, hearing.asked) = (false, now);
        for entry in entries {
            let word = hearing.word(entry.node);
            word.named = true;
            word.born = word.born.max(entry.born);
            word.off = if entry.stage == Stage::Ready { None } else { word.off.or(Some(now)) };
        }
        if !full {
            return;
        }
        let mut listed = vec![false; hearing.words.len()];
        entries.iter().for_each(|e| listed[e.node.0 as usize] = true);
        for (place, word) in hearing.words.iter_mut().enumerate() {
            if word.named && !listed[place] && word.off.is_none() {
                word.off = Some(now);
            }
        }
    }

    /// Discovery lists a node so from now on.
    pub fn listed(&mut self, now: Micros, entry: Listed) {
        let listing = at(&mut self.listing, entry.node.0);
        listing.off = if entry.stage == Stage::Ready { None } else { listing.off.or(Some(now)) };
        if entry.born > listing.born.map(|(born, _)| born) {
            listing.born = entry.born.map(|born| (born, now));
        }
    }

    /// Its list has named the node in this life.
    pub fn named(&self, by: BalancerId, node: NodeId) -> bool {
        self.word(by, node).named
    }

    fn word(&self, by: BalancerId, node: NodeId) -> NodeNotice {
        let words = self.hearing.get(by.0 as usize).map(|h| h.words.as_slice()).unwrap_or_default();
        words.get(node.0 as usize).copied().unwrap_or_default()
    }

    /// When a balancer counts as told of what was listed then, were it never written to it; none while it needn't.
    fn counts_from(
        &self,
        now: Micros,
        by: BalancerId,
        listed: Micros,
        judging: &AuditTolerances,
    ) -> Option<Micros> {
        let hearing = self.hearing.get(by.0 as usize)?;
        let wait = judging.ask_within * if hearing.failed { AFTER_FAILURE } else { 1 };
        let neglect = (!hearing.watching && now.saturating_sub(hearing.asked) >= wait)
            .then(|| listed.max(hearing.asked) + wait);
        let anyhow = judging.told_after.map(|after| listed.max(hearing.started) + after);
        let reload = hearing.reloaded.filter(|at| *at >= listed).zip(judging.told_after_reload);
        [neglect, anyhow, reload.map(|(at, after)| at + after)]
            .into_iter()
            .flatten()
            .min()
            .filter(|t| *t <= now)
    }

    /// Since when a balancer was told, or counts as told, that a node drains or is gone.
    pub fn off_since(
        &self,
        now: Micros,
        by: BalancerId,
        node: NodeId,
        judging: &AuditTolerances,
    ) -> Option<Micros> {
        let listed = self.listing.get(node.0 as usize).and_then(|l| l.off);
        let counts = listed.and_then(|listed| self.counts_from(now, by, listed, judging));
        [self.word(by, node).off, counts].into_iter().flatten().min()
    }

    /// Whether a balancer knows, or counts as knowing, that the node's process started then.
    pub fn knows_start(
        &self,
        now: Micros,
        by: BalancerId,
        node: NodeId,
        started: Micros,
        judging: &AuditTolerances,
    ) -> bool {
        let is_it = |born: Micros| born + BORN_ROUNDING > started;
        if self.word(by, node).born.is_some_and(is_it) {
            return true;
        }
        let listed = self.listing.get(node.0 as usize).and_then(|l| l.born).filter(|(born, _)| is_it(*born));
        listed.is_some_and(|(_, listed)| self.counts_from(now, by, listed, judging).is_some())
    }
}
