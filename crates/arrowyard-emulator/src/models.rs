//! The decisions that must never go wrong, as they ship and not as copies, under a model checker: every order of events
//! within the bounds of a scene. Variants that are wrong on purpose show that a scene would find what it is about.

pub mod ledger;
pub mod promotion;

use stateright::{Checker, HasDiscoveries, Model};

/// The name of the property by which a scene shows that something happens in it at all.
const LIVES: &str = "lives";

/// What exploring a scene came to.
#[derive(Clone, Debug)]
pub struct Checked {
    pub states: usize,
    /// Whether what the scene is about was seen to happen.
    pub lives: bool,
    /// Each property that does not hold, with the state in which it does not and the steps that lead there.
    pub broken: Vec<(&'static str, String)>,
}

/// Explores a scene to its end; one that is flawed, up to the first thing that is wrong.
fn explored<M>(scene: M, flawed: bool) -> Checked
where
    M: Model + Send + Sync + 'static,
    M::State: Clone + std::fmt::Debug + std::hash::Hash + PartialEq + Send + Sync + 'static,
    M::Action: Clone + std::fmt::Debug + PartialEq + Send + Sync + 'static,
{
    let builder = scene.checker().threads(4);
    let builder = if flawed { builder.finish_when(HasDiscoveries::AnyFailures) } else { builder };
    let checker = builder.spawn_dfs().join();
    let found = checker.discoveries();
    let lives = found.contains_key(LIVES);
    let broken = found.into_iter().filter(|(name, _)| *name != LIVES).map(|(name, path)| {
        let way = format!("{:?}\n{:#?}", path.last_state(), path.clone().into_actions());
        (name, way)
    });
    Checked { states: checker.unique_state_count(), lives, broken: broken.collect() }
}
