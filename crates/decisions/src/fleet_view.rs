//! What the other instances hold at each server, as they have reported it.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::interface::{RemoteLoad, ServerId};

/// Reports come several times a second; they are not used beyond this age.
const MAX_AGE_SECONDS: f64 = 1.0;

/// Loads of other instances by server.
pub(crate) type RemoteLoads = BTreeMap<ServerId, RemoteLoad>;

/// The last reports and their time.
#[derive(Debug, Default)]
pub(crate) struct FleetView {
    received_at: f64,
    loads: Option<Arc<RemoteLoads>>,
}

impl FleetView {
    /// Takes over new reports; `None` where too few instances are heard of.
    pub fn update(&mut self, now: f64, loads: Option<Arc<RemoteLoads>>) {
        *self = FleetView { received_at: now, loads };
    }

    /// Whether the loads of other instances are known.
    pub fn is_current(&self, now: f64) -> bool {
        self.loads.is_some() && now <= self.received_at + MAX_AGE_SECONDS
    }

    /// The loads of other instances, while they are current.
    pub fn current(&self, now: f64) -> Option<Arc<RemoteLoads>> {
        self.loads.clone().filter(|_| self.is_current(now))
    }
}
