//! Durability: if the process is killed or its machine loses power at a random moment, the file still has every
//! acknowledged change and no change in part.
//!
//! Kills: a child process makes changes and prints each once the store has acknowledged it. The parent kills the child
//! (SIGKILL) after a random number of printed changes and microseconds, then opens the file and checks it.
//! `STORE_KILLS` sets the number of kills (40 by default), `STORE_SEED` the seed.
//!
//! Power cuts are emulated `STORE_CUTS` times (60 by default): a random part of the unsynced writes reaches the disk.

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

/// A number from an environment variable.
fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).ok().and_then(|v| v.parse().ok()).unwrap_or(default)
}

/// Makes changes until it is killed. Prints `ack NAME WEIGHT REVISION` for each acknowledged change (weight and
/// revision are 0 for a removal), and `use MINUTE` for each recorded minute of usage.
#[test]
#[ignore = "the child process that acknowledged_changes_survive_sigkill starts and kills"]
fn child() {
    let Ok(path) = std::env::var("STORE_CHILD") else { return };
    let mut rng = Pcg64Mcg::seed_from_u64(env("STORE_SEED", 0));
    let mut store = Embedded::open(path, Create::IfMissing, NOW).unwrap();
    let mut out = std::io::stdout().lock();
    let mut minute = env("STORE_MINUTE", 0);
    loop {
        // A group of changes, as the store's thread executes them. Each sets a tenant's weight and connection limit to
        // the same number.
        let commands: Vec<(TenantName, u32, Command)> = (0..rng.random_range(1..6))
            .map(|_| {
                let name = name(&format!("t{}", rng.random_range(0..12)));
                let n = rng.random_range(1..100_000);
                let weight = Weight::new(n).unwrap();
                let limits = TenantLimits { connections: Some(n), ..TenantLimits::default() };
                let command = match rng.random_range(0..4) {
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
                (name, n, command)
            })
            .collect();
        let requests: Vec<_> =
            commands.iter().map(|(_, _, c)| ChangeRequest::new(Actor::File, c.clone())).collect();
        for ((name, weight, _), done) in commands.iter().zip(execute(&mut store, &requests, NOW)) {
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
fn acknowledged_changes_survive_sigkill() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("store");
    let mut rng = Pcg64Mcg::seed_from_u64(env("STORE_SEED", 1));
    let (mut minute, mut line_count, mut unprinted) = (0, 0, 0);
    // How often each change (version, target and weight) was acknowledged.
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
        // The child may be killed while it opens the file, between changes, or during one.
        let lines_read = rng.random_range(0..30);
        let delay = Duration::from_micros(rng.random_range(0..3000));
        let mut acknowledged_lines: Vec<String> = lines
            .by_ref()
            .map(|l| l.unwrap())
            .filter(|l| l.starts_with("ack") || l.starts_with("use"))
            .take(lines_read)
            .collect();
        let kill_at = Instant::now() + delay;
        while Instant::now() < kill_at {
            std::hint::spin_loop();
        }
        child.kill().unwrap();
        child.wait().unwrap();
        // Lines that were printed but not read before the kill are acknowledged too; an incomplete last line is not.
        acknowledged_lines
            .extend(lines.map_while(Result::ok).filter(|l| l.starts_with("ack") || l.starts_with("use")));
        line_count += acknowledged_lines.len();

        if !path.exists() {
            continue;
        }
        let mut store =
            Embedded::open(&path, Create::Never, NOW).unwrap_or_else(|e| panic!("round {round}: {e}"));
        assert_eq!(check(&mut store, NOW).unwrap(), [], "round {round}");
        // Each change is written together with its audit entry, so the audit trail tells which records must exist.
        let mut trail: BTreeMap<(u64, String, u64), usize> = BTreeMap::new();
        let mut state: BTreeMap<String, Option<serde_json::Value>> = BTreeMap::new();
        let visitor = &mut |entry: Entry| {
            let AuditEntry { target, after, .. } = entry.decode()?;
            let weight = after.as_ref().map_or(0, |a| a["weight"].as_u64().unwrap());
            let version = if weight == 0 { 0 } else { entry.revision.0 };
            *trail.entry((version, target.clone(), weight)).or_default() += 1;
            state.insert(target, after);
            Ok(())
        };
        store.visit(&[Collection::Audit], NOW, visitor).unwrap();
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
                "round {round}: {change:?} is in the audit trail {stored} times, but was acknowledged {times} times"
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
            assert_eq!(stored, after, "round {round}: {target} differs from its last audit entry");
        }
        // Each printed minute is recorded once, and at most one more minute was recorded but not printed.
        let granularity = shorewharf_store::commands::Granularity::Day;
        let lookup = Lookup::Usage { id: NumericId(70), granularity, from: 0, to: u64::MAX };
        let LookupResult::Usage(rows, _) = look_up(&mut store, &lookup, NOW).unwrap() else { panic!() };
        let recorded: u64 = rows.iter().map(|r| r.usage.setups).sum();
        assert!(
            recorded == minute || recorded == minute + 1,
            "round {round}: {recorded} minutes recorded, {minute} printed"
        );
        minute = recorded;
    }
    println!("{line_count} acknowledgements printed; {unprinted} changes were written but not printed");
    assert!(line_count > 0);
}

/// A disk with a cache: operations since the last sync may be lost in a power cut.
#[derive(Debug, Default)]
struct Disk {
    /// The content including the cache, which reads return.
    cached: InMemoryBackend,
    /// The content at the last sync, and the operations since.
    state: Mutex<(Vec<u8>, Vec<Operation>)>,
    /// The number of operations until the power cut.
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

/// The storage on a disk. Every writing operation fails after the power cut.
#[derive(Debug)]
struct DiskStorage(Arc<Disk>);

impl DiskStorage {
    fn use_operation(&self) -> io::Result<()> {
        let used = self.0.operations_left.fetch_update(SeqCst, SeqCst, |left| left.checked_sub(1));
        used.map(drop).map_err(|_| io::Error::other("no power"))
    }
}

impl StorageBackend for DiskStorage {
    fn len(&self) -> io::Result<u64> {
        self.0.cached.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.cached.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.use_operation()?;
        self.0.state.lock().unwrap().1.push(Operation::Length(len));
        self.0.cached.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.use_operation()?;
        let (synced, unsynced) = &mut *self.0.state.lock().unwrap();
        unsynced.drain(..).for_each(|op| op.apply(synced));
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.use_operation()?;
        // The disk writes sectors of 512 bytes, each of which may reach it without the others.
        let unsynced = &mut self.0.state.lock().unwrap().1;
        unsynced.extend(
            (offset..)
                .step_by(512)
                .zip(data.chunks(512))
                .map(|(at, part)| Operation::Write(at, part.to_vec())),
        );
        self.0.cached.write(offset, data)
    }
}

#[test]
fn acknowledged_changes_survive_a_power_cut() {
    let mut unacknowledged = 0;
    for seed in 0..env("STORE_CUTS", 60) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let disk = Arc::new(Disk::default());
        disk.operations_left.store(u64::MAX, SeqCst);
        let shared_disk = disk.clone();
        let factory: StorageFactory = Box::new(move || Ok(Box::new(DiskStorage(shared_disk.clone()))));
        let mut store = Embedded::open_with(factory, NOW).unwrap();
        execute_one(&mut store, Command::CreateTenant(NewTenant::named(name("grad"))), NOW).unwrap();
        disk.operations_left.store(rng.random_range(0..500), SeqCst);
        let mut acknowledged = 100;
        let failure = loop {
            let weight = Some(Weight::new(acknowledged + 1).unwrap());
            let change = TenantChange { weight, ..TenantChange::default() };
            let command = Command::ChangeTenant { name: name("grad"), expected: None, change };
            match execute_one(&mut store, command, NOW) {
                Ok(_) => acknowledged += 1,
                Err(e) => break e,
            }
        };
        assert!(failure.is_transient(), "seed {seed}: {failure}");
        let (mut image, unsynced) = std::mem::take(&mut *disk.state.lock().unwrap());
        // Any unsynced write may have reached the disk. Changes of the length are always kept, as a file system does.
        unsynced
            .iter()
            .filter(|op| matches!(op, Operation::Length(_)) || rng.random())
            .for_each(|op| op.apply(&mut image));
        let disk_after = Arc::new(Disk::default());
        disk_after.operations_left.store(u64::MAX, SeqCst);
        disk_after.cached.set_len(image.len() as u64).unwrap();
        disk_after.cached.write(0, &image).unwrap();
        let factory: StorageFactory = Box::new(move || Ok(Box::new(DiskStorage(disk_after.clone()))));
        let mut store = Embedded::open_with(factory, NOW).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert_eq!(check(&mut store, NOW).unwrap(), [], "seed {seed}");
        let LookupResult::Tenant(tenant) = look_up(&mut store, &Lookup::Tenant(name("grad")), NOW).unwrap()
        else {
            panic!()
        };
        let weight = tenant.record.weight.get();
        assert!(
            weight == acknowledged || weight == acknowledged + 1,
            "seed {seed}: found weight {weight}, but {acknowledged} was acknowledged last"
        );
        unacknowledged += u32::from(weight > acknowledged);
    }
    println!("{unacknowledged} unacknowledged changes were on the disk after the power cut");
}
