//! The balancers' processes: starts, signals, kills and restarts them, and collects their logs.

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

/// The time within which a started process must serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);
/// The most log lines that are taken at once.
const MAX_LOG_LINES: usize = 400_000;
/// How long after the longest deadline a terminated process must have ended.
const EXIT_GRACE: Duration = Duration::from_millis(700);
/// The most by which the longest deadline counts for the time until the exit.
const MAX_DEADLINE: Duration = Duration::from_secs(3);
/// How long clients continue to connect to a balancer after SIGTERM.
const CONNECT_AFTER_TERM: Duration = Duration::from_millis(300);
/// The interval at which a process is polled for its exit.
const EXIT_POLL_INTERVAL: Duration = Duration::from_millis(2);
/// The time between the end of a process and the start of the next one.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// The files of the tested program.
#[derive(Clone, Debug)]
pub struct Program {
    /// The balancer's executable.
    pub balancer: PathBuf,
    /// The preloaded library that makes system calls fail; without it none fail.
    pub faults: Option<PathBuf>,
    /// The folder for configurations and temporary files.
    pub folder: PathBuf,
}

/// One balancer.
#[derive(Debug)]
struct Balancer {
    address: SocketAddr,
    accepts_new: Flag,
    /// The present process. Holding the lock also serialises operations on the balancer.
    child: Mutex<Child>,
}

/// All balancers of a run.
#[derive(Debug)]
pub struct Fleet {
    launcher: Launcher,
    balancers: Vec<Balancer>,
    log: Mutex<Receiver<LogLine>>,
    /// Set when the run is over, so that no process is started again.
    is_stopped: Flag,
}

impl Fleet {
    /// Starts all balancers and waits until they serve.
    ///
    /// # Errors
    /// Returns an error if a process can't be started or does not serve in time.
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

    /// The address at which a balancer serves.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.balancers[number].address
    }

    /// Whether clients open new connections to a balancer.
    pub fn accepts_new(&self, number: usize) -> bool {
        self.balancers[number].accepts_new.is_set()
    }

    /// The time within which a process must exit after SIGTERM.
    fn exit_timeout(&self) -> Duration {
        let deadlines = self.launcher.plan.classes.iter().map(|class| class.deadline);
        deadlines.max().unwrap_or_default().min(MAX_DEADLINE) + EXIT_GRACE
    }

    /// Terminates a balancer with SIGTERM, sent a second time if `twice`, and starts it again. Clients connect for
    /// [`CONNECT_AFTER_TERM`] after the signal. Calls `on_exit` when the process has exited or the exit timeout has
    /// passed, and returns a message if the process did not exit successfully in time.
    ///
    /// # Errors
    /// Returns an error if the process can't be polled or started again.
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
            Some(status) => Some(format!("balancer {number} exited with {status} after SIGTERM")),
            None => Some(format!("balancer {number} did not exit within {timeout:?} after SIGTERM")),
        };
        self.restart(number, &mut child)?;
        Ok(fault)
    }

    /// Kills a balancer and starts it again. Calls `before_kill` just before the kill.
    ///
    /// # Errors
    /// Returns an error if the process can't be killed or started again.
    pub fn kill(&self, number: usize, before_kill: impl FnOnce()) -> Result<(), SoakError> {
        let balancer = &self.balancers[number];
        let mut child = balancer.child.lock().expect("no panic");
        balancer.accepts_new.set(false);
        before_kill();
        child.kill()?;
        self.restart(number, &mut child)
    }

    /// Stops a balancer's process with SIGSTOP and continues it after `length`.
    pub fn pause(&self, number: usize, length: Duration) {
        let child = self.balancers[number].child.lock().expect("no panic");
        send_signal(&child, Signal::STOP);
        std::thread::sleep(length);
        send_signal(&child, Signal::CONT);
    }

    /// Writes another configuration and makes a balancer reload it with SIGHUP. Calls `before_reload` just before the signal.
    ///
    /// # Errors
    /// Returns an error if the configuration can't be written.
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

    /// Messages about the processes that have exited without being terminated or killed.
    pub fn unexpected_exits(&self) -> Vec<String> {
        let mut exits = Vec::new();
        for (number, balancer) in self.balancers.iter().enumerate() {
            let mut child = balancer.child.lock().expect("no panic");
            if let Ok(Some(status)) = child.try_wait() {
                exits.push(format!("balancer {number} exited unexpectedly with {status}"));
            }
        }
        exits
    }

    /// Takes the log lines of all balancers since the last call.
    pub fn log(&self) -> Vec<LogLine> {
        self.log.lock().expect("no panic").try_iter().take(MAX_LOG_LINES).collect()
    }

    /// Kills all processes permanently: faults that are still in progress start none again.
    pub fn stop(&self) {
        self.is_stopped.set(true);
        for balancer in &self.balancers {
            let mut child = balancer.child.lock().expect("no panic");
            // Killing a process that has already exited fails, which is harmless.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn restart(&self, number: usize, child: &mut Child) -> Result<(), SoakError> {
        // Killing a process that has already exited fails, which is harmless.
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

/// A started process that serves.
struct Started {
    child: Child,
    address: SocketAddr,
}

/// Writes configurations and starts processes.
#[derive(Debug)]
struct Launcher {
    program: Program,
    plan: Plan,
    /// Receives the log lines of all processes.
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

    /// Starts a process and waits until it serves. If it does not, `last_line` returns the last log line for the error.
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

    /// Starts a thread that forwards a process's log. The returned channel receives the process's address once it serves.
    fn forward_log(&self, balancer: usize, stderr: ChildStderr) -> Receiver<SocketAddr> {
        let (address_sender, addresses) = channel();
        let lines = self.lines.clone();
        std::thread::spawn(move || {
            for text in BufReader::new(stderr).lines().map_while(Result::ok) {
                if text.contains("event=serving")
                    && let Some(address) = field(&text, "listen=").and_then(|at| at.parse().ok())
                {
                    // Sending fails if the time-out of the start is over.
                    let _ = address_sender.send(address);
                }
                if lines.send(LogLine { balancer, text }).is_err() {
                    return;
                }
            }
        });
        addresses
    }
}

/// The text of the last log line; empty if there is none.
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

/// Waits for the exit of a process; returns `None` if it has not exited at the time `until`.
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
        // This fails only if the process has exited, which its exit status shows later.
        let _ = kill_process(pid, signal);
    }
}
