//! The plots of a report page, drawn as SVG from a [`Record`].

mod chart;
mod heat_map;
mod service;

use plotters::prelude::{
    BLACK, ChartBuilder, Circle, Color, IntoDrawingArea, IntoFont, LineSeries, Rectangle, SVGBackend, Text,
    WHITE,
};

use crate::record::Record;
use chart::{
    COLOURS, DrawResult, Root, TEXT, draw_legend, end_seconds, fault_bands, fault_labels, integer_label,
};

// Width of a plot in pixels.
const WIDTH: u32 = 1000;

/// One plot of a page.
pub struct Plot {
    /// The heading above the plot.
    pub title: &'static str,
    /// A note that explains how to read the plot.
    pub note: &'static str,
    /// The plot as an SVG element.
    pub svg: String,
}

/// Draws all plots for which the run has data.
pub fn all(record: &Record) -> Vec<Plot> {
    let mut plots = vec![Plot {
        title: "Served share",
        note: "Served worth divided by requested worth, by the second. Grey line: requested load, scaled to its maximum. \
               Orange line: the worst window. Coloured bands: faults.",
        svg: render(320, |root| draw_served(root, record)),
    }];
    if !record.series.nodes.is_empty() {
        plots.push(Plot {
            title: "Load per node",
            note: "Load offered to a node divided by its present capacity. Above 1 its backlog grows. Grey: down.",
            svg: render(heat_map::height(record), |root| heat_map::draw(root, record)),
        });
        plots.push(Plot {
            title: "Connections per node",
            note: "Established connections divided by the capacity of the node (its cores times their speed).",
            svg: render(320, |root| draw_connections(root, record)),
        });
    }
    if service::has_degraded_levels(record) {
        plots.push(Plot {
            title: "Level of service",
            note: "The level of service that each balancer reports, by the index of the balancer. Grey: down.",
            svg: render(service::levels_height(record), |root| service::draw_levels(root, record)),
        });
    }
    if service::has_balancing_moves(record) {
        plots.push(Plot {
            title: "Imbalance and moves for balance",
            note: "The largest ratio of load to capacity of the nodes that are up, divided by the mean of their ratios \
                   (thin line: 15 % above the mean). Bars: connections that balancers moved.",
            svg: render(320, |root| service::draw_imbalance(root, record)),
        });
    }
    if record.series.refusals.values().flatten().any(|n| *n > 0) {
        plots.push(Plot {
            title: "Refused or failed, by cause",
            note: "Events per second, stacked by cause.",
            svg: render(320, |root| draw_refusals(root, record)),
        });
    }
    if record.set_up.count > 0 {
        plots.push(Plot {
            title: "Set-up times",
            note: "Time from a client's first request to its UP: the share of connections that were set up within it.",
            svg: render(320, |root| draw_set_up_times(root, record)),
        });
    }
    plots
}

/// Draws a plot of the given height in pixels to an SVG element.
fn render(height: u32, draw: impl FnOnce(&Root<'_>) -> DrawResult) -> String {
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (WIDTH, height)).into_drawing_area();
        // Drawing to a string only fails if this module has a bug, and a page without one of its plots is
        // still useful.
        if let Err(e) = root.fill(&WHITE).and_then(|()| draw(&root)).and_then(|()| root.present()) {
            tracing::warn!(error = %e, "a plot could not be drawn; the page shows it incomplete");
        }
    }
    // The page sets the width; the viewBox preserves the proportions.
    svg.replacen(&format!("width=\"{WIDTH}\" height=\"{height}\""), "width=\"100%\"", 1)
}

/// Draws the served share and the requested load by second.
fn draw_served(root: &Root<'_>, record: &Record) -> DrawResult {
    let end = end_seconds(record);
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
        .x_label_formatter(&integer_label)
        .y_desc("share")
        .y_labels(7)
        .label_style(TEXT)
        .draw()?;
    chart.draw_series(fault_bands(&record.faults, end, top))?;
    let step = record.series.step_s;
    let max_asked = record.series.asked.iter().copied().fold(f64::MIN_POSITIVE, f64::max);
    let asked = record.series.asked.iter().enumerate().map(|(i, a)| (i as f64 * step, a / max_asked));
    chart.draw_series(LineSeries::new(asked, BLACK.mix(0.3).stroke_width(1)))?;
    for run in contiguous_runs(&record.served_share()) {
        let line = run.into_iter().map(|(i, share)| ((i as f64 + 0.5) * step, share));
        chart.draw_series(LineSeries::new(line, COLOURS[0].stroke_width(2)))?;
    }
    let from = record.worst_window.from_s;
    let worst = [(from, record.worst_window.share), ((from + 10.0).min(end), record.worst_window.share)];
    chart.draw_series(LineSeries::new(worst, COLOURS[1].stroke_width(3)))?;
    let style = ("sans-serif", 12).into_font().color(&COLOURS[1]);
    let label_position = (from, (record.worst_window.share - 0.02).max(0.06));
    let label = format!("worst window {:.3}", record.worst_window.share);
    chart.draw_series([Text::new(label, label_position, style)])?;
    chart.draw_series(fault_labels(&record.faults, end, top))?;
    Ok(())
}

/// Splits values at their gaps into runs of (index, value).
fn contiguous_runs(values: &[Option<f64>]) -> Vec<Vec<(usize, f64)>> {
    let mut runs = vec![Vec::new()];
    for (i, v) in values.iter().enumerate() {
        match v {
            Some(v) => runs.last_mut().expect("never empty").push((i, *v)),
            None => runs.push(Vec::new()),
        }
    }
    runs.retain(|r| !r.is_empty());
    runs
}

