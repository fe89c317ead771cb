//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::poll::{EventPoller, Readiness};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// There may be something to be read, the end included, and there is room to write.
pub const READ: Readiness = Readiness { read: true, write: true, ends: true };

/// A turn at this time with a loop that nobody runs.
pub fn turn(now: Micros) -> LoopContext {
    LoopContext::new(EventPoller::new().and_then(|w| w.poller()).expect("a loop"), now)
}

/// Looks until something has come to pass: loopback may take its time.
pub fn until(mut passed: impl FnMut() -> bool) {
    let began = Instant::now();
    while !passed() {
        assert!(began.elapsed() < Duration::from_secs(30), "it did not come to pass");
        std::thread::yield_now();
    }
}

#[test]
fn a_machine_that_stood_still_judges_nobody_at_once() {
    let mut turn = turn(1_000_000);
    turn.ends(2_000_000);
    turn.begin(2_000_000 + STALL_THRESHOLD - 1);
    assert_eq!(turn.judges_from(), 0, "a little late is no standstill");
    turn.ends(3_000_000);
    turn.begin(9_000_000);
    assert_eq!(turn.judges_from(), 9_000_000 + GRACE_AFTER_STALL);
    assert_eq!([2_000_000, 9_500_000].map(|asked| turn.took_since(asked)), [9_000_000, 9_500_000]);
}

/// The two ends of a connection, the second as the program has it.
pub fn pair() -> (TcpStream, mio::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let one = TcpStream::connect(listener.local_addr().expect("bound")).expect("a listener");
    let other = listener.accept().expect("a caller").0;
    other.set_nonblocking(true).expect("a socket");
    (one, mio::net::TcpStream::from_std(other))
}
