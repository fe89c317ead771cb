//! The `releases` command: plays many releases in virtual time, in which servers are replaced under a fleet of
//! balancers, and reports which cold servers were overloaded and how long displaced clients waited.

mod plan;
mod server;
mod world;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc;

use crate::cli;
use crate::error::{CommandError, CommandOutcome};
use crate::style::{Style, say};
use crate::tables;

pub use plan::{CapacityHints, ReleasePlan, Replacement};
pub use server::Overload;
pub use world::{ReleaseResult, play};

/// A release that has been played.
struct Played {
    plan: ReleasePlan,
    result: ReleaseResult,
}

/// Runs `releases`.
///
/// # Errors
/// Returns no error; the result type is that of all commands.
pub fn releases(args: &cli::Releases, style: &Style) -> Result<CommandOutcome, CommandError> {
    let mut played = play_all(args);
    played.sort_by_key(|release| release.plan.seed);
    say(&(table(&played, style) + "\n"));
    let mut has_failed = false;
    for release in &played {
        for overload in &release.result.overloads {
            has_failed = true;
            say(&(style.bad(&describe(&release.plan, overload)) + "\n"));
        }
    }
    Ok(if has_failed { CommandOutcome::Failure } else { CommandOutcome::Success })
}

fn plan(kind: cli::ReleaseKind, seed: u64) -> ReleasePlan {
    match kind {
        cli::ReleaseKind::Drawn => ReleasePlan::draw(seed),
        cli::ReleaseKind::HundredBalancers => ReleasePlan::of_a_hundred_balancers(seed),
    }
}

fn play_all(args: &cli::Releases) -> Vec<Played> {
    let next = AtomicU64::new(0);
    let threads = args.threads.or_else(|| std::thread::available_parallelism().ok().map(Into::into));
    let (sender, receiver) = mpsc::channel();
    std::thread::scope(|scope| {
        for _ in 0..threads.unwrap_or(1) {
            let (sender, next) = (sender.clone(), &next);
            scope.spawn(move || {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    if index >= args.count {
                        return;
                    }
                    let plan = plan(args.kind, args.seed + index);
                    let result = play(&plan);
                    sender.send(Played { plan, result }).expect("the receiver outlives the threads");
                }
            });
        }
        drop(sender);
        receiver.iter().collect()
    })
}

fn describe(plan: &ReleasePlan, overload: &Overload) -> String {
    let Overload { age, setups, tolerated, notified_ratio } = overload;
    format!(
        "seed {}: {} balancers, {} servers, {:?}, {:?}: overloaded {age:.2} s after its start: {setups} set-ups, {tolerated:.1} \
         tolerated, {:.0} % from balancers that had been notified",
        plan.seed,
        plan.balancers,
        plan.servers.len(),
        plan.replacement,
        plan.hints,
        notified_ratio * 100.0,
    )
}

fn table(played: &[Played], style: &Style) -> String {
    let columns = ["balancers", "releases", "with an overload", "overloads", "peak", "wait, s", "unserved"];
    let mut table = tables::table(&columns, true, style);
    for (least, most) in [(1, 10), (11, 50), (51, 200), (201, usize::MAX), (1, usize::MAX)] {
        let within = |release: &&Played| (least..=most).contains(&release.plan.balancers);
        let results: Vec<&ReleaseResult> =
            played.iter().filter(within).map(|release| &release.result).collect();
        if results.is_empty() {
            continue;
        }
        let failed = results.iter().filter(|result| !result.overloads.is_empty()).count();
        let overloads: usize = results.iter().map(|result| result.overloads.len()).sum();
        let peak = results.iter().map(|result| result.peak_ratio).fold(0.0, f64::max);
        let wait: f64 = results.iter().map(|result| result.mean_wait()).sum();
        let unserved: usize = results.iter().map(|result| result.unserved).sum();
        let name = match (least, most) {
            (1, usize::MAX) => "all".to_owned(),
            (least, usize::MAX) => format!("{least} and more"),
            (least, most) => format!("{least} to {most}"),
        };
        table.add_row([
            name,
            results.len().to_string(),
            failed.to_string(),
            overloads.to_string(),
            format!("{peak:.2}"),
            format!("{:.2}", wait / results.len() as f64),
            unserved.to_string(),
        ]);
    }
    table.to_string()
}
