//! The true state of the nodes, as far as the rules need it: which ones are responsive, and the load sent to warming ones.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use super::Health;
use super::tolerances::AuditTolerances;
use super::trace::{Ring, What};
use crate::edge::{BalancerId, NodeId};

/// Slack of the budget for chance, in square roots of the budget.
const SLACK_ROOTS: f64 = 3.0;
/// Further slack of the budget, in attempts.
const SLACK_ATTEMPTS: f64 = 3.0;
/// A break when this part of a node's load came from balancers that knew of its start.
const ATTRIBUTABLE_RATIO: f64 = 2.0 / 3.0;

/// What a cold node was sent.
#[derive(Clone, Copy, Debug)]
struct Load {
    at: Micros,
    by: BalancerId,
    weight: f64,
    known_weight: f64,
}

/// One node.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedNode {
    health: Option<Health>,
    /// Since when it answers again after it was silent or cut off.
    responsive_since: Option<Micros>,
    /// When its present process started; none for before the day.
    pub started: Option<Micros>,
    /// It was pushed over in this life, and judged.
    is_overloaded: bool,
    window: VecDeque<Load>,
    pub trace: Ring,
}

/// A cold node that was sent too much.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Overload {
    /// What it was sent within the window, and what it could have borne, in its own unit.
    pub sent: f64,
    pub budget: f64,
    /// The part that came from balancers that knew.
    pub known_weight: f64,
    /// Who sent the most.
    pub by: BalancerId,
    /// What each sent, by balancer.
    pub shares: Vec<(BalancerId, f64)>,
}

impl Overload {
    /// Whether the balancers are to blame.
    pub fn is_attributable(&self) -> bool {
        self.known_weight >= ATTRIBUTABLE_RATIO * self.sent
    }
}

impl ObservedNode {
    fn set_health(&mut self, now: Micros, health: Health) {
        self.trace.note(now, What::Is(health));
        match health {
            Health::Started => {
                (self.started, self.responsive_since, self.is_overloaded) = (Some(now), None, false);
                self.window.clear();
            }
            Health::Recovered => self.responsive_since = Some(now),
            Health::Silent | Health::CutOff | Health::Down => {}
        }
        self.health = Some(health);
    }

    fn is_responsive(&self) -> bool {
        !matches!(self.health, Some(Health::Silent | Health::CutOff | Health::Down))
    }

    /// It answers and has done so for at least this long, or since its start.
    pub fn is_responsive_for(&self, now: Micros, long: Micros) -> bool {
        self.is_responsive() && self.responsive_since.is_none_or(|since| now.saturating_sub(since) >= long)
    }

    /// Its process runs and can be reached, whether it answers or not.
    pub fn is_reachable(&self) -> bool {
        !matches!(self.health, Some(Health::CutOff | Health::Down))
    }

    /// An attempt of this weight has come while it could do `able` a second. Tells if that was too much, once a life.
    fn on_attempt(
        &mut self,
        now: Micros,
        by: BalancerId,
        weight: f64,
        able: f64,
        knew: bool,
        tolerances: &AuditTolerances,
    ) -> Option<Overload> {
        if self.is_overloaded {
            return None;
        }
        self.window.push_back(Load { at: now, by, weight, known_weight: if knew { weight } else { 0.0 } });
        while self.window.front().is_some_and(|l| l.at + tolerances.fall_for < now) {
            self.window.pop_front();
        }
        let sent: f64 = self.window.iter().map(|l| l.weight).sum();
        let bears = tolerances.fall_multiple * able * tolerances.fall_for as f64 / 1e6;
        let budget = bears + SLACK_ROOTS * bears.sqrt() + SLACK_ATTEMPTS;
        if sent < budget {
            return None;
        }
        // What is kept is bounded by the budget: nothing more is counted in this life.
        self.is_overloaded = true;
        let mut shares: Vec<(BalancerId, f64)> = Vec::new();
        for load in &self.window {
            match shares.iter_mut().find(|(b, _)| *b == load.by) {
                Some((_, sum)) => *sum += load.weight,
                None => shares.push((load.by, load.weight)),
            }
        }
        shares.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let knew = self.window.iter().map(|l| l.known_weight).sum();
        Some(Overload { sent, budget, known_weight: knew, by: shares[0].0, shares })
    }
}

/// All nodes.
#[derive(Debug, Default)]
pub(super) struct Nodes(Vec<ObservedNode>);

impl Nodes {
    pub fn node_mut(&mut self, node: NodeId) -> &mut ObservedNode {
        let place = node.0 as usize;
        if self.0.len() <= place {
            self.0.resize(place + 1, ObservedNode::default());
        }
        &mut self.0[place]
    }

    pub fn set_health(&mut self, now: Micros, node: NodeId, health: Health) {
        self.node_mut(node).set_health(now, health);
    }

    /// See [`ObservedNode::reached`]; a warm node (`able` is none) forgets what it was sent.
    pub fn on_attempt(
        &mut self,
        now: Micros,
        (node, by): (NodeId, BalancerId),
        (weight, able): (f64, Option<f64>),
        knew: bool,
        tolerances: &AuditTolerances,
    ) -> Option<Overload> {
        let seen = self.node_mut(node);
        match able {
            Some(able) => seen.on_attempt(now, by, weight, able, knew, tolerances),
            None => {
                seen.window.clear();
                None
            }
        }
    }
}
