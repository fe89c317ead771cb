//! The record of a run: what `run --json` writes, and the source of tables and pages. A record in virtual
//! time has no wall-clock times and no data of the machine, so the same scenario and seed give the same
//! bytes.

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};
use shorewharf_emulator::sockets::datagram_proxy::DatagramStatistics;

use crate::error::CommandError;

/// The record of one run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The result: weighted served shares minus prices.
    pub g: f64,
    /// The scenario's name.
    pub scenario: String,
    /// The scenario's description.
    pub about: String,
    /// The seed of all random draws.
    pub seed: u64,
    /// The policy in virtual time, the program's name on sockets.
    pub policy: String,
    /// The clock that played the day: `virtual` or `sockets`.
    pub clock: String,
    /// The day's length in seconds.
    pub length_s: f64,
    /// Share of the requested worth that was served over the whole day.
    pub whole: f64,
    /// The interval of 10 s with the lowest share served.
    pub worst_window: Window,
    /// Share served of each class.
    pub classes: Vec<NamedShare>,
    /// Share served of each tenant, within its quota.
    pub tenants: Vec<NamedShare>,
    /// The prices that were deducted from the result.
    pub prices: Vec<ChargedPrice>,
    /// Totals of the run by name.
    pub counts: BTreeMap<String, f64>,
    /// Number of replies to clients other than `UP`, by cause.
    pub refusals: BTreeMap<String, u64>,
    /// Number of attempts at nodes, by outcome.
    pub attempts: BTreeMap<String, u64>,
    /// Number of established connections that ended, by cause.
    pub ends: BTreeMap<String, u64>,
    /// Distribution of the times from a client's first try to its `UP`.
    pub set_up: SetupTimes,
    /// The auditor's verdict on the rules.
    pub rules: Verdict,
    /// Number of events that the emulator processed; a measure of the work of a run in virtual time.
    pub events: u64,
    /// The nodes, in the day's order.
    pub nodes: Vec<NodeName>,
    /// The faults that were injected.
    pub faults: Vec<FaultInterval>,
    /// Time series of the day.
    pub series: Series,
    /// Measurements of a run on sockets; none in virtual time.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sockets: Option<SocketMeasurements>,
}

/// Measurements that exist only for a run in real time.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SocketMeasurements {
    /// Why the run does not count, if it does not.
    pub void: Option<String>,
    /// Delay of the lab's own actions after they were due.
    pub late: TimeSummary,
    /// Delay of the lab's handling of input.
    pub handled: TimeSummary,
    /// Number of lines that clients sent on established connections.
    pub lines: u64,
    /// Number of those lines that were answered.
    pub returned: u64,
    /// Round-trip times of those lines.
    pub round: TimeSummary,
    /// Incarnations of the balancers' processes.
    pub lives: Vec<ProcessIncarnation>,
    /// Kinds of misbehaving clients, and their outcomes as text.
    pub bad: Vec<(String, String)>,
    /// Unexpected observations as text.
    pub strange: Vec<String>,
    /// Statistics of the datagrams between balancers.
    #[serde(default)]
    pub notes: DatagramStatistics,
}

/// Summary of a distribution of times.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TimeSummary {
    /// Number of values.
    pub count: u64,
    /// The median in milliseconds.
    pub half_ms: f64,
    /// The 99th percentile in milliseconds.
    pub most_ms: f64,
    /// The maximum in milliseconds.
    pub longest_ms: f64,
}

/// One incarnation of a balancer's process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProcessIncarnation {
    /// Index of the balancer.
    pub balancer: u32,
    /// Its start in seconds of the day.
    pub began_s: f64,
    /// Its end in seconds of the day, if it ended before the run did.
    pub ended_s: Option<f64>,
    /// How it ended; empty if it ran to the end of the run.
    pub how: String,
    /// Whether it ended without being told to.
    pub crashed: bool,
    /// CPU time in milliseconds.
    pub cpu_ms: f64,
    /// Peak memory in megabytes.
    pub memory_mb: f64,
    /// Number of open descriptors in the last sample.
    pub descriptors: usize,
}

/// An interval of the day with the share served in it.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// Its start in seconds of the day.
    pub from_s: f64,
    /// Share served in it.
    pub share: f64,
}

/// The share served of one class or tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NamedShare {
    /// Name of the class or tenant.
    pub name: String,
    /// Share served.
    pub share: f64,
}

/// A price that was deducted from the result.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ChargedPrice {
    /// What the price is for.
    pub name: String,
    /// The amount that it was charged for, in the price's own unit.
    pub amount: f64,
    /// The deduction from the result.
    pub cost: f64,
}

/// Distribution of setup times.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SetupTimes {
    /// Number of setups.
    pub count: u64,
    /// The mean in milliseconds.
    pub mean_ms: f64,
    /// Pairs of a quantile (0 to 1) and its value in milliseconds, in rising order.
    pub within_ms: Vec<(f64, f64)>,
}

/// The quantiles of setup times that a record holds.
pub const QUANTILES: [f64; 12] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9999, 1.0];

impl SetupTimes {
    /// Summarizes a histogram of microseconds.
    pub fn of(times: &hdrhistogram::Histogram<u64>) -> Self {
        if times.is_empty() {
            return Self::default();
        }
        let at = |quantile: f64| times.value_at_quantile(quantile) as f64 / 1e3;
        Self {
            count: times.len(),
            mean_ms: round(times.mean() / 1e3, 3),
            within_ms: QUANTILES.iter().map(|q| (*q, at(*q))).collect(),
        }
    }

