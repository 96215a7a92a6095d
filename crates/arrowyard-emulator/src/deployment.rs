//! A simulated deployment: control machines, routers, hosts, clients, the operator and the platform.

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
use crate::history::{Freshness, History, SharedHistory};
use crate::host::{DatabaseHost, HostFaults, HostPlan};
use crate::operator::Operator;
use crate::platform::Platform;
use crate::replication::ReplicationGroup;
use crate::simulation::{Disk, MachineId, Simulation};

/// Size of a deployment and its load.
#[derive(Clone, Debug)]
pub struct DeploymentPlan {
    pub seed: u64,
    pub controls: usize,
    pub routers: usize,
    pub services: usize,
    /// Users per database; each service has three databases.
    pub users: usize,
    /// Mean time of a user between two operations.
    pub think_time: TimeDelta,
    pub load_start: Timestamp,
    pub load_end: Timestamp,
    /// Times of configuration changes.
    pub changes: Vec<Timestamp>,
    /// Maximum number of connections of one host.
    pub connection_limit: u32,
    /// Number of zones that machines are spread over.
    pub zones: usize,
    /// Number of control machines that may be lost at once.
    pub tolerance: u32,
    /// Whether the platform rejects a fencing token lower than the highest one seen.
    pub fence_checked: bool,
    pub surges: Vec<Surge>,
    /// Whether the capacity of overloaded hosts is divided among routers.
    pub divide_hosts: bool,
    /// Shares of kinds of requests in the configuration, as JSON; none if empty.
    pub shares: String,
}

/// Three control machines, two routers and one service, without clients.
impl Default for DeploymentPlan {
    fn default() -> Self {
        DeploymentPlan {
            seed: 1,
            controls: 3,
            routers: 2,
            services: 1,
            users: 0,
            think_time: TimeDelta::from_millis(100),
            load_start: Timestamp::from_micros(0),
            load_end: Timestamp::from_micros(3_600_000_000),
            changes: Vec::new(),
            connection_limit: 40,
            zones: 3,
            tolerance: 1,
            fence_checked: true,
            surges: Vec::new(),
            divide_hosts: false,
            shares: String::new(),
        }
    }
}

/// Additional clients of one kind for a limited time.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Surge {
    /// Start, in seconds.
    pub at: f64,
    /// Duration, in seconds.
    #[serde(rename = "for-s")]
    pub duration_s: f64,
    /// Kind of requests: `primary`, `bounded` or `own`.
    pub kind: String,
    /// Additional users per service.
    pub users: usize,
    /// Think time of these users, in milliseconds.
    pub think_ms: i64,
    /// Whether the statements take hosts more work.
    #[serde(rename = "costly", default)]
    pub expensive: bool,
    /// Indexes of the routers that the clients connect to; all if empty.
    #[serde(default)]
    pub routers: Vec<usize>,
}

/// A host and the state that outlives its process.
pub struct HostSlot {
    pub machine: MachineId,
    pub id: String,
    pub address: SocketAddrV4,
    pub zone: String,
    /// Index of the service.
    pub service: usize,
    pub faults: Rc<RefCell<HostFaults>>,
    /// Number of the last heartbeat.
    pub call_seq: Rc<RefCell<u64>>,
}

/// Addresses of the control machines, as known to callers.
pub type ControlAddresses = Rc<RefCell<Vec<SocketAddrV4>>>;

/// A running deployment.
pub struct Deployment {
    pub simulation: Simulation,
    pub plan: DeploymentPlan,
    pub history: SharedHistory,
    pub controls: Vec<MachineId>,
    /// Disks of the control machines.
    pub disks: Vec<Rc<RefCell<Disk>>>,
    pub routers: Vec<MachineId>,
    pub hosts: Vec<HostSlot>,
    /// Replication groups by index of the service.
    pub groups: Vec<Rc<RefCell<ReplicationGroup>>>,
    /// Addresses of the routers that clients connect to.
    pub router_addresses: Rc<RefCell<Vec<SocketAddrV4>>>,
    /// Shared with the platform: whether it is unavailable.
    pub platform_unavailable: Rc<RefCell<bool>>,
    /// Addresses of the control machines, as known to callers.
    pub control_addresses: ControlAddresses,
    /// Indexes of the control machines that were removed permanently.
    removed_controls: Vec<usize>,
    /// State of the generator of incarnations.
    incarnation_state: u64,
}

const CONTROL_PORT: u16 = 8782;
const CLIENT_PORT: u16 = 8784;
const READINESS_PORT: u16 = 8785;
const INTERNAL_PORT: u16 = 7440;

