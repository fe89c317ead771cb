//! What a run came to.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use serde::Serialize;

use crate::audit::Verdict;
use crate::environment::FaultInterval;
use crate::score::Outcome;
use crate::virtual_time::{Instance, InstanceReport};
use crate::world::series::Series;

/// Everything that reports need of a run. No clock of the machine's is in it: the same day gives the same bytes.
#[derive(Clone, Debug, Serialize)]
pub struct RunResult {
    /// The account.
    pub outcome: Outcome,
    /// What the auditor found.
    pub verdict: Verdict,
    /// Figures by second and sums by cause.
    pub series: Series,
    /// What went wrong, when and whom it struck.
    pub faults: Vec<FaultInterval>,
    /// Events of the world's and of the balancers.
    pub events: u64,
    /// When the last client was answered, in the day's time.
    pub ended_at: Micros,
    /// What the balancers told of themselves (virtual time).
    pub balancers: Vec<InstanceTimeline>,
}

/// What one balancer told of itself, by the second. Sums of a process that was killed go on from 0.
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
    pub fn look(&mut self, instance: &mut dyn Instance) {
        let mut told = InstanceReport::default();
        instance.tells(&mut told);
        let before = self.levels.len();
        self.levels.push(told.level);
        for (name, x) in told.gauges {
            let all = self.gauges.entry(name).or_default();
            all.resize(before, 0.0);
            all.push(x as f32);
        }
        for (name, n) in told.counts {
            let all = self.counts.entry(name).or_default();
            all.resize(before, 0);
            all.push(n);
        }
        // Kept whole: whoever reads them asks what was said at some moment.
        self.lines.extend(told.lines);
    }
}
