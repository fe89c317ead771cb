//! Client sessions and the servers they are brought to: composes the tables of both sides, tells the driver what
//! happens, and carries out what it wants of them.

mod answers;
mod dialing;
mod established;
pub mod relay;
mod timeouts;
mod transfer;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

use mio::net::TcpStream;
use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId};
use shorewharf_driver::{NetworkEvent, ReceivedRequest};
use shorewharf_lifecycle::{Answer as FinalAnswer, Cause, RequestGuard};
use shorewharf_protocol::open_request::{class_of, parse_open};
use shorewharf_units::Micros;
use tracing::{debug, warn};

use crate::admin::counters::{Reply, WorkerCounters};
use crate::clients::open_ids::OpenIds;
use crate::clients::session::{FirstLine, Session, SessionRequest, SessionStage, WaitingActivity};
use crate::clients::sessions::Sessions;
use crate::config::proxy_settings::ProxySettings;
use crate::discovery::update::{Incoming, server_id};
use crate::discovery::wall_clock::WallClock;
use crate::event_loop::iteration::LoopContext;
use crate::event_loop::poll::Readiness;
use crate::overload::descriptor_budget::{Budget, Held};
use crate::overload::log_rate_limiter::LogRateLimiter;
use crate::servers::attempts::{AttemptStage, Attempts, ServerAnswer};
use crate::servers::probes::Probes;
use crate::servers::server_table::ServerTable;
use crate::shutdown::LEAVE_AFTER;

use dialing::PendingDial;

/// A connection from before the start has this long to stand again.
const RESTORE_TIMEOUT: Micros = 38_000_000;
/// The wait told to clients whom the program refuses by itself.
const RETRY_AFTER: Micros = 300_000;
/// The same where another process takes clients in this one's place.
const RETRY_AFTER_WITH_SUCCESSOR: Micros = 10_000;
/// The same where the program can't keep up: what helps is that fewer come.
const RETRY_AFTER_OVERLOAD: Micros = 1_000_000;

/// All peers but the discovery.
#[derive(Debug)]
pub struct Proxy {
    /// What the configuration says of them.
    pub terms: ProxySettings,
    /// The servers as listed.
    pub servers: ServerTable,
    /// Checks on servers.
    pub probes: Probes,
    sessions: Sessions,
    attempts: Attempts,
    /// Attempts whose connections this machine could not begin yet.
    pending_dials: BTreeMap<RequestId, PendingDial>,
    /// What each request's attempts may have done, and so what may be done next.
    guard: RequestGuard,
    budget: Budget,
    complaints: LogRateLimiter,
    /// Connections with more to carry or to read, which let the others have their turn.
    again: Vec<RequestId>,
    /// Those that have asked or been answered lately, each once: only they tell of message delays.
    sighted: Vec<RequestId>,
    /// Clients that are to leave servers that were taken out, and in how many more parts.
    leaves: VecDeque<RequestId>,
    leaves_in: usize,
    /// What operators are told of.
    counts: WorkerCounters,
    /// Descriptors that another process of this balancer holds.
    others_hold: usize,
    /// The program is about to end: nobody new is served.
    closing: bool,
    /// Another process takes its clients.
    pub has_successor: bool,
}

impl Proxy {
    /// Nobody has come yet.
    pub fn new(terms: ProxySettings, open_ids: OpenIds, counts: WorkerCounters) -> Self {
        Proxy {
            budget: Budget::new(terms.sockets),
            terms,
            servers: ServerTable::default(),
            probes: Probes::default(),
            sessions: Sessions::new(open_ids),
            attempts: Attempts::default(),
            pending_dials: BTreeMap::new(),
            guard: RequestGuard::default(),
            complaints: LogRateLimiter::default(),
            again: Vec::new(),
            sighted: Vec::new(),
            leaves: VecDeque::new(),
            leaves_in: 0,
            counts,
            others_hold: 0,
            closing: false,
            has_successor: false,
        }
    }

    /// Puts other terms in force; peers that are here stay.
    pub fn take_terms(&mut self, terms: ProxySettings) {
        self.terms = terms;
        self.others_hold(self.others_hold);
    }

