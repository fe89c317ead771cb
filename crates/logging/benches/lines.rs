//! Benchmarks the time that a log line costs the event loop: a line that is written, one that is suppressed by
//! its level, and, for comparison, one that is formatted directly into the unbuffered output.

use std::fs::OpenOptions;
use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{Criterion, Throughput};
use shorewharf_logging::LogArgs;
use tracing::{debug, warn};

fn lines(c: &mut Criterion) {
    let mut group = c.benchmark_group("lines");
    group.throughput(Throughput::Elements(1));
    let client: SocketAddr = ([127, 0, 0, 1], 40_000).into();
    for format in ["logfmt", "json"] {
        let log_format = clap::ValueEnum::from_str(format, false).expect("a known format");
        let args = LogArgs { log_format, log_level: "info".parse().expect("a valid level") };
        // Like standard error: unbuffered, with one write per line.
        let output = OpenOptions::new().write(true).open("/dev/null").expect("/dev/null can be opened");
        tracing::subscriber::with_default(args.subscriber(output), || {
            group.bench_function(format, |b| {
                b.iter(|| warn!(event = "malformed", client = %black_box(client), why = "unknown class"));
            });
            group.bench_function(format!("{format}-off"), |b| {
                b.iter(|| debug!(event = "answered", client = %black_box(client)));
            });
        });
    }
    group.bench_function("unbuffered", |b| {
        let mut output = OpenOptions::new().write(true).open("/dev/null").expect("/dev/null can be opened");
        b.iter(|| {
            let text = format_args!("malformed client={client} why=\"unknown class\"");
            std::io::Write::write_fmt(&mut output, format_args!("shorewharf: {text}\n"))
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    lines(&mut criterion);
    criterion.final_summary();
}
