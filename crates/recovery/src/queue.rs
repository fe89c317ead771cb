//! When clients that could not be served are to come again: places in a queue, one after the other at the rate at
//! which this balancer lets clients in, so that a crowd does not come back as one. Only a part of them heeds it, and no
//! wait is longer than clients honour; beyond that, places are spread over the last part of it.

use shorewharf_decisions::interface::Settings;

/// The rate fades with this time, in seconds.
const FADE: f64 = 3.0;
/// It is no lower than this, a second: at an outage's start nobody was let in yet.
const SLOWEST: f64 = 0.5;
/// The shortest wait, in parts of the longest one: sooner, a client comes back before anything can have changed.
const SHORTEST: f64 = 0.15;
/// Places beyond the longest wait are spread over the part of it from here on.
const FROM: f64 = 0.6;

/// Places for those who come again.
#[derive(Debug)]
pub struct Queue {
    longest: f64,
    /// Clients let in, fading, as of a time.
    let_in: (f64, f64),
    /// The next free place's time.
    next: f64,
    /// Turns through the spread part, so that neighbours differ most.
    turn: f64,
}

impl Queue {
    /// An empty one.
    pub fn new(set: &Settings) -> Self {
        let mut queue = Queue { longest: 0.0, let_in: (0.0, 0.0), next: f64::NEG_INFINITY, turn: 0.0 };
        queue.take_settings(set);
        queue
    }

    /// Other settings are in force.
    pub fn take_settings(&mut self, set: &Settings) {
        self.longest = if set.sends_retry_after { set.max_retry_after.max(0.0) } else { 0.0 };
    }

    fn faded(&self, now: f64) -> f64 {
        self.let_in.0 * ((self.let_in.1 - now) / FADE).exp()
    }

    /// A client was let in.
    pub fn let_in(&mut self, now: f64) {
        self.let_in = (self.faded(now) + 1.0, now);
    }

    /// Clients let in a second, of late.
    pub fn rate(&self, now: f64) -> f64 {
        (self.faded(now) / FADE).max(SLOWEST)
    }

    /// Clients that hold a place, about.
    pub fn length(&self, now: f64) -> f64 {
        ((self.next - now) * self.rate(now)).max(0.0)
    }

    /// The wait of a client that is refused now: its place. 0 where waits are not told.
    pub fn place(&mut self, now: f64) -> f64 {
        if self.longest <= 0.0 {
            return 0.0;
        }
        let shortest = self.longest * SHORTEST;
        self.next = (self.next + 1.0 / self.rate(now)).clamp(now + shortest, now + 2.0 * self.longest);
        let wait = self.next - now;
        if wait <= self.longest {
            return wait;
        }
        // The golden section: any few that follow each other lie evenly.
        self.turn = (self.turn + 0.618_033_988_75).fract();
        self.longest * (FROM + (1.0 - FROM) * self.turn)
    }
}
