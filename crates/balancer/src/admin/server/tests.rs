//! The admin server, against connections that the test plays.

use super::*;
use crate::event_loop::context::tests::{ALL_READY, context, until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

fn server() -> (AdminServer, SocketAddr) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let at = listener.local_addr().expect("bound");
    (AdminServer::new(listener), at)
}

/// Looks until so many callers were taken in.
fn accept_until(server: &mut AdminServer, context: &mut LoopContext, begun: u64) {
    until(|| {
        server.on_ready(context, EventSource::AdminListener, ALL_READY);
        server.last_number == begun
    });
}

/// The next call, however many looks it takes.
fn call(server: &mut AdminServer, context: &mut LoopContext) -> (u64, Result<Command, CommandError>) {
    let mut calls = Vec::new();
    until(|| {
        server.on_ready(context, EventSource::AdminListener, ALL_READY);
        let numbers: Vec<u64> = server.connections.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| server.on_ready(context, EventSource::AdminConnection(number), ALL_READY));
        calls.extend(server.take_commands());
        !calls.is_empty()
    });
    let ReceivedCommand { connection, command } = calls.remove(0);
    (connection, command)
}

#[test]
fn a_command_in_pieces_is_answered_with_its_own_line_end() {
    let (mut context, (mut server, at)) = (context(1000), server());
    for (line, end) in [("exclude s-1\n", "\n"), ("exclude s-1\r\n", "\r\n")] {
        let mut caller = TcpStream::connect(at).expect("a listener");
        for byte in line.as_bytes() {
            assert!(server.commands.is_empty());
            caller.write_all(&[*byte]).expect("open");
            server.on_ready(&mut context, EventSource::AdminListener, ALL_READY);
        }
        let (number, said) = call(&mut server, &mut context);
        assert_eq!(said, Ok(Command::Disable("s-1".into())));
        server.reply(&mut context, number, &CommandReply::Done);
        let mut heard = String::new();
        caller.read_to_string(&mut heard).expect("an answer and an end");
        assert_eq!(heard, format!("YES{end}"));
        drop(caller);
    }
    until(|| {
        let numbers: Vec<u64> = server.connections.keys().copied().collect();
        numbers.into_iter().for_each(|number| {
            server.on_ready(&mut context, EventSource::AdminConnection(number), ALL_READY);
        });
        server.connections.is_empty()
    });
}

#[test]
fn silent_connections_are_bounded_in_number_and_time() {
    let (mut context, (mut server, at)) = (context(1000), server());
    let mutes: Vec<_> =
        (0..3 * MAX_CONNECTIONS).map(|_| TcpStream::connect(at).expect("a listener")).collect();
    accept_until(&mut server, &mut context, mutes.len() as u64);
    assert_eq!(server.connections.len(), MAX_CONNECTIONS);
    let mut caller = TcpStream::connect(at).expect("a listener");
    caller.write_all(b"readyz\n").expect("open");
    assert_eq!(call(&mut server, &mut context).1, Ok(Command::Readiness));
    let now = context.now + TIMEOUT;
    context.end_iteration(now);
    context.begin_iteration(now);
    while let Some(due) = context.timers.pop_due() {
        match due {
            TimerEvent::AdminConnection(number) => server.on_timer(&mut context, number),
            other => panic!("{other:?}"),
        }
    }
    assert!(server.connections.is_empty(), "the time is up");
}

#[test]
fn an_endless_line_is_rejected_and_a_large_reply_reaches_a_slow_reader() {
    let (mut context, (mut server, at)) = (context(1000), server());
    let mut caller = TcpStream::connect(at).expect("a listener");
    caller.write_all(&[b'x'; MAX_COMMAND_BYTES + 1]).expect("open");
    let (number, said) = call(&mut server, &mut context);
    assert_eq!(said, Err(CommandError::TooLong));
    let lines = "svc.x:1|c\n".repeat(1_000_000);
    let whole = CommandReply::Metrics(lines.clone());
    server.reply(&mut context, number, &whole);
    assert!(!server.connections[&number].unsent.is_empty(), "the sockets' buffers took it all");
    let reader = std::thread::spawn(move || {
        let mut heard = String::new();
        caller.read_to_string(&mut heard).map(|_| heard)
    });
    until(|| {
        server.on_ready(&mut context, EventSource::AdminConnection(number), ALL_READY);
        reader.is_finished()
    });
    let heard = reader.join().expect("no panic").expect("an answer and an end");
    assert!(heard == format!("{lines}END\n"));
}
