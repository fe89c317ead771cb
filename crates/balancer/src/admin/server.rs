//! The door at which operators call: one line to a connection, answered at once, then the end.

use std::collections::BTreeMap;

use mio::net::TcpListener;
use shorewharf_protocol::admin::{Command, CommandError, CommandReply, MAX_COMMAND_BYTES, parse_command};
use shorewharf_units::Micros;
use tracing::warn;

use crate::event_loop::context::{LoopContext, TimerEvent, TimerHandle};
use crate::event_loop::poll::EventSource;
use crate::transport::buffer_pool::BUFFER_BYTES;
use crate::transport::connection::Connection;
use crate::transport::readiness::Readiness;

/// Callers held at once. Guards clients' descriptors: these are apart from theirs.
pub const CALLERS: usize = 16;
/// Callers taken in one turn: those of a flood must not hold up the clients.
const ACCEPTS: usize = 16;
/// A caller has this long to make its call, and the same again to take the answer.
const PATIENCE: Micros = 2_500_000;

/// How far a caller has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Its call is still to come, or a part of it.
    Calling,
    /// Its call is being carried out.
    Called,
    /// The answer is on its way, or the caller's end is awaited.
    Answered,
}

/// One operator's connection.
#[derive(Debug)]
struct Caller {
    link: Connection,
    stage: Stage,
    until: Micros,
    /// How the call's line ended, and its answer's will.
    end: &'static str,
    /// What is still to be said.
    rest: Vec<u8>,
    alarm: TimerHandle,
}

impl Caller {
    /// Reads on for the call; none while it is not whole. What follows it is not looked at.
    fn call(&mut self, context: &LoopContext) -> Option<Result<Command, CommandError>> {
        self.link.read_available(&context.buffers);
        let held = self.link.pending_input();
        let Some(n) = held.iter().position(|b| *b == b'\n') else {
            return (held.len() > MAX_COMMAND_BYTES).then_some(Err(CommandError::TooLong));
        };
        let line = &held[..n];
        let (line, end) = line.strip_suffix(b"\r").map_or((line, "\n"), |line| (line, "\r\n"));
        let call = parse_command(line);
        self.end = end;
        Some(call)
    }

    /// Says on what is left of the answer and ends; true once it is over.
    fn goes_on(&mut self, context: &LoopContext) -> bool {
        while !self.rest.is_empty() && self.link.flush() {
            let some = self.rest.len().min(BUFFER_BYTES);
            if !self.link.send(&context.buffers, &self.rest[..some]) {
                break;
            }
            self.rest.drain(..some);
        }
        if self.rest.is_empty() && self.link.flush() {
            self.link.shutdown_write();
        }
        // What else it says is nothing to anybody; unread it would make the close a reset.
        self.link.read_available(&context.buffers);
        self.link.discard_input();
        self.link.peer_close.is_some()
    }
}

/// The listener and its callers, by number.
#[derive(Debug)]
pub struct Door {
    listener: TcpListener,
    /// Callers may wait at the listener.
    can_accept: bool,
    callers: BTreeMap<u64, Caller>,
    next: u64,
    /// Calls that are to be carried out, in the order in which they came.
    calls: Vec<(u64, Result<Command, CommandError>)>,
}

impl Door {
    /// A door at which nobody has called.
    pub fn new(listener: TcpListener) -> Self {
        Door { listener, can_accept: true, callers: BTreeMap::new(), next: 0, calls: Vec::new() }
    }

    /// What the loop has seen of it: calls that have come are taken out by [`Door::take_calls`].
    pub fn ready(&mut self, context: &mut LoopContext, owner: EventSource, ready: Readiness) {
        match owner {
            EventSource::AdminConnection(number) => {
                if let Some(caller) = self.callers.get_mut(&number) {
                    caller.link.on_ready(ready);
                    self.goes_on(context, number);
                }
            }
            _ => {
                self.can_accept = true;
                self.accept(context);
            }
        }
    }

