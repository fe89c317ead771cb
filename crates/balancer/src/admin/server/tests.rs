//! Tests of the module that these stand beside.

use super::*;
use crate::event_loop::context::tests::{READ, context, until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

fn door() -> (Door, SocketAddr) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let at = listener.local_addr().expect("bound");
    (Door::new(listener), at)
}

/// Looks until so many callers were taken in.
fn held(door: &mut Door, context: &mut LoopContext, begun: u64) {
    until(|| {
        door.ready(context, EventSource::AdminListener, READ);
        door.next == begun
    });
}

/// The next call, however many looks it takes.
fn call(door: &mut Door, context: &mut LoopContext) -> (u64, Result<Command, CommandError>) {
    let mut calls = Vec::new();
    until(|| {
        door.ready(context, EventSource::AdminListener, READ);
        let numbers: Vec<u64> = door.callers.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| door.ready(context, EventSource::AdminConnection(number), READ));
        calls.extend(door.take_calls());
        !calls.is_empty()
    });
    calls.remove(0)
}

#[test]
fn a_call_in_pieces_is_answered_as_its_line_ended() {
    let (mut context, (mut door, at)) = (context(1000), door());
    for (line, end) in [("exclude s-1\n", "\n"), ("exclude s-1\r\n", "\r\n")] {
        let mut caller = TcpStream::connect(at).expect("a door");
        for byte in line.as_bytes() {
            assert!(door.calls.is_empty());
            caller.write_all(&[*byte]).expect("open");
            door.ready(&mut context, EventSource::AdminListener, READ);
        }
        let (number, said) = call(&mut door, &mut context);
        assert_eq!(said, Ok(Command::Disable("s-1".into())));
        door.answer(&mut context, number, &CommandReply::Done);
        let mut heard = String::new();
        caller.read_to_string(&mut heard).expect("an answer and an end");
        assert_eq!(heard, format!("YES{end}"));
        drop(caller);
    }
    until(|| {
        let numbers: Vec<u64> = door.callers.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| door.ready(&mut context, EventSource::AdminConnection(number), READ));
        door.callers.is_empty()
    });
}

#[test]
fn mute_callers_are_bounded_in_number_and_time_and_keep_nobody_out() {
    let (mut context, (mut door, at)) = (context(1000), door());
    let mutes: Vec<_> = (0..3 * CALLERS).map(|_| TcpStream::connect(at).expect("a door")).collect();
    held(&mut door, &mut context, mutes.len() as u64);
    assert_eq!(door.callers.len(), CALLERS);
    let mut caller = TcpStream::connect(at).expect("a door");
    caller.write_all(b"readyz\n").expect("open");
    assert_eq!(call(&mut door, &mut context).1, Ok(Command::Readiness));
    let now = context.now + PATIENCE;
    context.end_iteration(now);
    context.begin_iteration(now);
    while let Some(due) = context.timers.pop_due() {
        match due {
            TimerEvent::AdminConnection(number) => door.alarmed(&mut context, number),
            other => panic!("{other:?}"),
        }
    }
    assert!(door.callers.is_empty(), "the time is up");
}

#[test]
fn a_line_that_never_ends_is_refused_and_a_large_answer_comes_whole_to_a_slow_reader() {
    let (mut context, (mut door, at)) = (context(1000), door());
    let mut caller = TcpStream::connect(at).expect("a door");
    caller.write_all(&[b'x'; MAX_COMMAND_BYTES + 1]).expect("open");
    let (number, said) = call(&mut door, &mut context);
    assert_eq!(said, Err(CommandError::TooLong));
    let lines = "svc.x:1|c\n".repeat(1_000_000);
    let whole = CommandReply::Metrics(lines.clone());
    door.answer(&mut context, number, &whole);
    assert!(!door.callers[&number].rest.is_empty(), "the sockets' buffers took it all");
    let reader = std::thread::spawn(move || {
        let mut heard = String::new();
        caller.read_to_string(&mut heard).map(|_| heard)
    });
    until(|| {
        door.ready(&mut context, EventSource::AdminConnection(number), READ);
        reader.is_finished()
    });
    let heard = reader.join().expect("no panic").expect("an answer and an end");
    assert!(heard == format!("{lines}END\n"));
}
