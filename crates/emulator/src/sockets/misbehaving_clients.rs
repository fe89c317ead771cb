//! Clients that send what cannot be used or read, or nothing: at full speed, and they read whatever they are sent.
//!
//! Each is owed an error or a close in time, and must never be served.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Serialize;
use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_units::Micros;
use thiserror::Error;

use super::connection_log::ConnectionLog;
use super::harness::{ConnectionObservation, Observations};
use super::lines::LineConnection;
use super::net::{Net, Ready, Role};
use crate::day::{BadClients, Day};
use crate::edge::{BalancerId, ConnId, End};

/// An error or a close is owed within this of connecting ...
const RESPONSE_TIMEOUT: Micros = 3_000_000;
/// ... or within this by those who have so much to send.
const LARGE_INPUT_RESPONSE_TIMEOUT: Micros = 6_000_000;
/// Bytes of the longest value.
const HUGE_BYTES: usize = 60 << 20;
/// What is put into the system's hands at once.
const CHUNK_BYTES: usize = 256 << 10;
/// Ids of bad clients, far from the usual ones'.
const ID_PREFIX: u64 = 0xbad0_0000_0000_0000;
/// Commands of those who send many at a time.
const COMMAND_COUNT: usize = 300;

/// A kind of bad client that the day names and nobody knows.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("bad_clients: '{0}' is not one of {known}", known = KINDS.map(|k| k.0).join(", "))]
pub struct UnknownKind(String);

/// What a bad client does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    EndlessLine,
    HugeValue,
    WrongNumber,
    UnknownClass,
    BadDeadline,
    NoId,
    StolenId,
    Half,
    Commands,
    Again,
    Silent,
}

/// The kinds by name.
const KINDS: [(&str, Kind); 11] = [
    ("endless-line", Kind::EndlessLine),
    ("huge-value", Kind::HugeValue),
    ("wrong-number", Kind::WrongNumber),
    ("unknown-class", Kind::UnknownClass),
    ("bad-deadline", Kind::BadDeadline),
    ("no-id", Kind::NoId),
    ("stolen-id", Kind::StolenId),
    ("half", Kind::Half),
    ("commands", Kind::Commands),
    ("again", Kind::Again),
    ("silent", Kind::Silent),
];

/// How bad clients of one kind fared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MisbehaviorOutcome {
    /// Connections they made, but for those that were refused because nobody listened.
    pub came: u64,
    /// Got an error.
    pub refused: u64,
    /// Were closed on without a word.
    pub closed: u64,
    /// Got neither in time.
    pub neither: u64,
    /// Were served.
    pub served: u64,
}

#[derive(Debug)]
struct MisbehavingClient {
    connection: LineConnection,
    balancer: BalancerId,
    address: SocketAddr,
    kind: Kind,
    flow: usize,
    connected_at: Micros,
    /// Bytes that are still to be sent.
    bytes_left: usize,
    /// It has got what it is owed, or has been counted for not getting it.
    is_counted: bool,
    /// Turned away, it comes again at once until then.
    retries_until: Micros,
}

#[derive(Debug)]
struct Flow {
    kind: Kind,
    every: f64,
    next: f64,
}

/// The bad clients of a day.
#[derive(Debug)]
pub struct MisbehavingClients {
    flows: Vec<Flow>,
    names: Vec<String>,
    clients: BTreeMap<u64, MisbehavingClient>,
    next: u64,
    class: String,
    tenant: String,
    /// By flow, in the day's order.
    pub outcomes: Vec<MisbehaviorOutcome>,
}

