//! What every peer has at hand while it acts: the time of this turn, buffers, timers, the loop's watch over
//! connections, and the queue of what has happened.

use std::collections::VecDeque;

use shorewharf_decisions::interface::RequestId;
use shorewharf_driver::{Happening, Micros};

use super::poll::Poller;
use super::pool::Pool;
use super::timers::Timers;

/// What a timer is for. Those of a fetch carry its number: it may be over when they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Due {
    /// The module asked to be woken with this token.
    Module(u64),
    /// A fetch's connection should be up by now.
    Connect(RequestId, u64),
    /// A fetch should have its answer by now.
    Patience(RequestId, u64),
    /// A probe should be over by now.
    Probe(u64),
    /// Connections are looked over.
    Sweep,
    /// Message delays are reported.
    Delays,
}

/// One turn of the loop, as the peers see it.
#[derive(Debug)]
pub struct Turn {
    /// The time, read once a turn.
    pub now: Micros,
    /// Where buffers come from.
    pub pool: Pool,
    /// Watches connections.
    pub poller: Poller,
    /// What is due when.
    pub timers: Timers<Due>,
    happenings: VecDeque<Happening>,
}

impl Turn {
    /// The first turn, at this time.
    pub fn new(poller: Poller, now: Micros) -> Self {
        Turn { now, pool: Pool::default(), poller, timers: Timers::default(), happenings: VecDeque::new() }
    }

    /// Tells the driver what has happened; it is heard in this order.
    pub fn tell(&mut self, happening: Happening) {
        self.happenings.push_back(happening);
    }

    /// The next thing that happened.
    pub fn next(&mut self) -> Option<Happening> {
        self.happenings.pop_front()
    }

    /// Sets a timer, so long from now.
    pub fn after(&mut self, wait: Micros, due: Due) {
        self.timers.set(self.now + wait, due);
    }
}

#[cfg(test)]
pub mod tests {
    use super::*;
    use std::net::{TcpListener, TcpStream};
    use std::time::{Duration, Instant};

    /// A turn at this time with a loop that nobody runs.
    pub fn turn(now: Micros) -> Turn {
        let events = calloop::EventLoop::try_new().expect("a loop");
        Turn::new(Poller::new(events.handle()), now)
    }

    /// Looks until something has come to pass: loopback may take its time.
    pub fn until(mut passed: impl FnMut() -> bool) {
        let began = Instant::now();
        while !passed() {
            assert!(began.elapsed() < Duration::from_secs(30), "it did not come to pass");
            std::thread::yield_now();
        }
    }

    /// The two ends of a connection.
    pub fn pair() -> (TcpStream, TcpStream) {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        let one = TcpStream::connect(listener.local_addr().expect("bound")).expect("a listener");
        (one, listener.accept().expect("a caller").0)
    }
}
