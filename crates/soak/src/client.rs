//! Clients: each sends one request after the other, each to a random balancer that accepts new connections.

use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Shutdown, TcpStream};
use std::time::{Duration, Instant};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::fleet::Fleet;
use crate::ledger::{Answer, Request};
use crate::plan::Plan;
use crate::recorder::Recorder;

/// How long a client waits beyond its deadline for a late answer.
const MAX_LATENESS: Duration = Duration::from_millis(3000);
/// How long a client waits for the echo of a line on an established connection.
const ECHO_TIMEOUT: Duration = Duration::from_millis(100);
/// How long a client waits for each of the last lines after it has half-closed the connection.
const LAST_LINES_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest time that a client idles before its request, and the longest time that it uses an established connection, in
/// ms.
const MAX_IDLE_MS: u64 = 1500;

/// The fraction of connections on which the client stays idle for up to [`MAX_IDLE_MS`] before its request.
const IDLE_FIRST_RATIO: f64 = 0.1;
/// The fraction of requests whose client disconnects without waiting for an answer.
const DISCONNECT_RATIO: f64 = 0.08;
/// The fraction of established connections that the client half-closes at the end, to read the remaining lines.
const HALF_CLOSE_RATIO: f64 = 0.5;

/// The fraction of requests whose first line is written in two pieces.
const PIECES_RATIO: f64 = 0.25;
/// The longest time between the two pieces of a first line, in ms.
const MAX_PIECE_GAP_MS: u64 = 200;

/// Runs one client until the run accepts no new requests.
pub fn run(recorder: &Recorder, fleet: &Fleet, plan: &Plan, number: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(plan.seed << 16 | number);
    let mut count = 0;
    while recorder.accepts_requests() {
        std::thread::sleep(Duration::from_millis(random.random_range(5..120)));
        let balancer = random.random_range(0..plan.balancers);
        if !fleet.accepts_new(balancer) {
            continue;
        }
        let Ok(stream) = TcpStream::connect(fleet.address(balancer)) else { continue };
        count += 1;
        let id = (number + 1) << 32 | count;
        Client { recorder, plan, random: &mut random, stream, id, balancer }.send_request();
    }
}

/// The result of reading from a client's connection.
enum Received {
    Line(String),
    End,
    Timeout,
}

/// A client's connection and its request.
struct Client<'a> {
    recorder: &'a Recorder,
    plan: &'a Plan,
    random: &'a mut Pcg64Mcg,
    stream: TcpStream,
    /// The request's id.
    id: u64,
    balancer: usize,
}

impl Client<'_> {
    fn send_request(mut self) {
        if self.random.random_bool(IDLE_FIRST_RATIO) {
            self.sleep_up_to(MAX_IDLE_MS);
        }
        if self.is_closed() {
            return;
        }
        let class = self.random.random_range(0..self.plan.classes.len());
        let deadline = self.plan.classes[class].deadline;
        let (name, id) = (&self.plan.classes[class].name, self.id);
        let line = format!("OPEN {id:x} {id:x} c={name},t=acme,d={}\r\n", deadline.as_millis());
        let began_at = self.recorder.now();
        let Some(sent_at) = self.write_first_line(line.as_bytes()) else { return };
        let request = Request { class, balancer: self.balancer, began_at, sent_at, ..Request::default() };
        self.recorder.request_sent(id, request);
        if self.random.random_bool(DISCONNECT_RATIO) {
            std::thread::sleep(deadline.mul_f64(self.random.random_range(0.0..0.8)));
            self.recorder.client_disconnected(id);
            return;
        }
        let answer = self.receive_answer(deadline);
        self.recorder.request_answered(id, answer);
        if answer == Answer::Accepted {
            self.use_connection();
        }
    }

    /// Writes the first line, sometimes in two pieces. Returns when its last byte was sent, or `None` if the
    /// connection is closed, in which case the balancer has not read the whole line.
    fn write_first_line(&mut self, line: &[u8]) -> Option<Duration> {
        self.stream.set_nodelay(true).ok()?;
        let mut rest = line;
        if self.random.random_bool(PIECES_RATIO) {
            let (first, second) = line.split_at(self.random.random_range(1..line.len()));
            self.stream.write_all(first).ok()?;
            self.sleep_up_to(MAX_PIECE_GAP_MS);
            rest = second;
        }
        let sent_at = self.recorder.now();
        self.stream.write_all(rest).ok()?;
        Some(sent_at)
    }

    fn sleep_up_to(&mut self, max_ms: u64) {
        std::thread::sleep(Duration::from_millis(self.random.random_range(0..max_ms)));
    }

    /// Whether the balancer has closed the idle connection, so that no request can be sent on it.
    fn is_closed(&self) -> bool {
        let is_set = self.stream.set_nonblocking(true).is_ok();
        let peeked = self.stream.peek(&mut [0]);
        is_set
            && (self.stream.set_nonblocking(false).is_err()
                || !matches!(peeked, Err(e) if e.kind() == ErrorKind::WouldBlock))
    }

    fn receive_answer(&self, deadline: Duration) -> Answer {
        match self.receive(deadline + MAX_LATENESS) {
            Received::Line(line) if line.starts_with("UP") => Answer::Accepted,
            Received::Line(line) if line.starts_with("BUSY") => Answer::Rejected,
            Received::Line(_) => Answer::Failed,
            Received::End => Answer::Closed,
            Received::Timeout => Answer::TimedOut,
        }
    }

    fn receive(&self, timeout: Duration) -> Received {
        // This fails only on a closed connection, which the read below detects.
        let _ = self.stream.set_read_timeout(Some(timeout));
        let mut line = String::new();
        match BufReader::with_capacity(1, &self.stream).read_line(&mut line) {
            Ok(0) => Received::End,
            Ok(_) => Received::Line(line),
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => Received::Timeout,
            Err(_) => Received::End,
        }
    }

    /// Exchanges lines with the server for a random time of up to [`MAX_IDLE_MS`], then closes the connection.
    fn use_connection(mut self) {
        let end = Instant::now() + Duration::from_millis(self.random.random_range(0..MAX_IDLE_MS));
        while Instant::now() < end && self.recorder.accepts_requests() {
            if self.stream.write_all(b"M 1\r\n").is_err() {
                break;
            }
            match self.receive(ECHO_TIMEOUT) {
                Received::Line(line) if line.starts_with("M ") => std::thread::sleep(ECHO_TIMEOUT / 2),
                Received::Line(_) => return,
                Received::End => return self.recorder.connection_cut(self.id),
                Received::Timeout => {}
            }
        }
        if self.random.random_bool(HALF_CLOSE_RATIO) {
            // The server's last lines or `MOVE` may still arrive.
            let _ = self.stream.shutdown(Shutdown::Write);
            while let Received::Line(_) = self.receive(LAST_LINES_TIMEOUT) {}
        }
    }
}
