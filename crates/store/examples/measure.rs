//! Measures the store with many tenants: changes and reads per second, the time to open it, and its memory. The
//! baseline is a plain JSON file that is rewritten and synced for each change.
//!
//! `cargo run --release -p shorewharf-store --example measure -- --tenants 10000 --dir FOLDER`
//!
//! The folder selects the disk that is measured. The replicated engine is measured against a stub in memory, which
//! shows the cost of the client, not of a cluster.

use clap::Parser;
use comfy_table::Table;
use shorewharf_store::backup::backup;
use shorewharf_store::cached_store::CachedStore;
use shorewharf_store::check::check;
use shorewharf_store::commands::{ChangeRequest, Command, Lookup, execute, look_up};
use shorewharf_store::directory::Directory;
use shorewharf_store::embedded::{Create, Embedded};
use shorewharf_store::error::StoreError;
use shorewharf_store::exchange::export;
use shorewharf_store::name::TenantName;
use shorewharf_store::record::{Actor, InstanceName, NewTenant, TenantChange, Usage, UsageReport, Weight};
use shorewharf_store::replicated::{Options, Replicated};
use shorewharf_store::standin::Cluster;
use shorewharf_store::store::Store;
use std::collections::BTreeMap;
use std::error::Error;
use std::fs::{self, File};
use std::io::Write;
use std::path::{Path, PathBuf};
use std::process;
use std::time::{Duration, Instant};

/// The time of all calls, in microseconds since 1970.
const NOW: u64 = 1_775_000_000_000_000;

#[derive(Parser)]
struct Arguments {
    /// Number of tenants.
    #[arg(long, default_value_t = 10_000)]
    tenants: u32,
    /// Seconds for which each rate is measured.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
    /// Only open this store and print the time and memory that it takes. The example starts itself with this option.
    #[arg(long, hide = true)]
    open: Option<PathBuf>,
    /// Folder in which the files are created; the system's temporary folder by default.
    #[arg(long)]
    dir: Option<PathBuf>,
}

fn tenant(i: u32) -> TenantName {
    TenantName::new(&format!("tenant-{i:05}")).expect("a name")
}

/// `count` changes of tenants. The step of 7919 (a prime) spreads them over all tenants.
fn changes(from: u32, count: u32, tenants: u32) -> Vec<ChangeRequest> {
    let change = |i: u32| {
        let weight = Some(Weight::new(1 + i % 1000).expect("a weight"));
        let change = TenantChange { weight, ..TenantChange::default() };
        ChangeRequest::new(
            Actor::File,
            Command::ChangeTenant { name: tenant(i * 7919 % tenants), expected: None, change },
        )
    };
    (from..from + count).map(change).collect()
}

fn fill(store: &mut dyn Store, tenants: u32) -> Result<(), Box<dyn Error>> {
    let new = |i| ChangeRequest::new(Actor::File, Command::CreateTenant(NewTenant::named(tenant(i))));
    let all: Vec<ChangeRequest> = (0..tenants).map(new).collect();
    for done in execute(store, &all, NOW) {
        done?;
    }
    Ok(())
}

/// Calls `work`, which executes `batch_size` operations, for some seconds. Returns the operations per second.
fn rate(seconds: f64, batch_size: u32, mut work: impl FnMut(u32)) -> f64 {
    let start = Instant::now();
    let mut done = 0;
    while start.elapsed() < Duration::from_secs_f64(seconds) {
        work(done);
        done += batch_size;
    }
    f64::from(done) / start.elapsed().as_secs_f64()
}

/// Returns the result of `work` and its duration in milliseconds.
fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let start = Instant::now();
    let result = work();
    (result, start.elapsed().as_secs_f64() * 1e3)
}

/// The resident memory of this process in MiB.
fn resident_memory() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(f64::NAN) / 1024.0
}

fn execute_all(store: &mut dyn Store, requests: &[ChangeRequest]) {
    assert!(execute(store, requests, NOW).iter().all(Result::is_ok), "a change was rejected");
}

/// Measures the baseline: all tenants in one JSON file, which is rewritten, synced and renamed for each change. Returns
/// the changes per second.
fn baseline(dir: &Path, tenants: u32, seconds: f64) -> Result<f64, Box<dyn Error>> {
    let mut all: BTreeMap<String, NewTenant> =
        (0..tenants).map(|i| (tenant(i).canonical(), NewTenant::named(tenant(i)))).collect();
    let (path, temporary) = (dir.join("plain.json"), dir.join("plain.json.part"));
    Ok(rate(seconds, 1, |i| {
        let changed = all.get_mut(&tenant(i * 7919 % tenants).canonical()).expect("a tenant");
        changed.weight = Weight::new(1 + i % 1000).expect("a weight");
        let write = || -> std::io::Result<()> {
            let mut file = File::create(&temporary)?;
            file.write_all(&serde_json::to_vec(&all)?)?;
            file.sync_data()?;
            fs::rename(&temporary, &path)?;
            File::open(dir)?.sync_all()
        };
        write().expect("the plain JSON file can be written");
    }))
}

