//! Tests of the adapter as a process, and of the codec with hand-written bytes.

use std::io::{Read, Write};
use std::process::{Command, Output, Stdio};

use shorewharf_decisions::interface::{Action, Event, Idempotency, Outcome, RequestId, ServerId};
use shorewharf_settings::{ParsedSettings, parse};
use shorewharf_wire::{Batch, Decoder, Encoder, InstanceRecord, Record, WireError};

const SETTINGS: &str = r#"{"classes":[{"promise_s":0.5,"semantics":"read_like"}],"group_size":2,
    "limits":{"max_attempts":3,"connect_timeout_s":0.25},"tick_s":0.005}"#;

fn run(input: &[u8]) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_shorewharf-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    // The adapter may stop reading if the input is malformed, and the pipe is broken then.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

fn frame(now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let mut body = now.to_le_bytes().to_vec();
    body.extend((records.len() as u32).to_le_bytes());
    records.iter().for_each(|record| body.extend(record));
    let mut frame = (body.len() as u32).to_le_bytes().to_vec();
    frame.extend(body);
    frame
}

fn select(instance: u16) -> Vec<u8> {
    [&1130u16.to_le_bytes()[..], &instance.to_le_bytes()].concat()
}

fn attach(seed: u64, settings: &str) -> Vec<u8> {
    let length = (settings.len() as u32).to_le_bytes();
    [&1000u16.to_le_bytes()[..], &seed.to_le_bytes(), &length, settings.as_bytes()].concat()
}

fn server_list(count: u8) -> Vec<u8> {
    let mut record = [&1100u16.to_le_bytes()[..], &[0], &u32::from(count).to_le_bytes()].concat();
    for index in 1..=count {
        record.extend([10, 0, 0, index, 0x5b, 0x1b, 0, 0, 0, 0, 1]);
        record.extend(1.5f32.to_le_bytes());
        record.extend(0f64.to_le_bytes());
    }
    record
}

fn endpoint_update() -> Vec<u8> {
    [&1010u16.to_le_bytes()[..], &1u64.to_le_bytes(), &[2, 0]].concat()
}

fn request(id: u32, key: u64, deadline: f64) -> Vec<u8> {
    let head = [&1020u16.to_le_bytes()[..], &id.to_le_bytes(), &[0; 6], &key.to_le_bytes()].concat();
    [&head[..], &deadline.to_le_bytes(), &[0; 16], &[0]].concat()
}

