//! A made-up fleet in true time: members with clocks of their own before one store, with everything that goes wrong between
//! them, and an observer who sees at every moment what is in force at all of them together. A run is its [`Plan`]: the same plan
//! plays the same way.

mod faults;
mod flaws;
mod process;
mod search;
mod store;

use shorewharf_units::Micros;
use std::collections::BTreeMap;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

pub use faults::{Fault, What};
pub use flaws::Flaw;
use process::Process;
pub use search::{Found, Space, look, shrink};
use store::Store;

use crate::call::{Call, Failed, Reply};
use crate::rules::{Budget, Kind, Rules};

/// A call is given up after so long.
const CALL: Micros = 700_000;
/// Copies of the store are kept so often.
const COPY: Micros = 500_000;
/// Demand comes and goes so often at each process.
const WORK: Micros = 100_000;

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The seed of all draws.
    pub seed: u64,
    /// How many members.
    pub members: usize,
    /// How long, in true time.
    pub length: Micros,
    /// What goes wrong.
    pub faults: Vec<Fault>,
    /// The terms; places are the members' own.
    pub rules: Rules,
    /// Clocks run apart by so much at most, as a share.
    pub drift: f64,
    /// What each member wants of every budget, as a share of the whole; the first one's until half of the run, then the second's.
    pub wants: Vec<(f64, f64)>,
    /// What is planted.
    pub flaw: Option<Flaw>,
}

impl Plan {
    /// A plan drawn from a seed: some members, faults of all kinds, demand at few of them.
    pub fn drawn(seed: u64) -> Plan {
        let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x706c_616e);
        let members = rng.random_range(2..=6);
        let rules = Rules { members: members.max(4), ..Plan::terms() };
        let length = 20_000_000;
        let count = rng.random_range(1..=6);
        let faults = faults::draw(&mut rng, count, members, length * 3 / 4, rules.lease);
        let want = |rng: &mut Pcg64Mcg| if rng.random_bool(0.4) { 1.2 } else { rng.random_range(0.0..0.3) };
        let wants = (0..members).map(|_| (want(&mut rng), want(&mut rng))).collect();
        Plan { seed, members, length, faults, rules, drift: 0.045, wants, flaw: None }
    }

    /// Terms of the runs: a lease of a second and a half, one rate and one level.
    pub fn terms() -> Rules {
        let budget = |name: &str, kind, whole| Budget { name: name.to_owned(), kind, whole };
        Rules {
            budgets: vec![budget("rate", Kind::Rate, 100.0), budget("level", Kind::Level, 60.0)],
            lease: 1_500_000,
            margin: 150_000,
            look: 150_000,
            linger: 1_500_000,
            reserve: 0.1,
            floor: 0.1,
            members: 6,
            place: 0,
        }
    }
}

/// More was in force than the whole.
#[derive(Clone, Debug, PartialEq)]
pub struct Above {
    /// When, in true time.
    pub at: Micros,
    /// Which budget.
    pub budget: String,
    /// How much was in force, of what whole.
    pub sum: f64,
    /// The whole.
    pub whole: f64,
    /// Steps until then.
    pub steps: u64,
    /// Who had what.
    pub parts: Vec<(usize, f64)>,
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// More than the whole was in force.
    pub above: Option<Above>,
    /// Steps.
    pub steps: u64,
    /// How much of each budget was of use, by time: what was in force where it was wanted, over what could have been.
    pub course: Vec<(Micros, Vec<f64>)>,
    /// Calls on the store, writes among them, and their bytes.
    pub calls: u64,
    /// Writes.
    pub writes: u64,
    /// Bytes written.
    pub bytes: u64,
}

/// What is still to happen.
#[derive(Clone, Debug)]
enum Event {
    /// A process looks whether it has something to do.
    Act(usize),
    /// Demand comes and goes.
    Work(usize),
    /// A call comes at the store.
    Arrives {
        process: usize,
        serial: u64,
        call: Call,
        twice: bool,
    },
    /// An answer comes back, or none does.
    Answered {
        process: usize,
        serial: u64,
        reply: Result<Reply, Failed>,
    },
    Begins(usize),
    Ends(usize),
    Copy,
    Sample,
    Starts {
        who: usize,
    },
}

/// The fleet while a plan is played.
pub struct World {
    plan: Plan,
    rng: Pcg64Mcg,
    now: Micros,
    queue: BTreeMap<(Micros, u64), Event>,
    serial: u64,
    store: Store,
    processes: Vec<Process>,
    /// Faults in force.
    active: Vec<Fault>,
    /// Until when something kept each name from the store.
    trouble: Vec<Micros>,
    steps: u64,
    forged: u64,
    course: Vec<(Micros, Vec<f64>)>,
}

