//! The state that the components of the event loop share: the time of the iteration, timers, buffers, the
//! registry of event sources, and the queue of events for the driver.

use std::collections::VecDeque;

use shorewharf_decisions::interface::RequestId;
use shorewharf_driver::NetworkEvent;
use shorewharf_units::Micros;
use tracing::warn;

use crate::event_loop::poll::SourceRegistry;
use crate::event_loop::timers::{TimerKey, TimerWheel};
use crate::overload::monitor::OverloadMonitor;
use crate::transport::buffer_pool::BufferPool;

/// The event of a timer, which tells what is due when it fires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TimerEvent {
    /// A timer that the driver has set with this token.
    Driver(u64),
    /// A deadline of a client session may have passed.
    Session(RequestId),
    /// The deadline of an attempt may have passed.
    Attempt(RequestId),
    /// A dial that has failed for a local reason is retried.
    RetryDial(RequestId),
    /// The timeout of a probe has passed.
    Probe(u64),
    /// Discovery may have been silent for too long.
    DiscoveryClient,
    /// Clients are accepted again after a shortage or a failure.
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
    /// A request has waited long enough for other processes to know its id.
    UnconfirmedId,
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

/// The timer of an object that stores its own deadlines. It is set for the earliest deadline or before, and
/// the object checks its deadlines when the timer fires, so that postponing or dropping a deadline costs
/// nothing.
#[derive(Clone, Copy, Debug, Default)]
pub struct TimerHandle(Option<(Micros, TimerKey)>);

impl TimerHandle {
    /// Ensures that the timer fires at `deadline` or earlier. Does nothing without a deadline.
    pub fn schedule_by(&mut self, context: &mut LoopContext, deadline: Option<Micros>, event: TimerEvent) {
        let Some(deadline) = deadline else { return };
        if self.0.is_none_or(|(scheduled_at, _)| scheduled_at > deadline) {
            self.cancel(context);
            self.0 = Some((deadline, context.timers.schedule(deadline, event)));
        }
    }

    /// Records that the timer has fired and is no longer set.
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

/// An iteration that begins this much later than planned shows that the machine or the process has stalled.
const STALL_THRESHOLD: Micros = 400_000;
/// Time after a stall during which timeouts of peers don't count: input from them may be unread, and they may
/// have stalled together with this machine.
const GRACE_AFTER_STALL: Micros = 500_000;

/// The state of the event loop that its components share.
#[derive(Debug)]
pub struct LoopContext {
    /// The time, read once an iteration.
    pub now: Micros,
    /// The buffers of connections.
    pub buffers: BufferPool,
    /// The registry of event sources.
    pub registry: SourceRegistry,
    /// The timers of all components.
    pub timers: TimerWheel<TimerEvent>,
    /// Measures the load of the loop and limits new clients.
    pub overload: OverloadMonitor,
    /// Events that the driver has not processed yet.
    events: VecDeque<NetworkEvent>,
    /// When the next iteration is to begin at the latest.
    next_iteration_by: Micros,
    /// When the loop resumed after its last stall; 0 if there was none.
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

    /// Queues an event for the driver, which processes events in the order in which they were queued.
    pub fn emit(&mut self, event: NetworkEvent) {
        self.events.push_back(event);
    }

    /// Takes the next event for the driver.
    pub fn next_event(&mut self) -> Option<NetworkEvent> {
        self.events.pop_front()
    }

    /// Begins an iteration at `now`, or at the time of the last one if `now` is earlier.
    pub fn begin_iteration(&mut self, now: Micros) {
        let late = now.saturating_sub(self.next_iteration_by.max(self.now));
        self.now = self.now.max(now);
        self.timers.advance(self.now);
        if late >= STALL_THRESHOLD {
            // Nothing was read during the stall, so a peer that seems silent may have sent data.
            self.resumed_at = self.now;
            warn!(event = "loop-stalled", ms = late / 1000);
        }
    }

    /// Ends an iteration; the next one is planned to begin at `next` or earlier.
    pub fn end_iteration(&mut self, next: Micros) {
        self.next_iteration_by = next;
    }

    /// The earliest time at which a timeout of a peer may count. An earlier deadline is postponed to it.
    pub fn earliest_timeout(&self) -> Micros {
        if self.resumed_at > 0 { self.resumed_at + GRACE_AFTER_STALL } else { 0 }
    }

    /// The time from which on the wait for the answer to a message counts that was sent at `sent_at`: time
    /// before the end of the last stall does not count.
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
