//! All peers together: what the loop has seen goes to the one concerned, and what the driver wants too.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

use mio::net::{TcpListener, TcpStream};
use shorewharf_decisions::interface::{Outcome, RequestId, ServerEntry, ServerId};
use shorewharf_driver::{Effects, NetworkEvent};
use shorewharf_lifecycle::{Answer, Cause};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_units::Micros;
use tracing::{error, info};

use crate::admin::counters::WorkerCounters;
use crate::admin::handler::{AdminHandler, AdminListener};
use crate::clients::open_ids::OpenIds;
use crate::config::proxy_settings::ProxySettings;
use crate::discovery::client::{DiscoveryClient, DiscoveryEvent};
use crate::discovery::update::Incoming;
use crate::discovery::wall_clock::WallClock;
use crate::event_loop::iteration::{LoopContext, TimerEvent};
use crate::event_loop::poll::{EventSource, Readiness};
use crate::fleet::gossip::GossipTransport;
use crate::handover::siblings::SiblingProcesses;
use crate::proxy::Proxy;
use crate::servers::disabled::{AdminChange, DisabledServer};
use crate::shutdown::{LEAVE_AFTER, ShutdownSchedule};
use crate::transport::connection::is_shortage;
use crate::workers::pool::{NeighbourListener, WorkerMessage, WorkerPool};

/// How long clients wait in the backlog before the next look for room.
const ACCEPT_RETRY_DELAY: Micros = 100_000;
/// The steps of a planned end.
const SHUTDOWN_STEP_INTERVAL: Micros = 100_000;
/// The longest wait for anything.
const MAX_WAIT: Micros = 1_000_000;
/// How often servers' message delays are reported, as on the simulator's wire.
const DELAY_REPORT_INTERVAL: Micros = 1_000_000;

/// Where a worker stands.
#[derive(Debug)]
pub struct WorkerContext {
    /// Where clients connect.
    pub listener: TcpListener,
    /// The other workers, if there are any.
    pub worker_pool: Option<WorkerPool>,
    /// The ids that clients have opened with, at all workers.
    pub open_ids: OpenIds,
    /// What is counted for operators here.
    pub counts: WorkerCounters,
    /// Where operators call, and what all workers count, at the one that leads.
    pub admin: Option<AdminListener>,
    /// Servers that are taken out by hand.
    pub taken_out: BTreeMap<ServerId, DisabledServer>,
    /// Other processes of this balancer.
    pub siblings: SiblingProcesses,
}

/// How often accepting is tried that failed for want of descriptors or memory, or was interrupted: mostly the next call
/// succeeds, and the loop tells of who waits only once.
const MAX_ACCEPT_TRIES: usize = 4;

fn accept_with_retries(listener: &TcpListener) -> io::Result<(TcpStream, SocketAddr)> {
    for _ in 1..MAX_ACCEPT_TRIES {
        match listener.accept() {
            Err(e) if is_transient(&e) || is_shortage(&e) => {}
            accepted => return accepted,
        }
    }
    listener.accept()
}

/// Whether an error of accept(2) is over with that call: the client has gone, or a signal came.
fn is_transient(e: &io::Error) -> bool {
    matches!(e.kind(), io::ErrorKind::ConnectionAborted | io::ErrorKind::Interrupted)
}

