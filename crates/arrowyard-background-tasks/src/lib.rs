//! Background work on the thread that ops are served on: what is done next, when, and at whose expense. Chores have ranks,
//! a budget of the thread's time together and of what they take outside, pauses after failures, and give way to ops;
//! each is done within a stated time all the same. Decided without I/O and clock: the caller asks for the next turn, does it,
//! and says what it cost.

mod budget;
mod slices;

pub use budget::TokenBucket;
pub use slices::{ListSlice, ListSlicer};

use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

/// Who goes before whom.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Ops are wrong without it: lists that name hosts that leave. It waits for no budget.
    Urgent,
    /// Upkeep that ops gain by.
    Normal,
    /// What can wait while ops do.
    Idle,
}

/// What is asked of one chore.
#[derive(Clone, Copy, Debug)]
pub struct TaskConfig {
    pub name: &'static str,
    pub priority: Priority,
    /// So long after its last turn it is due again; never by itself if absent.
    pub interval: Option<TimeDelta>,
    /// That time is drawn from this share less to this share more, so that processes do not fall in step.
    pub jitter: f64,
    /// So long after it was due it goes before all that are not, whatever ops wait and whatever was spent.
    pub max_delay: TimeDelta,
    /// The pause after a turn that failed, doubled with each in a row, up to the longest.
    pub retry_backoff: TimeDelta,
    pub max_retry_backoff: TimeDelta,
    /// What a turn takes outside: connections, probes, calls.
    pub external_cost: f64,
}

impl TaskConfig {
    /// Upkeep that is due so often.
    #[must_use]
    pub fn periodic(name: &'static str, priority: Priority, every: TimeDelta) -> TaskConfig {
        TaskConfig {
            interval: Some(every),
            max_delay: every * 2.0,
            ..TaskConfig::on_demand(name, priority, every)
        }
    }

    /// What is done when it is asked for.
    #[must_use]
    pub fn on_demand(name: &'static str, priority: Priority, max_delay: TimeDelta) -> TaskConfig {
        let (retry_backoff, max_retry_backoff) =
            (TimeDelta::from_millis(100), TimeDelta::from_millis(30_000));
        TaskConfig {
            name,
            priority,
            interval: None,
            jitter: 0.1,
            max_delay,
            retry_backoff,
            max_retry_backoff,
            external_cost: 0.0,
        }
    }
}

/// What all chores together may spend.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The share of the thread's time, and how much of it may be saved up.
    pub thread_share: f64,
    pub thread_burst: TimeDelta,
    /// What may be taken outside, a second, and saved up.
    pub external_rate: f64,
    pub external_burst: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Budget {
            thread_share: 0.05,
            thread_burst: TimeDelta::from_millis(10),
            external_rate: 50.0,
            external_burst: 50.0,
        }
    }
}

/// How a turn ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOutcome {
    Done,
    /// A slice was done; there is more.
    More,
    Failed,
}

/// What became of a chore so far.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskStats {
    pub turns: u64,
    pub failed: u64,
    pub thread_time: TimeDelta,
    /// The longest single turn, and the longest time from due to begin.
    pub longest_turn: TimeDelta,
    pub longest_delay: TimeDelta,
}

#[derive(Clone, Debug)]
struct State<C> {
    chore: C,
    terms: TaskConfig,
    due: Option<Timestamp>,
    running: bool,
    /// It was asked for while it ran.
    again: bool,
    failed: u32,
    stats: TaskStats,
}

/// `C` names the chores.
pub struct Scheduler<C> {
    chores: Vec<State<C>>,
    thread: TokenBucket,
    takes: TokenBucket,
    /// The earliest moment at which anything may be due: one comparison for callers that come round all the time.
    next: Option<Timestamp>,
    rng: Rng,
}

/// So soon a chore that is due and may not be done yet is looked at again.
const LOOK_AGAIN: TimeDelta = TimeDelta::from_millis(5);

impl<C: Copy + PartialEq> Scheduler<C> {
    #[must_use]
    pub fn new(now: Timestamp, budget: Budget, seed: u64) -> Scheduler<C> {
        Scheduler {
            chores: Vec::new(),
            thread: TokenBucket::new(now, budget.thread_share, budget.thread_burst.as_secs_f64()),
            takes: TokenBucket::new(now, budget.external_rate, budget.external_burst),
            next: None,
            rng: Rng::with_seed(seed),
        }
    }

    /// One more chore; one that is done from time to time is due for the first time within its time.
    pub fn add(&mut self, now: Timestamp, chore: C, terms: TaskConfig) {
        let due = terms.interval.map(|every| now + every * self.rng.f64());
        self.chores.push(State {
            chore,
            terms,
            due,
            running: false,
            again: false,
            failed: 0,
            stats: TaskStats::default(),
        });
        self.look();
    }

    fn of(&mut self, chore: C) -> Option<&mut State<C>> {
        self.chores.iter_mut().find(|one| one.chore == chore)
    }

