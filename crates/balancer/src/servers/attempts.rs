//! Attempts: attempts at servers, and the standing connections that they become.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_protocol::open_request::with_timeout;
use shorewharf_units::Micros;

use crate::event_loop::context::{LoopContext, TimerEvent, TimerHandle};
use crate::event_loop::poll::EventSource;
use crate::transport::buffer_pool::BufferPool;
use crate::transport::connection::{Connection, LineTooLong, PeerClose, is_local_failure, is_shortage};

/// How far a attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptStage {
    /// Its connection is not up yet.
    Connecting,
    /// The first line is out, or on its way; the answer is awaited.
    Sent,
    /// The server has taken the client.
    Established,
}

/// What a server said last, which tells how its end is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalReply {
    Completed,
    Migrate,
    Other,
}

/// What a server answers to a first line.
#[derive(Debug, PartialEq)]
pub enum ServerAnswer {
    /// It has taken the client.
    Accepted,
    /// The attempt is over.
    Ended(Outcome),
    /// It said something that the protocol has no meaning for; the beginning of that.
    Unexpected(String),
    /// It said a line over the limit.
    LineTooLong,
}

/// Why a attempt could not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// Descriptors have run out.
    Shortage,
    /// The loop takes no more connections.
    NotRegistered,
    /// This machine could not begin a connection, which says nothing of the server.
    LocalFailure,
    /// The connect failed at once.
    Refused,
}

fn dial_error_of(error: &std::io::Error) -> DialError {
    if is_shortage(error) {
        DialError::Shortage
    } else if is_local_failure(error) {
        DialError::LocalFailure
    } else {
        DialError::Refused
    }
}

/// What a server has said last, whatever the connection: to one, and before that to another. Shared by its attempts.
#[derive(Debug, Default)]
struct ServerActivity {
    last: Cell<Option<(Micros, RequestId)>>,
    last_to_other: Cell<Option<Micros>>,
}

impl ServerActivity {
    fn record(&self, now: Micros, id: RequestId) {
        if let Some((at, other)) = self.last.replace(Some((now, id)))
            && other != id
        {
            self.last_to_other.set(Some(at));
        }
    }

    /// Whether it has said anything to another one since then.
    fn is_alive_for_others(&self, id: RequestId, since: Micros) -> bool {
        let last = self.last.get().filter(|(_, to)| *to != id).map(|(at, _)| at);
        last.max(self.last_to_other.get()).is_some_and(|at| at > since)
    }
}

/// A attempt: one attempt at a server, and the standing connection that it becomes.
#[derive(Debug)]
pub struct Attempt {
    /// The connection itself.
    pub connection: Connection,
    server: ServerId,
    activity: Rc<ServerActivity>,
    stage: AttemptStage,
    /// It should be connected by then.
    connected_by: Micros,
    deadline: Micros,
    last_reply: FinalReply,
    timer: TimerHandle,
    /// When it last answered a line of the client's, and how long that took.
    last_answer: Option<(Micros, Micros)>,
    /// The first line has gone out to its last byte, and that was told.
    is_dispatched: bool,
}

impl Attempt {
    /// The server that it goes to.
    pub fn server(&self) -> ServerId {
        self.server
    }

    /// How far it has come.
    pub fn stage(&self) -> AttemptStage {
        self.stage
    }

    /// When a line of the client's was answered last, and how long that took.
    pub fn last_answer(&self) -> Option<(Micros, Micros)> {
        self.last_answer
    }

    /// Writes the first line on a connection that has come up, with what is left of the time as its `d`.
    pub fn send_request(&mut self, now: Micros, pool: &BufferPool, line: &[u8]) {
        self.stage = AttemptStage::Sent;
        self.connection.send(pool, &with_timeout(line, self.deadline.saturating_sub(now)));
    }

    /// Whether the last byte of the first line has gone out, which is told once.
    pub fn take_dispatched(&mut self) -> bool {
        !self.is_dispatched && self.stage == AttemptStage::Sent && {
            self.is_dispatched = self.connection.flush();
            self.is_dispatched
        }
    }

