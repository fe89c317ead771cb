//! Measures how long it takes to export the state of a large instance in portions, and to restore it. The
//! decisions keep at most 8,192 reservations. Connected clients are exported as well.
//!
//! `cargo run --release -p shorewharf-driver --example export_state -- [SERVERS] [CONNECTIONS]`

use std::time::{Duration, Instant};

use shorewharf_decisions::interface::{
    Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};
use shorewharf_driver::AdmissionGate;
use shorewharf_recovery::snapshot_state::{ExportCursor, SnapshotEntry};
use shorewharf_settings::operator::OperatorSettings;

/// Most entries that the balancer exports at once.
const PORTION: usize = 512;
const DEFAULT_SERVERS: u64 = 5_000;
const DEFAULT_CONNECTIONS: u64 = 50_000;
const GROUPS: u64 = 2_000;
const START_SECONDS: f64 = 100.0;

fn instance(server_count: u64) -> AdmissionGate {
    let settings =
        shorewharf_settings::parse(include_bytes!("settings.json")).expect("valid settings").settings;
    let mut gate = AdmissionGate::new(0, settings, 7, &OperatorSettings::default());
    let entry = |id| ServerEntry {
        server: ServerId(id),
        zone: 0,
        cell: 0,
        state: ServerState::Ready,
        weight: 100.0,
        started_at: 0.0,
    };
    let entries = (1..=server_count).map(entry).collect::<Vec<_>>().into();
    let list = Event::EndpointList { is_complete: true, is_cached: false, entries };
    gate.handle(START_SECONDS, list, &mut Vec::new());
    gate
}

fn request(id: u32) -> Request {
    Request {
        id: RequestId(id),
        class: 0,
        tenant: 0,
        key: u64::from(id) + 1,
        deadline: START_SECONDS + 2.0,
        load: Some(0.01),
        group: u64::from(id) % GROUPS + 1,
        is_mid_flow: false,
        is_returning: false,
    }
}

/// Restores connected clients, and half as many that have left again and therefore have reservations.
fn connect_clients(gate: &mut AdmissionGate, server_count: u64, connections: u32) {
    let mut actions = Vec::new();
    for id in 0..connections + connections / 2 {
        let server = ServerId(u64::from(id) % server_count + 1);
        gate.handle(START_SECONDS, Event::ConnectionRestored(request(id), server), &mut actions);
        if id >= connections {
            let ended = Event::AttemptEnded {
                request: RequestId(id),
                server,
                attempt: 0,
                outcome: Outcome::Reset,
                is_answered: true,
                load_ratio: None,
            };
            gate.handle(START_SECONDS, ended, &mut actions);
        }
        actions.clear();
    }
}

/// Exports all state, and prints how long the portions took.
fn export_all(gate: &AdmissionGate) -> Vec<SnapshotEntry> {
    let (mut entries, mut portions, mut cursor) = (Vec::new(), 0, ExportCursor::default());
    let mut longest = Duration::ZERO;
    let started_at = Instant::now();
    while cursor != ExportCursor::End {
        // As in the balancer, each portion is a list of its own, which can be handed to another thread.
        let portion_started_at = Instant::now();
        let mut portion = Vec::new();
        cursor = gate.export_state(cursor, PORTION, &mut portion);
        longest = longest.max(portion_started_at.elapsed());
        portions += 1;
        entries.extend(portion);
    }
    let (elapsed, count) = (started_at.elapsed(), entries.len());
    println!(
        "{count} entries in {portions} portions, exported in {elapsed:?}, the longest portion {longest:?}"
    );
    entries
}

fn main() {
    let mut arguments = std::env::args().skip(1).map(|argument| argument.parse().expect("a number"));
    let server_count = arguments.next().unwrap_or(DEFAULT_SERVERS);
    let connections = arguments.next().unwrap_or(DEFAULT_CONNECTIONS) as u32;
    println!("{server_count} servers, {connections} connections");
    let mut gate = instance(server_count);
    connect_clients(&mut gate, server_count, connections);
    let entries = export_all(&gate);
    let mut restored = instance(server_count);
    let started_at = Instant::now();
    let counts = restored.restore_state(START_SECONDS + 0.5, 0.5, true, entries);
    println!("restored in {:?}: {counts:?}", started_at.elapsed());
}
