//! A day in real time: one thread moves the stage on by the monotonic clock and carries words between it and the
//! sockets.
//!
//! Before the day begins, the balancers start, and the connections that stand from before are opened; nodes and
//! discovery answer by themselves then, and the day's clock stands at zero.

use shorewharf_units::Micros;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ffi::OsString;
use std::io;
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

use serde_json::Value;
use tempfile::TempDir;
use thiserror::Error;

use super::addresses::{Addresses, BALANCERS_MOST, NODES_MOST};
use super::clients::Clients;
use super::clock::{Clock, Distribution, LATE, until};
use super::connection_log::ConnectionLog;
use super::datagram_proxy::DatagramProxy;
use super::directory::Directory;
use super::discovery::Discovery;
use super::fleet::{Fleet, Start};
use super::harness::{BalancerObservation, BalancerStatus, Commands, Harness, Observations};
use super::misbehaving_clients::{MisbehavingClients, UnknownKind};
pub use super::net::raise_descriptors;
use super::net::{Net, Ready, Role};
use super::network_faults::{NetworkFault, NetworkFaultKind, NetworkFaults};
use super::nodes::Nodes;
use super::process::{ProcessError, Program};
pub use super::report::Report;
use crate::day::Day;
use crate::edge::{
    Answer, BalancerId, ConnId, End, FromBalancer, LinkId, NodeId, NodeMessage, RequestLine, ToBalancer,
};

/// Balancers that are not ready by then have failed to start.
const READY: Micros = 30_000_000;
/// Connections from before the day that are not up by then are lost.
const STANDING: Micros = 40_000_000;
/// Connections from before the day that are opened at once; more would only wait in queues.
const AT_ONCE: usize = 128;
/// The loop turns at least this often, so that lateness is measured also while nothing happens.
const BEAT: Micros = 5_000;

/// How a day is run.
#[derive(Clone, Debug)]
pub struct Options {
    /// The program that is tested.
    pub program: Program,
    /// Where configurations and logs go; a folder that is removed at the end if none is given.
    pub folder: Option<PathBuf>,
    /// The settings that a balancer is told, as JSON text.
    pub settings: fn(&Day, BalancerId) -> String,
    /// What is broken between the processes.
    pub between: Vec<NetworkFault>,
    /// The balancers tell each other what they hold; the operator's file beside what has them do so.
    pub together: Option<String>,
    /// Further arguments for single balancers, by their places; none where it is shorter.
    pub own_args: Vec<Vec<OsString>>,
}

