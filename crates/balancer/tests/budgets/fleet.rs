//! A fleet of built programs with budgets before counting servers and a store whose members can be cut off one by one, and
//! clients that want more than there is.

use std::collections::BTreeMap;
use std::fs;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use serde_json::json;
use shorewharf_emulator::standin::*;
use shorewharf_store::standin::{Cluster, Fault, Member};

const BINARY: &str = env!("CARGO_BIN_EXE_shorewharf");
/// Servers.
const SERVERS: usize = 4;

/// What servers have seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// When set-ups came.
    pub came: Vec<Instant>,
    /// Standing connections by tenant, and the most that there were.
    pub stands: BTreeMap<String, (usize, usize)>,
}

#[derive(Clone, Default)]
pub struct Sight(Arc<Mutex<Seen>>);

impl Sight {
    pub fn now(&self) -> MutexGuard<'_, Seen> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Set-ups that came in a stretch.
    pub fn came(&self, from: Instant, to: Instant) -> usize {
        self.now().came.iter().filter(|at| (from..to).contains(at)).count()
    }

    /// The most that came in any stretch of this length since then.
    pub fn most_within(&self, since: Instant, length: Duration) -> usize {
        let mut came: Vec<Instant> = self.now().came.iter().copied().filter(|at| *at >= since).collect();
        came.sort();
        (0..came.len()).map(|i| came[i..].partition_point(|at| *at < came[i] + length)).max().unwrap_or(0)
    }

    pub fn stands(&self, tenant: &str) -> (usize, usize) {
        self.now().stands.get(tenant).copied().unwrap_or_default()
    }

    fn serves(&self, stream: TcpStream) {
        let mut lines = BufReader::new(stream);
        let mut line = String::new();
        if lines.read_line(&mut line).is_err() || line.is_empty() {
            return;
        }
        if line.starts_with("PING") {
            let _ = lines.get_mut().write_all(b"PONG\r\n");
            return;
        }
        let tenant = line.split("t=").nth(1).and_then(|t| t.split(',').next()).unwrap_or_default().to_owned();
        {
            let mut seen = self.now();
            seen.came.push(Instant::now());
            let (now, most) = seen.stands.entry(tenant.clone()).or_default();
            *now += 1;
            *most = (*most).max(*now);
        }
        let _ = lines.get_mut().write_all(b"UP 1\r\n");
        // It stands until the other side ends it.
        let _ = std::io::copy(&mut lines, &mut std::io::sink());
        self.now().stands.entry(tenant).and_modify(|s| s.0 -= 1);
    }
}

