//! Records what servers and clients observe, on the clock of the run.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::flag::Flag;
use crate::ledger::{Answer, Attempt, Ledger, Process, Request};
use crate::plan::{Plan, ZONES};

/// The ledger of a run and its phases, shared by all threads.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    is_over: Flag,
    accepts_requests: Flag,
    ledger: Mutex<Ledger>,
}

impl Recorder {
    /// A recorder for a plan; requests are not accepted yet.
    pub fn new(plan: &Plan) -> Recorder {
        let zones = (0..plan.servers).map(|server| server % ZONES.len()).collect();
        let processes = vec![Process::default(); plan.balancers];
        Recorder {
            start: Instant::now(),
            is_over: Flag::default(),
            accepts_requests: Flag::default(),
            ledger: Mutex::new(Ledger { processes, zones, ..Ledger::default() }),
        }
    }

    /// The time since the run's start.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Whether the run is over.
    pub fn is_over(&self) -> bool {
        self.is_over.is_set()
    }

    /// Ends the run for all threads.
    pub fn end(&self) {
        self.is_over.set(true);
    }

    /// Whether clients send new requests.
    pub fn accepts_requests(&self) -> bool {
        self.accepts_requests.is_set()
    }

    /// Begins or ends the time in which clients send new requests.
    pub fn accept_requests(&self, accepts: bool) {
        self.accepts_requests.set(accepts);
    }

    /// The ledger, locked.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no panic")
    }

    /// Records what a balancer's process goes through at this moment.
    pub fn record_process(&self, balancer: usize, record: impl FnOnce(&mut Process, Duration)) {
        let now = self.now();
        record(&mut self.ledger().processes[balancer], now);
    }

    /// A client has sent a request. Its server may have read it already.
    pub fn request_sent(&self, id: u64, request: Request) {
        let mut ledger = self.ledger();
        let attempts = ledger.requests.remove(&id).map(|early| early.attempts).unwrap_or_default();
        ledger.requests.insert(id, Request { attempts, ..request });
    }

    /// The client has disconnected without waiting for an answer.
    pub fn client_disconnected(&self, id: u64) {
        self.update_request(id, |request, now| request.disconnected_at = Some(now));
    }

    /// The request has its answer.
    pub fn request_answered(&self, id: u64, answer: Answer) {
        self.update_request(id, |request, now| request.answer = Some((answer, now)));
    }

    /// An established connection was cut off.
    pub fn connection_cut(&self, id: u64) {
        self.update_request(id, |request, now| request.cut_at = Some(now));
    }

    fn update_request(&self, id: u64, update: impl FnOnce(&mut Request, Duration)) {
        let now = self.now();
        self.ledger().requests.entry(id).and_modify(|request| update(request, now));
    }

    /// A server has read a request's line. Returns the attempt's index.
    pub fn attempt_read(&self, id: u64, attempt: Attempt) -> usize {
        let mut ledger = self.ledger();
        let attempts = &mut ledger.requests.entry(id).or_default().attempts;
        attempts.push(attempt);
        attempts.len() - 1
    }

    /// An attempt's connection has ended.
    pub fn attempt_ended(&self, id: u64, index: usize) {
        let now = self.now();
        let mut ledger = self.ledger();
        let request = ledger.requests.get_mut(&id);
        if let Some(attempt) = request.and_then(|request| request.attempts.get_mut(index)) {
            attempt.ended_at = Some(now);
        }
    }
}
