//! Retry-after values for the rejected clients of one tenant. They are spread, so that clients that are
//! rejected together don't retry together, and they don't exceed the longest wait that clients honour.

use shorewharf_units::Micros;

use crate::decaying_count::DecayingCount;

/// Shortest wait, in microseconds. Each rejection costs a connection and a line, so clients must not retry at
/// once.
const MIN_WAIT: Micros = 100_000;
/// Waits are spread between this fraction of the time until capacity is expected and the whole of that time.
const SPREAD_FROM_RATIO: f64 = 0.5;
/// Time constant of the count of clients that were given a retry-after, in microseconds.
const EXPECTED_CLIENTS_TIME_CONSTANT: f64 = 1e6;
/// Upper bound of the time until capacity is expected, in microseconds.
const MAX_EXPECTED_TIME: f64 = 1e12;
/// Fractional part of the golden ratio. The fractional parts of its multiples are spread evenly from 0 to 1.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// The expected times until there is capacity again, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ExpectedCapacity {
    /// Time from now until there is capacity for the first client.
    pub first: f64,
    /// Further time until there is capacity for each client after the first.
    pub each: f64,
}

impl ExpectedCapacity {
    /// No capacity is expected.
    pub const NEVER: ExpectedCapacity = ExpectedCapacity { first: f64::INFINITY, each: 0.0 };
}

/// The retry-after values of one tenant's clients. They are not random, so that the same calls give the same
/// values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryAfterSequence {
    /// Number of values that were given out.
    issued: u32,
    /// Number of clients that are expected to retry.
    expected_clients: DecayingCount,
}

impl RetryAfterSequence {
    /// Returns the wait for the next client, which queues behind those that were given one before. Returns 0
    /// if `longest` is 0, since clients then get no advice.
    pub fn next_wait(&mut self, now: Micros, capacity: ExpectedCapacity, longest: Micros) -> Micros {
        self.issued = self.issued.wrapping_add(1);
        if longest == 0 {
            return 0;
        }
        let clients_ahead = self.expected_clients.value(now, EXPECTED_CLIENTS_TIME_CONSTANT);
        let expected = (capacity.first + capacity.each * clients_ahead).min(MAX_EXPECTED_TIME) as Micros;
        self.expected_clients.add(now, EXPECTED_CLIENTS_TIME_CONSTANT, 1.0);
        let position = (f64::from(self.issued) * GOLDEN_RATIO_FRACTION).fract();
        let ratio = SPREAD_FROM_RATIO + (1.0 - SPREAD_FROM_RATIO) * position;
        let shortest = MIN_WAIT.min(longest);
        let wait = expected.clamp(shortest, longest) as f64;
        ((wait * ratio) as Micros).max(shortest)
    }
}
