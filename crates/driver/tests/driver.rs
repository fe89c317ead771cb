//! The driver between a module and peers that only note what they are asked.

use std::collections::VecDeque;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId, ServerState};
use shorewharf_driver::{Driver, Effects, NetworkEvent, ReceivedRequest};
use shorewharf_settings::operator::Operator;
use shorewharf_units::Micros;

#[derive(Clone, Debug, PartialEq)]
enum Call {
    Fetch(RequestId, ServerId),
    Cancel(RequestId),
    Refuse(RequestId, Micros),
    Fail(RequestId),
    Move(RequestId),
    Probe(ServerId),
    Watch,
}

#[derive(Default)]
struct Notes {
    now: Micros,
    calls: Vec<Call>,
    timers: Vec<(Micros, u64)>,
    happenings: VecDeque<NetworkEvent>,
}

impl Effects for Notes {
    fn now(&self) -> Micros {
        self.now
    }
    fn next_event(&mut self) -> Option<NetworkEvent> {
        self.happenings.pop_front()
    }
    fn begin_attempt(&mut self, req: RequestId, server: ServerId, _: Micros) {
        self.calls.push(Call::Fetch(req, server));
    }
    fn cancel_attempt(&mut self, req: RequestId) {
        self.calls.push(Call::Cancel(req));
        self.happenings.push_back(NetworkEvent::AttemptEnded(req, Outcome::Cancelled));
    }
    fn reject(&mut self, req: RequestId, after: Micros) {
        self.calls.push(Call::Refuse(req, after));
    }
    fn fail(&mut self, req: RequestId) {
        self.calls.push(Call::Fail(req));
    }
    fn migrate(&mut self, req: RequestId) {
        self.calls.push(Call::Move(req));
        self.happenings.push_back(NetworkEvent::AttemptEnded(req, Outcome::Cancelled));
    }
    fn probe(&mut self, server: ServerId) {
        self.calls.push(Call::Probe(server));
    }
    fn watch_endpoints(&mut self) {
        self.calls.push(Call::Watch);
    }
    fn set_timer(&mut self, after: Micros, token: u64) {
        self.timers.push((self.now + after, token));
    }
    fn log(&mut self, _: &str) {}
}

struct Rig {
    driver: Driver,
    peers: Notes,
}

fn entry(server: u64, stage: ServerState) -> ServerEntry {
    ServerEntry { server: ServerId(server), zone: 0, cell: 0, state: stage, weight: 1.0, started_at: 0.0 }
}

impl Rig {
    fn new(servers: u64) -> Self {
        let text = br#"{"classes":[{"promise_s":1.0,"semantics":"read_like"}],"group_size":1,"tick_s":0.005,
            "registry_mode":"ask","weights":"nominal","specifics":{"mode":"proxy","message_aim_s":[0.05]},
            "limits":{"cancel":true,"connect_timeout_s":0.15,"max_attempts":5,"max_retry_after_s":1.5,"retry_after":true},
            "rules":{"ask_within_s":10}}"#;
        let set = shorewharf_settings::settings(text).expect("settings").0;
        let mut peers = Notes { now: 1_700_000_000_000_000, ..Notes::default() };
        let known = (1..=servers).map(|s| entry(s, ServerState::Ready)).collect();
        Rig { driver: Driver::start(set, &Operator::default(), 3, known, &mut peers), peers }
    }

    /// What the module asks for when this happens.
    fn happens(&mut self, happening: NetworkEvent) -> Vec<Call> {
        self.peers.happenings.push_back(happening);
        self.driver.process_events(&mut self.peers);
        std::mem::take(&mut self.peers.calls)
    }

    fn asked(&mut self, id: u32) -> Vec<Call> {
        let deadline = self.peers.now + 3_000_000;
        let req = ReceivedRequest {
            id: RequestId(id),
            class: 0,
            tenant: 0,
            key: 9,
            deadline,
            load: None,
            group: 0,
            is_returning: false,
        };
        self.happens(NetworkEvent::RequestReceived(req))
    }

    /// Lets time pass and brings the timers that are due.
    fn waits(&mut self, time: Micros) -> Vec<Call> {
        let end = self.peers.now + time;
        let mut calls = Vec::new();
        loop {
            self.peers.timers.sort();
            match self.peers.timers.first().copied().filter(|t| t.0 <= end) {
                Some((at, token)) => {
                    self.peers.timers.remove(0);
                    self.peers.now = at;
                    calls.extend(self.happens(NetworkEvent::TimerFired(token)));
                }
                None => break,
            }
        }
        self.peers.now = end;
        calls
    }
}

fn fetched(calls: &[Call]) -> ServerId {
    match calls {
        [Call::Fetch(_, server)] => *server,
        other => panic!("one fetch was expected, not {other:?}"),
    }
}

const ID: RequestId = RequestId(7);

#[test]
fn a_failed_fetch_is_followed_by_one_at_another_server() {
    let mut rig = Rig::new(2);
    let first = fetched(&rig.asked(7));
    let second = fetched(&rig.happens(NetworkEvent::AttemptEnded(ID, Outcome::ConnectFailed)));
    assert_ne!(first, second);
}

