//! What an audit comes to: the breaks, each with its reason and what led to it, and what was counted beside them.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use serde::Serialize;

use super::trace::{TraceEntry, secs};
use crate::edge::{BalancerId, ConnId, NodeId};

/// Breaks of one reason that are kept with their trace; the rest are only counted, so that a run that goes wrong all
/// day takes no more memory than one that goes wrong once.
const MAX_TRACED_PER_REASON: u64 = 20;

/// The rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// No request dropped.
    NoRequestDropped,
    /// No duplicated effect.
    NoDuplicatedEffect,
    /// Safe drain.
    SafeDrain,
    /// Safe fail-back.
    SafeFailBack,
    /// No connection lost.
    NoConnectionLost,
    /// The program runs until it is told to end, and uses what it was told of.
    SoundProgram,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => $rule:ident, $text:literal;)*) => {
        /// Why something is a break.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason { $($(#[$doc])* $name,)* }

        impl Reason {
            /// All of them.
            pub const ALL: &[Reason] = &[$(Reason::$name),*];

            /// The rule that it breaks.
            pub fn rule(self) -> Rule {
                match self { $(Reason::$name => Rule::$rule,)* }
            }

            /// It in words.
            pub fn text(self) -> &'static str {
                match self { $(Reason::$name => $text,)* }
            }
        }
    };
}

reasons! {
    /// The request's time and the slack ran out.
    NoAnswer => NoRequestDropped, "taken and never answered";
    /// The answer came after the deadline and the slack.
    LateAnswer => NoRequestDropped, "answered after the deadline";
    /// The balancer ended the client's connection first.
    EndedUnanswered => NoRequestDropped, "its connection was ended without an answer";
    /// It was still waiting when a planned end came to SIGKILL.
    HeldUnanswered => NoRequestDropped, "still unanswered at the end of a planned restart";
    /// An `UP` that no node made for this connection.
    Forged => NoRequestDropped, "served with an answer that no node made for it";
    /// A bad client was served.
    ServedBad => NoRequestDropped, "a bad client was served as though its request had run";
    /// A second answer after the final one.
    SecondAnswer => NoRequestDropped, "answered a second time";
    /// Two attempts out at once.
    SecondCopy => NoDuplicatedEffect, "a second attempt went out while one was out";
    /// More attempts than allowed.
    TooManyAttempts => NoDuplicatedEffect, "more attempts than allowed";
    /// An attempt after the request's end.
    SentAfterEnd => NoDuplicatedEffect, "sent after the request had ended";
    /// A send to a node that drains or is gone.
    SentToDraining => SafeDrain, "sent to a node after it was told that it drains or is gone";
    /// A cold node was sent too much.
    PushedOver => SafeFailBack, "a cold node was pushed over";
    /// A client was cut off.
    CutOff => NoConnectionLost, "cut off without MOVE while its server still answered";
    /// A client was cut off in a planned end.
    CutOffAtRestart => NoConnectionLost, "cut off without MOVE in a planned restart";
    /// A client was still there at SIGKILL.
    HeldAtKill => NoConnectionLost, "still held at the end of a planned restart";
    /// A line was held back.
    LineHeld => NoConnectionLost, "a line was held back";
    /// A client was kept after its server had ended the connection.
    EndedKept => NoConnectionLost, "neither ended nor moved after its server had ended it";
    /// A client was kept after the balancer itself had ended the server's side.
    SeveredKept => NoConnectionLost, "neither ended nor moved after its link had been ended";
    /// A client was kept on a connection that returns nothing.
    SilentKept => NoConnectionLost, "kept on a connection that returned nothing from a running server";
    /// A connection from before the run did not come up again.
    NotCarried => NoConnectionLost, "stood before the run and did not come up again";
    /// `MOVE` within a line.
    MoveInLine => NoConnectionLost, "MOVE in the middle of a line";
    /// A line came out other than it went in.
    LineChanged => NoConnectionLost, "a line was changed on its way";
    /// The process ended by itself.
    Exited => SoundProgram, "the program ended by itself";
    /// A first line in a form that no client sent.
    Syntax => SoundProgram, "a node was sent a first line that no client wrote";
    /// A send to a node that its list never named.
    Unlisted => SoundProgram, "sent to a node that its list never named";
}

