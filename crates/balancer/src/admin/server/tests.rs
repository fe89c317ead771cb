//! Tests of the admin server with connections that the test opens as an operator.

use super::*;
use crate::event_loop::context::tests::{ALL_READY, context, until};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};

fn server() -> (AdminServer, SocketAddr) {
    let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    let address = listener.local_addr().expect("bound");
    (AdminServer::new(listener), address)
}

/// Accepts connections until `count` have been accepted in all.
fn accept_until(server: &mut AdminServer, context: &mut LoopContext, count: u64) {
    until(|| {
        server.on_ready(context, EventSource::AdminListener, ALL_READY);
        server.last_number == count
    });
}

/// Serves the listener and all connections until a command is complete. Returns the command and the number of
/// its connection.
fn next_command(server: &mut AdminServer, context: &mut LoopContext) -> (u64, Result<Command, CommandError>) {
    let mut commands = Vec::new();
    until(|| {
        server.on_ready(context, EventSource::AdminListener, ALL_READY);
        let numbers: Vec<u64> = server.connections.keys().copied().collect();
        numbers
            .into_iter()
            .for_each(|number| server.on_ready(context, EventSource::AdminConnection(number), ALL_READY));
        commands.extend(server.take_commands());
        !commands.is_empty()
    });
    let ReceivedCommand { connection, command } = commands.remove(0);
    (connection, command)
}

#[test]
fn a_command_in_pieces_is_answered_with_its_own_line_end() {
    let (mut context, (mut server, address)) = (context(1000), server());
    for (line, line_end) in [("exclude s-1\n", "\n"), ("exclude s-1\r\n", "\r\n")] {
        let mut operator = TcpStream::connect(address).expect("a listener");
        for byte in line.as_bytes() {
            assert!(server.commands.is_empty());
            operator.write_all(&[*byte]).expect("open");
            server.on_ready(&mut context, EventSource::AdminListener, ALL_READY);
        }
        let (number, command) = next_command(&mut server, &mut context);
        assert_eq!(command, Ok(Command::Disable("s-1".into())));
        server.reply(&mut context, number, &CommandReply::Done);
        let mut reply = String::new();
        operator.read_to_string(&mut reply).expect("a reply and the end of the stream");
        assert_eq!(reply, format!("YES{line_end}"));
        drop(operator);
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
    let (mut context, (mut server, address)) = (context(1000), server());
    let silent: Vec<_> =
        (0..3 * MAX_CONNECTIONS).map(|_| TcpStream::connect(address).expect("a listener")).collect();
    accept_until(&mut server, &mut context, silent.len() as u64);
    assert_eq!(server.connections.len(), MAX_CONNECTIONS);
    let mut operator = TcpStream::connect(address).expect("a listener");
    operator.write_all(b"readyz\n").expect("open");
    assert_eq!(next_command(&mut server, &mut context).1, Ok(Command::Readiness));
    let now = context.now + TIMEOUT;
    context.end_iteration(now);
    context.begin_iteration(now);
    while let Some(due) = context.timers.pop_due() {
        match due {
            TimerEvent::AdminConnection(number) => server.on_timer(&mut context, number),
            other => panic!("{other:?}"),
        }
    }
    assert!(server.connections.is_empty(), "connections stay open after the timeout");
}

#[test]
fn an_endless_line_is_rejected_and_a_large_reply_reaches_a_slow_reader() {
    let (mut context, (mut server, address)) = (context(1000), server());
    let mut operator = TcpStream::connect(address).expect("a listener");
    operator.write_all(&[b'x'; MAX_COMMAND_BYTES + 1]).expect("open");
    let (number, command) = next_command(&mut server, &mut context);
    assert_eq!(command, Err(CommandError::TooLong));
    let lines = "svc.x:1|c\n".repeat(1_000_000);
    let large_reply = CommandReply::Metrics(lines.clone());
    server.reply(&mut context, number, &large_reply);
    assert!(!server.connections[&number].unsent.is_empty(), "the sockets' buffers hold the whole reply");
    let reader = std::thread::spawn(move || {
        let mut received = String::new();
        operator.read_to_string(&mut received).map(|_| received)
    });
    until(|| {
        server.on_ready(&mut context, EventSource::AdminConnection(number), ALL_READY);
        reader.is_finished()
    });
    let received = reader.join().expect("no panic").expect("a reply and the end of the stream");
    assert!(received == format!("{lines}END\n"));
}
