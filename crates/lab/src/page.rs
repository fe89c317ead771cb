//! The HTML page of a run: one self-contained file with SVG plots and tables.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use crate::cli::Report;
use crate::error::{CommandError, CommandOutcome};
use crate::files;
use crate::plots;
use crate::record::{self, Record};
use crate::tables::{count, ms, share};

const STYLE: &str = "\
body{font:16px/1.5 system-ui,sans-serif;margin:0;background:#f4f5f7;color:#1c2330}
main{max-width:1060px;margin:0 auto;padding:24px 16px 60px}
h1{margin:0}h2{font-size:1.1rem;margin:0 0 4px}p.note{color:#596275;margin:0 0 8px;font-size:.9rem}
section{background:#fff;border:1px solid #dfe3ea;border-radius:8px;padding:16px 20px;margin:16px 0;overflow-x:auto}
.figures{display:flex;flex-wrap:wrap;gap:12px;margin:16px 0}
.figures div{background:#fff;border:1px solid #dfe3ea;border-radius:8px;padding:10px 16px;min-width:120px}
.figures b{display:block;font-size:1.5rem}.figures span{color:#596275;font-size:.85rem}
table{border-collapse:collapse}td,th{text-align:left;padding:3px 18px 3px 0;border-bottom:1px solid #eceff3}
td.n,th.n{text-align:right;font-variant-numeric:tabular-nums}
.good{color:#0a7a4b}.bad{color:#b3261e}pre{font-size:.8rem;overflow-x:auto;background:#f4f5f7;padding:8px}
.tables{display:flex;flex-wrap:wrap;align-items:flex-start;gap:20px 48px}";

/// Runs `report`: writes a page for each run of a result file.
///
/// # Errors
/// The result can't be read or a page can't be written.
pub fn report(args: &Report) -> Result<CommandOutcome, CommandError> {
    let runs = record::read(&args.result)?;
    let output = args.output.clone().unwrap_or_else(|| args.result.with_extension("html"));
    if runs.is_empty() {
        return Err(CommandError::Input(format!(
            "{}: the result file contains no runs",
            args.result.display()
        )));
    }
    for (i, run) in runs.iter().enumerate() {
        let path = if i == 0 { output.clone() } else { numbered(&output, i + 1) };
        write(&path, run)?;
        crate::style::say(&format!("{}\n", path.display()));
    }
    Ok(CommandOutcome::Success)
}

/// The path of the page of the n-th run.
fn numbered(path: &Path, n: usize) -> PathBuf {
    let stem = path.file_stem().unwrap_or_default().to_string_lossy();
    path.with_file_name(format!("{stem}-{n}.html"))
}

/// Writes the page of a run.
///
/// # Errors
/// The file can't be written.
pub fn write(path: &Path, record: &Record) -> Result<(), CommandError> {
    files::write(path, &page(record))
}

/// The HTML of a run's page.
pub fn page(record: &Record) -> String {
    let mut html = String::new();
    let title = escaped(&record.scenario);
    let clock = if record.clock == "virtual" { "virtual time" } else { "sockets" };
    html += &format!(
        "<!doctype html>\n<html lang=\"en\">\n<head>\n<meta charset=\"utf-8\">\n\
         <meta name=\"viewport\" content=\"width=device-width\">\n<title>{title}, seed {}: g {}</title>\n\
         <style>{STYLE}</style>\n</head>\n<body>\n<main>\n<h1>{title}</h1>\n<p class=\"note\">{}<br>\
         seed {}, {}, {clock}, {} s</p>\n",
        record.seed,
        share(record.g),
        escaped(&record.about),
        record.seed,
        escaped(&record.policy),
        record.length_s,
    );
    html += &figures(record);
    for plot in plots::all(record) {
        let _ = writeln!(
            html,
            "<section>\n<h2>{}</h2>\n<p class=\"note\">{}</p>\n{}\n</section>",
            plot.title, plot.note, plot.svg
        );
    }
    html += &tables(record);
    html += &breaks(record);
    if let Some(measurements) = &record.sockets {
        let note = escaped(&crate::sockets::summary(measurements));
        html += &format!("<section><h2>In real time</h2><pre>{note}</pre></section>\n");
    }
    html + "</main>\n</body>\n</html>\n"
}

fn figures(record: &Record) -> String {
    let worst = Record::worst(&record.tenants).map_or("-".into(), |t| share(t.share));
    let setup_time = |q| record.set_up.quantile(q).map_or("-".into(), ms);
    let (class, word) = if record.rules.kept { ("good", "kept") } else { ("bad", "BROKEN") };
    let figures = [
        ("", share(record.g), "g"),
        ("", share(record.whole), "whole day"),
        ("", share(record.worst_window.share), "worst window"),
        ("", worst, "worst tenant"),
        ("", setup_time(0.5), "half set up within"),
        ("", setup_time(0.99), "99 % set up within"),
        (class, word.to_owned(), "rules"),
    ];
    let cells = figures.map(|(class, figure, name)| {
        format!("<div><b class=\"{class}\">{figure}</b><span>{name}</span></div>")
    });
    format!("<div class=\"figures\">{}</div>\n", cells.join("\n"))
}

/// A table of two columns; empty if it has no rows.
fn rows(head: [&str; 2], rows: impl Iterator<Item = (String, String)>) -> String {
    let rows: String =
        rows.map(|(a, b)| format!("<tr><td>{}</td><td class=\"n\">{b}</td></tr>\n", escaped(&a))).collect();
    if rows.is_empty() {
        return String::new();
    }
    format!("<table><tr><th>{}</th><th class=\"n\">{}</th></tr>\n{rows}</table>\n", head[0], head[1])
}

fn tables(record: &Record) -> String {
    let share_rows = |shares: &[record::NamedShare]| {
        shares.iter().map(|p| (p.name.clone(), share(p.share))).collect::<Vec<_>>().into_iter()
    };
    let tables = [
        rows(["tenant", "share"], share_rows(&record.tenants)),
        rows(["class", "share"], share_rows(&record.classes)),
        rows(["price of", "cost"], record.prices.iter().map(|p| (p.name.clone(), share(p.cost)))),
        rows(["refused or failed", "times"], record.refusals.iter().map(|(c, n)| (c.clone(), count(*n)))),
        rows(["attempts came to", "times"], record.attempts.iter().map(|(c, n)| (c.clone(), count(*n)))),
        rows(["connections ended", "times"], record.ends.iter().map(|(c, n)| (c.clone(), count(*n)))),
        rows(["counted", ""], record.counts.iter().map(|(c, n)| (c.clone(), format!("{n}")))),
        rows(
            ["fault", "seconds"],
            record.faults.iter().map(|b| (b.kind.clone(), format!("{:.1} to {:.1}", b.from_s, b.to_s))),
        ),
    ];
    format!("<section><h2>Figures</h2><div class=\"tables\">{}</div></section>\n", tables.join("\n"))
}

fn breaks(record: &Record) -> String {
    if record.rules.kept {
        return String::new();
    }
    let counts =
        rows(["broken", "times"], record.rules.breaks.iter().map(|(reason, n)| (reason.clone(), count(*n))));
    let examples: String = record
        .rules
        .examples
        .iter()
        .map(|b| {
            format!(
                "<details><summary>{:.3} s: {} ({}), {}</summary><pre>{}</pre></details>\n",
                b.at_s,
                escaped(&b.reason),
                escaped(&b.rule),
                escaped(&b.who),
                escaped(&b.trace.join("\n")),
            )
        })
        .collect();
    format!("<section><h2 class=\"bad\">Broken rules</h2>{counts}{examples}</section>\n")
}

fn escaped(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;").replace('"', "&quot;")
}
