//! Compares the guard with a simple model of the rules on duplicates: for random classes and sequences of
//! steps, both must allow and forbid the same steps.

use proptest::prelude::*;
use shorewharf_decisions::interface::{DeduplicationScope, Idempotency, Outcome, RequestId, ServerId};
use shorewharf_lifecycle::{Answer, Cause, RequestGuard, Rule, Target};
use shorewharf_units::Micros;

const ID: RequestId = RequestId(3);
/// The time before the end of a deduplication window in which the guard sends no retry.
const MAX_WRITE_DELAY: Micros = 150_000;

#[derive(Clone, Copy, Debug)]
enum Step {
    Begin(Target),
    Send,
    End(Outcome),
    Reject,
    Fail,
    Close,
    Wait(Micros),
}

/// An attempt in the model.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    target: Target,
    sent_at: Option<Micros>,
    outcome: Option<Outcome>,
}

impl Attempt {
    fn may_have_run(&self) -> bool {
        self.sent_at.is_some() && !self.outcome.is_some_and(Outcome::never_ran)
    }
}

/// The rules without a state machine: all attempts so far, and whether the client has its final answer.
#[derive(Debug)]
struct Model {
    idempotency: Idempotency,
    attempts: Vec<Attempt>,
    is_answered: bool,
}

impl Model {
    fn possible_runs(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.iter().filter(|attempt| attempt.may_have_run())
    }

    fn may_reject(&self) -> bool {
        let is_harmless = matches!(
            self.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All, _)
        );
        is_harmless || self.possible_runs().next().is_none()
    }

    fn may_send_to(&self, target: Target) -> bool {
        self.possible_runs().all(|run| match self.idempotency {
            Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All, _) => true,
            Idempotency::NonIdempotent => false,
            Idempotency::Keyed(DeduplicationScope::Zone, _) => run.target.zone == target.zone,
            Idempotency::Keyed(DeduplicationScope::Cell, _) => run.target.cell == target.cell,
        })
    }

    fn is_in_window(&self, now: Micros) -> bool {
        let Idempotency::Keyed(_, window) = self.idempotency else { return true };
        let first = self.possible_runs().filter_map(|run| run.sent_at).min();
        first.is_none_or(|sent_at| now + MAX_WRITE_DELAY < sent_at + (window * 1e6) as Micros)
    }

    fn pending_attempt(&mut self) -> Option<&mut Attempt> {
        self.attempts.last_mut().filter(|attempt| attempt.outcome.is_none())
    }
}

fn idempotency() -> impl Strategy<Value = Idempotency> {
    let scope = prop_oneof![
        Just(DeduplicationScope::All),
        Just(DeduplicationScope::Zone),
        Just(DeduplicationScope::Cell)
    ];
    prop_oneof![
        Just(Idempotency::Idempotent),
        Just(Idempotency::NonIdempotent),
        (scope, 0.2..3.0f64).prop_map(|(scope, window)| Idempotency::Keyed(scope, window)),
    ]
}

fn target() -> impl Strategy<Value = Target> {
    (0..4u64, 0..2u32, 0..2u32).prop_map(|(server, zone, cell)| Target {
        server: ServerId(server),
        zone,
        cell,
    })
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop::sample::select(vec![
        Outcome::Error,
        Outcome::Rejected,
        Outcome::TimedOut,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ])
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => target().prop_map(Step::Begin),
        4 => Just(Step::Send),
        4 => outcome().prop_map(Step::End),
        1 => Just(Step::Reject),
        1 => Just(Step::Fail),
        1 => Just(Step::Close),
        2 => (1..800_000u64).prop_map(Step::Wait),
    ]
}

fn begin(guard: &mut RequestGuard, model: &mut Model, target: Target) {
    let expected = if model.is_answered {
        Some(Rule::AttemptAfterAnswer)
    } else if model.pending_attempt().is_some() {
        Some(Rule::ConcurrentAttempt)
    } else if !model.may_send_to(target) {
        Some(Rule::RepeatedAfterRun)
    } else {
        None
    };
    assert_eq!(guard.begin_attempt(ID, target).map_err(|violation| violation.rule).err(), expected);
    if expected.is_none() {
        model.attempts.push(Attempt { target, sent_at: None, outcome: None });
    }
}

