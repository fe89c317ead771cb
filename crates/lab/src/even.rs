//! The `even` command: plays the days of trials in virtual time under several policies and compares how evenly they
//! use the nodes.

use std::path::Path;

use serde::Serialize;
use shorewharf_emulator::day::Day;
use shorewharf_emulator::world::series::SETUP_INTERVAL;
use shorewharf_fault_scenarios::{LoadDistribution, Scenario, WorstInterval, worst_setup_burst};

use crate::cli;
use crate::error::{CommandError, CommandOutcome};
use crate::files;
use crate::record::round;
use crate::runner;
use crate::stats;
use crate::style::{Style, say};
use crate::tables;
use shorewharf_units::seconds_from_micros;

/// Figures of one day under one policy, as they are written to JSON.
#[derive(Debug, Serialize)]
struct EvenRun {
    trial: String,
    balancers: usize,
    nodes: usize,
    seed: u64,
    policy: String,
    served: f64,
    /// Maximum of a node's load over its capacity.
    load_most: Option<f64>,
    /// Maximum of a node's load over the mean of all nodes.
    over_mean_most: Option<f64>,
    /// Minimum of a node's load over the mean of all nodes.
    under_mean_least: Option<f64>,
    /// Maximum of a node's setups in an interval over an even share of them.
    set_ups_most: Option<f64>,
    rules_kept: bool,
}

/// Runs `even`.
///
/// # Errors
/// A trial, its day or a policy can't be used, or a file can't be written.
pub fn even(args: &cli::Even, style: &Style) -> Result<CommandOutcome, CommandError> {
    let mut all_runs = Vec::new();
    let mut text = String::new();
    for path in &args.trials {
        let (trial, days) = load_days(path, args)?;
        let jobs: Vec<(String, Day)> = args
            .policies
            .iter()
            .flat_map(|policy| days.iter().map(move |day| (policy.clone(), day.clone())))
            .collect();
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        let runs = runner::play_each(&jobs, args.threads, &|policy, day, result| {
            let distribution = LoadDistribution::of(&trial.expectations, &result.series.nodes);
            let figure = |worst: Option<WorstInterval>| worst.map(|w| round(w.value, 3));
            EvenRun {
                trial: name.to_string(),
                balancers: day.balancers.len(),
                nodes: day.nodes.len(),
                seed: day.seed,
                policy: policy.to_owned(),
                served: round(result.outcome.whole, 4),
                load_most: figure(distribution.max_load),
                over_mean_most: figure(distribution.max_over_mean),
                under_mean_least: figure(distribution.min_under_mean),
                set_ups_most: figure(worst_setup_burst(
                    &result.series.set_ups,
                    seconds_from_micros(SETUP_INTERVAL),
                )),
                rules_kept: result.verdict.is_clean(),
            }
        })?;
        if let Some(first) = runs.first() {
            let head = format!("{name}: {} balancers, {} nodes", first.balancers, first.nodes);
            text += &format!("{}\n{}\n", style.bold(&head), table(&runs, args.seeds.0.len(), style));
        }
        all_runs.extend(runs);
    }
    let json = serde_json::to_string_pretty(&all_runs).expect("keys are text") + "\n";
    match args.json.as_deref() {
        Some(path) if path == Path::new("-") => say(&json),
        path => {
            say(&text);
            path.map_or(Ok(()), |path| files::write(path, &json))?;
        }
    }
    let rules_kept = |p: &EvenRun| p.rules_kept || !p.policy.starts_with("module");
    Ok(if all_runs.iter().all(rules_kept) { CommandOutcome::Success } else { CommandOutcome::Failure })
}

/// Reads a trial, and its day with each of the seeds.
fn load_days(path: &Path, args: &cli::Even) -> Result<(Scenario, Vec<Day>), CommandError> {
    let input_error = |e: &dyn std::fmt::Display| CommandError::Input(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| input_error(&e))?;
    let trial = Scenario::read(&text).map_err(|e| input_error(&e))?;
    if trial.expectations.settled.is_empty() {
        return Err(input_error(
            &"promises.settled_s: missing; expected the intervals in which the day has settled",
        ));
    }
    let sets = files::single_values(&args.set)?;
    let day = path.parent().unwrap_or(Path::new("")).join(&trial.day);
    let all = args.seeds.0.iter().map(|seed| Ok(files::load(&day, &sets, Some(*seed))?.day));
    let all = all.collect::<Result<_, CommandError>>()?;
    Ok((trial, all))
}

fn table(runs: &[EvenRun], seeds: usize, style: &Style) -> String {
    let columns = [
        "policy",
        "served",
        "load most",
        "(worst)",
        "over mean",
        "(worst)",
        "least",
        "(worst)",
        "burst",
        "(worst)",
    ];
    let mut t = tables::table(&columns, true, style);
    for group in runs.chunks(seeds.max(1)) {
        let served: Vec<f64> = group.iter().map(|p| p.served).collect();
        let mut row = vec![group[0].policy.clone(), format!("{:.3}", stats::mean(&served).unwrap_or(0.0))];
        let mut add = |figure: &dyn Fn(&EvenRun) -> Option<f64>, most: bool| {
            let xs: Vec<f64> = group.iter().filter_map(figure).collect();
            let worst = xs.iter().copied().reduce(if most { f64::max } else { f64::min });
            let text = |x: Option<f64>| x.map_or("-".to_owned(), |x| format!("{x:.2}"));
            row.extend([text(stats::mean(&xs)), text(worst)]);
        };
        add(&|p| p.load_most, true);
        add(&|p| p.over_mean_most, true);
        add(&|p| p.under_mean_least, false);
        add(&|p| p.set_ups_most, true);
        t.add_row(row);
    }
    t.to_string()
}
