//! The balancers' processes: started, signalled, killed, restarted, and observed by their logs.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use shorewharf_emulator::standin::config as base_config;

use crate::error::SoakError;
use crate::flag::Flag;
use crate::loopback::{self, Listener};
use crate::plan::{Class, Plan, Semantics, ZONES};
use crate::verdict::{LogLine, field};

/// The time after which a process that does not serve has failed to start.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The most log lines that are kept.
const MAX_LOG_LINES: usize = 400_000;
/// How long after the longest deadline a terminated process must have ended.
const EXIT_GRACE: Duration = Duration::from_millis(700);
/// The longest deadline that counts for it.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// For how long clients still connect to a balancer after SIGTERM.
const CONNECT_AFTER_TERM: Duration = Duration::from_millis(300);
/// How often an exit is polled for.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The time before a process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// What is tested, and with what.
#[derive(Clone, Debug)]
pub struct Program {
    /// The balancer's file.
    pub balancer: PathBuf,
    /// The library of failing system calls, if any are to fail.
    pub faults: Option<PathBuf>,
    /// Where configurations are written.
    pub folder: PathBuf,
}

/// One balancer.
#[derive(Debug)]
struct Balancer {
    address: SocketAddr,
    accepts_new: Flag,
    /// The lock also serialises what is done to one balancer.
    child: Mutex<Child>,
}

/// All balancers.
#[derive(Debug)]
pub struct Fleet {
    launcher: Launcher,
    balancers: Vec<Balancer>,
    log: Mutex<Receiver<LogLine>>,
    /// The run is over: no process is started again.
    is_stopped: Flag,
}

impl Fleet {
    /// Starts all balancers and waits until they serve.
    ///
    /// # Errors
    /// If a process can't be started or does not serve.
    pub fn start(program: Program, plan: &Plan, discovery: SocketAddr) -> Result<Fleet, SoakError> {
        let (lines, log) = channel();
        let launcher = Launcher { program, plan: plan.clone(), lines, discovery };
        let mut balancers = Vec::with_capacity(plan.balancers);
        for number in 0..plan.balancers {
            let any_port = SocketAddr::from((loopback::address(Listener::Balancers), 0));
            let started = launcher.start(number, any_port, || last_line(log.try_iter()))?;
            let accepts_new = Flag::default();
            accepts_new.set(true);
            let child = Mutex::new(started.child);
            balancers.push(Balancer { address: started.address, accepts_new, child });
        }
        Ok(Fleet { launcher, balancers, log: Mutex::new(log), is_stopped: Flag::default() })
    }

