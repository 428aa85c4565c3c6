//! Plots of runs under overload as SVG.

use crate::experiment::overload::load::{Load, RANKS};
use crate::experiment::overload::report::{Report, Row};
use plotters::coord::Shift;
use plotters::prelude::*;
use std::path::{Path, PathBuf};

/// The size of one policy's chart in pixels.
const WIDTH: u32 = 800;
const HEIGHT: u32 = 260;

/// The colours of the ranks, most urgent first.
const COLOURS: [RGBColor; RANKS] = [
    RGBColor(200, 40, 40),
    RGBColor(40, 110, 200),
    RGBColor(60, 150, 70),
];

/// A plot could not be written.
#[derive(Debug, thiserror::Error)]
#[error("`{path}` could not be written: {problem}")]
pub struct Error {
    path: Box<str>,
    problem: Box<str>,
}

/// Writes one SVG for a pattern into `directory`: the share served in time by rank over time, a chart for each
/// policy. Returns its path.
pub fn write(directory: &Path, load: Load, reports: &[Report]) -> Result<PathBuf, Error> {
    let path = directory.join(format!("{load}.svg"));
    let reports: Vec<&Report> = reports
        .iter()
        .filter(|report| report.pattern == load)
        .collect();
    let drawn = draw(&path, &reports);
    drawn.map_err(|problem| Error {
        path: path.display().to_string().into(),
        problem: problem.to_string().into(),
    })?;
    Ok(path)
}

fn draw(path: &Path, reports: &[&Report]) -> Result<(), Box<dyn std::error::Error>> {
    let height = HEIGHT * u32::try_from(reports.len())?;
    let area = SVGBackend::new(path, (WIDTH, height)).into_drawing_area();
    area.fill(&WHITE)?;
    for (report, part) in reports.iter().zip(area.split_evenly((reports.len(), 1))) {
        chart(&part, report)?;
    }
    area.present()?;
    Ok(())
}

fn chart(
    area: &DrawingArea<SVGBackend, Shift>,
    report: &Report,
) -> Result<(), Box<dyn std::error::Error>> {
    let seconds = report.rows.iter().flat_map(|row| &row.by_second);
    let last = seconds.map(|(second, _)| *second).max().unwrap_or(0);
    let caption = format!("{}, {}: served in time", report.pattern, report.policy);
    let mut chart = ChartBuilder::on(area)
        .caption(caption, ("sans-serif", 16))
        .margin(8)
        .x_label_area_size(32)
        .y_label_area_size(44)
        .build_cartesian_2d(0f64..(last + 1) as f64, 0f64..100f64)?;
    chart
        .configure_mesh()
        .x_desc("time of sending, s")
        .y_desc("per cent")
        .draw()?;
    for row in &report.rows {
        let style = style(row);
        let points = row.by_second.iter();
        let points = points.map(|(second, share)| (*second as f64 + 0.5, *share));
        chart
            .draw_series(std::iter::once(PathElement::new(
                points.collect::<Vec<_>>(),
                style,
            )))?
            .label(format!("{} rank {}", row.callers, row.rank))
            .legend(move |(x, y)| PathElement::new(vec![(x, y), (x + 16, y)], style));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::LowerLeft)
        .draw()?;
    Ok(())
}

/// Lines of the usual callers are thin, those of a flood thick.
fn style(row: &Row) -> ShapeStyle {
    let colour = COLOURS[usize::from(row.rank.0) % RANKS];
    colour.stroke_width(if &*row.callers == "usual" { 1 } else { 3 })
}