/// All peers, and the turn that they act in.
#[derive(Debug)]
pub struct EventLoop {
    pub(crate) turn: LoopContext,
    listener: TcpListener,
    /// The other workers, if there are any.
    pub(crate) worker_pool: Option<WorkerPool>,
    /// Clients may wait at the listener of a neighbour that stalls.
    can_help: bool,
    /// Clients may wait to be accepted: the last look did not show that none does.
    can_accept: bool,
    /// They are to be accepted in this turn, or the next where there are more than one turn takes.
    accepts: bool,
    /// The next look for room is set.
    waits_for_room: bool,
    pub(crate) serving: Proxy,
    pub(crate) discovery: DiscoveryClient,
    /// Where operators call.
    pub(crate) admin: Option<AdminHandler>,
    /// Other processes of this balancer.
    pub(crate) siblings: SiblingProcesses,
    /// Other balancers of the fleet, where they are told.
    pub(crate) gossip: Option<GossipTransport>,
    /// Standing connections are to go on in another process, in this turn.
    pub(crate) has_connections_to_transfer: bool,
    /// What is known is to be read out, or read on, in this turn.
    pub(crate) is_snapshot_due: bool,
    /// When SIGTERM came.
    pub(crate) shutdown_started_at: Option<Micros>,
    /// It has ended, with so many clients still here.
    done: Option<usize>,
}

impl EventLoop {
    /// Peers of a program that listens here and asks discovery there; nobody has come yet.
    pub fn new(turn: LoopContext, at: WorkerContext, discovery: SocketAddr, terms: ProxySettings) -> Self {
        let mut net = EventLoop {
            turn,
            listener: at.listener,
            worker_pool: at.worker_pool,
            can_help: false,
            can_accept: true,
            accepts: true,
            waits_for_room: false,
            serving: Proxy::new(terms, at.open_ids, at.counts),
            discovery: DiscoveryClient::new(discovery),
            admin: at.admin.map(AdminHandler::from),
            siblings: at.siblings,
            gossip: None,
            has_connections_to_transfer: false,
            is_snapshot_due: false,
            shutdown_started_at: None,
            done: None,
        };
        net.turn.overload.set_aim(net.serving.terms.message_aim);
        net.turn.after(DELAY_REPORT_INTERVAL, TimerEvent::Delays);
        for (server, out) in at.taken_out {
            // Before anything is listed: the first list is told as it stands with them out.
            net.serving.servers.change(AdminChange::Disabled(server, out));
        }
        net.sync_shared_folder();
        // What the old process holds is taken off the limit from the start.
        net.on_sibling_ready(EventSource::Predecessor);
        net
    }

    /// The list that the configuration knows: whole, though it may be old.
    pub fn list_known(&mut self, known: &EndpointList) -> Vec<ServerEntry> {
        self.discovery.knows(known.index);
        let terms = &self.serving.terms;
        let known = Incoming::of(known, &terms.names, terms.most_servers);
        self.serving.servers.take_quietly(known, terms.most_servers)
    }

    /// A turn begins at this time; time never goes back.
    pub fn begin(&mut self, now: Micros) {
        self.turn.begin(now);
    }

    /// Puts another configuration's terms in force; connections and the list stay.
    pub fn take_terms(&mut self, terms: ProxySettings, discovery: SocketAddr) {
        self.turn.overload.set_aim(terms.message_aim);
        self.serving.take_terms(terms);
        let news = self.discovery.moves(&mut self.turn, discovery);
        self.news(news);
    }

    /// What the loop has seen of a connection goes to whom it belongs to.
    pub fn seen(&mut self, owner: EventSource, ready: Readiness) {
        let turn = &mut self.turn;
        match owner {
            EventSource::Session(id) => self.serving.on_session_ready(turn, id, ready),
            EventSource::Attempt(id) => self.serving.on_attempt_ready(turn, id, ready),
            EventSource::Probe(number) => self.serving.probes.ready(turn, number, ready),
            EventSource::DiscoveryClient => {
                let news = self.discovery.ready(turn, &self.serving.terms, ready);
                self.news(news);
            }
            // Those who are here come first: what they do may make room, and the module should know of it.
            EventSource::Listener => (self.can_accept, self.accepts) = (true, true),
            EventSource::Neighbour => (self.can_help, self.accepts) = (true, true),
            // Orders are not the peers', and who asks for what is known asks the worker.
            EventSource::Signals | EventSource::WorkerMessages | EventSource::Successors => {}
            EventSource::Successor(_) | EventSource::Predecessor => self.on_sibling_ready(owner),
            EventSource::Gossip => self.gossip.iter_mut().for_each(|t| t.ready(turn.now)),
            EventSource::AdminListener | EventSource::AdminConnection(_) => {
                self.admin.iter_mut().for_each(|d| d.server.on_ready(&mut self.turn, owner, ready));
            }
        }
    }

