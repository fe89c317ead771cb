//! Runs of a day on sockets: starts the emulated platform with the balancer's program and its limits, shows the
//! progress, and reports the measurements that exist only in real time.

use std::ffi::OsString;
use std::path::Path;

use indicatif::{ProgressBar, ProgressStyle};
use shorewharf_emulator::day::Day;
use shorewharf_emulator::sockets::clock::Distribution;
use shorewharf_emulator::sockets::network_faults::NetworkFault;
use shorewharf_emulator::sockets::platform::{self, SocketsRun, StatusSample};
use shorewharf_emulator::sockets::process::{ProcessLimits, Program};
use shorewharf_emulator::sockets::run::{Options, Report, RunError, raise_descriptors};
use shorewharf_emulator::world::settings;

use crate::budgets::SharedStore;
use crate::error::CommandError;
use crate::record::{ProcessIncarnation, Record, SocketMeasurements, TimeSummary, round};
use crate::runner;
use shorewharf_units::seconds_from_micros;

/// The balancer's program with the process limits of a day.
pub fn program(day: &Day, path: &Path) -> Program {
    let limits = ProcessLimits { sockets: day.limits.sockets, memory_mb: day.limits.memory_mb };
    Program { path: path.to_owned(), args: Vec::new(), limits }
}

