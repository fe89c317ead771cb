//! The emulated balancers that a run in virtual time hosts, and the host that creates them.

use crate::day::Day;
use crate::edge::{BalancerId, FromBalancer, ToBalancer};
use crate::world::GroundTruth;
use shorewharf_units::Micros;

/// One emulated balancer. It lives through kills and starts of its process: [`ToBalancer::Kill`] makes it forget all
/// but how it numbers links, [`ToBalancer::Start`] begins a new life. Instances share nothing, as each stands for a
/// machine of its own.
pub trait Instance: Send {
    /// Takes in what has come since its last turn, in order of arrival, and does what is due by now. What it does
    /// is appended to `out` in its order and takes effect at `now`.
    fn turn(&mut self, now: Micros, came: &[ToBalancer], out: &mut Vec<FromBalancer>);

    /// When it wants its next turn though nothing comes.
    fn next_due(&self) -> Option<Micros>;

    /// What it tells of itself, for reports. Asked once a second.
    fn report(&mut self, _report: &mut InstanceReport) {}
}

/// What an instance tells of itself. Nothing of it changes the run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct InstanceReport {
    /// Its level of service; empty where it has none.
    pub level: &'static str,
    /// Figures of now.
    pub gauges: Vec<(&'static str, f64)>,
    /// Sums since its process began.
    pub counts: Vec<(&'static str, u64)>,
    /// Lines of its log since the last time, and when it wrote them.
    pub lines: Vec<(Micros, String)>,
}

/// Makes the instances of a run.
pub trait Host: Sync {
    /// The balancer at this place, told nothing but its settings and what is publicly listed of the nodes.
    fn instance(&self, day: &Day, id: BalancerId, settings: &str) -> Box<dyn Instance>;

    /// Whether [`Host::observe_ground_truth`] is to be called. A host that says no sees the platform as a real balancer does.
    fn wants_ground_truth(&self) -> bool {
        false
    }

    /// The true state of all nodes, told before the turns of each tick. It lies outside the edge on purpose: what
    /// real balancers are made of never gets a host with this door.
    fn observe_ground_truth(&self, _now: Micros, _nodes: &[GroundTruth]) {}
}
