//! The loads of the other instances at each server, as last reported.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::interface::{RemoteLoad, ServerId};

/// Reports arrive several times a second; they are not used once they are older than this.
const MAX_AGE_SECONDS: f64 = 1.0;

/// Loads of other instances by server.
pub(crate) type RemoteLoads = BTreeMap<ServerId, RemoteLoad>;

/// The last load reports, and when they were received.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    received_at: f64,
    loads: Option<Arc<RemoteLoads>>,
}

impl FleetView {
    /// Replaces the reports; `None` if too few instances report.
    pub fn update(&mut self, now: f64, loads: Option<Arc<RemoteLoads>>) {
        *self = FleetView { received_at: now, loads };
    }

    /// Whether the loads of other instances are known and recent.
    pub fn is_current(&self, now: f64) -> bool {
        self.loads.is_some() && now <= self.received_at + MAX_AGE_SECONDS
    }

    /// The loads of other instances, if they are known and recent.
    pub fn current(&self, now: f64) -> Option<Arc<RemoteLoads>> {
        self.loads.clone().filter(|_| self.is_current(now))
    }
}
