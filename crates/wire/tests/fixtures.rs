//! Compares the simulator's messages with fixtures byte for byte. The tests fail if a renamed event, action
//! or field changes a message.

use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};
use shorewharf_wire::{Decoder, Encoder, InstanceRecord, Record};

const EVENTS: &str = include_str!("fixtures/events.hex");
const ACTIONS: &str = include_str!("fixtures/actions.hex");

const FIRST_SERVER: ServerId = ServerId(0x0a00_0001_1b5b);
const SECOND_SERVER: ServerId = ServerId(0x0a00_0002_1b5c);

/// Parses a fixture file, which has lines of hexadecimal digits and comment lines that begin with `#`.
fn bytes(fixture: &str) -> Vec<u8> {
    let digits: String = fixture.lines().filter(|line| !line.starts_with('#')).collect();
    let byte = |start: usize| u8::from_str_radix(&digits[start..start + 2], 16).expect("hexadecimal digits");
    (0..digits.len()).step_by(2).map(byte).collect()
}

fn entries() -> Vec<ServerEntry> {
    let third_server = ServerId(0xc0a8_0304_ffff);
    vec![
        ServerEntry {
            server: FIRST_SERVER,
            zone: 1,
            cell: 513,
            state: ServerState::Draining,
            weight: 1.5,
            started_at: 12.25,
        },
        ServerEntry {
            server: SECOND_SERVER,
            zone: 2,
            cell: 3,
            state: ServerState::Ready,
            weight: 2.0,
            started_at: 0.0,
        },
        ServerEntry {
            server: third_server,
            zone: 3,
            cell: 4,
            state: ServerState::Removed,
            weight: 0.0,
            started_at: 7.5,
        },
    ]
}

fn endpoint_list(is_complete: bool, is_cached: bool) -> Event {
    Event::EndpointList { is_complete, is_cached, entries: entries().into() }
}

fn requests() -> Vec<Request> {
    let minimal = Request {
        id: RequestId(1),
        class: 0,
        tenant: 0,
        key: 0,
        deadline: 3.5,
        load: None,
        group: 0,
        is_mid_flow: false,
        is_returning: false,
    };
    let with_load = Request {
        id: RequestId(2),
        class: 1,
        tenant: 70_000,
        key: 0x1122_3344_5566_7788,
        deadline: 4.5,
        load: Some(0.75),
        group: 99,
        ..minimal
    };
    let third = Request { id: RequestId(3), class: 2, tenant: 2, key: 5, deadline: 5.5, group: 6, ..minimal };
    vec![
        minimal,
        with_load,
        Request { is_returning: true, ..third },
        Request { id: RequestId(4), is_returning: true, ..third },
        Request { id: RequestId(5), is_mid_flow: true, ..third },
        Request { id: RequestId(6), load: Some(1.25), is_mid_flow: true, is_returning: true, ..third },
        Request { id: RequestId(7), ..third },
    ]
}

const OUTCOMES: [Outcome; 8] = [
    Outcome::Ok,
    Outcome::Error,
    Outcome::Rejected,
    Outcome::TimedOut,
    Outcome::ConnectFailed,
    Outcome::Reset,
    Outcome::Cancelled,
    Outcome::NotSent,
];

fn attempt_ended((index, outcome): (u32, Outcome)) -> Event {
    Event::AttemptEnded {
        request: RequestId(100 + index),
        server: SECOND_SERVER,
        attempt: index,
        outcome,
        is_answered: index.is_multiple_of(3),
        load_ratio: (!index.is_multiple_of(2)).then_some(0.25 * f64::from(index)),
    }
}

fn probe_ended((index, outcome): (u32, Outcome)) -> Event {
    Event::ProbeEnded {
        server: FIRST_SERVER,
        outcome,
        load_ratio: (!index.is_multiple_of(2)).then_some(0.125 * f64::from(index)),
    }
}

fn events() -> Vec<Event> {
    let restored = Request {
        id: RequestId(8),
        class: 1,
        tenant: 3,
        key: 9,
        deadline: 6.5,
        load: Some(2.5),
        group: 11,
        is_mid_flow: false,
        is_returning: false,
    };
    let mut events = vec![endpoint_list(false, false), endpoint_list(true, false), endpoint_list(true, true)];
    events.push(Event::DiscoveryFailed);
    events.extend(requests().into_iter().map(Event::RequestReceived));
    events.extend([
        Event::ConnectionRestored(restored, FIRST_SERVER),
        Event::Established { request: RequestId(8), attempt: 2 },
        Event::LoadChanged { request: RequestId(8), load: 1.5 },
        Event::MessageDelay { server: SECOND_SERVER, delay: 0.25 },
    ]);
    events.extend((0..).zip(OUTCOMES).map(attempt_ended));
    events.extend([Event::ClientLeft(RequestId(9)), Event::TimerFired(5 << 40 | 77)]);
    events.extend((0..).zip(OUTCOMES).map(probe_ended));
    events.push(Event::TimerFired(u64::MAX));
    events
}

#[test]
fn every_record_and_event_is_decoded_from_its_bytes() {
    let batch = Decoder::default().decode(&bytes(EVENTS), |_| Some(1)).expect("a valid batch");
    let attach = Record::Attach { seed: 0x0102_0304_0506_0708, settings: br#"{"me":1}"#.to_vec() };
    let mut records = vec![(3, attach)];
    records.extend(events().into_iter().map(|event| (3, Record::Event(event))));
    records.extend([(65_534, Record::Event(Event::TimerFired(1))), (65_534, Record::Shutdown)]);
    let expected = records.into_iter().map(|(instance, record)| InstanceRecord { instance, record });
    let expected: Vec<InstanceRecord> = expected.collect();
    assert_eq!(batch.now, 38_034.5);
    assert_eq!(batch.records.len(), expected.len());
    for (decoded, expected) in batch.records.into_iter().zip(expected) {
        assert_eq!(decoded, expected);
    }
}

#[test]
fn every_action_is_encoded_to_its_bytes() {
    let request = RequestId(0x5d3a_91c4);
    let mut encoder = Encoder::default();
    encoder.select_instance(3);
    encoder.action(&Action::BeginAttempt { request, server: FIRST_SERVER, timeout: 0.08 });
    encoder.action(&Action::Reject { request, retry_after: 0.0 });
    encoder.action(&Action::Reject { request, retry_after: 0.25 });
    encoder.action(&Action::Fail(request));
    encoder.action(&Action::CancelAttempt { request, attempt: 1 });
    encoder.action(&Action::Migrate(request));
    encoder.action(&Action::SetTimer { after: 0.5, token: 5 << 40 | 77 });
    encoder.action(&Action::Probe(SECOND_SERVER));
    encoder.action(&Action::Subscribe);
    encoder.action(&Action::Log("a line — of text".to_owned()));
    encoder.action(&Action::Log(String::new()));
    encoder.select_instance(65_534);
    encoder.fault("it failed");
    let frame = encoder.finish();
    assert_eq!(frame, bytes(ACTIONS));
}
