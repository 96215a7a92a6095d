//! Cooperative scheduling of background tasks on the thread that serves operations. Tasks have priorities,
//! share a budget of thread time and of external resources, back off after failures, and yield to waiting
//! operations, but each runs within its maximum delay. No I/O and no clock: the caller asks for the next
//! turn, runs it and reports what it cost.

mod budget;
mod slices;

pub use budget::TokenBucket;
pub use slices::{ListSlice, ListSlicer};

use arrowyard_types::{TimeDelta, Timestamp};
use fastrand::Rng;

/// The priority of a task, highest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Priority {
    /// Required for correct routing, such as lists of draining hosts. Not limited by the thread budget.
    Urgent,
    /// Maintenance that improves the service.
    Normal,
    /// Runs only while no operation waits.
    Idle,
}

/// The configuration of one task.
#[derive(Clone, Copy, Debug)]
pub struct TaskConfig {
    pub name: &'static str,
    pub priority: Priority,
    /// The interval after the previous turn; `None` for a task that runs only on request.
    pub interval: Option<TimeDelta>,
    /// The interval varies by up to this share in both directions, so that processes do not synchronize.
    pub jitter: f64,
    /// A task that is overdue by this time runs before all others, regardless of waiting operations and the
    /// budget.
    pub max_delay: TimeDelta,
    /// The backoff after a failed turn, doubled with each consecutive failure up to the maximum.
    pub retry_backoff: TimeDelta,
    pub max_retry_backoff: TimeDelta,
    /// The external cost of a turn: connections, probes, calls.
    pub external_cost: f64,
}

impl TaskConfig {
    /// A task that runs periodically.
    #[must_use]
    pub fn periodic(name: &'static str, priority: Priority, interval: TimeDelta) -> TaskConfig {
        TaskConfig {
            interval: Some(interval),
            max_delay: interval * 2.0,
            ..TaskConfig::on_demand(name, priority, interval)
        }
    }

    /// A task that runs on request.
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

/// The budget that all tasks share.
#[derive(Clone, Copy, Debug)]
pub struct Budget {
    /// The share of the thread's time, and the unused time that may accumulate.
    pub thread_share: f64,
    pub thread_burst: TimeDelta,
    /// The external cost per second, and the unused cost that may accumulate.
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

/// The result of a turn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TurnOutcome {
    Done,
    /// Part of the work is done; the task is due again immediately.
    More,
    Failed,
}

/// Statistics of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskStats {
    pub turns: u64,
    pub failed: u64,
    pub thread_time: TimeDelta,
    /// The longest turn, and the longest delay between due time and start.
    pub longest_turn: TimeDelta,
    pub longest_delay: TimeDelta,
}

#[derive(Clone, Debug)]
struct TaskState<C> {
    id: C,
    config: TaskConfig,
    due: Option<Timestamp>,
    running: bool,
    /// Requested again while running.
    requested_again: bool,
    consecutive_failures: u32,
    stats: TaskStats,
}

/// Schedules background tasks; `C` identifies a task.
pub struct Scheduler<C> {
    tasks: Vec<TaskState<C>>,
    thread_budget: TokenBucket,
    external_budget: TokenBucket,
    /// The earliest time at which any task may be due, so that frequent polls cost one comparison.
    next: Option<Timestamp>,
    rng: Rng,
}

/// The delay before a due task that may not run yet is considered again.
const BLOCKED_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(5);

impl<C: Copy + PartialEq> Scheduler<C> {
    /// Creates a scheduler without tasks; `seed` determines its jitter.
    #[must_use]
    pub fn new(now: Timestamp, budget: Budget, seed: u64) -> Scheduler<C> {
        Scheduler {
            tasks: Vec::new(),
            thread_budget: TokenBucket::new(now, budget.thread_share, budget.thread_burst.as_secs_f64()),
            external_budget: TokenBucket::new(now, budget.external_rate, budget.external_burst),
            next: None,
            rng: Rng::with_seed(seed),
        }
    }

    /// Adds a task. A periodic one is first due at a random time within its interval.
    pub fn add(&mut self, now: Timestamp, id: C, config: TaskConfig) {
        let due = config.interval.map(|every| now + every * self.rng.f64());
        self.tasks.push(TaskState {
            id,
            config,
            due,
            running: false,
            requested_again: false,
            consecutive_failures: 0,
            stats: TaskStats::default(),
        });
        self.update_next();
    }

    fn task_mut(&mut self, id: C) -> Option<&mut TaskState<C>> {
        self.tasks.iter_mut().find(|one| one.id == id)
    }

