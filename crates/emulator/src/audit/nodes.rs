//! The truth of the nodes, as far as the rules ask for it: who answers, and what cold ones were sent.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use super::Health;
use super::tolerances::AuditTolerances;
use super::trace::{Ring, What};
use crate::edge::{BalancerId, NodeId};

/// The budget's slack for chance, in square roots of the budget and in attempts: with these the simulator's nodes fall
/// at the count that was measured there.
const SLACK_ROOTS: f64 = 3.0;
const SLACK: f64 = 3.0;
/// A break when this part of a node's load came from balancers that knew of its start.
const KNEW: f64 = 2.0 / 3.0;

/// What a cold node was sent.
#[derive(Clone, Copy, Debug)]
struct Load {
    at: Micros,
    by: BalancerId,
    weight: f64,
    knew: f64,
}

/// One node.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedNode {
    health: Option<Health>,
    /// Since when it answers again after it was silent or cut off.
    well_since: Option<Micros>,
    /// When its present process started; none for before the day.
    pub started: Option<Micros>,
    /// It was pushed over in this life, and judged.
    over: bool,
    window: VecDeque<Load>,
    pub ring: Ring,
}

/// A cold node that was sent too much.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Overload {
    /// What it was sent within the window, and what it could have borne, in its own unit.
    pub sent: f64,
    pub budget: f64,
    /// The part that came from balancers that knew.
    pub knew: f64,
    /// Who sent the most.
    pub by: BalancerId,
    /// What each sent, by balancer.
    pub shares: Vec<(BalancerId, f64)>,
}

impl Overload {
    /// Whether the balancers are to blame.
    pub fn knowingly(&self) -> bool {
        self.knew >= KNEW * self.sent
    }
}

impl ObservedNode {
    fn is(&mut self, now: Micros, health: Health) {
        self.ring.note(now, What::Is(health));
        match health {
            Health::Started => {
                (self.started, self.well_since, self.over) = (Some(now), None, false);
                self.window.clear();
            }
            Health::Answers => self.well_since = Some(now),
            Health::Silent | Health::CutOff | Health::Down => {}
        }
        self.health = Some(health);
    }

    fn answers(&self) -> bool {
        !matches!(self.health, Some(Health::Silent | Health::CutOff | Health::Down))
    }

    /// It answers and has done so for at least this long, or since its start.
    pub fn sound_for(&self, now: Micros, long: Micros) -> bool {
        self.answers() && self.well_since.is_none_or(|since| now.saturating_sub(since) >= long)
    }

    /// Its process runs and can be reached, whether it answers or not.
    pub fn runs(&self) -> bool {
        !matches!(self.health, Some(Health::CutOff | Health::Down))
    }

    /// An attempt of this weight has come while it could do `able` a second. Tells if that was too much, once a life.
    fn reached(
        &mut self,
        now: Micros,
        by: BalancerId,
        weight: f64,
        able: f64,
        knew: bool,
        judging: &AuditTolerances,
    ) -> Option<Overload> {
        if self.over {
            return None;
        }
        self.window.push_back(Load { at: now, by, weight, knew: if knew { weight } else { 0.0 } });
        while self.window.front().is_some_and(|l| l.at + judging.fall_for < now) {
            self.window.pop_front();
        }
        let sent: f64 = self.window.iter().map(|l| l.weight).sum();
        let bears = judging.fall_multiple * able * judging.fall_for as f64 / 1e6;
        let budget = bears + SLACK_ROOTS * bears.sqrt() + SLACK;
        if sent < budget {
            return None;
        }
        // What is kept is bounded by the budget: nothing more is counted in this life.
        self.over = true;
        let mut shares: Vec<(BalancerId, f64)> = Vec::new();
        for load in &self.window {
            match shares.iter_mut().find(|(b, _)| *b == load.by) {
                Some((_, sum)) => *sum += load.weight,
                None => shares.push((load.by, load.weight)),
            }
        }
        shares.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let knew = self.window.iter().map(|l| l.knew).sum();
        Some(Overload { sent, budget, knew, by: shares[0].0, shares })
    }
}

/// All nodes.
#[derive(Debug, Default)]
pub(super) struct Nodes(Vec<ObservedNode>);

impl Nodes {
    pub fn of(&mut self, node: NodeId) -> &mut ObservedNode {
        let place = node.0 as usize;
        if self.0.len() <= place {
            self.0.resize(place + 1, ObservedNode::default());
        }
        &mut self.0[place]
    }

    pub fn is(&mut self, now: Micros, node: NodeId, health: Health) {
        self.of(node).is(now, health);
    }

    /// See [`ObservedNode::reached`]; a warm node (`able` is none) forgets what it was sent.
    pub fn reached(
        &mut self,
        now: Micros,
        (node, by): (NodeId, BalancerId),
        (weight, able): (f64, Option<f64>),
        knew: bool,
        judging: &AuditTolerances,
    ) -> Option<Overload> {
        let seen = self.of(node);
        match able {
            Some(able) => seen.reached(now, by, weight, able, knew, judging),
            None => {
                seen.window.clear();
                None
            }
        }
    }
}
