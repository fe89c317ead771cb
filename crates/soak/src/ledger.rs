//! What servers and clients saw of each request, and which rules that breaks.

use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use crate::plan::{Class, Effect};

/// Every time limit on sockets is so much longer.
const SLACK: Duration = Duration::from_millis(50);
/// An attempt may reach its server so long after its client has gone.
const AFTER_CLIENT: Duration = Duration::from_millis(100);
/// A server gets nothing new so long after it was told to drain.
const DRAIN_GRACE: Duration = Duration::from_millis(1000);

/// What a client was told at last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum Answer {
    /// `UP`.
    Taken,
    /// `BUSY`.
    Refused,
    /// Any other line.
    Failed,
    /// The connection ended without a word.
    Ended,
    /// Nothing came.
    Nothing,
}

/// An attempt as its server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server.
    pub server: usize,
    /// When the first line had been read.
    pub read_at: Duration,
    /// When its connection was seen to end.
    pub ended_at: Option<Duration>,
    /// The server turned it away unseen.
    pub turned_away: bool,
    /// When its server was told to drain, if it was then.
    pub draining_since: Option<Duration>,
}

/// A request from its first line to its end.
#[derive(Clone, Debug, Default)]
pub struct Request {
    /// Its class.
    pub class: usize,
    /// The balancer that it was sent to.
    pub balancer: usize,
    /// When its line was sent, and after it.
    pub sent_at: Duration,
    /// When its client left before an answer.
    pub left_at: Option<Duration>,
    /// Its answer, and when it was heard.
    pub answer: Option<(Answer, Duration)>,
    /// Attempts by time.
    pub attempts: Vec<Attempt>,
    /// It stood and was cut off without `MOVE` or `BYE` though its server had not ended it.
    pub cut_at: Option<Duration>,
}

/// What one balancer's processes went through.
#[derive(Clone, Debug, Default)]
pub struct Process {
    /// When it was killed.
    pub kills: Vec<Duration>,
    /// When it ended by itself.
    pub ends: Vec<Duration>,
    /// When it was held up, and for how long.
    pub pauses: Vec<(Duration, Duration)>,
    /// From when to when its configuration called every class safe.
    pub safe_spans: Vec<(Duration, Option<Duration>)>,
}

impl Process {
    /// It has ended by itself; the next one starts with the configuration of the plan.
    pub fn ended(&mut self, at: Duration) {
        self.ends.push(at);
        self.close_spans(at);
    }

    /// It was killed.
    pub fn killed(&mut self, at: Duration) {
        self.kills.push(at);
        self.close_spans(at);
    }

    fn close_spans(&mut self, at: Duration) {
        self.safe_spans.iter_mut().for_each(|(_, to)| *to = to.or(Some(at)));
    }
}

/// A rule that was broken.
#[derive(Clone, Debug)]
pub struct Broken {
    /// The rule.
    pub rule: &'static str,
    /// The request.
    pub request: u64,
    /// What was seen.
    pub what: String,
}

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} request={:x} {}", self.rule, self.request, self.what)
    }
}

/// All that was seen in a run.
#[derive(Debug, Default)]
pub struct Ledger {
    /// By the id that its client opened with.
    pub requests: HashMap<u64, Request>,
    /// By balancer.
    pub processes: Vec<Process>,
    /// The zone of each server.
    pub zones: Vec<usize>,
    /// The latest that this machine was: what is seen may have been so much earlier.
    pub machine_late: Duration,
}

impl Ledger {
    /// What repeating a request may do, by the configuration that was in force as it was sent.
    fn class_of(&self, request: &Request, classes: &[Class]) -> Class {
        let mut class = classes[request.class].clone();
        let spans = &self.processes[request.balancer].safe_spans;
        let sent_at = request.sent_at;
        if spans.iter().any(|(from, to)| sent_at >= *from && to.is_none_or(|to| sent_at <= to)) {
            class.effect = Effect::Safe;
        }
        class
    }

    /// Rules that were broken.
    pub fn broken(&self, classes: &[Class]) -> Vec<Broken> {
        let mut broken = Vec::new();
        for (id, request) in &self.requests {
            let class = &self.class_of(request, classes);
            let mut add = |rule, what: String| {
                let what = format!("class={} balancer={} {what}", class.name, request.balancer);
                broken.push(Broken { rule, request: *id, what });
            };
            self.check_answer(request, class, &mut add);
            self.check_attempts(request, class, &mut add);
        }
        broken.sort_by_key(|b| b.request);
        broken
    }