    /// Where a balancer serves.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.balancers[number].address
    }

    /// Whether clients connect to a balancer.
    pub fn accepts_new(&self, number: usize) -> bool {
        self.balancers[number].accepts_new.is_set()
    }

    /// The time within which a terminated process must end.
    fn exit_timeout(&self) -> Duration {
        let deadlines = self.launcher.plan.classes.iter().map(|class| class.deadline);
        deadlines.max().unwrap_or_default().min(MAX_DEADLINE) + EXIT_GRACE
    }

    /// Terminates a balancer and starts it again; clients still connect for a moment. Returns what was wrong with its
    /// exit, if anything was.
    ///
    /// # Errors
    /// If the process can't be started again.
    pub fn terminate(
        &self,
        number: usize,
        twice: bool,
        on_exit: impl FnOnce(),
    ) -> Result<Option<String>, SoakError> {
        let balancer = &self.balancers[number];
        let mut child = balancer.child.lock().expect("no panic");
        let begun = Instant::now();
        send_signal(&child, Signal::TERM);
        std::thread::sleep(CONNECT_AFTER_TERM);
        balancer.accepts_new.set(false);
        if twice {
            send_signal(&child, Signal::TERM);
        }
        let timeout = self.exit_timeout();
        let status = wait_for_exit(&mut child, begun + timeout)?;
        on_exit();
        let fault = match status {
            Some(status) if status.success() => None,
            Some(status) => Some(format!("balancer {number} ended with {status}")),
            None => Some(format!("balancer {number} had not ended {timeout:?} after SIGTERM")),
        };
        self.restart(number, &mut child)?;
        Ok(fault)
    }

    /// Kills a balancer and starts it again.
    ///
    /// # Errors
    /// If the process can't be killed or started again.
    pub fn kill(&self, number: usize, before_kill: impl FnOnce()) -> Result<(), SoakError> {
        let balancer = &self.balancers[number];
        let mut child = balancer.child.lock().expect("no panic");
        balancer.accepts_new.set(false);
        before_kill();
        child.kill()?;
        self.restart(number, &mut child)
    }

    /// Stops a balancer's process for a while.
    pub fn pause(&self, number: usize, length: Duration) {
        let child = self.balancers[number].child.lock().expect("no panic");
        send_signal(&child, Signal::STOP);
        std::thread::sleep(length);
        send_signal(&child, Signal::CONT);
    }

    /// Makes a balancer reload another configuration; `before_reload` is called just before.
    ///
    /// # Errors
    /// If the configuration can't be written.
    pub fn reload(
        &self,
        number: usize,
        all_idempotent: bool,
        before_reload: impl FnOnce(),
    ) -> Result<(), SoakError> {
        let balancer = &self.balancers[number];
        let child = balancer.child.lock().expect("no panic");
        self.launcher.write_config(number, balancer.address, all_idempotent)?;
        before_reload();
        send_signal(&child, Signal::HUP);
        Ok(())
    }

    /// Processes that have ended by themselves.
    pub fn unexpected_exits(&self) -> Vec<String> {
        let mut exits = Vec::new();
        for (number, balancer) in self.balancers.iter().enumerate() {
            let mut child = balancer.child.lock().expect("no panic");
            if let Ok(Some(status)) = child.try_wait() {
                exits.push(format!("balancer {number} ended by itself with {status}"));
            }
        }
        exits
    }

    /// The log lines since the last call, of all balancers.
    pub fn log(&self) -> Vec<LogLine> {
        self.log.lock().expect("no panic").try_iter().take(MAX_LOG_LINES).collect()
    }

    /// Kills all processes for good: faults that are still under way start none again.
    pub fn stop(&self) {
        self.is_stopped.set(true);
        for balancer in &self.balancers {
            let mut child = balancer.child.lock().expect("no panic");
            // A process that has ended by itself can't be killed.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn restart(&self, number: usize, child: &mut Child) -> Result<(), SoakError> {
        // A process that has ended can't be killed.
        let _ = child.kill();
        child.wait()?;
        if self.is_stopped.is_set() {
            return Ok(());
        }
        std::thread::sleep(RESTART_DELAY);
        let balancer = &self.balancers[number];
        let started = self.launcher.start(number, balancer.address, || last_line(self.log().into_iter()))?;
        *child = started.child;
        balancer.accepts_new.set(true);
        Ok(())
    }
}

/// A process that serves.
struct Started {
    child: Child,
    address: SocketAddr,
}

/// Writes configurations and starts processes.
#[derive(Debug)]
struct Launcher {
    program: Program,
    plan: Plan,
    /// Where log lines go.
    lines: Sender<LogLine>,
    discovery: SocketAddr,
}

impl Launcher {
    fn write_config(&self, number: usize, listen: SocketAddr, all_idempotent: bool) -> Result<(), SoakError> {
        let file = self.config_file(number);
        let next = file.with_extension("next");
        std::fs::write(&next, self.config(number, listen, all_idempotent).to_string())?;
        std::fs::rename(next, file)?;
        Ok(())
    }

    fn config_file(&self, number: usize) -> PathBuf {
        self.program.folder.join(format!("n{number}.json"))
    }

    fn config(&self, number: usize, listen: SocketAddr, all_idempotent: bool) -> Value {
        let mut config = base_config(&[]);
        config["name"] = json!(format!("n{number}"));
        config["listen"] = json!(listen);
        config["discovery"] = json!(self.discovery);
        config["seed"] = json!(format!("{:x}", self.plan.seed << 8 | number as u64));
        let classes = self.plan.classes.iter().map(|class| class_config(class, all_idempotent));
        let settings = &mut config["settings"];
        settings["classes"] = classes.collect();
        settings["zones"] = json!(ZONES);
        settings["zone"] = json!(number % ZONES.len());
        settings["me"] = json!(number);
        settings["group_size"] = json!(self.plan.balancers);
        settings["registry_mode"] = json!("ask");
        settings["rules"]["ask_within_s"] = json!(1.0);
        settings["limits"]["connect_timeout_s"] = json!(0.25);
        config
    }

