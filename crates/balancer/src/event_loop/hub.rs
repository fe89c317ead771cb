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

use crate::admin::counters::Counts;
use crate::admin::handler::{Desk, Opened};
use crate::clients::open_ids::OpenIds;
use crate::config::proxy_settings::Terms;
use crate::discovery::client::{DiscoveryClient, DiscoveryEvent};
use crate::discovery::update::Incoming;
use crate::discovery::wall_clock::WallClock;
use crate::event_loop::iteration::{LoopContext, TimerEvent};
use crate::event_loop::poll::{EventSource, Readiness};
use crate::fleet::gossip::Tells;
use crate::handover::siblings::Kin;
use crate::proxy::Proxy;
use crate::servers::disabled::{AdminChange, DisabledServer};
use crate::shutdown::{LEAVE_AFTER, ShutdownSchedule};
use crate::transport::connection::is_shortage;
use crate::workers::pool::{Crew, Help, Order};

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
    pub workers: Option<Crew>,
    /// The ids that clients have opened with, at all workers.
    pub open_ids: OpenIds,
    /// What is counted for operators here.
    pub counts: Counts,
    /// Where operators call, and what all workers count, at the one that leads.
    pub admin: Option<Opened>,
    /// Servers that are taken out by hand.
    pub disabled_servers: BTreeMap<ServerId, DisabledServer>,
    /// Other processes of this balancer.
    pub siblings: Kin,
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
    pub(crate) context: LoopContext,
    listener: TcpListener,
    /// The other workers, if there are any.
    pub(crate) workers: Option<Crew>,
    /// Clients may wait at the listener of a neighbour that stalls.
    can_accept_for_neighbour: bool,
    /// Clients may wait to be accepted: the last look did not show that none does.
    can_accept: bool,
    /// They are to be accepted in this turn, or the next where there are more than one turn takes.
    is_accept_due: bool,
    /// The next look for room is set.
    is_accept_retry_scheduled: bool,
    pub(crate) proxy: Proxy,
    pub(crate) discovery: DiscoveryClient,
    /// Where operators call.
    pub(crate) admin: Option<Desk>,
    /// Other processes of this balancer.
    pub(crate) siblings: Kin,
    /// Other balancers of the fleet, where they are told.
    pub(crate) gossip: Option<Tells>,
    /// Standing connections are to go on in another process, in this turn.
    pub(crate) is_handover_due: bool,
    /// What is known is to be read out, or read on, in this turn.
    pub(crate) is_snapshot_due: bool,
    /// When SIGTERM came.
    pub(crate) shutdown_started_at: Option<Micros>,
    /// It has ended, with so many clients still here.
    clients_at_end: Option<usize>,
}

impl EventLoop {
    /// Peers of a program that listens here and asks discovery there; nobody has come yet.
    pub fn new(context: LoopContext, at: WorkerContext, discovery: SocketAddr, terms: Terms) -> Self {
        let mut event_loop = EventLoop {
            context: context,
            listener: at.listener,
            workers: at.workers,
            can_accept_for_neighbour: false,
            can_accept: true,
            is_accept_due: true,
            is_accept_retry_scheduled: false,
            proxy: Proxy::new(terms, at.open_ids, at.counts),
            discovery: DiscoveryClient::new(discovery),
            admin: at.admin.map(Desk::from),
            siblings: at.siblings,
            gossip: None,
            is_handover_due: false,
            is_snapshot_due: false,
            shutdown_started_at: None,
            clients_at_end: None,
        };
        event_loop.context.overload.set_aim(event_loop.proxy.settings.message_aim);
        event_loop.context.schedule_after(DELAY_REPORT_INTERVAL, TimerEvent::ReportDelays);
        for (server, out) in at.disabled_servers {
            // Before anything is listed: the first list is told as it stands with them out.
            event_loop.proxy.servers.apply_admin_change(AdminChange::Disabled(server, out));
        }
        event_loop.read_shared_folder();
        // What the old process holds is taken off the limit from the start.
        event_loop.on_sibling_ready(EventSource::Predecessor);
        event_loop
    }

    /// The list that the configuration knows: whole, though it may be old.
    pub fn restore_endpoints(&mut self, known: &EndpointList) -> Vec<ServerEntry> {
        self.discovery.knows(known.index);
        let terms = &self.proxy.settings;
        let known = Incoming::of(known, &terms.names, terms.most_servers);
        self.proxy.servers.load_initial_list(known, terms.most_servers)
    }

