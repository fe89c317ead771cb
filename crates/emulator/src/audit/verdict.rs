//! The result of an audit: the rule violations, each with its reason and a trace of the events before it, and counts of
//! exempted cases and of requests.

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use serde::Serialize;

use super::trace::{TraceEntry, format_seconds};
use crate::edge::{BalancerId, ConnId, NodeId};

/// How many violations are kept with their traces for each reason. Further ones are only counted, so that memory stays
/// bounded in a run that violates a rule all day.
const MAX_TRACED_PER_REASON: u64 = 20;

/// A rule that the balancers must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// Every request gets a final answer, once and in time.
    NoRequestDropped,
    /// No request runs twice or after its end.
    NoDuplicatedEffect,
    /// No attempt goes to a node that is known to be draining or gone.
    SafeDrain,
    /// No cold node is overloaded.
    SafeFailBack,
    /// No established connection is lost, and its data is delivered unchanged and in time.
    NoConnectionLost,
    /// The balancer runs until it is told to exit, sends valid lines, and only to listed nodes.
    SoundProgram,
}

macro_rules! reasons {
    ($($(#[$doc:meta])* $name:ident => $rule:ident, $text:literal;)*) => {
        /// The reason why something violates a rule.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
        #[serde(rename_all = "kebab-case")]
        pub enum Reason { $($(#[$doc])* $name,)* }

        impl Reason {
            /// All reasons.
            pub const ALL: &[Reason] = &[$(Reason::$name),*];

            /// The rule that is violated.
            pub fn rule(self) -> Rule {
                match self { $(Reason::$name => Rule::$rule,)* }
            }

            /// A description for reports.
            pub fn text(self) -> &'static str {
                match self { $(Reason::$name => $text,)* }
            }
        }
    };
}

reasons! {
    /// The deadline and the slack passed without an answer.
    NoAnswer => NoRequestDropped, "the request was received and never answered";
    /// The answer came after the deadline and the slack.
    LateAnswer => NoRequestDropped, "the request was answered after its deadline";
    /// The balancer closed the client's connection before it answered.
    EndedUnanswered => NoRequestDropped, "the balancer closed the client's connection without an answer";
    /// The request was still waiting at the SIGKILL that ends a planned restart.
    HeldUnanswered => NoRequestDropped, "the request was still unanswered at the end of a planned restart";
    /// The client received an `UP` that no node sent for its connection.
    Forged => NoRequestDropped, "the client was sent an UP that no node had sent for it";
    /// A misbehaving client was served.
    ServedBad => NoRequestDropped, "a misbehaving client was answered as if its request had run";
    /// A second answer followed the final one.
    SecondAnswer => NoRequestDropped, "the request was answered a second time";
    /// Two attempts of one request were in flight at the same time.
    SecondCopy => NoDuplicatedEffect, "an attempt was sent while another one was in flight";
    /// A request had more attempts than allowed.
    TooManyAttempts => NoDuplicatedEffect, "the request had more attempts than allowed";
    /// An attempt was sent after the end of the request.
    SentAfterEnd => NoDuplicatedEffect, "an attempt was sent after the request had ended";
    /// An attempt was sent to a node that was known to be draining or gone.
    SentToDraining => SafeDrain, "an attempt was sent to a node that the balancer had been told was draining or gone";
    /// A cold node was sent more work than it can do.
    PushedOver => SafeFailBack, "a cold node was overloaded";
    /// The balancer closed an established connection without `MOVE`, outside of a planned restart.
    CutOff => NoConnectionLost, "the client was disconnected without MOVE while its server still answered";
    /// The balancer closed an established connection without `MOVE` in a planned restart.
    CutOffAtRestart => NoConnectionLost, "the client was disconnected without MOVE in a planned restart";
    /// A connection was still established at the SIGKILL that ends a planned restart.
    HeldAtKill => NoConnectionLost, "the connection was still held at the end of a planned restart";
    /// A line was not delivered in time.
    LineHeld => NoConnectionLost, "a line was not delivered in time";
    /// A client's connection stayed open after its server had closed its side.
    EndedKept => NoConnectionLost, "the client was neither disconnected nor moved after its server closed";
    /// A client's connection stayed open after the balancer had closed the link to its server.
    SeveredKept => NoConnectionLost, "the client was neither disconnected nor moved after its link was closed";
    /// A client's connection stayed open although nothing came back from its server.
    SilentKept => NoConnectionLost, "the client was kept on a connection on which a reachable server returned nothing";
    /// A connection from before the run was not established again.
    NotCarried => NoConnectionLost, "the connection was established before the run and was not established again";
    /// A client read `MOVE` within a line.
    MoveInLine => NoConnectionLost, "MOVE was sent in the middle of a line";
    /// A line was delivered that differs from the one sent.
    LineChanged => NoConnectionLost, "a line was changed in transit";
    /// The process exited without a SIGTERM.
    Exited => SoundProgram, "the balancer exited without being told to";
    /// A node received a first line in a form that no client sends.
    Syntax => SoundProgram, "a node was sent a first line in a form that no client sends";
    /// An attempt was sent to a node that the balancer's list never had.
    Unlisted => SoundProgram, "an attempt was sent to a node that the balancer's list never had";
}

/// Why an apparent violation is exempted. Exempted cases are counted, so that reports show how many there were.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Exemption {
    /// The client closed its connection before its deadline.
    ClientLeft,
    /// The balancer was killed without warning while the request waited or the connection was established.
    Killed,
    /// The request was not answered in time, in a run in which that counts as failed and not as lost.
    Overdue,
    /// The client's connection was closed before any attempt was sent, in a run in which that is not a loss.
    ClosedUnsent,
    /// The client was disconnected while its server was silent, unreachable or only just responsive again.
    ServerSilent,
    /// The client was kept on a silent connection to a node that was cut off or down.
    ServerUnreachable,
    /// A cold node was overloaded, but less than two thirds of its load came from balancers that knew of its start.
    PushedOverUnknowing,
}

/// One violation of a rule.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RuleViolation {
    /// The rule that was violated.
    pub rule: Rule,
    /// The reason.
    pub reason: Reason,
    /// When the rule was violated, in microseconds since the start of the day.
    pub at: Micros,
    /// The balancer that violated it; for an overloaded node, the balancer that sent the most.
    pub balancer: u32,
    /// The connection concerned, if any.
    pub conn: Option<u64>,
    /// The node concerned, if any.
    pub node: Option<u32>,
    /// Figures of this case.
    pub detail: String,
    /// Events before the violation, the oldest first.
    pub trace: Vec<TraceEntry>,
}

/// Counts of requests and attempts in a run.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Requests received by balancers.
    pub taken: u64,
    /// Requests answered with `UP`.
    pub up: u64,
    /// Requests answered with `BUSY`.
    pub busy: u64,
    /// Requests answered with anything else.
    pub failed: u64,
    /// Attempts sent to nodes.
    pub attempts: u64,
    /// Established connections that were sent `MOVE`.
    pub moves: u64,
}

/// The result of the audit of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Verdict {
    /// The first violations of each reason, with their traces, by time.
    pub breaks: Vec<RuleViolation>,
    /// Number of violations by reason.
    pub reasons: BTreeMap<Reason, u64>,
    /// Number of exempted cases by exemption.
    pub excused: BTreeMap<Exemption, u64>,
    /// Counts of requests and attempts.
    pub counts: Counts,
}

