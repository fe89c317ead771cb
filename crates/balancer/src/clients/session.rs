//! One client's connection: what it says, what it is told, and how far it has come.

use std::net::SocketAddr;

use shorewharf_decisions::interface::{RequestId, ServerId};
use shorewharf_driver::ReceivedRequest;
use shorewharf_units::Micros;

use crate::event_loop::context::{LoopContext, TimerHandle};
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
    AwaitingRequest,
    /// It waits for its answer.
    AwaitingAnswer,
    /// It stands: lines are passed on both ways.
    Established,
    /// It is to be told to move as soon as a line has ended.
    Migrating,
    /// Its last words are out; its end is awaited.
    Closing,
}

/// What has come from a client whose first line is awaited.
#[derive(Debug, PartialEq)]
pub enum FirstLine {
    /// Nothing that is whole.
    Incomplete,
    /// Its first line.
    Line(Vec<u8>),
    /// Its end.
    Closed,
    /// A line over the limit.
    LineTooLong,
    /// More commands of a front's than a front sends.
    TooManyPings,
}

/// What a client does that waits for its answer.
#[derive(Debug, PartialEq, Eq)]
pub enum WaitingActivity {
    /// It waits.
    Silent,
    /// It has said something.
    SentData,
    /// It has ended its side.
    Closed,
}

/// How far a session's end has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CloseProgress {
    /// The client's end is awaited.
    AwaitingPeer,
    /// There is more to read once others have had their turn.
    MoreToRead,
    /// It is over.
    Done,
}

/// One client's connection.
#[derive(Debug)]
pub struct Session {
    /// The connection itself.
    pub connection: Connection,
    client_address: SocketAddr,
    stage: SessionStage,
    /// When the stage began, and when it must be over.
    stage_since: Micros,
    deadline: Micros,
    /// A first line that begins now must end by then.
    first_line_deadline: Micros,
    /// Input dropped after the last words.
    discarded_bytes: usize,
    /// The id that it opened with.
    open_id: Option<u64>,
    /// One side has finished; the rest must be over by then.
    half_open_deadline: Option<Micros>,
    /// The line it opened with, until it is up.
    first_line: Option<Buffer>,
    /// It stood before this program started; few do, and what is known of that is apart.
    restored: Option<Box<RestoredConnection>>,
    /// When the first line came that its server has answered nothing to.
    unanswered_since: Option<Micros>,
    /// The class it asks for, until its one end, or its coming up, has been counted.
    pub(crate) uncounted_class: Option<u16>,
    /// It is among those that tell of message delays.
    reports_delay: bool,
    /// Its timer.
    pub(crate) timer: TimerHandle,
}

/// A connection from before the start.
#[derive(Debug)]
struct RestoredConnection {
    /// The server that it stood on.
    server: ServerId,
    request: ReceivedRequest,
    /// When to try again to carry it on, once that has failed.
    retry_at: Option<Micros>,
    has_failed: bool,
}

/// What a session asks for with its first line.
#[derive(Debug)]
pub struct SessionRequest<'a> {
    /// The line.
    pub line: &'a [u8],
    /// The id that it names.
    pub open_id: u64,
    /// What it asks for.
    pub request: ReceivedRequest,
    /// The server that it stood on before this program started.
    pub previous_server: Option<ServerId>,
    /// When it must have its answer.
    pub deadline: Micros,
}

