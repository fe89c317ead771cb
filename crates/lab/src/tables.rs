//! Tables and numbers as plain text, for terminals and files.

use comfy_table::{Attribute, Cell, CellAlignment, ContentArrangement, LineStyle, Table, TableStyle};

use crate::record::Record;
use crate::style::Style;

// A single line below the header keeps the figures readable.
const HEADER_LINE_ONLY: TableStyle = TableStyle::new().header_separator(LineStyle::new('─', '─', '─', '─'));

/// Creates an empty table with these columns. All but the first are right-aligned if they hold `figures`.
pub fn table(columns: &[&str], figures: bool, style: &Style) -> Table {
    let mut table = Table::new();
    table.load_style(HEADER_LINE_ONLY).set_content_arrangement(ContentArrangement::Disabled);
    if style.colours {
        table.enforce_styling()
    } else {
        table.force_no_tty()
    };
    if !columns.is_empty() {
        table.set_header(columns);
        for column in table.column_iter_mut().skip(1) {
            column.set_cell_alignment(if figures { CellAlignment::Right } else { CellAlignment::Left });
        }
    }
    table
}

/// Formats a share or result with four decimals.
pub fn share(x: f64) -> String {
    // A negative number that rounds to zero is shown without its sign.
    let text = format!("{x:.4}");
    if text == "-0.0000" { "0.0000".into() } else { text }
}

/// Formats a time in milliseconds: whole ones from 100 ms, one decimal below.
pub fn ms(x: f64) -> String {
    if x >= 100.0 { format!("{x:.0} ms") } else { format!("{x:.1} ms") }
}

/// Formats a whole number with spaces between groups of three digits.
pub fn count(n: u64) -> String {
    let digits = n.to_string();
    let groups: Vec<&str> =
        digits.as_bytes().rchunks(3).rev().map(|g| std::str::from_utf8(g).expect("digits")).collect();
    groups.join(" ")
}

/// Formats a run's record as tables.
pub fn run(record: &Record, style: &Style) -> String {
    let head = format!(
        "{}  seed {}  {}  {}\n{}\n",
        style.bold(&record.scenario),
        record.seed,
        record.policy,
        if record.clock == "virtual" { "virtual time" } else { "on sockets" },
        style.dim(&record.about),
    );
    [
        head,
        results(record, style),
        prices(record, style),
        refusals(record, style),
        set_ups(record, style),
        verdict(record, style),
    ]
    .into_iter()
    .filter(|part| !part.is_empty())
    .collect::<Vec<_>>()
    .join("\n")
}

fn results(record: &Record, style: &Style) -> String {
    let mut t = table(&["share served", "", "where"], true, style);
    t.column_mut(2).expect("three columns").set_cell_alignment(CellAlignment::Left);
    let worst_part = |what: &str, parts| match Record::worst(parts) {
        Some(part) => [what.to_owned(), share(part.share), part.name.clone()],
        None => [what.to_owned(), "-".to_owned(), String::new()],
    };
    let window = &record.worst_window;
    let end = (window.from_s + 10.0).min(record.length_s);
    t.add_row(["whole day".to_owned(), share(record.whole), String::new()]);
    t.add_row([
        "worst window".to_owned(),
        share(window.share),
        format!("{:.0} s to {end:.0} s", window.from_s),
    ]);
    t.add_row(worst_part("worst tenant", &record.tenants));
    if record.classes.len() > 1 {
        t.add_row(worst_part("worst class", &record.classes));
    }
    let taken: f64 = record.prices.iter().map(|p| p.cost).sum();
    t.add_row(["prices".to_owned(), share(-taken), String::new()]);
    let bold = |text: String| Cell::new(text).add_attribute(Attribute::Bold);
    t.add_row([bold("g".into()), bold(share(record.g)), Cell::new("weighted shares less prices")]);
    format!("{t}\n")
}

fn prices(record: &Record, style: &Style) -> String {
    let charged: Vec<_> = record.prices.iter().filter(|p| p.cost != 0.0).collect();
    if charged.is_empty() {
        return String::new();
    }
    let mut t = table(&["price of", "amount", "cost"], true, style);
    for p in charged {
        t.add_row([p.name.clone(), format!("{:.4}", p.amount), format!("{:.4}", p.cost)]);
    }
    format!("{t}\n")
}

fn refusals(record: &Record, style: &Style) -> String {
    let mut t = table(&["refused or failed", "times"], true, style);
    let mut causes: Vec<_> = record.refusals.iter().filter(|(_, n)| **n > 0).collect();
    causes.sort_by_key(|(_, n)| std::cmp::Reverse(**n));
    if causes.is_empty() {
        return "nothing was refused\n".to_owned();
    }
    for (cause, n) in causes {
        t.add_row([cause.clone(), count(*n)]);
    }
    format!("{t}\n")
}

fn set_ups(record: &Record, style: &Style) -> String {
    let s = &record.set_up;
    if s.count == 0 {
        return "nobody was set up\n".to_owned();
    }
    let mut t = table(&["set up", "half within", "90 %", "99 %", "99.9 %", "all"], true, style);
    let setup_time = |q| s.quantile(q).map_or("-".to_owned(), ms);
    t.add_row([
        count(s.count),
        setup_time(0.5),
        setup_time(0.9),
        setup_time(0.99),
        setup_time(0.999),
        setup_time(1.0),
    ]);
    format!("{t}\n")
}

/// Formats the verdict of the rules, with the trace of the first violation for each reason.
pub fn verdict(record: &Record, style: &Style) -> String {
    let v = &record.rules;
    if v.kept {
        let excused: u64 = v.excused.values().sum();
        let note = if excused == 0 { String::new() } else { format!(" ({excused} excused)") };
        return format!("rules: {}{note}\n", style.good("all kept, no connection lost"));
    }
    let mut text = format!("rules: {}\n", style.bad("BROKEN"));
    for (reason, n) in &v.breaks {
        text += &format!("  {} times  {reason}\n", count(*n));
        if let Some(first) = v.examples.iter().find(|b| b.reason == *reason) {
            text += &format!("    first at {:.3} s, {} ({})\n", first.at_s, first.who, first.rule);
            for line in &first.trace {
                text += &style.dim(&format!("      {line}\n"));
            }
        }
    }
    text
}
