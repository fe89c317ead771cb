//! Whom discovery tells what, and when: one queue of calls and news, worked through at a fixed number of list lines
//! a second.

use shorewharf_units::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::registry::Registry;
use crate::day;
use crate::edge::{BalancerId, Listed, ToBalancer};

// The work of each thing, in list lines, as measured at the simulator to about half a per cent.

/// Turning a call away, as a part of the call's own work.
const TURNED_AWAY: f64 = 0.05;
/// A change in a watch's first answer; never more of them than the list has lines.
const CHANGE_IN_ANSWER: f64 = 0.25;
/// Writing anything to one watcher ...
const NEWS: f64 = 1.0;
/// ... plus this part of a call's work ...
const NEWS_OF_CALL: f64 = 0.02;
/// ... plus so much for each change.
const CHANGE_IN_NEWS: f64 = 0.1;
/// News reaches a watcher up to this part of the stated spread after it was written.
const SPREAD: f64 = 1.0 / 8.0;

/// What a balancer calls for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// The changes since what it has, and all that follow.
    Watch,
    /// The whole list, once.
    Fetch,
}

/// Work in the queue.
#[derive(Clone, Copy, Debug)]
struct Job {
    ends: Micros,
    balancer: BalancerId,
    /// The balancer's process that it is for.
    life: u32,
    /// None for news to a watcher.
    call: Option<Call>,
}

/// A balancer as seen from the desk.
#[derive(Clone, Debug, Default)]
struct Watcher {
    life: u32,
    /// The version it has been sent.
    has: usize,
    /// Since when it watches.
    since: Option<Micros>,
    /// News for it waits in the queue.
    queued: bool,
    /// What was sent last reaches it then; nothing overtakes.
    reached: Micros,
}

/// Something on its way to a balancer.
#[derive(Clone, Debug)]
struct Sent {
    at: Micros,
    number: u64,
    balancer: BalancerId,
    life: u32,
    /// None for a failure.
    list: Option<(bool, Vec<Listed>)>,
}

impl PartialEq for Sent {
    fn eq(&self, other: &Sent) -> bool {
        self.number == other.number
    }
}
impl Eq for Sent {}
impl PartialOrd for Sent {
    fn partial_cmp(&self, other: &Sent) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Sent {
    fn cmp(&self, other: &Sent) -> std::cmp::Ordering {
        (self.at, self.number).cmp(&(other.at, other.number))
    }
}

/// The queue and the watchers.
#[derive(Clone, Debug)]
pub struct ServiceQueue {
    lines_per_s: f64,
    call_lines: f64,
    timeout: Micros,
    /// A call and its answer travel so long, together.
    trip: Micros,
    spread: f64,
    busy_until: Micros,
    jobs: VecDeque<Job>,
    watchers: Vec<Watcher>,
    watching: BTreeSet<BalancerId>,
    sent: BinaryHeap<Reverse<Sent>>,
    numbers: u64,
    rng: Pcg64Mcg,
}

impl ServiceQueue {
    /// A desk with nothing to do. `cross` is one way between two zones, where every balancer is held to be.
    pub fn new(figures: &day::Discovery, cross: Micros, balancers: usize, rng: Pcg64Mcg) -> ServiceQueue {
        ServiceQueue {
            lines_per_s: figures.lines_per_s.max(1e-3),
            call_lines: figures.call_lines,
            timeout: figures.timeout,
            trip: 2 * cross,
            spread: figures.spread as f64 * SPREAD,
            busy_until: 0,
            jobs: VecDeque::new(),
            watchers: vec![Watcher::default(); balancers],
            watching: BTreeSet::new(),
            sent: BinaryHeap::new(),
            numbers: 0,
            rng,
        }
    }

    fn work(&self, lines: f64) -> Micros {
        (lines / self.lines_per_s * 1e6).round() as Micros
    }

    /// Takes a call into the queue, or turns it away if its turn would be over too late.
    pub fn takes(&mut self, now: Micros, balancer: BalancerId, call: Call, registry: &Registry) {
        let watcher = &self.watchers[balancer.0 as usize];
        let lines = match call {
            Call::Fetch => registry.lines() as f64,
            Call::Watch => {
                CHANGE_IN_ANSWER * registry.changes_since(watcher.has).min(registry.lines() as u64) as f64
            }
        };
        let starts = self.busy_until.max(now);
        let ends = starts + self.work(self.call_lines + lines);
        if ends - now >= self.timeout {
            self.busy_until = starts + self.work(self.call_lines * TURNED_AWAY);
            return self.fails(now, balancer);
        }
        self.busy_until = ends;
        self.jobs.push_back(Job { ends, balancer, life: watcher.life, call: Some(call) });
    }

