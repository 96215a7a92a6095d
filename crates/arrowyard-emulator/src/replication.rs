//! Simulated replication within a service: the log of the primary, and what each replica has received and
//! applied.

use std::collections::BTreeMap;

use arrowyard_protocol::Position;
use arrowyard_types::{TimeDelta, Timestamp};

/// A committed transaction: its term and the tokens of its writes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    pub term: u64,
    pub writes: Vec<String>,
}

/// The log of one host.
#[derive(Clone, Debug)]
pub struct HostLog {
    pub commits: Vec<Commit>,
    /// Number of applied commits.
    pub applied: usize,
    /// Highest term known to the host.
    pub term: u64,
    /// Whether the host was asked to stop receiving.
    pub paused: bool,
    /// Whether a fault prevents the host from receiving.
    pub receive_blocked: bool,
    /// Whether the process of the host is running.
    pub up: bool,
    /// Delay between receiving and applying a commit.
    pub apply_lag: TimeDelta,
}

/// A transfer in flight from the primary to a replica.
#[derive(Clone, Debug)]
struct Transfer {
    to: String,
    /// Number of commits in the log of the primary at the time of sending.
    end_index: usize,
    term: u64,
}

/// The hosts of one service.
#[derive(Debug)]
pub struct ReplicationGroup {
    pub service: String,
    pub term: u64,
    /// Id of the primary; `None` after it has stepped down.
    pub primary: Option<String>,
    /// Logs by the id of the host.
    pub host_logs: BTreeMap<String, HostLog>,
    /// Transfers by time of arrival and sequence number.
    transfers: BTreeMap<(Timestamp, u64), Transfer>,
    /// By time and sequence number: the host, and the number of commits applied then.
    pending_applies: BTreeMap<(Timestamp, u64), (String, usize)>,
    last_sequence: u64,
    /// One-way latency between hosts.
    pub latency: TimeDelta,
    /// Number of promotions so far.
    pub promotions: u32,
}

impl ReplicationGroup {
    /// Creates a group with empty logs; the first host is the primary.
    pub fn new(service: &str, ids: &[String], apply_lag: TimeDelta) -> Self {
        let host_log = HostLog {
            commits: Vec::new(),
            applied: 0,
            term: 1,
            paused: false,
            receive_blocked: false,
            up: true,
            apply_lag,
        };
        ReplicationGroup {
            service: service.to_string(),
            term: 1,
            primary: ids.first().cloned(),
            host_logs: ids.iter().map(|id| (id.clone(), host_log.clone())).collect(),
            transfers: BTreeMap::new(),
            pending_applies: BTreeMap::new(),
            last_sequence: 0,
            latency: TimeDelta::from_micros(500),
            promotions: 0,
        }
    }

    /// Adds a replica with an empty log.
    pub fn add_replica(&mut self, id: &str) {
        let apply_lag = self.host_logs.values().next().map_or(TimeDelta::ZERO, |host_log| host_log.apply_lag);
        let host_log = HostLog {
            commits: Vec::new(),
            applied: 0,
            term: self.term,
            paused: false,
            receive_blocked: false,
            up: true,
            apply_lag,
        };
        self.host_logs.insert(id.to_string(), host_log);
    }

    /// Time of the next arrival or apply.
    pub fn due(&self) -> Option<Timestamp> {
        let time_of = |keys: Option<&(Timestamp, u64)>| keys.map(|(at, _)| *at);
        time_of(self.transfers.keys().next())
            .into_iter()
            .chain(time_of(self.pending_applies.keys().next()))
            .min()
    }

    /// Processes all arrivals and applies up to `now`.
    pub fn advance(&mut self, now: Timestamp) {
        while let Some(entry) = self.transfers.first_entry().filter(|entry| entry.key().0 <= now) {
            let (at, _) = *entry.key();
            let Transfer { to, end_index, term } = entry.remove();
            if term != self.term {
                continue;
            }
            // Every log is a prefix of the primary's log, because a promotion truncates the others.
            let received_count = self.host_logs.get(&to).map_or(0, |host_log| host_log.commits.len());
            let new_commits = self.log().get(received_count..end_index).unwrap_or_default().to_vec();
            let Some(host_log) = self
                .host_logs
                .get_mut(&to)
                .filter(|host_log| host_log.up && !host_log.paused && !host_log.receive_blocked)
            else {
                continue;
            };
            if !new_commits.is_empty() {
                host_log.commits.extend(new_commits);
                host_log.term = term;
                self.last_sequence += 1;
                let applied_at = at + host_log.apply_lag;
                self.pending_applies.insert((applied_at, self.last_sequence), (to, end_index));
            }
        }
        while let Some(entry) = self.pending_applies.first_entry().filter(|entry| entry.key().0 <= now) {
            let (id, end_index) = entry.remove();
            if let Some(host_log) = self.host_logs.get_mut(&id) {
                host_log.applied = host_log.applied.max(end_index.min(host_log.commits.len()));
            }
        }
    }

