//! Durability: a process that is killed, or whose machine loses power, at a random moment loses no acknowledged change
//! and leaves none half made.
//!
//! Kills: a child of this program makes changes and prints each once the store has acknowledged it. The parent kills it
//! (SIGKILL) after a random number of printed changes and some microseconds, opens the file and checks it.
//! `STORE_KILLS` sets how often (40 by default), `STORE_SEED` the first seed.
//!
//! Power cuts are emulated, `STORE_CUTS` times (60 by default): of what was not synced, some reaches the disk.

mod common;

use common::{NOW, execute_one, name, report};
use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use shorewharf_store::check::check;
use shorewharf_store::commands::{ChangeRequest, Command, Lookup, LookupResult, Reply, execute, look_up};
use shorewharf_store::embedded::{Create, Embedded, StorageFactory};
use shorewharf_store::error::StoreError;
use shorewharf_store::key::Collection;
use shorewharf_store::name::TenantName;
use shorewharf_store::record::{Actor, AuditEntry, NewTenant, NumericId, TenantChange, TenantLimits, Weight};
use shorewharf_store::store::{Entry, Store};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::process::{self, Stdio};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Makes changes until it is killed. Prints `ack NAME WEIGHT REVISION` (weight 0: removed) and `use MINUTE`.
#[test]
#[ignore = "the child that the parent starts and kills"]
fn child() {
    let Ok(path) = std::env::var("STORE_CHILD") else { return };
    let mut rng = Pcg64Mcg::seed_from_u64(env("STORE_SEED", 0));
    let mut store = Embedded::open(path, Create::IfMissing, NOW).unwrap();
    let mut out = std::io::stdout().lock();
    let mut minute = env("STORE_MINUTE", 0);
    loop {
        // Groups of changes, as the store's thread makes them. A tenant's limits repeat its weight.
        let calls: Vec<(TenantName, u32, Command)> = (0..rng.random_range(1..6))
            .map(|_| {
                let name = name(&format!("t{}", rng.random_range(0..12)));
                let n = rng.random_range(1..100_000);
                let weight = Weight::new(n).unwrap();
                let limits = TenantLimits { connections: Some(n), ..TenantLimits::default() };
                let call = match rng.random_range(0..4) {
                    0 => {
                        Command::CreateTenant(NewTenant { weight, limits, ..NewTenant::named(name.clone()) })
                    }
                    1 => return (name.clone(), 0, Command::RemoveTenant { name, expected: None }),
                    _ => {
                        let change =
                            TenantChange { weight: Some(weight), limits: Some(limits), ..Default::default() };
                        Command::ChangeTenant { name: name.clone(), expected: None, change }
                    }
                };
                (name, n, call)
            })
            .collect();
        let requests: Vec<_> =
            calls.iter().map(|(_, _, c)| ChangeRequest::new(Actor::File, c.clone())).collect();
        for ((name, weight, _), done) in calls.iter().zip(execute(&mut store, &requests, NOW)) {
            let version = match done.map(|d| d.reply) {
                Ok(Reply::Tenant(stored)) => stored.version.0,
                Ok(_) => 0,
                Err(StoreError::NotFound { .. } | StoreError::AlreadyExists { .. }) => continue,
                Err(e) => panic!("{e}"),
            };
            writeln!(out, "ack {name} {weight} {version}").unwrap();
        }
        execute_one(&mut store, report("child", minute, &[(1, 1), (70, 1)]), NOW).unwrap();
        writeln!(out, "use {minute}").unwrap();
        out.flush().unwrap();
        minute += 1;
    }
}

