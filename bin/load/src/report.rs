//! The table and the charts of a run.

use crate::{
    error::{CliResult, LoadError},
    record::{Outcome, RunResult},
};
use plotters::prelude::{
    AreaSeries, ChartBuilder, Color, IntoDrawingArea, LineSeries, RED, RGBColor, SVGBackend, WHITE,
};
use std::path::Path;

/// One value per second, and the colour of the line.
type Series = (Vec<f64>, RGBColor);

const SIZE: (u32, u32) = (1000, 700);
const GREEN: RGBColor = RGBColor(40, 140, 70);
const ORANGE: RGBColor = RGBColor(230, 140, 20);
const BLUE: RGBColor = RGBColor(40, 80, 200);

/// Prints the result of a run as a table.
pub fn print_table(result: &RunResult) {
    println!(
        "kind              answered  refused   unknown   broken    p50 ms    p95 ms    p99 ms    first p95 ms"
    );
    for (name, kind) in &result.kinds {
        let count = |outcomes: &[Outcome]| -> u64 {
            outcomes.iter().filter_map(|outcome| kind.outcomes.get(outcome)).sum()
        };
        println!(
            "{name:<16}  {:<8}  {:<8}  {:<8}  {:<8}  {:<8.1}  {:<8.1}  {:<8.1}  {:<8.1}",
            count(&[Outcome::Answered]),
            count(&[Outcome::RefusedNotRun]),
            count(&[Outcome::RefusedUnknown]),
            count(&[
                Outcome::Broken,
                Outcome::Unreachable,
                Outcome::Unanswered,
                Outcome::Late,
                Outcome::Wrong
            ]),
            kind.p50_ms,
            kind.p95_ms,
            kind.p99_ms,
            kind.first_byte_p95_ms,
        );
    }
    println!("answered in time  {:.3}%", result.answered_share() * 100.0);
    println!("run twice         {}", result.run_twice);
    println!("false \"no\"        {}", result.false_no);
    println!("above cold limit  {}", result.ledger.above_cold_limit);
    println!("ledgers complete  {}", result.ledger.is_complete);
    let serving: Vec<String> = result
        .seconds
        .iter()
        .map(|second| {
            second.groups_serving.map_or_else(|| "-".to_owned(), |groups| groups.to_string())
        })
        .collect();
    println!("groups serving    {}", serving.join(" "));
}

/// Writes an SVG file with charts of outcomes, latency and serving groups over time.
pub fn draw_charts(result: &RunResult, file: &Path) -> CliResult {
    let root = SVGBackend::new(file, SIZE).into_drawing_area();
    let file_error = |e: &dyn std::fmt::Display| LoadError::file(file, e);
    root.fill(&WHITE).map_err(|e| file_error(&e))?;
    let areas = root.split_evenly((3, 1));
    let answered = count_by_second(result, |outcome| outcome == Outcome::Answered);
    let refused = count_by_second(result, |outcome| {
        matches!(outcome, Outcome::RefusedNotRun | Outcome::RefusedUnknown)
    });
    let failures = count_by_second(result, |outcome| {
        !matches!(outcome, Outcome::Answered | Outcome::RefusedNotRun | Outcome::RefusedUnknown)
    });
    let latency = result.seconds.iter().map(|second| second.p95_ms).collect::<Vec<_>>();
    let groups = result.seconds.iter().map(|second| second.groups_serving.unwrap_or(0) as f64);
    let panels: [(&str, Vec<Series>); 3] = [
        (
            "requests by the second in which they were due: answered (green), refused (orange), failed (red)",
            vec![(answered, GREEN), (refused, ORANGE), (failures, RED)],
        ),
        ("p95 latency of answered requests in ms", vec![(latency, BLUE)]),
        ("groups serving", vec![(groups.collect(), BLUE)]),
    ];
    for (area, (caption, lines)) in areas.iter().zip(panels) {
        let max_value = lines.iter().flat_map(|(values, _)| values).copied().fold(1.0, f64::max);
        let seconds = result.seconds.len().max(1) as f64;
        let mut chart = ChartBuilder::on(area)
            .caption(caption, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(48)
            .build_cartesian_2d(0.0..seconds, 0.0..max_value * 1.1)
            .map_err(|e| file_error(&e))?;
        chart.configure_mesh().x_desc("s").draw().map_err(|e| file_error(&e))?;
        for (values, color) in lines {
            let points: Vec<(f64, f64)> =
                values.iter().enumerate().map(|(second, value)| (second as f64, *value)).collect();
            let filled = AreaSeries::new(points.clone(), 0.0, color.mix(0.15));
            chart.draw_series(filled).map_err(|e| file_error(&e))?;
            chart.draw_series(LineSeries::new(points, color)).map_err(|e| file_error(&e))?;
        }
    }
    root.present().map_err(|e| file_error(&e))
}

/// Counts the requests of each second whose outcome satisfies `is_counted`.
fn count_by_second(result: &RunResult, is_counted: impl Fn(Outcome) -> bool) -> Vec<f64> {
    result
        .seconds
        .iter()
        .map(|second| {
            let counts = second.outcomes.iter().filter(|(outcome, _)| is_counted(**outcome));
            counts.map(|(_, count)| *count as f64).sum()
        })
        .collect()
}
