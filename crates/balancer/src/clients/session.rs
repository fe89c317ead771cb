//! One client's connection: what it says, what it is told, and how far it has come.

use std::net::SocketAddr;

use shorewharf_decisions::interface::{RequestId, ServerId};
use shorewharf_driver::ReceivedRequest;
use shorewharf_units::Micros;

use crate::event_loop::iteration::{LoopContext, TimerHandle};
use crate::transport::buffer_pool::{Buffer, BufferPool};
use crate::transport::connection::{Connection, LineTooLong, PeerClose};

/// A client that connects has this long for its first line, all of it: a client sends it at once, and one that
/// can't, or says nothing, is owed an end within 3 s. A line that a front has begun has as long to end.
const FIRST_LINE_TIMEOUT: Micros = 2_500_000;
/// A front that has pinged may be quiet for so long before it pings again.
const PING_INTERVAL_TIMEOUT: Micros = 10_000_000;
/// Commands of the front's that are answered in one go; who sends more at a time is no front.
const MAX_PINGS_PER_READ: usize = 16;
/// After its last words a client may send so much more, which is read and dropped; a close with unread input
/// would be a reset, and those who send on at full speed get it.
const MAX_DISCARDED_BYTES: usize = 256 << 10;
/// Rounds of reading what is dropped before other connections get their turn.
const MAX_READ_ROUNDS: usize = 8;
/// Once a session's end is on its way, the client has this long to take it.
const CLOSE_TIMEOUT: Micros = 500_000;
/// When one side has finished, the other has this long: a connection must be over within a second.
const HALF_OPEN_TIMEOUT: Micros = 700_000;
/// A line of the client's that goes unanswered for so long shows a dead connection: sound ones answer within
/// milliseconds. Lines come every 2 s, and a dead connection must be left within 7 s.
const SILENT_SERVER_TIMEOUT: Micros = 1_500_000;
/// A client that the module has not answered by then is answered all the same.
const OVERDUE_ANSWER_GRACE: Micros = 15_000;
/// A connection from before the start is tried anew after this pause.
const RESTORE_RETRY_DELAY: Micros = 500_000;

/// How far a client session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SessionStage {
    /// Its first line is still to come.
    Opening,
    /// It waits for its answer.
    Waiting,
    /// It stands: lines are passed on both ways.
    Open,
    /// It is to be told to move as soon as a line has ended.
    Moving,
    /// Its last words are out; its end is awaited.
    Closing,
}

/// What has come from a client whose first line is awaited.
#[derive(Debug, PartialEq)]
pub enum FirstLine {
    /// Nothing that is whole.
    Part,
    /// Its first line.
    Line(Vec<u8>),
    /// Its end.
    Closed,
    /// A line over the limit.
    LineTooLong,
    /// More commands of a front's than a front sends.
    TooMany,
}

/// What a client does that waits for its answer.
#[derive(Debug, PartialEq, Eq)]
pub enum WaitingActivity {
    /// It waits.
    Waits,
    /// It has said something.
    Spoke,
    /// It has ended its side.
    Left,
}

/// How far a session's end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseProgress {
    /// The client's end is awaited.
    Waits,
    /// There is more to read once others have had their turn.
    More,
    /// It is over.
    Over,
}

/// One client's connection.
#[derive(Debug)]
pub struct Session {
    /// The connection itself.
    pub link: Connection,
    from: SocketAddr,
    stage: SessionStage,
    /// When the stage began, and when it must be over.
    since: Micros,
    until: Micros,
    /// A first line that begins now must end by then.
    whole_by: Micros,
    /// Input dropped after the last words.
    dropped: usize,
    /// The id that it opened with.
    open_id: Option<u64>,
    /// One side has finished; the rest must be over by then.
    half_open: Option<Micros>,
    /// The line it opened with, until it is up.
    first: Option<Buffer>,
    /// It stood before this program started; few do, and what is known of that is apart.
    carried: Option<Box<RestoredConnection>>,
    /// When the first line came that its server has answered nothing to.
    asked: Option<Micros>,
    /// The class it asks for, until its one end, or its coming up, has been counted.
    pub(crate) class: Option<u16>,
    /// It is among those that tell of message delays.
    sighted: bool,
    /// Its timer.
    pub(crate) alarm: TimerHandle,
}

