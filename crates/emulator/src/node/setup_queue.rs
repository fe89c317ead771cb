//! Set-ups and probes at a node: a few lanes that work, and a short queue before them.
//!
//! Half of the cores, rounded up, set connections up; the rest of the work waits in turn. An attempt that its balancer
//! has given up stays and is worked on to its end, which is what such servers do.

use shorewharf_units::Micros;
use std::collections::VecDeque;

use crate::day::Kind;
use crate::edge::{BalancerId, LinkId, RequestLine};

/// Waiting room, as a multiple of the kind's queue.
const QUEUE_FACTOR: usize = 4;

/// What a job is for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum JobKind {
    /// A connection, with its client's mean load.
    Client { by: BalancerId, ask: RequestLine, mean: f64 },
    /// A probe.
    Probe,
}

/// One set-up or probe.
#[derive(Clone, Copy, Debug)]
pub(super) struct Job {
    /// Its link; none when the balancer has given it up.
    pub link: Option<LinkId>,
    /// What it is for.
    pub what: JobKind,
    /// Work left, in microseconds of a standard core.
    pub work: f64,
}

/// All that a node has in hand.
#[derive(Debug)]
pub(super) struct SetupQueue {
    lanes: usize,
    max_waiting: usize,
    working: Vec<Job>,
    waiting: VecDeque<Job>,
    /// Standard core time that a lane does in a microsecond.
    pace: f64,
    /// What is in work has been worked on until then.
    worked_until: Micros,
    /// Time that lanes were busy since it was last asked for.
    busy_time: f64,
}

impl SetupQueue {
    pub fn new(kind: &Kind) -> SetupQueue {
        SetupQueue {
            lanes: kind.cores.div_ceil(2).max(1) as usize,
            max_waiting: kind.queue as usize * QUEUE_FACTOR,
            working: Vec::new(),
            waiting: VecDeque::new(),
            pace: 1.0,
            worked_until: 0,
            busy_time: 0.0,
        }
    }

    /// In work and waiting.
    pub fn working_and_waiting(&self) -> (usize, usize) {
        (self.working.len(), self.waiting.len())
    }

    pub fn is_empty(&self) -> bool {
        self.working.is_empty()
    }

    /// Probes in hand.
    pub fn probes(&self) -> usize {
        self.working.iter().chain(&self.waiting).filter(|job| job.what == JobKind::Probe).count()
    }

    /// No more can be taken.
    pub fn is_full(&self) -> bool {
        self.working.len() >= self.lanes && self.waiting.len() >= self.max_waiting
    }

    /// Works on until `now`.
    fn work(&mut self, now: Micros) {
        let elapsed = now.saturating_sub(self.worked_until) as f64;
        self.worked_until = self.worked_until.max(now);
        self.busy_time += elapsed * self.working.len() as f64;
        for job in &mut self.working {
            job.work -= elapsed * self.pace;
        }
    }

    /// Takes one more, room or not.
    pub fn enqueue(&mut self, now: Micros, job: Job) {
        self.work(now);
        if self.working.len() < self.lanes {
            self.working.push(job);
        } else {
            self.waiting.push_back(job);
        }
    }

    /// From now on a lane does so much.
    pub fn set_pace(&mut self, now: Micros, pace: f64) {
        self.work(now);
        self.pace = pace;
    }

    /// Lane time that was busy since this was last asked, in microseconds.
    pub fn take_busy_time(&mut self, now: Micros) -> f64 {
        self.work(now);
        std::mem::take(&mut self.busy_time)
    }

    /// When the next one will be done at this pace.
    pub fn next_due(&self) -> Option<Micros> {
        let least = self.working.iter().map(|job| job.work).min_by(f64::total_cmp)?;
        (self.pace > 0.0).then(|| self.worked_until + (least.max(0.0) / self.pace).ceil() as Micros)
    }

    /// The next one that is done by now.
    pub fn pop_done(&mut self, now: Micros) -> Option<Job> {
        // Work is counted in parts of a microsecond; what is left of one is no work.
        const WORK_ROUNDING: f64 = 1e-6;
        let due = self.next_due().filter(|due| *due <= now)?;
        self.work(due);
        let place = self.working.iter().position(|job| job.work <= WORK_ROUNDING)?;
        let job = self.working.remove(place);
        if let Some(next) = self.waiting.pop_front() {
            self.working.push(next);
        }
        Some(job)
    }

    /// The balancer has given this one up; false if it is not here.
    pub fn abandon(&mut self, link: LinkId) -> bool {
        let mut all = self.working.iter_mut().chain(&mut self.waiting);
        match all.find(|job| job.link == Some(link)) {
            Some(job) => {
                job.link = None;
                true
            }
            None => false,
        }
    }

    /// Drops everything; the links that somebody still waits on.
    pub fn clear(&mut self) -> Vec<LinkId> {
        self.working.drain(..).chain(self.waiting.drain(..)).filter_map(|job| job.link).collect()
    }
}
