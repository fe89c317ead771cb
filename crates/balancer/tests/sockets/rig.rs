//! The built program, and its peers on loopback ports that the system picks. Everything waits on an event,
//! with a limit that only a failure reaches.

use std::cell::Cell;
use std::io::{BufRead, BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::mpsc::{Receiver, channel};
use std::thread;
use std::time::Duration;

use serde_json::{Value, json};

/// No event takes this long in a program that works.
pub const LIMIT: Duration = Duration::from_secs(30);

/// What comes next from a peer.
#[derive(Clone, Debug, PartialEq)]
pub enum Heard {
    Line(String),
    Fin,
    Reset,
}

/// One end of a connection with the program.
#[derive(Debug)]
pub struct Peer(BufReader<TcpStream>);

impl Peer {
    pub fn of(stream: TcpStream) -> Self {
        stream.set_read_timeout(Some(LIMIT)).expect("a time-out");
        stream.set_nodelay(true).expect("no delay");
        Peer(BufReader::new(stream))
    }

    pub fn say(&mut self, line: &str) {
        self.put(format!("{line}\r\n").as_bytes());
    }

    pub fn put(&mut self, bytes: &[u8]) {
        self.0.get_mut().write_all(bytes).expect("the program reads");
    }

    pub fn hear(&mut self) -> Heard {
        let mut bytes = Vec::new();
        match self.0.read_until(b'\n', &mut bytes) {
            Ok(0) => Heard::Fin,
            Ok(_) => Heard::Line(String::from_utf8(bytes).expect("text").trim_end_matches("\r\n").to_owned()),
            Err(e) if e.kind() == ErrorKind::ConnectionReset => Heard::Reset,
            Err(e) => panic!("nothing was heard: {e}"),
        }
    }

    pub fn line(&mut self) -> String {
        match self.hear() {
            Heard::Line(line) => line,
            other => panic!("a line was expected, not {other:?}"),
        }
    }

    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    pub fn read_exactly(&mut self, n: usize) -> Vec<u8> {
        let mut bytes = vec![0; n];
        self.0.read_exact(&mut bytes).expect("as much as was sent");
        bytes
    }

    pub fn finish(&self) {
        self.stream().shutdown(Shutdown::Write).expect("open");
    }

    pub fn reset(self) {
        let socket = socket2::SockRef::from(self.0.get_ref());
        socket.set_linger(Some(Duration::ZERO)).expect("linger");
    }
}

/// A server, or discovery: whoever the program connects to.
pub struct Host(pub TcpListener);

impl Host {
    pub fn new() -> Self {
        Host(TcpListener::bind("127.0.0.1:0").expect("a port"))
    }

    pub fn address(&self) -> SocketAddr {
        self.0.local_addr().expect("bound")
    }

    /// The next connection.
    pub fn accept(&self) -> Peer {
        let (sender, receiver) = channel();
        let listener = self.0.try_clone().expect("a second handle");
        thread::spawn(move || sender.send(listener.accept().expect("a connection").0));
        Peer::of(receiver.recv_timeout(LIMIT).expect("the program connects"))
    }

    /// Whether a connection waits to be accepted.
    pub fn is_called(&self) -> bool {
        self.0.set_nonblocking(true).expect("a flag");
        let called = self.0.accept().is_ok();
        self.0.set_nonblocking(false).expect("a flag");
        called
    }
}

/// A server to which connections don't come up: its queue is full. Emptied, it is like any other.
pub fn full_host() -> (Host, Vec<TcpStream>) {
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).expect("a socket");
    socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    socket.listen(1).expect("a queue");
    let host = Host(socket.into());
    let mut queue = Vec::new();
    while let Ok(stream) = TcpStream::connect_timeout(&host.address(), Duration::from_millis(500)) {
        queue.push(stream);
        assert!(queue.len() < 64, "the queue has no end");
    }
    (host, queue)
}

/// An address at which nobody listens.
pub fn nobody() -> SocketAddr {
    Host::new().address()
}

pub fn endpoint(name: &str, address: SocketAddr, status: &str) -> Value {
    json!({"name": name, "address": address.to_string(), "zone": "a", "type": "m", "group": 1,
        "status": status, "weight": 1.0, "since_ms": 0})
}

