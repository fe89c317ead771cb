//! A worker: its event loop, and the driver that connects the event loop to the decisions. The primary worker
//! also handles signals and reloads for all workers.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use shorewharf_decisions::interface::SlotSharing;
use shorewharf_driver::{Driver, Effects, InitialState};
use shorewharf_protocol::endpoint_list::EndpointList;
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};
use signal_hook::consts::SIGHUP;
use signal_hook_mio::v1_0::Signals;
use tracing::{error, info};

use crate::clock::Clock;
use crate::config::proxy_settings::ProxySettings;
use crate::config::{Config, ConfigError};
use crate::event_loop::context::{LoopContext, TimerEvent};
use crate::event_loop::dispatch::{DiscoveryStart, EventLoop, WorkerContext};
use crate::event_loop::poll::{EventPoller, EventSource};
use crate::fleet::budgets::BudgetClient;
use crate::fleet::gossip::{GossipTransport, LocalBalancer};
use crate::reload;
use crate::snapshot::{SnapshotState, SnapshotTask, export_all};
use crate::supervisor;
use crate::transport::readiness::Readiness;
use crate::workers::pool::WorkerMessage;

/// Reads the whole configuration again.
pub type ReadConfig = Box<dyn Fn() -> Result<Config, ConfigError> + Send>;

/// The state that the primary worker has for the whole process.
pub struct PrimaryWorker {
    /// Receives the signals of the process.
    pub signals: Signals,
    /// Reads the configuration for a reload.
    pub read_config: ReadConfig,
    /// The current configuration of the whole process.
    pub config: Config,
    /// The number of workers.
    pub worker_count: usize,
    /// The client of the fleet's budgets, if they are configured.
    pub budgets: Option<BudgetClient>,
}

impl PrimaryWorker {
    /// Returns the configuration of a worker. `slot_sharing` tells how it shares its turns at warming servers
    /// with another process of this balancer that accepts clients too.
    fn worker_config(&self, index: usize, slot_sharing: SlotSharing) -> Config {
        let mut own = self.config.for_worker(index, self.worker_count);
        own.settings.slot_sharing = slot_sharing;
        own
    }
}

/// Everything that a worker needs to start.
pub struct WorkerStart {
    /// Polls the worker's sockets.
    pub poller: EventPoller,
    /// The listener, the other workers and the state shared with them.
    pub context: WorkerContext,
    /// The worker's own configuration.
    pub config: Config,
    /// The initial endpoint list.
    pub endpoints: Arc<EndpointList>,
    /// The clock of the process.
    pub clock: Clock,
    /// Takes snapshots, if they are configured.
    pub snapshot_task: Option<SnapshotTask>,
    /// The learned state to restore, if there is any.
    pub restored: Option<SnapshotState>,
    /// The state for the whole process; set only at the primary worker.
    pub primary: Option<PrimaryWorker>,
}

/// The addresses that a worker listens at, with the ports that the system has chosen.
struct BoundAddresses {
    clients: SocketAddr,
    admin: Option<SocketAddr>,
}

impl WorkerStart {
    /// Runs the worker until its shutdown is complete. Returns the number of clients that were still
    /// connected.
    ///
    /// # Errors
    /// Returns an error if a socket can't be registered or polling fails.
    pub fn run(mut self) -> io::Result<usize> {
        let clock = self.clock;
        let addresses = self.register_listeners()?;
        let (mut poller, mut worker) = self.into_worker(&addresses)?;
        worker.run_iteration(clock.read(), std::iter::empty());
        loop {
            if let Some(clients) = worker.event_loop.clients_at_end() {
                worker.finish();
                return Ok(clients);
            }
            let now = clock.read();
            let timeout = worker.event_loop.end_iteration(now).saturating_sub(now);
            poller.wait(Duration::from_micros(timeout))?;
            worker.run_iteration(clock.read(), poller.events());
        }
    }

    fn register_listeners(&mut self) -> io::Result<BoundAddresses> {
        let registry = self.poller.registry()?;
        registry.register_readable(&mut self.context.listener, EventSource::Listener)?;
        let clients = self.context.listener.local_addr()?;
        let mut admin_address = None;
        if let Some(admin) = &mut self.context.admin {
            registry.register_readable(&mut admin.listener, EventSource::AdminListener)?;
            admin_address = admin.listener.local_addr().ok();
        }
        Ok(BoundAddresses { clients, admin: admin_address })
    }

    /// Creates the event loop and the driver, and restores the endpoint list and the learned state.
    fn into_worker(self, addresses: &BoundAddresses) -> io::Result<(EventPoller, Worker)> {
        let config = self.config;
        let context = LoopContext::new(self.poller.registry()?, self.clock.read());
        let settings = ProxySettings::from(&config);
        let discovery = DiscoveryStart { address: config.discovery, seed: config.seed };
        let mut event_loop = EventLoop::new(context, self.context, discovery, settings);
        if let Some(gossip) = &config.gossip {
            let balancer =
                LocalBalancer { name: &config.name, address: addresses.clients, seed: config.seed };
            event_loop.gossip = Some(GossipTransport::new(&mut event_loop.context, balancer, gossip));
        }
        let entries = event_loop.restore_endpoints(&self.endpoints);
        // The server table has the list now; a second copy would double the memory for it.
        drop(self.endpoints);
        let server_count = entries.len();
        let budgets = self.primary.as_ref().and_then(|primary| primary.budgets.as_ref());
        let admission = budgets.and_then(|budgets| budgets.admission(&config));
        let initial = InitialState { settings: config.settings, seed: config.seed, servers: entries };
        let mut driver = Driver::start(initial, &config.operator, &mut event_loop);
        if let Some(admission) = admission {
            driver.gate().set_budgets(admission);
        }
        if let Some(state) = self.restored {
            state.restore(event_loop.now(), driver.gate());
        }
        if self.snapshot_task.is_some() {
            let interval = micros_from_seconds(config.operator.snapshot.interval_s);
            event_loop.context.schedule_after(interval, TimerEvent::Snapshot);
        }
        if let Some(primary) = &self.primary {
            log_serving(&config.name, addresses, server_count, primary.worker_count);
            supervisor::notify_serving();
        }
        let (snapshot_task, primary) = (self.snapshot_task, self.primary);
        Ok((self.poller, Worker { event_loop, driver, snapshot_task, primary }))
    }
}

