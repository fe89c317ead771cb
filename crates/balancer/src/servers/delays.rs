//! The message delay of each server: the time from a client's line to the server's answer, measured on its connections.
//!
//! A single connection may be silent for a reason of its own, so only the median over a server's connections is reported.
//! Servers may also report their delay themselves, in the `LOAD` lines that otherwise contain the load of a connection.

use std::ops::Range;

use shorewharf_units::Micros;

/// The age up to which the delay of an answer is used. Clients send a line every 2 s.
const MAX_ANSWER_AGE: Micros = 2_500_000;
/// The number of waiting connections from which their wait counts as the server's delay. A single one may itself be the
/// cause.
const MIN_WAITING_CONNECTIONS: usize = 2;

/// Values below this are delays, at any time.
const CERTAIN_DELAY_BELOW_MS: f64 = 2000.0;
/// Values from this one on are loads, unless they continue a series of delays.
const CERTAIN_LOAD_FROM: f64 = 3000.0;
/// The upper limit of the delays in a series. Servers abandon messages that take longer.
const MAX_DELAY_MS: f64 = 10_000.0;
/// The range of the time between two delays of a series, which servers report once a second.
const DELAY_REPORT_INTERVAL: Range<Micros> = 900_000..1_100_000;
/// The limit of the increase from one delay of a series to the next, since a server's backlog doesn't grow faster.
const MAX_DELAY_GROWTH_MS: f64 = 2000.0;
/// The time for which a reported delay is valid, unless the server reports another one.
const REPORTED_DELAY_LIFETIME: Micros = 1_500_000;

/// The meaning of the value in a `LOAD` line.
///
/// The protocol defines it as the load of the connection, in microseconds of work per second. With `tells_delay` in the
/// settings, a slow server also sends its message delay, in milliseconds, once a second on one connection to each balancer.
/// Loads and delays are distinguished by their size and by the interval between them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LoadFigure {
    /// The load of the connection, in microseconds of work per second.
    Load,
    /// The message delay of the server, in milliseconds.
    Delay,
    /// Either a load or a delay. The value is ignored.
    Ambiguous,
}

/// Distinguishes loads from delays in the `LOAD` lines of one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoadFigureClassifier {
    /// The last value that was a delay or ambiguous, and when it was received.
    last_delay: Option<(Micros, f64)>,
    /// When the last certain delay was received.
    delay_reported_at: Option<Micros>,
}

impl LoadFigureClassifier {
    /// Classifies a value that is received now.
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

    /// Whether a value is the next delay of a series, by its interval from the last one and by its size.
    fn continues_series(&self, now: Micros, figure: f64) -> bool {
        self.last_delay.is_some_and(|(received_at, last)| {
            DELAY_REPORT_INTERVAL.contains(&(now - received_at))
                && figure < last + MAX_DELAY_GROWTH_MS
                && figure < MAX_DELAY_MS
        })
    }

    /// Whether the server has reported a delay that is still valid.
    pub fn has_recent_delay(&self, now: Micros) -> bool {
        self.delay_reported_at.is_some_and(|reported_at| now - reported_at < REPORTED_DELAY_LIFETIME)
    }
}

/// A server's answer to a line from the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnsweredLine {
    /// When the answer was received.
    pub at: Micros,
    /// The time from the client's line to the answer.
    pub delay: Micros,
}

/// The delay of a server as observed on one established connection.
#[derive(Clone, Copy, Debug)]
pub struct DelaySample {
    /// When the client sent a line that the server has not answered yet; `None` if there is no such line.
    pub unanswered_since: Option<Micros>,
    /// The server's last answer; `None` before the first one.
    pub last_answer: Option<AnsweredLine>,
}

impl DelaySample {
    /// Whether the sample is usable, now or later without another line from the client.
    pub fn is_informative(&self, now: Micros) -> bool {
        self.unanswered_since.is_some() || self.recent_delay(now).is_some()
    }

    fn recent_delay(&self, now: Micros) -> Option<Micros> {
        self.last_answer.filter(|answer| now - answer.at < MAX_ANSWER_AGE).map(|answer| answer.delay)
    }

    /// The time for which a line has been unanswered, if it is longer than `min_wait`.
    fn wait(&self, now: Micros, min_wait: Micros) -> Option<Micros> {
        self.unanswered_since.map(|since| now - since).filter(|wait| *wait > min_wait)
    }
}

/// The median message delay over a server's connections; `None` if there are too few usable samples. The wait for an answer
/// that has not arrived counts as a delay once it is longer than `min_wait`, since the answer takes at least that long.
pub fn median_delay(now: Micros, min_wait: Micros, samples: &[DelaySample]) -> Option<Micros> {
    let waiting = samples.iter().filter(|sample| sample.wait(now, min_wait).is_some()).count();
    let delay_of = |sample: &DelaySample| sample.wait(now, min_wait).or_else(|| sample.recent_delay(now));
    let mut delays: Vec<Micros> = samples.iter().filter_map(delay_of).collect();
    delays.sort_unstable();
    // Of two delays in the middle the lower one is taken: if one connection waits and the other was answered, the server
    // does answer.
    let middle = delays.len().checked_sub(1)? / 2;
    let answered = delays.len() - waiting;
    (middle < answered || waiting >= MIN_WAITING_CONNECTIONS).then(|| delays[middle])
}

#[cfg(test)]
mod tests;