/// A connection from before the start.
#[derive(Debug)]
struct RestoredConnection {
    /// The server that it stood on.
    home: ServerId,
    req: ReceivedRequest,
    /// When to try again to carry it on, once that has failed.
    again: Option<Micros>,
    failed: bool,
}

/// What a session asks for with its first line.
#[derive(Debug)]
pub struct SessionRequest<'a> {
    /// The line.
    pub line: &'a [u8],
    /// The id that it names.
    pub open_id: u64,
    /// What it asks for.
    pub req: ReceivedRequest,
    /// The server that it stood on before this program started.
    pub home: Option<ServerId>,
    /// When it must have its answer.
    pub until: Micros,
}

impl Session {
    /// A client that has just connected.
    pub(crate) fn new(link: Connection, from: SocketAddr, now: Micros) -> Self {
        Session {
            link,
            from,
            stage: SessionStage::Opening,
            since: now,
            until: now + FIRST_LINE_TIMEOUT,
            whole_by: now + FIRST_LINE_TIMEOUT,
            dropped: 0,
            open_id: None,
            half_open: None,
            first: None,
            carried: None,
            asked: None,
            class: None,
            sighted: false,
            alarm: TimerHandle::default(),
        }
    }

    /// One that stands, from another process of this balancer.
    pub(crate) fn adopted(
        link: Connection,
        from: SocketAddr,
        now: Micros,
        (open_id, asked): (u64, Option<Micros>),
    ) -> Self {
        let (open_id, asked) = (Some(open_id), asked.map(|at| at.min(now)));
        Session { stage: SessionStage::Open, open_id, asked, ..Session::new(link, from, now) }
    }

    /// Whether it can go on in another process.
    pub fn can_go(&self) -> bool {
        self.stage == SessionStage::Open && self.half_open.is_none() && self.link.can_go()
    }

    /// When something of it is due next.
    pub(crate) fn due(&self, turn: &LoopContext) -> Option<Micros> {
        let judges_from = turn.judges_from();
        let first = |a: Option<Micros>, b: Option<Micros>| a.into_iter().chain(b).min();
        match self.stage {
            SessionStage::Opening => Some(self.until.max(judges_from)),
            SessionStage::Closing => Some(self.until),
            SessionStage::Waiting => {
                first(self.carried.as_ref().and_then(|c| c.again), Some(self.until + OVERDUE_ANSWER_GRACE))
            }
            SessionStage::Open | SessionStage::Moving => {
                let silent = self.asked.map(|at| turn.took_since(at) + SILENT_SERVER_TIMEOUT);
                first(self.half_open.map(|at| at.max(judges_from)), silent)
            }
        }
    }

    /// Whether a client that waits should have had its answer by now.
    pub fn is_overdue(&self, now: Micros) -> bool {
        now >= self.until + OVERDUE_ANSWER_GRACE
    }

    /// Where it comes from.
    pub fn from(&self) -> SocketAddr {
        self.from
    }

    /// How far it has come.
    pub fn stage(&self) -> SessionStage {
        self.stage
    }

    /// When this stage began.
    pub(crate) fn since(&self) -> Micros {
        self.since
    }

    /// When this stage must be over.
    pub fn until(&self) -> Micros {
        self.until
    }

    /// Whether this stage should be over by now.
    pub fn is_late(&self, now: Micros) -> bool {
        now >= self.until
    }

    /// Whether it waits for its answer.
    pub fn waits(&self) -> bool {
        self.stage == SessionStage::Waiting
    }

