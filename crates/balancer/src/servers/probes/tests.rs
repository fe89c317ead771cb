//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::iteration::tests::{READ, turn, until};
use std::io::Write;
use std::net::TcpListener;

fn told(turn: &mut LoopContext) -> Option<Outcome> {
    turn.next().map(|h| match h {
        NetworkEvent::ProbeEnded(ServerId(4), outcome) => outcome,
        other => panic!("{other:?}"),
    })
}

#[test]
fn a_probe_is_told_of_once_whatever_comes_first() {
    let (mut turn, mut probes) = (turn(0), Probes::default());
    probes.begin(&mut turn, ServerId(4), None, None);
    assert_eq!(told(&mut turn), Some(Outcome::ConnectFailed), "there is nothing to be reached");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    for (number, answer, outcome) in [(2, "PONG\r\n", Outcome::Ok), (3, "NO\r\n", Outcome::Error)] {
        probes.begin(&mut turn, ServerId(4), listener.local_addr().ok(), None);
        let (mut server, _) = listener.accept().expect("the probe");
        server.write_all(answer.as_bytes()).expect("open");
        until(|| {
            probes.ready(&mut turn, number, READ);
            probes.len() == 0
        });
        probes.end(&mut turn, number, Outcome::TimedOut);
        assert_eq!((told(&mut turn), told(&mut turn)), (Some(outcome), None));
    }
    probes.begin(&mut turn, ServerId(4), listener.local_addr().ok(), None);
    turn.begin(PROBE_TIMEOUT);
    assert_eq!(turn.timers.due(), Some(TimerEvent::Probe(4)));
    // Another worker wants the same, and gets the same answer without a probe of its own.
    probes.begin(&mut turn, ServerId(4), listener.local_addr().ok(), Some(2));
    assert_eq!(probes.len(), 1);
    probes.end(&mut turn, 4, Outcome::TimedOut);
    assert_eq!((told(&mut turn), probes.len()), (Some(Outcome::TimedOut), 0));
    assert_eq!(probes.take_for_others(), [(2, ServerId(4), Outcome::TimedOut)]);
}
