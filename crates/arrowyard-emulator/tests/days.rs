//! Runs each scenario of `tests/days`; none may violate an invariant.

use std::path::Path;

use arrowyard_emulator::{Scenario, run_scenario};

fn upholds_invariants(path: &Path) -> datatest_stable::Result<()> {
    let scenario: Scenario = serde_saphyr::from_str(&std::fs::read_to_string(path)?)?;
    let result = run_scenario(&scenario);
    if !result.violations.is_empty() {
        return Err(format!("{:#?}", &result.violations[..result.violations.len().min(5)]).into());
    }
    let served = result.counts.served + result.counts.late;
    if (served as f64) < scenario.min_served * result.counts.total as f64 || result.counts.total < 100 {
        return Err(format!("too few operations were served: {:?}", result.counts).into());
    }
    Ok(())
}

datatest_stable::harness! { { test = upholds_invariants, root = "tests/days", pattern = r"\.yaml$" } }
