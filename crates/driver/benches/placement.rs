//! Measures a connection's whole way through the admission gate: a client requests a connection, it is placed
//! on one of 40 servers and established, and an older connection ends. Runs without tenants' quotas, with 4
//! tenants and with 10,000.
#![allow(missing_docs)]

use std::collections::VecDeque;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};
use shorewharf_driver::AdmissionGate;
use shorewharf_settings::operator::OperatorSettings;

/// Established connections beyond this number end, the oldest first.
const MAX_CONNECTIONS: usize = 400;
/// Token of the decisions' housekeeping timer.
const HOUSEKEEPING_TIMER: u64 = 1 << 40;

struct PlacementBench {
    gate: AdmissionGate,
    now: f64,
    last_id: u32,
    tenants: u32,
    connections: VecDeque<(RequestId, ServerId)>,
    actions: Vec<Action>,
}

impl PlacementBench {
    fn new(tenants: u32, has_quotas: bool) -> PlacementBench {
        let quota = vec![100_000.0 / f64::from(tenants); tenants as usize];
        let text = format!(
            r#"{{"classes":[{{"promise_s":0.8,"semantics":"read_like"}}],"group_size":4,"tick_s":0.005,
            "weights":"nominal","specifics":{{"mode":"proxy","message_aim_s":[0.05],"groups":true,
            "tenant_quota_connections":{quota:?}}},"limits":{{"cancel":true,"max_attempts":5,"retry_after":true,
            "max_retry_after_s":1.5}}}}"#
        );
        let settings = shorewharf_settings::parse(text.as_bytes()).expect("settings").settings;
        let operator =
            OperatorSettings::parse(&format!("[tenancy]\non = {has_quotas}")).expect("an operator's file");
        let gate = AdmissionGate::new(0, settings, 7, &operator);
        let (connections, actions) = (VecDeque::new(), Vec::new());
        let mut bench = PlacementBench { gate, now: 1.0, last_id: 0, tenants, connections, actions };
        bench.handle(Event::Start);
        let entry = |id| ServerEntry {
            server: ServerId(id),
            zone: 0,
            cell: 0,
            state: ServerState::Ready,
            weight: 1.0,
            started_at: 0.0,
        };
        let entries = (1..=40).map(entry).collect::<Vec<_>>().into();
        bench.handle(Event::EndpointList { is_complete: true, is_cached: false, entries });
        (0..2_000).for_each(|_| bench.step());
        bench
    }

    fn handle(&mut self, event: Event) {
        self.actions.clear();
        self.gate.handle(self.now, event, &mut self.actions);
    }

    fn step(&mut self) {
        self.now += 0.002;
        self.last_id = self.last_id.wrapping_add(1);
        let id = RequestId(self.last_id);
        let request = Request {
            id,
            class: 0,
            tenant: (self.last_id.wrapping_mul(2_654_435_761) % self.tenants) as usize,
            key: u64::from(self.last_id),
            deadline: self.now + 3.0,
            load: None,
            group: u64::from(self.last_id % 97) + 1,
            is_mid_flow: false,
            is_returning: false,
        };
        self.handle(Event::RequestReceived(request));
        let server = self.actions.iter().find_map(|action| match action {
            Action::BeginAttempt { server, .. } => Some(*server),
            _ => None,
        });
        if let Some(server) = server {
            self.handle(Event::Established { request: id, attempt: 0 });
            self.connections.push_back((id, server));
        }
        if self.connections.len() > MAX_CONNECTIONS
            && let Some((request, server)) = self.connections.pop_front()
        {
            self.handle(Event::AttemptEnded {
                request,
                server,
                attempt: 0,
                outcome: Outcome::Ok,
                is_answered: true,
                load_ratio: None,
            });
        }
        if self.last_id.is_multiple_of(500) {
            self.handle(Event::TimerFired(HOUSEKEEPING_TIMER));
        }
    }
}

fn placement(c: &mut Criterion) {
    let mut group = c.benchmark_group("connection from request to end, by tenants");
    for (name, tenants, has_quotas) in [("no quotas", 4, false), ("4", 4, true), ("10000", 10_000, true)] {
        let mut bench = PlacementBench::new(tenants, has_quotas);
        group.bench_function(BenchmarkId::from_parameter(name), |b| b.iter(|| bench.step()));
    }
    group.finish();
}

criterion_group!(benches, placement);
criterion_main!(benches);
