//! Routers and the allocator exchange messages that may be lost, duplicated or delayed: the caps in force
//! never exceed the host's permits, and while messages arrive they converge to the fair shares.

use arrowyard_fair_shares::{
    Allocation, AllocationLeases, Allocator, ClassDemand, ClassId, HostInfo, RouterId, ShareConfig,
    weighted_max_min,
};
use arrowyard_types::{TimeDelta, Timestamp};
use proptest::prelude::*;

const HOST: &str = "h";
const CAPACITY: u32 = 5;
const HOST_INFO: HostInfo<'static> = HostInfo { id: HOST, group: "g", capacity: CAPACITY };

fn permits() -> f64 {
    f64::from(arrowyard_fair_shares::permits_for_capacity(CAPACITY)) / 1000.0
}

fn at(ms: i64) -> Timestamp {
    Timestamp::from_micros(1_000_000 + ms * 1000)
}

struct RouterModel {
    leases: AllocationLeases,
    /// By class: its clients' demand, in permits.
    demands: Vec<f64>,
}

impl RouterModel {
    fn cap(&self, now: Timestamp, class: ClassId, config: &ShareConfig) -> Option<f64> {
        let caps = self.leases.caps(now, HOST, &[], config);
        caps.into_iter().find(|(other, _)| *other == class).map(|(_, cap)| f64::from(cap) / 1000.0)
    }

    /// The demand as the router reports it: in flight up to the cap, the rest queued.
    fn reported_demands(&self, now: Timestamp, config: &ShareConfig) -> Vec<ClassDemand> {
        let reported = |(number, demand): (usize, &f64)| {
            let class = ClassId(number as u32);
            let in_flight = self.cap(now, class, config).unwrap_or(f64::INFINITY).min(*demand);
            ClassDemand {
                class,
                in_flight: (in_flight * 1000.0) as u32,
                queued: ((demand - in_flight) * 1000.0) as u32,
            }
        };
        self.demands.iter().enumerate().map(reported).collect()
    }
}

type Report = (RouterId, u64, u64, Vec<ClassDemand>);

/// A step of a history.
#[derive(Clone, Debug)]
enum Step {
    SetDemand(usize, usize, f64),
    /// A router sends a report.
    Report(usize),
    /// The message with this index arrives; it stays in flight if it is duplicated.
    DeliverReport(usize, bool),
    DeliverAllocation(usize, bool),
    LoseReport(usize),
    LoseAllocation(usize),
    Allocate,
    Advance(i64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        1 => (0..4_usize, 0..3_usize, 0.0..8.0_f64).prop_map(|(router, class, demand)| Step::SetDemand(router, class, demand)),
        4 => (0..4_usize).prop_map(Step::Report),
        6 => (0..8_usize, prop::bool::weighted(0.1)).prop_map(|(index, duplicate)| Step::DeliverReport(index, duplicate)),
        6 => (0..8_usize, prop::bool::weighted(0.1)).prop_map(|(index, duplicate)| Step::DeliverAllocation(index, duplicate)),
        1 => (0..8_usize).prop_map(Step::LoseReport),
        1 => (0..8_usize).prop_map(Step::LoseAllocation),
        4 => Just(Step::Allocate),
        3 => (1..60_i64).prop_map(Step::Advance),
        1 => (200..900_i64).prop_map(Step::Advance),
    ]
}

struct Simulation {
    now_ms: i64,
    config: ShareConfig,
    allocator: Allocator,
    routers: Vec<RouterModel>,
    /// Messages in flight.
    reports: Vec<Report>,
    allocations: Vec<(RouterId, Allocation)>,
    polled: Vec<String>,
}

impl Simulation {
    fn new(routers: usize) -> Simulation {
        let mut config = ShareConfig::default();
        for name in ["a", "b", "c"] {
            config.class_id(name);
        }
        let router = |_| RouterModel { leases: AllocationLeases::default(), demands: vec![0.0; 3] };
        let allocator = Allocator::start(at(0), 7, TimeDelta::ZERO);
        Simulation {
            now_ms: 0,
            config,
            allocator,
            routers: (0..routers).map(router).collect(),
            reports: Vec::new(),
            allocations: Vec::new(),
            polled: Vec::new(),
        }
    }

    fn send_report(&mut self, index: usize) {
        let now = at(self.now_ms);
        let router = &mut self.routers[index];
        let report = router.leases.next_report(now);
        let demands = router.reported_demands(now, &self.config);
        self.reports.push((RouterId(index as u64), report, router.leases.last_applied(HOST).1, demands));
    }

    fn allocate(&mut self) {
        let round = self.allocator.allocate(at(self.now_ms), &self.config, self.routers.len() as u32);
        self.allocations.extend(round.allocations);
        self.polled.extend(round.poll);
    }

    fn deliver_report(&mut self, index: usize, duplicate: bool) {
        if index < self.reports.len() {
            let (router, report, applied, demands) =
                if duplicate { self.reports[index].clone() } else { self.reports.remove(index) };
            self.allocator.record_demand(at(self.now_ms), &HOST_INFO, router, (report, applied), demands);
        }
    }

