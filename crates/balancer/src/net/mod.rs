//! The real balancer's loop: one thread, one clock, and peers that are objects with callbacks.

pub mod backends;
mod budget;
pub mod clients;
mod delays;
pub mod director;
pub mod link;
pub mod pool;
mod reload;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use std::io;
use std::net::TcpListener;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, LoopHandle, Mode, PostAction, Readiness};
use socket2::{Domain, Socket, Type};

use crate::config::{Config, ConfigError};
use backends::{Backend, Fetch, Probe};
use budget::{Complaints, Unserved};
use clients::ClientSession;
use director::Director;
use link::Link;
use pool::Pool;
use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::{Driver, Happening, Micros, Peers, micros};
use shorewharf_protocol::names::Names;

/// How often connections are looked over for ends that are due, silence and a full descriptor table.
const SWEEP: Micros = 100_000;
/// How often servers' message delays are reported, as on the simulator's wire.
const DELAY_PERIOD: Micros = 1_000_000;
/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 4096;
/// Clients accepted in one turn; connections that stand get theirs in between.
const ACCEPTS: usize = 64;
/// After SIGTERM the front still sends clients for 0.4 s; moved any sooner, they would come back here.
const LEAVE_AFTER: Micros = 450_000;
/// SIGKILL comes no sooner than this after the longest wait of a client, which counts as 3 s where it is longer.
const GRACE: Micros = 700_000;
const GRACE_WAIT: Micros = 3_000_000;

/// Writes a line to the log.
macro_rules! log {
    ($($text:tt)*) => { eprintln!("shorewharf: {}", format_args!($($text)*)) };
}
pub(crate) use log;

/// The program's clock: whole microseconds, moved on by the monotonic clock alone. It is set by Unix time
/// once, at the start, so that the times in the server list are on it too.
#[derive(Debug)]
struct Clock {
    start: Instant,
    base: Micros,
}

impl Clock {
    fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), base: unix.as_micros() as Micros }
    }

    fn read(&self) -> Micros {
        self.base + self.start.elapsed().as_micros() as Micros
    }
}

/// The steps of a planned end, in time since SIGTERM. Standing clients stay until near its end: in a rolling
/// restart the balancer before this one may not be back yet, and clients moved early would find nobody.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Farewell {
    /// The moves begin; they are spread, as all at once would be a reconnect storm.
    move_from: Micros,
    /// Everybody has been moved.
    move_until: Micros,
    /// Who still waits is refused.
    answers: Micros,
    /// The program ends.
    last: Micros,
}

impl Farewell {
    fn new(give_up: &[Micros]) -> Self {
        let kill = give_up.iter().copied().max().unwrap_or(0).min(GRACE_WAIT) + GRACE;
        // Clients have 0.5 s for their last words after the last move, and 0.3 s are left for a busy machine.
        let move_until = kill.saturating_sub(800_000);
        Farewell {
            move_from: move_until.saturating_sub(900_000).max(LEAVE_AFTER),
            move_until: move_until.max(LEAVE_AFTER + SWEEP),
            answers: move_until.saturating_sub(500_000),
            last: kill - 300_000,
        }
    }
}

/// What a timer is for. Those of a fetch carry its number: it may be over when they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Module(u64),
    Connect(RequestId, u64),
    Patience(RequestId, u64),
    Probe(u64),
    Sweep,
    Delays,
}

/// Who a connection in the loop belongs to.
#[derive(Clone, Copy, Debug)]
enum Owner {
    Session(RequestId),
    Fetch(RequestId),
    Probe(u64),
    Director,
}

/// All peers, and what they share.
#[derive(Debug)]
pub struct Net {
    handle: LoopHandle<'static, Balancing>,
    clock: Clock,
    now: Micros,
    /// The clock has been read this turn.
    read: bool,
    pool: Pool,
    happenings: VecDeque<Happening>,
    timers: BinaryHeap<Reverse<(Micros, u64, Due)>>,
    serial: u64,
    listener: TcpListener,
    can_accept: bool,
    /// More clients wait to be accepted than one turn takes.
    more_clients: bool,
    short: bool,
    sockets: usize,
    unserved: Unserved,
    complaints: Complaints,
    /// The ids that clients opened with and that are waiting or standing.
    open_ids: HashMap<u64, RequestId>,
    sessions: HashMap<RequestId, ClientSession>,
    fetches: HashMap<RequestId, Fetch>,
    probes: HashMap<u64, Probe>,
    backends: BTreeMap<ServerId, Backend>,
    director: Director,
    names: Names,
    give_up: Vec<Micros>,
    connect_timeout: Micros,
    message_aim: Micros,
    tells_delay: bool,
    next_id: u32,
    /// Connections with more to carry, which let the others have their turn.
    again: Vec<RequestId>,
    /// When SIGTERM came.
    leaving: Option<Micros>,
    done: bool,
}

/// Reads the configuration again, whole.
type Reread = Box<dyn Fn() -> Result<Config, ConfigError>>;