/// Why a day could not be run.
#[derive(Debug, Error)]
pub enum RunError {
    /// More parties than there are addresses for.
    #[error("{0} balancers and {1} nodes: at most {BALANCERS_MOST} and {NODES_MOST} have addresses")]
    TooMany(usize, usize),
    /// A kind of bad client that nobody knows.
    #[error(transparent)]
    Bad(#[from] UnknownKind),
    /// The settings are no JSON.
    #[error("settings of {0}: {1}")]
    Settings(String, serde_json::Error),
    /// A process could not be started or told something.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A balancer ended, or did not answer, before the day began.
    #[error("{0} did not become ready; its log ends: {1}")]
    NotReady(String, String),
    /// The system refused something that the driver needs.
    #[error("the driver's own sockets: {0}")]
    Io(#[from] io::Error),
}

/// Connections from before the day while they are opened.
#[derive(Default)]
struct Prelude {
    to_open: VecDeque<(BalancerId, RequestLine)>,
    out: BTreeSet<ConnId>,
    homes: BTreeMap<ConnId, NodeId>,
    up: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>,
    missed: usize,
}

struct Driver<'a, S: Harness> {
    stage: &'a mut S,
    day: &'a Day,
    options: &'a Options,
    clock: Clock,
    /// When the day began on the driver's clock; none before.
    start: Option<Micros>,
    net: Net,
    dir: Directory,
    book: ConnectionLog,
    fleet: Fleet,
    nodes: Nodes,
    clients: Clients,
    discovery: Discovery,
    bads: MisbehavingClients,
    between: NetworkFaults,
    notes: Option<DatagramProxy>,
    /// What discovery has said to those who don't hear it.
    unheard: Vec<(BalancerId, ToBalancer)>,
    /// What discovery knows of for a balancer that had no call to be answered then.
    untold: Vec<(BalancerId, ToBalancer)>,
    late: Distribution,
    handled: Distribution,
    /// What balancers have done and nobody has been told.
    did: Observations,
    said: Commands,
    ready: Vec<Ready>,
    /// The day's clock as the stage was told it last.
    told: Micros,
    /// The next full second of the day.
    second: Micros,
    /// When the last wait returned.
    woke: Micros,
    prelude: Prelude,
    syntax: u64,
}

/// Plays a day's stage in real time against the program.
pub fn play<S: Harness>(stage: &mut S, day: &Day, options: &Options) -> Result<Report, RunError> {
    let folder = match &options.folder {
        Some(folder) => (folder.clone(), None),
        None => {
            let made = TempDir::with_prefix("shorewharf-lab-")?;
            (made.path().to_owned(), Some(made))
        }
    };
    let (balancers, nodes) = (day.balancers.len() as u32, day.nodes.len() as u32);
    if balancers > BALANCERS_MOST || nodes > NODES_MOST {
        return Err(RunError::TooMany(day.balancers.len(), day.nodes.len()));
    }
    let mut net = Net::new()?;
    let addresses = Addresses::of_next_run();
    let seats = Nodes::new(&mut net, addresses, balancers, nodes)?;
    let dir = Directory::new(day, seats.addresses(balancers));
    let mut fleet = Fleet::new(options.program.clone(), day.limits.cores, addresses, balancers, &folder.0)?;
    let mut notes = None;
    if let Some(operator) = &options.together {
        let ends = (0..balancers).map(|who| fleet.address(BalancerId(who))).collect();
        let opened = DatagramProxy::open(&mut net, addresses, ends, day.seed)?;
        fleet.start_with(vec!["--operator".into(), opened.write(&folder.0, operator)?.into()]);
        notes = Some(opened);
    }
    fleet.start_each_with(&options.own_args);
    let mut driver = Driver {
        stage,
        day,
        options,
        clock: Clock::start(),
        start: None,
        book: ConnectionLog::new(day, &dir),
        dir,
        fleet,
        nodes: seats,
        clients: Clients::new(day.clients.line_every),
        discovery: Discovery::new(&mut net, addresses, balancers)?,
        bads: MisbehavingClients::new(day)?,
        between: NetworkFaults::new(&options.between),
        notes,
        unheard: Vec::new(),
        untold: Vec::new(),
        net,
        late: Distribution::default(),
        handled: Distribution::default(),
        did: Vec::new(),
        said: Vec::new(),
        ready: Vec::new(),
        told: 0,
        second: 0,
        woke: 0,
        prelude: Prelude::default(),
        syntax: 0,
    };
    driver.begin()?;
    driver.day()?;
    Ok(driver.end())
}

impl<S: Harness> Driver<'_, S> {
    /// Starts the balancers that begin with the day, and opens what stands.
    fn begin(&mut self) -> Result<(), RunError> {
        self.stage.advance(0, &mut self.said);
        self.deliver()?;
        let first: Vec<BalancerId> = (0..self.day.balancers.len() as u32)
            .map(BalancerId)
            .filter(|w| self.fleet.pid(*w).is_some())
            .collect();
        let limit = self.clock.now() + READY;
        while let Some(who) = first.iter().find(|w| !self.fleet.is_ready(**w)) {
            if self.clock.now() > limit || self.fleet.pid(*who).is_none() {
                let desk = self.fleet.desk(*who);
                return Err(RunError::NotReady(desk.name().to_owned(), desk.log_tail(5)));
            }
            self.turn()?;
        }
        self.prelude.to_open = self.stage.standing().into();
        let homes = self.prelude.to_open.iter().filter_map(|(_, ask)| Some((ask.conn, ask.home?)));
        self.prelude.homes = homes.collect();
        let limit = self.clock.now() + STANDING;
        while !self.prelude.out.is_empty() || !self.prelude.to_open.is_empty() {
            if self.clock.now() > limit {
                break;
            }
            while self.prelude.out.len() < AT_ONCE {
                let Some((who, ask)) = self.prelude.to_open.pop_front() else { break };
                self.prelude.out.insert(ask.conn);
                self.asks(who, &ask, ask.patience);
            }
            self.turn()?;
        }
        let up = std::mem::take(&mut self.prelude.up);
        let now = self.clock.now();
        for conn in self.prelude.homes.keys().filter(|conn| !up.contains_key(conn)) {
            self.prelude.missed += 1;
            self.clients.leaves(&mut self.net, now, *conn, End::Reset);
        }
        self.stage.carried(up);
        Ok(())
    }

