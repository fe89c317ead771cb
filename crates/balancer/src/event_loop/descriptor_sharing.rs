//! Divides the limit on descriptors between this process and its successors.

use shorewharf_units::Micros;

use crate::admin::counters::WorkerCounters;
use crate::event_loop::context::TimerEvent;
use crate::event_loop::dispatch::EventLoop;
use crate::handover::messages::PredecessorMessage;
use crate::overload::descriptor_budget::RESERVED_FOR_PROCESS;
use crate::workers::pool::{WorkerMessage, WorkerPool};

/// How often successors are told how many descriptors this process may hold: as clients leave, successors may
/// use more.
const NOTIFY_INTERVAL: Micros = 100_000;

impl EventLoop {
    /// Tells successors how many descriptors this process may hold, and limits this process to that number.
    pub(super) fn notify_successors(&mut self) {
        if !self.siblings.has_successor() {
            self.siblings.descriptor_allowance = None;
            return self.set_sibling_descriptors(0);
        }
        // The allowance is never raised: descriptors that are held beyond it for a short time, to reject
        // clients, must not become part of it.
        let last_allowance = self.siblings.descriptor_allowance.unwrap_or(usize::MAX);
        let allowance = self.descriptor_allowance().min(last_allowance);
        self.siblings.descriptor_allowance = Some(allowance);
        let is_shutting_down = self.is_shutting_down();
        if let Some(successors) = &mut self.siblings.successors {
            if is_shutting_down {
                successors.broadcast(&PredecessorMessage::Draining);
            }
            successors.broadcast(&PredecessorMessage::Descriptors(allowance));
        }
        self.set_sibling_descriptors(self.proxy.settings.max_descriptors * self.worker_count() - allowance);
        self.context.schedule_after(NOTIFY_INTERVAL, TimerEvent::NotifySuccessors);
    }

    fn worker_count(&self) -> usize {
        self.workers.as_ref().map_or(1, WorkerPool::worker_count)
    }

    /// The number of descriptors that this process may hold while another process runs: half of the limit, or
    /// the number that it holds if that is larger. During a shutdown it is no more than the remaining clients
    /// need.
    pub(super) fn descriptor_allowance(&self) -> usize {
        self.proxy.publish_gauges();
        let sums = self.admin.as_ref().map(|admin| WorkerCounters::sum(&admin.counters)).unwrap_or_default();
        let limit = self.proxy.settings.max_descriptors * self.worker_count();
        let in_use = RESERVED_FOR_PROCESS * self.worker_count()
            + sums.descriptors
            + 2 * self.connections_in_transfer();
        let half = if self.is_shutting_down() { 0 } else { limit / 2 };
        in_use.max(half).min(limit)
    }

    /// Deducts the descriptors of another process from the limits of all workers, in equal shares.
    pub(super) fn set_sibling_descriptors(&mut self, descriptors: usize) {
        let per_worker = descriptors / self.worker_count();
        self.broadcast(|_| WorkerMessage::DescriptorsHeldBySiblings(per_worker));
        self.proxy.set_sibling_descriptors(per_worker);
    }
}
