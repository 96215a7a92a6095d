//! Days: a deployment, what happens to it, and what was broken. A day is data; the same day plays the same.

use std::collections::BTreeMap;

use arrowyard_runtime::Signal;
use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;
use serde::{Deserialize, Serialize};

use crate::history::{Breach, Kept, Tally};
use crate::system::{Plan, Surge, System};
use crate::world::{DiskFault, MachineId};

/// What can happen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Trouble {
    KillControl,
    DarkControl,
    WipeControl,
    /// As many at once as may be lost lose power and disk.
    WipeControls,
    /// One is taken away for good; an empty one at another address comes for it.
    ReplaceControl,
    FreezeControl,
    /// One control machine is cut off from the others, not from routers and hosts.
    CutControl,
    /// Nothing that one control machine says reaches the others, and it hears them.
    MuteControl,
    /// One control machine hears nothing of the others, and they hear it.
    DeafControl,
    /// A control machine's disk refuses writes.
    RefuseDisk,
    /// A control machine's disk answers nothing.
    HangDisk,
    KillRouter,
    RollRouter,
    CrashPrimary,
    DarkPrimary,
    CrashReplica,
    DarkReplica,
    DeafReplica,
    /// A replica receives nothing for a while and then the primary crashes.
    DeafThenCrash,
    LateReplica,
    ReleasePrimary,
    ReleaseReplica,
    /// A primary is cut off from control and from its replicas; routers reach it.
    CutPrimary,
    /// A primary, or a replica, is cut off from control; routers and the service's other hosts reach it.
    HidePrimary,
    HideReplica,
    /// A service gets one more replica, which receives from its primary at once.
    JoinReplica,
    LoseAnswers,
    /// A primary fails part of its statements.
    FailStatements,
    SlowHost,
    PlatformAway,
    /// Every control machine and router loses power.
    PowerOff,
}

impl Trouble {
    pub const ALL: [Trouble; 31] = [
        Trouble::KillControl,
        Trouble::DarkControl,
        Trouble::WipeControl,
        Trouble::WipeControls,
        Trouble::ReplaceControl,
        Trouble::FreezeControl,
        Trouble::CutControl,
        Trouble::MuteControl,
        Trouble::DeafControl,
        Trouble::RefuseDisk,
        Trouble::HangDisk,
        Trouble::KillRouter,
        Trouble::RollRouter,
        Trouble::CrashPrimary,
        Trouble::DarkPrimary,
        Trouble::CrashReplica,
        Trouble::DarkReplica,
        Trouble::DeafReplica,
        Trouble::DeafThenCrash,
        Trouble::LateReplica,
        Trouble::ReleasePrimary,
        Trouble::ReleaseReplica,
        Trouble::CutPrimary,
        Trouble::HidePrimary,
        Trouble::HideReplica,
        Trouble::JoinReplica,
        Trouble::LoseAnswers,
        Trouble::FailStatements,
        Trouble::SlowHost,
        Trouble::PlatformAway,
        Trouble::PowerOff,
    ];

