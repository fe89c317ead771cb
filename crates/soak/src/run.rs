//! Plays a plan with real processes and judges what was seen.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, MutexGuard, OnceLock};
use std::time::{Duration, Instant};

use shorewharf_protocol::endpoint_list::Endpoint;
use thiserror::Error;

use crate::client;
use crate::discovery::Discovery;
use crate::fleet::Fleet;
pub use crate::fleet::Program;
use crate::ledger::{Answer, Attempt, Broken, Ledger, Process, Request};
use crate::plan::{Behaviour, Fault, Plan, ZONES};
use crate::server::{Flag, Server};

/// How often it is measured how late this machine is.
const LATENESS_TICK: Duration = Duration::from_millis(5);
/// Requests get their answers within this after the last was sent.
const SETTLE: Duration = Duration::from_millis(6000);

/// Why a run could not be played.
#[derive(Debug, Error)]
pub enum SoakError {
    /// The system does not give what is needed.
    #[error("{0}")]
    System(#[from] std::io::Error),
    /// A balancer did not serve.
    #[error("balancer {0} does not serve, system faults '{1}': {2}")]
    NotServing(usize, String, String),
}

/// A loopback address of this process's own, one of four.
pub fn loopback(which: u8) -> Ipv4Addr {
    // Process ids have 22 bits at most.
    let [_, a, b, c] = (std::process::id() << 2 | u32::from(which % 4)).to_be_bytes();
    Ipv4Addr::new(127, a, b, c)
}

/// What all threads of a run share.
#[derive(Debug)]
pub struct World {
    start: Instant,
    is_over: Flag,
    takes_requests: Flag,
    fleet: OnceLock<Fleet>,
    ledger: Mutex<Ledger>,
}

impl World {
    fn new(plan: &Plan) -> World {
        let zones = (0..plan.servers).map(|server| server % ZONES.len()).collect();
        let processes = vec![Process::default(); plan.balancers];
        World {
            start: Instant::now(),
            is_over: Flag::default(),
            takes_requests: Flag::default(),
            fleet: OnceLock::new(),
            ledger: Mutex::new(Ledger { processes, zones, ..Ledger::default() }),
        }
    }

    /// Since the run's start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Whether all is over.
    pub fn is_over(&self) -> bool {
        self.is_over.is_set()
    }

    /// Whether clients send requests.
    pub fn takes_requests(&self) -> bool {
        self.takes_requests.is_set()
    }

    /// The balancers.
    pub fn fleet(&self) -> &Fleet {
        self.fleet.get().expect("started before anybody asks")
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no panic")
    }

    /// A client has sent a request. Its server may have read it by now.
    pub fn request_sent(&self, id: u64, request: Request) {
        let mut ledger = self.ledger();
        let attempts = ledger.requests.remove(&id).map(|early| early.attempts).unwrap_or_default();
        ledger.requests.insert(id, Request { attempts, ..request });
    }

    /// Its client has left.
    pub fn client_left(&self, id: u64) {
        let now = self.now();
        self.ledger().requests.entry(id).and_modify(|r| r.left_at = Some(now));
    }

    /// It has its answer.
    pub fn request_answered(&self, id: u64, answer: Answer) {
        let now = self.now();
        self.ledger().requests.entry(id).and_modify(|r| r.answer = Some((answer, now)));
    }

    /// It stood and was cut off.
    pub fn cut_off(&self, id: u64) {
        let now = self.now();
        self.ledger().requests.entry(id).and_modify(|r| r.cut_at = Some(now));
    }

    /// A server has read its line; which of its attempts this is.
    pub fn attempt_read(&self, id: u64, attempt: Attempt) -> usize {
        let mut ledger = self.ledger();
        let attempts = &mut ledger.requests.entry(id).or_default().attempts;
        attempts.push(attempt);
        attempts.len() - 1
    }

