//! Runs simulated fleets and searches for schedules in which more than a total is in force.
//!
//! `cargo run --release -p shorewharf-budgets --example schedules -- random --count 100000`
//! `cargo run --release -p shorewharf-budgets --example schedules -- pairs --every 1`
//! `cargo run --release -p shorewharf-budgets --example schedules -- defects`
//! `cargo run --release -p shorewharf-budgets --example schedules -- fleet`

use std::ops::Range;
use std::process::ExitCode;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

use clap::{Parser, Subcommand};
use shorewharf_budgets::model::{
    Defect, DemandRatio, Fault, FaultKind, ModelFleet, RunOutcome, Schedule, ScheduleSpace, Violation,
    find_violation, minimize,
};
use shorewharf_budgets::{Budget, BudgetSettings};

#[derive(Parser)]
struct Args {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Runs random schedules
    Random {
        /// Number of schedules
        #[arg(long, default_value_t = 10_000)]
        count: u64,
        /// First seed
        #[arg(long, default_value_t = 1)]
        from: u64,
    },
    /// Runs all schedules of three members with two faults out of a small set
    Pairs {
        /// Run only one in this number of schedules
        #[arg(long, default_value_t = 1)]
        every: usize,
    },
    /// Measures the utilization of the budgets of a large fleet while demand moves between members and most
    /// members are killed, and the load on the store
    Fleet {
        /// Number of members of each run
        #[arg(long, value_delimiter = ',', default_value = "10,100,300")]
        members: Vec<usize>,
    },
    /// Injects each defect and reports how long it takes to detect it
    #[command(alias = "flaws")]
    Defects {
        /// Maximum number of schedules for each defect
        #[arg(long, alias = "most", default_value_t = 2_000)]
        max_schedules: u64,
    },
}

/// A violation, and the number of its schedule.
struct NumberedViolation {
    number: u64,
    violation: Violation,
}

/// The result of a search.
struct SearchResult {
    schedules: u64,
    steps: u64,
    /// The violation with the lowest number.
    first: Option<NumberedViolation>,
}

/// Runs schedules on all cores, up to the first one that shows a violation.
fn search(count: u64, schedule: &(dyn Fn(u64) -> Schedule + Sync)) -> SearchResult {
    let (next, steps, schedules) = (AtomicU64::new(0), AtomicU64::new(0), AtomicU64::new(0));
    let first: Mutex<Option<NumberedViolation>> = Mutex::new(None);
    let cores = std::thread::available_parallelism().map_or(1, std::num::NonZero::get);
    std::thread::scope(|scope| {
        for _ in 0..cores {
            scope.spawn(|| {
                loop {
                    let number = next.fetch_add(1, Ordering::Relaxed);
                    let found = first.lock().expect("no thread panics").as_ref().map(|found| found.number);
                    if number >= count || found.is_some_and(|found| number > found) {
                        return;
                    }
                    let schedule = schedule(number);
                    let outcome = ModelFleet::new(&schedule).run();
                    steps.fetch_add(outcome.steps, Ordering::Relaxed);
                    schedules.fetch_add(1, Ordering::Relaxed);
                    let Some(overrun) = outcome.overrun else { continue };
                    let mut first = first.lock().expect("no thread panics");
                    if first.as_ref().is_none_or(|found| number < found.number) {
                        let violation = Violation { schedule, overrun };
                        *first = Some(NumberedViolation { number, violation });
                    }
                }
            });
        }
    });
    SearchResult {
        schedules: schedules.into_inner(),
        steps: steps.into_inner(),
        first: first.into_inner().expect("no thread panics"),
    }
}

fn micros(seconds: f64) -> u64 {
    (seconds * 1e6) as u64
}

/// A fleet in which first member 0 and then member 1 has a demand of nine tenths of the totals. One member leaves
/// gracefully, and all members except one in thirty are killed.
fn large_fleet(members: usize) -> Schedule {
    let defaults = Schedule::default_settings();
    let total = |budget: &Budget| Budget { total: 20.0 * members as f64, ..budget.clone() };
    let settings = BudgetSettings {
        budgets: defaults.budgets.iter().map(total).collect(),
        lease: micros(3.0),
        clock_margin: micros(0.2),
        poll_interval: micros(0.25),
        drain_time: micros(3.0),
        reserve_ratio: 0.05,
        even_ratio: 0.05,
        max_members: members,
        ..defaults
    };
    let (low, high) = (0.3 / members as f64, 0.9);
    let demand = |first_half, second_half| DemandRatio { first_half, second_half };
    let mut demands = vec![demand(low, low); members];
    (demands[0], demands[1]) = (demand(high, low), demand(low, high));
    // The demand of the surviving members exceeds the totals.
    let surviving = (members / 30).max(2);
    for demand in demands.iter_mut().take(surviving).skip(2) {
        demand.second_half = 0.5;
    }
    let fault = |kind, member, begins_at, duration| Fault {
        kind,
        member,
        begins_at: micros(begins_at),
        duration: micros(duration),
    };
    let leave = fault(FaultKind::GracefulLeave, members - 1, 20.0, 10.0);
    let kills = (surviving..members).map(|member| fault(FaultKind::Kill, member, 40.0, 60.0));
    Schedule {
        members,
        duration: micros(60.0),
        faults: std::iter::once(leave).chain(kills).collect(),
        settings,
        clock_drift: 0.001,
        demands,
        ..Schedule::random(7)
    }
}

