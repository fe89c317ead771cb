//! Owns `demo`: a day that is made to be watched, with a table that is redrawn each second on a terminal and a line a
//! second elsewhere.

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
const BAR: usize = 24;

/// `demo`.
pub fn demo(args: &Demo, style: &Style) -> Result<CommandOutcome, CommandError> {
    let mut day = scenario::from_text(Path::new("demo.toml"), DAY, &[], Some(args.seed))
        .map_err(|e| CommandError::Input(e.to_string()))?
        .day;
    fit(&mut day, args.seconds * 1_000_000);
    let program = balancer::find(args.balancer.as_deref())?;
    say(&format!(
        "{} nodes, {} balancers ({}), clients and one crash on loopback, for {} s\n",
        day.nodes.len(),
        day.balancers.len(),
        program.display(),
        args.seconds
    ));
    let mut drawn = 0;
    let record = sockets::play(&day, &program, None, &mut |glance| {
        if style.redraw {
            let text = live(&day, glance, style);
            let back = if drawn > 0 { format!("\x1b[{drawn}A\x1b[J") } else { String::new() };
            drawn = text.lines().count();
            say(&(back + &text));
        } else {
            say(&line(&day, glance));
        }
    })?;
    say("\n");
    run::show(&record, "", args.json.as_deref(), args.report.as_deref(), style)
}

/// Another length moves the faults with it, so that a short demo shows its crash too.
fn fit(day: &mut Day, length: Micros) {
    let scale = |t: Micros| (t as f64 * length as f64 / day.length as f64) as Micros;
    let faults = day.faults.iter().map(|f| Fault { at: scale(f.at), len: scale(f.len), ..f.clone() });
    day.faults = faults.collect();
    day.length = length;
}

fn on(day: &Day, now: Micros) -> Vec<String> {
    let faults = day.faults.iter().filter(|f| (f.at..f.at + f.len).contains(&now));
    faults
        .map(|f| {
            let nodes: Vec<String> = f.on.iter().map(u32::to_string).collect();
            format!("{} of node {}", runner::label(&f.kind), nodes.join(", "))
        })
        .collect()
}

/// A second in one line.
fn line(day: &Day, glance: &StatusSample<'_>) -> String {
    let (tries, ups, refused) = glance.second.map_or((0, 0, 0), |s| (s.tries, s.ups, s.refused));
    let up: Vec<f64> = glance
        .nodes
        .iter()
        .filter(|n| n.accepts_connections)
        .map(|n| n.load / n.capacity.max(1e-9))
        .collect();
    let clients: usize = glance.balancers.iter().map(|b| b.clients).sum();
    let fault = on(day, glance.now).join(", ");
    format!(
        "{:3} s  tries {tries:3}  set up {ups:3}  refused {refused:3}  standing {clients:4}  nodes {} of {}  load {:.2} mean, {:.2} most  balancers {} of {}{}{fault}\n",
        glance.now / 1_000_000,
        up.len(),
        glance.nodes.len(),
        crate::stats::mean(&up).unwrap_or(0.0),
        up.iter().copied().fold(0.0, f64::max),
        glance.balancers.iter().filter(|b| b.ready).count(),
        glance.balancers.len(),
        if fault.is_empty() { "" } else { "  " },
    )
}

/// The table that is redrawn.
fn live(day: &Day, glance: &StatusSample<'_>, style: &Style) -> String {
    let (tries, ups, refused) = glance.second.map_or((0, 0, 0), |s| (s.tries, s.ups, s.refused));
    let (now, end) = (glance.now / 1_000_000, day.length / 1_000_000);
    let done = (glance.now as f64 / day.length.max(1) as f64).min(1.0);
    let fault = on(day, glance.now).join(", ");
    let mut text = format!(
        "{} {now:3} of {end} s   this second: {tries} tries, {ups} set up, {refused} refused   {}\n",
        bar(done, BAR),
        style.bad(&fault),
    );
    let mut nodes = tables::table(&["node", "zone", "load", "", "connections", "set-ups", ""], true, style);
    for (i, n) in glance.nodes.iter().enumerate() {
        let load = if n.capacity > 0.0 { n.load / n.capacity } else { 0.0 };
        // A node that has just started can do less than when it is warm.
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
            bar(load, BAR),
            n.connections.to_string(),
            n.set_ups.to_string(),
            state.to_owned(),
        ]);
    }
    let mut balancers = tables::table(&["balancer", "zone", "clients", ""], true, style);
    for (i, b) in glance.balancers.iter().enumerate() {
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

fn bar(part: f64, width: usize) -> String {
    let full = (part.clamp(0.0, 1.0) * width as f64).round() as usize;
    "█".repeat(full) + &"░".repeat(width - full)
}
