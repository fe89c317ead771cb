//! Probes: checks on servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use shorewharf_decisions::interface::{Outcome, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_units::Micros;
use tracing::debug;

use crate::event_loop::iteration::{LoopContext, TimerEvent};
use crate::event_loop::poll::{EventSource, Readiness};
use crate::event_loop::timers::TimerKey;
use crate::transport::connection::Connection;

/// How long a probe may take.
const PROBE_TIMEOUT: Micros = 500_000;

/// A check on a server.
#[derive(Debug)]
struct Probe {
    connection: Connection,
    server: ServerId,
    is_ping_sent: bool,
    started_at: Micros,
    timer: TimerKey,
    /// The other workers that want it too, and whether this one does.
    waiting_workers: Vec<usize>,
    is_wanted_here: bool,
}

/// The table of probes, by number. Each that was asked for is told of once, when it is over; a server has one at a time,
/// whoever wants it.
#[derive(Debug, Default)]
pub struct Probes {
    table: BTreeMap<u64, Probe>,
    last_number: u64,
    /// What other workers are to be told.
    worker_results: Vec<(usize, ServerId, Outcome)>,
}

impl Probes {
    /// Checks on a server, for another worker or for this one; without an address there is nothing to be reached.
    pub fn begin(
        &mut self,
        context: &mut LoopContext,
        server: ServerId,
        address: Option<SocketAddr>,
        other: Option<usize>,
    ) {
        if let Some(probe) =
            self.table.values_mut().find(|p| p.server == server && (other.is_some() || !p.is_wanted_here))
        {
            probe.is_wanted_here |= other.is_none();
            probe.waiting_workers.extend(other);
            return;
        }
        self.last_number += 1;
        let number = self.last_number;
        let watched =
            |mut link| context.registry.register(&mut link, EventSource::Probe(number)).then_some(link);
        let Some(link) = address.and_then(|to| Connection::connect(to).ok()).and_then(watched) else {
            return match other {
                Some(other) => self.worker_results.push((other, server, Outcome::ConnectFailed)),
                None => context.emit(NetworkEvent::ProbeEnded(server, Outcome::ConnectFailed)),
            };
        };
        let (timer, begun) = (context.schedule_after(PROBE_TIMEOUT, TimerEvent::Probe(number)), context.now);
        self.table.insert(
            number,
            Probe {
                connection: link,
                server,
                is_ping_sent: false,
                started_at: begun,
                timer,
                waiting_workers: Vec::from_iter(other),
                is_wanted_here: other.is_none(),
            },
        );
        self.on_ready(context, number, Readiness::default());
    }

    /// A probe's connection is ready.
    pub fn on_ready(&mut self, context: &mut LoopContext, number: u64, ready: Readiness) {
        let Some(probe) = self.table.get_mut(&number) else { return };
        probe.connection.on_ready(ready);
        if !probe.is_ping_sent {
            match probe.connection.is_connected() {
                Ok(false) => return,
                Ok(true) => probe.is_ping_sent = probe.connection.send(&context.buffers, b"PING\r\n"),
                Err(_) => return self.finish(context, number, Outcome::ConnectFailed),
            }
        }
        probe.connection.flush();
        probe.connection.read_available(&context.buffers);
        let ended = probe.connection.peer_close;
        let outcome = match probe.connection.inspect_line() {
            Ok(Some(b"PONG")) => Outcome::Ok,
            Ok(None) if ended.is_none() => return,
            Ok(None) => Outcome::Reset,
            _ => Outcome::Error,
        };
        self.finish(context, number, outcome);
    }

    /// Ends a probe, and tells how; nothing happens where it is over already.
    pub fn finish(&mut self, context: &mut LoopContext, number: u64, outcome: Outcome) {
        if let Some(probe) = self.table.remove(&number) {
            context.timers.cancel(probe.timer);
            let (server, us) = (probe.server.0, context.now - probe.started_at);
            debug!(event = "probed", server, us, outcome = ?outcome);
            if probe.is_wanted_here {
                context.emit(NetworkEvent::ProbeEnded(probe.server, outcome));
            }
            self.worker_results
                .extend(probe.waiting_workers.into_iter().map(|other| (other, probe.server, outcome)));
        }
    }

    /// Takes out what other workers are to be told.
    pub fn take_worker_results(&mut self) -> Vec<(usize, ServerId, Outcome)> {
        std::mem::take(&mut self.worker_results)
    }

    /// A probe's timer has come.
    pub fn on_timer(&mut self, context: &mut LoopContext, number: u64) {
        match self.table.get_mut(&number) {
            Some(probe) if context.now < context.earliest_timeout() => {
                probe.timer = context.timers.schedule(context.earliest_timeout(), TimerEvent::Probe(number));
            }
            _ => self.finish(context, number, Outcome::TimedOut),
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }
}

#[cfg(test)]
mod tests;
