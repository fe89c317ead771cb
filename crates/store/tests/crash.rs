//! A process that is killed at a random moment, or whose machine loses its power, loses no change that it
//! acknowledged and leaves none half there.
//!
//! Killed: a child of this very program makes changes and tells each on its standard output once the store has
//! answered; the parent kills it (SIGKILL) after a random number of told changes and some microseconds, opens the
//! file and looks. `STORE_KILLS` says how often (40 unless told otherwise), `STORE_SEED` from which seed.
//!
//! Power cuts are played, `STORE_CUTS` times (60): of what was not synced, some reaches the disk and some does not.

mod rig;

use rand::{Rng, RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use rig::{NOW, execute_one, name, report};
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

/// Makes changes until it is killed. Tells `ack NAME WEIGHT REVISION` (weight 0: removed) and `use MINUTE`.
#[test]
#[ignore = "the child that the parent starts and kills"]
fn child() {
    let Ok(path) = std::env::var("STORE_CHILD") else { return };
    let mut rng = Pcg64Mcg::seed_from_u64(env("STORE_SEED", 0));
    let mut store = Embedded::open(path, Create::IfMissing, NOW).unwrap();
    let mut out = std::io::stdout().lock();
    let mut minute = env("STORE_MINUTE", 0);
    loop {
        // Groups of changes, as the store's thread makes them; a tenant's limits tell its weight again.
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
                Ok(Reply::Tenant(kept)) => kept.version.0,
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
    let (mut minute, mut acks, mut untold) = (0, 0, 0);
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
        // Some children are killed while they open the file, or after a few changes; then at any moment of one.
        let told = rng.random_range(0..30);
        let later = Duration::from_micros(rng.random_range(0..3000));
        let mut heard: Vec<String> = lines
            .by_ref()
            .map(|l| l.unwrap())
            .filter(|l| l.starts_with("ack") || l.starts_with("use"))
            .take(told)
            .collect();
        let until = Instant::now() + later;
        while Instant::now() < until {
            std::hint::spin_loop();
        }
        child.kill().unwrap();
        child.wait().unwrap();
        // What it had told and nobody had read yet was acknowledged too; a last line without an end was not.
        heard.extend(lines.map_while(Result::ok).filter(|l| l.starts_with("ack") || l.starts_with("use")));
        acks += heard.len();

        if !path.exists() {
            continue;
        }
        let mut store =
            Embedded::open(&path, Create::Never, NOW).unwrap_or_else(|e| panic!("round {round}: {e}"));
        assert_eq!(check(&mut store, NOW).unwrap(), [], "round {round}");
        // Each change's entry of the trail was written with it: the trail tells what must be there.
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
        for line in &heard {
            match line.split(' ').collect::<Vec<_>>()[..] {
                ["ack", name, weight, version] => {
                    let (weight, version) = (weight.parse().unwrap(), version.parse().unwrap());
                    let told = (version, format!("tenant/{name}"), weight);
                    *acknowledged.entry(told).or_default() += 1;
                }
                ["use", told] => minute = told.parse::<u64>().unwrap() + 1,
                _ => {}
            }
        }
        for (change, times) in &acknowledged {
            let kept = trail.get(change).copied().unwrap_or_default();
            assert!(kept >= *times, "round {round}: lost {change:?}: {kept} of {times} times in the trail");
        }
        untold = trail.values().sum::<usize>() - acknowledged.values().sum::<usize>();
        for (target, after) in state {
            let name = name(target.strip_prefix("tenant/").unwrap());
            let kept = match look_up(&mut store, &Lookup::Tenant(name), NOW) {
                Ok(LookupResult::Tenant(tenant)) => Some(serde_json::to_value(tenant.record).unwrap()),
                Err(StoreError::NotFound { .. }) => None,
                other => panic!("round {round}: {other:?}"),
            };
            assert_eq!(kept, after, "round {round}: {target} is half changed");
        }
        // Counted once: each of the minutes that were told, and perhaps one more.
        let granularity = shorewharf_store::commands::Granularity::Day;
        let ask = Lookup::Usage { id: NumericId(70), granularity, from: 0, to: u64::MAX };
        let LookupResult::Usage(rows, _) = look_up(&mut store, &ask, NOW).unwrap() else { panic!() };
        let counted: u64 = rows.iter().map(|r| r.usage.setups).sum();
        assert!(counted == minute || counted == minute + 1, "round {round}: {counted} of {minute}");
        minute = counted;
    }
    println!("{acks} lines told; {untold} changes were kept whose child was killed before it told them");
    assert!(acks > 0);
}

/// A disk with a cache: what is written since the last sync may or may not be there after a power cut.
#[derive(Debug, Default)]
struct Disk {
    /// What reads see.
    seen: InMemoryBackend,
    /// What is on the disk for certain, and what was done since.
    state: Mutex<(Vec<u8>, Vec<Op>)>,
    /// Operations until the power goes.
    left: AtomicU64,
}

#[derive(Debug)]
enum Op {
    Length(u64),
    Write(u64, Vec<u8>),
}

impl Op {
    fn apply(&self, disk: &mut Vec<u8>) {
        match self {
            Op::Length(length) => disk.resize(*length as usize, 0),
            Op::Write(offset, data) => {
                let (from, to) = (*offset as usize, *offset as usize + data.len());
                disk.resize(disk.len().max(to), 0);
                disk[from..to].copy_from_slice(data);
            }
        }
    }
}

#[derive(Debug)]
struct Plugged(Arc<Disk>);

impl Plugged {
    fn power(&self) -> io::Result<()> {
        let took = self.0.left.fetch_update(SeqCst, SeqCst, |left| left.checked_sub(1));
        took.map(drop).map_err(|_| io::Error::other("no power"))
    }
}

impl StorageBackend for Plugged {
    fn len(&self) -> io::Result<u64> {
        self.0.seen.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.seen.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.power()?;
        self.0.state.lock().unwrap().1.push(Op::Length(len));
        self.0.seen.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.power()?;
        let (disk, since) = &mut *self.0.state.lock().unwrap();
        since.drain(..).for_each(|op| op.apply(disk));
        Ok(())
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.power()?;
        // The disk writes sectors; each may come through without its neighbours.
        let since = &mut self.0.state.lock().unwrap().1;
        since.extend(
            (offset..).step_by(512).zip(data.chunks(512)).map(|(at, part)| Op::Write(at, part.to_vec())),
        );
        self.0.seen.write(offset, data)
    }
}

#[test]
fn what_was_acknowledged_outlives_a_power_cut() {
    let mut untold = 0;
    for seed in 0..env("STORE_CUTS", 60) {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let disk = Arc::new(Disk::default());
        disk.left.store(u64::MAX, SeqCst);
        let plugged = disk.clone();
        let backend: StorageFactory = Box::new(move || Ok(Box::new(Plugged(plugged.clone()))));
        let mut store = Embedded::open_with(backend, NOW).unwrap();
        execute_one(&mut store, Command::CreateTenant(NewTenant::named(name("grad"))), NOW).unwrap();
        disk.left.store(rng.random_range(0..500), SeqCst);
        let mut told = 100;
        let lost = loop {
            let weight = Some(Weight::new(told + 1).unwrap());
            let change = TenantChange { weight, ..TenantChange::default() };
            let command = Command::ChangeTenant { name: name("grad"), expected: None, change };
            match execute_one(&mut store, command, NOW) {
                Ok(_) => told += 1,
                Err(e) => break e,
            }
        };
        assert!(lost.is_transient(), "seed {seed}: {lost}");
        let (mut image, since) = std::mem::take(&mut *disk.state.lock().unwrap());
        // Any of them may have come through; lengths are the file system's, which keeps them in order.
        since
            .iter()
            .filter(|op| matches!(op, Op::Length(_)) || rng.random())
            .for_each(|op| op.apply(&mut image));
        let after = Arc::new(Disk::default());
        after.left.store(u64::MAX, SeqCst);
        after.seen.set_len(image.len() as u64).unwrap();
        after.seen.write(0, &image).unwrap();
        let backend: StorageFactory = Box::new(move || Ok(Box::new(Plugged(after.clone()))));
        let mut store = Embedded::open_with(backend, NOW).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        assert_eq!(check(&mut store, NOW).unwrap(), [], "seed {seed}");
        let LookupResult::Tenant(tenant) = look_up(&mut store, &Lookup::Tenant(name("grad")), NOW).unwrap()
        else {
            panic!()
        };
        let weight = tenant.record.weight.get();
        assert!(weight == told || weight == told + 1, "seed {seed}: {weight} after {told} was told");
        untold += u32::from(weight > told);
    }
    println!("{untold} changes were kept that had not been told");
}
