//! The `clocks` command: validates virtual time against sockets. The built program plays the same days in real time as
//! its decision module does in virtual time, and the results are compared.

use std::path::{Path, PathBuf};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use indicatif::{ProgressBar, ProgressStyle};
use serde::Serialize;
use shorewharf_emulator::day::Day;

use crate::balancer;
use crate::cli::Clocks;
use crate::error::{CommandError, CommandOutcome};
use crate::files;
use crate::record::Record;
use crate::runner;
use crate::sockets;
use crate::stats;
use crate::style::{Style, say};
use crate::tables;

// The served share in virtual time is taken as valid for sockets if the median distance of the days is at most this.
const MAX_MEDIAN_DISTANCE: f64 = 0.03;
// Number of times that a day is played at most while the lab itself is too late for the run to count.
const MAX_RUNS: usize = 3;
// Distance between the seeds of successive draws of a day, so that their random streams differ.
const SEED_STEP: u64 = 0x9e37_79b9;

/// Figures that are compared between the clocks.
#[derive(Clone, Copy, Debug, Serialize)]
struct Figures {
    g: f64,
    whole: f64,
    worst_window: f64,
}

/// Results of one day on both clocks.
#[derive(Debug, Serialize)]
struct Pair {
    day: String,
    sockets: Figures,
    /// Means over the day's draws in virtual time.
    virtual_time: Figures,
    /// Standard deviation of the served share over the draws.
    spread: f64,
    /// Why the run on sockets does not count, if the lab was too late each time.
    void: Option<String>,
    late_ms: f64,
    rules_kept: bool,
}

impl Pair {
    /// Served share of the whole day on sockets minus that in virtual time.
    fn difference(&self) -> f64 {
        self.sockets.whole - self.virtual_time.whole
    }
}

/// Runs `clocks`.
///
/// # Errors
/// A scenario can't be used, or a run failed.
pub fn clocks(args: &Clocks, style: &Style) -> Result<CommandOutcome, CommandError> {
    let program = balancer::find(args.balancer.as_deref())?;
    let load = |path: &PathBuf| Ok((name(path), files::load(path, &[], args.seed)?.day));
    let days: Vec<(String, Day)> = args.scenarios.iter().map(load).collect::<Result<_, CommandError>>()?;
    let real = play_on_sockets(&days, &program, args.at_once)?;
    // A day holds all its parameters, so another seed changes only what is drawn at run time.
    let draw = |day: &Day, n: u64| Day { seed: (day.seed + n * SEED_STEP) & i64::MAX as u64, ..day.clone() };
    let jobs: Vec<(String, Day)> = days
        .iter()
        .flat_map(|(_, day)| (0..args.draws).map(|n| ("module".to_owned(), draw(day, n))))
        .collect();
    let runs = runner::play_all(&jobs, args.threads)?;
    let pairs: Vec<Pair> = days
        .iter()
        .zip(&real)
        .zip(runs.chunks(args.draws as usize))
        .map(|(((name, _), real), runs)| pair(name, real, runs))
        .collect();
    let counted: Vec<f64> = pairs.iter().filter(|p| p.void.is_none()).map(|p| p.difference().abs()).collect();
    let median = stats::quantile(&counted, 0.5);
    if let Some(path) = &args.json {
        let whole = serde_json::json!({"median_distance": median, "pairs": &pairs});
        files::write(path, &(serde_json::to_string_pretty(&whole).expect("keys are text") + "\n"))?;
    }
    say(&print(&pairs, median, style));
    let passed = median.is_some_and(|m| m <= MAX_MEDIAN_DISTANCE) && pairs.iter().all(|p| p.rules_kept);
    Ok(if passed { CommandOutcome::Success } else { CommandOutcome::Failure })
}

fn name(path: &Path) -> String {
    path.file_stem().unwrap_or_default().to_string_lossy().into_owned()
}

/// Plays all days on sockets, `at_once` of them at a time. The records are in the order of `days`.
fn play_on_sockets(
    days: &[(String, Day)],
    program: &Path,
    at_once: usize,
) -> Result<Vec<Record>, CommandError> {
    let bar = ProgressBar::new(days.len() as u64);
    let style = ProgressStyle::with_template("on sockets {wide_bar} {pos} of {len} days")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    bar.set_style(style);
    let next = AtomicUsize::new(0);
    let played = Mutex::new(Vec::new());
    std::thread::scope(|threads| {
        for _ in 0..at_once.clamp(1, days.len().max(1)) {
            threads.spawn(|| {
                while let Some((name, day)) = days.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let record = play_until_valid(day, program);
                    bar.inc(1);
                    played.lock().expect("no thread panics while it holds the lock").push((name, record));
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut played = played.into_inner().expect("no thread panics while it holds the lock");
    // The days end in any order; the records are returned in the order of the command line.
    let place = |name: &String| days.iter().position(|d| d.0 == *name);
    played.sort_by_key(|(name, _)| place(name));
    played.into_iter().map(|(_, record)| record).collect()
}

/// Plays a day on sockets, and again while the lab is too late for the run to count.
fn play_until_valid(day: &Day, program: &Path) -> Result<Record, CommandError> {
    let mut record = sockets::play(day, program, None, &mut |_| {})?;
    for _ in 1..MAX_RUNS {
        if void(&record).is_none() {
            break;
        }
        record = sockets::play(day, program, None, &mut |_| {})?;
    }
    Ok(record)
}

fn void(record: &Record) -> Option<String> {
    record.sockets.as_ref().and_then(|s| s.void.clone())
}

fn pair(day: &str, real: &Record, runs: &[Record]) -> Pair {
    let of = |f: &dyn Fn(&Record) -> f64| runs.iter().map(f).collect::<Vec<_>>();
    let mean = |f: &dyn Fn(&Record) -> f64| stats::mean(&of(f)).unwrap_or(0.0);
    Pair {
        day: day.to_owned(),
        sockets: Figures { g: real.g, whole: real.whole, worst_window: real.worst_window.share },
        virtual_time: Figures {
            g: mean(&|r| r.g),
            whole: mean(&|r| r.whole),
            worst_window: mean(&|r| r.worst_window.share),
        },
        spread: stats::deviation(&of(&|r| r.whole)),
        void: void(real),
        late_ms: real.sockets.as_ref().map_or(0.0, |s| s.late.most_ms),
        rules_kept: real.rules.kept && runs.iter().all(|r| r.rules.kept),
    }
}

fn print(pairs: &[Pair], median: Option<f64>, style: &Style) -> String {
    let columns = [
        "day",
        "served, sockets",
        "virtual",
        "spread",
        "difference",
        "g, sockets",
        "virtual",
        "worst window",
        "late p99",
        "rules",
    ];
    let mut t = tables::table(&columns, true, style);
    for p in pairs {
        t.add_row([
            p.day.clone(),
            tables::share(p.sockets.whole),
            tables::share(p.virtual_time.whole),
            tables::share(p.spread),
            format!("{:+.4}{}", p.difference(), if p.void.is_some() { " VOID" } else { "" }),
            tables::share(p.sockets.g),
            tables::share(p.virtual_time.g),
            format!("{:.3} {:.3}", p.sockets.worst_window, p.virtual_time.worst_window),
            tables::ms(p.late_ms),
            if p.rules_kept { "kept".into() } else { "BROKEN".to_owned() },
        ]);
    }
    let median = median.map_or("no run on sockets counts".to_owned(), |m| {
        format!("median distance of the served shares {m:.4} (at most {MAX_MEDIAN_DISTANCE} is accepted)")
    });
    format!("{t}\n{median}\n")
}
