//! Well-behaved clients: each opens a connection to a balancer, sends one first line, and a line at intervals once the
//! connection is established.
//!
//! The world decides which clients connect, how long each waits and when it leaves. This module records what the world
//! does not model: receipts that no node issued, and lines that come back late, modified or not at all.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::Serialize;
use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_units::Micros;

use super::clock::Distribution;
use super::connection_log::ConnectionLog;
use super::harness::{BalancerObservation, ConnectionObservation, Observations};
use super::lines::{LineConnection, TooLong};
use super::net::{Net, Ready, Role};
use crate::edge::{Answer, BalancerId, ConnId, End, FromBalancer, LinkId, RequestLine};

/// A client that has shut down its sending side closes the connection after this time at the latest.
const CLOSE_TIMEOUT: Micros = 5_000_000;

/// Counts of events on the clients' connections that can only be observed on sockets.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ClientStatistics {
    /// Lines that clients sent on established connections.
    pub lines: u64,
    /// Lines that were returned to the client unmodified.
    pub returned: u64,
    /// Round-trip times of the returned lines.
    pub round: Distribution,
    /// Lines received that the node had not sent on that connection.
    pub foreign: u64,
    /// Acceptances whose receipt no node had issued for that connection.
    pub forged: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The client waits for the answer to its first line.
    AwaitingAnswer,
    /// The connection is established on this link.
    Established(LinkId),
    /// The request was rejected or has failed, or the node has migrated or completed the connection; the client waits
    /// for the balancer to close it.
    Over,
    /// The client has shut down its sending side.
    Closing,
}

#[derive(Debug)]
struct Client {
    connection: LineConnection,
    balancer: BalancerId,
    stage: Stage,
    /// Lines that have not been returned: the time of sending and the line's number.
    outstanding_lines: VecDeque<(Micros, u32)>,
    last_line: u32,
    /// The request and the client's remaining timeout, until the first line has been written out.
    request: Option<(RequestLine, Micros)>,
}

/// A line from a balancer, by its meaning at the stage of the client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientInput {
    /// The answer to the first line.
    Answer(Answer),
    /// The client is to migrate.
    Migrate,
    /// The node has completed the connection.
    Completed,
    /// A load report of the node.
    LoadReport,
    /// The oldest outstanding line, unmodified, and when it was sent.
    Returned(Micros),
    /// A line that the node had not sent on this connection.
    Foreign {
        /// The line ends like the message to migrate.
        ends_with_move: bool,
    },
    /// A line after the connection has ended for the client.
    Ignored,
}

/// The answer in a message to a client that waits for one.
fn answer_in(message: &Message<'_>, conn: ConnId, connection_log: &ConnectionLog) -> Answer {
    match message {
        Message::Accepted(receipt) => {
            connection_log.link_of_receipt(conn, receipt).map_or(Answer::Forged, Answer::Up)
        }
        Message::Rejected(ms) => Answer::Busy(ms.unwrap_or(0).saturating_mul(1000)),
        Message::Failed => Answer::Err,
        Message::Migrate => Answer::Move,
        _ => Answer::Other,
    }
}

impl Client {
    /// Removes the next received line and classifies it.
    fn next_input(
        &mut self,
        conn: ConnId,
        connection_log: &ConnectionLog,
    ) -> Result<Option<ClientInput>, TooLong> {
        let Some(line) = self.connection.next_line()? else { return Ok(None) };
        Ok(Some(match (self.stage, parse_message(line)) {
            (Stage::AwaitingAnswer, message) => {
                ClientInput::Answer(answer_in(&message, conn, connection_log))
            }
            (Stage::Established(_), Message::Migrate) => ClientInput::Migrate,
            (Stage::Established(_), Message::Completed) => ClientInput::Completed,
            (Stage::Established(_), Message::LoadReport(_)) => ClientInput::LoadReport,
            (Stage::Established(_), _) => match self.outstanding_lines.front() {
                Some((sent, number)) if line == line_text(conn, *number).as_bytes() => {
                    ClientInput::Returned(*sent)
                }
                _ => ClientInput::Foreign { ends_with_move: line.ends_with(b"MOVE") },
            },
            (Stage::Over | Stage::Closing, _) => ClientInput::Ignored,
        }))
    }

