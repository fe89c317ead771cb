//! The balancer under test as a process: started with a configuration, observed through its log, controlled by signals
//! and killed when the test drops it.

use std::cell::{Cell, RefCell};
use std::ffi::OsStr;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, channel};
use std::thread;
use std::time::Instant;

use serde_json::{Value, json};
use shorewharf_protocol::endpoint_list::Endpoint;

use super::{Connection, DiscoveryService, LIMIT, Server, loopback_address, refusing_address};

/// An endpoint of the discovery service's list: in zone `a` and group 1, with weight 1.
pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> Endpoint {
    let (zone, kind) = ("a".to_owned(), "m".to_owned());
    let (name, address, status) = (name.to_owned(), address.to_string(), status.to_owned());
    Endpoint { name, address, zone, kind, group: 1, status, weight: 1.0, since_ms: 0.0 }
}

/// A configuration with these servers as the initial list, which never changes: the registry mode is `push`, and the
/// discovery address refuses connections. It has one class (`chat`) with a deadline of 20 s and one tenant (`acme`),
/// and allows up to five attempts, and probes.
pub fn config(servers: &[(&str, SocketAddr)]) -> Value {
    let known: Vec<Endpoint> = servers.iter().map(|(name, at)| endpoint(name, *at, "Ready")).collect();
    let listen = SocketAddr::from((loopback_address(0), 0));
    json!({"name": "n1", "listen": listen, "discovery": refusing_address(), "seed": "5",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"index": 41, "snapshot": true, "endpoints": known},
        "settings": {
            "classes": [{"name": "chat", "semantics": "read_like", "promise_s": 1.0, "give_up_s": 20.0}],
            "tenants": [{"name": "acme"}], "zones": ["a", "b"], "zone": 0, "me": 0, "group_size": 1,
            "registry_mode": "push", "tick_s": 0.005, "weights": "nominal",
            "specifics": {"groups": true, "message_aim_s": [0.05], "mode": "proxy"},
            "limits": {"cancel": true, "connect_timeout_s": 2.0, "max_attempts": 5, "max_retry_after_s": 1.5,
                "retry_after": true, "may_probe": true},
            "rules": {"ask_within_s": 10.0, "start_capacity": 0.13, "warm_within_s": 22.0, "fall_multiple": 3.0}}})
}

/// The configuration of [`config`], but with a discovery service that the balancer asks within 1 s.
pub fn config_with_discovery(servers: &[(&str, SocketAddr)], discovery: &DiscoveryService) -> Value {
    let mut config = config(servers);
    config["discovery"] = json!(discovery.address());
    config["settings"]["registry_mode"] = json!("ask");
    config["settings"]["rules"]["ask_within_s"] = json!(1.0);
    config
}

/// A temporary folder, removed when it is dropped.
#[derive(Debug)]
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static CREATED: AtomicU64 = AtomicU64::new(0);
        let name = format!("shorewharf-{}-{}", std::process::id(), CREATED.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("the temporary folder should be created");
        Folder(path)
    }
}