/// A fleet.
pub struct Fleet {
    pub sight: Sight,
    pub programs: Vec<Option<Program>>,
    store: Vec<Member>,
    pub cluster: Cluster,
    folder: tempfile::TempDir,
    servers: Vec<SocketAddr>,
    terms: String,
    quota: f64,
    crowd: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// So many balancers, with these terms and this quota of tenant `acme`; all of them are up.
    pub fn new(members: usize, terms: &str, quota: f64) -> Fleet {
        let sight = Sight::default();
        let servers = (0..SERVERS)
            .map(|_| {
                let listener = TcpListener::bind((loopback(0), 0)).expect("a port");
                let (at, sight) = (listener.local_addr().expect("bound"), sight.clone());
                thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let sight = sight.clone();
                        thread::spawn(move || sight.serves(stream));
                    }
                });
                at
            })
            .collect();
        let cluster = Cluster::new();
        let store = (0..members).map(|_| cluster.member().expect("a member")).collect();
        let folder = tempfile::tempdir().expect("a folder");
        let names: Vec<String> = (0..members).map(|i| format!("b{i}\n")).collect();
        fs::write(folder.path().join("members"), names.concat()).expect("written");
        let mut fleet = Fleet {
            sight,
            programs: Vec::new(),
            store,
            cluster,
            folder,
            servers,
            terms: terms.to_owned(),
            quota,
            crowd: Arc::default(),
            clients: Vec::new(),
        };
        fleet.programs = (0..members).map(|i| Some(fleet.start(i))).collect();
        fleet
    }

    /// Starts the balancer of this place.
    pub fn start(&self, place: usize) -> Program {
        let named = |(i, at): (usize, &SocketAddr)| (format!("s-{i}"), *at);
        let servers: Vec<(String, SocketAddr)> = self.servers.iter().enumerate().map(named).collect();
        let servers: Vec<(&str, SocketAddr)> = servers.iter().map(|(n, at)| (n.as_str(), *at)).collect();
        let mut settings = config(&servers);
        settings["name"] = json!(format!("b{place}"));
        settings["seed"] = json!(format!("{}", place + 3));
        settings["settings"]["me"] = json!(place);
        settings["settings"]["classes"][0]["give_up_s"] = json!(3.0);
        settings["settings"]["limits"]["may_probe"] = json!(false);
        settings["settings"]["specifics"]["tenant_quota_connections"] = json!([self.quota]);
        let (store, members) = (self.store[place].endpoint(), self.folder.path().join("members"));
        let operator = format!(
            "[recovery]\nlevels = false\nrepeats = false\n[budgets]\nstore = [{store:?}]\nmembers = {:?}\n{}\n",
            members.display().to_string(),
            self.terms
        );
        Program::start_with(BINARY, &settings, &operator)
    }

    pub fn program(&self, place: usize) -> &Program {
        self.programs[place].as_ref().expect("it runs")
    }

    /// What is wrong between a balancer and the store.
    pub fn breaks(&self, place: usize, fault: Fault) {
        self.store[place].set(fault);
    }

    pub fn kill(&mut self, place: usize) {
        self.programs[place].take().expect("it runs").kill();
    }

    /// Has a process stand still, or go on.
    pub fn signal(&self, place: usize, signal: &str) {
        let pid = self.program(place).id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    /// Clients of a tenant come to a balancer, so many side by side, for as long as the fleet is there. Each comes again soon after it was
    /// turned away, stays for `stays` when it stands, and goes when it is told to move.
    pub fn crowd(&mut self, place: usize, clients: usize, tenant: &'static str, stays: Duration) {
        static IDS: AtomicU64 = AtomicU64::new(1);
        let at = self.program(place).address();
        for _ in 0..clients {
            let over = Arc::clone(&self.crowd);
            self.clients.push(thread::spawn(move || {
                while !over.load(Ordering::Relaxed) {
                    let id = IDS.fetch_add(1, Ordering::Relaxed);
                    comes(at, id, tenant, stays);
                    thread::sleep(Duration::from_millis(30));
                }
            }));
        }
    }
}

/// One client, from its connection to its end.
fn comes(at: SocketAddr, id: u64, tenant: &str, stays: Duration) {
    let Ok(mut stream) = TcpStream::connect_timeout(&at, Duration::from_secs(1)) else { return };
    let line = format!("OPEN {id:x} {id:x} c=chat,t={tenant},d=3000\r\n");
    if stream.set_read_timeout(Some(Duration::from_secs(5))).is_err()
        || stream.write_all(line.as_bytes()).is_err()
    {
        return;
    }
    let mut word = [0; 64];
    if !matches!(stream.read(&mut word), Ok(n) if word[..n].starts_with(b"UP")) {
        return;
    }
    // A word in the meantime is MOVE, an end is one.
    if stream.set_read_timeout(Some(stays)).is_ok() {
        let _ = stream.read(&mut word);
    }
    let _ = stream.shutdown(Shutdown::Both);
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.crowd.store(true, Ordering::Relaxed);
        self.programs.clear();
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

/// Waits until something holds, with a generous limit.
#[track_caller]
pub fn until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < LIMIT, "{what}: not within {LIMIT:?}");
        thread::sleep(Duration::from_millis(20));
    }
}
