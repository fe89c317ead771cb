//! Measures the store with many tenants: changes and reads a second, opening and memory, compared with a plain JSON file that
//! is rewritten and synced for each change.
//!
//! `cargo run --release -p shorewharf-store --example measure -- --tenants 10000 --dir FOLDER`
//!
//! The folder decides which disk is measured. The replicated engine is measured against a stub in memory, which shows the
//! cost of the client, not of a cluster.

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

const NOW: u64 = 1_775_000_000_000_000;

#[derive(Parser)]
struct Arguments {
    /// How many tenants there are.
    #[arg(long, default_value_t = 10_000)]
    tenants: u32,
    /// For how many seconds each rate is measured.
    #[arg(long, default_value_t = 2.0)]
    seconds: f64,
    /// Only opens a file, and prints how long that took and how much memory it uses.
    #[arg(long, hide = true)]
    open: Option<PathBuf>,
    /// Where the files are created; the system's temporary folder by default.
    #[arg(long)]
    dir: Option<PathBuf>,
}

fn tenant(i: u32) -> TenantName {
    TenantName::new(&format!("tenant-{i:05}")).expect("a name")
}

/// Changes of tenants, spread over all.
fn changes(from: u32, count: u32, tenants: u32) -> Vec<ChangeRequest> {
    let one = |i: u32| {
        let weight = Some(Weight::new(1 + i % 1000).expect("a weight"));
        let change = TenantChange { weight, ..TenantChange::default() };
        ChangeRequest::new(
            Actor::File,
            Command::ChangeTenant { name: tenant(i * 7919 % tenants), expected: None, change },
        )
    };
    (from..from + count).map(one).collect()
}

fn fill(store: &mut dyn Store, tenants: u32) -> Result<(), Box<dyn Error>> {
    let new = |i| ChangeRequest::new(Actor::File, Command::CreateTenant(NewTenant::named(tenant(i))));
    let all: Vec<ChangeRequest> = (0..tenants).map(new).collect();
    for done in execute(store, &all, NOW) {
        done?;
    }
    Ok(())
}

/// How often a second `work` is done, which does `each` at a time.
fn rate(seconds: f64, each: u32, mut work: impl FnMut(u32)) -> f64 {
    let begun = Instant::now();
    let mut done = 0;
    while begun.elapsed() < Duration::from_secs_f64(seconds) {
        work(done);
        done += each;
    }
    f64::from(done) / begun.elapsed().as_secs_f64()
}

fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let begun = Instant::now();
    let result = work();
    (result, begun.elapsed().as_secs_f64() * 1e3)
}

