//! Plots of the levels of service that balancers report, and of the imbalance of load with the connections
//! that balancers moved to reduce it.

use plotters::prelude::{BLACK, ChartBuilder, Color, IntoFont, LineSeries, RGBColor, Rectangle, Text, WHITE};

use super::chart::{
    COLOURS, DrawResult, Root, TEXT, draw_legend, end_seconds, fault_bands, fault_labels, integer_label,
};
use crate::record::Record;

// Levels of service from best to worst with their colours: white to red, since blue stands for load.
const LEVELS: [(&str, RGBColor); 4] = [
    ("normal", RGBColor(232, 240, 232)),
    ("strained", RGBColor(240, 228, 66)),
    ("short", RGBColor(230, 159, 0)),
    ("severe", RGBColor(190, 40, 20)),
];
const DOWN_COLOUR: RGBColor = RGBColor(190, 190, 190);

/// Whether any balancer reported another level than the best.
pub fn has_degraded_levels(record: &Record) -> bool {
    record.series.balancers.iter().flat_map(|b| &b.levels).any(|l| !l.is_empty() && l != LEVELS[0].0)
}

/// Whether balancers moved connections to balance load.
pub fn has_balancing_moves(record: &Record) -> bool {
    moves_by_cause(record).iter().any(|(_, by_second)| by_second.iter().any(|n| *n > 0))
}

/// Height of the plot of levels, in pixels.
pub fn levels_height(record: &Record) -> u32 {
    110 + 18 * record.series.balancers.len() as u32
}

/// Draws the level of service of each balancer over time, one row for each balancer.
pub fn draw_levels(root: &Root<'_>, record: &Record) -> DrawResult {
    let end = end_seconds(record);
    let balancers = &record.series.balancers;
    let (plot, legend) = root.split_vertically(root.get_pixel_range().1.len() as i32 - 34);
    let mut chart = ChartBuilder::on(&plot)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(46)
        .build_cartesian_2d(0.0..end, 0.0..balancers.len() as f64)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("seconds")
        .x_label_formatter(&integer_label)
        .y_label_formatter(&|_| String::new())
        .label_style(TEXT)
        .draw()?;
    let step = record.series.step_s;
    for (row, balancer) in balancers.iter().enumerate() {
        let mut from = 0;
        // Consecutive steps of the same level are drawn as one rectangle, which keeps the page of a long day
        // small.
        for steps in balancer.levels.chunk_by(|a, b| a == b) {
            let colour = LEVELS.iter().find(|l| l.0 == steps[0]).map_or(DOWN_COLOUR, |l| l.1);
            let (x, to) = (from as f64 * step, ((from + steps.len()) as f64 * step).min(end));
            from += steps.len();
            let corners = [(x, row as f64 + 0.06), (to, row as f64 + 0.94)];
            chart.draw_series([Rectangle::new(corners, colour.filled())])?;
        }
    }
    chart.draw_series(fault_bands(&record.faults, end, balancers.len() as f64))?;
    let style = ("sans-serif", 12).into_font().color(&BLACK);
    let (left, _) = chart.plotting_area().get_pixel_range();
    for row in 0..balancers.len() {
        let (_, y) = chart.plotting_area().map_coordinate(&(0.0, row as f64 + 0.5));
        plot.draw(&Text::new(row.to_string(), (left.start - 26, y - 6), style.clone()))?;
    }
    for (i, (name, colour)) in LEVELS.iter().enumerate() {
        let x = left.start + 110 * i as i32;
        legend.draw(&Rectangle::new([(x, 6), (x + 14, 20)], colour.filled()))?;
        legend.draw(&Text::new(*name, (x + 20, 8), style.clone()))?;
    }
    Ok(())
}

/// Moved connections in each second by cause, summed over all balancers.
fn moves_by_cause(record: &Record) -> Vec<(&'static str, Vec<u64>)> {
    let of = |cause: &'static str| {
        let mut sums = Vec::new();
        for counts in record.series.balancers.iter().filter_map(|b| b.counts.get(cause)) {
            sums.resize(sums.len().max(counts.len()), 0);
            let before = std::iter::once(&0).chain(counts);
            // The counters of a restarted process begin at 0; its decrease doesn't count.
            sums.iter_mut().zip(counts.iter().zip(before)).for_each(|(s, (n, b))| *s += n.saturating_sub(*b));
        }
        (cause, sums)
    };
    [of("moves home"), of("moves to level")].into()
}

