//! Plays a plan with real processes.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use shorewharf_protocol::endpoint_list::Endpoint;

use crate::client;
use crate::discovery::Discovery;
use crate::error::SoakError;
use crate::fleet::{Fleet, Program};
use crate::injection::{self, Targets};
use crate::plan::{Plan, ZONES};
use crate::recorder::Recorder;
use crate::server::Server;
use crate::verdict::Verdict;

/// The interval at which the machine's lateness is sampled.
const LATENESS_TICK: Duration = Duration::from_millis(5);
/// How long the run goes on after the last client has ended.
const SETTLE: Duration = Duration::from_millis(200);

/// Signs in a log line that a process failed.
const FAULT_SIGNS: [&str; 3] = ["event=rule-violation", "event=overdue", "panicked"];

/// Plays a plan with the program `balancer`, and the library `faults` for failing system calls. Configurations are written to
/// `folder`.
///
/// # Errors
/// If a process can't be started or does not serve.
pub fn play(
    plan: &Plan,
    balancer: PathBuf,
    faults: Option<PathBuf>,
    folder: PathBuf,
) -> Result<Verdict, SoakError> {
    let recorder = Arc::new(Recorder::new(plan));
    let mut servers = Vec::with_capacity(plan.servers);
    for number in 0..plan.servers {
        servers.push(Server::start(number, &recorder)?);
    }
    let endpoints = servers.iter().enumerate().map(|(number, server)| endpoint(number, server)).collect();
    let discovery = Discovery::start(endpoints, &recorder)?;
    let fleet = Arc::new(Fleet::start(Program { balancer, faults, folder }, plan, discovery.address())?);
    recorder.accept_requests(true);
    let begun = recorder.now();
    let lateness = measure_lateness(&recorder);
    let clients = start_clients(plan, &recorder, &fleet);
    let targets = Targets { fleet: Arc::clone(&fleet), servers, discovery, recorder: Arc::clone(&recorder) };
    let process_faults = injection::schedule(plan, begun, &targets);
    std::thread::sleep((begun + plan.length).saturating_sub(recorder.now()));
    recorder.accept_requests(false);
    for client in clients {
        if client.join().is_err() {
            process_faults.lock().expect("no panic").push("a client of the soak panicked".to_owned());
        }
    }
    std::thread::sleep(SETTLE);
    recorder.end();
    recorder.ledger().machine_late = lateness.join().unwrap_or_default();
    let process_faults = std::mem::take(&mut *process_faults.lock().expect("no panic"));
    Ok(evaluate(plan, &recorder, &fleet, process_faults))
}

fn endpoint(number: usize, server: &Server) -> Endpoint {
    let name = format!("s-{number}");
    let address = server.address().to_string();
    let zone = ZONES[number % ZONES.len()].to_owned();
    let status = "Ready".to_owned();
    Endpoint { name, address, zone, kind: "m".into(), group: 1, status, weight: 1.0, since_ms: 0.0 }
}

fn start_clients(
    plan: &Plan,
    recorder: &Arc<Recorder>,
    fleet: &Arc<Fleet>,
) -> Vec<std::thread::JoinHandle<()>> {
    let start = |number| {
        let (recorder, fleet, plan) = (Arc::clone(recorder), Arc::clone(fleet), plan.clone());
        std::thread::spawn(move || client::run(&recorder, &fleet, &plan, number))
    };
    (0..plan.clients as u64).map(start).collect()
}

/// A thread that measures by how much this machine wakes it late.
fn measure_lateness(recorder: &Arc<Recorder>) -> std::thread::JoinHandle<Duration> {
    let recorder = Arc::clone(recorder);
    std::thread::spawn(move || {
        let mut latest = Duration::ZERO;
        while !recorder.is_over() {
            let begun = Instant::now();
            std::thread::sleep(LATENESS_TICK);
            latest = latest.max(begun.elapsed().saturating_sub(LATENESS_TICK));
        }
        latest
    })
}

/// Ends all processes and evaluates what was observed.
fn evaluate(plan: &Plan, recorder: &Recorder, fleet: &Fleet, mut faults: Vec<String>) -> Verdict {
    faults.extend(fleet.unexpected_exits());
    fleet.stop();
    let log = fleet.log();
    let is_fault = |text: &str| FAULT_SIGNS.iter().any(|sign| text.contains(sign));
    let logged = log.iter().filter(|line| is_fault(&line.text));
    faults.extend(logged.map(|line| format!("n{}: {}", line.balancer, line.text)));
    let mut ledger = recorder.ledger();
    // A line that a server read before its client broke off sending has no request.
    ledger.requests.retain(|_, request| request.sent_at > Duration::ZERO);
    let mut answers = BTreeMap::new();
    for (answer, _) in ledger.requests.values().filter_map(|request| request.answer) {
        *answers.entry(answer).or_default() += 1;
    }
    Verdict {
        requests: ledger.requests.len(),
        answers,
        violations: ledger.violations(&plan.classes),
        faults,
        latest_answer: ledger.latest_answer(&plan.classes),
        machine_late: ledger.machine_late,
        log,
    }
}