    /// Reads on for the server's answer; none as long as there is none.
    pub fn read_answer(&mut self, pool: &BufferPool) -> Option<ServerAnswer> {
        let sent = self.connection.flush();
        self.connection.read_available(pool);
        let ended = self.connection.peer_close;
        Some(match self.connection.inspect_line().map(|line| line.map(parse_message)) {
            Ok(Some(Message::Accepted(_))) => ServerAnswer::Accepted,
            Ok(Some(Message::Rejected(_))) => ServerAnswer::Ended(Outcome::Rejected),
            Ok(Some(Message::Migrate)) => ServerAnswer::Ended(Outcome::Cancelled),
            Ok(Some(Message::Completed)) => ServerAnswer::Ended(Outcome::Ok),
            Ok(Some(Message::Failed)) => ServerAnswer::Ended(Outcome::Error),
            Ok(Some(other)) => {
                let line = other.to_string();
                let line = line.trim_end().as_bytes();
                ServerAnswer::Unexpected(String::from_utf8_lossy(&line[..line.len().min(80)]).into_owned())
            }
            Err(LineTooLong) => ServerAnswer::LineTooLong,
            Ok(None) if ended.is_none() => return None,
            // Broken before the line's last byte was written: it has never run.
            Ok(None) if !sent => ServerAnswer::Ended(Outcome::ConnectFailed),
            Ok(None) => ServerAnswer::Ended(Outcome::Reset),
        })
    }

    /// Whether it can go on in another process.
    pub fn is_transferable(&self) -> bool {
        self.stage == AttemptStage::Established
            && self.last_reply == FinalReply::Other
            && self.connection.is_transferable()
    }

    /// The server has taken the client.
    pub fn establish(&mut self, now: Micros, id: RequestId) {
        self.stage = AttemptStage::Established;
        self.activity.record(now, id);
    }

    /// When it should have come further; never where it stands.
    fn next_deadline(&self, judges_from: Micros) -> Option<Micros> {
        match self.stage {
            AttemptStage::Connecting => Some(self.connected_by.max(judges_from).min(self.deadline)),
            AttemptStage::Sent => Some(self.deadline),
            AttemptStage::Established => None,
        }
    }

    /// How it ends for want of time, if it does now.
    fn timeout_outcome(&self, now: Micros, judges_from: Micros) -> Option<Outcome> {
        match self.stage {
            // What was never written has never run; what was may have.
            AttemptStage::Connecting if now >= self.connected_by.max(judges_from) => {
                Some(Outcome::ConnectFailed)
            }
            AttemptStage::Connecting if now >= self.deadline => Some(Outcome::NotSent),
            AttemptStage::Sent if now >= self.deadline => Some(Outcome::TimedOut),
            _ => None,
        }
    }

    /// Takes in the lines that have come from a server on a standing connection. Each is carried on as it
    /// is; the figures of its `LOAD` lines go to `told`. A line unanswered since `asked` is answered by any other
    /// one. GossipTransport whether anything came, and whether a line is over the limit.
    pub fn read_lines(
        &mut self,
        context: &LoopContext,
        id: RequestId,
        asked: &mut Option<Micros>,
        told: &mut Vec<f64>,
    ) -> (bool, Result<(), LineTooLong>) {
        let came = self.connection.read_available(&context.buffers);
        let looked = self.inspect_lines(context, id, asked, told);
        if self.connection.peer_close == Some(PeerClose::Fin) {
            self.connection.inspect_rest();
        }
        (came, looked)
    }

    fn inspect_lines(
        &mut self,
        context: &LoopContext,
        id: RequestId,
        asked: &mut Option<Micros>,
        told: &mut Vec<f64>,
    ) -> Result<(), LineTooLong> {
        let now = context.now;
        while let Some(line) = self.connection.inspect_line()? {
            self.activity.record(now, id);
            self.last_reply = FinalReply::Other;
            match parse_message(line) {
                Message::Completed => self.last_reply = FinalReply::Completed,
                Message::Migrate => self.last_reply = FinalReply::Migrate,
                Message::LoadReport(load) => told.extend(load),
                // The time from a client's line to the server's answer is what a message takes there.
                _ => {
                    self.last_answer =
                        asked.take().map(|at| (now, now - context.waiting_since(at))).or(self.last_answer)
                }
            }
        }
        Ok(())
    }

    /// How the end of a standing connection counts.
    pub fn outcome(&self) -> Outcome {
        match self.last_reply {
            FinalReply::Completed => Outcome::Ok,
            FinalReply::Migrate => Outcome::Cancelled,
            FinalReply::Other => Outcome::Reset,
        }
    }
}

/// The table of attempts, by req: a req has one at most. A timer of one that is over does not end the next: it is
/// taken back.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Boxed: the table of a large fleet has room for more than it holds.
    table: FxHashMap<RequestId, Box<Attempt>>,
    /// By server, for as long as it has any.
    activity: FxHashMap<ServerId, Rc<ServerActivity>>,
}

