//! The measurements and their output.

use std::io::{self, Write};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use shorewharf_emulator::standin::endpoint;

use super::clients::{Clients, Plan, Tally};
use super::target::{Discovery, Start, Target, Usage, servers, write_chunk};
use super::{Args, Measurement, nodes};

/// Concurrent set-ups.
const CONCURRENT_SET_UPS: usize = 64;
/// Time before each run that is not measured.
const WARM_UP: Duration = Duration::from_millis(700);
/// Length of the endpoint list in measurements that are not about lists.
pub const FEW_SERVERS: usize = 4;
/// Length of the long endpoint list.
const LONG_LIST: usize = 10_000;
/// Changes a second of the long endpoint list.
const CHANGES_PER_S: u64 = 100;
/// Number of workers that is compared with one worker.
const WORKERS: usize = 4;

/// The environment of the measurements, and their options.
pub struct Bench {
    pub args: Args,
    /// The port of the nodes.
    pub port: u16,
    client_threads: usize,
}

/// The results of a run.
struct Run {
    tally: Tally,
    /// Length of the measured part.
    seconds: f64,
    /// CPU time in the measured part.
    cpu: Duration,
    usage_before: Usage,
    usage_after: Usage,
}

impl Run {
    fn per_s(&self) -> f64 {
        self.tally.done as f64 / self.seconds
    }

    /// CPU microseconds for each set-up or line.
    fn cpu_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.tally.done.max(1) as f64
    }

    fn print(&self, what: &str, unit: &str) {
        let at = |q| self.tally.latency.value_at_quantile(q);
        println!(
            "{what:34} {:9.0} {unit}/s {:8.1} us CPU each, {:5.2} cores; us p50 {:6} p99 {:6} p99.9 {:6}; failed {}",
            self.per_s(),
            self.cpu_us(),
            self.cpu.as_secs_f64() / self.seconds,
            at(0.5),
            at(0.99),
            at(0.999),
            self.tally.failed
        );
    }
}

impl Bench {
    pub fn new(args: Args) -> io::Result<Self> {
        use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
        use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};