#[test]
fn an_end_that_was_told_already_changes_nothing() {
    let mut rig = Rig::new(3);
    rig.asked(7);
    rig.happens(NetworkEvent::AttemptEnded(ID, Outcome::ConnectFailed));
    rig.happens(NetworkEvent::AttemptEnded(ID, Outcome::ConnectFailed));
    let last = rig.happens(NetworkEvent::AttemptEnded(ID, Outcome::Rejected));
    assert!(matches!(last[..], [Call::Refuse(ID, wait)] if wait > 0), "{last:?}");
    assert_eq!(rig.happens(NetworkEvent::AttemptEnded(ID, Outcome::Rejected)), []);
    assert_eq!(rig.driver.open_requests(), 0);
}

#[test]
fn a_connection_that_stood_is_complete_when_it_ends() {
    // Told as incomplete, the module would place the connection again or answer it once more.
    for outcome in [Outcome::Ok, Outcome::Reset, Outcome::Cancelled] {
        let mut rig = Rig::new(3);
        rig.asked(7);
        assert_eq!(rig.happens(NetworkEvent::AttemptEstablished(ID)), []);
        assert_eq!(rig.happens(NetworkEvent::AttemptEnded(ID, outcome)), [], "{outcome:?}");
        assert_eq!(rig.driver.open_requests(), 0);
        assert_eq!(rig.waits(4_000_000).iter().filter(|c| **c != Call::Watch).count(), 0);
    }
}

#[test]
fn a_timed_out_fetch_still_owes_the_answer() {
    let mut rig = Rig::new(1);
    rig.asked(7);
    let calls = rig.happens(NetworkEvent::AttemptEnded(ID, Outcome::TimedOut));
    assert!(matches!(calls[..], [Call::Refuse(ID, wait)] if wait > 0), "{calls:?}");
}

#[test]
fn a_fetch_that_never_ends_is_called_off_and_the_client_told_once() {
    let mut rig = Rig::new(1);
    rig.asked(7);
    let calls: Vec<Call> = rig.waits(3_000_000).into_iter().filter(|c| *c != Call::Watch).collect();
    assert_eq!(calls, [Call::Cancel(ID), Call::Fail(ID)]);
    assert_eq!(rig.driver.open_requests(), 0);
}

#[test]
fn a_client_that_left_gets_no_answer_and_is_forgotten_with_its_fetch() {
    let mut rig = Rig::new(2);
    rig.asked(7);
    assert_eq!(rig.happens(NetworkEvent::ClientLeft(ID)), []);
    assert_eq!(rig.driver.open_requests(), 1);
    assert_eq!(rig.happens(NetworkEvent::AttemptEnded(ID, Outcome::Cancelled)), []);
    assert_eq!(rig.driver.open_requests(), 0);
}

#[test]
fn clients_of_a_draining_server_are_moved_and_nobody_new_goes_there() {
    let mut rig = Rig::new(2);
    let server = fetched(&rig.asked(7));
    rig.happens(NetworkEvent::AttemptEstablished(ID));
    let entries = vec![entry(server.0, ServerState::Draining)];
    let calls =
        rig.happens(NetworkEvent::EndpointListReceived { is_complete: false, is_cached: false, entries });
    assert_eq!(calls, [Call::Move(ID)]);
    assert_eq!(rig.driver.open_requests(), 0);
    for id in 8..20 {
        assert_ne!(fetched(&rig.asked(id)), server);
    }
}

#[test]
fn a_connection_from_before_the_start_is_moved_like_any_other() {
    let mut rig = Rig::new(2);
    let deadline = rig.peers.now + 3_000_000;
    let req = ReceivedRequest {
        id: ID,
        class: 0,
        tenant: 0,
        key: 9,
        deadline,
        load: None,
        group: 0,
        is_returning: false,
    };
    assert_eq!(rig.happens(NetworkEvent::ConnectionRestored(req, ServerId(1))), []);
    // It stands: its deadline binds no more.
    assert_eq!(rig.waits(5_000_000).iter().filter(|c| **c != Call::Watch).count(), 0);
    let entries = vec![entry(1, ServerState::Draining)];
    assert_eq!(
        rig.happens(NetworkEvent::EndpointListReceived { is_complete: false, is_cached: false, entries }),
        [Call::Move(ID)]
    );
}

#[test]
fn slow_messages_move_clients_away() {
    let mut rig = Rig::new(2);
    let server = fetched(&rig.asked(7));
    rig.happens(NetworkEvent::AttemptEstablished(ID));
    let before: Vec<Call> = rig.happens(NetworkEvent::MessageDelayReported(server, 17_000));
    assert_eq!(before, []);
    let calls: Vec<Call> =
        (0..20).flat_map(|_| rig.happens(NetworkEvent::MessageDelayReported(server, 900_000))).collect();
    assert_eq!(calls, [Call::Move(ID)]);
}

#[test]
fn the_director_is_asked_soon_and_again_within_three_seconds_of_each_failure() {
    // What discovery has to tell counts as told after 6 s, so a failed call must be repeated well before.
    let mut rig = Rig::new(0);
    assert_eq!(rig.waits(3_000_000), [Call::Watch]);
    for _ in 0..8 {
        assert_eq!(rig.happens(NetworkEvent::DiscoveryFailed), []);
        assert_eq!(rig.waits(3_000_000), [Call::Watch]);
    }
}
