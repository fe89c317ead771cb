//! The world: all models of the platform over one queue of timed events, speaking to balancers in the edge's words.
//!
//! It reads no clock and opens nothing: a driver moves it on with [`World::advance`], hands what reaches balancers to
//! them, and tells what they do with [`World::did`]. All delays of the network lie here. What happens at the same
//! time happens in the order in which it was put in; each model draws from a generator of its own, so that one more
//! draw in one model changes nothing in another.

mod balancers;
mod clients;
pub mod conns;
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

use crate::audit::{Observation, Verdict};
use crate::day::Day;
use crate::edge::*;
use crate::environment::{Discovery, FaultEvent, FaultSchedule, Front, Network};
use crate::node::{Node, NodeOutput};
use crate::population::{Cell, ClientAction, ClientPopulation, LoadProfile};
use crate::score::Score;
use crate::virtual_time::{GroundTruth, RunResult};
use conns::Conns;
use links::Links;
pub use listener::WorldListener;
use pairs::Pairs;
use queue::Queue;
use series::Series;

const SECOND: Micros = 1_000_000;

/// Who moves the world on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    /// Virtual time: a first line goes out with its link, and connections of balancer and node are shared by pairs.
    Virtual,
    /// Real time on sockets: links and lines are told as they are read.
    Sockets,
}

