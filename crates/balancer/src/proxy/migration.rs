//! Asks established clients to migrate: at once, or in batches if their server is disabled.

use std::collections::VecDeque;

use shorewharf_decisions::interface::RequestId;
use shorewharf_units::Micros;
use tracing::debug;

use super::Proxy;
use crate::clients::session::Session;
use crate::event_loop::context::{LoopContext, TimerEvent};

/// Number of batches in which the clients of a disabled server migrate. All batches fall within one second,
/// after which nothing more may reach the server.
const MIGRATION_BATCHES: usize = 8;
const MIGRATION_BATCH_INTERVAL: Micros = 100_000;

/// Clients that are yet to be asked to migrate away from disabled servers.
#[derive(Debug, Default)]
pub struct PendingMigrations {
    clients: VecDeque<RequestId>,
    batches_left: usize,
}

impl PendingMigrations {
    /// Adds a client. Returns whether the queue was empty, in which case the caller must schedule the first
    /// batch.
    fn add(&mut self, id: RequestId) -> bool {
        let is_first = self.clients.is_empty();
        if is_first {
            self.batches_left = MIGRATION_BATCHES;
        }
        self.clients.push_back(id);
        is_first
    }

    /// Takes the next batch: an even share of the clients that are left.
    fn take_batch(&mut self) -> Vec<RequestId> {
        let size = self.clients.len().div_ceil(self.batches_left.max(1));
        self.batches_left = self.batches_left.saturating_sub(1);
        self.clients.drain(..size).collect()
    }
}

impl Proxy {
    /// Carries out the driver's decision that a client migrates. Clients of a disabled server migrate in
    /// batches, since all of them at once would cause a reconnect surge. There is time for batches, as a
    /// disabled server goes on running.
    pub fn request_migration(&mut self, context: &mut LoopContext, id: RequestId) {
        let server = self.attempts.server(id);
        if !server.is_some_and(|server| self.servers.disabled().is_disabled(server)) {
            return self.migrate(context, id);
        }
        if self.pending_migrations.add(id) {
            context.schedule_after(MIGRATION_BATCH_INTERVAL, TimerEvent::MigrationBatch);
        }
    }

    /// Asks the next batch of clients to migrate.
    pub fn run_migration_batch(&mut self, context: &mut LoopContext) {
        for id in self.pending_migrations.take_batch() {
            self.migrate(context, id);
        }
        if !self.pending_migrations.clients.is_empty() {
            context.schedule_after(MIGRATION_BATCH_INTERVAL, TimerEvent::MigrationBatch);
        }
    }

    /// Asks an established client to migrate as soon as the line that is being forwarded to it is complete.
    pub fn migrate(&mut self, context: &mut LoopContext, id: RequestId) {
        if self.sessions.get_mut(id).is_some_and(Session::begin_migration) {
            debug!(event = "migrating", req = id.0, server = self.server_name(id));
            self.relay(context, id);
        }
    }
}
