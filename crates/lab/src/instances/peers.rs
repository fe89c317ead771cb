//! The peers of an emulated balancer: what the real program does on sockets with clients, servers and discovery,
//! done with the words of the emulator's edge. Time limits are the real program's; decisions are none of them.

mod drain;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId, ServerState};
use shorewharf_driver::{Effects, NetworkEvent, ReceivedRequest};
use shorewharf_emulator::edge::{
    Answer, ConnId, End, FromBalancer, LinkId, Listed, NodeMessage, RequestLine, ToBalancer,
};
use shorewharf_emulator::virtual_time::GroundTruth;
use shorewharf_units::Micros;

use super::node_directory::NodeDirectory;

/// A line that goes unanswered for so long shows a dead connection, as in the real program.
const REPLY_TIMEOUT: Micros = 1_500_000;
/// How often the real program looks for silent connections and takes the steps of its planned end.
const SWEEP_INTERVAL: Micros = 100_000;
/// A probe may take so long.
const PROBE_TIMEOUT: Micros = 500_000;
/// A connection from before the start has this long to stand again; it is tried anew after a pause.
const CARRY_OVER_TIMEOUT: Micros = 38_000_000;
const CARRY_OVER_RETRY_DELAY: Micros = 500_000;
/// A client that has not been answered by then is answered all the same.
const OVERDUE_GRACE: Micros = 15_000;
/// The wait told to clients whom the program refuses by itself.
const RETRY_AFTER: Micros = 300_000;
/// What a timer is for. Those of a fetch carry its link: it may be over when they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    Driver(u64),
    ConnectTimeout(RequestId, LinkId),
    AttemptTimeout(RequestId, LinkId),
    ReplyTimeout(RequestId, Micros),
    RequestOverdue(RequestId),
    RetryCarriedOver(RequestId),
    ProbeTimeout(LinkId),
    DrainStep,
}

/// How far a client's connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionStage {
    Pending,
    Established,
}

#[derive(Clone, Debug)]
struct Session {
    conn: ConnId,
    stage: SessionStage,
    req: ReceivedRequest,
    carried_over_server: Option<ServerId>,
    deadline: Micros,
    /// A line of the client's has gone unanswered since then.
    unanswered_since: Option<Micros>,
    attempt: Option<Attempt>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    link: LinkId,
    server: ServerId,
    is_connected: bool,
    last_message: Option<NodeMessage>,
}

/// When a server last said anything, and on which connection; and the same of another connection.
#[derive(Clone, Copy, Debug)]
struct ServerActivity {
    latest: (Micros, RequestId),
    latest_of_other: Micros,
}

/// All peers of one life of a balancer.
#[derive(Debug)]
pub struct EmulatedPeers {
    directory: NodeDirectory,
    connect_timeout: Micros,
    now: Micros,
    events: VecDeque<NetworkEvent>,
    timers: BinaryHeap<Reverse<(Micros, u64, TimerEvent)>>,
    timer_serial: u64,
    /// Numbers of links go on over all lives.
    next_link: u64,
    next_id: u32,
    sessions: HashMap<RequestId, Session>,
    request_by_connection: HashMap<ConnId, RequestId>,
    request_by_link: HashMap<LinkId, RequestId>,
    probes: HashMap<LinkId, ServerId>,
    server_states: Vec<Option<ServerState>>,
    server_activity: Vec<Option<ServerActivity>>,
    watching: bool,
    draining_since: Option<Micros>,
    exited: bool,
    actions: Vec<FromBalancer>,
    log_lines: Vec<(Micros, String)>,
}