    /// A turn begins at this time; time never goes back.
    pub fn begin_iteration(&mut self, now: Micros) {
        self.context.begin_iteration(now);
    }

    /// Puts another configuration's terms in force; connections and the list stay.
    pub fn update_settings(&mut self, terms: Terms, discovery: SocketAddr) {
        self.context.overload.set_aim(terms.message_aim);
        self.proxy.update_settings(terms);
        let news = self.discovery.moves(&mut self.context, discovery);
        self.on_discovery_events(news);
    }

    /// What the loop has seen of a connection goes to whom it belongs to.
    pub fn dispatch_readiness(&mut self, owner: EventSource, ready: Readiness) {
        let context = &mut self.context;
        match owner {
            EventSource::Session(id) => self.proxy.on_session_ready(context, id, ready),
            EventSource::Attempt(id) => self.proxy.on_attempt_ready(context, id, ready),
            EventSource::Probe(number) => self.proxy.probes.on_ready(context, number, ready),
            EventSource::DiscoveryClient => {
                let news = self.discovery.ready(context, &self.proxy.settings, ready);
                self.on_discovery_events(news);
            }
            // Those who are here come first: what they do may make room, and the module should know of it.
            EventSource::Listener => (self.can_accept, self.is_accept_due) = (true, true),
            EventSource::NeighbourListener => {
                (self.can_accept_for_neighbour, self.is_accept_due) = (true, true)
            }
            // Orders are not the peers', and who asks for what is known asks the worker.
            EventSource::Signals | EventSource::WorkerMessages | EventSource::HandoverListener => {}
            EventSource::Successor(_) | EventSource::Predecessor => self.on_sibling_ready(owner),
            EventSource::Gossip => self.gossip.iter_mut().for_each(|t| t.ready(context.now)),
            EventSource::AdminListener | EventSource::AdminConnection(_) => {
                self.admin.iter_mut().for_each(|d| d.door.ready(&mut self.context, owner, ready));
            }
        }
    }

    /// What is to be done at the end of a turn, whatever has come. `heard` is called after each step, so that the
    /// module hears of one, and what it wants is done, before the next: a client that is accepted must not be placed
    /// by what was so before the one ahead of it.
    pub fn finish_iteration(&mut self, mut heard: impl FnMut(&mut Self)) {
        for id in self.proxy.take_unfinished() {
            self.proxy.resume(&mut self.context, id);
            heard(self);
        }
        if self.discovery.is_busy() {
            self.dispatch_readiness(EventSource::DiscoveryClient, Readiness::default());
            heard(self);
        }
        if self.has_sibling_work() {
            self.on_sibling_ready(EventSource::Predecessor);
            heard(self);
        }
        if self.gossip.as_ref().is_some_and(Tells::is_busy) {
            self.dispatch_readiness(EventSource::Gossip, Readiness::default());
        }
        while let Some(due) = self.context.timers.pop_due() {
            self.on_timer(due);
            heard(self);
        }
        if std::mem::take(&mut self.is_accept_due) {
            self.accept_clients(heard);
        }
        if self.proxy.has_descriptor_shortage() {
            self.schedule_accept_retry();
        }
        self.run_housekeeping();
    }

    fn on_timer(&mut self, due: TimerEvent) {
        let context = &mut self.context;
        match due {
            TimerEvent::Driver(token) => context.emit(NetworkEvent::TimerFired(token)),
            TimerEvent::Session(id) => self.proxy.on_session_timer(context, id),
            TimerEvent::Attempt(id) => self.proxy.on_attempt_timer(context, id),
            TimerEvent::RetryDial(id) => self.proxy.retry_dial(context, id),
            TimerEvent::Probe(number) => self.proxy.probes.on_timer(context, number),
            TimerEvent::DiscoveryClient => {
                let news = self.discovery.alarmed(context);
                self.on_discovery_events(news);
            }
            TimerEvent::Accept => {
                self.is_accept_due = self.can_accept || self.can_accept_for_neighbour;
                self.is_accept_retry_scheduled = false;
                if self.proxy.has_capacity() {
                    self.proxy.set_descriptor_shortage(false);
                }
            }
            TimerEvent::LogRateLimiter => self.proxy.flush_log_limiter(context.now),
            TimerEvent::ShutdownStep => self.on_shutdown_step(),
            TimerEvent::ReportDelays => {
                // What is still to be read would look like a delay.
                if context.now >= context.earliest_timeout() {
                    self.proxy.report_delays(context);
                }
                context.schedule_after(DELAY_REPORT_INTERVAL, TimerEvent::ReportDelays);
            }
            TimerEvent::Gossip => self.gossip.iter_mut().for_each(|t| t.alarmed(context)),
            TimerEvent::ReadSharedFolder => self.read_shared_folder(),
            TimerEvent::NotifySuccessors => self.notify_successors(),
            TimerEvent::MigrationBatch => self.proxy.run_migration_batch(context),
            TimerEvent::AdminConnection(number) => {
                self.admin.iter_mut().for_each(|d| d.door.alarmed(context, number))
            }
            TimerEvent::Snapshot => self.is_snapshot_due = true,
            TimerEvent::AdminAccept => self
                .admin
                .iter_mut()
                .for_each(|d| d.door.ready(context, EventSource::AdminListener, Readiness::default())),
        }
    }

