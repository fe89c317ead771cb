//! The event loop of one worker: owns the worker's components and passes events to them.
//!
//! An iteration serves admin connections first, then sockets that are ready, then work left over from the
//! previous iteration, due timers and new clients. After each step the driver processes the events that the
//! component has queued, so that each event is decided on before the next one is handled.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use mio::net::TcpListener;
use shorewharf_decisions::interface::{ServerEntry, ServerId};
use shorewharf_driver::NetworkEvent;
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_units::Micros;

use crate::admin::counters::WorkerCounters;
use crate::admin::handler::{AdminHandler, AdminListener};
use crate::clients::open_ids::OpenIds;
use crate::config::proxy_settings::ProxySettings;
use crate::discovery::client::{DiscoveryClient, DiscoveryEvent};
use crate::discovery::update::EndpointUpdate;
use crate::discovery::wall_clock::WallClock;
use crate::event_loop::acceptor::Acceptor;
use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::event_loop::poll::EventSource;
use crate::fleet::gossip::GossipTransport;
use crate::handover::siblings::SiblingProcesses;
use crate::proxy::Proxy;
use crate::servers::disabled::{AdminChange, DisabledServer};
use crate::shutdown::Shutdown;
use crate::transport::readiness::Readiness;
use crate::workers::pool::{WorkerMessage, WorkerPool};

/// The longest wait for an event.
const MAX_WAIT: Micros = 1_000_000;
/// How often the message delays of servers are reported; the same as in the simulator.
const DELAY_REPORT_INTERVAL: Micros = 1_000_000;

/// The resources that a worker receives at its start.
#[derive(Debug)]
pub struct WorkerContext {
    /// The listener for clients.
    pub listener: TcpListener,
    /// The other workers; `None` if this is the only one.
    pub workers: Option<WorkerPool>,
    /// The ids of open requests, shared by all workers.
    pub open_ids: OpenIds,
    /// The counters of this worker.
    pub counters: WorkerCounters,
    /// The listener for operators and the counters of all workers; set only at the primary worker.
    pub admin: Option<AdminListener>,
    /// Servers that operators have disabled.
    pub disabled_servers: BTreeMap<ServerId, DisabledServer>,
    /// The connections to other processes of this balancer.
    pub siblings: SiblingProcesses,
}

/// How a worker reaches the discovery service.
#[derive(Clone, Copy, Debug)]
pub struct DiscoveryStart {
    /// The address of the service.
    pub address: SocketAddr,
    /// The seed of the random delays before watches.
    pub seed: u64,
}

/// The components of a worker.
#[derive(Debug)]
pub struct EventLoop {
    pub(crate) context: LoopContext,
    pub(super) acceptor: Acceptor,
    /// The ids of open requests, shared by all workers.
    pub(super) open_ids: OpenIds,
    /// The other workers; `None` if this is the only one.
    pub(crate) workers: Option<WorkerPool>,
    pub(crate) proxy: Proxy,
    pub(crate) discovery: DiscoveryClient,
    /// Serves operators' connections; set only at the primary worker.
    pub(crate) admin: Option<AdminHandler>,
    /// The connections to other processes of this balancer.
    pub(crate) siblings: SiblingProcesses,
    /// The transport to other balancers of the fleet, if gossip is configured.
    pub(crate) gossip: Option<GossipTransport>,
    /// Whether established connections are to be handed over in this iteration.
    pub(crate) is_handover_due: bool,
    /// Whether a snapshot is to be begun or continued in this iteration.
    pub(crate) is_snapshot_due: bool,
    /// The graceful shutdown, if it has begun.
    pub(super) shutdown: Option<Shutdown>,
    /// Set when the loop has ended: the number of clients that were still connected.
    pub(super) clients_at_end: Option<usize>,
}

impl EventLoop {
    /// Creates an event loop that accepts clients on the listener of `worker` and watches the endpoint list at
    /// `discovery`.
    pub fn new(
        context: LoopContext,
        worker: WorkerContext,
        discovery: DiscoveryStart,
        settings: ProxySettings,
    ) -> Self {
        let mut event_loop = EventLoop {
            context,
            acceptor: Acceptor::new(worker.listener),
            workers: worker.workers,
            proxy: Proxy::new(settings, worker.open_ids.clone(), worker.counters),
            open_ids: worker.open_ids,
            discovery: DiscoveryClient::new(discovery.address, discovery.seed),
            admin: worker.admin.map(AdminHandler::from),
            siblings: worker.siblings,
            gossip: None,
            is_handover_due: false,
            is_snapshot_due: false,
            shutdown: None,
            clients_at_end: None,
        };
        event_loop
            .context
            .overload
            .set_latency_objective(event_loop.proxy.settings.message_latency_objective);
        event_loop.context.schedule_after(DELAY_REPORT_INTERVAL, TimerEvent::ReportDelays);
        for (server, disabled) in worker.disabled_servers {
            // Applied before the first endpoint list, which is then reported with these servers draining.
            event_loop.proxy.servers.apply_admin_change(AdminChange::Disabled(server, disabled));
        }
        event_loop.update_watch_pacing();
        event_loop.read_shared_folder();
        // The descriptors of a predecessor are deducted from the limit from the start.
        event_loop.on_sibling_ready(EventSource::Predecessor);
        event_loop
    }

