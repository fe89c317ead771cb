//! Tests of the loop context, and helpers for tests of the event loop's components.

use super::*;
use crate::event_loop::poll::EventPoller;
use crate::transport::readiness::Readiness;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// A connection that is ready for everything, including the end of the stream.
pub const ALL_READY: Readiness = Readiness { is_readable: true, is_writable: true, is_closed: true };

/// Creates a context without an event loop.
pub fn context(now: Micros) -> LoopContext {
    LoopContext::new(EventPoller::new().and_then(|poller| poller.registry()).expect("a registry"), now)
}

/// Checks a condition repeatedly until it holds, since data may take a while even on loopback.
pub fn until(mut condition: impl FnMut() -> bool) {
    let started = Instant::now();
    while !condition() {
        assert!(started.elapsed() < Duration::from_secs(30), "the condition was not met");
        std::thread::yield_now();
    }
}

#[test]
fn timeouts_of_peers_count_again_only_after_a_grace_period_after_a_stall() {
    let mut context = context(1_000_000);
    context.end_iteration(2_000_000);
    context.begin_iteration(2_000_000 + STALL_THRESHOLD - 1);
    assert_eq!(context.earliest_timeout(), 0, "a delay below the threshold counted as a stall");
    context.end_iteration(3_000_000);
    context.begin_iteration(9_000_000);
    assert_eq!(context.earliest_timeout(), 9_000_000 + GRACE_AFTER_STALL);
    assert_eq!([2_000_000, 9_500_000].map(|sent_at| context.waiting_since(sent_at)), [9_000_000, 9_500_000]);
}

/// The two ends of a connection, the second one non-blocking.
pub fn pair() -> (TcpStream, mio::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let client = TcpStream::connect(listener.local_addr().expect("bound")).expect("a listener");
    let accepted = listener.accept().expect("a client").0;
    accepted.set_nonblocking(true).expect("a socket");
    (client, mio::net::TcpStream::from_std(accepted))
}
