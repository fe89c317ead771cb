//! The observations of servers and clients about each request, and the rules that they violate.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::plan::{Class, Semantics};

/// The tolerance of every time limit for delays on sockets.
const SLACK: Duration = Duration::from_millis(50);
/// How long after a client has disconnected an attempt of its request may still reach a server.
const DISCONNECT_GRACE: Duration = Duration::from_millis(100);
/// How long after a server was listed as draining it may still get new requests.
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
    /// The client received nothing in time.
    TimedOut,
}

/// An attempt as its server observed it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server.
    pub server: usize,
    /// When the server had read the request's line.
    pub read_at: Duration,
    /// When the attempt's connection ended, if it has.
    pub ended_at: Option<Duration>,
    /// Whether the server rejected the request without running it.
    pub is_rejected: bool,
    /// The time from which the server was listed as draining; `None` if it was not.
    pub draining_since: Option<Duration>,
}

/// A request with its attempts and its answer. Times count from the start of the recorder.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// The index of its class in the plan.
    pub class: usize,
    /// The number of the balancer to which it was sent.
    pub balancer: usize,
    /// When the first byte of its line was sent.
    pub began_at: Duration,
    /// When the last byte of its line was sent.
    pub sent_at: Duration,
    /// When its client disconnected without waiting for an answer, if it did.
    pub disconnected_at: Option<Duration>,
    /// The answer and when the client received it.
    pub answer: Option<(Answer, Duration)>,
    /// Its attempts in the order in which servers read them.
    pub attempts: Vec<Attempt>,
    /// When the client's established connection ended without `MOVE` or `BYE`, if it did.
    pub cut_at: Option<Duration>,
}

/// An interval in which a process was stopped.
#[derive(Clone, Copy, Debug)]
pub struct Pause {
    /// When the process was stopped.
    pub at: Duration,
    /// How long the process was stopped.
    pub length: Duration,
}

/// An interval in which a configuration was in effect.
#[derive(Clone, Copy, Debug)]
pub struct Interval {
    /// When it began.
    pub from: Duration,
    /// When it ended; `None` if it has not ended.
    pub to: Option<Duration>,
}

/// The history of one balancer's processes.
#[derive(Clone, Debug, Default)]
pub struct ProcessHistory {
    /// When the balancer was killed.
    pub kills: Vec<Duration>,
    /// When the balancer exited after SIGTERM.
    pub exits: Vec<Duration>,
    /// When the balancer was stopped and continued.
    pub pauses: Vec<Pause>,
    /// When the balancer's configuration made every class idempotent.
    pub all_idempotent: Vec<Interval>,
}

impl ProcessHistory {
    /// Records that the process exited. The next one starts with the configuration of the plan.
    pub fn record_exit(&mut self, at: Duration) {
        self.exits.push(at);
        self.close_intervals(at);
    }

    /// Records that the process was killed. The next one starts with the configuration of the plan.
    pub fn record_kill(&mut self, at: Duration) {
        self.kills.push(at);
        self.close_intervals(at);
    }

    fn close_intervals(&mut self, at: Duration) {
        for interval in &mut self.all_idempotent {
            interval.to = interval.to.or(Some(at));
        }
    }
}

/// A violation of a rule by a request.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule's name.
    pub rule: &'static str,
    /// The request's id.
    pub request: u64,
    /// The number of the request's balancer.
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
    /// The requests, by the ids that their clients assigned.
    pub requests: HashMap<u64, Request>,
    /// The history of each balancer's processes.
    pub processes: Vec<ProcessHistory>,
    /// The zone of each server.
    pub zones: Vec<usize>,
    /// The longest delay with which this machine woke a thread. An event may be earlier than its record by this time.
    pub max_wake_delay: Duration,
}

impl Ledger {
    /// A request's class according to the configuration in effect when the request was sent.
    fn class_of(&self, request: &Request, classes: &[Class]) -> Class {
        let mut class = classes[request.class].clone();
        let sent_at = request.sent_at;
        let mut intervals = self.processes[request.balancer].all_idempotent.iter();
        if intervals.any(|interval| sent_at >= interval.from && interval.to.is_none_or(|to| sent_at <= to)) {
            class.semantics = Semantics::Idempotent;
        }
        class
    }

    /// All violations, in the order of the requests' ids.
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

    /// The longest time by which an answer came after its deadline, without requests whose balancer was killed.
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
            report("cut", format!("established: {:?}, cut off at {at:?}", request.answer));
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
                report(
                    "sent-after-client",
                    format!("client disconnected at {disconnected_at:?}, {attempt:?}"),
                );
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
            let is_open = |earlier: &&Attempt| earlier.ended_at.is_none_or(|at| at > read_at + tolerance);
            if earlier.iter().any(is_open) {
                report("second-copy", format!("{:?}", request.attempts));
            }
        }
    }

    /// Whether a request of this class whose first attempt may have run may be sent again.
    fn may_repeat(&self, class: &Class, first: &Attempt, attempt: &Attempt, tolerance: Duration) -> bool {
        let is_in_window = attempt.read_at <= first.read_at + class.window + tolerance;
        match class.semantics {
            Semantics::Idempotent => true,
            Semantics::KeyedAll => is_in_window,
            Semantics::KeyedZone => is_in_window && self.zones[attempt.server] == self.zones[first.server],
            Semantics::NonIdempotent => false,
        }
    }

    /// The time by which an observation may be late: this machine's delay and the time for which the balancer was stopped.
    fn tolerance(&self, request: &Request, until: Duration) -> Duration {
        let pauses = self.processes[request.balancer].pauses.iter();
        let overlapping =
            pauses.filter(|pause| pause.at <= until && pause.at + pause.length >= request.sent_at);
        self.max_wake_delay + overlapping.map(|pause| pause.length).sum::<Duration>()
    }

    fn was_killed_between(&self, balancer: usize, from: Duration, to: Duration) -> bool {
        self.processes[balancer].kills.iter().any(|at| *at >= from && *at <= to + SLACK)
    }

    /// Whether the balancer was killed while the request was being sent or waiting for its answer, or just before
    /// that.
    fn is_killed(&self, request: &Request) -> bool {
        let until = request.answer.map_or(Duration::MAX - SLACK, |(_, at)| at);
        self.was_killed_between(request.balancer, request.began_at.saturating_sub(SLACK), until)
    }

    /// Whether the request was begun during or after the exit of its balancer, so that the balancer never read
    /// any of it.
    fn is_after_exit(&self, request: &Request) -> bool {
        let until = request.answer.map_or(Duration::MAX, |(_, at)| at + SLACK);
        let exits = &self.processes[request.balancer].exits;
        exits.iter().any(|exit| request.began_at + SLACK + self.max_wake_delay > *exit && *exit <= until)
    }
}
