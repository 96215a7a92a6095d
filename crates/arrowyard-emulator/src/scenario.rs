//! Scenarios: a deployment with a fault schedule, and the result of running it. A scenario is data, and a
//! run is deterministic.

use std::collections::BTreeMap;

use arrowyard_runtime::Signal;
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::deployment::{Deployment, DeploymentPlan, Surge};
use crate::history::{KindStats, OperationCounts, Violation};
use crate::simulation::{DiskFault, MachineId};

/// Kind of fault. The variant names are part of the scenario files and of the output.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// The process of a control machine is killed.
    KillControl,
    /// A control machine loses power.
    DarkControl,
    /// A control machine loses power and disk.
    WipeControl,
    /// As many control machines as tolerated lose power and disk at once.
    WipeControls,
    /// A control machine is removed permanently and replaced by an empty one at another address.
    ReplaceControl,
    /// A control machine is suspended and resumes later.
    FreezeControl,
    /// A control machine is partitioned from the other control machines, but not from routers and hosts.
    CutControl,
    /// The other control machines receive nothing from one control machine; it still receives from them.
    MuteControl,
    /// A control machine receives nothing from the other ones; they still receive from it.
    DeafControl,
    /// The disk of a control machine fails all writes.
    RefuseDisk,
    /// The disk of a control machine hangs.
    HangDisk,
    /// The process of a router is killed.
    KillRouter,
    /// A router is terminated gracefully and restarted.
    RollRouter,
    /// The process of a primary crashes.
    CrashPrimary,
    /// A primary loses power.
    DarkPrimary,
    /// The process of a replica crashes.
    CrashReplica,
    /// A replica loses power.
    DarkReplica,
    /// A replica receives nothing from its primary.
    DeafReplica,
    /// A replica receives nothing for a while, and then the primary crashes.
    DeafThenCrash,
    /// A replica applies commits with a large delay.
    LateReplica,
    /// A primary is drained and replaced.
    ReleasePrimary,
    /// A replica is drained and replaced.
    ReleaseReplica,
    /// A primary is partitioned from control and from its replicas; routers reach it.
    CutPrimary,
    /// A primary is partitioned from control; routers and the other hosts of the service reach it.
    HidePrimary,
    /// A replica is partitioned from control; routers and the other hosts of the service reach it.
    HideReplica,
    /// A service gets an additional replica, which receives from its primary at once.
    JoinReplica,
    /// A primary loses some of its replies.
    LoseAnswers,
    /// A primary fails some of its statements.
    FailStatements,
    /// A primary executes statements slowly.
    SlowHost,
    /// The platform is unavailable.
    PlatformAway,
    /// All control machines and routers lose power.
    PowerOff,
}

impl FaultKind {
    /// All kinds; the order determines generated scenarios.
    pub const ALL: [FaultKind; 31] = [
        FaultKind::KillControl,
        FaultKind::DarkControl,
        FaultKind::WipeControl,
        FaultKind::WipeControls,
        FaultKind::ReplaceControl,
        FaultKind::FreezeControl,
        FaultKind::CutControl,
        FaultKind::MuteControl,
        FaultKind::DeafControl,
        FaultKind::RefuseDisk,
        FaultKind::HangDisk,
        FaultKind::KillRouter,
        FaultKind::RollRouter,
        FaultKind::CrashPrimary,
        FaultKind::DarkPrimary,
        FaultKind::CrashReplica,
        FaultKind::DarkReplica,
        FaultKind::DeafReplica,
        FaultKind::DeafThenCrash,
        FaultKind::LateReplica,
        FaultKind::ReleasePrimary,
        FaultKind::ReleaseReplica,
        FaultKind::CutPrimary,
        FaultKind::HidePrimary,
        FaultKind::HideReplica,
        FaultKind::JoinReplica,
        FaultKind::LoseAnswers,
        FaultKind::FailStatements,
        FaultKind::SlowHost,
        FaultKind::PlatformAway,
        FaultKind::PowerOff,
    ];

