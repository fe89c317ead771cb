//! The module behind its admissions: the same words go in and come out, so that whoever drives the module (the real
//! program's driver, the simulator's adapter) drives both alike.

use std::collections::{BTreeMap, HashMap};

use shorewharf_decisions::Holding;
use shorewharf_decisions::interface::*;
use shorewharf_decisions::memory::Recalled;
use shorewharf_recovery::care::{Care, Guarded, Options};
use shorewharf_recovery::estimate::Fleet;
use shorewharf_recovery::memory::{Cursor, Learned};
use shorewharf_settings::operator::{Operator, Recovery};
use shorewharf_units::{Micros, micros_from_seconds, seconds_from_micros};

use crate::admission::{Admission, Fate, Verdict};
use crate::budgets::Budgets;
use crate::tenants::Tenants;

/// The gate's own timer; the module's tokens lie far below.
const DUE: u64 = 1 << 63;
/// Who was turned away is told to the log so often at most, and of so many tenants: a flood must not fill the log too.
const TELL_EVERY: Micros = 10_000_000;
const TELL_MOST: usize = 8;

fn care(operator: &Operator) -> Options {
    let Recovery { levels, repeats, rebalance } = operator.recovery;
    Options { levels, repeats, rebalance }
}

/// Who is asked, in this order.
#[derive(Debug, Default)]
struct Admissions {
    tenants: Option<Tenants>,
    budgets: Option<Budgets>,
}

impl Admissions {
    fn all(&mut self) -> impl Iterator<Item = &mut dyn Admission> {
        let tenants = self.tenants.as_mut().map(|t| t as &mut dyn Admission);
        let budgets = self.budgets.as_mut().map(|b| b as &mut dyn Admission);
        tenants.into_iter().chain(budgets)
    }
}

/// A request that was taken, or whose connection stood before the start.
#[derive(Clone, Copy, Debug)]
struct Held {
    request: Request,
    /// An attempt is out.
    out: bool,
    stands: bool,
    /// It has been asked to move by an admission.
    moves: bool,
}

/// The module and its admissions.
#[derive(Debug)]
pub struct Gate {
    balancer: Guarded,
    admissions: Admissions,
    held: HashMap<RequestId, Held>,
    /// The gate's timer comes then.
    wakes: Option<Micros>,
    turned_away: BTreeMap<&'static str, u64>,
    /// By tenant and reason, since the log was told last.
    untold: BTreeMap<(usize, &'static str), u64>,
    told: Micros,
}

impl Gate {
    /// A fresh module of these settings behind what the operator wants before it.
    pub fn new(now: Micros, set: Settings, seed: u64, operator: &Operator) -> Gate {
        let tenants = Tenants::new(now, &set, operator);
        Gate {
            balancer: Guarded::new(set, seed, care(operator)),
            admissions: Admissions { tenants, budgets: None },
            held: HashMap::new(),
            wakes: None,
            turned_away: BTreeMap::new(),
            untold: BTreeMap::new(),
            told: now,
        }
    }

    /// Puts new settings in force; what was learned stays. Which admissions there are is decided at the start.
    pub fn take_settings(&mut self, now: Micros, set: Settings, operator: &Operator) {
        self.admissions.all().for_each(|a| a.take_settings(now, &set, operator));
        self.balancer.take_settings(set, care(operator));
    }

    /// Clients turned away before the module heard of them, by reason.
    pub fn turned_away(&self) -> &BTreeMap<&'static str, u64> {
        &self.turned_away
    }

    /// Tenants' shares, where they are kept.
    pub fn tenants(&mut self) -> Option<&mut Tenants> {
        self.admissions.tenants.as_mut()
    }

    /// Keeps to budgets of the whole fleet from now on.
    pub fn keep_to(&mut self, budgets: Budgets) {
        self.admissions.budgets = Some(budgets);
    }

    /// What is believed of the fleet.
    pub fn fleet(&self, now: f64) -> Fleet {
        self.balancer.fleet(now)
    }

    /// Clients that wait for room here, and how many hold a place to come back, about.
    pub fn waiting(&self, now: f64) -> (usize, f64) {
        self.balancer.waiting(now)
    }

    /// Levels, repeats and moves of this instance.
    pub fn care(&self) -> &Care {
        self.balancer.care()
    }

    /// What is known of a standing connection: what it asked for, and its load where that was told.
    pub fn standing(&self, id: RequestId) -> Option<(Request, Option<f64>)> {
        self.balancer.standing(id)
    }

    /// What is held here, to be told to other balancers.
    pub fn holds(&self) -> Vec<Holding> {
        self.balancer.holds()
    }

    /// Servers that get nothing new now, whatever the reason.
    pub fn avoided(&self, now: f64) -> Vec<ServerId> {
        self.balancer.avoided(now)
    }

    /// Reads on in what is known, so many things at most, and where to go on from.
    pub fn recollect(&self, from: Cursor, most: usize, out: &mut Vec<Learned>) -> Cursor {
        self.balancer.recollect(from, most, out)
    }

    /// Recalls what one before has known `past` seconds ago. The list is to be told first; clients that stood then are
    /// expected back if their connections are `away`.
    pub fn recall(&mut self, now: f64, past: f64, away: bool, learned: Vec<Learned>) -> Recalled {
        self.balancer.recall(now, past, away, learned)
    }

