//! Compares what was observed at the stubs with the expectations. What balancers report about themselves is not used.

use shorewharf_emulator::audit::Verdict as AuditVerdict;
use shorewharf_emulator::sockets::network_faults::NetworkFault;
use shorewharf_emulator::world::series::NodeSeries;

use crate::expectations::{ConnectionBound, Expectations, RateBound, ServedBound};
use crate::load_distribution::{LoadDistribution, WorstInterval, worst_setup_burst};
use crate::rules::evaluate_rules;
use crate::verdict::Verdict;

/// The tolerance for rounding errors in the end of a step, in seconds.
const STEP_TOLERANCE_S: f64 = 1e-9;

/// The lengths, in seconds, of the windows in which a rate of setups is bounded, besides a single slot.
const RATE_WINDOWS_S: [usize; 3] = [1, 5, 20];

/// Requests of a step, weighted by the priority of their classes.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WeightedRequests {
    /// All requests.
    pub requested: f64,
    /// The requests that were served.
    pub served: f64,
}

/// What was observed in a run.
#[derive(Debug)]
pub struct Observations<'a> {
    /// The auditor's verdict on the rules.
    pub rules: &'a AuditVerdict,
    /// The share of the day's weighted requests that was served.
    pub served: f64,
    /// The weighted requests of each step.
    pub weighted_requests: &'a [WeightedRequests],
    /// The length of a step, in seconds.
    pub step_s: f64,
    /// The samples of each node, one per second.
    pub nodes: &'a [NodeSeries],
    /// The number of setups in each slot, by node.
    pub setups: &'a [Vec<u32>],
    /// The tenants' names.
    pub tenants: &'a [String],
    /// The most connections in each second, by tenant.
    pub max_connections: &'a [Vec<f64>],
    /// The length of a slot, in seconds.
    pub slot_s: f64,
    /// The processes that exited unexpectedly, and how.
    pub crashes: Vec<String>,
    /// The faults that were injected.
    pub faults: &'a [NetworkFault],
}

/// Compares observations with expectations. The verdicts are in the order in which they are shown: processes and rules
/// first, then service and load.
pub fn evaluate(expectations: &Expectations, observations: &Observations<'_>) -> Vec<Verdict> {
    let mut verdicts = vec![evaluate_processes(observations)];
    if expectations.rules {
        verdicts.push(evaluate_rules(observations.rules, observations.faults));
    }
    if let Some(min) = expectations.min_served {
        let is_met = observations.served >= min;
        let observed = format!("{:.3}", observations.served);
        verdicts.push(Verdict::new("served", is_met, observed, format!("at least {min}")));
    }
    verdicts.extend(expectations.served_within.iter().map(|bound| evaluate_served(bound, observations)));
    verdicts.extend(evaluate_load(expectations, observations));
    verdicts.extend(expectations.setup_rate.map(|bound| evaluate_setup_rate(bound, observations)));
    let connection_bounds = expectations.max_connections.iter();
    verdicts.extend(connection_bounds.map(|bound| evaluate_connections(bound, observations)));
    verdicts
}

fn evaluate_processes(observations: &Observations<'_>) -> Verdict {
    let crashes = &observations.crashes;
    let observed = if crashes.is_empty() { "none".to_owned() } else { crashes.join("; ") };
    Verdict::new("processes", crashes.is_empty(), observed, "no unexpected exit")
}

fn evaluate_served(bound: &ServedBound, observations: &Observations<'_>) -> Verdict {
    let share = served_share(observations, bound.from_s, bound.to_s);
    let expectation = format!("served from {} to {} s", bound.from_s, bound.to_s);
    let is_met = share.is_some_and(|share| share >= bound.min);
    let observed = share.map_or("no requests".to_owned(), |share| format!("{share:.3}"));
    Verdict::new(&expectation, is_met, observed, format!("at least {}", bound.min))
}

/// The share served of what was requested in a part of the day; `None` if nothing was requested.
fn served_share(observations: &Observations<'_>, from_s: f64, to_s: f64) -> Option<f64> {
    let (mut requested, mut served) = (0.0, 0.0);
    for (step, weighted) in observations.weighted_requests.iter().enumerate() {
        let begin_s = step as f64 * observations.step_s;
        let end_s = (step + 1) as f64 * observations.step_s;
        if begin_s >= from_s && end_s <= to_s + STEP_TOLERANCE_S {
            requested += weighted.requested;
            served += weighted.served;
        }
    }
    (requested > 0.0).then(|| served / requested)
}

/// A window of slots and its setups.
struct SetupWindow {
    /// The number of setups minus the allowed number; negative if there are fewer setups than allowed.
    excess: f64,
    setups: f64,
    length_s: f64,
    begin_s: f64,
}

