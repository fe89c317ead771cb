//! A fleet of built programs with budgets; servers that count set-ups and connections; a store from which each balancer can
//! be cut off; and clients whose demand exceeds the budgets.

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
/// Number of servers.
const SERVERS: usize = 4;

/// Numbers of established connections of a tenant.
#[derive(Clone, Copy, Debug, Default)]
pub struct ConnectionCount {
    pub current: usize,
    /// The largest number at any time.
    pub max: usize,
}

#[derive(Debug, Default)]
struct Counts {
    /// Times of all set-ups.
    set_ups: Vec<Instant>,
    connections: BTreeMap<String, ConnectionCount>,
}

/// What all servers have observed together.
#[derive(Clone, Default)]
pub struct Observed(Arc<Mutex<Counts>>);

impl Observed {
    fn counts(&self) -> MutexGuard<'_, Counts> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The number of set-ups between two times.
    pub fn set_ups_between(&self, from: Instant, to: Instant) -> usize {
        self.counts().set_ups.iter().filter(|at| (from..to).contains(at)).count()
    }

    /// The most set-ups since a time within any interval of this length.
    pub fn max_set_ups_within(&self, since: Instant, length: Duration) -> usize {
        let mut times: Vec<Instant> =
            self.counts().set_ups.iter().copied().filter(|at| *at >= since).collect();
        times.sort();
        let count_from = |i: usize| times[i..].partition_point(|at| *at < times[i] + length);
        (0..times.len()).map(count_from).max().unwrap_or(0)
    }

    /// The established connections of a tenant.
    pub fn connections(&self, tenant: &str) -> ConnectionCount {
        self.counts().connections.get(tenant).copied().unwrap_or_default()
    }

    /// Serves and counts one connection.
    fn serve(&self, stream: TcpStream) {
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
            let mut counts = self.counts();
            counts.set_ups.push(Instant::now());
            let connections = counts.connections.entry(tenant.clone()).or_default();
            connections.current += 1;
            connections.max = connections.max.max(connections.current);
        }
        let _ = lines.get_mut().write_all(b"UP 1\r\n");
        // The connection stays established until the other side closes it.
        let _ = std::io::copy(&mut lines, &mut std::io::sink());
        self.counts().connections.entry(tenant).and_modify(|c| c.current -= 1);
    }
}

/// The balancers of a fleet, with their servers, store and clients.
pub struct Fleet {
    pub observed: Observed,
    pub programs: Vec<Option<BalancerProcess>>,
    store: Vec<Member>,
    pub cluster: Cluster,
    folder: tempfile::TempDir,
    servers: Vec<SocketAddr>,
    budget_settings: String,
    quota: f64,
    /// Tells the clients to end.
    is_over: Arc<AtomicBool>,
    clients: Vec<JoinHandle<()>>,
}

impl Fleet {
    /// Starts a fleet with this number of balancers, these lines of `[budgets]`, and this quota for tenant `acme`.
    pub fn new(members: usize, budget_settings: &str, quota: f64) -> Fleet {
        let observed = Observed::default();
        let servers = (0..SERVERS)
            .map(|_| {
                let listener = TcpListener::bind((loopback_address(0), 0)).expect("a port");
                let (address, observed) = (listener.local_addr().expect("bound"), observed.clone());
                thread::spawn(move || {
                    for stream in listener.incoming().flatten() {
                        let observed = observed.clone();
                        thread::spawn(move || observed.serve(stream));
                    }
                });
                address
            })
            .collect();
        let cluster = Cluster::new();
        let store = (0..members).map(|_| cluster.member().expect("a member")).collect();
        let folder = tempfile::tempdir().expect("a temporary folder");
        let names: Vec<String> = (0..members).map(|i| format!("b{i}\n")).collect();
        fs::write(folder.path().join("members"), names.concat()).expect("written");
        let mut fleet = Fleet {
            observed,
            programs: Vec::new(),
            store,
            cluster,
            folder,
            servers,
            budget_settings: budget_settings.to_owned(),
            quota,
            is_over: Arc::default(),
            clients: Vec::new(),
        };
        fleet.programs = (0..members).map(|i| Some(fleet.start(i))).collect();
        fleet
    }

