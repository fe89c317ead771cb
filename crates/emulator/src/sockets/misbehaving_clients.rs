//! Misbehaving clients: they send invalid or oversized requests, or nothing. They send as fast as they can, and read
//! whatever is sent to them.
//!
//! The balancer must answer each with an error or close its connection in time, and must never accept its request.

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

/// The time after connecting within which an error or a close is due.
const RESPONSE_TIMEOUT: Micros = 3_000_000;
/// The same time for clients that send [`HUGE_BYTES`].
const LARGE_INPUT_RESPONSE_TIMEOUT: Micros = 6_000_000;
/// The length of the longest line or value in bytes.
const HUGE_BYTES: usize = 60 << 20;
/// The number of bytes that are passed to the operating system at once.
const CHUNK_BYTES: usize = 256 << 10;
/// The upper bits of misbehaving clients' connection ids, which keep them apart from those of well-behaved clients.
const ID_PREFIX: u64 = 0xbad0_0000_0000_0000;
/// The number of requests that a client of kind `commands` sends at once.
const COMMAND_COUNT: usize = 300;

/// The error of a day that names an unknown kind of misbehaving client.
#[derive(Debug, Error, PartialEq, Eq)]
#[error("bad_clients: '{0}' is not one of {known}", known = KINDS.map(|k| k.0).join(", "))]
pub struct UnknownKind(String);

/// How a client misbehaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    /// Sends [`HUGE_BYTES`] without a line end.
    EndlessLine,
    /// Sends a request with a value of [`HUGE_BYTES`].
    HugeValue,
    /// Sends a request with a load or a group that is out of range.
    InvalidNumber,
    /// Sends a request of a class that does not exist.
    UnknownClass,
    /// Sends a request with an invalid timeout.
    InvalidTimeout,
    /// Sends a request without a connection id.
    MissingId,
    /// Sends a request with the id of another client's connection.
    StolenId,
    /// Sends a part of a request and shuts down its sending side.
    PartialRequest,
    /// Sends [`COMMAND_COUNT`] requests at once.
    ManyRequests,
    /// Sends an invalid request, and reconnects at once when it is rejected.
    Reconnecting,
    /// Sends nothing.
    Silent,
}

/// The kinds and their names in scenario files.
const KINDS: [(&str, Kind); 11] = [
    ("endless-line", Kind::EndlessLine),
    ("huge-value", Kind::HugeValue),
    ("wrong-number", Kind::InvalidNumber),
    ("unknown-class", Kind::UnknownClass),
    ("bad-deadline", Kind::InvalidTimeout),
    ("no-id", Kind::MissingId),
    ("stolen-id", Kind::StolenId),
    ("half", Kind::PartialRequest),
    ("commands", Kind::ManyRequests),
    ("again", Kind::Reconnecting),
    ("silent", Kind::Silent),
];

/// How the balancers treated the misbehaving clients of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct MisbehaviorOutcome {
    /// Connections that were established; connections that were refused because nobody listened are not counted.
    pub came: u64,
    /// Clients that received an error.
    pub refused: u64,
    /// Clients whose connection was closed without an error.
    pub closed: u64,
    /// Clients that received neither an error nor a close in time.
    pub neither: u64,
    /// Requests that were accepted.
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
    /// The number of bytes still to be sent.
    bytes_left: usize,
    /// Whether its outcome has been counted: an error, or neither an error nor a close in time.
    is_counted: bool,
    /// Until when a client of kind `again` reconnects.
    retries_until: Micros,
}

#[derive(Debug)]
struct Flow {
    kind: Kind,
    /// The time between two clients, in microseconds.
    interval: f64,
    /// When the next client connects, on the day's clock.
    next: f64,
}

/// The misbehaving clients of a day.
#[derive(Debug)]
pub struct MisbehavingClients {
    flows: Vec<Flow>,
    names: Vec<String>,
    clients: BTreeMap<u64, MisbehavingClient>,
    next_id: u64,
    class: String,
    tenant: String,
    /// The outcomes by flow, in the day's order.
    pub outcomes: Vec<MisbehaviorOutcome>,
}

impl MisbehavingClients {
    /// Creates the flows of misbehaving clients that the day names.
    ///
    /// # Errors
    ///
    /// Fails if the day names an unknown kind of misbehaving client.
    pub fn new(day: &Day) -> Result<Self, UnknownKind> {
        let flow = |b: &BadClients| {
            let kind = KINDS.iter().find(|k| k.0 == b.kind).ok_or_else(|| UnknownKind(b.kind.clone()))?.1;
            let interval = 1e6 / b.per_s.max(1e-6);
            Ok(Flow { kind, interval, next: interval })
        };
        let name = |names: Option<&String>| names.cloned().unwrap_or_default();
        Ok(MisbehavingClients {
            flows: day.bad_clients.iter().map(flow).collect::<Result<_, _>>()?,
            names: day.bad_clients.iter().map(|b| b.kind.clone()).collect(),
            clients: BTreeMap::new(),
            next_id: 0,
            class: name(day.classes.first().map(|c| &c.name)),
            tenant: name(day.tenants.first().map(|t| &t.name)),
            outcomes: vec![MisbehaviorOutcome::default(); day.bad_clients.len()],
        })
    }

    /// The outcomes with the names of their kinds.
    pub fn report(&self) -> Vec<(String, MisbehaviorOutcome)> {
        self.names.iter().cloned().zip(self.outcomes.iter().copied()).collect()
    }

