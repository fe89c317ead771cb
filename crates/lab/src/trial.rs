//! The `trial` command: runs many processes of the program on loopback with the faults of a fault scenario, and evaluates
//! its expectations.

use std::path::Path;

use serde_json::json;
use shorewharf_emulator::day::Day;
use shorewharf_emulator::sockets::network_faults::NetworkFault;
use shorewharf_emulator::sockets::platform::SocketsRun;
use shorewharf_emulator::world::series::SETUP_INTERVAL;
use shorewharf_fault_scenarios::{Observations, Scenario, Verdict, WeightedRequests, evaluate};

use crate::balancer;
use crate::budgets::SharedStore;
use crate::cli;
use crate::error::{CommandError, CommandOutcome};
use crate::files;
use crate::page;
use crate::record::{FaultInterval, Record, round};
use crate::runner;
use crate::sockets;
use crate::style::{Style, say};
use crate::tables;
use shorewharf_units::{Micros, seconds_from_micros};

/// `trial`: runs the scenario and evaluates its expectations.
///
/// # Errors
/// An input can't be used, a process or file failed, or the run is void.
pub fn trial(args: &cli::Trial, style: &Style) -> Result<CommandOutcome, CommandError> {
    let path = &args.trial;
    let input_error = |e: &dyn std::fmt::Display| CommandError::Input(format!("{}: {e}", path.display()));
    let text = std::fs::read_to_string(path).map_err(|e| input_error(&e))?;
    let mut trial = Scenario::read(&text).map_err(|e| input_error(&e))?;
    trial.gossip |= args.together;
    let day = path.parent().unwrap_or(Path::new("")).join(&trial.day);
    let scenario = files::load(&day, &files::single_values(&args.set)?, args.seed)?;
    let day = &scenario.day;
    let network_faults = trial.network_faults(day).map_err(|e| input_error(&e))?;
    let program = balancer::find(args.balancer.as_deref())?;
    if let Some(shortage) = sockets::descriptor_shortage(day) {
        return Err(CommandError::Input(format!("{}: {shortage}", path.display())));
    }
    let mut shared = match &trial.budgets {
        Some(_) if args.operator.is_some() => {
            return Err(CommandError::Input(
                "--operator: not allowed for a trial with [budgets]; the lab writes an operator's file per balancer"
                    .to_owned(),
            ));
        }
        Some(terms) => {
            Some(SharedStore::start(day, terms, trial.store_faults(day).map_err(|e| input_error(&e))?)?)
        }
        None => None,
    };
    let run = sockets::play_with_faults(
        day,
        &program,
        args.operator.as_deref(),
        (&network_faults, trial.gossip),
        shared.as_mut(),
        args.logs.as_deref(),
    )?;
    let verdicts = evaluate_expectations(&trial, day, &run, &network_faults);
    let kept = verdicts.iter().all(|v| v.is_met);
    let void = run.report.void.clone();
    let outcome_name = match (&void, kept) {
        (Some(_), _) => "void",
        (None, true) => "kept",
        (None, false) => "broken",
    };

    let name = program.file_name().unwrap_or_default().to_string_lossy();
    let mut record = runner::record(day, &name, "sockets", &run.result);
    record.sockets = Some(sockets::measurements(&run.report));
    record.about.clone_from(&trial.about);
    record.faults.extend(fault_intervals(&trial, day, &network_faults));
    if args.json.as_deref() == Some(Path::new("-")) {
        say(&json_text(&trial, day.seed, outcome_name, &verdicts, &record));
    } else {
        say(&table(&trial, day, outcome_name, &verdicts, style));
        if let Some(measurements) = &record.sockets {
            say(&style.dim(&sockets::short_summary(measurements)));
        }
        if let Some(shared) = &shared {
            say(&style.dim(&format!("{} calls to the store\n", tables::count(shared.calls()))));
        }
        if let Some(path) = &args.json {
            files::write(path, &json_text(&trial, day.seed, outcome_name, &verdicts, &record))?;
        }
    }
    if let Some(path) = &args.report {
        page::write(path, &record)?;
    }
    match void {
        // A void run says nothing about the program, so its promises are neither kept nor broken.
        Some(why) => Err(CommandError::External(format!("the trial is void: {why}"))),
        None => Ok(if kept { CommandOutcome::Success } else { CommandOutcome::Failure }),
    }
}

