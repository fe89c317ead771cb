//! How a run on sockets went, beside what the world saw: the driver, the processes, and what only sockets show.

use serde::Serialize;
use shorewharf_units::Micros;

use super::clients::ClientStatistics;
use super::clock::Distribution;
use super::datagram_proxy::DatagramStatistics;
use super::fleet::ProcessIncarnation;
use super::misbehaving_clients::MisbehaviorOutcome;

/// What it costs if none of the bad clients gets what it is owed.
const BAD_COST: f64 = 0.3;

/// How the driver and the processes fared.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Why nothing of this run counts, if so.
    pub void: Option<String>,
    /// How much later than due the driver did what its clocks asked for.
    pub late: Distribution,
    /// How long after the system could first have told it the driver had handled what came on sockets, at most.
    pub handled: Distribution,
    /// What only sockets show of the clients' connections.
    pub clients: ClientStatistics,
    /// How bad clients fared, by kind.
    pub bad: Vec<(String, MisbehaviorOutcome)>,
    /// Each life of each balancer.
    pub lives: Vec<ProcessIncarnation>,
    /// First lines in a form that no client sent.
    pub syntax: u64,
    /// Lines that came at a node before their connection stood.
    pub early: u64,
    /// Calls at discovery that are none of the protocol, and what else went wrong with a balancer.
    pub strange: Vec<String>,
    /// Connections from before the day that did not come up.
    pub missed: usize,
    /// What passed between balancers.
    pub notes: DatagramStatistics,
    /// The day's clock at the end.
    pub ended: Micros,
}

impl Report {
    /// Whether a process ended without an order.
    pub fn crashed(&self) -> bool {
        self.lives.iter().any(|l| l.crashed)
    }

    /// What is taken off the result for bad clients that got neither an error nor a close in time.
    pub fn bad_cost(&self) -> f64 {
        let (came, neither) = self.bad.iter().fold((0, 0), |sum, (_, f)| (sum.0 + f.came, sum.1 + f.neither));
        if came == 0 { 0.0 } else { BAD_COST * neither as f64 / came as f64 }
    }
}
