//! A balancer's process: started with the platform's environment and limits, signalled, sampled, and killed when dropped.
//!
//! Limits are those that an unprivileged user can set: the number of descriptors, and memory by the size of the data
//! segment (`ulimit -d`) and by the resident size, which is sampled. CPU time is only measured; access to the file
//! system, UDP and other loopback addresses is not restricted.

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

/// Why a balancer could not be started or configured.
#[derive(Debug, Error)]
pub enum ProcessError {
    /// One of its files or folders could not be written.
    #[error("{0}: {1}")]
    File(PathBuf, io::Error),
    /// The program could not be started.
    #[error("{0} cannot be started: {1}")]
    Start(PathBuf, io::Error),
    /// No port could be reserved at its address.
    #[error("no port can be reserved at {0}: {1}")]
    Address(SocketAddr, io::Error),
    /// The exit of its process cannot be watched.
    #[error("cannot watch for the exit of process {0}: {1}")]
    Watch(u32, io::Error),
}

/// The balancer program under test, with its arguments and limits.
#[derive(Clone, Debug)]
pub struct Program {
    /// The path of the executable.
    pub path: PathBuf,
    /// The arguments of all processes.
    pub args: Vec<OsString>,
    /// The limits of each process.
    pub limits: ProcessLimits,
}

/// Limits of one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessLimits {
    /// The largest number of file descriptors.
    pub sockets: u32,
    /// The memory limit in MB.
    pub memory_mb: f64,
}

/// The resources that a balancer's process has used since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Usage {
    /// CPU time in milliseconds.
    pub cpu_ms: f64,
    /// The peak of its resident memory in MB.
    pub memory_mb: f64,
    /// The largest number of open descriptors of all samples.
    pub descriptors: usize,
}

/// The paths of one balancer's configuration and log, which are kept across restarts.
#[derive(Clone, Debug)]
pub struct ProcessFiles {
    folder: PathBuf,
    name: String,
}

impl ProcessFiles {
    /// Returns the paths of a balancer's files in `folder`, and creates its folder for temporary files.
    ///
    /// # Errors
    ///
    /// Fails if the folder cannot be created.
    pub fn new(folder: &Path, name: &str) -> Result<Self, ProcessError> {
        let files = ProcessFiles { folder: folder.to_owned(), name: name.to_owned() };
        fs::create_dir_all(files.temp_dir()).map_err(|e| ProcessError::File(files.temp_dir(), e))?;
        Ok(files)
    }

    /// The balancer's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    fn temp_dir(&self) -> PathBuf {
        self.folder.join(format!("{}.tmp", self.name))
    }

    /// The path of the configuration file.
    pub fn config(&self) -> PathBuf {
        self.folder.join(format!("{}.json", self.name))
    }

    /// The path of the log: the process's standard output and error.
    pub fn log(&self) -> PathBuf {
        self.folder.join(format!("{}.log", self.name))
    }

    /// The last lines of the log, for error messages.
    pub fn log_tail(&self, lines: usize) -> String {
        let text = fs::read(self.log()).unwrap_or_default();
        let text = String::from_utf8_lossy(&text);
        let all: Vec<&str> = text.lines().collect();
        all[all.len().saturating_sub(lines)..].join("\n")
    }

    /// Replaces the configuration file atomically.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be written.
    pub fn write_config(&self, config: &Value) -> Result<(), ProcessError> {
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
    exit_fd: OwnedFd,
    memory_limit_mb: f64,
    usage: Usage,
}