/// A configuration with these servers, which are all that the program will ever know of: it asks nobody.
pub fn config(servers: &[(&str, SocketAddr)]) -> Value {
    let known: Vec<Value> = servers.iter().map(|(name, at)| endpoint(name, *at, "Ready")).collect();
    json!({"name": "n1", "listen": "127.0.0.1:0", "discovery": nobody().to_string(), "seed": "5",
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
pub fn asking(servers: &[(&str, SocketAddr)], director: &Host) -> Value {
    let mut config = config(servers);
    config["discovery"] = json!(director.address().to_string());
    config["settings"]["registry_mode"] = json!("ask");
    config["settings"]["rules"]["ask_within_s"] = json!(1.0);
    config
}

/// The program, ended with the test.
pub struct Program {
    child: Child,
    file: PathBuf,
    next_id: Cell<u64>,
    log: Receiver<String>,
    pub address: SocketAddr,
}

/// A file with this text, of this test's own.
pub fn file_of(text: &str) -> PathBuf {
    let dir =
        std::env::temp_dir().join(format!("shorewharf-{}-{:?}", std::process::id(), thread::current().id()));
    std::fs::create_dir_all(&dir).expect("a folder");
    let file = dir.join("config.json");
    std::fs::write(&file, text).expect("a file");
    file
}

fn spawn(config: &Value) -> (Child, PathBuf) {
    let file = file_of(&config.to_string());
    let mut command = Command::new(env!("CARGO_BIN_EXE_shorewharf"));
    let child = command.env("ROUTER_CONFIG", &file).stderr(Stdio::piped()).spawn();
    (child.expect("the program starts"), file)
}

/// A start that must fail: the exit code and the log.
pub fn refused_start(config: &Value) -> (Option<i32>, String) {
    let out = spawn(config).0.wait_with_output().expect("it ends");
    (out.status.code(), String::from_utf8(out.stderr).expect("text"))
}

impl Program {
    pub fn start(config: &Value) -> Self {
        let (mut child, file) = spawn(config);
        let stderr = BufReader::new(child.stderr.take().expect("piped"));
        let (sender, log) = channel();
        thread::spawn(move || stderr.lines().map_while(Result::ok).try_for_each(|line| sender.send(line)));
        let mut program =
            Program { child, file, next_id: Cell::new(0x9b1f), log, address: ([127, 0, 0, 1], 0).into() };
        let line = program.logged("serving");
        let address = line.split("listen=").nth(1).and_then(|t| t.split(' ').next());
        program.address = address.and_then(|t| t.parse().ok()).expect("an address");
        program
    }

    /// Waits for a log line that has these words.
    pub fn logged(&self, words: &str) -> String {
        loop {
            let line = self.log.recv_timeout(LIMIT).unwrap_or_else(|_| panic!("no log line '{words}'"));
            if line.contains(words) {
                return line;
            }
        }
    }

    pub fn client(&self) -> Peer {
        Peer::of(TcpStream::connect(self.address).expect("the program listens"))
    }

    /// A client that has said its first line, under an id of its own: 9b1f and up.
    pub fn open(&self, more: &str) -> Peer {
        let id = self.next_id.get();
        self.next_id.set(id + 1);
        self.open_as(&format!("{id:x}"), more)
    }

    /// The same under this id.
    pub fn open_as(&self, id: &str, more: &str) -> Peer {
        let mut client = self.client();
        client.say(&format!("OPEN {id} 7f3a c=chat,t=acme,d=20000{more}"));
        client
    }

    /// A standing connection: client and server.
    pub fn stand(&self, server: &Host) -> (Peer, Peer) {
        let client = self.open("");
        self.stands(client, server)
    }

    /// The same under this id.
    pub fn stand_as(&self, server: &Host, id: &str) -> (Peer, Peer) {
        let client = self.open_as(id, "");
        self.stands(client, server)
    }

    fn stands(&self, mut client: Peer, server: &Host) -> (Peer, Peer) {
        let mut s = server.accept();
        s.line();
        s.say("UP 77");
        assert_eq!(client.line(), "UP 77");
        (client, s)
    }

    pub fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Replaces the configuration file and sends SIGHUP.
    pub fn reconfigure(&self, text: &str) {
        let next = self.file.with_extension("next");
        std::fs::write(&next, text).expect("a file");
        std::fs::rename(&next, &self.file).expect("the same folder");
        self.signal("-HUP");
    }

    fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([signal, &pid]).status().expect("kill runs").success());
    }

    pub fn wait(&mut self) -> ExitStatus {
        self.child.wait().expect("it ends")
    }

    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("it can be asked").is_none()
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        // Already over where the test awaited its end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