impl Session {
    /// A client that has just connected.
    pub(crate) fn new(link: Connection, from: SocketAddr, now: Micros) -> Self {
        Session {
            connection: link,
            client_address: from,
            stage: SessionStage::AwaitingRequest,
            stage_since: now,
            deadline: now + FIRST_LINE_TIMEOUT,
            first_line_deadline: now + FIRST_LINE_TIMEOUT,
            discarded_bytes: 0,
            open_id: None,
            half_open_deadline: None,
            first_line: None,
            restored: None,
            unanswered_since: None,
            uncounted_class: None,
            reports_delay: false,
            timer: TimerHandle::default(),
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
        Session {
            stage: SessionStage::Established,
            open_id,
            unanswered_since: asked,
            ..Session::new(link, from, now)
        }
    }

    /// Whether it can go on in another process.
    pub fn is_transferable(&self) -> bool {
        self.stage == SessionStage::Established
            && self.half_open_deadline.is_none()
            && self.connection.is_transferable()
    }

    /// When something of it is due next.
    pub(crate) fn next_deadline(&self, context: &LoopContext) -> Option<Micros> {
        let judges_from = context.earliest_timeout();
        let first = |a: Option<Micros>, b: Option<Micros>| a.into_iter().chain(b).min();
        match self.stage {
            SessionStage::AwaitingRequest => Some(self.deadline.max(judges_from)),
            SessionStage::Closing => Some(self.deadline),
            SessionStage::AwaitingAnswer => first(
                self.restored.as_ref().and_then(|c| c.retry_at),
                Some(self.deadline + OVERDUE_ANSWER_GRACE),
            ),
            SessionStage::Established | SessionStage::Migrating => {
                let silent =
                    self.unanswered_since.map(|at| context.waiting_since(at) + SILENT_SERVER_TIMEOUT);
                first(self.half_open_deadline.map(|at| at.max(judges_from)), silent)
            }
        }
    }

    /// Whether a client that waits should have had its answer by now.
    pub fn is_overdue(&self, now: Micros) -> bool {
        now >= self.deadline + OVERDUE_ANSWER_GRACE
    }

    /// Where it comes from.
    pub fn client_address(&self) -> SocketAddr {
        self.client_address
    }

    /// How far it has come.
    pub fn stage(&self) -> SessionStage {
        self.stage
    }

    /// When this stage began.
    pub(crate) fn stage_since(&self) -> Micros {
        self.stage_since
    }

    /// When this stage must be over.
    pub fn deadline(&self) -> Micros {
        self.deadline
    }

    /// Whether this stage should be over by now.
    pub fn is_past_deadline(&self, now: Micros) -> bool {
        now >= self.deadline
    }

    /// Whether it waits for its answer.
    pub fn is_waiting(&self) -> bool {
        self.stage == SessionStage::AwaitingAnswer
    }

    /// The server that it stood on before this program started.
    pub fn previous_server(&self) -> Option<ServerId> {
        self.restored.as_ref().map(|c| c.server)
    }

    /// What it asks for, where it stood before this program started.
    pub fn restored_request(&self) -> Option<ReceivedRequest> {
        self.restored.as_ref().map(|c| c.request)
    }

    /// The line it opened with, until it is up.
    pub fn first_line(&self) -> Option<&[u8]> {
        self.first_line.as_ref().map(Buffer::contents)
    }

    /// The id that it opened with, while that is its own.
    pub fn open_id(&self) -> Option<u64> {
        self.open_id
    }

    /// Since when a line of the client's has gone unanswered, to be taken out by whoever answers.
    pub fn unanswered_since_mut(&mut self) -> &mut Option<Micros> {
        &mut self.unanswered_since
    }

    /// Since when a line of the client's has gone unanswered.
    pub fn unanswered_since(&self) -> Option<Micros> {
        self.unanswered_since
    }

    /// Whether it is to be taken up among those that tell of message delays, which is told once.
    pub fn begin_reporting_delay(&mut self) -> bool {
        self.unanswered_since.is_some() && !std::mem::replace(&mut self.reports_delay, true)
    }

    /// Whether it stays among them.
    pub fn set_reports_delay(&mut self, stays: bool) -> bool {
        self.reports_delay = stays;
        stays
    }

    /// Since when a line has gone unanswered for so long that the connection is dead.
    pub fn server_silent_since(&self, context: &LoopContext) -> Option<Micros> {
        self.unanswered_since.filter(|at| context.now >= context.waiting_since(*at) + SILENT_SERVER_TIMEOUT)
    }

    /// Reads on for the first line; a front's commands are answered on the way.
    pub fn read_first_line(&mut self, now: Micros, pool: &BufferPool) -> FirstLine {
        for _ in 0..=MAX_PINGS_PER_READ {
            self.connection.read_available(pool);
            match self.connection.take_line() {
                Ok(Some(line)) if line == b"PING" => {
                    (self.deadline, self.first_line_deadline) =
                        (now + PING_INTERVAL_TIMEOUT, now + PING_INTERVAL_TIMEOUT);
                    self.connection.send(pool, b"PONG\r\n");
                }
                Ok(Some(line)) => return FirstLine::Line(line),
                Ok(None) if self.connection.peer_close.is_some() => return FirstLine::Closed,
                Ok(None) => {
                    if !self.connection.pending_input().is_empty() {
                        // From its beginning, not from each of its pieces: those may come one by one for ever.
                        self.first_line_deadline = self.first_line_deadline.min(now + FIRST_LINE_TIMEOUT);
                        self.deadline = self.first_line_deadline;
                    }
                    return FirstLine::Incomplete;
                }
                Err(LineTooLong) => return FirstLine::LineTooLong,
            }
        }
        FirstLine::TooManyPings
    }

    /// Looks whether a client that waits does nothing else.
    pub fn poll_while_waiting(&mut self, pool: &BufferPool) -> WaitingActivity {
        self.connection.read_available(pool);
        if !self.connection.pending_input().is_empty() {
            WaitingActivity::SentData
        } else if self.connection.peer_close.is_some() {
            WaitingActivity::Closed
        } else {
            WaitingActivity::Silent
        }
    }

    /// Its first line has come, and it waits.
    pub(crate) fn begin_request(&mut self, now: Micros, pool: &BufferPool, asking: SessionRequest) {
        let mut first = pool.take();
        first.append(asking.line);
        let carried = |home| {
            Box::new(RestoredConnection {
                server: home,
                request: asking.request,
                retry_at: None,
                has_failed: false,
            })
        };
        (self.first_line, self.restored) = (Some(first), asking.previous_server.map(carried));
        (self.stage, self.stage_since, self.deadline) = (SessionStage::AwaitingAnswer, now, asking.deadline);
        self.open_id = Some(asking.open_id);
        self.set_class(asking.request.class);
    }

    /// The class that it asks for is known, whatever else is wrong with what it said.
    pub fn set_class(&mut self, class: usize) {
        self.uncounted_class = u16::try_from(class).ok();
    }

    /// The class that it is to be counted under, which is told once.
    pub fn take_uncounted_class(&mut self) -> Option<usize> {
        self.uncounted_class.take().map(usize::from)
    }

    /// A server has taken it.
    pub fn establish(&mut self) {
        self.stage = SessionStage::Established;
        self.first_line = None;
    }

    /// It is to move; false unless it stands and nobody has said so before.
    pub fn begin_migration(&mut self) -> bool {
        let stands = self.stage == SessionStage::Established;
        if stands {
            self.stage = SessionStage::Migrating;
        }
        stands
    }

    /// Takes in the lines that have come on a standing connection, each carried on as it is. GossipTransport whether anything
    /// came, and whether a line is over the limit.
    pub fn read_lines(&mut self, now: Micros, pool: &BufferPool) -> (bool, Result<(), LineTooLong>) {
        let came = self.half_open_deadline.is_none() && self.connection.read_available(pool);
        let looked = loop {
            match self.connection.inspect_line() {
                Ok(Some(_)) => self.unanswered_since.get_or_insert(now),
                Ok(None) => break Ok(()),
                Err(LineTooLong) => break Err(LineTooLong),
            };
        };
        if self.connection.peer_close == Some(PeerClose::Fin) {
            self.connection.inspect_rest();
        }
        (came, looked)
    }

    /// One side has finished; the rest has a limit from now on.
    pub fn begin_half_open(&mut self, now: Micros) {
        self.half_open_deadline.get_or_insert(now + HALF_OPEN_TIMEOUT);
    }

    /// Whether what is left after one side's end should be over by now.
    pub fn is_half_open_expired(&self, now: Micros) -> bool {
        self.half_open_deadline.is_some_and(|by| now >= by)
    }

    /// An attempt to carry on a connection from before the start has failed; true if it is the first one.
    pub fn on_restore_failed(&mut self, now: Micros) -> bool {
        let Some(carried) = &mut self.restored else { return false };
        carried.retry_at = Some(now + RESTORE_RETRY_DELAY);
        !std::mem::replace(&mut carried.has_failed, true)
    }

    /// Whether a connection from before the start is to be tried again now, which is told once.
    pub fn take_due_restore(&mut self, now: Micros) -> bool {
        self.restored.as_mut().is_some_and(|c| c.retry_at.take_if(|at| now >= *at).is_some())
    }

    /// Says its last words; its end is awaited from now on. GossipTransport the id that it had opened with, which is free.
    pub(crate) fn begin_close(&mut self, now: Micros, pool: &BufferPool, words: &[u8]) -> Option<u64> {
        (self.stage, self.stage_since, self.deadline) = (SessionStage::Closing, now, now + CLOSE_TIMEOUT);
        (self.first_line, self.half_open_deadline) = (None, None);
        self.connection.send(pool, words);
        self.open_id.take()
    }

    /// Finishes the sending and waits for the client's end, reading on: a close with unread input would become a
    /// reset and could overtake the last words.
    pub fn continue_close(&mut self, pool: &BufferPool) -> CloseProgress {
        // Where the client has ended, the close says as much.
        if self.connection.flush() && self.connection.peer_close.is_none() {
            self.connection.shutdown_write();
        }
        let mut more = true;
        for _ in 0..MAX_READ_ROUNDS {
            more = self.connection.read_available(pool);
            self.discarded_bytes += self.connection.pending_input().len();
            self.connection.discard_input();
            if !more || self.discarded_bytes > MAX_DISCARDED_BYTES {
                break;
            }
        }
        match self.connection.peer_close.is_some() || self.discarded_bytes > MAX_DISCARDED_BYTES {
            true => CloseProgress::Done,
            false if more => CloseProgress::MoreToRead,
            false => CloseProgress::AwaitingPeer,
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
