//! Replacement of a balancer's process by another one under load.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::{Value, json};

use shorewharf_emulator::standin::*;
use shorewharf_protocol::open_request::OpenRequestLine;

use crate::operators::{wait_for_metric, with_operator_address};
use crate::{BINARY, start};

/// Prefix of the first line of a client whose connection is to stay established.
const ESTABLISHED_CLIENT: &str = "OPEN 1 ";

/// A server that answers `BYE` at once until it is dropped, except to the client whose connection stays established.
struct AutoServer {
    is_over: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

impl AutoServer {
    fn start(node: Server) -> Self {
        let is_over = Arc::new(AtomicBool::new(false));
        let serve = {
            let is_over = Arc::clone(&is_over);
            move || {
                let mut established = Vec::new();
                while !is_over.load(Ordering::Relaxed) {
                    if let Some(mut peer) = node.accept_within(Duration::from_millis(20)) {
                        // A cancelled attempt sends no line, or closes the connection before the answer.
                        match peer.receive() {
                            Received::Line(line) if line.starts_with(ESTABLISHED_CLIENT) => {
                                peer.try_send_bytes(b"UP 1\r\n");
                                established.push(peer);
                            }
                            _ => drop(peer.try_send_bytes(b"BYE\r\n")),
                        }
                    }
                }
            }
        };
        AutoServer { is_over, thread: Some(std::thread::spawn(serve)) }
    }
}

impl Drop for AutoServer {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        self.thread.take().into_iter().for_each(|thread| drop(thread.join()));
    }
}

/// Threads on each of which clients send one request after the other, without a pause, until they are stopped.
struct RequestStream {
    is_over: Arc<AtomicBool>,
    /// Requests begun so far.
    begun: Arc<AtomicUsize>,
    /// Each returns the failures of its requests: those that ended without an answer or with an unexpected one.
    threads: Vec<JoinHandle<Vec<String>>>,
}

impl RequestStream {
    fn start(clients: usize, to: SocketAddr) -> Self {
        let (is_over, begun) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicUsize::new(0)));
        let start = |client: usize| {
            let (is_over, begun) = (Arc::clone(&is_over), Arc::clone(&begun));
            std::thread::spawn(move || {
                let mut failures = Vec::new();
                for n in 0.. {
                    if is_over.load(Ordering::Relaxed) {
                        break;
                    }
                    begun.fetch_add(1, Ordering::Relaxed);
                    match send_request(to, client << 32 | n) {
                        Ok(line) if line.starts_with("BYE") || line.starts_with("BUSY") => {}
                        Ok(line) => failures.push(format!("answered {line:?}")),
                        Err(e) => failures.push(e.to_string()),
                    }
                }
                failures
            })
        };
        let threads = (1..=clients).map(start).collect();
        RequestStream { is_over, begun, threads }
    }

    /// Waits until this many more requests have begun.
    fn await_requests(&self, more: usize) {
        let target = self.begun.load(Ordering::Relaxed) + more;
        let began = std::time::Instant::now();
        while self.begun.load(Ordering::Relaxed) < target {
            assert!(began.elapsed() < LIMIT, "no further requests begin");
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Stops the clients and returns all failures.
    fn stop(self) -> Vec<String> {
        self.is_over.store(true, Ordering::Relaxed);
        self.threads.into_iter().flat_map(|thread| thread.join().expect("no panic")).collect()
    }
}

/// Sends a request on a connection of its own and returns the answer.
fn send_request(to: SocketAddr, id: usize) -> std::io::Result<String> {
    use std::io::{BufRead, BufReader, Write};
    let mut stream = std::net::TcpStream::connect(to)?;
    stream.set_read_timeout(Some(LIMIT))?;
    stream.write_all(format!("OPEN {id:x} 7 c=chat,t=acme,d=20000\r\n").as_bytes())?;
    let mut line = String::new();
    BufReader::new(&stream).read_line(&mut line)?;
    if line.is_empty() { Err(ErrorKind::UnexpectedEof.into()) } else { Ok(line) }
}

/// Returns the configuration for a process that replaces this one: it listens on the same address.
pub fn config_for_successor(config: &Value, program: &BalancerProcess) -> Value {
    let mut config = config.clone();
    config["listen"] = json!(program.address());
    config
}

#[test]
fn every_request_of_a_stream_is_answered_through_two_upgrades() {
    let (node, other) = (Server::new(), Server::new());
    let settings = with_operator_address(config(&[("s-1", node.address()), ("s-2", other.address())]));
    let _servers = [AutoServer::start(node), AutoServer::start(other)];
    let mut old = start(&settings);
    let stream = RequestStream::start(6, old.address());
    let mut established = Connection::open(old.address(), &established_request());
    assert_eq!(established.receive_line(), "UP 1");
    for _ in 0..2 {
        stream.await_requests(200);
        let new = old.start_sibling(BINARY, &config_for_successor(&settings, &old));
        assert_eq!(new.operator_command("readyz"), ["YES"]);
        stream.await_requests(200);
        old.terminate();
        assert!(old.wait_for_log("event=shutting-down").contains("successor=true"));
        assert!(old.operator_command("readyz")[0].starts_with("NO "));
        assert!(old.wait().success());
        old = new;
    }
    stream.await_requests(200);
    assert!(!established.has_input(Duration::from_millis(1)), "the connection was migrated or closed");
    assert_eq!(stream.stop(), Vec::<String>::new());
}

fn established_request() -> OpenRequestLine<'static> {
    OpenRequestLine {
        id: 1,
        key: 1,
        class: "chat",
        tenant: "acme",
        timeout_ms: 20_000,
        ..OpenRequestLine::default()
    }
}