    /// An attempt's connection has ended.
    pub fn attempt_ended(&self, id: u64, attempt: usize) {
        let now = self.now();
        let mut ledger = self.ledger();
        if let Some(attempt) = ledger.requests.get_mut(&id).and_then(|r| r.attempts.get_mut(attempt)) {
            attempt.ended_at = Some(now);
        }
    }
}

/// What a run has shown.
#[derive(Debug)]
pub struct Verdict {
    /// Requests that were sent.
    pub requests: usize,
    /// Answers by kind.
    pub answers: BTreeMap<Answer, usize>,
    /// Rules that were broken.
    pub broken: Vec<Broken>,
    /// What processes did wrong: ends, violations that their guards counted, panics.
    pub faults: Vec<String>,
    /// The most that an answer came after its deadline.
    pub latest_answer: Duration,
    /// How late this machine was.
    pub machine_late: Duration,
    /// Log lines by balancer.
    pub log: Vec<(usize, String)>,
}

impl Verdict {
    /// Whether nothing was wrong.
    pub fn is_clean(&self) -> bool {
        self.broken.is_empty() && self.faults.is_empty()
    }

    /// What the logs say of a request: its balancer's lines with the number that it had there.
    pub fn trace(&self, request: u64) -> Vec<String> {
        let id = format!(" id={request:x} ");
        let Some(first) = self.log.iter().position(|(_, line)| line.contains(&id)) else { return Vec::new() };
        let (balancer, line) = &self.log[first];
        let Some(number) = line.split("req=").nth(1).and_then(|rest| rest.split(' ').next()) else {
            return Vec::new();
        };
        let is_its = |line: &str| line.split(' ').any(|word| word.strip_prefix("req=") == Some(number));
        let is_process = |line: &str| line.contains("event=leaving") || line.contains("event=serving");
        let lines = self.log[first..].iter().filter(|(n, _)| n == balancer).map(|(_, line)| line);
        lines.filter(|line| is_its(line) || is_process(line)).cloned().collect()
    }
}

/// Plays a plan.
pub fn play(
    plan: &Plan,
    balancer: PathBuf,
    faults: Option<PathBuf>,
    folder: PathBuf,
) -> Result<Verdict, SoakError> {
    let world = Arc::new(World::new(plan));
    let servers =
        (0..plan.servers).map(|number| Server::start(number, &world)).collect::<Result<Vec<_>, _>>()?;
    let endpoints = servers.iter().enumerate().map(|(number, server)| endpoint(number, server)).collect();
    let discovery = Discovery::start(endpoints, &world)?;
    let fleet = Fleet::start(Program { balancer, faults, folder }, plan, &discovery)?;
    assert!(world.fleet.set(fleet).is_ok(), "started once");
    world.takes_requests.set(true);
    let begun = world.now();
    let lateness = measure_lateness(&world);
    let clients: Vec<_> = (0..plan.clients as u64)
        .map(|number| {
            let (world, plan) = (Arc::clone(&world), plan.clone());
            std::thread::spawn(move || client::live(&world, &plan, number))
        })
        .collect();
    let faults = cause_faults(plan, begun, &world, &servers, &discovery);
    std::thread::sleep((begun + plan.length).saturating_sub(world.now()));
    world.takes_requests.set(false);
    let settled = Instant::now() + SETTLE;
    for client in clients {
        if client.join().is_err() {
            faults.lock().expect("no panic").push("a client of the soak panicked".to_owned());
        }
    }
    std::thread::sleep(settled.saturating_duration_since(Instant::now()).min(Duration::from_millis(200)));
    world.is_over.set(true);
    let late = lateness.join().unwrap_or_default();
    Ok(judge(plan, &world, late, std::mem::take(&mut *faults.lock().expect("no panic"))))
}

fn endpoint(number: usize, server: &Server) -> Endpoint {
    let name = format!("s-{number}");
    let address = server.address().to_string();
    let zone = ZONES[number % ZONES.len()].to_owned();
    let status = "Ready".to_owned();
    Endpoint { name, address, zone, kind: "m".into(), group: 1, status, weight: 1.0, since_ms: 0.0 }
}

/// A thread that measures how late this machine wakes it.
fn measure_lateness(world: &Arc<World>) -> std::thread::JoinHandle<Duration> {
    let world = Arc::clone(world);
    std::thread::spawn(move || {
        let mut latest = Duration::ZERO;
        while !world.is_over() {
            let begun = Instant::now();
            std::thread::sleep(LATENESS_TICK);
            latest = latest.max(begun.elapsed().saturating_sub(LATENESS_TICK));
        }
        latest
    })
}

/// Starts a thread for each fault, which waits for its time: faults overlap.
fn cause_faults(
    plan: &Plan,
    begun: Duration,
    world: &Arc<World>,
    servers: &[Arc<Server>],
    discovery: &Arc<Discovery>,
) -> Arc<Mutex<Vec<String>>> {
    let found = Arc::new(Mutex::new(Vec::new()));
    for timed in plan.faults.clone() {
        let (world, discovery) = (Arc::clone(world), Arc::clone(discovery));
        let (servers, found) = (servers.to_vec(), Arc::clone(&found));
        std::thread::spawn(move || {
            std::thread::sleep((begun + timed.at).saturating_sub(world.now()));
            match cause(timed.fault, &world, &servers, &discovery) {
                Ok(None) => {}
                Ok(Some(fault)) => found.lock().expect("no panic").push(fault),
                Err(_) if world.is_over() => {}
                Err(e) => found.lock().expect("no panic").push(e.to_string()),
            }
        });
    }
    found
}

fn cause(
    fault: Fault,
    world: &World,
    servers: &[Arc<Server>],
    discovery: &Discovery,
) -> Result<Option<String>, SoakError> {
    let fleet = world.fleet();
    match fault {
        Fault::Terminate { balancer, twice } => {
            let ended = || {
                let now = world.now();
                world.ledger().processes[balancer].ended(now);
            };
            return fleet.terminate(balancer, twice, ended);
        }
        Fault::Kill { balancer } => fleet.kill(balancer, || {
            let now = world.now();
            world.ledger().processes[balancer].killed(now);
        })?,
        Fault::Pause { balancer, length } => {
            let now = world.now();
            world.ledger().processes[balancer].pauses.push((now, length));
            fleet.pause(balancer, length);
        }
        Fault::Reload { balancer, all_safe } => fleet.reload(balancer, all_safe, || {
            let now = world.now();
            if all_safe {
                world.ledger().processes[balancer].safe_spans.push((now, None));
            }
        })?,
        Fault::Server { server, behaviour, length } => {
            servers[server].behave(behaviour);
            std::thread::sleep(length);
            servers[server].behave(Behaviour::Normal);
        }
        Fault::Drain { server, length } if !servers[server].is_draining() => {
            servers[server].drain(Some(world.now()));
            discovery.set_status(server, "Terminating");
            std::thread::sleep(length);
            servers[server].drain(None);
            discovery.set_status(server, "Ready");
        }
        Fault::Drain { .. } => {}
    }
    Ok(None)
}

fn judge(plan: &Plan, world: &World, late: Duration, mut faults: Vec<String>) -> Verdict {
    let fleet = world.fleet();
    faults.extend(fleet.unordered_ends());
    fleet.stop();
    let log = fleet.log();
    let is_bad = |line: &str| {
        ["event=rule-violation", "event=overdue", "panicked"].iter().any(|bad| line.contains(bad))
    };
    faults.extend(log.iter().filter(|(_, line)| is_bad(line)).map(|(n, line)| format!("n{n}: {line}")));
    let mut ledger = world.ledger();
    ledger.machine_late = late;
    // What was read at a server of a client that had broken off before it was noted has no request.
    ledger.requests.retain(|_, request| request.sent_at > Duration::ZERO);
    let mut answers = BTreeMap::new();
    for (answer, _) in ledger.requests.values().filter_map(|request| request.answer) {
        *answers.entry(answer).or_default() += 1;
    }
    Verdict {
        requests: ledger.requests.len(),
        answers,
        broken: ledger.broken(&plan.classes),
        faults,
        latest_answer: ledger.latest_answer(&plan.classes),
        machine_late: late,
        log,
    }
}
