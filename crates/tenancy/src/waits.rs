//! When a client that is turned away should come back: spread, so that those who are refused together don't come back
//! together, and no longer than clients heed.

use crate::tenant::Melting;
use shorewharf_units::Micros;

/// Nobody is told to come back sooner: a refusal costs a connection and a line.
const LEAST: Micros = 100_000;
/// Waits lie between this part of the whole and the whole.
const FROM: f64 = 0.5;
/// Who was told to come back is expected within about so long.
const EXPECTED_FOR: f64 = 1e6;
/// The golden ratio's part: multiples of it fall evenly into any interval, in any run of them.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// A tenant's sequence of waits. No lots are drawn, so the same calls give the same waits.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Waits {
    told: u32,
    queue: Melting,
}

/// When there is room again.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Room {
    /// For the first who comes, from now.
    pub first: f64,
    /// For each further one, after that. Microseconds.
    pub each: f64,
}

impl Waits {
    /// The next wait, behind those who were told one already; 0 where clients are told none.
    pub fn next(&mut self, now: Micros, room: Room, longest: Micros) -> Micros {
        self.told = self.told.wrapping_add(1);
        if longest == 0 {
            return 0;
        }
        let expected = (room.first + room.each * self.queue.now(now, EXPECTED_FOR)).min(1e12) as Micros;
        self.queue.add(now, EXPECTED_FOR, 1.0);
        let spread = FROM + (1.0 - FROM) * (f64::from(self.told) * GOLDEN).fract();
        let whole = expected.clamp(LEAST.min(longest), longest) as f64;
        ((whole * spread) as Micros).max(LEAST.min(longest))
    }
}
