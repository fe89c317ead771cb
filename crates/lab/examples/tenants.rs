//! Plays a scenario in which a tenant floods the service, with its calm day beside it, and tells by tenant how much of
//! the calm day's served share is left: `cargo run --release -p shorewharf-lab --example tenants -- FLOOD QUIET TENANT
//! FROM TO [SEEDS] [POLICIES]`, times in seconds.

use std::path::Path;

use shorewharf_lab::record::{Record, TenantSeries};
use shorewharf_lab::{runner, scenario};

fn sum(record: &Record, of: &[usize], what: impl Fn(&TenantSeries) -> &[f64], from: usize, to: usize) -> f64 {
    let series = of.iter().map(|i| what(&record.series.tenants[*i]));
    series.map(|x| x[from.min(x.len())..to.min(x.len())].iter().sum::<f64>()).sum()
}

/// Served over asked for, within the share, in these seconds.
fn share(r: &Record, of: &[usize], from: usize, to: usize) -> f64 {
    sum(r, of, |t| &t.served, from, to) / sum(r, of, |t| &t.asked, from, to).max(f64::MIN_POSITIVE)
}

/// Connections served well on average, over the tenants' shares.
fn held(r: &Record, of: &[usize], from: usize, to: usize) -> f64 {
    let served = sum(r, of, |t| &t.served, from, to) + sum(r, of, |t| &t.beyond, from, to);
    let shares: f64 = of.iter().map(|i| r.series.tenants[*i].share).sum();
    served / (to - from) as f64 / shares.max(f64::MIN_POSITIVE)
}

/// The least and the mean of some numbers.
fn spread(numbers: &[f64]) -> (f64, f64) {
    let least = numbers.iter().copied().fold(f64::INFINITY, f64::min);
    (least, numbers.iter().sum::<f64>() / numbers.len().max(1) as f64)
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
        return Err("FLOOD QUIET TENANT FROM TO [SEEDS] [POLICIES]".into());
    };
    let (from, to): (usize, usize) = (from.parse()?, to.parse()?);
    let seeds: u64 = rest.first().map_or(Ok(10), |s| s.parse())?;
    let policies = rest.get(1).map_or("module-with-tenancy,module-without-tenancy", String::as_str);
    println!(
        "| policy | tenant | first 10 s: least, mean | after: least, mean | holds of its share: least, mean |"
    );
    println!("| --- | --- | --- | --- | --- |");
    for policy in policies.split(',') {
        let (calm, mad) = (play(quiet, policy, seeds)?, play(flood, policy, seeds)?);
        let tenants: Vec<&str> = calm[0].series.tenants.iter().map(|t| t.name.as_str()).collect();
        let others: Vec<usize> = (0..tenants.len()).filter(|i| tenants[*i] != tenant).collect();
        let mut rows: Vec<(&str, Vec<usize>)> = (0..tenants.len()).map(|i| (tenants[i], vec![i])).collect();
        rows.push(("the others together", others.clone()));
        for (name, of) in rows {
            // The calm day's own level: pauses of nodes make single seconds of it differ by some percent.
            let left = |a: usize, b: usize| -> Vec<f64> {
                calm.iter().zip(&mad).map(|(c, m)| share(m, &of, a, b) / share(c, &of, from, to)).collect()
            };
            let holds: Vec<f64> = mad.iter().map(|m| held(m, &of, from + 10, to)).collect();
            let cells = [left(from, from + 10), left(from + 10, to), holds].map(|n| {
                let (least, mean) = spread(&n);
                format!("{least:.4}, {mean:.4}")
            });
            println!("| {policy} | {name} | {} |", cells.join(" | "));
        }
        let noise: Vec<f64> =
            calm.iter().map(|c| share(c, &others, from, from + 10) / share(c, &others, from, to)).collect();
        let (least, mean) = spread(&noise);
        println!("| {policy} | the others, calm day's own first 10 s | {least:.4}, {mean:.4} | | |");
        let broken = mad.iter().filter(|m| !m.rules.kept).count();
        println!("| {policy} | runs with a broken rule: {broken} | | | |");
    }
    Ok(())
}
