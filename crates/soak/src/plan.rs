//! The plan of a run, drawn by a seed: the fleet, the classes of requests, and the faults.

use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// The number of clients per balancer.
const CLIENTS_PER_BALANCER: usize = 6;

/// The fraction of plans with short deadlines, and how much shorter these are.
const SHORT_DEADLINES_RATIO: f64 = 0.3;
const SHORT_DEADLINE_SCALE: f64 = 0.3;

/// The zones of the fleet.
pub const ZONES: [&str; 3] = ["a", "b", "c"];

/// Whether a request of a class may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Semantics {
    /// Always: it is idempotent.
    Idempotent,
    /// Within the window: every server drops repeats by the idempotency key.
    KeyedAll,
    /// Within the window and the zone of the first attempt, whose servers drop repeats by the idempotency key.
    KeyedZone,
    /// Never.
    NonIdempotent,
}

impl Semantics {
    /// All values.
    pub const ALL: [Semantics; 4] =
        [Semantics::Idempotent, Semantics::KeyedAll, Semantics::KeyedZone, Semantics::NonIdempotent];

    /// Whether a request may be rejected (`BUSY`) although it may have run.
    pub fn is_rejectable(self) -> bool {
        matches!(self, Semantics::Idempotent | Semantics::KeyedAll)
    }
}

/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// The name.
    pub name: String,
    /// Whether a request may be repeated.
    pub semantics: Semantics,
    /// How long its clients wait for an answer.
    pub deadline: Duration,
    /// The time for which servers remember idempotency keys.
    pub window: Duration,
}

/// How a server treats requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behaviour {
    /// It accepts them at once.
    Normal,
    /// It reads them and never answers.
    Hangs,
    /// It accepts them after a random time.
    Slow {
        /// The longest time, in milliseconds.
        max_ms: u64,
    },
    /// It answers `ERR`.
    Errors,
    /// It answers `BUSY`.
    Rejects,
    /// It resets the connection after a random time.
    Resets {
        /// The longest time, in milliseconds.
        max_ms: u64,
    },
}

/// A fault of a balancer or server, other than failing system calls.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    /// A balancer gets SIGTERM, and is started again once it has exited.
    Terminate {
        /// The balancer's number.
        balancer: usize,
        /// Whether it gets the signal twice.
        twice: bool,
    },
    /// A balancer gets SIGKILL, and is started again.
    Kill {
        /// The balancer's number.
        balancer: usize,
    },
    /// A balancer is stopped and continued.
    Pause {
        /// The balancer's number.
        balancer: usize,
        /// How long it lasts.
        length: Duration,
    },
    /// A balancer reloads its configuration.
    Reload {
        /// The balancer's number.
        balancer: usize,
        /// Whether every class is idempotent in the new configuration, rather than as in the plan.
        all_idempotent: bool,
    },
    /// A server behaves differently for the time `length`.
    Server {
        /// The server's number.
        server: usize,
        /// The server's behaviour during that time.
        behaviour: Behaviour,
        /// How long it lasts.
        length: Duration,
    },
    /// A server is listed as draining for the time `length`.
    Drain {
        /// The server's number.
        server: usize,
        /// How long it lasts.
        length: Duration,
    },
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// When the fault begins, since the start of the run.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// The plan of a run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed.
    pub seed: u64,
    /// The time for which clients send new requests.
    pub length: Duration,
    /// The number of balancers.
    pub balancers: usize,
    /// The number of servers.
    pub servers: usize,
    /// The number of clients, which each send one request after the other.
    pub clients: usize,
    /// The classes of requests.
    pub classes: Vec<Class>,
    /// The faults in the order of their times.
    pub faults: Vec<ScheduledFault>,
    /// The failing system calls of each balancer, as a plan for the preloaded library (`SHOREWHARF_FAULTS`); empty for none.
    pub system_faults: Vec<String>,
}

/// The failing system calls that a plan may have, each as a fault for the preloaded library.
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
    /// Draws a plan with this number of balancers, or with 10 to 40 if it is `None`.
    pub fn draw(seed: u64, length: Duration, balancers: Option<usize>) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let balancers = balancers.unwrap_or_else(|| random.random_range(10..=40));
        let servers = random.random_range(6..=15);
        let mut classes = Semantics::ALL.map(|semantics| draw_class(&mut random, semantics)).to_vec();
        let count = (length.as_secs_f64() * random.random_range(1.5..4.0)) as usize;
        let mut faults: Vec<ScheduledFault> =
            (0..count).map(|_| draw_fault(&mut random, length, balancers, servers)).collect();
        faults.sort_by_key(|scheduled| scheduled.at);
        let system_faults = (0..balancers).map(|_| draw_system_faults(&mut random)).collect();
        if random.random_bool(SHORT_DEADLINES_RATIO) {
            classes
                .iter_mut()
                .for_each(|class| class.deadline = class.deadline.mul_f64(SHORT_DEADLINE_SCALE));
        }
        Plan {
            seed,
            length,
            balancers,
            servers,
            clients: balancers * CLIENTS_PER_BALANCER,
            classes,
            faults,
            system_faults,
        }
    }
}

fn draw_class(random: &mut Pcg64Mcg, semantics: Semantics) -> Class {
    let deadline = Duration::from_millis(random.random_range(700..2500));
    let window = Duration::from_millis(random.random_range(400..4000));
    let name = match semantics {
        Semantics::Idempotent => "read",
        Semantics::KeyedAll => "key-all",
        Semantics::KeyedZone => "key-zone",
        Semantics::NonIdempotent => "write",
    };
    Class { name: name.to_owned(), semantics, deadline, window }
}

fn draw_fault(random: &mut Pcg64Mcg, length: Duration, balancers: usize, servers: usize) -> ScheduledFault {
    let at = length.mul_f64(random.random_range(0.05..0.95));
    let (balancer, server) = (random.random_range(0..balancers), random.random_range(0..servers));
    let duration = Duration::from_millis(random.random_range(200..3000));
    let fault = match random.random_range(0..100) {
        0..25 => Fault::Terminate { balancer, twice: random.random_bool(0.3) },
        25..30 => Fault::Kill { balancer },
        30..40 => Fault::Pause { balancer, length: Duration::from_millis(random.random_range(20..150)) },
        40..50 => Fault::Reload { balancer, all_idempotent: random.random_bool(0.5) },
        50..60 => Fault::Drain { server, length: duration },
        _ => Fault::Server { server, behaviour: draw_behaviour(random), length: duration },
    };
    ScheduledFault { at, fault }
}

fn draw_behaviour(random: &mut Pcg64Mcg) -> Behaviour {
    let behaviours = [
        Behaviour::Hangs,
        Behaviour::Hangs,
        Behaviour::Slow { max_ms: 1500 },
        Behaviour::Errors,
        Behaviour::Rejects,
        Behaviour::Resets { max_ms: 0 },
        Behaviour::Resets { max_ms: 900 },
    ];
    *behaviours.choose(random).expect("there are some")
}

fn draw_system_faults(random: &mut Pcg64Mcg) -> String {
    let count = *[0, 0, 1, 2, 3].choose(random).expect("there are some");
    let drawn: Vec<&str> = SYSTEM_FAULTS.choose_multiple(random, count).copied().collect();
    drawn.join(";")
}
