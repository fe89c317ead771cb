//! The `fidelity` command: validates the emulator against the simulator on the same drawn days with the same policies.

use std::path::{Path, PathBuf};
use std::process::Command;

use indicatif::ProgressBar;
use serde::{Deserialize, Serialize};
use shorewharf_emulator::day::Day;

use crate::cli::Fidelity;
use crate::error::{CommandError, CommandOutcome};
use crate::files;
use crate::record::Record;
use crate::runner;
use crate::stats;
use crate::style::{Style, say};
use crate::tables;

// Differences between policies are larger than this, so days that agree within it rank policies in the same way.
const CLOSE_DISTANCE: f64 = 0.08;
// Distance between the seeds of successive draws of a day, so that their random streams differ.
const SEED_STEP: u64 = 0x9e37_79b9;

/// The figures that are read from a simulator's result, and the emulator's same figures.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
struct Simulated {
    g: f64,
    whole: f64,
    worst_window: f64,
    worst_tenant: f64,
}

/// Results of one day under one policy in both.
#[derive(Debug, Serialize)]
struct Pair {
    day: String,
    policy: String,
    simulator: Simulated,
    emulator: Simulated,
    /// Standard deviation of the emulator's g over its draws.
    spread: f64,
    rules_kept: bool,
}

impl Pair {
    /// The emulator's g minus the simulator's.
    fn difference(&self) -> f64 {
        self.emulator.g - self.simulator.g
    }
}

/// Summary of how close the pairs' results are.
#[derive(Debug, Serialize)]
struct Nearness {
    pairs: usize,
    median_difference: f64,
    median_distance: f64,
    /// Part of the pairs that differ by at most `CLOSE_DISTANCE`.
    within_008: f64,
    rank_correlation: Option<f64>,
}

/// Runs `fidelity`.
///
/// # Errors
/// A day, a result or a policy can't be used, the simulator failed, or a file can't be written.
pub fn fidelity(args: &Fidelity, style: &Style) -> Result<CommandOutcome, CommandError> {
    let days = drawn_days(&args.days)?;
    let mut jobs = Vec::new();
    let mut simulated = Vec::new();
    let bar = ProgressBar::new((days.len() * args.policies.len()) as u64);
    for policy in &args.policies {
        for path in &days {
            simulated.push((path, policy, simulator_result(args, path, policy)?));
            let day = files::load(path, &[], None)?.day;
            // A drawn day holds all its parameters, so another seed changes only what is drawn at run time.
            jobs.extend((0..args.draws).map(|draw| {
                let seed = (day.seed + draw * SEED_STEP) & i64::MAX as u64;
                (policy.clone(), Day { seed, ..day.clone() })
            }));
            bar.inc(1);
        }
    }
    bar.finish_and_clear();
    let runs = runner::play_all(&jobs, args.threads)?;
    let pairs: Vec<Pair> = simulated
        .into_iter()
        .zip(runs.chunks(args.draws as usize))
        .map(|((path, policy, s), r)| pair(path, policy, s, r))
        .collect();
    let near: Vec<(String, Nearness)> = args
        .policies
        .iter()
        .map(|p| (p.clone(), nearness(&pairs.iter().filter(|x| x.policy == *p).collect::<Vec<_>>())))
        .chain([("all".to_owned(), nearness(&pairs.iter().collect::<Vec<_>>()))])
        .collect();
    if let Some(path) = &args.json {
        #[derive(Serialize)]
        struct FidelityReport<'a> {
            nearness: &'a [(String, Nearness)],
            pairs: &'a [Pair],
        }
        let whole = FidelityReport { nearness: &near, pairs: &pairs };
        files::write(path, &(serde_json::to_string_pretty(&whole).expect("keys are text") + "\n"))?;
    }
    say(&print(&pairs, &near, style));
    Ok(CommandOutcome::Success)
}

/// Paths of the drawn days in a folder, sorted by name.
fn drawn_days(folder: &Path) -> Result<Vec<PathBuf>, CommandError> {
    let input_error = |e: std::io::Error| CommandError::Input(format!("{}: {e}", folder.display()));
    let mut days = Vec::new();
    for entry in std::fs::read_dir(folder).map_err(input_error)? {
        let path = entry.map_err(input_error)?.path();
        let name = path.file_name().unwrap_or_default().to_string_lossy().into_owned();
        if name.ends_with(".json") && !name.ends_with(".sim.json") {
            days.push(path);
        }
    }
    days.sort();
    if days.is_empty() {
        return Err(CommandError::Input(format!(
            "{}: contains no drawn days; expected files NAME.json",
            folder.display()
        )));
    }
    Ok(days)
}

