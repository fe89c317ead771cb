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
    link: Connection,
    server: ServerId,
    asked: bool,
    begun: Micros,
    timer: TimerKey,
    /// The other workers that want it too, and whether this one does.
    others: Vec<usize>,
    own: bool,
}

/// The table of probes, by number. Each that was asked for is told of once, when it is over; a server has one at a time,
/// whoever wants it.
#[derive(Debug, Default)]
pub struct Probes {
    table: BTreeMap<u64, Probe>,
    begun: u64,
    /// What other workers are to be told.
    for_others: Vec<(usize, ServerId, Outcome)>,
}

impl Probes {
    /// Checks on a server, for another worker or for this one; without an address there is nothing to be reached.
    pub fn begin(
        &mut self,
        turn: &mut LoopContext,
        server: ServerId,
        address: Option<SocketAddr>,
        other: Option<usize>,
    ) {
        if let Some(probe) =
            self.table.values_mut().find(|p| p.server == server && (other.is_some() || !p.own))
        {
            probe.own |= other.is_none();
            probe.others.extend(other);
            return;
        }
        self.begun += 1;
        let number = self.begun;
        let watched = |mut link| turn.poller.watch(&mut link, EventSource::Probe(number)).then_some(link);
        let Some(link) = address.and_then(|to| Connection::connect(to).ok()).and_then(watched) else {
            return match other {
                Some(other) => self.for_others.push((other, server, Outcome::ConnectFailed)),
                None => turn.emit(NetworkEvent::ProbeEnded(server, Outcome::ConnectFailed)),
            };
        };
        let (timer, begun) = (turn.after(PROBE_TIMEOUT, TimerEvent::Probe(number)), turn.now);
        self.table.insert(
            number,
            Probe {
                link,
                server,
                asked: false,
                begun,
                timer,
                others: Vec::from_iter(other),
                own: other.is_none(),
            },
        );
        self.ready(turn, number, Readiness::default());
    }

    /// A probe's connection is ready.
    pub fn ready(&mut self, turn: &mut LoopContext, number: u64, ready: Readiness) {
        let Some(probe) = self.table.get_mut(&number) else { return };
        probe.link.ready(ready);
        if !probe.asked {
            match probe.link.connected() {
                Ok(false) => return,
                Ok(true) => probe.asked = probe.link.say(&turn.pool, b"PING\r\n"),
                Err(_) => return self.end(turn, number, Outcome::ConnectFailed),
            }
        }
        probe.link.flush();
        probe.link.fill(&turn.pool);
        let ended = probe.link.ended;
        let outcome = match probe.link.look() {
            Ok(Some(b"PONG")) => Outcome::Ok,
            Ok(None) if ended.is_none() => return,
            Ok(None) => Outcome::Reset,
            _ => Outcome::Error,
        };
        self.end(turn, number, outcome);
    }

    /// Ends a probe, and tells how; nothing happens where it is over already.
    pub fn end(&mut self, turn: &mut LoopContext, number: u64, outcome: Outcome) {
        if let Some(probe) = self.table.remove(&number) {
            turn.timers.cancel(probe.timer);
            let (server, us) = (probe.server.0, turn.now - probe.begun);
            debug!(event = "probed", server, us, outcome = ?outcome);
            if probe.own {
                turn.emit(NetworkEvent::ProbeEnded(probe.server, outcome));
            }
            self.for_others.extend(probe.others.into_iter().map(|other| (other, probe.server, outcome)));
        }
    }

    /// Takes out what other workers are to be told.
    pub fn take_for_others(&mut self) -> Vec<(usize, ServerId, Outcome)> {
        std::mem::take(&mut self.for_others)
    }

    /// A probe's timer has come.
    pub fn alarmed(&mut self, turn: &mut LoopContext, number: u64) {
        match self.table.get_mut(&number) {
            Some(probe) if turn.now < turn.judges_from() => {
                probe.timer = turn.timers.set(turn.judges_from(), TimerEvent::Probe(number));
            }
            _ => self.end(turn, number, Outcome::TimedOut),
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }
}

#[cfg(test)]
mod tests;
