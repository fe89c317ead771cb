//! Owns the plots of a page: each is one SVG text, drawn from a [`Record`].

use plotters::coord::Shift;
use plotters::prelude::*;

use crate::plots_service;
use crate::record::{FaultInterval, Record};

const WIDTH: u32 = 1000;
pub(crate) const TEXT: (&str, i32) = ("sans-serif", 14);
// Told apart with every kind of colour vision (Okabe and Ito).
pub(crate) const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(120, 120, 120),
    RGBColor(0, 0, 0),
];
const BAND: RGBColor = RGBColor(213, 94, 0);
// More cells than this make a page that browsers scroll slowly: neighbours are taken together.
const MOST_ROWS: usize = 60;
const MOST_COLUMNS: usize = 160;

pub(crate) type Root<'a> = DrawingArea<SVGBackend<'a>, Shift>;
pub(crate) type DrawResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;

/// One plot of a page.
pub struct Plot {
    /// Its heading.
    pub title: &'static str,
    /// How to read it.
    pub note: &'static str,
    /// The drawing.
    pub svg: String,
}

/// All plots that this run has figures for.
pub fn all(record: &Record) -> Vec<Plot> {
    let mut plots = vec![Plot {
        title: "Served share",
        note: "Worth served over worth asked for, by the second; the grey line is the load asked for, scaled to its \
               highest. Bands are faults.",
        svg: render(320, |root| served(root, record)),
    }];
    if !record.series.nodes.is_empty() {
        plots.push(Plot {
            title: "Load per node",
            note: "Load asked of a node over what it can do at that moment. From 1 on it falls behind; grey: down.",
            svg: render(rows_height(record), |root| load(root, record)),
        });
        plots.push(Plot {
            title: "Connections per node",
            note: "Standing connections over what the node can do (its cores times their speed).",
            svg: render(320, |root| connections(root, record)),
        });
    }
    if plots_service::has_levels(record) {
        plots.push(Plot {
            title: "Level of service",
            note: "What each balancer says of the service, by its number. Grey: down.",
            svg: render(plots_service::levels_height(record), |root| plots_service::levels(root, record)),
        });
    }
    if plots_service::has_moves(record) {
        plots.push(Plot {
            title: "Imbalance and moves for balance",
            note: "Largest load over capacity of the nodes that are up, over the mean of them (the thin line is 15 %); \
                   bars are connections that balancers moved.",
            svg: render(320, |root| plots_service::balance(root, record)),
        });
    }
    if record.series.refusals.values().flatten().any(|n| *n > 0) {
        plots.push(Plot {
            title: "Refused or failed, by cause",
            note: "Times a second, one cause on top of the other.",
            svg: render(320, |root| refusals(root, record)),
        });
    }
    if record.set_up.count > 0 {
        plots.push(Plot {
            title: "Set-up times",
            note: "From a client's first try to its UP: the part of all that was set up within that time.",
            svg: render(320, |root| set_ups(root, record)),
        });
    }
    plots
}

fn render(height: u32, draw: impl FnOnce(&Root<'_>) -> DrawResult) -> String {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        // Drawing into a text can't fail but by a fault of this module, and a page without one plot is of use.
        if let Err(e) = root.fill(&WHITE).and_then(|()| draw(&root)).and_then(|()| root.present()) {
            tracing::warn!(error = %e, "a plot could not be drawn");
        }
    }
    // The page sets the width; the drawing keeps its proportions by its viewBox.
    svg.replacen(&format!("width=\"{WIDTH}\" height=\"{height}\""), "width=\"100%\"", 1)
}

pub(crate) fn whole(x: &f64) -> String {
    format!("{x:.0}")
}

pub(crate) fn end_of(record: &Record) -> f64 {
    (record.series.asked.len() as f64 * record.series.step_s).max(record.length_s).max(1.0)
}

