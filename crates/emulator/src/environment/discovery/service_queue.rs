//! The service queue of discovery: calls and list updates, served in order at a fixed number of list lines a second.

use shorewharf_units::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::registry::Registry;
use crate::day;
use crate::edge::{BalancerId, Listed, ToBalancer};

// The work of each kind of response, in list lines.

/// Rejecting a call, as a ratio of the call's own work.
const REJECTED_CALL_RATIO: f64 = 0.05;
/// A change in a watch's first answer; never more of them than the list has lines.
const LINES_PER_ANSWERED_CHANGE: f64 = 0.25;
/// Writing anything to one watcher ...
const UPDATE_LINES: f64 = 1.0;
/// ... plus this part of a call's work ...
const UPDATE_CALL_RATIO: f64 = 0.02;
/// ... plus so much for each change.
const LINES_PER_UPDATED_CHANGE: f64 = 0.1;
/// The largest delay of an update to a watcher, as a ratio of the stated spread.
const UPDATE_SPREAD_RATIO: f64 = 1.0 / 8.0;

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
    incarnation: u32,
    /// None for an update to a watcher.
    call: Option<Call>,
}

/// A balancer as seen from the service queue.
#[derive(Clone, Debug, Default)]
struct Watcher {
    incarnation: u32,
    /// The version it has been sent.
    sent_version: usize,
    /// Since when it watches.
    watching_since: Option<Micros>,
    /// An update for it waits in the queue.
    is_update_queued: bool,
    /// What was sent last reaches it then; nothing overtakes.
    last_arrival: Micros,
}

/// A response in transit to a balancer.
#[derive(Clone, Debug)]
struct Response {
    at: Micros,
    number: u64,
    balancer: BalancerId,
    incarnation: u32,
    /// None for a failure.
    list: Option<(bool, Vec<Listed>)>,
}

