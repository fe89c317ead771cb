//! What messages take at each server, from what its connections see. One connection may fall silent by itself:
//! only what most of a server's connections see is told of the server.

use shorewharf_units::Micros;

/// An answer says something of its server for so long: clients send a line every 2 s.
const FRESH: Micros = 2_500_000;
/// So many connections must wait at once before their waiting counts: a single one may be at fault itself.
const WAITING: usize = 2;

/// Servers write two kinds of figures in `LOAD` lines. The protocol describes the first, a connection's load in
/// microseconds of work a second. The second is inferred: where the settings say `tells_delay`, one connection of
/// each balancer gets it once a second while messages are slow, the same number at every balancer at the same
/// time, as the simulator's second note, milliseconds that a message takes. Seen on two days: 821 figures from 1 to
/// 1594 in that rhythm and one of 2743; 2243 loads, of which two lie under 3000 (2674 and 2973).
///
/// A figure under this is a delay wherever it comes from.
const DELAY: f64 = 2000.0;
/// From here on it is a load, unless it follows the last delay in its rhythm; between the two it may be either.
const LOAD: f64 = 3000.0;
/// A delay may be so long while it keeps to the rhythm: servers give up on more.
const DELAY_MOST: f64 = 10_000.0;
/// It comes so long after the one before, and is at most so much longer: a pile does not grow faster.
const RHYTHM: std::ops::Range<Micros> = 900_000..1_100_000;
const GROWTH: f64 = 2000.0;

/// A delay that was told stands for so long; the next one comes a second later if there is one.
const TOLD: Micros = 1_500_000;

/// What a figure in a `LOAD` line is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Figure {
    /// The connection's load, in microseconds of work a second.
    Load,
    /// Milliseconds that a message takes at the server.
    Delay,
    /// It may be either, and is taken for neither.
    Unclear,
}

/// What the figures of a server's `LOAD` lines have been.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    /// The last one that was a delay or may have been one.
    last: Option<(Micros, f64)>,
    /// When the last delay came.
    delayed: Option<Micros>,
}

impl Figures {
    /// What this figure, which has come now, is.
    pub fn read(&mut self, now: Micros, figure: f64) -> Figure {
        let in_rhythm = |(at, last): (Micros, f64)| {
            RHYTHM.contains(&(now - at)) && figure < last + GROWTH && figure < DELAY_MOST
        };
        let kind = if figure < DELAY || self.last.is_some_and(in_rhythm) {
            Figure::Delay
        } else if figure < LOAD {
            Figure::Unclear
        } else {
            return Figure::Load;
        };
        self.last = Some((now, figure));
        if kind == Figure::Delay {
            self.delayed = Some(now);
        }
        kind
    }

    /// Whether a delay that was told a moment ago still stands.
    pub fn stands(&self, now: Micros) -> bool {
        self.delayed.is_some_and(|at| now - at < TOLD)
    }
}

/// What one standing connection has seen of its server.
#[derive(Clone, Copy, Debug)]
pub struct Sight {
    /// Since when a line of the client's has gone unanswered.
    pub asked: Option<Micros>,
    /// When a line was answered last, and how long that took.
    pub answered: Option<(Micros, Micros)>,
}

impl Sight {
    /// Whether it says anything of its server, now or later without another line.
    pub fn says_something(&self, now: Micros) -> bool {
        self.asked.is_some() || self.answered.is_some_and(|(at, _)| now - at < FRESH)
    }
}

/// What a message takes for most of a server's connections; none where too little is known. Waiting counts
/// from `least` on: an answer that is still out takes at least as long as it has been waited for.
pub fn typical(now: Micros, least: Micros, seen: &[Sight]) -> Option<Micros> {
    let wait = |s: &Sight| s.asked.map(|at| now - at).filter(|w| *w > least);
    let fresh = |s: &Sight| s.answered.filter(|(at, _)| now - at < FRESH).map(|(_, took)| took);
    let waiting = seen.iter().filter(|s| wait(s).is_some()).count();
    let mut figures: Vec<Micros> = seen.iter().filter_map(|s| wait(s).or_else(|| fresh(s))).collect();
    figures.sort_unstable();
    // The lower one of two in the middle: with one of each kind the server does answer.
    let middle = figures.len().checked_sub(1)? / 2;
    let answered = figures.len() - waiting;
    (middle < answered || waiting >= WAITING).then(|| figures[middle])
}

#[cfg(test)]
mod tests;
