//! The world: all models of the platform over one queue of timed events, exchanging the messages of
//! [`crate::edge`] with balancers.
//!
//! It reads no clock and opens no socket: a driver advances it with [`World::advance`], delivers its messages
//! to the balancers, and reports their actions with [`World::on_balancer_action`]. It models all network
//! delays. Events of the same time are handled in the order in which they were scheduled. Each model has a
//! random number generator of its own, so that an additional draw in one model changes nothing in another.

mod balancers;
mod clients;
pub mod conns;
mod ground_truth;
pub mod links;
mod listener;
mod nodes;
pub mod pairs;
pub mod queue;
pub mod series;
pub mod settings;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use shorewharf_units::Micros;

use crate::audit::Observation;
use crate::day::Day;
use crate::edge::{BalancerId, ConnId, End, LinkId, Listed, NodeId, NodeMessage, ToBalancer};
use crate::environment::{Discovery, FaultEvent, FaultInterval, FaultSchedule, Front, Network};
use crate::node::{Node, NodeOutput};
use crate::population::{ClientAction, ClientPopulation};
use crate::score::{Outcome, Score};
use conns::Conns;
pub use ground_truth::GroundTruth;
use links::Links;
pub use listener::WorldListener;
use pairs::Pairs;
use queue::Queue;
use series::Series;

const SECOND: Micros = 1_000_000;

/// What kind of driver advances the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// The driver runs in virtual time: a first line is sent with its link, and the links of a balancer to a
    /// node share one connection.
    Virtual,
    /// The driver runs in real time on sockets: links and lines are reported as they are read.
    Sockets,
}

