//! Routers and whoever divides, with words lost, doubled and late between them: what routers go by never sums up to more
//! than the host's places, and with news flowing the parts come to what is owed.

use arrowyard_fair_shares::{
    Allocation, AllocationLeases, Allocator, HostInfo, RouterId, ServiceDemand, ServiceId, ShareConfig,
    weighted_max_min,
};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

const HOST: &str = "h";
const SLOTS: u32 = 5;
const HOST_INFO: HostInfo<'static> = HostInfo { id: HOST, group: "g", slots: SLOTS };

fn permits() -> f64 {
    f64::from(arrowyard_fair_shares::permits_for_slots(SLOTS)) / 1000.0
}

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1000)
}

struct Edge {
    leases: AllocationLeases,
    /// By service: what its clients want, in places.
    wants: Vec<f64>,
}

impl Edge {
    fn cap(&self, now: Timestamp, service: ServiceId, config: &ShareConfig) -> Option<f64> {
        let caps = self.leases.caps(now, HOST, &[], config);
        caps.into_iter().find(|(of, _)| *of == service).map(|(_, cap)| f64::from(cap) / 1000.0)
    }

    /// What it runs: what is wanted, up to its part.
    fn needs(&self, now: Timestamp, config: &ShareConfig) -> Vec<ServiceDemand> {
        let of = |(number, wants): (usize, &f64)| {
            let service = ServiceId(number as u32);
            let runs = self.cap(now, service, config).unwrap_or(f64::INFINITY).min(*wants);
            ServiceDemand {
                service,
                in_flight: (runs * 1000.0) as u32,
                queued: ((wants - runs) * 1000.0) as u32,
            }
        };
        self.wants.iter().enumerate().map(of).collect()
    }
}

type Said = (RouterId, u64, u64, Vec<ServiceDemand>);

/// A step of a history: who wants what, which words arrive, how much time passes.
#[derive(Clone, Debug)]
enum Step {
    Want(usize, usize, f64),
    /// A router tells its need.
    Tell(usize),
    /// The word at this place of those under way arrives; it stays, if it is doubled.
    ToAllocator(usize, bool),
    ToRouter(usize, bool),
    LoseToAllocator(usize),
    LoseToRouter(usize),
    Divide,
    Pass(i64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0..4_usize, 0..3_usize, 0.0..8.0_f64).prop_map(|(who, service, wants)| Step::Want(who, service, wants)),
        4 => (0..4_usize).prop_map(Step::Tell),
        6 => (0..8_usize, prop::bool::weighted(0.1)).prop_map(|(place, doubled)| Step::ToAllocator(place, doubled)),
        6 => (0..8_usize, prop::bool::weighted(0.1)).prop_map(|(place, doubled)| Step::ToRouter(place, doubled)),
        1 => (0..8_usize).prop_map(Step::LoseToAllocator),
        1 => (0..8_usize).prop_map(Step::LoseToRouter),
        4 => Just(Step::Divide),
        3 => (1..60_i64).prop_map(Step::Pass),
        1 => (200..900_i64).prop_map(Step::Pass),
    ]
}

struct World {
    now: i64,
    config: ShareConfig,
    allocator: Allocator,
    edges: Vec<Edge>,
    up: Vec<Said>,
    down: Vec<(RouterId, Allocation)>,
    asked: Vec<String>,
}

impl World {
    fn new(edges: usize) -> World {
        let mut config = ShareConfig::default();
        for name in ["a", "b", "c"] {
            config.service_id(name);
        }
        let edge = |_| Edge { leases: AllocationLeases::default(), wants: vec![0.0; 3] };
        let allocator = Allocator::start(at(0), 7, TimeDelta::ZERO);
        World {
            now: 0,
            config,
            allocator,
            edges: (0..edges).map(edge).collect(),
            up: Vec::new(),
            down: Vec::new(),
            asked: Vec::new(),
        }
    }

    fn tell(&mut self, who: usize) {
        let now = at(self.now);
        let edge = &mut self.edges[who];
        let echo = edge.leases.next_report(now);
        let needs = edge.needs(now, &self.config);
        self.up.push((RouterId(who as u64), echo, edge.leases.last_applied(HOST).1, needs));
    }

    fn divide(&mut self) {
        let division = self.allocator.allocate(at(self.now), &self.config, self.edges.len() as u32);
        self.down.extend(division.allocations);
        self.asked.extend(division.poll);
    }

    fn up(&mut self, place: usize, doubled: bool) {
        if place < self.up.len() {
            let (router, echo, answers, needs) =
                if doubled { self.up[place].clone() } else { self.up.remove(place) };
            self.allocator.record_demand(at(self.now), &HOST_INFO, router, (echo, answers), needs);
        }
    }

