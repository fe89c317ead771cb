//! The runs, and what is told of them.

use std::io::{self, Write};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::json;
use shorewharf_emulator::standin::endpoint;

use super::peers::{self, Clients, Plan, Tally};
use super::subject::{Discovery, Start, Subject, Used, servers, tell};
use super::{Args, Measure};

/// Set-ups on their way at once.
const AT_ONCE: usize = 64;
/// Uncounted before each run.
const WARM: Duration = Duration::from_millis(700);
/// Servers behind the runs that are not about lists.
pub const FEW: usize = 4;
/// Servers of the long list, and its changes a second.
const LONG: usize = 10_000;
const CHANGES: u64 = 100;
/// Workers beside one.
const WORKERS: usize = 4;

/// The machine round the program, and what was asked for.
pub struct Bench {
    pub args: Args,
    /// The nodes' port.
    pub port: u16,
    client_threads: usize,
}

/// A run's figures.
struct Run {
    tally: Tally,
    seconds: f64,
    cpu: Duration,
    before: Used,
    after: Used,
}

impl Run {
    fn per_s(&self) -> f64 {
        self.tally.done as f64 / self.seconds
    }

    fn cpu_us(&self) -> f64 {
        self.cpu.as_secs_f64() * 1e6 / self.tally.done.max(1) as f64
    }

    fn tell(&self, what: &str, unit: &str) {
        let at = |q| self.tally.took.value_at_quantile(q);
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
        // Peers keep off the program's core.
        let (all, mut rest) = (sched_getaffinity(None)?, CpuSet::new());
        let cores: Vec<usize> = (0..CpuSet::MAX_CPU).filter(|c| all.is_set(*c)).collect();
        let own = match &*args.measures {
            m if m.contains(&Measure::Workers) => WORKERS,
            m if m.contains(&Measure::HandOver) => 2,
            _ => 1,
        };
        let owns = |core: usize| (0..own).any(|i| args.core.checked_sub(i) == Some(core));
        cores.iter().filter(|c| !owns(**c)).for_each(|c| rest.set(*c));
        sched_setaffinity(None, &rest)?;
        Ok(Bench { port: peers::nodes()?, args, client_threads: 3 })
    }

    pub fn start(&self, servers: usize) -> Start {
        let (program, args) = (self.args.program.clone(), self.args.args.clone());
        Start { program, args, cores: vec![self.args.core], servers, common: None }
    }

    fn run(&self, subject: &Subject, plan: Plan, seconds: f64) -> io::Result<Run> {
        let clients = Clients::begin(plan, subject.address.clone(), self.client_threads);
        if !clients.stand() {
            return Err(io::Error::other("not all connections stand"));
        }
        clients.go();
        thread::sleep(WARM);
        let before = subject.used();
        clients.count();
        thread::sleep(Duration::from_secs_f64(seconds));
        clients.stop();
        let after = subject.used();
        let tally = clients.end();
        let (seconds, cpu) = ((after.at - before.at).as_secs_f64(), after.cpu - before.cpu);
        Ok(Run { tally, seconds, cpu, before, after })
    }

    /// Set-ups with lists of several lengths, and through the bare relay and past both.
    pub fn set_ups(&self) -> io::Result<()> {
        let (plan, seconds) = (Plan::SetUps(AT_ONCE), self.args.seconds);
        for servers in &self.args.servers {
            let subject = Subject::balancer(&self.start(*servers), self.port, |_| {})?;
            self.run(&subject, plan, seconds)?.tell(&format!("set-ups, {servers} servers"), "set-ups");
        }
        let subject = Subject::bare(&[self.args.core], self.port)?;
        self.run(&subject, plan, seconds)?.tell("set-ups, bare relay", "set-ups");
        self.run(&Subject::none(self.port), plan, seconds)?.tell("set-ups, direct", "set-ups");
        Ok(())
    }

    /// Lines as fast as they go.
    pub fn lines(&self) -> io::Result<()> {
        let (plan, seconds) = (Plan::Busy(self.args.busy), self.args.seconds);
        let subject = Subject::balancer(&self.start(FEW), self.port, |_| {})?;
        let through = self.run(&subject, plan, seconds)?;
        drop(subject);
        through.tell("lines, balancer", "lines");
        let subject = Subject::bare(&[self.args.core], self.port)?;
        let bare = self.run(&subject, plan, seconds)?;
        bare.tell("lines, bare relay", "lines");
        self.run(&Subject::none(self.port), plan, seconds)?.tell("lines, direct", "lines");
        println!("lines: {:.2} of the bare relay's", through.per_s() / bare.per_s());
        Ok(())
    }

    /// What the way through adds to a line's time.
    pub fn pace(&self) -> io::Result<()> {
        let (plan, seconds) = (Plan::Paced(self.args.busy, self.args.rate), self.args.seconds);
        let subject = Subject::balancer(&self.start(FEW), self.port, |_| {})?;
        let through = self.run(&subject, plan, seconds)?;
        drop(subject);
        through.tell("paced, balancer", "lines");
        let subject = Subject::bare(&[self.args.core], self.port)?;
        self.run(&subject, plan, seconds)?.tell("paced, bare relay", "lines");
        let direct = self.run(&Subject::none(self.port), plan, seconds)?;
        direct.tell("paced, direct", "lines");
        let p99 = |run: &Run| run.tally.took.value_at_quantile(0.99) as f64 / 1e3;
        println!("paced: {:.3} ms added at p99", p99(&through) - p99(&direct));
        Ok(())
    }