    /// Another process of this balancer holds so many of the descriptors.
    pub fn others_hold(&mut self, descriptors: usize) {
        self.others_hold = descriptors;
        self.budget.set_limit(self.terms.sockets.saturating_sub(descriptors));
    }

    /// Takes in a list from discovery: what the module is told of it.
    pub fn take_list(&mut self, list: Incoming, wall_clock: WallClock) -> Vec<ServerEntry> {
        self.servers.set_wall_clock(wall_clock);
        let attempts = &self.attempts;
        self.servers.take(list, self.terms.most_servers, |server| attempts.any_at(server))
    }
}

/// Descriptors.
impl Proxy {
    fn held(&self) -> Held {
        let all = self.sessions.len() + self.attempts.len() + self.probes.len();
        Held { all, unserved: self.sessions.unserved() }
    }

    /// Whether a connection to a server can be had and enough is left to answer clients.
    pub fn has_room(&self) -> bool {
        self.budget.has_room(self.held())
    }

    /// Has a descriptor for a connection to a server, at the cost of those who ask for nothing.
    fn make_room(&mut self, turn: &mut LoopContext) -> bool {
        while !self.has_room() {
            if !self.budget.can_make_room(self.held()) || !self.evict(turn) {
                return false;
            }
        }
        true
    }

    /// Ends the one that can best be done without, of those that ask for nothing; false where nobody does. What it has
    /// sent by now is read first: a whole line is a request that was taken, and a close over unread input would be a
    /// reset, which could overtake last words.
    fn evict(&mut self, turn: &mut LoopContext) -> bool {
        let Some(id) = self.sessions.least_needed() else { return false };
        self.on_session_ready(turn, id, Readiness::READ);
        if self
            .sessions
            .get(id)
            .is_some_and(|s| matches!(s.stage(), SessionStage::Opening | SessionStage::Closing))
        {
            self.close_session(turn, id, Cause::Descriptors);
        }
        true
    }

    /// Whether one more client can be accepted. Nobody goes for it before it has come.
    pub fn may_accept(&self) -> bool {
        self.budget.may_accept(self.held())
    }

    /// Descriptors have run out, or there are some again.
    pub fn note_short(&mut self, short: bool) {
        self.budget.note_short(short, self.held());
    }
}

/// Clients, from their first line to their answer.
impl Proxy {
    /// A client has connected.
    pub fn client_comes(&mut self, turn: &mut LoopContext, stream: TcpStream, from: SocketAddr) {
        let attempts = &self.attempts;
        let Some(id) = self.sessions.begin(turn, stream, from, |id| attempts.has(id)) else { return };
        // Who has asked for nothing for longest goes first: the one that has just come is the last.
        while self.budget.is_over(self.held()) && self.evict(turn) {}
        self.on_session_ready(turn, id, Readiness::default());
    }

    /// A client's connection is ready.
    pub fn on_session_ready(&mut self, turn: &mut LoopContext, id: RequestId, ready: Readiness) {
        let Some(s) = self.sessions.get_mut(id) else { return };
        s.link.ready(ready);
        match s.stage() {
            SessionStage::Opening => {
                let from = s.from();
                match s.opens(turn.now, &turn.pool) {
                    FirstLine::Part => self.sessions.arm(turn, id),
                    FirstLine::Line(line) => self.on_request(turn, id, &line),
                    FirstLine::Closed => self.half_line(turn, id),
                    FirstLine::TooMany => self.malformed(turn, id, "too many commands at a time"),
                    FirstLine::LineTooLong => {
                        if self.complaints.may(turn) {
                            warn!(event = "line-too-long", peer = "client", client = %from);
                        }
                        self.answer(turn, id, FinalAnswer::Failed, Cause::BadRequest);
                    }
                }
            }
            SessionStage::Waiting => match s.waits_on(&turn.pool) {
                WaitingActivity::Waits => {}
                // The protocol has it wait. What follows its line belongs to no connection yet: passed on
                // later, it would make the server close a connection that has just come up.
                WaitingActivity::Spoke => self.malformed(turn, id, "spoke before its answer"),
                WaitingActivity::Left => self.client_leaves(turn, id),
            },
            SessionStage::Open | SessionStage::Moving => self.relay(turn, id),
            SessionStage::Closing => self.session_ends(turn, id),
        }
    }

