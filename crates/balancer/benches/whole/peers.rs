//! Those round the program under load: nodes that take everybody and return every byte, and clients that set up as
//! fast as they are answered, send lines as fast as they come back or at a pace, or say nothing.

use std::io::{self, ErrorKind, Read, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, AtomicUsize, Ordering::Relaxed};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use mio::event::Event;
use mio::net::{TcpListener, TcpStream};
use mio::{Events, Interest, Poll, Token};

/// A node's listeners: each address has a range of ports of its own for those who connect to it.
pub const NODES: usize = 16;
/// Threads that play nodes.
const NODE_THREADS: usize = 3;
/// A line, as long as a short message.
const LINE: &[u8] = b"M 0123456789 0123456789 012345\r\n";
const UP: &[u8] = b"UP 1\r\n";
/// Connections that one thread has on their way at once while the standing ones are opened.
const OPENING: usize = 32;

fn would_block<T>(result: &io::Result<T>) -> bool {
    matches!(result, Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted))
}

/// The address of a node, on a port that all share.
pub fn node(n: usize, port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, 7, 1 + (n % NODES) as u8), port))
}

/// Starts the nodes, for as long as the program runs; tells their port.
pub fn nodes() -> io::Result<u16> {
    let first = std::net::TcpListener::bind(node(0, 0))?;
    let port = first.local_addr()?.port();
    let rest = (1..NODES).map(|n| std::net::TcpListener::bind(node(n, port)));
    let mut all = [Ok(first)].into_iter().chain(rest).collect::<io::Result<Vec<_>>>()?;
    for _ in 0..NODE_THREADS {
        let own: Vec<_> = all.drain(..all.len().min(NODES.div_ceil(NODE_THREADS))).collect();
        thread::spawn(move || serve(own).expect("nodes serve"));
    }
    Ok(port)
}

struct Taken {
    stream: TcpStream,
    up: bool,
    /// Bytes that could not be returned yet.
    back: Vec<u8>,
}

fn serve(listeners: Vec<std::net::TcpListener>) -> io::Result<()> {
    let (mut poll, mut events) = (Poll::new()?, Events::with_capacity(1024));
    let mut ears = Vec::new();
    for (i, ear) in listeners.into_iter().enumerate() {
        ear.set_nonblocking(true)?;
        let mut ear = TcpListener::from_std(ear);
        poll.registry().register(&mut ear, Token(i), Interest::READABLE)?;
        ears.push(ear);
    }
    let mut conns: Vec<Option<Taken>> = Vec::new();
    let mut free: Vec<usize> = Vec::new();
    let mut bytes = vec![0; 64 << 10];
    loop {
        let _ = poll.poll(&mut events, None);
        for event in &events {
            let Token(at) = event.token();
            if let Some(ear) = ears.get(at) {
                while let Ok((mut stream, _)) = ear.accept() {
                    let _ = stream.set_nodelay(true);
                    let slot = free.pop().unwrap_or_else(|| {
                        conns.push(None);
                        conns.len() - 1
                    });
                    let both = Interest::READABLE | Interest::WRITABLE;
                    poll.registry().register(&mut stream, Token(NODES + slot), both)?;
                    conns[slot] = Some(Taken { stream, up: false, back: Vec::new() });
                }
                continue;
            }
            let slot = at - NODES;
            let Some(conn) = &mut conns[slot] else { continue };
            if !returns(conn, event, &mut bytes) {
                conns[slot] = None;
                free.push(slot);
            }
        }
    }
}

/// Returns what has come; false once the connection is over.
fn returns(conn: &mut Taken, event: &Event, bytes: &mut [u8]) -> bool {
    if !conn.back.is_empty() {
        match conn.stream.write(&conn.back) {
            Ok(n) => drop(conn.back.drain(..n)),
            e if would_block(&e) => return true,
            Err(_) => return false,
        }
    }
    if !event.is_readable() {
        return true;
    }
    loop {
        let n = match conn.stream.read(bytes) {
            Ok(0) => return false,
            Ok(n) => n,
            e if would_block(&e) => return true,
            Err(_) => return false,
        };
        let mut come = &bytes[..n];
        if !conn.up {
            // First lines are short and come whole.
            conn.up = true;
            come = UP;
        }
        match conn.stream.write(come) {
            Ok(wrote) => conn.back.extend_from_slice(&come[wrote..]),
            e if would_block(&e) => conn.back.extend_from_slice(come),
            Err(_) => return false,
        }
        if n < bytes.len() && !event.is_read_closed() {
            return true;
        }
    }
}

/// What clients do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Plan {
    /// So many at once connect, ask, and leave as soon as they are up.
    SetUps(usize),
    /// So many stand; each sends a line as soon as the one before is back.
    Busy(usize),
    /// So many stand, and send so many lines a second together.
    Paced(usize, f64),
    /// So many stand and say nothing.
    Idle(usize),
}

impl Plan {
    fn standing(self) -> usize {
        match self {
            Plan::SetUps(_) => 0,
            Plan::Busy(n) | Plan::Paced(n, _) | Plan::Idle(n) => n,
        }
    }
}

