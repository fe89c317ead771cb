//! A simple platform: nodes that take everybody at once, clients that come evenly, stay, and come again.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

use shorewharf_emulator::Micros;
use shorewharf_emulator::day::Day;
use shorewharf_emulator::edge::*;
use shorewharf_emulator::sockets::stage::{Said, Stage};

pub const MS: Micros = 1_000;
pub const S: Micros = 1_000_000;

/// A node takes a connection after this.
const SET_UP: Micros = 3 * MS;
/// A client that was turned away or cut off comes again after this.
const AGAIN: Micros = 100 * MS;

/// What a test has happen.
#[derive(Clone, Debug)]
pub enum Act {
    Say(BalancerId, ToBalancer),
    Start(BalancerId),
    Reach(NodeId, Reach),
    /// The node's process dies: what it holds breaks.
    Dies(NodeId),
    /// The list says this of it from now on.
    Lists(NodeId, Stage_),
}

pub type Stage_ = shorewharf_emulator::edge::Stage;

#[derive(Debug)]
enum Event {
    Arrive,
    Again(u64),
    Node(LinkId, NodeWord),
    List(BalancerId),
    Act(Act),
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Now {
    Waits,
    Stands(LinkId),
    Moved,
    Gone,
}

#[derive(Debug)]
struct Conn {
    who: BalancerId,
    now: Now,
    asked: Micros,
}

/// What came of it.
#[derive(Debug, Default)]
pub struct Tally {
    pub asked: u64,
    pub up: u64,
    pub busy: u64,
    pub err: u64,
    pub moved: u64,
    /// Refused by the machine of a balancer that is gone.
    pub unreached: u64,
    /// Ended without an answer.
    pub unanswered: u64,
    /// Cut off without a move though node and balancer lived.
    pub cut: u64,
    pub forged: u64,
    pub exits: u64,
    pub ready: u64,
    pub watches: u64,
    /// Links by node.
    pub by_node: BTreeMap<u32, u64>,
}

pub struct Script {
    length: Micros,
    every: Micros,
    balancers: u32,
    nodes: u32,
    standing: u32,
    events: BinaryHeap<Reverse<(Micros, u64)>>,
    what: BTreeMap<u64, Event>,
    serial: u64,
    conns: BTreeMap<ConnId, Conn>,
    links: BTreeMap<LinkId, (BalancerId, NodeId, Option<ConnId>)>,
    next: u64,
    dealt: u32,
    reach: Vec<Reach>,
    listed: Vec<Listed>,
    watched: Vec<bool>,
    alive: Vec<bool>,
    ready: Vec<bool>,
    pub tally: Tally,
}

impl Script {
    /// Clients come this often; so many stand from before.
    pub fn new(day: &Day, every: Micros, standing: u32) -> Self {
        let (b, n) = (day.balancers.len(), day.nodes.len());
        let listed = |node| Listed { node: NodeId(node), stage: Stage_::Ready, born: None };
        let mut script = Script {
            length: day.length,
            every,
            balancers: b as u32,
            nodes: n as u32,
            standing,
            events: BinaryHeap::new(),
            what: BTreeMap::new(),
            serial: 0,
            conns: BTreeMap::new(),
            links: BTreeMap::new(),
            next: 1,
            dealt: 0,
            reach: vec![Reach::Open; n],
            listed: (0..n as u32).map(listed).collect(),
            watched: vec![false; b],
            alive: vec![false; b],
            ready: vec![false; b],
            tally: Tally::default(),
        };
        script.at(every, Event::Arrive);
        (0..b as u32).for_each(|who| script.act(0, Act::Start(BalancerId(who))));
        script
    }

    /// Has something happen.
    pub fn act(&mut self, at: Micros, act: Act) {
        self.at(at, Event::Act(act));
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.events.push(Reverse((at, self.serial)));
        self.what.insert(self.serial, event);
        self.serial += 1;
    }

    pub fn standing_now(&self) -> usize {
        self.conns.values().filter(|c| matches!(c.now, Now::Stands(_))).count()
    }

    fn ask(&mut self, key: u64, home: Option<NodeId>) -> Ask {
        let conn = ConnId(self.next.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        self.next += 1;
        let patience = 3 * S;
        let (hint, again) = (Some(0.01), false);
        Ask { conn, key, class: 0, tenant: 0, group: key % 50 + 1, patience, hint, retry: false, again, home }
    }

    fn comes(&mut self, now: Micros, key: u64, said: &mut Said) {
        if now >= self.length {
            return;
        }
        // The front: the next balancer that was ready once.
        let Some(who) =
            (0..self.balancers).map(|i| (self.dealt + i) % self.balancers).find(|w| self.ready[*w as usize])
        else {
            return self.at(now + AGAIN, Event::Again(key));
        };
        self.dealt = who + 1;
        let ask = self.ask(key, None);
        self.tally.asked += 1;
        self.conns.insert(ask.conn, Conn { who: BalancerId(who), now: Now::Waits, asked: now });
        said.push((BalancerId(who), ToBalancer::Asked { ask, left: ask.patience }));
    }

    fn acts(&mut self, act: Act, said: &mut Said) {
        match act {
            Act::Start(who) => {
                self.alive[who.0 as usize] = true;
                said.push((who, ToBalancer::Start { seed: self.serial, known: self.listed.clone() }));
            }
            Act::Say(who, what) => {
                if what == ToBalancer::Kill {
                    self.alive[who.0 as usize] = false;
                    self.watched[who.0 as usize] = false;
                }
                if matches!(what, ToBalancer::Kill | ToBalancer::Terminate) {
                    self.ready[who.0 as usize] = false;
                }
                said.push((who, what));
            }
            Act::Reach(node, reach) => self.reach[node.0 as usize] = reach,
            Act::Dies(node) => {
                self.reach[node.0 as usize] = Reach::Refused;
                let of = self.links.iter().filter(|(_, l)| l.1 == node);
                let of: Vec<(LinkId, BalancerId)> = of.map(|(id, l)| (*id, l.0)).collect();
                for (id, who) in of {
                    self.links.remove(&id);
                    said.push((who, ToBalancer::NodeEnded(id, End::Reset)));
                }
            }
            Act::Lists(node, stage) => {
                let entry = &mut self.listed[node.0 as usize];
                entry.stage = stage;
                let entries = vec![*entry];
                for who in (0..self.balancers).filter(|w| self.watched[*w as usize]) {
                    said.push((BalancerId(who), ToBalancer::List { full: false, entries: entries.clone() }));
                }
            }
        }
    }
}

impl Stage for Script {
    fn next_due(&self) -> Option<Micros> {
        self.events.peek().map(|e| e.0.0)
    }

