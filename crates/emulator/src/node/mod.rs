//! The model of an update node: the work of set-ups and of standing connections, and what clients get of it.
//!
//! A node is told what reaches it and when, and says what it does; it knows no sockets and reads no clock. Its load is
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

use crate::day::{Day, FaultKind, GoAway, Sheds};
use crate::edge::{BalancerId, End, LinkId, NodeId, NodeMessage, RequestLine};
use crate::population::LoadProfile;
use active_faults::ActiveFaults;
use established::EstablishedConnections;
use setup_queue::{Job, JobKind, SetupQueue};
use share::{LoadLevel, set_up_pace};
use warm_up::WarmUp;

/// Length of a step.
pub(crate) const STEP: Micros = 250_000;
/// Steps between two looks at what a message takes.
const LOOK_EVERY: u64 = 4;
/// A full node drops connections until its load is down to this share of its capacity.
const SHED_TO: f64 = 0.9;
/// A node that paces its leave-taking sends its clients away within about this.
const PACED: Micros = 3_000_000;

/// What reaches a node.
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
        /// What is left of the client's patience.
        patience: Micros,
    },
    /// A connection that stands since before the day: no set-up, no answer.
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
    /// It shall finish what it has and take nothing new.
    Drain,
    /// Its process ends by plan.
    Stop,
    /// Its process dies.
    Crash,
    /// Its process starts, cold.
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

/// What a node does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NodeOutput {
    /// It says this.
    Says(LinkId, NodeMessage),
    /// It ends a link, or its process's end does.
    Ends(LinkId, End),
    /// An attempt has come, taken or not.
    Reached {
        /// Its link.
        link: LinkId,
        /// Its weight, in attempts.
        weight: f64,
        /// Attempts a second that the node can take now, while it is cold.
        cold: Option<f64>,
    },
    /// From now on nothing is heard from it, or something is again.
    Silent(bool),
    /// It was pushed over while it was cold, and is down.
    Fallen,
}

/// What becomes of a new link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Accepts {
    /// It comes up.
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
    /// Work piled up, in seconds.
    pub pile_s: f64,
    /// What a message takes, in milliseconds.
    pub delay_ms: f64,
}

/// What the model takes from the day, for one class.
#[derive(Clone, Copy, Debug)]
struct ClassFigures {
    set_up: f64,
    aim: f64,
}

/// An update node.
#[derive(Debug)]
pub struct Node {
    rng: Pcg64Mcg,
    classes: Vec<ClassFigures>,
    /// Course of the traffic over the day: (microseconds, factor), linear between.
    course: Vec<(f64, f64)>,
    /// Loads follow this power of it; numbers follow the rest.
    by_load: f64,
    cores: f64,
    speed: f64,
    /// Standard cores of a usual load.
    usual: f64,
    message: f64,
    bursty: f64,
    buffer: f64,
    sheds: Sheds,
    go_away: GoAway,
    cap: usize,
    probe_work: f64,
    probe_cap: usize,
    error_rate: f64,
    attempt: Option<Gamma<f64>>,
    /// Busy core seconds between pauses, and a pause's length in seconds.
    pauses: Option<(f64, f64)>,
    resets: Vec<(Micros, Micros)>,
    tells_load: bool,
    tells_first: bool,
    tells_delay: bool,
    /// Looks at messages' times fall on the steps with this remainder, so that nodes take turns.
    looks_at: u64,

    up: bool,
    draining: bool,
    ills: ActiveFaults,
    cold: WarmUp,
    standing: EstablishedConnections,
    set_ups: SetupQueue,
    /// Openings that will never be answered.
    mute: BTreeSet<LinkId>,
    /// The last step taken.
    stepped: Micros,
    pile: f64,
    worked: f64,
    /// Work that standing connections ask for over capacity, as of the last step.
    stood: f64,
    /// Share of the cores that were busy with set-ups in the last step.
    lanes: f64,
    /// Share of messages in time as of the last step, and its integral in seconds, by class.
    served: Vec<(f64, f64)>,
    /// Balancers that know of slow messages.
    told_slow: BTreeSet<BalancerId>,
}