pub(crate) fn bands<'a>(
    bands: &'a [FaultInterval],
    end: f64,
    top: f64,
) -> impl Iterator<Item = Rectangle<(f64, f64)>> + 'a {
    bands.iter().filter(move |b| b.from_s < end).map(move |b| {
        // What happens in a moment is drawn a little wider, so that it can be seen.
        let to = b.to_s.max(b.from_s + end / 250.0).min(end);
        Rectangle::new([(b.from_s, 0.0), (to, top)], BAND.mix(0.13).filled())
    })
}

pub(crate) fn named(bands: &[FaultInterval], end: f64, top: f64) -> Vec<Text<'static, (f64, f64), String>> {
    // Labels that would lie on one another go to the next of four lines.
    let mut used_to = [f64::MIN; 4];
    let named = bands.iter().filter(|b| b.from_s < end).filter_map(|b| {
        let label = if b.struck > 0 { format!("{} ({})", b.kind, b.struck) } else { b.kind.clone() };
        let width = label.len() as f64 * end * 0.0085;
        let line = used_to.iter().position(|to| *to <= b.from_s)?;
        used_to[line] = b.from_s + width;
        let style = ("sans-serif", 12).into_font().color(&BAND.mix(0.9));
        Some(Text::new(label, (b.from_s, top * (0.995 - 0.055 * line as f64)), style))
    });
    named.collect()
}

fn served(root: &Root<'_>, record: &Record) -> DrawResult {
    let end = end_of(record);
    let top = 1.2;
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..end, 0.0..top)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.1))
        .x_desc("seconds")
        .x_label_formatter(&whole)
        .y_desc("share")
        .y_labels(7)
        .label_style(TEXT)
        .draw()?;
    chart.draw_series(bands(&record.faults, end, top))?;
    let step = record.series.step_s;
    let most = record.series.asked.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let asked = record.series.asked.iter().enumerate().map(|(i, a)| (i as f64 * step, a / most));
    chart.draw_series(LineSeries::new(asked, BLACK.mix(0.3).stroke_width(1)))?;
    for run in runs(&record.served_share()) {
        let line = run.into_iter().map(|(i, share)| ((i as f64 + 0.5) * step, share));
        chart.draw_series(LineSeries::new(line, COLOURS[0].stroke_width(2)))?;
    }
    let from = record.worst_window.from_s;
    let worst = [(from, record.worst_window.share), ((from + 10.0).min(end), record.worst_window.share)];
    chart.draw_series(LineSeries::new(worst, COLOURS[1].stroke_width(3)))?;
    let style = ("sans-serif", 12).into_font().color(&COLOURS[1]);
    let below = (from, (record.worst_window.share - 0.02).max(0.06));
    let label = format!("worst window {:.3}", record.worst_window.share);
    chart.draw_series([Text::new(label, below, style)])?;
    chart.draw_series(named(&record.faults, end, top))?;
    Ok(())
}

/// Stretches without a gap.
fn runs(values: &[Option<f64>]) -> Vec<Vec<(usize, f64)>> {
    let mut runs = vec![Vec::new()];
    for (i, v) in values.iter().enumerate() {
        match v {
            Some(v) => runs.last_mut().expect("one at least").push((i, *v)),
            None => runs.push(Vec::new()),
        }
    }
    runs.retain(|r| !r.is_empty());
    runs
}

fn rows_height(record: &Record) -> u32 {
    110 + 18 * record.nodes.len().min(MOST_ROWS) as u32
}

/// Nodes in the order of their zones and kinds, which shows what zones and kinds have in common.
fn order(record: &Record) -> Vec<usize> {
    let mut order: Vec<usize> = (0..record.nodes.len()).collect();
    order.sort_by_key(|i| (&record.nodes[*i].zone, &record.nodes[*i].kind, *i));
    order
}

/// White to blue up to 1, then to red at 2.
fn colour(load: f64) -> RGBColor {
    let mix = |a: (u8, u8, u8), b: (u8, u8, u8), t: f64| {
        let part = |a: u8, b: u8| (f64::from(a) + (f64::from(b) - f64::from(a)) * t.clamp(0.0, 1.0)) as u8;
        RGBColor(part(a.0, b.0), part(a.1, b.1), part(a.2, b.2))
    };
    const WARM: (u8, u8, u8) = (253, 219, 120);
    match load {
        l if l < 0.9 => mix((247, 251, 255), (33, 113, 181), l / 0.9),
        l if l < 1.0 => mix((33, 113, 181), WARM, (l - 0.9) / 0.1),
        l => mix(WARM, (165, 0, 38), l - 1.0),
    }
}

