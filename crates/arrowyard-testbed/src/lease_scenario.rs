//! Lease scenarios: random fault plans run with real processes, followed by an audit of the effects done
//! under the lease. The plan of a failing scenario can be run again.

use std::path::Path;
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::effect_recorder::{Effect, EffectRecorder, Violation, audit};
use crate::plan::{Fault, Plan};
use crate::rig::{Rig, RigConfig, monotonic_us};

/// Term of the lease in milliseconds.
pub const TERM_MS: u64 = 600;
/// Number of processes that vote.
const VOTERS: usize = 3;

/// The result of a scenario.
#[derive(Clone, Debug)]
pub struct ScenarioResult {
    pub plan: Plan,
    pub violations: Vec<Violation>,
    pub effects: Vec<Effect>,
    /// Start of the plan and end of the scenario by the machine's monotonic clock.
    pub started_us: i64,
    pub ended_us: i64,
    /// Time from the end of the last fault to the next effect, `None` if there was none.
    pub recovery_ms: Option<i64>,
}

impl ScenarioResult {
    /// The share of the time in which the lease was held. Gaps between effects of up to two intervals and
    /// 30 ms count as held.
    #[must_use]
    pub fn held_share(&self) -> f64 {
        let max_gap_us = 2 * EFFECT_INTERVAL_MS as i64 * 1000 + 30_000;
        let mut previous_us = self.started_us;
        let mut vacant_us = 0;
        for effect in
            self.effects.iter().filter(|effect| effect.accepted && effect.received_us > self.started_us)
        {
            vacant_us += (effect.received_us - previous_us - max_gap_us).max(0);
            previous_us = effect.received_us;
        }
        vacant_us += (self.ended_us - previous_us - max_gap_us).max(0);
        1.0 - vacant_us as f64 / (self.ended_us - self.started_us).max(1) as f64
    }
}

/// Interval of the duty's effects in milliseconds.
const EFFECT_INTERVAL_MS: u64 = 20;

/// A random plan of two to five faults within three seconds, most of them at voters, some of them
/// overlapping. At most one voter loses its votes: if two of three did, no voter would be allowed to vote
/// any more.
#[must_use]
pub fn random_plan(seed: u64, processes: usize) -> Plan {
    let mut rng = Rng::with_seed(seed);
    let mut plan = Plan { seed, ..Plan::new("drawn", processes, 3_000) };
    let mut has_lost_votes = false;
    for _ in 0..rng.usize(2..=5) {
        let (start_ms, duration_ms) = (rng.u64(..2_000), rng.u64(150..1_400));
        let process = if rng.f64() < 0.6 { rng.usize(..VOTERS) } else { rng.usize(..processes) };
        let others: Vec<usize> = (0..processes).filter(|other| *other != process).collect();
        let some_others: Vec<usize> = others.iter().copied().filter(|_| rng.bool()).collect();
        let fault = match rng.usize(..12) {
            0 | 1 => Fault::Kill(vec![process]),
            2 if !has_lost_votes => {
                has_lost_votes = true;
                Fault::LoseVotes(vec![rng.usize(..VOTERS)])
            }
            3 if !has_lost_votes => {
                has_lost_votes = true;
                Fault::RestoreOldVotes(vec![rng.usize(..VOTERS)])
            }
            4 | 5 => Fault::Pause(vec![process]),
            6 => Fault::Shutdown(vec![process]),
            7 => Fault::OneWayPartition(vec![process], some_others),
            8 => Fault::OneWayPartition(some_others, vec![process]),
            9 => Fault::Partition(vec![process], others),
            10 => Fault::PacketLoss(0.1 + 0.4 * rng.f64()),
            _ if rng.bool() => Fault::Delay { ms: rng.u64(5..120) },
            _ => Fault::Duplication(0.5),
        };
        // A process may have only one fault at a time that restarts or pauses it.
        let stopped_processes = |fault: &Fault| match fault {
            Fault::Kill(processes) | Fault::Pause(processes) | Fault::Shutdown(processes) => {
                processes.clone()
            }
            Fault::LoseVotes(processes) | Fault::RestoreOldVotes(processes) => processes.clone(),
            _ => Vec::new(),
        };
        let stopped = stopped_processes(&fault);
        let conflicts = plan.faults.iter().any(|planned| {
            let overlaps = planned.at_ms < start_ms + duration_ms + 400
                && start_ms < planned.at_ms + planned.duration_ms + 400;
            overlaps && stopped_processes(&planned.fault).iter().any(|process| stopped.contains(process))
        });
        if !conflicts {
            plan = plan.with_fault(start_ms, duration_ms, fault);
        }
    }
    plan
}

/// Runs a plan with real processes.
///
/// # Errors
/// A process did not start, or no process acquired the lease before the plan's start.
pub fn run(program: &Path, plan: &Plan) -> Result<ScenarioResult, String> {
    let recorder = EffectRecorder::start(Duration::from_millis(5));
    let duty = format!(
        "duty {{ name: \"task\" at: \"{}\" every_ms: {EFFECT_INTERVAL_MS} takes_ms: 150 }}",
        recorder.address
    );
    let leases_fields = format!("term_ms: {TERM_MS} {duty}");
    let clock_drifts_ppm =
        (0..plan.processes).map(|process| if process % 2 == 0 { 900 } else { -900 }).collect();
    let config = RigConfig {
        without_membership: true,
        voters: VOTERS,
        leases_fields,
        clock_drifts_ppm,
        ..RigConfig::new(plan.processes)
    };
    let mut rig = Rig::start(program, RigConfig { seed: plan.seed, ..config })?;
    let started_at = Instant::now();
    while recorder.effects().len() < 5 {
        if started_at.elapsed() > Duration::from_millis(TERM_MS * 10) {
            return Err(format!("no process acquired the lease before the plan's start: {}", plan.to_json()));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let started_us = rig.run_plan(plan, Duration::ZERO);
    let healed_us = monotonic_us();
    let mut recovery_ms = None;
    let started_at = Instant::now();
    while recovery_ms.is_none() && started_at.elapsed() < Duration::from_millis(TERM_MS * 12) {
        std::thread::sleep(Duration::from_millis(5));
        let first_effect =
            recorder.effects().into_iter().find(|effect| effect.accepted && effect.received_us > healed_us);
        recovery_ms = first_effect.map(|effect| (effect.received_us - healed_us) / 1000);
    }
    std::thread::sleep(Duration::from_millis(200));
    let effects = recorder.effects();
    let has_pauses = plan.faults.iter().any(|planned| matches!(planned.fault, Fault::Pause(_)));
    let violations = audit(&effects, has_pauses);
    Ok(ScenarioResult {
        plan: plan.clone(),
        violations,
        effects,
        started_us,
        ended_us: monotonic_us(),
        recovery_ms,
    })
}
