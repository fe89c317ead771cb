//! The model of an update node: the work of set-ups and of established connections, and the service that
//! clients get.
//!
//! A node takes timed inputs and returns outputs; it opens no socket and reads no clock. The sum of its loads
//! is always up to date. Four times a second the model takes a step: it updates the backlog of work and
//! computes the share of messages that were in time since the last step. That share is integrated over time
//! by class, so the service that a connection got is the difference of two readings, and no message is
//! simulated as an event. The parameters, and how well the model matches the simulator's servers, are
//! described in `docs/design/emulator-nodes.md`.

mod active_faults;
mod established;
mod load_oscillation;
mod setup_queue;
mod share;
#[cfg(test)]
mod tests;
mod warm_up;
mod work;

use shorewharf_units::{Micros, seconds_from_micros};
use std::collections::BTreeSet;

use rand_distr::Gamma;
use rand_pcg::Pcg64Mcg;

use crate::day::{Day, DrainPolicy, FaultKind, ShedPolicy};
use crate::edge::{BalancerId, End, LinkId, NodeId, NodeMessage, RequestLine};
use crate::population::LoadProfile;
use active_faults::ActiveFaults;
use established::EstablishedConnections;
use setup_queue::SetupQueue;
use share::{LoadLevel, setup_pace};
use warm_up::WarmUp;

/// The length of a step of the load model.
pub(crate) const STEP: Micros = 250_000;
/// The number of steps between two reports of the message delay.
const STEPS_PER_DELAY_CHECK: u64 = 4;
/// An overloaded node drops connections until its utilization is down to this ratio.
const SHED_TARGET_UTILIZATION: f64 = 0.9;
/// A node that paces its drain migrates its clients within about this time.
const PACED_DRAIN_TIME: Micros = 3_000_000;

/// An input of a node.
#[derive(Clone, Copy, Debug)]
pub enum NodeInput {
    /// A request: the first line on a link.
    Open {
        /// The link of the request.
        link: LinkId,
        /// The balancer that sent it.
        by: BalancerId,
        /// The request.
        ask: RequestLine,
        /// The client's load.
        profile: LoadProfile,
        /// The time until the client gives up.
        patience: Micros,
    },
    /// A connection that was established before the day; it needs no set-up and gets no response.
    InitialConnection {
        /// The link of the connection.
        link: LinkId,
        /// The balancer that holds it.
        by: BalancerId,
        /// The request of the connection.
        ask: RequestLine,
        /// The client's load.
        profile: LoadProfile,
    },
    /// The balancer has closed a link.
    Close {
        /// The closed link.
        link: LinkId,
    },
    /// A health check.
    Probe {
        /// The link of the health check.
        link: LinkId,
    },
    /// The node begins to drain: it serves existing connections and accepts no new ones.
    Drain,
    /// The process stops as planned.
    Stop,
    /// The process crashes.
    Crash,
    /// The process starts and begins to warm up.
    Start,
    /// A fault of the machine begins or ends.
    Fault {
        /// The kind of fault.
        kind: FaultKind,
        /// True if the fault begins, false if it ends.
        on: bool,
        /// The strength of the fault; its meaning depends on the kind.
        size: f64,
    },
}

/// An output of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeOutput {
    /// Sends a message on a link.
    Message(LinkId, NodeMessage),
    /// Closes a link, on its own or because the process ends.
    Close(LinkId, End),
    /// Reports that an attempt has arrived, accepted or not.
    AttemptArrived {
        /// The link of the attempt.
        link: LinkId,
        /// The number of attempts that it counts as.
        weight: f64,
        /// The attempts per second that the node can admit now; none if it is warm.
        cold: Option<f64>,
    },
    /// Becomes silent (true) or sends again (false).
    Silent(bool),
    /// The node was overloaded while warming up, and its process has ended.
    Overloaded,
}

/// How a node answers a new link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepts {
    /// The link is established.
    Yes,
    /// The link is refused because no process runs.
    Refused,
    /// The link gets no response.
    Silent,
}

