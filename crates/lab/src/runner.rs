//! Runs of days in virtual time (one with a progress bar, or many on all cores), and the conversion of the emulator's
//! results to a [`Record`].

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use indicatif::{ProgressBar, ProgressStyle};
use shorewharf_emulator::day::Day;
use shorewharf_emulator::edge::NodeId;
use shorewharf_emulator::population::capacity;
use shorewharf_emulator::score::TenantSecond;
use shorewharf_emulator::virtual_time::{self, Options, RunResult};

use crate::error::CommandError;
use crate::instances::PolicyHosts;
use crate::record::{
    BalancerSeries, ChargedPrice, FaultInterval, NamedShare, NodeName, NodeSeries, Record, RuleViolation,
    Series, SetupTimes, TenantSeries, Verdict, Window, round,
};
use shorewharf_units::seconds_from_micros;

/// Number of cores that the process may use.
pub fn cores() -> usize {
    std::thread::available_parallelism().map_or(1, std::num::NonZero::get)
}

/// Creates the hosts of the policy with this name.
///
/// # Errors
/// No policy has this name, or its operator file can't be used.
pub fn hosts(policy: &str) -> Result<PolicyHosts, CommandError> {
    PolicyHosts::named(policy).map_err(|e| CommandError::Input(format!("--policy: {e}")))
}

/// Plays one day in virtual time with a progress bar. Also returns the wall-clock time that it took.
///
/// # Errors
/// The policy is unknown, or the day can't be run.
pub fn play_day(day: &Day, policy: &str, threads: Option<usize>) -> Result<(Record, Duration), CommandError> {
    let bar = ProgressBar::new(day.length / 1_000);
    bar.set_style(bar_style("{msg} {wide_bar} {percent} %  {eta} left"));
    bar.set_message(day.name.clone());
    let progress = |now: u64, events: u64| {
        bar.set_position(now / 1_000);
        bar.set_message(format!("{} {} events", day.name, crate::tables::count(events)));
    };
    let started = Instant::now();
    let options = Options { threads: threads.unwrap_or_else(cores), progress: Some(&progress) };
    let record = play(day, policy, &options);
    bar.finish_and_clear();
    Ok((record?, started.elapsed()))
}

fn bar_style(template: &str) -> ProgressStyle {
    ProgressStyle::with_template(template).unwrap_or_else(|_| ProgressStyle::default_bar())
}

/// Plays many days in virtual time, each on one core, with `threads` of them in parallel. The records are in the order
/// of `jobs`, without the series of single nodes and balancers, which would fill the memory in a large sweep.
///
/// # Errors
/// A policy is unknown, or a day can't be run.
pub fn play_all(jobs: &[(String, Day)], threads: Option<usize>) -> Result<Vec<Record>, CommandError> {
    play_each(jobs, threads, &|policy, day, result| {
        let mut record = record(day, policy, "virtual", result);
        record.series.nodes.clear();
        record.series.balancers.clear();
        record
    })
}

/// Plays many days as [`play_all`] does, and keeps only what `keep` returns for each.
///
/// # Errors
/// A policy is unknown, or a day can't be run.
pub fn play_each<T: Send>(
    jobs: &[(String, Day)],
    threads: Option<usize>,
    keep: &(dyn Fn(&str, &Day, &RunResult) -> T + Sync),
) -> Result<Vec<T>, CommandError> {
    for (policy, _) in jobs {
        hosts(policy)?;
    }
    let bar = ProgressBar::new(jobs.len() as u64);
    bar.set_style(bar_style("{pos} of {len} runs {wide_bar} {elapsed} elapsed, {eta} left"));
    bar.enable_steady_tick(Duration::from_millis(250));
    let next = AtomicUsize::new(0);
    let failed = AtomicBool::new(false);
    let done: Vec<Mutex<Option<Result<T, CommandError>>>> = jobs.iter().map(|_| Mutex::new(None)).collect();
    std::thread::scope(|scope| {
        for _ in 0..threads.unwrap_or_else(cores).clamp(1, jobs.len().max(1)) {
            scope.spawn(|| {
                while !failed.load(Ordering::Relaxed) {
                    let i = next.fetch_add(1, Ordering::Relaxed);
                    let Some((policy, day)) = jobs.get(i) else { break };
                    let kept = result(day, policy, &Options::default()).map(|r| keep(policy, day, &r));
                    if kept.is_err() {
                        failed.store(true, Ordering::Relaxed);
                    }
                    *done[i].lock().unwrap_or_else(PoisonError::into_inner) = Some(kept);
                    bar.inc(1);
                }
            });
        }
    });
    bar.finish_and_clear();
    let results = done.into_iter().filter_map(|d| d.into_inner().unwrap_or_else(PoisonError::into_inner));
    results.collect()
}