    /// Loads the endpoint list that is known at the start, which is complete but may be outdated. Returns the
    /// entries with which the driver starts.
    pub fn restore_endpoints(&mut self, known: &EndpointList) -> Vec<ServerEntry> {
        self.discovery.set_index(known.index);
        let settings = &self.proxy.settings;
        let update = EndpointUpdate::from_list(known, &settings.names, settings.max_servers);
        self.proxy.servers.load_initial_list(update, settings.max_servers)
    }

    /// Begins an iteration at `now`, or at the time of the last one if `now` is earlier.
    pub fn begin_iteration(&mut self, now: Micros) {
        self.context.begin_iteration(now);
    }

    /// Applies new settings; connections and the endpoint list are kept.
    pub fn update_settings(&mut self, settings: ProxySettings, discovery: SocketAddr) {
        self.context.overload.set_latency_objective(settings.message_latency_objective);
        self.proxy.update_settings(settings);
        self.update_watch_pacing();
        let events = self.discovery.set_address(&mut self.context, discovery);
        self.on_discovery_events(events);
    }

    /// Has the primary worker keep a watch open where the endpoint list is pushed. The other workers get its lists.
    fn update_watch_pacing(&mut self) {
        let pacing = self.proxy.settings.watch_pacing.filter(|_| self.is_primary());
        self.discovery.set_pacing(&mut self.context, pacing);
    }

