//! Probes: a probe connects to a server, sends `PING` and reports the outcome.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use shorewharf_decisions::interface::{Outcome, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_units::Micros;
use tracing::debug;

use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::event_loop::poll::EventSource;
use crate::event_loop::timers::TimerKey;
use crate::transport::connection::{Connection, LineTooLong};
use crate::transport::readiness::Readiness;

/// The time after which a probe without an answer has failed.
const PROBE_TIMEOUT: Micros = 500_000;

/// The worker that has requested a probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Requester {
    /// This worker, whose decisions receive the result as an event.
    ThisWorker,
    /// Another worker, by its index.
    Worker(usize),
}

/// The result of a probe that another worker has requested.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkerProbeResult {
    /// The index of the worker that has requested the probe.
    pub worker: usize,
    /// The server that was probed.
    pub server: ServerId,
    /// The outcome of the probe.
    pub outcome: Outcome,
}

/// A probe in progress.
#[derive(Debug)]
struct Probe {
    connection: Connection,
    server: ServerId,
    is_ping_sent: bool,
    started_at: Micros,
    timer: TimerKey,
    requesters: Vec<Requester>,
}

/// The probes in progress, by number. Requesters share the probe of a server, except that a second request of this worker
/// starts another one. Each requester receives one result for each request.
#[derive(Debug, Default)]
pub struct Probes {
    table: BTreeMap<u64, Probe>,
    last_number: u64,
    /// Results that have yet to be sent to other workers.
    worker_results: Vec<WorkerProbeResult>,
}

impl Probes {
    /// Starts a probe of a server, or adds the requester to the one in progress. A server without an address is reported as
    /// unreachable.
    pub fn begin(
        &mut self,
        context: &mut LoopContext,
        server: ServerId,
        address: Option<SocketAddr>,
        requester: Requester,
    ) {
        if let Some(probe) = self.find_joinable(server, requester) {
            probe.requesters.push(requester);
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let Some(connection) = address.and_then(|address| connect(context, address, number)) else {
            return self.report(context, server, Outcome::ConnectFailed, &[requester]);
        };
        let probe = Probe {
            connection,
            server,
            is_ping_sent: false,
            started_at: context.now,
            timer: context.schedule_after(PROBE_TIMEOUT, TimerEvent::Probe(number)),
            requesters: vec![requester],
        };
        self.table.insert(number, probe);
        self.on_ready(context, number, Readiness::default());
    }

    /// Finds a probe of the server whose result the requester can share. A second request of this worker gets its own probe,
    /// so that the worker receives one result for each request.
    fn find_joinable(&mut self, server: ServerId, requester: Requester) -> Option<&mut Probe> {
        self.table.values_mut().find(|probe| {
            let is_repeated_request =
                requester == Requester::ThisWorker && probe.requesters.contains(&Requester::ThisWorker);
            probe.server == server && !is_repeated_request
        })
    }

    /// Handles a readiness event of a probe's connection.
    pub fn on_ready(&mut self, context: &mut LoopContext, number: u64, readiness: Readiness) {
        let Some(probe) = self.table.get_mut(&number) else { return };
        probe.connection.on_ready(readiness);
        if !probe.is_ping_sent {
            match probe.connection.is_connected() {
                Ok(false) => return,
                Ok(true) => {
                    let ping = Message::Ping.to_string();
                    probe.is_ping_sent = probe.connection.send(&context.buffers, ping.as_bytes());
                }
                Err(_) => return self.finish(context, number, Outcome::ConnectFailed),
            }
        }
        probe.connection.flush();
        probe.connection.read_available(&context.buffers);
        let is_closed = probe.connection.peer_close.is_some();
        let outcome = match probe.connection.inspect_line() {
            Ok(Some(line)) if parse_message(line) == Message::Pong => Outcome::Ok,
            Ok(Some(_)) | Err(LineTooLong) => Outcome::Error,
            Ok(None) if is_closed => Outcome::Reset,
            Ok(None) => return,
        };
        self.finish(context, number, outcome);
    }

    /// Ends a probe and reports its outcome to the requesters. Does nothing if the probe has already ended.
    pub fn finish(&mut self, context: &mut LoopContext, number: u64, outcome: Outcome) {
        let Some(probe) = self.table.remove(&number) else { return };
        context.timers.cancel(probe.timer);
        let (server, us) = (probe.server.0, context.now - probe.started_at);
        debug!(event = "probe-ended", server, us, outcome = ?outcome);
        self.report(context, probe.server, outcome, &probe.requesters);
    }

    fn report(
        &mut self,
        context: &mut LoopContext,
        server: ServerId,
        outcome: Outcome,
        requesters: &[Requester],
    ) {
        for requester in requesters {
            match *requester {
                Requester::ThisWorker => context.emit(NetworkEvent::ProbeEnded(server, outcome)),
                Requester::Worker(worker) => {
                    self.worker_results.push(WorkerProbeResult { worker, server, outcome });
                }
            }
        }
    }

    /// Returns and removes the results that have yet to be sent to other workers.
    pub fn take_worker_results(&mut self) -> Vec<WorkerProbeResult> {
        std::mem::take(&mut self.worker_results)
    }

    /// Handles the timer of a probe: ends the probe, unless timeouts are suspended after a stall of the event loop.
    pub fn on_timer(&mut self, context: &mut LoopContext, number: u64) {
        let earliest_timeout = context.earliest_timeout();
        match self.table.get_mut(&number) {
            Some(probe) if context.now < earliest_timeout => {
                probe.timer = context.timers.schedule(earliest_timeout, TimerEvent::Probe(number));
            }
            _ => self.finish(context, number, Outcome::TimedOut),
        }
    }

    /// The number of probes in progress.
    pub fn count(&self) -> usize {
        self.table.len()
    }
}

fn connect(context: &LoopContext, address: SocketAddr, number: u64) -> Option<Connection> {
    let mut connection = Connection::connect(address).ok()?;
    context.registry.register(&mut connection, EventSource::Probe(number)).then_some(connection)
}

#[cfg(test)]
mod tests;