/// Creates the random number generator of one model (and of one instance of it, given by `place`). It is the
/// same in every run of the same day, and independent of all other generators.
pub fn rng(seed: u64, model: &str, place: u64) -> Pcg64Mcg {
    // FNV-1a over the model's name, so that a new model doesn't change the draws of others.
    let name = model
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    Pcg64Mcg::seed_from_u64(seed ^ name.rotate_left(17) ^ place.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// An arrival at a node.
#[derive(Clone, Copy, Debug)]
enum NodeArrival {
    FirstLine,
    Probe,
    Ended,
}

/// An arrival at a balancer on a link.
#[derive(Clone, Copy, Debug)]
enum BalancerArrival {
    Up,
    Failed,
    Message(NodeMessage),
    Ended(End),
}

/// An arrival at a balancer from a client.
#[derive(Clone, Copy, Debug)]
enum ClientArrival {
    Open,
    Line,
    Ended(End),
}

/// A message that arrives at a client.
#[derive(Clone, Copy, Debug)]
enum ClientMessage {
    Up(LinkId),
    Busy(Micros),
    Err,
    Move { by_node: bool },
    Bye,
    Ended(End),
}

/// A scheduled event.
#[derive(Clone, Copy, Debug)]
enum Event {
    SecondElapsed,
    NodeWake(NodeId),
    NodeArrival(LinkId, NodeArrival),
    BalancerArrival(LinkId, BalancerArrival),
    ClientMessage(ConnId, ClientMessage),
    ClientArrival(ConnId, ClientArrival),
    ClientLineDue(ConnId),
}

#[derive(Debug)]
struct NodeSlot {
    model: Node,
    zone: u32,
    /// When the next wake-up is scheduled.
    wake: Option<Micros>,
    silent: bool,
}

impl NodeSlot {
    fn ground_truth(&self, now: Micros) -> GroundTruth {
        let s = self.model.state();
        GroundTruth {
            accepts_connections: s.up && !self.silent,
            load: s.load,
            capacity: s.capacity,
            connections: s.connections,
            set_ups: s.in_setup + s.waiting,
            backlog_s: s.pile_s,
            established_load: s.stands,
            mean_connection_load: self.model.usual_load(),
            groups: self.model.groups(),
            admissible_before_overload: self.model.admissible_before_overload(now),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BalancerSlot {
    zone: u32,
    up: bool,
    terminating: bool,
    incarnations: u64,
}

/// Buffers that are reused, so that messages need no allocation.
#[derive(Debug, Default)]
struct Buffers {
    node_outputs: Vec<NodeOutput>,
    client_actions: Vec<ClientAction>,
    list_events: Vec<(BalancerId, ToBalancer)>,
    listed_changes: Vec<Listed>,
    fault_events: Vec<FaultEvent>,
}

/// What the world counted during a run.
#[derive(Clone, Debug)]
pub struct WorldResult {
    /// The score of the run.
    pub outcome: Outcome,
    /// The faults that occurred, with their intervals and the parties that they affected.
    pub faults: Vec<FaultInterval>,
    /// Figures by second and counts by cause.
    pub series: Series,
    /// The number of events that were handled.
    pub events: u64,
}

/// The emulated platform around a set of balancers.
#[derive(Debug)]
pub struct World {
    day: Day,
    mode: Mode,
    now: Micros,
    queue: Queue<Event>,
    nodes: Vec<NodeSlot>,
    balancers: Vec<BalancerSlot>,
    clients: ClientPopulation,
    score: Score,
    front: Front,
    discovery: Discovery,
    network: Network,
    schedule: FaultSchedule,
    conns: Conns,
    links: Links,
    pairs: Pairs,
    series: Series,
    line_rng: Pcg64Mcg,
    buffers: Buffers,
    events: u64,
    waiting_clients: usize,
}

impl World {
    /// Creates the world of a day before its start.
    pub fn new(day: &Day, mode: Mode) -> World {
        let seed = day.seed;
        let node = |(i, n): (usize, &crate::day::Node)| NodeSlot {
            model: Node::new(day, NodeId(i as u32), rng(seed, "node", i as u64)),
            zone: n.zone,
            wake: None,
            silent: false,
        };
        let balancer = |b: &crate::day::Balancer| BalancerSlot {
            zone: b.zone,
            up: false,
            terminating: false,
            incarnations: 0,
        };
        let mut world = World {
            mode,
            now: 0,
            queue: Queue::default(),
            nodes: day.nodes.iter().enumerate().map(node).collect(),
            balancers: day.balancers.iter().map(balancer).collect(),
            clients: ClientPopulation::new(day, rng(seed, "people", 0)),
            score: Score::new(day),
            front: Front::new(day, rng(seed, "front", 0)),
            discovery: Discovery::new(day, rng(seed, "discovery", 0), rng(seed, "discovery", 1)),
            network: Network::new(&day.net, rng(seed, "network", 0)),
            schedule: FaultSchedule::new(day, rng(seed, "schedule", 0)),
            conns: Conns::default(),
            links: Links::default(),
            pairs: Pairs::new(day.balancers.len(), day.nodes.len(), day.limits.idle_close),
            series: Series::new(day),
            line_rng: rng(seed, "lines", 0),
            buffers: Buffers::default(),
            events: 0,
            waiting_clients: 0,
            day: day.clone(),
        };
        world.queue.push(SECOND, Event::SecondElapsed);
        for i in 0..world.nodes.len() {
            world.schedule_node_wake(NodeId(i as u32));
        }
        world
    }

    /// The day of this world.
    pub fn day(&self) -> &Day {
        &self.day
    }

    /// The number of events that were handled so far.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// When the next event is due.
    pub fn next_due(&self) -> Option<Micros> {
        let models = [
            self.schedule.next_due(),
            self.score.next_due(),
            self.discovery.next_due(),
            self.clients.next_due(),
        ];
        models.into_iter().flatten().chain(self.queue.next_due()).min()
    }

    /// Handles every event that is due up to `until`.
    pub fn advance(&mut self, until: Micros, listener: &mut impl WorldListener) {
        loop {
            // Of events at the same time, faults are handled first, then scheduled events, the endpoint list,
            // clients, and the score.
            let due = |t: Option<Micros>| t.unwrap_or(Micros::MAX);
            let (faults, queued) = (due(self.schedule.next_due()), due(self.queue.next_due()));
            let (list, clients) = (due(self.discovery.next_due()), due(self.clients.next_due()));
            let score = due(self.score.next_due());
            let at = faults.min(queued).min(list).min(clients).min(score);
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            self.events += 1;
            if faults == at {
                self.apply_due_faults(listener);
            } else if queued == at {
                if let Some((_, event)) = self.queue.pop(at) {
                    self.handle_event(event, listener);
                }
            } else if list == at {
                self.publish_list_events(listener);
            } else if clients == at {
                self.run_due_clients(listener);
            } else {
                self.tick_score();
            }
        }
        self.now = self.now.max(until);
    }

    fn handle_event(&mut self, event: Event, listener: &mut impl WorldListener) {
        match event {
            Event::SecondElapsed => self.on_second(),
            Event::NodeWake(node) => self.on_node_wake(node, listener),
            Event::NodeArrival(link, what) => self.on_arrival_at_node(link, what, listener),
            Event::BalancerArrival(link, what) => self.on_arrival_at_balancer(link, what, listener),
            Event::ClientMessage(conn, message) => self.on_arrival_at_client(conn, message),
            Event::ClientArrival(conn, what) => self.on_arrival_from_client(conn, what, listener),
            Event::ClientLineDue(conn) => self.on_line_due(conn, listener),
        }
    }

    fn publish_list_events(&mut self, listener: &mut impl WorldListener) {
        let mut list_events = std::mem::take(&mut self.buffers.list_events);
        let mut listed = std::mem::take(&mut self.buffers.listed_changes);
        self.discovery.advance(self.now, &mut list_events, &mut listed);
        listed.drain(..).for_each(|entry| listener.observe(self.now, Observation::Listed(entry)));
        self.buffers.listed_changes = listed;
        for (balancer, what) in list_events.drain(..) {
            if self.balancers[balancer.0 as usize].up {
                listener.deliver(self.now, balancer, what);
            }
        }
        self.buffers.list_events = list_events;
    }

    fn apply_due_faults(&mut self, listener: &mut impl WorldListener) {
        let mut events = std::mem::take(&mut self.buffers.fault_events);
        self.schedule.advance(self.now, &mut events);
        for what in events.drain(..) {
            match what {
                FaultEvent::Node(node, event) => self.apply_node_event(node, event, listener),
                FaultEvent::Balancer(balancer, event) => self.apply_balancer_event(balancer, event, listener),
                FaultEvent::Clients(place) => self.apply_client_fault(place, listener),
                FaultEvent::Discovery(place, on) => {
                    self.discovery.apply_fault(self.now, &self.day.faults[place], on);
                }
            }
        }
        self.buffers.fault_events = events;
    }

    fn on_second(&mut self) {
        self.queue.push(self.now + SECOND, Event::SecondElapsed);
        self.pairs.close_idle(self.now);
        self.score.set_open_pairs(self.now, self.pairs.open_count());
        self.conns.remove_finished();
        if self.now <= self.day.length {
            for (i, node) in self.nodes.iter().enumerate() {
                self.series.sample_node(NodeId(i as u32), node.ground_truth(self.now));
            }
        }
    }

    fn tick_score(&mut self) {
        let nodes = &self.nodes;
        let now = self.now;
        self.score.tick(now, &mut |node, class| nodes[node.0 as usize].model.served(class));
    }

    /// The true state of all nodes.
    pub fn ground_truth(&self, out: &mut Vec<GroundTruth>) {
        out.clear();
        out.extend(self.nodes.iter().map(|n| n.ground_truth(self.now)));
    }

    /// The data for reports so far.
    pub fn series(&self) -> &Series {
        &self.series
    }

    /// The number of clients that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.waiting_clients
    }

    /// Ends the run and returns what was counted.
    pub fn finish(self) -> WorldResult {
        WorldResult {
            outcome: self.score.finish(),
            faults: self.schedule.intervals().to_vec(),
            series: self.series,
            events: self.events,
        }
    }

    /// Draws the one-way delay between a balancer and a node.
    fn one_way_delay(&mut self, balancer: BalancerId, node: NodeId) -> Micros {
        self.network.between(self.balancers[balancer.0 as usize].zone, self.nodes[node.0 as usize].zone)
    }
}
