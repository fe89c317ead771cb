//! The emulated balancers that a run in virtual time hosts, and the host that creates them.

use crate::day::Day;
use crate::edge::{BalancerId, FromBalancer, ToBalancer};
use crate::world::GroundTruth;
use shorewharf_units::Micros;

/// One emulated balancer. It exists throughout the run: at [`ToBalancer::Kill`] it drops all state except for its
/// counter of link ids, and at [`ToBalancer::Start`] its process starts again. Instances share no state, as each
/// represents a separate machine.
pub trait Instance: Send {
    /// Processes the inputs since its last turn, which are in order of arrival, and does what is due by `now`. Its
    /// actions are appended to `actions` in order and take effect at `now`.
    fn turn(&mut self, now: Micros, inputs: &[ToBalancer], actions: &mut Vec<FromBalancer>);

    /// When it needs its next turn even if no input arrives.
    fn next_due(&self) -> Option<Micros>;

    /// Fills in its state for reports. Called once per second of the day.
    fn report(&mut self, _report: &mut InstanceReport) {}
}

/// The state of an instance for reports. It has no influence on the run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceReport {
    /// Its level of service; empty if the instance has none.
    pub level: &'static str,
    /// Current values by name.
    pub gauges: Vec<(&'static str, f64)>,
    /// Counters by name, since the start of its process.
    pub counts: Vec<(&'static str, u64)>,
    /// Log lines since the last report, each with the time at which it was written.
    pub lines: Vec<(Micros, String)>,
}

/// Creates the instances of a run.
pub trait Host: Sync {
    /// Creates the balancer with this id. It must use no other information than its settings and, of the day, what is
    /// public about the nodes.
    fn instance(&self, day: &Day, id: BalancerId, settings: &str) -> Box<dyn Instance>;

    /// Whether [`Host::observe_ground_truth`] is called. A host that returns false sees the platform as a real balancer
    /// does.
    fn wants_ground_truth(&self) -> bool {
        false
    }

    /// Receives the true state of all nodes before the turns of each tick. It is deliberately not part of
    /// [`crate::edge`], so that code of real balancers cannot reach it.
    fn observe_ground_truth(&self, _now: Micros, _nodes: &[GroundTruth]) {}
}