    /// The server that it stood on before this program started.
    pub fn home(&self) -> Option<ServerId> {
        self.carried.as_ref().map(|c| c.home)
    }

    /// What it asks for, where it stood before this program started.
    pub fn req(&self) -> Option<ReceivedRequest> {
        self.carried.as_ref().map(|c| c.req)
    }

    /// The line it opened with, until it is up.
    pub fn first_line(&self) -> Option<&[u8]> {
        self.first.as_ref().map(Buffer::held)
    }

    /// The id that it opened with, while that is its own.
    pub fn open_id(&self) -> Option<u64> {
        self.open_id
    }

    /// Since when a line of the client's has gone unanswered, to be taken out by whoever answers.
    pub fn asked(&mut self) -> &mut Option<Micros> {
        &mut self.asked
    }

    /// Since when a line of the client's has gone unanswered.
    pub fn asked_since(&self) -> Option<Micros> {
        self.asked
    }

    /// Whether it is to be taken up among those that tell of message delays, which is told once.
    pub fn is_sighted(&mut self) -> bool {
        self.asked.is_some() && !std::mem::replace(&mut self.sighted, true)
    }

    /// Whether it stays among them.
    pub fn stays_sighted(&mut self, stays: bool) -> bool {
        self.sighted = stays;
        stays
    }

    /// Since when a line has gone unanswered for so long that the connection is dead.
    pub fn silent_since(&self, turn: &LoopContext) -> Option<Micros> {
        self.asked.filter(|at| turn.now >= turn.took_since(*at) + SILENT_SERVER_TIMEOUT)
    }

    /// Reads on for the first line; a front's commands are answered on the way.
    pub fn opens(&mut self, now: Micros, pool: &BufferPool) -> FirstLine {
        for _ in 0..=MAX_PINGS_PER_READ {
            self.link.fill(pool);
            match self.link.line() {
                Ok(Some(line)) if line == b"PING" => {
                    (self.until, self.whole_by) = (now + PING_INTERVAL_TIMEOUT, now + PING_INTERVAL_TIMEOUT);
                    self.link.say(pool, b"PONG\r\n");
                }
                Ok(Some(line)) => return FirstLine::Line(line),
                Ok(None) if self.link.ended.is_some() => return FirstLine::Closed,
                Ok(None) => {
                    if !self.link.held().is_empty() {
                        // From its beginning, not from each of its pieces: those may come one by one for ever.
                        self.whole_by = self.whole_by.min(now + FIRST_LINE_TIMEOUT);
                        self.until = self.whole_by;
                    }
                    return FirstLine::Part;
                }
                Err(LineTooLong) => return FirstLine::LineTooLong,
            }
        }
        FirstLine::TooMany
    }

    /// Looks whether a client that waits does nothing else.
    pub fn waits_on(&mut self, pool: &BufferPool) -> WaitingActivity {
        self.link.fill(pool);
        if !self.link.held().is_empty() {
            WaitingActivity::Spoke
        } else if self.link.ended.is_some() {
            WaitingActivity::Left
        } else {
            WaitingActivity::Waits
        }
    }

    /// Its first line has come, and it waits.
    pub(crate) fn asks(&mut self, now: Micros, pool: &BufferPool, asking: SessionRequest) {
        let mut first = pool.take();
        first.append(asking.line);
        let carried =
            |home| Box::new(RestoredConnection { home, req: asking.req, again: None, failed: false });
        (self.first, self.carried) = (Some(first), asking.home.map(carried));
        (self.stage, self.since, self.until) = (SessionStage::Waiting, now, asking.until);
        self.open_id = Some(asking.open_id);
        self.is_of(asking.req.class);
    }

    /// The class that it asks for is known, whatever else is wrong with what it said.
    pub fn is_of(&mut self, class: usize) {
        self.class = u16::try_from(class).ok();
    }

