//! A model fleet in true time: members with clocks of their own before one store, with everything that goes wrong
//! between them, and an observer who sees at every moment what is in force at all of them together. A run is its
//! [`Schedule`]: the same schedule always runs the same way.

mod defect;
mod fault;
mod observer;
mod process;
mod schedule;
mod search;
mod store;

use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use defect::Defect;
pub use fault::{Fault, FaultKind};
pub use observer::{BudgetOverrun, MemberUse};
use process::Process;
pub use schedule::{DemandRatio, Schedule};
pub use search::{ScheduleSpace, Violation, find_violation, minimize};
use store::ModelStore;

use crate::store_request::{NoResponse, StoreRequest, StoreResponse};
use shorewharf_units::Micros;

/// A request is given up after so long.
const REQUEST_TIMEOUT: Micros = 700_000;
/// Copies of the store are kept so often.
const COPY_INTERVAL: Micros = 500_000;
/// Demand comes and goes so often at each process.
const DEMAND_INTERVAL: Micros = 100_000;
/// Processes start within this time.
const MAX_START_DELAY: Micros = 1_000_000;
/// A request or a response takes no less.
const MIN_LATENCY: Micros = 500;
/// A request or a response usually takes less.
const MAX_LATENCY: Micros = 10_000;
/// A slow request takes less.
const MAX_SLOW_LATENCY: Micros = 1_500_000;
/// A duplicate arrives within this time after the request.
const MAX_DUPLICATE_DELAY: Micros = 1_000_000;
/// Stale reads are answered from less than so many copies ago.
const MAX_STALENESS: usize = 6;

/// How much of each budget was of use at a moment.
#[derive(Clone, Debug, PartialEq)]
pub struct UseSample {
    /// When, in true time.
    pub at: Micros,
    /// By budget: what was in force where it was wanted, over what could have been.
    pub useful_ratios: Vec<f64>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// More than the total was in force.
    pub overrun: Option<BudgetOverrun>,
    /// Events until the end.
    pub steps: u64,
    /// How much of each budget was of use, by time.
    pub samples: Vec<UseSample>,
    /// Requests to the store.
    pub requests: u64,
    /// Those of them that write.
    pub writes: u64,
    /// Bytes written.
    pub bytes_written: u64,
}

/// A request on its way to the store.
#[derive(Clone, Debug)]
struct RequestInFlight {
    process: usize,
    serial: u64,
    request: StoreRequest,
    is_duplicate: bool,
}

/// A response on its way back, or that there is none.
#[derive(Clone, Debug)]
struct ResponseInFlight {
    process: usize,
    serial: u64,
    response: Result<StoreResponse, NoResponse>,
}

/// What is still to happen.
#[derive(Clone, Debug)]
enum Event {
    /// A process looks whether it has a request to make.
    Poll {
        process: usize,
    },
    /// Demand comes and goes at a process.
    DemandChanges {
        process: usize,
    },
    RequestArrives(RequestInFlight),
    ResponseArrives(ResponseInFlight),
    FaultBegins {
        fault: usize,
    },
    FaultEnds {
        fault: usize,
    },
    StoreIsCopied,
    UseIsSampled,
    ProcessStarts {
        member: usize,
    },
}

/// The fleet while a schedule runs.
pub struct ModelFleet {
    schedule: Schedule,
    rng: Pcg64Mcg,
    now: Micros,
    /// By time and serial number.
    events: BTreeMap<(Micros, u64), Event>,
    serial: u64,
    store: ModelStore,
    processes: Vec<Process>,
    active_faults: Vec<Fault>,
    /// By member, until when something kept it from the store.
    isolated_until: Vec<Micros>,
    steps: u64,
    forged_grants: u64,
    samples: Vec<UseSample>,
}

impl ModelFleet {
    /// Creates the fleet before the begin of a run.
    pub fn new(schedule: &Schedule) -> ModelFleet {
        let mut fleet = ModelFleet {
            schedule: schedule.clone(),
            rng: Pcg64Mcg::seed_from_u64(schedule.seed),
            now: 0,
            events: BTreeMap::new(),
            serial: 0,
            store: ModelStore::new(schedule.defect.and_then(Defect::unchecked_prefix)),
            processes: Vec::new(),
            active_faults: Vec::new(),
            isolated_until: vec![0; schedule.members],
            steps: 0,
            forged_grants: 0,
            samples: Vec::new(),
        };
        for member in 0..schedule.members {
            let at = fleet.rng.random_range(0..MAX_START_DELAY);
            fleet.schedule_event(at, Event::ProcessStarts { member });
        }
        for (index, fault) in schedule.faults.iter().enumerate() {
            fleet.schedule_event(fault.begins_at, Event::FaultBegins { fault: index });
        }
        fleet.schedule_event(COPY_INTERVAL, Event::StoreIsCopied);
        fleet.schedule_event(0, Event::UseIsSampled);
        fleet
    }

