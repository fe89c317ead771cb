//! Plain policies to compare the module with. They keep to what any balancer must do (one attempt at a time, an
//! answer in time, nothing new to what is not ready) and learn nothing.

use std::collections::{BTreeMap, HashMap};
use std::sync::{Arc, RwLock};

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use shorewharf_decisions::interface::{ListEntry, Outcome, RequestId, ServerId, Settings, Stage};
use shorewharf_driver::{Happening, Micros, Peers};
use shorewharf_emulator::virtual_time::Truth;

use super::Emulated;

/// The watch on the list is opened again so long after it broke.
const WATCH_AGAIN: Micros = 1_000_000;
/// With less of its client's time left a request is not tried again.
const LEAST: Micros = 20_000;
const WATCH: u64 = 1;
const RELIEVE: u64 = 2;
/// How often connections are moved off nodes that are too full.
const RELIEVE_EVERY: Micros = 500_000;
/// Beyond this a node takes nothing more, and is relieved down to [`RELIEVED`]: near its capacity messages wait.
const FULL: f64 = 0.95;
const RELIEVED: f64 = 0.9;
/// What refused clients are told to wait.
const COME_BACK: Micros = 500_000;

/// A node has room for a group's next connection while it is loaded less than this, and only the first so many nodes
/// of a group's order are asked: a group costs each node that holds any of it. Of three pairs tried on `crash`,
/// `overload`, `calm` and `release`, 3 nodes up to 0.85 lose 0.03 of G on the first and gain as much on the second,
/// and 6 nodes up to 0.85 lose up to 0.02 on all.
const ROOM: f64 = 0.8;
const NODES_OF_A_GROUP: usize = 4;

/// How a server is picked.
pub(super) enum Pick {
    Random,
    Next,
    /// By the true state of the nodes.
    Roomiest(Arc<RwLock<Vec<Truth>>>),
}

struct Waiting {
    deadline: Micros,
    attempts: u32,
    last: Option<ServerId>,
    group: u64,
    stands: bool,
}

