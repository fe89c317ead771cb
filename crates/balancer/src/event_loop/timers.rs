//! Deadlines, in a hierarchical wheel: setting one and taking it back cost the same however many there are, and a
//! fleet's worth of them that are never due costs nothing.
//!
//! A wheel of its own, since no kept crate fits. tokio's is private, and its queue of delays lives on tokio's clock;
//! `hierarchical_hash_wheel_timer` takes timers back by a name that it hashes, and allocates for each. A slab with a
//! heap is the simplest that can take one back, and is what this is measured against (`benches/parts.rs`): from
//! some thousand timers on, each costs it a walk through memory.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use slotmap::{SlotMap, new_key_type};

/// A tick of the wheel. The loop waits in whole milliseconds.
const TICK_MICROS: Micros = 1_000;
/// Slots in a level, as bits of a tick's number.
const SLOT_BITS: u32 = 6;
const SLOTS_PER_LEVEL: usize = 1 << SLOT_BITS;
/// Levels. All ticks up to the year 2109 differ in these bits only, so that no timer is beyond the last level.
const LEVELS: usize = 7;
const LAST_TICK: u64 = (1 << (SLOT_BITS * LEVELS as u32)) - 1;

new_key_type! {
    /// A timer that is set. Once it has come or was taken back, its key means none.
    pub struct TimerKey;
}

#[derive(Debug)]
struct Timer<T> {
    when: Micros,
    /// Of those that are due at one time, the one that was set first comes first.
    set: u64,
    what: T,
    place: Option<(u8, u8)>,
    before: Option<TimerKey>,
    after: Option<TimerKey>,
}

/// What is due when. TimerWheel come by time, and of those for one time the one that was set first; none comes early,
/// and none later than at the end of its tick.
#[derive(Debug)]
pub struct TimerWheel<T> {
    timers: SlotMap<TimerKey, Timer<T>>,
    /// The first timer of each slot.
    slots: Box<[[Option<TimerKey>; SLOTS_PER_LEVEL]; LEVELS]>,
    /// Which slots of each level hold any.
    held: [u64; LEVELS],
    /// All timers up to this tick are due.
    tick: u64,
    now: Micros,
    due: VecDeque<TimerKey>,
    set: u64,
}

impl<T> TimerWheel<T> {
    /// No timers, at this time.
    pub fn new(now: Micros) -> Self {
        TimerWheel {
            timers: SlotMap::with_key(),
            slots: Box::new([[None; SLOTS_PER_LEVEL]; LEVELS]),
            held: [0; LEVELS],
            tick: (now / TICK_MICROS).min(LAST_TICK),
            now,
            due: VecDeque::new(),
            set: 0,
        }
    }

    /// How many are set.
    pub fn len(&self) -> usize {
        self.timers.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.timers.is_empty()
    }

    /// Sets a timer.
    pub fn set(&mut self, when: Micros, what: T) -> TimerKey {
        self.set += 1;
        let timer = Timer { when, set: self.set, what, place: None, before: None, after: None };
        let key = self.timers.insert(timer);
        // What is due already comes after all that were due before it.
        if when <= self.now {
            self.due.push_back(key)
        } else {
            self.put(key, when)
        }
        key
    }

    /// Takes a timer back; none if it has come.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        let timer = self.timers.remove(key)?;
        self.unlink(&timer);
        Some(timer.what)
    }

    /// When to look again: no later than the next timer, and at times earlier.
    pub fn next(&self) -> Option<Micros> {
        if !self.due.is_empty() {
            return Some(self.now);
        }
        self.first_slot().map(|(_, _, tick)| tick * TICK_MICROS)
    }

    /// Time has come so far; it never goes back.
    pub fn advance(&mut self, now: Micros) {
        self.now = self.now.max(now);
        let tick = (self.now / TICK_MICROS).min(LAST_TICK);
        while let Some((level, slot, at)) = self.first_slot().filter(|s| s.2 <= tick) {
            self.tick = at;
            self.empty(level, slot);
        }
        self.tick = tick;
    }

    /// Takes out the next one that is due.
    pub fn due(&mut self) -> Option<T> {
        loop {
            let key = self.due.pop_front()?;
            if let Some(timer) = self.timers.remove(key) {
                return Some(timer.what);
            }
        }
    }

    /// The slot that comes first, and its first tick: levels are nested, so the lowest that holds any has it.
    fn first_slot(&self) -> Option<(usize, usize, u64)> {
        let level = self.held.iter().position(|held| *held != 0)?;
        let slot = self.held[level].trailing_zeros();
        let shift = SLOT_BITS * level as u32;
        let round = self.tick >> (shift + SLOT_BITS) << (shift + SLOT_BITS);
        Some((level, slot as usize, round | u64::from(slot) << shift))
    }

    /// Puts a timer into the lowest level in which its tick and the present one differ.
    fn put(&mut self, key: TimerKey, when: Micros) {
        let tick = when.div_ceil(TICK_MICROS).clamp(self.tick + 1, LAST_TICK);
        let level = (63 - (tick ^ self.tick | 1).leading_zeros()) / SLOT_BITS;
        let slot = (tick >> (SLOT_BITS * level)) as usize % SLOTS_PER_LEVEL;
        let level = level as usize;
        let first = self.slots[level][slot].replace(key);
        self.held[level] |= 1 << slot;
        if let Some(first) = first {
            self.timers[first].before = Some(key);
        }
        let timer = &mut self.timers[key];
        (timer.place, timer.before, timer.after) = (Some((level as u8, slot as u8)), None, first);
    }

    fn unlink(&mut self, timer: &Timer<T>) {
        let Some((level, slot)) = timer.place.map(|(l, s)| (usize::from(l), usize::from(s))) else { return };
        match timer.before {
            Some(before) => self.timers[before].after = timer.after,
            None => self.slots[level][slot] = timer.after,
        }
        if let Some(after) = timer.after {
            self.timers[after].before = timer.before;
        }
        if self.slots[level][slot].is_none() {
            self.held[level] &= !(1 << slot);
        }
    }

    /// Takes all timers out of a slot whose first tick has come: they are due, or find a lower level.
    fn empty(&mut self, level: usize, slot: usize) {
        self.held[level] &= !(1 << slot);
        let mut next = self.slots[level][slot].take();
        let mut due = Vec::new();
        while let Some(key) = next {
            let timer = &mut self.timers[key];
            next = timer.after;
            timer.place = None;
            let when = timer.when;
            if when.div_ceil(TICK_MICROS) <= self.tick {
                due.push((when, timer.set, key))
            } else {
                self.put(key, when)
            }
        }
        due.sort_unstable();
        self.due.extend(due.into_iter().map(|d| d.2));
    }
}

#[cfg(test)]
mod tests;
