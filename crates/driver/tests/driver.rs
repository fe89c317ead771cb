//! Tests of the driver with the real decisions and a network that only records the calls on it.

use std::collections::VecDeque;

use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId, ServerState};
use shorewharf_driver::{Driver, Effects, InitialState, NetworkEvent, ReceivedRequest};
use shorewharf_settings::operator::OperatorSettings;
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
    fn reject(&mut self, request: RequestId, retry_after: Micros) {
        self.calls.push(Call::Reject(request, retry_after));
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

fn entry(server: u64, state: ServerState) -> ServerEntry {
    ServerEntry { server: ServerId(server), zone: 0, cell: 0, state, weight: 1.0, started_at: 0.0 }
}

impl DriverTest {
    fn new(servers: u64) -> Self {
        let text = br#"{"classes":[{"promise_s":1.0,"semantics":"read_like"}],"group_size":1,"tick_s":0.005,
            "registry_mode":"ask","weights":"nominal","specifics":{"mode":"proxy","message_aim_s":[0.05]},
            "limits":{"cancel":true,"connect_timeout_s":0.15,"max_attempts":5,"max_retry_after_s":1.5,"retry_after":true},
            "rules":{"ask_within_s":10}}"#;
        let settings = shorewharf_settings::parse(text).expect("settings").settings;
        let mut effects = RecordingEffects { now: 1_700_000_000_000_000, ..RecordingEffects::default() };
        let servers = (1..=servers).map(|id| entry(id, ServerState::Ready)).collect();
        let initial = InitialState { settings, seed: 3, servers };
        let driver = Driver::start(initial, &OperatorSettings::default(), &mut effects);
        DriverTest { driver, effects }
    }

    /// Processes an event, and returns the calls that the driver makes on the network.
    fn on_event(&mut self, event: NetworkEvent) -> Vec<Call> {
        self.effects.events.push_back(event);
        self.driver.process_events(&mut self.effects);
        std::mem::take(&mut self.effects.calls)
    }

    fn request(&self, id: u32) -> ReceivedRequest {
        ReceivedRequest {
            id: RequestId(id),
            class: 0,
            tenant: 0,
            key: 9,
            deadline: self.effects.now + 3_000_000,
            load: None,
            group: 0,
            is_returning: false,
        }
    }

    fn receive_request(&mut self, id: u32) -> Vec<Call> {
        let request = self.request(id);
        self.on_event(NetworkEvent::RequestReceived(request))
    }

    fn receive_endpoint(&mut self, entry: ServerEntry) -> Vec<Call> {
        let entries = vec![entry];
        self.on_event(NetworkEvent::EndpointListReceived { is_complete: false, is_cached: false, entries })
    }

    /// Advances the clock, fires the timers that are due on the way, and returns the calls that the driver
    /// makes.
    fn advance_by(&mut self, time: Micros) -> Vec<Call> {
        let end = self.effects.now + time;
        let mut calls = Vec::new();
        loop {
            self.effects.timers.sort();
            match self.effects.timers.first().copied().filter(|timer| timer.0 <= end) {
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

    /// Like [`DriverTest::advance_by`], without the periodic calls to discovery.
    fn advance_without_discovery(&mut self, time: Micros) -> Vec<Call> {
        self.advance_by(time).into_iter().filter(|call| *call != Call::WatchEndpoints).collect()
    }
}

fn attempted_server(calls: &[Call]) -> ServerId {
    match calls {
        [Call::BeginAttempt(_, server)] => *server,
        other => panic!("one attempt was expected, not {other:?}"),
    }
}

const ID: RequestId = RequestId(7);

#[test]
fn a_failed_attempt_is_retried_at_another_server() {
    let mut test = DriverTest::new(2);
    let first = attempted_server(&test.receive_request(7));
    let second = attempted_server(&test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::ConnectFailed)));
    assert_ne!(first, second);
}

#[test]
fn a_second_report_of_an_attempts_end_is_ignored() {
    let mut test = DriverTest::new(3);
    test.receive_request(7);
    test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::ConnectFailed));
    test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::ConnectFailed));
    let last = test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::Rejected));
    assert!(matches!(last[..], [Call::Reject(ID, retry_after)] if retry_after > 0), "{last:?}");
    assert_eq!(test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::Rejected)), []);
    assert_eq!(test.driver.open_requests(), 0);
}

