//! Log lines that clients cause by what they do wrong, bounded: a flood of bad clients must not fill the log or
//! cost the time that usual clients need.

use shorewharf_driver::Micros;
use tracing::warn;

/// Log lines a second that clients may cause.
const MOST: u32 = 50;
const SECOND: Micros = 1_000_000;

/// The lines of the second that began then, and how many were left out of it.
#[derive(Debug, Default)]
pub struct Complaints {
    began: Micros,
    written: u32,
    left_out: u32,
}

impl Complaints {
    /// Whether what a client has done wrong may be logged now; else it is counted.
    pub fn may(&mut self, now: Micros) -> bool {
        self.due(now);
        let may = self.written < MOST;
        *if may { &mut self.written } else { &mut self.left_out } += 1;
        may
    }

    /// Once a second, says how many lines were left out; tells how many that was.
    pub fn due(&mut self, now: Micros) -> u32 {
        if now < self.began + SECOND {
            return 0;
        }
        let left_out = self.left_out;
        *self = Complaints { began: now, ..Complaints::default() };
        if left_out > 0 {
            warn!(event = "bad-clients", "left-out" = left_out);
        }
        left_out
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_flood_is_counted_and_the_next_second_is_a_new_one() {
        let mut c = Complaints::default();
        assert_eq!(c.due(SECOND), 0);
        let written = (0..80).filter(|_| c.may(SECOND)).count();
        assert_eq!((written, c.due(2 * SECOND - 1), c.due(2 * SECOND)), (50, 0, 30));
        assert!(c.may(2 * SECOND));
    }
}
