//! The wire host as a process, and the codec against hand-written bytes.

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
    // The host may stop reading at bad input; a broken pipe here is part of that.
    let _ = child.stdin.take().unwrap().write_all(input);
    child.wait_with_output().unwrap()
}

fn frame(now: f64, records: &[Vec<u8>]) -> Vec<u8> {
    let mut body = now.to_le_bytes().to_vec();
    body.extend((records.len() as u32).to_le_bytes());
    records.iter().for_each(|r| body.extend(r));
    let mut all = (body.len() as u32).to_le_bytes().to_vec();
    all.extend(body);
    all
}

fn select(i: u16) -> Vec<u8> {
    [&1130u16.to_le_bytes()[..], &i.to_le_bytes()].concat()
}

fn attach(seed: u64, text: &str) -> Vec<u8> {
    let n = (text.len() as u32).to_le_bytes();
    [&1000u16.to_le_bytes()[..], &seed.to_le_bytes(), &n, text.as_bytes()].concat()
}

fn roster(n: u8) -> Vec<u8> {
    let mut r = [&1100u16.to_le_bytes()[..], &[0], &u32::from(n).to_le_bytes()].concat();
    for i in 1..=n {
        r.extend([10, 0, 0, i, 0x5b, 0x1b, 0, 0, 0, 0, 1]);
        r.extend(1.5f32.to_le_bytes());
        r.extend(0f64.to_le_bytes());
    }
    r
}

fn update() -> Vec<u8> {
    [&1010u16.to_le_bytes()[..], &1u64.to_le_bytes(), &[2, 0]].concat()
}

fn call(id: u32, key: u64, deadline: f64) -> Vec<u8> {
    let head = [&1020u16.to_le_bytes()[..], &id.to_le_bytes(), &[0; 6], &key.to_le_bytes()].concat();
    [&head[..], &deadline.to_le_bytes(), &[0; 16], &[0]].concat()
}

#[test]
fn clean_end_of_input_exits_zero_with_nothing_said() {
    let out = run(b"");
    assert!(out.status.success() && out.stdout.is_empty() && out.stderr.is_empty());
}

#[test]
fn an_empty_batch_gets_an_empty_reply() {
    let out = run(&frame(38034.5, &[]));
    assert!(out.status.success());
    assert_eq!(out.stdout, [4, 0, 0, 0, 0, 0, 0, 0]);
}

#[test]
fn a_reply_comes_before_the_next_batch() {
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
fn bad_frames_end_with_an_offset_and_no_output() {
    let good = frame(1.0, &[select(1), attach(1, SETTINGS), roster(2), update()]);
    let cases: Vec<(Vec<u8>, &str)> = vec![
        (good[..good.len() - 3].to_vec(), "inside a frame"),
        (vec![9, 0], "offset 2"),
        (u32::MAX.to_le_bytes().to_vec(), "over the limit"),
        (frame(1.0, &[select(1), vec![0xff, 0xff]]), "offset 16: unknown event code 65535"),
        (frame(1.0, &[vec![0x1a, 0x04, 1, 0, 0, 0]]), "offset 12: no instance selected"),
        (frame(1.0, &[select(1), vec![0xf2, 0x03, 1]]), "truncated"),
        (frame(1.0, &[roster(1)[..2].iter().copied().chain([16, 0, 0, 0, 0]).collect()]), "slot"),
        (frame(1.0, &[[&roster(1)[..3], &u32::MAX.to_le_bytes()].concat()]), "truncated"),
        (frame(1.0, &[select(1), update()]), "has not been sent"),
        ([&frame(1.0, &[])[..0], &[13, 0, 0, 0], &1f64.to_le_bytes(), &[0; 5]].concat(), "behind the last"),
        (frame(f64::NAN, &[]), "clock"),
    ];
    for (input, text) in cases {
        let out = run(&input);
        let said = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && out.stdout.is_empty(), "{text}");
        assert!(said.contains(text) && said.contains("offset"), "{text}: {said}");
    }
}

#[test]
fn settings_that_are_not_json_are_a_fault() {
    let out = run(&frame(1.0, &[select(4), attach(1, "not json")]));
    assert!(out.status.success());
    assert_eq!(out.stdout[8..14], [0x6a, 0x04, 4, 0, 0x42, 0x04]);
    assert!(String::from_utf8_lossy(&out.stdout[16..]).starts_with("settings: "));
}

