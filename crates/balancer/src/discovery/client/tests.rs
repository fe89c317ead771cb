//! The watch in virtual time, against a listener that the test plays.

use super::*;
use crate::event_loop::context::tests::{ALL_READY, context, until};
use std::io::Write;
use std::net::TcpListener;

/// What comes of the timer, if it comes, so much later.
fn alarmed(
    discovery: &mut DiscoveryClient,
    context: &mut LoopContext,
    later: Micros,
) -> Option<Vec<DiscoveryEvent>> {
    context.end_iteration(context.now + later);
    context.begin_iteration(context.now + later);
    context.timers.pop_due().map(|due| {
        assert_eq!(due, TimerEvent::DiscoveryClient);
        discovery.on_timer(context)
    })
}

#[test]
fn a_silent_address_fails_in_time_for_another_watch() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut discovery = DiscoveryClient::new(listener.local_addr().expect("bound"));
    let (mut context, terms) = (context(1_000_000), ProxySettings::for_tests());
    assert_eq!(discovery.open_watch(&mut context), []);
    assert_eq!(alarmed(&mut discovery, &mut context, FIRST_BYTE_TIMEOUT - 1), None);
    assert_eq!(alarmed(&mut discovery, &mut context, 1), Some(vec![DiscoveryEvent::Failed]));
    assert_eq!(discovery.open_watch(&mut context), []);
    let (_first, (mut second, _)) = (listener.accept(), listener.accept().expect("a second call"));
    second.write_all(b"HTTP/1.1 200 OK\r\n\r\n{\"index\":7}\n").expect("open");
    let mut news = Vec::new();
    until(|| {
        news.extend(discovery.on_ready(&mut context, &terms, ALL_READY));
        !news.is_empty()
    });
    assert!(matches!(&news[..], [DiscoveryEvent::List(listing)] if listing.index == 7));
    // A timer that comes for what is no longer due finds the next one.
    assert_eq!(alarmed(&mut discovery, &mut context, SILENCE_TIMEOUT - 1), Some(vec![]));
    assert_eq!(alarmed(&mut discovery, &mut context, 1), Some(vec![DiscoveryEvent::Failed]));
}

/// A call that is accepted, and perhaps answered with a head, and whose list never begins.
#[test]
fn a_watch_whose_list_does_not_begin_fails_as_soon_as_a_silent_one() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let mut discovery = DiscoveryClient::new(listener.local_addr().expect("bound"));
    let (mut context, terms) = (context(1_000_000), ProxySettings::for_tests());
    assert_eq!(discovery.open_watch(&mut context), []);
    let (mut call, _) = listener.accept().expect("a call");
    context.end_iteration(2_000_000);
    context.begin_iteration(2_000_000);
    call.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4").expect("open");
    until(|| {
        assert_eq!(discovery.on_ready(&mut context, &terms, ALL_READY), []);
        discovery.watch.as_ref().is_some_and(|watch| watch.connection.pending_input() == b"4")
    });
    assert_eq!(
        alarmed(&mut discovery, &mut context, FIRST_BYTE_TIMEOUT - 1_000_001),
        None,
        "it began 1 s ago"
    );
    assert_eq!(alarmed(&mut discovery, &mut context, 1), Some(vec![DiscoveryEvent::Failed]));
}