fn log_serving(name: &str, addresses: &BoundAddresses, servers: usize, worker_count: usize) {
    let workers = (worker_count > 1).then_some(worker_count);
    let operator = addresses.admin.map(tracing::field::display);
    info!(event = "serving", name, listen = %addresses.clients, operator, servers, workers);
}

/// A running worker.
struct Worker {
    event_loop: EventLoop,
    driver: Driver,
    snapshot_task: Option<SnapshotTask>,
    primary: Option<PrimaryWorker>,
}

impl Worker {
    /// Runs one iteration: serves each source that is ready, and has the decisions process its events before
    /// the next source is served.
    fn run_iteration(&mut self, now: Micros, ready: impl Iterator<Item = (EventSource, Readiness)> + Clone) {
        self.event_loop.begin_iteration(now);
        self.serve_admin(now, ready.clone());
        for (source, readiness) in ready.filter(|(source, _)| !source.is_prioritized()) {
            self.serve(source, readiness);
            self.driver.process_events(&mut self.event_loop);
        }
        let driver = &mut self.driver;
        self.event_loop.finish_iteration(|event_loop| driver.process_events(event_loop));
        let gate = driver.gate();
        self.event_loop.hand_over_connections(|id| gate.established(id));
        driver.process_events(&mut self.event_loop);
        if self.event_loop.take_sharing_change().is_some() {
            self.apply_config();
        }
        self.event_loop.announce_open_ids();
        self.send_gossip();
        if let Some(task) = &mut self.snapshot_task {
            task.on_iteration(&mut self.event_loop, &mut self.driver);
        }
    }

    fn serve_admin(&mut self, now: Micros, ready: impl Iterator<Item = (EventSource, Readiness)>) {
        let gate = self.driver.gate();
        let prioritized = ready.filter(|(source, _)| source.is_prioritized());
        self.event_loop.serve_admin(prioritized, || gate.unavailable_servers(seconds_from_micros(now)));
        self.driver.process_events(&mut self.event_loop);
    }

    fn serve(&mut self, source: EventSource, readiness: Readiness) {
        match source {
            EventSource::Signals => self.on_signals(),
            EventSource::WorkerMessages => self.on_worker_messages(),
            EventSource::HandoverListener => {
                let gate = self.driver.gate();
                self.event_loop.on_successors_connecting(|| export_all(gate));
            }
            source => self.event_loop.dispatch_readiness(source, readiness),
        }
    }

    fn send_gossip(&mut self) {
        let Some(gossip) = &mut self.event_loop.gossip else { return };
        if gossip.take_due() {
            gossip.broadcast(&mut self.event_loop.context, self.driver.gate().holdings());
            self.driver.process_events(&mut self.event_loop);
        }
    }

    /// Applies the configuration to all workers after a reload, or after another process of this balancer has
    /// begun or stopped accepting clients.
    fn apply_config(&mut self) {
        let Some(primary) = &self.primary else { return };
        let slot_sharing = self.event_loop.siblings.slot_sharing();
        let config_message =
            |index| WorkerMessage::Config(Box::new(primary.worker_config(index, slot_sharing)));
        self.event_loop.broadcast(config_message);
        if let (Some(client), Some(budgets)) = (&primary.budgets, &primary.config.budgets) {
            client.update_totals(budgets);
        }
        reload::apply(&primary.worker_config(0, slot_sharing), &mut self.event_loop, &mut self.driver);
    }

    fn on_worker_messages(&mut self) {
        while let Some(message) = self.event_loop.next_message() {
            if let WorkerMessage::Config(config) = message {
                reload::apply(&config, &mut self.event_loop, &mut self.driver);
            } else {
                self.event_loop.on_message(message);
            }
            self.driver.process_events(&mut self.event_loop);
        }
    }

    fn on_signals(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        let signals: Vec<_> = primary.signals.pending().collect();
        for signal in signals {
            if signal == SIGHUP {
                self.reload();
            } else {
                self.event_loop.broadcast(|_| WorkerMessage::Shutdown);
                self.event_loop.begin_shutdown();
            }
        }
    }

    /// Reads the configuration again and applies it. Several signals in quick succession may cause only one
    /// reload.
    fn reload(&mut self) {
        let Some(primary) = &mut self.primary else { return };
        let replaced = (primary.read_config)().and_then(|next| reload::replace(&mut primary.config, next));
        if let Err(e) = replaced {
            error!(event = "reload-refused", key = e.key(), why = %e.reason());
            return;
        }
        self.apply_config();
    }

    /// Completes the last snapshot, and returns the allocated budgets to the fleet.
    fn finish(mut self) {
        if let Some(task) = self.snapshot_task {
            task.finish(&self.event_loop, &mut self.driver);
        }
        if let Some(budgets) = self.primary.and_then(|primary| primary.budgets) {
            budgets.leave();
        }
    }
}
