//! The program under test: started with a configuration, heard through its log, told by signals, and killed when the
//! test drops it.

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

/// One server as discovery lists it.
pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> Endpoint {
    let (zone, kind) = ("a".to_owned(), "m".to_owned());
    let (name, address, status) = (name.to_owned(), address.to_string(), status.to_owned());
    Endpoint { name, address, zone, kind, group: 1, status, weight: 1.0, since_ms: 0.0 }
}

/// A configuration with these servers, which are all that the program will ever know of: it asks nobody. One class
/// (`chat`) whose clients wait 20 s, one tenant (`acme`), up to five attempts, probes allowed.
pub fn config(servers: &[(&str, SocketAddr)]) -> Value {
    let known: Vec<Endpoint> = servers.iter().map(|(name, at)| endpoint(name, *at, "Ready")).collect();
    json!({"name": "n1", "listen": SocketAddr::from((loopback_address(0), 0)), "discovery": refusing_address(), "seed": "5",
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

/// The same, with a director that is asked soon.
pub fn config_with_discovery(servers: &[(&str, SocketAddr)], discovery: &DiscoveryService) -> Value {
    let mut config = config(servers);
    config["discovery"] = json!(discovery.address());
    config["settings"]["registry_mode"] = json!("ask");
    config["settings"]["rules"]["ask_within_s"] = json!(1.0);
    config
}

/// A folder of a test's own, gone with it.
#[derive(Debug)]
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static MADE: AtomicU64 = AtomicU64::new(0);
        let name = format!("shorewharf-{}-{}", std::process::id(), MADE.fetch_add(1, Ordering::Relaxed));
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).expect("a folder");
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
        // What is left over harms nobody.
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// What else a program is started with.
#[derive(Clone, Copy, Debug, Default)]
struct More<'a> {
    operator: Option<&'a str>,
    env: &'a [(&'a str, &'a OsStr)],
}

/// A program that has been started and may have failed to.
struct Started {
    child: Child,
    folder: Folder,
}

impl Started {
    fn new(binary: &OsStr, config: &str, more: &More, common: &Path) -> Self {
        let folder = Folder::new();
        let file = folder.0.join(CONFIG);
        std::fs::write(&file, config).expect("a file");
        let mut command = Command::new(binary);
        if let Some(operator) = more.operator {
            let file = folder.0.join("operator.toml");
            std::fs::write(&file, operator).expect("a file");
            command.env("SHOREWHARF_OPERATOR", file);
        }
        more.env.iter().for_each(|(var, value)| {
            command.env(var, value);
        });
        // At this level each step of a client's is an event that a test can wait for.
        let command =
            command.env("ROUTER_CONFIG", &file).env("SHOREWHARF_LOG", "debug").env("TMPDIR", common);
        let child = command.stdin(Stdio::null()).stderr(Stdio::piped()).spawn();
        Started { child: child.expect("the program starts"), folder }
    }
}

impl Drop for Started {
    fn drop(&mut self) {
        // Already over where the test awaited its end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The configuration's file in its folder.
const CONFIG: &str = "config.json";

/// Starts a program on a configuration that it must refuse: its exit code and its log.
pub fn run_to_exit(binary: impl AsRef<OsStr>, config: &Value) -> (Option<i32>, String) {
    run_to_exit_with_env(binary, config, &[])
}

/// The same with variables of its environment.
pub fn run_to_exit_with_env(
    binary: impl AsRef<OsStr>,
    config: &Value,
    env: &[(&str, &OsStr)],
) -> (Option<i32>, String) {
    let common = Folder::new();
    let mut started =
        Started::new(binary.as_ref(), &config.to_string(), &More { operator: None, env }, &common.0);
    let stderr = started.child.stderr.take().expect("piped");
    let log = std::io::read_to_string(stderr).expect("text");
    (started.child.wait().expect("it ends").code(), log)
}

/// The program, killed by its own id when it is dropped, whether the test has passed or not.
pub struct BalancerProcess {
    started: Started,
    next_id: Cell<u64>,
    log: Receiver<String>,
    heard: RefCell<Vec<String>>,
    address: SocketAddr,
    operators: Option<SocketAddr>,
    common: Rc<Folder>,
}

impl BalancerProcess {
    /// Starts a program on a configuration and waits until it serves.
    #[track_caller]
    pub fn start(binary: impl AsRef<OsStr>, config: &Value) -> Self {
        BalancerProcess::spawn(binary.as_ref(), config, More::default(), Rc::default())
    }

    /// The same with a file of the operator's own.
    #[track_caller]
    pub fn start_with_operator(binary: impl AsRef<OsStr>, config: &Value, operator: &str) -> Self {
        BalancerProcess::spawn(
            binary.as_ref(),
            config,
            More { operator: Some(operator), env: &[] },
            Rc::default(),
        )
    }

    /// The same with variables of its environment.
    #[track_caller]
    pub fn start_with_env(binary: impl AsRef<OsStr>, config: &Value, env: &[(&str, &OsStr)]) -> Self {
        BalancerProcess::spawn(binary.as_ref(), config, More { operator: None, env }, Rc::default())
    }

    /// The same with both.
    #[track_caller]
    pub fn start_with_operator_and_env(
        binary: impl AsRef<OsStr>,
        config: &Value,
        operator: &str,
        env: &[(&str, &OsStr)],
    ) -> Self {
        BalancerProcess::spawn(binary.as_ref(), config, More { operator: Some(operator), env }, Rc::default())
    }

    /// Its number in the system.
    pub fn pid(&self) -> u32 {
        self.started.child.id()
    }

    /// Another process of the same balancer: what is in this one's `$TMPDIR` is in its too.
    #[track_caller]
    pub fn start_sibling(&self, binary: impl AsRef<OsStr>, config: &Value) -> Self {
        BalancerProcess::spawn(binary.as_ref(), config, More::default(), Rc::clone(&self.common))
    }

    /// The same with a file of the operator's own.
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
            More { operator: Some(operator), env: &[] },
            Rc::clone(&self.common),
        )
    }

    /// The folder that it has in common with other processes of the same balancer.
    pub fn shared_folder(&self) -> &Path {
        &self.common.0
    }

    #[track_caller]
    fn spawn(binary: &OsStr, config: &Value, more: More, common: Rc<Folder>) -> Self {
        let mut started = Started::new(binary, &config.to_string(), &more, &common.0);
        let stderr = BufReader::new(started.child.stderr.take().expect("piped"));
        let (sender, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let (next_id, heard) = (Cell::new(0x9b1f), RefCell::default());
        let mut program = BalancerProcess {
            started,
            next_id,
            log,
            heard,
            address: refusing_address(),
            operators: None,
            common,
        };
        let line = program.wait_for_log("event=serving");
        let at = |key: &str| line.split(key).nth(1)?.split(' ').next()?.parse().ok();
        program.address = at("listen=").expect("an address");
        program.operators = at("operator=");
        program
    }

    /// Where it serves clients.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// An operator that has said this, as it is.
    #[track_caller]
    pub fn connect_operator(&self, words: &str) -> Connection {
        let mut operator = Connection::connect(self.operators.expect("a second address"));
        operator.send_bytes(words.as_bytes());
        operator
    }

    /// What an operator's call is answered, all of it.
    #[track_caller]
    pub fn operator_command(&self, line: &str) -> Vec<String> {
        self.connect_operator(&format!("{line}\r\n")).receive_until_fin()
    }

    /// One of the figures that operators read.
    #[track_caller]
    pub fn metric(&self, name: &str) -> u64 {
        let lines = self.operator_command("telemetry");
        assert_eq!(lines.last().map(String::as_str), Some("END"), "{lines:?}");
        let value = lines.iter().find_map(|l| l.strip_prefix(&format!("svc.{name}:"))?.split('|').next());
        value.and_then(|v| v.parse().ok()).unwrap_or_else(|| panic!("no {name} in {lines:?}"))
    }

    /// Waits for the next log line that has these words; those before it are passed over.
    #[track_caller]
    pub fn wait_for_log(&self, words: &str) -> String {
        // In all: a program that logs all the time must not put it off for ever.
        let by = Instant::now() + LIMIT;
        loop {
            let left = by.saturating_duration_since(Instant::now());
            let Ok(line) = self.log.recv_timeout(left) else {
                panic!("no log line has '{words}'");
            };
            self.heard.borrow_mut().push(line.clone());
            if line.contains(words) {
                return line;
            }
        }
    }

    /// A log line that was passed over so far and has these words.
    pub fn find_in_log(&self, words: &str) -> Option<String> {
        self.heard.borrow().iter().find(|line| line.contains(words)).cloned()
    }

    /// Ends it as a machine's failure would, and waits until it has.
    pub fn kill(mut self) {
        // Its end shows in its log; one that has ended by itself needs no signal.
        let _ = self.started.child.kill();
        self.wait();
    }

    /// A client that has connected and said nothing yet.
    #[track_caller]
    pub fn connect(&self) -> Connection {
        Connection::connect(self.address)
    }

    /// A client that has said its first line, under an id of its own: 9b1f and up.
    #[track_caller]
    pub fn open(&self, more: &str) -> Connection {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open_with_id(&format!("{id:x}"), more)
    }

    /// The same under this id.
    #[track_caller]
    pub fn open_with_id(&self, id: &str, more: &str) -> Connection {
        let mut client = self.connect();
        client.send_line(&format!("OPEN {id} 7f3a c=chat,t=acme,d=20000{more}"));
        client
    }

    /// A standing connection: client and node.
    #[track_caller]
    pub fn establish(&self, node: &Server) -> (Connection, Connection) {
        node.establish(self.open(""))
    }

    /// The same under this id.
    #[track_caller]
    pub fn establish_with_id(&self, node: &Server, id: &str) -> (Connection, Connection) {
        node.establish(self.open_with_id(id, ""))
    }

    /// Waits until the program has taken in all that was sent to it before: it answers in turn.
    #[track_caller]
    pub fn sync(&self) {
        let mut front = self.connect();
        front.send_line("PING");
        assert_eq!(front.receive_line(), "PONG");
    }

    /// Tells it to end.
    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Has it stand still: what comes to it meanwhile waits in the system.
    pub fn pause(&self) {
        self.signal("-STOP");
        // A signal is on its way for a moment.
        let stat = format!("/proc/{}/stat", self.started.child.id());
        let stands = || {
            std::fs::read_to_string(&stat)
                .is_ok_and(|s| s.rsplit(") ").next().is_some_and(|s| s.starts_with('T')))
        };
        let by = Instant::now() + LIMIT;
        while !stands() {
            assert!(Instant::now() < by, "the program does not stand still");
            thread::yield_now();
        }
    }

    /// Has it go on.
    pub fn resume(&self) {
        self.signal("-CONT");
    }

    /// Replaces the configuration file and has it read again.
    pub fn reconfigure(&self, text: &str) {
        let file = self.started.folder.0.join(CONFIG);
        let next = file.with_extension("next");
        std::fs::write(&next, text).expect("a file");
        std::fs::rename(&next, &file).expect("the same folder");
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.started.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    /// Waits for its end, which its log shows.
    #[track_caller]
    pub fn wait(&mut self) -> ExitStatus {
        loop {
            match self.log.recv_timeout(LIMIT) {
                Ok(line) => self.heard.borrow_mut().push(line),
                Err(RecvTimeoutError::Disconnected) => break,
                Err(RecvTimeoutError::Timeout) => panic!("the program does not end"),
            }
        }
        self.started.child.wait().expect("it ends")
    }

    /// Whether it has not ended.
    pub fn is_running(&mut self) -> bool {
        self.started.child.try_wait().expect("it can be asked").is_none()
    }
}

/// What the program wrote is shown with the failure of its test.
impl Drop for BalancerProcess {
    fn drop(&mut self) {
        if thread::panicking() {
            let lines = self.heard.take().into_iter().chain(self.log.try_iter());
            lines.for_each(|line| eprintln!("  program: {line}"));
        }
    }
}