/// The true state of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeState {
    /// Whether its process runs.
    pub up: bool,
    /// Whether it is draining.
    pub draining: bool,
    /// The demanded work including the set-ups of the last step, in standard cores.
    pub load: f64,
    /// The part of the load that is due to established connections, in standard cores.
    pub stands: f64,
    /// The present capacity, in standard cores; 0 if no process runs.
    pub capacity: f64,
    /// The number of established connections.
    pub connections: u32,
    /// The number of set-ups and probes in progress.
    pub in_setup: u32,
    /// The number of set-ups and probes that wait.
    pub waiting: u32,
    /// The backlog of work, in seconds.
    pub pile_s: f64,
    /// The mean delay of a message, in milliseconds.
    pub delay_ms: f64,
}

/// The parameters of a request class that the model uses.
#[derive(Clone, Copy, Debug)]
struct ClassParameters {
    /// The work of a set-up, in microseconds of a standard core.
    set_up: f64,
    /// The latency objective of a message, in seconds.
    message_latency_objective: f64,
}

/// An update node.
#[derive(Debug)]
pub struct Node {
    rng: Pcg64Mcg,
    classes: Vec<ClassParameters>,
    /// The traffic over the day as points (microseconds, factor), with linear interpolation between them.
    traffic_curve: Vec<(f64, f64)>,
    /// The exponent of the traffic factor for the loads of clients. The remaining exponent applies to their
    /// number.
    load_exponent: f64,
    cores: f64,
    speed: f64,
    /// The load of a usual connection, in standard cores.
    usual_load: f64,
    message_work: f64,
    burstiness: f64,
    max_backlog: f64,
    shed_policy: ShedPolicy,
    drain_policy: DrainPolicy,
    connection_cap: usize,
    probe_work: f64,
    probe_cap: usize,
    error_rate: f64,
    attempt_noise: Option<Gamma<f64>>,
    /// The busy core seconds between two pauses and the length of a pause in seconds; none if the node does
    /// not pause.
    pauses: Option<(f64, f64)>,
    /// The begin and length of the day's faults that reset connections.
    reset_faults: Vec<(Micros, Micros)>,
    reports_load: bool,
    reports_initial_load: bool,
    reports_delay: bool,
    /// The delay is reported on steps with this remainder, so that the nodes do not all report at the same
    /// time.
    delay_check_phase: u64,

    up: bool,
    draining: bool,
    faults: ActiveFaults,
    warm_up: WarmUp,
    established: EstablishedConnections,
    setup_queue: SetupQueue,
    /// The links of requests that are never answered.
    unanswered: BTreeSet<LinkId>,
    /// The time of the last step.
    last_step: Micros,
    /// The backlog of work, in seconds.
    backlog: f64,
    /// The busy core seconds since the last pause.
    busy_since_pause: f64,
    /// The ratio of the load of established connections to the capacity, as of the last step.
    connection_utilization: f64,
    /// The share of the cores that was busy with set-ups in the last step.
    setup_utilization: f64,
    /// By class: the share of messages in time as of the last step, and its integral in seconds.
    served: Vec<(f64, f64)>,
    /// The balancers to which a high message delay was reported.
    notified_of_delay: BTreeSet<BalancerId>,
}

