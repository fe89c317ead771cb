//! Runs a day in virtual time: the world's events are handled tick by tick, and at each tick the balancers that have
//! received something, or have something due, run in parallel.
//!
//! Within a tick balancers share nothing, and their actions are applied afterwards in an order that depends only on the
//! day's seed, so the result is the same for any number of threads.

mod instance;
mod result;

pub use crate::world::GroundTruth;
pub use instance::{Host, Instance, InstanceReport};
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
/// The shortest interval between two progress reports, in the day's time.
const PROGRESS_INTERVAL: Micros = 100_000;
/// The fewest due balancers that run in parallel: waking threads costs as much as running a few of them.
const MIN_PARALLEL_INSTANCES: usize = 3;
/// Time after the last possible answer for messages that are still in transit.
const TRAILING_MESSAGES: Micros = 1_000_000;

/// Options of a run.
#[derive(Clone, Copy, Default)]
pub struct Options<'a> {
    /// Number of threads that run balancers; with 0 or 1 they run on the caller's thread.
    pub threads: usize,
    /// Called repeatedly with the day's time and the number of events so far.
    pub progress: Option<&'a (dyn Fn(Micros, u64) + Sync)>,
}

/// The reason why a run could not be started.
#[derive(Debug, Error)]
pub enum RunError {
    /// The day's tick is 0.
    #[error("tick_ms: found 0, expected a value above 0")]
    Tick,
    /// The thread pool could not be created.
    #[error("threads: the thread pool could not be created: {0}")]
    Threads(#[from] rayon::ThreadPoolBuildError),
}

/// A balancer of the run, with its pending inputs and the actions of its last turn.
struct Slot {
    instance: Box<dyn Instance>,
    inbox: Vec<ToBalancer>,
    actions: Vec<FromBalancer>,
}

impl Slot {
    fn is_due(&self, now: Micros) -> bool {
        !self.inbox.is_empty() || self.instance.next_due().is_some_and(|due| due <= now)
    }

    fn run_turn(&mut self, now: Micros) {
        self.instance.turn(now, &self.inbox, &mut self.actions);
    }
}

/// Collects messages for balancers until the tick, and passes observations to the auditor.
struct Outbox<'a> {
    slots: &'a mut [Slot],
    auditor: &'a mut Auditor,
}

impl WorldListener for Outbox<'_> {
    fn deliver(&mut self, _at: Micros, balancer: BalancerId, input: ToBalancer) {
        self.slots[balancer.0 as usize].inbox.push(input);
    }

    fn observe(&mut self, at: Micros, observation: Observation<'_>) {
        self.auditor.observe(at, observation);
    }
}

/// Runs a day in virtual time with the balancers of `host`.
///
/// # Errors
///
/// Fails if the day's tick is 0 or the thread pool cannot be created.
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
        Slot { instance, inbox: Vec::new(), actions: Vec::new() }
    };
    let mut slots: Vec<Slot> = (0..day.balancers.len()).map(slot).collect();
    let mut order_rng = rng(day.seed, "order", 0);
    let mut ground_truth = Vec::new();
    let mut last_progress = 0;
    let mut opened_established_connections = false;
    let mut timelines = vec![InstanceTimeline::default(); slots.len()];
    let mut now: Micros = 0;
    loop {
        // A second is sampled before any event of the next one is handled.
        while now / SECOND > timelines.first().map_or(u64::MAX, |timeline| timeline.levels.len() as u64) {
            slots
                .iter_mut()
                .zip(&mut timelines)
                .for_each(|(slot, timeline)| timeline.sample(slot.instance.as_mut()));
        }
        world.advance(now, &mut Outbox { slots: &mut slots, auditor: &mut auditor });
        let acting = slots.iter().filter(|s| s.is_due(now)).count();
        if acting > 0 {
            if host.wants_ground_truth() {
                world.ground_truth(&mut ground_truth);
                host.observe_ground_truth(now, &ground_truth);
            }
            match &pool {
                Some(pool) if acting >= MIN_PARALLEL_INSTANCES => {
                    pool.install(|| {
                        slots.par_iter_mut().filter(|s| s.is_due(now)).for_each(|s| s.run_turn(now));
                    });
                }
                _ => slots.iter_mut().filter(|s| s.is_due(now)).for_each(|s| s.run_turn(now)),
            }
            // As in the simulator, the balancer whose actions are applied first is chosen at random at each tick.
            let first = order_rng.random_range(0..slots.len());
            for i in (first..slots.len()).chain(0..first) {
                apply_actions(now, i, &mut slots, &mut world, &mut auditor);
            }
        }
        if let Some(progress) = options.progress.filter(|_| now >= last_progress + PROGRESS_INTERVAL) {
            last_progress = now;
            progress(now, world.events());
        }
        if now == 0 && !std::mem::replace(&mut opened_established_connections, true) {
            // Balancers are ready now; clients established before the day connect to them.
            world.open_standing_connections(&mut Outbox { slots: &mut slots, auditor: &mut auditor });
        }
        if now == 0 && slots.iter().any(|s| !s.inbox.is_empty()) {
            // Connections from before the day are restored before the first tick.
            continue;
        }
        if now >= day.length && (world.waiting() == 0 || now >= day.length + answer_window(day)) {
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
    slots.iter_mut().zip(&mut timelines).for_each(|(slot, timeline)| timeline.sample(slot.instance.as_mut()));
    Ok(RunResult::new(world.finish(), verdict, now, timelines))
}

/// How long after the day's length the last answer may still arrive.
pub(crate) fn answer_window(day: &Day) -> Micros {
    day.classes.iter().map(|c| c.give_up).max().unwrap_or(0) + day.rules.answer_slack + TRAILING_MESSAGES
}

/// Passes a balancer's inputs and actions to the auditor, and applies the actions to the world.
fn apply_actions(now: Micros, i: usize, slots: &mut [Slot], world: &mut World, auditor: &mut Auditor) {
    let id = BalancerId(i as u32);
    let mut inbox = std::mem::take(&mut slots[i].inbox);
    let mut actions = std::mem::take(&mut slots[i].actions);
    inbox.drain(..).for_each(|input| auditor.observe(now, Observation::Input(id, &input)));
    for action in actions.drain(..) {
        auditor.observe(now, Observation::Output(id, &action));
        world.on_balancer_action(now, id, action, &mut Outbox { slots: &mut *slots, auditor: &mut *auditor });
    }
    // The actions may have caused new inputs at the same time; otherwise the emptied buffer is reused.
    if slots[i].inbox.is_empty() {
        slots[i].inbox = inbox;
    }
    slots[i].actions = actions;
}