    /// The turn has ended at this time: when there is something to do again though nothing comes, which may be now.
    pub fn end_iteration(&mut self, now: Micros) -> Micros {
        self.context.overload.record_iteration(self.context.now, now, self.is_accept_due);
        self.proxy.publish_gauges();
        let calls = self.admin.as_ref().is_some_and(|d| d.door.is_busy());
        let next = match self.proxy.has_unfinished()
            || self.discovery.is_busy()
            || self.is_accept_due
            || calls
            || self.has_sibling_work()
            || self.gossip.as_ref().is_some_and(Tells::is_busy)
        {
            true => self.context.now,
            false => self.context.timers.next_deadline().unwrap_or(self.context.now + MAX_WAIT),
        };
        self.context.end_iteration(next);
        if let Some(crew) = &self.workers {
            crew.turns(self.proxy.client_count(), next);
        }
        next
    }

    /// Everybody has left, or so many were here still: the loop ends.
    pub fn is_done(&self) -> Option<usize> {
        self.clients_at_end
    }

    /// Those who wait at the listener are looked for again.
    pub(crate) fn resume_accepting(&mut self) {
        (self.can_accept, self.is_accept_due) = (true, true);
    }

    fn accept_clients(&mut self, mut heard: impl FnMut(&mut Self)) {
        if self.shutdown_started_at.is_some() && self.proxy.has_successor {
            // Those who wait are the other process's, which has the same listener.
            return;
        }
        for _ in 0..self.context.overload.accepts() {
            if !self.can_accept && !self.can_accept_for_neighbour {
                break;
            }
            // DisabledServer of descriptors, clients wait in the backlog.
            if !self.proxy.can_accept() {
                self.proxy.set_descriptor_shortage(true);
                return self.schedule_accept_retry();
            }
            match self.accept_next() {
                Ok((stream, from)) => {
                    self.assign_client(stream, from);
                    heard(self);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    (self.can_accept, self.can_accept_for_neighbour) = (false, false);
                }
                Err(e) if is_shortage(&e) => {
                    self.proxy.set_descriptor_shortage(true);
                    return self.schedule_accept_retry();
                }
                // The client gave up while it waited, or a signal came; the next one may be fine.
                Err(e) if is_transient(&e) => {}
                // An error that stays must not become a busy loop.
                Err(e) => {
                    error!(event = "accept-failed", error = %e);
                    return self.schedule_accept_retry();
                }
            }
        }
        // A flood must not keep the loop busy with turning clients away.
        match self.proxy.has_capacity() {
            true => self.is_accept_due = self.can_accept || self.can_accept_for_neighbour,
            false => self.schedule_accept_retry(),
        }
    }

    fn schedule_accept_retry(&mut self) {
        if !std::mem::replace(&mut self.is_accept_retry_scheduled, true) {
            self.context.schedule_after(ACCEPT_RETRY_DELAY, TimerEvent::Accept);
        }
    }

    /// Discovery's news, for all workers.
    fn on_discovery_events(&mut self, news: Vec<DiscoveryEvent>) {
        for news in news {
            if let Some(crew) = &self.workers {
                crew.tell_others(|_| Order::DiscoveryEvent(news.clone()));
            }
            self.apply_discovery_event(news);
        }
    }

