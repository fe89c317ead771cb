//! Counts of requests and attempts over a sliding window of five seconds.

/// Length of one slot of the window, in seconds.
const SLOT_SECONDS: f64 = 0.5;
/// Number of slots in the window. Five seconds average out random variation and still show a failure within about
/// one second.
const SLOTS: usize = 10;

/// Counts of one slot or of the whole window.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WindowCounts {
    /// Requests that were served.
    pub served: u32,
    /// Requests that were rejected or failed for good.
    pub rejected: u32,
    /// First attempts.
    pub first_attempts: u32,
    /// Second and later attempts of a request.
    pub retries: u32,
}

/// A ring of slots with the counts of the last five seconds.
#[derive(Clone, Debug, Default)]
pub struct SlidingWindow {
    slots: [WindowCounts; SLOTS],
    /// Number of the current slot, counted from time 0.
    current_slot: u64,
}

impl SlidingWindow {
    /// Returns the counts of the current slot, and clears the slots that have left the window.
    pub fn current(&mut self, now: f64) -> &mut WindowCounts {
        let slot = (now.max(0.0) / SLOT_SECONDS) as u64;
        if slot > self.current_slot {
            let passed = (slot - self.current_slot).min(SLOTS as u64);
            for step in 1..=passed {
                self.slots[((self.current_slot + step) % SLOTS as u64) as usize] = WindowCounts::default();
            }
            self.current_slot = slot;
        }
        &mut self.slots[(self.current_slot % SLOTS as u64) as usize]
    }

    /// Returns the counts of the whole window.
    pub fn totals(&mut self, now: f64) -> WindowCounts {
        self.current(now);
        self.slots.iter().fold(WindowCounts::default(), |total, slot| WindowCounts {
            served: total.served + slot.served,
            rejected: total.rejected + slot.rejected,
            first_attempts: total.first_attempts + slot.first_attempts,
            retries: total.retries + slot.retries,
        })
    }

    /// Returns the length of the window, in seconds.
    pub fn length_seconds() -> f64 {
        SLOT_SECONDS * SLOTS as f64
    }
}

/// The ratio of `count` to `total`, with `count` reduced by one standard deviation, its square root, to allow for
/// random variation.
pub fn lower_bound_ratio(count: u32, total: u32) -> f64 {
    let count = f64::from(count);
    ((count - count.sqrt()) / f64::from(total.max(1))).max(0.0)
}
