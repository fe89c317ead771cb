//! A link from a balancer to a node: its stage, and what a node does with the lines that it receives on it.

use shorewharf_protocol::message::Message;
use shorewharf_units::Micros;

use super::connection_log::{ConnectionLog, FirstLine};
use super::harness::{BalancerObservation, ConnectionObservation, Observations};
use super::lines::{LineConnection, TooLong};
use super::net::Net;
use crate::edge::{BalancerId, ConnId, FromBalancer, LinkId, NodeId, Reachability, ToBalancer};

/// The largest number of bytes of a connection that a hung node keeps to return later. Clients are migrated or give up
/// before they have sent as many.
const MAX_UNSENT_REPLY_BYTES: usize = 64 << 10;

/// How far a link has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// The first line has not been received.
    FirstLine,
    /// The link carries probes.
    Probes,
    /// A request has been received; the node has not accepted it.
    AwaitingAnswer,
    /// The node has accepted the request.
    Established,
    /// The node has closed the link, or rejected its first line.
    Over,
}

/// A link.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) connection: LineConnection,
    pub(super) balancer: BalancerId,
    pub(super) node: NodeId,
    pub(super) conn: Option<ConnId>,
    pub(super) stage: Stage,
    /// Returned lines that a hung node has not sent.
    pub(super) unsent_replies: Vec<u8>,
    /// Messages of the node that a fault of the link blocks.
    pub(super) withheld: Vec<ToBalancer>,
}

/// A line from a balancer, by its meaning at the stage of its link.
#[derive(Debug)]
pub(super) enum LinkInput {
    /// A probe.
    Probe,
    /// The first line of a link that carries no probes.
    Request(FirstLine),
    /// A client's line on an established link, with its line end.
    Line(Vec<u8>),
    /// A line before the node has accepted the request.
    Early,
    /// A line on a link that the node has ended.
    Ignored,
}

/// What the links of a node have in common while one of them is handled.
pub(super) struct LinkContext<'a> {
    pub(super) net: &'a mut Net,
    pub(super) id: LinkId,
    /// How the node responds on this link now.
    pub(super) reachability: Reachability,
    /// Before the day begins, nodes accept every request at once.
    pub(super) is_before_day: bool,
    pub(super) connection_log: &'a mut ConnectionLog,
    pub(super) observations: &'a mut Observations,
}

impl Link {
    /// Removes the next received line and classifies it.
    ///
    /// # Errors
    ///
    /// Fails if the line is longer than the protocol allows.
    pub(super) fn next_input(&mut self, context: &mut LinkContext<'_>) -> Result<Option<LinkInput>, TooLong> {
        let Some(line) = self.connection.next_line()? else { return Ok(None) };
        Ok(Some(match (self.stage, line) {
            (Stage::FirstLine | Stage::Probes, b"PING" | b"STATS") => LinkInput::Probe,
            (Stage::FirstLine, line) => {
                LinkInput::Request(context.connection_log.classify_first_line(self.balancer, line))
            }
            (Stage::Established, line) => LinkInput::Line([line, b"\r\n"].concat()),
            (Stage::AwaitingAnswer | Stage::Probes, _) => LinkInput::Early,
            (Stage::Over, _) => LinkInput::Ignored,
        }))
    }

    /// Handles a line.
    pub(super) fn on_input(&mut self, context: &mut LinkContext<'_>, input: LinkInput) {
        match input {
            LinkInput::Probe => self.on_probe(context),
            LinkInput::Request(FirstLine::Sent(conn, timeout)) => self.on_request(context, conn, timeout),
            LinkInput::Request(FirstLine::Unusable) => self.reject(context, &Message::Failed),
            LinkInput::Request(FirstLine::Unknown) => {
                self.reject(context, &Message::Malformed);
                self.observe(context, FromBalancer::MalformedRequest(self.node));
            }
            LinkInput::Line(line) => self.on_line(context, line),
            LinkInput::Early | LinkInput::Ignored => {}
        }
    }

    fn observe(&self, context: &mut LinkContext<'_>, observation: impl Into<BalancerObservation>) {
        context.observations.push((self.balancer, observation.into()));
    }

    fn on_probe(&mut self, context: &mut LinkContext<'_>) {
        if self.stage == Stage::FirstLine {
            self.observe(context, FromBalancer::Link { link: context.id, node: self.node, conn: None });
            self.observe(context, FromBalancer::Probe(context.id));
        } else if context.reachability == Reachability::Open {
            // The world models one probe per link; further ones are answered here.
            self.connection.send(context.net, Message::Pong.to_string().as_bytes());
        }
        self.stage = Stage::Probes;
    }

    fn on_request(&mut self, context: &mut LinkContext<'_>, conn: ConnId, timeout: Micros) {
        let id = context.id;
        (self.conn, self.stage) = (Some(conn), Stage::AwaitingAnswer);
        if context.is_before_day {
            let receipt = context.connection_log.accept(conn, id);
            self.stage = Stage::Established;
            self.connection.send(context.net, Message::Accepted(receipt.as_bytes()).to_string().as_bytes());
        }
        self.observe(context, FromBalancer::Link { link: id, node: self.node, conn: Some(conn) });
        self.observe(context, FromBalancer::Forward { link: id, timeout });
    }

    fn reject(&mut self, context: &mut LinkContext<'_>, answer: &Message<'_>) {
        self.stage = Stage::Over;
        self.connection.send(context.net, answer.to_string().as_bytes());
        self.connection.finish(context.net);
    }

    /// Returns a client's line, as nodes do.
    fn on_line(&mut self, context: &mut LinkContext<'_>, line: Vec<u8>) {
        if let Some(conn) = self.conn.filter(|_| !context.is_before_day) {
            self.observe(context, ConnectionObservation::LineAtNode(conn));
        }
        if context.reachability == Reachability::Mute {
            if self.unsent_replies.len() < MAX_UNSENT_REPLY_BYTES {
                self.unsent_replies.extend(line);
            }
            return;
        }
        self.connection.send(context.net, &line);
        if !context.is_before_day {
            self.observe(context, ConnectionObservation::LineReturned(context.id));
        }
    }
}
