//! Clients, on threads of the benchmark: they set up connections as fast as they are answered, send lines as fast as they
//! return or at a fixed rate, or stay idle.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mio::event::Event;
use mio::net::TcpStream;
use mio::{Events, Interest, Poll, Token};

/// A line, as long as a short message.
const LINE: &[u8] = b"M 0123456789 0123456789 012345\r\n";
/// Connections that one thread opens concurrently while the established ones are set up.
const MAX_OPENING: usize = 32;

/// Whether a call must be repeated later.
pub fn would_block<T>(result: &io::Result<T>) -> bool {
    matches!(result, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted))
}

/// What the clients do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Plan {
    /// This number of concurrent clients connect, send a request, and disconnect as soon as it is accepted.
    SetUps(usize),
    /// This number of established connections, each of which sends a line as soon as the previous one has returned.
    Busy(usize),
    /// This number of established connections, which together send this number of lines a second.
    Paced(usize, f64),
    /// This number of established connections, on which nothing is sent.
    Idle(usize),
}

impl Plan {
    /// Connections that are established before the measurement.
    fn established(self) -> usize {
        match self {
            Plan::SetUps(_) => 0,
            Plan::Busy(n) | Plan::Paced(n, _) | Plan::Idle(n) => n,
        }
    }
}

/// The results of clients.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Set-ups or lines that were answered while they were counted.
    pub done: u64,
    /// Set-ups that got another answer or none, connections that were closed, and lines that returned altered.
    pub failed: u64,
    /// Lines that had not returned at the end.
    pub lost: u64,
    /// Microseconds until the answer.
    pub latency: Histogram<u64>,
}

/// The next id of a request.
static IDS: AtomicU64 = AtomicU64::new(1);

// The phases of a run, in order.
const OPENING: u8 = 0;
const WARMING_UP: u8 = 1;
const COUNTING: u8 = 2;
const STOPPED: u8 = 3;

#[derive(Debug, Default)]
struct Shared {
    phase: AtomicU8,
    /// Connections established so far.
    established: AtomicUsize,
    is_over: AtomicBool,
}

/// Clients on threads of their own.
#[derive(Debug)]
pub struct Clients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<Tally>>,
    /// Connections to be established before the measurement.
    to_establish: usize,
}

impl Clients {
    /// Starts the threads, which first open the connections to be established.
    pub fn begin(plan: Plan, to: Vec<SocketAddr>, threads: usize) -> Self {
        let shared = Arc::new(Shared::default());
        let spawn = |thread| {
            let (shared, to) = (Arc::clone(&shared), to.clone());
            let share = |n: usize| n / threads + usize::from(thread < n % threads);
            let thread_plan = match plan {
                Plan::SetUps(n) => Plan::SetUps(share(n)),
                Plan::Busy(n) => Plan::Busy(share(n)),
                Plan::Paced(n, rate) => Plan::Paced(share(n), rate / threads as f64),
                Plan::Idle(n) => Plan::Idle(share(n)),
            };
            thread::spawn(move || Thread::new(thread_plan, to, thread, shared).expect("an event loop").run())
        };
        let threads = (0..threads).map(spawn).collect();
        Clients { shared, threads, to_establish: plan.established() }
    }

