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
use crate::event_loop::context::LoopContext;
use crate::overload::descriptor_budget::{Budget, Held};
use crate::overload::log_rate_limiter::LogRateLimiter;
use crate::servers::attempts::{AttemptStage, Attempts, ServerAnswer};
use crate::servers::probes::Probes;
use crate::servers::server_table::ServerTable;
use crate::shutdown::LEAVE_AFTER;
use crate::transport::readiness::Readiness;

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
    pub settings: ProxySettings,
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
    log_limiter: LogRateLimiter,
    /// Connections with more to carry or to read, which let the others have their turn.
    unfinished: Vec<RequestId>,
    /// Those that have asked or been answered lately, each once: only they tell of message delays.
    delay_reporters: Vec<RequestId>,
    /// Clients that are to leave servers that were taken out, and in how many more parts.
    pending_migrations: VecDeque<RequestId>,
    migration_batches_left: usize,
    /// What operators are told of.
    counters: WorkerCounters,
    /// Descriptors that another process of this balancer holds.
    sibling_descriptors: usize,
    /// The program is about to end: nobody new is served.
    is_shutting_down: bool,
    /// Another process takes its clients.
    pub has_successor: bool,
}

impl Proxy {
    /// Nobody has come yet.
    pub fn new(terms: ProxySettings, open_ids: OpenIds, counters: WorkerCounters) -> Self {
        Proxy {
            budget: Budget::new(terms.max_descriptors),
            settings: terms,
            servers: ServerTable::default(),
            probes: Probes::default(),
            sessions: Sessions::new(open_ids),
            attempts: Attempts::default(),
            pending_dials: BTreeMap::new(),
            guard: RequestGuard::default(),
            log_limiter: LogRateLimiter::default(),
            unfinished: Vec::new(),
            delay_reporters: Vec::new(),
            pending_migrations: VecDeque::new(),
            migration_batches_left: 0,
            counters,
            sibling_descriptors: 0,
            is_shutting_down: false,
            has_successor: false,
        }
    }

    /// Puts other terms in force; peers that are here stay.
    pub fn update_settings(&mut self, terms: ProxySettings) {
        self.settings = terms;
        self.set_sibling_descriptors(self.sibling_descriptors);
    }

    /// Another process of this balancer holds so many of the descriptors.
    pub fn set_sibling_descriptors(&mut self, descriptors: usize) {
        self.sibling_descriptors = descriptors;
        self.budget.set_limit(self.settings.max_descriptors.saturating_sub(descriptors));
    }

    /// Takes in a list from discovery: what the module is told of it.
    pub fn apply_endpoint_list(&mut self, list: Incoming, wall_clock: WallClock) -> Vec<ServerEntry> {
        self.servers.set_wall_clock(wall_clock);
        let attempts = &self.attempts;
        self.servers.apply_list(list, self.settings.max_servers, |server| attempts.has_server(server))
    }
}

/// Descriptors.
impl Proxy {
    fn descriptors_in_use(&self) -> Held {
        let all = self.sessions.len() + self.attempts.count() + self.probes.count();
        Held { all, unserved: self.sessions.idle_count() }
    }

    /// Whether a connection to a server can be had and enough is left to answer clients.
    pub fn has_capacity(&self) -> bool {
        self.budget.has_room(self.descriptors_in_use())
    }

    /// Has a descriptor for a connection to a server, at the cost of those who ask for nothing.
    fn ensure_capacity(&mut self, context: &mut LoopContext) -> bool {
        while !self.has_capacity() {
            if !self.budget.can_make_room(self.descriptors_in_use()) || !self.evict_idle(context) {
                return false;
            }
        }
        true
    }

