//! Owns the form of a result: what `run --json` writes, and what tables and pages are made of. It holds no wall clock
//! and nothing of the machine, so that the same scenario and seed give the same bytes.

use std::collections::BTreeMap;
use std::path::Path;

use serde::{Deserialize, Serialize};
use shorewharf_emulator::sockets::datagram_proxy::DatagramStatistics;

use crate::error::CommandError;

/// One run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Record {
    /// The result: weighted shares less prices.
    pub g: f64,
    /// The scenario's name.
    pub scenario: String,
    /// What it shows.
    pub about: String,
    /// The seed.
    pub seed: u64,
    /// Who decided.
    pub policy: String,
    /// The clock: `virtual` or `sockets`.
    pub clock: String,
    /// The day's length.
    pub length_s: f64,
    /// Share of the worth asked for that was served, whole day.
    pub whole: f64,
    /// The worst 10 s.
    pub worst_window: Window,
    /// Share served by class.
    pub classes: Vec<Part>,
    /// Share served by tenant, within what it has agreed on.
    pub tenants: Vec<Part>,
    /// What was taken off.
    pub prices: Vec<Cost>,
    /// Everything that was counted, by name.
    pub counts: BTreeMap<String, f64>,
    /// What clients were answered other than `UP`, by cause.
    pub refusals: BTreeMap<String, u64>,
    /// What attempts at nodes came to.
    pub attempts: BTreeMap<String, u64>,
    /// How standing connections ended.
    pub ends: BTreeMap<String, u64>,
    /// Times from a client's first try to its `UP`.
    pub set_up: SetUp,
    /// The rules' verdict.
    pub rules: Verdict,
    /// Events that the emulator processed (virtual time).
    pub events: u64,
    /// The nodes.
    pub nodes: Vec<NodeName>,
    /// What went wrong, and when.
    pub faults: Vec<FaultInterval>,
    /// The course of the day.
    pub series: Series,
    /// What only a run in real time shows.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub sockets: Option<SocketFacts>,
}

/// What only a run in real time shows.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SocketFacts {
    /// Why nothing of the run counts, if so.
    pub void: Option<String>,
    /// How late the lab did what was due.
    pub late: Times,
    /// How late it handled what came.
    pub handled: Times,
    /// Lines that clients sent on standing connections.
    pub lines: u64,
    /// Lines that came back.
    pub returned: u64,
    /// What that took.
    pub round: Times,
    /// The balancers' processes.
    pub lives: Vec<ProcessIncarnation>,
    /// How bad clients fared, by kind.
    pub bad: Vec<(String, String)>,
    /// What else was odd.
    pub strange: Vec<String>,
    /// What passed between balancers.
    #[serde(default)]
    pub notes: DatagramStatistics,
}

/// Spans of time.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Times {
    /// How many.
    pub count: u64,
    /// The median.
    pub half_ms: f64,
    /// 99 % are within this.
    pub most_ms: f64,
    /// The longest.
    pub longest_ms: f64,
}

/// One life of a balancer's process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ProcessIncarnation {
    /// Whose.
    pub balancer: u32,
    /// Its begin.
    pub began_s: f64,
    /// Its end, if it came before the run's.
    pub ended_s: Option<f64>,
    /// How it ended.
    pub how: String,
    /// The end was not ordered.
    pub crashed: bool,
    /// Time on a core.
    pub cpu_ms: f64,
    /// Most memory.
    pub memory_mb: f64,
    /// Descriptors at the last look.
    pub descriptors: usize,
}

/// A stretch of the day.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct Window {
    /// Its begin.
    pub from_s: f64,
    /// Share served in it.
    pub share: f64,
}

/// The share served of one class or tenant.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Part {
    /// Its name.
    pub name: String,
    /// Share served.
    pub share: f64,
}

/// A price.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Cost {
    /// What for.
    pub name: String,
    /// How much there was of it, in the price's own unit.
    pub amount: f64,
    /// What it took off the result.
    pub cost: f64,
}

/// Set-up times in milliseconds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct SetUp {
    /// How many were set up.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// (Part of all, within so many milliseconds), rising.
    pub within_ms: Vec<(f64, f64)>,
}

/// The parts of all set-ups whose times are kept.
pub const PARTS: [f64; 12] = [0.1, 0.25, 0.5, 0.75, 0.9, 0.95, 0.98, 0.99, 0.995, 0.999, 0.9999, 1.0];

impl SetUp {
    /// Reads a histogram of microseconds.
    pub fn of(times: &hdrhistogram::Histogram<u64>) -> Self {
        if times.is_empty() {
            return Self::default();
        }
        let at = |part: f64| times.value_at_quantile(part) as f64 / 1e3;
        Self {
            count: times.len(),
            mean_ms: round(times.mean() / 1e3, 3),
            within_ms: PARTS.iter().map(|p| (*p, at(*p))).collect(),
        }
    }

    /// The time within which a part of all was set up; none if that part was not kept or nothing was set up.
    pub fn within(&self, part: f64) -> Option<f64> {
        self.within_ms.iter().find(|(p, _)| *p == part).map(|(_, ms)| *ms)
    }
}

