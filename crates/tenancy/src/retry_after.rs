//! Retry-After advice for the rejected clients of one tenant: spread, so that clients rejected together don't come back
//! together, and no longer than clients heed.

use shorewharf_units::Micros;

use crate::decaying_count::DecayingCount;

/// The shortest wait, since a rejection costs a connection and a line.
const MIN_WAIT: Micros = 100_000;
/// Waits lie between this part of the expected time and the whole.
const SPREAD_FROM_RATIO: f64 = 0.5;
/// Time constant of the count of clients with a Retry-After, in microseconds.
const EXPECTED_CLIENTS_TIME_CONSTANT: f64 = 1e6;
/// No capacity is expected later than this, in microseconds.
const MAX_EXPECTED_TIME: f64 = 1e12;
/// Fractional part of the golden ratio: its multiples fall evenly into any interval.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_894_9;

/// When there is capacity again, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct ExpectedCapacity {
    /// For the first client, from now.
    pub first: f64,
    /// For each further one, after that.
    pub each: f64,
}

impl ExpectedCapacity {
    /// There will be none.
    pub const NEVER: ExpectedCapacity = ExpectedCapacity { first: f64::INFINITY, each: 0.0 };
}

/// The waits of one tenant's clients. Nothing is drawn, so that the same calls give the same waits.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RetryAfterSequence {
    issued: u32,
    expected_clients: DecayingCount,
}

impl RetryAfterSequence {
    /// The next wait, behind the clients that were given one already; 0 where no advice is sent.
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
