//! The proxy: sends the requests of client sessions to servers and relays lines in both directions.
//!
//! [`Proxy`] owns the sessions, the attempts and the server table. It reports network events to the driver,
//! carries out the driver's decisions, and has each step of a request checked by the request guard. Its
//! modules are:
//!
//! - `requests`: accepts clients and reads their requests;
//! - `attempts` and `dialing`: run attempts, up to the server's answer;
//! - `established`, `relay` and `migration`: relay established connections and end them;
//! - `unconfirmed`: the requests that wait until other processes know their ids;
//! - `unfinished`: the connections that wait for their next turn;
//! - `incomplete`: ends sessions without a complete request;
//! - `answers`: sends all final answers;
//! - `timeouts`: handles deadlines and reports message delays;
//! - `descriptors`: keeps the limit on descriptors;
//! - `shutdown` and `transfer`: end the sessions of this process, or transfer them to another one.

mod answers;
mod attempts;
mod descriptors;
mod dialing;
mod established;
mod incomplete;
mod migration;
pub mod relay;
mod requests;
mod shutdown;
mod timeouts;
mod transfer;
mod unconfirmed;
mod unfinished;

use std::collections::{BTreeMap, VecDeque};

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
use incomplete::IncompleteCounts;
use migration::PendingMigrations;
pub use shutdown::{AnswerScope, SessionCounts};
use unconfirmed::UnconfirmedRequest;
use unfinished::UnfinishedConnections;

/// The retry delay that clients get when the proxy rejects them without asking the driver.
const RETRY_AFTER: Micros = 300_000;

/// The client sessions, attempts and servers of a worker.
#[derive(Debug)]
pub struct Proxy {
    /// The current settings.
    pub settings: ProxySettings,
    /// The servers of the endpoint list.
    pub servers: ServerTable,
    /// Probes of servers that are in progress.
    pub probes: Probes,
    sessions: Sessions,
    attempts: Attempts,
    /// Attempts whose dial has failed for a local reason and is to be retried.
    pending_dials: BTreeMap<RequestId, PendingDial>,
    /// Tracks which requests may have run, and checks each step and each answer against that.
    guard: RequestGuard,
    incomplete_requests: IncompleteCounts,
    descriptor_budget: DescriptorBudget,
    log_limiter: LogRateLimiter,
    /// Connections with more to forward or to read, to be resumed after other connections have been served.
    unfinished: UnfinishedConnections,
    /// Requests that wait until other processes know their ids.
    unconfirmed: VecDeque<UnconfirmedRequest>,
    /// Sessions with a message delay to report, without duplicates.
    delay_reporters: Vec<RequestId>,
    pending_migrations: PendingMigrations,
    /// Counters that are reported to operators.
    counters: WorkerCounters,
    /// This worker's share of the descriptors that another process of this balancer holds.
    sibling_descriptors: usize,
    /// Whether a shutdown has begun, during which new requests are rejected.
    is_shutting_down: bool,
    /// Whether another process accepts clients in place of this one.
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
            incomplete_requests: IncompleteCounts::new(),
            log_limiter: LogRateLimiter::default(),
            unfinished: UnfinishedConnections::default(),
            unconfirmed: VecDeque::new(),
            delay_reporters: Vec::new(),
            pending_migrations: PendingMigrations::default(),
            counters,
            sibling_descriptors: 0,
            is_shutting_down: false,
            has_successor: false,
        }
    }

    /// Applies new settings; sessions and attempts are kept.
    pub fn update_settings(&mut self, settings: ProxySettings) {
        self.settings = settings;
        self.set_sibling_descriptors(self.sibling_descriptors);
    }

    /// Applies an endpoint list from discovery. Returns the entries to report to the driver.
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