    /// Plays the day.
    fn day(&mut self) -> Result<(), RunError> {
        let now = self.clock.now();
        self.start = Some(now);
        self.woke = now;
        let epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        self.dir.begins(epoch.as_secs_f64() * 1e3);
        self.nodes.day_begins();
        self.discovery.day_begins();
        // What was late before counts for nothing.
        (self.late, self.handled) = (Distribution::default(), Distribution::default());
        while !self.stage.is_over(self.time(self.clock.now())) {
            self.turn()?;
        }
        Ok(())
    }

    fn end(mut self) -> Report {
        let now = self.clock.now();
        let ended = self.time(now);
        self.bads.stop(&mut self.net);
        self.fleet.stop(&mut self.net, now);
        let worst = self.late.at(0.99).max(self.handled.at(0.99));
        let void = if worst > LATE {
            Some(format!(
                "the driver was late: p99 {:.1} ms, at most {:.0}",
                worst as f64 / 1e3,
                LATE as f64 / 1e3
            ))
        } else if self.net.was_short() {
            Some("the driver's descriptors ran out: a day holds two for each connection".to_owned())
        } else if self.syntax > 0 {
            Some(format!("{} first lines in a form no client sent", self.syntax))
        } else {
            None
        };
        let mut strange = self.discovery.strange;
        strange.append(&mut self.fleet.faults);
        Report {
            void,
            late: self.late,
            handled: self.handled,
            clients: self.clients.facts,
            bad: self.bads.report(),
            lives: self.fleet.lives,
            syntax: self.syntax,
            early: self.nodes.early,
            strange,
            missed: self.prelude.missed,
            notes: self.notes.map(|n| n.passed).unwrap_or_default(),
            ended,
        }
    }

    /// The day's clock; zero before it begins.
    fn time(&self, now: Micros) -> Micros {
        self.start.map_or(0, |start| now - start)
    }

    /// Does what is due, waits for what is next, and handles it.
    fn turn(&mut self) -> Result<(), RunError> {
        let now = self.clock.now();
        if self.start.is_some() {
            let time = self.time(now);
            if let Some(due) = self.stage.next_due().filter(|due| *due <= time) {
                self.late.record(time - due);
            }
            self.advance(now)?;
            if time >= self.second {
                self.glance(time);
            }
        }
        self.fleet.due(&mut self.net, now, &mut self.late);
        let (between, time) = (&self.between, self.time(now));
        self.discovery.due(&mut self.net, now, |who| between.is_deaf(time, who), &mut self.did);
        self.clients.due(&mut self.net, now, &mut self.late, &mut self.did);
        self.bad_due(now);
        self.tell()?;

        let now = self.clock.now();
        let next = self.next_due().min(now + BEAT);
        let mut ready = std::mem::take(&mut self.ready);
        self.net.wait(until(now, next), &mut ready)?;
        let woke = self.clock.now();
        let before = std::mem::replace(&mut self.woke, woke);
        if ready.is_empty() {
            self.late.record(woke.saturating_sub(next));
        } else {
            if self.start.is_some() {
                self.advance(woke)?;
            }
            ready.iter().for_each(|one| self.handle(*one));
            self.tell()?;
            // If the wait was none, what came may have come at any time since the last one.
            let since = if woke > now + 50 { woke } else { before };
            self.handled.record(self.clock.now() - since);
        }
        self.ready = ready;
        Ok(())
    }