    /// What is to be done at the end of a turn, whatever has come. `heard` is called after each step, so that the
    /// module hears of one, and what it wants is done, before the next: a client that is accepted must not be placed
    /// by what was so before the one ahead of it.
    pub fn finish(&mut self, mut heard: impl FnMut(&mut Self)) {
        for id in self.serving.take_again() {
            self.serving.goes_on(&mut self.turn, id);
            heard(self);
        }
        if self.discovery.is_busy() {
            self.seen(EventSource::DiscoveryClient, Readiness::default());
            heard(self);
        }
        if self.has_sibling_work() {
            self.on_sibling_ready(EventSource::Predecessor);
            heard(self);
        }
        if self.gossip.as_ref().is_some_and(GossipTransport::is_busy) {
            self.seen(EventSource::Gossip, Readiness::default());
        }
        while let Some(due) = self.turn.timers.due() {
            self.due(due);
            heard(self);
        }
        if std::mem::take(&mut self.accepts) {
            self.accept(heard);
        }
        if self.serving.is_short() {
            self.accept_again();
        }
        self.look_round();
    }

    fn due(&mut self, due: TimerEvent) {
        let turn = &mut self.turn;
        match due {
            TimerEvent::Module(token) => turn.emit(NetworkEvent::TimerFired(token)),
            TimerEvent::Session(id) => self.serving.on_session_timer(turn, id),
            TimerEvent::Attempt(id) => self.serving.on_attempt_timer(turn, id),
            TimerEvent::Dial(id) => self.serving.dial_again(turn, id),
            TimerEvent::Probe(number) => self.serving.probes.alarmed(turn, number),
            TimerEvent::DiscoveryClient => {
                let news = self.discovery.alarmed(turn);
                self.news(news);
            }
            TimerEvent::Accept => {
                self.accepts = self.can_accept || self.can_help;
                self.waits_for_room = false;
                if self.serving.has_room() {
                    self.serving.note_short(false);
                }
            }
            TimerEvent::LogRateLimiter => self.serving.complaints_due(turn.now),
            TimerEvent::Leave => self.leave(),
            TimerEvent::Delays => {
                // What is still to be read would look like a delay.
                if turn.now >= turn.judges_from() {
                    self.serving.report_delays(turn);
                }
                turn.after(DELAY_REPORT_INTERVAL, TimerEvent::Delays);
            }
            TimerEvent::Gossip => self.gossip.iter_mut().for_each(|t| t.alarmed(turn)),
            TimerEvent::SyncSharedFolder => self.sync_shared_folder(),
            TimerEvent::AnnounceDescriptors => self.announce_descriptors(),
            TimerEvent::Leaves => self.serving.leave_some(turn),
            TimerEvent::AdminConnection(number) => {
                self.admin.iter_mut().for_each(|d| d.server.on_timer(turn, number))
            }
            TimerEvent::Snapshot => self.is_snapshot_due = true,
            TimerEvent::AcceptAdmin => self
                .admin
                .iter_mut()
                .for_each(|d| d.server.on_ready(turn, EventSource::AdminListener, Readiness::default())),
        }
    }