    /// Whether more callers wait than one turn takes.
    pub fn is_busy(&self) -> bool {
        self.can_accept
    }

    /// Takes in callers that wait.
    pub fn accept(&mut self, context: &mut LoopContext) {
        for _ in 0..ACCEPTS {
            if !self.can_accept {
                break;
            }
            match self.listener.accept() {
                Ok((stream, _)) => self.comes(context, Connection::new(stream)),
                // Nobody waits, or one left: whatever it is, the next caller is told of by the loop.
                Err(e) if e.kind() == std::io::ErrorKind::ConnectionAborted => {}
                Err(e) => {
                    self.can_accept = false;
                    if e.kind() != std::io::ErrorKind::WouldBlock {
                        warn!(event = "accept-failed", at = "operator", error = %e);
                        context.schedule_after(PATIENCE / 25, TimerEvent::AdminAccept);
                    }
                }
            }
        }
    }

    fn comes(&mut self, context: &mut LoopContext, mut link: Connection) {
        if self.callers.len() >= CALLERS {
            self.make_room(context);
        }
        self.next += 1;
        let number = self.next;
        if !context.registry.register(&mut link, EventSource::AdminConnection(number)) {
            return;
        }
        let until = context.now + PATIENCE;
        let mut alarm = TimerHandle::default();
        alarm.schedule_by(context, Some(until), TimerEvent::AdminConnection(number));
        let (stage, end, rest) = (Stage::Calling, "\n", Vec::new());
        self.callers.insert(number, Caller { link, stage, until, end, rest, alarm });
        self.goes_on(context, number);
    }

    /// Ends the one that has said nothing whole for longest, else the oldest: one that has called is answered in the same
    /// turn, and only has to take it.
    fn make_room(&mut self, context: &mut LoopContext) {
        let mute = self.callers.iter().find(|(_, c)| c.stage == Stage::Calling);
        if let Some(number) = mute.or(self.callers.iter().next()).map(|(number, _)| *number) {
            self.end(context, number);
        }
    }

    fn goes_on(&mut self, context: &mut LoopContext, number: u64) {
        let Some(caller) = self.callers.get_mut(&number) else { return };
        match caller.stage {
            Stage::Calling => {
                if let Some(call) = caller.call(context) {
                    caller.stage = Stage::Called;
                    self.calls.push((number, call));
                } else if caller.link.peer_close.is_some() {
                    self.end(context, number);
                }
            }
            Stage::Called => {}
            Stage::Answered => {
                if caller.goes_on(context) {
                    self.end(context, number);
                }
            }
        }
    }

    /// Takes out the calls that have come.
    pub fn take_calls(&mut self) -> Vec<(u64, Result<Command, CommandError>)> {
        std::mem::take(&mut self.calls)
    }

    /// Answers a caller.
    pub fn answer(&mut self, context: &mut LoopContext, number: u64, answer: &CommandReply) {
        let Some(caller) = self.callers.get_mut(&number) else { return };
        caller.stage = Stage::Answered;
        caller.rest = answer.text(caller.end).into_bytes();
        caller.until = context.now + PATIENCE;
        self.goes_on(context, number);
    }

    /// A caller's timer has come.
    pub fn alarmed(&mut self, context: &mut LoopContext, number: u64) {
        let Some(caller) = self.callers.get_mut(&number) else { return };
        caller.alarm.on_fired();
        // A machine that stood still heard nobody.
        let until = caller.until.max(context.earliest_timeout());
        if context.now >= until {
            self.end(context, number);
        } else {
            caller.alarm.schedule_by(context, Some(until), TimerEvent::AdminConnection(number));
        }
    }

    fn end(&mut self, context: &mut LoopContext, number: u64) {
        if let Some(mut caller) = self.callers.remove(&number) {
            caller.alarm.cancel(context);
        }
    }
}

#[cfg(test)]
mod tests;
