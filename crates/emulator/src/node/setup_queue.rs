//! The queue of set-ups and probes at a node: a few lanes that process jobs, and a short queue before them.
//!
//! The number of lanes is half the number of cores, rounded up; further jobs wait in order of arrival. An
//! attempt that its balancer has abandoned is still processed to its end, as by the emulated servers.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use crate::day::Kind;
use crate::edge::{BalancerId, LinkId, RequestLine};

/// The number of jobs that can wait, as a multiple of the configured queue length.
const WAITING_FACTOR: usize = 4;

/// The kind of a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum JobKind {
    /// The set-up of a connection, with the mean load of its client.
    Client { by: BalancerId, ask: RequestLine, mean: f64 },
    /// A health check.
    Probe,
}

/// A set-up or probe.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    /// Its link; none if the balancer has abandoned it.
    pub link: Option<LinkId>,
    /// The kind of job.
    pub kind: JobKind,
    /// The remaining work, in microseconds of a standard core.
    pub work: f64,
}

/// The set-ups and probes of a node that are in progress or waiting.
#[derive(Debug)]
pub(super) struct SetupQueue {
    lanes: usize,
    max_waiting: usize,
    working: Vec<Job>,
    waiting: VecDeque<Job>,
    /// The standard core time that a lane processes per microsecond.
    pace: f64,
    /// The time up to which the remaining work of the jobs in progress is computed.
    worked_until: Micros,
    /// The busy time of all lanes since `take_busy_time` was last called, in microseconds.
    busy_time: f64,
}

impl SetupQueue {
    pub fn new(machine: &Kind) -> SetupQueue {
        SetupQueue {
            lanes: machine.cores.div_ceil(2).max(1) as usize,
            max_waiting: machine.queue as usize * WAITING_FACTOR,
            working: Vec::new(),
            waiting: VecDeque::new(),
            pace: 1.0,
            worked_until: 0,
            busy_time: 0.0,
        }
    }

    /// The numbers of jobs in progress and waiting.
    pub fn working_and_waiting(&self) -> (usize, usize) {
        (self.working.len(), self.waiting.len())
    }

    pub fn is_empty(&self) -> bool {
        self.working.is_empty()
    }

    /// The number of probes in progress and waiting.
    pub fn probes(&self) -> usize {
        self.working.iter().chain(&self.waiting).filter(|job| job.kind == JobKind::Probe).count()
    }

    /// Whether all lanes are busy and no further job can wait.
    pub fn is_full(&self) -> bool {
        self.working.len() >= self.lanes && self.waiting.len() >= self.max_waiting
    }

    /// Updates the remaining work of the jobs in progress to `now`.
    fn work(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.worked_until) as f64;
        self.worked_until = self.worked_until.max(now);
        self.busy_time += elapsed * self.working.len() as f64;
        for job in &mut self.working {
            job.work -= elapsed * self.pace;
        }
    }

    /// Adds a job, even if the queue is full.
    pub fn enqueue(&mut self, now: Micros, job: Job) {
        self.work(now);
        if self.working.len() < self.lanes {
            self.working.push(job);
        } else {
            self.waiting.push_back(job);
        }
    }

    /// Sets the standard core time that a lane processes per microsecond from now on.
    pub fn set_pace(&mut self, now: Micros, pace: f64) {
        self.work(now);
        self.pace = pace;
    }

    /// Returns the busy time of all lanes since the last call, in microseconds.
    pub fn take_busy_time(&mut self, now: Micros) -> f64 {
        self.work(now);
        std::mem::take(&mut self.busy_time)
    }

    /// The time at which the next job will be done at the current pace.
    pub fn next_due(&self) -> Option<Micros> {
        let least = self.working.iter().map(|job| job.work).min_by(f64::total_cmp)?;
        (self.pace > 0.0).then(|| self.worked_until + (least.max(0.0) / self.pace).ceil() as Micros)
    }

    /// Removes and returns the next job that is done by `now`.
    pub fn pop_done(&mut self, now: Micros) -> Option<Job> {
        // The due time is rounded up to whole microseconds, so a remainder this small is a rounding error.
        const WORK_ROUNDING: f64 = 1e-6;
        let due = self.next_due().filter(|due| *due <= now)?;
        self.work(due);
        let index = self.working.iter().position(|job| job.work <= WORK_ROUNDING)?;
        let job = self.working.remove(index);
        if let Some(next) = self.waiting.pop_front() {
            self.working.push(next);
        }
        Some(job)
    }

    /// Marks a job whose balancer has abandoned it; returns false if the link has no job here.
    pub fn abandon(&mut self, link: LinkId) -> bool {
        let mut jobs = self.working.iter_mut().chain(&mut self.waiting);
        match jobs.find(|job| job.link == Some(link)) {
            Some(job) => {
                job.link = None;
                true
            }
            None => false,
        }
    }

    /// Drops all jobs; returns the links whose balancers still wait.
    pub fn clear(&mut self) -> Vec<LinkId> {
        self.working.drain(..).chain(self.waiting.drain(..)).filter_map(|job| job.link).collect()
    }
}