    /// The turn has ended at this time: when there is something to do again though nothing comes, which may be now.
    pub fn ends(&mut self, now: Micros) -> Micros {
        self.turn.overload.turn(self.turn.now, now, self.accepts);
        self.serving.note_held();
        let calls = self.admin.as_ref().is_some_and(|d| d.server.has_backlog());
        let next = match self.serving.is_busy()
            || self.discovery.is_busy()
            || self.accepts
            || calls
            || self.has_sibling_work()
            || self.gossip.as_ref().is_some_and(GossipTransport::is_busy)
        {
            true => self.turn.now,
            false => self.turn.timers.next().unwrap_or(self.turn.now + MAX_WAIT),
        };
        self.turn.ends(next);
        if let Some(crew) = &self.worker_pool {
            crew.publish_state(self.serving.clients(), next);
        }
        next
    }

    /// Everybody has left, or so many were here still: the loop ends.
    pub fn is_done(&self) -> Option<usize> {
        self.done
    }

    /// Those who wait at the listener are looked for again.
    pub(crate) fn accepts_again(&mut self) {
        (self.can_accept, self.accepts) = (true, true);
    }

    fn accept(&mut self, mut heard: impl FnMut(&mut Self)) {
        if self.shutdown_started_at.is_some() && self.serving.has_successor {
            // Those who wait are the other process's, which has the same listener.
            return;
        }
        for _ in 0..self.turn.overload.accepts() {
            if !self.can_accept && !self.can_help {
                break;
            }
            // DisabledServer of descriptors, clients wait in the backlog.
            if !self.serving.may_accept() {
                self.serving.note_short(true);
                return self.accept_again();
            }
            match self.next_client() {
                Ok((stream, from)) => {
                    self.client_comes(stream, from);
                    heard(self);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    (self.can_accept, self.can_help) = (false, false);
                }
                Err(e) if is_shortage(&e) => {
                    self.serving.note_short(true);
                    return self.accept_again();
                }
                // The client gave up while it waited, or a signal came; the next one may be fine.
                Err(e) if is_transient(&e) => {}
                // An error that stays must not become a busy loop.
                Err(e) => {
                    error!(event = "accept-failed", error = %e);
                    return self.accept_again();
                }
            }
        }
        // A flood must not keep the loop busy with turning clients away.
        match self.serving.has_room() {
            true => self.accepts = self.can_accept || self.can_help,
            false => self.accept_again(),
        }
    }

    fn accept_again(&mut self) {
        if !std::mem::replace(&mut self.waits_for_room, true) {
            self.turn.after(ACCEPT_RETRY_DELAY, TimerEvent::Accept);
        }
    }

    /// Discovery's news, for all workers.
    fn news(&mut self, news: Vec<DiscoveryEvent>) {
        for news in news {
            if let Some(crew) = &self.worker_pool {
                crew.broadcast(|_| WorkerMessage::DiscoveryEvent(news.clone()));
            }
            self.listed(news);
        }
    }

    fn listed(&mut self, news: DiscoveryEvent) {
        let event = match news {
            DiscoveryEvent::List(list) => {
                let full = list.snapshot;
                let entries = self.serving.take_list(list, WallClock::read(self.turn.now));
                NetworkEvent::EndpointListReceived { full, cached: false, entries }
            }
            DiscoveryEvent::Failed => NetworkEvent::DiscoveryFailed,
        };
        self.turn.emit(event);
    }

    /// The planned end begins.
    pub fn stop_soon(&mut self) {
        if self.shutdown_started_at.is_none() {
            self.shutdown_started_at = Some(self.turn.now);
            self.receive_from_successors();
            let (sessions, waiting) = self.serving.close();
            let worker = self.worker_pool.as_ref().map(WorkerPool::index);
            let successor = self.serving.has_successor;
            info!(event = "leaving", worker, sessions, waiting, successor);
            self.turn.after(SHUTDOWN_STEP_INTERVAL, TimerEvent::Leave);
            self.has_connections_to_transfer = successor;
        }
    }