fn machine_ip(subnet: u8, number: usize) -> Ipv4Addr {
    Ipv4Addr::new(10, subnet, (number / 200) as u8, (number % 200 + 1) as u8)
}

fn zone_name(plan: &DeploymentPlan, number: usize) -> String {
    format!("zone{}", number % plan.zones.max(1))
}

/// Adds a control machine with an empty disk; it is not started.
fn add_control_machine(simulation: &mut Simulation, number: usize) -> (MachineId, Rc<RefCell<Disk>>) {
    let listen_addresses = vec![
        SocketAddrV4::new(machine_ip(0, number), CONTROL_PORT),
        SocketAddrV4::new(machine_ip(0, number), INTERNAL_PORT),
    ];
    let disk = Rc::new(RefCell::new(Disk::default()));
    (
        simulation.add_machine(
            &format!("core-{number}"),
            listen_addresses,
            disk.clone(),
            TimeDelta::from_millis(5),
        ),
        disk,
    )
}

/// Settings of one machine.
fn machine_settings(
    plan: &DeploymentPlan,
    is_router: bool,
    number: usize,
    bootstrap: bool,
    control_addresses: &[SocketAddrV4],
) -> Settings {
    let address = machine_ip(if is_router { 1 } else { 0 }, number);
    let seeds: Vec<String> = control_addresses.iter().take(3).map(|seed| format!("  - \"{seed}\"")).collect();
    let listen_addresses = if is_router {
        format!("  front: \"{address}:{CLIENT_PORT}\"\n  readiness: \"{address}:{READINESS_PORT}\"")
    } else {
        format!("  control: \"{address}:{CONTROL_PORT}\"")
    };
    let node = format!("{}-{number}", if is_router { "edge" } else { "core" });
    let text = format!(
        "node: \"{node}\"\nip: \"{address}\"\nzone: \"{}\"\nregion: \"r\"\nbind-addrs:\n{listen_addresses}\ninternal-ports:\n  - {INTERNAL_PORT}\n  \
         - 7455\nseeds:\n{}\nbootstrap: {bootstrap}\ndata-dir: {}\nbeat-period-ms: 1200\ntolerance:\n  machines: {}\nenvelope:\n  fence-checked: {}\nplatform-api:\n  address: \
         \"10.3.0.1:8783\"\n  duties:\n    - \"promote\"\n",
        zone_name(plan, number),
        seeds.join("\n"),
        if is_router { "null" } else { "\"/data\"" },
        plan.tolerance,
        plan.fence_checked,
    );
    Settings::parse(&text).expect("the settings are valid")
}

/// Initial configuration.
fn initial_configuration(plan: &DeploymentPlan) -> String {
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
        services.push(format!(
            "{{\"name\":\"s{service}\",\"conn-limit\":{},\"sync-replicas\":1}}",
            plan.connection_limit
        ));
    }
    format!(
        "{{\"revision\":3,\"channels\":[{}],\"services\":[{}],\"limits\":{{\"tx-idle-ms\":3000,\"header-wait-ms\":3000}}{}{}}}",
        channels.join(","),
        services.join(","),
        if plan.divide_hosts { "" } else { ",\"arrowyard-division\":false" },
        if plan.shares.is_empty() { String::new() } else { format!(",\"arrowyard-shares\":{}", plan.shares) },
    )
}

