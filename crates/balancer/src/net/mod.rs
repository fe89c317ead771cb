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
mod pressure;
mod relay;
mod reload;
mod servers;
mod serving;
mod terms;
pub mod timers;
mod turn;

use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use mio::net::TcpListener;
use shorewharf_driver::{Driver, Micros};
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use signal_hook_mio::v1_0::Signals;
use socket2::{Domain, Socket, Type};
use tracing::{error, info};

use crate::config::{Config, ConfigError};
use hub::Net;
pub use list::{incoming, reader};
use poll::{Owner, Ready, Watch};
pub use servers::backends;
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
    signals: Signals,
}

impl Balancing {
    /// A turn: each peer that the loop has seen something of acts, and the module hears of it before the next does.
    fn turn(&mut self, now: Micros, seen: impl Iterator<Item = (Owner, Ready)>) {
        self.net.begin(now);
        for (owner, ready) in seen {
            match owner {
                Owner::Signals => self.signalled(),
                owner => self.net.seen(owner, ready),
            }
            self.driver.settle(&mut self.net);
        }
        let driver = &mut self.driver;
        self.net.finish(|net| driver.settle(net));
    }

    fn signalled(&mut self) {
        let came: Vec<_> = self.signals.pending().collect();
        for signal in came {
            match signal {
                SIGHUP => self.reload(),
                _ => self.net.stop_soon(),
            }
        }
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
    // Lines are short and wanted at once; connections that are accepted take it over.
    socket.set_tcp_nodelay(true)?;
    socket.bind(&config.listen.into())?;
    socket.listen(BACKLOG)?;
    socket.set_nonblocking(true)?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Runs the balancer until it is told to end. On SIGHUP it takes what `reread` brings.
///
/// # Errors
/// Where it can't listen at the configured address, or the event loop fails.
pub fn run(mut config: Config, reread: impl Fn() -> Result<Config, ConfigError> + 'static) -> io::Result<()> {
    let mut watch = Watch::new()?;
    let poller = watch.poller()?;
    // Before anything is opened: a SIGHUP that nobody waits for ends the program.
    let mut signals = Signals::new([SIGTERM, SIGINT, SIGHUP])?;
    poller.listen(&mut signals, Owner::Signals)?;
    let mut listener = listen(&config)?;
    poller.listen(&mut listener, Owner::Listener)?;
    let clock = Clock::new();
    let turn = Turn::new(poller, clock.read());
    let mut net = Net::new(turn, listener, config.discovery, Terms::from(&config));
    // Held once: by the tables from now on.
    let known = net.list_known(&std::mem::take(&mut config.known));
    let servers = known.len();
    let driver = Driver::start(config.settings.clone(), &config.operator, config.seed, known, &mut net);
    // The address that is bound: the port may have been left to the system.
    info!(event = "serving", name = config.name, listen = %net.listens_at()?, servers);
    let mut balancing = Balancing { net, driver, config, reread: Box::new(reread), signals };
    balancing.turn(clock.read(), std::iter::empty());
    while !balancing.net.is_done() {
        let now = clock.read();
        let wait = balancing.net.ends(now).saturating_sub(now);
        watch.wait(Duration::from_micros(wait))?;
        balancing.turn(clock.read(), watch.seen());
    }
    Ok(())
}