    fn next_due(&self) -> Micros {
        let mut next = self.fleet.next_due().min(self.discovery.next_due()).min(self.clients.next_due());
        if let Some(start) = self.start {
            next = next.min(self.bads.next_due(start));
            next = next.min(self.stage.next_due().map_or(Micros::MAX, |due| start + due));
            let notes = self.notes.as_ref().and_then(DatagramProxy::next_due);
            let between = self.between.next_due().into_iter().chain(notes).min();
            next = next.min(between.map_or(Micros::MAX, |due| start + due));
        }
        next
    }

    fn bad_due(&mut self, now: Micros) {
        let Some(start) = self.start else { return };
        let (fleet, clients, count) = (&self.fleet, &self.clients, self.day.balancers.len() as u64);
        let lasts = now < start + self.day.length;
        self.bads.due(&mut self.net, now, start, lasts, &mut self.book, |number| {
            let who = BalancerId((number % count.max(1)) as u32);
            fleet.is_ready(who).then(|| (who, fleet.address(who), clients.any_of(who)))
        });
    }

    fn handle(&mut self, one: Ready) {
        let now = self.clock.now();
        let (net, did) = (&mut self.net, &mut self.did);
        match one.role {
            Role::Client(conn) => {
                self.clients.ready(net, now, conn, one, &self.book, did);
            }
            Role::Bad(id) => self.bads.ready(net, now, id, one, &mut self.book, did),
            Role::Link(link) => self.nodes.ready(net, link, one, &mut self.book, did),
            Role::Call(id) => self.discovery.ready(net, now, id, one, &self.dir, did),
            Role::Ping(who) => self.fleet.pinged(net, now, who, one, did),
            Role::NodeEar(who, node) => self.nodes.called(net, who, node, &mut self.book, did),
            Role::DirectorEar(who, moves) => self.discovery.called(net, now, (who, moves), &self.dir, did),
            Role::Exit(who, life) => self.fleet.exited(net, now, who, life, did),
            Role::DatagramProxy(to) => {
                let (time, between) = (self.start.map_or(0, |start| now - start), &self.between);
                self.notes.iter_mut().for_each(|n| n.ready(time, to, between));
            }
            Role::Load(_) | Role::Timer => {}
        }
    }

    /// Moves the stage on to now, and the sockets to where it is then: what is heard on them next is heard of a
    /// platform that both agree on, and told as of now, so that nothing is told before what was due earlier.
    fn advance(&mut self, now: Micros) -> Result<(), RunError> {
        self.told = self.time(now);
        self.stage.advance(self.told, &mut self.said);
        for node in (0..self.day.nodes.len() as u32).map(NodeId) {
            self.nodes.reach(&mut self.net, node, self.stage.reach(node), &mut self.did)?;
        }
        self.deliver()?;
        self.breaks()
    }