#[test]
fn an_empty_input_ends_the_adapter_with_success_and_no_output() {
    let output = run(b"");
    assert!(output.status.success() && output.stdout.is_empty() && output.stderr.is_empty());
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let output = run(&frame(38034.5, &[]));
    assert!(output.status.success());
    assert_eq!(output.stdout, [4, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn a_batch_is_answered_before_the_next_is_sent() {
    let mut child = Command::new(env!("CARGO_BIN_EXE_shorewharf-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .unwrap();
    let (mut input, mut output) = (child.stdin.take().unwrap(), child.stdout.take().unwrap());
    for _ in 0..2 {
        input.write_all(&frame(1.0, &[])).unwrap();
        let mut reply = [0; 8];
        output.read_exact(&mut reply).unwrap();
        assert_eq!(reply, [4, 0, 0, 0, 0, 0, 0, 0]);
    }
    drop(input);
    assert!(child.wait().unwrap().success());
}

#[test]
fn a_malformed_frame_ends_the_adapter_with_an_offset_and_no_output() {
    let valid = frame(1.0, &[select(1), attach(1, SETTINGS), server_list(2), endpoint_update()]);
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (valid[..valid.len() - 3].to_vec(), "inside a frame"),
        (vec![9, 0], "offset 2"),
        (u32::MAX.to_le_bytes().to_vec(), "exceeds the limit of 268435456 bytes"),
        (frame(1.0, &[select(1), vec![0xff, 0xff]]), "offset 16: unknown event code 65535"),
        (frame(1.0, &[vec![0x1a, 0x04, 1, 0, 0, 0]]), "offset 12: no instance selected"),
        (frame(1.0, &[select(1), vec![0xf2, 0x03, 1]]), "truncated"),
        (frame(1.0, &[server_list(1)[..2].iter().copied().chain([16, 0, 0, 0, 0]).collect()]), "slot"),
        (frame(1.0, &[[&server_list(1)[..3], &u32::MAX.to_le_bytes()].concat()]), "truncated"),
        (frame(1.0, &[select(1), endpoint_update()]), "has not been sent"),
        (
            [&frame(1.0, &[])[..0], &[13, 0, 0, 0], &1f64.to_le_bytes(), &[0; 5]].concat(),
            "after the last record",
        ),
        (frame(f64::NAN, &[]), "clock"),
    ];
    for (input, expected) in cases {
        let output = run(&input);
        let log = String::from_utf8_lossy(&output.stderr).into_owned();
        assert!(!output.status.success() && output.stdout.is_empty(), "{expected}");
        assert!(log.contains(expected) && log.contains("offset"), "{expected}: {log}");
    }
}

#[test]
fn settings_that_are_not_json_are_reported_as_a_fault() {
    let output = run(&frame(1.0, &[select(4), attach(1, "not json")]));
    assert!(output.status.success());
    assert_eq!(output.stdout[8..14], [0x6a, 0x04, 4, 0, 0x42, 0x04]);
    assert!(String::from_utf8_lossy(&output.stdout[16..]).starts_with("settings: "));
}

#[test]
fn unknown_null_and_missing_keys_of_settings_get_defaults_that_comply_with_the_rules() {
    let ParsedSettings { settings, load_column } =
        parse(br#"{"x":[1],"limits":null,"specifics":{"message_aim_s":[null]},"classes":[{}]}"#).unwrap();
    assert_eq!((settings.max_attempts, load_column), (1, None));
    assert_eq!(settings.classes[0].idempotency, Idempotency::NonIdempotent);
    assert!(!settings.may_cancel && !settings.may_probe && settings.instance_count == 1.0);
}

#[test]
fn instances_act_the_same_in_one_process_as_in_a_process_each() {
    let start =
        |instance: u16| vec![select(instance), attach(u64::from(instance) + 9, SETTINGS), endpoint_update()];
    let requests = |instance: u16| -> Vec<Vec<u8>> {
        let records = (0..20).map(|id| request(id, 77 + u64::from(id) * 13, 3.0));
        std::iter::once(select(instance)).chain(records).collect()
    };
    let input = |instances: &[u16]| {
        let starts = instances.iter().flat_map(|instance| start(*instance));
        let first: Vec<_> = std::iter::once(server_list(9)).chain(starts).collect();
        let second: Vec<_> = instances.iter().flat_map(|instance| requests(*instance)).collect();
        [frame(1.0, &first), frame(1.1, &second)].concat()
    };
    let one_process = run(&input(&[1, 2, 3])).stdout;
    let processes: Vec<Vec<u8>> = [1, 2, 3].iter().map(|instance| run(&input(&[*instance])).stdout).collect();
    let records = |output: &[u8], reply: usize| {
        let first_reply_end = u32::from_le_bytes(output[..4].try_into().unwrap()) as usize + 4;
        if reply == 0 { output[8..first_reply_end].to_vec() } else { output[first_reply_end + 8..].to_vec() }
    };
    for reply in 0..2 {
        let expected: Vec<u8> = processes.iter().flat_map(|output| records(output, reply)).collect();
        assert_eq!(records(&one_process, reply), expected);
    }
    assert!(records(&one_process, 1).len() > 60 * 20, "every request begins an attempt");
}

#[test]
fn an_instance_that_was_shut_down_has_no_actions_and_can_restart_in_the_same_batch() {
    let shutdown = 1090u16.to_le_bytes().to_vec();
    let first = frame(1.0, &[server_list(3), select(1), attach(1, SETTINGS), endpoint_update()]);
    let after_shutdown = frame(1.1, &[select(1), shutdown.clone(), request(1, 5, 3.0)]);
    let output = run(&[&first[..], &after_shutdown].concat()).stdout;
    assert_eq!(output[output.len() - 8..], [4, 0, 0, 0, 0, 0, 0, 0]);
    let restart =
        frame(1.1, &[select(1), shutdown, attach(2, SETTINGS), endpoint_update(), request(1, 5, 3.0)]);
    let output = run(&[&first[..], &restart].concat()).stdout;
    assert!(
        output.windows(6).any(|bytes| bytes == [0xe8, 0x03, 1, 0, 0, 0]),
        "the restarted instance begins an attempt for the request"
    );
}

#[test]
fn hand_written_bytes_decode_to_events() {
    let hex = |text: &str| -> Vec<u8> {
        let digits: String = text.split_whitespace().collect();
        let byte = |index: usize| u8::from_str_radix(&digits[2 * index..2 * index + 2], 16).unwrap();
        (0..digits.len() / 2).map(byte).collect()
    };
    let body = hex("508d976e12d32040 04000000 6a040300 6004 07000000 00 0000fa43 0a124a07 5b1b 02 \
                    2404 4d00000000000000 1004 07000000 0a124a07 5b1b 01 02 f701 0000000000000000 01 0000003f");
    let batch = Decoder::default().decode(&body, |_| Some(0)).unwrap();
    let server = ServerId(0x0a12_4a07_1b5b);
    let ended = Event::AttemptEnded {
        request: RequestId(7),
        server,
        attempt: 2,
        outcome: Outcome::Rejected,
        is_answered: true,
        load_ratio: Some(0.5),
    };
    let events = [Event::MessageDelay { server, delay: 0.5 }, Event::TimerFired(77), ended];
    let record = |event| InstanceRecord { instance: 3, record: Record::Event(event) };
    let records = events.into_iter().map(record).collect();
    assert_eq!(batch, Batch { now: f64::from_le_bytes(body[..8].try_into().unwrap()), records });
    assert_eq!(
        Decoder::default().decode(&body[..body.len() - 2], |_| None),
        Err(WireError::Truncated { offset: body.len() - 4, missing: 2 })
    );
}

#[test]
fn actions_encode_to_hand_written_bytes() {
    let mut encoder = Encoder::default();
    let (request, server) = (RequestId(0x5d3a_91c4), ServerId(0x0a12_4a07_1b5b));
    encoder.select_instance(3);
    encoder.action(&Action::BeginAttempt { request, server, timeout: 0.08 });
    encoder.action(&Action::Reject { request, retry_after: 0.25 });
    encoder.action(&Action::Fail(request));
    encoder.action(&Action::CancelAttempt { request, attempt: 1 });
    encoder.action(&Action::SetTimer { after: 0.5, token: 77 });
    encoder.action(&Action::Probe(server));
    encoder.action(&Action::Subscribe);
    encoder.action(&Action::Migrate(request));
    encoder.action(&Action::Log("hi".into()));
    let hex: String = encoder.finish().iter().map(|b| format!("{b:02x}")).collect();
    let records = [
        "6a040300",
        "e803c4913a5d0a124a075b1b7b14ae47e17ab43f",
        "f203c4913a5d000000000000d03f",
        "fc03c4913a5d",
        "0604c4913a5d01",
        "1004000000000000e03f4d00000000000000",
        "1a040a124a075b1b",
        "4c0401",
        "6004c4913a5d",
        "380402006869",
    ]
    .concat();
    let length = (records.len() / 2 + 4) as u32;
    let header: String =
        [length.to_le_bytes(), 10u32.to_le_bytes()].concat().iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(hex, header + &records);
}
