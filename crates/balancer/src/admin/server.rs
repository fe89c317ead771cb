//! The connections of operators. A connection is for one command: it is closed after the reply.

use std::collections::BTreeMap;
use std::io::ErrorKind;

use mio::net::TcpListener;
use shorewharf_protocol::admin::{Command, CommandError, CommandReply, MAX_COMMAND_BYTES, parse_command};
use shorewharf_units::Micros;
use tracing::warn;

use crate::event_loop::context::{LoopContext, TimerEvent, TimerHandle};
use crate::event_loop::poll::EventSource;
use crate::transport::buffer_pool::BUFFER_BYTES;
use crate::transport::connection::Connection;
use crate::transport::readiness::Readiness;

/// Maximum number of simultaneous connections. Their descriptors are reserved, so that they do not compete
/// with those of clients.
pub const MAX_CONNECTIONS: usize = 16;
/// Maximum number of connections accepted in one iteration, so that many of them do not delay clients.
const MAX_ACCEPTS_PER_ITERATION: usize = 16;
/// Time within which an operator must send the command, and again time within which it must receive the
/// reply.
const TIMEOUT: Micros = 2_500_000;
/// Time before accepting is retried after a failure.
const ACCEPT_RETRY_DELAY: Micros = 100_000;

/// The state of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The command has not been received completely.
    AwaitingCommand,
    /// The command is being executed.
    Executing,
    /// The reply is being sent, or has been sent and the operator has not closed the connection yet.
    Replied,
}

/// A connection of an operator.
#[derive(Debug)]
struct AdminConnection {
    connection: Connection,
    state: State,
    deadline: Micros,
    /// The line end of the command, which is also used for the lines of the reply.
    line_end: &'static str,
    /// The part of the reply that has not been sent yet.
    unsent: Vec<u8>,
    timer: TimerHandle,
}

impl AdminConnection {
    fn new(connection: Connection, deadline: Micros) -> Self {
        AdminConnection {
            connection,
            state: State::AwaitingCommand,
            deadline,
            line_end: "\n",
            unsent: Vec::new(),
            timer: TimerHandle::default(),
        }
    }

    /// Reads available input. Returns the command once its line is complete; input after the line is ignored.
    fn read_command(&mut self, context: &LoopContext) -> Option<Result<Command, CommandError>> {
        self.connection.read_available(&context.buffers);
        let received = self.connection.pending_input();
        let Some(end) = received.iter().position(|byte| *byte == b'\n') else {
            return (received.len() > MAX_COMMAND_BYTES).then_some(Err(CommandError::TooLong));
        };
        let line = &received[..end];
        let (line, line_end) = line.strip_suffix(b"\r").map_or((line, "\n"), |line| (line, "\r\n"));
        let command = parse_command(line);
        self.line_end = line_end;
        Some(command)
    }

    /// Sends the rest of the reply as far as possible, and ends the output after it. Returns whether the
    /// operator has closed the connection.
    fn send_reply(&mut self, context: &LoopContext) -> bool {
        while !self.unsent.is_empty() && self.connection.flush() {
            let portion = self.unsent.len().min(BUFFER_BYTES);
            if !self.connection.send(&context.buffers, &self.unsent[..portion]) {
                break;
            }
            self.unsent.drain(..portion);
        }
        if self.unsent.is_empty() && self.connection.flush() {
            self.connection.shutdown_write();
        }
        // Further input is ignored. It must be read nevertheless, since closing a connection with unread
        // input resets it.
        self.connection.read_available(&context.buffers);
        self.connection.discard_input();
        self.connection.peer_close.is_some()
    }
}

/// A command of an operator.
#[derive(Debug)]
pub struct ReceivedCommand {
    /// The number of the connection that the command was received on.
    pub connection: u64,
    /// The command, or the reason why it is rejected.
    pub command: Result<Command, CommandError>,
}

/// The listener for operators, and the connections that it has accepted.
#[derive(Debug)]
pub struct AdminServer {
    listener: TcpListener,
    /// Whether connections may be waiting at the listener.
    can_accept: bool,
    /// The connections by number, in the order of accepting.
    connections: BTreeMap<u64, AdminConnection>,
    last_number: u64,
    /// Commands to be executed, in the order of arrival.
    commands: Vec<ReceivedCommand>,
}

impl AdminServer {
    /// Creates a server for this listener, without connections.
    pub fn new(listener: TcpListener) -> Self {
        let (connections, commands) = (BTreeMap::new(), Vec::new());
        AdminServer { listener, can_accept: true, connections, last_number: 0, commands }
    }