    /// It is due from now on, if it is not yet. One that rests after a failure goes on resting.
    pub fn request(&mut self, now: Timestamp, chore: C) {
        let Some(one) = self.of(chore) else { return };
        if one.running {
            one.again = true;
        } else if one.failed == 0 {
            one.due = Some(one.due.map_or(now, |due| due.min(now)));
        } else {
            one.due = one.due.or(Some(now));
        }
        self.look();
    }

    fn look(&mut self) {
        self.next = self.chores.iter().filter(|one| !one.running).filter_map(|one| one.due).min();
    }

    /// When a turn may be taken next, if nothing else happens: at once for one that only waits for ops or for its budget.
    #[must_use]
    pub fn next_at(&self) -> Option<Timestamp> {
        self.next
    }

    /// The chore whose turn it is, if any. `ops`: others wait for the thread.
    ///
    /// First those that are late beyond their time, the one that is latest by its own measure first. Danger: a router that is
    /// never idle never saves its list, and one that never has budget left never closes an idle connection. Each
    /// turn of them is one slice, so that between two of them ops are served; all the same the debt is kept and paid by the rest.
    pub fn begin_next(&mut self, now: Timestamp, ops: bool) -> Option<C> {
        if self.next.is_none_or(|next| next > now) {
            return None;
        }
        let due = |one: &(usize, &State<C>)| !one.1.running && one.1.due.is_some_and(|due| due <= now);
        let lateness = |one: &State<C>| {
            (now - one.due.unwrap_or(now)) / one.terms.max_delay.max(TimeDelta::from_micros(1))
        };
        let latest = self
            .chores
            .iter()
            .enumerate()
            .filter(|one| due(one) && lateness(one.1) >= 1.0)
            .max_by(|a, b| lateness(a.1).total_cmp(&lateness(b.1)));
        if let Some((at, _)) = latest {
            return Some(self.begin(now, at));
        }
        let thread = self.thread.level(now) > 0.0;
        let level = self.takes.level(now);
        let may = |one: &State<C>| {
            let takes =
                one.terms.external_cost == 0.0 || level >= one.terms.external_cost.min(self.takes.capacity());
            match one.terms.priority {
                Priority::Urgent => takes,
                Priority::Normal => thread && takes,
                Priority::Idle => thread && takes && !ops,
            }
        };
        let fit = self.chores.iter().enumerate().filter(|one| due(one) && may(one.1));
        let next = fit.min_by_key(|one| (one.1.terms.priority, one.1.due)).map(|one| one.0);
        if next.is_none() {
            // Danger: what is due and may not be done is asked for again and again, and the thread is never idle.
            let later = self.chores.iter().filter(|one| !one.running).filter_map(|one| one.due);
            self.next = later.map(|due| due.max(now + LOOK_AGAIN)).min();
        }
        Some(self.begin(now, next?))
    }

    fn begin(&mut self, now: Timestamp, at: usize) -> C {
        let one = &mut self.chores[at];
        let late = now - one.due.unwrap_or(now);
        one.stats.longest_delay = one.stats.longest_delay.max(late);
        (one.running, one.due) = (true, None);
        self.takes.spend(now, one.terms.external_cost);
        let chore = one.chore;
        self.look();
        chore
    }

    /// A turn has ended, and took so much of the thread's time.
    pub fn finish(&mut self, now: Timestamp, chore: C, took: TimeDelta, end: TurnOutcome) {
        self.thread.spend(now, took.as_secs_f64());
        let draw = self.rng.f64();
        let Some(one) = self.of(chore) else { return };
        let stats = &mut one.stats;
        (stats.turns, stats.thread_time) = (stats.turns + 1, stats.thread_time + took);
        stats.longest_turn = stats.longest_turn.max(took);
        one.running = false;
        let again = std::mem::take(&mut one.again);
        one.due = match end {
            TurnOutcome::Failed => {
                stats.failed += 1;
                // Danger: what fails at once is tried all the time. Full jitter: what many processes share is asked by each at
                // its own moment.
                let rest = one.terms.retry_backoff * f64::from(1_u32 << one.failed.min(16));
                one.failed += 1;
                Some(now + one.terms.retry_backoff * 0.5 + rest.min(one.terms.max_retry_backoff) * draw)
            }
            TurnOutcome::More => {
                one.failed = 0;
                Some(now)
            }
            TurnOutcome::Done => {
                one.failed = 0;
                let jitter = 1.0 + one.terms.jitter * (2.0 * draw - 1.0);
                let every = one.terms.interval.map(|every| now + every * jitter);
                if again { Some(now) } else { every }
            }
        };
        self.look();
    }

    /// Of all chores: their names and what became of them.
    pub fn stats(&self) -> impl Iterator<Item = (&'static str, TaskStats)> {
        self.chores.iter().map(|one| (one.terms.name, one.stats))
    }
}
