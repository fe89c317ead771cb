//! A day in virtual time: the world's queue is played tick by tick, and at each tick the balancers that have heard
//! something, or have something due, take their turns side by side on all cores.
//!
//! Between two ticks balancers share nothing, and what they do is carried out after all turns in an order that only
//! the day's seed draws: so the result is the same for any number of threads.

mod instance;
mod result;

pub use instance::{GroundTruth, Host, Instance, InstanceReport};
pub use result::{InstanceTimeline, RunResult};

use rand::Rng;
use rayon::prelude::*;
use shorewharf_units::Micros;
use thiserror::Error;

use crate::audit::{AuditTolerances, Auditor, Observation};
use crate::day::Day;
use crate::edge::{BalancerId, FromBalancer, ToBalancer};
use crate::world::{Mode, World, WorldListener, rng, settings};

const SECOND: Micros = 1_000_000;
/// Progress is told at most this often, in the day's time.
const PROGRESS: Micros = 100_000;
/// So many turns at least are worth waking other threads for: waking them costs as much as a few short turns.
const WORTH_SHARING: usize = 3;
/// After the day's length, clients that still wait are played to their end; this is kept for words on their way.
const LAST_WORDS: Micros = 1_000_000;

/// How a run is made.
#[derive(Clone, Copy, Default)]
pub struct Options<'a> {
    /// Threads for the balancers' turns; 0 and 1 for none beside the caller's.
    pub threads: usize,
    /// Told the day's time and the events so far.
    pub progress: Option<&'a (dyn Fn(Micros, u64) + Sync)>,
}

/// A run that could not be made.
#[derive(Debug, Error)]
pub enum RunError {
    /// The tick is no length of time.
    #[error("tick_ms: must be above 0")]
    Tick,
    /// No threads could be had.
    #[error("threads: {0}")]
    Threads(#[from] rayon::ThreadPoolBuildError),
}

struct Slot {
    instance: Box<dyn Instance>,
    inbox: Vec<ToBalancer>,
    out: Vec<FromBalancer>,
}

impl Slot {
    fn acts(&self, now: Micros) -> bool {
        !self.inbox.is_empty() || self.instance.next_due().is_some_and(|due| due <= now)
    }

    fn turn(&mut self, now: Micros) {
        self.instance.turn(now, &self.inbox, &mut self.out);
    }
}

/// Collects what reaches balancers until the tick, and has facts judged.
struct Outbox<'a> {
    slots: &'a mut [Slot],
    auditor: &'a mut Auditor,
}

impl WorldListener for Outbox<'_> {
    fn to(&mut self, _at: Micros, balancer: BalancerId, what: ToBalancer) {
        self.slots[balancer.0 as usize].inbox.push(what);
    }

    fn fact(&mut self, at: Micros, what: Observation<'_>) {
        self.auditor.observe(at, what);
    }
}

/// Plays a day in virtual time with the balancers of `host`.
pub fn run(day: &Day, host: &dyn Host, options: &Options<'_>) -> Result<RunResult, RunError> {
    if day.tick == 0 {
        return Err(RunError::Tick);
    }
    let pool = match options.threads {
        0 | 1 => None,
        n => Some(rayon::ThreadPoolBuilder::new().num_threads(n).build()?),
    };
    let mut world = World::new(day, Mode::Virtual);
    let mut auditor = Auditor::new(day, AuditTolerances::virtual_time(day));
    let slot = |i: usize| {
        let id = BalancerId(i as u32);
        let instance = host.instance(day, id, &settings::json(day, id));
        Slot { instance, inbox: Vec::new(), out: Vec::new() }
    };
    let mut slots: Vec<Slot> = (0..day.balancers.len()).map(slot).collect();
    let mut order = rng(day.seed, "order", 0);
    let mut truths = Vec::new();
    let mut told = 0;
    let mut stood = false;
    let mut courses = vec![InstanceTimeline::default(); slots.len()];
    let mut now: Micros = 0;
    loop {
        // A second that has passed is told of before anything of the next one happens.
        while now / SECOND > courses.first().map_or(u64::MAX, |c| c.levels.len() as u64) {
            slots.iter_mut().zip(&mut courses).for_each(|(slot, course)| course.look(slot.instance.as_mut()));
        }
        world.advance(now, &mut Outbox { slots: &mut slots, auditor: &mut auditor });
        let acting = slots.iter().filter(|s| s.acts(now)).count();
        if acting > 0 {
            if host.wants_truth() {
                world.truths(&mut truths);
                host.truth(now, &truths);
            }
            match &pool {
                Some(pool) if acting >= WORTH_SHARING => {
                    pool.install(|| slots.par_iter_mut().filter(|s| s.acts(now)).for_each(|s| s.turn(now)));
                }
                _ => slots.iter_mut().filter(|s| s.acts(now)).for_each(|s| s.turn(now)),
            }
            // As the simulator has it, whose wishes are carried out first is drawn anew each time.
            let first = order.random_range(0..slots.len());
            for i in (first..slots.len()).chain(0..first) {
                carry_out(now, i, &mut slots, &mut world, &mut auditor);
            }
        }
        if let Some(progress) = options.progress.filter(|_| now >= told + PROGRESS) {
            told = now;
            progress(now, world.events());
        }
        if now == 0 && !std::mem::replace(&mut stood, true) {
            // Balancers are ready now; those that stand from before the day connect to them.
            world.stand(&mut Outbox { slots: &mut slots, auditor: &mut auditor });
        }
        if now == 0 && slots.iter().any(|s| !s.inbox.is_empty()) {
            // What stands from before the day is up before the first tick.
            continue;
        }
        if now >= day.length && (world.waiting() == 0 || now >= day.length + last_answers(day)) {
            break;
        }
        let due = slots.iter().filter_map(|s| s.instance.next_due()).chain(world.next_due()).min();
        let busy = slots.iter().any(|s| !s.inbox.is_empty());
        let due = if busy { now } else { due.unwrap_or(now) };
        now = (now + day.tick).max(due.div_ceil(day.tick) * day.tick);
        if now < day.length + day.tick {
            now = now.min(day.length.div_ceil(day.tick) * day.tick);
        }
    }
    let verdict = auditor.finish(now);
    slots.iter_mut().zip(&mut courses).for_each(|(slot, course)| course.look(slot.instance.as_mut()));
    Ok(RunResult { balancers: courses, ..world.finish(now, verdict) })
}

/// How long after the day's length the last answer may still come.
pub(crate) fn last_answers(day: &Day) -> Micros {
    day.classes.iter().map(|c| c.give_up).max().unwrap_or(0) + day.rules.answer_slack + LAST_WORDS
}

/// Has a balancer's wishes take effect, after what it heard and they were shown to the auditor.
fn carry_out(now: Micros, i: usize, slots: &mut [Slot], world: &mut World, auditor: &mut Auditor) {
    let id = BalancerId(i as u32);
    let mut inbox = std::mem::take(&mut slots[i].inbox);
    let mut out = std::mem::take(&mut slots[i].out);
    inbox.drain(..).for_each(|what| auditor.observe(now, Observation::To(id, &what)));
    for what in out.drain(..) {
        auditor.observe(now, Observation::From(id, &what));
        world.did(now, id, what, &mut Outbox { slots: &mut *slots, auditor: &mut *auditor });
    }
    // Answers at the same time may have come meanwhile; the emptied buffer is used again.
    if slots[i].inbox.is_empty() {
        slots[i].inbox = inbox;
    }
    slots[i].out = out;
}