    fn advance(&mut self, now: Micros, said: &mut Said) {
        while let Some(Reverse((at, serial))) = self.events.peek().copied().filter(|e| e.0.0 <= now) {
            self.events.pop();
            match self.what.remove(&serial).expect("every time has its event") {
                Event::Arrive => {
                    let key = self.next << 20 | 7;
                    self.comes(at, key, said);
                    self.at(at + self.every, Event::Arrive);
                }
                Event::Again(key) => self.comes(at, key, said),
                Event::Node(link, word) => {
                    if let Some((who, node, _)) = self.links.get(&link) {
                        if self.reach[node.0 as usize] == Reach::Open {
                            said.push((*who, ToBalancer::NodeSays(link, word)));
                        }
                    }
                }
                Event::List(who) => {
                    let entries = self.listed.iter().filter(|e| e.stage != Stage_::Gone).copied().collect();
                    said.push((who, ToBalancer::List { full: true, entries }));
                }
                Event::Act(act) => self.acts(act, said),
            }
        }
    }

    fn did(&mut self, now: Micros, who: BalancerId, what: FromBalancer, _: &mut Said) {
        match what {
            FromBalancer::Link { link, node, conn } => {
                self.links.insert(link, (who, node, conn));
                *self.tally.by_node.entry(node.0).or_default() += 1;
            }
            FromBalancer::Forward { link, .. } => self.at(now + SET_UP, Event::Node(link, NodeWord::Up)),
            FromBalancer::Probe(link) => self.at(now + MS, Event::Node(link, NodeWord::Pong)),
            FromBalancer::EndLink(link, _) => {
                self.links.remove(&link);
            }
            FromBalancer::Answer(conn, answer) => {
                let Some(c) = self.conns.get_mut(&conn) else { return };
                let stood = matches!(c.now, Now::Stands(_));
                match answer {
                    Answer::Up(link) => {
                        self.tally.up += 1;
                        c.now = Now::Stands(link);
                        return;
                    }
                    Answer::Busy(_) => self.tally.busy += 1,
                    Answer::Move if stood => self.tally.moved += 1,
                    Answer::Forged => self.tally.forged += 1,
                    _ => self.tally.err += 1,
                }
                c.now = Now::Moved;
                self.at(now + AGAIN, Event::Again(conn.0));
            }
            FromBalancer::EndClient(conn, _) | FromBalancer::Refused(conn) => {
                let Some(c) = self.conns.get_mut(&conn) else { return };
                let (before, asked) = (std::mem::replace(&mut c.now, Now::Gone), c.asked);
                let alive = self.alive[c.who.0 as usize];
                match before {
                    Now::Moved | Now::Gone => return,
                    Now::Stands(link) => self.tally.cut += u64::from(alive && self.links.contains_key(&link)),
                    Now::Waits if matches!(what, FromBalancer::Refused(_)) => self.tally.unreached += 1,
                    Now::Waits => self.tally.unanswered += u64::from(alive && asked + S < self.length),
                }
                self.at(now + AGAIN, Event::Again(conn.0));
            }
            FromBalancer::Watch => {
                self.tally.watches += 1;
                self.watched[who.0 as usize] = true;
                self.at(now + 5 * MS, Event::List(who));
            }
            FromBalancer::Unwatch => self.watched[who.0 as usize] = false,
            FromBalancer::Ready => {
                self.tally.ready += 1;
                self.ready[who.0 as usize] = true;
            }
            FromBalancer::Exited => {
                self.tally.exits += 1;
                (self.alive[who.0 as usize], self.ready[who.0 as usize]) = (false, false);
                self.watched[who.0 as usize] = false;
            }
            _ => {}
        }
    }

    fn reach(&self, node: NodeId) -> Reach {
        self.reach[node.0 as usize]
    }

    fn standing(&mut self) -> Vec<(BalancerId, Ask)> {
        let mut all = Vec::new();
        for i in 0..self.standing {
            let who = BalancerId(i % self.balancers);
            let ask = self.ask(u64::from(i) << 20 | 9, Some(NodeId(i % self.nodes)));
            self.conns.insert(ask.conn, Conn { who, now: Now::Waits, asked: 0 });
            all.push((who, ask));
        }
        all
    }

    fn carried(&mut self, up: BTreeMap<ConnId, (BalancerId, LinkId, NodeId)>) {
        for (conn, (who, link, node)) in up {
            self.links.insert(link, (who, node, Some(conn)));
            if let Some(c) = self.conns.get_mut(&conn) {
                c.now = Now::Stands(link);
            }
        }
    }

    fn is_over(&self, now: Micros) -> bool {
        now >= self.length + S
    }
}
