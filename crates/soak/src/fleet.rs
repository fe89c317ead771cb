//! The balancers' processes: started, told, killed, started again, and watched through their logs.

use std::ffi::OsString;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use shorewharf_emulator::standin::config;

use crate::discovery::Discovery;
use crate::plan::{Effect, Plan, ZONES};
use crate::run::SoakError;
use crate::server::Flag;

/// A process that does not serve by then has failed to start.
const START: Duration = Duration::from_secs(20);
/// Lines of a log that are kept.
const KEPT_LINES: usize = 400_000;
/// SIGKILL may come as early as the longest deadline, 3 s at most, and this much later.
const GRACE: Duration = Duration::from_millis(700);
/// The longest deadline that counts for it.
const LONGEST_WAIT: Duration = Duration::from_secs(3);

/// What is tested, and with what.
#[derive(Clone, Debug)]
pub struct Program {
    /// The balancer's file.
    pub balancer: PathBuf,
    /// The library of faults, where system calls are to fail.
    pub faults: Option<PathBuf>,
    /// Where configurations are written.
    pub folder: PathBuf,
}

/// One balancer.
#[derive(Debug)]
struct Balancer {
    address: SocketAddr,
    takes_new: Flag,
    /// Orders to one balancer come one after the other.
    child: Mutex<Child>,
}

/// All balancers.
#[derive(Debug)]
pub struct Fleet {
    program: Program,
    plan: Plan,
    balancers: Vec<Balancer>,
    lines: Sender<(usize, String)>,
    log: Mutex<Receiver<(usize, String)>>,
    discovery: SocketAddr,
    /// The run is over: nothing is started again.
    is_stopped: Flag,
}

impl Fleet {
    /// Starts all of them and waits until they serve.
    pub fn start(program: Program, plan: &Plan, discovery: &Discovery) -> Result<Fleet, SoakError> {
        let (lines, log) = channel();
        let mut fleet = Fleet {
            program,
            plan: plan.clone(),
            balancers: Vec::new(),
            lines,
            log: Mutex::new(log),
            discovery: discovery.address(),
            is_stopped: Flag::default(),
        };
        for number in 0..plan.balancers {
            let any = SocketAddr::from((crate::run::loopback(0), 0));
            let (child, address) = fleet.spawn(number, any)?;
            let takes_new = Flag::default();
            takes_new.set(true);
            fleet.balancers.push(Balancer { address, takes_new, child: Mutex::new(child) });
        }
        Ok(fleet)
    }

    /// Where a balancer serves.
    pub fn address(&self, number: usize) -> SocketAddr {
        self.balancers[number].address
    }

    /// Whether the front sends new clients to a balancer.
    pub fn takes_new(&self, number: usize) -> bool {
        self.balancers[number].takes_new.is_set()
    }

    /// The time for which a planned end may last.
    pub fn end_limit(&self) -> Duration {
        let longest = self.plan.classes.iter().map(|class| class.give_up).max().unwrap_or_default();
        longest.min(LONGEST_WAIT) + GRACE
    }

    /// Ends a balancer in good order and starts it again. The front still sends clients for 0.3 s. Tells whether it
    /// ended in time and well.
    pub fn terminate(
        &self,
        number: usize,
        twice: bool,
        ended: impl FnOnce(),
    ) -> Result<Option<String>, SoakError> {
        let balancer = &self.balancers[number];
        let mut child = balancer.child.lock().expect("no panic");
        let begun = Instant::now();
        signal(&child, Signal::TERM);
        std::thread::sleep(Duration::from_millis(300));
        balancer.takes_new.set(false);
        if twice {
            signal(&child, Signal::TERM);
        }
        let limit = self.end_limit();
        let status = loop {
            if let Some(status) = child.try_wait()? {
                break Some(status);
            }
            if begun.elapsed() > limit {
                break None;
            }
            std::thread::sleep(Duration::from_millis(2));
        };
        ended();
        let fault = match status {
            Some(status) if status.success() => None,
            Some(status) => Some(format!("balancer {number} ended with {status}")),
            None => Some(format!("balancer {number} had not ended {limit:?} after SIGTERM")),
        };
        self.start_again(number, &mut child)?;
        Ok(fault)
    }

    /// Kills a balancer and starts it again.
    pub fn kill(&self, number: usize, killed: impl FnOnce()) -> Result<(), SoakError> {
        let balancer = &self.balancers[number];
        let mut child = balancer.child.lock().expect("no panic");
        balancer.takes_new.set(false);
        killed();
        child.kill()?;
        self.start_again(number, &mut child)
    }

    /// Has a balancer stand still for so long.
    pub fn pause(&self, number: usize, length: Duration) {
        let child = self.balancers[number].child.lock().expect("no panic");
        signal(&child, Signal::STOP);
        std::thread::sleep(length);
        signal(&child, Signal::CONT);
    }

    /// Has a balancer read another configuration; `about_to` is called just before.
    pub fn reload(&self, number: usize, all_safe: bool, about_to: impl FnOnce()) -> Result<(), SoakError> {
        let balancer = &self.balancers[number];
        let child = balancer.child.lock().expect("no panic");
        self.write_config(number, balancer.address, all_safe)?;
        about_to();
        signal(&child, Signal::HUP);
        Ok(())
    }

