//! What a seed draws.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// Zones of the fleet.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// What repeating a request of a class may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Anything goes.
    Safe,
    /// Every server drops repeats within the window.
    KeyedAll,
    /// Servers of the first one's zone drop repeats within the window.
    KeyedZone,
    /// It must not be repeated.
    Unsafe,
}

impl Effect {
    /// All of them.
    pub const ALL: [Effect; 4] = [Effect::Safe, Effect::KeyedAll, Effect::KeyedZone, Effect::Unsafe];

    /// Whether a request that may have run may be refused.
    pub fn is_refusable(self) -> bool {
        matches!(self, Effect::Safe | Effect::KeyedAll)
    }
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// Its name.
    pub name: String,
    /// What repeating one may do.
    pub effect: Effect,
    /// How long its clients wait.
    pub give_up: Duration,
    /// The window of a keyed class.
    pub window: Duration,
}

/// How a server treats first lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It takes them at once.
    Normal,
    /// It reads them and says nothing.
    Hangs,
    /// It takes them up to so many milliseconds later.
    Slow(u64),
    /// It answers `ERR`.
    Errors,
    /// It answers `BUSY`.
    TurnsAway,
    /// It resets the connection up to so many milliseconds after the line.
    Resets(u64),
}

/// One thing that goes wrong.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A balancer is told to end, and is started again once it has.
    Terminate {
        /// Which one.
        balancer: usize,
        /// It is told twice.
        twice: bool,
    },
    /// A balancer is killed, and started again.
    Kill {
        /// Which one.
        balancer: usize,
    },
    /// A balancer is held up for a moment.
    Pause {
        /// Which one.
        balancer: usize,
        /// For so long.
        length: Duration,
    },
    /// A balancer reads its configuration again, in which all classes may be called safe.
    Reload {
        /// Which one.
        balancer: usize,
        /// The configuration calls every class safe.
        all_safe: bool,
    },
    /// A server behaves otherwise for a while.
    Server {
        /// Which one.
        server: usize,
        /// How.
        behaviour: Behaviour,
        /// For so long.
        length: Duration,
    },
    /// A server drains for a while.
    Drain {
        /// Which one.
        server: usize,
        /// For so long.
        length: Duration,
    },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct Timed {
    /// Since the run's start.
    pub at: Duration,
    /// What goes wrong.
    pub fault: Fault,
}

/// Everything that a seed draws.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// New requests come for so long.
    pub length: Duration,
    /// Processes.
    pub balancers: usize,
    /// Servers.
    pub servers: usize,
    /// Clients that each send one request after the other.
    pub clients: usize,
    /// Classes of requests.
    pub classes: Vec<Class>,
    /// By time.
    pub faults: Vec<Timed>,
    /// System calls that fail, for each balancer, in the words of the faults' library; empty for none.
    pub system_faults: Vec<String>,
}

/// Faults of system calls that a run may draw.
const SYSTEM_FAULTS: [&str; 14] = [
    "recv=short%40",
    "send=short%40",
    "connect=EADDRNOTAVAIL%30",
    "connect=ENETUNREACH%20@1-4",
    "connect=EHOSTUNREACH%20",
    "connect=ENOBUFS%20",
    "socket=EMFILE%20@2-3",
    "socket=ENFILE%10",
    "accept=ECONNABORTED%20",
    "accept=EMFILE%30@1-3",
    "accept=EINTR%20",
    "wait=EINTR%20",
    "clock=3600@2-1e9",
    "clock=-7@3-1e9",
];

impl Plan {
    /// Draws a run with so many processes, or 10 to 40.
    pub fn draw(seed: u64, length: Duration, balancers: Option<usize>) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let balancers = balancers.unwrap_or_else(|| random.random_range(10..=40));
        let servers = random.random_range(6..=15);
        let classes = Effect::ALL.map(|effect| draw_class(&mut random, effect)).to_vec();
        let count = (length.as_secs_f64() * random.random_range(1.5..4.0)) as usize;
        let mut faults: Vec<Timed> =
            (0..count).map(|_| draw_fault(&mut random, length, balancers, servers)).collect();
        faults.sort_by_key(|timed| timed.at);
        let system_faults = (0..balancers).map(|_| draw_system_faults(&mut random)).collect();
        Plan { seed, length, balancers, servers, clients: balancers * 6, classes, faults, system_faults }
    }
}

fn draw_class(random: &mut Pcg64Mcg, effect: Effect) -> Class {
    let give_up = Duration::from_millis(random.random_range(700..2500));
    let window = Duration::from_millis(random.random_range(400..4000));
    let name = match effect {
        Effect::Safe => "read",
        Effect::KeyedAll => "key-all",
        Effect::KeyedZone => "key-zone",
        Effect::Unsafe => "write",
    };
    Class { name: name.to_owned(), effect, give_up, window }
}

fn draw_fault(random: &mut Pcg64Mcg, length: Duration, balancers: usize, servers: usize) -> Timed {
    let at = length.mul_f64(random.random_range(0.05..0.95));
    let (balancer, server) = (random.random_range(0..balancers), random.random_range(0..servers));
    let span = Duration::from_millis(random.random_range(200..3000));
    let fault = match random.random_range(0..100) {
        0..25 => Fault::Terminate { balancer, twice: random.random_bool(0.3) },
        25..30 => Fault::Kill { balancer },
        30..40 => Fault::Pause { balancer, length: Duration::from_millis(random.random_range(20..150)) },
        40..50 => Fault::Reload { balancer, all_safe: random.random_bool(0.5) },
        50..60 => Fault::Drain { server, length: span },
        _ => Fault::Server { server, behaviour: draw_behaviour(random), length: span },
    };
    Timed { at, fault }
}

fn draw_behaviour(random: &mut Pcg64Mcg) -> Behaviour {
    let behaviours = [
        Behaviour::Hangs,
        Behaviour::Hangs,
        Behaviour::Slow(1500),
        Behaviour::Errors,
        Behaviour::TurnsAway,
        Behaviour::Resets(0),
        Behaviour::Resets(900),
    ];
    *behaviours.choose(random).expect("there are some")
}

fn draw_system_faults(random: &mut Pcg64Mcg) -> String {
    let count = *[0, 0, 1, 2, 3].choose(random).expect("there are some");
    let drawn: Vec<&str> = SYSTEM_FAULTS.choose_multiple(random, count).copied().collect();
    drawn.join(";")
}
