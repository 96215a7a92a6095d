//! Each file of `tests/days` is a day that once broke a rule, or shows that one holds. None of them may.

use std::path::Path;

use arrowyard_emulator::{Day, play};

fn holds(path: &Path) -> datatest_stable::Result<()> {
    let day: Day = serde_saphyr::from_str(&std::fs::read_to_string(path)?)?;
    let played = play(&day);
    if !played.breaches.is_empty() {
        return Err(format!("{:#?}", &played.breaches[..played.breaches.len().min(5)]).into());
    }
    let served = played.tally.served + played.tally.late;
    if (served as f64) < day.least_served * played.tally.asked as f64 || played.tally.asked < 100 {
        return Err(format!("too little was served: {:?}", played.tally).into());
    }
    Ok(())
}

datatest_stable::harness! { { test = holds, root = "tests/days", pattern = r"\.yaml$" } }