    /// Breaks and mends what lies between the processes, and lets arrive what has waited there.
    fn breaks(&mut self) -> Result<(), RunError> {
        let now = self.told;
        let mut arrives = Vec::new();
        while let Some(edge) = self.between.edge(now) {
            let b = self.between.get(edge.place).clone();
            match b.what {
                NetworkFaultKind::Stall => b.balancers.iter().for_each(|who| self.fleet.stall(*who, edge.on)),
                NetworkFaultKind::NewsLost if !edge.on => {
                    let is_deaf = |who| self.between.is_deaf(now, who);
                    let (still, heard) = self.unheard.drain(..).partition(|(who, _)| is_deaf(*who));
                    self.unheard = still;
                    arrives.extend::<Vec<_>>(heard);
                }
                NetworkFaultKind::NewsLost | NetworkFaultKind::Slow(_) => {}
                NetworkFaultKind::NotesLost
                | NetworkFaultKind::NotesDoubled
                | NetworkFaultKind::NotesLate(_) => {}
                NetworkFaultKind::Reset if edge.on => {
                    for (who, node) in pairs(&b) {
                        for link in self.nodes.reset(&mut self.net, node, who) {
                            self.stage.broke(now, who, link, &mut self.said);
                        }
                    }
                }
                NetworkFaultKind::Reset => {}
                NetworkFaultKind::Refused | NetworkFaultKind::Silent | NetworkFaultKind::AnswersLost => {
                    for (who, node) in pairs(&b) {
                        let reach = self.between.reach(now, who, node);
                        self.nodes.link(&mut self.net, (node, who), reach, &mut self.did, &mut arrives)?;
                    }
                }
            }
        }
        self.notes.iter_mut().for_each(|n| n.due(now));
        while let Some(arrived) = self.between.arrives(now) {
            arrives.push(arrived);
        }
        for (who, what) in arrives {
            // Who has given up its watch meanwhile is told nothing: the answer to its next call tells it.
            if matches!(what, ToBalancer::List { .. }) && !self.discovery.is_watched(who) {
                self.say(who, &what)?;
                self.untold.push((who, what));
            } else {
                self.carry(who, &what)?;
            }
        }
        self.deliver()
    }

    /// Whether what is said to a balancer is kept back by what is broken on its way.
    fn keeps_back(&mut self, who: BalancerId, what: &ToBalancer) -> bool {
        if self.start.is_none() {
            return false;
        }
        match what {
            ToBalancer::NodeSays(link, _) | ToBalancer::NodeEnded(link, _) => {
                let node = self.nodes.of(*link).map(|(node, _)| node);
                self.nodes.withholds(*link, what)
                    || node.is_some_and(|node| self.between.delays(self.told, node, *link, who, what))
            }
            ToBalancer::List { .. } | ToBalancer::ListFailed if self.between.is_deaf(self.told, who) => {
                self.unheard.push((who, what.clone()));
                true
            }
            ToBalancer::Kill => {
                // What is on its way to a process that is no more comes to nobody.
                self.unheard.retain(|(to, _)| *to != who);
                self.untold.retain(|(to, _)| *to != who);
                false
            }
            _ => false,
        }
    }

    fn glance(&mut self, time: Micros) {
        self.second = (time / 1_000_000 + 1) * 1_000_000;
        let count = self.day.balancers.len();
        let clients = self.clients.standing(count).into_iter().enumerate();
        let post = |(who, clients)| {
            let who = BalancerId(who as u32);
            BalancerStatus { runs: self.fleet.pid(who).is_some(), ready: self.fleet.is_ready(who), clients }
        };
        let posts: Vec<BalancerStatus> = clients.map(post).collect();
        self.stage.second(time, &posts);
    }

    /// Tells the stage what balancers have done.
    fn tell(&mut self) -> Result<(), RunError> {
        let did = std::mem::take(&mut self.did);
        let time = self.told;
        for (who, heard) in &did {
            match *heard {
                BalancerObservation::Observations(what) => {
                    self.syntax += u64::from(matches!(what, FromBalancer::Syntax(_)));
                    if self.start.is_some() || !self.before_the_day(*who, what) {
                        self.stage.did(time, *who, what, &mut self.said);
                    }
                }
                BalancerObservation::Saw(sight) if self.start.is_some() => self.stage.saw(time, *who, sight),
                BalancerObservation::Saw(_) => {}
            }
        }
        self.did = did;
        self.did.clear();
        self.deliver()
    }

