//! What the plots have in common: fonts, colours, the marks of faults and the legend.

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    BLACK, Cartesian2d, ChartContext, Color, DrawingArea, DrawingAreaErrorKind, IntoFont, RGBColor,
    Rectangle, SVGBackend, SeriesLabelPosition, Text, WHITE,
};

use crate::record::{FaultInterval, Record};

/// Font of axis labels.
pub(super) const TEXT: (&str, i32) = ("sans-serif", 14);
/// The palette of Okabe and Ito, which people with any kind of colour vision can tell apart.
pub(super) const COLOURS: [RGBColor; 8] = [
    RGBColor(0, 114, 178),
    RGBColor(213, 94, 0),
    RGBColor(0, 158, 115),
    RGBColor(204, 121, 167),
    RGBColor(230, 159, 0),
    RGBColor(86, 180, 233),
    RGBColor(120, 120, 120),
    RGBColor(0, 0, 0),
];
const FAULT_COLOUR: RGBColor = RGBColor(213, 94, 0);
/// The area of one plot.
pub(super) type Root<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// The result of drawing a plot.
pub(super) type DrawResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;

/// Labels an axis with whole numbers.
pub(super) fn integer_label(x: &f64) -> String {
    format!("{x:.0}")
}

/// The end of the time axis, in seconds.
pub(super) fn end_seconds(record: &Record) -> f64 {
    (record.series.asked.len() as f64 * record.series.step_s).max(record.length_s).max(1.0)
}

/// Coloured areas for the times of faults.
pub(super) fn fault_bands<'a>(
    bands: &'a [FaultInterval],
    end: f64,
    top: f64,
) -> impl Iterator<Item = Rectangle<(f64, f64)>> + 'a {
    bands.iter().filter(move |b| b.from_s < end).map(move |b| {
        // What happens in a moment is drawn a little wider, so that it can be seen.
        let to = b.to_s.max(b.from_s + end / 250.0).min(end);
        Rectangle::new([(b.from_s, 0.0), (to, top)], FAULT_COLOUR.mix(0.13).filled())
    })
}

/// Names of the faults, placed so that they don't overlap.
pub(super) fn fault_labels(
    bands: &[FaultInterval],
    end: f64,
    top: f64,
) -> Vec<Text<'static, (f64, f64), String>> {
    // Labels that would lie on one another go to the next of four lines.
    let mut used_to = [f64::MIN; 4];
    let labels = bands.iter().filter(|b| b.from_s < end).filter_map(|b| {
        let label = if b.struck > 0 { format!("{} ({})", b.kind, b.struck) } else { b.kind.clone() };
        let width = label.len() as f64 * end * 0.0085;
        let line = used_to.iter().position(|to| *to <= b.from_s)?;
        used_to[line] = b.from_s + width;
        let style = ("sans-serif", 12).into_font().color(&FAULT_COLOUR.mix(0.9));
        Some(Text::new(label, (b.from_s, top * (0.995 - 0.055 * line as f64)), style))
    });
    labels.collect()
}

type Axes = Cartesian2d<RangedCoordf64, RangedCoordf64>;

/// Draws the legend of the labelled series.
pub(super) fn draw_legend<'a, 'b: 'a>(chart: &mut ChartContext<'a, SVGBackend<'b>, Axes>) -> DrawResult {
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.2))
        .label_font(("sans-serif", 13))
        .draw()
}