    /// Ends the one that can best be done without, of those that ask for nothing; false where nobody does. What it has
    /// sent by now is read first: a whole line is a request that was taken, and a close over unread input would be a
    /// reset, which could overtake last words.
    fn evict_idle(&mut self, context: &mut LoopContext) -> bool {
        let Some(id) = self.sessions.eviction_candidate() else { return false };
        self.on_session_ready(context, id, Readiness::READ);
        if self.sessions.get(id).is_some_and(|session| {
            matches!(session.stage(), SessionStage::AwaitingRequest | SessionStage::Closing)
        }) {
            self.close_session(context, id, Cause::Descriptors);
        }
        true
    }

    /// Whether one more client can be accepted. Nobody goes for it before it has come.
    pub fn can_accept(&self) -> bool {
        self.budget.may_accept(self.descriptors_in_use())
    }

    /// Descriptors have run out, or there are some again.
    pub fn set_descriptor_shortage(&mut self, short: bool) {
        self.budget.note_short(short, self.descriptors_in_use());
    }
}

/// Clients, from their first line to their answer.
impl Proxy {
    /// A client has connected.
    pub fn accept_client(&mut self, context: &mut LoopContext, stream: TcpStream, from: SocketAddr) {
        let attempts = &self.attempts;
        let Some(id) = self.sessions.accept(context, stream, from, |id| attempts.has(id)) else { return };
        // Who has asked for nothing for longest goes first: the one that has just come is the last.
        while self.budget.is_over(self.descriptors_in_use()) && self.evict_idle(context) {}
        self.on_session_ready(context, id, Readiness::default());
    }