    fn apply_discovery_event(&mut self, news: DiscoveryEvent) {
        let event = match news {
            DiscoveryEvent::List(list) => {
                let full = list.snapshot;
                let entries = self.proxy.apply_endpoint_list(list, WallClock::read(self.context.now));
                NetworkEvent::EndpointListReceived { full, cached: false, entries }
            }
            DiscoveryEvent::Failed => NetworkEvent::DiscoveryFailed,
        };
        self.context.emit(event);
    }

    /// The planned end begins.
    pub fn begin_shutdown(&mut self) {
        if self.shutdown_started_at.is_none() {
            self.shutdown_started_at = Some(self.context.now);
            self.poll_successors();
            let (sessions, waiting) = self.proxy.begin_shutdown();
            let worker = self.workers.as_ref().map(Crew::me);
            let successor = self.proxy.has_successor;
            info!(event = "leaving", worker, sessions, waiting, successor);
            self.context.schedule_after(SHUTDOWN_STEP_INTERVAL, TimerEvent::ShutdownStep);
            self.is_handover_due = successor;
        }
    }

    /// The steps of a planned end: accept and answer, move everybody, answer who still waits, go.
    fn on_shutdown_step(&mut self) {
        let Some(since) = self.shutdown_started_at.map(|at| self.context.now - at) else { return };
        let give_up = &self.proxy.settings.give_up;
        let has_successor = self.proxy.has_successor;
        let shutdown = if has_successor {
            ShutdownSchedule::with_successor(give_up)
        } else {
            ShutdownSchedule::new(give_up)
        };
        if since >= shutdown.answers {
            self.proxy.answer_waiting_clients(&mut self.context, since >= shutdown.last_call);
        }
        if since >= shutdown.move_from {
            self.proxy.migrate_batch(
                &mut self.context,
                shutdown.move_until.saturating_sub(since) / SHUTDOWN_STEP_INTERVAL,
            );
        }
        self.is_handover_due = has_successor;
        // What other workers have given before they ended is theirs no more.
        while let Some(order) = self.next_message() {
            self.on_message(order);
        }
        let waits = self.connections_in_transfer() > 0
            || (has_successor && self.workers.as_ref().is_some_and(|crew| crew.leads() && !crew.is_alone()));
        let clients = self.proxy.client_count() + usize::from(waits);
        let over = clients == 0 && (has_successor || since >= LEAVE_AFTER + SHUTDOWN_STEP_INTERVAL);
        // Whoever waits at the listener would be cut off with it.
        if since >= shutdown.last || (over && (has_successor || !self.accept_last_client())) {
            self.proxy.log_totals();
            self.clients_at_end = Some(clients);
        }
        self.context.schedule_after(SHUTDOWN_STEP_INTERVAL, TimerEvent::ShutdownStep);
    }
}

