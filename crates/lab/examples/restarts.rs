//! Balancers restarted in a half-warm fleet: what is served in the half minute after, by what they know at the start, beside
//! balancers that never end. `cargo run --release -p shorewharf-lab --example restarts -- [SEEDS] [FIRST SEED]`.

use std::error::Error;
use std::path::Path;

use shorewharf_lab::record::Record;
use shorewharf_lab::{runner, scenario};

/// The half minute, in seconds.
const FROM: usize = 46;
const TO: usize = 76;

/// Served over asked for, in the half minute and in its first five seconds.
fn shares(record: &Record) -> [f64; 2] {
    [TO, FROM + 5].map(|to| {
        let steps = |s: usize| (s as f64 / record.series.step_s) as usize;
        let sum = |of: &[f64]| of[steps(FROM)..steps(to)].iter().sum::<f64>();
        sum(&record.series.served) / sum(&record.series.asked)
    })
}

fn main() -> Result<(), Box<dyn Error>> {
    let args: Vec<u64> = std::env::args().skip(1).map(|a| a.parse()).collect::<Result<_, _>>()?;
    let (seeds, first) = (args.first().copied().unwrap_or(20), args.get(1).copied().unwrap_or(1));
    println!(
        "| balancers | served of what was asked, {FROM} to {TO} s | first 5 s | worst day | broken rules |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for (what, file, policy) in [
        ("never end", "scenarios/wide-half-cold.toml", "module"),
        ("restarted, with a snapshot", "scenarios/restart-half-warm.toml", "module-with-snapshot"),
        ("restarted, knowing nothing", "scenarios/restart-half-warm.toml", "module"),
    ] {
        let jobs: Result<Vec<_>, _> = (first..first + seeds)
            .map(|seed| Ok((policy.to_owned(), scenario::load(Path::new(file), &[], Some(seed))?.day)))
            .collect::<Result<_, scenario::ScenarioError>>();
        let records = runner::play_all(&jobs?, None).map_err(|e| format!("{e:?}"))?;
        let all: Vec<_> = records.iter().map(shares).collect();
        let mean = |i: usize| all.iter().map(|s| s[i]).sum::<f64>() / all.len() as f64;
        let worst = all.iter().map(|s| s[0]).fold(f64::INFINITY, f64::min);
        let broken = records.iter().filter(|r| !r.rules.kept).count();
        println!("| {what} | {:.4} | {:.4} | {worst:.4} | {broken} |", mean(0), mean(1));
    }
    Ok(())
}