impl EmulatedPeers {
    /// Peers of a process that begins now. `first_link` is above every link of the lives before.
    pub fn new(places: NodeDirectory, connect_timeout: Micros, now: Micros, first_link: u64) -> Self {
        let nodes = places.len();
        EmulatedPeers {
            directory: places,
            connect_timeout,
            now,
            events: VecDeque::new(),
            timers: BinaryHeap::new(),
            timer_serial: 0,
            next_link: first_link,
            next_id: 0,
            sessions: HashMap::new(),
            request_by_connection: HashMap::new(),
            request_by_link: HashMap::new(),
            probes: HashMap::new(),
            server_states: vec![None; nodes],
            server_activity: vec![None; nodes],
            watching: false,
            draining_since: None,
            exited: false,
            actions: Vec::new(),
            log_lines: Vec::new(),
        }
    }

    /// The next link's number.
    pub fn next_link(&self) -> u64 {
        self.next_link
    }

    /// The earliest timer.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.peek().map(|t| t.0.0)
    }

    /// What has been done since the last call.
    pub fn take_actions(&mut self, out: &mut Vec<FromBalancer>) {
        out.append(&mut self.actions);
    }

    /// The module's log lines since the last call.
    pub fn take_log_lines(&mut self) -> Vec<(Micros, String)> {
        std::mem::take(&mut self.log_lines)
    }

    /// Moves the clock on.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
    }

    /// Does and queues what is due.
    pub fn fire_due_timers(&mut self) {
        let now = self.now;
        while let Some(&Reverse((when, _, due))) = self.timers.peek() {
            if when > now {
                break;
            }
            self.timers.pop();
            match due {
                TimerEvent::Driver(token) => self.emit(NetworkEvent::TimerFired(token)),
                TimerEvent::ConnectTimeout(id, link) => {
                    if self.attempt_on_link(id, link).is_some_and(|f| !f.is_connected) {
                        self.abort_attempt(id, Outcome::ConnectFailed);
                    }
                }
                TimerEvent::AttemptTimeout(id, link) => self.on_attempt_timeout(id, link),
                TimerEvent::ReplyTimeout(id, since) => self.on_reply_timeout(id, since),
                TimerEvent::RequestOverdue(id) => self.on_request_overdue(id),
                TimerEvent::RetryCarriedOver(id) => self.retry_carried_over(id),
                TimerEvent::ProbeTimeout(link) => self.end_probe(link, Outcome::TimedOut),
                TimerEvent::DrainStep => self.advance_drain(),
            }
        }
    }

    /// The true state of a server's node, for policies that may see it.
    pub fn ground_truth<'a>(&self, server: ServerId, truths: &'a [GroundTruth]) -> Option<&'a GroundTruth> {
        truths.get(self.directory.node(server)?.0 as usize)
    }

    /// Takes in one thing that came; starts and kills are the caller's.
    pub fn handle(&mut self, came: &ToBalancer) {
        match came {
            ToBalancer::Asked { ask, left } => self.on_request(ask, *left),
            ToBalancer::ClientLine(conn) => self.on_client_line(*conn),
            ToBalancer::ClientEnded(conn, _) => self.on_client_closed(*conn),
            ToBalancer::LinkUp(link) => self.on_link_up(*link),
            ToBalancer::LinkFailed(link) => self.on_link_failed(*link),
            ToBalancer::NodeSays(link, word) => self.on_node_message(*link, *word),
            ToBalancer::NodeEnded(link, end) => self.on_node_closed(*link, *end),
            ToBalancer::List { full, entries } => {
                let entries = self.update_endpoints(*full, entries);
                self.emit(NetworkEvent::EndpointListReceived {
                    is_complete: *full,
                    is_cached: false,
                    entries,
                });
            }
            ToBalancer::ListFailed => {
                self.watching = false;
                self.emit(NetworkEvent::DiscoveryFailed);
            }
            // Guards against an old list: the watch at the address before may live on and tell nothing.
            ToBalancer::Reload { moved: true } if self.watching => {
                self.actions.extend([FromBalancer::Unwatch, FromBalancer::Watch]);
            }
            ToBalancer::Terminate if self.draining_since.is_none() => {
                self.draining_since = Some(self.now);
                self.schedule(self.now + SWEEP_INTERVAL, TimerEvent::DrainStep);
            }
            _ => {}
        }
    }

    /// Takes entries into the table of stages; what the module is told of them.
    pub fn update_endpoints(&mut self, full: bool, entries: &[Listed]) -> Vec<ServerEntry> {
        if full {
            self.server_states.iter_mut().flatten().for_each(|s| *s = ServerState::Removed);
        }
        let mut told = Vec::with_capacity(entries.len());
        for e in entries {
            let entry = self.directory.entry(e);
            self.server_states[e.node.0 as usize] = Some(entry.state);
            told.push(entry);
        }
        told
    }

    pub(super) fn emit(&mut self, event: NetworkEvent) {
        self.events.push_back(event);
    }

    fn schedule(&mut self, when: Micros, due: TimerEvent) {
        self.timer_serial += 1;
        self.timers.push(Reverse((when, self.timer_serial, due)));
    }

    fn attempt_on_link(&self, id: RequestId, link: LinkId) -> Option<Attempt> {
        self.sessions.get(&id).and_then(|s| s.attempt).filter(|f| f.link == link)
    }

    fn on_request(&mut self, ask: &RequestLine, left: Micros) {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let req = ReceivedRequest {
            id,
            class: ask.class as usize,
            tenant: ask.tenant as usize,
            key: ask.key,
            deadline: self.directory.to_module_clock(self.now + left),
            load: ask.hint,
            group: ask.group,
            is_returning: ask.retry || ask.again,
        };
        if self.draining_since.is_some() {
            return self
                .actions
                .push(FromBalancer::Answer(ask.conn, Answer::Busy(drain::DRAIN_MIGRATE_AFTER)));
        }
        let home = ask.home.map(|n| self.directory.server(n));
        let until = self.now + if home.is_some() { CARRY_OVER_TIMEOUT } else { left };
        let session = Session {
            conn: ask.conn,
            stage: SessionStage::Pending,
            req,
            carried_over_server: home,
            deadline: until,
            unanswered_since: None,
            attempt: None,
        };
        self.sessions.insert(id, session);
        self.request_by_connection.insert(ask.conn, id);
        self.schedule(until + OVERDUE_GRACE, TimerEvent::RequestOverdue(id));
        match home {
            Some(server) => self.open_attempt(id, server, CARRY_OVER_TIMEOUT),
            None => self.emit(NetworkEvent::RequestReceived(req)),
        }
    }

    fn open_attempt(&mut self, id: RequestId, server: ServerId, patience: Micros) {
        let Some(s) =
            self.sessions.get(&id).filter(|s| s.stage == SessionStage::Pending && s.attempt.is_none())
        else {
            return;
        };
        let home = s.carried_over_server == Some(server);
        let conn = s.conn;
        let node = self.directory.node(server).filter(|n| {
            let stage = self.server_states[n.0 as usize];
            // A standing connection's own server is asked for even while it drains.
            stage == Some(ServerState::Ready) || (home && stage.is_some())
        });
        let Some(node) = node else { return self.report_attempt_end(id, Outcome::NotSent) };
        let link = LinkId(self.next_link);
        self.next_link += 1;
        let until = self.now + patience;
        if let Some(s) = self.sessions.get_mut(&id) {
            s.attempt = Some(Attempt { link, server, is_connected: false, last_message: None });
        }
        self.request_by_link.insert(link, id);
        self.actions.push(FromBalancer::Link { link, node, conn: Some(conn) });
        self.actions.push(FromBalancer::Forward { link, patience });
        // A client that leaves less time than a connect may take must not get its server locked.
        if self.connect_timeout <= patience {
            self.schedule(self.now + self.connect_timeout, TimerEvent::ConnectTimeout(id, link));
        }
        self.schedule(until, TimerEvent::AttemptTimeout(id, link));
    }

    fn report_attempt_end(&mut self, id: RequestId, outcome: Outcome) {
        let Some(s) = self.sessions.get(&id) else {
            return self.emit(NetworkEvent::AttemptEnded(id, outcome));
        };
        if s.carried_over_server.is_some() && s.stage == SessionStage::Pending {
            // Not told of: the module does not know it yet. Tried again while that is harmless.
            if outcome.never_ran() {
                self.schedule(self.now + CARRY_OVER_RETRY_DELAY, TimerEvent::RetryCarriedOver(id));
            } else {
                self.answer_and_forget(id, Answer::Err);
            }
        } else {
            self.emit(NetworkEvent::AttemptEnded(id, outcome));
        }
    }

    fn retry_carried_over(&mut self, id: RequestId) {
        let due =
            |s: &&Session| s.stage == SessionStage::Pending && s.attempt.is_none() && self.now < s.deadline;
        let home =
            self.sessions.get(&id).filter(due).and_then(|s| s.carried_over_server.map(|h| (h, s.deadline)));
        if let Some((server, until)) = home {
            self.open_attempt(id, server, until - self.now);
        }
    }

    /// Ends the fetch that is out, on the network and for the module.
    fn abort_attempt(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(f) = self.take_attempt(id) {
            self.actions.push(FromBalancer::EndLink(f.link, End::Fin));
            self.report_attempt_end(id, outcome);
        }
    }

    /// The fetch has ended by itself.
    fn on_attempt_broken(&mut self, id: RequestId, outcome: Outcome) {
        if self.take_attempt(id).is_some() {
            self.report_attempt_end(id, outcome);
        }
    }

    fn take_attempt(&mut self, id: RequestId) -> Option<Attempt> {
        let f = self.sessions.get_mut(&id).and_then(|s| s.attempt.take())?;
        self.request_by_link.remove(&f.link);
        Some(f)
    }

    fn on_attempt_timeout(&mut self, id: RequestId, link: LinkId) {
        let Some(f) = self.attempt_on_link(id, link) else { return };
        match self.sessions.get(&id).map(|s| s.stage) {
            Some(SessionStage::Pending) if f.is_connected => self.abort_attempt(id, Outcome::TimedOut),
            Some(SessionStage::Pending) => self.abort_attempt(id, Outcome::NotSent),
            _ => {}
        }
    }

    fn on_link_up(&mut self, link: LinkId) {
        let Some(id) = self.request_by_link.get(&link) else { return };
        if let Some(f) = self.sessions.get_mut(id).and_then(|s| s.attempt.as_mut()) {
            f.is_connected = true;
        }
    }

    fn on_link_failed(&mut self, link: LinkId) {
        if self.probes.contains_key(&link) {
            return self.end_probe(link, Outcome::ConnectFailed);
        }
        if let Some(&id) = self.request_by_link.get(&link) {
            self.on_attempt_broken(id, Outcome::ConnectFailed);
        }
    }

    fn on_node_message(&mut self, link: LinkId, word: NodeMessage) {
        if self.probes.contains_key(&link) {
            let outcome = if word == NodeMessage::Pong { Outcome::Ok } else { Outcome::Error };
            return self.end_probe(link, outcome);
        }
        let Some(&id) = self.request_by_link.get(&link) else { return };
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let Some(f) = s.attempt.as_mut() else { return };
        f.is_connected = true;
        f.last_message = Some(word);
        let server = f.server;
        if s.stage == SessionStage::Established {
            match word {
                NodeMessage::Load(load) => self.emit(NetworkEvent::LoadReported(id, load / 1e6)),
                NodeMessage::Delay(ms) => {
                    self.emit(NetworkEvent::MessageDelayReported(server, (ms * 1e3) as Micros));
                }
                NodeMessage::Bye | NodeMessage::Move => {}
                _ => s.unanswered_since = None,
            }
            return self.record_activity(server, now, id);
        }
        let outcome = match word {
            NodeMessage::Up => return self.on_established(id, server, link),
            NodeMessage::Busy => Outcome::Rejected,
            NodeMessage::Move => Outcome::Cancelled,
            NodeMessage::Bye => Outcome::Ok,
            _ => Outcome::Error,
        };
        self.abort_attempt(id, outcome);
        if outcome == Outcome::Ok {
            self.answer_and_forget(id, Answer::Err);
        }
    }

    fn on_established(&mut self, id: RequestId, server: ServerId, link: LinkId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.stage = SessionStage::Established;
        let (conn, req, carried) = (s.conn, s.req, s.carried_over_server.is_some());
        self.record_activity(server, self.now, id);
        self.actions.push(FromBalancer::Answer(conn, Answer::Up(link)));
        self.emit(if carried {
            NetworkEvent::ConnectionRestored(req, server)
        } else {
            NetworkEvent::AttemptEstablished(id)
        });
    }

    fn record_activity(&mut self, server: ServerId, now: Micros, id: RequestId) {
        let Some(node) = self.directory.node(server) else { return };
        let h = &mut self.server_activity[node.0 as usize];
        *h = Some(match *h {
            Some(ServerActivity { latest: last, latest_of_other: other }) if last.1 == id => {
                ServerActivity { latest: (now, id), latest_of_other: other }
            }
            Some(ServerActivity { latest: last, .. }) => {
                ServerActivity { latest: (now, id), latest_of_other: last.0 }
            }
            None => ServerActivity { latest: (now, id), latest_of_other: 0 },
        });
    }

    /// Whether a server has said anything to another connection since then.
    fn is_server_active_since(&self, server: ServerId, id: RequestId, since: Micros) -> bool {
        let heard = self.directory.node(server).and_then(|n| self.server_activity[n.0 as usize]);
        heard.is_some_and(|h| (if h.latest.1 == id { h.latest_of_other } else { h.latest.0 }) > since)
    }

    fn on_node_closed(&mut self, link: LinkId, end: End) {
        if self.probes.contains_key(&link) {
            return self.end_probe(link, Outcome::Reset);
        }
        let Some(&id) = self.request_by_link.get(&link) else { return };
        let Some(s) = self.sessions.get(&id) else { return };
        let (conn, at) = (s.conn, s.stage);
        let last = s.attempt.and_then(|f| f.last_message);
        if at == SessionStage::Pending {
            return self.on_attempt_broken(id, Outcome::Reset);
        }
        let outcome = match last {
            Some(NodeMessage::Bye) => Outcome::Ok,
            Some(NodeMessage::Move) => Outcome::Cancelled,
            // Servers close on what they can't read: an end in good order with a line unanswered is no drop.
            _ if end == End::Fin && s.unanswered_since.is_some() => Outcome::Cancelled,
            _ => Outcome::Reset,
        };
        self.on_attempt_broken(id, outcome);
        self.actions.push(FromBalancer::EndClient(conn, end));
        self.remove_session(id);
    }

    fn on_client_line(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(&id) = self.request_by_connection.get(&conn) else { return };
        let Some(s) = self
            .sessions
            .get_mut(&id)
            .filter(|s| s.stage == SessionStage::Established && s.unanswered_since.is_none())
        else {
            return;
        };
        s.unanswered_since = Some(now);
        // Silence is looked for by the sweep, which may be a part of its period away.
        let due = (now + REPLY_TIMEOUT).div_ceil(SWEEP_INTERVAL) * SWEEP_INTERVAL;
        self.schedule(due, TimerEvent::ReplyTimeout(id, now));
    }

    /// The server answers nothing: its client is moved. One that has answered others meanwhile is not blamed.
    fn on_reply_timeout(&mut self, id: RequestId, since: Micros) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.unanswered_since == Some(since)) else { return };
        let Some(f) = s.attempt else { return };
        let lives = self.is_server_active_since(f.server, id, since);
        self.abort_attempt(id, if lives { Outcome::Cancelled } else { Outcome::Reset });
        self.answer_and_forget(id, Answer::Move);
    }

    fn on_client_closed(&mut self, conn: ConnId) {
        let Some(&id) = self.request_by_connection.get(&conn) else { return };
        if self.sessions.get(&id).is_some_and(|s| s.stage == SessionStage::Pending) {
            self.emit(NetworkEvent::ClientLeft(id));
        }
        self.abort_attempt(id, Outcome::Cancelled);
        self.remove_session(id);
    }

    fn on_request_overdue(&mut self, id: RequestId) {
        if self.sessions.get(&id).is_some_and(|s| s.stage == SessionStage::Pending) {
            self.emit(NetworkEvent::ClientLeft(id));
            self.abort_attempt(id, Outcome::TimedOut);
            self.answer_and_forget(id, Answer::Busy(RETRY_AFTER));
        }
    }

    /// Says the last words of a session and forgets it.
    fn answer_and_forget(&mut self, id: RequestId, answer: Answer) {
        if let Some(conn) = self.sessions.get(&id).map(|s| s.conn) {
            self.actions.push(FromBalancer::Answer(conn, answer));
            self.remove_session(id);
        }
    }

    fn remove_session(&mut self, id: RequestId) {
        if let Some(s) = self.sessions.remove(&id) {
            self.request_by_connection.remove(&s.conn);
            if let Some(f) = s.attempt {
                self.request_by_link.remove(&f.link);
            }
        }
    }

    fn end_probe(&mut self, link: LinkId, outcome: Outcome) {
        if let Some(server) = self.probes.remove(&link) {
            self.actions.push(FromBalancer::EndLink(link, End::Fin));
            self.emit(NetworkEvent::ProbeEnded(server, outcome));
        }
    }
}

