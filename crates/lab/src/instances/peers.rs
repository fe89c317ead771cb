//! The peers of an emulated balancer: maps the driver's effects and events to the emulator's messages, as the
//! real program maps them to sockets of clients, servers and discovery. It makes no decisions, and its time
//! limits are those of the real program.

mod attempts;
mod drain;
mod sessions;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId, ServerState};
use shorewharf_driver::{Effects, NetworkEvent, ReceivedRequest};
use shorewharf_emulator::edge::{Answer, ConnId, End, FromBalancer, LinkId, Listed, NodeMessage, ToBalancer};
use shorewharf_emulator::virtual_time::GroundTruth;
use shorewharf_units::Micros;

use super::node_directory::NodeDirectory;

/// A client's line that is unanswered for this long marks the connection as dead, as in the real program.
const REPLY_TIMEOUT: Micros = 1_500_000;
/// Interval at which the real program checks for dead connections and advances its drain.
const SWEEP_INTERVAL: Micros = 100_000;
/// Time limit of a placement probe.
const PROBE_TIMEOUT: Micros = 500_000;
/// How long a connection from before the start may take to be established again, and the delay between
/// attempts.
const CARRY_OVER_TIMEOUT: Micros = 38_000_000;
const CARRY_OVER_RETRY_DELAY: Micros = 500_000;
/// How long after its deadline an unanswered request is rejected.
const OVERDUE_GRACE: Micros = 15_000;
/// Retry-After for clients that the program rejects without the driver.
const RETRY_AFTER: Micros = 300_000;

/// Purpose of a timer. Timers of an attempt contain its link, since the attempt may be over when they fire.
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

/// Stage of a client's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionStage {
    Pending,
    Established,
}

/// A client's connection, from its request to its end.
#[derive(Clone, Debug)]
struct Session {
    conn: ConnId,
    stage: SessionStage,
    req: ReceivedRequest,
    /// The server of a connection from before the start of this process.
    carried_over_server: Option<ServerId>,
    deadline: Micros,
    /// When the client's unanswered line was sent.
    unanswered_since: Option<Micros>,
    attempt: Option<Attempt>,
}

/// The connection to a server on which a session is attempted or established.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    link: LinkId,
    server: ServerId,
    is_connected: bool,
    last_message: Option<NodeMessage>,
}

/// When a server last sent anything and on which connection, and when it last did so on another one.
#[derive(Clone, Copy, Debug)]
struct ServerActivity {
    latest: (Micros, RequestId),
    latest_of_other: Micros,
}

/// All peers of one incarnation of a balancer.
#[derive(Debug)]
pub struct EmulatedPeers {
    directory: NodeDirectory,
    connect_timeout: Micros,
    now: Micros,
    events: VecDeque<NetworkEvent>,
    timers: BinaryHeap<Reverse<(Micros, u64, TimerEvent)>>,
    timer_serial: u64,
    /// Link numbers continue over all incarnations.
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
    /// Creates the peers of a process that starts at `now`. `first_link` is above all links of earlier
    /// incarnations.
    pub fn new(directory: NodeDirectory, connect_timeout: Micros, now: Micros, first_link: u64) -> Self {
        let nodes = directory.len();
        EmulatedPeers {
            directory,
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

    /// The number of the next link.
    pub fn next_link(&self) -> u64 {
        self.next_link
    }

    /// Time of the earliest timer.
    pub fn next_timer(&self) -> Option<Micros> {
        self.timers.peek().map(|t| t.0.0)
    }

    /// Moves the actions since the last call to `out`.
    pub fn take_actions(&mut self, out: &mut Vec<FromBalancer>) {
        out.append(&mut self.actions);
    }

    /// The module's log lines since the last call.
    pub fn take_log_lines(&mut self) -> Vec<(Micros, String)> {
        std::mem::take(&mut self.log_lines)
    }

    /// Sets the current time.
    pub fn set_now(&mut self, now: Micros) {
        self.now = now;
    }

    /// Handles all timers that are due.
    pub fn fire_due_timers(&mut self) {
        let now = self.now;
        while let Some(&Reverse((when, _, event))) = self.timers.peek() {
            if when > now {
                break;
            }
            self.timers.pop();
            match event {
                TimerEvent::Driver(token) => self.emit(NetworkEvent::TimerFired(token)),
                TimerEvent::ConnectTimeout(id, link) => {
                    if self.attempt_on_link(id, link).is_some_and(|attempt| !attempt.is_connected) {
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

    /// The true state of a server's node, for policies that have access to it.
    pub fn ground_truth<'a>(
        &self,
        server: ServerId,
        ground_truth: &'a [GroundTruth],
    ) -> Option<&'a GroundTruth> {
        ground_truth.get(self.directory.node(server)?.0 as usize)
    }

    /// Handles one message of the emulator. The caller handles starts and kills.
    pub fn handle(&mut self, input: &ToBalancer) {
        match input {
            ToBalancer::Request { request, remaining } => self.on_request(request, *remaining),
            ToBalancer::ClientLine(conn) => self.on_client_line(*conn),
            ToBalancer::ClientEnded(conn, _) => self.on_client_closed(*conn),
            ToBalancer::LinkUp(link) => self.on_link_up(*link),
            ToBalancer::LinkFailed(link) => self.on_link_failed(*link),
            ToBalancer::NodeMessage(link, message) => self.on_node_message(*link, *message),
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
            // The watch at the previous address may stay open without sending events, so it is closed.
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

    /// Updates the servers' states and returns the entries for the driver.
    pub fn update_endpoints(&mut self, full: bool, entries: &[Listed]) -> Vec<ServerEntry> {
        if full {
            self.server_states.iter_mut().flatten().for_each(|s| *s = ServerState::Removed);
        }
        let mut server_entries = Vec::with_capacity(entries.len());
        for e in entries {
            let entry = self.directory.entry(e);
            self.server_states[e.node.0 as usize] = Some(entry.state);
            server_entries.push(entry);
        }
        server_entries
    }

    pub(super) fn emit(&mut self, event: NetworkEvent) {
        self.events.push_back(event);
    }

    fn schedule(&mut self, when: Micros, event: TimerEvent) {
        self.timer_serial += 1;
        self.timers.push(Reverse((when, self.timer_serial, event)));
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

    fn begin_attempt(&mut self, req: RequestId, server: ServerId, timeout: Micros) {
        self.open_attempt(req, server, timeout);
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
