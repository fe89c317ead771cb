//! The service queue of discovery: calls and list updates, served in order at a fixed number of list lines a
//! second.

use shorewharf_units::Micros;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap, VecDeque};

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use super::registry::Registry;
use crate::day;
use crate::edge::{BalancerId, Listed, ToBalancer};

// The work of each kind of response, measured in list lines.

/// The work of rejecting a call, as a ratio of the call's fixed work.
const REJECTED_CALL_RATIO: f64 = 0.05;
/// The work per change in the first response to a watch; the changes count up to the number of lines of the
/// list.
const LINES_PER_ANSWERED_CHANGE: f64 = 0.25;
/// The fixed work of an update for one watcher, in list lines.
const UPDATE_LINES: f64 = 1.0;
/// The further work of an update for one watcher, as a ratio of a call's fixed work.
const UPDATE_CALL_RATIO: f64 = 0.02;
/// The further work of an update for one watcher per change, in list lines.
const LINES_PER_UPDATED_CHANGE: f64 = 0.1;
/// The largest delay of an update to a watcher, as a ratio of the configured spread.
const UPDATE_SPREAD_RATIO: f64 = 1.0 / 8.0;

/// A kind of call from a balancer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// A watch: the changes since the balancer's version, and all later changes.
    Watch,
    /// The full list, once.
    Fetch,
}

/// A response that is being prepared or waits in the queue.
#[derive(Clone, Copy, Debug)]
struct Job {
    ends: Micros,
    balancer: BalancerId,
    /// The incarnation of the balancer's process to which the response belongs.
    incarnation: u32,
    /// The call to respond to; none for an update to a watcher.
    call: Option<Call>,
}

/// The state of a balancer in the service queue.
#[derive(Clone, Debug, Default)]
struct Watcher {
    incarnation: u32,
    /// The list version that it was sent last.
    sent_version: usize,
    /// When its watch was opened; none if it does not watch.
    watching_since: Option<Micros>,
    /// Whether an update for it is in the queue.
    is_update_queued: bool,
    /// The arrival time of the last response sent to it; later responses do not arrive earlier.
    last_arrival: Micros,
}

/// A response in transit to a balancer.
#[derive(Clone, Debug)]
struct Response {
    at: Micros,
    number: u64,
    balancer: BalancerId,
    incarnation: u32,
    /// Whether the list is full, and its entries; none for a failure.
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

/// The queue of responses, and the watchers.
#[derive(Clone, Debug)]
pub struct ServiceQueue {
    lines_per_s: f64,
    call_lines: f64,
    timeout: Micros,
    /// The network round-trip time of a call and its response.
    round_trip: Micros,
    spread: f64,
    busy_until: Micros,
    jobs: VecDeque<Job>,
    watchers: Vec<Watcher>,
    watching: BTreeSet<BalancerId>,
    in_transit: BinaryHeap<Reverse<Response>>,
    next_number: u64,
    rng: Pcg64Mcg,
}

impl ServiceQueue {
    /// Creates an empty queue. `cross` is the one-way delay between two zones: every balancer is assumed to
    /// be in another zone than discovery.
    pub fn new(config: &day::Discovery, cross: Micros, balancers: usize, rng: Pcg64Mcg) -> ServiceQueue {
        ServiceQueue {
            lines_per_s: config.lines_per_s.max(1e-3),
            call_lines: config.call_lines,
            timeout: config.timeout,
            round_trip: 2 * cross,
            spread: config.spread as f64 * UPDATE_SPREAD_RATIO,
            busy_until: 0,
            jobs: VecDeque::new(),
            watchers: vec![Watcher::default(); balancers],
            watching: BTreeSet::new(),
            in_transit: BinaryHeap::new(),
            next_number: 0,
            rng,
        }
    }

    fn work(&self, lines: f64) -> Micros {
        (lines / self.lines_per_s * 1e6).round() as Micros
    }

    /// Enqueues a call, or rejects it if it would be served after its timeout.
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

    /// Sends the failure of a call without queueing.
    pub fn fail_call(&mut self, now: Micros, balancer: BalancerId) {
        self.send(now + self.round_trip, balancer, None);
    }

