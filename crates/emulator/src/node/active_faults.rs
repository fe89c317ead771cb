//! The active faults of a node other than being down.

use crate::day::{Day, FaultKind};
use shorewharf_units::Micros;

/// The period of the reset share if no reset fault of the day is active at its begin.
const DEFAULT_RESET_PERIOD: Micros = 10_000_000;

/// The active faults of a node.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveFaults {
    /// The node keeps its connections, but does no work and sends nothing.
    pub is_stalled: bool,
    /// The node is cut off from the network.
    pub is_cut_off: bool,
    /// The node never answers requests, but answers probes.
    pub ignores_opens: bool,
    /// The node rejects all requests.
    pub is_full: bool,
    /// The node answers requests with an invalid line.
    pub answers_junk: bool,
    /// The node's speed as a ratio of its normal speed; none for normal.
    pub speed_ratio: Option<f64>,
    /// The share of set-ups that fail; none for the normal rate.
    pub error_rate: Option<f64>,
    /// The share of its connections that the node resets within this time.
    pub reset_share: Option<(f64, Micros)>,
}

impl ActiveFaults {
    /// Whether the node sends nothing.
    pub fn is_silent(&self) -> bool {
        self.is_stalled || self.is_cut_off
    }

    /// The speed of all its work, as a ratio of its normal speed.
    pub fn speed(&self) -> f64 {
        if self.is_stalled { 0.0 } else { self.speed_ratio.unwrap_or(1.0).clamp(0.0, 1.0) }
    }

    /// Begins or ends a fault. `reset_faults` holds the begin and length of the day's reset faults, from
    /// which the length of a beginning reset fault is taken.
    pub fn set(
        &mut self,
        now: Micros,
        kind: FaultKind,
        on: bool,
        size: f64,
        reset_faults: &[(Micros, Micros)],
    ) {
        let share = on.then_some(size.clamp(0.0, 1.0));
        match kind {
            FaultKind::Hang => self.is_stalled = on,
            FaultKind::CutOff => self.is_cut_off = on,
            FaultKind::HalfDead => self.ignores_opens = on,
            FaultKind::Full => self.is_full = on,
            FaultKind::WrongAnswers => self.answers_junk = on,
            FaultKind::Slow => self.speed_ratio = share,
            FaultKind::Failing => self.error_rate = share,
            FaultKind::Resetting => {
                let stated =
                    reset_faults.iter().find(|(at, len)| (*at..at.saturating_add(*len)).contains(&now));
                self.reset_share =
                    share.map(|share| (share, stated.map_or(DEFAULT_RESET_PERIOD, |(_, len)| *len).max(1)));
            }
            // The other faults affect processes, balancers, clients or discovery, not the behaviour of a
            // node.
            _ => {}
        }
    }
}

/// Returns the begin and length of the day's faults that reset connections.
pub(super) fn reset_faults_of(day: &Day) -> Vec<(Micros, Micros)> {
    day.faults.iter().filter(|f| f.kind == FaultKind::Resetting).map(|f| (f.at, f.len)).collect()
}
