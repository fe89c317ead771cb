//! How many connections this instance has carried, from which the capacity of the servers is inferred if
//! nothing else tells it.

/// The number of carried connections is forgotten with this time constant, relative to the warm-up time. It
/// must outlast a release, in which many connections end before they are placed again.
const RETENTION_WARM_UPS: f64 = 4.0;

/// The largest number of connections that this instance has carried recently.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct CarriedConnections {
    peak: f64,
    updated_at: f64,
}

impl CarriedConnections {
    /// Records the present number of established connections.
    pub fn record(&mut self, now: f64, connections: f64, warm_up_time: f64) {
        let elapsed = (now - self.updated_at).max(0.0);
        let retained = (-elapsed / (RETENTION_WARM_UPS * warm_up_time).max(f64::MIN_POSITIVE)).exp();
        self.peak = connections.max(self.peak * retained);
        self.updated_at = now;
    }

    /// The carried connections less their standard deviation by chance: an instance that got more than its
    /// part must not infer larger servers.
    pub fn certain(&self) -> f64 {
        (self.peak - self.peak.sqrt()).max(0.0)
    }
}
