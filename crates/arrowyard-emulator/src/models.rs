//! Model checking of the ledger and of promotion. The code under test is the code that ships; stateright
//! explores every order of events within the bounds of a scenario. A mutation
//! introduces a deliberate fault, which the scenarios must detect.

pub mod ledger;
pub mod promotion;

use stateright::{Checker, HasDiscoveries, Model};

/// Name of the property that holds if a scenario reaches the events that it covers. Without them, the other
/// properties would hold trivially.
const PROGRESS: &str = "lives";

/// Result of exploring a scenario.
#[derive(Clone, Debug)]
pub struct CheckResult {
    /// Number of distinct states.
    pub unique_states: usize,
    /// Whether the scenario reached the events that it covers.
    pub progressed: bool,
    /// Each violated property, with the violating state and the actions that lead to it.
    pub violations: Vec<(&'static str, String)>,
}

/// Explores a scenario exhaustively, or up to the first violation if the model is mutated.
fn explore<M>(scenario: M, mutated: bool) -> CheckResult
where
    M: Model + Send + Sync + 'static,
    M::State: Clone + std::fmt::Debug + std::hash::Hash + PartialEq + Send + Sync + 'static,
    M::Action: Clone + std::fmt::Debug + PartialEq + Send + Sync + 'static,
{
    let builder = scenario.checker().threads(4);
    let builder = if mutated { builder.finish_when(HasDiscoveries::AnyFailures) } else { builder };
    let checker = builder.spawn_dfs().join();
    let discoveries = checker.discoveries();
    let progressed = discoveries.contains_key(PROGRESS);
    let violations = discoveries.into_iter().filter(|(name, _)| *name != PROGRESS).map(|(name, path)| {
        let trace = format!("{:?}\n{:#?}", path.last_state(), path.clone().into_actions());
        (name, trace)
    });
    CheckResult { unique_states: checker.unique_state_count(), progressed, violations: violations.collect() }
}