/// Plays a day in real time. `operator` is an operator's file for the program; `on_sample` is called once a second.
///
/// # Errors
/// The day or the operator's file can't be used, or a process failed.
pub fn play(
    day: &Day,
    path: &Path,
    operator: Option<&Path>,
    on_sample: &mut dyn FnMut(&StatusSample<'_>),
) -> Result<Record, CommandError> {
    let run = run(day, path, operator, (&[], None, false), Vec::new(), on_sample)?;
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let mut record = runner::record(day, &name, "sockets", &run.result);
    record.sockets = Some(measurements(&run.report));
    Ok(record)
}

/// Descriptors of this process besides listeners and connections.
const OTHER_DESCRIPTORS: u64 = 500;

/// Why this process may not open enough descriptors to listen for all parties of a day; none if it may.
pub fn descriptor_shortage(day: &Day) -> Option<String> {
    let (balancers, nodes) = (day.balancers.len() as u64, day.nodes.len() as u64);
    let needs = balancers * (nodes + 4) + OTHER_DESCRIPTORS;
    let allowed = raise_descriptors();
    (needs > allowed).then(|| {
        format!(
            "{balancers} balancers with {nodes} nodes need at least {needs} descriptors, but only {allowed} are allowed"
        )
    })
}

/// Plays a day in real time with network faults and a shared store, and shows a progress bar. `gossip`: the balancers
/// exchange gossip. `logs`: the folder in which the processes' logs and configurations are kept.
///
/// # Errors
/// The day or the operator's file can't be used, or a process failed.
pub fn play_with_faults(
    day: &Day,
    path: &Path,
    operator: Option<&Path>,
    (network_faults, gossip): (&[NetworkFault], bool),
    mut shared: Option<&mut SharedStore>,
    logs: Option<&Path>,
) -> Result<SocketsRun, CommandError> {
    let bar = bar(day);
    let balancer_args = shared.as_ref().map_or(Vec::new(), |s| s.balancer_args());
    let result = run(day, path, operator, (network_faults, logs, gossip), balancer_args, &mut |sample| {
        bar.set_position(sample.now / 1_000_000);
        shared.iter_mut().for_each(|s| s.apply_due_faults(sample.now));
    });
    bar.finish_and_clear();
    result
}

fn run(
    day: &Day,
    path: &Path,
    operator: Option<&Path>,
    (network_faults, logs, gossip): (&[NetworkFault], Option<&Path>, bool),
    balancer_args: Vec<Vec<OsString>>,
    on_sample: &mut dyn FnMut(&StatusSample<'_>),
) -> Result<SocketsRun, CommandError> {
    let descriptors = raise_descriptors();
    tracing::info!(descriptors, program = %path.display(), "playing on sockets");
    let mut program = program(day, path);
    let mut operator_text = gossip.then(String::new);
    if let (Some(text), Some(file)) = (&mut operator_text, operator) {
        *text = std::fs::read_to_string(file)
            .map_err(|e| CommandError::Input(format!("{}: {e}", file.display())))?;
    } else if let Some(file) = operator {
        // The program is started in another working directory.
        let file = std::path::absolute(file).unwrap_or_else(|_| file.to_owned());
        program.args = vec!["--operator".into(), file.into()];
    }
    let options = Options {
        program,
        folder: logs.map(Path::to_owned),
        settings: settings::json,
        network_faults: network_faults.to_vec(),
        gossip_operator_settings: operator_text,
        balancer_args,
    };
    platform::run(day, &options, on_sample).map_err(|e| match e {
        RunError::TooMany(..) | RunError::Bad(_) => CommandError::Input(format!("{}: {e}", day.name)),
        e => CommandError::External(e.to_string()),
    })
}

/// Plays a day in real time as [`play`] does, and shows a progress bar.
///
/// # Errors
/// As for [`play`].
pub fn play_with_progress(day: &Day, path: &Path, operator: Option<&Path>) -> Result<Record, CommandError> {
    let bar = bar(day);
    let result = play(day, path, operator, &mut |sample| bar.set_position(sample.now / 1_000_000));
    bar.finish_and_clear();
    result
}

fn bar(day: &Day) -> ProgressBar {
    let bar = ProgressBar::new(day.length / 1_000_000);
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos} of {len} s")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    bar.set_style(style);
    bar.set_message(format!("{} on sockets", day.name));
    bar
}

fn times(distribution: &Distribution) -> TimeSummary {
    let ms = |us: u64| round(us as f64 / 1e3, 3);
    TimeSummary {
        count: distribution.len(),
        half_ms: ms(distribution.quantile(0.5)),
        most_ms: ms(distribution.quantile(0.99)),
        longest_ms: ms(distribution.max()),
    }
}

/// The measurements of a run that exist only in real time.
pub fn measurements(report: &Report) -> SocketMeasurements {
    SocketMeasurements {
        void: report.void.clone(),
        late: times(&report.late),
        handled: times(&report.handled),
        lines: report.clients.lines,
        returned: report.clients.returned,
        round: times(&report.clients.round),
        lives: report
            .lives
            .iter()
            .map(|l| ProcessIncarnation {
                balancer: l.balancer,
                began_s: seconds_from_micros(l.began),
                ended_s: l.ended.map(seconds_from_micros),
                how: l.how.clone(),
                crashed: l.crashed,
                cpu_ms: l.usage.cpu_ms,
                memory_mb: l.usage.memory_mb,
                descriptors: l.usage.descriptors,
            })
            .collect(),
        bad: report
            .bad
            .iter()
            .map(|(kind, f)| {
                let text = format!(
                    "{} came, {} refused, {} closed on, {} got neither, {} served",
                    f.came, f.refused, f.closed, f.neither, f.served
                );
                (kind.clone(), text)
            })
            .collect(),
        strange: report.strange.clone(),
        notes: report.notes,
    }
}

/// A summary of the lab's own delays and of the resources that all processes used.
pub fn short_summary(measurements: &SocketMeasurements) -> String {
    let (late, handled) = (&measurements.late, &measurements.handled);
    let cpu: f64 = measurements.lives.iter().map(|l| l.cpu_ms).sum();
    let memory = measurements.lives.iter().map(|l| l.memory_mb).fold(0.0, f64::max);
    let mut text = format!(
        "the lab's own delay: 99 % within {:.2} ms, {:.2} ms at most; its handling of input: 99 % within {:.2} ms\n\
         {} process incarnations: {:.1} s of CPU time in total, {:.1} MB each at most\n",
        late.most_ms,
        late.longest_ms,
        handled.most_ms,
        measurements.lives.len(),
        cpu / 1e3,
        memory,
    );
    if measurements.notes.sent > 0 {
        let incarnation_count = measurements.lives.len().max(1) as f64;
        text += &format!(
            "{} datagrams between balancers, {:.0} KB per incarnation; {} lost, doubled or late\n",
            measurements.notes.sent,
            measurements.notes.bytes as f64 / 1e3 / incarnation_count,
            measurements.notes.broken,
        );
    }
    for strange in measurements.strange.iter().take(5) {
        text += &format!("unexpected: {strange}\n");
    }
    text
}

/// The real-time measurements as text, with a line for each process.
pub fn summary(measurements: &SocketMeasurements) -> String {
    let late = &measurements.late;
    let round = &measurements.round;
    let mut text = format!(
        "lines: {} of {} answered, half within {:.2} ms, 99 % within {:.2} ms\n\
         the lab's own delay: half within {:.2} ms, 99 % within {:.2} ms, {:.2} ms at most\n",
        measurements.returned,
        measurements.lines,
        round.half_ms,
        round.most_ms,
        late.half_ms,
        late.most_ms,
        late.longest_ms,
    );
    for life in &measurements.lives {
        text += &format!(
            "balancer {}: {:.0} ms of CPU time, {:.1} MB, {} descriptors, {}\n",
            life.balancer,
            life.cpu_ms,
            life.memory_mb,
            life.descriptors,
            if life.how.is_empty() { "ran to the end" } else { &life.how },
        );
    }
    for (kind, outcome) in &measurements.bad {
        text += &format!("bad clients, {kind}: {outcome}\n");
    }
    for strange in &measurements.strange {
        text += &format!("unexpected: {strange}\n");
    }
    if let Some(why) = &measurements.void {
        text += &format!("VOID: {why}\n");
    }
    text
}