#[test]
fn what_was_acknowledged_outlives_kill_9() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("store");
    let mut rng = Pcg64Mcg::seed_from_u64(env("STORE_SEED", 1));
    let (mut minute, mut acks, mut unprinted) = (0, 0, 0);
    let mut acknowledged: BTreeMap<(u64, String, u64), usize> = BTreeMap::new();
    for round in 0..env("STORE_KILLS", 40) {
        let mut child = process::Command::new(std::env::current_exe().unwrap())
            .args(["--exact", "child", "--ignored", "--nocapture"])
            .env("STORE_CHILD", &path)
            .env("STORE_SEED", rng.next_u64().to_string())
            .env("STORE_MINUTE", minute.to_string())
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stdout.take().unwrap()).lines();
        // Some children are killed while they open the file or after a few changes, others in the middle of one.
        let lines_read = rng.random_range(0..30);
        let later = Duration::from_micros(rng.random_range(0..3000));
        let mut acknowledged_lines: Vec<String> = lines
            .by_ref()
            .map(|l| l.unwrap())
            .filter(|l| l.starts_with("ack") || l.starts_with("use"))
            .take(lines_read)
            .collect();
        let until = Instant::now() + later;
        while Instant::now() < until {
            std::hint::spin_loop();
        }
        child.kill().unwrap();
        child.wait().unwrap();
        // Lines that were printed but not read yet are acknowledged too; an incomplete last line is not.
        acknowledged_lines
            .extend(lines.map_while(Result::ok).filter(|l| l.starts_with("ack") || l.starts_with("use")));
        acks += acknowledged_lines.len();

        if !path.exists() {
            continue;
        }
        let mut store =
            Embedded::open(&path, Create::Never, NOW).unwrap_or_else(|e| panic!("round {round}: {e}"));
        assert_eq!(check(&mut store, NOW).unwrap(), [], "round {round}");
        // Each change's audit entry was written with it: the trail shows which records must exist.
        let mut trail: BTreeMap<(u64, String, u64), usize> = BTreeMap::new();
        let mut state: BTreeMap<String, Option<serde_json::Value>> = BTreeMap::new();
        let each = &mut |entry: Entry| {
            let AuditEntry { target, after, .. } = entry.decode()?;
            let weight = after.as_ref().map_or(0, |a| a["weight"].as_u64().unwrap());
            let version = if weight == 0 { 0 } else { entry.revision.0 };
            *trail.entry((version, target.clone(), weight)).or_default() += 1;
            state.insert(target, after);
            Ok(())
        };
        store.visit(&[Collection::Audit], NOW, each).unwrap();
        for line in &acknowledged_lines {
            match line.split(' ').collect::<Vec<_>>()[..] {
                ["ack", name, weight, version] => {
                    let (weight, version) = (weight.parse().unwrap(), version.parse().unwrap());
                    let change = (version, format!("tenant/{name}"), weight);
                    *acknowledged.entry(change).or_default() += 1;
                }
                ["use", used] => minute = used.parse::<u64>().unwrap() + 1,
                _ => {}
            }
        }
        for (change, times) in &acknowledged {
            let stored = trail.get(change).copied().unwrap_or_default();
            assert!(
                stored >= *times,
                "round {round}: lost {change:?}: {stored} of {times} times in the trail"
            );
        }
        unprinted = trail.values().sum::<usize>() - acknowledged.values().sum::<usize>();
        for (target, after) in state {
            let name = name(target.strip_prefix("tenant/").unwrap());
            let stored = match look_up(&mut store, &Lookup::Tenant(name), NOW) {
                Ok(LookupResult::Tenant(tenant)) => Some(serde_json::to_value(tenant.record).unwrap()),
                Err(StoreError::NotFound { .. }) => None,
                other => panic!("round {round}: {other:?}"),
            };
            assert_eq!(stored, after, "round {round}: {target} is half changed");
        }
        // Each printed minute is recorded once, and perhaps one more.
        let granularity = shorewharf_store::commands::Granularity::Day;
        let ask = Lookup::Usage { id: NumericId(70), granularity, from: 0, to: u64::MAX };
        let LookupResult::Usage(rows, _) = look_up(&mut store, &ask, NOW).unwrap() else { panic!() };
        let counted: u64 = rows.iter().map(|r| r.usage.setups).sum();
        assert!(counted == minute || counted == minute + 1, "round {round}: {counted} of {minute}");
        minute = counted;
    }
    println!("{acks} lines told; {unprinted} changes were kept whose child was killed before it told them");
    assert!(acks > 0);
}

/// A disk with a cache: what was written since the last sync may be lost in a power cut.
#[derive(Debug, Default)]
struct Disk {
    /// What reads return.
    cached: InMemoryBackend,
    /// What is on the disk for certain, and the operations since the last sync.
    state: Mutex<(Vec<u8>, Vec<Operation>)>,
    /// Operations until the power cut.
    operations_left: AtomicU64,
}