    /// Whether the fault makes a control machine unavailable; only one may be unavailable at a time.
    fn affects_control(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            KillControl
                | DarkControl
                | WipeControl
                | WipeControls
                | ReplaceControl
                | FreezeControl
                | CutControl
                | MuteControl
                | DeafControl
                | RefuseDisk
                | HangDisk
        )
    }

    /// Whether the fault makes a host of a service unavailable.
    fn affects_host(self) -> bool {
        use FaultKind::*;
        matches!(
            self,
            CrashPrimary
                | DarkPrimary
                | CrashReplica
                | DarkReplica
                | DeafReplica
                | DeafThenCrash
                | ReleasePrimary
                | ReleaseReplica
                | CutPrimary
                | HidePrimary
                | HideReplica
        )
    }
}

/// A scheduled fault. Serialized names are those of the scenario files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fault {
    /// Start, in seconds.
    pub at: f64,
    /// Duration, in seconds.
    #[serde(rename = "for-s", default)]
    pub duration_s: f64,
    #[serde(rename = "what")]
    pub kind: FaultKind,
    /// Selects the affected machine among the eligible ones, modulo their number.
    #[serde(rename = "which", default)]
    pub target_index: usize,
}

/// A deployment, its load and its fault schedule. Serialized names are those of the scenario files.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Scenario {
    pub seed: u64,
    pub controls: usize,
    pub routers: usize,
    pub services: usize,
    /// Users per database; each service has three databases.
    pub users: usize,
    /// Length of the run, in seconds.
    pub seconds: f64,
    /// Times of configuration changes, in seconds.
    #[serde(default)]
    pub changes: Vec<f64>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Think time of a user between two operations, in milliseconds.
    #[serde(default = "default_think_ms")]
    pub think_ms: i64,
    /// Number of control machines that may be lost at once.
    #[serde(default = "default_tolerance")]
    pub tolerance: u32,
    /// Whether the platform rejects a fencing token lower than the highest one seen.
    #[serde(default = "enabled")]
    pub fence_checked: bool,
    /// Maximum number of connections of one host.
    #[serde(rename = "limit", default = "default_connection_limit")]
    pub connection_limit: u32,
    /// Minimum share of served operations, checked for stored scenarios.
    #[serde(rename = "least-served", default = "default_min_served")]
    pub min_served: f64,
    #[serde(default)]
    pub surges: Vec<Surge>,
    /// Whether the capacity of overloaded hosts is divided among routers.
    #[serde(rename = "divides", default = "enabled")]
    pub divide_hosts: bool,
    /// Shares of kinds of requests in the configuration, as JSON; none if empty.
    #[serde(default)]
    pub shares: String,
}

fn enabled() -> bool {
    true
}

fn default_connection_limit() -> u32 {
    57
}

fn default_min_served() -> f64 {
    0.5
}

fn default_tolerance() -> u32 {
    1
}

fn default_think_ms() -> i64 {
    120
}

/// A deployment without faults.
impl Default for Scenario {
    fn default() -> Self {
        Scenario {
            seed: 1,
            controls: 3,
            routers: 2,
            services: 1,
            users: 2,
            seconds: 22.0,
            changes: Vec::new(),
            faults: Vec::new(),
            think_ms: default_think_ms(),
            tolerance: default_tolerance(),
            fence_checked: true,
            connection_limit: default_connection_limit(),
            min_served: default_min_served(),
            surges: Vec::new(),
            divide_hosts: true,
            shares: String::new(),
        }
    }
}

