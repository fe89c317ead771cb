//! Tests of the watch in virtual time, with a listener of the test as the discovery service.

use super::*;
use crate::event_loop::context::tests::{ALL_READY, context, until};
use std::io::Write;
use std::net::TcpListener;

/// Advances the clock by `delay` and handles the client's timer. Returns the events, or `None` if the timer is not due.
fn fire_timer_after(
    discovery: &mut DiscoveryClient,
    context: &mut LoopContext,
    delay: Micros,
) -> Option<Vec<DiscoveryEvent>> {
    context.end_iteration(context.now + delay);
    context.begin_iteration(context.now + delay);
    context.timers.pop_due().map(|due| {
        assert_eq!(due, TimerEvent::DiscoveryClient);
        discovery.on_timer(context)
    })
}

#[test]
fn a_silent_address_fails_in_time_for_another_watch() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut discovery = DiscoveryClient::new(listener.local_addr().expect("bound"), 5);
    let (mut context, settings) = (context(1_000_000), ProxySettings::for_tests());
    assert_eq!(discovery.open_watch(&mut context), []);
    assert_eq!(fire_timer_after(&mut discovery, &mut context, FIRST_BYTE_TIMEOUT - 1), None);
    assert_eq!(fire_timer_after(&mut discovery, &mut context, 1), Some(vec![DiscoveryEvent::Failed]));
    assert_eq!(discovery.open_watch(&mut context), []);
    let (_first, (mut second, _)) = (listener.accept(), listener.accept().expect("a second connection"));
    second.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"index\":7}\n").expect("open");
    let mut events = Vec::new();
    until(|| {
        events.extend(discovery.on_ready(&mut context, &settings, ALL_READY));
        !events.is_empty()
    });
    assert!(matches!(&events[..], [DiscoveryEvent::List(update)] if update.index == 7));
    // The timer fires for the previous deadline and is set again for the current one.
    assert_eq!(fire_timer_after(&mut discovery, &mut context, SILENCE_TIMEOUT - 1), Some(vec![]));
    assert_eq!(fire_timer_after(&mut discovery, &mut context, 1), Some(vec![DiscoveryEvent::Failed]));
}

/// The service accepts the connection and sends the head of a response, but no part of the list.
#[test]
fn a_watch_without_a_list_fails_as_soon_as_a_silent_one() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut discovery = DiscoveryClient::new(listener.local_addr().expect("bound"), 5);
    let (mut context, settings) = (context(1_000_000), ProxySettings::for_tests());
    assert_eq!(discovery.open_watch(&mut context), []);
    let (mut connection, _) = listener.accept().expect("a connection");
    context.end_iteration(2_000_000);
    context.begin_iteration(2_000_000);
    connection.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4").expect("open");
    until(|| {
        assert_eq!(discovery.on_ready(&mut context, &settings, ALL_READY), []);
        discovery.watch.as_ref().is_some_and(|watch| watch.connection.pending_input() == b"4")
    });
    assert_eq!(
        fire_timer_after(&mut discovery, &mut context, FIRST_BYTE_TIMEOUT - 1_000_001),
        None,
        "the watch was opened 1 s earlier"
    );
    assert_eq!(fire_timer_after(&mut discovery, &mut context, 1), Some(vec![DiscoveryEvent::Failed]));
}