#[derive(Debug)]
enum Operation {
    Length(u64),
    Write(u64, Vec<u8>),
}

impl Operation {
    fn apply(&self, disk: &mut Vec<u8>) {
        match self {
            Operation::Length(length) => disk.resize(*length as usize, 0),
            Operation::Write(offset, data) => {
                let (from, to) = (*offset as usize, *offset as usize + data.len());
                disk.resize(disk.len().max(to), 0);
                disk[from..to].copy_from_slice(data);
            }
        }
    }
}

#[derive(Debug)]
struct PoweredDisk(Arc<Disk>);

impl PoweredDisk {
    fn use_power(&self) -> io::Result<()> {
        let used = self.0.operations_left.fetch_update(SeqCst, SeqCst, |left| left.checked_sub(1));
        used.map(drop).map_err(|_| io::Error::other("no power"))
    }
}

impl StorageBackend for PoweredDisk {
    fn len(&self) -> io::Result<u64> {
        self.0.cached.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.cached.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.use_power()?;
        self.0.state.lock().unwrap().1.push(Operation::Length(len));
        self.0.cached.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.use_power()?;
        let (disk, since) = &mut *self.0.state.lock().unwrap();
        since.drain(..).for_each(|op| op.apply(disk));
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.use_power()?;
        // The disk writes sectors, each of which may reach it without its neighbours.
        let since = &mut self.0.state.lock().unwrap().1;
        since.extend(
            (offset..)
                .step_by(512)
                .zip(data.chunks(512))
                .map(|(at, part)| Operation::Write(at, part.to_vec())),
        );
        self.0.cached.write(offset, data)
    }
}

#[test]
fn what_was_acknowledged_outlives_a_power_cut() {
    let mut unprinted = 0;
    for seed in 0..env("STORE_CUTS", 60) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let disk = Arc::new(Disk::default());
        disk.operations_left.store(u64::MAX, SeqCst);
        let powered = disk.clone();
        let backend: StorageFactory = Box::new(move || Ok(Box::new(PoweredDisk(powered.clone()))));
        let mut store = Embedded::open_with(backend, NOW).unwrap();
        execute_one(&mut store, Command::CreateTenant(NewTenant::named(name("grad"))), NOW).unwrap();
        disk.operations_left.store(rng.random_range(0..500), SeqCst);
        let mut printed = 100;
        let lost = loop {
            let weight = Some(Weight::new(printed + 1).unwrap());
            let change = TenantChange { weight, ..TenantChange::default() };
            let command = Command::ChangeTenant { name: name("grad"), expected: None, change };
            match execute_one(&mut store, command, NOW) {
                Ok(_) => printed += 1,
                Err(e) => break e,
            }
        };
        assert!(lost.is_transient(), "seed {seed}: {lost}");
        let (mut image, since) = std::mem::take(&mut *disk.state.lock().unwrap());
        // Any of the writes may have reached the disk. The file system keeps changes of the length in order.
        since
            .iter()
            .filter(|op| matches!(op, Operation::Length(_)) || rng.random())
            .for_each(|op| op.apply(&mut image));
        let after = Arc::new(Disk::default());
        after.operations_left.store(u64::MAX, SeqCst);
        after.cached.set_len(image.len() as u64).unwrap();
        after.cached.write(0, &image).unwrap();
        let backend: StorageFactory = Box::new(move || Ok(Box::new(PoweredDisk(after.clone()))));
        let mut store = Embedded::open_with(backend, NOW).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert_eq!(check(&mut store, NOW).unwrap(), [], "seed {seed}");
        let LookupResult::Tenant(tenant) = look_up(&mut store, &Lookup::Tenant(name("grad")), NOW).unwrap()
        else {
            panic!()
        };
        let weight = tenant.record.weight.get();
        assert!(weight == printed || weight == printed + 1, "seed {seed}: {weight} after {printed} was told");
        unprinted += u32::from(weight > printed);
    }
    println!("{unprinted} changes were kept that had not been told");
}