    /// Starts a process and waits until it serves. `last_line` gives the last log line if it does not.
    fn start(
        &self,
        number: usize,
        listen: SocketAddr,
        last_line: impl FnOnce() -> String,
    ) -> Result<Started, SoakError> {
        self.write_config(number, listen, false)?;
        let mut child = self.command(number)?.spawn()?;
        let stderr = child.stderr.take().expect("piped");
        match self.forward_log(number, stderr).recv_timeout(START_TIMEOUT) {
            Ok(address) => Ok(Started { child, address }),
            Err(_) => {
                let _ = child.kill();
                Err(SoakError::NotServing {
                    balancer: number,
                    system_faults: self.plan.system_faults[number].clone(),
                    last_line: last_line(),
                })
            }
        }
    }

    fn command(&self, number: usize) -> Result<Command, SoakError> {
        let temporary_folder = self.program.folder.join(format!("tmp{number}"));
        std::fs::create_dir_all(&temporary_folder)?;
        let mut command = Command::new(&self.program.balancer);
        command.env("ROUTER_CONFIG", self.config_file(number)).env("SHOREWHARF_LOG", "debug");
        command.env("TMPDIR", temporary_folder);
        let faults = &self.plan.system_faults[number];
        if let Some(library) = self.program.faults.as_ref().filter(|_| !faults.is_empty()) {
            command.env("LD_PRELOAD", library).env("SHOREWHARF_FAULTS", faults);
            command.env("SHOREWHARF_FAULTS_SEED", self.plan.seed.to_string());
        }
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        Ok(command)
    }

    /// Forwards a process's log on a thread. The address comes on the channel when the process serves.
    fn forward_log(&self, balancer: usize, stderr: ChildStderr) -> Receiver<SocketAddr> {
        let (serves, serving) = channel();
        let lines = self.lines.clone();
        std::thread::spawn(move || {
            for text in BufReader::new(stderr).lines().map_while(Result::ok) {
                if text.contains("event=serving")
                    && let Some(address) = field(&text, "listen=").and_then(|at| at.parse().ok())
                {
                    // Nobody receives an address that comes too late.
                    let _ = serves.send(address);
                }
                if lines.send(LogLine { balancer, text }).is_err() {
                    return;
                }
            }
        });
        serving
    }
}

/// The text of the last line; empty if there is none.
fn last_line(lines: impl Iterator<Item = LogLine>) -> String {
    lines.last().map_or_else(String::new, |line| line.text)
}

fn class_config(class: &Class, all_idempotent: bool) -> Value {
    let (semantics, group) = match class.semantics {
        _ if all_idempotent => ("read_like", ""),
        Semantics::Idempotent => ("read_like", ""),
        Semantics::KeyedAll => ("idempotency_key", "all"),
        Semantics::KeyedZone => ("idempotency_key", "zone"),
        Semantics::NonIdempotent => ("non_idempotent", ""),
    };
    json!({
        "name": class.name,
        "semantics": semantics,
        "group": group,
        "promise_s": 0.5,
        "window_s": class.window.as_secs_f64(),
        "give_up_s": class.deadline.as_secs_f64(),
    })
}

/// Waits for a process's exit; `None` if it has not ended by then.
fn wait_for_exit(child: &mut Child, until: Instant) -> Result<Option<ExitStatus>, SoakError> {
    loop {
        if let Some(status) = child.try_wait()? {
            return Ok(Some(status));
        }
        if Instant::now() > until {
            return Ok(None);
        }
        std::thread::sleep(EXIT_POLL_INTERVAL);
    }
}

fn send_signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        // Fails only if the process has ended, which its exit status shows.
        let _ = kill_process(pid, signal);
    }
}