fn send(guard: &mut RequestGuard, model: &mut Model, now: Micros) {
    let is_ready =
        !model.is_answered && model.pending_attempt().is_some_and(|attempt| attempt.sent_at.is_none());
    let sent = guard.send(ID, now).map_err(|violation| violation.rule);
    if !is_ready {
        return assert_eq!(sent, Err(Rule::AttemptAfterAnswer));
    }
    let in_window = model.is_in_window(now);
    assert_eq!(sent, Ok(in_window));
    if in_window {
        model.pending_attempt().expect("an attempt is pending").sent_at = Some(now);
    }
}

fn answer(guard: &mut RequestGuard, model: &mut Model, answer: Answer) {
    let expected = match answer {
        _ if model.is_answered => Some(Rule::SecondAnswer),
        Answer::Rejected { .. } if !model.may_reject() => Some(Rule::RejectedAfterRun),
        Answer::Closed => Some(Rule::ClosedUnanswered),
        _ => None,
    };
    let result = guard.answer(ID, answer, Cause::Decision);
    let replacement = result.as_ref().err().and_then(|forbidden| forbidden.replacement);
    assert_eq!(result.map_err(|forbidden| forbidden.violation.rule).err(), expected);
    // A forbidden answer is replaced by a failure, never by a rejection, and only if it is the first answer.
    assert_eq!(replacement, expected.filter(|rule| *rule != Rule::SecondAnswer).map(|_| Answer::Failed));
    model.is_answered = true;
}

fn run_steps(idempotency: Idempotency, steps: &[Step]) {
    let mut guard = RequestGuard::default();
    let mut model = Model { idempotency, attempts: Vec::new(), is_answered: false };
    let mut now = 1_000_000;
    guard.receive(ID, idempotency);
    guard.queue(ID);
    for step in steps {
        match *step {
            Step::Begin(target) => begin(&mut guard, &mut model, target),
            Step::Send => send(&mut guard, &mut model, now),
            Step::End(outcome) if !model.is_answered => {
                guard.end_attempt(ID, outcome);
                model.pending_attempt().into_iter().for_each(|attempt| attempt.outcome = Some(outcome));
            }
            Step::End(_) => {}
            Step::Reject => answer(&mut guard, &mut model, Answer::Rejected { retry_after: 300_000 }),
            Step::Fail => answer(&mut guard, &mut model, Answer::Failed),
            Step::Close => answer(&mut guard, &mut model, Answer::Closed),
            Step::Wait(time) => now += time,
        }
        if !model.is_answered {
            assert_eq!(guard.is_rejectable(ID), model.may_reject());
            let is_rejected = matches!(guard.answer_for_unserved(ID, 1), Answer::Rejected { .. });
            assert_eq!(is_rejected, model.may_reject());
        }
    }
    assert_eq!(
        guard.close(ID).is_err(),
        !model.is_answered,
        "closing must be a violation exactly if the client still waits for its answer"
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4096, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn the_guard_and_the_model_agree(idempotency in idempotency(), steps in prop::collection::vec(step(), 1..24)) {
        run_steps(idempotency, &steps);
    }
}

#[test]
fn every_violation_is_counted_by_rule() {
    let mut guard = RequestGuard::default();
    let target = Target { server: ServerId(1), zone: 0, cell: 0 };
    guard.receive(ID, Idempotency::NonIdempotent);
    assert_eq!(guard.begin_attempt(ID, target), Ok(()));
    assert_eq!(
        guard.begin_attempt(ID, target).expect_err("an attempt is pending already").rule,
        Rule::ConcurrentAttempt
    );
    assert_eq!(guard.send(ID, 5), Ok(true));
    guard.end_attempt(ID, Outcome::Reset);
    assert_eq!(
        guard.begin_attempt(ID, target).expect_err("the first attempt may have run").rule,
        Rule::RepeatedAfterRun
    );
    let forbidden =
        guard.answer(ID, Answer::Rejected { retry_after: 0 }, Cause::Shutdown).expect_err("it may have run");
    let violation = forbidden.violation;
    assert_eq!(
        (violation.rule, violation.attempt, violation.server),
        (Rule::RejectedAfterRun, 1, Some(ServerId(1)))
    );
    assert_eq!(forbidden.replacement, Some(Answer::Failed));
    assert_eq!(guard.close(ID), Ok(()));
    let stats = guard.stats();
    assert_eq!((stats.first_attempts, stats.retries, stats.violations_total()), (1, 0, 3));
    assert_eq!(stats.answers_of(Answer::Failed), 1);
}
