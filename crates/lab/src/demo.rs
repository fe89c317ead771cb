//! The `demo` command: plays a short day on sockets, and shows its state each second as a table that is
//! redrawn on a terminal, or as a line elsewhere.

use std::path::Path;

use shorewharf_emulator::day::{Day, Fault};
use shorewharf_emulator::sockets::platform::StatusSample;
use shorewharf_units::Micros;

use crate::balancer;
use crate::cli::Demo;
use crate::error::{CommandError, CommandOutcome};
use crate::run;
use crate::runner;
use crate::scenario;
use crate::sockets;
use crate::style::{Style, say};
use crate::tables;

const DAY: &str = include_str!("../../../scenarios/demo.toml");
/// Width of a bar in characters.
const BAR_WIDTH: usize = 24;

/// Runs `demo`.
///
/// # Errors
/// The balancer's program is not found, a process failed, or a result file can't be written.
pub fn demo(args: &Demo, style: &Style) -> Result<CommandOutcome, CommandError> {
    let mut day = scenario::from_text(Path::new("demo.toml"), DAY, &[], Some(args.seed))
        .map_err(|e| CommandError::Input(e.to_string()))?
        .day;
    scale_to_length(&mut day, args.seconds * 1_000_000);
    let program = balancer::find(args.balancer.as_deref())?;
    say(&format!(
        "{} nodes, {} balancers ({}), clients and one crash on loopback, for {} s\n",
        day.nodes.len(),
        day.balancers.len(),
        program.display(),
        args.seconds
    ));
    let mut lines_drawn = 0;
    let record = sockets::play(&day, &program, None, &mut |sample| {
        if style.redraw {
            let text = status_table(&day, sample, style);
            let cursor_up =
                if lines_drawn > 0 { format!("\x1b[{lines_drawn}A\x1b[J") } else { String::new() };
            lines_drawn = text.lines().count();
            say(&(cursor_up + &text));
        } else {
            say(&status_line(&day, sample));
        }
    })?;
    say("\n");
    run::show(&record, "", args.json.as_deref(), args.report.as_deref(), style)
}

/// Sets the day's length and scales the times of its faults with it, so that a short demo shows its crash
/// too.
fn scale_to_length(day: &mut Day, length: Micros) {
    let scale = |t: Micros| (t as f64 * length as f64 / day.length as f64) as Micros;
    let faults = day.faults.iter().map(|f| Fault { at: scale(f.at), len: scale(f.len), ..f.clone() });
    day.faults = faults.collect();
    day.length = length;
}

/// Descriptions of the faults that are active at a time.
fn active_faults(day: &Day, now: Micros) -> Vec<String> {
    let faults = day.faults.iter().filter(|f| (f.at..f.at + f.len).contains(&now));
    faults
        .map(|f| {
            let nodes: Vec<String> = f.on.iter().map(u32::to_string).collect();
            format!("{} of node {}", runner::label(&f.kind), nodes.join(", "))
        })
        .collect()
}

/// The state of one second as a line.
fn status_line(day: &Day, sample: &StatusSample<'_>) -> String {
    let (tries, ups, refused) = sample.second.map_or((0, 0, 0), |s| (s.tries, s.ups, s.refused));
    let up: Vec<f64> = sample
        .nodes
        .iter()
        .filter(|n| n.accepts_connections)
        .map(|n| n.load / n.capacity.max(1e-9))
        .collect();
    let clients: usize = sample.balancers.iter().map(|b| b.clients).sum();
    let fault = active_faults(day, sample.now).join(", ");
    format!(
        "{:3} s  tries {tries:3}  set up {ups:3}  refused {refused:3}  standing {clients:4}  nodes {} of {}  load {:.2} mean, {:.2} most  balancers {} of {}{}{fault}\n",
        sample.now / 1_000_000,
        up.len(),
        sample.nodes.len(),
        crate::stats::mean(&up).unwrap_or(0.0),
        up.iter().copied().fold(0.0, f64::max),
        sample.balancers.iter().filter(|b| b.ready).count(),
        sample.balancers.len(),
        if fault.is_empty() { "" } else { "  " },
    )
}

/// The state of one second as tables that are redrawn in place.
fn status_table(day: &Day, sample: &StatusSample<'_>, style: &Style) -> String {
    let (tries, ups, refused) = sample.second.map_or((0, 0, 0), |s| (s.tries, s.ups, s.refused));
    let (now, end) = (sample.now / 1_000_000, day.length / 1_000_000);
    let done = (sample.now as f64 / day.length.max(1) as f64).min(1.0);
    let fault = active_faults(day, sample.now).join(", ");
    let mut text = format!(
        "{} {now:3} of {end} s   this second: {tries} tries, {ups} set up, {refused} refused   {}\n",
        bar(done, BAR_WIDTH),
        style.bad(&fault),
    );
    let mut nodes = tables::table(&["node", "zone", "load", "", "connections", "set-ups", ""], true, style);
    for (i, n) in sample.nodes.iter().enumerate() {
        let load = if n.capacity > 0.0 { n.load / n.capacity } else { 0.0 };
        // A node that has just started has less capacity than when it is warm.
        let warm = day.nodes.get(i).map_or(1.0, |d| f64::from(day.kinds[d.kind as usize].cores) * d.speed);
        let state = match () {
            () if !n.accepts_connections => "down",
            () if n.capacity < 0.95 * warm => "cold",
            () => "",
        };
        nodes.add_row([
            i.to_string(),
            day.zones[day.nodes[i].zone as usize].clone(),
            format!("{load:.2}"),
            bar(load, BAR_WIDTH),
            n.connections.to_string(),
            n.set_ups.to_string(),
            state.to_owned(),
        ]);
    }
    let mut balancers = tables::table(&["balancer", "zone", "clients", ""], true, style);
    for (i, b) in sample.balancers.iter().enumerate() {
        let state = match (b.runs, b.ready) {
            (true, true) => "ready",
            (true, false) => "starting",
            (false, _) => "down",
        };
        let zone = day.zones[day.balancers[i].zone as usize].clone();
        balancers.add_row([i.to_string(), zone, b.clients.to_string(), state.to_owned()]);
    }
    text += &format!("{nodes}\n{balancers}\n");
    text
}

/// A bar of which a part (0 to 1) is filled.
fn bar(part: f64, width: usize) -> String {
    let full = (part.clamp(0.0, 1.0) * width as f64).round() as usize;
    "█".repeat(full) + &"░".repeat(width - full)
}
