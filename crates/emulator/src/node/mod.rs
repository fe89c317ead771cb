//! The model of an update node: the work of set-ups and of established connections, and the service that clients get.
//!
//! A node takes timed inputs and returns outputs; it opens no socket and reads no clock. Its load is
//! a sum that is kept up to date, and four times a second it takes a step: work piles up or drains, and the share of
//! messages in time follows for the stretch that has passed. That share is summed up by class, so what a connection
//! got is the difference of two readings, and no message is ever an event. The figures and how well they meet the
//! simulator's servers: `docs/design/emulator-nodes.md`.

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
use share::{LoadLevel, set_up_pace};
use warm_up::WarmUp;

/// The length of a step of the load model.
pub(crate) const STEP: Micros = 250_000;
/// Steps between two reports of the message delay.
const STEPS_PER_DELAY_CHECK: u64 = 4;
/// An overloaded node drops connections until its utilization is down to this ratio.
const SHED_TO: f64 = 0.9;
/// A node that paces its drain migrates its clients within about this time.
const PACED_DRAIN_TIME: Micros = 3_000_000;

/// An input of a node.
#[derive(Clone, Copy, Debug)]
pub enum NodeInput {
    /// A first line.
    Open {
        /// Its link.
        link: LinkId,
        /// The balancer that sent it.
        by: BalancerId,
        /// What it asks for.
        ask: RequestLine,
        /// The client's load.
        profile: LoadProfile,
        /// The time until the client gives up.
        patience: Micros,
    },
    /// A connection established before the day: no set-up, no answer.
    Carry {
        /// Its link.
        link: LinkId,
        /// The balancer that holds it.
        by: BalancerId,
        /// What it asked for.
        ask: RequestLine,
        /// The client's load.
        profile: LoadProfile,
    },
    /// The other side has ended a link.
    Close {
        /// The link.
        link: LinkId,
    },
    /// A probe.
    Probe {
        /// Its link.
        link: LinkId,
    },
    /// Begin to drain: serve existing connections and accept no new ones.
    Drain,
    /// A planned end of the process.
    Stop,
    /// A crash of the process.
    Crash,
    /// The process starts and begins to warm up.
    Start,
    /// A fault of the machine begins or ends.
    Fault {
        /// Which.
        kind: FaultKind,
        /// It begins.
        on: bool,
        /// Its strength, as the kind says.
        size: f64,
    },
}

/// An output of a node.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeOutput {
    /// Sends a message on a link.
    Message(LinkId, NodeMessage),
    /// Closes a link, itself or because its process ends.
    Close(LinkId, End),
    /// An attempt has arrived, accepted or not.
    Reached {
        /// Its link.
        link: LinkId,
        /// Its weight, in attempts.
        weight: f64,
        /// Attempts a second that the node can take now, while it is cold.
        cold: Option<f64>,
    },
    /// Begins (true) or stops (false) to be silent.
    Silent(bool),
    /// It was overloaded while warming up, and is down.
    Overloaded,
}

/// How a node answers a new link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepts {
    /// The link is established.
    Yes,
    /// It is refused: no process.
    Refused,
    /// Nothing comes back.
    Silent,
}

/// A node's true state.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeState {
    /// Its process runs.
    pub up: bool,
    /// It was told to drain.
    pub draining: bool,
    /// Work asked of it, in standard cores, with set-ups of the last step.
    pub load: f64,
    /// The part of it that stands: set-ups left out.
    pub stands: f64,
    /// What it can do now, in standard cores.
    pub capacity: f64,
    /// Connections that stand.
    pub connections: u32,
    /// Set-ups and probes in work.
    pub in_setup: u32,
    /// Set-ups and probes that wait.
    pub waiting: u32,
    /// The backlog of work, in seconds.
    pub pile_s: f64,
    /// The mean delay of a message, in milliseconds.
    pub delay_ms: f64,
}

/// The figures of one class that the model uses.
#[derive(Clone, Copy, Debug)]
struct ClassFigures {
    set_up: f64,
    message_latency_objective: f64,
}

/// An update node.
#[derive(Debug)]
pub struct Node {
    rng: Pcg64Mcg,
    classes: Vec<ClassFigures>,
    /// Course of the traffic over the day: (microseconds, factor), linear between.
    traffic_course: Vec<(f64, f64)>,
    /// Loads follow this power of it; numbers follow the rest.
    load_exponent: f64,
    cores: f64,
    speed: f64,
    /// Standard cores of a usual load.
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
    /// Busy core seconds between pauses, and a pause's length in seconds.
    pauses: Option<(f64, f64)>,
    resets: Vec<(Micros, Micros)>,
    reports_load: bool,
    reports_initial_load: bool,
    reports_delay: bool,
    /// Delay reports fall on the steps with this remainder, so that they are spread over the nodes.
    delay_check_phase: u64,