/// The mean utilization of the rate budget and of the concurrency budget between two times, in seconds.
fn mean_utilizations(outcome: &RunOutcome, seconds: Range<f64>) -> String {
    let times = micros(seconds.start)..micros(seconds.end);
    let samples = || outcome.samples.iter().filter(|sample| times.contains(&sample.at));
    let mean = |budget: usize| {
        let sum: f64 = samples().map(|sample| sample.utilizations[budget]).sum();
        sum / samples().count().max(1) as f64
    };
    format!("{:.3} {:.3}", mean(0), mean(1))
}

/// The time in seconds after `from` until the mean utilization of a budget over a second is at least 0.9; infinity
/// if that takes more than 10 s.
fn seconds_to_recover(outcome: &RunOutcome, from: f64, budget: usize) -> f64 {
    let times = micros(from)..micros(from + 10.0);
    let samples: Vec<_> = outcome.samples.iter().filter(|sample| times.contains(&sample.at)).collect();
    let mut seconds = samples.windows(10);
    let recovered =
        seconds.find(|second| second.iter().map(|sample| sample.utilizations[budget]).sum::<f64>() >= 9.0);
    recovered.map_or(f64::INFINITY, |second| second[0].at as f64 / 1e6 - from)
}

fn report_large_fleet(members: usize) {
    let started = Instant::now();
    let outcome = ModelFleet::new(&large_fleet(members)).run();
    let utilization = |seconds| mean_utilizations(&outcome, seconds);
    let recovery = |from, budget| seconds_to_recover(&outcome, from, budget);
    println!(
        "{members} members: mean utilization of rate and level: {} at 12 to 20 s, {} at 25 to 30 s, {} at 36 to 40 s, {} at 52 to 60 s",
        utilization(12.0..20.0),
        utilization(25.0..30.0),
        utilization(36.0..40.0),
        utilization(52.0..60.0)
    );
    println!(
        "  time until the utilization is 0.9 again: after a leave {:.1} {:.1} s, after demand has moved {:.1} {:.1} s, after most members were killed {:.1} {:.1} s; total exceeded: {}",
        recovery(20.0, 0),
        recovery(20.0, 1),
        recovery(30.0, 0),
        recovery(30.0, 1),
        recovery(40.0, 0),
        recovery(40.0, 1),
        outcome.overrun.as_ref().map_or("never".to_owned(), |overrun| format!("{overrun:?}")),
    );
    println!(
        "  store: {:.0} requests, {:.0} writes, {:.0} bytes written per second; run time {:.1} s",
        outcome.requests as f64 / 60.0,
        outcome.writes as f64 / 60.0,
        outcome.bytes_written as f64 / 60.0,
        started.elapsed().as_secs_f64()
    );
}

/// Searches for a schedule that detects an injected defect; returns whether there is one.
fn report_defect(defect: Defect, max_schedules: u64) -> bool {
    let started = Instant::now();
    let with_defect = |number| Schedule { defect: Some(defect), ..Schedule::random(1 + number) };
    let result = search(max_schedules, &with_defect);
    let Some(NumberedViolation { number, violation }) = result.first else {
        println!("{defect:?}: NOT DETECTED in {} schedules", result.schedules);
        return false;
    };
    let smallest = minimize(violation.clone());
    println!(
        "{defect:?}: detected by schedule {number} at event {} after {:.2} s; {} of {} faults are needed: {:?}",
        violation.overrun.steps,
        started.elapsed().as_secs_f64(),
        smallest.schedule.faults.len(),
        violation.schedule.faults.len(),
        smallest.schedule.faults.iter().map(|fault| fault.kind).collect::<Vec<_>>(),
    );
    true
}

fn print_violation(violation: &Violation) {
    let Violation { schedule, overrun } = violation;
    println!("seed {} members {}: {overrun:?}", schedule.seed, schedule.members);
    for fault in &schedule.faults {
        println!("  {fault:?}");
    }
}

fn search_pairs(every: usize) -> SearchResult {
    let space = ScheduleSpace::default();
    let base = Schedule { faults: Vec::new(), ..Schedule::random(1) };
    let faults = space.faults();
    println!("{} faults, {} pairs", faults.len(), space.pairs());
    let count = space.pairs().div_ceil(every);
    search(count as u64, &|number| space.schedule(&faults, number as usize * every, &base))
}

/// Prints the result of a search.
fn report_search(result: SearchResult, seconds: f64) -> ExitCode {
    let SearchResult { schedules, steps, first } = result;
    println!(
        "{schedules} schedules with {steps} events in {seconds:.1} s: {:.0} events per second",
        steps as f64 / seconds
    );
    let Some(NumberedViolation { number, violation }) = first else { return ExitCode::SUCCESS };
    println!("more than a total is in force in schedule {number}:");
    print_violation(&violation);
    println!("minimized:");
    print_violation(
        &find_violation(&minimize(violation).schedule).expect("a minimized schedule shows a violation"),
    );
    ExitCode::from(1)
}

fn main() -> ExitCode {
    let started = Instant::now();
    let result = match Args::parse().command {
        Command::Random { count, from } => search(count, &|number| Schedule::random(from + number)),
        Command::Pairs { every } => search_pairs(every.max(1)),
        Command::Fleet { members } => {
            members.into_iter().for_each(report_large_fleet);
            return ExitCode::SUCCESS;
        }
        Command::Defects { max_schedules } => {
            let undetected =
                Defect::ALL.into_iter().filter(|defect| !report_defect(*defect, max_schedules)).count();
            return if undetected == 0 { ExitCode::SUCCESS } else { ExitCode::from(1) };
        }
    };
    report_search(result, started.elapsed().as_secs_f64())
}