    /// A client's connection is ready.
    pub fn on_session_ready(&mut self, context: &mut LoopContext, id: RequestId, ready: Readiness) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        session.connection.on_ready(ready);
        match session.stage() {
            SessionStage::AwaitingRequest => {
                let from = session.client_address();
                match session.read_first_line(context.now, &context.buffers) {
                    FirstLine::Incomplete => self.sessions.schedule_timer(context, id),
                    FirstLine::Line(line) => self.on_request(context, id, &line),
                    FirstLine::Closed => self.on_incomplete_request(context, id),
                    FirstLine::TooManyPings => {
                        self.reject_malformed(context, id, "too many commands at a time")
                    }
                    FirstLine::LineTooLong => {
                        if self.log_limiter.may(context) {
                            warn!(event = "line-too-long", peer = "client", client = %from);
                        }
                        self.answer(context, id, FinalAnswer::Failed, Cause::BadRequest);
                    }
                }
            }
            SessionStage::AwaitingAnswer => match session.poll_while_waiting(&context.buffers) {
                WaitingActivity::Silent => {}
                // The protocol has it wait. What follows its line belongs to no connection yet: passed on
                // later, it would make the server close a connection that has just come up.
                WaitingActivity::SentData => self.reject_malformed(context, id, "spoke before its answer"),
                WaitingActivity::Closed => self.on_client_left(context, id),
            },
            SessionStage::Established | SessionStage::Migrating => self.relay(context, id),
            SessionStage::Closing => self.continue_close(context, id),
        }
    }

    /// A client ended, or took too long, with its first line unfinished or unsaid. What it may be sending just now must not
    /// make the close a reset: the sending is ended, and the input read out for a moment.
    fn on_incomplete_request(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(session) = self.sessions.get(id) else { return };
        let has_ended = session.connection.peer_close.is_some();
        if !session.connection.pending_input().is_empty() {
            let from = session.client_address();
            if self.log_limiter.may(context) {
                warn!(event = "half-line", client = %from);
            }
        }
        match has_ended {
            true => self.close_session(context, id, Cause::Idle),
            false => self.answer(context, id, FinalAnswer::Closed, Cause::Idle),
        }
    }

    /// A client said what can't be used: it gets an error, and only its own connection ends.
    fn reject_malformed(&mut self, context: &mut LoopContext, id: RequestId, why: &str) {
        let Some(session) = self.sessions.get(id) else { return };
        let (from, waits) = (session.client_address(), session.is_waiting());
        if self.log_limiter.may(context) {
            warn!(event = "malformed", client = %from, why);
        }
        if waits {
            context.emit(NetworkEvent::ClientLeft(id));
            self.end_attempt(context, id, Outcome::Cancelled);
        }
        self.answer(context, id, FinalAnswer::Failed, Cause::BadRequest);
    }

    fn on_request(&mut self, context: &mut LoopContext, id: RequestId, line: &[u8]) {
        let open = match parse_open(line, &self.settings.names) {
            Ok(open) => open,
            Err(why) => {
                let class = class_of(line, &self.settings.names);
                self.sessions
                    .get_mut(id)
                    .zip(class)
                    .into_iter()
                    .for_each(|(session, class)| session.set_class(class));
                return self.reject_malformed(context, id, why);
            }
        };
        self.sessions.get_mut(id).into_iter().for_each(|session| session.set_class(open.class));
        let home = open.previous_server.as_deref().map(server_id);
        if home.is_some_and(|home| !self.servers.is_listed(home)) {
            return self.reject_malformed(context, id, "at= names no server");
        }
        let wait = open.timeout.or(self.settings.client_timeouts.get(open.class).copied()).unwrap_or(0);
        let req = ReceivedRequest {
            id,
            class: open.class,
            tenant: open.tenant,
            key: open.key,
            deadline: context.now + wait,
            load: open.load,
            group: open.group,
            is_returning: open.is_returning,
        };
        let until = if home.is_some() { context.now + RESTORE_TIMEOUT } else { req.deadline };
        if !self.sessions.open_request(
            context,
            id,
            SessionRequest { line, open_id: open.id, request: req, previous_server: home, deadline: until },
        ) {
            // The id of another client's request. Whoever retries or was moved comes under a new one, and the
            // one from before was let go with its answer or its MOVE.
            return self.reject_malformed(context, id, "the id is in use");
        }
        self.guard.receive(id, self.settings.idempotency_of(open.class));
        debug!(event = "received", req = id.0, id = %format_args!("{:x}", open.id), class = open.class);
        if self.is_shutting_down {
            // What is taken now would only have to move: the front stops sending here in a moment.
            let after = if self.has_successor { RETRY_AFTER_WITH_SUCCESSOR } else { LEAVE_AFTER };
            return self.answer_unserved(context, id, after, Cause::Shutdown);
        }
        if home.is_none() && !context.overload.admits() {
            // Guards those who stand: a refusal costs a tenth of a set-up.
            return self.answer_unserved(context, id, RETRY_AFTER_OVERLOAD, Cause::Overload);
        }
        if !self.ensure_capacity(context) {
            // Guards the descriptor limit: refused before a attempt could need one more.
            self.set_descriptor_shortage(true);
            return self.answer_unserved(context, id, RETRY_AFTER, Cause::Descriptors);
        }
        // The client may have left behind its line already, or said more than it should.
        self.on_session_ready(context, id, Readiness::default());
        if !self.sessions.get(id).is_some_and(Session::is_waiting) {
            return;
        }
        match home {
            Some(server) => self.begin_attempt(context, id, server, RESTORE_TIMEOUT),
            None => {
                let (group, key) = (req.group, req.key);
                debug!(event = "asked", req = id.0, group, key, returning = req.is_returning);
                self.guard.queue(id);
                context.emit(NetworkEvent::RequestReceived(req));
            }
        }
    }

    /// A client that waited has gone: nobody needs the attempt any more.
    fn on_client_left(&mut self, context: &mut LoopContext, id: RequestId) {
        context.emit(NetworkEvent::ClientLeft(id));
        self.count_reply(id, Reply::Error);
        debug!(event = "client-left", req = id.0, attempts = self.guard.attempts(id));
        self.guard.abandon(id);
        self.close_session(context, id, Cause::Decision);
        self.end_attempt(context, id, Outcome::Cancelled);
    }

    /// A connection has come up or has ended, whichever was first: it counts once.
    fn count_reply(&mut self, id: RequestId, reply: Reply) {
        if let Some(class) = self.sessions.get_mut(id).and_then(Session::take_uncounted_class) {
            self.counters.record_reply(class, reply);
        }
    }

    /// GossipTransport operators how many connections are held that were taken.
    pub fn publish_gauges(&self) {
        let held = self.descriptors_in_use();
        self.counters.set_held(self.sessions.len() - held.unserved, held.all);
    }
}

