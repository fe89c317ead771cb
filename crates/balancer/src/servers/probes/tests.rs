//! Tests of probes against a listener on the loopback interface.

use super::*;
use crate::event_loop::context::tests::{ALL_READY, context, until};
use std::io::Write;
use std::net::TcpListener;

fn next_outcome(context: &mut LoopContext) -> Option<Outcome> {
    context.next_event().map(|event| match event {
        NetworkEvent::ProbeEnded(ServerId(4), outcome) => outcome,
        other => panic!("{other:?}"),
    })
}

#[test]
fn each_requester_receives_the_outcome_of_a_probe_once() {
    let (mut context, mut probes) = (context(0), Probes::default());
    probes.begin(&mut context, ServerId(4), None, Requester::ThisWorker);
    assert_eq!(next_outcome(&mut context), Some(Outcome::ConnectFailed), "the server has no address");
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    for (number, answer, outcome) in [(2, "PONG\r\n", Outcome::Ok), (3, "NO\r\n", Outcome::Error)] {
        probes.begin(&mut context, ServerId(4), listener.local_addr().ok(), Requester::ThisWorker);
        let (mut server, _) = listener.accept().expect("the probe");
        server.write_all(answer.as_bytes()).expect("open");
        until(|| {
            probes.on_ready(&mut context, number, ALL_READY);
            probes.count() == 0
        });
        probes.finish(&mut context, number, Outcome::TimedOut);
        assert_eq!((next_outcome(&mut context), next_outcome(&mut context)), (Some(outcome), None));
    }
    probes.begin(&mut context, ServerId(4), listener.local_addr().ok(), Requester::ThisWorker);
    context.begin_iteration(PROBE_TIMEOUT);
    assert_eq!(context.timers.pop_due(), Some(TimerEvent::Probe(4)));
    // A request of another worker shares the probe in progress.
    probes.begin(&mut context, ServerId(4), listener.local_addr().ok(), Requester::Worker(2));
    assert_eq!(probes.count(), 1);
    probes.finish(&mut context, 4, Outcome::TimedOut);
    assert_eq!((next_outcome(&mut context), probes.count()), (Some(Outcome::TimedOut), 0));
    assert_eq!(
        probes.take_worker_results(),
        [WorkerProbeResult { worker: 2, server: ServerId(4), outcome: Outcome::TimedOut }]
    );
}