impl Deployment {
    /// Creates a deployment and starts all of its machines.
    pub fn new(plan: DeploymentPlan) -> Self {
        let mut simulation = Simulation::new(plan.seed);
        let history: SharedHistory = Rc::new(RefCell::new(History::default()));
        let empty_disk = || Rc::new(RefCell::new(Disk::default()));
        let mut control_machines = Vec::new();
        let mut disks = Vec::new();
        for number in 0..plan.controls {
            let (machine, disk) = add_control_machine(&mut simulation, number);
            disks.push(disk);
            control_machines.push(machine);
        }
        let mut routers = Vec::new();
        for number in 0..plan.routers {
            let listen_addresses = vec![
                SocketAddrV4::new(machine_ip(1, number), CLIENT_PORT),
                SocketAddrV4::new(machine_ip(1, number), READINESS_PORT),
            ];
            routers.push(simulation.add_machine(
                &format!("edge-{number}"),
                listen_addresses,
                empty_disk(),
                TimeDelta::ZERO,
            ));
        }
        let mut hosts = Vec::new();
        let mut groups = Vec::new();
        for service in 0..plan.services {
            let ids: Vec<String> = (0..3).map(|member_index| format!("i-{service}-{member_index}")).collect();
            groups.push(Rc::new(RefCell::new(ReplicationGroup::new(
                &format!("s{service}"),
                &ids,
                TimeDelta::from_millis(8),
            ))));
            for (member_index, id) in ids.into_iter().enumerate() {
                let address = SocketAddrV4::new(machine_ip(2, service * 3 + member_index), 8000);
                let machine = simulation.add_machine(&id, vec![address], empty_disk(), TimeDelta::ZERO);
                hosts.push(HostSlot {
                    machine,
                    id,
                    address,
                    zone: zone_name(&plan, member_index),
                    service,
                    faults: Rc::default(),
                    call_seq: Rc::default(),
                });
            }
        }
        let router_addresses =
            (0..plan.routers).map(|number| SocketAddrV4::new(machine_ip(1, number), CLIENT_PORT)).collect();
        let mut deployment = Deployment {
            simulation,
            history,
            controls: control_machines,
            disks,
            routers,
            hosts,
            groups,
            router_addresses: Rc::new(RefCell::new(router_addresses)),
            platform_unavailable: Rc::default(),
            control_addresses: Rc::new(RefCell::new(
                (0..plan.controls)
                    .map(|number| SocketAddrV4::new(machine_ip(0, number), CONTROL_PORT))
                    .collect(),
            )),
            removed_controls: Vec::new(),
            incarnation_state: plan.seed.wrapping_mul(1_000_003),
            plan,
        };
        deployment.start_machines();
        deployment
    }

    /// Starts all machines of the plan, with the platform, the operator and the clients.
    fn start_machines(&mut self) {
        for number in 0..self.controls.len() {
            self.start_control(number, true);
        }
        for number in 0..self.routers.len() {
            self.start_router(number);
        }
        for host_index in 0..self.hosts.len() {
            self.start_host(host_index);
        }
        let empty_disk = || Rc::new(RefCell::new(Disk::default()));
        let listen_addresses = vec![SocketAddrV4::new(Ipv4Addr::new(10, 3, 0, 1), 8783)];
        let platform_machine =
            self.simulation.add_machine("platform", listen_addresses, empty_disk(), TimeDelta::ZERO);
        let platform = Platform::new(
            &self.groups,
            self.history.clone(),
            TimeDelta::from_millis(1000),
            self.platform_unavailable.clone(),
        )
        .with_fencing(self.plan.fence_checked);
        self.simulation.start(platform_machine, Box::new(platform));
        let services = (0..self.plan.services).map(|service| format!("s{service}")).collect();
        let operator = Operator::new(
            self.control_addresses.clone(),
            self.router_addresses.borrow().clone(),
            initial_configuration(&self.plan),
            services,
            (self.plan.changes.clone(), self.plan.load_end),
            self.history.clone(),
            self.plan.seed,
        );
        let machine = self.simulation.add_machine("operator", Vec::new(), empty_disk(), TimeDelta::ZERO);
        self.simulation.start(machine, Box::new(operator));
        if self.plan.users > 0 {
            let ms = TimeDelta::from_millis;
            let mut databases = Vec::new();
            for service in 0..self.plan.services {
                let name = format!("s{service}");
                databases.push((format!("p{service}"), name.clone(), Freshness::Primary));
                databases.push((format!("b{service}"), name.clone(), Freshness::Bounded(ms(1500))));
                databases.push((format!("o{service}"), name, Freshness::Own(ms(2500))));
            }
            let clients = Clients::new(
                self.router_addresses.clone(),
                &databases,
                self.plan.users,
                self.plan.think_time,
                (self.plan.load_start, self.plan.load_end),
                self.history.clone(),
                self.plan.seed ^ 0x5eed,
            );
            let machine = self.simulation.add_machine("clients", Vec::new(), empty_disk(), TimeDelta::ZERO);
            self.simulation.start(machine, Box::new(clients));
        }
        for (number, surge) in self.plan.surges.clone().into_iter().enumerate() {
            self.start_surge(number, &surge);
        }
    }

