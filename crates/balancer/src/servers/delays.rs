//! How long messages take at each server, from what its connections observe.
//!
//! A single connection may fall silent by its own fault, so only what most connections of a server observe is reported.
//! Servers may also report the delay themselves, in `LOAD` lines beside the load of a connection.

use std::ops::Range;

use shorewharf_units::Micros;

/// An answer is evidence for this long: clients send a line every 2 s.
const MAX_ANSWER_AGE: Micros = 2_500_000;
/// Fewer waiting connections say nothing about their server: they may be at fault themselves.
const MIN_WAITING_CONNECTIONS: usize = 2;

/// A figure below this is a delay, whenever it comes.
const CERTAIN_DELAY_BELOW_MS: f64 = 2000.0;
/// A figure from here on is a load, unless it continues a series of delays.
const CERTAIN_LOAD_FROM: f64 = 3000.0;
/// The longest delay in a series: servers give up on messages that take longer.
const MAX_DELAY_MS: f64 = 10_000.0;
/// In a series, delays come once a second.
const DELAY_REPORT_INTERVAL: Range<Micros> = 900_000..1_100_000;
/// How much a delay may exceed the one before: a backlog doesn't grow faster.
const MAX_DELAY_GROWTH_MS: f64 = 2000.0;
/// How long a reported delay stands, if no other one follows.
const REPORTED_DELAY_LIFETIME: Micros = 1_500_000;

/// The meaning of a figure in a `LOAD` line.
///
/// The protocol describes the load of the connection, in microseconds of work a second. With `tells_delay` in the
/// settings, a server that is slow also writes the time that a message takes, in milliseconds, once a second to one
/// connection of each balancer. The two are told apart by size and rhythm.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadFigure {
    /// The load of the connection, in microseconds of work a second.
    Load,
    /// Milliseconds that a message takes at the server.
    Delay,
    /// It may be either, and is ignored.
    Ambiguous,
}

/// Tells loads from delays in the figures of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadFigureClassifier {
    /// The last figure that was a delay or may have been one, and when it came.
    last_delay: Option<(Micros, f64)>,
    /// When the last certain delay came.
    delay_reported_at: Option<Micros>,
}

impl LoadFigureClassifier {
    /// Classifies a figure that has come now.
    pub fn classify(&mut self, now: Micros, figure: f64) -> LoadFigure {
        let kind = if figure < CERTAIN_DELAY_BELOW_MS || self.continues_series(now, figure) {
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

    fn continues_series(&self, now: Micros, figure: f64) -> bool {
        self.last_delay.is_some_and(|(came_at, last)| {
            DELAY_REPORT_INTERVAL.contains(&(now - came_at))
                && figure < last + MAX_DELAY_GROWTH_MS
                && figure < MAX_DELAY_MS
        })
    }

    /// Whether the server has reported a delay that still stands.
    pub fn has_recent_delay(&self, now: Micros) -> bool {
        self.delay_reported_at.is_some_and(|reported_at| now - reported_at < REPORTED_DELAY_LIFETIME)
    }
}

/// An answer of a server to a line of its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredLine {
    /// When the answer came.
    pub at: Micros,
    /// How long it took.
    pub delay: Micros,
}

/// What one established connection has observed of its server.
#[derive(Clone, Copy, Debug)]
pub struct DelaySample {
    /// Since when a line of the client's has gone unanswered.
    pub unanswered_since: Option<Micros>,
    /// The last answer.
    pub last_answer: Option<AnsweredLine>,
}

impl DelaySample {
    /// Whether it says anything about its server, now or later without another line.
    pub fn is_informative(&self, now: Micros) -> bool {
        self.unanswered_since.is_some() || self.recent_delay(now).is_some()
    }

    fn recent_delay(&self, now: Micros) -> Option<Micros> {
        self.last_answer.filter(|answer| now - answer.at < MAX_ANSWER_AGE).map(|answer| answer.delay)
    }

    /// How long it has waited for an answer, if that is longer than `min_wait`.
    fn wait(&self, now: Micros, min_wait: Micros) -> Option<Micros> {
        self.unanswered_since.map(|since| now - since).filter(|wait| *wait > min_wait)
    }
}

/// What a message takes for most of a server's connections; `None` if too little is known. A wait counts once it is longer
/// than `min_wait`: the answer that is awaited takes at least as long.
pub fn median_delay(now: Micros, min_wait: Micros, samples: &[DelaySample]) -> Option<Micros> {
    let waiting = samples.iter().filter(|sample| sample.wait(now, min_wait).is_some()).count();
    let delay_of = |sample: &DelaySample| sample.wait(now, min_wait).or_else(|| sample.recent_delay(now));
    let mut delays: Vec<Micros> = samples.iter().filter_map(delay_of).collect();
    delays.sort_unstable();
    // The lower one of two in the middle: if one of them waits and one was answered, the server does answer.
    let middle = delays.len().checked_sub(1)? / 2;
    let answered = delays.len() - waiting;
    (middle < answered || waiting >= MIN_WAITING_CONNECTIONS).then(|| delays[middle])
}

#[cfg(test)]
mod tests;
