//! The clients' side: sessions from their first line to their end.

use std::net::{SocketAddr, TcpStream};

use super::backends::server_id;
use super::driver::{Happening, Micros, Req};
use super::link::{End, Link};
use super::pool::Buffer;
use super::{Net, Owner, log};
use crate::config::Names;
use crate::interface::{Outcome, RequestId, ServerId};

/// A client that connects has this long for its first line.
const FIRST_LINE: Micros = 10_000_000;
/// When descriptors are short, it has this much less: who says nothing must not keep others out.
const PATIENT: Micros = 8_000_000;
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
    /// When the stage must be over.
    until: Micros,
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

    pub(super) fn first_line(&self) -> Option<&[u8]> {
        self.first.as_ref().map(Buffer::held)
    }

    /// Since when a line of the client's has gone unanswered.
    pub(super) fn asked_since(&self) -> Option<Micros> {
        self.asked
    }
}

/// What an `OPEN` line asks for; the error says what is wrong with it.
fn parse_open(line: &[u8], names: &Names) -> Result<(Req, Option<Micros>, Option<ServerId>), &'static str> {
    let text = std::str::from_utf8(line).map_err(|_| "no text")?;
    let mut words = text.split(' ');
    let (Some("OPEN"), Some(id), Some(key), Some(list), None) =
        (words.next(), words.next(), words.next(), words.next(), words.next())
    else {
        return Err("not OPEN ID KEY LIST");
    };
    let hex = |t: &str| u64::from_str_radix(t, 16).ok();
    hex(id).ok_or("bad id")?;
    let mut req = Req {
        id: RequestId(0),
        class: 0,
        tenant: 0,
        key: hex(key).ok_or("bad key")?,
        deadline: 0,
        load: None,
        group: 0,
        returning: false,
    };
    let (mut class, mut patience, mut home) = (None, None, None);
    for item in list.split(',') {
        let (name, value) = item.split_once('=').ok_or("an item without a value")?;
        match name {
            "c" => class = Some(*names.classes.get(value).ok_or("unknown class")?),
            "t" => req.tenant = *names.tenants.get(value).ok_or("unknown tenant")?,
            "d" => patience = Some(value.parse::<f64>().ok().filter(|d| *d >= 0.0).ok_or("bad d")?),
            "g" => req.group = hex(value).ok_or("bad g")?,
            "h" => req.load = Some(value.parse::<f64>().ok().filter(|h| *h >= 0.0).ok_or("bad h")?),
            "r" | "again" => req.returning |= value == "1",
            "at" => home = Some(server_id(value)),
            _ => {}
        }
    }
    req.class = class.ok_or("no class")?;
    // An hour is more than any client waits, and keeps sums of times far from their end.
    Ok((req, patience.map(|ms: f64| (ms.min(3.6e6) * 1e3) as Micros), home))
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
            until: self.now + FIRST_LINE,
            half_open: None,
            first: None,
            home: None,
            req: None,
            asked: None,
            carry_again: None,
        };
        self.sessions.insert(id, session);
        self.session_ready(id, true, true);
    }

    pub(super) fn session_ready(&mut self, id: RequestId, read: bool, write: bool) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.link.ready(read, write);
        match s.stage {
            Stage::Opening => self.session_opens(id),
            Stage::Waiting => {
                s.link.fill(&self.pool);
                if s.link.ended.is_some() {
                    self.client_leaves(id);
                }
            }
            Stage::Open | Stage::Moving => self.relay(id),
            Stage::Ending => self.session_ends(id),
        }
    }

    fn session_opens(&mut self, id: RequestId) {
        loop {
            let Some(s) = self.sessions.get_mut(&id) else { return };
            s.link.fill(&self.pool);
            let line = match s.link.line() {
                Ok(Some(line)) => line,
                Ok(None) if s.link.ended.is_some() => {
                    if !s.link.held().is_empty() {
                        log!("half-line peer={}", s.from);
                    }
                    return self.drop_session(id);
                }
                Ok(None) => return,
                Err(_) => {
                    log!("line-too-long peer=client client={}", s.from);
                    return self.answer(id, b"ERR\r\n");
                }
            };
            if line != b"PING" {
                return self.req_comes(id, &line);
            }
            s.until = self.now + FIRST_LINE;
            s.link.say(&self.pool, b"PONG\r\n");
        }
    }

    fn req_comes(&mut self, id: RequestId, line: &[u8]) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let (mut req, patience, home) = match parse_open(line, &self.names) {
            Ok(parsed) => parsed,
            Err(why) => {
                log!("malformed client={} why=\"{why}\"", s.from);
                return self.answer(id, b"ERR\r\n");
            }
        };
        let wait = patience.or(self.give_up.get(req.class).copied()).unwrap_or(0);
        (req.id, req.deadline) = (id, self.now + wait);
        let mut first = self.pool.take();
        first.append(line);
        (s.first, s.req, s.home, s.stage) = (Some(first), Some(req), home, Stage::Waiting);
        s.until = if home.is_some() { self.now + CARRY } else { req.deadline };
        if self.leaving.is_some() {
            // What is taken now would only have to move: the front stops sending here in a moment.
            return self.answer_busy(id, super::LEAVE_AFTER);
        }
        if !self.has_descriptor() {
            // Guards the descriptor limit: refused before a fetch could need one more.
            self.note_short(true);
            return self.answer_busy(id, COME_BACK);
        }
        match home {
            Some(server) => self.fetch_begins(id, server, CARRY),
            None => self.tell(Happening::Asked(req)),
        }
        // The client may have left behind its line already.
        self.session_ready(id, false, false);
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
        s.stage = Stage::Ending;
        s.until = self.now + LAST_WORDS;
        (s.first, s.half_open) = (None, None);
        s.link.say(&self.pool, words);
        self.session_ends(id);
    }

    pub(super) fn answer_busy(&mut self, id: RequestId, after: Micros) {
        match after.div_ceil(1000) {
            0 => self.answer(id, b"BUSY\r\n"),
            ms => self.answer(id, format!("BUSY {ms}\r\n").as_bytes()),
        }
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
            s.link.drop_input();
            if !more {
                break;
            }
        }
        if s.link.ended.is_some() {
            self.drop_session(id);
        }
    }

    fn drop_session(&mut self, id: RequestId) {
        if let Some(s) = self.sessions.remove(&id) {
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
            log!("line-too-long peer={peer} client={from} server={}", self.server_name(id));
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
        let outcome = match f.outcome() {
            Outcome::Reset if s.link.ended.is_some() => Outcome::Cancelled,
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
                Stage::Opening if now >= s.until || (self.short && now + PATIENT >= s.until) => {
                    if !s.link.held().is_empty() {
                        log!("half-line peer={}", s.from);
                    }
                    self.drop_session(id);
                }
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

#[cfg(test)]
mod tests {
    use super::*;

    fn names() -> Names {
        Names {
            classes: [("chat".to_owned(), 0), ("feed".to_owned(), 1)].into(),
            tenants: [("acme".to_owned(), 2)].into(),
            zones: Default::default(),
        }
    }

    #[test]
    fn an_open_line_is_read() {
        let line = b"OPEN 9b1f03aa5c7e2d41 7f3a9c21e0b4d655 c=feed,t=acme,d=2000,g=5c0f,r=1,h=0.25,new=7";
        let (req, patience, home) = parse_open(line, &names()).expect("good");
        assert_eq!((req.class, req.tenant, req.key, req.group), (1, 2, 0x7f3a_9c21_e0b4_d655, 0x5c0f));
        assert_eq!((req.load, req.returning, patience, home), (Some(0.25), true, Some(2_000_000), None));
        let (req, _, home) = parse_open(b"OPEN 1 2 c=chat,again=1,at=s-1", &names()).expect("good");
        assert_eq!((req.returning, home), (true, Some(server_id("s-1"))));
    }

    #[test]
    fn malformed_lines_are_told_apart() {
        for (line, why) in [
            (&b"OPEN 1 2"[..], "not OPEN ID KEY LIST"),
            (b"HELLO 1 2 c=chat", "not OPEN ID KEY LIST"),
            (b"OPEN 1 2 c=chat x", "not OPEN ID KEY LIST"),
            (b"OPEN x 2 c=chat", "bad id"),
            (b"OPEN 1 x c=chat", "bad key"),
            (b"OPEN 1 2 c=none", "unknown class"),
            (b"OPEN 1 2 t=acme", "no class"),
            (b"OPEN 1 2 c=chat,t=none", "unknown tenant"),
            (b"OPEN 1 2 c=chat,d=-1", "bad d"),
            (b"OPEN 1 2 c=chat,d=NaN", "bad d"),
            (b"OPEN 1 2 c=chat,g", "an item without a value"),
            (b"OPEN 1 2 c=\xff", "no text"),
        ] {
            assert_eq!(parse_open(line, &names()).map(|p| p.0.class), Err(why));
        }
    }

    #[test]
    fn no_patience_overflows_the_clock() {
        let (_, patience, _) = parse_open(b"OPEN 1 2 c=chat,d=1e300", &names()).expect("good");
        assert_eq!(patience, Some(3_600_000_000));
    }
}
