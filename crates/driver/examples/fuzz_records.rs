//! Fuzzes the restore of snapshots: records of a corpus with their numbers, keys and lines mutated and their
//! checksums corrected, so that the damage reaches the decisions. A record with a new outcome is kept in the
//! corpus. A panic or an invalid state ends the run with the path of its record.
//!
//! `cargo run --release -p shorewharf-driver --example fuzz_records -- CORPUS SECONDS [SEED]`

use std::collections::BTreeSet;
use std::error::Error;
use std::fs;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use rand_pcg::Pcg64Mcg;
use rand_pcg::rand_core::{RngCore, SeedableRng};
use serde_json::Value;
use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};
use shorewharf_driver::AdmissionGate;
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};
use shorewharf_settings::operator::Operator;
use shorewharf_snapshot::record::{DecodeError, Encoder, Header, Line, VERSION, decode};
use thiserror::Error;

/// Servers that are listed where a record is restored.
const SERVERS: u64 = 5;
/// Requests that arrive after a restore.
const REQUESTS: usize = 8;
/// Numbers that take the place of others.
const EDGE_NUMBERS: [f64; 12] = [
    0.0,
    -0.0,
    -1.0,
    0.5,
    1.0,
    1e-300,
    1e300,
    f64::MAX,
    f64::MIN_POSITIVE,
    101.0,
    1e15,
    18446744073709551615.0,
];

fn gate() -> AdmissionGate {
    let text = include_bytes!("settings.json");
    let set = shorewharf_settings::parse(text).expect("good settings").settings;
    let mut gate = AdmissionGate::new(0, set, 7, &Operator::default());
    let (zone, cell, stage, weight) = (0, 0, ServerState::Ready, 4.0);
    let born = |id| if id == 1 { 95.0 } else { 0.0 };
    let entry =
        |id| ServerEntry { server: ServerId(id), zone, cell, state: stage, weight, started_at: born(id) };
    let entries = (1..=SERVERS).map(entry).collect::<Vec<_>>().into();
    gate.handle(100.0, Event::EndpointList { is_complete: true, is_cached: false, entries }, &mut Vec::new());
    gate
}

fn request(id: u32) -> Request {
    let (class, tenant, deadline, load, group) = (0, 0, 102.0, Some(0.3), u64::from(id % 4));
    let (key, mid_flow, returning) = (u64::from(id) + 1, false, false);
    Request {
        id: RequestId(id),
        class,
        tenant,
        key,
        deadline,
        load,
        group,
        is_mid_flow: mid_flow,
        is_returning: returning,
    }
}

fn export_all(gate: &AdmissionGate) -> Vec<SnapshotEntry> {
    let (mut all, mut at) = (Vec::new(), ExportCursor::default());
    while at != ExportCursor::End {
        at = gate.export_state(at, 16, &mut all);
    }
    all
}

fn encode_record(lines: &[Value]) -> Vec<u8> {
    let header = Header { version: VERSION, balancer: "n1".into(), worker_count: 1, ..Header::default() };
    let mut encoder = Encoder::begin(Vec::new(), &header).expect("memory");
    lines.iter().for_each(|line| encoder.write_line(&Line::State(line)).expect("memory"));
    encoder.finish().expect("memory").0
}

/// A record of an instance that has learned something of every kind.
fn initial_record() -> Vec<u8> {
    let (mut gate, mut out) = (gate(), Vec::new());
    for id in 0..12 {
        gate.handle(
            100.0,
            Event::ConnectionRestored(request(id), ServerId(u64::from(id) % SERVERS + 1)),
            &mut out,
        );
        gate.handle(100.0, Event::LoadChanged { request: RequestId(id), load: 0.2 }, &mut out);
    }
    for (id, outcome) in [(3, Outcome::Reset), (4, Outcome::Ok)] {
        let (request, server) = (RequestId(id), ServerId(u64::from(id) % SERVERS + 1));
        let (attempt, complete, load_ratio) = (0, true, None);
        gate.handle(
            100.1,
            Event::AttemptEnded { request, server, attempt, outcome, is_answered: complete, load_ratio },
            &mut out,
        );
    }
    gate.handle(100.2, Event::MessageDelay { server: ServerId(2), delay: 0.2 }, &mut out);
    gate.handle(
        100.2,
        Event::ProbeEnded { server: ServerId(5), outcome: Outcome::ConnectFailed, load_ratio: None },
        &mut out,
    );
    let lines: Vec<Value> =
        export_all(&gate).iter().map(|l| serde_json::to_value(l).expect("json")).collect();
    encode_record(&lines)
}

/// What must not come of a record.
#[derive(Debug, Error)]
enum InvalidState {
    #[error("the record can't be read: {0}")]
    Unreadable(#[from] DecodeError),
    #[error("{answered} of {REQUESTS} requests were answered or sent")]
    Unanswered { answered: usize },
    #[error("not a number in {entry}")]
    NotANumber { entry: String },
}

/// Mutates records at random.
struct Mutator(Pcg64Mcg);

impl Mutator {
    fn below(&mut self, n: usize) -> usize {
        (self.0.next_u64() % n.max(1) as u64) as usize
    }

