//! The target of a measurement: the balancer or the bare relay, as a process on cores of its own with the resource usage
//! that the system reports for it, or the nodes themselves.

use std::ffi::OsString;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use shorewharf_emulator::standin::{config, endpoint};

use super::nodes;

/// The descriptor limit of the program.
pub const SOCKETS: usize = 19_000;

/// How the program is started.
#[derive(Clone, Debug)]
pub struct Start {
    pub program: PathBuf,
    pub args: Vec<OsString>,
    /// The cores that the program may use.
    pub cores: Vec<usize>,
    /// Length of the endpoint list. All its servers are the same few nodes.
    pub servers: usize,
    /// The program's temporary folder; `None` for that of the benchmark. Processes of one balancer must share it.
    pub common: Option<PathBuf>,
}

/// The target of a measurement. Its process is killed when it is dropped.
#[derive(Debug)]
pub struct Target {
    child: Option<Child>,
    /// Addresses that clients connect to, in turn.
    pub addresses: Vec<SocketAddr>,
    _folder: Option<tempfile::TempDir>,
}

/// Resource usage of a process up to a time, as the system reports it.
#[derive(Clone, Copy, Debug)]
pub struct Usage {
    pub cpu: Duration,
    pub memory_kb: u64,
    pub measured_at: Instant,
}

/// Names and addresses of `n` servers at the nodes on this port.
pub fn servers(n: usize, port: u16) -> Vec<(String, SocketAddr)> {
    (0..n).map(|i| (format!("s-{i:05}"), nodes::node(i, port))).collect()
}

impl Target {
    /// No process: clients connect to the nodes.
    pub fn nodes(port: u16) -> Self {
        Target {
            child: None,
            addresses: (0..nodes::NODES).map(|n| nodes::node(n, port)).collect(),
            _folder: None,
        }
    }

    /// The bare relay, which is this program with an option.
    pub fn bare_relay(cores: &[usize], port: u16) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["--relay", &port.to_string()]).stdout(Stdio::piped());
        let mut child = spawn(command, cores)?;
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line)?;
        let address = line.trim().parse().map_err(io::Error::other)?;
        Ok(Target { child: Some(child), addresses: vec![address], _folder: None })
    }

    /// The balancer; `change` may modify its configuration.
    pub fn balancer(start: &Start, port: u16, change: impl FnOnce(&mut Value)) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let listed = servers(start.servers, port);
        let mut file = config(&[]);
        file["limits"]["sockets"] = json!(SOCKETS);
        // The weights are high because few servers have to take all the load.
        let ready = |(name, at): &(String, SocketAddr)| {
            let mut e = json!(endpoint(name, *at, "Ready"));
            e["weight"] = json!(1e6);
            e
        };
        file["known"]["endpoints"] = listed.iter().map(ready).collect();
        change(&mut file);
        let path = folder.path().join("config.json");
        fs::write(&path, file.to_string())?;
        let mut command = Command::new(&start.program);
        command.args(&start.args).env("ROUTER_CONFIG", &path).stderr(Stdio::piped());
        command.envs(start.common.iter().map(|common| ("TMPDIR", common)));
        let mut child = spawn(command, &start.cores)?;
        let mut log = BufReader::new(child.stderr.take().expect("piped"));
        let address = loop {
            let mut line = String::new();
            if log.read_line(&mut line)? == 0 {
                return Err(io::Error::other("the program ended before it served"));
            }
            if line.contains("event=serving") {
                let address = line.split("listen=").nth(1).and_then(|t| t.split_whitespace().next());
                break address
                    .and_then(|t| t.parse().ok())
                    .ok_or_else(|| io::Error::other(format!("no address in the log line: {line}")))?;
            }
            eprint!("  {line}");
        };
        thread::spawn(move || {
            // The log is read to its end: a full pipe would block the program.
            let lines = log.lines().map_while(Result::ok).filter(|l| !l.contains("server-"));
            lines.enumerate().filter(|(i, _)| *i < 20).for_each(|(_, l)| eprintln!("  {l}"));
        });
        Ok(Target { child: Some(child), addresses: vec![address], _folder: Some(folder) })
    }

    /// Several targets, to which clients connect in turn. Their usage is not measured.
    pub fn combined(targets: &[Target]) -> Self {
        let addresses = targets.iter().flat_map(|t| t.addresses.clone()).collect();
        Target { child: None, addresses, _folder: None }
    }

    /// The usage of the process up to now.
    pub fn usage(&self) -> Usage {
        let mut usage = Usage { cpu: Duration::ZERO, memory_kb: 0, measured_at: Instant::now() };
        let Some(child) = &self.child else { return usage };
        let process = PathBuf::from(format!("/proc/{}", child.id()));
        for task in fs::read_dir(process.join("task")).into_iter().flatten().flatten() {
            let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            let ns = text.split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0);
            usage.cpu += Duration::from_nanos(ns);
        }
        let status = fs::read_to_string(process.join("status")).unwrap_or_default();
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        usage.memory_kb = resident.and_then(|t| t.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        usage
    }

    /// Sends SIGTERM and waits until the process has exited.
    pub fn terminate(&mut self) -> io::Result<()> {
        let Some(child) = &mut self.child else { return Ok(()) };
        let id = rustix::process::Pid::from_child(child);
        rustix::process::kill_process(id, rustix::process::Signal::TERM)?;
        child.wait().map(drop)
    }

    /// The peak resident memory of the process, in KiB.
    pub fn peak_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        peak.and_then(|t| t.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Target {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts a process on these cores, or on those of this thread if none are given. The process inherits the affinity of the
/// thread that starts it.
fn spawn(mut command: Command, cores: &[usize]) -> io::Result<Child> {
    use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
    let before = sched_getaffinity(None)?;
    if !cores.is_empty() {
        let mut allowed = CpuSet::new();
        cores.iter().for_each(|core| allowed.set(*core));
        sched_setaffinity(None, &allowed)?;
    }
    let child = command.stdin(Stdio::null()).spawn();
    sched_setaffinity(None, &before)?;
    child
}

/// A discovery service whose watches are answered by the benchmark.
#[derive(Debug)]
pub struct Discovery {
    pub address: SocketAddr,
    watches: Receiver<std::net::TcpStream>,
}

impl Discovery {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        let address = listener.local_addr()?;
        let (sender, watches) = channel();
        thread::spawn(move || listener.incoming().flatten().try_for_each(|s| sender.send(s)));
        Ok(Discovery { address, watches })
    }

    /// Waits for the next watch, reads its request and writes the head of the response.
    pub fn watch(&self) -> io::Result<std::net::TcpStream> {
        let received = self.watches.recv_timeout(Duration::from_secs(20));
        let mut watch =
            received.map_err(|_| io::Error::other("the program requests no endpoint list within 20 s"))?;
        watch.set_nodelay(true)?;
        let mut request = [0; 4096];
        let _ = watch.read(&mut request)?;
        watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        Ok(watch)
    }
}

/// Writes text to a watch as one chunk.
pub fn write_chunk(watch: &mut impl Write, text: &str) -> io::Result<()> {
    watch.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