    /// Enqueues an update for every watcher that has none in the queue.
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

    /// Ends the watch of a balancer whose process has exited, and drops its pending calls and responses.
    pub fn on_balancer_exit(&mut self, balancer: BalancerId) {
        self.unwatch(balancer);
        let watcher = &mut self.watchers[balancer.0 as usize];
        watcher.incarnation += 1;
        watcher.is_update_queued = false;
    }

    /// Handles an outage of the service: queued calls fail and watches break.
    pub fn shut_down(&mut self, now: Micros) {
        self.busy_until = now;
        for job in std::mem::take(&mut self.jobs) {
            let watcher = &mut self.watchers[job.balancer.0 as usize];
            if watcher.incarnation == job.incarnation {
                watcher.is_update_queued = false;
                if job.call.is_some() {
                    self.send(now + self.round_trip / 2, job.balancer, None);
                }
            }
        }
        self.break_watches(now, now);
    }

    /// Breaks the watches that were opened at `since` or earlier.
    pub fn break_watches(&mut self, now: Micros, since: Micros) {
        for balancer in self.watching.clone() {
            if self.watchers[balancer.0 as usize].watching_since.is_some_and(|s| s <= since) {
                self.unwatch(balancer);
                self.send(now + self.round_trip / 2, balancer, None);
            }
        }
    }

    /// The list version that a balancer was sent last.
    pub fn version_of(&self, balancer: BalancerId) -> usize {
        self.watchers[balancer.0 as usize].sent_version
    }

    /// The time at which the next job ends or the next response arrives.
    pub fn next_due(&self) -> Option<Micros> {
        [self.jobs.front().map(|j| j.ends), self.in_transit.peek().map(|Reverse(r)| r.at)]
            .into_iter()
            .flatten()
            .min()
    }

    /// Completes jobs up to `now` and appends the responses that have arrived to `out`.
    pub fn advance(&mut self, now: Micros, registry: &Registry, out: &mut Vec<(BalancerId, ToBalancer)>) {
        while let Some(job) = self.jobs.front().copied().filter(|j| j.ends <= now) {
            self.jobs.pop_front();
            self.serve(job, registry);
        }
        while self.in_transit.peek().is_some_and(|Reverse(r)| r.at <= now) {
            let Some(Reverse(response)) = self.in_transit.pop() else { break };
            if self.watchers[response.balancer.0 as usize].incarnation == response.incarnation {
                let message = match response.list {
                    Some((full, entries)) => ToBalancer::List { full, entries },
                    None => ToBalancer::ListFailed,
                };
                out.push((response.balancer, message));
            }
        }
    }

    fn serve(&mut self, job: Job, registry: &Registry) {
        let watcher = &mut self.watchers[job.balancer.0 as usize];
        if watcher.incarnation != job.incarnation {
            return;
        }
        let previous_version = std::mem::replace(&mut watcher.sent_version, registry.version());
        match job.call {
            Some(Call::Fetch) => {
                self.send(job.ends + self.round_trip, job.balancer, Some((true, registry.full_list())));
            }
            Some(Call::Watch) => {
                watcher.watching_since = Some(job.ends);
                self.watching.insert(job.balancer);
                self.send(
                    job.ends + self.round_trip,
                    job.balancer,
                    Some(registry.update_since(previous_version)),
                );
            }
            None => {
                watcher.is_update_queued = false;
                if watcher.watching_since.is_none() {
                    watcher.sent_version = previous_version;
                } else if previous_version < registry.version() {
                    let delay = self.rng.random_range(0.0..=self.spread) as Micros;
                    self.send(job.ends + delay, job.balancer, Some(registry.update_since(previous_version)));
                }
            }
        }
    }

    fn send(&mut self, at: Micros, balancer: BalancerId, list: Option<(bool, Vec<Listed>)>) {
        let watcher = &mut self.watchers[balancer.0 as usize];
        // A balancer receives responses in the order in which they were sent.
        watcher.last_arrival = watcher.last_arrival.max(at);
        self.next_number += 1;
        let (at, incarnation) = (watcher.last_arrival, watcher.incarnation);
        self.in_transit.push(Reverse(Response { at, number: self.next_number, balancer, incarnation, list }));
    }
}
