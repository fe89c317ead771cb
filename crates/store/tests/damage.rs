//! Full disks and damaged files: each gives an error that names the file, damaged records are never returned, and no
//! panic leaves the crate. Seeds are fixed; `STORE_DAMAGES` sets how many files are damaged (60 by default).

mod common;

use common::{NOW, create, execute_one, name, report};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use redb::StorageBackend;
use redb::backends::InMemoryBackend;
use shorewharf_store::backup::{backup, restore, restore_to_new_file};
use shorewharf_store::check::check;
use shorewharf_store::commands::Command;
use shorewharf_store::embedded::{Create, Embedded, StorageFactory};
use shorewharf_store::error::StoreError;
use shorewharf_store::key::Collection;
use shorewharf_store::record::{Actor, TenantChange};
use shorewharf_store::store::Store;
use std::collections::BTreeMap;
use std::io;
use std::path::Path;
use std::process;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};

/// Each record's revision and JSON by its key.
type Records = BTreeMap<String, (u64, Vec<u8>)>;

fn records(store: &mut dyn Store) -> Result<Records, StoreError> {
    let mut all = Records::new();
    store.visit(&Collection::ALL, NOW, &mut |entry| {
        all.insert(entry.key.text(), (entry.revision.0, entry.value));
        Ok(())
    })?;
    Ok(all)
}

fn set_weight(store: &mut dyn Store, tenant: &str, weight: u32) -> Result<(), StoreError> {
    let change = TenantChange { weight: Some(weight.try_into().unwrap()), ..TenantChange::default() };
    execute_one(store, Command::ChangeTenant { name: name(tenant), expected: None, change }, NOW).map(drop)
}

/// Creates a store with enough records that the engine's trees have several levels.
fn create_filled(path: &Path) -> Records {
    let mut store = Embedded::open(path, Create::IfMissing, NOW).unwrap();
    for i in 0..150 {
        create(&mut store, &format!("tenant-{i}")).unwrap();
        execute_one(&mut store, report("a@1", i, &[(i as u32, 5), (99, 3)]), NOW).unwrap();
    }
    records(&mut store).unwrap()
}

#[test]
fn a_damaged_file_is_rejected_or_read_unchanged() {
    let dir = tempfile::tempdir().unwrap();
    let (intact, path) = (dir.path().join("intact"), dir.path().join("store"));
    let written = create_filled(&intact);
    let bytes = std::fs::read(&intact).unwrap();
    let head = std::fs::read(dir.path().join("intact.head")).unwrap();
    let damages = std::env::var("STORE_DAMAGES").ok().and_then(|v| v.parse().ok()).unwrap_or(60);
    let (mut rejected, mut unchanged) = (0, 0);
    for seed in 0..damages {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut damaged = bytes.clone();
        // Every third file is damaged in its header.
        let within = if seed % 3 == 0 { 4096 } else { damaged.len() };
        match rng.random_range(0..4) {
            0 => damaged[rng.random_range(0..within)] ^= 1 << rng.random_range(0..8),
            1 => {
                let sector = rng.random_range(0..within / 512) * 512;
                rng.fill(&mut damaged[sector..sector + 512]);
            }
            2 => {
                let sector = rng.random_range(0..within / 512) * 512;
                damaged[sector..sector + 512].fill(0);
            }
            _ => damaged.truncate(rng.random_range(0..within)),
        }
        std::fs::write(&path, &damaged).unwrap();
        std::fs::write(dir.path().join("store.head"), &head).unwrap();
        let read = Embedded::open(&path, Create::Never, NOW).and_then(|mut s| records(&mut s));
        match read {
            Ok(read) => {
                assert_eq!(read, written, "seed {seed}: records differ");
                unchanged += 1;
            }
            Err(e) => {
                let text = e.to_string();
                assert!(
                    matches!(e, StoreError::Corrupt { .. } | StoreError::NewerSchema { .. }),
                    "seed {seed}: {text}"
                );
                assert!(text.contains("store"), "seed {seed}: {text}");
                rejected += 1;
            }
        }
    }
    println!("{rejected} damaged files were rejected, {unchanged} were read unchanged");
    assert!(rejected > damages / 4);
}