    /// A call fails at once.
    pub fn fails(&mut self, now: Micros, balancer: BalancerId) {
        self.sends(now + self.trip, balancer, None);
    }

    /// News for every watcher that does not wait for some already.
    pub fn new_version(&mut self, now: Micros, registry: &Registry) {
        let changes = registry.changes_since(registry.version() - 1) as f64;
        let work = self.work(NEWS + NEWS_OF_CALL * self.call_lines + CHANGE_IN_NEWS * changes);
        for &balancer in &self.watching {
            let watcher = &mut self.watchers[balancer.0 as usize];
            if !std::mem::replace(&mut watcher.queued, true) {
                self.busy_until = self.busy_until.max(now) + work;
                self.jobs.push_back(Job { ends: self.busy_until, balancer, life: watcher.life, call: None });
            }
        }
    }

    /// Ends a balancer's watch.
    pub fn unwatch(&mut self, balancer: BalancerId) {
        self.watchers[balancer.0 as usize].since = None;
        self.watching.remove(&balancer);
    }

    /// Forgets a balancer's process.
    pub fn ended(&mut self, balancer: BalancerId) {
        self.unwatch(balancer);
        let watcher = &mut self.watchers[balancer.0 as usize];
        watcher.life += 1;
        watcher.queued = false;
    }

    /// The service goes down: calls in the queue fail and watches break.
    pub fn goes_down(&mut self, now: Micros) {
        self.busy_until = now;
        for job in std::mem::take(&mut self.jobs) {
            let watcher = &mut self.watchers[job.balancer.0 as usize];
            if watcher.life == job.life {
                watcher.queued = false;
                if job.call.is_some() {
                    self.sends(now + self.trip / 2, job.balancer, None);
                }
            }
        }
        self.breaks(now, now);
    }

    /// Watches that were opened up to `since` break.
    pub fn breaks(&mut self, now: Micros, since: Micros) {
        for balancer in self.watching.clone() {
            if self.watchers[balancer.0 as usize].since.is_some_and(|s| s <= since) {
                self.unwatch(balancer);
                self.sends(now + self.trip / 2, balancer, None);
            }
        }
    }

    /// The version that a balancer has been sent last.
    pub fn version_of(&self, balancer: BalancerId) -> usize {
        self.watchers[balancer.0 as usize].has
    }

    /// When a job ends or something arrives next.
    pub fn next_due(&self) -> Option<Micros> {
        [self.jobs.front().map(|j| j.ends), self.sent.peek().map(|Reverse(s)| s.at)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Ends jobs and hands out what arrives at `now`.
    pub fn advance(&mut self, now: Micros, registry: &Registry, out: &mut Vec<(BalancerId, ToBalancer)>) {
        while let Some(job) = self.jobs.front().copied().filter(|j| j.ends <= now) {
            self.jobs.pop_front();
            self.serves(job, registry);
        }
        while self.sent.peek().is_some_and(|Reverse(s)| s.at <= now) {
            let Some(Reverse(sent)) = self.sent.pop() else { break };
            if self.watchers[sent.balancer.0 as usize].life == sent.life {
                let word = match sent.list {
                    Some((full, entries)) => ToBalancer::List { full, entries },
                    None => ToBalancer::ListFailed,
                };
                out.push((sent.balancer, word));
            }
        }
    }

    fn serves(&mut self, job: Job, registry: &Registry) {
        let watcher = &mut self.watchers[job.balancer.0 as usize];
        if watcher.life != job.life {
            return;
        }
        let has = std::mem::replace(&mut watcher.has, registry.version());
        match job.call {
            Some(Call::Fetch) => {
                self.sends(job.ends + self.trip, job.balancer, Some((true, registry.whole())))
            }
            Some(Call::Watch) => {
                watcher.since = Some(job.ends);
                self.watching.insert(job.balancer);
                self.sends(job.ends + self.trip, job.balancer, Some(registry.news_since(has)));
            }
            None => {
                watcher.queued = false;
                if watcher.since.is_none() {
                    watcher.has = has;
                } else if has < registry.version() {
                    let late = self.rng.random_range(0.0..=self.spread) as Micros;
                    self.sends(job.ends + late, job.balancer, Some(registry.news_since(has)));
                }
            }
        }
    }

    fn sends(&mut self, at: Micros, balancer: BalancerId, list: Option<(bool, Vec<Listed>)>) {
        let watcher = &mut self.watchers[balancer.0 as usize];
        // All that a balancer gets comes in the order in which it was written.
        watcher.reached = watcher.reached.max(at);
        self.numbers += 1;
        let (at, life) = (watcher.reached, watcher.life);
        self.sent.push(Reverse(Sent { at, number: self.numbers, balancer, life, list }));
    }
}