fn load(root: &Root<'_>, record: &Record) -> DrawResult {
    let order = order(record);
    let end = end_of(record);
    let steps = record.series.asked.len().max(1);
    let (by_row, by_column) = (order.len().div_ceil(MOST_ROWS), steps.div_ceil(MOST_COLUMNS));
    let rows: Vec<&[usize]> = order.chunks(by_row).collect();
    let (plot, legend) = root.split_vertically(root.get_pixel_range().1.len() as i32 - 40);
    let mut chart = ChartBuilder::on(&plot)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(150)
        .build_cartesian_2d(0.0..end, 0.0..rows.len() as f64)?;
    let name = |row: usize| {
        let Some(first) = rows.get(row).map(|r| r[0]) else { return String::new() };
        let n = &record.nodes[first];
        let and = if by_row > 1 { format!(" +{}", by_row - 1) } else { String::new() };
        format!("{first}{and} {} {}", n.zone, n.kind)
    };
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("seconds")
        .x_label_formatter(&whole)
        .y_labels(1)
        .y_label_formatter(&|_| String::new())
        .label_style(TEXT)
        .draw()?;
    let step = record.series.step_s;
    for (row, members) in rows.iter().enumerate() {
        for column in (0..steps).step_by(by_column) {
            let cells = members.iter().flat_map(|m| {
                let series = &record.series.nodes[*m].load;
                series.iter().skip(column).take(by_column).flatten().copied()
            });
            let loads: Vec<f64> = cells.collect();
            let fill = match crate::stats::mean(&loads) {
                Some(load) => colour(load),
                None => RGBColor(190, 190, 190),
            };
            let (x, y) = (column as f64 * step, row as f64);
            let to = (x + by_column as f64 * step).min(end);
            chart.draw_series([Rectangle::new([(x, y + 0.04), (to, y + 0.96)], fill.filled())])?;
        }
    }
    let style = ("sans-serif", 12).into_font().color(&BLACK);
    let (left, _) = chart.plotting_area().get_pixel_range();
    for row in 0..rows.len() {
        let (_, y) = chart.plotting_area().map_coordinate(&(0.0, row as f64 + 0.5));
        plot.draw(&Text::new(name(row), (left.start - 142, y - 6), style.clone()))?;
    }
    for i in 0..=40 {
        let at = i as f64 / 20.0;
        let x = left.start + i * 12;
        legend.draw(&Rectangle::new([(x, 4), (x + 12, 18)], colour(at).filled()))?;
        if i % 10 == 0 {
            legend.draw(&Text::new(format!("{at:.1}"), (x, 22), style.clone()))?;
        }
    }
    Ok(())
}

fn connections(root: &Root<'_>, record: &Record) -> DrawResult {
    let end = end_of(record);
    let step = record.series.step_s;
    let per = |i: usize, c: u32| f64::from(c) / record.nodes[i].capacity.max(0.01);
    let nodes = || record.series.nodes.iter().enumerate();
    let most = nodes().flat_map(|(i, n)| n.connections.iter().map(move |c| per(i, *c))).fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..end, 0.0..most * 1.1)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.1))
        .x_desc("seconds")
        .x_label_formatter(&whole)
        .y_desc("a standard core")
        .y_label_formatter(&whole)
        .label_style(TEXT)
        .draw()?;
    chart.draw_series(bands(&record.faults, end, most * 1.1))?;
    let mut kinds: Vec<&str> = record.nodes.iter().map(|n| n.kind.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    for (k, kind) in kinds.iter().enumerate() {
        let colour = COLOURS[k % COLOURS.len()];
        let of_kind = nodes().filter(|(i, _)| record.nodes[*i].kind == *kind);
        for (j, (i, n)) in of_kind.enumerate() {
            let line = n.connections.iter().enumerate().map(|(s, c)| (s as f64 * step, per(i, *c)));
            let render = chart.draw_series(LineSeries::new(line, colour.mix(0.7).stroke_width(1)))?;
            if j == 0 {
                render
                    .label(*kind)
                    .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
            }
        }
    }
    if !kinds.is_empty() {
        legend(&mut chart)?;
    }
    Ok(())
}

