//! Plays a scenario in which one tenant floods the service, and the same scenario without the flood. Prints
//! for each tenant its served share with the flood as a part of that without it. `cargo run --release -p
//! shorewharf-lab --example tenants -- FLOOD QUIET TENANT FROM TO [SEEDS] [POLICIES]`, with times in seconds.

use std::path::Path;

use shorewharf_lab::record::{Record, TenantSeries};
use shorewharf_lab::{runner, scenario};

/// Sums a series of some tenants over an interval.
fn sum(record: &Record, of: &[usize], what: impl Fn(&TenantSeries) -> &[f64], from: usize, to: usize) -> f64 {
    let series = of.iter().map(|i| what(&record.series.tenants[*i]));
    series.map(|x| x[from.min(x.len())..to.min(x.len())].iter().sum::<f64>()).sum()
}

/// Served over requested worth of some tenants within their quotas, in an interval.
fn share(r: &Record, of: &[usize], from: usize, to: usize) -> f64 {
    sum(r, of, |t| &t.served, from, to) / sum(r, of, |t| &t.asked, from, to).max(f64::MIN_POSITIVE)
}

/// Mean served worth per second of some tenants, over their quotas.
fn quota_usage(r: &Record, of: &[usize], from: usize, to: usize) -> f64 {
    let served = sum(r, of, |t| &t.served, from, to) + sum(r, of, |t| &t.beyond, from, to);
    let shares: f64 = of.iter().map(|i| r.series.tenants[*i].share).sum();
    served / (to - from) as f64 / shares.max(f64::MIN_POSITIVE)
}

/// The minimum and the mean.
fn min_and_mean(numbers: &[f64]) -> (f64, f64) {
    let min = numbers.iter().copied().fold(f64::INFINITY, f64::min);
    (min, numbers.iter().sum::<f64>() / numbers.len().max(1) as f64)
}

fn play(path: &str, policy: &str, seeds: u64) -> Result<Vec<Record>, Box<dyn std::error::Error>> {
    let jobs: Result<Vec<_>, _> = (1..=seeds)
        .map(|seed| Ok((policy.to_owned(), scenario::load(Path::new(path), &[], Some(seed))?.day)))
        .collect::<Result<_, scenario::ScenarioError>>();
    runner::play_all(&jobs?, Some(4)).map_err(|e| format!("{e:?}").into())
}

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let [flood, quiet, tenant, from, to, rest @ ..] = args.as_slice() else {
        return Err("expected arguments FLOOD QUIET TENANT FROM TO [SEEDS] [POLICIES]".into());
    };
    let (from, to): (usize, usize) = (from.parse()?, to.parse()?);
    let seeds: u64 = rest.first().map_or(Ok(10), |s| s.parse())?;
    let policies = rest.get(1).map_or("module-with-tenancy,module-without-tenancy", String::as_str);
    println!(
        "| policy | tenant | first 10 s: min, mean | after: min, mean | used part of its quota: min, mean |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for policy in policies.split(',') {
        let (calm, flooded) = (play(quiet, policy, seeds)?, play(flood, policy, seeds)?);
        let tenants: Vec<&str> = calm[0].series.tenants.iter().map(|t| t.name.as_str()).collect();
        let others: Vec<usize> = (0..tenants.len()).filter(|i| tenants[*i] != tenant).collect();
        let mut rows: Vec<(&str, Vec<usize>)> = (0..tenants.len()).map(|i| (tenants[i], vec![i])).collect();
        rows.push(("all others", others.clone()));
        for (name, of) in rows {
            // The share without the flood is that of the whole interval, since pauses of nodes make single
            // seconds of it differ by some percent.
            let remaining = |a: usize, b: usize| -> Vec<f64> {
                calm.iter()
                    .zip(&flooded)
                    .map(|(c, m)| share(m, &of, a, b) / share(c, &of, from, to))
                    .collect()
            };
            let usage: Vec<f64> = flooded.iter().map(|m| quota_usage(m, &of, from + 10, to)).collect();
            let cells = [remaining(from, from + 10), remaining(from + 10, to), usage].map(|n| {
                let (min, mean) = min_and_mean(&n);
                format!("{min:.4}, {mean:.4}")
            });
            println!("| {policy} | {name} | {} |", cells.join(" | "));
        }
        let noise: Vec<f64> =
            calm.iter().map(|c| share(c, &others, from, from + 10) / share(c, &others, from, to)).collect();
        let (min, mean) = min_and_mean(&noise);
        println!("| {policy} | all others, first 10 s without the flood | {min:.4}, {mean:.4} | | |");
        let broken = flooded.iter().filter(|m| !m.rules.kept).count();
        println!("| {policy} | runs with a broken rule: {broken} | | | |");
    }
    Ok(())
}