#[test]
fn damage_to_an_open_store_is_detected() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("store");
    let written = create_filled(&path);
    let bytes = std::fs::read(&path).unwrap();
    for seed in 0..20 {
        let memory = Arc::new(LimitedMemory::default());
        memory.memory.set_len(bytes.len() as u64).unwrap();
        memory.memory.write(0, &bytes).unwrap();
        let mut store = Embedded::open_with(memory.clone().backend(), NOW).unwrap();
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let offset = rng.random_range(4096..bytes.len() - 512) as u64;
        memory.memory.write(offset, &[0xa5; 512]).unwrap();
        // Records may be read from the engine's cache; blocks from the storage are verified.
        for key in written.keys().step_by(3) {
            let (collection, name) = key.split_once('/').unwrap();
            let key = shorewharf_store::key::Key::new(Collection::parse(collection).unwrap(), name);
            match store.get(&key, NOW) {
                Ok(Some(entry)) => {
                    assert_eq!(written[&key.text()], (entry.revision.0, entry.value), "seed {seed}");
                }
                Ok(None) => panic!("seed {seed}: {key} is missing without an error"),
                Err(e) => assert!(matches!(e, StoreError::Corrupt { .. }), "seed {seed}: {e}"),
            }
        }
        match store.verify(NOW) {
            Ok(()) => assert_eq!(records(&mut store).unwrap(), written, "seed {seed}"),
            Err(e) => assert!(matches!(e, StoreError::Corrupt { .. }), "seed {seed}: {e}"),
        }
    }
}

#[test]
fn a_file_that_is_missing_or_older_than_acknowledged_is_rejected() {
    let dir = tempfile::tempdir().unwrap();
    let (path, old, moved) = (dir.path().join("store"), dir.path().join("backup"), dir.path().join("moved"));
    let mut store = Embedded::open(&path, Create::IfMissing, NOW).unwrap();
    create(&mut store, "early").unwrap();
    backup(&mut store, &old, NOW).unwrap();
    let late = create(&mut store, "late").unwrap();
    drop(store);
    std::fs::rename(&path, &moved).unwrap();
    std::fs::copy(&old, &path).unwrap();
    let error = Embedded::open(&path, Create::Never, NOW).map(drop).unwrap_err().to_string();
    assert!(error.ends_with("the file ends at revision 1, but revision 2 was acknowledged"), "{error}");
    std::fs::remove_file(&path).unwrap();
    let error = Embedded::open(&path, Create::IfMissing, NOW).map(drop).unwrap_err().to_string();
    assert!(error.ends_with("the file is missing, but revision 2 was acknowledged"), "{error}");
    // An explicit restore succeeds. Ids that the lost store assigned after the backup are not assigned again.
    let actor = Actor::console("operator").unwrap();
    let taken = restore_to_new_file(&path, &old, &actor, NOW).unwrap();
    let mut store = Embedded::open(&path, Create::Never, NOW).unwrap();
    assert!(taken.revision > late.version);
    assert!(create(&mut store, "next").unwrap().record.id > late.record.id);
    assert_eq!(check(&mut store, NOW).unwrap(), []);
    // Restoring into an existing store skips no ids, since the store knows which ones it has assigned.
    restore(&mut store, &old, &actor, NOW).unwrap();
    let next = create(&mut store, "late").unwrap();
    assert_eq!(next.record.id.0, 65_536 + 2, "ids of the backup's tenant, the skipped ones, and \"next\"");
}

/// Storage of limited size, on which writing fails after a number of operations.
#[derive(Debug, Default)]
struct LimitedMemory {
    memory: InMemoryBackend,
    max_bytes: AtomicU64,
    /// The number of writing operations that still succeed.
    writes_left: AtomicU64,
    /// Whether the limits apply.
    is_limited: AtomicBool,
}

impl LimitedMemory {
    fn limited(max_bytes: u64, writes: u64) -> Arc<LimitedMemory> {
        Arc::new(LimitedMemory {
            memory: InMemoryBackend::default(),
            max_bytes: AtomicU64::new(max_bytes),
            writes_left: AtomicU64::new(writes),
            is_limited: AtomicBool::new(true),
        })
    }

    fn backend(self: Arc<LimitedMemory>) -> StorageFactory {
        Box::new(move || Ok(Box::new(Storage(self.clone()))))
    }
}

#[derive(Debug)]
struct Storage(Arc<LimitedMemory>);

impl Storage {
    /// Counts a writing operation; fails if it exceeds a limit.
    fn check_space(&self, end: u64) -> io::Result<()> {
        let LimitedMemory { max_bytes, writes_left, is_limited, .. } = &*self.0;
        let left = writes_left.load(SeqCst);
        if !is_limited.load(SeqCst) || (end <= max_bytes.load(SeqCst) && left > 0) {
            writes_left.store(left.saturating_sub(1), SeqCst);
            return Ok(());
        }
        Err(io::ErrorKind::StorageFull.into())
    }
}