impl Verdict {
    /// Whether no rule was violated.
    pub fn is_clean(&self) -> bool {
        self.reasons.is_empty()
    }

    /// Number of lost requests: violations of [`Rule::NoRequestDropped`].
    pub fn lost_requests(&self) -> u64 {
        self.count(Rule::NoRequestDropped)
    }

    /// Number of lost connections: violations of [`Rule::NoConnectionLost`].
    pub fn lost_connections(&self) -> u64 {
        self.count(Rule::NoConnectionLost)
    }

    /// Number of violations of a rule.
    pub fn count(&self, rule: Rule) -> u64 {
        self.reasons.iter().filter(|(r, _)| r.rule() == rule).map(|(_, n)| n).sum()
    }

    /// Descriptions of the kept violations for a log, each of several lines.
    pub fn lines(&self) -> impl Iterator<Item = String> + '_ {
        self.breaks.iter().map(|b| {
            let trace: Vec<String> = b
                .trace
                .iter()
                .map(|TraceEntry { at, what }| format!("\n    {} {what}", format_seconds(*at)))
                .collect();
            let conn = b.conn.map(|c| format!(" connection {c:x}")).unwrap_or_default();
            let node = b.node.map(|n| format!(" node {n}")).unwrap_or_default();
            let (at, balancer, reason) = (format_seconds(b.at), b.balancer, b.reason.text());
            format!("{at} balancer {balancer}{conn}{node}: {reason} ({}){}", b.detail, trace.concat())
        })
    }

    pub(super) fn exempt(&mut self, exemption: Exemption) {
        *self.excused.entry(exemption).or_default() += 1;
    }

    /// Counts a violation, and keeps it if there are few of its reason; only then is `trace` called.
    pub(super) fn record(&mut self, case: Case, detail: String, trace: impl FnOnce() -> Vec<TraceEntry>) {
        let count = self.reasons.entry(case.reason).or_default();
        *count += 1;
        if *count > MAX_TRACED_PER_REASON {
            return;
        }
        self.breaks.push(RuleViolation {
            rule: case.reason.rule(),
            reason: case.reason,
            at: case.at,
            balancer: case.balancer.0,
            conn: case.conn.map(|c| c.0),
            node: case.node.map(|n| n.0),
            detail,
            trace: trace(),
        });
    }

    /// Sorts the kept violations by time; those of the same time stay in the order in which they were recorded.
    pub(super) fn sort_violations(&mut self) {
        self.breaks.sort_by_key(|b| b.at);
    }
}

/// What a violation concerns.
#[derive(Clone, Copy, Debug)]
pub(super) struct Case {
    pub reason: Reason,
    pub at: Micros,
    pub balancer: BalancerId,
    pub conn: Option<ConnId>,
    pub node: Option<NodeId>,
}
