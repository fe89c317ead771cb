//! The peers of an emulated balancer: what the real program does on sockets with clients, servers and discovery,
//! done with the words of the emulator's edge. Time limits are the real program's; decisions are none of them.

mod leaving;

use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId, ServerState};
use shorewharf_driver::{Effects, NetworkEvent, ReceivedRequest};
use shorewharf_emulator::edge::*;
use shorewharf_emulator::virtual_time::GroundTruth;
use shorewharf_units::Micros;

use super::places::NodeDirectory;

/// A line that goes unanswered for so long shows a dead connection, as in the real program.
const SILENT: Micros = 1_500_000;
/// How often the real program looks for silent connections and takes the steps of its planned end.
const SWEEP: Micros = 100_000;
/// A probe may take so long.
const PROBE: Micros = 500_000;
/// A connection from before the start has this long to stand again; it is tried anew after a pause.
const CARRY: Micros = 38_000_000;
const CARRY_PAUSE: Micros = 500_000;
/// A client that has not been answered by then is answered all the same.
const OVERDUE: Micros = 15_000;
/// The wait told to clients whom the program refuses by itself.
const COME_BACK: Micros = 300_000;
/// What a timer is for. Those of a fetch carry its link: it may be over when they come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerEvent {
    Module(u64),
    Connect(RequestId, LinkId),
    Patience(RequestId, LinkId),
    Silent(RequestId, Micros),
    Overdue(RequestId),
    Carry(RequestId),
    Probe(LinkId),
    Leave,
}

/// How far a client's connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SessionStage {
    Waiting,
    Open,
}

#[derive(Clone, Debug)]
struct Session {
    conn: ConnId,
    at: SessionStage,
    req: ReceivedRequest,
    home: Option<ServerId>,
    until: Micros,
    /// A line of the client's has gone unanswered since then.
    asked: Option<Micros>,
    fetch: Option<Attempt>,
}

#[derive(Clone, Copy, Debug)]
struct Attempt {
    link: LinkId,
    server: ServerId,
    up_line: bool,
    last: Option<NodeMessage>,
}

/// When a server last said anything, and on which connection; and the same of another connection.
#[derive(Clone, Copy, Debug)]
struct ServerActivity {
    last: (Micros, RequestId),
    other: Micros,
}

/// All peers of one life of a balancer.
#[derive(Debug)]
pub struct EmulatedPeers {
    places: NodeDirectory,
    connect_timeout: Micros,
    now: Micros,
    happenings: VecDeque<NetworkEvent>,
    timers: BinaryHeap<Reverse<(Micros, u64, TimerEvent)>>,
    serial: u64,
    /// Numbers of links go on over all lives.
    next_link: u64,
    next_id: u32,
    sessions: HashMap<RequestId, Session>,
    by_conn: HashMap<ConnId, RequestId>,
    by_link: HashMap<LinkId, RequestId>,
    probes: HashMap<LinkId, ServerId>,
    stages: Vec<Option<ServerState>>,
    heard: Vec<Option<ServerActivity>>,
    watching: bool,
    leaving: Option<Micros>,
    exited: bool,
    did: Vec<FromBalancer>,
    said: Vec<(Micros, String)>,
}

impl EmulatedPeers {
    /// Peers of a process that begins now. `first_link` is above every link of the lives before.
    pub fn new(places: NodeDirectory, connect_timeout: Micros, now: Micros, first_link: u64) -> Self {
        let nodes = places.len();
        EmulatedPeers {
            places,
            connect_timeout,
            now,
            happenings: VecDeque::new(),
            timers: BinaryHeap::new(),
            serial: 0,
            next_link: first_link,
            next_id: 0,
            sessions: HashMap::new(),
            by_conn: HashMap::new(),
            by_link: HashMap::new(),
            probes: HashMap::new(),
            stages: vec![None; nodes],
            heard: vec![None; nodes],
            watching: false,
            leaving: None,
            exited: false,
            did: Vec::new(),
            said: Vec::new(),
        }
    }

    /// The next link's number.
    pub fn next_link(&self) -> u64 {
        self.next_link
    }

    /// The earliest timer.
    pub fn next_due(&self) -> Option<Micros> {
        self.timers.peek().map(|t| t.0.0)
    }

    /// What has been done since the last call.
    pub fn hand_over(&mut self, out: &mut Vec<FromBalancer>) {
        out.append(&mut self.did);
    }

