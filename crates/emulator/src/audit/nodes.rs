//! The true state of the nodes as far as the rules need it: whether they are responsive, and the work sent to cold
//! ones.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use super::Health;
use super::tolerances::AuditTolerances;
use super::trace::{Trace, TraceEvent};
use crate::edge::{BalancerId, NodeId};

/// Slack of the budget for random variation, in square roots of the budget.
const SLACK_SQUARE_ROOTS: f64 = 3.0;
/// Further slack of the budget, in attempts.
const SLACK_ATTEMPTS: f64 = 3.0;
/// An overload is a violation if at least this part of the load came from balancers that knew of the node's start.
const ATTRIBUTABLE_RATIO: f64 = 2.0 / 3.0;

/// An attempt that arrived at a cold node.
#[derive(Clone, Copy, Debug)]
struct ColdAttempt {
    at: Micros,
    balancer: BalancerId,
    /// The work that it costs, in the node's own unit.
    weight: f64,
    /// The same if the balancer knew of the node's start, otherwise 0.
    known_weight: f64,
}

/// What was observed of one node.
#[derive(Clone, Debug, Default)]
pub(super) struct ObservedNode {
    health: Option<Health>,
    /// When it last answered again after it was silent or cut off, in its present life.
    responsive_since: Option<Micros>,
    /// When its present process started; none if that was before the day.
    pub started: Option<Micros>,
    /// It was overloaded since its last start, and that was reported.
    is_overloaded: bool,
    /// Attempts that arrived within the overload window while the node was cold.
    window: VecDeque<ColdAttempt>,
    pub trace: Trace,
}

/// The overload of a cold node.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Overload {
    /// The work sent to it within the window, in the node's own unit.
    pub sent: f64,
    /// The work that it could have done within the window, with slack.
    pub budget: f64,
    /// The part of `sent` that came from balancers that knew of the node's start.
    pub known_weight: f64,
    /// The balancer that sent the most.
    pub balancer: BalancerId,
    /// What each balancer sent, the largest part first.
    pub shares: Vec<(BalancerId, f64)>,
}

impl Overload {
    /// Whether enough of the work came from balancers that knew of the node's start for the overload to be a violation.
    pub fn is_attributable(&self) -> bool {
        self.known_weight >= ATTRIBUTABLE_RATIO * self.sent
    }
}

impl ObservedNode {
    fn set_health(&mut self, now: Micros, health: Health) {
        self.trace.push(now, TraceEvent::NodeHealth(health));
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

    /// Whether it answers and has done so for at least `long`, or since its start.
    pub fn is_responsive_for(&self, now: Micros, long: Micros) -> bool {
        self.is_responsive() && self.responsive_since.is_none_or(|since| now.saturating_sub(since) >= long)
    }

    /// Whether its process runs and can be reached, even if it does not answer.
    pub fn is_reachable(&self) -> bool {
        !matches!(self.health, Some(Health::CutOff | Health::Down))
    }

    /// Adds an attempt of this weight, which arrived while the node could do `capacity` per second. Returns the overload,
    /// at most once per start of the node.
    fn on_attempt(
        &mut self,
        now: Micros,
        balancer: BalancerId,
        weight: f64,
        capacity: f64,
        knew_of_start: bool,
        tolerances: &AuditTolerances,
    ) -> Option<Overload> {
        if self.is_overloaded {
            return None;
        }
        self.window.push_back(ColdAttempt {
            at: now,
            balancer,
            weight,
            known_weight: if knew_of_start { weight } else { 0.0 },
        });
        while self.window.front().is_some_and(|l| l.at + tolerances.overload_window < now) {
            self.window.pop_front();
        }
        let sent: f64 = self.window.iter().map(|l| l.weight).sum();
        let window_capacity =
            tolerances.overload_multiple * capacity * tolerances.overload_window as f64 / 1e6;
        let budget = window_capacity + SLACK_SQUARE_ROOTS * window_capacity.sqrt() + SLACK_ATTEMPTS;
        if sent < budget {
            return None;
        }
        // Nothing more is counted until the next start, so the budget bounds the length of the window.
        self.is_overloaded = true;
        let mut shares: Vec<(BalancerId, f64)> = Vec::new();
        for load in &self.window {
            match shares.iter_mut().find(|(b, _)| *b == load.balancer) {
                Some((_, sum)) => *sum += load.weight,
                None => shares.push((load.balancer, load.weight)),
            }
        }
        shares.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
        let known_weight = self.window.iter().map(|l| l.known_weight).sum();
        Some(Overload { sent, budget, known_weight, balancer: shares[0].0, shares })
    }
}

/// All nodes, by id.
#[derive(Debug, Default)]
pub(super) struct Nodes(Vec<ObservedNode>);

impl Nodes {
    pub fn node_mut(&mut self, node: NodeId) -> &mut ObservedNode {
        let index = node.0 as usize;
        if self.0.len() <= index {
            self.0.resize(index + 1, ObservedNode::default());
        }
        &mut self.0[index]
    }

    pub fn set_health(&mut self, now: Micros, node: NodeId, health: Health) {
        self.node_mut(node).set_health(now, health);
    }

    /// Adds an attempt at a cold node; see [`ObservedNode::on_attempt`]. If the node is warm (`capacity` is none), the
    /// attempts of its overload window are dropped instead.
    pub fn on_attempt(
        &mut self,
        now: Micros,
        (node, balancer): (NodeId, BalancerId),
        (weight, capacity): (f64, Option<f64>),
        knew_of_start: bool,
        tolerances: &AuditTolerances,
    ) -> Option<Overload> {
        let node = self.node_mut(node);
        match capacity {
            Some(capacity) => node.on_attempt(now, balancer, weight, capacity, knew_of_start, tolerances),
            None => {
                node.window.clear();
                None
            }
        }
    }
}