fn play(day: &Day, policy: &str, options: &Options<'_>) -> Result<Record, CommandError> {
    Ok(record(day, policy, "virtual", &result(day, policy, options)?))
}

fn result(day: &Day, policy: &str, options: &Options<'_>) -> Result<RunResult, CommandError> {
    let hosts = hosts(policy)?;
    virtual_time::run(day, &hosts, options)
        .map_err(|e| CommandError::Input(format!("{}, seed {}: {e}", day.name, day.seed)))
}

fn named(causes: &BTreeMap<&'static str, u64>) -> BTreeMap<String, u64> {
    causes.iter().map(|(cause, n)| ((*cause).to_owned(), *n)).collect()
}

/// The serialized name of an enum value, with spaces instead of hyphens.
pub fn label(name: &impl serde::Serialize) -> String {
    let text = serde_json::to_value(name).ok().and_then(|v| v.as_str().map(str::to_owned));
    text.unwrap_or_default().replace('-', " ")
}

/// Converts the emulator's result of a run to a record.
pub fn record(day: &Day, policy: &str, clock: &str, result: &RunResult) -> Record {
    let o = &result.outcome;
    let s = &result.series;
    let prices = [
        ("crossing zones", o.prices.cross_zone),
        ("new connections", o.prices.handshake),
        ("open connections", o.prices.connection),
        ("probes", o.prices.probe),
        ("moves", o.prices.moves),
    ];
    let shares = |parts: &[shorewharf_emulator::score::Part]| {
        parts.iter().map(|p| NamedShare { name: p.name.clone(), share: p.share() }).collect()
    };
    let sum = |of: fn(&shorewharf_emulator::world::series::Second) -> u32| {
        s.seconds.iter().map(|x| f64::from(of(x))).sum::<f64>()
    };
    let counts = [
        ("clients", o.clients as f64),
        ("tries", sum(|x| x.tries)),
        ("set up", sum(|x| x.ups)),
        ("refused or failed tries", sum(|x| x.refused)),
        ("attempts at nodes", o.attempts as f64),
        ("new pair connections", o.handshakes as f64),
        ("probes", o.probes as f64),
        ("moves", o.moves as f64),
        ("breaks", sum(|x| x.breaks)),
        ("worth asked for", round(o.all.asked, 3)),
        ("worth served", round(o.all.earned, 3)),
    ];
    Record {
        g: o.g,
        scenario: day.name.clone(),
        about: day.about.clone(),
        seed: day.seed,
        policy: policy.to_owned(),
        clock: clock.to_owned(),
        length_s: seconds_from_micros(day.length),
        whole: o.whole,
        worst_window: Window { from_s: f64::from(o.worst_window.from_s), share: o.worst_window.share },
        classes: shares(&o.classes),
        tenants: shares(&o.tenants),
        prices: prices
            .map(|(name, p)| ChargedPrice { name: name.to_owned(), amount: p.rate, cost: p.cost })
            .to_vec(),
        counts: counts.map(|(name, n)| (name.to_owned(), n)).into(),
        refusals: named(&s.answers),
        attempts: named(&s.attempts),
        ends: named(&s.ends),
        set_up: SetupTimes::of(&s.set_up),
        rules: verdict(&result.verdict),
        events: result.events,
        nodes: day.nodes.iter().map(|n| node_name(day, n)).collect(),
        faults: result
            .faults
            .iter()
            .map(|b| FaultInterval {
                kind: label(&b.kind),
                from_s: seconds_from_micros(b.from),
                to_s: seconds_from_micros(b.to),
                struck: b.on.len(),
            })
            .collect(),
        series: series(day, result),
        sockets: None,
    }
}