    /// The time of the next connection or response timeout, on the driver's clock; the day began at `start`.
    pub fn next_due(&self, start: Micros) -> Micros {
        let connect_due = self.flows.iter().map(|f| start + f.next as Micros);
        let response_due = self
            .clients
            .values()
            .filter(|b| !b.is_counted)
            .map(|b| b.connected_at + response_timeout(b.kind));
        connect_due.chain(response_due).min().unwrap_or(Micros::MAX)
    }

    /// Connects the clients that are due while `is_day`, and counts those whose response timeout has passed. `target`
    /// returns the balancer and its address for a client's number, and the id of another client's connection there.
    pub fn run_due(
        &mut self,
        net: &mut Net,
        now: Micros,
        start: Micros,
        is_day: bool,
        connection_log: &mut ConnectionLog,
        target: impl Fn(u64) -> Option<(BalancerId, SocketAddr, Option<ConnId>)>,
    ) {
        for flow in 0..self.flows.len() {
            while start + self.flows[flow].next as Micros <= now {
                self.flows[flow].next += self.flows[flow].interval;
                if let Some(target) = target(self.next_id).filter(|_| is_day) {
                    self.connect(net, now, flow, target, now + RESPONSE_TIMEOUT, connection_log);
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
        flow: usize,
        (balancer, address, other): (BalancerId, SocketAddr, Option<ConnId>),
        retries_until: Micros,
        connection_log: &mut ConnectionLog,
    ) {
        let (id, kind) = (self.next_id, self.flows[flow].kind);
        self.next_id += 1;
        let Ok(mut connection) = net.connect(address, Role::MisbehavingClient(id)) else { return };
        let line = self.first_line(kind, id, other);
        connection_log.record_misbehaving(line.trim_end().as_bytes());
        connection.send(net, line.as_bytes());
        let bytes_left = match kind {
            Kind::EndlessLine | Kind::HugeValue => HUGE_BYTES,
            _ => 0,
        };
        if kind == Kind::PartialRequest {
            connection.finish(net);
        }
        self.clients.insert(
            id,
            MisbehavingClient {
                connection,
                balancer,
                address,
                kind,
                flow,
                connected_at: now,
                bytes_left,
                is_counted: false,
                retries_until,
            },
        );
    }

    /// The first bytes that a client sends; `other` is the id of another client's connection.
    fn first_line(&self, kind: Kind, id: u64, other: Option<ConnId>) -> String {
        let own = ID_PREFIX | id;
        let (class, tenant) = (&self.class, &self.tenant);
        let open = |id: &str, class: &str, timeout: &str, more: &str| {
            format!("OPEN {id} {own:x} c={class},t={tenant},d={timeout}{more}\r\n")
        };
        let id_text = format!("{own:x}");
        match kind {
            Kind::EndlessLine | Kind::Silent => String::new(),
            Kind::HugeValue => open(&id_text, class, "2000", ",x=").trim_end().to_owned(),
            Kind::InvalidNumber => {
                let invalid = [",h=-5", ",g=-1", ",h=1e400", ",g=11112222333344445555"][id as usize % 4];
                open(&id_text, class, "2000", invalid)
            }
            Kind::UnknownClass | Kind::Reconnecting => open(&id_text, "no-such-class", "2000", ""),
            Kind::InvalidTimeout => open(&id_text, class, ["soon", "-1", "NaN", "1e99"][id as usize % 4], ""),
            Kind::MissingId => format!("OPEN {own:x} c={class},t={tenant},d=2000\r\n"),
            Kind::StolenId => {
                open(&other.map_or(id_text.clone(), |c| format!("{:x}", c.0)), class, "2000", ",bad=1")
            }
            Kind::PartialRequest => format!("OPEN {own:x} {own:x} c="),
            Kind::ManyRequests => open(&id_text, class, "2000", ",bad=1").repeat(COMMAND_COUNT),
        }
    }

    /// Handles readiness of a misbehaving client's connection.
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
        // A line that is too long is ignored.
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
        let client = self.clients.remove(&id).expect("the client is in the map");
        let outcome = &mut self.outcomes[client.flow];
        // A connection that was refused because nobody listened is not counted.
        if client.connection.is_up() {
            outcome.came += 1;
            if !client.is_counted {
                outcome.closed += 1;
            }
        }
        let was_up = client.connection.is_up();
        let target = (client.balancer, client.address, None);
        let (flow, retries_until) = (client.flow, client.retries_until);
        net.close(client.connection, End::Fin);
        if client.kind == Kind::Reconnecting && was_up && now < retries_until {
            self.connect(net, now, flow, target, retries_until, connection_log);
        }
    }

    /// Closes the remaining connections at the end of the run.
    pub fn stop(&mut self, net: &mut Net) {
        for (_, client) in std::mem::take(&mut self.clients) {
            self.outcomes[client.flow].came += u64::from(client.connection.is_up());
            net.close(client.connection, End::Reset);
        }
    }
}

/// The time after connecting within which a client of this kind is due an error or a close.
fn response_timeout(kind: Kind) -> Micros {
    if matches!(kind, Kind::EndlessLine | Kind::HugeValue) {
        LARGE_INPUT_RESPONSE_TIMEOUT
    } else {
        RESPONSE_TIMEOUT
    }
}
