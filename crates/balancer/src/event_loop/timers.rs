//! A hierarchical timer wheel: setting and cancelling a timer take constant time, however many are set.
//!
//! No maintained crate fits: tokio's wheel is private, its delay queue depends on tokio's clock, and
//! `hierarchical_hash_wheel_timer` allocates and hashes for each timer. `benches/parts.rs` compares this
//! wheel with a heap over a slab.

use std::collections::VecDeque;

use shorewharf_units::Micros;
use slotmap::{SlotMap, new_key_type};

/// The resolution of the wheel: the event loop waits in whole milliseconds.
const TICK_MICROS: Micros = 1_000;
/// Bits of a tick's number that select the slot in one level.
const SLOT_BITS: u32 = 6;
const SLOTS_PER_LEVEL: usize = 1 << SLOT_BITS;
/// Enough for all ticks up to the year 2109, so that no timer lies beyond the last level.
const LEVELS: usize = 7;
const LAST_TICK: u64 = (1 << (SLOT_BITS * LEVELS as u32)) - 1;

new_key_type! {
    /// Identifies a timer. After the timer has fired or was cancelled, the key is never used again.
    pub struct TimerKey;
}

/// The position of a slot in the wheel. Its fields are small, since each timer holds one.
#[derive(Clone, Copy, Debug)]
struct Position {
    level: u8,
    slot: u8,
}

#[derive(Debug)]
struct Timer<T> {
    deadline: Micros,
    /// Orders timers with the same deadline.
    sequence: u64,
    event: T,
    /// The slot that the timer is in; `None` once the timer is due.
    position: Option<Position>,
    /// Neighbours in the linked list of the slot.
    previous: Option<TimerKey>,
    next: Option<TimerKey>,
}

/// Timers with events of type `T`. They fire in the order of their deadlines, and for the same deadline in the order in
/// which they were set; never early, and no later than at the end of the tick of their deadline.
#[derive(Debug)]
pub struct TimerWheel<T> {
    timers: SlotMap<TimerKey, Timer<T>>,
    /// The first timer of each slot.
    slots: Box<[[Option<TimerKey>; SLOTS_PER_LEVEL]; LEVELS]>,
    /// A bit for each slot that is not empty.
    occupied: [u64; LEVELS],
    /// The current tick; all timers up to it are due.
    tick: u64,
    now: Micros,
    /// Timers that are due, in the order in which they fire. Keys of cancelled timers are skipped.
    due: VecDeque<TimerKey>,
    next_sequence: u64,
}

impl<T> TimerWheel<T> {
    /// Creates an empty wheel whose time is `now`.
    pub fn new(now: Micros) -> Self {
        TimerWheel {
            timers: SlotMap::with_key(),
            slots: Box::new([[None; SLOTS_PER_LEVEL]; LEVELS]),
            occupied: [0; LEVELS],
            tick: (now / TICK_MICROS).min(LAST_TICK),
            now,
            due: VecDeque::new(),
            next_sequence: 0,
        }
    }

    /// The number of timers that are set, due ones included.
    pub fn len(&self) -> usize {
        self.timers.len()
    }