/// Opens a store and fills a directory from it. Prints the milliseconds and MiB that each takes.
fn measure_opening(path: &Path) -> Result<(), StoreError> {
    let memory_before = resident_memory();
    let (store, opening_ms) = timed(|| Embedded::open(path, Create::Never, NOW));
    let mut cached = CachedStore::new(Box::new(store?), None);
    let memory_open = resident_memory();
    let mut directory = Directory::default();
    let (batch, filling_ms) = timed(|| cached.refresh(NOW));
    directory.apply(&batch?);
    let (open_mib, filled_mib) = (memory_open - memory_before, resident_memory() - memory_open);
    println!("{opening_ms} {open_mib} {filling_ms} {filled_mib}");
    Ok(())
}

fn main() -> Result<(), Box<dyn Error>> {
    let Arguments { tenants, seconds, dir, open } = Arguments::parse();
    if let Some(path) = open {
        return Ok(measure_opening(&path)?);
    }
    let dir = match dir {
        Some(dir) => tempfile::tempdir_in(dir)?,
        None => tempfile::tempdir()?,
    };
    let path = dir.path().join("store");
    let mut table = Table::new();
    table.set_header(["measurement", "value", "unit"]);
    let mut row = |measurement: &str, value: f64, unit: &str| {
        let digits = if value < 100.0 { 1 } else { 0 };
        table.add_row([measurement.to_owned(), format!("{value:.digits$}"), unit.to_owned()]);
    };

    let mut store = Embedded::open(&path, Create::IfMissing, NOW)?;
    let (filled, elapsed) = timed(|| fill(&mut store, tenants));
    filled?;
    row(&format!("embedded: creating {tenants} tenants"), elapsed, "ms");
    row("embedded: file size", fs::metadata(&path)?.len() as f64 / 1048576.0, "MiB");
    let single = rate(seconds, 1, |i| execute_all(&mut store, &changes(i, 1, tenants)));
    row("embedded: changes, one at a time, each synced", single, "per second");
    let grouped = rate(seconds, 64, |i| execute_all(&mut store, &changes(i, 64, tenants)));
    row("embedded: changes, in groups of 64", grouped, "per second");
    let reads = rate(seconds, 1, |i| {
        look_up(&mut store, &Lookup::Tenant(tenant(i * 7919 % tenants)), NOW).expect("a tenant");
    });
    row("embedded: reads of one tenant", reads, "per second");
    let pages = rate(seconds, 1, |_| {
        let lookup = Lookup::Tenants { prefix: String::new(), after: None, limit: 100 };
        look_up(&mut store, &lookup, NOW).expect("a page");
    });
    row("embedded: reads of 100 tenants", pages, "per second");
    let usage = |setups| Usage {
        setups,
        connection_micros: 60_000_000,
        lines: 1000,
        bytes: 100_000,
        ..Usage::default()
    };
    let usage_by_id: BTreeMap<u32, Usage> = (0..tenants).map(|p| (p, usage(u64::from(p)))).collect();
    for (minute, note) in [(1, "first minute"), (2, "second minute")] {
        let report = UsageReport::new(InstanceName::new("n1")?, minute, usage_by_id.clone())?;
        let request = ChangeRequest::new(Actor::Service, Command::RecordUsage(report));
        let ((), elapsed) = timed(|| execute_all(&mut store, &[request]));
        row(&format!("embedded: recording usage of all tenants, {note}"), elapsed, "ms");
    }
    let (copied, elapsed) = timed(|| backup(&mut store, &dir.path().join("backup"), NOW));
    copied?;
    row("embedded: backup", elapsed, "ms");
    let (copied, elapsed) = timed(|| export(&mut store, &mut std::io::sink(), NOW));
    copied?;
    row("embedded: export", elapsed, "ms");
    let (faults, elapsed) = timed(|| check(&mut store, NOW));
    assert!(faults?.is_empty(), "the check found faults");
    row("embedded: integrity check", elapsed, "ms");
    row("embedded: file size at the end", fs::metadata(&path)?.len() as f64 / 1048576.0, "MiB");
    drop(store);

    // A new process is used because memory that this one has freed would distort the measurement.
    let child = process::Command::new(std::env::current_exe()?).arg("--open").arg(&path).output()?;
    let output = String::from_utf8(child.stdout)?;
    let values: Vec<f64> = output.split_whitespace().map(str::parse).collect::<Result<_, _>>()?;
    let [opening_ms, open_mib, filling_ms, filled_mib] = values[..] else {
        return Err(format!("expected four numbers from the child process, found {output:?}").into());
    };
    row("embedded: opening and verifying every page", opening_ms, "ms");
    row("embedded: memory of the open store", open_mib, "MiB");
    row("cached store and directory: filling both", filling_ms, "ms");
    row("cached store and directory: memory", filled_mib, "MiB");
    row(
        "plain JSON file, rewritten and synced: changes",
        baseline(dir.path(), tenants, seconds)?,
        "per second",
    );
    row("plain JSON file of 4 tenants: changes", baseline(dir.path(), 4, seconds)?, "per second");

    let cluster = Cluster::new();
    let member = cluster.member()?;
    let mut store = Replicated::new(&Options::new(vec![member.endpoint()], "measured", "n1", 1))?;
    fill(&mut store, tenants.min(1000))?;
    let few = tenants.min(1000);
    let single = rate(seconds, 1, |i| execute_all(&mut store, &changes(i, 1, few)));
    row("replicated, against the stub: changes, one at a time", single, "per second");
    let grouped = rate(seconds, 64, |i| execute_all(&mut store, &changes(i, 64, few)));
    row("replicated, against the stub: changes, in groups of 64", grouped, "per second");
    println!("{table}");
    Ok(())
}