    fn down(&mut self, place: usize, doubled: bool) {
        if place < self.down.len() {
            let (router, allot) = if doubled { self.down[place].clone() } else { self.down.remove(place) };
            self.edges[router.0 as usize].leases.apply(at(self.now), allot);
        }
    }

    /// The sum of what routers that were told anything go by, over all services that are held.
    fn sum(&self) -> f64 {
        let caps = |edge: &Edge| -> f64 {
            (0..3).filter_map(|service| edge.cap(at(self.now), ServiceId(service), &self.config)).sum()
        };
        self.edges.iter().map(caps).sum()
    }

    fn settle(&mut self, rounds: usize) {
        for _ in 0..rounds {
            (0..self.edges.len()).for_each(|who| self.tell(who));
            while !self.up.is_empty() {
                self.up(0, false);
            }
            self.now += 11;
            self.divide();
            while !self.down.is_empty() {
                self.down(0, false);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn whatever_is_lost_doubled_and_late_parts_sum_up_to_no_more_than_the_places(
        steps in prop::collection::vec(step(), 1..160),
    ) {
        let mut world = World::new(4);
        for step in steps {
            match step {
                Step::Want(who, service, wants) => world.edges[who].wants[service] = wants,
                Step::Tell(who) => world.tell(who),
                Step::ToAllocator(place, doubled) => world.up(place, doubled),
                Step::ToRouter(place, doubled) => world.down(place, doubled),
                Step::LoseToAllocator(place) if place < world.up.len() => drop(world.up.remove(place)),
                Step::LoseToRouter(place) if place < world.down.len() => drop(world.down.remove(place)),
                Step::Divide => world.divide(),
                Step::Pass(ms) => world.now += ms,
                _ => {}
            }
            let sum = world.sum();
            prop_assert!(sum <= permits() + 0.01, "{sum} places at {}", world.now);
        }
    }

    #[test]
    fn with_news_flowing_parts_come_to_max_min_within_four_rounds(
        wants in prop::collection::vec(prop::collection::vec(0.0..6.0_f64, 3), 2..6),
    ) {
        let mut world = World::new(wants.len());
        world.edges.iter_mut().zip(&wants).for_each(|(edge, wants)| edge.wants.clone_from(wants));
        world.settle(4);
        let asked: Vec<f64> = (0..3).map(|service| wants.iter().map(|of| of[service]).sum()).collect();
        let asks: Vec<(ServiceId, f64)> =
            asked.iter().enumerate().map(|(of, wants)| (ServiceId(of as u32), *wants)).collect();
        let owed = weighted_max_min(permits(), &world.config.claims(permits(), &asks));
        for service in 0..3 {
            let id = ServiceId(service as u32);
            let ran: f64 = world
                .edges
                .iter()
                .map(|edge| edge.cap(at(world.now), id, &world.config).unwrap_or(f64::INFINITY).min(edge.wants[service]))
                .sum();
            prop_assert!((ran - owed[service]).abs() <= 0.1 * owed[service] + 0.3, "{service}: {ran}, owed {owed:?}");
        }
    }
}

#[test]
fn a_router_that_is_cut_off_shrinks_to_its_fixed_part_and_what_it_had_passes_on() {
    let mut world = World::new(2);
    world.edges[0].wants = vec![20.0, 0.0, 0.0];
    world.edges[1].wants = vec![0.0, 2.0, 0.0];
    world.settle(4);
    let has = world.edges[0].cap(at(world.now), ServiceId(0), &world.config).expect("it is held");
    assert!((7.5..=8.1).contains(&has), "{has}");
    // The other one wants the same, and is heard; the first one is not any more.
    world.edges[1].wants = vec![20.0, 2.0, 0.0];
    let cut_at = world.now;
    let mut last = has;
    while world.now < cut_at + 1400 {
        world.tell(1);
        while !world.up.is_empty() {
            world.up(0, false);
        }
        world.now += 20;
        world.divide();
        let down = std::mem::take(&mut world.down);
        for (router, allot) in down.into_iter().filter(|(router, _)| *router == RouterId(1)) {
            world.edges[router.0 as usize].leases.apply(at(world.now), allot);
        }
        let now = world.edges[0].cap(at(world.now), ServiceId(0), &world.config).expect("it is held");
        assert!(now <= last + 1e-9, "it is never more than it was");
        last = now;
    }
    let needs = [ServiceDemand { service: ServiceId(0), in_flight: 1000, queued: 19_000 }];
    let caps = world.edges[0].leases.caps(at(world.now), HOST, &needs, &world.config);
    assert_eq!(caps, [(ServiceId(0), 5000)], "half of the places: there are two routers");
    let passed = world.edges[1].cap(at(world.now), ServiceId(0), &world.config).expect("it is held");
    assert!(passed > 7.0, "{passed}");
}

#[test]
fn an_older_holder_of_the_duty_is_not_heard_and_a_new_one_divides_nothing_before_old_leases_end() {
    let mut world = World::new(1);
    let old = |number| Allocation {
        host: HOST.into(),
        fence: 6,
        number,
        overloaded: true,
        caps: vec![(ServiceId(0), 9000)],
        ..Allocation::default()
    };
    let leases = &mut world.edges[0].leases;
    assert!(
        leases.apply(at(0), Allocation { fence: 7, number: 1, caps: vec![(ServiceId(0), 100)], ..old(1) })
    );
    assert!(!leases.apply(at(1), old(99)));
    let mut new = Allocator::start(at(0), 8, TimeDelta::from_millis(1500));
    let needs = vec![
        ServiceDemand { service: ServiceId(0), in_flight: 9000, queued: 0 },
        ServiceDemand { service: ServiceId(1), in_flight: 9000, queued: 0 },
    ];
    for ms in (0..2600).step_by(100) {
        new.record_demand(at(ms), &HOST_INFO, RouterId(0), (1 + ms as u64, 0), needs.clone());
        let said = new.allocate(at(ms), &world.config, 1).allocations;
        assert!(said.is_empty() || ms >= 2500, "{said:?} at {ms}");
    }
    new.record_demand(at(2700), &HOST_INFO, RouterId(0), (9000, 0), needs);
    assert!(!new.allocate(at(2700), &world.config, 1).allocations.is_empty());
}

#[test]
fn who_wants_less_than_it_is_owed_goes_free_and_a_calm_host_is_free_again() {
    let mut world = World::new(2);
    world.edges[0].wants = vec![30.0, 0.0, 0.0];
    world.settle(4);
    let alone =
        world.edges[0].cap(at(world.now), ServiceId(0), &world.config).expect("it wants more than there is");
    assert!((alone - permits()).abs() < 0.1, "one that is alone has all places: {alone}");
    world.edges[1].wants = vec![0.0, 1.0, 0.0];
    world.settle(3);
    let beside = world.edges[0].cap(at(world.now), ServiceId(0), &world.config).expect("it is held");
    assert!((beside - permits() + 1.0).abs() < 0.1, "{beside}");
    assert_eq!(
        world.edges[1].cap(at(world.now), ServiceId(1), &world.config),
        None,
        "it wants less than it is owed"
    );
    world.edges[0].wants = vec![1.0, 0.0, 0.0];
    world.settle(40);
    assert!(!world.edges[0].leases.is_overloaded(HOST));
    assert!(!world.edges[1].leases.is_overloaded(HOST));
}

#[test]
fn routers_with_little_need_are_asked_once_a_host_is_overloaded_and_not_before() {
    let mut world = World::new(3);
    world.edges[0].wants = vec![4.0, 0.0, 0.0];
    world.settle(1);
    assert!(world.asked.is_empty(), "it is not pressed");
    world.edges[0].wants = vec![30.0, 0.0, 0.0];
    world.settle(1);
    assert_eq!(world.asked, [HOST]);
}

/// Two hosts of one group and two services that want both: divided by what was owed before, each service had one moment all
/// of both and the next one nothing.
#[test]
fn hosts_of_one_group_come_to_one_division_and_stay_there() {
    let mut config = ShareConfig::default();
    let services = [config.service_id("a"), config.service_id("b")];
    let mut allocator = Allocator::start(at(0), 7, TimeDelta::ZERO);
    let hosts = ["h1", "h2"].map(|id| HostInfo { id, group: "g", slots: SLOTS });
    for round in 0..40_i64 {
        for host in &hosts {
            let needs =
                services.map(|service| ServiceDemand { service, in_flight: 2000, queued: 20_000 }).to_vec();
            allocator.record_demand(at(round * 20), host, RouterId(0), (1 + round as u64, 0), needs);
        }
        allocator.allocate(at(round * 20), &config, 1);
        if round < 4 {
            continue;
        }
        for service in services {
            let owed: f64 = allocator
                .status()
                .iter()
                .filter(|row| row.service == service)
                .map(|row| row.fair_share)
                .sum();
            assert!((owed - permits()).abs() < 0.2, "round {round}: {owed} of {}", 2.0 * permits());
        }
    }
}
