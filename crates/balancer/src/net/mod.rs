//! The real balancer's loop: one thread, one clock, and peers that are objects with callbacks.

mod budget;
mod budgets;
mod clients;
mod crew;
mod gossip;
mod handover;
mod hub;
mod keeping;
mod link;
mod list;
mod log_rate_limiter;
mod notify;
mod operators;
mod overload_monitor;
mod poll;
mod pool;
mod relay;
mod reload;
mod servers;
mod serving;
mod shutdown;
mod terms;
pub mod timers;
mod turn;
mod workers;

use shorewharf_units::Micros;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

pub use list::{incoming, reader};
pub use operators::door::CALLERS;
pub use servers::server_table;
pub use workers::{Failure, run};

/// The program's clock: whole microseconds, moved on by the monotonic clock alone. It is set by Unix time
/// once, at the start, so that the times in the server list are on it too.
#[derive(Clone, Copy, Debug)]
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
