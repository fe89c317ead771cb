//! Violations of each rule are reported, and requests that follow the rules are not.

use std::time::Duration;

use shorewharf_soak::ledger::{Answer, Attempt, Interval, Ledger, Pause, ProcessHistory, Request};
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

/// A request of a class (by its index in [`Semantics::ALL`]), sent at 1 s and answered 0.5 s later.
fn request(class: usize, answer: Answer, attempts: Vec<Attempt>) -> Request {
    let (began_at, sent_at) = (ms(1000), ms(1000));
    Request { class, began_at, sent_at, answer: Some((answer, ms(1500))), attempts, ..Request::default() }
}

/// The rules that one request violates at a balancer with this history. Servers 0 and 2 are in one zone, server 1 in
/// another.
fn violated_with(history: ProcessHistory, request: Request) -> Vec<&'static str> {
    let zones = vec![0, 1, 0];
    let mut ledger = Ledger { processes: vec![history], zones, ..Ledger::default() };
    ledger.requests.insert(1, request);
    ledger.violations(&classes()).iter().map(|violation| violation.rule).collect()
}

fn violated(request: Request) -> Vec<&'static str> {
    violated_with(ProcessHistory::default(), request)
}

const NONE: [&str; 0] = [];

#[test]
fn a_rejection_after_a_possible_run_is_a_violation_unless_the_semantics_allow_it() {
    let after_run = |class| violated(request(class, Answer::Rejected, vec![attempt(0, 1010, 1400)]));
    assert_eq!([after_run(0), after_run(1)], [NONE, NONE]);
    assert_eq!([after_run(2), after_run(3)], [vec!["refused-after-run"], vec!["refused-after-run"]]);
    let rejected = Attempt { is_rejected: true, ..attempt(0, 1010, 1020) };
    assert_eq!(violated(request(3, Answer::Rejected, vec![rejected])), NONE);
    // The configuration in effect when the request was sent made its class idempotent.
    let all_idempotent = vec![Interval { from: ms(900), to: None }];
    let idempotent = ProcessHistory { all_idempotent, ..ProcessHistory::default() };
    assert_eq!(violated_with(idempotent, request(3, Answer::Rejected, vec![attempt(0, 1010, 1400)])), NONE);
}

#[test]
fn a_repeat_is_a_violation_unless_semantics_zone_and_window_allow_it() {
    let repeated = |class, second, at| {
        violated(request(class, Answer::Failed, vec![attempt(0, 1010, 1020), attempt(second, at, at + 5)]))
    };
    assert_eq!(repeated(0, 1, 1800), NONE);
    assert_eq!([repeated(1, 1, 1100), repeated(1, 1, 1600)], [vec![], vec!["duplicate"]]);
    assert_eq!([repeated(2, 2, 1100), repeated(2, 1, 1100)], [vec![], vec!["duplicate"]]);
    assert_eq!(repeated(3, 2, 1100), ["duplicate"]);
    let both_open = vec![attempt(0, 1010, 1400), attempt(1, 1100, 1450)];
    assert_eq!(violated(request(0, Answer::Failed, both_open)), ["second-copy"]);
}

#[test]
fn requests_without_an_answer_in_time_are_violations() {
    assert_eq!(violated(request(0, Answer::Closed, vec![])), ["lost"]);
    assert_eq!(violated(request(0, Answer::TimedOut, vec![])), ["lost"]);
    let late = Request { answer: Some((Answer::Failed, ms(2100))), ..request(0, Answer::Failed, vec![]) };
    assert_eq!(violated(late.clone()), ["late"]);
    let paused =
        ProcessHistory { pauses: vec![Pause { at: ms(1900), length: ms(100) }], ..ProcessHistory::default() };
    assert_eq!(violated_with(paused, late), NONE);
    let killed = ProcessHistory { kills: vec![ms(1200)], ..ProcessHistory::default() };
    assert_eq!(violated_with(killed, request(0, Answer::Closed, vec![])), NONE);
    // A process that shuts down must answer the requests that it has read.
    let ended = ProcessHistory { exits: vec![ms(1490)], ..ProcessHistory::default() };
    assert_eq!(violated_with(ended, request(0, Answer::Closed, vec![])), ["lost"]);
    let cut =
        Request { cut_at: Some(ms(1800)), ..request(0, Answer::Accepted, vec![attempt(0, 1010, 1800)]) };
    assert_eq!(violated(cut), ["cut"]);
}

/// Guards against a restart that loses requests in pieces and is taken for one that never read them.
#[test]
fn a_request_in_pieces_is_excused_by_a_kill_between_them_and_not_by_an_exit() {
    let in_pieces = Request { began_at: ms(700), ..request(0, Answer::Closed, vec![]) };
    let exited = |at| ProcessHistory { exits: vec![ms(at)], ..ProcessHistory::default() };
    let killed = |at| ProcessHistory { kills: vec![ms(at)], ..ProcessHistory::default() };
    assert_eq!(violated_with(killed(800), in_pieces.clone()), NONE);
    assert_eq!(violated_with(killed(500), in_pieces.clone()), ["lost"]);
    assert_eq!(violated_with(exited(1020), in_pieces.clone()), ["lost"]);
    assert_eq!(violated_with(exited(720), in_pieces), NONE);
}

#[test]
fn attempts_after_the_client_has_disconnected_or_at_draining_servers_are_violations() {
    let left = |read_at| Request {
        disconnected_at: Some(ms(1100)),
        ..request(0, Answer::Closed, vec![attempt(0, read_at, 1900)])
    };
    assert_eq!([violated(left(1200)), violated(left(1400))], [vec![], vec!["sent-after-client"]]);
    let drained = |since| {
        let attempt = Attempt { draining_since: Some(ms(since)), ..attempt(0, 1300, 1400) };
        violated(request(0, Answer::Failed, vec![attempt]))
    };
    assert_eq!([drained(400), drained(200)], [vec![], vec!["drain"]]);
}