/// Checks that a line is relayed both ways.
fn expect_relayed(client: &mut Connection, server: &mut Connection, line: &str) {
    client.send_line(line);
    assert_eq!(server.receive_line(), line);
    server.send_line(line);
    assert_eq!(client.receive_line(), line);
}

#[test]
fn established_connections_are_transferred_between_lines_and_within_a_line() {
    let node = Server::new();
    let settings = with_operator_address(config(&[("s-1", node.address())]));
    let mut old = start(&settings);
    let (mut first, mut first_upstream) = old.establish(&node);
    let (mut second, mut second_upstream) = old.establish(&node);
    let (mut third, mut third_upstream) = old.establish(&node);
    expect_relayed(&mut first, &mut first_upstream, "M 1");
    first_upstream.send_line("LOAD 5000");
    assert_eq!(first.receive_line(), "LOAD 5000");
    // Lines that are partly buffered in the process are transferred, and so are bytes in the socket buffers.
    third_upstream.send_bytes(b"half a li");
    third.send_bytes(b"M 5\r\nM 6 an");
    assert_eq!(third_upstream.receive_line(), "M 5");
    old.sync();
    let new = old.start_sibling(BINARY, &config_for_successor(&settings, &old));
    second.send_line("M 2");
    assert_eq!(second_upstream.receive_line(), "M 2");
    old.terminate();
    // The connection is transferred while the answer to its line is outstanding.
    wait_for_metric(&new, "concurrent", 3);
    second_upstream.send_line("M 2");
    assert_eq!(second.receive_line(), "M 2");
    assert!(old.wait().success());
    third_upstream.send_bytes(b"ne\r\n");
    third.send_bytes(b"swer\r\n");
    assert_eq!(
        (third.receive_line(), third_upstream.receive_line()),
        ("half a line".into(), "M 6 answer".into())
    );
    expect_relayed(&mut first, &mut first_upstream, "M 3");
    assert_eq!(new.metric("concurrent"), 3);
    assert_eq!(new.metric("replies.chat.success"), 0, "they were established in the old process");
    // The new process's decisions know the connections: their ids are in use, and disabling their server migrates
    // their clients.
    assert_eq!(new.open_with_id("9b1f", "").receive_line(), "ERR");
    assert_eq!(new.operator_command("exclude s-1"), ["YES"]);
    assert_eq!(
        (first.receive_line(), second.receive_line(), third.receive_line()),
        ("MOVE".into(), "MOVE".into(), "MOVE".into())
    );
    wait_for_metric(&new, "concurrent", 0);
}

#[test]
fn a_new_process_that_is_killed_or_cannot_start_affects_no_request() {
    let node = Server::new();
    let settings = with_operator_address(config(&[("s-1", node.address())]));
    let _server = AutoServer::start(node);
    let mut old = start(&settings);
    let stream = RequestStream::start(4, old.address());
    let mut bad = config_for_successor(&settings, &old);
    bad["settings"]["classes"] = json!([]);
    assert_eq!(run_to_exit(BINARY, &bad).0, Some(2));
    let new = old.start_sibling(BINARY, &config_for_successor(&settings, &old));
    stream.await_requests(50);
    // What the killed process has accepted is lost with it, so no request may be open then.
    let failures = stream.stop();
    drop(new);
    assert_eq!(failures, Vec::<String>::new());
    let stream = RequestStream::start(4, old.address());
    stream.await_requests(100);
    assert!(old.is_running());
    // The next successor can still connect to the old process.
    let next = old.start_sibling(BINARY, &config_for_successor(&settings, &old));
    old.terminate();
    assert!(old.wait_for_log("event=shutting-down").contains("successor=true"));
    assert!(old.wait().success());
    stream.await_requests(100);
    assert_eq!(stream.stop(), Vec::<String>::new());
    assert_eq!(next.operator_command("readyz"), ["YES"]);
}

#[test]
fn a_successor_starts_with_the_current_endpoint_list_and_shuts_down_normally_without_a_successor() {
    let (first, second, discovery) = (Server::new(), Server::new(), DiscoveryService::new());
    let settings = with_operator_address(config_with_discovery(&[("s-1", first.address())], &discovery));
    let mut old = start(&settings);
    let mut watch = discovery.accept_watch();
    watch.send_list(42, false, vec![endpoint("s-2", second.address(), "Ready")]);
    wait_for_metric(&old, "targets", 2);
    let mut new = old.start_sibling(BINARY, &config_for_successor(&settings, &old));
    assert_eq!(new.metric("targets"), 2);
    // The watch of the new process continues from the revision of that list.
    assert_eq!(discovery.accept_watch().since(), 42);
    old.terminate();
    assert!(old.wait().success());
    // The new process has no successor: for a while it still accepts clients, and rejects them with a retry-after.
    new.terminate();
    assert!(new.wait_for_log("event=shutting-down").contains("successor=false"));
    let mut client = new.open("");
    assert!(client.receive_line().starts_with("BUSY "));
    assert!(new.wait().success());
}

#[test]
fn a_client_whose_class_the_new_process_does_not_know_is_migrated_and_not_cut_off() {
    let node = Server::new();
    let settings = with_operator_address(config(&[("s-1", node.address())]));
    let mut old = start(&settings);
    let (mut client, _upstream) = old.establish(&node);
    let mut other = config_for_successor(&settings, &old);
    other["settings"]["classes"][0]["name"] = json!("feed");
    let new = old.start_sibling(BINARY, &other);
    old.terminate();
    assert_eq!((client.receive(), client.receive()), (Received::Line("MOVE".into()), Received::Fin));
    assert!(old.wait().success());
    wait_for_metric(&new, "concurrent", 0);
}
