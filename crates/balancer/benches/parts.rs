//! The parts that a large fleet leans on: timers beside a slab with a heap, lines, lists and their changes.

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

/// What the wheel is measured against: the simplest that can take a timer back. Its entry stays in the heap until it
/// comes up.
#[derive(Default)]
struct Heap {
    slab: SlotMap<DefaultKey, u64>,
    heap: BinaryHeap<Reverse<(u64, DefaultKey)>>,
}

/// So many connections each have a timer set and taken back in turn, a second ahead, while time goes on; as requests do
/// that are answered.
fn timers(c: &mut Criterion) {
    let mut group = c.benchmark_group("timers");
    group.throughput(Throughput::Elements(1));
    for held in [100, 10_000, 200_000_u64] {
        group.bench_function(format!("wheel-{held}"), |b| {
            let (mut timers, mut now) = (TimerWheel::new(0), 0);
            let mut keys: Vec<_> = (0..held).map(|i| timers.schedule(i * SECOND / held, i)).collect();
            b.iter(|| {
                now += SECOND / held;
                let at = (now * 7919 % held) as usize;
                timers.cancel(keys[at]);
                keys[at] = timers.schedule(now + SECOND, black_box(now));
                timers.advance(now);
                while timers.pop_due().is_some() {}
            });
        });
        group.bench_function(format!("slab-heap-{held}"), |b| {
            let (mut timers, mut now) = (Heap::default(), 0);
            let set = |timers: &mut Heap, when, what| {
                let key = timers.slab.insert(what);
                timers.heap.push(Reverse((when, key)));
                key
            };
            let mut keys: Vec<_> = (0..held).map(|i| set(&mut timers, i * SECOND / held, i)).collect();
            b.iter(|| {
                now += SECOND / held;
                let at = (now * 7919 % held) as usize;
                timers.slab.remove(keys[at]);
                keys[at] = set(&mut timers, now + SECOND, black_box(now));
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
        group.bench_function(format!("front-{length}"), |b| {
            b.iter(|| assert_eq!(scan_line(black_box(&line)), LineScan::Complete(length)));
        });
    }
    group.finish();
}

fn listing(servers: usize) -> EndpointList {
    let one = |i| endpoint(&format!("s-{i:05}"), SocketAddr::from(([127, 0, 0, 1], 9000)), "Ready");
    EndpointList { index: 1, snapshot: true, endpoints: (0..servers).map(one).collect() }
}

fn lists(c: &mut Criterion) {
    let (names, most) = (NameIndex::default(), 100_000);
    let mut group = c.benchmark_group("lists");
    let whole = listing(10_000);
    let text = json!(whole).to_string() + "\n";
    group.throughput(Throughput::Bytes(text.len() as u64));
    group.bench_function("read-10000", |b| {
        b.iter(|| {
            let (mut reader, mut incoming) = (ListReader::new(), EndpointUpdate::default());
            for piece in text.as_bytes().chunks(8192) {
                let mut part = |part| {
                    if let ListPart::Entry(e) = part {
                        incoming.add(&e, &names, most);
                    }
                };
                reader.read(piece, &mut part).expect("a list");
            }
            assert_eq!(incoming.servers.len(), 10_000);
        });
    });
    group.throughput(Throughput::Elements(10_000));
    let mut servers = ServerTable::default();
    servers.apply_list(EndpointUpdate::from_list(&whole, &names, most), most, |_| false);
    group.bench_function("take-whole-10000", |b| {
        let list = || EndpointUpdate::from_list(&whole, &names, most);
        b.iter_batched(list, |list| servers.apply_list(list, most, |_| false), BatchSize::LargeInput);
    });
    group.throughput(Throughput::Elements(1));
    let changes = ["Terminating", "Ready"].map(|status| {
        let mut change = listing(1);
        (change.snapshot, change.endpoints[0].status) = (false, status.to_owned());
        change
    });
    let mut next = 0;
    group.bench_function("change-of-10000", |b| {
        b.iter(|| {
            next += 1;
            let list = EndpointUpdate::from_list(&changes[next % 2], &names, most);
            servers.apply_list(list, most, |_| false)
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
