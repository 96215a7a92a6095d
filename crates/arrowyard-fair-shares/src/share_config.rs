//! The configured share of each class, and the numbers that identify classes within a process.

use std::collections::BTreeMap;

use arrowyard_config::Configuration;

use crate::max_min::Contender;

/// Process-local number of a class; between processes a class is identified by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ClassId(pub u32);

/// The configured share of a class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassShare {
    pub name: String,
    /// Relative weight, 0 or more.
    pub weight: f64,
    /// The fraction of a host's permits, 0 to 1, that is guaranteed when there is demand for it.
    pub min_fraction: f64,
    /// The fraction of a host's permits, 0 to 1, that the class may use at most.
    pub max_fraction: f64,
    /// Whether other classes may use its guaranteed part while it has no demand for it.
    pub lends: bool,
    /// Whether it may use more than its part of all permits by weight.
    pub borrows: bool,
}

impl ClassShare {
    /// A share with a weight only: no guarantee, no limit, lending and borrowing allowed.
    #[must_use]
    pub fn with_weight(name: &str, weight: f64) -> Self {
        ClassShare {
            name: name.to_string(),
            weight,
            min_fraction: 0.0,
            max_fraction: 1.0,
            lends: true,
            borrows: true,
        }
    }
}

/// The shares of all known classes. A class keeps its number for the life of the process; its share may
/// change.
#[derive(Clone, Debug, Default)]
pub struct ShareConfig {
    ids: BTreeMap<String, ClassId>,
    classes: Vec<ClassShare>,
}

/// The weight of a class without a configured share: that of the lowest priority in use.
const DEFAULT_WEIGHT: f64 = 1.0;

/// The maximum number of distinct classes; all further names share the class `OVERFLOW_CLASS`.
const MAX_CLASSES: usize = 4096;
const OVERFLOW_CLASS: &str = "(others)";

impl ShareConfig {
    /// The number of a class; an unknown name gets the next free number.
    pub fn class_id(&mut self, name: &str) -> ClassId {
        // Names come from other processes; the limit bounds memory.
        let name = if self.classes.len() >= MAX_CLASSES && !self.ids.contains_key(name) {
            OVERFLOW_CLASS
        } else {
            name
        };
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = ClassId(self.classes.len() as u32);
        self.ids.insert(name.to_string(), id);
        self.classes.push(ClassShare::with_weight(name, DEFAULT_WEIGHT));
        id
    }

    /// The name of a class; empty if the number is unknown.
    #[must_use]
    pub fn class_name(&self, id: ClassId) -> &str {
        self.classes.get(id.0 as usize).map_or("", |class| &class.name)
    }

    /// Replaces the share of a class.
    pub fn set_share(&mut self, class: ClassShare) -> ClassId {
        let id = self.class_id(&class.name);
        self.classes[id.0 as usize] = class;
        id
    }

    /// Applies the operator's configuration. Classes that it no longer names fall back to the default
    /// weight.
    pub fn apply_configuration(&mut self, configuration: &Configuration) {
        let reset = |class: &mut ClassShare| *class = ClassShare::with_weight(&class.name, DEFAULT_WEIGHT);
        self.classes.iter_mut().for_each(reset);
        for route in configuration.routes() {
            self.set_share(ClassShare::with_weight(&route.share, route.default_weight()));
        }
        for share in configuration.shares().cloned() {
            let arrowyard_config::Share { name, weight, min_fraction, max_fraction, lends, borrows } = share;
            self.set_share(ClassShare { name, weight, min_fraction, max_fraction, lends, borrows });
        }
    }

    /// The weight of a class; the default if the number is unknown.
    #[must_use]
    pub fn weight(&self, id: ClassId) -> f64 {
        self.classes.get(id.0 as usize).map_or(DEFAULT_WEIGHT, |class| class.weight)
    }

    /// The contenders on a host with `permits` permits, one for each of `demands` (in permits), in the same
    /// order.
    #[must_use]
    pub fn contenders(&self, permits: f64, demands: &[(ClassId, f64)]) -> Vec<Contender> {
        let class_share = |id: &ClassId| self.classes.get(id.0 as usize);
        let total_weight: f64 =
            demands.iter().filter_map(|(id, _)| class_share(id)).map(|class| class.weight).sum();
        let contender = |(id, demand): &(ClassId, f64)| {
            let Some(class) = class_share(id) else {
                return Contender {
                    demand: *demand,
                    weight: DEFAULT_WEIGHT,
                    guaranteed: 0.0,
                    limit: permits,
                    held_elsewhere: 0.0,
                };
            };
            let weight_part = if total_weight > 0.0 { class.weight / total_weight } else { 0.0 };
            let limit = if class.borrows { class.max_fraction } else { class.max_fraction.min(weight_part) };
            Contender {
                demand: *demand,
                weight: class.weight,
                guaranteed: class.min_fraction * permits,
                limit: limit * permits,
                held_elsewhere: 0.0,
            }
        };
        demands.iter().map(contender).collect()
    }

    /// Permits reserved for classes that do not lend: their guarantees, less their current demand.
    #[must_use]
    pub fn reserved(&self, permits: f64, demands: &[(ClassId, f64)]) -> f64 {
        let reserved_for = |(index, class): (usize, &ClassShare)| {
            let demand =
                demands.iter().find(|(id, _)| id.0 as usize == index).map_or(0.0, |(_, demand)| *demand);
            if class.lends { 0.0 } else { (class.min_fraction * permits - demand).max(0.0) }
        };
        self.classes.iter().enumerate().map(reserved_for).sum::<f64>().min(permits)
    }
}