        let limit = getrlimit(Resource::Nofile);
        setrlimit(Resource::Nofile, Rlimit { current: limit.maximum, maximum: limit.maximum })?;
        // Nodes and clients stay off the cores of the program.
        let (available, mut other) = (sched_getaffinity(None)?, CpuSet::new());
        let cores: Vec<usize> = (0..CpuSet::MAX_CPU).filter(|c| available.is_set(*c)).collect();
        let program_cores = match &*args.measurements {
            m if m.contains(&Measurement::Workers) => WORKERS,
            m if m.contains(&Measurement::Handover) => 2,
            _ => 1,
        };
        let is_program_core =
            |core: usize| (0..program_cores).any(|i| args.core.checked_sub(i) == Some(core));
        cores.iter().filter(|c| !is_program_core(**c)).for_each(|c| other.set(*c));
        sched_setaffinity(None, &other)?;
        Ok(Bench { port: nodes::start()?, args, client_threads: 3 })
    }

    pub fn start(&self, servers: usize) -> Start {
        let (program, args) = (self.args.program.clone(), self.args.args.clone());
        Start { program, args, cores: vec![self.args.core], servers, common: None }
    }

    /// Runs a plan against a target and measures it after the warm-up.
    fn run(&self, target: &Target, plan: Plan, seconds: f64) -> io::Result<Run> {
        let clients = Clients::begin(plan, target.addresses.clone(), self.client_threads);
        if !clients.wait_until_established() {
            return Err(io::Error::other("not all connections were established within 60 s"));
        }
        clients.start();
        thread::sleep(WARM_UP);
        let usage_before = target.usage();
        clients.start_counting();
        thread::sleep(Duration::from_secs_f64(seconds));
        clients.stop_counting();
        let usage_after = target.usage();
        let tally = clients.finish();
        let seconds = (usage_after.measured_at - usage_before.measured_at).as_secs_f64();
        let cpu = usage_after.cpu - usage_before.cpu;
        Ok(Run { tally, seconds, cpu, usage_before, usage_after })
    }

    /// Set-ups with endpoint lists of several lengths, through the bare relay, and directly at the nodes.
    pub fn set_ups(&self) -> io::Result<()> {
        let (plan, seconds) = (Plan::SetUps(CONCURRENT_SET_UPS), self.args.seconds);
        for servers in &self.args.servers {
            let target = Target::balancer(&self.start(*servers), self.port, |_| {})?;
            self.run(&target, plan, seconds)?.print(&format!("set-ups, {servers} servers"), "set-ups");
        }
        let target = Target::bare_relay(&[self.args.core], self.port)?;
        self.run(&target, plan, seconds)?.print("set-ups, bare relay", "set-ups");
        self.run(&Target::nodes(self.port), plan, seconds)?.print("set-ups, direct", "set-ups");
        Ok(())
    }

    /// Lines at the highest rate.
    pub fn lines(&self) -> io::Result<()> {
        let (plan, seconds) = (Plan::Busy(self.args.busy), self.args.seconds);
        let target = Target::balancer(&self.start(FEW_SERVERS), self.port, |_| {})?;
        let via_balancer = self.run(&target, plan, seconds)?;
        drop(target);
        via_balancer.print("lines, balancer", "lines");
        let target = Target::bare_relay(&[self.args.core], self.port)?;
        let via_relay = self.run(&target, plan, seconds)?;
        via_relay.print("lines, bare relay", "lines");
        self.run(&Target::nodes(self.port), plan, seconds)?.print("lines, direct", "lines");
        println!("lines: {:.2} of the rate of the bare relay", via_balancer.per_s() / via_relay.per_s());
        Ok(())
    }

    /// Latency that the balancer adds to a line at a fixed rate.
    pub fn paced_lines(&self) -> io::Result<()> {
        let (plan, seconds) = (Plan::Paced(self.args.busy, self.args.rate), self.args.seconds);
        let target = Target::balancer(&self.start(FEW_SERVERS), self.port, |_| {})?;
        let via_balancer = self.run(&target, plan, seconds)?;
        drop(target);
        via_balancer.print("paced, balancer", "lines");
        let target = Target::bare_relay(&[self.args.core], self.port)?;
        self.run(&target, plan, seconds)?.print("paced, bare relay", "lines");
        let direct = self.run(&Target::nodes(self.port), plan, seconds)?;
        direct.print("paced, direct", "lines");
        let p99 = |run: &Run| run.tally.latency.value_at_quantile(0.99) as f64 / 1e3;
        println!("paced: {:.3} ms added at p99", p99(&via_balancer) - p99(&direct));
        Ok(())
    }

    /// Memory and CPU of idle connections.
    pub fn idle(&self) -> io::Result<()> {
        let target = Target::balancer(&self.start(FEW_SERVERS), self.port, |_| {})?;
        let without = self.run(&target, Plan::Idle(0), 0.1)?.usage_after;
        let run = self.run(&target, Plan::Idle(self.args.idle), self.args.seconds.max(10.0))?;
        let kb = (run.usage_before.memory_kb - without.memory_kb) as f64 / self.args.idle as f64;
        println!(
            "idle, {} connections: {:.2}% of a core, {kb:.2} KiB each ({} KiB without them); failed {}",
            self.args.idle,
            run.cpu.as_secs_f64() / run.seconds * 100.0,
            without.memory_kb,
            run.tally.failed
        );
        Ok(())
    }

    /// A long endpoint list: first a snapshot, then changes.
    pub fn endpoint_list(&self) -> io::Result<()> {
        let discovery = Discovery::start()?;
        let target = Target::balancer(&self.start(0), self.port, |file| {
            file["discovery"] = json!(discovery.address);
            file["settings"]["registry_mode"] = json!("ask");
            file["settings"]["rules"]["ask_within_s"] = json!(1.0);
        })?;
        let mut watch = discovery.watch()?;
        let before = target.usage();
        let padding = "x".repeat(400);
        let entry = |name: &str, at, status| {
            let mut e = json!(endpoint(name, at, status));
            e["note"] = json!(padding);
            e
        };
        let listed = servers(LONG_LIST, self.port);
        let endpoints: Vec<_> = listed.iter().map(|(name, at)| entry(name, *at, "Ready")).collect();
        let text = json!({"index": 50, "snapshot": true, "endpoints": endpoints}).to_string() + "\n";
        // In chunks, as a busy discovery service writes it.
        for chunk in text.as_bytes().chunks(20_000) {
            write_chunk(&mut watch, std::str::from_utf8(chunk).expect("ASCII"))?;
        }
        thread::sleep(Duration::from_secs(2));
        let after_snapshot = target.usage();
        println!(
            "list, {LONG_LIST} servers in {:.1} MB: {:.0} ms CPU to read, {} KiB more at the peak, {} KiB more after",
            text.len() as f64 / 1e6,
            (after_snapshot.cpu - before.cpu).as_secs_f64() * 1e3,
            target.peak_kb().saturating_sub(before.memory_kb),
            after_snapshot.memory_kb.saturating_sub(before.memory_kb),
        );
        let seconds = self.args.seconds.max(5.0);
        let (began, mut sent) = (Instant::now(), 0_u64);
        while began.elapsed().as_secs_f64() < seconds {
            let due = (began.elapsed().as_secs_f64() * CHANGES_PER_S as f64) as u64;
            while sent < due {
                let (name, at) = &listed[(sent * 37) as usize / 2 % LONG_LIST];
                let status = if sent % 2 == 0 { "Terminating" } else { "Ready" };
                let change = json!({"index": 51 + sent, "snapshot": false, "endpoints": [endpoint(name, *at, status)]});
                write_chunk(&mut watch, &(change.to_string() + "\n"))?;
                sent += 1;
            }
            watch.flush()?;
            thread::sleep(Duration::from_millis(2));
        }
        let after = target.usage();
        println!(
            "list, {CHANGES_PER_S} changes a second: {:.2}% of a core",
            (after.cpu - after_snapshot.cpu).as_secs_f64()
                / (after.measured_at - after_snapshot.measured_at).as_secs_f64()
                * 100.0
        );
        Ok(())
    }

    /// Lines on established connections while more clients arrive than can be placed, with a long endpoint list.
    pub fn overload(&self) -> io::Result<()> {
        let target = Target::balancer(&self.start(5000), self.port, |_| {})?;
        let established = Clients::begin(Plan::Paced(200, 2000.0), target.addresses.clone(), 1);
        if !established.wait_until_established() {
            return Err(io::Error::other("not all connections were established within 60 s"));
        }
        established.start();
        let flood = self.run(&target, Plan::SetUps(64), 2.0);
        established.start_counting();
        let flood = flood.and_then(|_| self.run(&target, Plan::SetUps(1000), self.args.seconds))?;
        established.stop_counting();
        flood.print("overload, set-ups", "set-ups");
        let tally = established.finish();
        let at = |q| tally.latency.value_at_quantile(q) as f64 / 1e3;
        println!(
            "overload, lines: ms p50 {:.2} p99 {:.2} p99.9 {:.2}, {} of {} back; failed {}",
            at(0.5),
            at(0.99),
            at(0.999),
            tally.done,
            (self.args.seconds * 2000.0) as u64,
            tally.failed
        );
        Ok(())
    }

    /// Lines and set-ups of several independent processes with a core each: the upper limit for workers on this machine.
    fn processes(&self) -> io::Result<()> {
        for (plan, what) in
            [(Plan::SetUps(CONCURRENT_SET_UPS), "set-ups"), (Plan::Busy(self.args.busy), "lines")]
        {
            let start_process = |i| {
                let cores = Vec::from_iter(self.args.core.checked_sub(i));
                Target::balancer(&Start { cores, ..self.start(FEW_SERVERS) }, self.port, |_| {})
            };
            let targets = (0..WORKERS).map(start_process).collect::<io::Result<Vec<_>>>()?;
            let combined = Target::combined(&targets);
            let run = self.run(&combined, plan, self.args.seconds)?;
            run.print(&format!("{what}, {WORKERS} processes"), what);
        }
        Ok(())
    }

    /// One worker compared with several. The program must accept an operator's file.
    pub fn workers(&self) -> io::Result<()> {
        for workers in [1, WORKERS] {
            let folder = tempfile::tempdir()?;
            let file = folder.path().join("operator.toml");
            std::fs::write(&file, format!("workers = {workers}\n"))?;
            let mut start = self.start(FEW_SERVERS);
            start.args.extend(["--operator".into(), file.into()]);
            start.cores = (0..workers).filter_map(|i| self.args.core.checked_sub(i)).collect();
            for (plan, what) in
                [(Plan::SetUps(CONCURRENT_SET_UPS), "set-ups"), (Plan::Busy(self.args.busy), "lines")]
            {
                let target = Target::balancer(&start, self.port, |_| {})?;
                self.run(&target, plan, self.args.seconds)?
                    .print(&format!("{what}, {workers} workers"), what);
            }
        }
        self.processes()
    }
}
