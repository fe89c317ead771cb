//! Owns the playing of a day on sockets, from the lab's side: the program with its limits, what only real time shows,
//! and how far it is.

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
use crate::record::{ProcessIncarnation, Record, SocketFacts, Times, round};
use crate::runner;
use shorewharf_units::seconds_from_micros;

/// The program with the limits of a day's machines.
pub fn program(day: &Day, path: &Path) -> Program {
    let limits = ProcessLimits { sockets: day.limits.sockets, memory_mb: day.limits.memory_mb };
    Program { path: path.to_owned(), args: Vec::new(), limits }
}

/// Plays a day in real time. `operator`: the operator's own file for the program. `watch` is called once a second.
pub fn play(
    day: &Day,
    path: &Path,
    operator: Option<&Path>,
    watch: &mut dyn FnMut(&StatusSample<'_>),
) -> Result<Record, CommandError> {
    let run = run(day, path, operator, (&[], None, false), Vec::new(), watch)?;
    let name = path.file_name().unwrap_or_default().to_string_lossy();
    let mut record = runner::record(day, &name, "sockets", &run.result);
    record.sockets = Some(facts(&run.report));
    Ok(record)
}

/// Descriptors of this process beside listeners and connections.
const OTHERS: u64 = 500;

/// Why a day has more parties than this process may listen for, if it has.
pub fn too_many(day: &Day) -> Option<String> {
    let (balancers, nodes) = (day.balancers.len() as u64, day.nodes.len() as u64);
    let needs = balancers * (nodes + 4) + OTHERS;
    let may = raise_descriptors();
    (needs > may).then(|| {
        format!(
            "{balancers} balancers before {nodes} nodes need {needs} descriptors and more, {may} are allowed"
        )
    })
}

/// Plays a day in real time with what is broken between the processes, with a bar.
pub fn between(
    day: &Day,
    path: &Path,
    operator: Option<&Path>,
    (breaks, together): (&[NetworkFault], bool),
    mut shared: Option<&mut SharedStore>,
    logs: Option<&Path>,
) -> Result<SocketsRun, CommandError> {
    let bar = bar(day);
    let own_args = shared.as_ref().map_or(Vec::new(), |s| s.args());
    let played = run(day, path, operator, (breaks, logs, together), own_args, &mut |glance| {
        bar.set_position(glance.now / 1_000_000);
        shared.iter_mut().for_each(|s| s.look(glance.now));
    });
    bar.finish_and_clear();
    played
}

fn run(
    day: &Day,
    path: &Path,
    operator: Option<&Path>,
    (breaks, logs, together): (&[NetworkFault], Option<&Path>, bool),
    own_args: Vec<Vec<OsString>>,
    watch: &mut dyn FnMut(&StatusSample<'_>),
) -> Result<SocketsRun, CommandError> {
    let descriptors = raise_descriptors();
    tracing::info!(descriptors, program = %path.display(), "playing on sockets");
    let mut program = program(day, path);
    let mut text = together.then(String::new);
    if let (Some(text), Some(file)) = (&mut text, operator) {
        *text = std::fs::read_to_string(file)
            .map_err(|e| CommandError::Input(format!("{}: {e}", file.display())))?;
    } else if let Some(file) = operator {
        // The program starts elsewhere.
        let file = std::path::absolute(file).unwrap_or_else(|_| file.to_owned());
        program.args = vec!["--operator".into(), file.into()];
    }
    let options = Options {
        program,
        folder: logs.map(Path::to_owned),
        settings: settings::json,
        network_faults: breaks.to_vec(),
        gossip_operator_settings: text,
        balancer_args: own_args,
    };
    platform::run(day, &options, watch).map_err(|e| match e {
        RunError::TooMany(..) | RunError::Bad(_) => CommandError::Input(format!("{}: {e}", day.name)),
        e => CommandError::External(e.to_string()),
    })
}

/// Plays a day in real time, with a bar.
pub fn with_bar(day: &Day, path: &Path, operator: Option<&Path>) -> Result<Record, CommandError> {
    let bar = bar(day);
    let played = play(day, path, operator, &mut |glance| bar.set_position(glance.now / 1_000_000));
    bar.finish_and_clear();
    played
}

fn bar(day: &Day) -> ProgressBar {
    let bar = ProgressBar::new(day.length / 1_000_000);
    let style = ProgressStyle::with_template("{msg} {wide_bar} {pos} of {len} s")
        .unwrap_or_else(|_| ProgressStyle::default_bar());
    bar.set_style(style);
    bar.set_message(format!("{} on sockets", day.name));
    bar
}

fn times(spread: &Distribution) -> Times {
    let ms = |us: u64| round(us as f64 / 1e3, 3);
    Times {
        count: spread.len(),
        half_ms: ms(spread.quantile(0.5)),
        most_ms: ms(spread.quantile(0.99)),
        longest_ms: ms(spread.max()),
    }
}

/// What only real time shows of a run.
pub fn facts(report: &Report) -> SocketFacts {
    SocketFacts {
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

/// How far the lab itself was from being the limit, and what the processes used, all together.
pub fn short_note(facts: &SocketFacts) -> String {
    let (late, handled) = (&facts.late, &facts.handled);
    let cpu: f64 = facts.lives.iter().map(|l| l.cpu_ms).sum();
    let memory = facts.lives.iter().map(|l| l.memory_mb).fold(0.0, f64::max);
    let mut text = format!(
        "the lab was late by {:.2} ms at 99 %, {:.2} ms at most; it handled what came within {:.2} ms at 99 %\n\
         {} lives of processes: {:.1} s of a core in all, {:.1} MB each at most\n",
        late.most_ms,
        late.longest_ms,
        handled.most_ms,
        facts.lives.len(),
        cpu / 1e3,
        memory,
    );
    if facts.notes.sent > 0 {
        let lives = facts.lives.len().max(1) as f64;
        text += &format!(
            "{} datagrams between them, {:.0} KB for each life; {} lost, doubled or late\n",
            facts.notes.sent,
            facts.notes.bytes as f64 / 1e3 / lives,
            facts.notes.broken,
        );
    }
    for strange in facts.strange.iter().take(5) {
        text += &format!("strange: {strange}\n");
    }
    text
}

/// What only real time shows, for people.
pub fn note(facts: &SocketFacts) -> String {
    let late = &facts.late;
    let round = &facts.round;
    let mut text = format!(
        "lines: {} of {} came back, half within {:.2} ms, 99 % within {:.2} ms\n\
         the lab was late by {:.2} ms at half, {:.2} ms at 99 %, {:.2} ms at most\n",
        facts.returned,
        facts.lines,
        round.half_ms,
        round.most_ms,
        late.half_ms,
        late.most_ms,
        late.longest_ms,
    );
    for life in &facts.lives {
        text += &format!(
            "balancer {}: {:.0} ms of a core, {:.1} MB, {} descriptors, {}\n",
            life.balancer,
            life.cpu_ms,
            life.memory_mb,
            life.descriptors,
            if life.how.is_empty() { "ran to the end" } else { &life.how },
        );
    }
    for (kind, text_of) in &facts.bad {
        text += &format!("bad clients, {kind}: {text_of}\n");
    }
    for strange in &facts.strange {
        text += &format!("strange: {strange}\n");
    }
    if let Some(why) = &facts.void {
        text += &format!("VOID: {why}\n");
    }
    text
}