impl Default for Folder {
    fn default() -> Self {
        Folder::new()
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        // A folder that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Optional parts of a process's start.
#[derive(Clone, Copy, Debug, Default)]
struct StartOptions<'a> {
    /// Contents of the operator's settings file.
    operator: Option<&'a str>,
    /// Additional environment variables.
    env: &'a [(&'a str, &'a OsStr)],
}

/// A spawned process, which may not serve yet; killed when it is dropped.
struct ChildProcess {
    child: Child,
    folder: Folder,
}

impl ChildProcess {
    fn new(binary: &OsStr, config: &str, options: &StartOptions, shared_folder: &Path) -> Self {
        let folder = Folder::new();
        let file = folder.0.join(CONFIG_FILE);
        std::fs::write(&file, config).expect("the file should be written");
        let mut command = Command::new(binary);
        if let Some(operator) = options.operator {
            let file = folder.0.join("operator.toml");
            std::fs::write(&file, operator).expect("the file should be written");
            command.env("SHOREWHARF_OPERATOR", file);
        }
        options.env.iter().for_each(|(var, value)| {
            command.env(var, value);
        });
        // At the debug level each step of a client's request is logged, so that a test can wait for it.
        let command =
            command.env("ROUTER_CONFIG", &file).env("SHOREWHARF_LOG", "debug").env("TMPDIR", shared_folder);
        let child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
        ChildProcess { child: child.expect("the balancer should start"), folder }
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        // The kill fails if the process has already exited and been waited for.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Name of the configuration file in the process's folder.
const CONFIG_FILE: &str = "config.json";

/// Starts the balancer with a configuration that it must reject; returns its exit code and its log.
///
/// # Panics
///
/// Panics if the process cannot be started, or if its log is not UTF-8.
pub fn run_to_exit(binary: impl AsRef<OsStr>, config: &Value) -> (Option<i32>, String) {
    run_to_exit_with_env(binary, config, &[])
}

/// Does the same as [`run_to_exit`], with additional environment variables.
///
/// # Panics
///
/// Panics if the process cannot be started, or if its log is not UTF-8.
pub fn run_to_exit_with_env(
    binary: impl AsRef<OsStr>,
    config: &Value,
    env: &[(&str, &OsStr)],
) -> (Option<i32>, String) {
    let shared_folder = Folder::new();
    let mut process = ChildProcess::new(
        binary.as_ref(),
        &config.to_string(),
        &StartOptions { operator: None, env },
        &shared_folder.0,
    );
    let stderr = process.child.stderr.take().expect("stderr should be piped");
    let log = std::io::read_to_string(stderr).expect("the log should be UTF-8");
    (process.child.wait().expect("the process should exit").code(), log)
}

/// A running balancer. It is killed by its process id when it is dropped, whether the test has passed or not.
pub struct BalancerProcess {
    process: ChildProcess,
    /// Connection id of the next client.
    next_id: Cell<u64>,
    log: Receiver<String>,
    /// Log lines received so far.
    read_lines: RefCell<Vec<String>>,
    address: SocketAddr,
    operator_address: Option<SocketAddr>,
    /// The process's `$TMPDIR`.
    shared_folder: Rc<Folder>,
}

impl BalancerProcess {
    /// Starts the balancer with a configuration and waits until it serves.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started, or if it does not serve within [`LIMIT`]. The other functions that
    /// start a process do the same.
    #[track_caller]
    pub fn start(binary: impl AsRef<OsStr>, config: &Value) -> Self {
        BalancerProcess::spawn(binary.as_ref(), config, StartOptions::default(), Rc::default())
    }

    /// Does the same as [`BalancerProcess::start`], with a settings file of the operator's.
    #[track_caller]
    pub fn start_with_operator(binary: impl AsRef<OsStr>, config: &Value, operator: &str) -> Self {
        BalancerProcess::spawn(
            binary.as_ref(),
            config,
            StartOptions { operator: Some(operator), env: &[] },
            Rc::default(),
        )
    }

    /// Does the same as [`BalancerProcess::start`], with additional environment variables.
    #[track_caller]
    pub fn start_with_env(binary: impl AsRef<OsStr>, config: &Value, env: &[(&str, &OsStr)]) -> Self {
        BalancerProcess::spawn(binary.as_ref(), config, StartOptions { operator: None, env }, Rc::default())
    }

    /// Does the same as [`BalancerProcess::start`], with a settings file of the operator's and additional environment
    /// variables.
    #[track_caller]
    pub fn start_with_operator_and_env(
        binary: impl AsRef<OsStr>,
        config: &Value,
        operator: &str,
        env: &[(&str, &OsStr)],
    ) -> Self {
        BalancerProcess::spawn(
            binary.as_ref(),
            config,
            StartOptions { operator: Some(operator), env },
            Rc::default(),
        )
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.process.child.id()
    }

    /// Starts another process of the same balancer, with the same `$TMPDIR`, and waits until it serves.
    #[track_caller]
    pub fn start_sibling(&self, binary: impl AsRef<OsStr>, config: &Value) -> Self {
        BalancerProcess::spawn(
            binary.as_ref(),
            config,
            StartOptions::default(),
            Rc::clone(&self.shared_folder),
        )
    }

    /// Does the same as [`BalancerProcess::start_sibling`], with a settings file of the operator's.
    #[track_caller]
    pub fn start_sibling_with_operator(
        &self,
        binary: impl AsRef<OsStr>,
        config: &Value,
        operator: &str,
    ) -> Self {
        BalancerProcess::spawn(
            binary.as_ref(),
            config,
            StartOptions { operator: Some(operator), env: &[] },
            Rc::clone(&self.shared_folder),
        )
    }

    /// The `$TMPDIR` of this process and of the others of the same balancer.
    pub fn shared_folder(&self) -> &Path {
        &self.shared_folder.0
    }

    #[track_caller]
    fn spawn(binary: &OsStr, config: &Value, options: StartOptions, shared_folder: Rc<Folder>) -> Self {
        let mut process = ChildProcess::new(binary, &config.to_string(), &options, &shared_folder.0);
        let stderr = BufReader::new(process.child.stderr.take().expect("stderr should be piped"));
        let (sender, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let (next_id, read_lines) = (Cell::new(0x9b1f), RefCell::default());
        let mut balancer = BalancerProcess {
            process,
            next_id,
            log,
            read_lines,
            address: refusing_address(),
            operator_address: None,
            shared_folder,
        };
        let line = balancer.wait_for_log("event=serving");
        let field = |key: &str| line.split(key).nth(1)?.split(' ').next()?.parse().ok();
        balancer.address = field("listen=").expect("the log line should have an address after listen=");
        balancer.operator_address = field("operator=");
        balancer
    }

    /// The address that the balancer serves clients at.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Connects to the operator address and sends `bytes` unchanged.
    ///
    /// # Panics
    ///
    /// Panics if no operator address is configured, or if it refuses the connection.
    #[track_caller]
    pub fn connect_operator(&self, bytes: &str) -> Connection {
        let mut operator =
            Connection::connect(self.operator_address.expect("an operator address should be configured"));
        operator.send_bytes(bytes.as_bytes());
        operator
    }

    /// Sends a command to the operator address and returns all lines of the answer.
    ///
    /// # Panics
    ///
    /// Panics if no operator address is configured, or if the answer does not end with a FIN.
    #[track_caller]
    pub fn operator_command(&self, line: &str) -> Vec<String> {
        self.connect_operator(&format!("{line}\r\n")).receive_until_fin()
    }

    /// Reads a metric through the operator command `telemetry`.
    ///
    /// # Panics
    ///
    /// Panics if the answer is incomplete or does not have the metric.
    #[track_caller]
    pub fn metric(&self, name: &str) -> u64 {
        let lines = self.operator_command("telemetry");
        assert_eq!(lines.last().map(String::as_str), Some("END"), "{lines:?}");
        let value = lines.iter().find_map(|l| l.strip_prefix(&format!("svc.{name}:"))?.split('|').next());
        value
            .and_then(|v| v.parse().ok())
            .unwrap_or_else(|| panic!("expected the metric {name} in {lines:?}"))
    }

    /// Waits for the next log line that contains `text`; lines before it are skipped, but kept for
    /// [`BalancerProcess::find_in_log`].
    ///
    /// # Panics
    ///
    /// Panics if no such line arrives within [`LIMIT`].
    #[track_caller]
    pub fn wait_for_log(&self, text: &str) -> String {
        // The limit is on the whole wait, so that a balancer that logs continuously does not extend it.
        let deadline = Instant::now() + LIMIT;
        loop {
            let left = deadline.saturating_duration_since(Instant::now());
            let Ok(line) = self.log.recv_timeout(left) else {
                panic!("expected a log line that contains '{text}'");
            };
            self.read_lines.borrow_mut().push(line.clone());
            if line.contains(text) {
                return line;
            }
        }
    }

    /// The first log line received so far that contains `text`.
    pub fn find_in_log(&self, text: &str) -> Option<String> {
        self.read_lines.borrow().iter().find(|line| line.contains(text)).cloned()
    }

    /// Kills the process with SIGKILL, as a failure of its machine would, and waits until it has exited.
    pub fn kill(mut self) {
        // The signal fails if the process has already exited, which `wait` detects by the end of its log.
        let _ = self.process.child.kill();
        self.wait();
    }

    /// Connects as a client that has sent nothing yet.
    #[track_caller]
    pub fn connect(&self) -> Connection {
        Connection::connect(self.address)
    }

    /// Connects as a client and sends its first line with a new connection id, counted up from 9b1f. `fields` is
    /// appended to the line.
    #[track_caller]
    pub fn open(&self, fields: &str) -> Connection {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open_with_id(&format!("{id:x}"), fields)
    }

    /// Does the same as [`BalancerProcess::open`], with the connection id `id`.
    #[track_caller]
    pub fn open_with_id(&self, id: &str, fields: &str) -> Connection {
        let mut client = self.connect();
        client.send_line(&format!("OPEN {id} 7f3a c=chat,t=acme,d=20000{fields}"));
        client
    }

    /// Establishes a connection through the balancer; see [`Server::establish`].
    #[track_caller]
    pub fn establish(&self, server: &Server) -> (Connection, Connection) {
        server.establish(self.open(""))
    }

    /// Does the same as [`BalancerProcess::establish`], with the connection id `id`.
    #[track_caller]
    pub fn establish_with_id(&self, server: &Server, id: &str) -> (Connection, Connection) {
        server.establish(self.open_with_id(id, ""))
    }

    /// Waits until the balancer has processed everything sent to it before. It processes events in order, so the answer
    /// to a `PING` shows that.
    #[track_caller]
    pub fn sync(&self) {
        let mut front_end = self.connect();
        front_end.send_line("PING");
        assert_eq!(front_end.receive_line(), "PONG");
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Stops the process with SIGSTOP and waits until it has stopped. Data sent to it meanwhile stays in the kernel's
    /// buffers.
    pub fn pause(&self) {
        self.signal("-STOP");
        // The signal takes effect with a short delay.
        let stat = format!("/proc/{}/stat", self.process.child.id());
        let is_stopped = || {
            std::fs::read_to_string(&stat)
                .is_ok_and(|s| s.rsplit(") ").next().is_some_and(|s| s.starts_with('T')))
        };
        let deadline = Instant::now() + LIMIT;
        while !is_stopped() {
            assert!(Instant::now() < deadline, "the process should stop after SIGSTOP");
            thread::yield_now();
        }
    }

    /// Continues a stopped process with SIGCONT.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration file and sends SIGHUP, on which the balancer reloads it.
    pub fn reconfigure(&self, text: &str) {
        let file = self.process.folder.0.join(CONFIG_FILE);
        let next = file.with_extension("next");
        std::fs::write(&next, text).expect("the file should be written");
        std::fs::rename(&next, &file).expect("the file should be renamed within its folder");
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.process.child.id().to_string();
        assert!(
            Command::new("kill")
                .args([signal, &pid])
                .status()
                .expect("the kill command should run")
                .success()
        );
    }

    /// Waits until the process has exited, which the end of its log shows.
    ///
    /// # Panics
    ///
    /// Panics if it does not exit and logs nothing for [`LIMIT`].
    #[track_caller]
    pub fn wait(&mut self) -> ExitStatus {
        loop {
            match self.log.recv_timeout(LIMIT) {
                Ok(line) => self.read_lines.borrow_mut().push(line),
                Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) => panic!("the process should exit, but is still running"),
            }
        }
        self.process.child.wait().expect("the process should exit")
    }

    /// Whether the process is still running.
    pub fn is_running(&mut self) -> bool {
        self.process.child.try_wait().expect("the state of the process should be readable").is_none()
    }
}

/// Prints the balancer's log if the test has failed.
impl Drop for BalancerProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            let lines = self.read_lines.take().into_iter().chain(self.log.try_iter());
            lines.for_each(|line| eprintln!("  balancer: {line}"));
        }
    }
}