    /// What concerns connections from before the day; true if it does.
    fn before_the_day(&mut self, who: BalancerId, what: FromBalancer) -> bool {
        match what {
            FromBalancer::Answer(conn, answer) => {
                self.prelude.out.remove(&conn);
                let link = if let Answer::Up(link) = answer { Some(link) } else { None };
                let node = link.and_then(|link| Some((link, self.nodes.of(link)?.0)));
                // Only its home knows it without a set-up.
                if let Some((link, node)) = node.filter(|n| self.prelude.homes.get(&conn) == Some(&n.1)) {
                    self.prelude.up.insert(conn, (who, link, node));
                }
            }
            FromBalancer::EndClient(conn, _) | FromBalancer::Refused(conn) => {
                self.prelude.out.remove(&conn);
                self.prelude.up.remove(&conn);
            }
            FromBalancer::Probe(link) => {
                self.nodes.says(&mut self.net, link, NodeMessage::Pong, &mut self.book);
            }
            FromBalancer::Link { .. }
            | FromBalancer::Forward { .. }
            | FromBalancer::EndLink(..)
            | FromBalancer::Pass(_) => {}
            _ => return false,
        }
        true
    }

    /// Carries what the stage says to the sockets.
    fn deliver(&mut self) -> Result<(), RunError> {
        let mut said = std::mem::take(&mut self.said);
        for (who, what) in said.drain(..) {
            if self.keeps_back(who, &what) {
                continue;
            }
            self.carry(who, &what)?;
        }
        // Nothing that is carried makes the stage speak before it is told.
        self.said = said;
        Ok(())
    }

    /// Says something to a balancer, and tells the stage: of a list, with all that came before and had nobody to hear it.
    fn carry(&mut self, who: BalancerId, what: &ToBalancer) -> Result<(), RunError> {
        self.say(who, what)?;
        if matches!(what, ToBalancer::List { .. }) {
            for (_, before) in self.untold.extract_if(.., |(to, _)| *to == who) {
                self.stage.carried_out(self.told, who, &before);
            }
        }
        self.stage.carried_out(self.told, who, what);
        Ok(())
    }

    fn asks(&mut self, who: BalancerId, ask: &RequestLine, left: Micros) {
        let line = self.book.open(who, ask, left, &self.dir);
        let to = (who, self.fleet.address(who));
        self.clients.comes(&mut self.net, to, (*ask, left), &line, &mut self.did);
    }

    fn say(&mut self, who: BalancerId, what: &ToBalancer) -> Result<(), RunError> {
        let now = self.clock.now();
        let net = &mut self.net;
        match *what {
            ToBalancer::Start { seed, ref known } => {
                let index = self.discovery.starts(who, known);
                let text = (self.options.settings)(self.day, who);
                let settings: Value = serde_json::from_str(&text)
                    .map_err(|e| RunError::Settings(Directory::balancer(who), e))?;
                let known = self.dir.listing(who, index, true, known);
                let discovery = self.discovery.address(who);
                self.fleet.start(net, now, who, &Start { seed, known, settings, discovery })?;
            }
            ToBalancer::Kill => self.fleet.kill(who),
            ToBalancer::Terminate => self.fleet.terminate(who),
            ToBalancer::Reload { moved } => {
                if moved {
                    self.discovery.moves(net, now, who)?;
                }
                self.fleet.reload(now, who, self.discovery.address(who))?;
            }
            ToBalancer::Asked { ask, left } => self.asks(who, &ask, left),
            ToBalancer::ClientEnded(conn, how) => self.clients.leaves(net, now, conn, how),
            ToBalancer::LinkFailed(link) => self.nodes.ends(net, link, End::Reset),
            ToBalancer::NodeSays(link, word) => self.nodes.says(net, link, word, &mut self.book),
            ToBalancer::NodeEnded(link, how) => {
                self.nodes.ends(net, link, how);
            }
            ToBalancer::List { full, ref entries } => {
                self.discovery.lists(net, now, who, full, entries, &self.dir);
            }
            ToBalancer::ListFailed => self.discovery.fails(net, who),
            // Clients send their lines by themselves, and links come up by the system's doing.
            ToBalancer::ClientLine(_) | ToBalancer::LinkUp(_) => {}
        }
        Ok(())
    }
}

/// All pairs that a break lies between.
fn pairs(b: &NetworkFault) -> impl Iterator<Item = (BalancerId, NodeId)> {
    b.balancers.iter().flat_map(|who| b.nodes.iter().map(|node| (*who, *node)))
}
