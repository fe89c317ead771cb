//! Tests of attempts against a listener on the loopback interface.

use super::*;
use crate::event_loop::context::tests::{ALL_READY, context, until};
use crate::servers::attempt::ServerAnswer;
use crate::servers::delays::AnsweredLine;
use crate::transport::line_budget::LineBudget;
use std::io::{Read, Write};
use std::net::{TcpListener, TcpStream};

const ID: RequestId = RequestId(7);
const SERVER: ServerId = ServerId(1);

fn begin(attempts: &mut Attempts, context: &mut LoopContext, timeout: Micros) -> TcpStream {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let address = listener.local_addr().expect("bound");
    let target = AttemptTarget { server: SERVER, address, timeout, connect_timeout: 250_000 };
    attempts.begin(context, ID, &target).expect("a connection");
    listener.accept().expect("the attempt").0
}

/// The outcomes that the timers due by `now` return.
fn outcomes_by(attempts: &mut Attempts, context: &mut LoopContext, now: Micros) -> Vec<Outcome> {
    context.end_iteration(now);
    context.begin_iteration(now);
    let due: Vec<_> = std::iter::from_fn(|| context.timers.pop_due()).collect();
    assert!(due.iter().all(|due| *due == TimerEvent::Attempt(ID)), "{due:?}");
    due.iter().filter_map(|_| attempts.on_timer(context, ID)).collect()
}

#[test]
fn a_timer_ends_only_its_own_attempt() {
    let (mut context, mut attempts) = (context(1_000_000), Attempts::default());
    let _old_server = begin(&mut attempts, &mut context, 700_000);
    assert!(
        attempts.end(&mut context, ID) && !attempts.end(&mut context, ID) && !attempts.has_server(SERVER)
    );
    context.begin_iteration(1_100_000);
    let _new_server = begin(&mut attempts, &mut context, 700_000);
    assert_eq!(outcomes_by(&mut attempts, &mut context, 1_349_000), []);
    assert_eq!(outcomes_by(&mut attempts, &mut context, 1_350_000), [Outcome::ConnectFailed]);
    attempts.get_mut(ID).expect("an attempt").send_request(1_350_000, &context.buffers, b"OPEN 1 2 d=9");
    attempts.schedule_timer(&mut context, ID);
    assert_eq!(outcomes_by(&mut attempts, &mut context, 1_799_000), []);
    assert_eq!(outcomes_by(&mut attempts, &mut context, 1_800_000), [Outcome::TimedOut]);
    attempts.get_mut(ID).expect("an attempt").establish(1_800_000, ID);
    attempts.schedule_timer(&mut context, ID);
    assert_eq!(outcomes_by(&mut attempts, &mut context, 9_000_000), []);
}

#[test]
fn a_short_client_timeout_does_not_count_against_the_server() {
    let (mut context, mut attempts) = (context(1_000_000), Attempts::default());
    let _server = begin(&mut attempts, &mut context, 249_000);
    assert_eq!(outcomes_by(&mut attempts, &mut context, 2_000_000), [Outcome::NotSent]);
}

#[test]
fn a_server_is_alive_if_it_sends_to_other_clients() {
    let (mut context, mut attempts) = (context(1000), Attempts::default());
    let mut server = begin(&mut attempts, &mut context, 700);
    let attempt = attempts.get_mut(ID).expect("an attempt");
    attempt.connection.on_ready(ALL_READY);
    attempt.send_request(1000, &context.buffers, b"OPEN 1 2 c=chat,d=9");
    let mut line = [0; 21];
    server.read_exact(&mut line).expect("the first line");
    assert_eq!(&line, b"OPEN 1 2 c=chat,d=1\r\n");
    server.write_all(b"UP 7\r\nM 1\r\nLOAD 5.5\r\nBYE\r\n").expect("open");
    context.begin_iteration(2000);
    let (mut unanswered_since, mut load_figures) = (Some(1500), Vec::new());
    until(|| {
        attempt.connection.on_ready(ALL_READY);
        attempt.read_answer(&context.buffers) == Some(ServerAnswer::Accepted)
    });
    attempt.establish(1600, ID);
    until(|| {
        attempt.connection.on_ready(ALL_READY);
        assert!(
            attempt
                .read_lines(&context, ID, &mut unanswered_since, &mut load_figures, &mut LineBudget::new())
                .is_ok()
        );
        attempt.outcome() == Outcome::Ok // The outcome changes once the last message, BYE, has been read.
    });
    assert_eq!(
        (unanswered_since, load_figures, attempt.last_answer()),
        (None, vec![5.5], Some(AnsweredLine { at: 2000, delay: 500 }))
    );
    assert!(!attempts.is_server_alive(ID, 1700), "the server has sent nothing to other requests");
    attempts.get(ID).expect("an attempt").activity.record(2100, RequestId(8));
    assert!(attempts.is_server_alive(ID, 2099) && !attempts.is_server_alive(ID, 2100));
    assert!(attempts.is_server_alive(RequestId(7), 1700) && !attempts.is_server_alive(RequestId(8), 1700));
}
