//! Tests of the session table, on pairs of real connections.

use super::*;
use crate::clients::session::{CloseProgress, FirstLine, WaitingActivity};
use crate::event_loop::context::tests::{ALL_READY, context, pair, until};
use shorewharf_driver::ReceivedRequest;
use std::io::{Read, Write};
use std::net::TcpStream;

fn received(id: RequestId) -> ReceivedRequest {
    let (class, tenant, key, group) = (0, 0, 0, 0);
    ReceivedRequest { id, class, tenant, key, deadline: 900, load: None, group, is_returning: false }
}

fn opening_request(id: RequestId) -> SessionRequest<'static> {
    SessionRequest {
        line: b"OPEN 5 6 c=chat",
        open_id: 5,
        request: received(id),
        previous_server: None,
        deadline: 900,
    }
}

fn connect(sessions: &mut Sessions, context: &mut LoopContext, in_use: u32) -> (RequestId, TcpStream) {
    let (client, stream) = pair();
    let client_address = client.local_addr().expect("bound");
    (sessions.accept(context, stream, client_address, |id| id.0 == in_use).expect("a session"), client)
}

#[test]
fn an_open_id_belongs_to_its_session_until_the_final_answer_or_the_close() {
    let (mut context, mut sessions) = (context(100), Sessions::default());
    let (id, _client) = connect(&mut sessions, &mut context, u32::MAX);
    assert_eq!((sessions.open_ids.contains(5), sessions.idle_count()), (false, 1));
    assert!(sessions.open_request(&mut context, id, opening_request(id)).is_some());
    assert_eq!((sessions.open_ids.contains(5), sessions.idle_count()), (true, 0));
    assert_eq!(sessions.eviction_candidate(), None, "a client with an open request would be evicted");
    let (duplicate, _duplicate) = connect(&mut sessions, &mut context, u32::MAX);
    assert!(
        sessions.open_request(&mut context, duplicate, opening_request(duplicate)).is_none(),
        "two open requests have the same id"
    );
    sessions.remove(&mut context, duplicate);
    assert!(sessions.open_ids.contains(5));
    assert!(sessions.begin_close(&mut context, id, b"BUSY\r\n"));
    assert!(!sessions.begin_close(&mut context, id, b"ERR\r\n"), "the session got a second answer");
    assert_eq!((sessions.open_ids.contains(5), sessions.idle_count()), (false, 1));
    // Another request has the open id now: the close of the first session must not release it.
    let (other, _other) = connect(&mut sessions, &mut context, u32::MAX);
    assert!(sessions.open_request(&mut context, other, opening_request(other)).is_some());
    sessions.remove(&mut context, id);
    assert_eq!((sessions.open_ids.contains(5), sessions.idle_count(), sessions.len()), (true, 0, 1));
    sessions.remove(&mut context, other);
    assert!(!sessions.open_ids.contains(5));
}

#[test]
fn ids_in_use_are_skipped_and_wrap_around() {
    let (mut context, mut sessions) = (context(100), Sessions::default());
    sessions.next_id = u32::MAX;
    let connected: Vec<_> = (0..3).map(|_| connect(&mut sessions, &mut context, 0)).collect();
    assert_eq!(connected.iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [u32::MAX, 1, 2]);
}

#[test]
fn a_session_reads_its_first_line_and_closes_without_a_reset() {
    let (mut context, mut sessions) = (context(100), Sessions::default());
    let (id, mut client) = connect(&mut sessions, &mut context, u32::MAX);
    let session = sessions.get_mut(id).expect("connected");
    client.write_all(b"PING\r\nOPEN 5 6 c=").expect("open");
    until(|| {
        session.connection.on_ready(ALL_READY);
        assert_eq!(session.read_first_line(100, &context.buffers), FirstLine::Incomplete);
        // A line that has begun must be complete in time, even if a ping has extended the deadline before.
        session.deadline() == 2_500_100
    });
    client.write_all(b"chat\r\n").expect("open");
    until(|| {
        session.connection.on_ready(ALL_READY);
        session.read_first_line(100, &context.buffers) == FirstLine::Line(b"OPEN 5 6 c=chat".to_vec())
    });
    assert!(sessions.open_request(&mut context, id, opening_request(id)).is_some());
    let session = sessions.get_mut(id).expect("waiting");
    assert_eq!(session.poll_while_waiting(&context.buffers), WaitingActivity::Silent);
    client.write_all(b"early").expect("open");
    until(|| {
        session.connection.on_ready(ALL_READY);
        session.poll_while_waiting(&context.buffers) == WaitingActivity::SentData
    });
    sessions.begin_close(&mut context, id, b"ERR\r\n");
    assert!(sessions.get_mut(id).expect("closing").continue_close(&context.buffers) != CloseProgress::Done);
    let mut received = String::new();
    client.read_to_string(&mut received).expect("its close");
    assert_eq!(received, "PONG\r\nERR\r\n");
    drop(client);
    let session = sessions.get_mut(id).expect("closing");
    until(|| {
        session.connection.on_ready(ALL_READY);
        session.continue_close(&context.buffers) == CloseProgress::Done
    });
}