    /// Ends of processes that nobody ordered.
    pub fn unordered_ends(&self) -> Vec<String> {
        let mut ends = Vec::new();
        for (number, balancer) in self.balancers.iter().enumerate() {
            let mut child = balancer.child.lock().expect("no panic");
            if let Ok(Some(status)) = child.try_wait() {
                ends.push(format!("balancer {number} ended by itself with {status}"));
            }
        }
        ends
    }

    /// All log lines so far, by balancer.
    pub fn log(&self) -> Vec<(usize, String)> {
        self.log.lock().expect("no panic").try_iter().take(KEPT_LINES).collect()
    }

    /// Ends all processes, for good: faults that are still under way start none again.
    pub fn stop(&self) {
        self.is_stopped.set(true);
        for balancer in &self.balancers {
            let mut child = balancer.child.lock().expect("no panic");
            // Over already where it has ended by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    fn start_again(&self, number: usize, child: &mut Child) -> Result<(), SoakError> {
        // Over already where it has ended by itself.
        let _ = child.kill();
        child.wait()?;
        if self.is_stopped.is_set() {
            return Ok(());
        }
        std::thread::sleep(Duration::from_millis(100));
        let balancer = &self.balancers[number];
        *child = self.spawn(number, balancer.address)?.0;
        balancer.takes_new.set(true);
        Ok(())
    }

    fn config_file(&self, number: usize) -> PathBuf {
        self.program.folder.join(format!("n{number}.json"))
    }

    fn write_config(&self, number: usize, listen: SocketAddr, all_safe: bool) -> Result<(), SoakError> {
        let file = self.config_file(number);
        let next = file.with_extension("next");
        std::fs::write(&next, self.config(number, listen, all_safe).to_string())?;
        std::fs::rename(next, file)?;
        Ok(())
    }

    fn config(&self, number: usize, listen: SocketAddr, all_safe: bool) -> Value {
        let mut config = config(&[]);
        config["name"] = json!(format!("n{number}"));
        config["listen"] = json!(listen);
        config["discovery"] = json!(self.discovery);
        config["seed"] = json!(format!("{:x}", self.plan.seed << 8 | number as u64));
        let class = |class: &crate::plan::Class| {
            let (semantics, group) = match class.effect {
                _ if all_safe => ("read_like", ""),
                Effect::Safe => ("read_like", ""),
                Effect::KeyedAll => ("idempotency_key", "all"),
                Effect::KeyedZone => ("idempotency_key", "zone"),
                Effect::Unsafe => ("non_idempotent", ""),
            };
            json!({"name": class.name, "semantics": semantics, "group": group, "promise_s": 0.5,
                "window_s": class.window.as_secs_f64(), "give_up_s": class.give_up.as_secs_f64()})
        };
        let settings = &mut config["settings"];
        settings["classes"] = self.plan.classes.iter().map(class).collect();
        settings["zones"] = json!(ZONES);
        settings["zone"] = json!(number % ZONES.len());
        settings["me"] = json!(number);
        settings["group_size"] = json!(self.plan.balancers);
        settings["registry_mode"] = json!("ask");
        settings["rules"]["ask_within_s"] = json!(1.0);
        settings["limits"]["connect_timeout_s"] = json!(0.25);
        config
    }

    fn spawn(&self, number: usize, listen: SocketAddr) -> Result<(Child, SocketAddr), SoakError> {
        self.write_config(number, listen, false)?;
        let mut command = Command::new(&self.program.balancer);
        command.env("ROUTER_CONFIG", self.config_file(number)).env("SHOREWHARF_LOG", "debug");
        command.env("TMPDIR", folder_of(&self.program.folder, number)?);
        let faults = &self.plan.system_faults[number];
        if let Some(library) = self.program.faults.as_ref().filter(|_| !faults.is_empty()) {
            command.env("LD_PRELOAD", library).env("SHOREWHARF_FAULTS", faults);
            command.env("SHOREWHARF_FAULTS_SEED", self.plan.seed.to_string());
        }
        let mut child = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped()).spawn()?;
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let (serves, serving) = channel();
        let lines = self.lines.clone();
        std::thread::spawn(move || {
            for line in stderr.lines().map_while(Result::ok) {
                if line.contains("event=serving") {
                    let at =
                        line.split("listen=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
                    // Nobody waits for it any more where it came too late.
                    let _ = at.map(|at: SocketAddr| serves.send(at));
                }
                if lines.send((number, line)).is_err() {
                    return;
                }
            }
        });
        match serving.recv_timeout(START) {
            Ok(address) => Ok((child, address)),
            Err(_) => {
                // Ended with the run, whatever it does.
                let _ = child.kill();
                let last = self.log().pop().map_or_else(String::new, |(_, line)| line);
                Err(SoakError::NotServing(number, faults.clone(), last))
            }
        }
    }
}

fn folder_of(folder: &Path, number: usize) -> Result<OsString, SoakError> {
    let own = folder.join(format!("tmp{number}"));
    std::fs::create_dir_all(&own)?;
    Ok(own.into_os_string())
}

fn signal(child: &Child, signal: Signal) {
    if let Some(pid) = Pid::from_raw(child.id() as i32) {
        // Fails only where it has ended, which is looked at.
        let _ = kill_process(pid, signal);
    }
}
