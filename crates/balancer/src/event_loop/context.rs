//! What each component of the event loop works with: the time of the iteration, timers, buffers, the registry of event
//! sources, and the queue of events for the driver.

use std::collections::VecDeque;

use shorewharf_decisions::interface::RequestId;
use shorewharf_driver::NetworkEvent;
use shorewharf_units::Micros;
use tracing::warn;

use crate::event_loop::poll::SourceRegistry;
use crate::event_loop::timers::{TimerKey, TimerWheel};
use crate::overload::monitor::OverloadMonitor;
use crate::transport::buffer_pool::BufferPool;

/// What is to be done when a timer fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// The driver has set a timer with this token.
    Driver(u64),
    /// A deadline of a client session may have passed.
    Session(RequestId),
    /// The deadline of an attempt may have passed.
    Attempt(RequestId),
    /// A connection that failed on this machine's side is dialled again.
    RetryDial(RequestId),
    /// The timeout of a probe has passed.
    Probe(u64),
    /// Discovery may have been silent for too long.
    DiscoveryClient,
    /// Clients are accepted again after a shortage.
    Accept,
    /// The message delays of servers are reported to the driver.
    ReportDelays,
    /// The number of suppressed log lines is logged.
    LogRateLimiter,
    /// The next step of a graceful shutdown.
    ShutdownStep,
    /// The deadline of an operator's connection may have passed.
    AdminConnection(u64),
    /// The shared folder is read for changes of other processes.
    ReadSharedFolder,
    /// The next batch of clients migrates away from disabled servers.
    MigrationBatch,
    /// Successors are told how many descriptors this process holds.
    NotifySuccessors,
    /// Operators' connections are accepted again after a failure.
    AdminAccept,
    /// The next gossip round.
    Gossip,
    /// A snapshot is begun or continued.
    Snapshot,
}

/// The timer of an object that keeps its deadlines itself. It is set no later than the first deadline, and the object
/// looks for what is due when it fires, so that a deadline that moves back or is dropped costs nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerHandle(Option<(Micros, TimerKey)>);

impl TimerHandle {
    /// Sees to it that the timer fires at `deadline` or earlier. Without a deadline nothing changes.
    pub fn schedule_by(&mut self, context: &mut LoopContext, deadline: Option<Micros>, event: TimerEvent) {
        let Some(deadline) = deadline else { return };
        if self.0.is_none_or(|(scheduled_at, _)| scheduled_at > deadline) {
            self.cancel(context);
            self.0 = Some((deadline, context.timers.schedule(deadline, event)));
        }
    }

    /// The timer has fired and is no longer set.
    pub fn on_fired(&mut self) {
        self.0 = None;
    }

    /// Cancels the timer if it is set.
    pub fn cancel(&mut self, context: &mut LoopContext) {
        if let Some((_, key)) = self.0.take() {
            context.timers.cancel(key);
        }
    }
}

/// An iteration that begins so much later than planned shows that the machine, or the program, has stalled.
const STALL_THRESHOLD: Micros = 400_000;
/// After a stall, peers have this long before their timeouts count: their data is still to be read, and they may have
/// stalled together with this machine.
const GRACE_AFTER_STALL: Micros = 500_000;

/// The state of the event loop that its components share.
#[derive(Debug)]
pub struct LoopContext {
    /// The time, read once an iteration.
    pub now: Micros,
    /// The buffers of connections.
    pub buffers: BufferPool,
    /// Where event sources are registered.
    pub registry: SourceRegistry,
    /// The timers of all components.
    pub timers: TimerWheel<TimerEvent>,
    /// How much load the loop can take on.
    pub overload: OverloadMonitor,
    events: VecDeque<NetworkEvent>,
    /// When the next iteration is to begin at the latest.
    next_iteration_by: Micros,
    /// When the loop went on after its last stall; 0 if there was none.
    resumed_at: Micros,
}

impl LoopContext {
    /// Creates the context of a loop that starts at `now`.
    pub fn new(registry: SourceRegistry, now: Micros) -> Self {
        LoopContext {
            now,
            buffers: BufferPool::default(),
            registry,
            timers: TimerWheel::new(now),
            overload: OverloadMonitor::new(now),
            events: VecDeque::new(),
            next_iteration_by: now,
            resumed_at: 0,
        }
    }

    /// Queues an event for the driver, which processes events in this order.
    pub fn emit(&mut self, event: NetworkEvent) {
        self.events.push_back(event);
    }

    /// Takes the next event for the driver.
    pub fn next_event(&mut self) -> Option<NetworkEvent> {
        self.events.pop_front()
    }

    /// Begins an iteration at `now`. Time never goes back.
    pub fn begin_iteration(&mut self, now: Micros) {
        let late = now.saturating_sub(self.next_iteration_by.max(self.now));
        self.now = self.now.max(now);
        self.timers.advance(self.now);
        if late >= STALL_THRESHOLD {
            // Nothing was read during the stall, so silence says nothing about any peer.
            self.resumed_at = self.now;
            warn!(event = "loop-stalled", ms = late / 1000);
        }
    }

    /// Ends an iteration; the next one is to begin at `next` or earlier.
    pub fn end_iteration(&mut self, next: Micros) {
        self.next_iteration_by = next;
    }

    /// The earliest time at which a timeout of a peer may count. A deadline before it is put off until then.
    pub fn earliest_timeout(&self) -> Micros {
        if self.resumed_at > 0 { self.resumed_at + GRACE_AFTER_STALL } else { 0 }
    }

    /// Since when the answer to a message of `sent_at` is awaited, not counting the time of a stall.
    pub fn waiting_since(&self, sent_at: Micros) -> Micros {
        sent_at.max(self.resumed_at)
    }

    /// Sets a timer that fires `delay` from now.
    pub fn schedule_after(&mut self, delay: Micros, event: TimerEvent) -> TimerKey {
        self.timers.schedule(self.now.saturating_add(delay), event)
    }
}

#[cfg(test)]
pub mod tests;