impl Node {
    /// Creates a node of the day, warm and without connections.
    ///
    /// # Panics
    /// Panics if the day does not have this node or its kind; a validated day has both.
    pub fn new(day: &Day, id: NodeId, rng: Pcg64Mcg) -> Node {
        let node = &day.nodes[id.0 as usize];
        let kind = &day.kinds[node.kind as usize];
        let streams = &day.streams;
        let cores = f64::from(kind.cores);
        let pauses = kind.pause_every > 0 && kind.pause > 0;
        Node {
            rng,
            classes: day
                .classes
                .iter()
                .map(|c| ClassParameters {
                    set_up: c.set_up as f64,
                    message_latency_objective: seconds_from_micros(c.message_aim),
                })
                .collect(),
            traffic_curve: day.traffic.shape.iter().map(|(at, x)| (at * 1e6, x.max(0.0))).collect(),
            load_exponent: 1.0 - streams.by_joins,
            cores,
            speed: node.speed.max(1e-6),
            usual_load: 1.0 / streams.per_core.max(1e-9),
            message_work: streams.message.max(1) as f64 / 1e6,
            burstiness: streams.bursty,
            max_backlog: streams.buffer_s,
            shed_policy: streams.sheds,
            drain_policy: streams.go_away,
            connection_cap: (streams.cap * streams.per_core * cores).round().max(1.0) as usize,
            probe_work: day.limits.probe_work as f64,
            probe_cap: match (day.limits.probe_cap_per_core * cores).round() as usize {
                0 => usize::MAX,
                cap => cap,
            },
            error_rate: kind.error_rate.clamp(0.0, 1.0),
            attempt_noise: work::attempt_noise(
                day.classes.iter().map(|c| c.attempt_noise).fold(0.0, f64::max),
            ),
            pauses: pauses.then(|| (seconds_from_micros(kind.pause_every), seconds_from_micros(kind.pause))),
            reset_faults: active_faults::reset_faults_of(day),
            reports_load: streams.tells_load,
            reports_initial_load: streams.tells_first,
            reports_delay: streams.tells_delay,
            delay_check_phase: (STEPS_PER_DELAY_CHECK - u64::from(id.0) % STEPS_PER_DELAY_CHECK)
                % STEPS_PER_DELAY_CHECK,
            up: node.up,
            draining: false,
            faults: ActiveFaults::default(),
            warm_up: WarmUp::new(day, kind, node.speed.max(1e-6)),
            established: EstablishedConnections::new(day),
            setup_queue: SetupQueue::new(kind),
            unanswered: BTreeSet::new(),
            last_step: 0,
            backlog: 0.0,
            busy_since_pause: 0.0,
            connection_utilization: 0.0,
            setup_utilization: 0.0,
            served: vec![(1.0, 0.0); day.classes.len()],
            notified_of_delay: BTreeSet::new(),
        }
    }

    /// How the node responds to a link that arrives now.
    pub fn accepts(&self, _now: Micros) -> Accepts {
        match (self.faults.is_cut_off, self.up) {
            (true, _) => Accepts::Silent,
            (false, true) => Accepts::Yes,
            (false, false) => Accepts::Refused,
        }
    }

    /// When the next event of the model is due.
    pub fn next_due(&self) -> Option<Micros> {
        let step = self.is_stepping().then(|| self.last_step + STEP);
        [step, self.setup_queue.next_due(), self.established.next_due()].into_iter().flatten().min()
    }

    /// Whether the model takes steps; an idle node does not.
    fn is_stepping(&self) -> bool {
        self.up && (self.established.len() > 0 || !self.setup_queue.is_empty() || self.backlog > 0.0)
    }

    /// Handles what is due by `now`.
    pub fn advance(&mut self, now: Micros, outputs: &mut Vec<NodeOutput>) {
        while let Some(due) = self.next_due().filter(|due| *due <= now) {
            while let Some((link, load)) = self.established.pop_load_change(due) {
                self.report_load(due, link, load, outputs);
            }
            while let Some(job) = self.setup_queue.pop_done(due) {
                self.on_setup_done(due, job, outputs);
            }
            if self.is_stepping() && self.last_step + STEP <= due {
                self.step(outputs);
            }
        }
        if !self.is_stepping() {
            // The first step after an idle period must not cover more than the length of a step.
            self.last_step = now - now % STEP;
            (self.connection_utilization, self.setup_utilization) = (0.0, 0.0);
        }
    }

