//! The clients' side: sessions from their first line to their end.

use std::net::{SocketAddr, TcpStream};

use shorewharf_decisions::interface::{Outcome, RequestId, ServerId};
use shorewharf_driver::{Happening, Micros, Req};
use shorewharf_protocol::open::parse_open;
use shorewharf_protocol::words::busy;

use super::backends::server_id;
use super::link::{End, Link};
use super::pool::Buffer;
use super::{Net, Owner, log};

/// A client that connects has this long for its first line.
const FIRST_LINE: Micros = 10_000_000;
/// A line that has begun has this long to end, from the connection's start: a client sends its line at once, and
/// one that can't is owed an end within 3 s.
const HALF_LINE: Micros = 2_500_000;
/// Commands of the front's that are answered in one go; who sends more at a time is no front.
const PINGS: usize = 16;
/// After its last words a client may send so much more, which is read and dropped; a close with unread input
/// would be a reset, and those who send on at full speed get it.
const LAST_INPUT: usize = 256 << 10;
/// Once a session's end is on its way, the client has this long to take it.
const LAST_WORDS: Micros = 500_000;
/// When one side has finished, the other has this long: a connection must be over within a second.
const HALF_OPEN: Micros = 700_000;
/// A line of the client's that goes unanswered for so long shows a dead connection: sound ones answer within
/// milliseconds. Lines come every 2 s, and a dead connection must be left within 7 s.
const SILENT: Micros = 1_500_000;
/// A connection from before the start has this long to stand again; it is tried anew after a pause.
const CARRY: Micros = 38_000_000;
const CARRY_PAUSE: Micros = 500_000;
/// A client that the module has not answered by then is answered all the same.
const OVERDUE: Micros = 15_000;
/// The wait told to clients whom the program refuses by itself.
const COME_BACK: Micros = 300_000;
/// Rounds of carrying lines for one connection before the others get their turn.
const ROUNDS: usize = 8;

/// How far a client session has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Its first line is still to come.
    Opening,
    /// It waits for its answer.
    Waiting,
    /// It stands: lines are passed on both ways.
    Open,
    /// It is to be told to move as soon as a line has ended.
    Moving,
    /// Its last words are out; its end is awaited.
    Ending,
}

/// One client's connection.
#[derive(Debug)]
pub struct ClientSession {
    link: Link,
    from: SocketAddr,
    stage: Stage,
    /// When the stage began, and when it must be over.
    since: Micros,
    until: Micros,
    /// Input dropped after the last words.
    dropped: usize,
    /// The id that it opened with.
    open_id: Option<u64>,
    /// One side has finished; the rest must be over by then.
    half_open: Option<Micros>,
    /// The line it opened with, until it is up.
    first: Option<Buffer>,
    /// The server that it stood on before this program started.
    home: Option<ServerId>,
    req: Option<Req>,
    /// When the first line came that its server has answered nothing to.
    asked: Option<Micros>,
    /// When to try again to carry on a connection from before the start.
    carry_again: Option<Micros>,
}

impl ClientSession {
    /// The server that it stood on before this program started.
    pub(super) fn home(&self) -> Option<ServerId> {
        self.home
    }

    pub(super) fn waits(&self) -> bool {
        self.stage == Stage::Waiting
    }

    pub(super) fn stage(&self) -> Stage {
        self.stage
    }

    pub(super) fn since(&self) -> Micros {
        self.since
    }

    pub(super) fn first_line(&self) -> Option<&[u8]> {
        self.first.as_ref().map(Buffer::held)
    }

    /// Since when a line of the client's has gone unanswered.
    pub(super) fn asked_since(&self) -> Option<Micros> {
        self.asked
    }
}

