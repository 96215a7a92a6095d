//! Two builds, or two settings, on the same drawn days: what differs, day by day, and how sure that is.

use std::fmt;
use std::str::FromStr;

use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::day::{Day, Played, drawn, play};

/// What one day came to, as a line: two builds are compared by what they print.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Outcome {
    pub seed: u64,
    /// Operations served inside their aim, late, refused or failed, as shares of those asked.
    pub served: f64,
    pub late: f64,
    pub lost: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub broken: u64,
}

/// The figures that are compared, by name.
pub const FIGURES: [&str; 6] = ["served", "late", "lost", "p50 ms", "p99 ms", "broken"];

impl Outcome {
    pub fn of(seed: u64, played: &Played) -> Self {
        let tally = played.tally;
        let share = |count: u64| count as f64 / tally.asked.max(1) as f64;
        Outcome {
            seed,
            served: share(tally.served),
            late: share(tally.late),
            lost: share(tally.refused + tally.failed),
            p50_ms: played.p50_ms,
            p99_ms: played.p99_ms,
            broken: played.breaches.len() as u64,
        }
    }

    pub fn figures(&self) -> [f64; 6] {
        [self.served, self.late, self.lost, self.p50_ms, self.p99_ms, self.broken as f64]
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [served, late, lost, p50, p99, broken] = self.figures();
        write!(f, "{} {served:.6} {late:.6} {lost:.6} {p50:.3} {p99:.3} {broken}", self.seed)
    }
}

impl FromStr for Outcome {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let words: Vec<&str> = line.split_ascii_whitespace().collect();
        let [seed, served, late, lost, p50_ms, p99_ms, broken] = words[..] else {
            return Err(format!("not a day's outcome: {line}"));
        };
        let number = |word: &str| {
            let read = word.parse::<f64>().ok().filter(|number| number.is_finite());
            read.ok_or_else(|| format!("not a number: {word}"))
        };
        let whole = |word: &str| word.parse::<u64>().map_err(|_| format!("not a whole number: {word}"));
        Ok(Outcome {
            seed: whole(seed)?,
            served: number(served)?,
            late: number(late)?,
            lost: number(lost)?,
            p50_ms: number(p50_ms)?,
            p99_ms: number(p99_ms)?,
            broken: whole(broken)?,
        })
    }
}

/// Changes a setting of a day, `name=value`, by the names that a day's file has.
///
/// # Errors
/// When a day has no such setting, or not with such a value.
pub fn with(day: &Day, setting: &str) -> Result<Day, String> {
    let (name, value) = setting.split_once('=').ok_or_else(|| format!("not NAME=VALUE: {setting}"))?;
    let mut day = day.clone();
    let wrong = || format!("{name} cannot be {value}");
    match name {
        "controls" => day.controls = value.parse().map_err(|_| wrong())?,
        "routers" => day.routers = value.parse().map_err(|_| wrong())?,
        "services" => day.services = value.parse().map_err(|_| wrong())?,
        "users" => day.users = value.parse().map_err(|_| wrong())?,
        "think-ms" => day.think_ms = value.parse().map_err(|_| wrong())?,
        "limit" => day.limit = value.parse().map_err(|_| wrong())?,
        "tolerance" => day.tolerance = value.parse().map_err(|_| wrong())?,
        _ => {
            let names = "controls, routers, services, users, think-ms, limit, tolerance";
            return Err(format!("{name} is none of {names}"));
        }
    }
    // Danger: a deployment without one of these cannot be laid down, and no day of it means anything.
    let least = [day.controls, day.routers, day.services, day.limit as usize, day.think_ms.max(0) as usize];
    if least.contains(&0) { Err(wrong()) } else { Ok(day) }
}

/// Plays drawn days under settings; `each` is told of every one that is done.
///
/// # Errors
/// When a setting is none.
pub fn outcomes(
    days: std::ops::Range<u64>,
    settings: &[String],
    mut each: impl FnMut(Outcome),
) -> Result<(), String> {
    for seed in days {
        let day = settings.iter().try_fold(drawn(seed), |day, setting| with(&day, setting))?;
        each(Outcome::of(seed, &play(&day)));
    }
    Ok(())
}

/// What a figure differs by, second less first, day by day.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    pub first: f64,
    pub second: f64,
    pub mean: f64,
    /// Half of the interval in which the mean lies, 95 times of 100 (Student's t over the pairs).
    pub within: f64,
}

/// # Errors
/// When the two did not play the same days, or fewer than two.
pub fn compare(first: &[Outcome], second: &[Outcome]) -> Result<[Difference; 6], String> {
    let seeds = |outcomes: &[Outcome]| outcomes.iter().map(|one| one.seed).collect::<Vec<_>>();
    if seeds(first) != seeds(second) {
        return Err("the two did not play the same days".to_string());
    }
    let days = first.len() as f64;
    let student = StudentsT::new(0.0, 1.0, days - 1.0).map_err(|_| "two days at least are needed")?;
    Ok(std::array::from_fn(|figure| {
        let of =
            |outcomes: &[Outcome]| -> Vec<f64> { outcomes.iter().map(|one| one.figures()[figure]).collect() };
        let (one, other) = (of(first), of(second));
        let mean_of = |values: &[f64]| values.iter().sum::<f64>() / days;
        let apart: Vec<f64> = one.iter().zip(&other).map(|(one, other)| other - one).collect();
        let mean = mean_of(&apart);
        let squares: f64 = apart.iter().map(|value| (value - mean).powi(2)).sum();
        let error = (squares / (days - 1.0) / days).sqrt();
        Difference {
            first: mean_of(&one),
            second: mean_of(&other),
            mean,
            within: student.inverse_cdf(0.975) * error,
        }
    }))
}
