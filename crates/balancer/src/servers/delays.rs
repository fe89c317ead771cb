//! What messages take at each server, from what its connections see. One connection may fall silent by itself:
//! only what most of a server's connections see is told of the server.

use shorewharf_units::Micros;

/// An answer says something of its server for so long: clients send a line every 2 s.
const MAX_ANSWER_AGE: Micros = 2_500_000;
/// So many connections must wait at once before their waiting counts: a single one may be at fault itself.
const MIN_WAITING_CONNECTIONS: usize = 2;

/// Servers write two kinds of figures in `CERTAIN_LOAD_FROM` lines. The protocol describes the first, a connection's load in
/// microseconds of work a second. The second is inferred: where the settings say `tells_delay`, one connection of
/// each balancer gets it once a second while messages are slow, the same number at every balancer at the same
/// time, as the simulator's second note, milliseconds that a message takes. Seen on two days: 821 figures from 1 to
/// 1594 in that rhythm and one of 2743; 2243 loads, of which two lie under 3000 (2674 and 2973).
///
/// A figure under this is a delay wherever it comes from.
const CERTAIN_DELAY_BELOW_MS: f64 = 2000.0;
/// From here on it is a load, unless it follows the last delay in its rhythm; between the two it may be either.
const CERTAIN_LOAD_FROM: f64 = 3000.0;
/// A delay may be so long while it keeps to the rhythm: servers give up on more.
const MAX_DELAY_MS: f64 = 10_000.0;
/// It comes so long after the one before, and is at most so much longer: a pile does not grow faster.
const DELAY_REPORT_INTERVAL: std::ops::Range<Micros> = 900_000..1_100_000;
const MAX_DELAY_GROWTH_MS: f64 = 2000.0;

/// A delay that was told stands for so long; the next one comes a second later if there is one.
const REPORTED_DELAY_LIFETIME: Micros = 1_500_000;

/// What a figure in a `CERTAIN_LOAD_FROM` line is.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadFigure {
    /// The connection's load, in microseconds of work a second.
    Load,
    /// Milliseconds that a message takes at the server.
    Delay,
    /// It may be either, and is taken for neither.
    Ambiguous,
}

/// What the figures of a server's `CERTAIN_LOAD_FROM` lines have been.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadFigureClassifier {
    /// The last one that was a delay or may have been one.
    last_delay: Option<(Micros, f64)>,
    /// When the last delay came.
    delay_reported_at: Option<Micros>,
}

impl LoadFigureClassifier {
    /// What this figure, which has come now, is.
    pub fn classify(&mut self, now: Micros, figure: f64) -> LoadFigure {
        let in_rhythm = |(at, last): (Micros, f64)| {
            DELAY_REPORT_INTERVAL.contains(&(now - at))
                && figure < last + MAX_DELAY_GROWTH_MS
                && figure < MAX_DELAY_MS
        };
        let kind = if figure < CERTAIN_DELAY_BELOW_MS || self.last_delay.is_some_and(in_rhythm) {
            LoadFigure::Delay
        } else if figure < CERTAIN_LOAD_FROM {
            LoadFigure::Ambiguous
        } else {
            return LoadFigure::Load;
        };
        self.last_delay = Some((now, figure));
        if kind == LoadFigure::Delay {
            self.delay_reported_at = Some(now);
        }
        kind
    }

    /// Whether a delay that was told a moment ago still stands.
    pub fn has_recent_delay(&self, now: Micros) -> bool {
        self.delay_reported_at.is_some_and(|at| now - at < REPORTED_DELAY_LIFETIME)
    }
}

/// What one standing connection has seen of its server.
#[derive(Clone, Copy, Debug)]
pub struct DelaySample {
    /// Since when a line of the client's has gone unanswered.
    pub unanswered_since: Option<Micros>,
    /// When a line was answered last, and how long that took.
    pub last_answer: Option<(Micros, Micros)>,
}

impl DelaySample {
    /// Whether it says anything of its server, now or later without another line.
    pub fn is_informative(&self, now: Micros) -> bool {
        self.unanswered_since.is_some() || self.last_answer.is_some_and(|(at, _)| now - at < MAX_ANSWER_AGE)
    }
}

/// What a message takes for most of a server's connections; none where too little is known. Waiting counts
/// from `least` on: an answer that is still out takes at least as long as it has been waited for.
pub fn median_delay(now: Micros, least: Micros, seen: &[DelaySample]) -> Option<Micros> {
    let wait = |s: &DelaySample| s.unanswered_since.map(|at| now - at).filter(|w| *w > least);
    let fresh =
        |s: &DelaySample| s.last_answer.filter(|(at, _)| now - at < MAX_ANSWER_AGE).map(|(_, took)| took);
    let waiting = seen.iter().filter(|s| wait(s).is_some()).count();
    let mut figures: Vec<Micros> = seen.iter().filter_map(|s| wait(s).or_else(|| fresh(s))).collect();
    figures.sort_unstable();
    // The lower one of two in the middle: with one of each kind the server does answer.
    let middle = figures.len().checked_sub(1)? / 2;
    let answered = figures.len() - waiting;
    (middle < answered || waiting >= MIN_WAITING_CONNECTIONS).then(|| figures[middle])
}

#[cfg(test)]
mod tests;