    up: bool,
    draining: bool,
    faults: ActiveFaults,
    warm_up: WarmUp,
    established: EstablishedConnections,
    setup_queue: SetupQueue,
    /// Requests that will never be answered.
    unanswered: BTreeSet<LinkId>,
    /// The last step taken.
    last_step: Micros,
    backlog: f64,
    busy_since_pause: f64,
    /// Work that standing connections ask for over capacity, as of the last step.
    connection_utilization: f64,
    /// Share of the cores that were busy with set-ups in the last step.
    setup_utilization: f64,
    /// Share of messages in time as of the last step, and its integral in seconds, by class.
    served: Vec<(f64, f64)>,
    /// Balancers that were notified of a high message delay.
    notified_of_delay: BTreeSet<BalancerId>,
}

impl Node {
    /// Creates a node of the day, warm and without connections.
    ///
    /// # Panics
    /// If the day does not have this node or its kind; a day that was read has both.
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
                .map(|c| ClassFigures {
                    set_up: c.set_up as f64,
                    message_latency_objective: seconds_from_micros(c.message_aim),
                })
                .collect(),
            traffic_course: day.traffic.shape.iter().map(|(at, x)| (at * 1e6, x.max(0.0))).collect(),
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
            attempt_noise: work::noise(day.classes.iter().map(|c| c.attempt_noise).fold(0.0, f64::max)),
            pauses: pauses.then(|| (seconds_from_micros(kind.pause_every), seconds_from_micros(kind.pause))),
            resets: active_faults::resets(day),
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

    /// How a link that arrives now is answered.
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

    /// Whether the load changes with time; an idle node does not step.
    fn is_stepping(&self) -> bool {
        self.up && (self.established.len() > 0 || !self.setup_queue.is_empty() || self.backlog > 0.0)
    }

    /// Handles what is due by `now`.
    pub fn advance(&mut self, now: Micros, outputs: &mut Vec<NodeOutput>) {
        while let Some(due) = self.next_due().filter(|due| *due <= now) {
            while let Some((link, load)) = self.established.change(due) {
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
            // So that the first step after a rest covers no more than a step.
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
            NodeInput::Carry { link, by, ask, profile } => {
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

    /// Seconds of messages in time so far, for a connection of this class that stood all along. It grows at steps
    /// only: who stands at a step is paid for all of it, as at the simulator. A guess within a step would have to be
    /// taken back where the step then shows a smaller share.
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

    /// Load of a usual connection, in standard cores.
    pub fn usual_load(&self) -> f64 {
        self.usual_load
    }

    /// Groups of the established connections, in order of their ids.
    pub fn groups(&self) -> Vec<u64> {
        self.established.groups()
    }

    /// Attempts that it can still accept at once before it is overloaded, while it is warming up.
    pub fn admissible_before_overload(&self, now: Micros) -> Option<f64> {
        self.warm_up.admissible_before_overload(now)
    }

    /// Factor of the day's course on all loads.
    fn traffic_factor(&self, now: Micros) -> f64 {
        let now = now as f64;
        let after = self.traffic_course.partition_point(|(at, _)| *at <= now);
        let x = match (after.checked_sub(1).map(|i| self.traffic_course[i]), self.traffic_course.get(after)) {
            (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (now - a.0) / (b.0 - a.0),
            (Some(a), None) => a.1,
            (None, Some(b)) => b.1,
            (None, None) => 1.0,
        };
        x.powf(self.load_exponent)
    }

    /// What one core does now, in standard cores.
    fn core_speed(&self, now: Micros) -> f64 {
        (self.speed * self.warm_up.warmth(now) * self.faults.pace()).max(1e-6)
    }

    fn capacity(&self, now: Micros) -> f64 {
        self.cores * self.core_speed(now)
    }

    /// Load of the established connections, in standard cores.
    fn demand(&self, now: Micros) -> f64 {
        self.usual_load * self.established.demand(self.traffic_factor(now))
    }

    fn established_utilization(&self, now: Micros) -> f64 {
        self.demand(now) / self.capacity(now)
    }

    /// What a lane does now in a microsecond, in standard core time.
    fn lane_speed(&self, now: Micros) -> f64 {
        if self.faults.is_stalled {
            0.0
        } else {
            self.core_speed(now) * set_up_pace(self.connection_utilization)
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