/// The rules' verdict.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Verdict {
    /// No rule was broken and no connection lost.
    pub kept: bool,
    /// Breaks by reason, in words.
    pub breaks: BTreeMap<String, u64>,
    /// What looks like a break and is none, by reason.
    pub excused: BTreeMap<String, u64>,
    /// The first breaks in full.
    pub examples: Vec<RuleViolation>,
}

/// One break of a rule.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RuleViolation {
    /// The rule.
    pub rule: String,
    /// Why it is a break.
    pub reason: String,
    /// When.
    pub at_s: f64,
    /// By whom, of whom, on what.
    pub who: String,
    /// What led to it, in lines.
    pub trace: Vec<String>,
}

/// What a node is called in plots.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct NodeName {
    /// Its zone.
    pub zone: String,
    /// Its kind.
    pub kind: String,
    /// What it can do when warm, in standard cores.
    pub capacity: f64,
}

/// A fault, as a stretch of the day.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct FaultInterval {
    /// Its kind.
    pub kind: String,
    /// Its begin.
    pub from_s: f64,
    /// Its end.
    pub to_s: f64,
    /// How many nodes, balancers or others it struck; 0 for everybody.
    pub struck: usize,
}

/// The course of a day, one entry a step.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Series {
    /// Length of a step.
    pub step_s: f64,
    /// Worth asked for.
    pub asked: Vec<f64>,
    /// Worth served.
    pub served: Vec<f64>,
    /// The tenants, in the day's order.
    #[serde(default)]
    pub tenants: Vec<TenantSeries>,
    /// Refusals and failures by cause.
    pub refusals: BTreeMap<String, Vec<u64>>,
    /// The nodes, in the day's order.
    pub nodes: Vec<NodeSeries>,
    /// What the balancers told of themselves, in the day's order (virtual time).
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub balancers: Vec<BalancerSeries>,
}

/// What one balancer told of itself.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct BalancerSeries {
    /// Its level of service; empty while it was down.
    pub levels: Vec<String>,
    /// Figures by name.
    pub gauges: BTreeMap<String, Vec<f64>>,
    /// Sums by name.
    pub counts: BTreeMap<String, Vec<u64>>,
    /// Lines of its log, by second.
    pub lines: Vec<(f64, String)>,
}

/// A tenant's course.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TenantSeries {
    /// Its name.
    pub name: String,
    /// Connections within its share over the whole fleet.
    pub share: f64,
    /// Worth asked for within its share.
    pub asked: Vec<f64>,
    /// Worth served within its share.
    pub served: Vec<f64>,
    /// Worth served beyond its share, at full worth.
    pub beyond: Vec<f64>,
}

/// The course of one node's day.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct NodeSeries {
    /// Load asked of it over what it can do at that moment; above 1 it falls behind. Nothing while it is down.
    pub load: Vec<Option<f64>>,
    /// Standing connections.
    pub connections: Vec<u32>,
    /// Set-ups in work and waiting.
    pub set_ups: Vec<u32>,
}

/// Cuts a figure to so many digits after the point, so that files stay small and readable.
pub fn round(x: f64, digits: i32) -> f64 {
    let scale = 10f64.powi(digits);
    (x * scale).round() / scale
}

impl Record {
    /// The part of what was asked for that was served, in each step; none where nothing was asked for.
    pub fn served_share(&self) -> Vec<Option<f64>> {
        let pairs = self.series.asked.iter().zip(&self.series.served);
        pairs.map(|(asked, served)| (*asked > 0.0).then(|| served / asked)).collect()
    }

    /// Nothing was broken or lost, and the run counts.
    pub fn is_sound(&self) -> bool {
        self.rules.kept && self.sockets.as_ref().is_none_or(|s| s.void.is_none())
    }

    /// The worst class or tenant; none where there are none.
    pub fn worst(parts: &[Part]) -> Option<&Part> {
        parts.iter().min_by(|a, b| a.share.total_cmp(&b.share))
    }

    /// The record as JSON, as it is written to result files.
    ///
    /// # Panics
    /// Never: all keys are text.
    pub fn to_json(&self) -> String {
        serde_json::to_string_pretty(self).expect("a record has no keys but text") + "\n"
    }
}

/// Reads the runs of a result file: one run, or all those of a sweep.
///
/// # Errors
/// The file can't be read or holds no runs.
pub fn read(path: &Path) -> Result<Vec<Record>, CommandError> {
    #[derive(Deserialize)]
    struct Several {
        runs: Vec<Record>,
    }
    let wrong = |e: &dyn std::fmt::Display| CommandError::Input(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| wrong(&e))?;
    let value: serde_json::Value = serde_json::from_str(&text).map_err(|e| wrong(&e))?;
    if value.get("runs").is_some() {
        let several: Several = serde_path_to_error::deserialize(value).map_err(|e| wrong(&e))?;
        return Ok(several.runs);
    }
    Ok(vec![serde_path_to_error::deserialize(value).map_err(|e| wrong(&e))?])
}