    /// A client ended, or took too long, with its first line unfinished or unsaid. What it may be sending just now must not
    /// make the close a reset: the sending is ended, and the input read out for a moment.
    fn half_line(&mut self, turn: &mut LoopContext, id: RequestId) {
        let Some(s) = self.sessions.get(id) else { return };
        let has_ended = s.link.ended.is_some();
        if !s.link.held().is_empty() {
            let from = s.from();
            if self.complaints.may(turn) {
                warn!(event = "half-line", client = %from);
            }
        }
        match has_ended {
            true => self.close_session(turn, id, Cause::Idle),
            false => self.answer(turn, id, FinalAnswer::Closed, Cause::Idle),
        }
    }

    /// A client said what can't be used: it gets an error, and only its own connection ends.
    fn malformed(&mut self, turn: &mut LoopContext, id: RequestId, why: &str) {
        let Some(s) = self.sessions.get(id) else { return };
        let (from, waits) = (s.from(), s.waits());
        if self.complaints.may(turn) {
            warn!(event = "malformed", client = %from, why);
        }
        if waits {
            turn.emit(NetworkEvent::ClientLeft(id));
            self.end_attempt(turn, id, Outcome::Cancelled);
        }
        self.answer(turn, id, FinalAnswer::Failed, Cause::BadRequest);
    }

    fn on_request(&mut self, turn: &mut LoopContext, id: RequestId, line: &[u8]) {
        let open = match parse_open(line, &self.terms.names) {
            Ok(open) => open,
            Err(why) => {
                let class = class_of(line, &self.terms.names);
                self.sessions.get_mut(id).zip(class).into_iter().for_each(|(s, class)| s.is_of(class));
                return self.malformed(turn, id, why);
            }
        };
        self.sessions.get_mut(id).into_iter().for_each(|s| s.is_of(open.class));
        let home = open.previous_server.as_deref().map(server_id);
        if home.is_some_and(|home| !self.servers.is_listed(home)) {
            return self.malformed(turn, id, "at= names no server");
        }
        let wait = open.timeout.or(self.terms.give_up.get(open.class).copied()).unwrap_or(0);
        let req = ReceivedRequest {
            id,
            class: open.class,
            tenant: open.tenant,
            key: open.key,
            deadline: turn.now + wait,
            load: open.load,
            group: open.group,
            is_returning: open.is_returning,
        };
        let until = if home.is_some() { turn.now + RESTORE_TIMEOUT } else { req.deadline };
        if !self.sessions.ask(turn, id, SessionRequest { line, open_id: open.id, req, home, until }) {
            // The id of another client's request. Whoever retries or was moved comes under a new one, and the
            // one from before was let go with its answer or its MOVE.
            return self.malformed(turn, id, "the id is in use");
        }
        self.guard.receive(id, self.terms.idempotency_of(open.class));
        debug!(event = "received", req = id.0, id = %format_args!("{:x}", open.id), class = open.class);
        if self.closing {
            // What is taken now would only have to move: the front stops sending here in a moment.
            let after = if self.has_successor { RETRY_AFTER_WITH_SUCCESSOR } else { LEAVE_AFTER };
            return self.answer_unserved(turn, id, after, Cause::Shutdown);
        }
        if home.is_none() && !turn.overload.admits() {
            // Guards those who stand: a refusal costs a tenth of a set-up.
            return self.answer_unserved(turn, id, RETRY_AFTER_OVERLOAD, Cause::Overload);
        }
        if !self.make_room(turn) {
            // Guards the descriptor limit: refused before a attempt could need one more.
            self.note_short(true);
            return self.answer_unserved(turn, id, RETRY_AFTER, Cause::Descriptors);
        }
        // The client may have left behind its line already, or said more than it should.
        self.on_session_ready(turn, id, Readiness::default());
        if !self.sessions.get(id).is_some_and(Session::waits) {
            return;
        }
        match home {
            Some(server) => self.begin_attempt(turn, id, server, RESTORE_TIMEOUT),
            None => {
                let (group, key) = (req.group, req.key);
                debug!(event = "asked", req = id.0, group, key, returning = req.is_returning);
                self.guard.queue(id);
                turn.emit(NetworkEvent::RequestReceived(req));
            }
        }
    }

