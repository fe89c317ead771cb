//! Parts that the plots share: fonts, colours, the bands and labels of faults, and the legend.

use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    BLACK, Cartesian2d, ChartContext, Color, DrawingArea, DrawingAreaErrorKind, IntoFont, RGBColor,
    Rectangle, SVGBackend, SeriesLabelPosition, Text, WHITE,
};

use crate::record::{FaultInterval, Record};

/// Font of axis labels, with its size in pixels.
pub(super) const TEXT: (&str, i32) = ("sans-serif", 14);
/// The palette of Okabe and Ito, which can be distinguished with any kind of colour vision.
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
/// The drawing area of one plot.
pub(super) type Root<'a> = DrawingArea<SVGBackend<'a>, Shift>;
/// The result of drawing a plot.
pub(super) type DrawResult = Result<(), DrawingAreaErrorKind<std::io::Error>>;

/// Labels an axis with whole numbers.
pub(super) fn integer_label(x: &f64) -> String {
    format!("{x:.0}")
}

/// The end of the time axis in seconds: the end of the day or of its series, whichever is later, and at least
/// 1.
pub(super) fn end_seconds(record: &Record) -> f64 {
    (record.series.asked.len() as f64 * record.series.step_s).max(record.length_s).max(1.0)
}

/// Coloured bands from the start to the end of each fault.
pub(super) fn fault_bands<'a>(
    faults: &'a [FaultInterval],
    end: f64,
    top: f64,
) -> impl Iterator<Item = Rectangle<(f64, f64)>> + 'a {
    faults.iter().filter(move |f| f.from_s < end).map(move |f| {
        // Faults without a duration get a minimum width, so that they are visible.
        let to = f.to_s.max(f.from_s + end / 250.0).min(end);
        Rectangle::new([(f.from_s, 0.0), (to, top)], FAULT_COLOUR.mix(0.13).filled())
    })
}

/// Labels with the kind of each fault and the number of its targets, placed so that they don't overlap.
pub(super) fn fault_labels(
    faults: &[FaultInterval],
    end: f64,
    top: f64,
) -> Vec<Text<'static, (f64, f64), String>> {
    // A label that would overlap another is placed on the next of four lines, and omitted if all are
    // occupied.
    let mut occupied_until = [f64::MIN; 4];
    let labels = faults.iter().filter(|f| f.from_s < end).filter_map(|f| {
        let label = if f.struck > 0 { format!("{} ({})", f.kind, f.struck) } else { f.kind.clone() };
        let width = label.len() as f64 * end * 0.0085;
        let line = occupied_until.iter().position(|until| *until <= f.from_s)?;
        occupied_until[line] = f.from_s + width;
        let style = ("sans-serif", 12).into_font().color(&FAULT_COLOUR.mix(0.9));
        Some(Text::new(label, (f.from_s, top * (0.995 - 0.055 * line as f64)), style))
    });
    labels.collect()
}

type Axes = Cartesian2d<RangedCoordf64, RangedCoordf64>;

/// Draws the legend with all labelled series.
pub(super) fn draw_legend<'a, 'b: 'a>(chart: &mut ChartContext<'a, SVGBackend<'b>, Axes>) -> DrawResult {
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperRight)
        .background_style(WHITE.mix(0.85))
        .border_style(BLACK.mix(0.2))
        .label_font(("sans-serif", 13))
        .draw()
}