    fn deliver_allocation(&mut self, index: usize, duplicate: bool) {
        if index < self.allocations.len() {
            let (router, allocation) =
                if duplicate { self.allocations[index].clone() } else { self.allocations.remove(index) };
            self.routers[router.0 as usize].leases.apply(at(self.now_ms), allocation);
        }
    }

    /// The sum of all caps in force, over all routers and classes.
    fn sum_of_caps(&self) -> f64 {
        let caps = |router: &RouterModel| -> f64 {
            (0..3).filter_map(|class| router.cap(at(self.now_ms), ClassId(class), &self.config)).sum()
        };
        self.routers.iter().map(caps).sum()
    }

    /// Runs rounds in which all messages arrive.
    fn run_rounds(&mut self, rounds: usize) {
        for _ in 0..rounds {
            (0..self.routers.len()).for_each(|router| self.send_report(router));
            while !self.reports.is_empty() {
                self.deliver_report(0, false);
            }
            self.now_ms += 11;
            self.allocate();
            while !self.allocations.is_empty() {
                self.deliver_allocation(0, false);
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn caps_never_exceed_the_permits_whatever_is_lost_duplicated_or_delayed(
        steps in prop::collection::vec(step(), 1..160),
    ) {
        let mut simulation = Simulation::new(4);
        for step in steps {
            match step {
                Step::SetDemand(router, class, demand) => simulation.routers[router].demands[class] = demand,
                Step::Report(router) => simulation.send_report(router),
                Step::DeliverReport(index, duplicate) => simulation.deliver_report(index, duplicate),
                Step::DeliverAllocation(index, duplicate) => simulation.deliver_allocation(index, duplicate),
                Step::LoseReport(index) if index < simulation.reports.len() => drop(simulation.reports.remove(index)),
                Step::LoseAllocation(index) if index < simulation.allocations.len() => drop(simulation.allocations.remove(index)),
                Step::Allocate => simulation.allocate(),
                Step::Advance(ms) => simulation.now_ms += ms,
                _ => {}
            }
            let sum = simulation.sum_of_caps();
            prop_assert!(sum <= permits() + 0.01, "{sum} permits at {} ms", simulation.now_ms);
        }
    }

    #[test]
    fn caps_converge_to_max_min_within_four_rounds(
        demands in prop::collection::vec(prop::collection::vec(0.0..6.0_f64, 3), 2..6),
    ) {
        let mut simulation = Simulation::new(demands.len());
        simulation.routers.iter_mut().zip(&demands).for_each(|(router, demands)| router.demands.clone_from(demands));
        simulation.run_rounds(4);
        let totals: Vec<f64> = (0..3).map(|class| demands.iter().map(|router_demands| router_demands[class]).sum()).collect();
        let totals: Vec<(ClassId, f64)> =
            totals.iter().enumerate().map(|(index, demand)| (ClassId(index as u32), *demand)).collect();
        let fair_shares = weighted_max_min(permits(), &simulation.config.contenders(permits(), &totals));
        for class in 0..3 {
            let id = ClassId(class as u32);
            let in_flight: f64 = simulation
                .routers
                .iter()
                .map(|router| router.cap(at(simulation.now_ms), id, &simulation.config).unwrap_or(f64::INFINITY).min(router.demands[class]))
                .sum();
            prop_assert!((in_flight - fair_shares[class]).abs() <= 0.1 * fair_shares[class] + 0.3, "class {class}: {in_flight} in flight, fair shares {fair_shares:?}");
        }
    }
}

#[test]
fn an_unreachable_router_shrinks_to_its_even_part_and_the_rest_goes_to_others() {
    let mut simulation = Simulation::new(2);
    simulation.routers[0].demands = vec![20.0, 0.0, 0.0];
    simulation.routers[1].demands = vec![0.0, 2.0, 0.0];
    simulation.run_rounds(4);
    let cap = simulation.routers[0]
        .cap(at(simulation.now_ms), ClassId(0), &simulation.config)
        .expect("class 0 is limited");
    assert!((7.5..=8.1).contains(&cap), "{cap}");
    // The second router has the same demand now; the first one no longer exchanges messages.
    simulation.routers[1].demands = vec![20.0, 2.0, 0.0];
    let cut_off_ms = simulation.now_ms;
    let mut last_cap = cap;
    while simulation.now_ms < cut_off_ms + 1400 {
        simulation.send_report(1);
        while !simulation.reports.is_empty() {
            simulation.deliver_report(0, false);
        }
        simulation.now_ms += 20;
        simulation.allocate();
        let allocations = std::mem::take(&mut simulation.allocations);
        for (router, allocation) in allocations.into_iter().filter(|(router, _)| *router == RouterId(1)) {
            simulation.routers[router.0 as usize].leases.apply(at(simulation.now_ms), allocation);
        }
        let current_cap = simulation.routers[0]
            .cap(at(simulation.now_ms), ClassId(0), &simulation.config)
            .expect("class 0 is limited");
        assert!(current_cap <= last_cap + 1e-9, "the cap never grows without messages");
        last_cap = current_cap;
    }
    let demands = [ClassDemand { class: ClassId(0), in_flight: 1000, queued: 19_000 }];
    let caps = simulation.routers[0].leases.caps(at(simulation.now_ms), HOST, &demands, &simulation.config);
    assert_eq!(caps, [(ClassId(0), 5000)], "half of the permits, as there are two routers");
    let other_cap = simulation.routers[1]
        .cap(at(simulation.now_ms), ClassId(0), &simulation.config)
        .expect("class 0 is limited");
    assert!(other_cap > 7.0, "{other_cap}");
}

#[test]
fn an_older_fence_is_ignored_and_a_new_holder_waits_for_the_end_of_old_leases() {
    let mut simulation = Simulation::new(1);
    let old_allocation = |number| Allocation {
        host: HOST.into(),
        fence: 6,
        number,
        overloaded: true,
        caps: vec![(ClassId(0), 9000)],
        ..Allocation::default()
    };
    let leases = &mut simulation.routers[0].leases;
    assert!(leases.apply(
        at(0),
        Allocation { fence: 7, number: 1, caps: vec![(ClassId(0), 100)], ..old_allocation(1) }
    ));
    assert!(!leases.apply(at(1), old_allocation(99)));
    let mut new_allocator = Allocator::start(at(0), 8, TimeDelta::from_millis(1500));
    let demands = vec![
        ClassDemand { class: ClassId(0), in_flight: 9000, queued: 0 },
        ClassDemand { class: ClassId(1), in_flight: 9000, queued: 0 },
    ];
    for ms in (0..2600).step_by(100) {
        new_allocator.record_demand(at(ms), &HOST_INFO, RouterId(0), (1 + ms as u64, 0), demands.clone());
        let allocations = new_allocator.allocate(at(ms), &simulation.config, 1).allocations;
        assert!(allocations.is_empty() || ms >= 2500, "{allocations:?} at {ms} ms");
    }
    new_allocator.record_demand(at(2700), &HOST_INFO, RouterId(0), (9000, 0), demands);
    assert!(!new_allocator.allocate(at(2700), &simulation.config, 1).allocations.is_empty());
}

#[test]
fn demand_below_the_fair_share_is_not_limited_and_limits_end_with_the_overload() {
    let mut simulation = Simulation::new(2);
    simulation.routers[0].demands = vec![30.0, 0.0, 0.0];
    simulation.run_rounds(4);
    let cap_alone = simulation.routers[0]
        .cap(at(simulation.now_ms), ClassId(0), &simulation.config)
        .expect("the demand exceeds the permits");
    assert!((cap_alone - permits()).abs() < 0.1, "a single class has all permits: {cap_alone}");
    simulation.routers[1].demands = vec![0.0, 1.0, 0.0];
    simulation.run_rounds(3);
    let cap_shared = simulation.routers[0]
        .cap(at(simulation.now_ms), ClassId(0), &simulation.config)
        .expect("class 0 is limited");
    assert!((cap_shared - permits() + 1.0).abs() < 0.1, "{cap_shared}");
    assert_eq!(
        simulation.routers[1].cap(at(simulation.now_ms), ClassId(1), &simulation.config),
        None,
        "the demand is below the fair share"
    );
    simulation.routers[0].demands = vec![1.0, 0.0, 0.0];
    simulation.run_rounds(40);
    assert!(!simulation.routers[0].leases.is_overloaded(HOST));
    assert!(!simulation.routers[1].leases.is_overloaded(HOST));
}

#[test]
fn all_routers_are_polled_only_for_overloaded_hosts() {
    let mut simulation = Simulation::new(3);
    simulation.routers[0].demands = vec![4.0, 0.0, 0.0];
    simulation.run_rounds(1);
    assert!(simulation.polled.is_empty(), "the host is not overloaded");
    simulation.routers[0].demands = vec![30.0, 0.0, 0.0];
    simulation.run_rounds(1);
    assert_eq!(simulation.polled, [HOST]);
}

/// Two classes want both hosts of a group. Dividing each host by the previous round's shares would give a
/// class all permits of both hosts in one round and none in the next.
#[test]
fn hosts_of_one_group_converge_to_a_stable_division() {
    let mut config = ShareConfig::default();
    let classes = [config.class_id("a"), config.class_id("b")];
    let mut allocator = Allocator::start(at(0), 7, TimeDelta::ZERO);
    let hosts = ["h1", "h2"].map(|id| HostInfo { id, group: "g", capacity: CAPACITY });
    for round in 0..40_i64 {
        for host in &hosts {
            let demands =
                classes.map(|class| ClassDemand { class, in_flight: 2000, queued: 20_000 }).to_vec();
            allocator.record_demand(at(round * 20), host, RouterId(0), (1 + round as u64, 0), demands);
        }
        allocator.allocate(at(round * 20), &config, 1);
        if round < 4 {
            continue;
        }
        for class in classes {
            let share: f64 =
                allocator.status().iter().filter(|row| row.class == class).map(|row| row.fair_share).sum();
            assert!((share - permits()).abs() < 0.2, "round {round}: {share} of {}", 2.0 * permits());
        }
    }
}