    /// A client that waited has gone: nobody needs the attempt any more.
    fn client_leaves(&mut self, turn: &mut LoopContext, id: RequestId) {
        turn.emit(NetworkEvent::ClientLeft(id));
        self.counted(id, Reply::Error);
        debug!(event = "client-left", req = id.0, attempts = self.guard.attempts(id));
        self.guard.abandon(id);
        self.close_session(turn, id, Cause::Decision);
        self.end_attempt(turn, id, Outcome::Cancelled);
    }

    /// A connection has come up or has ended, whichever was first: it counts once.
    fn counted(&mut self, id: RequestId, reply: Reply) {
        if let Some(class) = self.sessions.get_mut(id).and_then(Session::is_counted) {
            self.counts.record_reply(class, reply);
        }
    }

    /// Tells operators how many connections are held that were taken.
    pub fn note_held(&self) {
        let held = self.held();
        self.counts.set_held(self.sessions.len() - held.unserved, held.all);
    }
}

/// Attempts, from their beginning to the server's answer.
impl Proxy {
    /// A standing connection's own server is asked for even while it drains.
    fn address_for(&self, id: RequestId, server: ServerId) -> Option<SocketAddr> {
        match self.sessions.get(id).map(Session::home) {
            Some(Some(home)) if home == server => self.servers.address(server),
            _ => self.servers.ready_address(server),
        }
    }

    /// Begins a attempt; it may take so long.
    pub fn begin_attempt(
        &mut self,
        turn: &mut LoopContext,
        id: RequestId,
        server: ServerId,
        patience: Micros,
    ) {
        // Guards against two attempts out at once, whatever asked for the second.
        if self.attempts.has(id) || self.pending_dials.contains_key(&id) {
            return;
        }
        let waits = |s: &Self| s.sessions.get(id).is_some_and(Session::waits);
        if waits(self) {
            // The client may have gone, and the loop not have told of it yet: it was accepted with its end, or a server's
            // refusal was heard first.
            self.on_session_ready(turn, id, Readiness::READ);
        }
        if !waits(self) {
            return self.attempt_ended(turn, id, Outcome::NotSent);
        }
        let address = self.address_for(id, server).filter(|_| self.make_room(turn));
        let Some(address) = address else {
            return self.attempt_ended(turn, id, Outcome::NotSent);
        };
        if let Err(violation) = self.guard.begin_attempt(id, self.servers.target(server)) {
            self.report_violation(&violation, Cause::Decision);
            return self.attempt_ended(turn, id, Outcome::NotSent);
        }
        let attempt = self.guard.attempts(id);
        let name = self.servers.name(Some(server));
        debug!(event = "attempt", req = id.0, attempt, server = name, us = patience);
        let until = turn.now.saturating_add(patience);
        self.dial(turn, id, PendingDial { server, until, tries: 0 }, address);
    }

    /// Tells how a attempt ended; a carried connection that never came up was never told of.
    fn attempt_ended(&mut self, turn: &mut LoopContext, id: RequestId, outcome: Outcome) {
        match self.sessions.get(id).map(|s| (s.home(), s.waits())) {
            Some((Some(home), true)) => self.carried_attempt_ended(turn, id, home, outcome),
            _ => turn.emit(NetworkEvent::AttemptEnded(id, outcome)),
        }
    }

    /// A connection from before the start has not come up: it is tried again while that is harmless.
    fn carried_attempt_ended(
        &mut self,
        turn: &mut LoopContext,
        id: RequestId,
        home: ServerId,
        outcome: Outcome,
    ) {
        if self.sessions.get_mut(id).is_some_and(|s| s.carry_failed(turn.now)) {
            warn!(event = "carried-not-up", server = self.servers.name(Some(home)), ?outcome);
        }
        // What has never run is tried again.
        match outcome.never_ran() {
            true => self.sessions.arm(turn, id),
            false => self.answer(turn, id, FinalAnswer::Failed, Cause::Server),
        }
    }