/// Attempts, from their beginning to the server's answer.
impl Proxy {
    /// A standing connection's own server is asked for even while it drains.
    fn address_for(&self, id: RequestId, server: ServerId) -> Option<SocketAddr> {
        match self.sessions.get(id).map(Session::previous_server) {
            Some(Some(home)) if home == server => self.servers.address(server),
            _ => self.servers.ready_address(server),
        }
    }

    /// Begins a attempt; it may take so long.
    pub fn begin_attempt(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        server: ServerId,
        patience: Micros,
    ) {
        // Guards against two attempts out at once, whatever asked for the second.
        if self.attempts.has(id) || self.pending_dials.contains_key(&id) {
            return;
        }
        let waits = |session: &Self| session.sessions.get(id).is_some_and(Session::is_waiting);
        if waits(self) {
            // The client may have gone, and the loop not have told of it yet: it was accepted with its end, or a server's
            // refusal was heard first.
            self.on_session_ready(context, id, Readiness::READ);
        }
        if !waits(self) {
            return self.report_attempt_end(context, id, Outcome::NotSent);
        }
        let address = self.address_for(id, server).filter(|_| self.ensure_capacity(context));
        let Some(address) = address else {
            return self.report_attempt_end(context, id, Outcome::NotSent);
        };
        if let Err(violation) = self.guard.begin_attempt(id, self.servers.target(server)) {
            self.report_violation(&violation, Cause::Decision);
            return self.report_attempt_end(context, id, Outcome::NotSent);
        }
        let attempt = self.guard.attempts(id);
        let name = self.servers.name(Some(server));
        debug!(event = "attempt", req = id.0, attempt, server = name, us = patience);
        let until = context.now.saturating_add(patience);
        self.dial(context, id, PendingDial { server, deadline: until, failures: 0 }, address);
    }

    /// GossipTransport how a attempt ended; a carried connection that never came up was never told of.
    fn report_attempt_end(&mut self, context: &mut LoopContext, id: RequestId, outcome: Outcome) {
        match self.sessions.get(id).map(|session| (session.previous_server(), session.is_waiting())) {
            Some((Some(home), true)) => self.on_restored_attempt_ended(context, id, home, outcome),
            _ => context.emit(NetworkEvent::AttemptEnded(id, outcome)),
        }
    }

    /// A connection from before the start has not come up: it is tried again while that is harmless.
    fn on_restored_attempt_ended(
        &mut self,
        context: &mut LoopContext,
        id: RequestId,
        home: ServerId,
        outcome: Outcome,
    ) {
        if self.sessions.get_mut(id).is_some_and(|session| session.on_restore_failed(context.now)) {
            warn!(event = "carried-not-up", server = self.servers.name(Some(home)), ?outcome);
        }
        // What has never run is tried again.
        match outcome.never_ran() {
            true => self.sessions.schedule_timer(context, id),
            false => self.answer(context, id, FinalAnswer::Failed, Cause::Server),
        }
    }

    /// Ends the attempt that is out, on the network and for the module.
    pub fn end_attempt(&mut self, context: &mut LoopContext, id: RequestId, outcome: Outcome) {
        let server = self.attempts.server(id);
        let is_pending = self.pending_dials.remove(&id).is_some();
        if self.attempts.end(context, id) || is_pending {
            self.guard.end_attempt(id, outcome);
            debug!(event = "attempt-ended", req = id.0, server = self.servers.name(server), ?outcome);
            self.report_attempt_end(context, id, outcome);
        }
    }

