//! Random sequences of valid and invalid events: the invariants of the rules, determinism, and the
//! independence of decisions from names in the settings.

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
    List { ready: u32, draining: u32, is_complete: bool, started_at: f64 },
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

fn unusual_number() -> impl Strategy<Value = f64> {
    prop_oneof![Just(f64::NAN), Just(f64::INFINITY), Just(-1.0), Just(0.0), 0.001..3.0]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        6 => (0..5usize, 0..9u64, 0..5u64, unusual_number())
            .prop_map(|(class, key, group, load)| Step::Receive { class, key, group, load }),
        1 => (0..9u64).prop_map(|server| Step::Restore { server }),
        5 => any::<usize>().prop_map(Step::Establish),
        5 => (any::<usize>(), outcome()).prop_map(|(index, outcome)| Step::End(index, outcome)),
        2 => (0..9u64, unusual_number()).prop_map(|(server, delay)| Step::Delay(server, delay)),
        2 => (any::<u32>(), any::<u32>(), any::<bool>(), 0.0..120.0)
            .prop_map(|(ready, draining, is_complete, started_at)| {
                Step::List { ready, draining, is_complete, started_at }
            }),
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
    .map(|idempotency| RequestClass {
        latency_objective: 0.5,
        priority_weight: 1.0,
        idempotency,
        message_latency_objective: 0.1,
    })
    .collect()
}

/// What the test knows about a request, as the basis for checking the balancer's actions.
#[derive(Default)]
struct ExpectedRequest {
    class: usize,
    deadline: f64,
    attempts: u32,
    pending_attempt: Option<(ServerId, u32)>,
    is_established: bool,
    possible_run: Option<(ServerId, f64)>,
    sent_at: f64,
    is_answered: bool,
}

struct RandomRun {
    instance: TestInstance,
    timers: Vec<(f64, u64)>,
    requests: BTreeMap<u32, ExpectedRequest>,
    listed: BTreeMap<u64, ServerEntry>,
    next_id: u32,
    log: Vec<Action>,
}

impl RandomRun {
    fn new(seed: u64) -> Self {
        let settings = Settings { classes: classes(), polls_discovery: seed.is_multiple_of(2), ..settings() };
        let mut run = RandomRun {
            instance: TestInstance { balancer: Balancer::new(settings, seed), now: 100.0 },
            timers: Vec::new(),
            requests: BTreeMap::new(),
            listed: BTreeMap::new(),
            next_id: 0,
            log: Vec::new(),
        };
        run.event(Event::Start);
        run
    }

    fn event(&mut self, event: Event) {
        let actions = self.instance.handle(event);
        self.check(&actions);
        record_timers(&actions, self.instance.now, &mut self.timers);
        self.log.extend(actions);
    }