    /// The steps of a planned end: accept and answer, move everybody, answer who still waits, go.
    fn leave(&mut self) {
        let Some(since) = self.shutdown_started_at.map(|at| self.turn.now - at) else { return };
        let give_up = &self.serving.terms.give_up;
        let has_successor = self.serving.has_successor;
        let shutdown = if has_successor {
            ShutdownSchedule::with_successor(give_up)
        } else {
            ShutdownSchedule::new(give_up)
        };
        if since >= shutdown.answers {
            self.serving.answer_waiting(&mut self.turn, since >= shutdown.last_call);
        }
        if since >= shutdown.move_from {
            self.serving.move_some(
                &mut self.turn,
                shutdown.move_until.saturating_sub(since) / SHUTDOWN_STEP_INTERVAL,
            );
        }
        self.has_connections_to_transfer = has_successor;
        // What other workers have given before they ended is theirs no more.
        while let Some(order) = self.next_worker_message() {
            self.on_worker_message(order);
        }
        let waits = self.connections_in_transit() > 0
            || (has_successor
                && self
                    .worker_pool
                    .as_ref()
                    .is_some_and(|crew| crew.is_primary() && !crew.have_others_ended()));
        let clients = self.serving.clients() + usize::from(waits);
        let over = clients == 0 && (has_successor || since >= LEAVE_AFTER + SHUTDOWN_STEP_INTERVAL);
        // Whoever waits at the listener would be cut off with it.
        if since >= shutdown.last || (over && (has_successor || !self.more_come())) {
            self.serving.log_totals();
            self.done = Some(clients);
        }
        self.turn.after(SHUTDOWN_STEP_INTERVAL, TimerEvent::Leave);
    }
}

