//! Fuzzes the restore of snapshots. Takes records from a corpus, mutates their numbers, keys and lines, and
//! corrects their checksums, so that the damage reaches the decisions. A record with a new outcome is added
//! to the corpus. A panic or an invalid state ends the run with the path of the record that caused it.
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
use shorewharf_settings::operator::OperatorSettings;
use shorewharf_snapshot::record::{DecodeError, Encoder, Header, Line, VERSION, decode};
use thiserror::Error;

/// Number of servers in the endpoint list of the instance that restores a record.
const SERVERS: u64 = 5;
/// Number of requests that arrive after a restore.
const REQUESTS: usize = 8;
/// Numbers that replace others in mutated records.
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
    let settings = shorewharf_settings::parse(text).expect("valid settings").settings;
    let mut gate = AdmissionGate::new(0, settings, 7, &OperatorSettings::default());
    let entry = |id| ServerEntry {
        server: ServerId(id),
        zone: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 4.0,
        started_at: if id == 1 { 95.0 } else { 0.0 },
    };
    let entries = (1..=SERVERS).map(entry).collect::<Vec<_>>().into();
    gate.handle(100.0, Event::EndpointList { is_complete: true, is_cached: false, entries }, &mut Vec::new());
    gate
}

fn request(id: u32) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        key: u64::from(id) + 1,
        deadline: 102.0,
        load: Some(0.3),
        group: u64::from(id % 4),
        is_mid_flow: false,
        is_returning: false,
    }
}

fn export_all(gate: &AdmissionGate) -> Vec<SnapshotEntry> {
    let (mut entries, mut cursor) = (Vec::new(), ExportCursor::default());
    while cursor != ExportCursor::End {
        cursor = gate.export_state(cursor, 16, &mut entries);
    }
    entries
}

fn encode_record(lines: &[Value]) -> Vec<u8> {
    let header = Header { version: VERSION, balancer: "n1".into(), worker_count: 1, ..Header::default() };
    let mut encoder = Encoder::begin(Vec::new(), &header).expect("memory");
    lines.iter().for_each(|line| encoder.write_line(&Line::State(line)).expect("memory"));
    encoder.finish().expect("memory").0
}

/// Returns the record of an instance that has learned state of every kind.
fn initial_record() -> Vec<u8> {
    let (mut gate, mut actions) = (gate(), Vec::new());
    for id in 0..12 {
        gate.handle(
            100.0,
            Event::ConnectionRestored(request(id), ServerId(u64::from(id) % SERVERS + 1)),
            &mut actions,
        );
        gate.handle(100.0, Event::LoadChanged { request: RequestId(id), load: 0.2 }, &mut actions);
    }
    for (id, outcome) in [(3, Outcome::Reset), (4, Outcome::Ok)] {
        let ended = Event::AttemptEnded {
            request: RequestId(id),
            server: ServerId(u64::from(id) % SERVERS + 1),
            attempt: 0,
            outcome,
            is_answered: true,
            load_ratio: None,
        };
        gate.handle(100.1, ended, &mut actions);
    }
    gate.handle(100.2, Event::MessageDelay { server: ServerId(2), delay: 0.2 }, &mut actions);
    gate.handle(
        100.2,
        Event::ProbeEnded { server: ServerId(5), outcome: Outcome::ConnectFailed, load_ratio: None },
        &mut actions,
    );
    let lines: Vec<Value> =
        export_all(&gate).iter().map(|entry| serde_json::to_value(entry).expect("json")).collect();
    encode_record(&lines)
}

/// A state that no record may lead to.
#[derive(Debug, Error)]
enum InvalidState {
    #[error("the record can't be read: {0}")]
    Unreadable(#[from] DecodeError),
    #[error("only {answered} of {REQUESTS} requests were answered or sent to a server")]
    Unanswered { answered: usize },
    #[error("an exported entry has a value that is not a number: {entry}")]
    NotANumber { entry: String },
}

/// Mutates records at random.
struct Mutator(Pcg64Mcg);

impl Mutator {
    /// Draws a number below `bound`.
    fn below(&mut self, bound: usize) -> usize {
        (self.0.next_u64() % bound.max(1) as u64) as usize
    }