impl MisbehavingClients {
    /// Those that the day names.
    ///
    /// # Errors
    ///
    /// Fails if the day names an unknown kind of misbehaving client.
    pub fn new(day: &Day) -> Result<Self, UnknownKind> {
        let flow = |b: &BadClients| {
            let kind = KINDS.iter().find(|k| k.0 == b.kind).ok_or_else(|| UnknownKind(b.kind.clone()))?.1;
            let every = 1e6 / b.per_s.max(1e-6);
            Ok(Flow { kind, every, next: every })
        };
        let name = |names: Option<&String>| names.cloned().unwrap_or_default();
        Ok(MisbehavingClients {
            flows: day.bad_clients.iter().map(flow).collect::<Result<_, _>>()?,
            names: day.bad_clients.iter().map(|b| b.kind.clone()).collect(),
            clients: BTreeMap::new(),
            next: 0,
            class: name(day.classes.first().map(|c| &c.name)),
            tenant: name(day.tenants.first().map(|t| &t.name)),
            outcomes: vec![MisbehaviorOutcome::default(); day.bad_clients.len()],
        })
    }

    /// How each kind fared, by name.
    pub fn report(&self) -> Vec<(String, MisbehaviorOutcome)> {
        self.names.iter().cloned().zip(self.outcomes.iter().copied()).collect()
    }

    /// When somebody comes next or is owed something no longer, on the driver's clock; the day began at `start`.
    pub fn next_due(&self, start: Micros) -> Micros {
        let comes = self.flows.iter().map(|f| start + f.next as Micros);
        let response_due = self
            .clients
            .values()
            .filter(|b| !b.is_counted)
            .map(|b| b.connected_at + response_timeout(b.kind));
        comes.chain(response_due).min().unwrap_or(Micros::MAX)
    }

    /// Lets those come who are due, while the day lasts, and counts those who have waited too long.
    pub fn run_due(
        &mut self,
        net: &mut Net,
        now: Micros,
        start: Micros,
        lasts: bool,
        connection_log: &mut ConnectionLog,
        to: impl Fn(u64) -> Option<(BalancerId, SocketAddr, Option<ConnId>)>,
    ) {
        for place in 0..self.flows.len() {
            while start + self.flows[place].next as Micros <= now {
                self.flows[place].next += self.flows[place].every;
                if let Some(to) = to(self.next).filter(|_| lasts) {
                    self.connect(net, now, place, to, now + RESPONSE_TIMEOUT, connection_log);
                }
            }
        }
        let late = |b: &MisbehavingClient| !b.is_counted && now >= b.connected_at + response_timeout(b.kind);
        for client in self.clients.values_mut().filter(|b| late(b)) {
            client.is_counted = true;
            self.outcomes[client.flow].neither += 1;
        }
    }

    fn connect(
        &mut self,
        net: &mut Net,
        now: Micros,
        place: usize,
        (balancer, to, other): (BalancerId, SocketAddr, Option<ConnId>),
        storms: Micros,
        connection_log: &mut ConnectionLog,
    ) {
        let (id, kind) = (self.next, self.flows[place].kind);
        self.next += 1;
        let Ok(mut connection) = net.connect(to, Role::MisbehavingClient(id)) else { return };
        let line = self.first_line(kind, id, other);
        connection_log.record_misbehaving(line.trim_end().as_bytes());
        connection.send(net, line.as_bytes());
        let left = match kind {
            Kind::EndlessLine | Kind::HugeValue => HUGE_BYTES,
            _ => 0,
        };
        if kind == Kind::Half {
            connection.finish(net);
        }
        self.clients.insert(
            id,
            MisbehavingClient {
                connection,
                balancer,
                address: to,
                kind,
                flow: place,
                connected_at: now,
                bytes_left: left,
                is_counted: false,
                retries_until: storms,
            },
        );
    }

