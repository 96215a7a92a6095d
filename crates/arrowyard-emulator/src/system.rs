//! A whole deployment in a world: control machines, routers, hosts, clients, operator, platform.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::rc::Rc;

use arrowyard_config::Settings;
use arrowyard_control::Control;
use arrowyard_pooler::RouterPlane;
use arrowyard_runtime::Plane;
use arrowyard_types::{TimeDelta, Timestamp};
use serde::{Deserialize, Serialize};

use crate::clients::Clients;
use crate::history::{Fresh, History, Shared};
use crate::host::{DatabaseHost, HostFaults, HostPlan};
use crate::operator::Operator;
use crate::platform::Platform;
use crate::shard::Shard;
use crate::world::{Disk, MachineId, World};

/// How large a deployment is and what is asked of it.
#[derive(Clone, Debug)]
pub struct Plan {
    pub seed: u64,
    pub controls: usize,
    pub routers: usize,
    pub services: usize,
    /// Users of each database; there are three databases a service.
    pub users: usize,
    pub think: TimeDelta,
    pub from: Timestamp,
    pub until: Timestamp,
    pub changes: Vec<Timestamp>,
    pub limit: u32,
    pub zones: usize,
    /// How many control machines may be lost at once.
    pub tolerance: u32,
    /// Whether the platform refuses a fence that is lower than one it has seen.
    pub fence_checked: bool,
    pub surges: Vec<Surge>,
    /// Whether pressed hosts are divided, and what the operator promises: the text of the list.
    pub divides: bool,
    pub shares: String,
}

/// More clients of one kind, for a while.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Surge {
    pub at: f64,
    pub for_s: f64,
    /// primary, bounded or own.
    pub kind: String,
    /// Users more of each service, and how long each rests, in milliseconds.
    pub users: usize,
    pub think_ms: i64,
    /// What they ask for takes hosts more work.
    #[serde(default)]
    pub costly: bool,
    /// At which routers they are; at all, if none is named.
    #[serde(default)]
    pub routers: Vec<usize>,
}

/// One host's place, and what outlives its process.
pub struct HostSeat {
    pub machine: MachineId,
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: String,
    pub service: usize,
    pub faults: Rc<RefCell<HostFaults>>,
    pub seq: Rc<RefCell<u64>>,
}

/// Addresses of control, as callers know them.
pub type Callable = Rc<RefCell<Vec<SocketAddrV4>>>;

/// A deployment.
pub struct System {
    pub world: World,
    pub plan: Plan,
    pub history: Shared,
    pub controls: Vec<MachineId>,
    pub disks: Vec<Rc<RefCell<Disk>>>,
    pub routers: Vec<MachineId>,
    pub hosts: Vec<HostSeat>,
    pub shards: Vec<Rc<RefCell<Shard>>>,
    pub fronts: Rc<RefCell<Vec<SocketAddrV4>>>,
    pub away: Rc<RefCell<bool>>,
    /// Where control takes calls, as callers know it; and the control machines that were taken away for good.
    pub callable: Callable,
    removed: Vec<usize>,
    lives: u64,
}

const CONTROL: u16 = 8782;
const FRONT: u16 = 8784;
const READINESS: u16 = 8785;
const INTERNAL: u16 = 7440;

fn ip(net: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, net, (number / 200) as u8, (number % 200 + 1) as u8)
}

fn zone(plan: &Plan, number: usize) -> String {
    format!("zone{}", number % plan.zones.max(1))
}

/// A control machine that is off, and its empty disk.
fn lay_control(world: &mut World, number: usize) -> (MachineId, Rc<RefCell<Disk>>) {
    let doors = vec![SocketAddrV4::new(ip(0, number), CONTROL), SocketAddrV4::new(ip(0, number), INTERNAL)];
    let disk = Rc::new(RefCell::new(Disk::default()));
    (world.add(&format!("core-{number}"), doors, disk.clone(), TimeDelta::from_millis(5)), disk)
}