#[test]
fn settings_with_unknown_null_or_missing_keys_get_defaults_that_keep_the_rules() {
    let ParsedSettings { settings: set, load_column: column } =
        parse(br#"{"x":[1],"limits":null,"specifics":{"message_aim_s":[null]},"classes":[{}]}"#).unwrap();
    assert_eq!((set.max_attempts, column), (1, None));
    assert_eq!(set.classes[0].idempotency, Idempotency::NonIdempotent);
    assert!(!set.may_cancel && !set.may_probe && set.instance_count == 1.0);
}

#[test]
fn one_process_and_three_give_the_same_actions() {
    let start = |i: u16| vec![select(i), attach(u64::from(i) + 9, SETTINGS), update()];
    let calls = |i: u16| -> Vec<Vec<u8>> {
        std::iter::once(select(i)).chain((0..20).map(|n| call(n, 77 + u64::from(n) * 13, 3.0))).collect()
    };
    let input = |who: &[u16]| {
        let first: Vec<_> = std::iter::once(roster(9)).chain(who.iter().flat_map(|i| start(*i))).collect();
        let second: Vec<_> = who.iter().flat_map(|i| calls(*i)).collect();
        [frame(1.0, &first), frame(1.1, &second)].concat()
    };
    let together = run(&input(&[1, 2, 3])).stdout;
    let split: Vec<Vec<u8>> = [1, 2, 3].iter().map(|i| run(&input(&[*i])).stdout).collect();
    let records = |out: &[u8], nth: usize| {
        let first = u32::from_le_bytes(out[..4].try_into().unwrap()) as usize + 4;
        if nth == 0 { out[8..first].to_vec() } else { out[first + 8..].to_vec() }
    };
    for nth in 0..2 {
        let apart: Vec<u8> = split.iter().flat_map(|s| records(s, nth)).collect();
        assert_eq!(records(&together, nth), apart);
    }
    assert!(records(&together, 1).len() > 60 * 20, "every call was sent");
}

#[test]
fn a_dead_instance_says_nothing_and_starts_anew_in_one_batch() {
    let stop = 1090u16.to_le_bytes().to_vec();
    let first = frame(1.0, &[roster(3), select(1), attach(1, SETTINGS), update()]);
    let dead = frame(1.1, &[select(1), stop.clone(), call(1, 5, 3.0)]);
    let out = run(&[&first[..], &dead].concat()).stdout;
    assert_eq!(out[out.len() - 8..], [4, 0, 0, 0, 0, 0, 0, 0]);
    let again = frame(1.1, &[select(1), stop, attach(2, SETTINGS), update(), call(1, 5, 3.0)]);
    let out = run(&[&first[..], &again].concat()).stdout;
    assert!(out.windows(6).any(|w| w == [0xe8, 0x03, 1, 0, 0, 0]), "the new life takes the call");
}

#[test]
fn events_decode_from_written_bytes() {
    let hex = |s: &str| -> Vec<u8> {
        let s: String = s.split_whitespace().collect();
        (0..s.len() / 2).map(|i| u8::from_str_radix(&s[2 * i..2 * i + 2], 16).unwrap()).collect()
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
fn actions_encode_to_written_bytes() {
    let mut e = Encoder::default();
    let (request, server) = (RequestId(0x5d3a_91c4), ServerId(0x0a12_4a07_1b5b));
    e.select_instance(3);
    e.action(&Action::BeginAttempt { request, server, timeout: 0.08 });
    e.action(&Action::Reject { request, retry_after: 0.25 });
    e.action(&Action::Fail(request));
    e.action(&Action::CancelAttempt { request, attempt: 1 });
    e.action(&Action::SetTimer { after: 0.5, token: 77 });
    e.action(&Action::Probe(server));
    e.action(&Action::Subscribe);
    e.action(&Action::Migrate(request));
    e.action(&Action::Log("hi".into()));
    let hex: String = e.finish().iter().map(|b| format!("{b:02x}")).collect();
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
    let head: String =
        [length.to_le_bytes(), 10u32.to_le_bytes()].concat().iter().map(|b| format!("{b:02x}")).collect();
    assert_eq!(hex, head + &records);
}