/// Resident memory in MiB.
fn resident() -> f64 {
    let text = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find(|l| l.starts_with("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse::<f64>().ok());
    kib.unwrap_or(f64::NAN) / 1024.0
}

fn execute_all(store: &mut dyn Store, requests: &[ChangeRequest]) {
    assert!(execute(store, requests, NOW).iter().all(Result::is_ok), "a change was refused");
}

/// The baseline: all tenants in one JSON file, which is rewritten, synced and renamed for each change.
fn baseline(dir: &Path, tenants: u32, seconds: f64) -> Result<f64, Box<dyn Error>> {
    let mut all: BTreeMap<String, NewTenant> =
        (0..tenants).map(|i| (tenant(i).canonical(), NewTenant::named(tenant(i)))).collect();
    let (path, part) = (dir.join("plain.json"), dir.join("plain.json.part"));
    Ok(rate(seconds, 1, |i| {
        let one = all.get_mut(&tenant(i * 7919 % tenants).canonical()).expect("a tenant");
        one.weight = Weight::new(1 + i % 1000).expect("a weight");
        let write = || -> std::io::Result<()> {
            let mut file = File::create(&part)?;
            file.write_all(&serde_json::to_vec(&all)?)?;
            file.sync_data()?;
            fs::rename(&part, &path)?;
            File::open(dir)?.sync_all()
        };
        write().expect("the plain file is written");
    }))
}

/// Opens a store and fills a directory from it; prints milliseconds and MiB of both.
fn measure_opening(path: &Path) -> Result<(), StoreError> {
    let before = resident();
    let (store, opening) = timed(|| Embedded::open(path, Create::Never, NOW));
    let mut cached = CachedStore::new(Box::new(store?), None);
    let open = resident();
    let mut directory = Directory::default();
    let (batch, reading) = timed(|| cached.refresh(NOW));
    directory.apply(&batch?);
    println!("{opening} {} {reading} {}", open - before, resident() - open);
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
    table.set_header(["what", "figure", "unit"]);
    let mut row = |what: &str, figure: f64, unit: &str| {
        let digits = if figure < 100.0 { 1 } else { 0 };
        table.add_row([what.to_owned(), format!("{figure:.digits$}"), unit.to_owned()]);
    };

    let mut store = Embedded::open(&path, Create::IfMissing, NOW)?;
    let (filled, elapsed) = timed(|| fill(&mut store, tenants));
    filled?;
    row(&format!("one file: making {tenants} tenants"), elapsed, "ms");
    row("one file: its size", fs::metadata(&path)?.len() as f64 / 1048576.0, "MiB");
    let single = rate(seconds, 1, |i| execute_all(&mut store, &changes(i, 1, tenants)));
    row("one file: changes, one at a time, each synced", single, "a second");
    let grouped = rate(seconds, 64, |i| execute_all(&mut store, &changes(i, 64, tenants)));
    row("one file: changes, 64 waiting, written together", grouped, "a second");
    let reads = rate(seconds, 1, |i| {
        look_up(&mut store, &Lookup::Tenant(tenant(i * 7919 % tenants)), NOW).expect("a tenant");
    });
    row("one file: reads of a tenant", reads, "a second");
    let pages = rate(seconds, 1, |_| {
        let ask = Lookup::Tenants { prefix: String::new(), after: None, limit: 100 };
        look_up(&mut store, &ask, NOW).expect("a page");
    });
    row("one file: pages of 100 tenants", pages, "a second");
    let usage = |setups| Usage {
        setups,
        connection_micros: 60_000_000,
        lines: 1000,
        bytes: 100_000,
        ..Usage::default()
    };
    let usage_by_id: BTreeMap<u32, Usage> = (0..tenants).map(|p| (p, usage(u64::from(p)))).collect();
    for (minute, note) in [(1, "the first"), (2, "the next")] {
        let report = UsageReport::new(InstanceName::new("n1")?, minute, usage_by_id.clone())?;
        let request = ChangeRequest::new(Actor::Service, Command::RecordUsage(report));
        let ((), elapsed) = timed(|| execute_all(&mut store, &[request]));
        row(&format!("one file: counting a minute of all tenants, {note}"), elapsed, "ms");
    }
    let (kept, elapsed) = timed(|| backup(&mut store, &dir.path().join("backup"), NOW));
    kept?;
    row("one file: backup", elapsed, "ms");
    let (kept, elapsed) = timed(|| export(&mut store, &mut std::io::sink(), NOW));
    kept?;
    row("one file: export", elapsed, "ms");
    let (faults, elapsed) = timed(|| check(&mut store, NOW));
    assert!(faults?.is_empty(), "the check found faults");
    row("one file: check of everything", elapsed, "ms");
    row("one file: its size after all that", fs::metadata(&path)?.len() as f64 / 1048576.0, "MiB");
    drop(store);

    // In a process of its own, whose memory has not been used before.
    let child = process::Command::new(std::env::current_exe()?).arg("--open").arg(&path).output()?;
    let told = String::from_utf8(child.stdout)?;
    let figures: Vec<f64> = told.split_whitespace().map(str::parse).collect::<Result<_, _>>()?;
    let [opening, open, reading, copied] = figures[..] else { return Err(format!("{told:?}").into()) };
    row("one file: opening, every page verified", opening, "ms");
    row("one file: memory of the open store", open, "MiB");
    row("copy of all tenants and what the loop knows: reading", reading, "ms");
    row("copy of all tenants and what the loop knows: memory", copied, "MiB");
    row(
        "plain JSON file, rewritten and synced: changes",
        baseline(dir.path(), tenants, seconds)?,
        "a second",
    );
    row("plain JSON file of 4 tenants: changes", baseline(dir.path(), 4, seconds)?, "a second");

    let cluster = Cluster::new();
    let member = cluster.member()?;
    let mut store = Replicated::new(&Options::new(vec![member.endpoint()], "measured", "n1", 1))?;
    fill(&mut store, tenants.min(1000))?;
    let few = tenants.min(1000);
    let single = rate(seconds, 1, |i| execute_all(&mut store, &changes(i, 1, few)));
    row("replicated, stand-in: changes, one at a time", single, "a second");
    let grouped = rate(seconds, 64, |i| execute_all(&mut store, &changes(i, 64, few)));
    row("replicated, stand-in: changes, 64 waiting", grouped, "a second");
    println!("{table}");
    Ok(())
}