/// The settings file of one machine.
fn settings(plan: &Plan, edge: bool, number: usize, first: bool, callable: &[SocketAddrV4]) -> Settings {
    let address = ip(if edge { 1 } else { 0 }, number);
    let seeds: Vec<String> = callable.iter().take(3).map(|seed| format!("  - \"{seed}\"")).collect();
    let doors = if edge {
        format!("  front: \"{address}:{FRONT}\"\n  readiness: \"{address}:{READINESS}\"")
    } else {
        format!("  control: \"{address}:{CONTROL}\"")
    };
    let node = format!("{}-{number}", if edge { "edge" } else { "core" });
    let text = format!(
        "node: \"{node}\"\nip: \"{address}\"\nzone: \"{}\"\nregion: \"r\"\nbind-addrs:\n{doors}\ninternal-ports:\n  - {INTERNAL}\n  \
         - 7455\nseeds:\n{}\nbootstrap: {first}\ndata-dir: {}\nbeat-period-ms: 1200\ntolerance:\n  machines: {}\nenvelope:\n  fence-checked: {}\nplatform-api:\n  address: \
         \"10.3.0.1:8783\"\n  duties:\n    - \"promote\"\n",
        zone(plan, number),
        seeds.join("\n"),
        if edge { "null" } else { "\"/data\"" },
        plan.tolerance,
        plan.fence_checked,
    );
    Settings::parse(&text).expect("the settings of the emulator are sound")
}

/// The first configuration.
fn configuration(plan: &Plan) -> String {
    let mut channels = Vec::new();
    let mut services = Vec::new();
    for service in 0..plan.services {
        for (prefix, kind, bound) in
            [("p", "primary", 0), ("b", "bounded_staleness", 1500), ("o", "own_region", 2500)]
        {
            channels.push(format!(
                "{{\"name\":\"r-{prefix}{service}\",\"plant\":\"{prefix}{service}\",\"path-prefix\":\"/\",\"kind\":\"{kind}\",\
                 \"deadline-ms\":900,\"setpoint-ms\":150,\"priority\":1,\"service\":\"s{service}\",\"tries\":2,\
                 \"staleness-bound-ms\":{bound}}}"
            ));
        }
        services
            .push(format!("{{\"name\":\"s{service}\",\"conn-limit\":{},\"sync-replicas\":1}}", plan.limit));
    }
    format!(
        "{{\"revision\":3,\"channels\":[{}],\"services\":[{}],\"limits\":{{\"tx-idle-ms\":3000,\"header-wait-ms\":3000}}{}{}}}",
        channels.join(","),
        services.join(","),
        if plan.divides { "" } else { ",\"arrowyard-division\":false" },
        if plan.shares.is_empty() { String::new() } else { format!(",\"arrowyard-shares\":{}", plan.shares) },
    )
}