/// Result of running a scenario.
#[derive(Clone, Debug)]
pub struct RunResult {
    pub violations: Vec<Violation>,
    pub counts: OperationCounts,
    /// Second, operations that started in it, and those of them that were served.
    pub counts_by_second: Vec<(i64, u64, u64)>,
    pub promotions: u32,
    pub acknowledged: bool,
    /// Statements executed by hosts.
    pub statements_run: u64,
    /// Sessions that hosts rejected at their connection limit.
    pub connections_over_limit: u64,
    /// Time between the acknowledgement of a drain and the last request that the host received.
    pub last_request_after_drain: Option<TimeDelta>,
    /// Times of acknowledged writes by service.
    pub write_times: BTreeMap<String, Vec<Timestamp>>,
    /// Times of acknowledged configuration changes.
    pub change_times: Vec<Timestamp>,
    /// Percentiles of the latency of operations.
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub stats_by_kind: BTreeMap<&'static str, KindStats>,
    /// Bytes sent by all control machines, and the real time of their planes.
    pub control_cost: (u64, std::time::Duration),
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as i64)
}

/// Time after the restart of all machines until at least a quarter of the operations must be served. The
/// documented bound is 12 s.
const RECOVERY_TIME: TimeDelta = TimeDelta::from_millis(3000);

/// Time after the end of the load within which the configuration must have been read back.
const READ_BACK_TIME: TimeDelta = TimeDelta::from_millis(2500);

/// Generates a scenario from a seed.
pub fn random_scenario(seed: u64) -> Scenario {
    let mut rng = Rng::with_seed(seed);
    let seconds = 22.0;
    let mut faults: Vec<Fault> = Vec::new();
    let (mut control_free_at, mut host_free_at, mut has_power_loss) = (5.0, 5.0, false);
    for _ in 0..rng.usize(1..5) {
        let kind = FaultKind::ALL[rng.usize(0..FaultKind::ALL.len())];
        let duration_s = 1.0 + 4.0 * rng.f64();
        let mut start = 5.0 + 8.0 * rng.f64();
        // Keeps simultaneous faults within the tolerated number.
        if kind.affects_control() {
            start = f64::max(start, control_free_at);
            control_free_at = start + duration_s + 6.0;
        }
        if kind.affects_host() {
            start = f64::max(start, host_free_at);
            host_free_at = start + duration_s + 11.0;
        }
        if kind == FaultKind::PowerOff {
            if has_power_loss {
                continue;
            }
            has_power_loss = true;
            start = 15.0;
        }
        if start > 15.0 {
            continue;
        }
        faults.push(Fault {
            at: start,
            duration_s: duration_s.min(18.5 - start),
            kind,
            target_index: rng.usize(0..6),
        });
    }
    // Control faults must not overlap the end of a power loss.
    if has_power_loss {
        faults.retain(|fault| !fault.kind.affects_control() || fault.at + fault.duration_s + 4.0 < 15.0);
    }
    let controls = rng.usize(3..7);
    Scenario {
        seed,
        controls,
        tolerance: if controls >= 5 { 2 } else { 1 },
        routers: rng.usize(2..5),
        services: rng.usize(1..3),
        users: rng.usize(2..5),
        seconds,
        changes: vec![4.0 + 6.0 * rng.f64(), 12.0 + 3.0 * rng.f64()],
        faults,
        think_ms: 120,
        ..Scenario::default()
    }
}

/// A step of the fault schedule.
#[derive(Clone, Debug)]
enum ScheduledStep {
    Begin(Fault),
    /// The end of a fault, with the index of the affected machine.
    End(Fault, usize),
    /// The process of the host with this index crashes.
    CrashHost(usize),
    /// The host with this index is replaced by a new one at its address.
    ReplaceHost(usize),
}

