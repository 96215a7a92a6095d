//! Paired comparison of two builds or two settings on the same generated scenarios, with confidence
//! intervals.

use std::fmt;
use std::str::FromStr;

use statrs::distribution::{ContinuousCDF, StudentsT};

use crate::scenario::{RunResult, Scenario, random_scenario, run_scenario};

/// Metrics of one run. Other builds of the program report them in the printed form.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RunMetrics {
    pub seed: u64,
    /// Share of operations served within the latency target.
    pub served: f64,
    /// Share of operations served late.
    pub late: f64,
    /// Share of operations rejected or failed.
    pub failed: f64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub violations: u64,
}

/// Names of the compared metrics.
pub const METRIC_NAMES: [&str; 6] = ["served", "late", "lost", "p50 ms", "p99 ms", "broken"];

impl RunMetrics {
    /// Derives the metrics of a run.
    pub fn new(seed: u64, result: &RunResult) -> Self {
        let counts = result.counts;
        let share = |count: u64| count as f64 / counts.total.max(1) as f64;
        RunMetrics {
            seed,
            served: share(counts.served),
            late: share(counts.late),
            failed: share(counts.rejected + counts.failed),
            p50_ms: result.p50_ms,
            p99_ms: result.p99_ms,
            violations: result.violations.len() as u64,
        }
    }

    /// Values of the metrics in the order of [`METRIC_NAMES`].
    pub fn values(&self) -> [f64; 6] {
        [self.served, self.late, self.failed, self.p50_ms, self.p99_ms, self.violations as f64]
    }
}

impl fmt::Display for RunMetrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let [served, late, failed, p50, p99, violations] = self.values();
        write!(f, "{} {served:.6} {late:.6} {failed:.6} {p50:.3} {p99:.3} {violations}", self.seed)
    }
}

impl FromStr for RunMetrics {
    type Err = String;

    fn from_str(line: &str) -> Result<Self, String> {
        let fields: Vec<&str> = line.split_ascii_whitespace().collect();
        let [seed, served, late, failed, p50_ms, p99_ms, violations] = fields[..] else {
            return Err(format!("invalid result line: {line}"));
        };
        let parse_number = |field: &str| {
            let parsed = field.parse::<f64>().ok().filter(|value| value.is_finite());
            parsed.ok_or_else(|| format!("invalid number: {field}"))
        };
        let parse_integer =
            |field: &str| field.parse::<u64>().map_err(|_| format!("invalid integer: {field}"));
        Ok(RunMetrics {
            seed: parse_integer(seed)?,
            served: parse_number(served)?,
            late: parse_number(late)?,
            failed: parse_number(failed)?,
            p50_ms: parse_number(p50_ms)?,
            p99_ms: parse_number(p99_ms)?,
            violations: parse_integer(violations)?,
        })
    }
}

/// Applies the setting `name=value` to a scenario, with the names of the scenario files.
///
/// # Errors
/// If the setting or its value is invalid.
pub fn apply_setting(scenario: &Scenario, setting: &str) -> Result<Scenario, String> {
    let (name, value) =
        setting.split_once('=').ok_or_else(|| format!("expected NAME=VALUE, got {setting}"))?;
    let mut scenario = scenario.clone();
    let invalid = || format!("invalid value {value} for {name}");
    match name {
        "controls" => scenario.controls = value.parse().map_err(|_| invalid())?,
        "routers" => scenario.routers = value.parse().map_err(|_| invalid())?,
        "services" => scenario.services = value.parse().map_err(|_| invalid())?,
        "users" => scenario.users = value.parse().map_err(|_| invalid())?,
        "think-ms" => scenario.think_ms = value.parse().map_err(|_| invalid())?,
        "limit" => scenario.connection_limit = value.parse().map_err(|_| invalid())?,
        "tolerance" => scenario.tolerance = value.parse().map_err(|_| invalid())?,
        _ => {
            let names = "controls, routers, services, users, think-ms, limit, tolerance";
            return Err(format!("unknown setting {name}; expected one of {names}"));
        }
    }
    // A deployment without one of these cannot run.
    let required = [
        scenario.controls,
        scenario.routers,
        scenario.services,
        scenario.connection_limit as usize,
        scenario.think_ms.max(0) as usize,
    ];
    if required.contains(&0) { Err(invalid()) } else { Ok(scenario) }
}

/// Runs generated scenarios with settings; `on_metrics` receives the metrics of each run.
///
/// # Errors
/// If a setting is invalid.
pub fn run_seeds(
    seeds: std::ops::Range<u64>,
    settings: &[String],
    mut on_metrics: impl FnMut(RunMetrics),
) -> Result<(), String> {
    for seed in seeds {
        let scenario = settings
            .iter()
            .try_fold(random_scenario(seed), |scenario, setting| apply_setting(&scenario, setting))?;
        on_metrics(RunMetrics::new(seed, &run_scenario(&scenario)));
    }
    Ok(())
}

/// Paired difference of a metric between two results with the same seeds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Difference {
    /// Mean of the first result.
    pub first: f64,
    /// Mean of the second result.
    pub second: f64,
    /// Mean difference, second minus first.
    pub mean: f64,
    /// Half the width of the 95% confidence interval of the mean difference (Student's t).
    pub margin: f64,
}

/// Compares two results run by run and returns the differences in the order of [`METRIC_NAMES`].
///
/// # Errors
/// If the seeds of the two differ, or if there are fewer than two pairs.
pub fn compare(first: &[RunMetrics], second: &[RunMetrics]) -> Result<[Difference; 6], String> {
    let seeds = |runs: &[RunMetrics]| runs.iter().map(|metrics| metrics.seed).collect::<Vec<_>>();
    if seeds(first) != seeds(second) {
        return Err("the two results have different seeds".to_string());
    }
    let pairs = first.len() as f64;
    let distribution =
        StudentsT::new(0.0, 1.0, pairs - 1.0).map_err(|_| "at least two scenarios are required")?;
    Ok(std::array::from_fn(|metric| {
        let values_of = |runs: &[RunMetrics]| -> Vec<f64> {
            runs.iter().map(|metrics| metrics.values()[metric]).collect()
        };
        let (first_values, second_values) = (values_of(first), values_of(second));
        let mean_of = |values: &[f64]| values.iter().sum::<f64>() / pairs;
        let differences: Vec<f64> =
            first_values.iter().zip(&second_values).map(|(first, second)| second - first).collect();
        let mean = mean_of(&differences);
        let sum_of_squares: f64 = differences.iter().map(|value| (value - mean).powi(2)).sum();
        let standard_error = (sum_of_squares / (pairs - 1.0) / pairs).sqrt();
        Difference {
            first: mean_of(&first_values),
            second: mean_of(&second_values),
            mean,
            margin: distribution.inverse_cdf(0.975) * standard_error,
        }
    }))
}
