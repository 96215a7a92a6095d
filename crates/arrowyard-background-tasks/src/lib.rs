//! Cooperative scheduling of background tasks on the thread that serves operations. Tasks have priorities,
//! share a budget of thread time and of external resources, back off after failures, and yield to waiting
//! operations, but each runs within its maximum delay. No I/O and no clock: the caller asks which task to
//! run, runs one turn of it and reports its cost.

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
    /// The name in statistics.
    pub name: &'static str,
    pub priority: Priority,
    /// The time from the end of a turn until the task is due again; `None` for a task that runs only on
    /// request.
    pub interval: Option<TimeDelta>,
    /// The interval varies by up to this share in both directions, so that processes do not synchronize.
    pub jitter: f64,
    /// A task that is overdue by this time runs before all others, regardless of waiting operations and the
    /// budget.
    pub max_delay: TimeDelta,
    /// The backoff after a failed turn; it doubles with each consecutive failure.
    pub retry_backoff: TimeDelta,
    /// The upper limit of the backoff.
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
    /// The share of the thread's time that tasks may use.
    pub thread_share: f64,
    /// The unused time that may accumulate.
    pub thread_burst: TimeDelta,
    /// The external cost that tasks may cause per second.
    pub external_rate: f64,
    /// The unused external cost that may accumulate.
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
    /// The work is done until the task is due again.
    Done,
    /// Part of the work is done; the task is due again immediately.
    More,
    /// The task is retried after a backoff.
    Failed,
}

/// Statistics of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct TaskStats {
    /// Turns that ended, including failed ones.
    pub turns: u64,
    pub failed_turns: u64,
    /// The total thread time of all turns.
    pub thread_time: TimeDelta,
    pub longest_turn: TimeDelta,
    /// The longest delay between due time and start.
    pub longest_delay: TimeDelta,
}

#[derive(Clone, Debug)]
struct TaskState<Id> {
    id: Id,
    config: TaskConfig,
    due_at: Option<Timestamp>,
    is_running: bool,
    /// Requested again while running.
    requested_again: bool,
    consecutive_failures: u32,
    stats: TaskStats,
}

/// Schedules background tasks; `Id` identifies a task.
pub struct Scheduler<Id> {
    tasks: Vec<TaskState<Id>>,
    thread_budget: TokenBucket,
    external_budget: TokenBucket,
    /// The earliest time at which any task may be due, so that frequent polls cost one comparison.
    next_due_at: Option<Timestamp>,
    rng: Rng,
}

/// The delay before a due task that may not run yet is considered again.
const BLOCKED_RETRY_INTERVAL: TimeDelta = TimeDelta::from_millis(5);

impl<Id: Copy + PartialEq> Scheduler<Id> {
    /// Creates a scheduler without tasks; `seed` determines its jitter.
    #[must_use]
    pub fn new(now: Timestamp, budget: Budget, seed: u64) -> Scheduler<Id> {
        Scheduler {
            tasks: Vec::new(),
            thread_budget: TokenBucket::new(now, budget.thread_share, budget.thread_burst.as_secs_f64()),
            external_budget: TokenBucket::new(now, budget.external_rate, budget.external_burst),
            next_due_at: None,
            rng: Rng::with_seed(seed),
        }
    }

    /// Adds a task. A periodic task is first due at a random time within its interval.
    pub fn add(&mut self, now: Timestamp, id: Id, config: TaskConfig) {
        let due_at = config.interval.map(|interval| now + interval * self.rng.f64());
        self.tasks.push(TaskState {
            id,
            config,
            due_at,
            is_running: false,
            requested_again: false,
            consecutive_failures: 0,
            stats: TaskStats::default(),
        });
        self.update_next_due_at();
    }

    fn task_mut(&mut self, id: Id) -> Option<&mut TaskState<Id>> {
        self.tasks.iter_mut().find(|task| task.id == id)
    }

    /// Makes a task due now. A task in backoff after a failure stays in backoff.
    pub fn request(&mut self, now: Timestamp, id: Id) {
        let Some(task) = self.task_mut(id) else { return };
        if task.is_running {
            task.requested_again = true;
        } else if task.consecutive_failures == 0 {
            task.due_at = Some(task.due_at.map_or(now, |due_at| due_at.min(now)));
        } else {
            task.due_at = task.due_at.or(Some(now));
        }
        self.update_next_due_at();
    }

    fn update_next_due_at(&mut self) {
        self.next_due_at =
            self.tasks.iter().filter(|task| !task.is_running).filter_map(|task| task.due_at).min();
    }