    /// Starts a process of the balancer with this index.
    pub fn start(&self, index: usize) -> BalancerProcess {
        let named = |(i, address): (usize, &SocketAddr)| (format!("s-{i}"), *address);
        let servers: Vec<(String, SocketAddr)> = self.servers.iter().enumerate().map(named).collect();
        let servers: Vec<(&str, SocketAddr)> =
            servers.iter().map(|(name, address)| (name.as_str(), *address)).collect();
        let mut settings = config(&servers);
        settings["name"] = json!(format!("b{index}"));
        settings["seed"] = json!(format!("{}", index + 3));
        settings["settings"]["me"] = json!(index);
        settings["settings"]["classes"][0]["give_up_s"] = json!(3.0);
        settings["settings"]["limits"]["may_probe"] = json!(false);
        settings["settings"]["specifics"]["tenant_quota_connections"] = json!([self.quota]);
        let (store, members) = (self.store[index].endpoint(), self.folder.path().join("members"));
        let operator = format!(
            "[recovery]\nlevels = false\nrepeats = false\n[budgets]\nstore = [{store:?}]\nmembers = {:?}\n{}\n",
            members.display().to_string(),
            self.budget_settings
        );
        BalancerProcess::start_with_operator(BINARY, &settings, &operator)
    }

    pub fn program(&self, index: usize) -> &BalancerProcess {
        self.programs[index].as_ref().expect("the balancer is running")
    }

    /// Sets the fault between a balancer and the store.
    pub fn set_store_fault(&self, index: usize, fault: Fault) {
        self.store[index].set(fault);
    }

    pub fn kill(&mut self, index: usize) {
        self.programs[index].take().expect("the balancer is running").kill();
    }

    /// Sends a signal to a process, such as `-STOP` or `-CONT`.
    pub fn signal(&self, index: usize, signal: &str) {
        let pid = self.program(index).pid().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    /// Adds concurrent clients of a tenant to a balancer until the fleet is dropped. Each opens one connection after the
    /// other, and keeps an established one for `hold` or until it is migrated.
    pub fn add_clients(&mut self, index: usize, clients: usize, tenant: &'static str, hold: Duration) {
        static IDS: AtomicU64 = AtomicU64::new(1);
        let address = self.program(index).address();
        for _ in 0..clients {
            let is_over = Arc::clone(&self.is_over);
            self.clients.push(thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let id = IDS.fetch_add(1, Ordering::Relaxed);
                    run_client(address, id, tenant, hold);
                    thread::sleep(Duration::from_millis(30));
                }
            }));
        }
    }
}

/// Runs one client until its connection ends.
fn run_client(address: SocketAddr, id: u64, tenant: &str, hold: Duration) {
    let Ok(mut stream) = TcpStream::connect_timeout(&address, Duration::from_secs(1)) else { return };
    let line = format!("OPEN {id:x} {id:x} c=chat,t={tenant},d=3000\r\n");
    if stream.set_read_timeout(Some(Duration::from_secs(5))).is_err()
        || stream.write_all(line.as_bytes()).is_err()
    {
        return;
    }
    let mut input = [0; 64];
    if !matches!(stream.read(&mut input), Ok(n) if input[..n].starts_with(b"UP")) {
        return;
    }
    // Any input before the timeout is `MOVE` or the end of the connection.
    if stream.set_read_timeout(Some(hold)).is_ok() {
        let _ = stream.read(&mut input);
    }
    let _ = stream.shutdown(Shutdown::Both);
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.programs.clear();
        for client in self.clients.drain(..) {
            let _ = client.join();
        }
    }
}

/// Waits until a condition holds, at most for [`LIMIT`].
#[track_caller]
pub fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let began = Instant::now();
    while !holds() {
        assert!(began.elapsed() < LIMIT, "{what}: not within {LIMIT:?}");
        thread::sleep(Duration::from_millis(20));
    }
}
