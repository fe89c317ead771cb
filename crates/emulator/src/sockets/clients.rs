//! The usual clients' side: a connection to a balancer each, one first line, and a line now and then once it stands.
//!
//! The world says who comes, how long they wait and when they leave. What only sockets show is judged here: answers
//! no node made, and lines that come back late, changed or not at all.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use serde::Serialize;
use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_units::Micros;

use super::clock::Distribution;
use super::connection_log::ConnectionLog;
use super::harness::{ConnectionObservation, Observations};
use super::lines::LineConnection;
use super::net::{Net, Ready, Role};
use crate::edge::{Answer, BalancerId, ConnId, End, FromBalancer, LinkId, RequestLine};

/// A client that has finished its sending closes after this at the latest.
const LINGER: Micros = 5_000_000;

/// What only the sockets show of the clients' connections.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Facts {
    /// Lines that clients sent on standing connections.
    pub lines: u64,
    /// Lines that came back.
    pub returned: u64,
    /// How long they took.
    pub round: Distribution,
    /// Lines that no node had sent on this connection.
    pub foreign: u64,
    /// Answers that no node had made.
    pub forged: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// The answer is awaited.
    Waits,
    /// It stands on this link.
    Stands(LinkId),
    /// Answered otherwise, moved or served to its end; the balancer's end is awaited.
    Over,
    /// The client has left and only closes.
    Left,
}

#[derive(Debug)]
struct Client {
    wire: LineConnection,
    who: BalancerId,
    stage: Stage,
    /// Lines that have not come back: when sent, and their number.
    out: VecDeque<(Micros, u32)>,
    number: u32,
    /// Its first line, until it has been written.
    ask: Option<(RequestLine, Micros)>,
}

/// The usual clients.
#[derive(Debug)]
pub struct Clients {
    clients: BTreeMap<ConnId, Client>,
    line_every: Micros,
    /// Whose next line is due when, in order: the period is the same for all.
    lines: VecDeque<(Micros, ConnId)>,
    /// Who closes then, in order.
    closing: VecDeque<(Micros, ConnId)>,
    /// What has been seen.
    pub facts: Facts,
}

impl Clients {
    /// Nobody yet; on standing connections a line is sent this often.
    pub fn new(line_every: Micros) -> Self {
        Clients {
            clients: BTreeMap::new(),
            line_every: line_every.max(1_000),
            lines: VecDeque::new(),
            closing: VecDeque::new(),
            facts: Facts::default(),
        }
    }

    /// How many stand at each of so many balancers.
    pub fn standing(&self, balancers: usize) -> Vec<usize> {
        let mut all = vec![0; balancers];
        let stand = self.clients.values().filter(|c| matches!(c.stage, Stage::Stands(_)));
        stand.for_each(|c| all[c.who.0 as usize] += 1);
        all
    }

    /// The link on which a connection stands, if it does.
    pub fn stands(&self, conn: ConnId) -> Option<LinkId> {
        match self.clients.get(&conn)?.stage {
            Stage::Stands(link) => Some(link),
            _ => None,
        }
    }

    /// Some client that waits or stands at this balancer.
    pub fn any_of(&self, who: BalancerId) -> Option<ConnId> {
        let here = |c: &Client| c.who == who && matches!(c.stage, Stage::Waits | Stage::Stands(_));
        self.clients.iter().rev().take(64).find(|(_, c)| here(c)).map(|(conn, _)| *conn)
    }

    /// A client comes with this first line.
    pub fn comes(
        &mut self,
        net: &mut Net,
        (who, to): (BalancerId, SocketAddr),
        (ask, left): (RequestLine, Micros),
        line: &str,
        did: &mut Observations,
    ) {
        let conn = ask.conn;
        match net.connect(to, Role::Client(conn)) {
            Ok(mut wire) => {
                wire.say(net, line.as_bytes());
                let (stage, out, ask) = (Stage::Waits, VecDeque::new(), Some((ask, left)));
                let client = Client { wire, who, stage, out, number: 0, ask };
                self.clients.insert(conn, client);
            }
            // Refused at once, or no port is left for it; either way it does not reach the balancer.
            Err(_) => did.push((who, FromBalancer::Refused(conn).into())),
        }
    }