impl World {
    /// Before the begin.
    pub fn new(plan: &Plan) -> World {
        let mut world = World {
            plan: plan.clone(),
            rng: Pcg64Mcg::seed_from_u64(plan.seed),
            now: 0,
            queue: BTreeMap::new(),
            serial: 0,
            store: Store::new(plan.flaw.and_then(Flaw::careless)),
            processes: Vec::new(),
            active: Vec::new(),
            trouble: vec![0; plan.members],
            steps: 0,
            forged: 0,
            course: Vec::new(),
        };
        for who in 0..plan.members {
            let at = world.rng.random_range(0..1_000_000);
            world.put(at, Event::Starts { who });
        }
        for (i, fault) in plan.faults.iter().enumerate() {
            world.put(fault.at, Event::Begins(i));
        }
        world.put(COPY, Event::Copy);
        world.put(0, Event::Sample);
        world
    }

    fn put(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        self.queue.insert((at, self.serial), event);
    }

    /// Plays the plan to its end, or until more is in force than the whole.
    pub fn play(mut self) -> Outcome {
        let mut above = None;
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > self.plan.length {
                break;
            }
            self.now = at;
            self.steps += 1;
            self.happens(event);
            above = self.looks();
            if above.is_some() {
                break;
            }
        }
        let figures = self.processes.iter().map(|p| p.member.figures());
        let (calls, writes, bytes) =
            figures.fold((0, 0, 0), |t, f| (t.0 + f.calls, t.1 + f.writes, t.2 + f.bytes));
        Outcome { above, steps: self.steps, course: self.course, calls, writes, bytes }
    }

    fn struck(&self, who: usize, what: What) -> bool {
        self.active.iter().any(|f| f.what == what && (f.what.of_store() || f.who == who))
    }

    fn happens(&mut self, event: Event) {
        match event {
            Event::Copy => {
                self.store.copy();
                self.put(self.now + COPY, Event::Copy);
            }
            Event::Sample => {
                self.sample();
                self.put(self.now + WORK, Event::Sample);
            }
            Event::Starts { who } => self.starts(who),
            Event::Begins(i) => self.begins(i),
            Event::Ends(i) => self.ends(i),
            Event::Work(at) if self.awake(at, Event::Work(at)) => {
                let half = self.now < self.plan.length / 2;
                let (first, second) = self.plan.wants[self.processes[at].who];
                self.processes[at].works(self.now, if half { first } else { second }, &mut self.rng);
                self.put(self.now + WORK, Event::Work(at));
            }
            Event::Act(at) if self.awake(at, Event::Act(at)) => self.acts(at),
            Event::Answered { process, serial, reply } => {
                let again = Event::Answered { process, serial, reply: reply.clone() };
                if self.awake(process, again) && self.processes[process].out == Some(serial) {
                    self.processes[process].answered(self.now, reply);
                    self.acts(process);
                }
            }
            Event::Arrives { process, serial, call, twice } => self.arrives(process, serial, call, twice),
            Event::Work(_) | Event::Act(_) => {}
        }
    }

    /// Whether a process does something now; one that stands still does it when it wakes.
    fn awake(&mut self, at: usize, event: Event) -> bool {
        let p = &self.processes[at];
        if p.stalled_until > self.now {
            let wakes = p.stalled_until;
            self.put(wakes, event);
            return false;
        }
        p.lives
    }

    fn starts(&mut self, who: usize) {
        let at = self.processes.len();
        // The wall clock that lives are taken from may be wrong by anything.
        let life = self.rng.random_range(1..1_000_000);
        let process = Process::new(&self.plan, who, life, self.now, &mut self.rng);
        self.processes.push(process);
        self.put(self.now, Event::Act(at));
        let works = self.now + self.rng.random_range(0..WORK);
        self.put(works, Event::Work(at));
    }

    fn begins(&mut self, i: usize) {
        let fault = self.plan.faults[i];
        let (who, until) = (fault.who, self.now + fault.len);
        let lives = |p: &&mut Process| p.lives && p.who == who;
        self.active.push(fault);
        if !matches!(fault.what, What::Twice | What::Lowered) {
            let struck =
                self.trouble.iter_mut().enumerate().filter(|(i, _)| fault.what.of_store() || *i == who);
            struck.for_each(|(_, t)| *t = (*t).max(until));
        }
        match fault.what {
            What::Stall => {
                if let Some(p) = self.processes.iter_mut().find(lives) {
                    p.stalled_until = p.stalled_until.max(until);
                }
            }
            What::Killed => self.processes.iter_mut().filter(lives).for_each(|p| p.lives = false),
            What::Left => {
                let now = self.now;
                self.processes.iter_mut().filter(lives).for_each(|p| p.leaves(now));
            }
            What::Twice => self.starts(who),
            What::Lowered => {
                let rules = &mut self.plan.rules;
                rules.budgets.iter_mut().for_each(|b| b.whole = (b.whole / 2.0).floor());
                let rules = self.plan.rules.clone();
                for p in self.processes.iter_mut().filter(|p| p.lives) {
                    p.told_of(self.now, &rules, &mut self.rng);
                }
            }
            _ => {}
        }
        self.put(until, Event::Ends(i));
    }

    fn ends(&mut self, i: usize) {
        let fault = self.plan.faults[i];
        self.active.retain(|f| *f != fault);
        match fault.what {
            What::Killed | What::Left => {
                let who = fault.who;
                // One that left and could not say so is ended all the same.
                self.processes.iter_mut().filter(|p| p.who == who).for_each(|p| p.lives = false);
                self.starts(who);
            }
            What::SetBack => self.store.set_back((fault.len / COPY) as usize + 2),
            What::Wiped => self.store.wipe(),
            _ => {}
        }
    }

    fn acts(&mut self, at: usize) {
        let p = &mut self.processes[at];
        if p.out.is_some() {
            return;
        }
        let Some(mut call) = p.next(self.now) else {
            let due = p.next_due(self.now);
            if due < Micros::MAX {
                self.put(due.max(self.now + 1), Event::Act(at));
            }
            return;
        };
        if let Some(flaw) = self.plan.flaw {
            flaw.on_the_way(&mut call, &self.store);
        }
        self.serial += 1;
        let (serial, who) = (self.serial, p.who);
        p.out = Some(serial);
        self.put(self.now + CALL, Event::Answered { process: at, serial, reply: Err(Failed) });
        if self.struck(who, What::Cut) {
            return;
        }
        let way = if self.struck(who, What::Slow) { 1_500_000 } else { 10_000 };
        let comes = self.now + self.rng.random_range(500..way);
        let doubled = self.struck(who, What::Doubled);
        let arrives = |twice| Event::Arrives { process: at, serial, call: call.clone(), twice };
        let (first, second) = (arrives(false), arrives(true));
        self.put(comes, first);
        if doubled {
            let later = comes + self.rng.random_range(0..1_000_000);
            self.put(later, second);
        }
    }

    fn arrives(&mut self, process: usize, serial: u64, call: Call, twice: bool) {
        let who = self.processes[process].who;
        if [What::Down, What::SetBack, What::Wiped].into_iter().any(|what| self.struck(who, what)) {
            return;
        }
        let stale = self.struck(who, What::Stale).then(|| self.rng.random_range(0..6));
        let mut reply = self.store.call(&call, stale);
        if let Some(flaw) = self.plan.flaw {
            flaw.on_the_way_back(&mut reply, &mut self.forged);
        }
        if !twice && !self.struck(who, What::AnswersLost) && !self.struck(who, What::Cut) {
            let back = self.now + self.rng.random_range(500..10_000);
            self.put(back, Event::Answered { process, serial, reply: Ok(reply) });
        }
    }

    /// How much of each budget is of use now.
    fn sample(&mut self) {
        let half = self.now < self.plan.length / 2;
        let of = |(place, b): (usize, &Budget)| {
            let living = self.processes.iter().filter(|p| p.lives);
            let (used, wanted) = living.fold((0.0, 0.0), |t, p| {
                let (first, second) = self.plan.wants[p.who];
                let want = b.whole * if half { first } else { second };
                (t.0 + p.in_force(self.now, place).min(want), t.1 + want)
            });
            used / b.whole.min(wanted).max(f64::MIN_POSITIVE)
        };
        let shares = self.plan.rules.budgets.iter().enumerate().map(of).collect();
        self.course.push((self.now, shares));
    }

    /// What is in force at all processes together, held against the whole.
    fn looks(&mut self) -> Option<Above> {
        for (place, budget) in self.plan.rules.budgets.clone().iter().enumerate() {
            let rules = &self.plan.rules;
            let settled = rules.lease + rules.margin + rules.linger + CALL;
            let seen = |p: &Process| {
                let quiet = self.now > self.trouble[p.who] + settled;
                p.seen(self.now, place, budget.kind, &self.processes, quiet)
            };
            let parts: Vec<(usize, f64)> =
                self.processes.iter().filter(|p| p.lives).map(|p| (p.who, seen(p))).collect();
            let sum: f64 = parts.iter().map(|p| p.1).sum();
            // One that was lowered is in force when it has been told to all, and what stood before has ended.
            let living = self.processes.iter().filter(|p| p.lives);
            let whole = living.map(|p| p.whole(place)).fold(budget.whole, f64::max);
            if sum > whole + 1e-6 {
                let budget = budget.name.clone();
                return Some(Above { at: self.now, budget, sum, whole, steps: self.steps, parts });
            }
        }
        None
    }
}