/// Draws the connections of each node over its capacity, coloured by kind of node.
fn draw_connections(root: &Root<'_>, record: &Record) -> DrawResult {
    let end = end_seconds(record);
    let step = record.series.step_s;
    let connections_per_capacity = |i: usize, c: u32| f64::from(c) / record.nodes[i].capacity.max(0.01);
    let nodes = || record.series.nodes.iter().enumerate();
    let max_ratio = nodes()
        .flat_map(|(i, n)| n.connections.iter().map(move |c| connections_per_capacity(i, *c)))
        .fold(1.0, f64::max);
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..end, 0.0..max_ratio * 1.1)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.1))
        .x_desc("seconds")
        .x_label_formatter(&integer_label)
        .y_desc("per standard core")
        .y_label_formatter(&integer_label)
        .label_style(TEXT)
        .draw()?;
    chart.draw_series(fault_bands(&record.faults, end, max_ratio * 1.1))?;
    let mut kinds: Vec<&str> = record.nodes.iter().map(|n| n.kind.as_str()).collect();
    kinds.sort_unstable();
    kinds.dedup();
    for (k, kind) in kinds.iter().enumerate() {
        let colour = COLOURS[k % COLOURS.len()];
        let of_kind = nodes().filter(|(i, _)| record.nodes[*i].kind == *kind);
        for (j, (i, n)) in of_kind.enumerate() {
            let line = n
                .connections
                .iter()
                .enumerate()
                .map(|(s, c)| (s as f64 * step, connections_per_capacity(i, *c)));
            let render = chart.draw_series(LineSeries::new(line, colour.mix(0.7).stroke_width(1)))?;
            if j == 0 {
                render
                    .label(*kind)
                    .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
            }
        }
    }
    if !kinds.is_empty() {
        draw_legend(&mut chart)?;
    }
    Ok(())
}

/// Draws stacked bars of refused or failed requests per second, by cause.
fn draw_refusals(root: &Root<'_>, record: &Record) -> DrawResult {
    let end = end_seconds(record);
    let step = record.series.step_s;
    let steps = record.series.refusals.values().map(Vec::len).max().unwrap_or(0);
    let sum = |i: usize| {
        record.series.refusals.values().map(|n| n.get(i).copied().unwrap_or(0)).sum::<u64>() as f64 / step
    };
    let max_rate = (0..steps).map(sum).fold(1.0, f64::max) * 1.1;
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..end, 0.0..max_rate)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.1))
        .x_desc("seconds")
        .x_label_formatter(&integer_label)
        .y_desc("per second")
        .y_label_formatter(&integer_label)
        .label_style(TEXT)
        .draw()?;
    chart.draw_series(fault_bands(&record.faults, end, max_rate))?;
    // Top of the bars drawn so far, by step.
    let mut stack_tops = vec![0.0; steps];
    let causes = record.series.refusals.iter().filter(|(_, n)| n.iter().any(|x| *x > 0));
    for (c, (cause, times)) in causes.enumerate() {
        let colour = COLOURS[c % COLOURS.len()];
        let bars: Vec<_> = (0..steps)
            .filter_map(|i| {
                let n = times.get(i).copied().unwrap_or(0) as f64 / step;
                let from = stack_tops[i];
                stack_tops[i] += n;
                let (x, to) = (i as f64 * step, ((i + 1) as f64 * step).min(end));
                (n > 0.0).then(|| Rectangle::new([(x, from), (to, from + n)], colour.filled()))
            })
            .collect();
        chart
            .draw_series(bars)?
            .label(cause.as_str())
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    draw_legend(&mut chart)?;
    chart.draw_series(fault_labels(&record.faults, end, max_rate))?;
    Ok(())
}

/// Draws the quantiles of the set-up times on a logarithmic scale of nines.
fn draw_set_up_times(root: &Root<'_>, record: &Record) -> DrawResult {
    let points = &record.set_up.within_ms;
    let max_ms = points.last().map_or(1.0, |p| p.1).max(1.0) * 1.1;
    // The number of nines of a share: 0.3 for 0.5, 1 for 0.9, 2 for 0.99; limited to 5, which is where 1 is
    // drawn.
    let nines = |share: f64| -(1.0 - share).max(1e-5).log10();
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(74)
        .build_cartesian_2d(0.0..5.1, 0.0..max_ms)?;
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.1))
        .x_desc("share of connections")
        .y_desc("milliseconds")
        .y_label_formatter(&integer_label)
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
    let line = || points.iter().map(|(share, ms)| (nines(*share), *ms));
    chart.draw_series(LineSeries::new(line(), COLOURS[0].stroke_width(2)))?;
    chart.draw_series(line().map(|p| Circle::new(p, 3, COLOURS[0].filled())))?;
    let style = ("sans-serif", 12).into_font().color(&BLACK.mix(0.7));
    let labelled = points.iter().filter(|(p, _)| [0.5, 0.9, 0.99, 0.999, 1.0].contains(p));
    let labels = labelled.map(|(share, ms)| {
        Text::new(
            crate::tables::ms(*ms),
            ((nines(*share) - 0.05).min(4.7), ms + max_ms * 0.07),
            style.clone(),
        )
    });
    chart.draw_series(labels)?;
    Ok(())
}
