//! The configured share of each service, and the numbers that stand for service names within a process.

use std::collections::BTreeMap;

use arrowyard_config::Configuration;

use crate::max_min::Claim;

/// Process-local number of a service; between processes a service is identified by name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u32);

/// The configured share of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    pub name: String,
    /// Relative weight, 0 or more.
    pub weight: f64,
    /// Fractions of a host's permits, 0 to 1: guaranteed when there is demand for them, and the upper limit.
    pub min_fraction: f64,
    pub max_fraction: f64,
    /// Whether other services may use its guaranteed part while it has no demand for it.
    pub lends: bool,
    /// Whether it may exceed its weight's part of all permits.
    pub borrows: bool,
}

impl ServiceShare {
    /// A share with a weight only: no guarantee, no limit, lending and borrowing allowed.
    #[must_use]
    pub fn with_weight(name: &str, weight: f64) -> Self {
        ServiceShare {
            name: name.to_string(),
            weight,
            min_fraction: 0.0,
            max_fraction: 1.0,
            lends: true,
            borrows: true,
        }
    }
}

/// The shares of all known services. A service keeps its number for the life of the process; its share may
/// change.
#[derive(Clone, Debug, Default)]
pub struct ShareConfig {
    ids: BTreeMap<String, ServiceId>,
    services: Vec<ServiceShare>,
}

/// The weight of a service without a configured share: that of the lowest priority in use.
const DEFAULT_WEIGHT: f64 = 1.0;

/// Services that are told apart; all further ones are counted together under `OVERFLOW_SERVICE`.
const MAX_SERVICES: usize = 4096;
const OVERFLOW_SERVICE: &str = "(others)";

impl ShareConfig {
    /// The number of a service; an unknown name gets the next free number.
    pub fn service_id(&mut self, name: &str) -> ServiceId {
        // Names come from other processes; the limit bounds memory.
        let name = if self.services.len() >= MAX_SERVICES && !self.ids.contains_key(name) {
            OVERFLOW_SERVICE
        } else {
            name
        };
        if let Some(id) = self.ids.get(name) {
            return *id;
        }
        let id = ServiceId(self.services.len() as u32);
        self.ids.insert(name.to_string(), id);
        self.services.push(ServiceShare::with_weight(name, DEFAULT_WEIGHT));
        id
    }

    /// The name of a service; empty if the number is unknown.
    #[must_use]
    pub fn service_name(&self, id: ServiceId) -> &str {
        self.services.get(id.0 as usize).map_or("", |service| &service.name)
    }

    /// Replaces the share of a service.
    pub fn set_share(&mut self, service: ServiceShare) -> ServiceId {
        let id = self.service_id(&service.name);
        self.services[id.0 as usize] = service;
        id
    }

    /// Applies the operator's configuration. Services that it no longer names fall back to the default
    /// weight.
    pub fn apply_configuration(&mut self, configuration: &Configuration) {
        let reset =
            |service: &mut ServiceShare| *service = ServiceShare::with_weight(&service.name, DEFAULT_WEIGHT);
        self.services.iter_mut().for_each(reset);
        for route in configuration.routes() {
            self.set_share(ServiceShare::with_weight(&route.share, route.default_weight()));
        }
        for share in configuration.shares().cloned() {
            let arrowyard_config::Share { name, weight, min_fraction, max_fraction, lends, borrows } = share;
            self.set_share(ServiceShare { name, weight, min_fraction, max_fraction, lends, borrows });
        }
    }

    /// The weight of a service.
    #[must_use]
    pub fn weight(&self, id: ServiceId) -> f64 {
        self.services.get(id.0 as usize).map_or(DEFAULT_WEIGHT, |service| service.weight)
    }

    /// The claims on a host with `permits` permits, one for each of `demands` (in permits), in the same
    /// order.
    #[must_use]
    pub fn claims(&self, permits: f64, demands: &[(ServiceId, f64)]) -> Vec<Claim> {
        let share_of = |id: &ServiceId| self.services.get(id.0 as usize);
        let total_weight: f64 =
            demands.iter().filter_map(|(id, _)| share_of(id)).map(|service| service.weight).sum();
        let claim = |(id, demand): &(ServiceId, f64)| {
            let Some(service) = share_of(id) else {
                return Claim {
                    demand: *demand,
                    weight: DEFAULT_WEIGHT,
                    guaranteed: 0.0,
                    limit: permits,
                    held_elsewhere: 0.0,
                };
            };
            let weight_part = if total_weight > 0.0 { service.weight / total_weight } else { 0.0 };
            let limit =
                if service.borrows { service.max_fraction } else { service.max_fraction.min(weight_part) };
            Claim {
                demand: *demand,
                weight: service.weight,
                guaranteed: service.min_fraction * permits,
                limit: limit * permits,
                held_elsewhere: 0.0,
            }
        };
        demands.iter().map(claim).collect()
    }

    /// Permits reserved for services that do not lend: their guarantees, less their current demand.
    #[must_use]
    pub fn reserved(&self, permits: f64, demands: &[(ServiceId, f64)]) -> f64 {
        let reserved = |(index, service): (usize, &ServiceShare)| {
            let demand =
                demands.iter().find(|(id, _)| id.0 as usize == index).map_or(0.0, |(_, demand)| *demand);
            if service.lends { 0.0 } else { (service.min_fraction * permits - demand).max(0.0) }
        };
        self.services.iter().enumerate().map(reserved).sum::<f64>().min(permits)
    }
}