/// Runs a scenario.
pub fn run_scenario(scenario: &Scenario) -> RunResult {
    let plan = DeploymentPlan {
        seed: scenario.seed,
        controls: scenario.controls,
        routers: scenario.routers,
        services: scenario.services,
        users: scenario.users,
        think_time: TimeDelta::from_millis(scenario.think_ms),
        load_start: at(3.0),
        load_end: at(scenario.seconds - 1.5),
        changes: scenario.changes.iter().map(|change| at(*change)).collect(),
        connection_limit: scenario.connection_limit,
        zones: 3,
        tolerance: scenario.tolerance,
        fence_checked: scenario.fence_checked,
        surges: scenario.surges.clone(),
        divide_hosts: scenario.divide_hosts,
        shares: scenario.shares.clone(),
    };
    let mut deployment = Deployment::new(plan);
    let mut steps: Vec<(Timestamp, ScheduledStep)> =
        scenario.faults.iter().map(|fault| (at(fault.at), ScheduledStep::Begin(fault.clone()))).collect();
    let end = at(scenario.seconds);
    loop {
        steps.sort_by_key(|(time, _)| *time);
        if steps.first().is_none_or(|(time, _)| *time > end) {
            break;
        }
        let (time, step) = steps.remove(0);
        deployment.simulation.run_until(time);
        steps.extend(apply_step(&mut deployment, time, step));
        restart_stopped_routers(&mut deployment);
    }
    deployment.simulation.run_until(end);
    // The operator reads the configuration back, with retries.
    deployment.simulation.run_until(end + READ_BACK_TIME);
    let mut history = deployment.history.borrow_mut();
    history.audit_configuration(end + READ_BACK_TIME);
    history.audit_recovery(end, RECOVERY_TIME);
    history.audit_logs(end, &deployment.groups);
    let mut latencies = history.latencies.clone();
    latencies.sort_unstable();
    let percentile = |quantile: f64| {
        let index = ((latencies.len() as f64 * quantile) as usize).min(latencies.len().saturating_sub(1));
        latencies.get(index).map_or(0.0, |latency| latency.as_secs_f64() * 1000.0)
    };
    let promotions = deployment.groups.iter().map(|group| group.borrow().promotions).sum();
    RunResult {
        p50_ms: percentile(0.5),
        p99_ms: percentile(0.99),
        violations: history.violations.clone(),
        counts: history.counts,
        counts_by_second: history
            .counts_by_second
            .iter()
            .map(|(second, (requested, served))| (*second, *requested, *served))
            .collect(),
        promotions,
        acknowledged: true,
        statements_run: history.statements_run,
        connections_over_limit: history.connections_over_limit,
        last_request_after_drain: history.last_request_after_drain,
        write_times: history.acknowledgement_times(),
        change_times: history.change_times.clone(),
        stats_by_kind: history.stats_by_kind.clone(),
        control_cost: deployment
            .controls
            .iter()
            .map(|machine| deployment.simulation.resource_usage(*machine))
            .fold((0, std::time::Duration::ZERO), |(byte_sum, time_sum), (bytes_sent, _, _, plane_time)| {
                (byte_sum + bytes_sent, time_sum + plane_time)
            }),
    }
}

/// Starts the routers again that stopped after a termination signal.
fn restart_stopped_routers(deployment: &mut Deployment) {
    for number in 0..deployment.routers.len() {
        if deployment.simulation.has_stopped(deployment.routers[number])
            && !deployment.simulation.is_up(deployment.routers[number])
        {
            deployment.start_router(number);
        }
    }
}

/// Indexes of the control machines that lose power and disk in a `WipeControls` fault.
fn wiped_controls(deployment: &Deployment, fault: &Fault) -> Vec<usize> {
    (0..deployment.plan.tolerance as usize)
        .map(|offset| deployment.existing_control(fault.target_index + offset))
        .collect()
}

/// Pairs of one control machine, first, and each of the others.
fn control_pairs(deployment: &Deployment, control: usize) -> Vec<(MachineId, MachineId)> {
    let machine = deployment.controls[control];
    deployment.controls.iter().filter(|other| **other != machine).map(|other| (machine, *other)).collect()
}