/// Reads the simulator's result from the file next to the day; runs the simulator first if the file is missing and the
/// simulator's path is given.
fn simulator_result(args: &Fidelity, day: &Path, policy: &str) -> Result<Simulated, CommandError> {
    let stem = day.file_stem().unwrap_or_default().to_string_lossy();
    let result_path = day.with_file_name(format!("{stem}.{policy}.sim.json"));
    if !result_path.exists() {
        let Some(program) = &args.simulator else {
            let message = format!("{}: not found; --simulator PROGRAM creates it", result_path.display());
            return Err(CommandError::Input(message));
        };
        let mut command = Command::new(program);
        command.arg("run").arg(day).args([
            "--json",
            "--no-build",
            "--why",
            "Figures to compare the emulator with",
        ]);
        if policy != "module" {
            command.args(["--native", policy]);
        }
        let external_error = |e: String| CommandError::External(format!("{}: {e}", program.display()));
        let output = command.output().map_err(|e| external_error(e.to_string()))?;
        if !output.status.success() {
            return Err(external_error(String::from_utf8_lossy(&output.stderr).trim().to_owned()));
        }
        let text = String::from_utf8_lossy(&output.stdout);
        let value: serde_json::Value = serde_json::Deserializer::from_str(&text)
            .into_iter()
            .next()
            .and_then(Result::ok)
            .ok_or_else(|| {
                external_error(format!("expected JSON on standard output for {}, found none", day.display()))
            })?;
        files::write(&result_path, &format!("{value}\n"))?;
    }
    let input_error =
        |e: &dyn std::fmt::Display| CommandError::Input(format!("{}: {e}", result_path.display()));
    let text = std::fs::read_to_string(&result_path).map_err(|e| input_error(&e))?;
    serde_path_to_error::deserialize(&mut serde_json::Deserializer::from_str(&text))
        .map_err(|e| input_error(&e))
}

fn pair(path: &Path, policy: &str, simulator: Simulated, runs: &[Record]) -> Pair {
    let of = |f: &dyn Fn(&Record) -> f64| runs.iter().map(f).collect::<Vec<_>>();
    let mean = |f: &dyn Fn(&Record) -> f64| stats::mean(&of(f)).unwrap_or(0.0);
    Pair {
        day: path.file_stem().unwrap_or_default().to_string_lossy().into_owned(),
        policy: policy.to_owned(),
        simulator,
        emulator: Simulated {
            g: mean(&|r| r.g),
            whole: mean(&|r| r.whole),
            worst_window: mean(&|r| r.worst_window.share),
            worst_tenant: mean(&|r| Record::worst(&r.tenants).map_or(0.0, |t| t.share)),
        },
        spread: stats::deviation(&of(&|r| r.g)),
        rules_kept: runs.iter().all(|r| r.rules.kept),
    }
}

fn nearness(pairs: &[&Pair]) -> Nearness {
    let differences: Vec<f64> = pairs.iter().map(|p| p.difference()).collect();
    let distances: Vec<f64> = differences.iter().map(|d| d.abs()).collect();
    let close = distances.iter().filter(|d| **d <= CLOSE_DISTANCE).count();
    Nearness {
        pairs: pairs.len(),
        median_difference: stats::quantile(&differences, 0.5).unwrap_or(0.0),
        median_distance: stats::quantile(&distances, 0.5).unwrap_or(0.0),
        within_008: close as f64 / pairs.len().max(1) as f64,
        rank_correlation: stats::rank_correlation(
            &pairs.iter().map(|p| (p.simulator.g, p.emulator.g)).collect::<Vec<_>>(),
        ),
    }
}

fn print(pairs: &[Pair], near: &[(String, Nearness)], style: &Style) -> String {
    let columns = [
        "day",
        "policy",
        "g simulator",
        "emulator",
        "spread",
        "difference",
        "whole day",
        "worst window",
        "rules",
    ];
    let mut t = tables::table(&columns, true, style);
    let side_by_side = |a: f64, b: f64| format!("{a:.3} {b:.3}");
    for p in pairs {
        let mark = if p.difference().abs() > CLOSE_DISTANCE { "*" } else { " " };
        t.add_row([
            p.day.clone(),
            p.policy.clone(),
            tables::share(p.simulator.g),
            tables::share(p.emulator.g),
            tables::share(p.spread),
            format!("{:+.4}{mark}", p.difference()),
            side_by_side(p.simulator.whole, p.emulator.whole),
            side_by_side(p.simulator.worst_window, p.emulator.worst_window),
            if p.rules_kept { "kept".into() } else { "BROKEN".to_owned() },
        ]);
    }
    let columns =
        ["policy", "pairs", "median difference", "median distance", "within 0.08", "rank correlation"];
    let mut sums = tables::table(&columns, true, style);
    for (policy, n) in near {
        sums.add_row([
            policy.clone(),
            n.pairs.to_string(),
            format!("{:+.4}", n.median_difference),
            format!("{:.4}", n.median_distance),
            format!("{:.0} %", n.within_008 * 100.0),
            n.rank_correlation.map_or("-".into(), |r| format!("{r:.3}")),
        ]);
    }
    format!("{t}\n* further apart than {CLOSE_DISTANCE}\n\n{sums}\n")
}
