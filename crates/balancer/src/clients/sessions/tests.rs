//! The table in step with its sessions, on pairs of real connections.

use super::*;
use crate::clients::session::{CloseProgress, FirstLine, WaitingActivity};
use crate::event_loop::context::tests::{READ, context, pair, until};
use shorewharf_driver::ReceivedRequest;
use std::io::{Read, Write};
use std::net::TcpStream;

fn req(id: RequestId) -> ReceivedRequest {
    let (class, tenant, key, group) = (0, 0, 0, 0);
    ReceivedRequest { id, class, tenant, key, deadline: 900, load: None, group, is_returning: false }
}

fn asking(id: RequestId) -> SessionRequest<'static> {
    SessionRequest {
        line: b"OPEN 5 6 c=chat",
        open_id: 5,
        request: req(id),
        previous_server: None,
        deadline: 900,
    }
}

fn begin(sessions: &mut Sessions, context: &mut LoopContext, taken: u32) -> (RequestId, TcpStream) {
    let (client, stream) = pair();
    let from = client.local_addr().expect("bound");
    (sessions.accept(context, stream, from, |id| id.0 == taken).expect("a session"), client)
}

#[test]
fn an_open_id_is_its_sessions_until_the_last_words_or_the_end() {
    let (mut context, mut sessions) = (context(100), Sessions::default());
    let (id, _client) = begin(&mut sessions, &mut context, u32::MAX);
    assert_eq!((sessions.open_ids.contains(5), sessions.idle_count()), (false, 1));
    assert!(sessions.open_request(&mut context, id, asking(id)));
    assert_eq!((sessions.open_ids.contains(5), sessions.idle_count()), (true, 0));
    assert_eq!(sessions.eviction_candidate(), None, "a client that asks for something would go");
    let (thief, _thief) = begin(&mut sessions, &mut context, u32::MAX);
    assert!(!sessions.open_request(&mut context, thief, asking(thief)), "an id of two open requests");
    sessions.remove(&mut context, thief);
    assert!(sessions.open_ids.contains(5));
    assert!(sessions.begin_close(&mut context, id, b"BUSY\r\n"));
    assert!(!sessions.begin_close(&mut context, id, b"ERR\r\n"), "a second answer");
    assert_eq!((sessions.open_ids.contains(5), sessions.idle_count()), (false, 1));
    // Its id is another's by now: the first one's end must not free it.
    let (other, _other) = begin(&mut sessions, &mut context, u32::MAX);
    assert!(sessions.open_request(&mut context, other, asking(other)));
    sessions.remove(&mut context, id);
    assert_eq!((sessions.open_ids.contains(5), sessions.idle_count(), sessions.len()), (true, 0, 1));
    sessions.remove(&mut context, other);
    assert!(!sessions.open_ids.contains(5));
}

#[test]
fn numbers_in_use_are_passed_over_and_come_round() {
    let (mut context, mut sessions) = (context(100), Sessions::default());
    sessions.next_id = u32::MAX;
    let begun: Vec<_> = (0..3).map(|_| begin(&mut sessions, &mut context, 0)).collect();
    assert_eq!(begun.iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [u32::MAX, 1, 2]);
}

#[test]
fn a_session_hears_its_client_and_takes_its_time_to_end() {
    let (mut context, mut sessions) = (context(100), Sessions::default());
    let (id, mut client) = begin(&mut sessions, &mut context, u32::MAX);
    let session = sessions.get_mut(id).expect("begun");
    client.write_all(b"PING\r\nOPEN 5 6 c=").expect("open");
    until(|| {
        session.connection.on_ready(READ);
        assert_eq!(session.read_first_line(100, &context.buffers), FirstLine::Incomplete);
        session.deadline() == 2_500_100 // A line that has begun must end in time, though a front was here before.
    });
    client.write_all(b"chat\r\n").expect("open");
    until(|| {
        session.connection.on_ready(READ);
        session.read_first_line(100, &context.buffers) == FirstLine::Line(b"OPEN 5 6 c=chat".to_vec())
    });
    assert!(sessions.open_request(&mut context, id, asking(id)));
    let session = sessions.get_mut(id).expect("asked");
    assert_eq!(session.poll_while_waiting(&context.buffers), WaitingActivity::Silent);
    client.write_all(b"early").expect("open");
    until(|| {
        session.connection.on_ready(READ);
        session.poll_while_waiting(&context.buffers) == WaitingActivity::SentData
    });
    sessions.begin_close(&mut context, id, b"ERR\r\n");
    assert!(sessions.get_mut(id).expect("ending").continue_close(&context.buffers) != CloseProgress::Done);
    let mut heard = String::new();
    client.read_to_string(&mut heard).expect("its end");
    assert_eq!(heard, "PONG\r\nERR\r\n");
    drop(client);
    let session = sessions.get_mut(id).expect("ending");
    until(|| {
        session.connection.on_ready(READ);
        session.continue_close(&context.buffers) == CloseProgress::Done
    });
}
