//! Micro-benchmarks of the components whose cost grows with the fleet: the timer wheel (compared with a slab and a heap),
//! line scanning, and endpoint lists with their changes.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{BatchSize, Criterion, Throughput};
use serde_json::json;
use shorewharf::discovery::reader::{ListPart, ListReader};
use shorewharf::discovery::update::EndpointUpdate;
use shorewharf::event_loop::timers::TimerWheel;
use shorewharf::servers::server_table::ServerTable;
use shorewharf_emulator::standin::endpoint;
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_protocol::line::{LineScan, scan_line};
use shorewharf_protocol::name_index::NameIndex;
use slotmap::{DefaultKey, SlotMap};

const SECOND: u64 = 1_000_000;

/// The baseline for the timer wheel: the simplest structure with cancellation. The heap entry of a cancelled timer stays
/// until it is due.
#[derive(Default)]
struct Heap {
    slab: SlotMap<DefaultKey, u64>,
    heap: BinaryHeap<Reverse<(u64, DefaultKey)>>,
}

/// Each connection in turn has its timer cancelled and scheduled again a second ahead while time advances, as answered
/// requests do. Measured with different numbers of connections.
fn timers(c: &mut Criterion) {
    let mut group = c.benchmark_group("timers");
    group.throughput(Throughput::Elements(1));
    for connections in [100, 10_000, 200_000_u64] {
        group.bench_function(format!("wheel-{connections}"), |b| {
            let (mut timers, mut now) = (TimerWheel::new(0), 0);
            let mut keys: Vec<_> =
                (0..connections).map(|i| timers.schedule(i * SECOND / connections, i)).collect();
            b.iter(|| {
                now += SECOND / connections;
                let index = (now * 7919 % connections) as usize;
                timers.cancel(keys[index]);
                keys[index] = timers.schedule(now + SECOND, black_box(now));
                timers.advance(now);
                while timers.pop_due().is_some() {}
            });
        });
        group.bench_function(format!("slab-heap-{connections}"), |b| {
            let (mut timers, mut now) = (Heap::default(), 0);
            let schedule = |timers: &mut Heap, due, value| {
                let key = timers.slab.insert(value);
                timers.heap.push(Reverse((due, key)));
                key
            };
            let mut keys: Vec<_> =
                (0..connections).map(|i| schedule(&mut timers, i * SECOND / connections, i)).collect();
            b.iter(|| {
                now += SECOND / connections;
                let index = (now * 7919 % connections) as usize;
                timers.slab.remove(keys[index]);
                keys[index] = schedule(&mut timers, now + SECOND, black_box(now));
                while timers.heap.peek().is_some_and(|t| t.0.0 <= now) {
                    timers.heap.pop().map(|t| timers.slab.remove(t.0.1));
                }
            });
        });
    }
    group.finish();
}

fn lines(c: &mut Criterion) {
    let mut group = c.benchmark_group("lines");
    for length in [32, 4096] {
        let line = [vec![b'x'; length - 2], b"\r\n".to_vec()].concat();
        group.throughput(Throughput::Bytes(length as u64));
        group.bench_function(format!("scan-{length}"), |b| {
            b.iter(|| assert_eq!(scan_line(black_box(&line)), LineScan::Complete(length)));
        });
    }
    group.finish();
}

/// A snapshot of the endpoint list.
fn endpoint_list(servers: usize) -> EndpointList {
    let entry = |i| endpoint(&format!("s-{i:05}"), SocketAddr::from(([127, 0, 0, 1], 9000)), "Ready");
    EndpointList { index: 1, snapshot: true, endpoints: (0..servers).map(entry).collect() }
}

fn lists(c: &mut Criterion) {
    let (names, max_servers) = (NameIndex::default(), 100_000);
    let mut group = c.benchmark_group("lists");
    let snapshot = endpoint_list(10_000);
    let text = json!(snapshot).to_string() + "\n";
    group.throughput(Throughput::Bytes(text.len() as u64));
    group.bench_function("read-10000", |b| {
        b.iter(|| {
            let (mut reader, mut incoming) = (ListReader::new(), EndpointUpdate::default());
            for piece in text.as_bytes().chunks(8192) {
                let mut on_part = |part| {
                    if let ListPart::Entry(e) = part {
                        incoming.add(&e, &names, max_servers);
                    }
                };
                reader.read(piece, &mut on_part).expect("a valid list");
            }
            assert_eq!(incoming.servers.len(), 10_000);
        });
    });
    group.throughput(Throughput::Elements(10_000));
    let mut servers = ServerTable::default();
    servers.apply_list(EndpointUpdate::from_list(&snapshot, &names, max_servers), max_servers, |_| false);
    group.bench_function("apply-snapshot-10000", |b| {
        let list = || EndpointUpdate::from_list(&snapshot, &names, max_servers);
        b.iter_batched(list, |list| servers.apply_list(list, max_servers, |_| false), BatchSize::LargeInput);
    });
    group.throughput(Throughput::Elements(1));
    let changes = ["Terminating", "Ready"].map(|status| {
        let mut change = endpoint_list(1);
        (change.snapshot, change.endpoints[0].status) = (false, status.to_owned());
        change
    });
    let mut next = 0;
    group.bench_function("apply-change-to-10000", |b| {
        b.iter(|| {
            next += 1;
            let list = EndpointUpdate::from_list(&changes[next % 2], &names, max_servers);
            servers.apply_list(list, max_servers, |_| false)
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    timers(&mut criterion);
    lines(&mut criterion);
    lists(&mut criterion);
    criterion.final_summary();
}