    /// The setup time in milliseconds at one of [`QUANTILES`]; none for any other, or if there were no
    /// setups.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        self.within_ms.iter().find(|(q, _)| *q == quantile).map(|(_, ms)| *ms)
    }
}

/// The auditor's verdict on the rules.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Verdict {
    /// Whether no rule was broken and no connection lost.
    pub kept: bool,
    /// Number of violations by reason.
    pub breaks: BTreeMap<String, u64>,
    /// Number of apparent violations that are excused, by excuse.
    pub excused: BTreeMap<String, u64>,
    /// Details of the first violations.
    pub examples: Vec<RuleViolation>,
}

/// One violation of a rule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RuleViolation {
    /// The rule that was broken.
    pub rule: String,
    /// Why it counts as a violation.
    pub reason: String,
    /// Time in seconds of the day.
    pub at_s: f64,
    /// The balancer, connection and node, with details.
    pub who: String,
    /// The events that led to it, a line each.
    pub trace: Vec<String>,
}

/// A node's properties for plots.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeName {
    /// Name of its zone.
    pub zone: String,
    /// Name of its kind.
    pub kind: String,
    /// Its capacity when warm, in standard cores.
    pub capacity: f64,
}

/// The interval of a fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FaultInterval {
    /// The kind of fault.
    pub kind: String,
    /// Its start in seconds of the day.
    pub from_s: f64,
    /// Its end in seconds of the day.
    pub to_s: f64,
    /// Number of nodes, balancers or other parties that it affected; 0 for all.
    pub struck: usize,
}

/// Time series of a day, with one entry per step.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Series {
    /// Length of a step in seconds.
    pub step_s: f64,
    /// Requested worth.
    pub asked: Vec<f64>,
    /// Served worth.
    pub served: Vec<f64>,
    /// Series of the tenants, in the day's order.
    #[serde(default)]
    pub tenants: Vec<TenantSeries>,
    /// Number of rejections and failures by cause.
    pub refusals: BTreeMap<String, Vec<u64>>,
    /// Series of the nodes, in the day's order.
    pub nodes: Vec<NodeSeries>,
    /// Series that the balancers report, in the day's order; empty on sockets.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub balancers: Vec<BalancerSeries>,
}

/// Series that one balancer reports.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BalancerSeries {
    /// Its level of service; an empty text while it was down.
    pub levels: Vec<String>,
    /// Gauges by name.
    pub gauges: BTreeMap<String, Vec<f64>>,
    /// Counters by name.
    pub counts: BTreeMap<String, Vec<u64>>,
    /// Lines of its log with their times in seconds of the day.
    pub lines: Vec<(f64, String)>,
}

/// Time series of a tenant.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TenantSeries {
    /// The tenant's name.
    pub name: String,
    /// Its quota in connections over the whole fleet.
    pub share: f64,
    /// Requested worth within its quota.
    pub asked: Vec<f64>,
    /// Served worth within its quota.
    pub served: Vec<f64>,
    /// Served worth beyond its quota, without the reduction that applies to it.
    pub beyond: Vec<f64>,
}

/// Time series of a node.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct NodeSeries {
    /// Requested load over the node's capacity at that moment; above 1 its backlog grows. None while it is
    /// down.
    pub load: Vec<Option<f64>>,
    /// Number of established connections.
    pub connections: Vec<u32>,
    /// Number of setups in progress and queued.
    pub set_ups: Vec<u32>,
}

/// Rounds a number to so many decimals, which keeps files small and readable.
pub fn round(x: f64, digits: i32) -> f64 {
    let scale = 10f64.powi(digits);
    (x * scale).round() / scale
}

impl Record {
    /// Served over requested worth in each step; none where nothing was requested.
    pub fn served_share(&self) -> Vec<Option<f64>> {
        let pairs = self.series.asked.iter().zip(&self.series.served);
        pairs.map(|(asked, served)| (*asked > 0.0).then(|| served / asked)).collect()
    }

    /// Whether no rule was broken, no connection was lost and the run counts.
    pub fn is_sound(&self) -> bool {
        self.rules.kept && self.sockets.as_ref().is_none_or(|s| s.void.is_none())
    }

    /// The class or tenant with the lowest share; none for an empty list.
    pub fn worst(shares: &[NamedShare]) -> Option<&NamedShare> {
        shares.iter().min_by(|a, b| a.share.total_cmp(&b.share))
    }

    /// The JSON text of result files.
    ///
    /// # Panics
    /// Never, since all keys are strings.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a record has no keys but text") + "\n"
    }
}

/// Reads a result file, which holds one run or all runs of a sweep.
///
/// # Errors
/// The file can't be read or is not a result file.
pub fn read(path: &Path) -> Result<Vec<Record>, CommandError> {
    #[derive(Deserialize)]
    struct SweepResult {
        runs: Vec<Record>,
    }
    let input_error = |e: &dyn std::fmt::Display| CommandError::Input(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| input_error(&e))?;
    let value: serde_json::Value = serde_json::from_str(&text).map_err(|e| input_error(&e))?;
    if value.get("runs").is_some() {
        let sweep: SweepResult = serde_path_to_error::deserialize(value).map_err(|e| input_error(&e))?;
        return Ok(sweep.runs);
    }
    Ok(vec![serde_path_to_error::deserialize(value).map_err(|e| input_error(&e))?])
}
