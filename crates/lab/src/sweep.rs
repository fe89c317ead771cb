//! The `sweep` command: runs a grid of settings, seeds and policies on all cores and summarizes the records.

use serde::Serialize;
use shorewharf_emulator::day::Day;

use crate::cli::Sweep;
use crate::error::{CommandError, CommandOutcome};
use crate::files;
use crate::record::Record;
use crate::runner;
use crate::scenario::set;
use crate::stats;
use crate::style::{Style, say};
use crate::tables;

/// Summary of the runs of one point of the grid over all seeds.
#[derive(Debug, Serialize)]
struct Point {
    policy: String,
    set: Vec<(String, String)>,
    runs: usize,
    mean: f64,
    worst: f64,
    worst_seed: u64,
    spread: f64,
    whole: f64,
    worst_window: f64,
    rules_broken_in: usize,
}

/// Runs `sweep`.
///
/// # Errors
/// An argument, the scenario or a policy can't be used, or a file can't be written.
pub fn sweep(args: &Sweep, style: &Style) -> Result<CommandOutcome, CommandError> {
    let grid = set::grid(&args.set);
    let seeds = &args.seeds.0;
    let mut points = Vec::new();
    let mut jobs = Vec::new();
    for policy in &args.policies {
        for sets in &grid {
            points.push((policy, sets));
            for seed in seeds {
                let day = files::load(&args.scenario, sets, Some(*seed))?.day;
                jobs.push((policy.clone(), day));
            }
        }
    }
    let runs = runner::play_all(&jobs, args.threads)?;
    let table: Vec<Point> = points
        .iter()
        .zip(runs.chunks(seeds.len().max(1)))
        .map(|((policy, sets), runs)| point(policy, sets, runs))
        .collect();
    if let Some(path) = &args.csv {
        files::write(path, &csv(args, &points_of_runs(&points, seeds.len()), &runs))?;
    }
    if let Some(path) = &args.json {
        #[derive(Serialize)]
        struct SweepReport<'a> {
            scenario: String,
            points: &'a [Point],
            runs: &'a [Record],
        }
        let scenario = args.scenario.display().to_string();
        let whole = SweepReport { scenario, points: &table, runs: &runs };
        files::write(path, &(serde_json::to_string(&whole).expect("keys are text") + "\n"))?;
    }
    if args.json.as_deref() != Some(std::path::Path::new("-")) {
        say(&print(args, &table, style));
    }
    let rules_kept = table.iter().all(|p| p.rules_broken_in == 0);
    Ok(if rules_kept { CommandOutcome::Success } else { CommandOutcome::Failure })
}

/// A policy and the changed keys of a grid point.
type GridPoint<'a> = (&'a String, &'a Vec<(String, String)>);

/// The grid point of each run: every point once per seed.
fn points_of_runs<'a>(points: &[GridPoint<'a>], seeds: usize) -> Vec<GridPoint<'a>> {
    points.iter().flat_map(|p| std::iter::repeat_n(*p, seeds)).collect()
}

fn point(policy: &str, sets: &[(String, String)], runs: &[Record]) -> Point {
    let of = |f: &dyn Fn(&Record) -> f64| runs.iter().map(f).collect::<Vec<_>>();
    let g = of(&|r| r.g);
    let worst = runs.iter().min_by(|a, b| a.g.total_cmp(&b.g));
    Point {
        policy: policy.to_owned(),
        set: sets.to_vec(),
        runs: runs.len(),
        mean: stats::mean(&g).unwrap_or(0.0),
        worst: worst.map_or(0.0, |r| r.g),
        worst_seed: worst.map_or(0, |r| r.seed),
        spread: stats::deviation(&g),
        whole: stats::mean(&of(&|r| r.whole)).unwrap_or(0.0),
        worst_window: stats::mean(&of(&|r| r.worst_window.share)).unwrap_or(0.0),
        rules_broken_in: runs.iter().filter(|r| !r.rules.kept).count(),
    }
}

fn print(args: &Sweep, points: &[Point], style: &Style) -> String {
    let keys = args.set.iter().map(|axis| axis.key.as_str());
    let figures = ["g", "worst g", "(seed)", "spread", "whole day", "worst window", "rules broken in"];
    let columns: Vec<&str> = std::iter::once("policy").chain(keys).chain(figures).collect();
    let mut t = tables::table(&columns, true, style);
    for p in points {
        let mut row = vec![p.policy.clone()];
        row.extend(p.set.iter().map(|(_, value)| value.clone()));
        row.extend([
            tables::share(p.mean),
            tables::share(p.worst),
            format!("({})", p.worst_seed),
            tables::share(p.spread),
            tables::share(p.whole),
            tables::share(p.worst_window),
            if p.rules_broken_in == 0 { "-".into() } else { format!("{} of {}", p.rules_broken_in, p.runs) },
        ]);
        t.add_row(row);
    }
    format!("{t}\n")
}

/// The runs as CSV, with a line for each. Fields that contain a comma, a quote or a line break are quoted.
fn csv(args: &Sweep, points: &[GridPoint<'_>], runs: &[Record]) -> String {
    let quoted = |s: &str| {
        if s.contains([',', '"', '\n']) { format!("\"{}\"", s.replace('"', "\"\"")) } else { s.to_owned() }
    };
    let mut head: Vec<String> = vec!["scenario".into(), "policy".into()];
    head.extend(args.set.iter().map(|a| quoted(&a.key)));
    head.extend(
        [
            "seed",
            "g",
            "whole",
            "worst_window",
            "worst_tenant",
            "prices",
            "set_ups",
            "set_up_p50_ms",
            "set_up_p99_ms",
            "refused",
            "rules_kept",
            "events",
        ]
        .map(String::from),
    );
    let mut text = head.join(",") + "\n";
    for ((policy, sets), run) in points.iter().zip(runs) {
        let mut row = vec![quoted(&run.scenario), quoted(policy)];
        row.extend(sets.iter().map(|(_, v)| quoted(v)));
        let setup_time = |q| run.set_up.quantile(q).map_or(String::new(), |ms| ms.to_string());
        row.extend([
            run.seed.to_string(),
            run.g.to_string(),
            run.whole.to_string(),
            run.worst_window.share.to_string(),
            Record::worst(&run.tenants).map_or(String::new(), |t| t.share.to_string()),
            run.prices.iter().map(|p| p.cost).sum::<f64>().to_string(),
            run.set_up.count.to_string(),
            setup_time(0.5),
            setup_time(0.99),
            run.refusals.values().sum::<u64>().to_string(),
            run.rules.kept.to_string(),
            run.events.to_string(),
        ]);
        text += &(row.join(",") + "\n");
    }
    text
}

/// Loads a scenario once with each seed.
///
/// # Errors
/// The scenario or a change can't be used.
pub fn load_days(
    scenario: &std::path::Path,
    sets: &[(String, String)],
    seeds: &[u64],
) -> Result<Vec<Day>, CommandError> {
    seeds.iter().map(|seed| Ok(files::load(scenario, sets, Some(*seed))?.day)).collect()
}
