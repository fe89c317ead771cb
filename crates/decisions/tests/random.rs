//! Random legal and odd event sequences: the rules' invariants, determinism, and names that do not matter.

mod common;
use std::collections::BTreeMap;

use common::{TestInstance, entry, record_timers, request, settings};
use proptest::prelude::*;
use shorewharf_decisions::Balancer;
use shorewharf_decisions::interface::{
    Action, DeduplicationScope, Event, Idempotency, Outcome, Request, RequestClass, RequestId, ServerEntry,
    ServerId, ServerState, Settings,
};

#[derive(Clone, Debug)]
enum Step {
    Receive { class: usize, key: u64, group: u64, load: f64 },
    Restore { server: u64 },
    Establish(usize),
    End(usize, Outcome),
    Delay(u64, f64),
    List { ready: u32, draining: u32, full: bool, born: f64 },
    Leave(usize),
    Wait(f64),
    DiscoveryFailed,
    UnknownIds(u32, u64),
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        Just(Outcome::Ok),
        Just(Outcome::Error),
        Just(Outcome::Rejected),
        Just(Outcome::TimedOut),
        Just(Outcome::ConnectFailed),
        Just(Outcome::Reset),
        Just(Outcome::NotSent),
    ]
}

fn odd_number() -> impl Strategy<Value = f64> {
    prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), Just(0.0), 0.001..3.0]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, 0..9u64, 0..5u64, odd_number())
            .prop_map(|(class, key, group, load)| Step::Receive { class, key, group, load }),
        1 => (0..9u64).prop_map(|server| Step::Restore { server }),
        5 => any::<usize>().prop_map(Step::Establish),
        5 => (any::<usize>(), outcome()).prop_map(|(n, o)| Step::End(n, o)),
        2 => (0..9u64, odd_number()).prop_map(|(s, d)| Step::Delay(s, d)),
        2 => (any::<u32>(), any::<u32>(), any::<bool>(), 0.0..120.0)
            .prop_map(|(ready, draining, full, born)| Step::List { ready, draining, full, born }),
        1 => any::<usize>().prop_map(Step::Leave),
        5 => (0.0..1.5).prop_map(Step::Wait),
        1 => Just(Step::DiscoveryFailed),
        1 => (any::<u32>(), any::<u64>()).prop_map(|(id, token)| Step::UnknownIds(id, token)),
    ]
}

fn classes() -> Vec<RequestClass> {
    [
        Idempotency::Idempotent,
        Idempotency::NonIdempotent,
        Idempotency::Keyed(DeduplicationScope::All, 1.0),
        Idempotency::Keyed(DeduplicationScope::Zone, 1.0),
        Idempotency::Keyed(DeduplicationScope::Cell, 0.5),
    ]
    .into_iter()
    .map(|semantics| RequestClass {
        latency_objective: 0.5,
        priority_weight: 1.0,
        idempotency: semantics,
        message_latency_objective: 0.1,
    })
    .collect()
}

#[derive(Default)]
struct ExpectedRequest {
    class: usize,
    deadline: f64,
    attempts: u32,
    pending_attempt: Option<(ServerId, u32)>,
    is_established: bool,
    possible_run: Option<(ServerId, f64)>,
    sent_at: f64,
    answered: bool,
}

