//! What every peer has at hand while it acts: the time of this turn, buffers, timers, the loop's watch over
//! connections, and the queue of what has happened.

use std::collections::VecDeque;

use shorewharf_decisions::interface::RequestId;
use shorewharf_driver::NetworkEvent;
use shorewharf_units::Micros;
use tracing::warn;

use crate::event_loop::poll::SourceRegistry;
use crate::event_loop::timers::{TimerKey, TimerWheel};
use crate::overload::monitor::OverloadMonitor;
use crate::transport::buffer_pool::BufferPool;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// The module asked to be woken with this token.
    Module(u64),
    /// Something of a client session's may be due.
    Session(RequestId),
    /// A attempt should have come further by now.
    Attempt(RequestId),
    /// A connection that this machine could not begin is tried again.
    Dial(RequestId),
    /// A probe should be over by now.
    Probe(u64),
    /// The discovery may have been silent for too long.
    DiscoveryClient,
    /// Clients that could not be accepted may be by now.
    Accept,
    /// Message delays are reported.
    Delays,
    /// Log lines were left out.
    LogRateLimiter,
    /// The next step of a planned end.
    Leave,
    /// An operator that has not come further by now has to go.
    AdminConnection(u64),
    /// What other processes of this balancer have changed is looked for.
    SyncSharedFolder,
    /// More clients leave servers that were taken out.
    Leaves,
    /// Other processes of this balancer are told what this one holds.
    AnnounceDescriptors,
    /// Operators that could not be accepted may be by now.
    AcceptAdmin,
    /// Other balancers are told.
    Gossip,
    /// What is known is read out, or read on.
    Snapshot,
}

/// The one timer of something that has its deadlines itself: set no later than the first of them, and looked at when
/// it comes. A deadline that is put off, or done with, costs nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerHandle(Option<(Micros, TimerKey)>);

impl TimerHandle {
    /// Has the timer come by then at the latest; nothing where nothing is due.
    pub fn by(&mut self, turn: &mut LoopContext, when: Option<Micros>, due: TimerEvent) {
        let Some(when) = when else { return };
        if self.0.is_none_or(|(at, _)| at > when) {
            self.off(turn);
            self.0 = Some((when, turn.timers.set(when, due)));
        }
    }

    /// The timer has come.
    pub fn came(&mut self) {
        self.0 = None;
    }

    /// Takes the timer back.
    pub fn off(&mut self, turn: &mut LoopContext) {
        if let Some((_, key)) = self.0.take() {
            turn.timers.cancel(key);
        }
    }
}

/// A turn that begins so much later than it was to begin, or takes so long, was held up: the machine stood still, or
/// the program did.
const STALL_THRESHOLD: Micros = 400_000;
/// What peers said meanwhile is read first; after that they have so long to be heard before anybody is judged by
/// silence. They may have stood still with this machine.
const GRACE_AFTER_STALL: Micros = 500_000;

/// One turn of the loop, as the peers see it.
#[derive(Debug)]
pub struct LoopContext {
    /// The time, read once a turn.
    pub now: Micros,
    /// Where buffers come from.
    pub pool: BufferPool,
    /// Watches connections.
    pub poller: SourceRegistry,
    /// What is due when.
    pub timers: TimerWheel<TimerEvent>,
    /// What the loop can take on.
    pub overload: OverloadMonitor,
    events: VecDeque<NetworkEvent>,
    /// When the next turn is to begin at the latest.
    next: Micros,
    /// When it went on after it had been held up last.
    resumed: Micros,
}

impl LoopContext {
    /// The first turn, at this time.
    pub fn new(poller: SourceRegistry, now: Micros) -> Self {
        LoopContext {
            now,
            pool: BufferPool::default(),
            poller,
            timers: TimerWheel::new(now),
            overload: OverloadMonitor::new(now),
            events: VecDeque::new(),
            next: now,
            resumed: 0,
        }
    }

    /// Tells the driver what has happened; it is heard in this order.
    pub fn emit(&mut self, event: NetworkEvent) {
        self.events.push_back(event);
    }

    /// The next thing that happened.
    pub fn next(&mut self) -> Option<NetworkEvent> {
        self.events.pop_front()
    }

    /// The turn begins at this time; time never goes back.
    pub fn begin(&mut self, now: Micros) {
        let late = now.saturating_sub(self.next.max(self.now));
        self.now = self.now.max(now);
        self.timers.advance(self.now);
        if late >= STALL_THRESHOLD {
            // Guards against a storm of wrong verdicts: that nothing was heard was nobody's silence but its own.
            self.resumed = self.now;
            warn!(event = "held-up", ms = late / 1000);
        }
    }

    /// The next turn begins by then, if the machine lets it.
    pub fn ends(&mut self, next: Micros) {
        self.next = next;
    }

    /// From when on peers are judged by their silence: a deadline of theirs that comes before is put off to then.
    pub fn judges_from(&self) -> Micros {
        if self.resumed > 0 { self.resumed + GRACE_AFTER_STALL } else { 0 }
    }

    /// Since when a peer that was asked then has taken its time: for as long as nobody was heard it has not.
    pub fn took_since(&self, asked: Micros) -> Micros {
        asked.max(self.resumed)
    }

    /// Sets a timer, so long from now.
    pub fn after(&mut self, wait: Micros, due: TimerEvent) -> TimerKey {
        self.timers.set(self.now.saturating_add(wait), due)
    }
}

#[cfg(test)]
pub mod tests;