impl EventLoop {
    /// Takes in a client that waits at the listener; false where none does. Others are accepted in this turn and the next.
    /// Where accepting fails, someone may wait all the same.
    fn more_come(&mut self) -> bool {
        self.accepts_again();
        match self.next_client() {
            Ok((stream, from)) => {
                self.client_comes(stream, from);
                true
            }
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Other workers.
impl EventLoop {
    /// The next order, to be carried out by [`EventLoop::order`] unless it is a configuration.
    pub fn next_worker_message(&self) -> Option<WorkerMessage> {
        self.worker_pool.as_ref().and_then(WorkerPool::next_message)
    }

    /// Carries out what another worker wants.
    pub fn on_worker_message(&mut self, order: WorkerMessage) {
        match order {
            WorkerMessage::ForwardedClient(stream, from) => {
                self.serving.client_comes(&mut self.turn, stream, from)
            }
            WorkerMessage::DiscoveryEvent(news) => self.listed(news),
            WorkerMessage::WatchEndpoints => self.watch_endpoints(),
            WorkerMessage::RequestProbe(other, server) => self.check_on(server, Some(other)),
            WorkerMessage::ServerChanged(change) => self.apply_change(change),
            WorkerMessage::DescriptorsHeldBySiblings(descriptors) => self.serving.others_hold(descriptors),
            WorkerMessage::SuccessorServing(has) => self.set_successor_serving(has),
            WorkerMessage::ProbeEnded(server, outcome) => {
                self.turn.emit(NetworkEvent::ProbeEnded(server, outcome))
            }
            WorkerMessage::Shutdown => self.stop_soon(),
            WorkerMessage::TransferToSuccessor(connection) => self.queue_for_successor(*connection),
            WorkerMessage::AdoptConnection(connection) => self.adopt_connection(*connection),
            WorkerMessage::Config(_) => {}
        }
    }

    /// Gives all others an order.
    pub fn broadcast(&self, order: impl Fn(usize) -> WorkerMessage) {
        if let Some(crew) = &self.worker_pool {
            crew.broadcast(order);
        }
    }

    fn check_on(&mut self, server: ServerId, other: Option<usize>) {
        let address = self.serving.servers.address(server).filter(|_| self.serving.has_room());
        self.serving.probes.begin(&mut self.turn, server, address, other);
    }

    /// The next client that waits here, or at a neighbour that stalls.
    fn next_client(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        if self.can_accept {
            match accept_with_retries(&self.listener) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.can_accept = false,
                accepted => return accepted,
            }
        }
        match self.worker_pool.as_ref().and_then(WorkerPool::neighbour_listener) {
            Some(listener) if self.can_help => accept_with_retries(listener),
            _ => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Takes in a client that has connected, unless another worker has far fewer.
    fn client_comes(&mut self, stream: TcpStream, from: SocketAddr) {
        let better = self
            .worker_pool
            .as_ref()
            .and_then(|crew| Some((crew, crew.less_loaded_worker(self.turn.now, self.serving.clients())?)));
        let left = match better {
            Some((crew, who)) => crew.send(who, WorkerMessage::ForwardedClient(stream, from)).err(),
            None => Some(WorkerMessage::ForwardedClient(stream, from)),
        };
        if let Some(WorkerMessage::ForwardedClient(stream, from)) = left {
            self.serving.client_comes(&mut self.turn, stream, from);
        }
    }

    /// Tells other workers of their probes, and looks after the neighbour.
    fn look_round(&mut self) {
        let Some(crew) = &mut self.worker_pool else { return };
        for (who, server, outcome) in self.serving.probes.take_for_others() {
            // Who has ended needs nothing.
            let _ = crew.send(who, WorkerMessage::ProbeEnded(server, outcome));
        }
        // When the whole machine stood still, everybody seems to have stalled.
        if self.turn.now < self.turn.judges_from() {
            return;
        }
        let poller = &self.turn.poller;
        let (helps, done) = match crew.check_neighbour(self.turn.now) {
            Some(NeighbourListener::Serve(listener)) => (true, poller.help(listener)),
            Some(NeighbourListener::Release(listener)) => (false, poller.help_no_more(listener)),
            None => return,
        };
        // Those who wait there already are no news to the loop.
        (self.can_help, self.accepts) = (helps, self.accepts || helps);
        if let Err(e) = done {
            error!(event = "cannot-help", error = %e);
        }
    }
}

impl Effects for EventLoop {
    fn now(&self) -> Micros {
        self.turn.now
    }

    fn next_event(&mut self) -> Option<NetworkEvent> {
        self.turn.next()
    }

    fn begin_attempt(&mut self, req: RequestId, server: ServerId, patience: Micros) {
        self.serving.begin_attempt(&mut self.turn, req, server, patience);
    }

    fn cancel_attempt(&mut self, req: RequestId) {
        self.serving.end_attempt(&mut self.turn, req, Outcome::Cancelled);
    }

    fn reject(&mut self, req: RequestId, after: Micros) {
        self.serving.answer(&mut self.turn, req, Answer::Refused { after }, Cause::Decision);
    }

    fn fail(&mut self, req: RequestId) {
        self.serving.answer(&mut self.turn, req, Answer::Failed, Cause::Decision);
    }

    fn migrate(&mut self, req: RequestId) {
        self.serving.asks_to_move(&mut self.turn, req);
    }

    fn probe(&mut self, server: ServerId) {
        match &self.worker_pool {
            Some(crew) if !crew.is_primary() => {
                if crew.send(0, WorkerMessage::RequestProbe(crew.index(), server)).is_err() {
                    self.turn.emit(NetworkEvent::ProbeEnded(server, Outcome::ConnectFailed));
                }
            }
            _ => self.check_on(server, None),
        }
    }

    fn watch_endpoints(&mut self) {
        match &self.worker_pool {
            // Without the one that leads, the whole process is about to end.
            Some(crew) if !crew.is_primary() => drop(crew.send(0, WorkerMessage::WatchEndpoints)),
            _ => {
                let news = self.discovery.watch(&mut self.turn);
                self.news(news);
            }
        }
    }

    fn set_timer(&mut self, after: Micros, token: u64) {
        self.turn.after(after, TimerEvent::Module(token));
    }

    fn log(&mut self, line: &str) {
        info!(event = "module", text = line);
    }
}