impl System {
    /// Lays a deployment down and starts all of it.
    pub fn new(plan: Plan) -> Self {
        let mut world = World::new(plan.seed);
        let history: Shared = Rc::new(RefCell::new(History::default()));
        let nothing = || Rc::new(RefCell::new(Disk::default()));
        let mut system_controls = Vec::new();
        let mut disks = Vec::new();
        for number in 0..plan.controls {
            let (machine, disk) = lay_control(&mut world, number);
            disks.push(disk);
            system_controls.push(machine);
        }
        let mut routers = Vec::new();
        for number in 0..plan.routers {
            let doors =
                vec![SocketAddrV4::new(ip(1, number), FRONT), SocketAddrV4::new(ip(1, number), READINESS)];
            routers.push(world.add(&format!("edge-{number}"), doors, nothing(), TimeDelta::ZERO));
        }
        let mut hosts = Vec::new();
        let mut shards = Vec::new();
        for service in 0..plan.services {
            let ids: Vec<String> = (0..3).map(|copy| format!("i-{service}-{copy}")).collect();
            shards.push(Rc::new(RefCell::new(Shard::new(
                &format!("s{service}"),
                &ids,
                TimeDelta::from_millis(8),
            ))));
            for (copy, id) in ids.into_iter().enumerate() {
                let address = SocketAddrV4::new(ip(2, service * 3 + copy), 8000);
                let machine = world.add(&id, vec![address], nothing(), TimeDelta::ZERO);
                hosts.push(HostSeat {
                    machine,
                    id,
                    address,
                    zone: zone(&plan, copy),
                    service,
                    faults: Rc::default(),
                    seq: Rc::default(),
                });
            }
        }
        let fronts = (0..plan.routers).map(|number| SocketAddrV4::new(ip(1, number), FRONT)).collect();
        let mut system = System {
            world,
            history,
            controls: system_controls,
            disks,
            routers,
            hosts,
            shards,
            fronts: Rc::new(RefCell::new(fronts)),
            away: Rc::default(),
            callable: Rc::new(RefCell::new(
                (0..plan.controls).map(|number| SocketAddrV4::new(ip(0, number), CONTROL)).collect(),
            )),
            removed: Vec::new(),
            lives: plan.seed.wrapping_mul(1_000_003),
            plan,
        };
        system.populate();
        system
    }

