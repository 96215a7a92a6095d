//! A day as a picture: operations asked and served by second, and when what happened.

use std::path::Path;

use plotters::prelude::*;

use crate::day::{Day, Played};

type Fault<T> = Result<T, Box<dyn std::error::Error>>;

/// Draws a day into a file, as SVG.
///
/// # Errors
/// When the file cannot be written.
pub fn draw(day: &Day, played: &Played, file: &Path) -> Fault<()> {
    let most = played.seconds.iter().map(|(_, asked, _)| *asked).max().unwrap_or(1).max(1);
    let area = SVGBackend::new(file, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let title = format!("Day {}: operations asked and served", day.seed);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..day.seconds, 0.0..most as f64 * 1.35)?;
    chart.configure_mesh().x_desc("seconds").y_desc("operations a second").disable_x_mesh().draw()?;
    for (place, fault) in day.faults.iter().enumerate() {
        let (from, till) = (fault.at, (fault.at + fault.for_s.max(0.2)).min(day.seconds));
        let colour = Palette99::pick(place + 3);
        let top = most as f64 * 1.35;
        let band = Rectangle::new([(from, 0.0), (till, top)], colour.mix(0.18).filled());
        chart.draw_series([band])?;
        let height = most as f64 * (1.28 - 0.07 * (place % 3) as f64);
        let name = Text::new(format!("{:?}", fault.what), (from, height), ("sans-serif", 13).into_font());
        chart.draw_series([name])?;
    }
    let line = |of: fn(&(i64, u64, u64)) -> u64| {
        played
            .seconds
            .iter()
            .map(move |second| (second.0 as f64 + 0.5, of(second) as f64))
            .collect::<Vec<_>>()
    };
    let asked = chart.draw_series(LineSeries::new(line(|second| second.1), BLUE.stroke_width(2)))?;
    asked.label("asked").legend(|(x, y)| PathElement::new([(x, y), (x + 18, y)], BLUE));
    let served = chart.draw_series(LineSeries::new(line(|second| second.2), RED.stroke_width(2)))?;
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

/// Draws what each kind kept of its pace, by half a second, into a file, as SVG; surges and faults behind it.
///
/// # Errors
/// When the file cannot be written.
pub fn draw_paces(day: &Day, played: &Played, file: &Path) -> Fault<()> {
    let area = SVGBackend::new(file, (900, 420)).into_drawing_area();
    area.fill(&WHITE)?;
    let divided = if day.divides { "divided" } else { "not divided" };
    let title = format!("{} routers, hosts {divided}: part of the operations inside their aim", day.routers);
    let mut chart = ChartBuilder::on(&area)
        .caption(title, ("sans-serif", 20))
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(52)
        .build_cartesian_2d(0.0..day.seconds, 0.0..1.15)?;
    chart.configure_mesh().x_desc("seconds").y_desc("part in aim").disable_x_mesh().draw()?;
    let surges = day.surges.iter().map(|surge| (surge.at, surge.for_s, format!("more {}", surge.kind)));
    let faults = day.faults.iter().map(|fault| (fault.at, fault.for_s, format!("{:?}", fault.what)));
    for (place, (from, for_s, name)) in surges.chain(faults).enumerate() {
        let till = (from + for_s.max(0.2)).min(day.seconds);
        let band = Rectangle::new([(from, 0.0), (till, 1.15)], Palette99::pick(place + 3).mix(0.15).filled());
        chart.draw_series([band])?;
        let height = 1.13 - 0.035 * (place % 4) as f64;
        chart.draw_series([Text::new(name, (from, height), ("sans-serif", 12).into_font())])?;
    }
    for (place, (kind, kept)) in played.kinds.iter().enumerate() {
        let colour = Palette99::pick(place).to_rgba();
        let at = |half: i64| arrowyard_types::Timestamp::from_micros(half * 500_000);
        let point = |half: i64| {
            let (asked, in_aim) = kept.between(at(half), at(half + 1));
            (asked > 0).then(|| (half as f64 * 0.5 + 0.25, in_aim as f64 / asked as f64))
        };
        let points: Vec<(f64, f64)> = (0..(day.seconds * 2.0) as i64).filter_map(point).collect();
        let line = chart.draw_series(LineSeries::new(points, colour.stroke_width(2)))?;
        line.label(*kind).legend(move |(x, y)| PathElement::new([(x, y), (x + 18, y)], colour));
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
