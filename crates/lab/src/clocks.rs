//! Owns `clocks`: the proof of virtual time against sockets. The same days are played by the built program in real
//! time and by its decision module in virtual time, and the results are held against each other.

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

// What virtual time says of the served share is trusted on sockets if the median day is nearer than this.
const NEAR: f64 = 0.03;
// A day on which the lab itself was late is played again, so often.
const TRIES: usize = 3;
// Keeps the luck of one draw apart from that of the next.
const NEXT_SEED: u64 = 0x9e37_79b9;

/// The figures that are held against each other.
#[derive(Clone, Copy, Debug, Serialize)]
struct Figures {
    g: f64,
    whole: f64,
    worst_window: f64,
}

#[derive(Debug, Serialize)]
struct Pair {
    day: String,
    sockets: Figures,
    /// The mean over its draws.
    virtual_time: Figures,
    /// The deviation of the served share from draw to draw.
    spread: f64,
    /// The lab was late each time it was played.
    void: Option<String>,
    late_ms: f64,
    rules_kept: bool,
}

impl Pair {
    /// Of the served share of the whole day.
    fn difference(&self) -> f64 {
        self.sockets.whole - self.virtual_time.whole
    }
}

/// `clocks`.
pub fn clocks(args: &Clocks, style: &Style) -> Result<CommandOutcome, CommandError> {
    let program = balancer::find(args.balancer.as_deref())?;
    let load = |path: &PathBuf| Ok((name(path), files::load(path, &[], args.seed)?.day));
    let days: Vec<(String, Day)> = args.scenarios.iter().map(load).collect::<Result<_, CommandError>>()?;
    let real = in_real_time(&days, &program, args.at_once)?;
    // All figures of a day are in the day: another seed changes the luck alone.
    let draw = |day: &Day, n: u64| Day { seed: (day.seed + n * NEXT_SEED) & i64::MAX as u64, ..day.clone() };
    let jobs: Vec<(String, Day)> = days
        .iter()
        .flat_map(|(_, day)| (0..args.draws).map(|n| ("module".to_owned(), draw(day, n))))
        .collect();
    let runs = runner::all(&jobs, args.threads)?;
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
    let well = median.is_some_and(|m| m <= NEAR) && pairs.iter().all(|p| p.rules_kept);
    Ok(if well { CommandOutcome::Success } else { CommandOutcome::Failure })
}

fn name(path: &Path) -> String {
    path.file_stem().unwrap_or_default().to_string_lossy().into_owned()
}

/// Plays all days on sockets, so many at once.
fn in_real_time(days: &[(String, Day)], program: &Path, at_once: usize) -> Result<Vec<Record>, CommandError> {
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
                    let record = unless_late(day, program);
                    bar.inc(1);
                    played.lock().expect("nobody panics with it").push((name, record));
                }
            });
        }
    });
    bar.finish_and_clear();
    let mut played = played.into_inner().expect("nobody panics with it");
    // In the order of the command line, whichever ended first.
    let place = |name: &String| days.iter().position(|d| d.0 == *name);
    played.sort_by_key(|(name, _)| place(name));
    played.into_iter().map(|(_, record)| record).collect()
}

fn unless_late(day: &Day, program: &Path) -> Result<Record, CommandError> {
    let mut record = sockets::play(day, program, None, &mut |_| {})?;
    for _ in 1..TRIES {
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
    let median = median.map_or("no day counts".to_owned(), |m| {
        format!("median distance of the served shares {m:.4} ({NEAR} is near)")
    });
    format!("{t}\n{median}\n")
}
