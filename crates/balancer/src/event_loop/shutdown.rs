//! The graceful shutdown of a worker: waiting requests are answered, clients migrated, then the loop ends.

use shorewharf_units::Micros;
use tracing::info;

use crate::event_loop::context::TimerEvent;
use crate::event_loop::dispatch::EventLoop;
use crate::proxy::{AnswerScope, SessionCounts};
use crate::shutdown::{MIN_DRAIN_TIME, Shutdown};
use crate::workers::pool::WorkerPool;

/// The time between two steps of a graceful shutdown.
const SHUTDOWN_STEP_INTERVAL: Micros = 100_000;

impl EventLoop {
    /// Begins the graceful shutdown; does nothing if it has begun before.
    pub fn begin_shutdown(&mut self) {
        if self.is_shutting_down() {
            return;
        }
        self.shutdown = Some(Shutdown::begin(self.context.now, &self.proxy.settings.client_timeouts));
        self.poll_successors();
        let SessionCounts { established: sessions, waiting } = self.proxy.begin_shutdown();
        let worker = self.workers.as_ref().map(WorkerPool::index);
        let successor = self.proxy.has_successor;
        info!(event = "shutting-down", worker, sessions, waiting, successor);
        self.context.schedule_after(SHUTDOWN_STEP_INTERVAL, TimerEvent::ShutdownStep);
        self.is_handover_due = successor;
    }

    /// Whether the graceful shutdown has begun.
    pub(super) fn is_shutting_down(&self) -> bool {
        self.shutdown.is_some()
    }

    /// Performs one step of the shutdown: answers waiting requests and migrates clients as scheduled, and
    /// ends the loop once no client is left or the time is up.
    pub(super) fn on_shutdown_step(&mut self) {
        let Some(shutdown) = self.shutdown else { return };
        let elapsed = shutdown.elapsed(self.context.now);
        let schedule = shutdown.schedule(self.proxy.has_successor);
        // Other workers may have sent connections to this one before they ended.
        while let Some(message) = self.next_message() {
            self.on_message(message);
        }
        if elapsed >= schedule.reject_incomplete_from {
            self.proxy.reject_incomplete_requests(&mut self.context);
        }
        if elapsed >= schedule.answer_all_from {
            self.proxy.answer_waiting_clients(&mut self.context, AnswerScope::All);
        } else if elapsed >= schedule.answer_from {
            self.proxy.answer_waiting_clients(&mut self.context, AnswerScope::Rejectable);
        }
        if elapsed >= schedule.migrate_from {
            let steps_left = schedule.migrate_until.saturating_sub(elapsed) / SHUTDOWN_STEP_INTERVAL;
            self.proxy.migrate_batch(&mut self.context, steps_left as usize);
        }
        self.is_handover_due = self.proxy.has_successor;
        if elapsed >= schedule.end || self.may_end_early(elapsed) {
            return self.end_shutdown();
        }
        let next_step = SHUTDOWN_STEP_INTERVAL.min(schedule.end - elapsed);
        self.context.schedule_after(next_step, TimerEvent::ShutdownStep);
    }

    /// Whether the loop may end before its time is over: no client is left, and none is to be expected.
    fn may_end_early(&mut self, elapsed: Micros) -> bool {
        if self.connected_clients() > 0 {
            return false;
        }
        if self.proxy.has_successor {
            return true;
        }
        // The process listens until its last worker ends, so clients may come until then, to any worker.
        let are_others_done = self.workers.as_ref().is_none_or(WorkerPool::are_others_without_clients);
        let is_drained = elapsed >= MIN_DRAIN_TIME + SHUTDOWN_STEP_INTERVAL;
        // Closing the listener would cut off a client that waits at it.
        is_drained && are_others_done && !self.accept_last_client()
    }

    /// The number of clients, including one if connections are still to be transferred to a successor.
    fn connected_clients(&self) -> usize {
        self.proxy.client_count() + usize::from(self.has_transfers_pending())
    }

    /// Ends the loop. Every client that is still connected has its answer.
    fn end_shutdown(&mut self) {
        self.close_listener();
        self.proxy.log_totals();
        self.clients_at_end = Some(self.connected_clients());
    }

    /// Whether connections are being transferred to a successor, or other workers may still send connections
    /// to be transferred.
    fn has_transfers_pending(&self) -> bool {
        let waits_for_workers = || {
            self.workers.as_ref().is_some_and(|workers| workers.is_primary() && !workers.have_others_ended())
        };
        self.connections_in_transfer() > 0 || (self.proxy.has_successor && waits_for_workers())
    }
}