    /// What one says first.
    fn first_line(&self, kind: Kind, id: u64, other: Option<ConnId>) -> String {
        let own = ID_PREFIX | id;
        let (class, tenant) = (&self.class, &self.tenant);
        let open = |id: &str, class: &str, wait: &str, more: &str| {
            format!("OPEN {id} {own:x} c={class},t={tenant},d={wait}{more}\r\n")
        };
        let id_text = format!("{own:x}");
        match kind {
            Kind::EndlessLine | Kind::Silent => String::new(),
            Kind::HugeValue => open(&id_text, class, "2000", ",x=").trim_end().to_owned(),
            Kind::WrongNumber => {
                let odd = [",h=-5", ",g=-1", ",h=1e400", ",g=11112222333344445555"][id as usize % 4];
                open(&id_text, class, "2000", odd)
            }
            Kind::UnknownClass | Kind::Again => open(&id_text, "no-such-class", "2000", ""),
            Kind::BadDeadline => open(&id_text, class, ["soon", "-1", "NaN", "1e99"][id as usize % 4], ""),
            Kind::NoId => format!("OPEN {own:x} c={class},t={tenant},d=2000\r\n"),
            Kind::StolenId => {
                open(&other.map_or(id_text.clone(), |c| format!("{:x}", c.0)), class, "2000", ",bad=1")
            }
            Kind::Half => format!("OPEN {own:x} {own:x} c="),
            Kind::Commands => open(&id_text, class, "2000", ",bad=1").repeat(COMMAND_COUNT),
        }
    }

    /// A bad client's connection has something.
    pub fn on_ready(
        &mut self,
        net: &mut Net,
        now: Micros,
        id: u64,
        ready: Ready,
        connection_log: &mut ConnectionLog,
        observations: &mut Observations,
    ) {
        let Some(client) = self.clients.get_mut(&id) else { return };
        client.connection.on_ready(net, ready);
        while client.bytes_left > 0
            && client.connection.is_up()
            && client.connection.is_flushed()
            && client.connection.ended().is_none()
        {
            let n = client.bytes_left.min(CHUNK_BYTES);
            client.bytes_left -= n;
            client.connection.send(net, &[b'x'; CHUNK_BYTES][..n]);
            if client.bytes_left == 0 && client.kind == Kind::HugeValue {
                client.connection.send(net, b"\r\n");
            }
        }
        let outcome = &mut self.outcomes[client.flow];
        // What is sent in excess of a line says nothing.
        while let Ok(Some(line)) = client.connection.next_line() {
            let found = parse_message(line);
            match found {
                Message::Accepted(_) => {
                    outcome.served += 1;
                    observations.push((
                        client.balancer,
                        ConnectionObservation::MisbehavingClientServed(ConnId(ID_PREFIX | id)).into(),
                    ));
                }
                Message::Rejected(_) | Message::Failed if !client.is_counted => {
                    client.is_counted = true;
                    outcome.refused += 1;
                }
                _ => {}
            }
        }
        client.connection.compact(net);
        if client.connection.ended().is_none() {
            return;
        }
        let client = self.clients.remove(&id).expect("it was just there");
        let outcome = &mut self.outcomes[client.flow];
        // One that was refused because nobody listens is owed nothing by a process.
        if client.connection.is_up() {
            outcome.came += 1;
            if !client.is_counted {
                outcome.closed += 1;
            }
        }
        let (up, place, to, storms) = (
            client.connection.is_up(),
            client.flow,
            (client.balancer, client.address, None),
            client.retries_until,
        );
        net.close(client.connection, End::Fin);
        if client.kind == Kind::Again && up && now < storms {
            self.connect(net, now, place, to, storms, connection_log);
        }
    }

    /// Ends those that are still open, when the run is over.
    pub fn stop(&mut self, net: &mut Net) {
        for (_, client) in std::mem::take(&mut self.clients) {
            self.outcomes[client.flow].came += u64::from(client.connection.is_up());
            net.close(client.connection, End::Reset);
        }
    }
}

/// How long an error or a close may take.
fn response_timeout(kind: Kind) -> Micros {
    if matches!(kind, Kind::EndlessLine | Kind::HugeValue) {
        LARGE_INPUT_RESPONSE_TIMEOUT
    } else {
        RESPONSE_TIMEOUT
    }
}