impl StorageBackend for Storage {
    fn len(&self) -> io::Result<u64> {
        self.0.memory.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> io::Result<()> {
        self.0.memory.read(offset, out)
    }
    fn set_len(&self, len: u64) -> io::Result<()> {
        self.check_space(len)?;
        self.0.memory.set_len(len)
    }
    fn sync_data(&self) -> io::Result<()> {
        self.check_space(0)
    }
    fn write(&self, offset: u64, data: &[u8]) -> io::Result<()> {
        self.check_space(offset + data.len() as u64)?;
        self.0.memory.write(offset, data)
    }
}

#[test]
fn a_full_disk_rejects_changes_and_keeps_acknowledged_ones() {
    let (mut full, mut unknown) = (0, 0);
    for seed in 0..60 {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let limited = LimitedMemory::limited(u64::MAX, u64::MAX);
        let mut store = Embedded::open_with(limited.clone().backend(), NOW).unwrap();
        create(&mut store, "grad").unwrap();
        limited.writes_left.store(rng.random_range(0..400), SeqCst);
        let (mut stored, mut weight) = (100, 100);
        let mut failed = false;
        for _ in 0..60 {
            weight += 1;
            match set_weight(&mut store, "grad", weight) {
                Ok(()) => {
                    assert!(!failed, "seed {seed}: a change succeeded on a full disk");
                    stored = weight;
                }
                Err(e) => {
                    assert!(e.is_transient(), "seed {seed}: {e}");
                    assert!(e.to_string().starts_with("storage: "), "seed {seed}: {e}");
                    match e {
                        StoreError::NoSpace { .. } => full += 1,
                        StoreError::OutcomeUnknown { .. } => unknown += 1,
                        StoreError::Io { .. } => {}
                        other => panic!("seed {seed}: {other}"),
                    }
                    failed = true;
                }
            }
        }
        // Once there is space again, the store has the acknowledged change, or the first one that failed after it.
        limited.is_limited.store(false, SeqCst);
        let all = records(&mut store).unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        let found =
            serde_json::from_slice::<serde_json::Value>(&all["tenant/grad"].1).unwrap()["weight"].clone();
        assert!(found == stored || failed && found == stored + 1, "seed {seed}: {found} for {stored}");
        assert_eq!(check(&mut store, NOW).unwrap(), [], "seed {seed}");
        set_weight(&mut store, "grad", 77).unwrap();
        drop(store);
        let mut reopened = Embedded::open_with(limited.backend(), NOW).unwrap();
        assert!(
            String::from_utf8_lossy(&records(&mut reopened).unwrap()["tenant/grad"].1)
                .contains("\"weight\":77")
        );
    }
    println!("{full} changes were rejected for lack of space, {unknown} had an unknown outcome");
    assert!(full > 0);
}

/// Grows the store until writing fails, then prints how many tenants it created, and the error.
#[test]
#[ignore = "the child process that a_file_at_its_size_limit_rejects_changes_and_stays_readable starts"]
fn child() {
    let Ok(path) = std::env::var("STORE_CHILD") else { return };
    let mut store = Embedded::open(&path, Create::Never, NOW).unwrap();
    let mut created = 0;
    let e = loop {
        match create(&mut store, &format!("{created}-{}", "x".repeat(3000))) {
            Ok(_) => created += 1,
            Err(e) => break e,
        }
    };
    println!("\ncreated {created}\nerror {e}");
    assert_eq!(records(&mut store).unwrap().keys().filter(|k| k.starts_with("tenant/")).count(), created);
}

#[test]
fn a_file_at_its_size_limit_rejects_changes_and_stays_readable() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("store");
    drop(Embedded::open(&path, Create::IfMissing, NOW).unwrap());
    let limit = std::fs::metadata(&path).unwrap().len() / 1024 + 256;
    let script = format!("trap '' XFSZ; ulimit -f {limit}; exec \"$0\" --exact child --ignored --nocapture");
    let mut shell = process::Command::new("bash");
    let shell = shell.args(["-c", &script]).arg(std::env::current_exe().unwrap());
    let output = shell.env("STORE_CHILD", &path).output().unwrap();
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(output.status.success(), "{text}{}", String::from_utf8_lossy(&output.stderr));
    let line =
        |word: &str| text.lines().find_map(|l| l.strip_prefix(word)).unwrap_or_else(|| panic!("{text}"));
    assert!(line("error ").starts_with(&format!("{}: ", path.display())), "{text}");
    assert!(line("error ").contains("File too large"), "{text}");
    let created: usize = line("created ").parse().unwrap();
    let mut store = Embedded::open(&path, Create::Never, NOW).unwrap();
    let stored = records(&mut store).unwrap().keys().filter(|k| k.starts_with("tenant/")).count();
    assert!(created > 0 && stored == created, "{stored} tenants are stored, {created} were created");
}
