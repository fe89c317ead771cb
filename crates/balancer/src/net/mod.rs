//! The real balancer's loop: one thread, one clock, and peers that are objects with callbacks.

mod budget;
mod clients;
mod complaints;
mod farewell;
mod hub;
mod link;
mod list;
mod poll;
mod pool;
mod relay;
mod reload;
mod servers;
mod serving;
mod terms;
mod timers;
mod turn;

use std::io;
use std::net::TcpListener;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use calloop::generic::Generic;
use calloop::signals::{Signal, Signals};
use calloop::{EventLoop, Interest, Mode, PostAction};
use shorewharf_driver::{Driver, Micros};
use socket2::{Domain, Socket, Type};
use tracing::{error, info};

use crate::config::{Config, ConfigError};
use hub::Net;
use poll::{Notes, Poller, Seen};
use terms::Terms;
use turn::Turn;

/// Connections that the system holds until they are accepted.
const BACKLOG: i32 = 4096;

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

/// Reads the configuration again, whole.
type Reread = Box<dyn Fn() -> Result<Config, ConfigError>>;

/// The peers, and the driver that stands between them and the decisions.
struct Balancing {
    net: Net,
    driver: Driver,
    /// The configuration in force.
    config: Config,
    reread: Reread,
}

impl Balancing {
    /// A turn: each peer that the loop has seen something of acts, and the module hears of it before the next does.
    fn turn(&mut self, now: Micros, seen: impl Iterator<Item = Seen>) {
        self.net.begin(now);
        for seen in seen {
            match seen {
                Seen::Reload => self.reload(),
                seen => self.net.seen(seen),
            }
            self.driver.settle(&mut self.net);
        }
        let driver = &mut self.driver;
        self.net.finish(|net| driver.settle(net));
    }

    /// SIGHUP has come. Several close together may come as one: the file is read as it is now.
    fn reload(&mut self) {
        let take = |next| reload::take(&mut self.config, next, &mut self.net, &mut self.driver);
        if let Err(e) = (self.reread)().and_then(take) {
            // Nothing of a file that is wrong anywhere is applied.
            error!(event = "reload-refused", key = e.key(), why = %e.why());
        }
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

/// Runs the balancer until it is told to end. On SIGHUP it takes what `reread` brings.
///
/// # Errors
/// Where it can't listen at the configured address, or the event loop fails.
pub fn run(config: Config, reread: impl Fn() -> Result<Config, ConfigError> + 'static) -> io::Result<()> {
    let mut events: EventLoop<Notes> = EventLoop::try_new()?;
    let handle = events.handle();
    let other = |e: calloop::Error| io::Error::other(e.to_string());
    // Before anything is opened: a SIGHUP that nobody waits for ends the program.
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP]).map_err(other)?;
    let told = |event: calloop::signals::Event, _: &mut (), notes: &mut Notes| {
        notes.push(if event.signal() == Signal::SIGHUP { Seen::Reload } else { Seen::Stop });
    };
    handle.insert_source(signals, told).map_err(|e| other(e.error))?;
    let listener = listen(&config)?;
    let ears = Generic::new(listener.try_clone()?, Interest::READ, Mode::Edge);
    let called = |_, _: &mut _, notes: &mut Notes| {
        notes.push(Seen::Clients);
        Ok(PostAction::Continue)
    };
    handle.insert_source(ears, called).map_err(|e| other(e.error))?;
    let clock = Clock::new();
    let turn = Turn::new(Poller::new(handle), clock.read());
    let mut net = Net::new(turn, listener, config.discovery, Terms::from(&config));
    let known = net.list_known(&config.known);
    let servers = known.len();
    let driver = Driver::start(config.settings.clone(), &config.operator, config.seed, known, &mut net);
    // The address that is bound: the port may have been left to the system.
    info!(event = "serving", name = config.name, listen = %net.listens_at()?, servers);
    let mut balancing = Balancing { net, driver, config, reread: Box::new(reread) };
    let mut notes = Notes::new();
    balancing.turn(clock.read(), notes.drain(..));
    while !balancing.net.is_done() {
        let wait = balancing.net.next_due().saturating_sub(clock.read());
        events.dispatch(Some(Duration::from_micros(wait)), &mut notes).map_err(other)?;
        balancing.turn(clock.read(), notes.drain(..));
    }
    Ok(())
}