    /// Waits until all connections are established; false if they are not within 60 s.
    pub fn wait_until_established(&self) -> bool {
        let began = Instant::now();
        while self.shared.established.load(Relaxed) < self.to_establish {
            if began.elapsed() > Duration::from_secs(60) {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Starts the load, which is not counted until [`Clients::start_counting`].
    pub fn start(&self) {
        self.shared.phase.store(WARMING_UP, Relaxed);
    }

    /// Counts results from now on.
    pub fn start_counting(&self) {
        self.shared.phase.store(COUNTING, Relaxed);
    }

    /// Ends the load and the counting; connections stay open until [`Clients::finish`].
    pub fn stop_counting(&self) {
        self.shared.phase.store(STOPPED, Relaxed);
    }

    /// Closes all connections and returns the results.
    pub fn finish(self) -> Tally {
        self.shared.is_over.store(true, Relaxed);
        let tallies = self.threads.into_iter().map(|t| t.join().expect("no panic"));
        tallies
            .reduce(|mut a, b| {
                (a.done, a.failed, a.lost) = (a.done + b.done, a.failed + b.failed, a.lost + b.lost);
                a.latency.add(b.latency).expect("the same range");
                a
            })
            .expect("at least one thread")
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Connecting,
    /// The request has been sent.
    Waiting,
    /// Established, without an outstanding line.
    Established,
    /// A line is outstanding, of which this number of bytes have not returned.
    LineOutstanding(usize),
}

struct Connection {
    stream: TcpStream,
    state: State,
    /// When the set-up began, or when the outstanding line was due.
    since: Instant,
}

struct Thread {
    plan: Plan,
    addresses: Vec<SocketAddr>,
    index: usize,
    shared: Arc<Shared>,
    poll: Poll,
    connections: Vec<Option<Connection>>,
    /// Connections that are connecting or waiting.
    opening: usize,
    /// Connects begun so far.
    begun: u64,
    tally: Tally,
    buffer: Vec<u8>,
}

impl Thread {
    fn new(plan: Plan, addresses: Vec<SocketAddr>, index: usize, shared: Arc<Shared>) -> io::Result<Self> {
        let latency = Histogram::new_with_bounds(1, 60_000_000, 3).expect("valid bounds");
        Ok(Thread {
            plan,
            addresses,
            index,
            shared,
            poll: Poll::new()?,
            connections: Vec::new(),
            opening: 0,
            begun: 0,
            tally: Tally { done: 0, failed: 0, lost: 0, latency },
            buffer: vec![0; 16 << 10],
        })
    }

    fn phase(&self) -> u8 {
        self.shared.phase.load(Relaxed)
    }

    fn connect(&mut self, slot: usize) {
        self.begun += 1;
        let to = self.addresses[self.begun as usize % self.addresses.len()];
        // Connections are made from several source addresses, so that ports do not run out.
        let from = Ipv4Addr::new(127, 0, 9, 1 + (self.index * 8 + self.begun as usize % 8) as u8);
        let stream = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).and_then(|s| {
            s.set_nonblocking(true)?;
            s.set_tcp_nodelay(true)?;
            s.set_reuse_address(true)?;
            s.bind(&SocketAddr::from((from, 0)).into())?;
            // 115 is EINPROGRESS.
            match s.connect(&to.into()) {
                Err(e) if e.raw_os_error() != Some(115) => Err(e),
                _ => Ok(TcpStream::from_std(s.into())),
            }
        });
        let both = Interest::READABLE | Interest::WRITABLE;
        let stream = stream.and_then(|mut s| {
            self.poll.registry().register(&mut s, Token(slot), both)?;
            Ok(s)
        });
        match stream {
            Ok(stream) => {
                self.connections[slot] =
                    Some(Connection { stream, state: State::Connecting, since: Instant::now() });
                self.opening += 1;
            }
            Err(e) => {
                eprintln!("a client cannot connect to {to}: {e}");
                self.tally.failed += 1;
            }
        }
    }

    fn run(mut self) -> Tally {
        let mut events = Events::with_capacity(1024);
        let to_establish = self.plan.established();
        // The state of the paced lines: their start, the number sent, and the last connection used.
        let (mut pace_start, mut lines_sent, mut last_used) = (Instant::now(), 0_u64, 0_usize);
        while !self.shared.is_over.load(Relaxed) {
            let phase = self.phase();
            if self.connections.len() < to_establish && self.opening < MAX_OPENING {
                self.connections.push(None);
                self.connect(self.connections.len() - 1);
                continue;
            }
            if let Plan::SetUps(n) = self.plan
                && phase > OPENING
            {
                while self.connections.len() < n {
                    self.connections.push(None);
                    self.connect(self.connections.len() - 1);
                }
            }
            if phase == OPENING {
                (pace_start, lines_sent, last_used) = (Instant::now(), 0, 0);
            }
            let mut wait = Duration::from_millis(20);
            if let (Plan::Paced(_, rate), true) = (self.plan, phase > OPENING && phase < STOPPED) {
                // Polls without waiting, since a wait would be rounded to whole milliseconds.
                wait = Duration::ZERO;
                let lines_due = (pace_start.elapsed().as_secs_f64() * rate) as u64;
                while lines_sent < lines_due {
                    let due = pace_start + Duration::from_secs_f64(lines_sent as f64 / rate);
                    lines_sent += 1;
                    for _ in 0..self.connections.len() {
                        last_used = (last_used + 1) % self.connections.len();
                        if self.send_line(last_used, due) {
                            break;
                        }
                    }
                }
            }
            if let (Plan::Busy(_), WARMING_UP) = (self.plan, phase) {
                (0..self.connections.len()).for_each(|slot| {
                    self.send_line(slot, Instant::now());
                });
            }
            let _ = self.poll.poll(&mut events, Some(wait));
            for event in &events {
                self.on_event(event.token().0, event);
            }
        }
        let has_outstanding_line = |connection: &&Option<Connection>| {
            connection.as_ref().is_some_and(|c| matches!(c.state, State::LineOutstanding(_)))
        };
        self.tally.lost = self.connections.iter().filter(has_outstanding_line).count() as u64;
        self.tally
    }

    /// Sends a line on an established connection without an outstanding line; false if that is not possible.
    fn send_line(&mut self, slot: usize, due: Instant) -> bool {
        let Some(connection) = self.connections[slot].as_mut().filter(|c| c.state == State::Established)
        else {
            return false;
        };
        (connection.state, connection.since) = (State::LineOutstanding(LINE.len()), due);
        connection.stream.write(LINE).is_ok_and(|n| n == LINE.len())
    }

    /// Counts an answer if results are being counted.
    fn on_answer(&mut self, since: Instant) {
        if self.phase() == COUNTING {
            self.tally.done += 1;
            self.tally.latency.saturating_record(since.elapsed().as_micros() as u64);
        }
    }

    fn on_event(&mut self, slot: usize, event: &Event) {
        let Some(connection) = self.connections[slot].as_mut() else { return };
        if connection.state == State::Connecting && event.is_writable() {
            connection.state = State::Waiting;
            let id = IDS.fetch_add(1, Relaxed);
            let key = id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let line = format!("OPEN {id:x} {key:x} c=chat,t=acme,d=20000,h=0.000001\r\n");
            let _ = connection.stream.write(line.as_bytes());
        }
        if !event.is_readable() {
            return;
        }
        let n = match connection.stream.read(&mut self.buffer) {
            Ok(n) => n,
            e if would_block(&e) => return,
            Err(_) => 0,
        };
        let (state, since) = (connection.state, connection.since);
        match state {
            State::Waiting if self.buffer[..n].starts_with(b"UP") => {
                self.opening -= 1;
                connection.state = State::Established;
                self.shared.established.fetch_add(1, Relaxed);
                if let Plan::SetUps(_) = self.plan {
                    self.on_answer(since);
                    self.replace(slot);
                }
            }
            // Any other input is a duplicated line or a message of the balancer, and counts as a failure below.
            State::LineOutstanding(remaining)
                if n > 0
                    && n <= remaining
                    && LINE[LINE.len() - remaining..].starts_with(&self.buffer[..n]) =>
            {
                connection.state =
                    if n < remaining { State::LineOutstanding(remaining - n) } else { State::Established };
                if n >= remaining {
                    self.on_answer(since);
                    let phase = self.phase();
                    if matches!(self.plan, Plan::Busy(_)) && phase < STOPPED {
                        self.send_line(slot, Instant::now());
                    }
                }
            }
            _ => {
                if matches!(state, State::Connecting | State::Waiting) {
                    self.opening -= 1;
                }
                self.tally.failed += 1;
                if self.tally.failed == 1 {
                    eprintln!("a client failed after receiving: {}", self.buffer[..n].escape_ascii());
                }
                self.replace(slot);
            }
        }
    }

    /// Closes a connection, and opens another one in its slot if the plan is to set up connections.
    fn replace(&mut self, slot: usize) {
        self.connections[slot] = None;
        match self.plan {
            Plan::SetUps(_) if self.phase() < STOPPED => self.connect(slot),
            _ => {}
        }
    }
}