/// The loop's data: the peers, and the driver that stands between them and the decisions.
pub struct Balancing {
    net: Net,
    driver: Driver,
    /// The configuration in force.
    config: Config,
    reread: Reread,
}

impl Balancing {
    /// One callback: the peer acts, then the module hears of it.
    fn act(&mut self, f: impl FnOnce(&mut Net)) {
        self.net.begin();
        f(&mut self.net);
        self.driver.settle(&mut self.net);
    }

    fn turn_over(&mut self) {
        self.act(Net::due);
        self.net.read = false;
    }
}

impl Net {
    /// Reads the clock, once a turn.
    fn begin(&mut self) {
        if !std::mem::replace(&mut self.read, true) {
            self.now = self.now.max(self.clock.read());
        }
    }

    fn serial(&mut self) -> u64 {
        self.serial += 1;
        self.serial
    }

    fn at(&mut self, when: Micros, due: Due) {
        let serial = self.serial();
        self.timers.push(Reverse((when, serial, due)));
    }

    fn tell(&mut self, happening: Happening) {
        self.happenings.push_back(happening);
    }

    fn due(&mut self) {
        std::mem::take(&mut self.again).into_iter().for_each(|id| self.relay(id));
        if std::mem::take(&mut self.more_clients) {
            self.accept();
        }
        while let Some(&Reverse((when, _, due))) = self.timers.peek() {
            if when > self.now {
                break;
            }
            self.timers.pop();
            match due {
                Due::Module(token) => self.tell(Happening::Woken(token)),
                Due::Connect(id, number) => self.connect_due(id, number),
                Due::Patience(id, number) => self.patience_due(id, number),
                Due::Probe(number) => self.probe_over(number, Outcome::TimedOut),
                Due::Sweep => self.sweep(),
                Due::Delays => {
                    self.report_delays();
                    self.at(self.now + DELAY_PERIOD, Due::Delays);
                }
            }
        }
    }

    fn sweep(&mut self) {
        self.accept();
        self.sweep_sessions();
        self.complaints_due();
        self.director_sweep();
        if let Some(since) = self.leaving {
            self.leave(self.now - since);
        }
        self.at(self.now + SWEEP, Due::Sweep);
    }

    /// Has the loop watch a connection. Edge-triggered: the link remembers what it is ready for.
    fn watch_link(&self, link: &mut Link, owner: Owner) -> bool {
        let source = Generic::new(link.stream(), Interest::BOTH, Mode::Edge);
        let inserted = self.handle.insert_source(source, move |ready: Readiness, _, b: &mut Balancing| {
            let (read, write) = (ready.readable || ready.error, ready.writable || ready.error);
            b.act(|net| match owner {
                Owner::Session(id) => net.session_ready(id, read, write),
                Owner::Fetch(id) => net.fetch_ready(id, read, write),
                Owner::Probe(number) => net.probe_ready(number, read, write),
                Owner::Director => net.director_ready(read, write),
            });
            Ok(PostAction::Continue)
        });
        link.source = inserted.ok();
        link.source.is_some()
    }

    /// Ends a connection; the descriptor is free once the callback is over.
    fn close(&self, mut link: Link) {
        if let Some(source) = link.source.take() {
            self.handle.remove(source);
        }
    }

    fn accept(&mut self) {
        for _ in 0..ACCEPTS {
            if !self.can_accept {
                break;
            }
            // Out of descriptors, clients wait in the backlog; the sweep looks again.
            if !self.may_accept() {
                return self.note_short(true);
            }
            match self.listener.accept() {
                Ok((stream, from)) => self.session_begins(stream, from),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.can_accept = false,
                Err(e) if is_shortage(&e) => return self.note_short(true),
                // The client gave up while it waited; the next one may be fine.
                Err(e) if e.kind() == io::ErrorKind::ConnectionAborted => {}
                // Tried again by the sweep: an error that stays must not become a busy loop.
                Err(e) => return log!("accept-failed error=\"{e}\""),
            }
        }
        if self.has_descriptor() {
            self.note_short(false);
            self.more_clients = self.can_accept;
        }
    }

    fn stop_soon(&mut self) {
        if self.leaving.is_none() {
            self.leaving = Some(self.now);
            log!("leaving sessions={} waiting={}", self.up_sessions(), self.waiting_sessions());
        }
    }

    /// The steps of a planned end: accept and answer, move everybody, refuse who still waits, go.
    fn leave(&mut self, since: Micros) {
        let farewell = Farewell::new(&self.give_up);
        if since >= farewell.answers {
            self.refuse_all();
        }
        if since >= farewell.move_from {
            self.move_some(farewell.move_until.saturating_sub(since) / SWEEP);
        }
        if since >= farewell.last || (since >= LEAVE_AFTER + SWEEP && self.sessions.is_empty()) {
            log!("left sessions={}", self.sessions.len());
            self.done = true;
        }
    }
}

/// Whether an error means that descriptors or memory for them have run out (here, or in the whole system).
fn is_shortage(e: &io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    const ENOBUFS: i32 = 105;
    e.kind() == io::ErrorKind::OutOfMemory
        || matches!(e.raw_os_error(), Some(ENFILE) | Some(EMFILE) | Some(ENOBUFS))
}