#[test]
fn an_established_connection_needs_no_answer_when_it_ends() {
    // If the end were reported to the decisions as unanswered, they would retry the request or answer it
    // again.
    for outcome in [Outcome::Ok, Outcome::Reset, Outcome::Cancelled] {
        let mut test = DriverTest::new(3);
        test.receive_request(7);
        assert_eq!(test.on_event(NetworkEvent::AttemptEstablished(ID)), []);
        assert_eq!(test.on_event(NetworkEvent::AttemptEnded(ID, outcome)), [], "{outcome:?}");
        assert_eq!(test.driver.open_requests(), 0);
        assert_eq!(test.advance_without_discovery(4_000_000), []);
    }
}

#[test]
fn a_request_is_rejected_after_its_only_attempt_times_out() {
    let mut test = DriverTest::new(1);
    test.receive_request(7);
    let calls = test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::TimedOut));
    assert!(matches!(calls[..], [Call::Reject(ID, retry_after)] if retry_after > 0), "{calls:?}");
}

#[test]
fn an_attempt_that_never_ends_is_cancelled_and_its_request_fails_once() {
    let mut test = DriverTest::new(1);
    test.receive_request(7);
    assert_eq!(test.advance_without_discovery(3_000_000), [Call::Cancel(ID), Call::Fail(ID)]);
    assert_eq!(test.driver.open_requests(), 0);
}

#[test]
fn a_request_whose_client_left_gets_no_answer_and_ends_with_its_attempt() {
    let mut test = DriverTest::new(2);
    test.receive_request(7);
    assert_eq!(test.on_event(NetworkEvent::ClientLeft(ID)), []);
    assert_eq!(test.driver.open_requests(), 1);
    assert_eq!(test.on_event(NetworkEvent::AttemptEnded(ID, Outcome::Cancelled)), []);
    assert_eq!(test.driver.open_requests(), 0);
}

#[test]
fn clients_of_a_draining_server_migrate_and_it_gets_no_new_ones() {
    let mut test = DriverTest::new(2);
    let server = attempted_server(&test.receive_request(7));
    test.on_event(NetworkEvent::AttemptEstablished(ID));
    assert_eq!(test.receive_endpoint(entry(server.0, ServerState::Draining)), [Call::Migrate(ID)]);
    assert_eq!(test.driver.open_requests(), 0);
    for id in 8..20 {
        assert_ne!(attempted_server(&test.receive_request(id)), server);
    }
}

#[test]
fn a_restored_connection_migrates_like_any_other() {
    let mut test = DriverTest::new(2);
    let request = test.request(ID.0);
    assert_eq!(test.on_event(NetworkEvent::ConnectionRestored(request, ServerId(1))), []);
    // The deadline of the request does not apply to its established connection.
    assert_eq!(test.advance_without_discovery(5_000_000), []);
    assert_eq!(test.receive_endpoint(entry(1, ServerState::Draining)), [Call::Migrate(ID)]);
}

#[test]
fn clients_migrate_from_a_server_with_slow_messages() {
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
fn discovery_is_called_within_three_seconds_of_the_start_and_of_each_failure() {
    // A change of the endpoint list may take at most 6 s to arrive, so a failed call must be retried well
    // before.
    let mut test = DriverTest::new(0);
    assert_eq!(test.advance_by(3_000_000), [Call::WatchEndpoints]);
    for _ in 0..8 {
        assert_eq!(test.on_event(NetworkEvent::DiscoveryFailed), []);
        assert_eq!(test.advance_by(3_000_000), [Call::WatchEndpoints]);
    }
}
