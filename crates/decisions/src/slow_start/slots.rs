//! The slots of a warming server: its time is divided into slots of equal duration, and each slot into turns
//! of the instances. All instances compute the same slots from the settings and the start time of the server.
//!
//! Within a slot, exactly as many requests are allocated to all instances together as the slot's budget. An
//! instance that assumes a smaller budget than the others has a subset of the turns that it would have with
//! theirs, so the sum stays within the largest budget that any instance assumes.

use crate::interface::{Settings, SlotSharing};

/// A window overlaps at most this many slots, since a slot lasts as long as a window.
const MAX_OVERLAPPED_SLOTS: u32 = 2;
/// Fractional part of the golden ratio: its multiples spread any run of turns evenly over the instances.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;
/// Longest time for which a process may be suspended between a decision and the sending of the request.
const MAX_SUSPENSION_SECONDS: f64 = 0.15;

/// A slot of a warming server.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Slot {
    /// Number of the slot, counted from the start of the server; negative before it.
    pub number: i64,
    /// When the slot begins, in seconds on the caller's clock.
    pub begins_at: f64,
}

impl Slot {
    /// The slot at the time `now` of a server that started at `server_started_at`.
    pub fn at(settings: &Settings, server_started_at: f64, now: f64) -> Slot {
        let duration = slot_duration(settings);
        let number = ((now - server_started_at) / duration).floor();
        Slot { number: number as i64, begins_at: server_started_at + number * duration }
    }

    /// The slot after this one.
    pub fn next(self, settings: &Settings) -> Slot {
        Slot { number: self.number + 1, begins_at: self.begins_at + slot_duration(settings) }
    }

    /// Number of requests that all instances together may send in this slot, so that no window meets more than
    /// `window_budget` of them. It never falls as the budget rises.
    fn budget(self, window_budget: u32) -> u32 {
        let gets_remainder = self.number.rem_euclid(i64::from(MAX_OVERLAPPED_SLOTS)) == 0;
        let remainder = if gets_remainder { window_budget % MAX_OVERLAPPED_SLOTS } else { 0 };
        window_budget / MAX_OVERLAPPED_SLOTS + remainder
    }

    /// Number of requests that an instance may send in this slot. `server_hash` differs between servers, so
    /// that the turns of an instance at several servers don't coincide.
    pub fn allocation(self, settings: &Settings, server_hash: u64, window_budget: u32) -> u32 {
        let instances = instance_count(settings);
        let rotation = self.number.rem_euclid(instances as i64) as u64 * turn_stride(instances);
        let offset = settings.instance_index % instances + server_hash % instances;
        let turn = (offset + rotation) % instances;
        if !self.is_shared_with(settings.slot_sharing, instances) {
            return 0;
        }
        let budget = u64::from(self.budget(window_budget));
        (budget / instances + u64::from(turn < budget % instances)) as u32
    }

    /// Whether a process may use this slot. A turn comes again after a round of as many slots as there are
    /// instances; if that is even, the parity changes with each round, so that each of two processes gets
    /// every other turn of its instance.
    fn is_shared_with(self, sharing: SlotSharing, instances: u64) -> bool {
        let round = self.number.div_euclid(instances as i64);
        let shift = if instances.is_multiple_of(2) { round } else { 0 };
        let is_even = (self.number + shift).rem_euclid(2) == 0;
        match sharing {
            SlotSharing::Alone => true,
            SlotSharing::BesideSuccessor => is_even,
            SlotSharing::BesidePredecessor => !is_even,
        }
    }
}

/// Duration of a slot in seconds. Requests that reach a server within a window were sent within the window
/// or the longest delay before it.
fn slot_duration(settings: &Settings) -> f64 {
    let max_connect_time = settings.connect_timeout.clamp(0.0, settings.overload_window);
    settings.overload_window + max_connect_time + MAX_SUSPENSION_SECONDS
}

fn instance_count(settings: &Settings) -> u64 {
    settings.instance_count.max(1.0) as u64
}

/// The number of turns by which the instances rotate from slot to slot. It has no factor in common with the
/// number of instances, so that each instance gets every turn once in as many slots as there are instances.
fn turn_stride(instances: u64) -> u64 {
    let target = (instances as f64 * GOLDEN_RATIO_FRACTION).round() as u64;
    (1..=target).rev().find(|stride| greatest_common_divisor(*stride, instances) == 1).unwrap_or(1)
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { greatest_common_divisor(b, a % b) }
}
