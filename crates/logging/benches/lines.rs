//! What a line of the log costs the loop: put together and handed over, and where its level is off.

use std::fs::OpenOptions;
use std::hint::black_box;
use std::net::SocketAddr;

use criterion::{Criterion, Throughput};
use shorewharf_logging::LogArgs;
use tracing::{debug, warn};

fn lines(c: &mut Criterion) {
    let mut group = c.benchmark_group("lines");
    group.throughput(Throughput::Elements(1));
    let from: SocketAddr = ([127, 0, 0, 1], 40_000).into();
    for format in ["logfmt", "json"] {
        let log_format = clap::ValueEnum::from_str(format, false).expect("a format");
        let args = LogArgs { log_format, log_level: "info".parse().expect("a level") };
        // As standard error: unbuffered, a write for each line.
        let out = OpenOptions::new().write(true).open("/dev/null").expect("a device");
        tracing::subscriber::with_default(args.subscriber(out), || {
            group.bench_function(format, |b| {
                b.iter(|| warn!(event = "malformed", client = %black_box(from), why = "unknown class"));
            });
            group.bench_function(format!("{format}-off"), |b| {
                b.iter(|| debug!(event = "answered", client = %black_box(from)));
            });
        });
    }
    group.bench_function("unbuffered", |b| {
        let mut out = OpenOptions::new().write(true).open("/dev/null").expect("a device");
        b.iter(|| {
            let text = format_args!("malformed client={from} why=\"unknown class\"");
            std::io::Write::write_fmt(&mut out, format_args!("shorewharf: {text}\n"))
        });
    });
    group.finish();
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    lines(&mut criterion);
    criterion.final_summary();
}
