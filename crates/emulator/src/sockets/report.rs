//! The report on a run on sockets. It has the driver's delays, the resources that the processes used, and the events
//! that can only be observed on sockets.

use serde::Serialize;
use shorewharf_units::Micros;

use super::clients::ClientStatistics;
use super::clock::Distribution;
use super::datagram_proxy::DatagramStatistics;
use super::fleet::ProcessIncarnation;
use super::misbehaving_clients::MisbehaviorOutcome;

/// The score deduction if no misbehaving client receives an error or a close in time.
const MAX_BAD_COST: f64 = 0.3;

/// The report on a run on sockets.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// Why the run is void; none if it is valid.
    pub void: Option<String>,
    /// The driver's lateness: the times from when something was due to when the driver did it.
    pub late: Distribution,
    /// Upper bounds of the times from when the operating system could first report an event to when the driver had
    /// handled it.
    pub handled: Distribution,
    /// Counts of events on the clients' connections that can only be observed on sockets.
    pub clients: ClientStatistics,
    /// The outcomes of misbehaving clients, by kind.
    pub bad: Vec<(String, MisbehaviorOutcome)>,
    /// Each incarnation of each balancer.
    pub lives: Vec<ProcessIncarnation>,
    /// The number of first lines that no client had sent in that form.
    pub syntax: u64,
    /// The number of lines that a node received before it had accepted their connection.
    pub early: u64,
    /// Discovery requests that the protocol does not allow, and violations of limits by balancers.
    pub strange: Vec<String>,
    /// The number of connections from before the day that were not restored.
    pub missed: usize,
    /// Counts of the datagrams between balancers.
    pub notes: DatagramStatistics,
    /// The time on the day's clock at the end of the run.
    pub ended: Micros,
}

impl Report {
    /// Whether any process crashed.
    pub fn crashed(&self) -> bool {
        self.lives.iter().any(|l| l.crashed)
    }

    /// The score deduction for misbehaving clients that received neither an error nor a close in time.
    pub fn bad_cost(&self) -> f64 {
        let (came, neither) = self.bad.iter().fold((0, 0), |sum, (_, o)| (sum.0 + o.came, sum.1 + o.neither));
        if came == 0 { 0.0 } else { MAX_BAD_COST * neither as f64 / came as f64 }
    }
}