impl PartialEq for Response {
    fn eq(&self, other: &Response) -> bool {
        self.number == other.number
    }
}
impl Eq for Response {}
impl PartialOrd for Response {
    fn partial_cmp(&self, other: &Response) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Response {
    fn cmp(&self, other: &Response) -> std::cmp::Ordering {
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
    sent: BinaryHeap<Reverse<Response>>,
    next_number: u64,
    rng: Pcg64Mcg,
}

impl ServiceQueue {
    /// Creates an empty queue. `cross` is one way between two zones, where every balancer is held to be.
    pub fn new(figures: &day::Discovery, cross: Micros, balancers: usize, rng: Pcg64Mcg) -> ServiceQueue {
        ServiceQueue {
            lines_per_s: figures.lines_per_s.max(1e-3),
            call_lines: figures.call_lines,
            timeout: figures.timeout,
            trip: 2 * cross,
            spread: figures.spread as f64 * UPDATE_SPREAD_RATIO,
            busy_until: 0,
            jobs: VecDeque::new(),
            watchers: vec![Watcher::default(); balancers],
            watching: BTreeSet::new(),
            sent: BinaryHeap::new(),
            next_number: 0,
            rng,
        }
    }

    fn work(&self, lines: f64) -> Micros {
        (lines / self.lines_per_s * 1e6).round() as Micros
    }

    /// Enqueues a call, or rejects it if it would be served too late.
    pub fn enqueue_call(&mut self, now: Micros, balancer: BalancerId, call: Call, registry: &Registry) {
        let watcher = &self.watchers[balancer.0 as usize];
        let lines = match call {
            Call::Fetch => registry.lines() as f64,
            Call::Watch => {
                LINES_PER_ANSWERED_CHANGE
                    * registry.changes_since(watcher.sent_version).min(registry.lines() as u64) as f64
            }
        };
        let starts = self.busy_until.max(now);
        let ends = starts + self.work(self.call_lines + lines);
        if ends - now >= self.timeout {
            self.busy_until = starts + self.work(self.call_lines * REJECTED_CALL_RATIO);
            return self.fail_call(now, balancer);
        }
        self.busy_until = ends;
        self.jobs.push_back(Job { ends, balancer, incarnation: watcher.incarnation, call: Some(call) });
    }

    /// A call fails at once.
    pub fn fail_call(&mut self, now: Micros, balancer: BalancerId) {
        self.send(now + self.trip, balancer, None);
    }

    /// Enqueues an update for every watcher that has none queued.
    pub fn enqueue_updates(&mut self, now: Micros, registry: &Registry) {
        let changes = registry.changes_since(registry.version() - 1) as f64;
        let work = self
            .work(UPDATE_LINES + UPDATE_CALL_RATIO * self.call_lines + LINES_PER_UPDATED_CHANGE * changes);
        for &balancer in &self.watching {
            let watcher = &mut self.watchers[balancer.0 as usize];
            if !std::mem::replace(&mut watcher.is_update_queued, true) {
                self.busy_until = self.busy_until.max(now) + work;
                self.jobs.push_back(Job {
                    ends: self.busy_until,
                    balancer,
                    incarnation: watcher.incarnation,
                    call: None,
                });
            }
        }
    }

    /// Ends a balancer's watch.
    pub fn unwatch(&mut self, balancer: BalancerId) {
        self.watchers[balancer.0 as usize].watching_since = None;
        self.watching.remove(&balancer);
    }

    /// Forgets a balancer's process.
    pub fn on_balancer_exit(&mut self, balancer: BalancerId) {
        self.unwatch(balancer);
        let watcher = &mut self.watchers[balancer.0 as usize];
        watcher.incarnation += 1;
        watcher.is_update_queued = false;
    }

    /// The service goes down: calls in the queue fail and watches break.
    pub fn shut_down(&mut self, now: Micros) {
        self.busy_until = now;
        for job in std::mem::take(&mut self.jobs) {
            let watcher = &mut self.watchers[job.balancer.0 as usize];
            if watcher.incarnation == job.incarnation {
                watcher.is_update_queued = false;
                if job.call.is_some() {
                    self.send(now + self.trip / 2, job.balancer, None);
                }
            }
        }
        self.break_watches(now, now);
    }

    /// Watches that were opened up to `since` break.
    pub fn break_watches(&mut self, now: Micros, since: Micros) {
        for balancer in self.watching.clone() {
            if self.watchers[balancer.0 as usize].watching_since.is_some_and(|s| s <= since) {
                self.unwatch(balancer);
                self.send(now + self.trip / 2, balancer, None);
            }
        }
    }

    /// The version that a balancer has been sent last.
    pub fn version_of(&self, balancer: BalancerId) -> usize {
        self.watchers[balancer.0 as usize].sent_version
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
            self.serve(job, registry);
        }
        while self.sent.peek().is_some_and(|Reverse(s)| s.at <= now) {
            let Some(Reverse(sent)) = self.sent.pop() else { break };
            if self.watchers[sent.balancer.0 as usize].incarnation == sent.incarnation {
                let message = match sent.list {
                    Some((full, entries)) => ToBalancer::List { full, entries },
                    None => ToBalancer::ListFailed,
                };
                out.push((sent.balancer, message));
            }
        }
    }

    fn serve(&mut self, job: Job, registry: &Registry) {
        let watcher = &mut self.watchers[job.balancer.0 as usize];
        if watcher.incarnation != job.incarnation {
            return;
        }
        let has = std::mem::replace(&mut watcher.sent_version, registry.version());
        match job.call {
            Some(Call::Fetch) => {
                self.send(job.ends + self.trip, job.balancer, Some((true, registry.full_list())));
            }
            Some(Call::Watch) => {
                watcher.watching_since = Some(job.ends);
                self.watching.insert(job.balancer);
                self.send(job.ends + self.trip, job.balancer, Some(registry.update_since(has)));
            }
            None => {
                watcher.is_update_queued = false;
                if watcher.watching_since.is_none() {
                    watcher.sent_version = has;
                } else if has < registry.version() {
                    let late = self.rng.random_range(0.0..=self.spread) as Micros;
                    self.send(job.ends + late, job.balancer, Some(registry.update_since(has)));
                }
            }
        }
    }

    fn send(&mut self, at: Micros, balancer: BalancerId, list: Option<(bool, Vec<Listed>)>) {
        let watcher = &mut self.watchers[balancer.0 as usize];
        // All that a balancer gets comes in the order in which it was written.
        watcher.last_arrival = watcher.last_arrival.max(at);
        self.next_number += 1;
        let (at, incarnation) = (watcher.last_arrival, watcher.incarnation);
        self.sent.push(Reverse(Response { at, number: self.next_number, balancer, incarnation, list }));
    }
}