    /// The class that it is to be counted under, which is told once.
    pub fn is_counted(&mut self) -> Option<usize> {
        self.class.take().map(usize::from)
    }

    /// A server has taken it.
    pub fn stands(&mut self) {
        self.stage = SessionStage::Open;
        self.first = None;
    }

    /// It is to move; false unless it stands and nobody has said so before.
    pub fn moves(&mut self) -> bool {
        let stands = self.stage == SessionStage::Open;
        if stands {
            self.stage = SessionStage::Moving;
        }
        stands
    }

    /// Takes in the lines that have come on a standing connection, each carried on as it is. Tells whether anything
    /// came, and whether a line is over the limit.
    pub fn take_in(&mut self, now: Micros, pool: &BufferPool) -> (bool, Result<(), LineTooLong>) {
        let came = self.half_open.is_none() && self.link.fill(pool);
        let looked = loop {
            match self.link.look() {
                Ok(Some(_)) => self.asked.get_or_insert(now),
                Ok(None) => break Ok(()),
                Err(LineTooLong) => break Err(LineTooLong),
            };
        };
        if self.link.ended == Some(PeerClose::Fin) {
            self.link.look_at_rest();
        }
        (came, looked)
    }

    /// One side has finished; the rest has a limit from now on.
    pub fn half_opens(&mut self, now: Micros) {
        self.half_open.get_or_insert(now + HALF_OPEN_TIMEOUT);
    }

    /// Whether what is left after one side's end should be over by now.
    pub fn half_open_due(&self, now: Micros) -> bool {
        self.half_open.is_some_and(|by| now >= by)
    }

    /// An attempt to carry on a connection from before the start has failed; true if it is the first one.
    pub fn carry_failed(&mut self, now: Micros) -> bool {
        let Some(carried) = &mut self.carried else { return false };
        carried.again = Some(now + RESTORE_RETRY_DELAY);
        !std::mem::replace(&mut carried.failed, true)
    }

    /// Whether a connection from before the start is to be tried again now, which is told once.
    pub fn carries_again(&mut self, now: Micros) -> bool {
        self.carried.as_mut().is_some_and(|c| c.again.take_if(|at| now >= *at).is_some())
    }

    /// Says its last words; its end is awaited from now on. Tells the id that it had opened with, which is free.
    pub(crate) fn ends(&mut self, now: Micros, pool: &BufferPool, words: &[u8]) -> Option<u64> {
        (self.stage, self.since, self.until) = (SessionStage::Closing, now, now + CLOSE_TIMEOUT);
        (self.first, self.half_open) = (None, None);
        self.link.say(pool, words);
        self.open_id.take()
    }

    /// Finishes the sending and waits for the client's end, reading on: a close with unread input would become a
    /// reset and could overtake the last words.
    pub fn ending(&mut self, pool: &BufferPool) -> CloseProgress {
        // Where the client has ended, the close says as much.
        if self.link.flush() && self.link.ended.is_none() {
            self.link.shut();
        }
        let mut more = true;
        for _ in 0..MAX_READ_ROUNDS {
            more = self.link.fill(pool);
            self.dropped += self.link.held().len();
            self.link.drop_input();
            if !more || self.dropped > MAX_DISCARDED_BYTES {
                break;
            }
        }
        match self.link.ended.is_some() || self.dropped > MAX_DISCARDED_BYTES {
            true => CloseProgress::Over,
            false if more => CloseProgress::More,
            false => CloseProgress::Waits,
        }
    }
}

/// A number that no session has is looked for from here on.
pub(crate) fn next_free_id(from: RequestId, in_use: impl Fn(RequestId) -> bool) -> RequestId {
    let mut id = from;
    // After four thousand million clients the numbers come round; one that is in use is passed over.
    while in_use(id) {
        id.0 = id.0.wrapping_add(1);
    }
    id
}

#[cfg(test)]
mod tests;