/// Applies a step of the fault schedule and returns the steps that follow from it.
fn apply_step(
    deployment: &mut Deployment,
    now: Timestamp,
    step: ScheduledStep,
) -> Vec<(Timestamp, ScheduledStep)> {
    let end_after_duration = |fault: &Fault, machine_index: usize| {
        let end = now + TimeDelta::from_micros((fault.duration_s * 1e6) as i64);
        vec![(end, ScheduledStep::End(fault.clone(), machine_index))]
    };
    match step {
        ScheduledStep::Begin(fault) => {
            let control = deployment.existing_control(fault.target_index);
            let router = fault.target_index % deployment.routers.len();
            let service = fault.target_index % deployment.groups.len();
            let primary = deployment.host_index_of(service, true, 0);
            let replica = deployment.host_index_of(service, false, fault.target_index % 2);
            match fault.kind {
                FaultKind::KillControl => deployment.simulation.kill(deployment.controls[control]),
                FaultKind::DarkControl => deployment.simulation.power_off(deployment.controls[control]),
                FaultKind::WipeControl => {
                    deployment.simulation.power_off(deployment.controls[control]);
                    deployment.disks[control].borrow_mut().records.clear();
                }
                FaultKind::WipeControls => {
                    for number in wiped_controls(deployment, &fault) {
                        deployment.simulation.power_off(deployment.controls[number]);
                        deployment.disks[number].borrow_mut().records.clear();
                    }
                }
                FaultKind::ReplaceControl => deployment.remove_control(control),
                FaultKind::FreezeControl => {
                    deployment.simulation.set_frozen(deployment.controls[control], true)
                }
                FaultKind::CutControl => {
                    for peer in (0..deployment.controls.len()).filter(|peer| *peer != control) {
                        deployment
                            .simulation
                            .partition(deployment.controls[control], deployment.controls[peer]);
                    }
                }
                FaultKind::MuteControl => {
                    for (machine, peer) in control_pairs(deployment, control) {
                        deployment.simulation.block(machine, peer);
                    }
                }
                FaultKind::DeafControl => {
                    for (machine, peer) in control_pairs(deployment, control) {
                        deployment.simulation.block(peer, machine);
                    }
                }
                FaultKind::RefuseDisk => {
                    deployment.simulation.set_disk_fault(deployment.controls[control], DiskFault::Refuses)
                }
                FaultKind::HangDisk => {
                    deployment.simulation.set_disk_fault(deployment.controls[control], DiskFault::Hangs)
                }
                FaultKind::KillRouter => deployment.simulation.kill(deployment.routers[router]),
                FaultKind::RollRouter => {
                    deployment.remove_router_address(router);
                    deployment.simulation.signal(deployment.routers[router], Signal::Terminate);
                    return vec![(now + TimeDelta::from_millis(6000), ScheduledStep::End(fault, router))];
                }
                FaultKind::CrashPrimary | FaultKind::DarkPrimary => {
                    let Some(host_index) = primary else { return Vec::new() };
                    deployment.stop_host(host_index, fault.kind == FaultKind::DarkPrimary);
                    return end_after_duration(&fault, host_index);
                }
                FaultKind::CrashReplica | FaultKind::DarkReplica => {
                    let Some(host_index) = replica else { return Vec::new() };
                    deployment.stop_host(host_index, fault.kind == FaultKind::DarkReplica);
                    return end_after_duration(&fault, host_index);
                }
                FaultKind::DeafReplica | FaultKind::DeafThenCrash | FaultKind::LateReplica => {
                    let Some(host_index) = replica else { return Vec::new() };
                    let id = deployment.hosts[host_index].id.clone();
                    if let Some(host_log) = deployment.groups[service].borrow_mut().host_logs.get_mut(&id) {
                        host_log.receive_blocked = fault.kind != FaultKind::LateReplica;
                        host_log.apply_lag =
                            TimeDelta::from_millis(if host_log.receive_blocked { 8 } else { 900 });
                    }
                    let mut steps = end_after_duration(&fault, host_index);
                    if fault.kind == FaultKind::DeafThenCrash {
                        let crash_at = now + TimeDelta::from_micros((fault.duration_s * 5e5) as i64);
                        steps.extend(primary.map(|primary| (crash_at, ScheduledStep::CrashHost(primary))));
                    }
                    return steps;
                }
                FaultKind::ReleasePrimary | FaultKind::ReleaseReplica => {
                    let draining_host =
                        if fault.kind == FaultKind::ReleasePrimary { primary } else { replica };
                    let Some(host_index) = draining_host else { return Vec::new() };
                    deployment.hosts[host_index].faults.borrow_mut().draining = true;
                    // A heartbeat reports the drain within a period; the host then serves until the drain
                    // bound, plus a margin.
                    return vec![(
                        now + TimeDelta::from_millis(9500),
                        ScheduledStep::ReplaceHost(host_index),
                    )];
                }
                FaultKind::CutPrimary => {
                    let Some(host_index) = primary else { return Vec::new() };
                    deployment.set_isolation(host_index, true);
                    return end_after_duration(&fault, host_index);
                }
                FaultKind::HidePrimary | FaultKind::HideReplica => {
                    let partitioned_host =
                        if fault.kind == FaultKind::HidePrimary { primary } else { replica };
                    let Some(host_index) = partitioned_host else { return Vec::new() };
                    deployment.set_control_partition(host_index, true);
                    return end_after_duration(&fault, host_index);
                }
                FaultKind::JoinReplica => {
                    deployment.add_host(service);
                    return Vec::new();
                }
                FaultKind::LoseAnswers | FaultKind::FailStatements | FaultKind::SlowHost => {
                    let Some(host_index) = primary else { return Vec::new() };
                    let mut faults = deployment.hosts[host_index].faults.borrow_mut();
                    match fault.kind {
                        FaultKind::SlowHost => faults.slowdown = 6.0,
                        FaultKind::FailStatements => faults.failure_share = 0.2,
                        _ => faults.lost_reply_share = 0.15,
                    }
                    return end_after_duration(&fault, host_index);
                }
                FaultKind::PlatformAway => *deployment.platform_unavailable.borrow_mut() = true,
                FaultKind::PowerOff => {
                    let machines =
                        deployment.controls.iter().chain(&deployment.routers).copied().collect::<Vec<_>>();
                    machines.into_iter().for_each(|machine| deployment.simulation.power_off(machine));
                    return vec![(now + TimeDelta::from_millis(900), ScheduledStep::End(fault, 0))];
                }
            }
            let machine_index = match fault.kind {
                FaultKind::KillRouter => router,
                _ => control,
            };
            end_after_duration(&fault, machine_index)
        }
        ScheduledStep::End(fault, machine_index) => {
            match fault.kind {
                FaultKind::KillControl | FaultKind::DarkControl | FaultKind::WipeControl => {
                    if !deployment.simulation.is_up(deployment.controls[machine_index]) {
                        deployment.start_control(machine_index, false);
                    }
                }
                FaultKind::WipeControls => {
                    for number in wiped_controls(deployment, &fault) {
                        if !deployment.simulation.is_up(deployment.controls[number]) {
                            deployment.start_control(number, false);
                        }
                    }
                }
                FaultKind::ReplaceControl => deployment.add_control(),
                FaultKind::FreezeControl => {
                    deployment.simulation.set_frozen(deployment.controls[machine_index], false)
                }
                FaultKind::CutControl => {
                    for peer in (0..deployment.controls.len()).filter(|peer| *peer != machine_index) {
                        deployment
                            .simulation
                            .heal(deployment.controls[machine_index], deployment.controls[peer]);
                    }
                }
                FaultKind::MuteControl => {
                    for (machine, peer) in control_pairs(deployment, machine_index) {
                        deployment.simulation.unblock(machine, peer);
                    }
                }
                FaultKind::DeafControl => {
                    for (machine, peer) in control_pairs(deployment, machine_index) {
                        deployment.simulation.unblock(peer, machine);
                    }
                }
                FaultKind::RefuseDisk | FaultKind::HangDisk => {
                    deployment.simulation.set_disk_fault(deployment.controls[machine_index], DiskFault::None);
                }
                FaultKind::KillRouter | FaultKind::RollRouter => {
                    if !deployment.simulation.is_up(deployment.routers[machine_index]) {
                        deployment.start_router(machine_index);
                    }
                }
                FaultKind::CrashPrimary
                | FaultKind::DarkPrimary
                | FaultKind::CrashReplica
                | FaultKind::DarkReplica => {
                    if !deployment.simulation.is_up(deployment.hosts[machine_index].machine) {
                        deployment.start_host(machine_index);
                    }
                }
                FaultKind::DeafReplica | FaultKind::DeafThenCrash | FaultKind::LateReplica => {
                    let (id, service) =
                        (deployment.hosts[machine_index].id.clone(), deployment.hosts[machine_index].service);
                    let mut group = deployment.groups[service].borrow_mut();
                    if let Some(host_log) = group.host_logs.get_mut(&id) {
                        (host_log.receive_blocked, host_log.apply_lag) = (false, TimeDelta::from_millis(8));
                    }
                    group.send_log(now, &id);
                }
                FaultKind::LoseAnswers | FaultKind::FailStatements | FaultKind::SlowHost => {
                    let mut faults = deployment.hosts[machine_index].faults.borrow_mut();
                    (faults.slowdown, faults.lost_reply_share, faults.failure_share) = (1.0, 0.0, 0.0);
                }
                FaultKind::PlatformAway => *deployment.platform_unavailable.borrow_mut() = false,
                FaultKind::PowerOff => {
                    deployment.history.borrow_mut().power_restored_at = Some(now);
                    for number in 0..deployment.controls.len() {
                        if !deployment.simulation.is_up(deployment.controls[number]) {
                            deployment.start_control(number, false);
                        }
                    }
                    for number in 0..deployment.routers.len() {
                        if !deployment.simulation.is_up(deployment.routers[number]) {
                            deployment.start_router(number);
                        }
                    }
                }
                FaultKind::CutPrimary => deployment.set_isolation(machine_index, false),
                FaultKind::HidePrimary | FaultKind::HideReplica => {
                    deployment.set_control_partition(machine_index, false)
                }
                FaultKind::ReleasePrimary | FaultKind::ReleaseReplica | FaultKind::JoinReplica => {}
            }
            Vec::new()
        }
        ScheduledStep::CrashHost(host_index) => {
            deployment.stop_host(host_index, false);
            // The end of this fault restarts the host.
            let crash = Fault { at: 0.0, duration_s: 4.0, kind: FaultKind::CrashPrimary, target_index: 0 };
            vec![(now + TimeDelta::from_millis(4000), ScheduledStep::End(crash, host_index))]
        }
        ScheduledStep::ReplaceHost(host_index) => {
            // A new host at the same address takes over the log of the old one.
            let (old_id, service) =
                (deployment.hosts[host_index].id.clone(), deployment.hosts[host_index].service);
            let new_id = format!("{old_id}n");
            deployment.stop_host(host_index, false);
            {
                let mut group = deployment.groups[service].borrow_mut();
                if let Some(host_log) = group.host_logs.remove(&old_id) {
                    group.host_logs.insert(new_id.clone(), host_log);
                }
                if group.is_primary(&old_id) {
                    group.primary = Some(new_id.clone());
                }
            }
            deployment.hosts[host_index].id = new_id;
            deployment.hosts[host_index].faults.borrow_mut().draining = false;
            deployment.hosts[host_index].call_seq = Default::default();
            deployment.start_host(host_index);
            Vec::new()
        }
    }
}
