//! Carries out the driver's effects in the event loop.

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId, SlowStartAdmission};
use shorewharf_driver::{Effects, NetworkEvent};
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_units::Micros;
use tracing::{debug, info};

use crate::event_loop::context::TimerEvent;
use crate::event_loop::dispatch::EventLoop;
use crate::servers::probes::Requester;
use crate::workers::pool::{PRIMARY_WORKER, WorkerMessage};

impl Effects for EventLoop {
    fn now(&self) -> Micros {
        self.context.now
    }

    fn next_event(&mut self) -> Option<NetworkEvent> {
        self.context.next_event()
    }

    fn begin_attempt(&mut self, request: RequestId, server: ServerId, timeout: Micros) {
        self.proxy.begin_attempt(&mut self.context, request, server, timeout);
    }

    fn cancel_attempt(&mut self, request: RequestId) {
        self.proxy.end_attempt(&mut self.context, request, Outcome::Cancelled);
    }

    fn reject(&mut self, request: RequestId, retry_after: Micros) {
        let answer = Answer::Rejected { retry_after };
        self.proxy.answer(&mut self.context, request, answer, Cause::Decision);
    }

    fn fail(&mut self, request: RequestId) {
        self.proxy.answer(&mut self.context, request, Answer::Failed, Cause::Decision);
    }

    fn migrate(&mut self, request: RequestId) {
        self.proxy.request_migration(&mut self.context, request);
    }

    fn probe(&mut self, server: ServerId) {
        match &self.workers {
            Some(workers) if !workers.is_primary() => {
                if workers.send(PRIMARY_WORKER, WorkerMessage::RequestProbe(workers.index(), server)).is_err()
                {
                    self.context.emit(NetworkEvent::ProbeEnded(server, Outcome::ConnectFailed));
                }
            }
            _ => self.begin_probe(server, Requester::ThisWorker),
        }
    }

    fn watch_endpoints(&mut self) {
        match &self.workers {
            // If the primary worker has ended, the whole process is about to end.
            Some(workers) if !workers.is_primary() => {
                drop(workers.send(PRIMARY_WORKER, WorkerMessage::WatchEndpoints));
            }
            _ => {
                let events = self.discovery.open_watch(&mut self.context);
                self.on_discovery_events(events);
            }
        }
    }

    fn set_timer(&mut self, after: Micros, token: u64) {
        self.context.schedule_after(after, TimerEvent::Driver(token));
    }

    fn record_slow_start(&mut self, admission: &SlowStartAdmission) {
        let SlowStartAdmission { request, server, age, slot, tolerated, budget } = *admission;
        let server = self.proxy.servers.name(Some(server));
        debug!(event = "slow-start-admitted", req = request.0, server, age, slot, tolerated, budget);
    }

    fn log(&mut self, line: &str) {
        info!(event = "decisions", text = line);
    }
}
