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

/// Everything that reports need of a run. No clock of the machine's is in it: the same day gives the same bytes.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The score of the run.
    pub outcome: Outcome,
    /// What the auditor found.
    pub verdict: Verdict,
    /// Figures by second and sums by cause.
    pub series: Series,
    /// The faults that occurred, with their intervals and the parties that they affected.
    pub faults: Vec<FaultInterval>,
    /// Events of the world's and of the balancers.
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

/// What one balancer reported of itself, by the second. Sums of a process that was killed go on from 0.
#[derive(Clone, Debug, Default, Serialize)]
pub struct InstanceTimeline {
    /// Its level of service.
    pub levels: Vec<&'static str>,
    /// Figures at the end of each second.
    pub gauges: BTreeMap<&'static str, Vec<f32>>,
    /// Sums at the end of each second.
    pub counts: BTreeMap<&'static str, Vec<u64>>,
    /// Lines of its log.
    pub lines: Vec<(Micros, String)>,
}

impl InstanceTimeline {
    /// Adds a second.
    pub fn sample(&mut self, instance: &mut dyn Instance) {
        let mut report = InstanceReport::default();
        instance.report(&mut report);
        let before = self.levels.len();
        self.levels.push(report.level);
        for (name, x) in report.gauges {
            let all = self.gauges.entry(name).or_default();
            all.resize(before, 0.0);
            all.push(x as f32);
        }
        for (name, n) in report.counts {
            let all = self.counts.entry(name).or_default();
            all.resize(before, 0);
            all.push(n);
        }
        // All lines are kept, so that the log can be read at any moment of the run.
        self.lines.extend(report.lines);
    }
}