    /// Passes the readiness of a source to the component that owns the source.
    pub fn dispatch_readiness(&mut self, source: EventSource, readiness: Readiness) {
        let context = &mut self.context;
        match source {
            EventSource::Session(id) => self.proxy.on_session_ready(context, id, readiness),
            EventSource::Attempt(id) => self.proxy.on_attempt_ready(context, id, readiness),
            EventSource::Probe(number) => self.proxy.probes.on_ready(context, number, readiness),
            EventSource::DiscoveryClient => {
                let events = self.discovery.on_ready(context, &self.proxy.settings, readiness);
                self.on_discovery_events(events);
            }
            // Clients are accepted at the end of the iteration, since events of connected clients may free
            // capacity.
            EventSource::Listener => self.acceptor.on_listener_ready(),
            EventSource::NeighbourListener => self.acceptor.on_neighbour_ready(),
            // Handled by the worker, which has access to the driver.
            EventSource::Signals | EventSource::WorkerMessages | EventSource::HandoverListener => {}
            EventSource::Successor(_) | EventSource::Predecessor => self.on_sibling_ready(source),
            EventSource::Gossip => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.on_readable(context.now);
                }
            }
            EventSource::AdminListener | EventSource::AdminConnection(_) => {
                if let Some(admin) = &mut self.admin {
                    admin.server.on_ready(context, source, readiness);
                }
            }
        }
    }

    /// Does the work that is due at the end of every iteration, whichever sources were ready. Calls
    /// `process_events` after each step, since each client must be placed with the clients accepted before it
    /// taken into account.
    pub fn finish_iteration(&mut self, mut process_events: impl FnMut(&mut Self)) {
        for id in self.proxy.take_unfinished() {
            self.proxy.resume(&mut self.context, id);
            process_events(self);
        }
        if self.discovery.has_unread() {
            self.dispatch_readiness(EventSource::DiscoveryClient, Readiness::default());
            process_events(self);
        }
        if self.has_sibling_work() {
            self.on_sibling_ready(EventSource::Predecessor);
            process_events(self);
        }
        while self.proxy.place_confirmed(&mut self.context) {
            process_events(self);
        }
        if self.gossip.as_ref().is_some_and(GossipTransport::has_unread) {
            self.dispatch_readiness(EventSource::Gossip, Readiness::default());
        }
        while let Some(event) = self.context.timers.pop_due() {
            self.on_timer(event);
            process_events(self);
        }
        if self.acceptor.take_due() {
            self.accept_clients(process_events);
        }
        if self.proxy.has_descriptor_shortage() {
            self.schedule_accept_retry();
        }
        self.run_housekeeping();
    }

    /// Passes a due timer to the component that has set it.
    fn on_timer(&mut self, event: TimerEvent) {
        let context = &mut self.context;
        match event {
            TimerEvent::Driver(token) => context.emit(NetworkEvent::TimerFired(token)),
            TimerEvent::Session(id) => self.proxy.on_session_timer(context, id),
            TimerEvent::Attempt(id) => self.proxy.on_attempt_timer(context, id),
            TimerEvent::RetryDial(id) => self.proxy.retry_dial(context, id),
            TimerEvent::Probe(number) => self.proxy.probes.on_timer(context, number),
            // Requests whose wait is over are placed in each iteration.
            TimerEvent::UnconfirmedId => {}
            TimerEvent::MigrationBatch => self.proxy.run_migration_batch(context),
            TimerEvent::LogRateLimiter => self.proxy.flush_log_limiter(context.now),
            TimerEvent::ReportDelays => self.report_delays(),
            TimerEvent::DiscoveryClient => {
                let events = self.discovery.on_timer(context);
                self.on_discovery_events(events);
            }
            TimerEvent::Gossip => {
                if let Some(gossip) = &mut self.gossip {
                    gossip.on_timer(context);
                }
            }
            TimerEvent::AdminConnection(number) => {
                if let Some(admin) = &mut self.admin {
                    admin.server.on_timer(context, number);
                }
            }
            TimerEvent::AdminAccept => {
                self.dispatch_readiness(EventSource::AdminListener, Readiness::default());
            }
            TimerEvent::Accept => self.on_accept_timer(),
            TimerEvent::ShutdownStep => self.on_shutdown_step(),
            TimerEvent::ReadSharedFolder => self.read_shared_folder(),
            TimerEvent::NotifySuccessors => self.notify_successors(),
            TimerEvent::Snapshot => self.is_snapshot_due = true,
        }
    }

    fn report_delays(&mut self) {
        // After a stall, input that is still unread would look like a delay.
        if self.context.now >= self.context.earliest_timeout() {
            self.proxy.report_delays(&mut self.context);
        }
        self.context.schedule_after(DELAY_REPORT_INTERVAL, TimerEvent::ReportDelays);
    }

    /// Ends an iteration at `now`. Returns when the next one is to begin if no event arrives earlier; that
    /// may be at once.
    pub fn end_iteration(&mut self, now: Micros) -> Micros {
        self.context.overload.record_iteration(self.context.now, now, self.acceptor.is_due());
        self.proxy.publish_gauges();
        let next = if self.has_unfinished_work() {
            self.context.now
        } else {
            self.context.timers.next_deadline().unwrap_or(self.context.now + MAX_WAIT)
        };
        self.context.end_iteration(next);
        if let Some(workers) = &self.workers {
            workers.publish_state(self.proxy.client_count(), next);
        }
        next
    }

    /// Whether any component has left work for the next iteration.
    fn has_unfinished_work(&self) -> bool {
        self.proxy.has_unfinished()
            || self.discovery.has_unread()
            || self.acceptor.is_due()
            || self.admin.as_ref().is_some_and(|admin| admin.server.has_backlog())
            || self.has_sibling_work()
            || self.gossip.as_ref().is_some_and(GossipTransport::has_unread)
    }

    /// Once the loop has ended, the number of clients that were still connected.
    pub fn clients_at_end(&self) -> Option<usize> {
        self.clients_at_end
    }

    /// Applies events of discovery at this worker and all others.
    pub(super) fn on_discovery_events(&mut self, events: Vec<DiscoveryEvent>) {
        for event in events {
            self.broadcast(|_| WorkerMessage::DiscoveryEvent(event.clone()));
            self.apply_discovery_event(event);
        }
    }

    /// Updates the server table with an event of discovery and reports it to the driver.
    pub(super) fn apply_discovery_event(&mut self, event: DiscoveryEvent) {
        let report = match event {
            DiscoveryEvent::List(update) => {
                let full = update.snapshot;
                let entries = self.proxy.apply_endpoint_list(update, WallClock::read(self.context.now));
                NetworkEvent::EndpointListReceived { is_complete: full, is_cached: false, entries }
            }
            DiscoveryEvent::Failed => NetworkEvent::DiscoveryFailed,
        };
        self.context.emit(report);
    }
}