    fn populate(&mut self) {
        for number in 0..self.controls.len() {
            self.start_control(number, true);
        }
        for number in 0..self.routers.len() {
            self.start_router(number);
        }
        for seat in 0..self.hosts.len() {
            self.start_host(seat);
        }
        let nothing = || Rc::new(RefCell::new(Disk::default()));
        let door = vec![SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 8783)];
        let platform = self.world.add("platform", door, nothing(), TimeDelta::ZERO);
        let plane = Platform::new(
            &self.shards,
            self.history.clone(),
            TimeDelta::from_millis(1000),
            self.away.clone(),
        )
        .checks_fences(self.plan.fence_checked);
        self.world.start(platform, Box::new(plane));
        let services = (0..self.plan.services).map(|service| format!("s{service}")).collect();
        let operator = Operator::new(
            self.callable.clone(),
            self.fronts.borrow().clone(),
            configuration(&self.plan),
            services,
            (self.plan.changes.clone(), self.plan.until),
            self.history.clone(),
            self.plan.seed,
        );
        let machine = self.world.add("operator", Vec::new(), nothing(), TimeDelta::ZERO);
        self.world.start(machine, Box::new(operator));
        if self.plan.users > 0 {
            let ms = TimeDelta::from_millis;
            let mut databases = Vec::new();
            for service in 0..self.plan.services {
                let name = format!("s{service}");
                databases.push((format!("p{service}"), name.clone(), Fresh::Primary));
                databases.push((format!("b{service}"), name.clone(), Fresh::Bounded(ms(1500))));
                databases.push((format!("o{service}"), name, Fresh::Own(ms(2500))));
            }
            let clients = Clients::new(
                self.fronts.clone(),
                &databases,
                self.plan.users,
                self.plan.think,
                (self.plan.from, self.plan.until),
                self.history.clone(),
                self.plan.seed ^ 0x5eed,
            );
            let machine = self.world.add("clients", Vec::new(), nothing(), TimeDelta::ZERO);
            self.world.start(machine, Box::new(clients));
        }
        for (number, surge) in self.plan.surges.clone().into_iter().enumerate() {
            self.surge(number, &surge);
        }
    }

    /// More clients of one kind, on a machine of their own.
    fn surge(&mut self, number: usize, surge: &Surge) {
        let ms = TimeDelta::from_millis;
        let (letter, fresh) = match surge.kind.as_str() {
            "primary" => ('p', Fresh::Primary),
            "own" => ('o', Fresh::Own(ms(2500))),
            _ => ('b', Fresh::Bounded(ms(1500))),
        };
        let database = |service: usize| (format!("{letter}{service}"), format!("s{service}"), fresh);
        let databases: Vec<_> = (0..self.plan.services).map(database).collect();
        let fronts = match surge.routers.as_slice() {
            [] => self.fronts.clone(),
            some => {
                let front = |router: &usize| SocketAddrV4::new(ip(1, router % self.plan.routers), FRONT);
                Rc::new(RefCell::new(some.iter().map(front).collect()))
            }
        };
        let at = |seconds: f64| Timestamp::from_micros((seconds * 1e6) as i64);
        let clients = Clients::new(
            fronts,
            &databases,
            surge.users,
            ms(surge.think_ms),
            (at(surge.at), at(surge.at + surge.for_s)),
            self.history.clone(),
            self.plan.seed ^ 0x5137 ^ (number as u64) << 20,
        );
        let nothing = Rc::new(RefCell::new(Disk::default()));
        let machine = self.world.add(&format!("surge-{number}"), Vec::new(), nothing, TimeDelta::ZERO);
        self.world.start(machine, Box::new(clients.costly(surge.costly)));
    }

    fn incarnation(&mut self) -> u64 {
        self.lives =
            self.lives.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        self.lives | 1
    }

    /// A control machine starts with what its disk holds.
    pub fn start_control(&mut self, number: usize, first: bool) {
        if self.removed.contains(&number) {
            return;
        }
        let settings = settings(&self.plan, false, number, first, &self.callable.borrow());
        let records = self.disks[number].borrow().records.clone();
        let incarnation = self.incarnation();
        let plane = Control::open(settings, incarnation, &records, true, Box::new(|| None));
        match plane {
            Ok(plane) => self.world.start(self.controls[number], offset(self.world.now, Box::new(plane))),
            Err(fault) => panic!("a disk that the emulator kept cannot be read: {fault}"),
        }
    }

    /// The control machine that a number falls on, of those that were not taken away.
    pub fn control_of(&self, which: usize) -> usize {
        let left: Vec<usize> =
            (0..self.controls.len()).filter(|number| !self.removed.contains(number)).collect();
        left[which % left.len()]
    }

    /// A control machine is taken away for good, and its disk with it.
    pub fn remove_control(&mut self, number: usize) {
        self.world.darken(self.controls[number]);
        self.disks[number].borrow_mut().records.clear();
        self.removed.push(number);
        let gone = SocketAddrV4::new(ip(0, number), CONTROL);
        self.callable.borrow_mut().retain(|address| *address != gone);
    }

    /// One is added, with an empty disk, at an address that nobody had.
    pub fn add_control(&mut self) {
        let number = self.controls.len();
        let (machine, disk) = lay_control(&mut self.world, number);
        self.controls.push(machine);
        self.disks.push(disk);
        self.start_control(number, false);
        self.callable.borrow_mut().push(SocketAddrV4::new(ip(0, number), CONTROL));
    }

    /// Where a control machine takes calls.
    pub fn control_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(ip(0, number), CONTROL)
    }

    pub fn start_router(&mut self, number: usize) {
        let settings = settings(&self.plan, true, number, false, &self.callable.borrow());
        let incarnation = self.incarnation();
        let plane = RouterPlane::new(settings, incarnation, Box::new(|| None));
        self.world.start(self.routers[number], offset(self.world.now, Box::new(plane)));
        let front = SocketAddrV4::new(ip(1, number), FRONT);
        let mut fronts = self.fronts.borrow_mut();
        if !fronts.contains(&front) {
            fronts.push(front);
        }
    }

    /// The platform sends a router no more clients.
    pub fn shun_router(&mut self, number: usize) {
        let front = SocketAddrV4::new(ip(1, number), FRONT);
        self.fronts.borrow_mut().retain(|known| *known != front);
    }

    pub fn start_host(&mut self, seat: usize) {
        let controls = self.callable.clone();
        let seed = self.incarnation();
        let seat = &self.hosts[seat];
        let plan = HostPlan {
            id: seat.id.clone(),
            address: seat.address,
            zone: seat.zone.clone(),
            controls,
            period: TimeDelta::from_millis(1200),
            limit: self.plan.limit as usize,
            seed,
        };
        let shard = self.shards[seat.service].clone();
        let host = DatabaseHost::new(
            plan,
            shard.clone(),
            self.history.clone(),
            seat.faults.clone(),
            seat.seq.clone(),
        );
        let (machine, id) = (seat.machine, seat.id.clone());
        let now = self.world.now;
        self.world.start(machine, Box::new(host));
        shard.borrow_mut().pass_on(now, &id);
    }

    /// A service gets one more replica, at an address of its own.
    pub fn add_host(&mut self, service: usize) {
        let (place, copy) = (self.hosts.len(), self.shards[service].borrow().copies.len());
        let id = format!("i-{service}-{copy}j{place}");
        let address = SocketAddrV4::new(ip(2, place), 8000);
        let machine =
            self.world.add(&id, vec![address], Rc::new(RefCell::new(Disk::default())), TimeDelta::ZERO);
        self.shards[service].borrow_mut().join(&id);
        let zone = zone(&self.plan, copy);
        let (faults, seq) = (Rc::default(), Rc::default());
        self.hosts.push(HostSeat { machine, id, address, zone, service, faults, seq });
        self.start_host(place);
    }

    /// A host is cut off from all control machines, or is no more.
    pub fn hide_host(&mut self, seat: usize, cut: bool) {
        let machine = self.hosts[seat].machine;
        for control in &self.controls {
            if cut { self.world.cut(machine, *control) } else { self.world.join(machine, *control) }
        }
    }

    /// A host is cut off from all control machines and from the replicas that its service has by now, or is no more.
    pub fn isolate_host(&mut self, seat: usize, cut: bool) {
        self.hide_host(seat, cut);
        let HostSeat { id, service, .. } = &self.hosts[seat];
        let mut shard = self.shards[*service].borrow_mut();
        for (_, copy) in shard.copies.iter_mut().filter(|(other, _)| *other != id) {
            copy.deaf = cut;
        }
    }

    pub fn stop_host(&mut self, seat: usize, dark: bool) {
        let seat = &self.hosts[seat];
        if let Some(copy) = self.shards[seat.service].borrow_mut().copies.get_mut(&seat.id) {
            copy.up = false;
        }
        if dark { self.world.darken(seat.machine) } else { self.world.kill(seat.machine) }
    }

    /// The place of a service's primary, or of one of its replicas.
    pub fn seat_of(&self, service: usize, primary: bool, which: usize) -> Option<usize> {
        let shard = self.shards[service].borrow();
        let seats = self.hosts.iter().enumerate().filter(|(_, seat)| seat.service == service);
        let mut fitting = seats.filter(|(_, seat)| shard.leads(&seat.id) == primary).map(|(place, _)| place);
        fitting.nth(which)
    }
}

/// A plane's clock begins with its start.
struct Offset {
    since: Timestamp,
    plane: Box<dyn Plane>,
}

fn offset(since: Timestamp, plane: Box<dyn Plane>) -> Box<dyn Plane> {
    Box::new(Offset { since, plane })
}

impl Plane for Offset {
    fn handle(
        &mut self,
        now: Timestamp,
        event: arrowyard_runtime::Event<'_>,
        commands: &mut arrowyard_runtime::Commands,
    ) {
        self.plane.handle(Timestamp::from_micros((now - self.since).micros()), event, commands);
    }

    fn due(&self) -> Option<Timestamp> {
        self.plane.due().map(|at| self.since + (at - Timestamp::from_micros(0)))
    }

    fn snapshot(&self) -> Vec<u8> {
        self.plane.snapshot()
    }
}