    fn schedule_event(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    /// Runs the schedule to its end, or until more is in force than the total.
    pub fn run(mut self) -> RunOutcome {
        let mut overrun = None;
        while let Some(((at, _), event)) = self.events.pop_first() {
            if at > self.schedule.duration {
                break;
            }
            self.now = at;
            self.steps += 1;
            self.handle(event);
            overrun = self.find_overrun();
            if overrun.is_some() {
                break;
            }
        }
        let mut outcome =
            RunOutcome { overrun, steps: self.steps, samples: self.samples, ..RunOutcome::default() };
        for stats in self.processes.iter().map(|process| process.member.stats()) {
            outcome.requests += stats.requests;
            outcome.writes += stats.writes;
            outcome.bytes_written += stats.bytes_written;
        }
        outcome
    }

    fn is_affected(&self, member: usize, kind: FaultKind) -> bool {
        let affects = |fault: &Fault| fault.kind == kind && (kind.affects_store() || fault.member == member);
        self.active_faults.iter().any(affects)
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::StoreIsCopied => {
                self.store.keep_copy();
                self.schedule_event(self.now + COPY_INTERVAL, Event::StoreIsCopied);
            }
            Event::UseIsSampled => {
                self.sample_use();
                self.schedule_event(self.now + DEMAND_INTERVAL, Event::UseIsSampled);
            }
            Event::ProcessStarts { member } => self.start_process(member),
            Event::FaultBegins { fault } => self.begin_fault(fault),
            Event::FaultEnds { fault } => self.end_fault(fault),
            Event::DemandChanges { process } => {
                if self.is_awake(process, &event) {
                    self.change_demand(process);
                }
            }
            Event::Poll { process } => {
                if self.is_awake(process, &event) {
                    self.poll(process);
                }
            }
            Event::ResponseArrives(ref response) => {
                if self.is_awake(response.process, &event) {
                    self.on_response(response.clone());
                }
            }
            Event::RequestArrives(request) => self.on_request(&request),
        }
    }

    /// Whether a process does something now; a stalled one does it when it wakes.
    fn is_awake(&mut self, process: usize, event: &Event) -> bool {
        let Process { stalled_until, is_alive, .. } = self.processes[process];
        if stalled_until > self.now {
            self.schedule_event(stalled_until, event.clone());
            return false;
        }
        is_alive
    }

    fn start_process(&mut self, member: usize) {
        let index = self.processes.len();
        let process = Process::start(&self.schedule, member, self.now, &mut self.rng);
        self.processes.push(process);
        self.schedule_event(self.now, Event::Poll { process: index });
        let demand_at = self.now + self.rng.random_range(0..DEMAND_INTERVAL);
        self.schedule_event(demand_at, Event::DemandChanges { process: index });
    }

    fn change_demand(&mut self, index: usize) {
        let process = &mut self.processes[index];
        let demand_ratio = self.schedule.demand_ratio(self.now, process.member_index);
        process.update_demand(self.now, demand_ratio, &mut self.rng);
        self.schedule_event(self.now + DEMAND_INTERVAL, Event::DemandChanges { process: index });
    }

    fn begin_fault(&mut self, index: usize) {
        let fault = self.schedule.faults[index];
        let ends_at = self.now + fault.duration;
        self.active_faults.push(fault);
        if fault.kind.isolates_members() {
            for (member, isolated_until) in self.isolated_until.iter_mut().enumerate() {
                if fault.kind.affects_store() || member == fault.member {
                    *isolated_until = (*isolated_until).max(ends_at);
                }
            }
        }
        let is_affected = |process: &&mut Process| process.is_alive && process.member_index == fault.member;
        match fault.kind {
            FaultKind::Stall => {
                if let Some(process) = self.processes.iter_mut().find(is_affected) {
                    process.stalled_until = process.stalled_until.max(ends_at);
                }
            }
            FaultKind::Kill => {
                self.processes.iter_mut().filter(is_affected).for_each(|process| process.is_alive = false);
            }
            FaultKind::GracefulLeave => {
                let now = self.now;
                self.processes.iter_mut().filter(is_affected).for_each(|process| process.leave(now));
            }
            FaultKind::DuplicateProcess => self.start_process(fault.member),
            FaultKind::TotalsLowered => self.lower_totals(),
            _ => {}
        }
        self.schedule_event(ends_at, Event::FaultEnds { fault: index });
    }