/// What looks like a break and is none: counted, so that nobody has to guess what was let pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exemption {
    /// The client left before its time was up.
    ClientLeft,
    /// The balancer was killed without warning while the request waited or the connection stood.
    Killed,
    /// No answer in time, where that is a failure and no loss.
    Overdue,
    /// Closed with nothing sent on for it, where that is no loss.
    ClosedUnsent,
    /// Cut off while its server was silent, out of reach or only just back.
    ServerSilent,
    /// Kept on a silent connection to a node that was cut off or down.
    ServerUnreachable,
    /// A cold node was pushed over, but two thirds of its load came from balancers that could not know of its start.
    PushedOverUnknowing,
}

/// One break.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleViolation {
    /// The rule.
    pub rule: Rule,
    /// Why.
    pub reason: Reason,
    /// When it became one, microseconds since the day's start.
    pub at: Micros,
    /// Whose it is; for a node pushed over, who sent it the most.
    pub balancer: u32,
    /// The connection, if it is about one.
    pub conn: Option<u64>,
    /// The node, if it is about one.
    pub node: Option<u32>,
    /// The figures of the case, in a few words.
    pub detail: String,
    /// What led to it, the oldest first.
    pub trace: Vec<TraceEntry>,
}

/// What is counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests taken.
    pub taken: u64,
    /// Answered by a node's `UP`.
    pub up: u64,
    /// Refused.
    pub busy: u64,
    /// Failed.
    pub failed: u64,
    /// Attempts.
    pub attempts: u64,
    /// Clients moved.
    pub moves: u64,
}

/// What the audit of a run comes to.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// The breaks by time, with their traces; of each reason the first few.
    pub breaks: Vec<RuleViolation>,
    /// How often each reason came up.
    pub reasons: BTreeMap<Reason, u64>,
    /// What was let pass, and why.
    pub excused: BTreeMap<Exemption, u64>,
    /// What was counted.
    pub counts: Counts,
}

impl Verdict {
    /// No rule was broken.
    pub fn is_clean(&self) -> bool {
        self.reasons.is_empty()
    }

    /// Requests lost: those of the first rule.
    pub fn lost_requests(&self) -> u64 {
        self.count(Rule::NoRequestDropped)
    }

    /// Connections lost.
    pub fn lost_connections(&self) -> u64 {
        self.count(Rule::NoConnectionLost)
    }

    /// Breaks of a rule.
    pub fn count(&self, rule: Rule) -> u64 {
        self.reasons.iter().filter(|(r, _)| r.rule() == rule).map(|(_, n)| n).sum()
    }

    /// Breaks in a few lines each, for a log.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.breaks.iter().map(|b| {
            let trace: Vec<String> =
                b.trace.iter().map(|TraceEntry { at, what }| format!("\n    {} {what}", secs(*at))).collect();
            let conn = b.conn.map(|c| format!(" connection {c:x}")).unwrap_or_default();
            let node = b.node.map(|n| format!(" node {n}")).unwrap_or_default();
            let (at, by, why) = (secs(b.at), b.balancer, b.reason.text());
            format!("{at} balancer {by}{conn}{node}: {why} ({}){}", b.detail, trace.concat())
        })
    }

    pub(super) fn exempt(&mut self, why: Exemption) {
        *self.excused.entry(why).or_default() += 1;
    }

    /// Notes a break; the trace is only asked for if it is kept.
    pub(super) fn record(&mut self, case: Case, detail: String, trace: impl FnOnce() -> Vec<TraceEntry>) {
        let seen = self.reasons.entry(case.reason).or_default();
        *seen += 1;
        if *seen > MAX_TRACED_PER_REASON {
            return;
        }
        self.breaks.push(RuleViolation {
            rule: case.reason.rule(),
            reason: case.reason,
            at: case.at,
            balancer: case.by.0,
            conn: case.conn.map(|c| c.0),
            node: case.node.map(|n| n.0),
            detail,
            trace: trace(),
        });
    }

    /// In order of time; those of one time stay as they came.
    pub(super) fn sort_violations(&mut self) {
        self.breaks.sort_by_key(|b| b.at);
    }
}

/// What a break is about.
#[derive(Clone, Copy, Debug)]
pub(super) struct Case {
    pub reason: Reason,
    pub at: Micros,
    pub by: BalancerId,
    pub conn: Option<ConnId>,
    pub node: Option<NodeId>,
}