/// What came of it.
#[derive(Clone, Debug)]
pub struct Tally {
    /// Set-ups or lines that were answered while it counted.
    pub done: u64,
    /// Set-ups that were answered otherwise or cut off, and connections that ended.
    pub failed: u64,
    /// Lines that were not back at the end.
    pub lost: u64,
    /// Microseconds to the answer.
    pub took: Histogram<u64>,
}

/// Ids that clients open under, one after the other.
static IDS: AtomicU64 = AtomicU64::new(1);

const OPENS: u8 = 0;
const COUNTS: u8 = 2;
const STOPS: u8 = 3;

#[derive(Debug, Default)]
struct Shared {
    phase: AtomicU8,
    stand: AtomicUsize,
    over: AtomicBool,
}

/// Clients on threads of their own.
#[derive(Debug)]
pub struct Clients {
    shared: Arc<Shared>,
    threads: Vec<JoinHandle<Tally>>,
    standing: usize,
}

impl Clients {
    /// Begins; those that stand are opened first. A `direct` client is one that meets nodes and nobody between.
    pub fn begin(plan: Plan, to: Vec<SocketAddr>, threads: usize) -> Self {
        let shared = Arc::new(Shared::default());
        let begin = |thread| {
            let (shared, to) = (Arc::clone(&shared), to.clone());
            let part = |n: usize| n / threads + usize::from(thread < n % threads);
            let own = match plan {
                Plan::SetUps(n) => Plan::SetUps(part(n)),
                Plan::Busy(n) => Plan::Busy(part(n)),
                Plan::Paced(n, rate) => Plan::Paced(part(n), rate / threads as f64),
                Plan::Idle(n) => Plan::Idle(part(n)),
            };
            thread::spawn(move || Thread::new(own, to, thread, shared).expect("a loop").run())
        };
        let threads = (0..threads).map(begin).collect();
        Clients { shared, threads, standing: plan.standing() }
    }

    /// Waits until all that are to stand do; false if they don't.
    pub fn stand(&self) -> bool {
        let began = Instant::now();
        while self.shared.stand.load(Relaxed) < self.standing {
            if began.elapsed() > Duration::from_secs(60) {
                return false;
            }
            thread::sleep(Duration::from_millis(5));
        }
        true
    }

    /// Lets them work, uncounted until [`Clients::count`].
    pub fn go(&self) {
        self.shared.phase.store(COUNTS - 1, Relaxed);
    }

    /// What is done from now on counts.
    pub fn count(&self) {
        self.shared.phase.store(COUNTS, Relaxed);
    }

    /// Nothing counts any more; connections stay until [`Clients::end`].
    pub fn stop(&self) {
        self.shared.phase.store(STOPS, Relaxed);
    }

    /// Ends all connections and tells what came of it.
    pub fn end(self) -> Tally {
        self.shared.over.store(true, Relaxed);
        let tallies = self.threads.into_iter().map(|t| t.join().expect("a thread"));
        tallies
            .reduce(|mut a, b| {
                (a.done, a.failed, a.lost) = (a.done + b.done, a.failed + b.failed, a.lost + b.lost);
                a.took.add(b.took).expect("the same range");
                a
            })
            .expect("threads")
    }
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Connects,
    Asks,
    Stands,
    /// Its line is out, of which so many bytes are still to come back.
    Out(usize),
}

struct Conn {
    stream: TcpStream,
    state: State,
    since: Instant,
}

struct Thread {
    plan: Plan,
    to: Vec<SocketAddr>,
    number: usize,
    shared: Arc<Shared>,
    poll: Poll,
    conns: Vec<Option<Conn>>,
    opening: usize,
    begun: u64,
    tally: Tally,
    bytes: Vec<u8>,
}

impl Thread {
    fn new(plan: Plan, to: Vec<SocketAddr>, number: usize, shared: Arc<Shared>) -> io::Result<Self> {
        let took = Histogram::new_with_bounds(1, 60_000_000, 3).expect("good bounds");
        Ok(Thread {
            plan,
            to,
            number,
            shared,
            poll: Poll::new()?,
            conns: Vec::new(),
            opening: 0,
            begun: 0,
            tally: Tally { done: 0, failed: 0, lost: 0, took },
            bytes: vec![0; 16 << 10],
        })
    }

    fn phase(&self) -> u8 {
        self.shared.phase.load(Relaxed)
    }

