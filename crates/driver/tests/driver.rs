//! The driver between a module and peers that only note what they are asked.

use std::collections::VecDeque;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId, ServerState};
use shorewharf_driver::{Driver, Effects, InitialState, NetworkEvent, ReceivedRequest};
use shorewharf_settings::operator::Operator;
use shorewharf_units::Micros;

#[derive(Clone, Debug, PartialEq)]
enum Call {
    BeginAttempt(RequestId, ServerId),
    Cancel(RequestId),
    Reject(RequestId, Micros),
    Fail(RequestId),
    Migrate(RequestId),
    Probe(ServerId),
    WatchEndpoints,
}

#[derive(Default)]
struct RecordingEffects {
    now: Micros,
    calls: Vec<Call>,
    timers: Vec<(Micros, u64)>,
    events: VecDeque<NetworkEvent>,
}

impl Effects for RecordingEffects {
    fn now(&self) -> Micros {
        self.now
    }
    fn next_event(&mut self) -> Option<NetworkEvent> {
        self.events.pop_front()
    }
    fn begin_attempt(&mut self, request: RequestId, server: ServerId, _: Micros) {
        self.calls.push(Call::BeginAttempt(request, server));
    }
    fn cancel_attempt(&mut self, request: RequestId) {
        self.calls.push(Call::Cancel(request));
        self.events.push_back(NetworkEvent::AttemptEnded(request, Outcome::Cancelled));
    }
    fn reject(&mut self, request: RequestId, after: Micros) {
        self.calls.push(Call::Reject(request, after));
    }
    fn fail(&mut self, request: RequestId) {
        self.calls.push(Call::Fail(request));
    }
    fn migrate(&mut self, request: RequestId) {
        self.calls.push(Call::Migrate(request));
        self.events.push_back(NetworkEvent::AttemptEnded(request, Outcome::Cancelled));
    }
    fn probe(&mut self, server: ServerId) {
        self.calls.push(Call::Probe(server));
    }
    fn watch_endpoints(&mut self) {
        self.calls.push(Call::WatchEndpoints);
    }
    fn set_timer(&mut self, after: Micros, token: u64) {
        self.timers.push((self.now + after, token));
    }
    fn log(&mut self, _: &str) {}
}

struct DriverTest {
    driver: Driver,
    effects: RecordingEffects,
}

fn entry(server: u64, stage: ServerState) -> ServerEntry {
    ServerEntry { server: ServerId(server), zone: 0, cell: 0, state: stage, weight: 1.0, started_at: 0.0 }
}

impl DriverTest {
    fn new(servers: u64) -> Self {
        let text = br#"{"classes":[{"promise_s":1.0,"semantics":"read_like"}],"group_size":1,"tick_s":0.005,
            "registry_mode":"ask","weights":"nominal","specifics":{"mode":"proxy","message_aim_s":[0.05]},
            "limits":{"cancel":true,"connect_timeout_s":0.15,"max_attempts":5,"max_retry_after_s":1.5,"retry_after":true},
            "rules":{"ask_within_s":10}}"#;
        let set = shorewharf_settings::parse(text).expect("settings").settings;
        let mut effects = RecordingEffects { now: 1_700_000_000_000_000, ..RecordingEffects::default() };
        let known = (1..=servers).map(|s| entry(s, ServerState::Ready)).collect();
        DriverTest {
            driver: Driver::start(
                InitialState { settings: set, seed: 3, servers: known },
                &Operator::default(),
                &mut effects,
            ),
            effects,
        }
    }

    /// What the module asks for when this happens.
    fn on_event(&mut self, event: NetworkEvent) -> Vec<Call> {
        self.effects.events.push_back(event);
        self.driver.process_events(&mut self.effects);
        std::mem::take(&mut self.effects.calls)
    }

    fn receive_request(&mut self, id: u32) -> Vec<Call> {
        let deadline = self.effects.now + 3_000_000;
        let request = ReceivedRequest {
            id: RequestId(id),
            class: 0,
            tenant: 0,
            key: 9,
            deadline,
            load: None,
            group: 0,
            is_returning: false,
        };
        self.on_event(NetworkEvent::RequestReceived(request))
    }

    /// Lets time pass and brings the timers that are due.
    fn advance_by(&mut self, time: Micros) -> Vec<Call> {
        let end = self.effects.now + time;
        let mut calls = Vec::new();
        loop {
            self.effects.timers.sort();
            match self.effects.timers.first().copied().filter(|t| t.0 <= end) {
                Some((at, token)) => {
                    self.effects.timers.remove(0);
                    self.effects.now = at;
                    calls.extend(self.on_event(NetworkEvent::TimerFired(token)));
                }
                None => break,
            }
        }
        self.effects.now = end;
        calls
    }
}

fn attempted_server(calls: &[Call]) -> ServerId {
    match calls {
        [Call::BeginAttempt(_, server)] => *server,
        other => panic!("one fetch was expected, not {other:?}"),
    }
}

const ID: RequestId = RequestId(7);

#[test]
fn a_failed_fetch_is_followed_by_one_at_another_server() {
    let mut test = DriverTest::new(2);
    let first = attempted_server(&test.receive_request(7));
    let second = attempted_server(&test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::ConnectFailed)));
    assert_ne!(first, second);
}