    /// The module's log lines since the last call.
    pub fn said(&mut self) -> Vec<(Micros, String)> {
        std::mem::take(&mut self.said)
    }

    /// Moves the clock on.
    pub fn clock(&mut self, now: Micros) {
        self.now = now;
    }

    /// Does and queues what is due.
    pub fn due(&mut self) {
        let now = self.now;
        while let Some(&Reverse((when, _, due))) = self.timers.peek() {
            if when > now {
                break;
            }
            self.timers.pop();
            match due {
                TimerEvent::Module(token) => self.tell(NetworkEvent::TimerFired(token)),
                TimerEvent::Connect(id, link) => {
                    if self.fetch_on(id, link).is_some_and(|f| !f.up_line) {
                        self.fetch_over(id, Outcome::ConnectFailed);
                    }
                }
                TimerEvent::Patience(id, link) => self.patience_due(id, link),
                TimerEvent::Silent(id, since) => self.silent(id, since),
                TimerEvent::Overdue(id) => self.overdue(id),
                TimerEvent::Carry(id) => self.carry(id),
                TimerEvent::Probe(link) => self.probe_over(link, Outcome::TimedOut),
                TimerEvent::Leave => self.leave(),
            }
        }
    }

    /// The true state of a server's node, for policies that may see it.
    pub fn truth<'a>(&self, server: ServerId, truths: &'a [GroundTruth]) -> Option<&'a GroundTruth> {
        truths.get(self.places.node(server)?.0 as usize)
    }

    /// Takes in one thing that came; starts and kills are the caller's.
    pub fn take(&mut self, came: &ToBalancer) {
        match came {
            ToBalancer::Asked { ask, left } => self.asked(ask, *left),
            ToBalancer::ClientLine(conn) => self.client_line(*conn),
            ToBalancer::ClientEnded(conn, _) => self.client_ended(*conn),
            ToBalancer::LinkUp(link) => self.link_up(*link),
            ToBalancer::LinkFailed(link) => self.link_failed(*link),
            ToBalancer::NodeSays(link, word) => self.node_says(*link, *word),
            ToBalancer::NodeEnded(link, end) => self.node_ended(*link, *end),
            ToBalancer::List { full, entries } => {
                let entries = self.listed(*full, entries);
                self.tell(NetworkEvent::EndpointListReceived {
                    is_complete: *full,
                    is_cached: false,
                    entries,
                });
            }
            ToBalancer::ListFailed => {
                self.watching = false;
                self.tell(NetworkEvent::DiscoveryFailed);
            }
            // Guards against an old list: the watch at the address before may live on and tell nothing.
            ToBalancer::Reload { moved: true } if self.watching => {
                self.did.extend([FromBalancer::Unwatch, FromBalancer::Watch]);
            }
            ToBalancer::Terminate if self.leaving.is_none() => {
                self.leaving = Some(self.now);
                self.at(self.now + SWEEP, TimerEvent::Leave);
            }
            _ => {}
        }
    }

    /// Takes entries into the table of stages; what the module is told of them.
    pub fn listed(&mut self, full: bool, entries: &[Listed]) -> Vec<ServerEntry> {
        if full {
            self.stages.iter_mut().flatten().for_each(|s| *s = ServerState::Removed);
        }
        let mut told = Vec::with_capacity(entries.len());
        for e in entries {
            let entry = self.places.entry(e);
            self.stages[e.node.0 as usize] = Some(entry.state);
            told.push(entry);
        }
        told
    }

    pub(super) fn tell(&mut self, happening: NetworkEvent) {
        self.happenings.push_back(happening);
    }

    fn at(&mut self, when: Micros, due: TimerEvent) {
        self.serial += 1;
        self.timers.push(Reverse((when, self.serial, due)));
    }

    fn fetch_on(&self, id: RequestId, link: LinkId) -> Option<Attempt> {
        self.sessions.get(&id).and_then(|s| s.fetch).filter(|f| f.link == link)
    }

    fn asked(&mut self, ask: &RequestLine, left: Micros) {
        let id = RequestId(self.next_id);
        self.next_id = self.next_id.wrapping_add(1);
        let req = ReceivedRequest {
            id,
            class: ask.class as usize,
            tenant: ask.tenant as usize,
            key: ask.key,
            deadline: self.places.clock(self.now + left),
            load: ask.hint,
            group: ask.group,
            is_returning: ask.retry || ask.again,
        };
        if self.leaving.is_some() {
            return self.did.push(FromBalancer::Answer(ask.conn, Answer::Busy(leaving::LEAVE_AFTER)));
        }
        let home = ask.home.map(|n| self.places.server(n));
        let until = self.now + if home.is_some() { CARRY } else { left };
        let session =
            Session { conn: ask.conn, at: SessionStage::Waiting, req, home, until, asked: None, fetch: None };
        self.sessions.insert(id, session);
        self.by_conn.insert(ask.conn, id);
        self.at(until + OVERDUE, TimerEvent::Overdue(id));
        match home {
            Some(server) => self.fetch_begins(id, server, CARRY),
            None => self.tell(NetworkEvent::RequestReceived(req)),
        }
    }

    fn fetch_begins(&mut self, id: RequestId, server: ServerId, patience: Micros) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.at == SessionStage::Waiting && s.fetch.is_none())
        else {
            return;
        };
        let home = s.home == Some(server);
        let conn = s.conn;
        let node = self.places.node(server).filter(|n| {
            let stage = self.stages[n.0 as usize];
            // A standing connection's own server is asked for even while it drains.
            stage == Some(ServerState::Ready) || (home && stage.is_some())
        });
        let Some(node) = node else { return self.fetch_ended(id, Outcome::NotSent) };
        let link = LinkId(self.next_link);
        self.next_link += 1;
        let until = self.now + patience;
        if let Some(s) = self.sessions.get_mut(&id) {
            s.fetch = Some(Attempt { link, server, up_line: false, last: None });
        }
        self.by_link.insert(link, id);
        self.did.push(FromBalancer::Link { link, node, conn: Some(conn) });
        self.did.push(FromBalancer::Forward { link, patience });
        // A client that leaves less time than a connect may take must not get its server locked.
        if self.connect_timeout <= patience {
            self.at(self.now + self.connect_timeout, TimerEvent::Connect(id, link));
        }
        self.at(until, TimerEvent::Patience(id, link));
    }

    fn fetch_ended(&mut self, id: RequestId, outcome: Outcome) {
        let Some(s) = self.sessions.get(&id) else {
            return self.tell(NetworkEvent::AttemptEnded(id, outcome));
        };
        if s.home.is_some() && s.at == SessionStage::Waiting {
            // Not told of: the module does not know it yet. Tried again while that is harmless.
            if outcome.never_ran() {
                self.at(self.now + CARRY_PAUSE, TimerEvent::Carry(id));
            } else {
                self.answer(id, Answer::Err);
            }
        } else {
            self.tell(NetworkEvent::AttemptEnded(id, outcome));
        }
    }

    fn carry(&mut self, id: RequestId) {
        let due = |s: &&Session| s.at == SessionStage::Waiting && s.fetch.is_none() && self.now < s.until;
        let home = self.sessions.get(&id).filter(due).and_then(|s| s.home.map(|h| (h, s.until)));
        if let Some((server, until)) = home {
            self.fetch_begins(id, server, until - self.now);
        }
    }

    /// Ends the fetch that is out, on the network and for the module.
    fn fetch_over(&mut self, id: RequestId, outcome: Outcome) {
        if let Some(f) = self.drop_fetch(id) {
            self.did.push(FromBalancer::EndLink(f.link, End::Fin));
            self.fetch_ended(id, outcome);
        }
    }

    /// The fetch has ended by itself.
    fn fetch_broke(&mut self, id: RequestId, outcome: Outcome) {
        if self.drop_fetch(id).is_some() {
            self.fetch_ended(id, outcome);
        }
    }

    fn drop_fetch(&mut self, id: RequestId) -> Option<Attempt> {
        let f = self.sessions.get_mut(&id).and_then(|s| s.fetch.take())?;
        self.by_link.remove(&f.link);
        Some(f)
    }

    fn patience_due(&mut self, id: RequestId, link: LinkId) {
        let Some(f) = self.fetch_on(id, link) else { return };
        match self.sessions.get(&id).map(|s| s.at) {
            Some(SessionStage::Waiting) if f.up_line => self.fetch_over(id, Outcome::TimedOut),
            Some(SessionStage::Waiting) => self.fetch_over(id, Outcome::NotSent),
            _ => {}
        }
    }

    fn link_up(&mut self, link: LinkId) {
        let Some(id) = self.by_link.get(&link) else { return };
        if let Some(f) = self.sessions.get_mut(id).and_then(|s| s.fetch.as_mut()) {
            f.up_line = true;
        }
    }

    fn link_failed(&mut self, link: LinkId) {
        if self.probes.contains_key(&link) {
            return self.probe_over(link, Outcome::ConnectFailed);
        }
        if let Some(&id) = self.by_link.get(&link) {
            self.fetch_broke(id, Outcome::ConnectFailed);
        }
    }

    fn node_says(&mut self, link: LinkId, word: NodeMessage) {
        if self.probes.contains_key(&link) {
            let outcome = if word == NodeMessage::Pong { Outcome::Ok } else { Outcome::Error };
            return self.probe_over(link, outcome);
        }
        let Some(&id) = self.by_link.get(&link) else { return };
        let now = self.now;
        let Some(s) = self.sessions.get_mut(&id) else { return };
        let Some(f) = s.fetch.as_mut() else { return };
        f.up_line = true;
        f.last = Some(word);
        let server = f.server;
        if s.at == SessionStage::Open {
            match word {
                NodeMessage::Load(load) => self.tell(NetworkEvent::LoadReported(id, load / 1e6)),
                NodeMessage::Delay(ms) => {
                    self.tell(NetworkEvent::MessageDelayReported(server, (ms * 1e3) as Micros))
                }
                NodeMessage::Bye | NodeMessage::Move => {}
                _ => s.asked = None,
            }
            return self.hear(server, now, id);
        }
        let outcome = match word {
            NodeMessage::Up => return self.up(id, server, link),
            NodeMessage::Busy => Outcome::Rejected,
            NodeMessage::Move => Outcome::Cancelled,
            NodeMessage::Bye => Outcome::Ok,
            _ => Outcome::Error,
        };
        self.fetch_over(id, outcome);
        if outcome == Outcome::Ok {
            self.answer(id, Answer::Err);
        }
    }

    fn up(&mut self, id: RequestId, server: ServerId, link: LinkId) {
        let Some(s) = self.sessions.get_mut(&id) else { return };
        s.at = SessionStage::Open;
        let (conn, req, carried) = (s.conn, s.req, s.home.is_some());
        self.hear(server, self.now, id);
        self.did.push(FromBalancer::Answer(conn, Answer::Up(link)));
        self.tell(if carried {
            NetworkEvent::ConnectionRestored(req, server)
        } else {
            NetworkEvent::AttemptEstablished(id)
        });
    }

    fn hear(&mut self, server: ServerId, now: Micros, id: RequestId) {
        let Some(node) = self.places.node(server) else { return };
        let h = &mut self.heard[node.0 as usize];
        *h = Some(match *h {
            Some(ServerActivity { last, other }) if last.1 == id => ServerActivity { last: (now, id), other },
            Some(ServerActivity { last, .. }) => ServerActivity { last: (now, id), other: last.0 },
            None => ServerActivity { last: (now, id), other: 0 },
        });
    }

    /// Whether a server has said anything to another connection since then.
    fn server_lives(&self, server: ServerId, id: RequestId, since: Micros) -> bool {
        let heard = self.places.node(server).and_then(|n| self.heard[n.0 as usize]);
        heard.is_some_and(|h| (if h.last.1 == id { h.other } else { h.last.0 }) > since)
    }

    fn node_ended(&mut self, link: LinkId, end: End) {
        if self.probes.contains_key(&link) {
            return self.probe_over(link, Outcome::Reset);
        }
        let Some(&id) = self.by_link.get(&link) else { return };
        let Some(s) = self.sessions.get(&id) else { return };
        let (conn, at) = (s.conn, s.at);
        let last = s.fetch.and_then(|f| f.last);
        if at == SessionStage::Waiting {
            return self.fetch_broke(id, Outcome::Reset);
        }
        let outcome = match last {
            Some(NodeMessage::Bye) => Outcome::Ok,
            Some(NodeMessage::Move) => Outcome::Cancelled,
            // Servers close on what they can't read: an end in good order with a line unanswered is no drop.
            _ if end == End::Fin && s.asked.is_some() => Outcome::Cancelled,
            _ => Outcome::Reset,
        };
        self.fetch_broke(id, outcome);
        self.did.push(FromBalancer::EndClient(conn, end));
        self.forget(id);
    }

    fn client_line(&mut self, conn: ConnId) {
        let now = self.now;
        let Some(&id) = self.by_conn.get(&conn) else { return };
        let Some(s) = self.sessions.get_mut(&id).filter(|s| s.at == SessionStage::Open && s.asked.is_none())
        else {
            return;
        };
        s.asked = Some(now);
        // Silence is looked for by the sweep, which may be a part of its period away.
        let due = (now + SILENT).div_ceil(SWEEP) * SWEEP;
        self.at(due, TimerEvent::Silent(id, now));
    }

    /// The server answers nothing: its client is moved. One that has answered others meanwhile is not blamed.
    fn silent(&mut self, id: RequestId, since: Micros) {
        let Some(s) = self.sessions.get(&id).filter(|s| s.asked == Some(since)) else { return };
        let Some(f) = s.fetch else { return };
        let lives = self.server_lives(f.server, id, since);
        self.fetch_over(id, if lives { Outcome::Cancelled } else { Outcome::Reset });
        self.answer(id, Answer::Move);
    }

    fn client_ended(&mut self, conn: ConnId) {
        let Some(&id) = self.by_conn.get(&conn) else { return };
        if self.sessions.get(&id).is_some_and(|s| s.at == SessionStage::Waiting) {
            self.tell(NetworkEvent::ClientLeft(id));
        }
        self.fetch_over(id, Outcome::Cancelled);
        self.forget(id);
    }

    fn overdue(&mut self, id: RequestId) {
        if self.sessions.get(&id).is_some_and(|s| s.at == SessionStage::Waiting) {
            self.tell(NetworkEvent::ClientLeft(id));
            self.fetch_over(id, Outcome::TimedOut);
            self.answer(id, Answer::Busy(COME_BACK));
        }
    }

    /// Says the last words of a session and forgets it.
    fn answer(&mut self, id: RequestId, answer: Answer) {
        if let Some(conn) = self.sessions.get(&id).map(|s| s.conn) {
            self.did.push(FromBalancer::Answer(conn, answer));
            self.forget(id);
        }
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(s) = self.sessions.remove(&id) {
            self.by_conn.remove(&s.conn);
            if let Some(f) = s.fetch {
                self.by_link.remove(&f.link);
            }
        }
    }

    fn probe_over(&mut self, link: LinkId, outcome: Outcome) {
        if let Some(server) = self.probes.remove(&link) {
            self.did.push(FromBalancer::EndLink(link, End::Fin));
            self.tell(NetworkEvent::ProbeEnded(server, outcome));
        }
    }
}

