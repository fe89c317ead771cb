//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::poll::{EventPoller, Readiness};
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// There may be something to be read, the end included, and there is room to write.
pub const READ: Readiness = Readiness { is_readable: true, is_writable: true, is_closed: true };

/// A turn at this time with a loop that nobody runs.
pub fn context(now: Micros) -> LoopContext {
    LoopContext::new(EventPoller::new().and_then(|w| w.registry()).expect("a loop"), now)
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
    let mut context = context(1_000_000);
    context.end_iteration(2_000_000);
    context.begin_iteration(2_000_000 + STALL_THRESHOLD - 1);
    assert_eq!(context.earliest_timeout(), 0, "a little late is no standstill");
    context.end_iteration(3_000_000);
    context.begin_iteration(9_000_000);
    assert_eq!(context.earliest_timeout(), 9_000_000 + GRACE_AFTER_STALL);
    assert_eq!([2_000_000, 9_500_000].map(|asked| context.waiting_since(asked)), [9_000_000, 9_500_000]);
}

/// The two ends of a connection, the second as the program has it.
pub fn pair() -> (TcpStream, mio::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let one = TcpStream::connect(listener.local_addr().expect("bound")).expect("a listener");
    let other = listener.accept().expect("a caller").0;
    other.set_nonblocking(true).expect("a socket");
    (one, mio::net::TcpStream::from_std(other))
}