    /// A attempt's timer has come.
    pub fn on_attempt_timer(&mut self, context: &mut LoopContext, id: RequestId) {
        if let Some(outcome) = self.attempts.on_timer(context, id) {
            self.end_attempt(context, id, outcome);
        }
    }

    /// A attempt's connection is ready.
    pub fn on_attempt_ready(&mut self, context: &mut LoopContext, id: RequestId, ready: Readiness) {
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        attempt.connection.on_ready(ready);
        match attempt.stage() {
            AttemptStage::Established => self.relay(context, id),
            _ => self.advance_attempt(context, id),
        }
    }

    fn advance_attempt(&mut self, context: &mut LoopContext, id: RequestId) {
        let Some(attempt) = self.attempts.get(id) else { return };
        if attempt.stage() == AttemptStage::Connecting {
            match attempt.connection.is_connected() {
                Ok(false) => return,
                Ok(true) => {}
                Err(_) => return self.end_attempt(context, id, Outcome::ConnectFailed),
            }
            // The client may have gone while the connection came up, and the loop not have told of it yet.
            self.on_session_ready(context, id, Readiness::READ);
            let Some(attempt) = self.attempts.get(id) else { return };
            // The server may have begun to leave meanwhile: it gets nothing new.
            if self.address_for(id, attempt.server()).is_none() {
                return self.end_attempt(context, id, Outcome::NotSent);
            }
            match self.guard.send(id, context.now) {
                Ok(true) => {}
                Ok(false) => return self.end_attempt(context, id, Outcome::NotSent),
                Err(violation) => {
                    self.report_violation(&violation, Cause::Decision);
                    return self.end_attempt(context, id, Outcome::NotSent);
                }
            }
            let Some(line) = self.sessions.get(id).and_then(Session::first_line) else { return };
            self.attempts
                .get_mut(id)
                .into_iter()
                .for_each(|attempt| attempt.send_request(context.now, &context.buffers, line));
        }
        let Some(attempt) = self.attempts.get_mut(id) else { return };
        if attempt.take_dispatched() {
            self.counters.record_dispatch();
        }
        let server = self.servers.name(Some(attempt.server()));
        let outcome = match attempt.read_answer(&context.buffers) {
            None => return,
            Some(ServerAnswer::Accepted) => return self.on_attempt_established(context, id),
            Some(ServerAnswer::Ended(outcome)) => outcome,
            Some(ServerAnswer::Unexpected(line)) => {
                warn!(event = "odd-answer", server, line);
                Outcome::Error
            }
            Some(ServerAnswer::LineTooLong) => {
                warn!(event = "line-too-long", peer = "server", server);
                Outcome::Error
            }
        };
        self.end_attempt(context, id, outcome);
        if outcome == Outcome::Ok {
            self.answer(context, id, FinalAnswer::Served, Cause::Server);
        }
    }

    /// A server has taken a client.
    fn on_attempt_established(&mut self, context: &mut LoopContext, id: RequestId) {
        let (Some(attempt), Some(session)) = (self.attempts.get_mut(id), self.sessions.get_mut(id)) else {
            return;
        };
        debug!(event = "up", req = id.0, client = %session.client_address(), server = self.servers.name(Some(attempt.server())));
        attempt.establish(context.now, id);
        session.establish();
        self.guard.serve(id);
        if let Some(class) = session.take_uncounted_class() {
            self.counters.record_reply(class, Reply::Success);
        }
        context.emit(match (session.previous_server(), session.restored_request()) {
            (Some(server), Some(req)) => NetworkEvent::ConnectionRestored(req, server),
            _ => NetworkEvent::AttemptEstablished(id),
        });
        self.relay(context, id);
    }

    fn server_name(&self, id: RequestId) -> &str {
        self.servers.name(self.attempts.server(id))
    }
}