    /// Connections that say nothing.
    pub fn idle(&self) -> io::Result<()> {
        let subject = Subject::balancer(&self.start(FEW), self.port, |_| {})?;
        let none = self.run(&subject, Plan::Idle(0), 0.1)?.after;
        let run = self.run(&subject, Plan::Idle(self.args.idle), self.args.seconds.max(10.0))?;
        let kb = (run.before.memory_kb - none.memory_kb) as f64 / self.args.idle as f64;
        println!(
            "idle, {} connections: {:.2}% of a core, {kb:.2} KiB each ({} KiB without them); failed {}",
            self.args.idle,
            run.cpu.as_secs_f64() / run.seconds * 100.0,
            none.memory_kb,
            run.tally.failed
        );
        Ok(())
    }

    /// A long list, told whole and then changed.
    pub fn list(&self) -> io::Result<()> {
        let discovery = Discovery::start()?;
        let subject = Subject::balancer(&self.start(0), self.port, |file| {
            file["discovery"] = json!(discovery.address);
            file["settings"]["registry_mode"] = json!("ask");
            file["settings"]["rules"]["ask_within_s"] = json!(1.0);
        })?;
        let mut watch = discovery.watch()?;
        let before = subject.used();
        let pad = "x".repeat(400);
        let entry = |name: &str, at, status| {
            let mut e = json!(endpoint(name, at, status));
            e["note"] = json!(pad);
            e
        };
        let long = servers(LONG, self.port);
        let endpoints: Vec<_> = long.iter().map(|(name, at)| entry(name, *at, "Ready")).collect();
        let text = json!({"index": 50, "snapshot": true, "endpoints": endpoints}).to_string() + "\n";
        // In pieces, as a busy discovery service writes it.
        for piece in text.as_bytes().chunks(20_000) {
            tell(&mut watch, std::str::from_utf8(piece).expect("plain text"))?;
        }
        thread::sleep(Duration::from_secs(2));
        let whole = subject.used();
        println!(
            "list, {LONG} servers in {:.1} MB: {:.0} ms CPU to take in, {} KiB more at most, {} KiB more after",
            text.len() as f64 / 1e6,
            (whole.cpu - before.cpu).as_secs_f64() * 1e3,
            subject.peak_kb().saturating_sub(before.memory_kb),
            whole.memory_kb.saturating_sub(before.memory_kb),
        );
        let seconds = self.args.seconds.max(5.0);
        let (began, mut told) = (Instant::now(), 0_u64);
        while began.elapsed().as_secs_f64() < seconds {
            let due = (began.elapsed().as_secs_f64() * CHANGES as f64) as u64;
            while told < due {
                let (name, at) = &long[(told * 37) as usize / 2 % LONG];
                let status = if told % 2 == 0 { "Terminating" } else { "Ready" };
                let change = json!({"index": 51 + told, "snapshot": false, "endpoints": [endpoint(name, *at, status)]});
                tell(&mut watch, &(change.to_string() + "\n"))?;
                told += 1;
            }
            watch.flush()?;
            thread::sleep(Duration::from_millis(2));
        }
        let after = subject.used();
        println!(
            "list, {CHANGES} changes a second: {:.2}% of a core",
            (after.cpu - whole.cpu).as_secs_f64() / (after.at - whole.at).as_secs_f64() * 100.0
        );
        Ok(())
    }

    /// Lines of those who stand, while more come than can be placed before a long list.
    pub fn overload(&self) -> io::Result<()> {
        let subject = Subject::balancer(&self.start(5000), self.port, |_| {})?;
        let stand = Clients::begin(Plan::Paced(200, 2000.0), subject.address.clone(), 1);
        if !stand.stand() {
            return Err(io::Error::other("not all connections stand"));
        }
        stand.go();
        let flood = self.run(&subject, Plan::SetUps(64), 2.0);
        stand.count();
        let flood = flood.and_then(|_| self.run(&subject, Plan::SetUps(1000), self.args.seconds))?;
        stand.stop();
        flood.tell("overload, set-ups", "set-ups");
        let tally = stand.end();
        let at = |q| tally.took.value_at_quantile(q) as f64 / 1e3;
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

    /// Lines and set-ups of several processes with a core each: what the machine allows to workers.
    fn processes(&self) -> io::Result<()> {
        for (plan, what) in [(Plan::SetUps(AT_ONCE), "set-ups"), (Plan::Busy(self.args.busy), "lines")] {
            let one = |i| {
                let cores = Vec::from_iter(self.args.core.checked_sub(i));
                Subject::balancer(&Start { cores, ..self.start(FEW) }, self.port, |_| {})
            };
            let subjects = (0..WORKERS).map(one).collect::<io::Result<Vec<_>>>()?;
            let all = Subject::several(&subjects);
            let run = self.run(&all, plan, self.args.seconds)?;
            run.tell(&format!("{what}, {WORKERS} processes"), what);
        }
        Ok(())
    }

    /// One worker and four, which need a program that takes an operator's file.
    pub fn workers(&self) -> io::Result<()> {
        for workers in [1, WORKERS] {
            let folder = tempfile::tempdir()?;
            let file = folder.path().join("own.toml");
            std::fs::write(&file, format!("workers = {workers}\n"))?;
            let mut start = self.start(FEW);
            start.args.extend(["--operator".into(), file.into()]);
            start.cores = (0..workers).filter_map(|i| self.args.core.checked_sub(i)).collect();
            for (plan, what) in [(Plan::SetUps(AT_ONCE), "set-ups"), (Plan::Busy(self.args.busy), "lines")] {
                let subject = Subject::balancer(&start, self.port, |_| {})?;
                self.run(&subject, plan, self.args.seconds)?
                    .tell(&format!("{what}, {workers} workers"), what);
            }
        }
        self.processes()
    }
}