    /// The most that an answer came after its deadline.
    pub fn latest_answer(&self, classes: &[Class]) -> Duration {
        let late = |r: &Request| {
            let (_, at) = r.answer.filter(|(answer, _)| *answer != Answer::Ended)?;
            Some(at.saturating_sub(r.sent_at + classes[r.class].give_up))
        };
        let counted = self.requests.values().filter(|r| !self.is_killed(r));
        counted.filter_map(late).max().unwrap_or_default()
    }

    fn check_answer(&self, request: &Request, class: &Class, add: &mut impl FnMut(&'static str, String)) {
        let may_have_run = request.attempts.iter().any(|attempt| !attempt.turned_away);
        let is_excused = self.is_killed(request) || request.left_at.is_some();
        match request.answer {
            Some((Answer::Refused, at)) if may_have_run && !class.effect.is_refusable() => {
                add("refused-after-run", format!("answer at {at:?}, attempts {:?}", request.attempts));
            }
            None | Some((Answer::Nothing | Answer::Ended, _)) if !is_excused && !self.is_past(request) => {
                add("lost", format!("sent at {:?}, {:?}", request.sent_at, request.answer));
            }
            Some((Answer::Taken | Answer::Refused | Answer::Failed, at)) if !is_excused => {
                let limit = request.sent_at + class.give_up + SLACK + self.late(request, at);
                if at > limit {
                    add("late", format!("sent at {:?}, answered at {at:?}", request.sent_at));
                }
            }
            _ => {}
        }
        if let Some(at) = request.cut_at
            && !self.was_killed_between(request.balancer, request.sent_at, at)
        {
            add("cut", format!("stood since {:?}, cut off at {at:?}", request.answer));
        }
    }

    fn check_attempts(&self, request: &Request, class: &Class, add: &mut impl FnMut(&'static str, String)) {
        for (i, attempt) in request.attempts.iter().enumerate() {
            let late = self.late(request, attempt.read_at);
            if request.left_at.is_some_and(|left| attempt.read_at > left + AFTER_CLIENT + SLACK + late) {
                add("sent-after-client", format!("left at {:?}, {attempt:?}", request.left_at));
            }
            let told = attempt.draining_since;
            if told.is_some_and(|told| attempt.read_at > told + DRAIN_GRACE + SLACK + late) {
                add("drain", format!("{attempt:?}"));
            }
            let before: Vec<&Attempt> = request.attempts[..i].iter().filter(|a| !a.turned_away).collect();
            if let Some(first) = before.first()
                && !self.may_repeat(class, first, attempt, late)
            {
                add("duplicate", format!("{:?}", request.attempts));
            }
            let limit = attempt.read_at + SLACK + late;
            if before.iter().any(|a| a.ended_at.is_none_or(|ended| ended > limit)) {
                add("second-copy", format!("{:?}", request.attempts));
            }
        }
    }

    fn may_repeat(&self, class: &Class, first: &Attempt, attempt: &Attempt, late: Duration) -> bool {
        let in_window = attempt.read_at <= first.read_at + class.window + SLACK + late;
        match class.effect {
            Effect::Safe => true,
            Effect::KeyedAll => in_window,
            Effect::KeyedZone => in_window && self.zones[attempt.server] == self.zones[first.server],
            Effect::Unsafe => false,
        }
    }

    /// What may make a sight later than what was seen: this machine, and the time for which the balancer stood still.
    fn late(&self, request: &Request, until: Duration) -> Duration {
        let pauses = &self.processes[request.balancer].pauses;
        let overlap = pauses.iter().filter(|(at, length)| *at <= until && *at + *length >= request.sent_at);
        self.machine_late + overlap.map(|(_, length)| *length).sum::<Duration>()
    }

    fn was_killed_between(&self, balancer: usize, from: Duration, to: Duration) -> bool {
        self.processes[balancer].kills.iter().any(|at| *at >= from && *at <= to + SLACK)
    }

    /// Its balancer was killed while it waited, or an instant before.
    fn is_killed(&self, request: &Request) -> bool {
        let until = request.answer.map_or(Duration::MAX - SLACK, |(_, at)| at);
        self.was_killed_between(request.balancer, request.sent_at.saturating_sub(SLACK), until)
    }

    /// It was sent when its balancer had ended, or as it did: nobody had read it.
    fn is_past(&self, request: &Request) -> bool {
        let until = request.answer.map_or(Duration::MAX, |(_, at)| at + SLACK);
        let ends = &self.processes[request.balancer].ends;
        ends.iter().any(|end| request.sent_at + SLACK + self.machine_late > *end && *end <= until)
    }
}