    /// Sends the whole log of the primary to a replica.
    pub fn send_log(&mut self, now: Timestamp, to: &str) {
        let Some(primary) = self.primary.clone().filter(|id| self.host_logs[id].up && id != to) else {
            return;
        };
        let end_index = self.host_logs[&primary].commits.len();
        self.last_sequence += 1;
        let transfer = Transfer { to: to.to_string(), end_index, term: self.term };
        self.transfers.insert((now + self.latency, self.last_sequence), transfer);
    }

    /// Whether a host is the primary.
    pub fn is_primary(&self, id: &str) -> bool {
        self.primary.as_deref() == Some(id)
    }

    /// Makes a primary with a lower term step down.
    pub fn step_down(&mut self, id: &str, term: u64) {
        if self.is_primary(id) && self.term < term {
            self.primary = None;
            self.transfers.clear();
        }
    }

    /// Commits on the primary, sends its log to the replicas, and returns the log index of the commit, counted
    /// from 1.
    pub fn commit(&mut self, now: Timestamp, id: &str, writes: Vec<String>) -> usize {
        let term = self.term;
        let host_log = self.host_logs.get_mut(id).expect("the primary is a member");
        host_log.commits.push(Commit { term, writes });
        host_log.applied = host_log.commits.len();
        let log_index = host_log.commits.len();
        let others: Vec<String> = self.host_logs.keys().filter(|other| *other != id).cloned().collect();
        others.iter().for_each(|other| self.send_log(now, other));
        log_index
    }

    /// Whether a host other than `id` has received the commit `log_index` in the current term.
    pub fn is_replicated(&self, id: &str, log_index: usize) -> bool {
        self.host_logs.iter().any(|(other, host_log)| {
            other != id && host_log.commits.len() >= log_index && host_log.term == self.term
        })
    }

    /// Makes a running host the primary in a new term and truncates the other logs to the prefix shared with its log.
    pub fn promote(&mut self, now: Timestamp, id: &str) {
        if self.is_primary(id) || !self.host_logs.get(id).is_some_and(|host_log| host_log.up) {
            return;
        }
        self.promotions += 1;
        self.term += 1;
        self.primary = Some(id.to_string());
        self.transfers.clear();
        self.pending_applies.clear();
        let log = self.host_logs[id].commits.clone();
        for (other, host_log) in &mut self.host_logs {
            host_log.paused = false;
            if other == id {
                (host_log.term, host_log.applied) = (self.term, log.len());
                continue;
            }
            let common_length = host_log.commits.iter().zip(&log).take_while(|(own, new)| own == new).count();
            host_log.commits.truncate(common_length);
            host_log.applied = host_log.applied.min(common_length);
        }
        let others: Vec<String> = self.host_logs.keys().filter(|other| *other != id).cloned().collect();
        others.iter().for_each(|other| self.send_log(now, other));
    }

    /// Position of the commit `number` in a log, counted from 1; 0 stands for the start of the log.
    pub fn position(&self, number: usize, log: &[Commit]) -> Position {
        let term = log.get(number.wrapping_sub(1)).map_or(1, |commit| commit.term);
        Position { term, number: number as u64 }
    }

    /// Applied and received position of a host.
    pub fn positions(&self, id: &str) -> (Position, Position) {
        let host_log = &self.host_logs[id];
        (
            self.position(host_log.applied, &host_log.commits),
            self.position(host_log.commits.len(), &host_log.commits),
        )
    }

    /// The log of the primary; empty without one.
    pub fn log(&self) -> &[Commit] {
        self.primary.as_ref().map_or(&[], |id| &self.host_logs[id].commits)
    }
}
