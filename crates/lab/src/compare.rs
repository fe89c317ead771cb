//! The `compare` command: pairs the runs of two sides by seed and tests whether they differ by more than chance.

use std::path::Path;

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use crate::cli::Compare;
use crate::error::{CommandError, CommandOutcome};
use crate::files;
use crate::record::{self, Record};
use crate::runner;
use crate::stats::{self, Interval};
use crate::style::{Style, say};
use crate::sweep;
use crate::tables;

// Enough bootstrap draws that the ends of an interval vary by less than a hundredth of its width between seeds.
const BOOTSTRAP_DRAWS: usize = 10_000;
const BOOTSTRAP_SEED: u64 = 20;

/// Means of one figure on both sides, and their difference.
#[derive(Debug, Serialize)]
struct Figure {
    name: &'static str,
    a: f64,
    b: f64,
    /// Mean of B minus A over the pairs.
    difference: f64,
    /// Confidence interval of that mean; none for fewer than two pairs.
    interval: Option<Interval>,
    b_is_better_in: usize,
    b_is_worse_in: usize,
    /// The interval contains 0, or there is none.
    within_the_noise: bool,
}

/// The result of `compare`, as it is written to JSON.
#[derive(Debug, Serialize)]
struct Comparison {
    a: String,
    b: String,
    pairs: usize,
    level: f64,
    figures: Vec<Figure>,
    rules_broken_in_a: usize,
    rules_broken_in_b: usize,
}

/// Runs `compare`.
///
/// # Errors
/// An argument or input file can't be used, no seed is on both sides, or a run failed.
pub fn compare(args: &Compare, style: &Style) -> Result<CommandOutcome, CommandError> {
    if !(0.5..1.0).contains(&args.level) {
        return Err(CommandError::Input(format!(
            "--level {}: expected a number of at least 0.5 and below 1",
            args.level
        )));
    }
    let [policy_a, policy_b] = match &args.policies[..] {
        [one] => [one, one],
        [a, b] => [a, b],
        more => {
            return Err(CommandError::Input(format!(
                "--policies: expected one or two policies, found {}",
                more.len()
            )));
        }
    };
    let path_b = args.b.as_ref().unwrap_or(&args.a);
    if args.b.is_none() && policy_a == policy_b {
        return Err(CommandError::Input(
            "nothing to compare with: give a second scenario or result file, or two --policies".into(),
        ));
    }
    let mut a = load_side(args, &args.a, policy_a)?;
    let mut b = load_side(args, path_b, policy_b)?;
    a.sort_by_key(|r| r.seed);
    b.sort_by_key(|r| r.seed);
    let pairs: Vec<(&Record, &Record)> =
        a.iter().filter_map(|x| b.iter().find(|y| y.seed == x.seed).map(|y| (x, y))).collect();
    if pairs.is_empty() {
        return Err(CommandError::Input("no seed is on both sides, so no runs can be paired".into()));
    }
    if let Some(seed) = a.windows(2).chain(b.windows(2)).find(|w| w[0].seed == w[1].seed).map(|w| w[0].seed) {
        let message = format!("seed {seed} occurs twice on one side; compare single points of a sweep");
        return Err(CommandError::Input(message));
    }
    let broken = |runs: &mut dyn Iterator<Item = &Record>| runs.filter(|r| !r.rules.kept).count();
    let comparison = Comparison {
        a: name(&args.a, policy_a, &a),
        b: name(path_b, policy_b, &b),
        pairs: pairs.len(),
        level: args.level,
        figures: FIGURES.iter().map(|(name, read)| figure(name, read, &pairs, args.level)).collect(),
        rules_broken_in_a: broken(&mut pairs.iter().map(|p| p.0)),
        rules_broken_in_b: broken(&mut pairs.iter().map(|p| p.1)),
    };
    if let Some(path) = &args.json {
        files::write(path, &(serde_json::to_string_pretty(&comparison).expect("keys are text") + "\n"))?;
    }
    if args.json.as_deref() != Some(Path::new("-")) {
        say(&print(&comparison, style));
    }
    let rules_kept = comparison.rules_broken_in_a + comparison.rules_broken_in_b == 0;
    Ok(if rules_kept { CommandOutcome::Success } else { CommandOutcome::Failure })
}

