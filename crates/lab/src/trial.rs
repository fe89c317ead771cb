//! The `trial` command: runs many processes of the program on loopback with the faults of a fault scenario,
//! and evaluates its expectations.

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

/// The outcome of a trial.
enum TrialOutcome {
    /// All expectations are met.
    Kept,
    /// An expectation is not met.
    Broken,
    /// The run says nothing about the program, so its expectations are neither met nor broken.
    Void(String),
}

impl TrialOutcome {
    fn new(run: &SocketsRun, verdicts: &[Verdict]) -> Self {
        match &run.report.void {
            Some(why) => Self::Void(why.clone()),
            None if verdicts.iter().all(|v| v.is_met) => Self::Kept,
            None => Self::Broken,
        }
    }

    fn name(&self) -> &'static str {
        match self {
            Self::Kept => "kept",
            Self::Broken => "broken",
            Self::Void(_) => "void",
        }
    }

    fn into_command_outcome(self) -> Result<CommandOutcome, CommandError> {
        match self {
            Self::Kept => Ok(CommandOutcome::Success),
            Self::Broken => Ok(CommandOutcome::Failure),
            Self::Void(why) => Err(CommandError::External(format!("the trial is void: {why}"))),
        }
    }
}

/// What a trial has shown.
struct TrialResult<'a> {
    trial: &'a Scenario,
    day: &'a Day,
    outcome: TrialOutcome,
    verdicts: Vec<Verdict>,
    record: Record,
    /// The number of calls to the shared store, if there is one.
    store_calls: Option<u64>,
}

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
        return Err(input_error(&shortage));
    }
    let mut store = start_store(args, &trial, day)?;
    let run = sockets::play_with_faults(
        day,
        &program,
        args.operator.as_deref(),
        (&network_faults, trial.gossip),
        store.as_mut(),
        args.logs.as_deref(),
    )?;

    let verdicts = evaluate_expectations(&trial, day, &run, &network_faults);
    let name = program.file_name().unwrap_or_default().to_string_lossy();
    let mut record = runner::record(day, &name, "sockets", &run.result);
    record.sockets = Some(sockets::measurements(&run.report));
    record.about.clone_from(&trial.about);
    record.faults.extend(fault_intervals(&trial, day, &network_faults));
    let result = TrialResult {
        trial: &trial,
        day,
        outcome: TrialOutcome::new(&run, &verdicts),
        verdicts,
        record,
        store_calls: store.map(|store| store.calls()),
    };
    result.write(args, style)?;
    result.outcome.into_command_outcome()
}

/// Starts the store that the balancers share, if the scenario has one.
fn start_store(args: &cli::Trial, trial: &Scenario, day: &Day) -> Result<Option<SharedStore>, CommandError> {
    let Some(terms) = &trial.budgets else { return Ok(None) };
    if args.operator.is_some() {
        return Err(CommandError::Input(
            "--operator: not allowed for a trial with [budgets]; the lab writes an operator's file per balancer"
                .to_owned(),
        ));
    }
    let faults = trial.store_faults(day);
    let faults = faults.map_err(|e| CommandError::Input(format!("{}: {e}", args.trial.display())))?;
    SharedStore::start(day, terms, faults).map(Some)
}

impl TrialResult<'_> {
    /// Prints the result, and writes the files that are asked for.
    fn write(&self, args: &cli::Trial, style: &Style) -> Result<(), CommandError> {
        if args.json.as_deref() == Some(Path::new("-")) {
            say(&self.to_json());
        } else {
            say(&self.table(style));
            if let Some(measurements) = &self.record.sockets {
                say(&style.dim(&sockets::short_summary(measurements)));
            }
            if let Some(calls) = self.store_calls {
                say(&style.dim(&format!("{} calls to the store\n", tables::count(calls))));
            }
            if let Some(path) = &args.json {
                files::write(path, &self.to_json())?;
            }
        }
        if let Some(path) = &args.report {
            page::write(path, &self.record)?;
        }
        Ok(())
    }

    fn table(&self, style: &Style) -> String {
        let outcome_name = self.outcome.name();
        let mut text = format!(
            "{}\n{} balancers, {} nodes, {} s, seed {}: {}\n\n",
            self.trial.about,
            self.day.balancers.len(),
            self.day.nodes.len(),
            seconds_from_micros(self.day.length),
            self.day.seed,
            match self.outcome {
                TrialOutcome::Kept => outcome_name.to_owned(),
                _ => style.bad(outcome_name),
            },
        );
        let mut table = tables::table(&["promise", "", "seen", "promised"], false, style);
        for v in &self.verdicts {
            let how = if v.is_met { "kept".to_owned() } else { style.bad("BROKEN") };
            table.add_row([v.expectation.clone(), how, v.observed.clone(), v.expected.clone()]);
        }
        text += &format!("{table}\n");
        text
    }

    fn to_json(&self) -> String {
        let promise = |v: &Verdict| json!({"promise": v.expectation, "kept": v.is_met, "seen": v.observed, "wanted": v.expected});
        let promises: Vec<_> = self.verdicts.iter().map(promise).collect();
        let value = json!({
            "about": self.trial.about, "seed": self.day.seed, "ended": self.outcome.name(), "promises": promises,
            "served": round(self.record.whole, 6), "run": self.record,
        });
        serde_json::to_string_pretty(&value).expect("keys are text") + "\n"
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