    /// Takes one event, as the module does, and appends what is to be done.
    pub fn handle(&mut self, now: f64, event: Event, out: &mut Vec<Action>) {
        if self.admissions.all().next().is_none() {
            return self.balancer.handle(now, event, out);
        }
        let at = micros_from_seconds(now);
        self.admissions.all().for_each(|a| a.hears(at, &event));
        let first = out.len();
        let ends = match &event {
            Event::TimerFired(DUE) => {
                self.wakes = None;
                self.due(at, out);
                return self.sleep(at, out);
            }
            Event::RequestReceived(request) => {
                if let Some(after) = self.turns_away(at, request) {
                    out.push(Action::Reject { request: request.id, retry_after: seconds_from_micros(after) });
                    return self.tell_log(at, out);
                }
                None
            }
            Event::ConnectionRestored(request, _) => {
                let held = Held { request: *request, out: false, stands: true, moves: false };
                self.held.insert(request.id, held);
                self.admissions.all().for_each(|a| a.carried(at, request));
                None
            }
            Event::Established { request, .. } => {
                self.comes_up(at, *request);
                None
            }
            Event::AttemptEnded { request, outcome, is_answered: complete, .. } => {
                self.attempt_ends(*request, *outcome, *complete)
            }
            Event::ClientLeft(id) => {
                self.held.get(id).filter(|h| !h.out && !h.stands).map(|_| (*id, Fate::Left))
            }
            _ => None,
        };
        self.balancer.handle(now, event, out);
        if let Some((id, fate)) = ends {
            self.over(at, id, fate);
        }
        for action in &out[first..] {
            match action {
                Action::BeginAttempt { request, .. } => {
                    self.held.entry(*request).and_modify(|h| h.out = true);
                }
                Action::Reject { request, .. } | Action::Fail(request) => {
                    self.over(at, *request, Fate::Refused);
                }
                _ => {}
            }
        }
        self.sleep(at, out);
    }

    /// When a client that is turned away should come back; none if it is taken.
    fn turns_away(&mut self, now: Micros, request: &Request) -> Option<Micros> {
        for admission in self.admissions.all() {
            if let Verdict::TurnAway { after, why } = admission.asked(now, request) {
                *self.turned_away.entry(why).or_default() += 1;
                *self.untold.entry((request.tenant, why)).or_default() += 1;
                return Some(after);
            }
        }
        self.admissions.all().for_each(|a| a.taken(now, request));
        let held = Held { request: *request, out: false, stands: false, moves: false };
        self.held.insert(request.id, held);
        None
    }

    /// Tells the log who was turned away, those most often first.
    fn tell_log(&mut self, now: Micros, out: &mut Vec<Action>) {
        if now < self.told + TELL_EVERY {
            return;
        }
        self.told = now;
        let mut all: Vec<_> = std::mem::take(&mut self.untold).into_iter().collect();
        all.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
        let some = all.iter().take(TELL_MOST);
        let texts: Vec<String> =
            some.map(|((tenant, why), count)| format!("tenant {tenant} {why} {count}")).collect();
        out.push(Action::Log(format!("turned away since the last line: {}", texts.join(", "))));
    }

    fn comes_up(&mut self, now: Micros, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.stands) else { return };
        (held.stands, held.out) = (true, false);
        let request = held.request;
        self.admissions.all().for_each(|a| a.fate(now, &request, Fate::Up));
    }

    /// An attempt has ended, or a connection that stood; the request's fate, if that was its end.
    fn attempt_ends(&mut self, id: RequestId, outcome: Outcome, complete: bool) -> Option<(RequestId, Fate)> {
        let held = self.held.get_mut(&id)?;
        held.out = false;
        match (held.stands, complete) {
            (true, _) => Some((id, Fate::Ended(outcome))),
            (false, true) => Some((id, Fate::Left)),
            // The module may try again; else it refuses.
            (false, false) => None,
        }
    }

    fn over(&mut self, now: Micros, id: RequestId, fate: Fate) {
        if let Some(held) = self.held.remove(&id) {
            self.admissions.all().for_each(|a| a.fate(now, &held.request, fate));
        }
    }

    /// Has standing connections moved, those that have stood for longest by their numbers first.
    fn due(&mut self, now: Micros, out: &mut Vec<Action>) {
        let mut moves = Vec::new();
        for admission in self.admissions.all() {
            moves.clear();
            admission.due(now, &mut moves);
            for &(tenant, count) in &moves {
                let there = |h: &Held| h.request.tenant == tenant && h.stands && !h.moves;
                let mut ids: Vec<RequestId> =
                    self.held.iter().filter(|(_, h)| there(h)).map(|(id, _)| *id).collect();
                ids.sort_unstable();
                ids.truncate(count as usize);
                if ids.len() < count as usize {
                    admission.not_moved(tenant, count - ids.len() as u32);
                }
                for id in ids {
                    self.held.entry(id).and_modify(|h| h.moves = true);
                    self.balancer.moved(id);
                    out.push(Action::Migrate(id));
                }
            }
        }
    }

    /// Sets the timer for what is due next.
    fn sleep(&mut self, now: Micros, out: &mut Vec<Action>) {
        let Some(next) = self.admissions.all().filter_map(|a| a.next_due()).min() else { return };
        if self.wakes.is_none_or(|at| next < at) {
            self.wakes = Some(next);
            out.push(Action::SetTimer { after: seconds_from_micros(next.saturating_sub(now)), token: DUE });
        }
    }
}