/// Draws the largest ratio of load to capacity over the mean ratio, and bars of the connections moved to
/// balance load.
pub fn draw_imbalance(root: &Root<'_>, record: &Record) -> DrawResult {
    let end = end_seconds(record);
    let step = record.series.step_s;
    let moves = moves_by_cause(record);
    let max_moves = moves.iter().flat_map(|m| &m.1).max().copied().unwrap_or(1).max(1) as f64;
    let mut chart = ChartBuilder::on(root)
        .margin(10)
        .margin_right(46)
        .x_label_area_size(36)
        .y_label_area_size(46)
        .right_y_label_area_size(40)
        .build_cartesian_2d(0.0..end, 0.9..2.6)?
        .set_secondary_coord(0.0..end, 0.0..max_moves * 2.5);
    chart
        .configure_mesh()
        .light_line_style(WHITE)
        .bold_line_style(BLACK.mix(0.1))
        .x_desc("seconds")
        .x_label_formatter(&integer_label)
        .y_desc("largest over mean")
        .label_style(TEXT)
        .draw()?;
    chart
        .configure_secondary_axes()
        .y_desc("moves per second")
        .y_label_formatter(&integer_label)
        .label_style(TEXT)
        .draw()?;
    chart.draw_series(fault_bands(&record.faults, end, 2.6))?;
    for (i, (cause, bars)) in stacked_moves(&moves, step, end).into_iter().enumerate() {
        let colour = COLOURS[i + 1];
        let bars = bars.into_iter().map(|corners| Rectangle::new(corners, colour.mix(0.6).filled()));
        chart
            .draw_secondary_series(bars)?
            .label(cause)
            .legend(move |(x, y)| Rectangle::new([(x, y - 4), (x + 12, y + 4)], colour.filled()));
    }
    chart
        .draw_series(LineSeries::new(imbalance(record), COLOURS[0].stroke_width(2)))?
        .label("imbalance")
        .legend(|(x, y)| Rectangle::new([(x, y - 2), (x + 12, y + 2)], COLOURS[0].filled()));
    let reference = [(0.0, 1.15), (end, 1.15)];
    chart.draw_series(LineSeries::new(reference, BLACK.mix(0.4).stroke_width(1)))?;
    draw_legend(&mut chart)?;
    chart.draw_series(fault_labels(&record.faults, end, 2.6))?;
    Ok(())
}

/// Two opposite corners of a bar.
type Corners = [(f64, f64); 2];

/// Bars of the moves in each second, stacked by cause.
fn stacked_moves(
    moves: &[(&'static str, Vec<u64>)],
    step: f64,
    end: f64,
) -> Vec<(&'static str, Vec<Corners>)> {
    let mut tops: Vec<f64> = Vec::new();
    let mut stacked = Vec::new();
    for (cause, by_second) in moves {
        tops.resize(tops.len().max(by_second.len()), 0.0);
        let mut bars = Vec::new();
        for (second, (count, top)) in
            by_second.iter().zip(&mut tops).enumerate().filter(|(_, (n, _))| **n > 0)
        {
            let (x, bottom) = (second as f64 * step, *top);
            *top += *count as f64;
            bars.push([(x, bottom), ((x + step).min(end), *top)]);
        }
        stacked.push((*cause, bars));
    }
    stacked
}

/// The largest load divided by the mean load of the nodes that are up, by second, limited to the top of the
/// plot.
fn imbalance(record: &Record) -> Vec<(f64, f64)> {
    let nodes = &record.series.nodes;
    let seconds = nodes.iter().map(|n| n.load.len()).max().unwrap_or(0);
    let at = |second: usize| {
        let up: Vec<f64> = nodes.iter().filter_map(|n| n.load.get(second).copied().flatten()).collect();
        let mean = crate::stats::mean(&up).filter(|m| *m > 0.0)?;
        let largest = up.iter().copied().fold(0.0, f64::max);
        Some((second as f64 * record.series.step_s, (largest / mean).min(2.6)))
    };
    (0..seconds).filter_map(at).collect()
}