fn node_name(day: &Day, node: &shorewharf_emulator::day::Node) -> NodeName {
    let kind = &day.kinds[node.kind as usize];
    NodeName {
        zone: day.zones[node.zone as usize].clone(),
        kind: kind.name.clone(),
        capacity: round(f64::from(kind.cores) * node.speed, 3),
    }
}

fn tenants(day: &Day, result: &RunResult) -> Vec<TenantSeries> {
    let connections = capacity(day).connections;
    let course = |(t, seconds): (&shorewharf_emulator::day::Tenant, &Vec<TenantSecond>)| {
        let of = |what: fn(&TenantSecond) -> f64| seconds.iter().map(|s| round(what(s), 3)).collect();
        TenantSeries {
            name: t.name.clone(),
            share: round(t.quota * connections, 1),
            asked: of(|s| s.asked),
            served: of(|s| s.earned),
            beyond: of(|s| s.beyond),
        }
    };
    day.tenants.iter().zip(&result.outcome.tenant_seconds).map(course).collect()
}

fn series(day: &Day, result: &RunResult) -> Series {
    let s = &result.series;
    Series {
        step_s: 1.0,
        asked: result.outcome.seconds.iter().map(|x| round(x.asked, 3)).collect(),
        served: result.outcome.seconds.iter().map(|x| round(x.earned, 3)).collect(),
        tenants: tenants(day, result),
        refusals: s
            .refused_by
            .iter()
            .map(|(cause, n)| ((*cause).to_owned(), n.iter().map(|x| u64::from(*x)).collect()))
            .collect(),
        nodes: s
            .nodes
            .iter()
            .map(|n| NodeSeries {
                load: n
                    .load
                    .iter()
                    .zip(&n.takes)
                    .map(|(load, takes)| takes.then(|| round(f64::from(*load), 3)))
                    .collect(),
                connections: n.connections.clone(),
                set_ups: n.set_ups.clone(),
            })
            .collect(),
        balancers: result
            .balancers
            .iter()
            .map(|b| BalancerSeries {
                levels: b.levels.iter().map(|l| (*l).to_owned()).collect(),
                gauges: b
                    .gauges
                    .iter()
                    .map(|(name, xs)| {
                        ((*name).to_owned(), xs.iter().map(|x| round(f64::from(*x), 3)).collect())
                    })
                    .collect(),
                counts: b.counts.iter().map(|(name, ns)| ((*name).to_owned(), ns.clone())).collect(),
                lines: b.lines.iter().map(|(at, line)| (seconds_from_micros(*at), line.clone())).collect(),
            })
            .collect(),
    }
}

fn verdict(verdict: &shorewharf_emulator::audit::Verdict) -> Verdict {
    Verdict {
        kept: verdict.is_clean(),
        breaks: verdict.reasons.iter().map(|(r, n)| (r.text().to_owned(), *n)).collect(),
        excused: verdict.excused.iter().map(|(e, n)| (label(e), *n)).collect(),
        examples: verdict
            .breaks
            .iter()
            .map(|b| {
                let conn = b.conn.map(|c| format!(", connection {c:x}")).unwrap_or_default();
                let node = b.node.map(|n| format!(", node {}", NodeId(n).0)).unwrap_or_default();
                let trace = b.trace.iter().map(|t| format!("{:10.6} {}", seconds_from_micros(t.at), t.what));
                RuleViolation {
                    rule: label(&b.rule),
                    reason: b.reason.text().to_owned(),
                    at_s: seconds_from_micros(b.at),
                    who: format!("balancer {}{conn}{node}: {}", b.balancer, b.detail),
                    trace: trace.collect(),
                }
            })
            .collect(),
    }
}

/// The speed of a run as text.
pub fn speed(record: &Record, took: Duration) -> String {
    let s = took.as_secs_f64().max(1e-9);
    format!(
        "{} events in {:.2} s ({} a second), {:.0} times as fast as the day\n",
        crate::tables::count(record.events),
        s,
        crate::tables::count((record.events as f64 / s) as u64),
        record.length_s / s,
    )
}
