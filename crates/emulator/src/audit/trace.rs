//! The trace of a connection or a node: the events before a violation. It is small because 100,000 connections may have
//! one at the same time.

use shorewharf_units::Micros;
use std::fmt;

use serde::Serialize;

use super::Health;
use crate::edge::{Answer, End, NodeId, NodeMessage, Stage};

/// Number of events that a trace keeps.
const TRACE_CAPACITY: usize = 12;
/// How many of the first events are never dropped: the beginning explains a violation better than the middle.
const KEPT_FIRST: usize = 3;

/// An event of a trace, as it is reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TraceEntry {
    /// Time in microseconds since the start of the day.
    pub at: Micros,
    /// Description of the event.
    pub what: String,
}

/// An event of a trace. Lines of established connections and the figures in messages are left out, to keep it small.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum TraceEvent {
    ClientRequest { left_ms: u32 },
    LinkStarted(NodeId),
    LinkFailed(NodeId),
    LinkUp(NodeId),
    AlreadyEstablished(NodeId),
    NodeMessage(NodeId, MessageKind),
    LinkClosedByNode(NodeId, End),
    LinkClosedByBalancer(NodeId, End),
    Answered(MessageKind),
    ClientClosedByBalancer(End),
    ClosedByClient(End),
    // Events of nodes.
    Listed(Stage),
    NodeHealth(Health),
}

/// The kind of a message, without its figures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum MessageKind {
    Up,
    Busy,
    Err,
    Move,
    Bye,
    Load,
    Reply,
    Pong,
    Junk,
    Forged,
}

impl MessageKind {
    fn text(self) -> &'static str {
        match self {
            MessageKind::Up => "UP",
            MessageKind::Busy => "BUSY",
            MessageKind::Err => "ERR",
            MessageKind::Move => "MOVE",
            MessageKind::Bye => "BYE",
            MessageKind::Load => "LOAD",
            MessageKind::Reply => "a reply",
            MessageKind::Pong => "PONG",
            MessageKind::Junk => "an invalid line",
            MessageKind::Forged => "UP that no node sent",
        }
    }
}

impl TraceEvent {
    pub fn answered(answer: Answer) -> Self {
        TraceEvent::Answered(match answer {
            Answer::Up(_) => MessageKind::Up,
            Answer::Busy(_) => MessageKind::Busy,
            Answer::Err => MessageKind::Err,
            Answer::Move => MessageKind::Move,
            Answer::Forged => MessageKind::Forged,
            Answer::Other => MessageKind::Junk,
        })
    }

    pub fn node_message(node: NodeId, message: NodeMessage) -> Self {
        let kind = match message {
            NodeMessage::Up => MessageKind::Up,
            NodeMessage::Busy => MessageKind::Busy,
            NodeMessage::Err => MessageKind::Err,
            NodeMessage::Move => MessageKind::Move,
            NodeMessage::Bye => MessageKind::Bye,
            NodeMessage::Load(_) | NodeMessage::Delay(_) => MessageKind::Load,
            NodeMessage::Reply => MessageKind::Reply,
            NodeMessage::Pong => MessageKind::Pong,
            NodeMessage::Junk => MessageKind::Junk,
        };
        TraceEvent::NodeMessage(node, kind)
    }
}

fn end_text(end: End) -> &'static str {
    match end {
        End::Fin => "closed",
        End::Reset => "reset",
    }
}

fn stage_text(stage: Stage) -> &'static str {
    match stage {
        Stage::Ready => "ready",
        Stage::Draining => "draining",
        Stage::Gone => "gone",
    }
}

impl fmt::Display for TraceEvent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            TraceEvent::ClientRequest { left_ms } => write!(f, "client sends its request, {left_ms} ms left"),
            TraceEvent::LinkStarted(n) => write!(f, "link to node {} started", n.0),
            TraceEvent::LinkFailed(n) => write!(f, "link to node {} failed", n.0),
            TraceEvent::LinkUp(n) => write!(f, "link to node {} is up", n.0),
            TraceEvent::AlreadyEstablished(n) => write!(f, "established at node {} before the run", n.0),
            TraceEvent::NodeMessage(n, kind) => write!(f, "node {} sends {}", n.0, kind.text()),
            TraceEvent::LinkClosedByNode(n, e) => write!(f, "link {} by node {}", end_text(e), n.0),
            TraceEvent::LinkClosedByBalancer(n, e) => {
                write!(f, "link to node {} {} by the balancer", n.0, end_text(e))
            }
            TraceEvent::Answered(kind) => write!(f, "balancer answers {}", kind.text()),
            TraceEvent::ClientClosedByBalancer(e) => {
                write!(f, "client's connection {} by the balancer", end_text(e))
            }
            TraceEvent::ClosedByClient(e) => write!(f, "client's connection {} by the client", end_text(e)),
            TraceEvent::Listed(s) => write!(f, "discovery lists the node as {}", stage_text(s)),
            TraceEvent::NodeHealth(health) => write!(f, "the node {}", health.text()),
        }
    }
}

/// The first few events and the most recent ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Trace(Vec<(Micros, TraceEvent)>);

impl Trace {
    pub fn push(&mut self, at: Micros, event: TraceEvent) {
        if self.0.len() == TRACE_CAPACITY {
            self.0.remove(KEPT_FIRST);
        }
        self.0.push((at, event));
    }

    pub fn entries(&self) -> impl Iterator<Item = TraceEntry> + '_ {
        self.0.iter().map(|(at, event)| TraceEntry { at: *at, what: event.to_string() })
    }
}

/// The events of several traces in order of time.
pub(super) fn merge_traces<'a>(traces: impl IntoIterator<Item = &'a Trace>) -> Vec<TraceEntry> {
    let mut all: Vec<TraceEntry> = traces.into_iter().flat_map(Trace::entries).collect();
    all.sort_by_key(|entry| entry.at);
    all
}

/// Formats a time in seconds with three decimal places, as reports write it.
pub(super) fn format_seconds(t: Micros) -> String {
    format!("{}.{:03} s", t / 1_000_000, t / 1_000 % 1_000)
}
