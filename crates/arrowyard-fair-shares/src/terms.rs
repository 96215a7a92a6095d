//! What services there are and what each may claim, in the operator's words; names to numbers.

use std::collections::BTreeMap;

use arrowyard_config::Configuration;

use crate::owed::Claim;

/// A service by its number in one process; between processes it goes by its name.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u32);

/// What the operator promises a service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    pub name: String,
    /// Its weight beside the others, from 0 on.
    pub share: f64,
    /// The parts of a host's places, 0 to 1, that it gets at least if it asks for them, and at most.
    pub least: f64,
    pub most: f64,
    /// Whether others may use its least while it does not ask for it.
    pub lends: bool,
    /// Whether it may have more than its weight's part of all places.
    pub borrows: bool,
}

impl Service {
    /// One of which nothing but a weight is said.
    #[must_use]
    pub fn plain(name: &str, share: f64) -> Self {
        Service { name: name.to_string(), share, least: 0.0, most: 1.0, lends: true, borrows: true }
    }
}

/// All services that are known here. Numbers are given once and kept; what a service may claim changes.
#[derive(Clone, Debug, Default)]
pub struct Terms {
    numbers: BTreeMap<String, ServiceId>,
    services: Vec<Service>,
}

/// The weight of a service of which nothing is said: that of the lowest priority that is in use.
const UNTOLD: f64 = 1.0;

/// Services that are told apart; the others count as one, under this name.
const MOST: usize = 4096;
const OTHERS: &str = "(others)";

impl Terms {
    /// The number of a service; one that was never heard of gets the next.
    pub fn id(&mut self, name: &str) -> ServiceId {
        // Danger: names that come from elsewhere, without end. Beyond so many they count as one.
        let name =
            if self.services.len() >= MOST && !self.numbers.contains_key(name) { OTHERS } else { name };
        if let Some(id) = self.numbers.get(name) {
            return *id;
        }
        let id = ServiceId(self.services.len() as u32);
        self.numbers.insert(name.to_string(), id);
        self.services.push(Service::plain(name, UNTOLD));
        id
    }

    #[must_use]
    pub fn name(&self, id: ServiceId) -> &str {
        self.services.get(id.0 as usize).map_or("", |service| &service.name)
    }

    /// What a service is promised from now on.
    pub fn promise(&mut self, service: Service) -> ServiceId {
        let id = self.id(&service.name);
        self.services[id.0 as usize] = service;
        id
    }

    /// What the operator's configuration says. Services that it does not name any more are promised nothing.
    pub fn configure(&mut self, configuration: &Configuration) {
        let plain = |service: &mut Service| *service = Service::plain(&service.name, UNTOLD);
        self.services.iter_mut().for_each(plain);
        for channel in configuration.channels() {
            self.promise(Service::plain(&channel.share, channel.default_weight()));
        }
        for share in configuration.shares().cloned() {
            let arrowyard_config::Share {
                name,
                weight,
                min_fraction: least,
                max_fraction: most,
                lends,
                borrows,
            } = share;
            self.promise(Service { name, share: weight, least, most, lends, borrows });
        }
    }

    /// The weight of a service.
    #[must_use]
    pub fn weight(&self, id: ServiceId) -> f64 {
        self.services.get(id.0 as usize).map_or(UNTOLD, |service| service.share)
    }

    /// The claims of those that ask, in their order: places asked for, of so many that there are.
    #[must_use]
    pub fn claims(&self, places: f64, asks: &[(ServiceId, f64)]) -> Vec<Claim> {
        let of = |id: &ServiceId| self.services.get(id.0 as usize);
        let shares: f64 = asks.iter().filter_map(|(id, _)| of(id)).map(|service| service.share).sum();
        let claim = |(id, demand): &(ServiceId, f64)| {
            let Some(service) = of(id) else {
                return Claim { demand: *demand, share: UNTOLD, least: 0.0, most: places, has: 0.0 };
            };
            let even = if shares > 0.0 { service.share / shares } else { 0.0 };
            let most = if service.borrows { service.most } else { service.most.min(even) };
            Claim {
                demand: *demand,
                share: service.share,
                least: service.least * places,
                most: most * places,
                has: 0.0,
            }
        };
        asks.iter().map(claim).collect()
    }

    /// Places that nobody but their owners may have: the least of services that do not lend, less what those ask for.
    #[must_use]
    pub fn kept_back(&self, places: f64, asks: &[(ServiceId, f64)]) -> f64 {
        let kept = |(place, service): (usize, &Service)| {
            let asked = asks.iter().find(|(id, _)| id.0 as usize == place).map_or(0.0, |(_, demand)| *demand);
            if service.lends { 0.0 } else { (service.least * places - asked).max(0.0) }
        };
        self.services.iter().enumerate().map(kept).sum::<f64>().min(places)
    }
}
