//! A simple balancer with one deliberate protocol violation, to check that the auditor detects it on sockets.
//! It uses threads for its connections and round robin for its placements; it is not suitable for performance
//! measurements.
//!
//! `shorewharf-mutant MUTATION` runs in place of the balancer's program and reads the same configuration;
//! `shorewharf-mutant judge [MUTATION…]` runs the given or all mutations on loopback and reports whether the
//! auditor detects each.

use std::fmt::Display;
use std::io::{BufRead, BufReader, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::ExitCode;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread::{Builder, sleep};
use std::time::{Duration, Instant};

use serde_json::Value;
use shorewharf_lab::mutants::on_sockets::{JudgeErrors, judge_all};
use thiserror::Error;

/// Maximum number of attempts of a request, unless the mutation makes more.
const MAX_ATTEMPTS: usize = 3;
/// Time limit for connecting to a node.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// Time limit for the first line of a node.
const REPLY_TIMEOUT: Duration = Duration::from_millis(900);
/// Pause between the requests of a mutation, above the auditor's tolerance for events that are read out of
/// order.
const REQUEST_GAP: Duration = Duration::from_millis(120);
/// How long a connection is established before the mutation affects it.
const ESTABLISHED_BEFORE_FAULT: Duration = Duration::from_millis(2_500);
/// How long `holds-lines` delays each line.
const LINE_DELAY: Duration = Duration::from_millis(1_500);
/// Stack size of a thread: two threads for each connection must fit in the memory limit of a balancer.
const STACK_BYTES: usize = 64 << 10;
/// Time after the start from which `overruns` sends all requests to the first node.
const OVERRUN_AFTER: Duration = Duration::from_secs(9);
/// Additional attempts at the first node that `overruns` makes for each request.
const OVERRUN_EXTRA_ATTEMPTS: usize = 2;
/// Time after the start at which `exits` ends its process.
const EXIT_AFTER: Duration = Duration::from_secs(6);

/// The balancer, shared by the threads of all connections.
struct Balancer {
    /// Name of the mutation.
    mutation: String,
    nodes: Nodes,
    /// Number of placements so far, for round robin.
    next_node: AtomicUsize,
    started: Instant,
}

fn main() -> ExitCode {
    let mutation = std::env::args().nth(1).unwrap_or_default();
    if mutation == "judge" {
        let only: Vec<String> = std::env::args().skip(2).collect();
        return exit_code(judge_mutations(&only));
    }
    exit_code(run_balancer(mutation))
}

fn exit_code<E: Display>(result: Result<(), E>) -> ExitCode {
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("shorewharf-mutant: {e}");
            ExitCode::FAILURE
        }
    }
}

