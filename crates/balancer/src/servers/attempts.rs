//! Attempts: attempts at servers, and the standing connections that they become.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_protocol::message::{Message, parse_message};
use shorewharf_protocol::open_request::with_timeout;
use shorewharf_units::Micros;

use crate::event_loop::iteration::{LoopContext, TimerEvent, TimerHandle};
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
    Up,
}

/// What a server said last, which tells how its end is meant.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FinalReply {
    Bye,
    Move,
    Other,
}

/// What a server answers to a first line.
#[derive(Debug, PartialEq)]
pub enum ServerAnswer {
    /// It has taken the client.
    Up,
    /// The attempt is over.
    Over(Outcome),
    /// It said something that the protocol has no meaning for; the beginning of that.
    Odd(String),
    /// It said a line over the limit.
    LineTooLong,
}

/// Why a attempt could not begin.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DialError {
    /// Descriptors have run out.
    Shortage,
    /// The loop takes no more connections.
    Unwatched,
    /// This machine could not begin a connection, which says nothing of the server.
    Local,
    /// The connect failed at once.
    Refused,
}

fn dial_error_of(error: &std::io::Error) -> DialError {
    if is_shortage(error) {
        DialError::Shortage
    } else if is_local_failure(error) {
        DialError::Local
    } else {
        DialError::Refused
    }
}

/// What a server has said last, whatever the connection: to one, and before that to another. Shared by its attempts.
#[derive(Debug, Default)]
struct ServerActivity {
    last: Cell<Option<(Micros, RequestId)>>,
    before: Cell<Option<Micros>>,
}

impl ServerActivity {
    fn hears(&self, now: Micros, id: RequestId) {
        if let Some((at, other)) = self.last.replace(Some((now, id)))
            && other != id
        {
            self.before.set(Some(at));
        }
    }

    /// Whether it has said anything to another one since then.
    fn lives(&self, id: RequestId, since: Micros) -> bool {
        let last = self.last.get().filter(|(_, to)| *to != id).map(|(at, _)| at);
        last.max(self.before.get()).is_some_and(|at| at > since)
    }
}

/// A attempt: one attempt at a server, and the standing connection that it becomes.
#[derive(Debug)]
pub struct Attempt {
    /// The connection itself.
    pub link: Connection,
    server: ServerId,
    voice: Rc<ServerActivity>,
    stage: AttemptStage,
    /// It should be connected by then.
    connected_by: Micros,
    until: Micros,
    last: FinalReply,
    alarm: TimerHandle,
    /// When it last answered a line of the client's, and how long that took.
    answered: Option<(Micros, Micros)>,
    /// The first line has gone out to its last byte, and that was told.
    dispatched: bool,
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
    pub fn answered(&self) -> Option<(Micros, Micros)> {
        self.answered
    }

    /// Writes the first line on a connection that has come up, with what is left of the time as its `d`.
    pub fn ask(&mut self, now: Micros, pool: &BufferPool, line: &[u8]) {
        self.stage = AttemptStage::Sent;
        self.link.say(pool, &with_timeout(line, self.until.saturating_sub(now)));
    }

    /// Whether the last byte of the first line has gone out, which is told once.
    pub fn is_dispatched(&mut self) -> bool {
        !self.dispatched && self.stage == AttemptStage::Sent && {
            self.dispatched = self.link.flush();
            self.dispatched
        }
    }

    /// Reads on for the server's answer; none as long as there is none.
    pub fn answer(&mut self, pool: &BufferPool) -> Option<ServerAnswer> {
        let sent = self.link.flush();
        self.link.fill(pool);
        let ended = self.link.ended;
        Some(match self.link.look().map(|line| line.map(parse_message)) {
            Ok(Some(Message::Accepted(_))) => ServerAnswer::Up,
            Ok(Some(Message::Rejected(_))) => ServerAnswer::Over(Outcome::Rejected),
            Ok(Some(Message::Migrate)) => ServerAnswer::Over(Outcome::Cancelled),
            Ok(Some(Message::Completed)) => ServerAnswer::Over(Outcome::Ok),
            Ok(Some(Message::Failed)) => ServerAnswer::Over(Outcome::Error),
            Ok(Some(other)) => {
                let line = other.to_string();
                let line = line.trim_end().as_bytes();
                ServerAnswer::Odd(String::from_utf8_lossy(&line[..line.len().min(80)]).into_owned())
            }
            Err(LineTooLong) => ServerAnswer::LineTooLong,
            Ok(None) if ended.is_none() => return None,
            // Broken before the line's last byte was written: it has never run.
            Ok(None) if !sent => ServerAnswer::Over(Outcome::ConnectFailed),
            Ok(None) => ServerAnswer::Over(Outcome::Reset),
        })
    }