    /// Handles readiness of the listener or a connection. [`AdminServer::take_commands`] returns the commands
    /// that are complete then.
    pub fn on_ready(&mut self, context: &mut LoopContext, source: EventSource, readiness: Readiness) {
        if let EventSource::AdminConnection(number) = source {
            if let Some(admin) = self.connections.get_mut(&number) {
                admin.connection.on_ready(readiness);
                self.advance(context, number);
            }
        } else {
            self.can_accept = true;
            self.accept(context);
        }
    }

    /// Whether connections may still be waiting at the listener.
    pub fn has_backlog(&self) -> bool {
        self.can_accept
    }

    /// Accepts waiting connections, up to the maximum of one iteration.
    pub fn accept(&mut self, context: &mut LoopContext) {
        for _ in 0..MAX_ACCEPTS_PER_ITERATION {
            if !self.can_accept {
                break;
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.add(context, Connection::new(stream)),
                Err(e) if e.kind() == ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    self.can_accept = false;
                    if e.kind() != ErrorKind::WouldBlock {
                        warn!(event = "accept-failed", at = "operator", error = %e);
                        context.schedule_after(ACCEPT_RETRY_DELAY, TimerEvent::AdminAccept);
                    }
                }
            }
        }
    }

    fn add(&mut self, context: &mut LoopContext, mut connection: Connection) {
        if self.connections.len() >= MAX_CONNECTIONS {
            self.close_oldest(context);
        }
        self.last_number += 1;
        let number = self.last_number;
        if !context.registry.register(&mut connection, EventSource::AdminConnection(number)) {
            return;
        }
        let deadline = context.now + TIMEOUT;
        let mut admin = AdminConnection::new(connection, deadline);
        admin.timer.schedule_by(context, Some(deadline), TimerEvent::AdminConnection(number));
        self.connections.insert(number, admin);
        self.advance(context, number);
    }

    /// Closes the oldest connection without a complete command. If there is none, closes the oldest
    /// connection: since commands are answered in the same iteration, only the receipt of its reply may be
    /// incomplete.
    fn close_oldest(&mut self, context: &mut LoopContext) {
        let mut without_command =
            self.connections.iter().filter(|(_, admin)| admin.state == State::AwaitingCommand);
        let oldest = without_command.next().or(self.connections.iter().next());
        if let Some(number) = oldest.map(|(number, _)| *number) {
            self.close(context, number);
        }
    }

    fn advance(&mut self, context: &mut LoopContext, number: u64) {
        let Some(admin) = self.connections.get_mut(&number) else { return };
        match admin.state {
            State::AwaitingCommand => {
                if let Some(command) = admin.read_command(context) {
                    admin.state = State::Executing;
                    self.commands.push(ReceivedCommand { connection: number, command });
                } else if admin.connection.peer_close.is_some() {
                    self.close(context, number);
                }
            }
            State::Executing => {}
            State::Replied => {
                if admin.send_reply(context) {
                    self.close(context, number);
                }
            }
        }
    }

    /// Takes the commands that have been received.
    pub fn take_commands(&mut self) -> Vec<ReceivedCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Replies to the command of the connection with this number.
    pub fn reply(&mut self, context: &mut LoopContext, number: u64, reply: &CommandReply) {
        let Some(admin) = self.connections.get_mut(&number) else { return };
        admin.state = State::Replied;
        admin.unsent = reply.text(admin.line_end).into_bytes();
        admin.deadline = context.now + TIMEOUT;
        self.advance(context, number);
    }

    /// Handles the timer of the connection with this number: closes the connection if its deadline has
    /// passed.
    pub fn on_timer(&mut self, context: &mut LoopContext, number: u64) {
        let Some(admin) = self.connections.get_mut(&number) else { return };
        admin.timer.on_fired();
        // Time in which this process was stalled, and could not read what the operator sent, does not count.
        let deadline = admin.deadline.max(context.earliest_timeout());
        if context.now >= deadline {
            self.close(context, number);
        } else {
            admin.timer.schedule_by(context, Some(deadline), TimerEvent::AdminConnection(number));
        }
    }

    fn close(&mut self, context: &mut LoopContext, number: u64) {
        if let Some(mut admin) = self.connections.remove(&number) {
            admin.timer.cancel(context);
        }
    }
}

#[cfg(test)]
mod tests;
