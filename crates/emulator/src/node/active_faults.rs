//! What is wrong with a node at the moment, beside being down.

use crate::day::{Day, FaultKind};
use shorewharf_units::Micros;

/// Hazard of resets where a day names no length for them.
const DEFAULT_RESET_TIME: Micros = 10_000_000;

/// The faults that are on.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveFaults {
    /// It keeps everything and says nothing.
    pub is_stalled: bool,
    /// Nothing reaches it and nothing comes from it.
    pub is_cut_off: bool,
    /// Openings are never answered; probes are.
    pub ignores_opens: bool,
    /// Everything new is turned away.
    pub is_full: bool,
    /// Openings are answered with a line that means nothing.
    pub answers_junk: bool,
    /// Share of its work that it does.
    pub speed_ratio: Option<f64>,
    /// Share of set-ups that fail.
    pub error_rate: Option<f64>,
    /// Share of its connections that it resets in this time.
    pub reset_share: Option<(f64, Micros)>,
}

impl ActiveFaults {
    /// Nothing is heard from it.
    pub fn is_silent(&self) -> bool {
        self.is_stalled || self.is_cut_off
    }

    /// Pace of all its work, as a share.
    pub fn pace(&self) -> f64 {
        if self.is_stalled { 0.0 } else { self.speed_ratio.unwrap_or(1.0).clamp(0.0, 1.0) }
    }

    /// A fault begins or ends. How long resets last, the day's list says.
    pub fn set(&mut self, now: Micros, kind: FaultKind, on: bool, size: f64, day: &[(Micros, Micros)]) {
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
                let stated = day.iter().find(|(at, len)| (*at..at.saturating_add(*len)).contains(&now));
                self.reset_share =
                    share.map(|share| (share, stated.map_or(DEFAULT_RESET_TIME, |(_, len)| *len).max(1)));
            }
            // These strike processes, balancers, clients or the list, not what a node is like.
            _ => {}
        }
    }
}

/// Begin and length of the day's faults that reset connections.
pub(super) fn resets(day: &Day) -> Vec<(Micros, Micros)> {
    day.faults.iter().filter(|f| f.kind == FaultKind::Resetting).map(|f| (f.at, f.len)).collect()
}