#[test]
fn an_end_that_was_told_already_changes_nothing() {
    let mut test = DriverTest::new(3);
    test.receive_request(7);
    test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::ConnectFailed));
    test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::ConnectFailed));
    let last = test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::Rejected));
    assert!(matches!(last[..], [Call::Reject(ID, wait)] if wait > 0), "{last:?}");
    assert_eq!(test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::Rejected)), []);
    assert_eq!(test.driver.open_requests(), 0);
}

#[test]
fn a_connection_that_stood_is_complete_when_it_ends() {
    // Told as incomplete, the module would place the connection again or answer it once more.
    for outcome in [Outcome::Ok, Outcome::Reset, Outcome::Cancelled] {
        let mut test = DriverTest::new(3);
        test.receive_request(7);
        assert_eq!(test.on_event(NetworkEvent::AttemptEstablished(ID)), []);
        assert_eq!(test.on_event(NetworkEvent::AttemptEnded(ID, outcome)), [], "{outcome:?}");
        assert_eq!(test.driver.open_requests(), 0);
        assert_eq!(test.advance_by(4_000_000).iter().filter(|c| **c != Call::WatchEndpoints).count(), 0);
    }
}

#[test]
fn a_timed_out_fetch_still_owes_the_answer() {
    let mut test = DriverTest::new(1);
    test.receive_request(7);
    let calls = test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::TimedOut));
    assert!(matches!(calls[..], [Call::Reject(ID, wait)] if wait > 0), "{calls:?}");
}

#[test]
fn a_fetch_that_never_ends_is_called_off_and_the_client_told_once() {
    let mut test = DriverTest::new(1);
    test.receive_request(7);
    let calls: Vec<Call> =
        test.advance_by(3_000_000).into_iter().filter(|c| *c != Call::WatchEndpoints).collect();
    assert_eq!(calls, [Call::Cancel(ID), Call::Fail(ID)]);
    assert_eq!(test.driver.open_requests(), 0);
}

#[test]
fn a_client_that_left_gets_no_answer_and_is_forgotten_with_its_fetch() {
    let mut test = DriverTest::new(2);
    test.receive_request(7);
    assert_eq!(test.on_event(NetworkEvent::ClientLeft(ID)), []);
    assert_eq!(test.driver.open_requests(), 1);
    assert_eq!(test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::Cancelled)), []);
    assert_eq!(test.driver.open_requests(), 0);
}

#[test]
fn clients_of_a_draining_server_are_moved_and_nobody_new_goes_there() {
    let mut test = DriverTest::new(2);
    let server = attempted_server(&test.receive_request(7));
    test.on_event(NetworkEvent::AttemptEstablished(ID));
    let entries = vec![entry(server.0, ServerState::Draining)];
    let calls =
        test.on_event(NetworkEvent::EndpointListReceived { is_complete: false, is_cached: false, entries });
    assert_eq!(calls, [Call::Migrate(ID)]);
    assert_eq!(test.driver.open_requests(), 0);
    for id in 8..20 {
        assert_ne!(attempted_server(&test.receive_request(id)), server);
    }
}

#[test]
fn a_connection_from_before_the_start_is_moved_like_any_other() {
    let mut test = DriverTest::new(2);
    let deadline = test.effects.now + 3_000_000;
    let request = ReceivedRequest {
        id: ID,
        class: 0,
        tenant: 0,
        key: 9,
        deadline,
        load: None,
        group: 0,
        is_returning: false,
    };
    assert_eq!(test.on_event(NetworkEvent::ConnectionRestored(request, ServerId(1))), []);
    // It stands: its deadline binds no more.
    assert_eq!(test.advance_by(5_000_000).iter().filter(|c| **c != Call::WatchEndpoints).count(), 0);
    let entries = vec![entry(1, ServerState::Draining)];
    assert_eq!(
        test.on_event(NetworkEvent::EndpointListReceived { is_complete: false, is_cached: false, entries }),
        [Call::Migrate(ID)]
    );
}

#[test]
fn slow_messages_move_clients_away() {
    let mut test = DriverTest::new(2);
    let server = attempted_server(&test.receive_request(7));
    test.on_event(NetworkEvent::AttemptEstablished(ID));
    let before: Vec<Call> = test.on_event(NetworkEvent::MessageDelayReported(server, 17_000));
    assert_eq!(before, []);
    let calls: Vec<Call> =
        (0..20).flat_map(|_| test.on_event(NetworkEvent::MessageDelayReported(server, 900_000))).collect();
    assert_eq!(calls, [Call::Migrate(ID)]);
}

#[test]
fn the_director_is_asked_soon_and_again_within_three_seconds_of_each_failure() {
    // What discovery has to tell counts as told after 6 s, so a failed call must be repeated well before.
    let mut test = DriverTest::new(0);
    assert_eq!(test.advance_by(3_000_000), [Call::WatchEndpoints]);
    for _ in 0..8 {
        assert_eq!(test.on_event(NetworkEvent::DiscoveryFailed), []);
        assert_eq!(test.advance_by(3_000_000), [Call::WatchEndpoints]);
    }
}