    /// Whether it can go on in another process.
    pub fn can_go(&self) -> bool {
        self.stage == AttemptStage::Up && self.last == FinalReply::Other && self.link.can_go()
    }

    /// The server has taken the client.
    pub fn stands(&mut self, now: Micros, id: RequestId) {
        self.stage = AttemptStage::Up;
        self.voice.hears(now, id);
    }

    /// When it should have come further; never where it stands.
    fn due(&self, judges_from: Micros) -> Option<Micros> {
        match self.stage {
            AttemptStage::Connecting => Some(self.connected_by.max(judges_from).min(self.until)),
            AttemptStage::Sent => Some(self.until),
            AttemptStage::Up => None,
        }
    }

    /// How it ends for want of time, if it does now.
    fn is_late(&self, now: Micros, judges_from: Micros) -> Option<Outcome> {
        match self.stage {
            // What was never written has never run; what was may have.
            AttemptStage::Connecting if now >= self.connected_by.max(judges_from) => {
                Some(Outcome::ConnectFailed)
            }
            AttemptStage::Connecting if now >= self.until => Some(Outcome::NotSent),
            AttemptStage::Sent if now >= self.until => Some(Outcome::TimedOut),
            _ => None,
        }
    }

    /// Takes in the lines that have come from a server on a standing connection. Each is carried on as it
    /// is; the figures of its `LOAD` lines go to `told`. A line unanswered since `asked` is answered by any other
    /// one. Tells whether anything came, and whether a line is over the limit.
    pub fn take_in(
        &mut self,
        turn: &LoopContext,
        id: RequestId,
        asked: &mut Option<Micros>,
        told: &mut Vec<f64>,
    ) -> (bool, Result<(), LineTooLong>) {
        let came = self.link.fill(&turn.pool);
        let looked = self.look(turn, id, asked, told);
        if self.link.ended == Some(PeerClose::Fin) {
            self.link.look_at_rest();
        }
        (came, looked)
    }

    fn look(
        &mut self,
        turn: &LoopContext,
        id: RequestId,
        asked: &mut Option<Micros>,
        told: &mut Vec<f64>,
    ) -> Result<(), LineTooLong> {
        let now = turn.now;
        while let Some(line) = self.link.look()? {
            self.voice.hears(now, id);
            self.last = FinalReply::Other;
            match parse_message(line) {
                Message::Completed => self.last = FinalReply::Bye,
                Message::Migrate => self.last = FinalReply::Move,
                Message::LoadReport(load) => told.extend(load),
                // The time from a client's line to the server's answer is what a message takes there.
                _ => {
                    self.answered = asked.take().map(|at| (now, now - turn.took_since(at))).or(self.answered)
                }
            }
        }
        Ok(())
    }