impl Effects for EmulatedPeers {
    fn now(&self) -> Micros {
        self.directory.to_module_clock(self.now)
    }

    fn next_event(&mut self) -> Option<NetworkEvent> {
        self.events.pop_front()
    }

    fn begin_attempt(&mut self, req: RequestId, server: ServerId, patience: Micros) {
        self.open_attempt(req, server, patience);
    }

    fn cancel_attempt(&mut self, req: RequestId) {
        self.abort_attempt(req, Outcome::Cancelled);
    }

    fn reject(&mut self, req: RequestId, after: Micros) {
        self.answer_and_forget(req, Answer::Busy(after));
    }

    fn fail(&mut self, req: RequestId) {
        self.answer_and_forget(req, Answer::Err);
    }

    fn migrate(&mut self, req: RequestId) {
        if self.sessions.get(&req).is_some_and(|s| s.stage == SessionStage::Established) {
            self.abort_attempt(req, Outcome::Cancelled);
            self.answer_and_forget(req, Answer::Move);
        }
    }

    fn probe(&mut self, server: ServerId) {
        let Some(node) = self.directory.node(server) else {
            return self.emit(NetworkEvent::ProbeEnded(server, Outcome::ConnectFailed));
        };
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.probes.insert(link, server);
        self.actions.push(FromBalancer::Link { link, node, conn: None });
        self.actions.push(FromBalancer::Probe(link));
        self.schedule(self.now + PROBE_TIMEOUT, TimerEvent::ProbeTimeout(link));
    }

    fn watch_endpoints(&mut self) {
        if !std::mem::replace(&mut self.watching, true) {
            self.actions.push(FromBalancer::Watch);
        }
    }

    fn set_timer(&mut self, after: Micros, token: u64) {
        self.schedule(self.now + after.max(1), TimerEvent::Driver(token));
    }

    fn log(&mut self, line: &str) {
        self.log_lines.push((self.now, line.to_owned()));
    }
}