/// One round of splitmix64: an order of servers for each group.
fn mix(x: u64) -> u64 {
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A policy with what it must remember of requests.
pub(super) struct Policy {
    pick: Pick,
    rng: Pcg64Mcg,
    max_attempts: u32,
    /// A guess at what a connection loads, in cores: the mean of those that the nodes hold.
    usual: f64,
    ready: BTreeMap<ServerId, Stage>,
    next: usize,
    reqs: HashMap<RequestId, Waiting>,
    /// What it has placed since it saw the nodes' state last.
    placed: HashMap<ServerId, u32>,
    seen: Micros,
}

impl Policy {
    pub(super) fn start(
        pick: Pick,
        set: &Settings,
        seed: u64,
        known: Vec<ListEntry>,
        peers: &mut Emulated,
    ) -> Policy {
        let mut policy = Policy {
            pick,
            rng: Pcg64Mcg::seed_from_u64(seed),
            max_attempts: set.max_attempts,
            usual: 0.0,
            ready: BTreeMap::new(),
            next: 0,
            reqs: HashMap::new(),
            placed: HashMap::new(),
            seen: 0,
        };
        policy.listed(true, &known);
        // Balancers that start together don't go round in step.
        policy.next = policy.rng.random_range(0..policy.ready.len().max(1));
        peers.watch();
        if matches!(policy.pick, Pick::Roomiest(_)) {
            peers.wake(RELIEVE_EVERY, RELIEVE);
        }
        policy
    }

    pub(super) fn settle(&mut self, peers: &mut Emulated) {
        while let Some(happening) = peers.next() {
            self.happened(happening, peers);
        }
    }

    /// Moves connections off nodes that are too full, each balancer its own part. Where no other node has room they
    /// are refused when they come again: a full node serves nobody well.
    fn relieve(&mut self, peers: &mut Emulated) {
        peers.wake(RELIEVE_EVERY, RELIEVE);
        let Pick::Roomiest(truth) = &self.pick else { return };
        let truths = truth.read().unwrap_or_else(std::sync::PoisonError::into_inner).clone();
        let rho =
            |s: ServerId| peers.truth(s, &truths).filter(|t| t.takes).map(|t| t.load / t.capacity.max(1e-9));
        let full: Vec<(ServerId, f64)> =
            self.ready.keys().filter_map(|s| Some((*s, rho(*s).filter(|r| *r > FULL)?))).collect();
        let mut moves: Vec<RequestId> = Vec::new();
        for (server, rho) in full {
            let on = |(id, w): (&RequestId, &Waiting)| (w.stands && w.last == Some(server)).then_some(*id);
            let mut held: Vec<RequestId> = self.reqs.iter().filter_map(on).collect();
            held.sort_unstable();
            let part = (held.len() as f64 * (1.0 - RELIEVED / rho)).ceil() as usize;
            moves.extend(held.into_iter().take(part));
        }
        moves.into_iter().for_each(|id| peers.move_away(id));
    }

    fn listed(&mut self, full: bool, entries: &[ListEntry]) {
        if full {
            self.ready.clear();
        }
        for e in entries {
            match e.stage {
                Stage::Ready => self.ready.insert(e.server, e.stage),
                _ => self.ready.remove(&e.server),
            };
        }
    }

    fn happened(&mut self, happening: Happening, peers: &mut Emulated) {
        match happening {
            Happening::Listed { full, entries, .. } => self.listed(full, &entries),
            Happening::DirectorFailed => peers.wake(WATCH_AGAIN, WATCH),
            Happening::Woken(RELIEVE) => self.relieve(peers),
            Happening::Woken(_) => peers.watch(),
            Happening::Asked(req) => {
                let waiting = Waiting {
                    deadline: req.deadline,
                    attempts: 0,
                    last: None,
                    group: req.group,
                    stands: false,
                };
                self.reqs.insert(req.id, waiting);
                self.try_it(req.id, peers);
            }
            Happening::Carried(req, server) => {
                let waiting =
                    Waiting { deadline: 0, attempts: 1, last: Some(server), group: req.group, stands: true };
                self.reqs.insert(req.id, waiting);
            }
            Happening::Up(id) => {
                self.reqs.entry(id).and_modify(|w| w.stands = true);
            }
            Happening::ClientLeft(id) => {
                self.reqs.remove(&id);
            }
            Happening::FetchEnded(id, outcome) => {
                let again = self.reqs.get(&id).is_some_and(|w| !w.stands && outcome != Outcome::Cancelled);
                if again {
                    self.try_it(id, peers);
                } else {
                    self.reqs.remove(&id);
                }
            }
            Happening::Load(..) | Happening::Delay(..) | Happening::Probed(..) => {}
        }
    }

    fn try_it(&mut self, id: RequestId, peers: &mut Emulated) {
        let now = peers.now();
        let Some(w) = self.reqs.get(&id) else { return };
        let (left, last, group) = (w.deadline.saturating_sub(now), w.last, w.group);
        let may = w.attempts < self.max_attempts && left > LEAST;
        let Some(server) = may.then(|| self.choose(now, last, group, peers)).flatten() else {
            self.reqs.remove(&id);
            return peers.refuse(id, COME_BACK);
        };
        if let Some(w) = self.reqs.get_mut(&id) {
            w.attempts += 1;
            w.last = Some(server);
        }
        peers.fetch(id, server, left);
    }

    /// Takes in that the nodes' state is another one than at the last choice.
    fn looks(&mut self, now: Micros) {
        let Pick::Roomiest(truth) = &self.pick else { return };
        if std::mem::replace(&mut self.seen, now) == now {
            return;
        }
        self.placed.clear();
        let truth = truth.read().unwrap_or_else(std::sync::PoisonError::into_inner);
        let (load, number) = truth.iter().fold((0.0, 0), |(l, n), t| (l + t.load, n + t.connections));
        self.usual = load / f64::from(number.max(1));
    }

    fn choose(
        &mut self,
        now: Micros,
        not: Option<ServerId>,
        group: u64,
        peers: &Emulated,
    ) -> Option<ServerId> {
        self.looks(now);
        let n = self.ready.len();
        let others = self.ready.keys().copied().filter(|s| n == 1 || Some(*s) != not);
        match &self.pick {
            Pick::Random => {
                let k = n - usize::from(n > 1 && not.is_some_and(|s| self.ready.contains_key(&s)));
                if k == 0 { None } else { { others }.nth(self.rng.random_range(0..k)) }
            }
            Pick::Next => {
                self.next = (self.next + 1) % n.max(1);
                let at = self.ready.keys().copied().nth(self.next);
                if at.is_some() && at == not { { others }.next() } else { at }
            }
            Pick::Roomiest(truth) => {
                let truth = truth.read().unwrap_or_else(std::sync::PoisonError::into_inner);
                let full = |s: ServerId| {
                    let t = peers.truth(s, &truth).filter(|t| t.takes && t.capacity > 0.0)?;
                    let mine = f64::from(self.placed.get(&s).copied().unwrap_or(0));
                    // Set-ups in hand will load it too; what is piled up counts as load of one second.
                    let coming = self.usual * (mine + f64::from(t.set_ups));
                    Some((t.load + coming) / t.capacity + t.pile_s)
                };
                let emptiest = || {
                    let all =
                        others.clone().filter_map(|s| Some((full(s)?, s))).filter(|(full, _)| *full < FULL);
                    all.min_by(|a, b| a.0.total_cmp(&b.0)).map(|best| best.1)
                };
                // A group costs each node that holds any of it, so all balancers try nodes in the group's own order.
                let together = || {
                    let mut order: Vec<ServerId> = others.clone().collect();
                    order.sort_unstable_by_key(|s| mix(s.0 ^ group));
                    order.into_iter().take(NODES_OF_A_GROUP).find(|s| full(*s).is_some_and(|f| f < ROOM))
                };
                let best = if group == 0 { emptiest() } else { together() };
                if let Some(s) = best {
                    *self.placed.entry(s).or_default() += 1;
                }
                best
            }
        }
    }
}
