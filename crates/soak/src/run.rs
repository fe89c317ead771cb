//! Runs a plan with real processes.

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

/// The duration of each sleep of the thread that measures how late this machine wakes threads.
const WAKE_DELAY_SLEEP: Duration = Duration::from_millis(5);
/// How long the run continues after the last client has ended.
const SETTLE: Duration = Duration::from_millis(200);

/// Parts of log lines that show that a process failed.
const FAILURE_PATTERNS: [&str; 3] = ["event=rule-violation", "event=overdue", "panicked"];

/// Runs a plan with the program `balancer` and the preloaded library `faults` that makes system calls fail. Configurations
/// are written to `folder`.
///
/// # Errors
/// Returns an error if a process can't be started or does not serve.
pub fn run(
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
    let start = recorder.now();
    let wake_delay = measure_wake_delay(&recorder);
    let clients = start_clients(plan, &recorder, &fleet);
    let targets = Targets { fleet: Arc::clone(&fleet), servers, discovery, recorder: Arc::clone(&recorder) };
    let process_failures = injection::schedule(plan, start, &targets);
    std::thread::sleep((start + plan.length).saturating_sub(recorder.now()));
    recorder.accept_requests(false);
    for client in clients {
        if client.join().is_err() {
            process_failures.lock().expect("no panic").push("a client of the soak test panicked".to_owned());
        }
    }
    std::thread::sleep(SETTLE);
    recorder.end();
    recorder.ledger().max_wake_delay = wake_delay.join().unwrap_or_default();
    let process_failures = std::mem::take(&mut *process_failures.lock().expect("no panic"));
    Ok(evaluate(plan, &recorder, &fleet, process_failures))
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

/// Starts a thread that measures the longest delay with which this machine wakes it during the run.
fn measure_wake_delay(recorder: &Arc<Recorder>) -> std::thread::JoinHandle<Duration> {
    let recorder = Arc::clone(recorder);
    std::thread::spawn(move || {
        let mut max_delay = Duration::ZERO;
        while !recorder.is_over() {
            let start = Instant::now();
            std::thread::sleep(WAKE_DELAY_SLEEP);
            max_delay = max_delay.max(start.elapsed().saturating_sub(WAKE_DELAY_SLEEP));
        }
        max_delay
    })
}

/// Ends all processes and evaluates what was observed.
fn evaluate(plan: &Plan, recorder: &Recorder, fleet: &Fleet, mut failures: Vec<String>) -> Verdict {
    failures.extend(fleet.unexpected_exits());
    fleet.stop();
    let log = fleet.log();
    let is_failure = |text: &str| FAILURE_PATTERNS.iter().any(|pattern| text.contains(pattern));
    let logged = log.iter().filter(|line| is_failure(&line.text));
    failures.extend(logged.map(|line| format!("n{}: {}", line.balancer, line.text)));
    let mut ledger = recorder.ledger();
    // If a client failed to send its line, a server may still have read it. Such an attempt has no request.
    ledger.requests.retain(|_, request| request.sent_at > Duration::ZERO);
    let mut answers = BTreeMap::new();
    for (answer, _) in ledger.requests.values().filter_map(|request| request.answer) {
        *answers.entry(answer).or_default() += 1;
    }
    Verdict {
        requests: ledger.requests.len(),
        answers,
        violations: ledger.violations(&plan.classes),
        failures,
        latest_answer: ledger.latest_answer(&plan.classes),
        max_wake_delay: ledger.max_wake_delay,
        log,
    }
}