impl Peers for Net {
    fn now(&self) -> Micros {
        self.now
    }

    fn next(&mut self) -> Option<Happening> {
        self.happenings.pop_front()
    }

    fn fetch(&mut self, req: RequestId, server: ServerId, patience: Micros) {
        self.fetch_begins(req, server, patience);
    }

    fn call_off(&mut self, req: RequestId) {
        self.fetch_over(req, Outcome::Cancelled);
    }

    fn refuse(&mut self, req: RequestId, after: Micros) {
        self.answer_busy(req, after);
    }

    fn fail(&mut self, req: RequestId) {
        self.answer_failed(req);
    }

    fn move_away(&mut self, req: RequestId) {
        self.session_moves(req);
    }

    fn probe(&mut self, server: ServerId) {
        self.probe_begins(server);
    }

    fn watch(&mut self) {
        self.director_watch();
    }

    fn wake(&mut self, after: Micros, token: u64) {
        self.at(self.now + after, Due::Module(token));
    }

    fn log(&mut self, line: &str) {
        log!("module \"{line}\"");
    }
}

fn listen(config: &Config) -> io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(config.listen), Type::STREAM, None)?;
    // A balancer comes back under its address while connections of its past life linger.
    socket.set_reuse_address(true)?;
    socket.bind(&config.listen.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(socket.into())
}

/// The shortest message aim, in microseconds.
fn message_aim(config: &Config) -> Micros {
    micros(config.settings.classes.iter().map(|c| c.message_aim).fold(f64::INFINITY, f64::min))
}

/// Runs the balancer until it is told to end. On SIGHUP it takes what `reread` brings.
pub fn run(config: Config, reread: impl Fn() -> Result<Config, ConfigError> + 'static) -> io::Result<()> {
    let mut events: EventLoop<Balancing> = EventLoop::try_new()?;
    let handle = events.handle();
    let other = |e: calloop::Error| io::Error::other(e.to_string());
    // Before anything is opened: a SIGHUP that nobody waits for ends the program.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(other)?;
    handle
        .insert_source(signals, |event, _, b| match event.signal() {
            Signal::SIGHUP => b.reload(),
            _ => b.act(Net::stop_soon),
        })
        .map_err(|e| other(e.error))?;
    let listener = listen(&config)?;
    let ears = Generic::new(listener.try_clone()?, Interest::READ, Mode::Edge);
    handle
        .insert_source(ears, |_, _, b| {
            b.act(|net| {
                net.can_accept = true;
                net.accept();
            });
            Ok(PostAction::Continue)
        })
        .map_err(|e| other(e.error))?;
    let clock = Clock::new();
    let mut net = Net {
        handle,
        now: clock.read(),
        clock,
        read: true,
        pool: Pool::default(),
        happenings: VecDeque::new(),
        timers: BinaryHeap::new(),
        serial: 0,
        listener,
        can_accept: true,
        more_clients: false,
        short: false,
        sockets: config.limits.sockets,
        unserved: Unserved::default(),
        complaints: Complaints::default(),
        open_ids: HashMap::new(),
        sessions: HashMap::new(),
        fetches: HashMap::new(),
        probes: HashMap::new(),
        backends: BTreeMap::new(),
        director: Director::new(config.discovery),
        names: config.names.clone(),
        give_up: config.give_up.clone(),
        connect_timeout: micros(config.settings.connect_timeout),
        message_aim: message_aim(&config),
        tells_delay: config.tells_delay,
        next_id: 0,
        again: Vec::new(),
        leaving: None,
        done: false,
    };
    let known = net.list_known(&config.known);
    net.at(net.now, Due::Sweep);
    net.at(net.now + DELAY_PERIOD, Due::Delays);
    let servers = known.len();
    let driver = Driver::start(config.settings.clone(), config.seed, known, &mut net);
    let mut balancing = Balancing { net, driver, config, reread: Box::new(reread) };
    // The address that is bound: the port may have been left to the system.
    let listen = balancing.net.listener.local_addr()?;
    log!("serving name={} listen={listen} servers={servers}", balancing.config.name);
    balancing.turn_over();
    while !balancing.net.done {
        let next = balancing.net.timers.peek().map_or(SWEEP, |t| t.0.0);
        let busy = !balancing.net.again.is_empty() || balancing.net.more_clients;
        let wait = if busy { 0 } else { next.saturating_sub(balancing.net.clock.read()) };
        events.dispatch(Some(Duration::from_micros(wait)), &mut balancing).map_err(other)?;
        balancing.turn_over();
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_planned_end_fits_before_sigkill() {
        let usual = Farewell::new(&[3_200_000]);
        assert_eq!((usual.move_from, usual.move_until, usual.last), (2_000_000, 2_900_000, 3_400_000));
        let short = Farewell::new(&[1_000_000]);
        assert!(short.move_from >= LEAVE_AFTER && short.move_until < short.last && short.last < 1_700_000);
    }
}
