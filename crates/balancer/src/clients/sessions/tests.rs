//! The table in step with its sessions, on pairs of real connections.

use super::*;
use crate::clients::session::{CloseProgress, FirstLine, WaitingActivity};
use crate::event_loop::iteration::tests::{READ, pair, turn, until};
use shorewharf_driver::ReceivedRequest;
use std::io::{Read, Write};
use std::net::TcpStream;

fn req(id: RequestId) -> ReceivedRequest {
    let (class, tenant, key, group) = (0, 0, 0, 0);
    ReceivedRequest { id, class, tenant, key, deadline: 900, load: None, group, is_returning: false }
}

fn asking(id: RequestId) -> SessionRequest<'static> {
    SessionRequest { line: b"OPEN 5 6 c=chat", open_id: 5, req: req(id), home: None, until: 900 }
}

fn begin(sessions: &mut Sessions, turn: &mut LoopContext, taken: u32) -> (RequestId, TcpStream) {
    let (client, stream) = pair();
    let from = client.local_addr().expect("bound");
    (sessions.begin(turn, stream, from, |id| id.0 == taken).expect("a session"), client)
}

#[test]
fn an_open_id_is_its_sessions_until_the_last_words_or_the_end() {
    let (mut turn, mut sessions) = (turn(100), Sessions::default());
    let (id, _client) = begin(&mut sessions, &mut turn, u32::MAX);
    assert_eq!((sessions.open_ids.has(5), sessions.unserved()), (false, 1));
    assert!(sessions.ask(&mut turn, id, asking(id)));
    assert_eq!((sessions.open_ids.has(5), sessions.unserved()), (true, 0));
    assert_eq!(sessions.least_needed(), None, "a client that asks for something would go");
    let (thief, _thief) = begin(&mut sessions, &mut turn, u32::MAX);
    assert!(!sessions.ask(&mut turn, thief, asking(thief)), "an id of two open requests");
    sessions.drop(&mut turn, thief);
    assert!(sessions.open_ids.has(5));
    assert!(sessions.answer(&mut turn, id, b"BUSY\r\n"));
    assert!(!sessions.answer(&mut turn, id, b"ERR\r\n"), "a second answer");
    assert_eq!((sessions.open_ids.has(5), sessions.unserved()), (false, 1));
    // Its id is another's by now: the first one's end must not free it.
    let (other, _other) = begin(&mut sessions, &mut turn, u32::MAX);
    assert!(sessions.ask(&mut turn, other, asking(other)));
    sessions.drop(&mut turn, id);
    assert_eq!((sessions.open_ids.has(5), sessions.unserved(), sessions.len()), (true, 0, 1));
    sessions.drop(&mut turn, other);
    assert!(!sessions.open_ids.has(5));
}

#[test]
fn numbers_in_use_are_passed_over_and_come_round() {
    let (mut turn, mut sessions) = (turn(100), Sessions::default());
    sessions.next = u32::MAX;
    let begun: Vec<_> = (0..3).map(|_| begin(&mut sessions, &mut turn, 0)).collect();
    assert_eq!(begun.iter().map(|(id, _)| id.0).collect::<Vec<_>>(), [u32::MAX, 1, 2]);
}

#[test]
fn a_session_hears_its_client_and_takes_its_time_to_end() {
    let (mut turn, mut sessions) = (turn(100), Sessions::default());
    let (id, mut client) = begin(&mut sessions, &mut turn, u32::MAX);
    let s = sessions.get_mut(id).expect("begun");
    client.write_all(b"PING\r\nOPEN 5 6 c=").expect("open");
    until(|| {
        s.link.ready(READ);
        assert_eq!(s.opens(100, &turn.pool), FirstLine::Part);
        s.until() == 2_500_100 // A line that has begun must end in time, though a front was here before.
    });
    client.write_all(b"chat\r\n").expect("open");
    until(|| {
        s.link.ready(READ);
        s.opens(100, &turn.pool) == FirstLine::Line(b"OPEN 5 6 c=chat".to_vec())
    });
    assert!(sessions.ask(&mut turn, id, asking(id)));
    let s = sessions.get_mut(id).expect("asked");
    assert_eq!(s.waits_on(&turn.pool), WaitingActivity::Waits);
    client.write_all(b"early").expect("open");
    until(|| {
        s.link.ready(READ);
        s.waits_on(&turn.pool) == WaitingActivity::Spoke
    });
    sessions.answer(&mut turn, id, b"ERR\r\n");
    assert!(sessions.get_mut(id).expect("ending").ending(&turn.pool) != CloseProgress::Over);
    let mut heard = String::new();
    client.read_to_string(&mut heard).expect("its end");
    assert_eq!(heard, "PONG\r\nERR\r\n");
    drop(client);
    let s = sessions.get_mut(id).expect("ending");
    until(|| {
        s.link.ready(READ);
        s.ending(&turn.pool) == CloseProgress::Over
    });
}