    fn lower_totals(&mut self) {
        for budget in &mut self.schedule.settings.budgets {
            budget.total = (budget.total / 2.0).floor();
        }
        for process in self.processes.iter_mut().filter(|process| process.is_alive) {
            process.on_settings_changed(self.now, &self.schedule.settings, &mut self.rng);
        }
    }

    fn end_fault(&mut self, index: usize) {
        let fault = self.schedule.faults[index];
        self.active_faults.retain(|active| *active != fault);
        match fault.kind {
            FaultKind::Kill | FaultKind::GracefulLeave => {
                // One that left and could not say so is ended all the same.
                for process in &mut self.processes {
                    process.is_alive &= process.member_index != fault.member;
                }
                self.start_process(fault.member);
            }
            FaultKind::StoreSetBack => {
                self.store.set_back((fault.duration / COPY_INTERVAL) as usize + 2);
            }
            FaultKind::StoreWiped => self.store.wipe(),
            _ => {}
        }
    }

    /// Sends a process's next request, or sets the time of its next poll.
    fn poll(&mut self, index: usize) {
        let process = &mut self.processes[index];
        if process.pending_request.is_some() {
            return;
        }
        let Some(mut request) = process.next_request(self.now) else {
            if let Some(deadline) = process.next_deadline() {
                self.schedule_event(deadline.max(self.now + 1), Event::Poll { process: index });
            }
            return;
        };
        if let Some(defect) = self.schedule.defect {
            defect.in_request(&mut request, &self.store);
        }
        self.serial += 1;
        process.pending_request = Some(self.serial);
        let member = process.member_index;
        self.send(
            member,
            RequestInFlight { process: index, serial: self.serial, request, is_duplicate: false },
        );
    }

    fn send(&mut self, member: usize, request: RequestInFlight) {
        let (process, serial) = (request.process, request.serial);
        let timed_out = ResponseInFlight { process, serial, response: Err(NoResponse) };
        self.schedule_event(self.now + REQUEST_TIMEOUT, Event::ResponseArrives(timed_out));
        if self.is_affected(member, FaultKind::Partition) {
            return;
        }
        let is_slow = self.is_affected(member, FaultKind::SlowRequests);
        let max_latency = if is_slow { MAX_SLOW_LATENCY } else { MAX_LATENCY };
        let arrives_at = self.now + self.rng.random_range(MIN_LATENCY..max_latency);
        let duplicate = RequestInFlight { is_duplicate: true, ..request.clone() };
        self.schedule_event(arrives_at, Event::RequestArrives(request));
        if self.is_affected(member, FaultKind::DuplicateRequests) {
            let arrives_again_at = arrives_at + self.rng.random_range(0..MAX_DUPLICATE_DELAY);
            self.schedule_event(arrives_again_at, Event::RequestArrives(duplicate));
        }
    }

    /// A request arrives at the store.
    fn on_request(&mut self, arrived: &RequestInFlight) {
        let member = self.processes[arrived.process].member_index;
        let is_affected = |kind| self.is_affected(member, kind);
        if FaultKind::ALL.into_iter().any(|kind| kind.affects_store() && is_affected(kind)) {
            return;
        }
        let is_stale = is_affected(FaultKind::StaleReads);
        let is_lost = arrived.is_duplicate
            || is_affected(FaultKind::ResponsesLost)
            || is_affected(FaultKind::Partition);
        let staleness = is_stale.then(|| self.rng.random_range(0..MAX_STALENESS));
        let mut response = self.store.handle(&arrived.request, staleness);
        if let Some(defect) = self.schedule.defect {
            defect.in_response(&mut response, &mut self.forged_grants);
        }
        if !is_lost {
            let arrives_at = self.now + self.rng.random_range(MIN_LATENCY..MAX_LATENCY);
            let RequestInFlight { process, serial, .. } = *arrived;
            let returned = ResponseInFlight { process, serial, response: Ok(response) };
            self.schedule_event(arrives_at, Event::ResponseArrives(returned));
        }
    }

    /// A response arrives at a process, unless it has given the request up.
    fn on_response(&mut self, arrived: ResponseInFlight) {
        let process = &mut self.processes[arrived.process];
        if process.pending_request == Some(arrived.serial) {
            process.on_response(self.now, arrived.response);
            self.poll(arrived.process);
        }
    }
}
