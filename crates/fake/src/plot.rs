//! Line plots of experiment results.

use std::path::Path;

use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, LineSeries, Palette, Palette99, SVGBackend, WHITE,
};

/// A line of a plot.
#[derive(Clone, Debug, PartialEq)]
pub struct Series {
    /// Name in the legend.
    pub name: String,
    /// Points as (x, y).
    pub points: Vec<(f64, f64)>,
}

/// Width and height of a plot, in pixels.
const SIZE_PX: (u32, u32) = (900, 540);

/// Writes a line plot as SVG, which needs no installed fonts; `axes` labels x and y.
///
/// # Errors
///
/// Fails if the file can't be written or no series has a point.
pub fn plot_lines(
    path: &Path,
    title: &str,
    axes: (&str, &str),
    series: &[Series],
) -> Result<(), String> {
    let points = || series.iter().flat_map(|s| &s.points);
    if points().next().is_none() {
        return Err("no series has any points".to_owned());
    }
    let range = |of: fn(&(f64, f64)) -> f64| {
        let low = points().map(of).fold(f64::INFINITY, f64::min);
        let high = points().map(of).fold(f64::NEG_INFINITY, f64::max);
        (low.min(0.0), (high * 1.05).max(low + 1e-6))
    };
    let (x, y) = (range(|p| p.0), range(|p| p.1));
    let root = SVGBackend::new(path, SIZE_PX).into_drawing_area();
    let fail = |e: &dyn std::fmt::Display| e.to_string();
    root.fill(&WHITE).map_err(|e| fail(&e))?;
    let mut chart = ChartBuilder::on(&root)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(40)
        .y_label_area_size(60)
        .build_cartesian_2d(x.0..x.1, y.0..y.1)
        .map_err(|e| fail(&e))?;
    chart
        .configure_mesh()
        .x_desc(axes.0)
        .y_desc(axes.1)
        .draw()
        .map_err(|e| fail(&e))?;
    for (number, line) in series.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let drawn = LineSeries::new(line.points.iter().copied(), color.stroke_width(2));
        chart
            .draw_series(drawn)
            .map_err(|e| fail(&e))?
            .label(&line.name)
            .legend(move |(x, y)| {
                plotters::prelude::PathElement::new(vec![(x, y), (x + 18, y)], color)
            });
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .draw()
        .map_err(|e| fail(&e))?;
    root.present().map_err(|e| fail(&e))
}
