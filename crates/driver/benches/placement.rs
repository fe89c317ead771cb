//! What a placement costs behind the gate: a client asks, is placed among 40 servers, comes up, and one that stood
//! before ends; without tenants' shares, with 4 tenants and with 10,000.
#![allow(missing_docs)]

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use shorewharf_decisions::interface::{
    Action, Event, Outcome, Request, RequestId, ServerEntry, ServerId, ServerState,
};
use shorewharf_driver::AdmissionGate;
use shorewharf_settings::operator::Operator;

const MAX_CONNECTIONS: u32 = 400;

struct PlacementBench {
    gate: AdmissionGate,
    now: f64,
    next: u32,
    tenants: u32,
    connections: std::collections::VecDeque<(RequestId, ServerId)>,
    out: Vec<Action>,
}

impl PlacementBench {
    fn new(tenants: u32, on: bool) -> PlacementBench {
        let quota = vec![100_000.0 / f64::from(tenants); tenants as usize];
        let text = format!(
            r#"{{"classes":[{{"promise_s":0.8,"semantics":"read_like"}}],"group_size":4,"tick_s":0.005,
            "weights":"nominal","specifics":{{"mode":"proxy","message_aim_s":[0.05],"groups":true,
            "tenant_quota_connections":{quota:?}}},"limits":{{"cancel":true,"max_attempts":5,"retry_after":true,
            "max_retry_after_s":1.5}}}}"#
        );
        let set = shorewharf_settings::parse(text.as_bytes()).expect("settings").settings;
        let operator = Operator::parse(&format!("[tenancy]\non = {on}")).expect("an operator's file");
        let gate = AdmissionGate::new(0, set, 7, &operator);
        let (connections, out) = (std::collections::VecDeque::new(), Vec::new());
        let mut bench = PlacementBench { gate, now: 1.0, next: 0, tenants, connections, out };
        bench.handle(Event::Start);
        let stage = ServerState::Ready;
        let entry = |s| ServerEntry {
            server: ServerId(s),
            zone: 0,
            cell: 0,
            state: stage,
            weight: 1.0,
            started_at: 0.0,
        };
        let entries = (1..=40).map(entry).collect::<Vec<_>>().into();
        bench.handle(Event::EndpointList { is_complete: true, is_cached: false, entries });
        (0..2_000).for_each(|_| bench.step());
        bench
    }

    fn handle(&mut self, event: Event) {
        self.out.clear();
        self.gate.handle(self.now, event, &mut self.out);
    }

    fn step(&mut self) {
        self.now += 0.002;
        self.next = self.next.wrapping_add(1);
        let id = RequestId(self.next);
        let tenant = (self.next.wrapping_mul(2_654_435_761) % self.tenants) as usize;
        let (key, deadline, group) = (u64::from(self.next), self.now + 3.0, u64::from(self.next % 97) + 1);
        let request = Request {
            id,
            class: 0,
            tenant,
            key,
            deadline,
            load: None,
            group,
            is_mid_flow: false,
            is_returning: false,
        };
        self.handle(Event::RequestReceived(request));
        let sent = self.out.iter().find_map(|a| match a {
            Action::BeginAttempt { server, .. } => Some(*server),
            _ => None,
        });
        if let Some(server) = sent {
            self.handle(Event::Established { request: id, attempt: 0 });
            self.connections.push_back((id, server));
        }
        if self.connections.len() > MAX_CONNECTIONS as usize
            && let Some((request, server)) = self.connections.pop_front()
        {
            let (outcome, complete, attempt) = (Outcome::Ok, true, 0);
            self.handle(Event::AttemptEnded {
                request,
                server,
                attempt,
                outcome,
                is_answered: complete,
                load_ratio: None,
            });
        }
        if self.next.is_multiple_of(500) {
            self.handle(Event::TimerFired(1 << 40));
        }
    }
}

fn placement(c: &mut Criterion) {
    let mut group = c.benchmark_group("a client is placed, stands and ends");
    for (name, tenants, on) in [("no shares", 4, false), ("4", 4, true), ("10000", 10_000, true)] {
        let mut bench = PlacementBench::new(tenants, on);
        group.bench_function(BenchmarkId::from_parameter(name), |b| b.iter(|| bench.step()));
    }
    group.finish();
}

criterion_group!(benches, placement);
criterion_main!(benches);
