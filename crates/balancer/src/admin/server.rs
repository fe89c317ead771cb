//! The connections of operators: one command to a connection, answered at once, then closed.

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

/// The most connections at once. Their descriptors are reserved, so they never compete with those of clients.
pub const MAX_CONNECTIONS: usize = 16;
/// The most connections accepted in one iteration: a flood of them must not delay clients.
const MAX_ACCEPTS_PER_ITERATION: usize = 16;
/// Time to send a command, and the same again to take the reply.
const TIMEOUT: Micros = 2_500_000;
/// Pause before accepting again after a failure.
const ACCEPT_RETRY_DELAY: Micros = 100_000;

/// How far a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// The command, or a part of it, is still to come.
    AwaitingCommand,
    /// The command is being executed.
    Executing,
    /// The reply is being sent, or the operator's end of the connection is awaited.
    Replied,
}

/// A connection of an operator.
#[derive(Debug)]
struct AdminConnection {
    connection: Connection,
    state: State,
    deadline: Micros,
    /// The end of the command's line, which the reply's lines take over.
    line_end: &'static str,
    /// What is still to be sent of the reply.
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

    /// Reads on; returns the command once its line is complete. What follows the line is ignored.
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

    /// Sends what is left of the reply and closes; returns whether the connection has ended.
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
        // Further input is ignored, but left unread it would turn the close into a reset.
        self.connection.read_available(&context.buffers);
        self.connection.discard_input();
        self.connection.peer_close.is_some()
    }
}

/// A command of an operator.
#[derive(Debug)]
pub struct ReceivedCommand {
    /// Number of the connection that it came on.
    pub connection: u64,
    /// The command, or why it is rejected.
    pub command: Result<Command, CommandError>,
}

/// The admin listener and its connections, by number.
#[derive(Debug)]
pub struct AdminServer {
    listener: TcpListener,
    /// Connections may be waiting at the listener.
    can_accept: bool,
    connections: BTreeMap<u64, AdminConnection>,
    last_number: u64,
    /// Commands to be executed, in the order in which they came.
    commands: Vec<ReceivedCommand>,
}

impl AdminServer {
    /// A server for this listener, without connections.
    pub fn new(listener: TcpListener) -> Self {
        let (connections, commands) = (BTreeMap::new(), Vec::new());
        AdminServer { listener, can_accept: true, connections, last_number: 0, commands }
    }

    /// The listener or a connection is ready. Commands that are complete then are returned by
    /// [`AdminServer::take_commands`].
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

    /// Whether more connections may be waiting than one iteration accepts.
    pub fn has_backlog(&self) -> bool {
        self.can_accept
    }

    /// Accepts connections that are waiting.
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

    /// Closes the oldest connection without a complete command, else the oldest: commands are answered in the same
    /// iteration, so that one only has to take its reply.
    fn close_oldest(&mut self, context: &mut LoopContext) {
        let mut silent = self.connections.iter().filter(|(_, admin)| admin.state == State::AwaitingCommand);
        let oldest = silent.next().or(self.connections.iter().next());
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

    /// Takes the commands that have come.
    pub fn take_commands(&mut self) -> Vec<ReceivedCommand> {
        std::mem::take(&mut self.commands)
    }

    /// Replies to the command of the connection of this number.
    pub fn reply(&mut self, context: &mut LoopContext, number: u64, reply: &CommandReply) {
        let Some(admin) = self.connections.get_mut(&number) else { return };
        admin.state = State::Replied;
        admin.unsent = reply.text(admin.line_end).into_bytes();
        admin.deadline = context.now + TIMEOUT;
        self.advance(context, number);
    }

    /// The timer of the connection of this number has fired: closes it if its time is up.
    pub fn on_timer(&mut self, context: &mut LoopContext, number: u64) {
        let Some(admin) = self.connections.get_mut(&number) else { return };
        admin.timer.on_fired();
        // A process that was held up has not listened meanwhile.
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
