//! One balancer's process: started with the platform's environment and limits, signalled, watched, and never left
//! behind.
//!
//! What an ordinary user can limit is limited: descriptors, and memory by the size of what the process may write
//! to (`ulimit -d`) as well as by its resident size, which is looked at now and then. The share of a core is only
//! measured, the file system is not closed, and UDP and the rest of loopback stay open to it.

use std::ffi::OsString;
use std::fs::{self, File, OpenOptions};
use std::io;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};

use rustix::process::{Pid, PidfdFlags, Signal, kill_process, pidfd_open};
use serde::Serialize;
use serde_json::Value;
use thiserror::Error;

/// Why a balancer could not be started or told something.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// A file of its could not be written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// The program does not start.
    #[error("{0} does not start: {1}")]
    Start(PathBuf, io::Error),
    /// There is no port for it.
    #[error("no port at {0}: {1}")]
    Address(SocketAddr, io::Error),
    /// Its end cannot be watched.
    #[error("the process {0} cannot be watched: {1}")]
    Watch(u32, io::Error),
}

/// The program that is tested, and what it is started with.
#[derive(Clone, Debug)]
pub struct Program {
    /// The file.
    pub path: PathBuf,
    /// Its arguments.
    pub args: Vec<OsString>,
    /// Limits of each process.
    pub limits: ProcessLimits,
}

/// Limits of one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// File descriptors.
    pub sockets: u32,
    /// Memory, MB.
    pub memory_mb: f64,
}

/// What a balancer's process has used in its life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// Time on a core, milliseconds.
    pub cpu_ms: f64,
    /// The most memory it has held (resident), MB.
    pub memory_mb: f64,
    /// The most descriptors that it was seen to hold.
    pub descriptors: usize,
}

/// Where one balancer's files are: its configuration and its log, kept across restarts.
#[derive(Clone, Debug)]
pub struct ProcessFiles {
    folder: PathBuf,
    name: String,
}

impl ProcessFiles {
    /// A place for this balancer's files; the folder is made.
    ///
    /// # Errors
    ///
    /// Fails if the files cannot be created.
    pub fn new(folder: &Path, name: &str) -> Result<Self, ProcessError> {
        let desk = ProcessFiles { folder: folder.to_owned(), name: name.to_owned() };
        fs::create_dir_all(desk.scratch()).map_err(|e| ProcessError::File(desk.scratch(), e))?;
        Ok(desk)
    }

    /// The balancer's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    fn scratch(&self) -> PathBuf {
        self.folder.join(format!("{}.tmp", self.name))
    }

    /// The configuration file.
    pub fn config(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// What it has written to its standard output and error.
    pub fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// The last lines of the log, for messages.
    pub fn log_tail(&self, lines: usize) -> String {
        let text = fs::read(self.log()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }

    /// Puts a configuration in the file's place, whole at any time.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn configure(&self, config: &Value) -> Result<(), ProcessError> {
        let next = self.folder.join(format!("{}.next", self.name));
        let write = || {
            fs::write(&next, serde_json::to_vec_pretty(config)?)?;
            fs::rename(&next, self.config())
        };
        write().map_err(|e| ProcessError::File(next.clone(), e))
    }
}

/// A running process. It is killed when it is dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
    pid: Pid,
    end: OwnedFd,
    memory: f64,
    usage: Usage,
}

impl Process {
    /// Starts the program as this balancer.
    ///
    /// # Errors
    ///
    /// Fails if its log cannot be opened, or the process cannot be started or watched.
    pub fn start(
        program: &Program,
        desk: &ProcessFiles,
        listen: SocketAddr,
        discovery: SocketAddr,
    ) -> Result<Self, ProcessError> {
        let log = |path: PathBuf| -> Result<File, ProcessError> {
            OpenOptions::new().create(true).append(true).open(&path).map_err(|e| ProcessError::File(path, e))
        };
        // The shell would say only in the log that there is no such file.
        let path =
            fs::canonicalize(&program.path).map_err(|e| ProcessError::Start(program.path.clone(), e))?;
        let (out, limits) = (log(desk.log())?, program.limits);
        let err = out.try_clone().map_err(|e| ProcessError::File(desk.log(), e))?;
        // The shell is replaced by the program, so that signals reach the program itself.
        // Where the system has the means, it dies with whoever started it, even if that one is killed.
        let script = r#"ulimit -n "$0" && ulimit -d "$1" && shift || exit
            command -v setpriv >/dev/null && exec setpriv --pdeathsig KILL "$@"
            exec "$@""#;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(script);
        command.arg(limits.sockets.to_string()).arg(((limits.memory_mb * 1024.0) as u64).to_string());
        command.arg(&path).args(&program.args);
        command.env("ROUTER_NAME", &desk.name).env("ROUTER_LISTEN", listen.to_string());
        command.env("ROUTER_DISCOVERY", discovery.to_string()).env("ROUTER_CONFIG", desk.config());
        command.env("TMPDIR", desk.scratch());
        command.stdin(Stdio::null()).stdout(out).stderr(err);
        let child = command.spawn().map_err(|e| ProcessError::Start(program.path.clone(), e))?;
        let pid = Pid::from_child(&child);
        match pidfd_open(pid, PidfdFlags::NONBLOCK) {
            Ok(end) => Ok(Process { child, pid, end, memory: limits.memory_mb, usage: Usage::default() }),
            Err(e) => {
                let mut child = child;
                // Nothing else can be done about it here than what is reported.
                let _ = child.kill();
                let _ = child.wait();
                Err(ProcessError::Watch(child.id(), e.into()))
            }
        }
    }

    /// Can be read once the process has ended.
    pub fn end(&self) -> &OwnedFd {
        &self.end
    }

    /// Its number in the system.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        // The number is the child's until it has been waited for; one that has ended already needs no signal.
        let _ = kill_process(self.pid, signal);
    }

    /// SIGTERM: a planned end begins.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// SIGKILL.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// SIGHUP: it reads its configuration again.
    pub fn hang_up(&self) {
        self.signal(Signal::HUP);
    }

    /// SIGSTOP: it stands still, and knows nothing of it.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// SIGCONT: it goes on.
    pub fn go_on(&self) {
        self.signal(Signal::CONT);
    }

    /// How it ended, once it has.
    pub fn exited(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Looks at what it uses; true if that is more memory than it may have.
    pub fn look(&mut self) -> bool {
        let file = |name: &str| fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).ok();
        let field = |text: &str, key: &str| -> Option<f64> {
            let line = text.lines().find_map(|l| l.strip_prefix(key))?;
            line.split_whitespace().next()?.parse().ok()
        };
        // A process that has just ended has none of these files: what was seen last stands.
        let Some(status) = file("status") else { return false };
        let resident = field(&status, "VmRSS:").unwrap_or(0.0) / 1024.0;
        let most = field(&status, "VmHWM:").unwrap_or(0.0) / 1024.0;
        self.usage.memory_mb = self.usage.memory_mb.max(most);
        if let Some(ns) = file("schedstat").and_then(|t| t.split(' ').next()?.parse::<f64>().ok()) {
            self.usage.cpu_ms = ns / 1e6;
        }
        if let Ok(entries) = fs::read_dir(format!("/proc/{}/fd", self.child.id())) {
            self.usage.descriptors = self.usage.descriptors.max(entries.count());
        }
        resident > self.memory
    }

    /// What it used when it was looked at last.
    pub fn usage(&self) -> Usage {
        self.usage
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // One that has ended already can't be killed, and is waited for all the same.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