type Axes = Cartesian2d<plotters::coord::types::RangedCoordf64, plotters::coord::types::RangedCoordf64>;

pub(crate) fn legend<'a, 'b: 'a>(chart: &mut ChartContext<'a, SVGBackend<'b>, Axes>) -> DrawResult {
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.2))
        .label_font(("sans-serif", 13))
        .draw()
}

fn refusals(root: &Root<'_>, record: &Record) -> DrawResult {
    let end = end_of(record);
    let step = record.series.step_s;
    let steps = record.series.refusals.values().map(Vec::len).max().unwrap_or(0);
    let sum = |i: usize| {
        record.series.refusals.values().map(|n| n.get(i).copied().unwrap_or(0)).sum::<u64>() as f64 / step
    };
    let most = (0..steps).map(sum).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..end, 0.0..most)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.1))
        .x_desc("seconds")
        .x_label_formatter(&whole)
        .y_desc("a second")
        .y_label_formatter(&whole)
        .label_style(TEXT)
        .draw()?;
    chart.draw_series(bands(&record.faults, end, most))?;
    let mut below = vec![0.0; steps];
    let causes = record.series.refusals.iter().filter(|(_, n)| n.iter().any(|x| *x > 0));
    for (c, (cause, times)) in causes.enumerate() {
        let colour = COLOURS[c % COLOURS.len()];
        let bars: Vec<_> = (0..steps)
            .filter_map(|i| {
                let n = times.get(i).copied().unwrap_or(0) as f64 / step;
                let from = below[i];
                below[i] += n;
                let (x, to) = (i as f64 * step, ((i + 1) as f64 * step).min(end));
                (n > 0.0).then(|| Rectangle::new([(x, from), (to, from + n)], colour.filled()))
            })
            .collect();
        chart
            .draw_series(bars)?
            .label(cause.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    legend(&mut chart)?;
    chart.draw_series(named(&record.faults, end, most))?;
    Ok(())
}

fn set_ups(root: &Root<'_>, record: &Record) -> DrawResult {
    let points = &record.set_up.within_ms;
    let most = points.last().map_or(1.0, |p| p.1).max(1.0) * 1.1;
    // "Nines": 0.5 stands at 0.3, 0.9 at 1, 0.99 at 2; what is true of all stands at the right end.
    let nines = |part: f64| -(1.0 - part).max(1e-5).log10();
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(74)
        .build_cartesian_2d(0.0..5.1, 0.0..most)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.1))
        .x_desc("part of all")
        .y_desc("milliseconds")
        .y_label_formatter(&whole)
        .x_labels(6)
        .x_label_formatter(&|x: &f64| match x.round() as i32 {
            0 => "0".into(),
            1 => "90 %".into(),
            2 => "99 %".into(),
            3 => "99.9 %".into(),
            4 => "99.99 %".into(),
            _ => "all".into(),
        })
        .label_style(TEXT)
        .draw()?;
    let line = || points.iter().map(|(part, ms)| (nines(*part), *ms));
    chart.draw_series(LineSeries::new(line(), COLOURS[0].stroke_width(2)))?;
    chart.draw_series(line().map(|p| Circle::new(p, 3, COLOURS[0].filled())))?;
    let style = ("sans-serif", 12).into_font().color(&BLACK.mix(0.7));
    let shown = points.iter().filter(|(p, _)| [0.5, 0.9, 0.99, 0.999, 1.0].contains(p));
    let labels = shown.map(|(part, ms)| {
        Text::new(crate::tables::ms(*ms), ((nines(*part) - 0.05).min(4.7), ms + most * 0.07), style.clone())
    });
    chart.draw_series(labels)?;
    Ok(())
}