    /// Starts additional clients of one kind on a machine of their own.
    fn start_surge(&mut self, number: usize, surge: &Surge) {
        let ms = TimeDelta::from_millis;
        let (prefix, freshness) = match surge.kind.as_str() {
            "primary" => ('p', Freshness::Primary),
            "own" => ('o', Freshness::Own(ms(2500))),
            _ => ('b', Freshness::Bounded(ms(1500))),
        };
        let database = |service: usize| (format!("{prefix}{service}"), format!("s{service}"), freshness);
        let databases: Vec<_> = (0..self.plan.services).map(database).collect();
        let router_addresses = match surge.routers.as_slice() {
            [] => self.router_addresses.clone(),
            selected => {
                let router_address = |router: &usize| {
                    SocketAddrV4::new(machine_ip(1, router % self.plan.routers), CLIENT_PORT)
                };
                Rc::new(RefCell::new(selected.iter().map(router_address).collect()))
            }
        };
        let at = |seconds: f64| Timestamp::from_micros((seconds * 1e6) as i64);
        let clients = Clients::new(
            router_addresses,
            &databases,
            surge.users,
            ms(surge.think_ms),
            (at(surge.at), at(surge.at + surge.duration_s)),
            self.history.clone(),
            self.plan.seed ^ 0x5137 ^ (number as u64) << 20,
        );
        let empty_disk = Rc::new(RefCell::new(Disk::default()));
        let machine =
            self.simulation.add_machine(&format!("surge-{number}"), Vec::new(), empty_disk, TimeDelta::ZERO);
        self.simulation.start(machine, Box::new(clients.expensive(surge.expensive)));
    }

    /// Returns the next incarnation, from a generator seeded by the plan.
    fn next_incarnation(&mut self) -> u64 {
        self.incarnation_state = self
            .incarnation_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        self.incarnation_state | 1
    }

    /// Starts a control machine with the records on its disk.
    pub fn start_control(&mut self, number: usize, bootstrap: bool) {
        if self.removed_controls.contains(&number) {
            return;
        }
        let settings =
            machine_settings(&self.plan, false, number, bootstrap, &self.control_addresses.borrow());
        let records = self.disks[number].borrow().records.clone();
        let incarnation = self.next_incarnation();
        let plane = Control::open(settings, incarnation, &records, true, Box::new(|| None));
        match plane {
            Ok(plane) => self
                .simulation
                .start(self.controls[number], with_own_clock(self.simulation.now, Box::new(plane))),
            Err(error) => panic!("cannot read the records of an emulated disk: {error}"),
        }
    }

    /// Maps any number to the index of a control machine that was not removed.
    pub fn existing_control(&self, index: usize) -> usize {
        let remaining: Vec<usize> =
            (0..self.controls.len()).filter(|number| !self.removed_controls.contains(number)).collect();
        remaining[index % remaining.len()]
    }

    /// Removes a control machine and its disk permanently.
    pub fn remove_control(&mut self, number: usize) {
        self.simulation.power_off(self.controls[number]);
        self.disks[number].borrow_mut().records.clear();
        self.removed_controls.push(number);
        let removed_address = SocketAddrV4::new(machine_ip(0, number), CONTROL_PORT);
        self.control_addresses.borrow_mut().retain(|address| *address != removed_address);
    }

    /// Adds a control machine with an empty disk at a new address.
    pub fn add_control(&mut self) {
        let number = self.controls.len();
        let (machine, disk) = add_control_machine(&mut self.simulation, number);
        self.controls.push(machine);
        self.disks.push(disk);
        self.start_control(number, false);
        self.control_addresses.borrow_mut().push(SocketAddrV4::new(machine_ip(0, number), CONTROL_PORT));
    }

    /// Address at which a control machine accepts calls.
    pub fn control_address(&self, number: usize) -> SocketAddrV4 {
        SocketAddrV4::new(machine_ip(0, number), CONTROL_PORT)
    }

    /// Starts a router and adds its address to those that clients connect to.
    pub fn start_router(&mut self, number: usize) {
        let settings = machine_settings(&self.plan, true, number, false, &self.control_addresses.borrow());
        let incarnation = self.next_incarnation();
        let plane = RouterPlane::new(settings, incarnation, Box::new(|| None));
        self.simulation.start(self.routers[number], with_own_clock(self.simulation.now, Box::new(plane)));
        let router_address = SocketAddrV4::new(machine_ip(1, number), CLIENT_PORT);
        let mut router_addresses = self.router_addresses.borrow_mut();
        if !router_addresses.contains(&router_address) {
            router_addresses.push(router_address);
        }
    }

    /// Removes a router from the addresses that clients connect to.
    pub fn remove_router_address(&mut self, number: usize) {
        let router_address = SocketAddrV4::new(machine_ip(1, number), CLIENT_PORT);
        self.router_addresses.borrow_mut().retain(|address| *address != router_address);
    }