impl Net {
    pub(super) fn session_begins(&mut self, stream: TcpStream, from: SocketAddr) {
        let Ok(mut link) = Link::new(stream) else { return };
        let mut id = RequestId(self.next_id);
        // After four thousand million clients the numbers come round; one that is in use is passed over.
        while self.sessions.contains_key(&id) || self.fetches.contains_key(&id) {
            id.0 = id.0.wrapping_add(1);
        }
        self.next_id = id.0.wrapping_add(1);
        if !self.watch_link(&mut link, Owner::Session(id)) {
            return;
        }
        let session = ClientSession {
            link,
            from,
            stage: Stage::Opening,
            since: self.now,
            until: self.now + FIRST_LINE,
            dropped: 0,
            open_id: None,
            half_open: None,
            first: None,
            home: None,
            req: None,
            asked: None,
            carry_again: None,
        };
        self.sessions.insert(id, session);
        self.unserved_begins(id, Stage::Opening);
        self.session_ready(id, true, true);
    }

    pub(super) fn session_ready(&mut self, id: RequestId, read: bool, write: bool) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.link.ready(read, write);
        match s.stage {
            Stage::Opening => self.session_opens(id),
            Stage::Waiting => {
                s.link.fill(&self.pool);
                if !s.link.held().is_empty() {
                    // The protocol has it wait. What follows its line belongs to no connection yet: passed on
                    // later, it would make the server close a connection that has just come up.
                    self.malformed(id, "spoke before its answer");
                } else if s.link.ended.is_some() {
                    self.client_leaves(id);
                }
            }
            Stage::Open | Stage::Moving => self.relay(id),
            Stage::Ending => self.session_ends(id),
        }
    }

    fn session_opens(&mut self, id: RequestId) {
        for _ in 0..=PINGS {
            let Some(s) = self.sessions.get_mut(&id) else { return };
            s.link.fill(&self.pool);
            let line = match s.link.line() {
                Ok(Some(line)) => line,
                Ok(None) if s.link.ended.is_some() => return self.half_line(id),
                Ok(None) => {
                    if !s.link.held().is_empty() {
                        s.until = s.until.min(s.since + HALF_LINE);
                    }
                    return;
                }
                Err(_) => {
                    let from = s.from;
                    self.complain(format_args!("line-too-long peer=client client={from}"));
                    return self.answer(id, b"ERR\r\n");
                }
            };
            if line != b"PING" {
                return self.req_comes(id, &line);
            }
            s.until = self.now + FIRST_LINE;
            s.link.say(&self.pool, b"PONG\r\n");
        }
        self.malformed(id, "too many commands at a time");
    }

    /// A client ended, or took too long, with its first line unfinished or unsaid.
    fn half_line(&mut self, id: RequestId) {
        let Some(s) = self.sessions.get(&id) else { return };
        if !s.link.held().is_empty() {
            let from = s.from;
            self.complain(format_args!("half-line peer={from}"));
        }
        self.drop_session(id);
    }

    /// A client said what can't be used: it gets an error, and only its own connection ends.
    fn malformed(&mut self, id: RequestId, why: &str) {
        let Some(s) = self.sessions.get(&id) else { return };
        let (from, waits) = (s.from, s.waits());
        self.complain(format_args!("malformed client={from} why=\"{why}\""));
        if waits {
            self.tell(Happening::ClientLeft(id));
            self.fetch_over(id, Outcome::Cancelled);
        }
        self.answer(id, b"ERR\r\n");
    }

    fn req_comes(&mut self, id: RequestId, line: &[u8]) {
        let open = match parse_open(line, &self.names) {
            Ok(open) => open,
            Err(why) => return self.malformed(id, why),
        };
        let home = open.home.as_deref().map(server_id);
        if self.open_ids.contains_key(&open.id) {
            // The id of another client's request. Whoever retries or was moved comes under a new one, and the
            // one from before was let go with its answer or its MOVE.
            return self.malformed(id, "the id is in use");
        }
        if home.is_some_and(|home| !self.is_listed(home)) {
            return self.malformed(id, "at= names no server");
        }
        self.unserved_ends(id);
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let wait = open.patience.or(self.give_up.get(open.class).copied()).unwrap_or(0);
        let req = Req {
            id,
            class: open.class,
            tenant: open.tenant,
            key: open.key,
            deadline: self.now + wait,
            load: open.load,
            group: open.group,
            returning: open.returning,
        };
        let mut first = self.pool.take();
        first.append(line);
        (s.first, s.req, s.home, s.stage) = (Some(first), Some(req), home, Stage::Waiting);
        (s.since, s.open_id) = (self.now, Some(open.id));
        s.until = if home.is_some() { self.now + CARRY } else { req.deadline };
        self.open_ids.insert(open.id, id);
        if self.leaving.is_some() {
            // What is taken now would only have to move: the front stops sending here in a moment.
            return self.answer_busy(id, super::LEAVE_AFTER);
        }
        if !self.make_room() {
            // Guards the descriptor limit: refused before a fetch could need one more.
            self.note_short(true);
            return self.answer_busy(id, COME_BACK);
        }
        // The client may have left behind its line already, or said more than it should.
        self.session_ready(id, false, false);
        if !self.sessions.get(&id).is_some_and(ClientSession::waits) {
            return;
        }
        match home {
            Some(server) => self.fetch_begins(id, server, CARRY),
            None => self.tell(Happening::Asked(req)),
        }
    }

    /// A connection from before the start has not come up: it is tried again while that is harmless.
    pub(super) fn carried_fetch_ended(&mut self, id: RequestId, home: ServerId, outcome: Outcome) {
        let pause = self.now + CARRY_PAUSE;
        let again = self.sessions.get_mut(&id).and_then(|s| s.carry_again.replace(pause));
        if again.is_none() {
            let name = self.backends.get(&home).map_or("?", |b| b.name());
            log!("carried-not-up server={name} outcome={outcome:?}");
        }
        // The sweep tries again what has never run.
        if !outcome.never_ran() {
            self.answer_failed(id);
        }
    }

    /// A server has taken this client.
    pub(super) fn session_up(&mut self, id: RequestId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.stage = Stage::Open;
        s.first = None;
        let happening = match (s.home, s.req) {
            (Some(server), Some(req)) => Happening::Carried(req, server),
            _ => Happening::Up(id),
        };
        self.tell(happening);
    }

    /// Says the last words of a session and awaits its end.
    pub(super) fn answer(&mut self, id: RequestId, words: &[u8]) {
        let Some(s) = self.sessions.get_mut(&id).filter(|s| s.stage != Stage::Ending) else { return };
        let opening = s.stage == Stage::Opening;
        let open_id = s.open_id.take();
        if opening {
            self.unserved_ends(id);
        }
        if let Some(open_id) = open_id {
            self.open_ids.remove(&open_id);
        }
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.stage = Stage::Ending;
        (s.since, s.until) = (self.now, self.now + LAST_WORDS);
        (s.first, s.half_open) = (None, None);
        s.link.say(&self.pool, words);
        self.unserved_begins(id, Stage::Ending);
        self.session_ends(id);
    }

    pub(super) fn answer_busy(&mut self, id: RequestId, after: Micros) {
        self.answer(id, busy(after).to_string().as_bytes());
    }

    pub(super) fn answer_failed(&mut self, id: RequestId) {
        self.answer(id, b"ERR\r\n");
    }

    /// Finishes the sending and waits for the client's end, reading on: a close with unread input would
    /// become a reset and could overtake the last words.
    fn session_ends(&mut self, id: RequestId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        if s.link.flush() {
            s.link.shut();
        }
        for _ in 0..ROUNDS {
            let more = s.link.fill(&self.pool);
            s.dropped += s.link.held().len();
            s.link.drop_input();
            if !more || s.dropped > LAST_INPUT {
                break;
            }
        }
        if s.link.ended.is_some() || s.dropped > LAST_INPUT {
            self.drop_session(id);
        }
    }

    pub(super) fn drop_session(&mut self, id: RequestId) {
        self.unserved_ends(id);
        if let Some(s) = self.sessions.remove(&id) {
            if let Some(open_id) = s.open_id {
                self.open_ids.remove(&open_id);
            }
            self.close(s.link);
        }
    }

    /// A client that waited has gone: nobody needs the fetch any more.
    fn client_leaves(&mut self, id: RequestId) {
        self.tell(Happening::ClientLeft(id));
        self.drop_session(id);
        self.fetch_over(id, Outcome::Cancelled);
    }

    pub(super) fn session_moves(&mut self, id: RequestId) {
        if let Some(s) = self.sessions.get_mut(&id).filter(|s| s.stage == Stage::Open) {
            s.stage = Stage::Moving;
            self.relay(id);
        }
    }

    /// Passes lines on, both ways, as far as they go now; and ends what is to end.
    pub(super) fn relay(&mut self, id: RequestId) {
        let mut told = Vec::new();
        let mut too_long = None;
        let (Some(s), Some(f)) = (self.sessions.get_mut(&id), self.fetches.get_mut(&id)) else { return };
        for round in 0.. {
            let mut went = false;
            if s.half_open.is_none() {
                went |= s.link.fill(&self.pool);
            }
            loop {
                match s.link.look() {
                    Ok(Some(_)) => {
                        s.asked.get_or_insert(self.now);
                    }
                    Ok(None) => break,
                    Err(_) => {
                        too_long = Some("client");
                        break;
                    }
                }
            }
            if s.link.ended == Some(End::Fin) {
                s.link.look_at_rest();
            }
            went |= s.link.carry(&mut f.link, false);
            went |= f.link.fill(&self.pool);
            if f.look(self.now, &mut s.asked, &mut told).is_err() {
                too_long = Some("server");
            }
            if f.link.ended == Some(End::Fin) {
                f.link.look_at_rest();
            }
            went |= f.link.carry(&mut s.link, s.stage == Stage::Moving);
            if !went || too_long.is_some() {
                break;
            }
            if round >= ROUNDS {
                self.again.push(id);
                break;
            }
        }
        told.into_iter().for_each(|figure| self.figure_told(id, figure));
        if let Some(peer) = too_long {
            let from = self.sessions.get(&id).map(|s| s.from.to_string()).unwrap_or_default();
            let server = self.server_name(id).to_owned();
            self.complain(format_args!("line-too-long peer={peer} client={from} server={server}"));
            // Only a server's own fault counts against it.
            let outcome = if peer == "server" { Outcome::Reset } else { Outcome::Cancelled };
            return self.end_both(id, End::Reset, outcome);
        }
        self.relay_ends(id);
    }

    fn relay_ends(&mut self, id: RequestId) {
        let (Some(s), Some(f)) = (self.sessions.get_mut(&id), self.fetches.get_mut(&id)) else { return };
        // A server that ends without a word because its client has left is no server that drops clients:
        // read as a reset it would be locked, and its other clients would be spread over the rest.
        // Servers close on what they can't read: an end in good order with a client's line unanswered says as
        // much of the line as of the server.
        let read_badly = f.link.ended == Some(End::Fin) && s.asked.is_some();
        let outcome = match f.outcome() {
            Outcome::Reset if s.link.ended.is_some() || read_badly => Outcome::Cancelled,
            other => other,
        };
        match (f.link.ended, s.link.ended) {
            (Some(End::Reset), _) => self.end_both(id, End::Reset, outcome),
            (_, Some(End::Reset)) => {
                self.end_server_side(id, End::Reset);
                self.drop_session(id);
                self.fetch_over(id, Outcome::Cancelled);
            }
            (Some(End::Fin), _) => {
                if f.link.quiet() {
                    self.end_both(id, End::Fin, outcome);
                } else {
                    let by = self.now + HALF_OPEN;
                    s.half_open.get_or_insert(by);
                }
            }
            (None, _) if s.stage == Stage::Moving && s.link.between_lines() => {
                self.fetch_over(id, Outcome::Cancelled);
                self.answer(id, b"MOVE\r\n");
            }
            (None, Some(End::Fin)) => {
                if s.link.quiet() {
                    f.link.shut();
                }
                let by = self.now + HALF_OPEN;
                s.half_open.get_or_insert(by);
            }
            (None, None) => {}
        }
    }

    /// Ends a standing connection on both sides, the client's as the server's ended.
    fn end_both(&mut self, id: RequestId, end: End, outcome: Outcome) {
        self.fetch_over(id, outcome);
        match end {
            End::Fin => self.answer(id, b""),
            End::Reset => {
                if let Some(s) = self.sessions.get_mut(&id) {
                    s.link.break_off();
                }
                self.drop_session(id);
            }
        }
    }

    /// Looks sessions over for what is due.
    pub(super) fn sweep_sessions(&mut self) {
        let now = self.now;
        let ids: Vec<RequestId> = self.sessions.keys().copied().collect();
        for id in ids {
            let Some(s) = self.sessions.get(&id) else { continue };
            match s.stage {
                Stage::Opening if now >= s.until => self.half_line(id),
                Stage::Waiting if s.home.is_some() && now < s.until => {
                    let due = s.carry_again.is_none_or(|at| now >= at) && !self.fetches.contains_key(&id);
                    if let Some(home) = s.home.filter(|_| due) {
                        self.fetch_begins(id, home, s.until - now);
                    }
                }
                // Guards the rule that every request is answered before its client gives up.
                Stage::Waiting if now >= s.until + OVERDUE => {
                    log!("overdue client={}", s.from);
                    self.tell(Happening::ClientLeft(id));
                    self.fetch_over(id, Outcome::TimedOut);
                    self.answer_busy(id, COME_BACK);
                }
                Stage::Open | Stage::Moving => {
                    let silent = s.asked_since().filter(|at| now >= at + SILENT);
                    if s.half_open.is_some_and(|by| now >= by) {
                        let ended = s.link.ended;
                        let outcome = if ended.is_some() { Outcome::Cancelled } else { Outcome::Reset };
                        self.end_both(id, End::Fin, outcome);
                    } else if let Some(since) = silent {
                        log!("silent server={} client={}", self.server_name(id), s.from);
                        self.silent(id, since);
                    } else {
                        self.relay(id);
                    }
                }
                Stage::Ending if now >= s.until => self.drop_session(id),
                Stage::Ending => self.session_ends(id),
                _ => {}
            }
        }
    }

    /// The server answers nothing: its client is moved, and the module hears of a drop. One that has answered
    /// others meanwhile is not blamed: the connection fell silent, not the server.
    fn silent(&mut self, id: RequestId, since: Micros) {
        let lives = self.server_lives(id, since);
        self.fetch_over(id, if lives { Outcome::Cancelled } else { Outcome::Reset });
        let between = self.sessions.get(&id).is_some_and(|s| s.link.between_lines());
        if between {
            self.answer(id, b"MOVE\r\n");
        } else {
            self.end_both(id, End::Reset, Outcome::Reset);
        }
    }

    pub(super) fn up_sessions(&self) -> usize {
        self.sessions.values().filter(|s| matches!(s.stage, Stage::Open | Stage::Moving)).count()
    }

    pub(super) fn waiting_sessions(&self) -> usize {
        self.sessions.values().filter(|s| s.waits()).count()
    }

    /// Moves an even part of the standing sessions, with so many more parts to come.
    pub(super) fn move_some(&mut self, parts_left: Micros) {
        let mut open: Vec<RequestId> =
            self.sessions.iter().filter(|(_, s)| s.stage == Stage::Open).map(|(id, _)| *id).collect();
        open.sort();
        let n = open.len().div_ceil(parts_left as usize + 1);
        open.into_iter().take(n).for_each(|id| self.session_moves(id));
    }

    /// Refuses everybody who still waits.
    pub(super) fn refuse_all(&mut self) {
        let ids: Vec<RequestId> =
            self.sessions.iter().filter(|(_, s)| s.waits()).map(|(id, _)| *id).collect();
        for id in ids {
            self.tell(Happening::ClientLeft(id));
            self.fetch_over(id, Outcome::Cancelled);
            self.answer_busy(id, COME_BACK);
        }
    }
}