    fn mutate(&mut self, value: &mut Value) {
        match value {
            Value::Object(map) if !map.is_empty() => {
                let index = self.below(map.len());
                let key = map.keys().nth(index).cloned().unwrap_or_default();
                match self.below(12) {
                    0 => drop(map.remove(&key)),
                    1 => drop(map.insert("unknown".into(), Value::from(1))),
                    _ => {
                        if let Some(inner) = map.get_mut(&key) {
                            self.mutate(inner);
                        }
                    }
                }
            }
            Value::Array(values) if !values.is_empty() => {
                let index = self.below(values.len());
                match self.below(6) {
                    0 => drop(values.remove(index)),
                    1 => values.push(Value::from(1e9)),
                    _ => self.mutate(&mut values[index]),
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
            let index = self.below(lines.len());
            match self.below(10) {
                0 => drop(lines.remove(index)),
                1 => lines.push(lines[index].clone()),
                2 => {
                    let other = self.below(lines.len());
                    lines.swap(index, other);
                }
                _ => self.mutate(&mut lines[index]),
            }
        }
        lines
    }
}

/// Restores a record, lets requests arrive, and returns a rough description of the outcome.
fn restore_and_run(bytes: &[u8], age: f64) -> Result<String, InvalidState> {
    let record = decode::<SnapshotEntry>(bytes)?;
    let (mut gate, unknown) = (gate(), record.unknown_lines);
    let counts = gate.restore_state(100.3, age, true, record.entries);
    let mut timers = Vec::new();
    let mut answered = BTreeSet::new();
    for id in 20..20 + REQUESTS as u32 {
        let mut actions = Vec::new();
        gate.handle(100.3, Event::RequestReceived(request(id)), &mut actions);
        record_actions(&actions, 100.3, &mut timers, &mut answered);
    }
    for _ in 0..400 {
        timers.sort_by(|a: &(f64, u64), b| b.0.total_cmp(&a.0));
        let Some((at, token)) = timers.pop().filter(|timer| timer.0 < 103.0) else { break };
        let mut actions = Vec::new();
        gate.handle(at, Event::TimerFired(token), &mut actions);
        record_actions(&actions, at, &mut timers, &mut answered);
    }
    if answered.len() != REQUESTS {
        return Err(InvalidState::Unanswered { answered: answered.len() });
    }
    for entry in export_all(&gate) {
        let text = serde_json::to_string(&entry).expect("json");
        // NaN and infinity are written as null. The fields that are removed here may be null.
        let required = text.replace("\"last\":null", "").replace("\"locked\":null", "");
        let required = required.replace("\"noted\":null", "").replace("\"barred\":null", "");
        if required.contains("null") {
            return Err(InvalidState::NotANumber { entry: text });
        }
    }
    let [outdated, expired, invalid, unknown] =
        [counts.outdated, counts.expired, counts.invalid, unknown].map(|count| count.min(3));
    Ok(format!("{outdated} {expired} {invalid} {unknown}"))
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
        return Err("usage: fuzz_records CORPUS SECONDS [SEED]".into());
    };
    let (corpus, end) = (Path::new(&corpus), Instant::now() + Duration::from_secs(seconds.parse()?));
    let mut mutator = Mutator(Pcg64Mcg::seed_from_u64(args.next().map_or(Ok(1), |seed| seed.parse())?));
    fs::create_dir_all(corpus)?;
    let mut records: Vec<Vec<u8>> = vec![initial_record()];
    let mut paths: Vec<PathBuf> =
        fs::read_dir(corpus)?.map(|file| file.map(|file| file.path())).collect::<Result<_, _>>()?;
    paths.sort();
    for path in paths.iter().filter(|path| path.extension().is_some_and(|extension| extension == "snapshot"))
    {
        records.push(fs::read(path)?);
    }
    let mut known_outcomes = BTreeSet::new();
    for bytes in &records {
        known_outcomes.insert(restore_and_run(bytes, 0.5)?);
    }
    let mut runs = 0_u64;
    while Instant::now() < end {
        let index = mutator.below(records.len());
        let lines = mutator.mutated_lines(&records[index]);
        let bytes = encode_record(&lines);
        let age = [0.0, 0.5, 30.0, 600.0][mutator.below(4)];
        let result = std::panic::catch_unwind(|| restore_and_run(&bytes, age));
        let Ok(Ok(outcome)) = result else {
            let path = corpus.join(format!("bad-{runs}.snapshot"));
            fs::write(&path, &bytes)?;
            return Err(format!("{}: {result:?}", path.display()).into());
        };
        if known_outcomes.insert(outcome) {
            fs::write(corpus.join(format!("{:04}.snapshot", records.len())), &bytes)?;
            records.push(bytes);
        }
        runs += 1;
    }
    let (kept, outcomes) = (records.len() - 1, known_outcomes.len());
    println!("{runs} records restored, {kept} in the corpus, {outcomes} different outcomes");
    Ok(())
}