    /// Starts a host with the log that it has in its replication group.
    pub fn start_host(&mut self, host_index: usize) {
        let controls = self.control_addresses.clone();
        let seed = self.next_incarnation();
        let slot = &self.hosts[host_index];
        let plan = HostPlan {
            id: slot.id.clone(),
            address: slot.address,
            zone: slot.zone.clone(),
            controls,
            heartbeat_period: TimeDelta::from_millis(1200),
            connection_limit: self.plan.connection_limit as usize,
            seed,
        };
        let group = self.groups[slot.service].clone();
        let host = DatabaseHost::new(
            plan,
            group.clone(),
            self.history.clone(),
            slot.faults.clone(),
            slot.call_seq.clone(),
        );
        let (machine, id) = (slot.machine, slot.id.clone());
        let now = self.simulation.now;
        self.simulation.start(machine, Box::new(host));
        group.borrow_mut().send_log(now, &id);
    }

    /// Adds a replica at a new address to a service.
    pub fn add_host(&mut self, service: usize) {
        let (host_index, member_index) = (self.hosts.len(), self.groups[service].borrow().host_logs.len());
        let id = format!("i-{service}-{member_index}j{host_index}");
        let address = SocketAddrV4::new(machine_ip(2, host_index), 8000);
        let machine = self.simulation.add_machine(
            &id,
            vec![address],
            Rc::new(RefCell::new(Disk::default())),
            TimeDelta::ZERO,
        );
        self.groups[service].borrow_mut().add_replica(&id);
        let zone = zone_name(&self.plan, member_index);
        let (faults, call_seq) = (Rc::default(), Rc::default());
        self.hosts.push(HostSlot { machine, id, address, zone, service, faults, call_seq });
        self.start_host(host_index);
    }

    /// Partitions a host from all control machines, or heals the partition.
    pub fn set_control_partition(&mut self, host_index: usize, partitioned: bool) {
        let machine = self.hosts[host_index].machine;
        for control in &self.controls {
            if partitioned {
                self.simulation.partition(machine, *control)
            } else {
                self.simulation.heal(machine, *control)
            }
        }
    }

    /// Partitions a host from all control machines and from the current replicas of its service, or heals
    /// the partition.
    pub fn set_isolation(&mut self, host_index: usize, isolated: bool) {
        self.set_control_partition(host_index, isolated);
        let HostSlot { id, service, .. } = &self.hosts[host_index];
        let mut group = self.groups[*service].borrow_mut();
        for (_, host_log) in group.host_logs.iter_mut().filter(|(other, _)| *other != id) {
            host_log.receive_blocked = isolated;
        }
    }

    /// Stops a host by a crash of its process or by a power loss.
    pub fn stop_host(&mut self, host_index: usize, power_loss: bool) {
        let slot = &self.hosts[host_index];
        if let Some(host_log) = self.groups[slot.service].borrow_mut().host_logs.get_mut(&slot.id) {
            host_log.up = false;
        }
        if power_loss { self.simulation.power_off(slot.machine) } else { self.simulation.kill(slot.machine) }
    }

    /// Index of the `nth` host of a service that is, or is not, the primary.
    pub fn host_index_of(&self, service: usize, is_primary: bool, nth: usize) -> Option<usize> {
        let group = self.groups[service].borrow();
        let members = self.hosts.iter().enumerate().filter(|(_, slot)| slot.service == service);
        let mut matching =
            members.filter(|(_, slot)| group.is_primary(&slot.id) == is_primary).map(|(index, _)| index);
        matching.nth(nth)
    }
}

/// A plane whose clock starts at zero when its process starts.
struct PlaneWithOwnClock {
    started_at: Timestamp,
    plane: Box<dyn Plane>,
}

fn with_own_clock(started_at: Timestamp, plane: Box<dyn Plane>) -> Box<dyn Plane> {
    Box::new(PlaneWithOwnClock { started_at, plane })
}

impl Plane for PlaneWithOwnClock {
    fn handle(
        &mut self,
        now: Timestamp,
        event: arrowyard_runtime::Event<'_>,
        commands: &mut arrowyard_runtime::Commands,
    ) {
        self.plane.handle(Timestamp::from_micros((now - self.started_at).micros()), event, commands);
    }

    fn due(&self) -> Option<Timestamp> {
        self.plane.due().map(|at| self.started_at + (at - Timestamp::from_micros(0)))
    }

    fn snapshot(&self) -> Vec<u8> {
        self.plane.snapshot()
    }
}
