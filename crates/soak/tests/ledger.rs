//! Each rule is seen broken where it is, and kept where it is not.

use std::time::Duration;

use shorewharf_soak::ledger::{Answer, Attempt, Ledger, Pause, Process, Request, Span};
use shorewharf_soak::plan::{Class, Semantics};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn classes() -> Vec<Class> {
    let class =
        |semantics| Class { name: format!("{semantics:?}"), semantics, deadline: ms(1000), window: ms(500) };
    Semantics::ALL.map(class).to_vec()
}

fn attempt(server: usize, read_at: u64, ended_at: u64) -> Attempt {
    let ended_at = Some(ms(ended_at));
    Attempt { server, read_at: ms(read_at), ended_at, is_rejected: false, draining_since: None }
}

/// A request of a class (by its place in [`Semantics::ALL`]), sent at 1 s and answered 0.5 s later.
fn request(class: usize, answer: Answer, attempts: Vec<Attempt>) -> Request {
    Request { class, sent_at: ms(1000), answer: Some((answer, ms(1500))), attempts, ..Request::default() }
}

/// The rules that one request breaks, at a balancer with this history. Servers 0 and 2 are in one zone, 1 is not.
fn broken_with(process: Process, request: Request) -> Vec<&'static str> {
    let zones = vec![0, 1, 0];
    let mut ledger = Ledger { processes: vec![process], zones, ..Ledger::default() };
    ledger.requests.insert(1, request);
    ledger.violations(&classes()).iter().map(|violation| violation.rule).collect()
}

fn broken(request: Request) -> Vec<&'static str> {
    broken_with(Process::default(), request)
}

const KEPT: [&str; 0] = [];

#[test]
fn a_refusal_after_a_possible_run_is_seen_by_effect() {
    let refused = |class| broken(request(class, Answer::Rejected, vec![attempt(0, 1010, 1400)]));
    assert_eq!([refused(0), refused(1)], [KEPT, KEPT]);
    assert_eq!([refused(2), refused(3)], [vec!["refused-after-run"], vec!["refused-after-run"]]);
    let rejected = Attempt { is_rejected: true, ..attempt(0, 1010, 1020) };
    assert_eq!(broken(request(3, Answer::Rejected, vec![rejected])), KEPT);
    // The configuration in force as it was sent had it idempotent.
    let idempotent = Process { all_idempotent: vec![Span { from: ms(900), to: None }], ..Process::default() };
    assert_eq!(broken_with(idempotent, request(3, Answer::Rejected, vec![attempt(0, 1010, 1400)])), KEPT);
}

#[test]
fn a_repeat_is_seen_by_effect_zone_and_window() {
    let repeated = |class, second, at| {
        broken(request(class, Answer::Failed, vec![attempt(0, 1010, 1020), attempt(second, at, at + 5)]))
    };
    assert_eq!(repeated(0, 1, 1800), KEPT);
    assert_eq!([repeated(1, 1, 1100), repeated(1, 1, 1600)], [vec![], vec!["duplicate"]]);
    assert_eq!([repeated(2, 2, 1100), repeated(2, 1, 1100)], [vec![], vec!["duplicate"]]);
    assert_eq!(repeated(3, 2, 1100), ["duplicate"]);
    let both_out = vec![attempt(0, 1010, 1400), attempt(1, 1100, 1450)];
    assert_eq!(broken(request(0, Answer::Failed, both_out)), ["second-copy"]);
}

#[test]
fn requests_without_an_answer_in_time_are_seen() {
    assert_eq!(broken(request(0, Answer::Closed, vec![])), ["lost"]);
    assert_eq!(broken(request(0, Answer::TimedOut, vec![])), ["lost"]);
    let late = Request { answer: Some((Answer::Failed, ms(2100))), ..request(0, Answer::Failed, vec![]) };
    assert_eq!(broken(late.clone()), ["late"]);
    let paused = Process { pauses: vec![Pause { at: ms(1900), length: ms(100) }], ..Process::default() };
    assert_eq!(broken_with(paused, late), KEPT);
    let killed = Process { kills: vec![ms(1200)], ..Process::default() };
    assert_eq!(broken_with(killed, request(0, Answer::Closed, vec![])), KEPT);
    // A process that ends by itself owes an answer to whom it has read.
    let ended = Process { exits: vec![ms(1490)], ..Process::default() };
    assert_eq!(broken_with(ended, request(0, Answer::Closed, vec![])), ["lost"]);
    let cut =
        Request { cut_at: Some(ms(1800)), ..request(0, Answer::Accepted, vec![attempt(0, 1010, 1800)]) };
    assert_eq!(broken(cut), ["cut"]);
}

#[test]
fn attempts_for_nobody_and_at_servers_that_drain_are_seen() {
    let left = |read_at| Request {
        disconnected_at: Some(ms(1100)),
        ..request(0, Answer::Closed, vec![attempt(0, read_at, 1900)])
    };
    assert_eq!([broken(left(1200)), broken(left(1400))], [vec![], vec!["sent-after-client"]]);
    let drained = |since| {
        let attempt = Attempt { draining_since: Some(ms(since)), ..attempt(0, 1300, 1400) };
        broken(request(0, Answer::Failed, vec![attempt]))
    };
    assert_eq!([drained(400), drained(200)], [vec![], vec!["drain"]]);
}
