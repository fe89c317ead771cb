//! Tests of the turns that established connections get in an iteration of the event loop, on pairs of real connections.

use std::io::{Read, Write};
use std::net::TcpStream;

use super::*;
use crate::admin::counters::WorkerCounters;
use crate::clients::open_ids::OpenIds;
use crate::config::proxy_settings::ProxySettings;
use crate::event_loop::context::tests::{ALL_READY, context, pair, until};
use crate::handover::messages::{BufferedBytes, EstablishedConnection, TransferredConnection};

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