/// The runs of one side: read from a result file, or played from a scenario.
fn load_side(args: &Compare, path: &Path, policy: &str) -> Result<Vec<Record>, CommandError> {
    if path.extension().is_some_and(|e| e == "json") && !is_drawn_day(path) {
        return record::read(path);
    }
    let days = sweep::load_days(path, &[], &args.seeds.0)?;
    let jobs: Vec<_> = days.into_iter().map(|day| (policy.to_owned(), day)).collect();
    runner::play_all(&jobs, args.threads)
}

/// Whether a JSON file is a drawn day rather than a result; only drawn days have `troubles`.
fn is_drawn_day(path: &Path) -> bool {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    let value: serde_json::Value = serde_json::from_str(&text).unwrap_or_default();
    value.get("troubles").is_some()
}

fn name(path: &Path, policy: &str, runs: &[Record]) -> String {
    let policy = runs.first().map_or(policy, |r| &r.policy);
    format!("{} by {policy}", path.file_stem().unwrap_or_default().to_string_lossy())
}

/// Reads a figure from a record.
type ReadFigure = fn(&Record) -> f64;

// A higher value is better for each of them.
const FIGURES: [(&str, ReadFigure); 4] = [
    ("g", |r| r.g),
    ("whole day", |r| r.whole),
    ("worst window", |r| r.worst_window.share),
    ("worst tenant", |r| Record::worst(&r.tenants).map_or(0.0, |t| t.share)),
];

fn figure(name: &'static str, read: &ReadFigure, pairs: &[(&Record, &Record)], level: f64) -> Figure {
    let differences: Vec<f64> = pairs.iter().map(|(a, b)| read(b) - read(a)).collect();
    let mean = |xs: Vec<f64>| stats::mean(&xs).unwrap_or(0.0);
    let interval = stats::bootstrap_mean(
        &differences,
        level,
        BOOTSTRAP_DRAWS,
        &mut Pcg64Mcg::seed_from_u64(BOOTSTRAP_SEED),
    );
    Figure {
        name,
        a: mean(pairs.iter().map(|p| read(p.0)).collect()),
        b: mean(pairs.iter().map(|p| read(p.1)).collect()),
        difference: mean(differences.clone()),
        interval,
        b_is_better_in: differences.iter().filter(|d| **d > 0.0).count(),
        b_is_worse_in: differences.iter().filter(|d| **d < 0.0).count(),
        within_the_noise: interval.is_none_or(|i| i.contains(0.0)),
    }
}

fn print(c: &Comparison, style: &Style) -> String {
    let mut text = format!("A: {}\nB: {}\n\n", style.bold(&c.a), style.bold(&c.b));
    let interval = format!("{:.0} % interval", c.level * 100.0);
    let columns = ["", "A", "B", "B - A", &interval, "better/worse", "verdict"];
    let mut t = tables::table(&columns, true, style);
    for f in &c.figures {
        t.add_row([
            f.name.to_owned(),
            tables::share(f.a),
            tables::share(f.b),
            format!("{:+.4}", f.difference),
            f.interval.map_or("-".into(), |i| format!("{:+.4} to {:+.4}", i.low, i.high)),
            format!("{}/{}", f.b_is_better_in, f.b_is_worse_in),
            if f.within_the_noise {
                "noise".into()
            } else if f.difference > 0.0 {
                "B better".into()
            } else {
                "B worse".into()
            },
        ]);
    }
    text += &format!("{t}\n\n");
    let g = &c.figures[0];
    let pairs = if c.pairs == 1 { "1 pair".to_owned() } else { format!("{} pairs", c.pairs) };
    text += &match (g.interval, g.within_the_noise) {
        (None, _) => format!("{pairs}: one pair says nothing about noise; play more seeds.\n"),
        (Some(i), true) if i.low == i.high => format!("{pairs}: no difference at all.\n"),
        (Some(_), true) => format!("{pairs}: the difference in g is {}.\n", style.warn("within the noise")),
        (Some(_), false) => {
            let word = if g.difference > 0.0 { style.good("better") } else { style.bad("worse") };
            format!(
                "{pairs}: B is {word} than A by {:.4} in g, more than chance explains.\n",
                g.difference.abs()
            )
        }
    };
    for (side, broken) in [("A", c.rules_broken_in_a), ("B", c.rules_broken_in_b)] {
        if broken > 0 {
            text += &format!("{} in {broken} of {pairs}.\n", style.bad(&format!("{side} broke a rule")));
        }
    }
    text
}