    fn connect(&mut self, slot: usize) {
        self.begun += 1;
        let to = self.to[self.begun as usize % self.to.len()];
        // Ports of several addresses, so that they are not used up.
        let from = Ipv4Addr::new(127, 0, 9, 1 + (self.number * 8 + self.begun as usize % 8) as u8);
        let stream = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).and_then(|s| {
            s.set_nonblocking(true)?;
            s.set_tcp_nodelay(true)?;
            s.set_reuse_address(true)?;
            s.bind(&SocketAddr::from((from, 0)).into())?;
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
                self.conns[slot] = Some(Conn { stream, state: State::Connects, since: Instant::now() });
                self.opening += 1;
            }
            Err(e) => {
                eprintln!("a client's connection: {e}");
                self.tally.failed += 1;
            }
        }
    }

    fn run(mut self) -> Tally {
        let mut events = Events::with_capacity(1024);
        let standing = self.plan.standing();
        let mut paced = (Instant::now(), 0_u64, 0_usize);
        while !self.shared.over.load(Relaxed) {
            let phase = self.phase();
            if self.conns.len() < standing && self.opening < OPENING {
                self.conns.push(None);
                self.connect(self.conns.len() - 1);
                continue;
            }
            if let Plan::SetUps(n) = self.plan
                && phase > OPENS
            {
                while self.conns.len() < n {
                    self.conns.push(None);
                    self.connect(self.conns.len() - 1);
                }
            }
            if phase == OPENS {
                paced = (Instant::now(), 0, 0);
            }
            let mut wait = Duration::from_millis(20);
            if let (Plan::Paced(_, rate), true) = (self.plan, phase > OPENS && phase < STOPS) {
                // Looks all the time: a wait would be rounded to whole milliseconds.
                wait = Duration::ZERO;
                let due = (paced.0.elapsed().as_secs_f64() * rate) as u64;
                while paced.1 < due {
                    let at = paced.0 + Duration::from_secs_f64(paced.1 as f64 / rate);
                    paced.1 += 1;
                    for _ in 0..self.conns.len() {
                        paced.2 = (paced.2 + 1) % self.conns.len();
                        if self.line(paced.2, at) {
                            break;
                        }
                    }
                }
            }
            if let (Plan::Busy(_), 1) = (self.plan, phase) {
                (0..self.conns.len()).for_each(|slot| {
                    self.line(slot, Instant::now());
                });
            }
            let _ = self.poll.poll(&mut events, Some(wait));
            for event in &events {
                self.ready(event.token().0, event);
            }
        }
        let out = |conn: &&Option<Conn>| conn.as_ref().is_some_and(|c| matches!(c.state, State::Out(_)));
        self.tally.lost = self.conns.iter().filter(out).count() as u64;
        self.tally
    }

    /// Sends a line on a connection that has none out.
    fn line(&mut self, slot: usize, due: Instant) -> bool {
        let Some(conn) = self.conns[slot].as_mut().filter(|c| c.state == State::Stands) else { return false };
        (conn.state, conn.since) = (State::Out(LINE.len()), due);
        conn.stream.write(LINE).is_ok_and(|n| n == LINE.len())
    }

    fn answered(&mut self, since: Instant) {
        if self.phase() == COUNTS {
            self.tally.done += 1;
            self.tally.took.saturating_record(since.elapsed().as_micros() as u64);
        }
    }

    fn ready(&mut self, slot: usize, event: &Event) {
        let Some(conn) = self.conns[slot].as_mut() else { return };
        if conn.state == State::Connects && event.is_writable() {
            conn.state = State::Asks;
            let id = IDS.fetch_add(1, Relaxed);
            let key = id.wrapping_mul(0x9e37_79b9_7f4a_7c15);
            let line = format!("OPEN {id:x} {key:x} c=chat,t=acme,d=20000,h=0.000001\r\n");
            let _ = conn.stream.write(line.as_bytes());
        }
        if !event.is_readable() {
            return;
        }
        let n = match conn.stream.read(&mut self.bytes) {
            Ok(n) => n,
            e if would_block(&e) => return,
            Err(_) => 0,
        };
        let (state, since) = (conn.state, conn.since);
        match state {
            State::Asks if self.bytes[..n].starts_with(b"UP") => {
                self.opening -= 1;
                conn.state = State::Stands;
                self.shared.stand.fetch_add(1, Relaxed);
                if let Plan::SetUps(_) = self.plan {
                    self.answered(since);
                    self.again(slot);
                }
            }
            // What is not the line that was sent was doubled, or is of the balancer's own.
            State::Out(left)
                if n > 0 && n <= left && LINE[LINE.len() - left..].starts_with(&self.bytes[..n]) =>
            {
                conn.state = if n < left { State::Out(left - n) } else { State::Stands };
                if n >= left {
                    self.answered(since);
                    let phase = self.phase();
                    if matches!(self.plan, Plan::Busy(_)) && phase < STOPS {
                        self.line(slot, Instant::now());
                    }
                }
            }
            _ => {
                if matches!(state, State::Connects | State::Asks) {
                    self.opening -= 1;
                }
                self.tally.failed += 1;
                if self.tally.failed == 1 {
                    eprintln!("a client got: {}", self.bytes[..n].escape_ascii());
                }
                self.again(slot);
            }
        }
    }

    fn again(&mut self, slot: usize) {
        self.conns[slot] = None;
        match self.plan {
            Plan::SetUps(_) if self.phase() < STOPS => self.connect(slot),
            _ => {}
        }
    }
}