    fn mutate(&mut self, value: &mut Value) {
        match value {
            Value::Object(map) if !map.is_empty() => {
                let at = self.below(map.len());
                let key = map.keys().nth(at).cloned().unwrap_or_default();
                match self.below(12) {
                    0 => drop(map.remove(&key)),
                    1 => drop(map.insert("tide".into(), Value::from(1))),
                    _ => {
                        if let Some(inner) = map.get_mut(&key) {
                            self.mutate(inner);
                        }
                    }
                }
            }
            Value::Array(of) if !of.is_empty() => {
                let at = self.below(of.len());
                match self.below(6) {
                    0 => drop(of.remove(at)),
                    1 => of.push(Value::from(1e9)),
                    _ => self.mutate(&mut of[at]),
                }
            }
            other => {
                *other = match self.below(8) {
                    0 => Value::Null,
                    1 => Value::from("x"),
                    2 => Value::from(self.below(8)),
                    _ => Value::from(EDGE_NUMBERS[self.below(EDGE_NUMBERS.len())]),
                }
            }
        }
    }

    fn mutated_lines(&mut self, bytes: &[u8]) -> Vec<Value> {
        let mut lines: Vec<Value> = decode::<Value>(bytes).map(|record| record.entries).unwrap_or_default();
        for _ in 0..1 + self.below(6) {
            if lines.is_empty() {
                break;
            }
            let at = self.below(lines.len());
            match self.below(10) {
                0 => drop(lines.remove(at)),
                1 => lines.push(lines[at].clone()),
                2 => {
                    let other = self.below(lines.len());
                    lines.swap(at, other);
                }
                _ => self.mutate(&mut lines[at]),
            }
        }
        lines
    }
}

/// Restores a record and lets requests arrive; the outcome, roughly.
fn restore_and_run(bytes: &[u8], age: f64) -> Result<String, InvalidState> {
    let record = decode::<SnapshotEntry>(bytes)?;
    let (mut gate, unknown) = (gate(), record.unknown_lines);
    let counts = gate.restore_state(100.3, age, true, record.entries);
    let mut timers = Vec::new();
    let mut answered = BTreeSet::new();
    for id in 20..20 + REQUESTS as u32 {
        let mut out = Vec::new();
        gate.handle(100.3, Event::RequestReceived(request(id)), &mut out);
        record_actions(&out, 100.3, &mut timers, &mut answered);
    }
    for _ in 0..400 {
        timers.sort_by(|a: &(f64, u64), b| b.0.total_cmp(&a.0));
        let Some((at, token)) = timers.pop().filter(|t| t.0 < 103.0) else { break };
        let mut out = Vec::new();
        gate.handle(at, Event::TimerFired(token), &mut out);
        record_actions(&out, at, &mut timers, &mut answered);
    }
    if answered.len() != REQUESTS {
        return Err(InvalidState::Unanswered { answered: answered.len() });
    }
    for learned in export_all(&gate) {
        let text = serde_json::to_string(&learned).expect("json");
        // What is no number is written as nothing.
        let none = text.replace("\"last\":null", "").replace("\"locked\":null", "");
        let none = none.replace("\"noted\":null", "").replace("\"barred\":null", "");
        if none.contains("null") {
            return Err(InvalidState::NotANumber { entry: text });
        }
    }
    let few = |n: usize| n.min(3);
    Ok(format!("{} {} {} {}", few(counts.outdated), few(counts.expired), few(counts.invalid), few(unknown)))
}

fn record_actions(
    actions: &[Action],
    now: f64,
    timers: &mut Vec<(f64, u64)>,
    answered: &mut BTreeSet<RequestId>,
) {
    for action in actions {
        match action {
            Action::SetTimer { after, token } => timers.push((now + after.max(0.001), *token)),
            Action::BeginAttempt { request, .. } | Action::Reject { request, .. } | Action::Fail(request) => {
                answered.insert(*request);
            }
            _ => {}
        }
    }
}

fn main() -> Result<(), Box<dyn Error>> {
    let mut args = std::env::args().skip(1);
    let (Some(corpus), Some(seconds)) = (args.next(), args.next()) else {
        return Err("CORPUS SECONDS [SEED]".into());
    };
    let (corpus, by) = (Path::new(&corpus), Instant::now() + Duration::from_secs(seconds.parse()?));
    let mut mutator = Mutator(Pcg64Mcg::seed_from_u64(args.next().map_or(Ok(1), |s| s.parse())?));
    fs::create_dir_all(corpus)?;
    let mut records: Vec<Vec<u8>> = vec![initial_record()];
    let mut paths: Vec<PathBuf> =
        fs::read_dir(corpus)?.map(|f| f.map(|f| f.path())).collect::<Result<_, _>>()?;
    paths.sort();
    for path in paths.iter().filter(|p| p.extension().is_some_and(|e| e == "snapshot")) {
        records.push(fs::read(path)?);
    }
    let mut seen = BTreeSet::new();
    for bytes in &records {
        seen.insert(restore_and_run(bytes, 0.5)?);
    }
    let mut played = 0_u64;
    while Instant::now() < by {
        let from = mutator.below(records.len());
        let lines = mutator.mutated_lines(&records[from]);
        let bytes = encode_record(&lines);
        let age = [0.0, 0.5, 30.0, 600.0][mutator.below(4)];
        let outcome = std::panic::catch_unwind(|| restore_and_run(&bytes, age));
        let Ok(Ok(shape)) = outcome else {
            let bad = corpus.join(format!("bad-{played}.snapshot"));
            fs::write(&bad, &bytes)?;
            return Err(format!("{}: {outcome:?}", bad.display()).into());
        };
        if seen.insert(shape) {
            fs::write(corpus.join(format!("{:04}.snapshot", records.len())), &bytes)?;
            records.push(bytes);
        }
        played += 1;
    }
    println!("{played} records played, {} kept, {} outcomes", records.len() - 1, seen.len());
    Ok(())
}
