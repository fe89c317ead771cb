//! A simulated fleet: members with their own clocks, one store, and faults between them. At each event, an
//! observer compares the amounts in force at all members with the totals. Times are true times unless stated
//! otherwise. A run is determined by its [`Schedule`]: the same schedule always gives the same run.

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

/// A request is given up after this time.
const REQUEST_TIMEOUT: Micros = 700_000;
/// The interval at which the store is copied.
const COPY_INTERVAL: Micros = 500_000;
/// The interval at which the demand of each process is updated.
const DEMAND_INTERVAL: Micros = 100_000;
/// Processes start within this time.
const MAX_START_DELAY: Micros = 1_000_000;
/// The minimum latency of a request or a response.
const MIN_LATENCY: Micros = 500;
/// The upper bound of the usual latency of a request or a response.
const MAX_LATENCY: Micros = 10_000;
/// The upper bound of the latency of a slow request.
const MAX_SLOW_LATENCY: Micros = 1_500_000;
/// A duplicate arrives within this time after the request.
const MAX_DUPLICATE_DELAY: Micros = 1_000_000;
/// Stale reads are answered from one of this number of latest copies.
const MAX_STALENESS: usize = 6;

/// The utilization of each budget at one time.
#[derive(Clone, Debug, PartialEq)]
pub struct UtilizationSample {
    /// The true time.
    pub at: Micros,
    /// By budget, the amount in force up to each member's demand, divided by the smaller of the total and the sum
    /// of all demands.
    pub utilizations: Vec<f64>,
}

/// The outcome of a run.
#[derive(Clone, Debug, Default)]
pub struct RunOutcome {
    /// The budget of which more than the total was in force, and when; `None` if there was none.
    pub overrun: Option<BudgetOverrun>,
    /// The number of events until the end.
    pub steps: u64,
    /// The utilization of each budget, by time.
    pub samples: Vec<UtilizationSample>,
    /// Requests to the store.
    pub requests: u64,
    /// Requests that write.
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

/// A response on its way to a process, or the expiry of a request.
#[derive(Clone, Debug)]
struct ResponseInFlight {
    process: usize,
    serial: u64,
    response: Result<StoreResponse, NoResponse>,
}

/// A future event.
#[derive(Clone, Debug)]
enum Event {
    /// A process checks whether a request is due.
    Poll {
        process: usize,
    },
    /// The demand of a process is updated.
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
    CopyStore,
    SampleUtilization,
    ProcessStarts {
        member: usize,
    },
}

/// The state of the fleet during a run.
pub struct ModelFleet {
    schedule: Schedule,
    rng: Pcg64Mcg,
    now: Micros,
    /// Future events by time and serial number.
    events: BTreeMap<(Micros, u64), Event>,
    serial: u64,
    store: ModelStore,
    processes: Vec<Process>,
    active_faults: Vec<Fault>,
    /// By member, the time until which a fault may keep it from reaching the store.
    isolated_until: Vec<Micros>,
    steps: u64,
    forged_grants: u64,
    samples: Vec<UtilizationSample>,
}

impl ModelFleet {
    /// Creates the fleet at the start of a run.
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
        fleet.schedule_event(COPY_INTERVAL, Event::CopyStore);
        fleet.schedule_event(0, Event::SampleUtilization);
        fleet
    }

    fn schedule_event(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    /// Runs the schedule until its end, or until more than a total is in force.
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
            Event::CopyStore => {
                self.store.add_copy();
                self.schedule_event(self.now + COPY_INTERVAL, Event::CopyStore);
            }
            Event::SampleUtilization => {
                self.sample_utilization();
                self.schedule_event(self.now + DEMAND_INTERVAL, Event::SampleUtilization);
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

    /// Returns whether a process handles an event now. For a stalled process, the event is postponed until it
    /// resumes.
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
                // A process that left but could not write that to the store ends as well.
                for process in &mut self.processes {
                    process.is_alive &= process.member_index != fault.member;
                }
                self.start_process(fault.member);
            }
            FaultKind::StoreRolledBack => {
                self.store.roll_back((fault.duration / COPY_INTERVAL) as usize + 2);
            }
            FaultKind::StoreWiped => self.store.wipe(),
            _ => {}
        }
    }

    /// Sends the next request of a process, or schedules its next poll.
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
            defect.inject_into_request(&mut request, &self.store);
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

    /// Handles a request that arrives at the store.
    fn on_request(&mut self, arrival: &RequestInFlight) {
        let member = self.processes[arrival.process].member_index;
        let is_affected = |kind| self.is_affected(member, kind);
        if FaultKind::ALL.into_iter().any(|kind| kind.affects_store() && is_affected(kind)) {
            return;
        }
        let is_stale = is_affected(FaultKind::StaleReads);
        let is_lost = arrival.is_duplicate
            || is_affected(FaultKind::ResponsesLost)
            || is_affected(FaultKind::Partition);
        let staleness = is_stale.then(|| self.rng.random_range(0..MAX_STALENESS));
        let mut response = self.store.handle(&arrival.request, staleness);
        if let Some(defect) = self.schedule.defect {
            defect.inject_into_response(&mut response, &mut self.forged_grants);
        }
        if !is_lost {
            let arrives_at = self.now + self.rng.random_range(MIN_LATENCY..MAX_LATENCY);
            let RequestInFlight { process, serial, .. } = *arrival;
            let returned = ResponseInFlight { process, serial, response: Ok(response) };
            self.schedule_event(arrives_at, Event::ResponseArrives(returned));
        }
    }

    /// Handles a response that arrives at a process, unless the process has given up the request.
    fn on_response(&mut self, arrival: ResponseInFlight) {
        let process = &mut self.processes[arrival.process];
        if process.pending_request == Some(arrival.serial) {
            process.on_response(self.now, arrival.response);
            self.poll(arrival.process);
        }
    }
}