fn evaluate_setup_rate(bound: RateBound, observations: &Observations<'_>) -> Verdict {
    let expected = format!("at most {} per second plus a burst of {}", bound.per_second, bound.burst);
    let Some(worst) = worst_setup_window(bound, observations) else {
        return Verdict::new("set_ups_within", false, "no setups", expected);
    };
    let SetupWindow { excess, setups, length_s, begin_s } = worst;
    let observed = format!("{setups:.0} in the {length_s:.1} s from {begin_s:.1} s");
    Verdict::new("set_ups_within", excess <= 0.0, observed, expected)
}

/// The window of any length with the greatest excess of setups; `None` if no window begins after the bound's start.
fn worst_setup_window(bound: RateBound, observations: &Observations<'_>) -> Option<SetupWindow> {
    let slot_s = observations.slot_s;
    let slots: Vec<f64> =
        observations.setups.iter().map(|by_node| f64::from(by_node.iter().sum::<u32>())).collect();
    let slots_per_second = (1.0 / slot_s).round() as usize;
    let lengths = [1].into_iter().chain(RATE_WINDOWS_S.map(|seconds| seconds * slots_per_second));
    let mut worst: Option<SetupWindow> = None;
    for length in lengths {
        let allowed = bound.per_second * length as f64 * slot_s + bound.burst;
        for (first, window) in slots.windows(length).enumerate() {
            let begin_s = first as f64 * slot_s;
            let setups: f64 = window.iter().sum();
            let excess = setups - allowed;
            let is_worst = worst.as_ref().is_none_or(|worst| excess > worst.excess);
            if begin_s >= bound.from_s && is_worst {
                worst = Some(SetupWindow { excess, setups, length_s: length as f64 * slot_s, begin_s });
            }
        }
    }
    worst
}

fn evaluate_connections(bound: &ConnectionBound, observations: &Observations<'_>) -> Verdict {
    let expectation = format!("holds_most {}", bound.tenant);
    let expected = format!("at most {}", bound.max);
    let Some(tenant) = observations.tenants.iter().position(|tenant| *tenant == bound.tenant) else {
        return Verdict::new(&expectation, false, "the day has no such tenant", expected);
    };
    let seconds = observations.max_connections.iter().enumerate();
    let counted = seconds.filter(|(second, _)| *second as f64 >= bound.from_s);
    let connections = counted.filter_map(|(second, by_tenant)| Some((*by_tenant.get(tenant)?, second)));
    let (most, second) = connections.max_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or_default();
    Verdict::new(&expectation, most <= bound.max, format!("{most:.0} ({second} s)"), expected)
}

/// A bound of a measure of load.
struct LoadBound<'a> {
    /// The expectation's key.
    key: &'a str,
    bound: f64,
    /// Whether the bound is a maximum rather than a minimum.
    is_maximum: bool,
    worst: Option<WorstInterval>,
    /// Formats the time of the worst interval.
    time: fn(f64) -> String,
}

impl LoadBound<'_> {
    fn evaluate(&self) -> Verdict {
        let side = if self.is_maximum { "most" } else { "least" };
        let expected = format!("at {side} {}", self.bound);
        let Some(worst) = self.worst else {
            return Verdict::new(self.key, false, "no node accepted clients for a whole window", expected);
        };
        let is_met = if self.is_maximum { worst.value <= self.bound } else { worst.value >= self.bound };
        let observed = format!("{:.2} (node {}, {})", worst.value, worst.node, (self.time)(worst.at_s));
        Verdict::new(self.key, is_met, observed, expected)
    }
}

fn evaluate_load(expectations: &Expectations, observations: &Observations<'_>) -> Vec<Verdict> {
    let measured = LoadDistribution::of(expectations, observations.nodes);
    let window_end = |at_s: f64| format!("up to {at_s:.0} s");
    let slot_begin = |at_s: f64| format!("{at_s:.1} s");
    let mut bounds = Vec::new();
    let mut add = |key, bound: Option<f64>, is_maximum, worst, time: fn(f64) -> String| {
        bounds.extend(bound.map(|bound| LoadBound { key, bound, is_maximum, worst, time }));
    };
    add("load_most", expectations.max_load, true, measured.max_load, window_end);
    add("over_mean_most", expectations.max_over_mean, true, measured.max_over_mean, window_end);
    add("under_mean_least", expectations.min_under_mean, false, measured.min_under_mean, window_end);
    // Without setups, the worst burst is the default of 0.
    let burst = worst_setup_burst(observations.setups, observations.slot_s).unwrap_or_default();
    add("set_ups_most", expectations.max_setup_burst, true, Some(burst), slot_begin);
    bounds.iter().map(LoadBound::evaluate).collect()
}