    /// When [`Scheduler::begin_next`] has to be called next.
    #[must_use]
    pub fn next_at(&self) -> Option<Timestamp> {
        self.next_due_at
    }

    /// Starts the next turn, if a task may run. `has_waiting_ops` tells whether operations wait for the
    /// thread.
    ///
    /// Tasks beyond their maximum delay run first, so that a constantly busy router does not starve them.
    pub fn begin_next(&mut self, now: Timestamp, has_waiting_ops: bool) -> Option<Id> {
        if self.next_due_at.is_none_or(|next_due_at| next_due_at > now) {
            return None;
        }
        let is_due =
            |task: &TaskState<Id>| !task.is_running && task.due_at.is_some_and(|due_at| due_at <= now);
        let lateness = |task: &TaskState<Id>| {
            (now - task.due_at.unwrap_or(now)) / task.config.max_delay.max(TimeDelta::from_micros(1))
        };
        let most_overdue = self
            .tasks
            .iter()
            .enumerate()
            .filter(|(_, task)| is_due(task) && lateness(task) >= 1.0)
            .max_by(|(_, first), (_, second)| lateness(first).total_cmp(&lateness(second)));
        if let Some((index, _)) = most_overdue {
            return Some(self.begin(now, index));
        }
        let has_thread_budget = self.thread_budget.level(now) > 0.0;
        let external_level = self.external_budget.level(now);
        let may_run = |task: &TaskState<Id>| {
            let has_external_budget = task.config.external_cost == 0.0
                || external_level >= task.config.external_cost.min(self.external_budget.capacity());
            match task.config.priority {
                Priority::Urgent => has_external_budget,
                Priority::Normal => has_thread_budget && has_external_budget,
                Priority::Idle => has_thread_budget && has_external_budget && !has_waiting_ops,
            }
        };
        let runnable = self.tasks.iter().enumerate().filter(|(_, task)| is_due(task) && may_run(task));
        let next_index =
            runnable.min_by_key(|(_, task)| (task.config.priority, task.due_at)).map(|(index, _)| index);
        if next_index.is_none() {
            // Without this delay, blocked tasks would keep the thread polling.
            let due_times = self.tasks.iter().filter(|task| !task.is_running).filter_map(|task| task.due_at);
            self.next_due_at = due_times.map(|due_at| due_at.max(now + BLOCKED_RETRY_INTERVAL)).min();
        }
        Some(self.begin(now, next_index?))
    }

    fn begin(&mut self, now: Timestamp, index: usize) -> Id {
        let task = &mut self.tasks[index];
        let delay = now - task.due_at.unwrap_or(now);
        task.stats.longest_delay = task.stats.longest_delay.max(delay);
        (task.is_running, task.due_at) = (true, None);
        self.external_budget.spend(now, task.config.external_cost);
        let id = task.id;
        self.update_next_due_at();
        id
    }

    /// Reports the end of a turn and the thread time that it took.
    pub fn finish(&mut self, now: Timestamp, id: Id, thread_time: TimeDelta, outcome: TurnOutcome) {
        self.thread_budget.spend(now, thread_time.as_secs_f64());
        let draw = self.rng.f64();
        let Some(task) = self.task_mut(id) else { return };
        let stats = &mut task.stats;
        (stats.turns, stats.thread_time) = (stats.turns + 1, stats.thread_time + thread_time);
        stats.longest_turn = stats.longest_turn.max(thread_time);
        task.is_running = false;
        let requested_again = std::mem::take(&mut task.requested_again);
        task.due_at = match outcome {
            TurnOutcome::Failed => {
                stats.failed_turns += 1;
                // Exponential backoff with jitter, so that processes do not retry a shared resource at the
                // same moment.
                let backoff =
                    task.config.retry_backoff * f64::from(1_u32 << task.consecutive_failures.min(16));
                task.consecutive_failures += 1;
                Some(
                    now + task.config.retry_backoff * 0.5 + backoff.min(task.config.max_retry_backoff) * draw,
                )
            }
            TurnOutcome::More => {
                task.consecutive_failures = 0;
                Some(now)
            }
            TurnOutcome::Done => {
                task.consecutive_failures = 0;
                let jitter = 1.0 + task.config.jitter * (2.0 * draw - 1.0);
                let next_due_at = task.config.interval.map(|interval| now + interval * jitter);
                if requested_again { Some(now) } else { next_due_at }
            }
        };
        self.update_next_due_at();
    }

    /// The names and statistics of all tasks.
    pub fn stats(&self) -> impl Iterator<Item = (&'static str, TaskStats)> {
        self.tasks.iter().map(|task| (task.config.name, task.stats))
    }
}
