//! What is wrong with a node at the moment, beside being down.

use crate::day::{Day, FaultKind};
use shorewharf_units::Micros;

/// Hazard of resets where a day names no length for them.
const UNSTATED: Micros = 10_000_000;

/// The faults that are on.
#[derive(Clone, Debug, Default)]
pub(super) struct ActiveFaults {
    /// It keeps everything and says nothing.
    pub hung: bool,
    /// Nothing reaches it and nothing comes from it.
    pub cut_off: bool,
    /// Openings are never answered; probes are.
    pub half_dead: bool,
    /// Everything new is turned away.
    pub full: bool,
    /// Openings are answered with a line that means nothing.
    pub wrong: bool,
    /// Share of its work that it does.
    pub slow: Option<f64>,
    /// Share of set-ups that fail.
    pub failing: Option<f64>,
    /// Share of its connections that it resets in this time.
    pub resetting: Option<(f64, Micros)>,
}

impl ActiveFaults {
    /// Nothing is heard from it.
    pub fn silent(&self) -> bool {
        self.hung || self.cut_off
    }

    /// Pace of all its work, as a share.
    pub fn pace(&self) -> f64 {
        if self.hung { 0.0 } else { self.slow.unwrap_or(1.0).clamp(0.0, 1.0) }
    }

    /// A fault begins or ends. How long resets last, the day's list says.
    pub fn set(&mut self, now: Micros, kind: FaultKind, on: bool, size: f64, day: &[(Micros, Micros)]) {
        let share = on.then_some(size.clamp(0.0, 1.0));
        match kind {
            FaultKind::Hang => self.hung = on,
            FaultKind::CutOff => self.cut_off = on,
            FaultKind::HalfDead => self.half_dead = on,
            FaultKind::Full => self.full = on,
            FaultKind::WrongAnswers => self.wrong = on,
            FaultKind::Slow => self.slow = share,
            FaultKind::Failing => self.failing = share,
            FaultKind::Resetting => {
                let stated = day.iter().find(|(at, len)| (*at..at.saturating_add(*len)).contains(&now));
                self.resetting = share.map(|share| (share, stated.map_or(UNSTATED, |(_, len)| *len).max(1)));
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
