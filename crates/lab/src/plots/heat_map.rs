//! The heat map of the load over capacity of each node over time.

use plotters::prelude::{BLACK, ChartBuilder, Color, IntoFont, RGBColor, Rectangle, Text};

use super::chart::{DrawResult, Root, TEXT, end_seconds, integer_label};
use crate::record::Record;

/// The maximum numbers of rows and columns. Beyond them, neighbouring nodes or steps are averaged, since
/// browsers render large drawings slowly.
const MAX_ROWS: usize = 60;
const MAX_COLUMNS: usize = 160;
const DOWN_COLOUR: RGBColor = RGBColor(190, 190, 190);

/// Height of the plot in pixels.
pub(super) fn height(record: &Record) -> u32 {
    110 + 18 * record.nodes.len().min(MAX_ROWS) as u32
}

/// Indices of the nodes, sorted by zone and kind, so that patterns of a zone or a kind are visible.
fn sorted_nodes(record: &Record) -> Vec<usize> {
    let mut order: Vec<usize> = (0..record.nodes.len()).collect();
    order.sort_by_key(|i| (&record.nodes[*i].zone, &record.nodes[*i].kind, *i));
    order
}

/// Colour of a load: white to blue up to 0.9, to yellow at 1, and to red at 2.
fn colour(load: f64) -> RGBColor {
    const FULL_LOAD: (u8, u8, u8) = (253, 219, 120);
    let mix = |a: (u8, u8, u8), b: (u8, u8, u8), t: f64| {
        let part = |a: u8, b: u8| (f64::from(a) + (f64::from(b) - f64::from(a)) * t.clamp(0.0, 1.0)) as u8;
        RGBColor(part(a.0, b.0), part(a.1, b.1), part(a.2, b.2))
    };
    match load {
        l if l < 0.9 => mix((247, 251, 255), (33, 113, 181), l / 0.9),
        l if l < 1.0 => mix((33, 113, 181), FULL_LOAD, (l - 0.9) / 0.1),
        l => mix(FULL_LOAD, (165, 0, 38), l - 1.0),
    }
}

/// The nodes of each row, sorted by zone and kind. Several nodes share a row if there are more than
/// `MAX_ROWS`.
struct Rows {
    order: Vec<usize>,
    nodes_per_row: usize,
}

impl Rows {
    fn new(record: &Record) -> Self {
        let order = sorted_nodes(record);
        let nodes_per_row = order.len().div_ceil(MAX_ROWS);
        Self { order, nodes_per_row }
    }

    fn chunks(&self) -> Vec<&[usize]> {
        self.order.chunks(self.nodes_per_row).collect()
    }

    /// Label of a row: the index of its first node, the number of its other nodes, and the zone and kind of
    /// the first.
    fn label(&self, members: &[usize], record: &Record) -> String {
        let first = members[0];
        let node = &record.nodes[first];
        let others =
            if self.nodes_per_row > 1 { format!(" +{}", self.nodes_per_row - 1) } else { String::new() };
        format!("{first}{others} {} {}", node.zone, node.kind)
    }
}

/// Draws the heat map with its colour scale.
pub(super) fn draw(root: &Root<'_>, record: &Record) -> DrawResult {
    let end = end_seconds(record);
    let rows = Rows::new(record);
    let chunks = rows.chunks();
    let (plot, scale) = root.split_vertically(root.get_pixel_range().1.len() as i32 - 40);
    let mut chart = ChartBuilder::on(&plot)
        .margin(10)
        .margin_right(28)
        .x_label_area_size(36)
        .y_label_area_size(150)
        .build_cartesian_2d(0.0..end, 0.0..chunks.len() as f64)?;
    chart
        .configure_mesh()
        .disable_mesh()
        .x_desc("seconds")
        .x_label_formatter(&integer_label)
        .y_labels(1)
        .y_label_formatter(&|_| String::new())
        .label_style(TEXT)
        .draw()?;
    for (row, members) in chunks.iter().enumerate() {
        chart.draw_series(row_cells(record, row, members, end))?;
    }
    let style = ("sans-serif", 12).into_font().color(&BLACK);
    let (left, _) = chart.plotting_area().get_pixel_range();
    for (row, members) in chunks.iter().enumerate() {
        let (_, y) = chart.plotting_area().map_coordinate(&(0.0, row as f64 + 0.5));
        plot.draw(&Text::new(rows.label(members, record), (left.start - 142, y - 6), style.clone()))?;
    }
    draw_colour_scale(&scale, left.start)
}

/// The cells of one row: the mean load of its nodes over the steps of each column; grey if none of them is
/// up.
fn row_cells(record: &Record, row: usize, members: &[usize], end: f64) -> Vec<Rectangle<(f64, f64)>> {
    let steps = record.series.asked.len().max(1);
    let steps_per_column = steps.div_ceil(MAX_COLUMNS);
    let step = record.series.step_s;
    let cell = |column: usize| {
        let loads: Vec<f64> = members
            .iter()
            .flat_map(|node| {
                record.series.nodes[*node].load.iter().skip(column).take(steps_per_column).flatten().copied()
            })
            .collect();
        let fill = crate::stats::mean(&loads).map_or(DOWN_COLOUR, colour);
        let (x, y) = (column as f64 * step, row as f64);
        let to = (x + steps_per_column as f64 * step).min(end);
        Rectangle::new([(x, y + 0.04), (to, y + 0.96)], fill.filled())
    };
    (0..steps).step_by(steps_per_column).map(cell).collect()
}

fn draw_colour_scale(scale: &Root<'_>, left: i32) -> DrawResult {
    let style = ("sans-serif", 12).into_font().color(&BLACK);
    for i in 0..=40 {
        let load = f64::from(i) / 20.0;
        let x = left + i * 12;
        scale.draw(&Rectangle::new([(x, 4), (x + 12, 18)], colour(load).filled()))?;
        if i % 10 == 0 {
            scale.draw(&Text::new(format!("{load:.1}"), (x, 22), style.clone()))?;
        }
    }
    Ok(())
}
