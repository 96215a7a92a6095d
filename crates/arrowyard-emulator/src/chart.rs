//! Charts of a run: throughput by second, and the latency target by kind, with the fault schedule.

use std::path::Path;

use plotters::prelude::*;

use crate::scenario::{RunResult, Scenario};

type ChartResult<T> = Result<T, Box<dyn std::error::Error>>;

/// Draws requested and served operations by second as SVG.
///
/// # Errors
/// If the file cannot be written.
pub fn draw_throughput(scenario: &Scenario, result: &RunResult, file: &Path) -> ChartResult<()> {
    let max_requests =
        result.counts_by_second.iter().map(|(_, requested, _)| *requested).max().unwrap_or(1).max(1);
    let area = SVGBackend::new(file, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("Day {}: operations asked and served", scenario.seed);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..scenario.seconds, 0.0..max_requests as f64 * 1.35)?;
    chart.configure_mesh().x_desc("seconds").y_desc("operations a second").disable_x_mesh().draw()?;
    for (index, fault) in scenario.faults.iter().enumerate() {
        let (from, until) = (fault.at, (fault.at + fault.duration_s.max(0.2)).min(scenario.seconds));
        let color = Palette99::pick(index + 3);
        let top = max_requests as f64 * 1.35;
        let band = Rectangle::new([(from, 0.0), (until, top)], color.mix(0.18).filled());
        chart.draw_series([band])?;
        let height = max_requests as f64 * (1.28 - 0.07 * (index % 3) as f64);
        let name = Text::new(format!("{:?}", fault.kind), (from, height), ("sans-serif", 13).into_font());
        chart.draw_series([name])?;
    }
    let series = |count_of: fn(&(i64, u64, u64)) -> u64| {
        result
            .counts_by_second
            .iter()
            .map(move |counts| (counts.0 as f64 + 0.5, count_of(counts) as f64))
            .collect::<Vec<_>>()
    };
    let requested =
        chart.draw_series(LineSeries::new(series(|(_, requested, _)| *requested), BLUE.stroke_width(2)))?;
    requested.label("asked").legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLUE));
    let served = chart.draw_series(LineSeries::new(series(|(_, _, served)| *served), RED.stroke_width(2)))?;
    served.label("served").legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], RED));
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}

/// Draws the ratio of operations within the latency target by kind and half-second as SVG, with surges and
/// faults.
///
/// # Errors
/// If the file cannot be written.
pub fn draw_kinds(scenario: &Scenario, result: &RunResult, file: &Path) -> ChartResult<()> {
    let area = SVGBackend::new(file, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let divided = if scenario.divide_hosts { "divided" } else { "not divided" };
    let title =
        format!("{} routers, hosts {divided}: part of the operations inside their aim", scenario.routers);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..scenario.seconds, 0.0..1.15)?;
    chart.configure_mesh().x_desc("seconds").y_desc("part in aim").disable_x_mesh().draw()?;
    let surges =
        scenario.surges.iter().map(|surge| (surge.at, surge.duration_s, format!("more {}", surge.kind)));
    let faults =
        scenario.faults.iter().map(|fault| (fault.at, fault.duration_s, format!("{:?}", fault.kind)));
    for (index, (from, duration_s, name)) in surges.chain(faults).enumerate() {
        let until = (from + duration_s.max(0.2)).min(scenario.seconds);
        let band =
            Rectangle::new([(from, 0.0), (until, 1.15)], Palette99::pick(index + 3).mix(0.15).filled());
        chart.draw_series([band])?;
        let height = 1.13 - 0.035 * (index % 4) as f64;
        chart.draw_series([Text::new(name, (from, height), ("sans-serif", 12).into_font())])?;
    }
    for (index, (kind, stats)) in result.stats_by_kind.iter().enumerate() {
        let color = Palette99::pick(index).to_rgba();
        let at = |half_second: i64| arrowyard_types::Timestamp::from_micros(half_second * 500_000);
        let point = |half_second: i64| {
            let (total, within_target) = stats.count_between(at(half_second), at(half_second + 1));
            (total > 0).then(|| (half_second as f64 * 0.5 + 0.25, within_target as f64 / total as f64))
        };
        let points: Vec<(f64, f64)> = (0..(scenario.seconds * 2.0) as i64).filter_map(point).collect();
        let line = chart.draw_series(LineSeries::new(points, color.stroke_width(2)))?;
        line.label(*kind).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], color));
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::LowerRight)
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()?;
    area.present()?;
    Ok(())
}