impl Attempts {
    /// Begins a attempt, which may take as long as `patience`; none may be out for this req.
    pub fn begin(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        (server, address): (ServerId, SocketAddr),
        patience: Micros,
        connect_timeout: Micros,
    ) -> Result<(), DialError> {
        let mut link = Connection::connect(address).map_err(|e| dial_error_of(&e))?;
        if !context.registry.register(&mut link, EventSource::Attempt(id)) {
            return Err(DialError::NotRegistered);
        }
        // A client that leaves less time than a connect may take must not get its server locked.
        let connected_by =
            if connect_timeout <= patience { context.now + connect_timeout } else { Micros::MAX };
        let (stage, last, until) =
            (AttemptStage::Connecting, FinalReply::Other, context.now.saturating_add(patience));
        let voice = Rc::clone(self.activity.entry(server).or_default());
        let (alarm, answered, dispatched) = (TimerHandle::default(), None, false);
        let attempt = Attempt {
            connection: link,
            server,
            activity: voice,
            stage,
            connected_by,
            deadline: until,
            last_reply: last,
            timer: alarm,
            last_answer: answered,
            is_dispatched: dispatched,
        };
        self.table.insert(id, Box::new(attempt));
        self.schedule_timer(context, id);
        Ok(())
    }

    /// Takes in a attempt that stands, from another process of this balancer; false where it can't be watched.
    pub fn adopt(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        server: ServerId,
        mut link: Connection,
    ) -> bool {
        if !context.registry.register(&mut link, EventSource::Attempt(id)) {
            return false;
        }
        let voice = Rc::clone(self.activity.entry(server).or_default());
        let (stage, last, connected_by, until) =
            (AttemptStage::Established, FinalReply::Other, context.now, context.now);
        let (alarm, answered, dispatched) = (TimerHandle::default(), None, true);
        let attempt = Attempt {
            connection: link,
            server,
            activity: voice,
            stage,
            connected_by,
            deadline: until,
            last_reply: last,
            timer: alarm,
            last_answer: answered,
            is_dispatched: dispatched,
        };
        self.table.insert(id, Box::new(attempt));
        true
    }

    /// A req's attempt.
    pub fn get(&self, id: RequestId) -> Option<&Attempt> {
        self.table.get(&id).map(|attempt| &**attempt)
    }

    /// A req's attempt, to act on.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Attempt> {
        self.table.get_mut(&id).map(|attempt| &mut **attempt)
    }

    /// Whether a attempt is out, or stands, for a req.
    pub fn has(&self, id: RequestId) -> bool {
        self.table.contains_key(&id)
    }

    /// The server that a req's attempt goes to.
    pub fn server(&self, id: RequestId) -> Option<ServerId> {
        self.table.get(&id).map(|attempt| attempt.server)
    }

    /// Ends a req's attempt; false where there is none.
    pub fn end(&mut self, context: &mut LoopContext, id: RequestId) -> bool {
        self.take(context, id).is_some()
    }

    /// Takes a req's attempt out, with its connection.
    pub fn take(&mut self, context: &mut LoopContext, id: RequestId) -> Option<Box<Attempt>> {
        let mut attempt = self.table.remove(&id)?;
        attempt.timer.cancel(context);
        // The table's own is the other one that is left.
        if Rc::strong_count(&attempt.activity) == 2 {
            self.activity.remove(&attempt.server);
        }
        Some(attempt)
    }

    fn schedule_timer(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(attempt) = self.table.get_mut(&id) else { return };
        let due = attempt.next_deadline(context.earliest_timeout());
        attempt.timer.schedule_by(context, due, TimerEvent::Attempt(id));
    }

    /// The timer of a req's attempt has come: how it ends, if it does.
    pub fn on_timer(&mut self, context: &mut LoopContext, id: RequestId) -> Option<Outcome> {
        let attempt = self.table.get_mut(&id)?;
        attempt.timer.on_fired();
        let late = attempt.timeout_outcome(context.now, context.earliest_timeout());
        if late.is_none() {
            self.schedule_timer(context, id);
        }
        late
    }

    /// Whether the server of this req's attempt has said anything to another one since then.
    pub fn is_server_alive(&self, id: RequestId, since: Micros) -> bool {
        self.table.get(&id).is_some_and(|attempt| attempt.activity.is_alive_for_others(id, since))
    }

    /// How many there are.
    pub fn count(&self) -> usize {
        self.table.len()
    }

    /// Whether a server has any.
    pub fn has_server(&self, server: ServerId) -> bool {
        self.activity.contains_key(&server)
    }
}

#[cfg(test)]
mod tests;
