//! What servers and clients observed of each request, and which rules that breaks.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::plan::{Class, Semantics};

/// By how much every time limit is longer on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// An attempt may reach its server this long after its client has disconnected.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// A server may get new requests this long after it was listed as draining.
const DRAIN_GRACE: Duration = Duration::from_millis(1000);

/// The final answer to a client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Answer {
    /// `UP`.
    Accepted,
    /// `BUSY`.
    Rejected,
    /// Any other line.
    Failed,
    /// The connection ended without a line.
    Closed,
    /// Nothing came.
    TimedOut,
}

/// An attempt as its server observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server.
    pub server: usize,
    /// When the request's line had been read.
    pub read_at: Duration,
    /// When its connection ended.
    pub ended_at: Option<Duration>,
    /// Whether the server rejected it without running it.
    pub is_rejected: bool,
    /// Since when its server was listed as draining.
    pub draining_since: Option<Duration>,
}

/// A request from its line to its end.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its class.
    pub class: usize,
    /// The balancer that it was sent to.
    pub balancer: usize,
    /// When its line was sent.
    pub sent_at: Duration,
    /// When its client disconnected without waiting for an answer.
    pub disconnected_at: Option<Duration>,
    /// Its answer, and when it came.
    pub answer: Option<(Answer, Duration)>,
    /// Its attempts by time.
    pub attempts: Vec<Attempt>,
    /// When its established connection was cut off without `MOVE` or `BYE`, though its server had not ended it.
    pub cut_at: Option<Duration>,
}

/// A time in which a process was stopped.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// When it began.
    pub at: Duration,
    /// How long it lasted.
    pub length: Duration,
}

/// A time in which a configuration was in force.
#[derive(Clone, Copy, Debug)]
pub struct Span {
    /// When it began.
    pub from: Duration,
    /// When it ended, if it has.
    pub to: Option<Duration>,
}

/// What one balancer's processes went through.
#[derive(Clone, Debug, Default)]
pub struct Process {
    /// When it was killed.
    pub kills: Vec<Duration>,
    /// When it ended by itself.
    pub exits: Vec<Duration>,
    /// When it was stopped.
    pub pauses: Vec<Pause>,
    /// When its configuration had every class idempotent.
    pub all_idempotent: Vec<Span>,
}

impl Process {
    /// The process has ended by itself; the next one starts with the configuration of the plan.
    pub fn exited(&mut self, at: Duration) {
        self.exits.push(at);
        self.close_spans(at);
    }

    /// The process was killed.
    pub fn killed(&mut self, at: Duration) {
        self.kills.push(at);
        self.close_spans(at);
    }

    fn close_spans(&mut self, at: Duration) {
        for span in &mut self.all_idempotent {
            span.to = span.to.or(Some(at));
        }
    }
}

/// A broken rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: &'static str,
    /// The request's id.
    pub request: u64,
    /// The request's balancer.
    pub balancer: usize,
    /// What was observed.
    pub observed: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} request={:x} {}", self.rule, self.request, self.observed)
    }
}

/// Everything that was observed in a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// By the id that the client gave.
    pub requests: HashMap<u64, Request>,
    /// By balancer.
    pub processes: Vec<Process>,
    /// The zone of each server.
    pub zones: Vec<usize>,
    /// The longest time by which this machine woke a thread late: an event may be this much older than its record.
    pub machine_late: Duration,
}

impl Ledger {
    /// A request's class, by the configuration in force when it was sent.
    fn class_of(&self, request: &Request, classes: &[Class]) -> Class {
        let mut class = classes[request.class].clone();
        let sent_at = request.sent_at;
        let mut spans = self.processes[request.balancer].all_idempotent.iter();
        if spans.any(|span| sent_at >= span.from && span.to.is_none_or(|to| sent_at <= to)) {
            class.semantics = Semantics::Idempotent;
        }
        class
    }

    /// All broken rules, in the order of requests.
    pub fn violations(&self, classes: &[Class]) -> Vec<Violation> {
        let mut violations = Vec::new();
        for (id, request) in &self.requests {
            let class = &self.class_of(request, classes);
            let mut report = |rule, details: String| {
                let balancer = request.balancer;
                let observed = format!("class={} balancer={balancer} {details}", class.name);
                violations.push(Violation { rule, request: *id, balancer, observed });
            };
            self.check_answer(request, class, &mut report);
            self.check_attempts(request, class, &mut report);
        }
        violations.sort_by_key(|violation| violation.request);
        violations
    }