    /// Handles a line. Returns what is observed.
    fn on_input(
        &mut self,
        now: Micros,
        conn: ConnId,
        input: ClientInput,
        statistics: &mut ClientStatistics,
    ) -> Option<(BalancerId, BalancerObservation)> {
        let observation = match input {
            ClientInput::Answer(answer) => {
                self.stage = match answer {
                    Answer::Up(link) => Stage::Established(link),
                    _ => Stage::Over,
                };
                statistics.forged += u64::from(answer == Answer::Forged);
                FromBalancer::Answer(conn, answer).into()
            }
            ClientInput::Migrate => {
                self.stage = Stage::Over;
                FromBalancer::Answer(conn, Answer::Move).into()
            }
            ClientInput::Completed => {
                self.stage = Stage::Over;
                return None;
            }
            ClientInput::LoadReport => ConnectionObservation::LineAtClient(conn).into(),
            ClientInput::Returned(sent) => {
                self.outstanding_lines.pop_front();
                statistics.returned += 1;
                statistics.round.record(now - sent);
                ConnectionObservation::LineAtClient(conn).into()
            }
            ClientInput::Foreign { ends_with_move } => {
                statistics.foreign += 1;
                if ends_with_move {
                    ConnectionObservation::MoveInLine(conn).into()
                } else {
                    ConnectionObservation::Changed(conn).into()
                }
            }
            ClientInput::Ignored => return None,
        };
        Some((self.balancer, observation))
    }
}

/// All well-behaved clients of a run.
#[derive(Debug)]
pub struct Clients {
    clients: BTreeMap<ConnId, Client>,
    line_interval: Micros,
    /// When each client's next line is due; in order of time, since all clients have the same interval.
    due_lines: VecDeque<(Micros, ConnId)>,
    /// When each closing client closes its connection at the latest, in order of time.
    closing: VecDeque<(Micros, ConnId)>,
    /// Counts so far.
    pub statistics: ClientStatistics,
}

impl Clients {
    /// Creates an empty set of clients that send a line on each established connection every `line_interval`.
    pub fn new(line_interval: Micros) -> Self {
        Clients {
            clients: BTreeMap::new(),
            line_interval: line_interval.max(1_000),
            due_lines: VecDeque::new(),
            closing: VecDeque::new(),
            statistics: ClientStatistics::default(),
        }
    }

    /// The number of established connections at each balancer.
    pub fn established_per_balancer(&self, balancers: usize) -> Vec<usize> {
        let mut all = vec![0; balancers];
        let established = self.clients.values().filter(|c| matches!(c.stage, Stage::Established(_)));
        established.for_each(|c| all[c.balancer.0 as usize] += 1);
        all
    }

    /// The link of a connection, if it is established.
    pub fn established_link(&self, conn: ConnId) -> Option<LinkId> {
        match self.clients.get(&conn)?.stage {
            Stage::Established(link) => Some(link),
            _ => None,
        }
    }

    /// A connection of this balancer that is established or awaits its answer, if the 64 latest connections of all
    /// balancers include one.
    pub fn any_active(&self, balancer: BalancerId) -> Option<ConnId> {
        let here = |c: &Client| {
            c.balancer == balancer && matches!(c.stage, Stage::AwaitingAnswer | Stage::Established(_))
        };
        self.clients.iter().rev().take(64).find(|(_, c)| here(c)).map(|(conn, _)| *conn)
    }

    /// Connects a client and sends its first line.
    pub fn connect(
        &mut self,
        net: &mut Net,
        (balancer, to): (BalancerId, SocketAddr),
        (request, remaining): (RequestLine, Micros),
        line: &str,
        observations: &mut Observations,
    ) {
        let conn = request.conn;
        match net.connect(to, Role::Client(conn)) {
            Ok(mut connection) => {
                connection.send(net, line.as_bytes());
                let (stage, outstanding_lines, request) =
                    (Stage::AwaitingAnswer, VecDeque::new(), Some((request, remaining)));
                let client = Client { connection, balancer, stage, outstanding_lines, last_line: 0, request };
                self.clients.insert(conn, client);
            }
            // The connection was refused at once, or no local port is free: it does not reach the balancer either way.
            Err(_) => observations.push((balancer, FromBalancer::ConnectionRefused(conn).into())),
        }
    }