    /// Handles an input.
    pub fn handle(&mut self, now: Micros, what: NodeInput, outputs: &mut Vec<NodeOutput>) {
        self.advance(now, outputs);
        match what {
            NodeInput::Open { link, by, ask, profile, patience } => {
                self.on_open(now, link, by, ask, profile, patience, outputs);
            }
            NodeInput::InitialConnection { link, by, ask, profile } => {
                self.establish(now, link, by, &ask, profile.mean, outputs);
            }
            NodeInput::Close { link } => {
                let _ = self.established.remove(link)
                    || self.setup_queue.abandon(link)
                    || self.unanswered.remove(&link);
            }
            NodeInput::Probe { link } => self.on_probe(now, link, outputs),
            NodeInput::Drain => self.drain(outputs),
            NodeInput::Stop | NodeInput::Crash => self.end_process(now, outputs),
            NodeInput::Start => self.start_process(now),
            NodeInput::Fault { kind, on, size } => self.set_fault(now, kind, on, size, outputs),
        }
    }

    /// The integral of the share of messages in time since the start of the day, for this class, in seconds.
    /// It grows only at steps: a connection that is established at a step gets the share for the whole step,
    /// as in the simulator. An estimate within a step would have to be reduced if the step then determines a
    /// smaller share.
    pub fn served(&self, class: u32) -> f64 {
        self.served.get(class as usize).map_or(0.0, |(_, sum)| *sum)
    }

    /// The true state, as of the last step.
    pub fn state(&self) -> NodeState {
        let (in_setup, waiting) = self.setup_queue.working_and_waiting();
        let capacity = if self.up { self.capacity(self.last_step) } else { 0.0 };
        NodeState {
            up: self.up,
            draining: self.draining,
            load: self.demand(self.last_step) + self.setup_utilization * capacity,
            stands: self.demand(self.last_step),
            capacity,
            connections: self.established.len() as u32,
            in_setup: in_setup as u32,
            waiting: waiting as u32,
            pile_s: self.backlog,
            delay_ms: self.load_level(self.last_step).delay() * 1e3,
        }
    }

    /// The load of a usual connection, in standard cores.
    pub fn usual_load(&self) -> f64 {
        self.usual_load
    }

    /// The groups of the established connections, ordered by id.
    pub fn groups(&self) -> Vec<u64> {
        self.established.groups()
    }

    /// The number of attempts that the node can still accept at once without being overloaded; none if it is
    /// warm.
    pub fn admissible_before_overload(&self, now: Micros) -> Option<f64> {
        self.warm_up.admissible_before_overload(now)
    }

    /// The present factor on the loads of all connections.
    fn traffic_factor(&self, now: Micros) -> f64 {
        let now = now as f64;
        let after = self.traffic_curve.partition_point(|(at, _)| *at <= now);
        let x = match (after.checked_sub(1).map(|i| self.traffic_curve[i]), self.traffic_curve.get(after)) {
            (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (now - a.0) / (b.0 - a.0),
            (Some(a), None) => a.1,
            (None, Some(b)) => b.1,
            (None, None) => 1.0,
        };
        x.powf(self.load_exponent)
    }

    /// The present speed of a core, in standard cores.
    fn core_speed(&self, now: Micros) -> f64 {
        (self.speed * self.warm_up.capacity_ratio(now) * self.faults.speed()).max(1e-6)
    }

    fn capacity(&self, now: Micros) -> f64 {
        self.cores * self.core_speed(now)
    }

    /// The load of the established connections, in standard cores.
    fn demand(&self, now: Micros) -> f64 {
        self.usual_load * self.established.demand(self.traffic_factor(now))
    }

    fn established_utilization(&self, now: Micros) -> f64 {
        self.demand(now) / self.capacity(now)
    }

    /// The standard core time that a set-up lane now processes per microsecond.
    fn lane_speed(&self, now: Micros) -> f64 {
        if self.faults.is_stalled {
            0.0
        } else {
            self.core_speed(now) * setup_pace(self.connection_utilization)
        }
    }

    fn load_level(&self, now: Micros) -> LoadLevel {
        LoadLevel {
            cores: self.cores,
            utilization: self.connection_utilization + self.setup_utilization,
            backlog: self.backlog,
            message_time: self.message_work / self.core_speed(now),
        }
    }
}