    /// Whether it takes a control machine away, of which only one may be away at a time.
    fn counts(self) -> bool {
        use Trouble::*;
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

    /// Whether it takes a host of a service away.
    fn takes_host(self) -> bool {
        use Trouble::*;
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

/// Something that happens: when, for how long, and to which of those that it may happen to.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Fault {
    pub at: f64,
    #[serde(default)]
    pub for_s: f64,
    pub what: Trouble,
    #[serde(default)]
    pub which: usize,
}

/// A day.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct Day {
    pub seed: u64,
    pub controls: usize,
    pub routers: usize,
    pub services: usize,
    pub users: usize,
    pub seconds: f64,
    #[serde(default)]
    pub changes: Vec<f64>,
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// Between two operations of one user, in milliseconds.
    #[serde(default = "think")]
    pub think_ms: i64,
    /// How many control machines may be lost at once.
    #[serde(default = "one")]
    pub tolerance: u32,
    /// Whether the platform refuses a fence that is lower than one it has seen.
    #[serde(default = "yes")]
    pub fence_checked: bool,
    /// Connections that one host takes.
    #[serde(default = "limit")]
    pub limit: u32,
    /// The share of operations that must be served, for a day that is kept.
    #[serde(default = "half")]
    pub least_served: f64,
    #[serde(default)]
    pub surges: Vec<Surge>,
    /// Whether pressed hosts are divided.
    #[serde(default = "yes")]
    pub divides: bool,
    /// What the operator promises kinds of requests, as the configuration has it; nothing if empty.
    #[serde(default)]
    pub shares: String,
}

fn yes() -> bool {
    true
}

fn limit() -> u32 {
    57
}

fn half() -> f64 {
    0.5
}

fn one() -> u32 {
    1
}

fn think() -> i64 {
    120
}

/// A deployment that nothing happens to.
impl Default for Day {
    fn default() -> Self {
        Day {
            seed: 1,
            controls: 3,
            routers: 2,
            services: 1,
            users: 2,
            seconds: 22.0,
            changes: Vec::new(),
            faults: Vec::new(),
            think_ms: think(),
            tolerance: one(),
            fence_checked: true,
            limit: limit(),
            least_served: half(),
            surges: Vec::new(),
            divides: true,
            shares: String::new(),
        }
    }
}

/// What came of a day.
#[derive(Clone, Debug)]
pub struct Played {
    pub breaches: Vec<Breach>,
    pub tally: Tally,
    pub seconds: Vec<(i64, u64, u64)>,
    pub promotions: u32,
    pub acknowledged: bool,
    pub runs: u64,
    pub over_cap: u64,
    /// How long after the acknowledgement that it leaves a host was asked last.
    pub asked_after_leaving: Option<TimeDelta>,
    /// By service: when a write was acknowledged.
    pub writes: BTreeMap<String, Vec<Timestamp>>,
    /// When changes of the configuration were acknowledged.
    pub acks: Vec<Timestamp>,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub kinds: BTreeMap<&'static str, Kept>,
    /// Of all control machines: bytes that they wrote, and the time of their own code.
    pub control: (u64, std::time::Duration),
}

fn at(seconds: f64) -> Timestamp {
    Timestamp::from_micros((seconds * 1e6) as i64)
}

/// So long after all machines are back a quarter at least is served; the users' page gives 12 s.
const RECOVERS: TimeDelta = TimeDelta::from_millis(3000);

/// So long after a day's end the configuration must have been read back.
const READ_BACK: TimeDelta = TimeDelta::from_millis(2500);

/// A day with what the seed draws.
pub fn drawn(seed: u64) -> Day {
    let mut rng = Rng::with_seed(seed);
    let seconds = 22.0;
    let mut faults: Vec<Fault> = Vec::new();
    let (mut control_free, mut host_free, mut power) = (5.0, 5.0, false);
    for _ in 0..rng.usize(1..5) {
        let what = Trouble::ALL[rng.usize(0..Trouble::ALL.len())];
        let for_s = 1.0 + 4.0 * rng.f64();
        let mut start = 5.0 + 8.0 * rng.f64();
        // No more is lost at once than what the deployment is to bear.
        if what.counts() {
            start = f64::max(start, control_free);
            control_free = start + for_s + 6.0;
        }
        if what.takes_host() {
            start = f64::max(start, host_free);
            host_free = start + for_s + 11.0;
        }
        if what == Trouble::PowerOff {
            if power {
                continue;
            }
            power = true;
            start = 15.0;
        }
        if start > 15.0 {
            continue;
        }
        faults.push(Fault { at: start, for_s: for_s.min(18.5 - start), what, which: rng.usize(0..6) });
    }
    // Whatever counts must not meet the end of the power.
    if power {
        faults.retain(|fault| !fault.what.counts() || fault.at + fault.for_s + 4.0 < 15.0);
    }
    let controls = rng.usize(3..7);
    Day {
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
        ..Day::default()
    }
}

/// Begins or ends what a fault does.
#[derive(Clone, Debug)]
enum Turn {
    Begin(Fault),
    End(Fault, usize),
    Crash(usize),
    Replace(usize),
}

/// Plays a day.
pub fn play(day: &Day) -> Played {
    let plan = Plan {
        seed: day.seed,
        controls: day.controls,
        routers: day.routers,
        services: day.services,
        users: day.users,
        think: TimeDelta::from_millis(day.think_ms),
        from: at(3.0),
        until: at(day.seconds - 1.5),
        changes: day.changes.iter().map(|change| at(*change)).collect(),
        limit: day.limit,
        zones: 3,
        tolerance: day.tolerance,
        fence_checked: day.fence_checked,
        surges: day.surges.clone(),
        divides: day.divides,
        shares: day.shares.clone(),
    };
    let mut system = System::new(plan);
    let mut turns: Vec<(Timestamp, Turn)> =
        day.faults.iter().map(|fault| (at(fault.at), Turn::Begin(fault.clone()))).collect();
    let end = at(day.seconds);
    loop {
        turns.sort_by_key(|(when, _)| *when);
        if turns.first().is_none_or(|(when, _)| *when > end) {
            break;
        }
        let (when, turn) = turns.remove(0);
        system.world.run(when);
        turns.extend(take(&mut system, when, turn));
        restart_ended(&mut system);
    }
    system.world.run(end);
    // The operator reads back, and asks again and again.
    system.world.run(end + READ_BACK);
    let mut history = system.history.borrow_mut();
    history.audit_configuration(end + READ_BACK);
    history.audit_recovery(end, RECOVERS);
    history.audit_logs(end, &system.shards);
    let mut latencies = history.latencies.clone();
    latencies.sort_unstable();
    let part = |share: f64| {
        let place = ((latencies.len() as f64 * share) as usize).min(latencies.len().saturating_sub(1));
        latencies.get(place).map_or(0.0, |took| took.as_secs_f64() * 1000.0)
    };
    let promotions = system.shards.iter().map(|shard| shard.borrow().promotions).sum();
    Played {
        p50_ms: part(0.5),
        p99_ms: part(0.99),
        breaches: history.breaches.clone(),
        tally: history.tally,
        seconds: history.seconds.iter().map(|(second, (asked, served))| (*second, *asked, *served)).collect(),
        promotions,
        acknowledged: true,
        runs: history.runs,
        over_cap: history.reset_over_cap,
        asked_after_leaving: history.asked_after_leaving,
        writes: history.acknowledged_at(),
        acks: history.acks.clone(),
        kinds: history.kinds.clone(),
        control: system
            .controls
            .iter()
            .map(|machine| system.world.cost(*machine))
            .fold((0, std::time::Duration::ZERO), |sum, cost| (sum.0 + cost.0, sum.1 + cost.3)),
    }
}

/// Routers that ended because they were told to start again.
fn restart_ended(system: &mut System) {
    for number in 0..system.routers.len() {
        if system.world.has_stopped(system.routers[number]) && !system.world.is_up(system.routers[number]) {
            system.start_router(number);
        }
    }
}

/// The machines that lose their disks together.
fn wiped(system: &System, fault: &Fault) -> Vec<usize> {
    (0..system.plan.tolerance as usize).map(|next| system.control_of(fault.which + next)).collect()
}

/// From one control machine to each of the others.
fn ways(system: &System, control: usize) -> Vec<(MachineId, MachineId)> {
    let one = system.controls[control];
    system.controls.iter().filter(|other| **other != one).map(|other| (one, *other)).collect()
}

fn take(system: &mut System, now: Timestamp, turn: Turn) -> Vec<(Timestamp, Turn)> {
    let later = |fault: &Fault, what: usize| {
        let ends = now + TimeDelta::from_micros((fault.for_s * 1e6) as i64);
        vec![(ends, Turn::End(fault.clone(), what))]
    };
    match turn {
        Turn::Begin(fault) => {
            let control = system.control_of(fault.which);
            let router = fault.which % system.routers.len();
            let service = fault.which % system.shards.len();
            let primary = system.seat_of(service, true, 0);
            let replica = system.seat_of(service, false, fault.which % 2);
            match fault.what {
                Trouble::KillControl => system.world.kill(system.controls[control]),
                Trouble::DarkControl => system.world.darken(system.controls[control]),
                Trouble::WipeControl => {
                    system.world.darken(system.controls[control]);
                    system.disks[control].borrow_mut().records.clear();
                }
                Trouble::WipeControls => {
                    for number in wiped(system, &fault) {
                        system.world.darken(system.controls[number]);
                        system.disks[number].borrow_mut().records.clear();
                    }
                }
                Trouble::ReplaceControl => system.remove_control(control),
                Trouble::FreezeControl => system.world.freeze(system.controls[control], true),
                Trouble::CutControl => {
                    for other in (0..system.controls.len()).filter(|other| *other != control) {
                        system.world.cut(system.controls[control], system.controls[other]);
                    }
                }
                Trouble::MuteControl => {
                    for (one, other) in ways(system, control) {
                        system.world.mute(one, other);
                    }
                }
                Trouble::DeafControl => {
                    for (one, other) in ways(system, control) {
                        system.world.mute(other, one);
                    }
                }
                Trouble::RefuseDisk => system.world.fail_disk(system.controls[control], DiskFault::Refuses),
                Trouble::HangDisk => system.world.fail_disk(system.controls[control], DiskFault::Hangs),
                Trouble::KillRouter => system.world.kill(system.routers[router]),
                Trouble::RollRouter => {
                    system.shun_router(router);
                    system.world.sign(system.routers[router], Signal::Terminate);
                    return vec![(now + TimeDelta::from_millis(6000), Turn::End(fault, router))];
                }
                Trouble::CrashPrimary | Trouble::DarkPrimary => {
                    let Some(seat) = primary else { return Vec::new() };
                    system.stop_host(seat, fault.what == Trouble::DarkPrimary);
                    return later(&fault, seat);
                }
                Trouble::CrashReplica | Trouble::DarkReplica => {
                    let Some(seat) = replica else { return Vec::new() };
                    system.stop_host(seat, fault.what == Trouble::DarkReplica);
                    return later(&fault, seat);
                }
                Trouble::DeafReplica | Trouble::DeafThenCrash | Trouble::LateReplica => {
                    let Some(seat) = replica else { return Vec::new() };
                    let id = system.hosts[seat].id.clone();
                    if let Some(copy) = system.shards[service].borrow_mut().copies.get_mut(&id) {
                        copy.deaf = fault.what != Trouble::LateReplica;
                        copy.lag = TimeDelta::from_millis(if copy.deaf { 8 } else { 900 });
                    }
                    let mut turns = later(&fault, seat);
                    if fault.what == Trouble::DeafThenCrash {
                        let crash = now + TimeDelta::from_micros((fault.for_s * 5e5) as i64);
                        turns.extend(primary.map(|primary| (crash, Turn::Crash(primary))));
                    }
                    return turns;
                }
                Trouble::ReleasePrimary | Trouble::ReleaseReplica => {
                    let leaves = if fault.what == Trouble::ReleasePrimary { primary } else { replica };
                    let Some(seat) = leaves else { return Vec::new() };
                    system.hosts[seat].faults.borrow_mut().draining = true;
                    // Told within a period, served on for the bound, and a little longer.
                    return vec![(now + TimeDelta::from_millis(9500), Turn::Replace(seat))];
                }
                Trouble::CutPrimary => {
                    let Some(seat) = primary else { return Vec::new() };
                    system.isolate_host(seat, true);
                    return later(&fault, seat);
                }
                Trouble::HidePrimary | Trouble::HideReplica => {
                    let hidden = if fault.what == Trouble::HidePrimary { primary } else { replica };
                    let Some(seat) = hidden else { return Vec::new() };
                    system.hide_host(seat, true);
                    return later(&fault, seat);
                }
                Trouble::JoinReplica => {
                    system.add_host(service);
                    return Vec::new();
                }
                Trouble::LoseAnswers | Trouble::FailStatements | Trouble::SlowHost => {
                    let Some(seat) = primary else { return Vec::new() };
                    let mut faults = system.hosts[seat].faults.borrow_mut();
                    match fault.what {
                        Trouble::SlowHost => faults.slow = 6.0,
                        Trouble::FailStatements => faults.failing = 0.2,
                        _ => faults.lost = 0.15,
                    }
                    return later(&fault, seat);
                }
                Trouble::PlatformAway => *system.away.borrow_mut() = true,
                Trouble::PowerOff => {
                    let all = system.controls.iter().chain(&system.routers).copied().collect::<Vec<_>>();
                    all.into_iter().for_each(|machine| system.world.darken(machine));
                    return vec![(now + TimeDelta::from_millis(900), Turn::End(fault, 0))];
                }
            }
            let what = match fault.what {
                Trouble::KillRouter => router,
                _ => control,
            };
            later(&fault, what)
        }
        Turn::End(fault, place) => {
            match fault.what {
                Trouble::KillControl | Trouble::DarkControl | Trouble::WipeControl => {
                    if !system.world.is_up(system.controls[place]) {
                        system.start_control(place, false);
                    }
                }
                Trouble::WipeControls => {
                    for number in wiped(system, &fault) {
                        if !system.world.is_up(system.controls[number]) {
                            system.start_control(number, false);
                        }
                    }
                }
                Trouble::ReplaceControl => system.add_control(),
                Trouble::FreezeControl => system.world.freeze(system.controls[place], false),
                Trouble::CutControl => {
                    for other in (0..system.controls.len()).filter(|other| *other != place) {
                        system.world.join(system.controls[place], system.controls[other]);
                    }
                }
                Trouble::MuteControl => {
                    for (one, other) in ways(system, place) {
                        system.world.unmute(one, other);
                    }
                }
                Trouble::DeafControl => {
                    for (one, other) in ways(system, place) {
                        system.world.unmute(other, one);
                    }
                }
                Trouble::RefuseDisk | Trouble::HangDisk => {
                    system.world.fail_disk(system.controls[place], DiskFault::None);
                }
                Trouble::KillRouter | Trouble::RollRouter => {
                    if !system.world.is_up(system.routers[place]) {
                        system.start_router(place);
                    }
                }
                Trouble::CrashPrimary
                | Trouble::DarkPrimary
                | Trouble::CrashReplica
                | Trouble::DarkReplica => {
                    if !system.world.is_up(system.hosts[place].machine) {
                        system.start_host(place);
                    }
                }
                Trouble::DeafReplica | Trouble::DeafThenCrash | Trouble::LateReplica => {
                    let (id, service) = (system.hosts[place].id.clone(), system.hosts[place].service);
                    let mut shard = system.shards[service].borrow_mut();
                    if let Some(copy) = shard.copies.get_mut(&id) {
                        (copy.deaf, copy.lag) = (false, TimeDelta::from_millis(8));
                    }
                    shard.pass_on(now, &id);
                }
                Trouble::LoseAnswers | Trouble::FailStatements | Trouble::SlowHost => {
                    let mut faults = system.hosts[place].faults.borrow_mut();
                    (faults.slow, faults.lost, faults.failing) = (1.0, 0.0, 0.0);
                }
                Trouble::PlatformAway => *system.away.borrow_mut() = false,
                Trouble::PowerOff => {
                    system.history.borrow_mut().back = Some(now);
                    for number in 0..system.controls.len() {
                        if !system.world.is_up(system.controls[number]) {
                            system.start_control(number, false);
                        }
                    }
                    for number in 0..system.routers.len() {
                        if !system.world.is_up(system.routers[number]) {
                            system.start_router(number);
                        }
                    }
                }
                Trouble::CutPrimary => system.isolate_host(place, false),
                Trouble::HidePrimary | Trouble::HideReplica => system.hide_host(place, false),
                Trouble::ReleasePrimary | Trouble::ReleaseReplica | Trouble::JoinReplica => {}
            }
            Vec::new()
        }
        Turn::Crash(seat) => {
            system.stop_host(seat, false);
            let back = Fault { at: 0.0, for_s: 4.0, what: Trouble::CrashPrimary, which: 0 };
            vec![(now + TimeDelta::from_millis(4000), Turn::End(back, seat))]
        }
        Turn::Replace(seat) => {
            // The old host is gone; its log goes to a new one at its address.
            let (old, service) = (system.hosts[seat].id.clone(), system.hosts[seat].service);
            let new = format!("{old}n");
            system.stop_host(seat, false);
            {
                let mut shard = system.shards[service].borrow_mut();
                if let Some(copy) = shard.copies.remove(&old) {
                    shard.copies.insert(new.clone(), copy);
                }
                if shard.leads(&old) {
                    shard.primary = Some(new.clone());
                }
            }
            system.hosts[seat].id = new;
            system.hosts[seat].faults.borrow_mut().draining = false;
            system.hosts[seat].seq = Default::default();
            system.start_host(seat);
            Vec::new()
        }
    }
}
