//! The short memory of a connection or a node: what led to a break, kept small because 100,000 connections have one.

use shorewharf_units::Micros;
use std::fmt;

use serde::Serialize;

use super::Health;
use crate::edge::{Answer, End, NodeId, NodeMessage, Stage};

/// Steps that a ring keeps.
const TRACE_CAPACITY: usize = 12;
/// The first so many stay: how it began tells more than what was in between.
const FIRST: usize = 3;

/// A step of a trace as it is reported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct TraceEntry {
    /// When, microseconds since the day's start.
    pub at: Micros,
    /// What was seen.
    pub what: String,
}

/// What a step was. Small on purpose: lines of standing connections are not kept, and neither are figures.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum What {
    Asked { left_ms: u32 },
    Linked(NodeId),
    LinkFailed(NodeId),
    LinkUp(NodeId),
    Stands(NodeId),
    Said(NodeId, MessageKind),
    NodeEnded(NodeId, End),
    LinkEnded(NodeId, End),
    Answered(MessageKind),
    ClientCut(End),
    ClientEnded(End),
    // Of nodes.
    Listed(Stage),
    Is(Health),
}

/// A word without its figures.
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
            MessageKind::Junk => "nonsense",
            MessageKind::Forged => "UP that no node made",
        }
    }
}

impl What {
    pub fn answered(answer: Answer) -> Self {
        What::Answered(match answer {
            Answer::Up(_) => MessageKind::Up,
            Answer::Busy(_) => MessageKind::Busy,
            Answer::Err => MessageKind::Err,
            Answer::Move => MessageKind::Move,
            Answer::Forged => MessageKind::Forged,
            Answer::Other => MessageKind::Junk,
        })
    }

    pub fn node_message(node: NodeId, word: NodeMessage) -> Self {
        let word = match word {
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
        What::Said(node, word)
    }
}

fn end(end: End) -> &'static str {
    match end {
        End::Fin => "ended",
        End::Reset => "reset",
    }
}

fn stage(stage: Stage) -> &'static str {
    match stage {
        Stage::Ready => "ready",
        Stage::Draining => "draining",
        Stage::Gone => "gone",
    }
}

impl fmt::Display for What {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            What::Asked { left_ms } => write!(f, "client asks, {left_ms} ms left"),
            What::Linked(n) => write!(f, "link to node {} begun", n.0),
            What::LinkFailed(n) => write!(f, "link to node {} failed", n.0),
            What::LinkUp(n) => write!(f, "link to node {} is up", n.0),
            What::Stands(n) => write!(f, "stands at node {} from before the run", n.0),
            What::Said(n, word) => write!(f, "node {} says {}", n.0, word.text()),
            What::NodeEnded(n, e) => write!(f, "link {} by node {}", end(e), n.0),
            What::LinkEnded(n, e) => write!(f, "link to node {} {} by the balancer", n.0, end(e)),
            What::Answered(word) => write!(f, "client is told {}", word.text()),
            What::ClientCut(e) => write!(f, "client's connection {} by the balancer", end(e)),
            What::ClientEnded(e) => write!(f, "client's connection {} by the client", end(e)),
            What::Listed(s) => write!(f, "discovery lists it as {}", stage(s)),
            What::Is(health) => write!(f, "it {}", health.text()),
        }
    }
}

/// The first few steps and the last ones.
#[derive(Clone, Debug, Default)]
pub(super) struct Ring(Vec<(Micros, What)>);

impl Ring {
    pub fn note(&mut self, at: Micros, what: What) {
        if self.0.len() == TRACE_CAPACITY {
            self.0.remove(FIRST);
        }
        self.0.push((at, what));
    }

    pub fn steps(&self) -> impl Iterator<Item = TraceEntry> + '_ {
        self.0.iter().map(|(at, what)| TraceEntry { at: *at, what: what.to_string() })
    }
}

/// Steps of several rings as one trace, in order of time.
pub(super) fn together<'a>(rings: impl IntoIterator<Item = &'a Ring>) -> Vec<TraceEntry> {
    let mut all: Vec<TraceEntry> = rings.into_iter().flat_map(Ring::steps).collect();
    all.sort_by_key(|s| s.at);
    all
}

/// Seconds with three digits, as the reports write a time.
pub(super) fn secs(t: Micros) -> String {
    format!("{}.{:03} s", t / 1_000_000, t / 1_000 % 1_000)
}