impl EventLoop {
    /// Takes in a client that waits at the listener; false where none does. Others are accepted in this turn and the next.
    /// Where accepting fails, someone may wait all the same.
    fn accept_last_client(&mut self) -> bool {
        self.resume_accepting();
        match self.accept_next() {
            Ok((stream, from)) => {
                self.assign_client(stream, from);
                true
            }
            Err(e) => e.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

/// Other workers.
impl EventLoop {
    /// The next order, to be carried out by [`EventLoop::order`] unless it is a configuration.
    pub fn next_message(&self) -> Option<Order> {
        self.workers.as_ref().and_then(Crew::next)
    }

    /// Carries out what another worker wants.
    pub fn on_message(&mut self, order: Order) {
        match order {
            Order::Client(stream, from) => self.proxy.accept_client(&mut self.context, stream, from),
            Order::DiscoveryEvent(news) => self.apply_discovery_event(news),
            Order::Watch => self.watch_endpoints(),
            Order::Probe(other, server) => self.begin_probe(server, Some(other)),
            Order::Changed(change) => self.apply_admin_change(change),
            Order::OthersHold(descriptors) => self.proxy.set_sibling_descriptors(descriptors),
            Order::Successor(has) => self.set_has_successor(has),
            Order::Probed(server, outcome) => self.context.emit(NetworkEvent::ProbeEnded(server, outcome)),
            Order::Stop => self.begin_shutdown(),
            Order::GoesAlong(handed) => self.queue_for_transfer(*handed),
            Order::Stands(handed) => {
                let from = handed.0.client;
                self.adopt_transferred(*handed, from);
            }
            Order::Config(_) => {}
        }
    }

    /// Gives all others an order.
    pub fn broadcast(&self, order: impl Fn(usize) -> Order) {
        if let Some(crew) = &self.workers {
            crew.tell_others(order);
        }
    }

    fn begin_probe(&mut self, server: ServerId, other: Option<usize>) {
        let address = self.proxy.servers.address(server).filter(|_| self.proxy.has_capacity());
        self.proxy.probes.begin(&mut self.context, server, address, other);
    }

    /// The next client that waits here, or at a neighbour that stalls.
    fn accept_next(&mut self) -> io::Result<(TcpStream, SocketAddr)> {
        if self.can_accept {
            match accept_with_retries(&self.listener) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.can_accept = false,
                accepted => return accepted,
            }
        }
        match self.workers.as_ref().and_then(Crew::helped) {
            Some(listener) if self.can_accept_for_neighbour => accept_with_retries(listener),
            _ => Err(io::ErrorKind::WouldBlock.into()),
        }
    }

    /// Takes in a client that has connected, unless another worker has far fewer.
    fn assign_client(&mut self, stream: TcpStream, from: SocketAddr) {
        let better = self
            .workers
            .as_ref()
            .and_then(|crew| Some((crew, crew.better(self.context.now, self.proxy.client_count())?)));
        let left = match better {
            Some((crew, who)) => crew.tell(who, Order::Client(stream, from)).err(),
            None => Some(Order::Client(stream, from)),
        };
        if let Some(Order::Client(stream, from)) = left {
            self.proxy.accept_client(&mut self.context, stream, from);
        }
    }

    /// Tells other workers of their probes, and looks after the neighbour.
    fn run_housekeeping(&mut self) {
        let Some(crew) = &mut self.workers else { return };
        for (who, server, outcome) in self.proxy.probes.take_worker_results() {
            // Who has ended needs nothing.
            let _ = crew.tell(who, Order::Probed(server, outcome));
        }
        // When the whole machine stood still, everybody seems to have stalled.
        if self.context.now < self.context.earliest_timeout() {
            return;
        }
        let poller = &self.context.registry;
        let (helps, done) = match crew.looks_after(self.context.now) {
            Some(Help::Begins(listener)) => (true, poller.register_neighbour_listener(listener)),
            Some(Help::Ends(listener)) => (false, poller.deregister_neighbour_listener(listener)),
            None => return,
        };
        // Those who wait there already are no news to the loop.
        (self.can_accept_for_neighbour, self.is_accept_due) = (helps, self.is_accept_due || helps);
        if let Err(e) = done {
            error!(event = "cannot-help", error = %e);
        }
    }
}

impl Effects for EventLoop {
    fn now(&self) -> Micros {
        self.context.now
    }

    fn next_event(&mut self) -> Option<NetworkEvent> {
        self.context.next_event()
    }

    fn begin_attempt(&mut self, req: RequestId, server: ServerId, patience: Micros) {
        self.proxy.begin_attempt(&mut self.context, req, server, patience);
    }

    fn cancel_attempt(&mut self, req: RequestId) {
        self.proxy.end_attempt(&mut self.context, req, Outcome::Cancelled);
    }

    fn reject(&mut self, req: RequestId, after: Micros) {
        self.proxy.answer(&mut self.context, req, Answer::Refused { after }, Cause::Decision);
    }

    fn fail(&mut self, req: RequestId) {
        self.proxy.answer(&mut self.context, req, Answer::Failed, Cause::Decision);
    }

    fn migrate(&mut self, req: RequestId) {
        self.proxy.request_migration(&mut self.context, req);
    }

    fn probe(&mut self, server: ServerId) {
        match &self.workers {
            Some(crew) if !crew.leads() => {
                if crew.tell(0, Order::Probe(crew.me(), server)).is_err() {
                    self.context.emit(NetworkEvent::ProbeEnded(server, Outcome::ConnectFailed));
                }
            }
            _ => self.begin_probe(server, None),
        }
    }

    fn watch_endpoints(&mut self) {
        match &self.workers {
            // Without the one that leads, the whole process is about to end.
            Some(crew) if !crew.leads() => drop(crew.tell(0, Order::Watch)),
            _ => {
                let news = self.discovery.watch(&mut self.context);
                self.on_discovery_events(news);
            }
        }
    }

    fn set_timer(&mut self, after: Micros, token: u64) {
        self.context.schedule_after(after, TimerEvent::Driver(token));
    }

    fn log(&mut self, line: &str) {
        info!(event = "module", text = line);
    }
}