    /// A client's connection has something.
    pub fn ready(
        &mut self,
        net: &mut Net,
        now: Micros,
        conn: ConnId,
        ready: Ready,
        book: &ConnectionLog,
        did: &mut Observations,
    ) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.wire.ready(net, ready);
        let who = client.who;
        if client.wire.is_up() && client.wire.is_flushed() {
            did.extend(
                client.ask.take().map(|(ask, left)| (who, ConnectionObservation::Asked(ask, left).into())),
            );
        }
        loop {
            let line = match client.wire.line() {
                Ok(Some(line)) => line,
                Ok(None) => break,
                // Nothing that a node sends is so long.
                Err(_) => {
                    self.facts.foreign += 1;
                    let held = client.wire.held().len();
                    client.wire.take(held);
                    break;
                }
            };
            match (client.stage, parse_message(line)) {
                (Stage::Waits, found) => {
                    let answer = match found {
                        Message::Accepted(receipt) => match book.receipt(conn, receipt) {
                            Some(link) => Answer::Up(link),
                            None => Answer::Forged,
                        },
                        Message::Rejected(ms) => Answer::Busy(ms.unwrap_or(0).saturating_mul(1000)),
                        Message::Failed => Answer::Err,
                        Message::Migrate => Answer::Move,
                        _ => Answer::Other,
                    };
                    client.stage = match answer {
                        Answer::Up(link) => {
                            self.lines.push_back((now + self.line_every, conn));
                            Stage::Stands(link)
                        }
                        _ => Stage::Over,
                    };
                    self.facts.forged += u64::from(answer == Answer::Forged);
                    did.push((who, FromBalancer::Answer(conn, answer).into()));
                }
                (Stage::Stands(_), Message::Migrate) => {
                    client.stage = Stage::Over;
                    did.push((who, FromBalancer::Answer(conn, Answer::Move).into()));
                }
                (Stage::Stands(_), Message::Completed) => client.stage = Stage::Over,
                (Stage::Stands(_), Message::LoadReport(_)) => {
                    did.push((who, ConnectionObservation::AtClient(conn).into()))
                }
                (Stage::Stands(_), _) => match client.out.front().copied() {
                    Some((sent, number)) if line == said(conn, number).as_bytes() => {
                        client.out.pop_front();
                        self.facts.returned += 1;
                        self.facts.round.record(now - sent);
                        did.push((who, ConnectionObservation::AtClient(conn).into()));
                    }
                    _ => {
                        self.facts.foreign += 1;
                        let sight = if line.ends_with(b"MOVE") {
                            ConnectionObservation::MoveInLine
                        } else {
                            ConnectionObservation::Changed
                        };
                        did.push((who, sight(conn).into()));
                    }
                },
                _ => {}
            }
        }
        client.wire.tidy(net);
        let Some(how) = client.wire.ended() else { return };
        let client = self.clients.remove(&conn).expect("it was just there");
        match client.stage {
            Stage::Waits if !client.wire.is_up() => did.push((who, FromBalancer::Refused(conn).into())),
            Stage::Left => {}
            _ => did.push((who, FromBalancer::EndClient(conn, how).into())),
        }
        net.close(client.wire, End::Fin);
    }

    /// A client ends its connection.
    pub fn leaves(&mut self, net: &mut Net, now: Micros, conn: ConnId, how: End) {
        let Some(client) = self.clients.get_mut(&conn) else { return };
        client.stage = Stage::Left;
        match how {
            End::Fin => {
                client.wire.finish(net);
                self.closing.push_back((now + LINGER, conn));
            }
            End::Reset => {
                let client = self.clients.remove(&conn).expect("it was just there");
                net.close(client.wire, End::Reset);
            }
        }
    }

    /// When something is due next.
    pub fn next_due(&self) -> Micros {
        let fronts = [&self.lines, &self.closing].map(|q| q.front().map_or(Micros::MAX, |e| e.0));
        fronts.into_iter().min().unwrap_or(Micros::MAX)
    }

    /// Does what is due; each due time goes to `late` with the time of its doing.
    pub fn due(&mut self, net: &mut Net, now: Micros, late: &mut Distribution, did: &mut Observations) {
        while let Some((due, conn)) = self.lines.front().copied().filter(|e| e.0 <= now) {
            self.lines.pop_front();
            let Some(client) = self.clients.get_mut(&conn) else { continue };
            if !matches!(client.stage, Stage::Stands(_)) {
                continue;
            }
            late.record(now - due);
            // From the due time and not from now: lateness must not thin the lines out.
            self.lines.push_back((due + self.line_every, conn));
            client.number += 1;
            client.out.push_back((now, client.number));
            self.facts.lines += 1;
            client.wire.say(net, format!("{}\r\n", said(conn, client.number)).as_bytes());
            did.push((client.who, ConnectionObservation::Wrote(conn).into()));
        }
        while let Some((_, conn)) = self.closing.front().copied().filter(|e| e.0 <= now) {
            self.closing.pop_front();
            if let Some(client) = self.clients.remove(&conn) {
                net.close(client.wire, End::Reset);
            }
        }
    }
}

/// The line of this number on a connection.
fn said(conn: ConnId, number: u32) -> String {
    format!("M {:x} {number}", conn.0)
}
