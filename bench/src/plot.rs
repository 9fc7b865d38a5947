//! Plots of latency percentiles over time.

use std::path::Path;
use std::time::Duration;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, PathElement, SVGBackend,
    WHITE,
};

use crate::outcome::{self, Outcome, Outcomes};

/// Interval of the time axis that one point covers.
const STEP: Duration = Duration::from_secs(10);

/// Width and height of a plot, in pixels.
const SIZE: (u32, u32) = (720, 320);

/// A line of a plot.
#[derive(Debug, Clone)]
pub(crate) struct Line {
    pub(crate) label: String,
    /// Time in seconds and latency in milliseconds.
    pub(crate) points: Vec<(f64, f64)>,
}

/// A plot of lines over time.
#[derive(Debug, Clone)]
pub(crate) struct Plot {
    /// File name without extension.
    pub(crate) name: String,
    pub(crate) title: String,
    pub(crate) lines: Vec<Line>,
}

/// Line of the 95th percentile of the time to first token, of the requests that `filter` selects.
pub(crate) fn first_token_line(
    label: &str,
    outcomes: &Outcomes,
    filter: impl Fn(&Outcome) -> bool,
) -> Line {
    let mut points = Vec::new();
    let last = outcomes.requests.iter().map(|request| request.arrived_at).max();
    let mut from = Duration::ZERO;
    while from < last.unwrap_or_default() {
        let is_in_step = |request: &Outcome| {
            (from..from + STEP).contains(&request.arrived_at) && filter(request)
        };
        let p95_ms = outcome::quantile_ms(outcomes.first_tokens(is_in_step), 0.95);
        points.push((from.as_secs_f64(), p95_ms));
        from += STEP;
    }
    Line { label: label.to_owned(), points }
}

/// Draws a plot as SVG.
pub(crate) fn draw(plot: &Plot, path: &Path) -> anyhow::Result<()> {
    let points = || plot.lines.iter().flat_map(|line| &line.points);
    let last_s = points().map(|(x, _)| *x).fold(1.0, f64::max);
    let max_ms = points().map(|(_, y)| *y).fold(1.0, f64::max);
    let area = SVGBackend::new(path, SIZE).into_drawing_area();
    area.fill(&WHITE)?;
    let mut chart = ChartBuilder::on(&area)
        .caption(&plot.title, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(56)
        .build_cartesian_2d(0.0..last_s, 0.0..max_ms * 1.05)?;
    let mut mesh = chart.configure_mesh();
    mesh.x_desc("s").y_desc("first token, 95th percentile, ms").draw()?;
    for (index, line) in plot.lines.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let series = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], color);
        chart.draw_series(series)?.label(&line.label).legend(legend);
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).draw()?;
    area.present()?;
    Ok(())
}