struct RandomRun {
    instance: TestInstance,
    timers: Vec<(f64, u64)>,
    clients: BTreeMap<u32, ExpectedRequest>,
    listed: BTreeMap<u64, ServerEntry>,
    next: u32,
    log: Vec<Action>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let set = Settings { classes: classes(), polls_discovery: seed.is_multiple_of(2), ..settings() };
        let mut w = RandomRun {
            instance: TestInstance { balancer: Balancer::new(set, seed), now: 100.0 },
            timers: Vec::new(),
            clients: BTreeMap::new(),
            listed: BTreeMap::new(),
            next: 0,
            log: Vec::new(),
        };
        w.event(Event::Start);
        w
    }

    fn event(&mut self, event: Event) {
        let out = self.instance.handle(event);
        self.check(&out);
        record_timers(&out, self.instance.now, &mut self.timers);
        self.log.extend(out);
    }

    fn check(&mut self, out: &[Action]) {
        let now = self.instance.now;
        for a in out {
            match a {
                Action::BeginAttempt { request, server, timeout } => {
                    let c = self.clients.get_mut(&request.0).expect("a known request");
                    assert!(
                        !c.answered && c.pending_attempt.is_none() && !c.is_established,
                        "one attempt, none after the answer"
                    );
                    assert!(now + timeout <= c.deadline + 0.001 && *timeout > 0.0);
                    let e = self.listed.get(&server.0).expect("a listed server");
                    assert_eq!(e.state, ServerState::Ready, "drains are kept");
                    if let Some((first, sent_at)) = c.possible_run {
                        let f = self.listed.get(&first.0);
                        match classes()[c.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NonIdempotent => panic!("an unsafe request may have run"),
                            Idempotency::Keyed(scope, window) => {
                                assert!(now - sent_at < window);
                                match scope {
                                    DeduplicationScope::All => {}
                                    DeduplicationScope::Zone => assert_eq!(f.unwrap().zone, e.zone),
                                    DeduplicationScope::Cell => assert_eq!(f.unwrap().cell, e.cell),
                                }
                            }
                        }
                    }
                    c.pending_attempt = Some((*server, c.attempts));
                    c.attempts += 1;
                    c.sent_at = now;
                    assert!(c.attempts <= 4);
                }
                Action::Reject { request, retry_after } => {
                    let c = self.clients.get_mut(&request.0).unwrap();
                    let safe = matches!(
                        classes()[c.class].idempotency,
                        Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All, _)
                    );
                    assert!(
                        !c.answered && (safe || (c.possible_run.is_none() && c.pending_attempt.is_none()))
                    );
                    assert!(*retry_after >= 0.0 && *retry_after <= 1.0);
                    c.answered = true;
                }
                Action::Fail(request) => {
                    let c = self.clients.get_mut(&request.0).unwrap();
                    assert!(!c.answered);
                    c.answered = true;
                }
                Action::Migrate(request) => {
                    let c = self.clients.get_mut(&request.0).unwrap();
                    assert!(c.is_established && !c.answered, "only standing connections move");
                    c.answered = true;
                }
                Action::SetTimer { after, .. } => assert!(after.is_finite() && *after >= 0.0),
                _ => {}
            }
        }
    }

    fn pick(&self, n: usize, f: impl Fn(&ExpectedRequest) -> bool) -> Option<u32> {
        let fit: Vec<u32> = self.clients.iter().filter(|(_, c)| f(c)).map(|(id, _)| *id).collect();
        (!fit.is_empty()).then(|| fit[n % fit.len()])
    }

    fn advance(&mut self, span: f64) {
        let until = self.instance.now + span;
        loop {
            self.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            let Some(&(at, token)) = self.timers.first().filter(|t| t.0 <= until) else { break };
            self.timers.remove(0);
            self.instance.now = self.instance.now.max(at);
            self.event(Event::TimerFired(token));
            self.check_overdue();
        }
        self.instance.now = until;
        self.check_overdue();
    }

    fn check_overdue(&self) {
        for (id, c) in &self.clients {
            let done = c.answered || c.is_established || self.instance.now < c.deadline + 0.02;
            assert!(
                done,
                "request {id} is unanswered at {}, its deadline was {}",
                self.instance.now, c.deadline
            );
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind of step")]
    fn apply(&mut self, step: &Step) {
        match step {
            Step::Receive { class, key, group, load } => {
                self.next += 1;
                let r = Request {
                    class: *class,
                    key: *key,
                    group: *group,
                    load: Some(*load),
                    ..request(self.next, self.instance.now)
                };
                let expected =
                    ExpectedRequest { class: *class, deadline: r.deadline, ..ExpectedRequest::default() };
                self.clients.insert(self.next, expected);
                self.event(Event::RequestReceived(r));
            }
            Step::Restore { server } => {
                self.next += 1;
                let r = request(self.next, self.instance.now);
                let expected = ExpectedRequest {
                    is_established: true,
                    pending_attempt: Some((ServerId(*server), 0)),
                    ..ExpectedRequest::default()
                };
                self.clients.insert(self.next, ExpectedRequest { attempts: 1, ..expected });
                self.event(Event::ConnectionRestored(r, ServerId(*server)));
            }
            Step::Establish(n) => {
                if let Some(id) =
                    self.pick(*n, |c| c.pending_attempt.is_some() && !c.is_established && !c.answered)
                {
                    let c = self.clients.get_mut(&id).unwrap();
                    c.is_established = true;
                    let attempt = c.pending_attempt.unwrap().1;
                    self.event(Event::Established { request: RequestId(id), attempt });
                }
            }
            Step::End(n, outcome) => {
                let Some(id) = self.pick(*n, |c| c.pending_attempt.is_some()) else { return };
                let c = self.clients.get_mut(&id).unwrap();
                let (server, attempt) = c.pending_attempt.take().unwrap();
                let complete = c.is_established || *outcome == Outcome::Ok;
                if !outcome.never_ran() && c.possible_run.is_none() {
                    c.possible_run = Some((server, c.sent_at));
                }
                let answered = c.answered;
                c.answered |= complete;
                c.is_established = false;
                let request = RequestId(id);
                let (outcome, complete) = (*outcome, complete || answered);
                self.event(Event::AttemptEnded {
                    request,
                    server,
                    attempt,
                    outcome,
                    is_answered: complete,
                    load_ratio: Some(f64::NAN),
                });
            }
            Step::Delay(server, delay) => {
                self.event(Event::MessageDelay { server: ServerId(*server), delay: *delay });
            }
            Step::List { ready, draining, full, born } => {
                let mut entries = Vec::new();
                for i in 0..9u64 {
                    let bit = 1 << i;
                    if ready & bit != 0 || (!full && draining & bit != 0) {
                        let stage = match (draining & bit != 0, ready & bit != 0) {
                            (true, true) => ServerState::Draining,
                            (true, false) => ServerState::Removed,
                            _ => ServerState::Ready,
                        };
                        let weight = if i == 3 { f64::NAN } else { i as f64 };
                        let born = if i % 3 == 0 { *born } else { 0.0 };
                        entries.push(ServerEntry { state: stage, weight, started_at: born, ..entry(i) });
                    }
                }
                if *full {
                    self.listed.values_mut().for_each(|e| e.state = ServerState::Removed);
                }
                self.listed.extend(entries.iter().map(|e| (e.server.0, *e)));
                self.event(Event::EndpointList {
                    is_complete: *full,
                    is_cached: false,
                    entries: entries.into(),
                });
            }
            Step::Leave(n) => {
                if let Some(id) = self.pick(*n, |c| !c.is_established) {
                    self.clients.get_mut(&id).unwrap().answered = true;
                    self.event(Event::ClientLeft(RequestId(id)));
                }
            }
            Step::Wait(span) => self.advance(*span),
            Step::DiscoveryFailed => self.event(Event::DiscoveryFailed),
            Step::UnknownIds(id, token) => {
                // Ids nobody knows, tokens of an earlier life.
                let request = RequestId(id | 1 << 31);
                let server = ServerId(u64::from(*id));
                self.event(Event::Established { request, attempt: 3 });
                let outcome = Outcome::Reset;
                self.event(Event::AttemptEnded {
                    request,
                    server,
                    attempt: 9,
                    outcome,
                    is_answered: false,
                    load_ratio: None,
                });
                self.event(Event::ClientLeft(request));
                self.event(Event::LoadChanged { request, load: f64::NAN });
                self.event(Event::ProbeEnded { server, outcome, load_ratio: None });
                self.event(Event::TimerFired(*token | 1 << 63));
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 300, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn any_sequence_keeps_the_rules_and_is_deterministic(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let run = || {
            let mut w = RandomRun::new(seed);
            w.apply(&Step::List { ready: 0xff, draining: 0, full: true, born: 0.0 });
            steps.iter().for_each(|s| w.apply(s));
            w.advance(5.0);
            w.log
        };
        prop_assert_eq!(run(), run());
    }
}

#[test]
fn names_in_the_settings_do_not_matter() {
    let run = |class: &str, zone: &str, tenant: &str| {
        let text = format!(
            r#"{{"name":"{zone}","classes":[{{"name":"{class}","promise_s":0.5,"semantics":"read_like"}}],
            "flavors":["{class}"],"tiers":["{tenant}"],"tenants":[{{"name":"{tenant}","fraction":1.0}}],
            "zones":["{zone}","{zone}2"],"group_size":9,"tick_s":0.005,"specifics":{{"groups":true}},
            "limits":{{"max_attempts":3,"connect_timeout_s":0.2}}}}"#
        );
        let mut instance =
            TestInstance::new(shorewharf_settings::parse(text.as_bytes()).unwrap().settings, 20);
        (0..50)
            .flat_map(|id| instance.receive(Request { group: u64::from(id % 5), ..request(id, 100.0) }))
            .collect::<Vec<_>>()
    };
    assert_eq!(run("a", "b", "c"), run("upload", "north", "acme"));
}
