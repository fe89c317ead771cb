//! What is measured: the balancer, the bare relay, or nothing between clients and nodes; as a process on cores of its
//! own, with the figures that the system keeps of it.

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

use super::peers;

/// Descriptors that the program may hold.
pub const SOCKETS: usize = 19_000;

/// How the program is started.
#[derive(Clone, Debug)]
pub struct Start {
    pub program: PathBuf,
    pub args: Vec<OsString>,
    /// The cores that it may use.
    pub cores: Vec<usize>,
    /// Servers listed, all of them the same few nodes.
    pub servers: usize,
    /// Its temporary folder, where it is another one than this program's.
    pub common: Option<PathBuf>,
}

/// A process under load, killed when it is dropped.
#[derive(Debug)]
pub struct Subject {
    child: Option<Child>,
    pub address: Vec<SocketAddr>,
    _folder: Option<tempfile::TempDir>,
}

/// What the system has counted of a process.
#[derive(Clone, Copy, Debug)]
pub struct Used {
    pub cpu: Duration,
    pub memory_kb: u64,
    pub at: Instant,
}

/// The list of so many servers, at the nodes of this port.
pub fn servers(n: usize, port: u16) -> Vec<(String, SocketAddr)> {
    (0..n).map(|i| (format!("s-{i:05}"), peers::node(i, port))).collect()
}

impl Subject {
    /// Clients meet the nodes.
    pub fn none(port: u16) -> Self {
        Subject {
            child: None,
            address: (0..peers::NODES).map(|n| peers::node(n, port)).collect(),
            _folder: None,
        }
    }

    /// The bare relay, which is this program called otherwise.
    pub fn bare(cores: &[usize], port: u16) -> io::Result<Self> {
        let mut command = Command::new(std::env::current_exe()?);
        command.args(["--relay", &port.to_string()]).stdout(Stdio::piped());
        let mut child = spawn(command, cores)?;
        let mut line = String::new();
        BufReader::new(child.stdout.take().expect("piped")).read_line(&mut line)?;
        let address = line.trim().parse().map_err(io::Error::other)?;
        Ok(Subject { child: Some(child), address: vec![address], _folder: None })
    }

    /// The balancer; `change` has the last word on its configuration.
    pub fn balancer(start: &Start, port: u16, change: impl FnOnce(&mut Value)) -> io::Result<Self> {
        let folder = tempfile::tempdir()?;
        let listed = servers(start.servers, port);
        let mut file = config(&[]);
        file["limits"]["sockets"] = json!(SOCKETS);
        // Few servers have to carry all of it.
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
                return Err(io::Error::other("the program ended"));
            }
            if line.contains("event=serving") {
                let at = line.split("listen=").nth(1).and_then(|t| t.split_whitespace().next());
                break at.and_then(|t| t.parse().ok()).ok_or_else(|| io::Error::other("no address"))?;
            }
            eprint!("  {line}");
        };
        thread::spawn(move || {
            // Read to its end: a pipe that nobody reads would hold the program up.
            let lines = log.lines().map_while(Result::ok).filter(|l| !l.contains("server-"));
            lines.enumerate().filter(|(i, _)| *i < 20).for_each(|(_, l)| eprintln!("  {l}"));
        });
        Ok(Subject { child: Some(child), address: vec![address], _folder: Some(folder) })
    }

    /// Clients meet several, in turn; what they use is not told.
    pub fn several(subjects: &[Subject]) -> Self {
        let address = subjects.iter().flat_map(|s| s.address.clone()).collect();
        Subject { child: None, address, _folder: None }
    }

    /// What it has used up to now.
    pub fn used(&self) -> Used {
        let mut used = Used { cpu: Duration::ZERO, memory_kb: 0, at: Instant::now() };
        let Some(child) = &self.child else { return used };
        let process = PathBuf::from(format!("/proc/{}", child.id()));
        for task in fs::read_dir(process.join("task")).into_iter().flatten().flatten() {
            let text = fs::read_to_string(task.path().join("schedstat")).unwrap_or_default();
            let ns = text.split(' ').next().and_then(|t| t.parse().ok()).unwrap_or(0);
            used.cpu += Duration::from_nanos(ns);
        }
        let status = fs::read_to_string(process.join("status")).unwrap_or_default();
        let resident = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
        used.memory_kb = resident.and_then(|t| t.split_whitespace().next()?.parse().ok()).unwrap_or(0);
        used
    }

    /// Tells it to end and waits until it has.
    pub fn ends(&mut self) -> io::Result<()> {
        let Some(child) = &mut self.child else { return Ok(()) };
        let id = rustix::process::Pid::from_child(child);
        rustix::process::kill_process(id, rustix::process::Signal::TERM)?;
        child.wait().map(drop)
    }

    /// The most memory that it has held, in KiB.
    pub fn peak_kb(&self) -> u64 {
        let Some(child) = &self.child else { return 0 };
        let status = fs::read_to_string(format!("/proc/{}/status", child.id())).unwrap_or_default();
        let peak = status.lines().find_map(|l| l.strip_prefix("VmHWM:"));
        peak.and_then(|t| t.split_whitespace().next()?.parse().ok()).unwrap_or(0)
    }
}

impl Drop for Subject {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Starts a process on these cores. The affinity is taken over from the thread that starts it.
fn spawn(mut command: Command, cores: &[usize]) -> io::Result<Child> {
    use rustix::thread::{CpuSet, sched_getaffinity, sched_setaffinity};
    let before = sched_getaffinity(None)?;
    if !cores.is_empty() {
        let mut own = CpuSet::new();
        cores.iter().for_each(|core| own.set(*core));
        sched_setaffinity(None, &own)?;
    }
    let child = command.stdin(Stdio::null()).spawn();
    sched_setaffinity(None, &before)?;
    child
}

/// Discovery that answers one watch at a time: a whole list if it has one, then changes as they are given.
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

    /// Waits for the next watch, up to its first line.
    pub fn watch(&self) -> io::Result<std::net::TcpStream> {
        let wait = self.watches.recv_timeout(Duration::from_secs(20));
        let mut watch = wait.map_err(|_| io::Error::other("the program does not ask for the list"))?;
        watch.set_nodelay(true)?;
        let mut call = [0; 4096];
        let _ = watch.read(&mut call)?;
        watch.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        Ok(watch)
    }
}

/// Tells a watch some text, as one chunk.
pub fn tell(watch: &mut impl Write, text: &str) -> io::Result<()> {
    watch.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
}
