//! Records the observations of servers and clients with their times since the recorder's start.

use std::sync::{Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::flag::Flag;
use crate::ledger::{Answer, Attempt, Ledger, ProcessHistory, Request};
use crate::plan::{Plan, ZONES};

/// The ledger and the phase of a run, shared by all threads.
#[derive(Debug)]
pub struct Recorder {
    start: Instant,
    is_over: Flag,
    accepts_requests: Flag,
    ledger: Mutex<Ledger>,
}

impl Recorder {
    /// Creates a recorder for a plan. Clients send no requests until [`Recorder::accept_requests`] is called.
    pub fn new(plan: &Plan) -> Recorder {
        let zones = (0..plan.servers).map(|server| server % ZONES.len()).collect();
        let processes = vec![ProcessHistory::default(); plan.balancers];
        Recorder {
            start: Instant::now(),
            is_over: Flag::default(),
            accepts_requests: Flag::default(),
            ledger: Mutex::new(Ledger { processes, zones, ..Ledger::default() }),
        }
    }

    /// The time since the recorder was created.
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

    /// Sets whether clients send new requests.
    pub fn accept_requests(&self, accepts: bool) {
        self.accepts_requests.set(accepts);
    }

    /// Locks and returns the ledger.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().expect("no panic")
    }

    /// Records an event in the history of a balancer's processes; `record` gets the present time.
    pub fn record_process(&self, balancer: usize, record: impl FnOnce(&mut ProcessHistory, Duration)) {
        let now = self.now();
        record(&mut self.ledger().processes[balancer], now);
    }

    /// Records that a client has sent a request. A server may have read the request already.
    pub fn request_sent(&self, id: u64, request: Request) {
        let mut ledger = self.ledger();
        let attempts = ledger.requests.remove(&id).map(|early| early.attempts).unwrap_or_default();
        ledger.requests.insert(id, Request { attempts, ..request });
    }

    /// Records that the client has disconnected without waiting for an answer.
    pub fn client_disconnected(&self, id: u64) {
        self.update_request(id, |request, now| request.disconnected_at = Some(now));
    }

    /// Records the final answer to a request.
    pub fn request_answered(&self, id: u64, answer: Answer) {
        self.update_request(id, |request, now| request.answer = Some((answer, now)));
    }

    /// Records that a request's established connection ended without `MOVE` or `BYE`.
    pub fn connection_cut(&self, id: u64) {
        self.update_request(id, |request, now| request.cut_at = Some(now));
    }

    fn update_request(&self, id: u64, update: impl FnOnce(&mut Request, Duration)) {
        let now = self.now();
        self.ledger().requests.entry(id).and_modify(|request| update(request, now));
    }

    /// Records that a server has read a request's line. Returns the attempt's index in the request.
    pub fn attempt_read(&self, id: u64, attempt: Attempt) -> usize {
        let mut ledger = self.ledger();
        let attempts = &mut ledger.requests.entry(id).or_default().attempts;
        attempts.push(attempt);
        attempts.len() - 1
    }

    /// Records that an attempt's connection has ended.
    pub fn attempt_ended(&self, id: u64, index: usize) {
        let now = self.now();
        let mut ledger = self.ledger();
        let request = ledger.requests.get_mut(&id);
        if let Some(attempt) = request.and_then(|request| request.attempts.get_mut(index)) {
            attempt.ended_at = Some(now);
        }
    }
}