impl Node {
    /// A node of the day, warm, with nothing on it.
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
                .map(|c| ClassFigures { set_up: c.set_up as f64, aim: seconds_from_micros(c.message_aim) })
                .collect(),
            course: day.traffic.shape.iter().map(|(at, x)| (at * 1e6, x.max(0.0))).collect(),
            by_load: 1.0 - streams.by_joins,
            cores,
            speed: node.speed.max(1e-6),
            usual: 1.0 / streams.per_core.max(1e-9),
            message: streams.message.max(1) as f64 / 1e6,
            bursty: streams.bursty,
            buffer: streams.buffer_s,
            sheds: streams.sheds,
            go_away: streams.go_away,
            cap: (streams.cap * streams.per_core * cores).round().max(1.0) as usize,
            probe_work: day.limits.probe_work as f64,
            probe_cap: match (day.limits.probe_cap_per_core * cores).round() as usize {
                0 => usize::MAX,
                cap => cap,
            },
            error_rate: kind.error_rate.clamp(0.0, 1.0),
            attempt: work::noise(day.classes.iter().map(|c| c.attempt_noise).fold(0.0, f64::max)),
            pauses: pauses.then(|| (seconds_from_micros(kind.pause_every), seconds_from_micros(kind.pause))),
            resets: active_faults::resets(day),
            tells_load: streams.tells_load,
            tells_first: streams.tells_first,
            tells_delay: streams.tells_delay,
            looks_at: (LOOK_EVERY - u64::from(id.0) % LOOK_EVERY) % LOOK_EVERY,
            up: node.up,
            draining: false,
            ills: ActiveFaults::default(),
            cold: WarmUp::new(day, kind, node.speed.max(1e-6)),
            standing: EstablishedConnections::new(day),
            set_ups: SetupQueue::new(kind),
            mute: BTreeSet::new(),
            stepped: 0,
            pile: 0.0,
            worked: 0.0,
            stood: 0.0,
            lanes: 0.0,
            served: vec![(1.0, 0.0); day.classes.len()],
            told_slow: BTreeSet::new(),
        }
    }

    /// What becomes of a link that comes now.
    pub fn accepts(&self, _now: Micros) -> Accepts {
        match (self.ills.cut_off, self.up) {
            (true, _) => Accepts::Silent,
            (false, true) => Accepts::Yes,
            (false, false) => Accepts::Refused,
        }
    }

    /// When it has something to do next.
    pub fn next_due(&self) -> Option<Micros> {
        let step = self.steps().then(|| self.stepped + STEP);
        [step, self.set_ups.next_due(), self.standing.next_due()].into_iter().flatten().min()
    }

    /// Anything here changes with time; an idle node does not step.
    fn steps(&self) -> bool {
        self.up && (self.standing.len() > 0 || !self.set_ups.is_empty() || self.pile > 0.0)
    }

    /// Does what is due by now.
    pub fn advance(&mut self, now: Micros, out: &mut Vec<NodeOutput>) {
        while let Some(due) = self.next_due().filter(|due| *due <= now) {
            while let Some((link, load)) = self.standing.change(due) {
                self.tell_load(due, link, load, out);
            }
            while let Some(job) = self.set_ups.done(due) {
                self.is_done(due, job, out);
            }
            if self.steps() && self.stepped + STEP <= due {
                self.step(out);
            }
        }
        if !self.steps() {
            // So that the first step after a rest covers no more than a step.
            self.stepped = now - now % STEP;
            (self.stood, self.lanes) = (0.0, 0.0);
        }
    }

    /// Something reaches it.
    pub fn handle(&mut self, now: Micros, what: NodeInput, out: &mut Vec<NodeOutput>) {
        self.advance(now, out);
        match what {
            NodeInput::Open { link, by, ask, profile, patience } => {
                self.opens(now, link, by, ask, profile, patience, out)
            }
            NodeInput::Carry { link, by, ask, profile } => {
                self.stands(now, link, by, &ask, profile.mean, out)
            }
            NodeInput::Close { link } => {
                let _ = self.standing.remove(link) || self.set_ups.give_up(link) || self.mute.remove(&link);
            }
            NodeInput::Probe { link } => self.probed(now, link, out),
            NodeInput::Drain => self.drains(out),
            NodeInput::Stop | NodeInput::Crash => self.ends(now, out),
            NodeInput::Start => self.starts(now),
            NodeInput::Fault { kind, on, size } => self.falls_ill(now, kind, on, size, out),
        }
    }

    /// Seconds of messages in time so far, for a connection of this class that stood all along. It grows at steps
    /// only: who stands at a step is paid for all of it, as at the simulator. A guess within a step would have to be
    /// taken back where the step then shows a smaller share.
    pub fn served(&self, class: u32) -> f64 {
        self.served.get(class as usize).map_or(0.0, |(_, sum)| *sum)
    }

    /// Its true state, as of the last step.
    pub fn state(&self) -> NodeState {
        let (in_setup, waiting) = self.set_ups.in_hand();
        let capacity = if self.up { self.capacity(self.stepped) } else { 0.0 };
        NodeState {
            up: self.up,
            draining: self.draining,
            load: self.demand(self.stepped) + self.lanes * capacity,
            stands: self.demand(self.stepped),
            capacity,
            connections: self.standing.len() as u32,
            in_setup: in_setup as u32,
            waiting: waiting as u32,
            pile_s: self.pile,
            delay_ms: self.busy(self.stepped).delay() * 1e3,
        }
    }

    /// Load of a usual connection, in standard cores.
    pub fn usual(&self) -> f64 {
        self.usual
    }

    /// Groups of the connections that stand, in order of their ids.
    pub fn groups(&self) -> Vec<u64> {
        self.standing.groups()
    }

    /// Attempts that it still takes at once before it is pushed over, while it is cold.
    pub fn before_fall(&self, now: Micros) -> Option<f64> {
        self.cold.before_fall(now)
    }

    /// Factor of the day's course on all loads.
    fn course(&self, now: Micros) -> f64 {
        let now = now as f64;
        let after = self.course.partition_point(|(at, _)| *at <= now);
        let x = match (after.checked_sub(1).map(|i| self.course[i]), self.course.get(after)) {
            (Some(a), Some(b)) => a.1 + (b.1 - a.1) * (now - a.0) / (b.0 - a.0),
            (Some(a), None) => a.1,
            (None, Some(b)) => b.1,
            (None, None) => 1.0,
        };
        x.powf(self.by_load)
    }

    /// What one core does now, in standard cores.
    fn core(&self, now: Micros) -> f64 {
        (self.speed * self.cold.warmth(now) * self.ills.pace()).max(1e-6)
    }

    fn capacity(&self, now: Micros) -> f64 {
        self.cores * self.core(now)
    }

    /// Load of what stands here, in standard cores.
    fn demand(&self, now: Micros) -> f64 {
        self.usual * self.standing.demand(self.course(now))
    }

    fn standing_rho(&self, now: Micros) -> f64 {
        self.demand(now) / self.capacity(now)
    }

    /// What a lane does now in a microsecond, in standard core time.
    fn lane(&self, now: Micros) -> f64 {
        if self.ills.hung { 0.0 } else { self.core(now) * set_up_pace(self.stood) }
    }

    fn busy(&self, now: Micros) -> LoadLevel {
        LoadLevel {
            cores: self.cores,
            rho: self.stood + self.lanes,
            pile: self.pile,
            message: self.message / self.core(now),
        }
    }
}
