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