/// Why the command `judge` failed.
#[derive(Debug, Error)]
enum JudgingError {
    #[error(transparent)]
    OwnPath(#[from] std::io::Error),
    #[error(transparent)]
    Failed(#[from] JudgeErrors),
}

fn judge_mutations(only: &[String]) -> Result<(), JudgingError> {
    let mutant = std::env::current_exe()?;
    Ok(judge_all(&mutant, only)?)
}

/// Why the balancer did not start.
#[derive(Debug, Error)]
enum StartError {
    #[error("ROUTER_CONFIG: {0}")]
    NoConfiguration(#[from] std::env::VarError),
    #[error("{0}: {1}")]
    Io(String, std::io::Error),
    #[error("{0}: {1}")]
    Json(String, serde_json::Error),
    #[error("{0}: the key is missing in the configuration, or has the wrong type")]
    MissingKey(&'static str),
}

/// Accepts clients until the process ends.
fn run_balancer(mutation: String) -> Result<(), StartError> {
    let Configuration { listen, discovery, nodes } = read_configuration()?;
    let listener = TcpListener::bind(&listen).map_err(|e| StartError::Io(listen, e))?;
    if mutation == "exits" {
        let exit_later = || {
            sleep(EXIT_AFTER);
            std::process::exit(0)
        };
        Builder::new().spawn(exit_later).expect("the thread starts");
    }
    Builder::new().spawn(move || watch(&discovery).ok()).expect("the thread starts");
    let balancer =
        Arc::new(Balancer { mutation, nodes, next_node: AtomicUsize::new(0), started: Instant::now() });
    for client in listener.incoming().flatten() {
        let balancer = Arc::clone(&balancer);
        // An error on a connection, or a thread that can't be started, only ends this connection.
        Builder::new().stack_size(STACK_BYTES).spawn(move || balancer.session(&client).ok()).ok();
    }
    Ok(())
}

/// Watches the endpoint list, as a balancer must, and ignores its events.
fn watch(discovery: &str) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(discovery)?;
    write!(stream, "GET /v1/servers?follow=1&since=0 HTTP/1.1\r\nHost: {discovery}\r\n\r\n")?;
    std::io::copy(&mut stream, &mut std::io::sink()).map(|_| ())
}

/// The names and addresses of the nodes.
type Nodes = Vec<(String, String)>;

/// The part of the balancer's configuration that the mutant uses.
struct Configuration {
    /// Address to listen on.
    listen: String,
    /// Address of the endpoint list.
    discovery: String,
    nodes: Nodes,
}

fn read_configuration() -> Result<Configuration, StartError> {
    let path = std::env::var("ROUTER_CONFIG")?;
    let text = std::fs::read(&path).map_err(|e| StartError::Io(path.clone(), e))?;
    let config: Value = serde_json::from_slice(&text).map_err(|e| StartError::Json(path, e))?;
    let text = |value: &Value, key: &str| value[key].as_str().map(str::to_owned);
    let listen = text(&config, "listen").ok_or(StartError::MissingKey("listen"))?;
    let discovery = text(&config, "discovery").ok_or(StartError::MissingKey("discovery"))?;
    let endpoints =
        config["known"]["endpoints"].as_array().ok_or(StartError::MissingKey("known.endpoints"))?;
    let nodes = endpoints.iter().filter_map(|e| Some((text(e, "name")?, text(e, "address")?))).collect();
    Ok(Configuration { listen, discovery, nodes })
}

impl Balancer {
    fn is(&self, mutation: &str) -> bool {
        self.mutation == mutation
    }

    /// Handles the lines of a client until its first request, which ends the session after it is served.
    fn session(&self, client: &TcpStream) -> std::io::Result<()> {
        let mut lines = BufReader::new(client);
        let mut line = String::new();
        loop {
            line.clear();
            if lines.read_line(&mut line)? == 0 {
                return Ok(());
            }
            match line.split_whitespace().next() {
                Some("PING") => (&mut &*client).write_all(b"PONG\r\n")?,
                Some("OPEN") => return self.serve(client, &mut lines, &line),
                _ => return (&mut &*client).write_all(b"ERR\r\n"),
            }
        }
    }

    /// Address of the node named `preferred`, or else of the next one by round robin.
    fn address(&self, preferred: Option<&str>) -> &str {
        let turn = self.next_node.fetch_add(1, Ordering::Relaxed) % self.nodes.len();
        let index = if self.is("crowds") { 0 } else { turn };
        let preferred_node =
            preferred.and_then(|preferred| self.nodes.iter().find(|(name, _)| name == preferred));
        &preferred_node.unwrap_or(&self.nodes[index]).1
    }

    /// Connects to a node and sends it the first line of a request.
    fn attempt(&self, line: &str, preferred: Option<&str>) -> std::io::Result<TcpStream> {
        let address = self.address(preferred).parse().map_err(std::io::Error::other)?;
        let mut node = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT)?;
        node.set_nodelay(true)?;
        node.write_all(line.as_bytes())?;
        Ok(node)
    }

    /// Serves a request: makes attempts until a node accepts it and relays its lines, or rejects it.
    fn serve(
        &self,
        client: &TcpStream,
        lines: &mut BufReader<&TcpStream>,
        line: &str,
    ) -> std::io::Result<()> {
        client.set_nodelay(true)?;
        let mut out = client;
        let previous_node = line.trim_end().split(',').find_map(|item| item.strip_prefix("at="));
        let id = line.split_whitespace().nth(1).and_then(|id| u64::from_str_radix(id, 16).ok()).unwrap_or(0);
        let is_affected = previous_node.is_none() && id % 3 == 2;
        if is_affected && let Some(result) = self.mishandle(client, lines, line) {
            return result;
        }
        let mut preferred = previous_node;
        if self.is("overruns") && preferred.is_none() && self.started.elapsed() > OVERRUN_AFTER {
            preferred = self.nodes.first().map(|(name, _)| name.as_str());
            for _ in 0..OVERRUN_EXTRA_ATTEMPTS {
                self.attempt(line, preferred).ok();
                sleep(REQUEST_GAP);
            }
        }
        for _ in 0..MAX_ATTEMPTS {
            let Ok(node) = self.attempt(line, preferred) else { continue };
            if is_affected && self.is("two-at-once") {
                let _second = self.attempt(line, None)?;
                sleep(REQUEST_GAP);
            }
            node.set_read_timeout(Some(REPLY_TIMEOUT))?;
            let mut answers = BufReader::new(&node);
            let mut answer = String::new();
            if answers.read_line(&mut answer).is_ok() && answer.starts_with("UP ") {
                node.set_read_timeout(None)?;
                out.write_all(answer.as_bytes())?;
                return self.relay(is_affected, (client, lines), (&node, &mut answers));
            }
        }
        out.write_all(b"BUSY 100\r\n")
    }

    /// Handles a request as the mutation does; none if the mutation serves requests.
    fn mishandle(
        &self,
        client: &TcpStream,
        lines: &mut BufReader<&TcpStream>,
        line: &str,
    ) -> Option<std::io::Result<()>> {
        let mut out = client;
        Some(match self.mutation.as_str() {
            "mute" => lines.read_line(&mut String::new()).map(|_| ()),
            "hangs-up" => self.attempt(line, None).and_then(|_node| client.shutdown(Shutdown::Both)),
            "forges" => out.write_all(b"UP 0123456789abcdef\r\n"),
            "sends-after-end" => self.send_after_end(client, line),
            "never-gives-up" => self.retry_too_often(client, line),
            _ => return None,
        })
    }

    /// Rejects a request and sends it to a node afterwards.
    fn send_after_end(&self, mut client: &TcpStream, line: &str) -> std::io::Result<()> {
        client.write_all(b"BUSY\r\n")?;
        client.shutdown(Shutdown::Write)?;
        sleep(REQUEST_GAP);
        let _node = self.attempt(line, None)?;
        sleep(REQUEST_GAP);
        Ok(())
    }

    /// Makes more attempts than allowed before it rejects a request.
    fn retry_too_often(&self, mut client: &TcpStream, line: &str) -> std::io::Result<()> {
        for _ in 0..6 {
            drop(self.attempt(line, None)?);
            sleep(REQUEST_GAP);
        }
        client.write_all(b"BUSY\r\n")
    }

    /// Forwards lines in both directions until the node ends the connection.
    fn relay(
        &self,
        is_affected: bool,
        (client, lines): (&TcpStream, &mut BufReader<&TcpStream>),
        (node, answers): (&TcpStream, &mut BufReader<&TcpStream>),
    ) -> std::io::Result<()> {
        let has = |mutation| is_affected && self.is(mutation);
        let has_ended_side = AtomicBool::new(false);
        std::thread::scope(|scope| {
            let to_node = || forward_to_node(lines, node, has("holds-lines"));
            Builder::new().stack_size(STACK_BYTES).spawn_scoped(scope, to_node)?;
            if has("cuts-off") || has("keeps-severed") {
                let end_side = || {
                    sleep(ESTABLISHED_BEFORE_FAULT);
                    has_ended_side.store(true, Ordering::Relaxed);
                    let side = if has("cuts-off") { client } else { node };
                    side.shutdown(Shutdown::Both).ok();
                };
                Builder::new().stack_size(STACK_BYTES).spawn_scoped(scope, end_side)?;
            }
            forward_to_client(answers, client, has("changes-lines"), has("moves-in-line"));
            let keeps_client =
                has("keeps-ended") || has("keeps-severed") && has_ended_side.load(Ordering::Relaxed);
            if !keeps_client {
                client.shutdown(Shutdown::Write).ok();
            }
            Ok(())
        })
    }
}

/// Forwards the client's lines until the client ends the connection, then closes the connection to the node.
fn forward_to_node(lines: &mut BufReader<&TcpStream>, mut node: &TcpStream, delays_lines: bool) {
    let mut line = String::new();
    while lines.read_line(&mut line).is_ok_and(|n| n > 0) {
        if delays_lines {
            sleep(LINE_DELAY);
        }
        if node.write_all(line.as_bytes()).is_err() {
            break;
        }
        line.clear();
    }
    node.shutdown(Shutdown::Both).ok();
}

/// Forwards the node's lines until the node ends the connection. `changes_lines` inserts a byte in each
/// reply, and `moves_in_line` writes `MOVE` in the middle of it.
fn forward_to_client(
    answers: &mut BufReader<&TcpStream>,
    mut client: &TcpStream,
    changes_lines: bool,
    moves_in_line: bool,
) {
    let mut line = String::new();
    while answers.read_line(&mut line).is_ok_and(|n| n > 0) {
        let is_reply = !line.starts_with("LOAD") && !line.starts_with("BYE");
        if is_reply && changes_lines {
            line.insert(0, 'x');
        }
        if is_reply && moves_in_line {
            line.truncate(line.len() / 2);
            line += "MOVE\r\n";
        }
        if client.write_all(line.as_bytes()).is_err() {
            break;
        }
        line.clear();
    }
}
