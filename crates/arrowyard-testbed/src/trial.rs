//! Trials of leases: fault plans drawn from a seed, played by real processes, and what was done under the lease looked
//! through. A trial that finds something prints its plan, which can be played again.

use std::path::Path;
use std::time::{Duration, Instant};

use fastrand::Rng;

use crate::plan::{Fault, Plan};
use crate::rig::{Rig, Setting, mono_us};
use crate::taker::{Effect, Taker, Wrong, audit};

/// The term of the trials' lease, in milliseconds, and how many processes vote.
pub const TERM_MS: u64 = 600;
const VOTERS: usize = 3;

/// What came of a trial.
#[derive(Clone, Debug)]
pub struct Told {
    pub plan: Plan,
    pub wrong: Vec<Wrong>,
    pub effects: Vec<Effect>,
    /// From when to when the plan was played, by the machine's monotonic clock.
    pub from_us: i64,
    pub till_us: i64,
    /// How long after the last fault's end somebody acted; nothing if nobody did.
    pub after_ms: Option<i64>,
}

impl Told {
    /// The share of the time in which somebody acted within the last two acts' gaps: somebody held the lease.
    #[must_use]
    pub fn held(&self) -> f64 {
        let gap = 2 * EVERY_MS as i64 * 1000 + 30_000;
        let mut at = self.from_us;
        let mut free = 0;
        for effect in self.effects.iter().filter(|effect| effect.taken && effect.came_us > self.from_us) {
            free += (effect.came_us - at - gap).max(0);
            at = effect.came_us;
        }
        free += (self.till_us - at - gap).max(0);
        1.0 - free as f64 / (self.till_us - self.from_us).max(1) as f64
    }
}

/// How often the duty is done, in milliseconds.
const EVERY_MS: u64 = 20;

/// A plan drawn from the seed: two to five faults within three seconds, most of them at voters, some in the middle of others.
/// At most one voter loses its votes: with two of three lost nobody may vote any more, which is right and ends the trial.
#[must_use]
pub fn draw(seed: u64, processes: usize) -> Plan {
    let mut rng = Rng::with_seed(seed);
    let mut plan = Plan { seed, ..Plan::new("drawn", processes, 3_000) };
    let mut lost = false;
    for _ in 0..rng.usize(2..=5) {
        let (at, span) = (rng.u64(..2_000), rng.u64(150..1_400));
        let one = if rng.f64() < 0.6 { rng.usize(..VOTERS) } else { rng.usize(..processes) };
        let others: Vec<usize> = (0..processes).filter(|other| *other != one).collect();
        let some: Vec<usize> = others.iter().copied().filter(|_| rng.bool()).collect();
        let fault = match rng.usize(..12) {
            0 | 1 => Fault::Kill(vec![one]),
            2 if !lost => {
                lost = true;
                Fault::LoseVotes(vec![rng.usize(..VOTERS)])
            }
            3 if !lost => {
                lost = true;
                Fault::OlderVotes(vec![rng.usize(..VOTERS)])
            }
            4 | 5 => Fault::Halt(vec![one]),
            6 => Fault::End(vec![one]),
            7 => Fault::Cut(vec![one], some),
            8 => Fault::Cut(some, vec![one]),
            9 => Fault::Part(vec![one], others),
            10 => Fault::Lose(0.1 + 0.4 * rng.f64()),
            _ if rng.bool() => Fault::Delay { ms: rng.u64(5..120) },
            _ => Fault::Double(0.5),
        };
        // A process is in one fault at a time that starts or halts it.
        let moved = |fault: &Fault| match fault {
            Fault::Kill(who) | Fault::Halt(who) | Fault::End(who) => who.clone(),
            Fault::LoseVotes(who) | Fault::OlderVotes(who) => who.clone(),
            _ => Vec::new(),
        };
        let of = moved(&fault);
        let clash = plan.acts.iter().any(|act| {
            let near = act.at_ms < at + span + 400 && at < act.at_ms + act.for_ms + 400;
            near && moved(&act.fault).iter().any(|who| of.contains(who))
        });
        if !clash {
            plan = plan.act(at, span, fault);
        }
    }
    plan
}

/// Plays a plan.
///
/// # Errors
/// A process did not start, or nobody held the lease before the plan began.
pub fn play(program: &Path, plan: &Plan) -> Result<Told, String> {
    let taker = Taker::start(Duration::from_millis(5));
    let duty =
        format!("duty {{ name: \"task\" at: \"{}\" every_ms: {EVERY_MS} takes_ms: 150 }}", taker.address);
    let leases = format!("term_ms: {TERM_MS} {duty}");
    let clocks = (0..plan.processes).map(|who| if who % 2 == 0 { 900 } else { -900 }).collect();
    let setting = Setting { off: true, voters: VOTERS, leases, clocks, ..Setting::of(plan.processes) };
    let mut rig = Rig::start(program, Setting { seed: plan.seed, ..setting })?;
    let began = Instant::now();
    while taker.effects().len() < 5 {
        if began.elapsed() > Duration::from_millis(TERM_MS * 10) {
            return Err(format!("nobody holds the lease before the plan begins: {}", plan.text()));
        }
        std::thread::sleep(Duration::from_millis(5));
    }
    let from_us = rig.play(plan, Duration::ZERO);
    let healed = mono_us();
    let mut after_ms = None;
    let began = Instant::now();
    while after_ms.is_none() && began.elapsed() < Duration::from_millis(TERM_MS * 12) {
        std::thread::sleep(Duration::from_millis(5));
        let first = taker.effects().into_iter().find(|effect| effect.taken && effect.came_us > healed);
        after_ms = first.map(|effect| (effect.came_us - healed) / 1000);
    }
    std::thread::sleep(Duration::from_millis(200));
    let effects = taker.effects();
    let halts = plan.acts.iter().any(|act| matches!(act.fault, Fault::Halt(_)));
    let wrong = audit(&effects, halts);
    Ok(Told { plan: plan.clone(), wrong, effects, from_us, till_us: mono_us(), after_ms })
}