impl Process {
    /// Starts the program as the balancer with these files.
    ///
    /// # Errors
    ///
    /// Fails if its log cannot be opened, or the process cannot be started or watched.
    pub fn start(
        program: &Program,
        files: &ProcessFiles,
        listen: SocketAddr,
        discovery: SocketAddr,
    ) -> Result<Self, ProcessError> {
        let log = |path: PathBuf| -> Result<File, ProcessError> {
            OpenOptions::new().create(true).append(true).open(&path).map_err(|e| ProcessError::File(path, e))
        };
        // Without this check, the shell would report a missing file only in the log.
        let path =
            fs::canonicalize(&program.path).map_err(|e| ProcessError::Start(program.path.clone(), e))?;
        let (out, limits) = (log(files.log())?, program.limits);
        let err = out.try_clone().map_err(|e| ProcessError::File(files.log(), e))?;
        // The shell replaces itself with the program, so that signals reach the program itself. Where `setpriv` is
        // installed, the kernel kills the program when the driver exits, even if the driver is killed.
        let script = r#"ulimit -n "$0" && ulimit -d "$1" && shift || exit
            command -v setpriv >/dev/null && exec setpriv --pdeathsig KILL "$@"
            exec "$@""#;
        let mut command = Command::new("/bin/sh");
        command.arg("-c").arg(script);
        command.arg(limits.sockets.to_string()).arg(((limits.memory_mb * 1024.0) as u64).to_string());
        command.arg(&path).args(&program.args);
        command.env("ROUTER_NAME", &files.name).env("ROUTER_LISTEN", listen.to_string());
        command.env("ROUTER_DISCOVERY", discovery.to_string()).env("ROUTER_CONFIG", files.config());
        command.env("TMPDIR", files.temp_dir());
        command.stdin(Stdio::null()).stdout(out).stderr(err);
        let child = command.spawn().map_err(|e| ProcessError::Start(program.path.clone(), e))?;
        let pid = Pid::from_child(&child);
        match pidfd_open(pid, PidfdFlags::NONBLOCK) {
            Ok(exit_fd) => Ok(Process {
                child,
                pid,
                exit_fd,
                memory_limit_mb: limits.memory_mb,
                usage: Usage::default(),
            }),
            Err(e) => {
                let mut child = child;
                // Errors are ignored: the error that is returned is their cause.
                let _ = child.kill();
                let _ = child.wait();
                Err(ProcessError::Watch(child.id(), e.into()))
            }
        }
    }

    /// A descriptor that becomes readable when the process exits.
    pub fn exit_fd(&self) -> &OwnedFd {
        &self.exit_fd
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    fn signal(&self, signal: Signal) {
        // The id stays the child's until it is waited for. An error is ignored: the process has exited already.
        let _ = kill_process(self.pid, signal);
    }

    /// Sends SIGTERM, which requests a planned exit.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// Sends SIGKILL.
    pub fn kill(&self) {
        self.signal(Signal::KILL);
    }

    /// Sends SIGHUP, which makes the balancer reload its configuration.
    pub fn send_hangup(&self) {
        self.signal(Signal::HUP);
    }

    /// Sends SIGSTOP, which suspends the process without its noticing.
    pub fn stop(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT, which resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// The exit status; none while the process runs.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Samples the process's usage; returns whether its resident memory exceeds the limit.
    pub fn sample_usage(&mut self) -> bool {
        let file = |name: &str| fs::read_to_string(format!("/proc/{}/{name}", self.child.id())).ok();
        let field = |text: &str, key: &str| -> Option<f64> {
            let line = text.lines().find_map(|l| l.strip_prefix(key))?;
            line.split_whitespace().next()?.parse().ok()
        };
        // A process that has just exited no longer has these files; the last sample is kept.
        let Some(status) = file("status") else { return false };
        let resident = field(&status, "VmRSS:").unwrap_or(0.0) / 1024.0;
        let peak = field(&status, "VmHWM:").unwrap_or(0.0) / 1024.0;
        self.usage.memory_mb = self.usage.memory_mb.max(peak);
        if let Some(ns) = file("schedstat").and_then(|t| t.split(' ').next()?.parse::<f64>().ok()) {
            self.usage.cpu_ms = ns / 1e6;
        }
        if let Ok(entries) = fs::read_dir(format!("/proc/{}/fd", self.child.id())) {
            self.usage.descriptors = self.usage.descriptors.max(entries.count());
        }
        resident > self.memory_limit_mb
    }

    /// The usage at the last sample.
    pub fn usage(&self) -> Usage {
        self.usage
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has exited already; it must be waited for in any case.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
