//! The result of a run.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use serde::Serialize;

use crate::audit::Verdict;
use crate::environment::FaultInterval;
use crate::score::Outcome;
use crate::virtual_time::{Instance, InstanceReport};
use crate::world::WorldResult;
use crate::world::series::Series;

/// The data of a run for reports. It contains no time of the machine's clock, so the same day gives the same bytes.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The score of the run.
    pub outcome: Outcome,
    /// The auditor's verdict.
    pub verdict: Verdict,
    /// Values by second, and sums by cause.
    pub series: Series,
    /// The faults that occurred, with their intervals and the parties that they affected.
    pub faults: Vec<FaultInterval>,
    /// Number of events of the world and the balancers.
    pub events: u64,
    /// When the last client was answered, in the day's time.
    pub ended_at: Micros,
    /// What the balancers reported of themselves (virtual time).
    pub balancers: Vec<InstanceTimeline>,
}

impl RunResult {
    /// Combines what the world counted with the auditor's verdict and the balancers' own reports.
    pub fn new(
        world: WorldResult,
        verdict: Verdict,
        ended_at: Micros,
        balancers: Vec<InstanceTimeline>,
    ) -> Self {
        let WorldResult { outcome, faults, series, events } = world;
        RunResult { outcome, verdict, series, faults, events, ended_at, balancers }
    }
}

/// The reports of one balancer, by second. After a kill of its process, the counters start from 0 again.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InstanceTimeline {
    /// Level of service at the end of each second.
    pub levels: Vec<&'static str>,
    /// Values by name, at the end of each second.
    pub gauges: BTreeMap<&'static str, Vec<f32>>,
    /// Counters by name, at the end of each second.
    pub counts: BTreeMap<&'static str, Vec<u64>>,
    /// Log lines, each with the time at which it was written.
    pub lines: Vec<(Micros, String)>,
}

impl InstanceTimeline {
    /// Adds the report for one second.
    pub fn sample(&mut self, instance: &mut dyn Instance) {
        let mut report = InstanceReport::default();
        instance.report(&mut report);
        let previous = self.levels.len();
        self.levels.push(report.level);
        for (name, value) in report.gauges {
            let values = self.gauges.entry(name).or_default();
            values.resize(previous, 0.0);
            values.push(value as f32);
        }
        for (name, count) in report.counts {
            let values = self.counts.entry(name).or_default();
            values.resize(previous, 0);
            values.push(count);
        }
        // All lines are kept, so that the log can be read at any moment of the run.
        self.lines.extend(report.lines);
    }
}