    /// How the end of a standing connection counts.
    pub fn outcome(&self) -> Outcome {
        match self.last {
            FinalReply::Bye => Outcome::Ok,
            FinalReply::Move => Outcome::Cancelled,
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
    voices: FxHashMap<ServerId, Rc<ServerActivity>>,
}

impl Attempts {
    /// Begins a attempt, which may take as long as `patience`; none may be out for this req.
    pub fn begin(
        &mut self,
        turn: &mut LoopContext,
        id: RequestId,
        (server, address): (ServerId, SocketAddr),
        patience: Micros,
        connect_timeout: Micros,
    ) -> Result<(), DialError> {
        let mut link = Connection::connect(address).map_err(|e| dial_error_of(&e))?;
        if !turn.poller.watch(&mut link, EventSource::Attempt(id)) {
            return Err(DialError::Unwatched);
        }
        // A client that leaves less time than a connect may take must not get its server locked.
        let connected_by = if connect_timeout <= patience { turn.now + connect_timeout } else { Micros::MAX };
        let (stage, last, until) =
            (AttemptStage::Connecting, FinalReply::Other, turn.now.saturating_add(patience));
        let voice = Rc::clone(self.voices.entry(server).or_default());
        let (alarm, answered, dispatched) = (TimerHandle::default(), None, false);
        let attempt =
            Attempt { link, server, voice, stage, connected_by, until, last, alarm, answered, dispatched };
        self.table.insert(id, Box::new(attempt));
        self.arm(turn, id);
        Ok(())
    }

    /// Takes in a attempt that stands, from another process of this balancer; false where it can't be watched.
    pub fn adopt(
        &mut self,
        turn: &mut LoopContext,
        id: RequestId,
        server: ServerId,
        mut link: Connection,
    ) -> bool {
        if !turn.poller.watch(&mut link, EventSource::Attempt(id)) {
            return false;
        }
        let voice = Rc::clone(self.voices.entry(server).or_default());
        let (stage, last, connected_by, until) = (AttemptStage::Up, FinalReply::Other, turn.now, turn.now);
        let (alarm, answered, dispatched) = (TimerHandle::default(), None, true);
        let attempt =
            Attempt { link, server, voice, stage, connected_by, until, last, alarm, answered, dispatched };
        self.table.insert(id, Box::new(attempt));
        true
    }

    /// A req's attempt.
    pub fn get(&self, id: RequestId) -> Option<&Attempt> {
        self.table.get(&id).map(|f| &**f)
    }

    /// A req's attempt, to act on.
    pub fn get_mut(&mut self, id: RequestId) -> Option<&mut Attempt> {
        self.table.get_mut(&id).map(|f| &mut **f)
    }

    /// Whether a attempt is out, or stands, for a req.
    pub fn has(&self, id: RequestId) -> bool {
        self.table.contains_key(&id)
    }

    /// The server that a req's attempt goes to.
    pub fn server(&self, id: RequestId) -> Option<ServerId> {
        self.table.get(&id).map(|f| f.server)
    }

    /// Ends a req's attempt; false where there is none.
    pub fn end(&mut self, turn: &mut LoopContext, id: RequestId) -> bool {
        self.take(turn, id).is_some()
    }

    /// Takes a req's attempt out, with its connection.
    pub fn take(&mut self, turn: &mut LoopContext, id: RequestId) -> Option<Box<Attempt>> {
        let mut attempt = self.table.remove(&id)?;
        attempt.alarm.off(turn);
        // The table's own is the other one that is left.
        if Rc::strong_count(&attempt.voice) == 2 {
            self.voices.remove(&attempt.server);
        }
        Some(attempt)
    }

    fn arm(&mut self, turn: &mut LoopContext, id: RequestId) {
        let Some(attempt) = self.table.get_mut(&id) else { return };
        let due = attempt.due(turn.judges_from());
        attempt.alarm.by(turn, due, TimerEvent::Attempt(id));
    }

    /// The timer of a req's attempt has come: how it ends, if it does.
    pub fn alarmed(&mut self, turn: &mut LoopContext, id: RequestId) -> Option<Outcome> {
        let attempt = self.table.get_mut(&id)?;
        attempt.alarm.came();
        let late = attempt.is_late(turn.now, turn.judges_from());
        if late.is_none() {
            self.arm(turn, id);
        }
        late
    }

    /// Whether the server of this req's attempt has said anything to another one since then.
    pub fn server_lives(&self, id: RequestId, since: Micros) -> bool {
        self.table.get(&id).is_some_and(|f| f.voice.lives(id, since))
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether a server has any.
    pub fn any_at(&self, server: ServerId) -> bool {
        self.voices.contains_key(&server)
    }
}

#[cfg(test)]
mod tests;