/// A generator for the draws of one model: the same for the same day, and independent of all others.
pub fn rng(seed: u64, model: &str, place: u64) -> Pcg64Mcg {
    // FNV-1a over the model's name, so that new models shift nobody's draws.
    let name = model
        .bytes()
        .fold(0xcbf2_9ce4_8422_2325, |h: u64, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3));
    Pcg64Mcg::seed_from_u64(seed ^ name.rotate_left(17) ^ place.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// What reaches a node.
#[derive(Clone, Copy, Debug)]
enum AtNode {
    First,
    Probe,
    Ended,
}

/// What reaches a balancer on a link.
#[derive(Clone, Copy, Debug)]
enum OnLink {
    Up,
    Failed,
    Says(NodeMessage),
    Ended(End),
}

/// What reaches a balancer from a client.
#[derive(Clone, Copy, Debug)]
enum FromClient {
    Asks,
    Line,
    Ends(End),
}

/// What reaches a client.
#[derive(Clone, Copy, Debug)]
enum ClientMessage {
    Up(LinkId),
    Busy(Micros),
    Err,
    Move { by_node: bool },
    Bye,
    Ended(End),
}

/// What is still to happen.
#[derive(Clone, Copy, Debug)]
enum Event {
    Second,
    Wake(NodeId),
    Node(LinkId, AtNode),
    Balancer(LinkId, OnLink),
    Client(ConnId, ClientMessage),
    Ask(ConnId, FromClient),
    Line(ConnId),
}

#[derive(Debug)]
struct NodeAt {
    model: Node,
    zone: u32,
    /// The wake that is in the queue.
    wake: Option<Micros>,
    silent: bool,
}

impl NodeAt {
    fn truth(&self, now: Micros) -> GroundTruth {
        let s = self.model.state();
        GroundTruth {
            takes: s.up && !self.silent,
            load: s.load,
            capacity: s.capacity,
            connections: s.connections,
            set_ups: s.in_setup + s.waiting,
            pile_s: s.pile_s,
            stands: s.stands,
            usual: self.model.usual(),
            groups: self.model.groups(),
            before_fall: self.model.before_fall(now),
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct BalancerAt {
    zone: u32,
    up: bool,
    terminating: bool,
    lives: u64,
}

/// Buffers that are used again: nothing is allocated for a message.
#[derive(Debug, Default)]
struct Buffers {
    node: Vec<NodeOutput>,
    people: Vec<ClientAction>,
    news: Vec<(BalancerId, ToBalancer)>,
    listed: Vec<Listed>,
    happens: Vec<FaultEvent>,
}

/// The platform round a set of balancers.
#[derive(Debug)]
pub struct World {
    day: Day,
    mode: Mode,
    now: Micros,
    queue: Queue<Event>,
    nodes: Vec<NodeAt>,
    balancers: Vec<BalancerAt>,
    people: ClientPopulation,
    score: Score,
    front: Front,
    discovery: Discovery,
    network: Network,
    schedule: FaultSchedule,
    conns: Conns,
    links: Links,
    pairs: Pairs,
    series: Series,
    lines: Pcg64Mcg,
    buffers: Buffers,
    events: u64,
    waiting: usize,
}

impl World {
    /// A day before its start.
    pub fn new(day: &Day, mode: Mode) -> World {
        let seed = day.seed;
        let node = |(i, n): (usize, &crate::day::Node)| NodeAt {
            model: Node::new(day, NodeId(i as u32), rng(seed, "node", i as u64)),
            zone: n.zone,
            wake: None,
            silent: false,
        };
        let balancer =
            |b: &crate::day::Balancer| BalancerAt { zone: b.zone, up: false, terminating: false, lives: 0 };
        let mut world = World {
            mode,
            now: 0,
            queue: Queue::default(),
            nodes: day.nodes.iter().enumerate().map(node).collect(),
            balancers: day.balancers.iter().map(balancer).collect(),
            people: ClientPopulation::new(day, rng(seed, "people", 0)),
            score: Score::new(day),
            front: Front::new(day, rng(seed, "front", 0)),
            discovery: Discovery::new(day, rng(seed, "discovery", 0), rng(seed, "discovery", 1)),
            network: Network::new(&day.net, rng(seed, "network", 0)),
            schedule: FaultSchedule::new(day, rng(seed, "schedule", 0)),
            conns: Conns::default(),
            links: Links::default(),
            pairs: Pairs::new(day.balancers.len(), day.nodes.len(), day.limits.idle_close),
            series: Series::new(day),
            lines: rng(seed, "lines", 0),
            buffers: Buffers::default(),
            events: 0,
            waiting: 0,
            day: day.clone(),
        };
        world.queue.push(SECOND, Event::Second);
        for i in 0..world.nodes.len() {
            world.wake(NodeId(i as u32));
        }
        world
    }

    /// The day that is played.
    pub fn day(&self) -> &Day {
        &self.day
    }

    /// Events that have happened.
    pub fn events(&self) -> u64 {
        self.events
    }

    /// When something is due next.
    pub fn next_due(&self) -> Option<Micros> {
        let models = [
            self.schedule.next_due(),
            self.score.next_due(),
            self.discovery.next_due(),
            self.people.next_due(),
        ];
        models.into_iter().flatten().chain(self.queue.next_due()).min()
    }

    /// Lets everything happen that is due up to `until`.
    pub fn advance(&mut self, until: Micros, ear: &mut impl WorldListener) {
        loop {
            // Where times are the same: faults, then what was put in, then the list, then clients, then the account.
            let due = |t: Option<Micros>| t.unwrap_or(Micros::MAX);
            let (faults, queued) = (due(self.schedule.next_due()), due(self.queue.next_due()));
            let (list, clients) = (due(self.discovery.next_due()), due(self.people.next_due()));
            let account = due(self.score.next_due());
            let at = faults.min(queued).min(list).min(clients).min(account);
            if at > until {
                break;
            }
            self.now = self.now.max(at);
            self.events += 1;
            if faults == at {
                self.faults(ear);
            } else if queued == at {
                if let Some((_, event)) = self.queue.pop(at) {
                    self.happens(event, ear);
                }
            } else if list == at {
                self.news(ear);
            } else if clients == at {
                self.clients_act(ear);
            } else {
                self.account();
            }
        }
        self.now = self.now.max(until);
    }

    fn happens(&mut self, event: Event, ear: &mut impl WorldListener) {
        match event {
            Event::Second => self.second(),
            Event::Wake(node) => self.node_wakes(node, ear),
            Event::Node(link, what) => self.at_node(link, what, ear),
            Event::Balancer(link, what) => self.at_balancer(link, what, ear),
            Event::Client(conn, word) => self.at_client(conn, word),
            Event::Ask(conn, what) => self.client_says(conn, what, ear),
            Event::Line(conn) => self.line_due(conn, ear),
        }
    }

    fn news(&mut self, ear: &mut impl WorldListener) {
        let mut news = std::mem::take(&mut self.buffers.news);
        let mut listed = std::mem::take(&mut self.buffers.listed);
        self.discovery.advance(self.now, &mut news, &mut listed);
        listed.drain(..).for_each(|entry| ear.fact(self.now, Observation::Listed(entry)));
        self.buffers.listed = listed;
        for (balancer, what) in news.drain(..) {
            if self.balancers[balancer.0 as usize].up {
                ear.to(self.now, balancer, what);
            }
        }
        self.buffers.news = news;
    }

    fn faults(&mut self, ear: &mut impl WorldListener) {
        let mut happens = std::mem::take(&mut self.buffers.happens);
        self.schedule.advance(self.now, &mut happens);
        for what in happens.drain(..) {
            match what {
                FaultEvent::Node(node, turn) => self.node_turns(node, turn, ear),
                FaultEvent::Balancer(balancer, turn) => self.balancer_turns(balancer, turn, ear),
                FaultEvent::People(place) => self.clients_struck(place, ear),
                FaultEvent::Discovery(place, on) => {
                    self.discovery.struck(self.now, &self.day.faults[place], on)
                }
            }
        }
        self.buffers.happens = happens;
    }

    fn second(&mut self) {
        self.queue.push(self.now + SECOND, Event::Second);
        self.pairs.sweep(self.now);
        self.score.pairs(self.now, self.pairs.open());
        self.conns.tidy();
        if self.now <= self.day.length {
            for (i, node) in self.nodes.iter().enumerate() {
                self.series.node(NodeId(i as u32), node.truth(self.now));
            }
        }
    }

    fn account(&mut self) {
        let nodes = &self.nodes;
        let now = self.now;
        self.score.tick(now, &mut |node, class| nodes[node.0 as usize].model.served(class));
    }

    /// The true state of all nodes.
    pub fn truths(&self, out: &mut Vec<GroundTruth>) {
        out.clear();
        out.extend(self.nodes.iter().map(|n| n.truth(self.now)));
    }

    /// What has been seen so far, by second.
    pub fn series(&self) -> &Series {
        &self.series
    }

    /// Clients that wait for an answer.
    pub fn waiting(&self) -> usize {
        self.waiting
    }

    /// The end of a run, with what its auditor found.
    pub fn finish(self, ended_at: Micros, verdict: Verdict) -> RunResult {
        RunResult {
            outcome: self.score.finish(),
            verdict,
            faults: self.schedule.bands().to_vec(),
            series: self.series,
            events: self.events,
            ended_at,
            balancers: Vec::new(),
        }
    }

    /// One way between a balancer and a node.
    fn leg(&mut self, balancer: BalancerId, node: NodeId) -> Micros {
        self.network.between(self.balancers[balancer.0 as usize].zone, self.nodes[node.0 as usize].zone)
    }
}