    /// Whether no timer is set.
    pub fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }

    /// Sets a timer that fires at `deadline`. A timer with a deadline in the past is due at once, after all
    /// timers that are due already.
    pub fn schedule(&mut self, deadline: Micros, event: T) -> TimerKey {
        self.next_sequence += 1;
        let sequence = self.next_sequence;
        let timer = Timer { deadline, sequence, event, position: None, previous: None, next: None };
        let key = self.timers.insert(timer);
        if deadline <= self.now {
            self.due.push_back(key);
        } else {
            self.link(key, deadline);
        }
        key
    }

    /// Cancels a timer and returns its event; `None` if it has fired or was cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let timer = self.timers.remove(key)?;
        self.unlink(&timer);
        Some(timer.event)
    }

    /// When to call [`TimerWheel::advance`] next: no later than the next deadline, and sometimes earlier.
    pub fn next_deadline(&self) -> Option<Micros> {
        if !self.due.is_empty() {
            return Some(self.now);
        }
        self.first_occupied().map(|(_, first_tick)| first_tick * TICK_MICROS)
    }

    /// Advances the time to `now`, or does nothing if `now` is earlier than the last time.
    pub fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let tick = (self.now / TICK_MICROS).min(LAST_TICK);
        while let Some((position, first_tick)) = self.first_occupied() {
            if first_tick > tick {
                break;
            }
            self.tick = first_tick;
            self.drain_slot(position);
        }
        self.tick = tick;
    }

    /// Takes the event of the next timer that is due.
    pub fn pop_due(&mut self) -> Option<T> {
        loop {
            let key = self.due.pop_front()?;
            if let Some(timer) = self.timers.remove(key) {
                return Some(timer.event);
            }
        }
    }

    /// The slot with the earliest timers, and the slot's first tick. The levels are nested, so this slot is
    /// in the lowest level that has any timers.
    fn first_occupied(&self) -> Option<(Position, u64)> {
        let level = self.occupied.iter().position(|occupied| *occupied != 0)?;
        let slot = self.occupied[level].trailing_zeros();
        let shift = SLOT_BITS * level as u32;
        let level_start = self.tick >> (shift + SLOT_BITS) << (shift + SLOT_BITS);
        let position = Position { level: level as u8, slot: slot as u8 };
        Some((position, level_start | u64::from(slot) << shift))
    }

    /// Puts a timer into the highest level in which its tick and the current one select different slots.
    fn link(&mut self, key: TimerKey, deadline: Micros) {
        let tick = deadline.div_ceil(TICK_MICROS).clamp(self.tick + 1, LAST_TICK);
        let level = (63 - (tick ^ self.tick | 1).leading_zeros()) / SLOT_BITS;
        let slot = (tick >> (SLOT_BITS * level)) as usize % SLOTS_PER_LEVEL;
        let position = Position { level: level as u8, slot: slot as u8 };
        let first = self.slot_mut(position).replace(key);
        self.set_occupied(position, true);
        if let Some(first) = first {
            self.timers[first].previous = Some(key);
        }
        let timer = &mut self.timers[key];
        timer.position = Some(position);
        timer.previous = None;
        timer.next = first;
    }

    fn unlink(&mut self, timer: &Timer<T>) {
        let Some(position) = timer.position else { return };
        match timer.previous {
            Some(previous) => self.timers[previous].next = timer.next,
            None => *self.slot_mut(position) = timer.next,
        }
        if let Some(next) = timer.next {
            self.timers[next].previous = timer.previous;
        }
        if self.slot_mut(position).is_none() {
            self.set_occupied(position, false);
        }
    }

    /// Removes all timers from a slot whose first tick has been reached: each becomes due or moves to a lower
    /// level.
    fn drain_slot(&mut self, position: Position) {
        self.set_occupied(position, false);
        let mut next = self.slot_mut(position).take();
        let mut due = Vec::new();
        while let Some(key) = next {
            let timer = &mut self.timers[key];
            next = timer.next;
            timer.position = None;
            let deadline = timer.deadline;
            if deadline.div_ceil(TICK_MICROS) <= self.tick {
                due.push((deadline, timer.sequence, key));
            } else {
                self.link(key, deadline);
            }
        }
        due.sort_unstable();
        self.due.extend(due.into_iter().map(|(_, _, key)| key));
    }

    fn slot_mut(&mut self, position: Position) -> &mut Option<TimerKey> {
        &mut self.slots[usize::from(position.level)][usize::from(position.slot)]
    }

    fn set_occupied(&mut self, position: Position, is_occupied: bool) {
        let occupied = &mut self.occupied[usize::from(position.level)];
        if is_occupied {
            *occupied |= 1 << position.slot;
        } else {
            *occupied &= !(1 << position.slot);
        }
    }
}

#[cfg(test)]
mod tests;