    /// The longest time by which an answer came after its deadline.
    pub fn latest_answer(&self, classes: &[Class]) -> Duration {
        let lateness = |request: &Request| {
            let (_, at) = request.answer.filter(|(answer, _)| *answer != Answer::Closed)?;
            Some(at.saturating_sub(request.sent_at + classes[request.class].deadline))
        };
        let counted = self.requests.values().filter(|request| !self.is_killed(request));
        counted.filter_map(lateness).max().unwrap_or_default()
    }

    fn check_answer(&self, request: &Request, class: &Class, report: &mut impl FnMut(&'static str, String)) {
        let may_have_run = request.attempts.iter().any(|attempt| !attempt.is_rejected);
        let is_excused = self.is_killed(request) || request.disconnected_at.is_some();
        match request.answer {
            Some((Answer::Rejected, at)) if may_have_run && !class.semantics.is_rejectable() => {
                report("refused-after-run", format!("answer at {at:?}, attempts {:?}", request.attempts));
            }
            None | Some((Answer::TimedOut | Answer::Closed, _))
                if !is_excused && !self.is_after_exit(request) =>
            {
                report("lost", format!("sent at {:?}, {:?}", request.sent_at, request.answer));
            }
            Some((Answer::Accepted | Answer::Rejected | Answer::Failed, at)) if !is_excused => {
                let limit = request.sent_at + class.deadline + SLACK + self.tolerance(request, at);
                if at > limit {
                    report("late", format!("sent at {:?}, answered at {at:?}", request.sent_at));
                }
            }
            _ => {}
        }
        if let Some(at) = request.cut_at
            && !self.was_killed_between(request.balancer, request.sent_at, at)
        {
            report("cut", format!("stood since {:?}, cut off at {at:?}", request.answer));
        }
    }

    fn check_attempts(
        &self,
        request: &Request,
        class: &Class,
        report: &mut impl FnMut(&'static str, String),
    ) {
        for (index, attempt) in request.attempts.iter().enumerate() {
            let read_at = attempt.read_at;
            let tolerance = SLACK + self.tolerance(request, read_at);
            let disconnected_at = request.disconnected_at;
            if disconnected_at.is_some_and(|at| read_at > at + DISCONNECT_GRACE + tolerance) {
                report("sent-after-client", format!("left at {disconnected_at:?}, {attempt:?}"));
            }
            if attempt.draining_since.is_some_and(|since| read_at > since + DRAIN_GRACE + tolerance) {
                report("drain", format!("{attempt:?}"));
            }
            let earlier: Vec<&Attempt> =
                request.attempts[..index].iter().filter(|attempt| !attempt.is_rejected).collect();
            if let Some(first) = earlier.first()
                && !self.may_repeat(class, first, attempt, tolerance)
            {
                report("duplicate", format!("{:?}", request.attempts));
            }
            let is_out = |earlier: &&Attempt| earlier.ended_at.is_none_or(|at| at > read_at + tolerance);
            if earlier.iter().any(is_out) {
                report("second-copy", format!("{:?}", request.attempts));
            }
        }
    }

    fn may_repeat(&self, class: &Class, first: &Attempt, attempt: &Attempt, tolerance: Duration) -> bool {
        let is_in_window = attempt.read_at <= first.read_at + class.window + tolerance;
        match class.semantics {
            Semantics::Idempotent => true,
            Semantics::KeyedAll => is_in_window,
            Semantics::KeyedZone => is_in_window && self.zones[attempt.server] == self.zones[first.server],
            Semantics::NonIdempotent => false,
        }
    }

    /// By how much an observation may be late: by this machine, and by the time for which the balancer was stopped.
    fn tolerance(&self, request: &Request, until: Duration) -> Duration {
        let pauses = self.processes[request.balancer].pauses.iter();
        let overlapping =
            pauses.filter(|pause| pause.at <= until && pause.at + pause.length >= request.sent_at);
        self.machine_late + overlapping.map(|pause| pause.length).sum::<Duration>()
    }

    fn was_killed_between(&self, balancer: usize, from: Duration, to: Duration) -> bool {
        self.processes[balancer].kills.iter().any(|at| *at >= from && *at <= to + SLACK)
    }

    /// Whether the balancer was killed while the request waited, or just before it was sent.
    fn is_killed(&self, request: &Request) -> bool {
        let until = request.answer.map_or(Duration::MAX - SLACK, |(_, at)| at);
        self.was_killed_between(request.balancer, request.sent_at.saturating_sub(SLACK), until)
    }

    /// Whether the request was sent when its balancer had exited or as it did, so that it was never read.
    fn is_after_exit(&self, request: &Request) -> bool {
        let until = request.answer.map_or(Duration::MAX, |(_, at)| at + SLACK);
        let exits = &self.processes[request.balancer].exits;
        exits.iter().any(|exit| request.sent_at + SLACK + self.machine_late > *exit && *exit <= until)
    }
}