    /// Ends the attempt that is out, on the network and for the module.
    pub fn end_attempt(&mut self, turn: &mut LoopContext, id: RequestId, outcome: Outcome) {
        let server = self.attempts.server(id);
        let is_pending = self.pending_dials.remove(&id).is_some();
        if self.attempts.end(turn, id) || is_pending {
            self.guard.end_attempt(id, outcome);
            debug!(event = "attempt-ended", req = id.0, server = self.servers.name(server), ?outcome);
            self.attempt_ended(turn, id, outcome);
        }
    }

    /// A attempt's timer has come.
    pub fn on_attempt_timer(&mut self, turn: &mut LoopContext, id: RequestId) {
        if let Some(outcome) = self.attempts.alarmed(turn, id) {
            self.end_attempt(turn, id, outcome);
        }
    }

    /// A attempt's connection is ready.
    pub fn on_attempt_ready(&mut self, turn: &mut LoopContext, id: RequestId, ready: Readiness) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.link.ready(ready);
        match attempt.stage() {
            AttemptStage::Up => self.relay(turn, id),
            _ => self.advance_attempt(turn, id),
        }
    }

    fn advance_attempt(&mut self, turn: &mut LoopContext, id: RequestId) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if attempt.stage() == AttemptStage::Connecting {
            match attempt.link.connected() {
                Ok(false) => return,
                Ok(true) => {}
                Err(_) => return self.end_attempt(turn, id, Outcome::ConnectFailed),
            }
            // The client may have gone while the connection came up, and the loop not have told of it yet.
            self.on_session_ready(turn, id, Readiness::READ);
            let Some(attempt) = self.attempts.get(id) else { return };
            // The server may have begun to leave meanwhile: it gets nothing new.
            if self.address_for(id, attempt.server()).is_none() {
                return self.end_attempt(turn, id, Outcome::NotSent);
            }
            match self.guard.send(id, turn.now) {
                Ok(true) => {}
                Ok(false) => return self.end_attempt(turn, id, Outcome::NotSent),
                Err(violation) => {
                    self.report_violation(&violation, Cause::Decision);
                    return self.end_attempt(turn, id, Outcome::NotSent);
                }
            }
            let Some(line) = self.sessions.get(id).and_then(Session::first_line) else { return };
            self.attempts.get_mut(id).into_iter().for_each(|f| f.ask(turn.now, &turn.pool, line));
        }
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if attempt.is_dispatched() {
            self.counts.record_dispatch();
        }
        let server = self.servers.name(Some(attempt.server()));
        let outcome = match attempt.answer(&turn.pool) {
            None => return,
            Some(ServerAnswer::Up) => return self.attempt_taken(turn, id),
            Some(ServerAnswer::Over(outcome)) => outcome,
            Some(ServerAnswer::Odd(line)) => {
                warn!(event = "odd-answer", server, line);
                Outcome::Error
            }
            Some(ServerAnswer::LineTooLong) => {
                warn!(event = "line-too-long", peer = "server", server);
                Outcome::Error
            }
        };
        self.end_attempt(turn, id, outcome);
        if outcome == Outcome::Ok {
            self.answer(turn, id, FinalAnswer::Served, Cause::Server);
        }
    }

    /// A server has taken a client.
    fn attempt_taken(&mut self, turn: &mut LoopContext, id: RequestId) {
        let (Some(f), Some(s)) = (self.attempts.get_mut(id), self.sessions.get_mut(id)) else { return };
        debug!(event = "up", req = id.0, client = %s.from(), server = self.servers.name(Some(f.server())));
        f.stands(turn.now, id);
        s.stands();
        self.guard.serve(id);
        if let Some(class) = s.is_counted() {
            self.counts.record_reply(class, Reply::Success);
        }
        turn.emit(match (s.home(), s.req()) {
            (Some(server), Some(req)) => NetworkEvent::ConnectionRestored(req, server),
            _ => NetworkEvent::AttemptEstablished(id),
        });
        self.relay(turn, id);
    }

    fn server_name(&self, id: RequestId) -> &str {
        self.servers.name(self.attempts.server(id))
    }
}