impl Effects for EmulatedPeers {
    fn now(&self) -> Micros {
        self.places.clock(self.now)
    }

    fn next_event(&mut self) -> Option<NetworkEvent> {
        self.happenings.pop_front()
    }

    fn begin_attempt(&mut self, req: RequestId, server: ServerId, patience: Micros) {
        self.fetch_begins(req, server, patience);
    }

    fn cancel_attempt(&mut self, req: RequestId) {
        self.fetch_over(req, Outcome::Cancelled);
    }

    fn reject(&mut self, req: RequestId, after: Micros) {
        self.answer(req, Answer::Busy(after));
    }

    fn fail(&mut self, req: RequestId) {
        self.answer(req, Answer::Err);
    }

    fn migrate(&mut self, req: RequestId) {
        if self.sessions.get(&req).is_some_and(|s| s.at == SessionStage::Open) {
            self.fetch_over(req, Outcome::Cancelled);
            self.answer(req, Answer::Move);
        }
    }

    fn probe(&mut self, server: ServerId) {
        let Some(node) = self.places.node(server) else {
            return self.tell(NetworkEvent::ProbeEnded(server, Outcome::ConnectFailed));
        };
        let link = LinkId(self.next_link);
        self.next_link += 1;
        self.probes.insert(link, server);
        self.did.push(FromBalancer::Link { link, node, conn: None });
        self.did.push(FromBalancer::Probe(link));
        self.at(self.now + PROBE, TimerEvent::Probe(link));
    }

    fn watch_endpoints(&mut self) {
        if !std::mem::replace(&mut self.watching, true) {
            self.did.push(FromBalancer::Watch);
        }
    }

    fn set_timer(&mut self, after: Micros, token: u64) {
        self.at(self.now + after.max(1), TimerEvent::Module(token));
    }

    fn log(&mut self, line: &str) {
        self.said.push((self.now, line.to_owned()));
    }
}