    /// Makes a task due now. A task in backoff after a failure stays in backoff.
    pub fn request(&mut self, now: Timestamp, id: C) {
        let Some(one) = self.task_mut(id) else { return };
        if one.running {
            one.requested_again = true;
        } else if one.consecutive_failures == 0 {
            one.due = Some(one.due.map_or(now, |due| due.min(now)));
        } else {
            one.due = one.due.or(Some(now));
        }
        self.update_next();
    }

    fn update_next(&mut self) {
        self.next = self.tasks.iter().filter(|one| !one.running).filter_map(|one| one.due).min();
    }

    /// When [`Scheduler::begin_next`] has to be called next.
    #[must_use]
    pub fn next_at(&self) -> Option<Timestamp> {
        self.next
    }

    /// Starts the next turn, if a task may run; `ops`: operations wait for the thread.
    ///
    /// Tasks beyond their maximum delay come first, the most overdue one relative to its maximum delay
    /// before the others, so that a constantly busy router does not starve them. Their cost is still charged
    /// to the budget.
    pub fn begin_next(&mut self, now: Timestamp, ops: bool) -> Option<C> {
        if self.next.is_none_or(|next| next > now) {
            return None;
        }
        let due = |one: &(usize, &TaskState<C>)| !one.1.running && one.1.due.is_some_and(|due| due <= now);
        let lateness = |one: &TaskState<C>| {
            (now - one.due.unwrap_or(now)) / one.config.max_delay.max(TimeDelta::from_micros(1))
        };
        let latest = self
            .tasks
            .iter()
            .enumerate()
            .filter(|one| due(one) && lateness(one.1) >= 1.0)
            .max_by(|a, b| lateness(a.1).total_cmp(&lateness(b.1)));
        if let Some((at, _)) = latest {
            return Some(self.begin(now, at));
        }
        let has_thread_budget = self.thread_budget.level(now) > 0.0;
        let external_level = self.external_budget.level(now);
        let may_run = |one: &TaskState<C>| {
            let has_external_budget = one.config.external_cost == 0.0
                || external_level >= one.config.external_cost.min(self.external_budget.capacity());
            match one.config.priority {
                Priority::Urgent => has_external_budget,
                Priority::Normal => has_thread_budget && has_external_budget,
                Priority::Idle => has_thread_budget && has_external_budget && !ops,
            }
        };
        let runnable = self.tasks.iter().enumerate().filter(|one| due(one) && may_run(one.1));
        let next = runnable.min_by_key(|one| (one.1.config.priority, one.1.due)).map(|one| one.0);
        if next.is_none() {
            // Delays the next attempt, or blocked tasks would keep the thread polling.
            let later = self.tasks.iter().filter(|one| !one.running).filter_map(|one| one.due);
            self.next = later.map(|due| due.max(now + BLOCKED_RETRY_INTERVAL)).min();
        }
        Some(self.begin(now, next?))
    }

    fn begin(&mut self, now: Timestamp, at: usize) -> C {
        let one = &mut self.tasks[at];
        let delay = now - one.due.unwrap_or(now);
        one.stats.longest_delay = one.stats.longest_delay.max(delay);
        (one.running, one.due) = (true, None);
        self.external_budget.spend(now, one.config.external_cost);
        let id = one.id;
        self.update_next();
        id
    }

    /// Reports the end of a turn that took this much thread time.
    pub fn finish(&mut self, now: Timestamp, id: C, took: TimeDelta, end: TurnOutcome) {
        self.thread_budget.spend(now, took.as_secs_f64());
        let draw = self.rng.f64();
        let Some(one) = self.task_mut(id) else { return };
        let stats = &mut one.stats;
        (stats.turns, stats.thread_time) = (stats.turns + 1, stats.thread_time + took);
        stats.longest_turn = stats.longest_turn.max(took);
        one.running = false;
        let requested_again = std::mem::take(&mut one.requested_again);
        one.due = match end {
            TurnOutcome::Failed => {
                stats.failed += 1;
                // Exponential backoff with jitter, so that processes do not retry a shared resource at the
                // same moment.
                let backoff = one.config.retry_backoff * f64::from(1_u32 << one.consecutive_failures.min(16));
                one.consecutive_failures += 1;
                Some(now + one.config.retry_backoff * 0.5 + backoff.min(one.config.max_retry_backoff) * draw)
            }
            TurnOutcome::More => {
                one.consecutive_failures = 0;
                Some(now)
            }
            TurnOutcome::Done => {
                one.consecutive_failures = 0;
                let jitter = 1.0 + one.config.jitter * (2.0 * draw - 1.0);
                let every = one.config.interval.map(|every| now + every * jitter);
                if requested_again { Some(now) } else { every }
            }
        };
        self.update_next();
    }

    /// The names and statistics of all tasks.
    pub fn stats(&self) -> impl Iterator<Item = (&'static str, TaskStats)> {
        self.tasks.iter().map(|one| (one.config.name, one.stats))
    }
}