    fn check(&mut self, actions: &[Action]) {
        let now = self.instance.now;
        for action in actions {
            match action {
                Action::BeginAttempt { request, server, timeout } => {
                    let expected = self.requests.get_mut(&request.0).expect("a known request");
                    assert!(
                        !expected.is_answered
                            && expected.pending_attempt.is_none()
                            && !expected.is_established,
                        "there is one attempt at a time, and none after the answer"
                    );
                    assert!(now + timeout <= expected.deadline + 0.001 && *timeout > 0.0);
                    let entry = self.listed.get(&server.0).expect("a listed server");
                    assert_eq!(entry.state, ServerState::Ready, "only ready servers are sent requests");
                    if let Some((first, sent_at)) = expected.possible_run {
                        let first_entry = self.listed.get(&first.0);
                        match classes()[expected.class].idempotency {
                            Idempotency::Idempotent => {}
                            Idempotency::NonIdempotent => {
                                panic!("a request that must not be repeated may have run")
                            }
                            Idempotency::Keyed(scope, window) => {
                                assert!(now - sent_at < window);
                                match scope {
                                    DeduplicationScope::All => {}
                                    DeduplicationScope::Zone => {
                                        assert_eq!(first_entry.unwrap().zone, entry.zone);
                                    }
                                    DeduplicationScope::Cell => {
                                        assert_eq!(first_entry.unwrap().cell, entry.cell);
                                    }
                                }
                            }
                        }
                    }
                    expected.pending_attempt = Some((*server, expected.attempts));
                    expected.attempts += 1;
                    expected.sent_at = now;
                    assert!(expected.attempts <= 4);
                }
                Action::Reject { request, retry_after } => {
                    let expected = self.requests.get_mut(&request.0).unwrap();
                    let is_idempotent = matches!(
                        classes()[expected.class].idempotency,
                        Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All, _)
                    );
                    assert!(
                        !expected.is_answered
                            && (is_idempotent
                                || (expected.possible_run.is_none() && expected.pending_attempt.is_none()))
                    );
                    assert!(*retry_after >= 0.0 && *retry_after <= 1.0);
                    expected.is_answered = true;
                }
                Action::Fail(request) => {
                    let expected = self.requests.get_mut(&request.0).unwrap();
                    assert!(!expected.is_answered);
                    expected.is_answered = true;
                }
                Action::Migrate(request) => {
                    let expected = self.requests.get_mut(&request.0).unwrap();
                    assert!(
                        expected.is_established && !expected.is_answered,
                        "only established connections are migrated"
                    );
                    expected.is_answered = true;
                }
                Action::SetTimer { after, .. } => assert!(after.is_finite() && *after >= 0.0),
                _ => {}
            }
        }
    }

    fn pick(&self, index: usize, is_eligible: impl Fn(&ExpectedRequest) -> bool) -> Option<u32> {
        let eligible: Vec<u32> =
            self.requests.iter().filter(|(_, expected)| is_eligible(expected)).map(|(id, _)| *id).collect();
        (!eligible.is_empty()).then(|| eligible[index % eligible.len()])
    }

    fn advance(&mut self, seconds: f64) {
        let until = self.instance.now + seconds;
        loop {
            self.timers.sort_by(|a, b| a.0.total_cmp(&b.0));
            let Some(&(at, token)) = self.timers.first().filter(|timer| timer.0 <= until) else { break };
            self.timers.remove(0);
            self.instance.now = self.instance.now.max(at);
            self.event(Event::TimerFired(token));
            self.check_overdue();
        }
        self.instance.now = until;
        self.check_overdue();
    }

    fn check_overdue(&self) {
        for (id, expected) in &self.requests {
            let is_on_time = expected.is_answered
                || expected.is_established
                || self.instance.now < expected.deadline + 0.02;
            assert!(
                is_on_time,
                "request {id} is unanswered at {}, its deadline was {}",
                self.instance.now, expected.deadline
            );
        }
    }

    #[expect(clippy::too_many_lines, reason = "one arm for each kind of step")]
    fn apply(&mut self, step: &Step) {
        match step {
            Step::Receive { class, key, group, load } => {
                self.next_id += 1;
                let request = Request {
                    class: *class,
                    key: *key,
                    group: *group,
                    load: Some(*load),
                    ..request(self.next_id, self.instance.now)
                };
                let expected = ExpectedRequest {
                    class: *class,
                    deadline: request.deadline,
                    ..ExpectedRequest::default()
                };
                self.requests.insert(self.next_id, expected);
                self.event(Event::RequestReceived(request));
            }
            Step::Restore { server } => {
                self.next_id += 1;
                let request = request(self.next_id, self.instance.now);
                let expected = ExpectedRequest {
                    is_established: true,
                    pending_attempt: Some((ServerId(*server), 0)),
                    ..ExpectedRequest::default()
                };
                self.requests.insert(self.next_id, ExpectedRequest { attempts: 1, ..expected });
                self.event(Event::ConnectionRestored(request, ServerId(*server)));
            }
            Step::Establish(index) => {
                if let Some(id) = self.pick(*index, |expected| {
                    expected.pending_attempt.is_some() && !expected.is_established && !expected.is_answered
                }) {
                    let expected = self.requests.get_mut(&id).unwrap();
                    expected.is_established = true;
                    let attempt = expected.pending_attempt.unwrap().1;
                    self.event(Event::Established { request: RequestId(id), attempt });
                }
            }
            Step::End(index, outcome) => {
                let Some(id) = self.pick(*index, |expected| expected.pending_attempt.is_some()) else {
                    return;
                };
                let expected = self.requests.get_mut(&id).unwrap();
                let (server, attempt) = expected.pending_attempt.take().unwrap();
                let is_final = expected.is_established || *outcome == Outcome::Ok;
                if !outcome.never_ran() && expected.possible_run.is_none() {
                    expected.possible_run = Some((server, expected.sent_at));
                }
                let was_answered = expected.is_answered;
                expected.is_answered |= is_final;
                expected.is_established = false;
                let request = RequestId(id);
                let (outcome, is_answered) = (*outcome, is_final || was_answered);
                self.event(Event::AttemptEnded {
                    request,
                    server,
                    attempt,
                    outcome,
                    is_answered,
                    load_ratio: Some(f64::NAN),
                });
            }
            Step::Delay(server, delay) => {
                self.event(Event::MessageDelay { server: ServerId(*server), delay: *delay });
            }
            Step::List { ready, draining, is_complete, started_at } => {
                let mut entries = Vec::new();
                for i in 0..9u64 {
                    let bit = 1 << i;
                    if ready & bit != 0 || (!is_complete && draining & bit != 0) {
                        let state = match (draining & bit != 0, ready & bit != 0) {
                            (true, true) => ServerState::Draining,
                            (true, false) => ServerState::Removed,
                            _ => ServerState::Ready,
                        };
                        let weight = if i == 3 { f64::NAN } else { i as f64 };
                        let started_at = if i % 3 == 0 { *started_at } else { 0.0 };
                        entries.push(ServerEntry { state, weight, started_at, ..entry(i) });
                    }
                }
                if *is_complete {
                    self.listed.values_mut().for_each(|entry| entry.state = ServerState::Removed);
                }
                self.listed.extend(entries.iter().map(|entry| (entry.server.0, *entry)));
                self.event(Event::EndpointList {
                    is_complete: *is_complete,
                    is_cached: false,
                    entries: entries.into(),
                });
            }
            Step::Leave(index) => {
                if let Some(id) = self.pick(*index, |expected| !expected.is_established) {
                    self.requests.get_mut(&id).unwrap().is_answered = true;
                    self.event(Event::ClientLeft(RequestId(id)));
                }
            }
            Step::Wait(seconds) => self.advance(*seconds),
            Step::DiscoveryFailed => self.event(Event::DiscoveryFailed),
            Step::UnknownIds(id, token) => {
                // Unknown ids, and a timer token that this instance did not set.
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
    fn any_sequence_of_events_obeys_the_rules_and_is_deterministic(
        seed in any::<u64>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let log_of_run = || {
            let mut run = RandomRun::new(seed);
            run.apply(&Step::List { ready: 0xff, draining: 0, is_complete: true, started_at: 0.0 });
            steps.iter().for_each(|step| run.apply(step));
            run.advance(5.0);
            run.log
        };
        prop_assert_eq!(log_of_run(), log_of_run());
    }
}

#[test]
fn decisions_do_not_depend_on_names_in_the_settings() {
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