    /// Handles readiness of a client's connection.
    pub fn on_ready(
        &mut self,
        net: &mut Net,
        now: Micros,
        conn: ConnId,
        ready: Ready,
        connection_log: &ConnectionLog,
        observations: &mut Observations,
    ) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.connection.on_ready(net, ready);
        let balancer = client.balancer;
        if client.connection.is_up() && client.connection.is_flushed() {
            observations.extend(client.request.take().map(|(request, remaining)| {
                (balancer, ConnectionObservation::RequestSent(request, remaining).into())
            }));
        }
        loop {
            match client.next_input(conn, connection_log) {
                Ok(Some(input)) => {
                    observations.extend(client.on_input(now, conn, input, &mut self.statistics));
                    if matches!(input, ClientInput::Answer(Answer::Up(_))) {
                        self.due_lines.push_back((now + self.line_interval, conn));
                    }
                }
                Ok(None) => break,
                // Nodes send no line that is longer than the protocol allows.
                Err(_) => {
                    self.statistics.foreign += 1;
                    let held = client.connection.buffered().len();
                    client.connection.consume(held);
                    break;
                }
            }
        }
        client.connection.compact(net);
        let Some(how) = client.connection.ended() else { return };
        let client = self.clients.remove(&conn).expect("the client is in the map");
        match client.stage {
            Stage::AwaitingAnswer if !client.connection.is_up() => {
                observations.push((balancer, FromBalancer::ConnectionRefused(conn).into()));
            }
            Stage::Closing => {}
            _ => observations.push((balancer, FromBalancer::EndClient(conn, how).into())),
        }
        net.close(client.connection, End::Fin);
    }

    /// Closes a client's connection from the client's side.
    pub fn close(&mut self, net: &mut Net, now: Micros, conn: ConnId, how: End) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.stage = Stage::Closing;
        match how {
            End::Fin => {
                client.connection.finish(net);
                self.closing.push_back((now + CLOSE_TIMEOUT, conn));
            }
            End::Reset => {
                let client = self.clients.remove(&conn).expect("the client is in the map");
                net.close(client.connection, End::Reset);
            }
        }
    }

    /// The time of the next due line or close.
    pub fn next_due(&self) -> Micros {
        let fronts = [&self.due_lines, &self.closing].map(|q| q.front().map_or(Micros::MAX, |e| e.0));
        fronts.into_iter().min().unwrap_or(Micros::MAX)
    }

    /// Sends due lines and closes connections; records each line's lateness in `late`.
    pub fn run_due(
        &mut self,
        net: &mut Net,
        now: Micros,
        late: &mut Distribution,
        observations: &mut Observations,
    ) {
        while let Some((due, conn)) = self.due_lines.front().copied().filter(|e| e.0 <= now) {
            self.due_lines.pop_front();
            let Some(client) = self.clients.get_mut(&conn) else { continue };
            if !matches!(client.stage, Stage::Established(_)) {
                continue;
            }
            late.record(now - due);
            // The interval counts from the due time: a late driver must not send fewer lines.
            self.due_lines.push_back((due + self.line_interval, conn));
            client.last_line += 1;
            client.outstanding_lines.push_back((now, client.last_line));
            self.statistics.lines += 1;
            client.connection.send(net, format!("{}\r\n", line_text(conn, client.last_line)).as_bytes());
            observations.push((client.balancer, ConnectionObservation::LineSent(conn).into()));
        }
        while let Some((_, conn)) = self.closing.front().copied().filter(|e| e.0 <= now) {
            self.closing.pop_front();
            if let Some(client) = self.clients.remove(&conn) {
                net.close(client.connection, End::Reset);
            }
        }
    }
}

/// The text of a connection's line with this number.
fn line_text(conn: ConnId, number: u32) -> String {
    format!("M {:x} {number}", conn.0)
}
