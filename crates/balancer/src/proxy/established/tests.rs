//! Tests of the turns that established connections get in an iteration of the event loop, on pairs of real connections.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::*;
use crate::admin::counters::WorkerCounters;
use crate::clients::open_ids::OpenIds;
use crate::config::proxy_settings::ProxySettings;
use crate::event_loop::context::tests::{ALL_READY, context, pair, until};
use crate::handover::messages::{BufferedBytes, EstablishedConnection, TransferredConnection};
use crate::transport::line_budget::LINES_PER_TURN;

/// The ends of an established connection outside the balancer.
struct Ends {
    client: TcpStream,
    server: TcpStream,
}

fn proxy() -> Proxy {
    let mut settings = ProxySettings::for_tests();
    settings.names.classes.insert("chat".to_owned(), 0);
    Proxy::new(settings, OpenIds::default(), WorkerCounters::default())
}

/// Adds an established connection with this id.
fn establish(proxy: &mut Proxy, context: &mut LoopContext, open_id: u64) -> (RequestId, Ends) {
    let ((client, balancer_to_client), (server, balancer_to_server)) = (pair(), pair());
    let state = EstablishedConnection {
        client: client.local_addr().expect("connected"),
        server: 1,
        open_id,
        class: "chat".to_owned(),
        tenant: String::new(),
        key: 0,
        group: 0,
        load_hint: None,
        load: None,
        unanswered_since: None,
        client_buffers: BufferedBytes::default(),
        server_buffers: BufferedBytes::default(),
    };
    let transferred = TransferredConnection { state, client: balancer_to_client, server: balancer_to_server };
    assert_eq!(proxy.adopt_transferred(context, transferred), Ok(()));
    let id = proxy.sessions.ids_where(|session| session.open_id() == Some(open_id))[0];
    (id, Ends { client, server })
}

/// Plays an iteration in which both ends of each connection are ready.
fn run_iteration(proxy: &mut Proxy, context: &mut LoopContext, ids: &[RequestId]) {
    for id in ids {
        proxy.on_session_ready(context, *id, ALL_READY);
        proxy.on_attempt_ready(context, *id, ALL_READY);
    }
    for id in proxy.take_unfinished() {
        proxy.resume(context, id);
    }
}

/// Sends without waiting, until the system accepts no more.
fn send_all_possible(stream: &mut TcpStream, bytes: &[u8]) {
    stream.set_nonblocking(true).expect("a socket");
    while stream.write(bytes).is_ok() {}
    stream.set_nonblocking(false).expect("a socket");
}

/// Guards against a connection at full speed that gets ever more turns in each iteration, for which all others wait.
#[test]
fn a_connection_that_is_always_ready_waits_for_its_next_turn_once() {
    let (mut context, mut proxy) = (context(1_000_000), proxy());
    let (id, mut ends) = establish(&mut proxy, &mut context, 5);
    for iteration in 0..20 {
        send_all_possible(&mut ends.client, &b"X\r\n".repeat(1000));
        send_all_possible(&mut ends.server, &b"X\r\n".repeat(1000));
        run_iteration(&mut proxy, &mut context, &[id]);
        let waiting = proxy.take_unfinished();
        assert!(waiting.len() <= 1, "{} turns are due after iteration {iteration}", waiting.len());
        waiting.into_iter().for_each(|id| proxy.unfinished.add(id));
    }
}

/// Reads all that has arrived.
fn read_available(stream: &mut TcpStream) -> Vec<u8> {
    let mut bytes = Vec::new();
    stream.set_nonblocking(true).expect("a socket");
    let _ = stream.read_to_end(&mut bytes);
    stream.set_nonblocking(false).expect("a socket");
    bytes
}

/// Guards against short lines at full speed, of which a buffer holds thousands: the others wait while they are inspected. A
/// connection must not be held up in the meantime either, and its turns must go on without events.
#[test]
fn a_turn_ends_after_a_number_of_lines_and_another_connection_is_served_in_the_same_iteration() {
    let (mut context, mut proxy) = (context(1_000_000), proxy());
    let (flooding, mut flood) = establish(&mut proxy, &mut context, 5);
    let (sound, mut ends) = establish(&mut proxy, &mut context, 6);
    let mut forwarded = 0;
    for line in ["X\r\n", "\r\n"] {
        for _ in 0..4 {
            send_all_possible(&mut flood.client, &line.repeat(1000).into_bytes());
            send_all_possible(&mut flood.server, &line.repeat(1000).into_bytes());
            ends.client.write_all(b"hello\r\n").expect("open");
            run_iteration(&mut proxy, &mut context, &[flooding, sound]);
            let mut hello = [0; 7];
            ends.server.read_exact(&mut hello).expect("the line of the sound client");
            for end in [&mut flood.server, &mut flood.client] {
                let bytes = read_available(end);
                let lines = bytes.iter().filter(|byte| **byte == b'\n').count();
                // The readiness of both ends and the list of unfinished connections may give two turns.
                assert!(lines <= 2 * LINES_PER_TURN, "{lines} lines in one iteration");
                forwarded += lines;
            }
            assert!(proxy.has_unfinished(), "lines are left, and nothing will report them");
        }
    }
    assert!(forwarded >= 4 * LINES_PER_TURN, "{forwarded} lines were forwarded");
}

/// Guards against lines that are lost, and against an outcome that is not read, when an end closes behind more lines than one
/// turn inspects.
#[test]
fn all_lines_before_a_close_are_forwarded_and_the_last_one_is_read() {
    const LINES: usize = 10 * LINES_PER_TURN;
    let (mut context, mut proxy) = (context(1_000_000), proxy());
    let (id, mut ends) = establish(&mut proxy, &mut context, 5);
    ends.client.write_all(&b"X\r\n".repeat(LINES)).expect("open");
    ends.client.shutdown(std::net::Shutdown::Write).expect("open");
    let mut received = Vec::new();
    ends.server.set_nonblocking(true).expect("a socket");
    until(|| {
        run_iteration(&mut proxy, &mut context, &[id]);
        ends.server.read_to_end(&mut received).is_ok()
    });
    assert_eq!(received.len(), 3 * LINES);
    ends.server.set_nonblocking(false).expect("a socket");
    ends.server.write_all(&b"Y\r\n".repeat(LINES)).expect("open");
    ends.server.write_all(b"BYE\r\n").expect("open");
    drop(ends.server);
    let mut received = Vec::new();
    ends.client.set_nonblocking(true).expect("a socket");
    until(|| {
        run_iteration(&mut proxy, &mut context, &[id]);
        ends.client.read_to_end(&mut received).is_ok()
    });
    assert_eq!(received.len(), 3 * LINES + 5);
    assert!(received.ends_with(b"Y\r\nBYE\r\n"));
    let events: Vec<_> = std::iter::from_fn(|| context.next_event()).collect();
    let outcome = events.iter().find_map(|event| match event {
        NetworkEvent::AttemptEnded(_, outcome) => Some(*outcome),
        _ => None,
    });
    assert_eq!(outcome, Some(Outcome::Ok), "{events:?}");
}
