//! The proxy: brings the requests of client sessions to servers and forwards their lines.
//!
//! [`Proxy`] owns the sessions, the attempts and the server table. It reports to the driver what happens, carries out what
//! the driver decides, and has each step checked by the request guard. Each module here is one part of that:
//!
//! - `requests`: clients, from accept to the request in their first line;
//! - `attempts` and `dialing`: attempts at servers, up to the server's answer;
//! - `established`, `relay` and `migration`: established connections, and how they end;
//! - `answers`: final answers, the one place where a client gets one;
//! - `timeouts`, `shutdown`, `descriptors` and `transfer`: deadlines, and the limits and the end of the process.

mod answers;
mod attempts;
mod descriptors;
mod dialing;
mod established;
mod migration;
pub mod relay;
mod requests;
mod shutdown;
mod timeouts;
mod transfer;

use std::collections::BTreeMap;

use shorewharf_decisions::interface::{RequestId, ServerEntry};
use shorewharf_lifecycle::RequestGuard;
use shorewharf_units::Micros;

use crate::admin::counters::WorkerCounters;
use crate::clients::open_ids::OpenIds;
use crate::clients::sessions::Sessions;
use crate::config::proxy_settings::ProxySettings;
use crate::discovery::update::EndpointUpdate;
use crate::discovery::wall_clock::WallClock;
use crate::overload::descriptor_budget::DescriptorBudget;
use crate::overload::log_rate_limiter::LogRateLimiter;
use crate::servers::attempts::Attempts;
use crate::servers::probes::Probes;
use crate::servers::server_table::ServerTable;

use dialing::PendingDial;
use migration::PendingMigrations;
pub use shutdown::SessionCounts;

/// The retry delay that clients get when this process rejects them on its own account.
const RETRY_AFTER: Micros = 300_000;

/// Client sessions, attempts, and the servers they go to.
#[derive(Debug)]
pub struct Proxy {
    /// The settings in force.
    pub settings: ProxySettings,
    /// The servers of the endpoint list.
    pub servers: ServerTable,
    /// Probes of servers.
    pub probes: Probes,
    sessions: Sessions,
    attempts: Attempts,
    /// Attempts whose connection failed on this machine's side and is to be dialled again.
    pending_dials: BTreeMap<RequestId, PendingDial>,
    /// Knows which requests may have run, and so what may be done with each.
    guard: RequestGuard,
    descriptor_budget: DescriptorBudget,
    log_limiter: LogRateLimiter,
    /// Connections with more to forward or to read, once other connections have been served.
    unfinished: Vec<RequestId>,
    /// Sessions that have a message delay to report, each once.
    delay_reporters: Vec<RequestId>,
    pending_migrations: PendingMigrations,
    /// Counters for operators.
    counters: WorkerCounters,
    /// Descriptors that another process of this balancer holds.
    sibling_descriptors: usize,
    /// New requests are rejected.
    is_shutting_down: bool,
    /// Another process accepts clients in place of this one.
    pub has_successor: bool,
}

impl Proxy {
    /// Creates a proxy without clients. `open_ids` and `counters` are shared with other workers.
    pub fn new(settings: ProxySettings, open_ids: OpenIds, counters: WorkerCounters) -> Self {
        Proxy {
            descriptor_budget: DescriptorBudget::new(settings.max_descriptors),
            settings,
            servers: ServerTable::default(),
            probes: Probes::default(),
            sessions: Sessions::new(open_ids),
            attempts: Attempts::default(),
            pending_dials: BTreeMap::new(),
            guard: RequestGuard::default(),
            log_limiter: LogRateLimiter::default(),
            unfinished: Vec::new(),
            delay_reporters: Vec::new(),
            pending_migrations: PendingMigrations::default(),
            counters,
            sibling_descriptors: 0,
            is_shutting_down: false,
            has_successor: false,
        }
    }

    /// Puts other settings in force; sessions and attempts stay.
    pub fn update_settings(&mut self, settings: ProxySettings) {
        self.settings = settings;
        self.set_sibling_descriptors(self.sibling_descriptors);
    }

    /// Applies an endpoint list of discovery. Returns the entries that the driver receives.
    pub fn apply_endpoint_list(&mut self, update: EndpointUpdate, wall_clock: WallClock) -> Vec<ServerEntry> {
        self.servers.set_wall_clock(wall_clock);
        let attempts = &self.attempts;
        self.servers.apply_list(update, self.settings.max_servers, |server| attempts.has_server(server))
    }

    /// The name of the server of a request's attempt, for the log.
    fn server_name(&self, id: RequestId) -> &str {
        self.servers.name(self.attempts.server(id))
    }
}