/// The faults of the shared store and of the network between balancers, as intervals of the record.
fn fault_intervals(trial: &Scenario, day: &Day, network_faults: &[NetworkFault]) -> Vec<FaultInterval> {
    let interval = |label: &str, (from, to): (Micros, Micros), struck| FaultInterval {
        kind: format!("between: {label}"),
        from_s: seconds_from_micros(from),
        to_s: seconds_from_micros(to),
        struck,
    };
    let mut intervals = Vec::new();
    for fault in trial.store_faults(day).unwrap_or_default() {
        intervals.push(interval(fault.kind.label(), (fault.from, fault.to), fault.balancers.len()));
    }
    let between_balancers = trial.faults.iter().filter(|fault| !fault.kind.is_of_store());
    for (fault, times) in between_balancers.zip(network_faults) {
        intervals.push(interval(fault.kind.label(), (times.from, times.to), times.balancers.len()));
    }
    intervals
}

/// Evaluates the scenario's expectations on the results of a run.
pub fn evaluate_expectations(
    trial: &Scenario,
    day: &Day,
    run: &SocketsRun,
    network_faults: &[NetworkFault],
) -> Vec<Verdict> {
    let outcome = &run.result.outcome;
    let weighted = outcome.seconds.iter().map(|s| WeightedRequests { requested: s.asked, served: s.earned });
    let weighted: Vec<WeightedRequests> = weighted.collect();
    let tenants: Vec<String> = day.tenants.iter().map(|t| t.name.clone()).collect();
    let crashed = run.report.lives.iter().filter(|l| l.crashed);
    evaluate(
        &trial.expectations,
        &Observations {
            rules: &run.result.verdict,
            served: outcome.whole,
            weighted_requests: &weighted,
            step_s: 1.0,
            nodes: &run.result.series.nodes,
            setups: &run.result.series.set_ups,
            tenants: &tenants,
            max_connections: &outcome.peak_by_tenant,
            slot_s: seconds_from_micros(SETUP_INTERVAL),
            crashes: crashed.map(|l| format!("balancer {}: {}", l.balancer, l.how)).collect(),
            faults: network_faults,
        },
    )
}

fn table(trial: &Scenario, day: &Day, outcome_name: &str, verdicts: &[Verdict], style: &Style) -> String {
    let mut text = format!(
        "{}\n{} balancers, {} nodes, {} s, seed {}: {}\n\n",
        trial.about,
        day.balancers.len(),
        day.nodes.len(),
        seconds_from_micros(day.length),
        day.seed,
        if outcome_name == "kept" { outcome_name.to_owned() } else { style.bad(outcome_name) },
    );
    let mut table = tables::table(&["promise", "", "seen", "promised"], false, style);
    for v in verdicts {
        let how = if v.is_met { "kept".to_owned() } else { style.bad("BROKEN") };
        table.add_row([v.expectation.clone(), how, v.observed.clone(), v.expected.clone()]);
    }
    text += &format!("{table}\n");
    text
}

fn json_text(
    trial: &Scenario,
    seed: u64,
    outcome_name: &str,
    verdicts: &[Verdict],
    record: &Record,
) -> String {
    let promises: Vec<_> = verdicts
        .iter()
        .map(
            |v| json!({"promise": v.expectation, "kept": v.is_met, "seen": v.observed, "wanted": v.expected}),
        )
        .collect();
    let value = json!({
        "about": trial.about, "seed": seed, "ended": outcome_name, "promises": promises,
        "served": round(record.whole, 6), "run": record,
    });
    serde_json::to_string_pretty(&value).expect("keys are text") + "\n"
}
