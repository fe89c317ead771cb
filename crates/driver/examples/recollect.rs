//! How long the portions take in which a large instance is read out, and how long it is recalled: `cargo run --release -p
//! shorewharf-driver --example recollect -- [SERVERS] [CONNECTIONS]`. The module keeps 8,192 places at most; clients that
//! stand are read as well.

use std::time::{Duration, Instant};

use shorewharf_decisions::interface::*;
use shorewharf_driver::AdmissionGate;
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};
use shorewharf_settings::operator::Operator;

/// As the program reads.
const PORTION: usize = 512;

fn instance(servers: u64) -> AdmissionGate {
    let text = include_bytes!("settings.json");
    let set = shorewharf_settings::settings(text).expect("good settings").0;
    let mut gate = AdmissionGate::new(0, set, 7, &Operator::default());
    let (zone, cell, stage, weight, born) = (0, 0, ServerState::Ready, 100.0, 0.0);
    let entry = |id| ServerEntry { server: ServerId(id), zone, cell, state: stage, weight, started_at: born };
    let entries = (1..=servers).map(entry).collect::<Vec<_>>().into();
    gate.handle(100.0, Event::EndpointList { is_complete: true, is_cached: false, entries }, &mut Vec::new());
    gate
}

fn main() {
    let mut args = std::env::args().skip(1).map(|a| a.parse().expect("a number"));
    let (servers, connections) = (args.next().unwrap_or(5000), args.next().unwrap_or(50_000) as u32);
    let mut gate = instance(servers);
    let mut out = Vec::new();
    // Half as many have left again: their places are kept.
    for id in 0..connections + connections / 2 {
        let request = Request {
            id: RequestId(id),
            class: 0,
            tenant: 0,
            key: u64::from(id) + 1,
            deadline: 102.0,
            load: Some(0.01),
            group: u64::from(id) % 2000 + 1,
            is_mid_flow: false,
            is_returning: false,
        };
        let server = ServerId(u64::from(id) % servers + 1);
        gate.handle(100.0, Event::ConnectionRestored(request, server), &mut out);
        if id >= connections {
            let (request, outcome) = (RequestId(id), Outcome::Reset);
            let (attempt, complete, load_ratio) = (0, true, None);
            let ended =
                Event::AttemptEnded { request, server, attempt, outcome, is_answered: complete, load_ratio };
            gate.handle(100.0, ended, &mut out);
        }
        out.clear();
    }
    let mut longest = Duration::ZERO;
    let (mut all, mut portions, mut at) = (Vec::<SnapshotEntry>::new(), 0, ExportCursor::default());
    let began = Instant::now();
    while at != ExportCursor::End {
        // As the program does: a portion of its own, which goes to another thread.
        let begun = Instant::now();
        let mut some = Vec::new();
        at = gate.recollect(at, PORTION, &mut some);
        longest = longest.max(begun.elapsed());
        portions += 1;
        all.extend(some);
    }
    let (read, things) = (began.elapsed(), all.len());
    println!("{servers} servers, {connections} connections: {things} things in {portions} portions");
    println!("read out in {read:?} in all, the longest portion {longest:?}");
    let mut next = instance(servers);
    let began = Instant::now();
    let recalled = next.recall(100.5, 0.5, true, all);
    println!("recalled in {:?}: {recalled:?}", began.elapsed());
}
