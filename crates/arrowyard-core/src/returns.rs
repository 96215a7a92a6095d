//! Restart: reads the stored host list before the start, writes it while in service and logs the stages of
//! the start. Decisions are made by `arrowyard-startup`; `arrowyard-store` reads and writes the files.

use std::collections::HashMap;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrowyard_startup::{
    Stage, StartupConfig, StartupReport, StartupSettings, StartupTracker, discount_hosts,
};
use arrowyard_store::{GenerationState, Snapshot, Store, SystemDisk};
use arrowyard_types::{Availability, GroupId, OpId, TimeDelta, Timestamp};
use fastrand::Rng;
use serde_json::{Map, Value};
use tokio::sync::mpsc;
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::timeout;

use crate::list::{HostList, HostListEntry};
use crate::messages::RouteMessage;
use crate::transport::HostTransport;

/// How long a start waits for its disk; a disk that hangs must not prevent the start.
const DISK_TIMEOUT: Duration = Duration::from_millis(500);
/// How far the clock may differ between two starts, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 1000;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// A fingerprint of the deployment that a store belongs to: sites, op types and the hosts' domain settings.
/// Tunable numbers are left out, since a changed latency target does not make another deployment.
#[must_use]
pub fn deployment_fingerprint(settings: &Map<String, Value>) -> u64 {
    let names = settings.get("grades").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let names: Vec<&Value> = names.iter().filter_map(|row| row.get("name")).collect();
    let text = format!("{:?} {names:?} {:?}", settings.get("dcs"), settings.get("domain"));
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn store(folder: &Path, deployment: u64) -> Store<SystemDisk> {
    Store {
        disk: SystemDisk,
        folder: folder.to_path_buf(),
        deployment: Some(deployment),
        max_clock_skew_ms: MAX_CLOCK_SKEW_MS,
    }
}

/// The list to start with: the platform's list, extended by stored hosts that are discounted by age. Errors
/// of the store are logged and ignored.
///
/// Also returns the version of the stored list if it is used; lists of discovery with a lower version are
/// older.
pub async fn load_stored_list(
    comes: &StartupSettings,
    deployment: u64,
    known: Option<HostList>,
) -> (Option<HostList>, Option<i64>) {
    let Some(folder) = comes.store.clone() else { return (known, None) };
    let now = unix_ms();
    let loading = spawn_blocking(move || {
        // Creates the folder for the first snapshot.
        let _ = std::fs::create_dir_all(&folder);
        store(&folder, deployment).load(now)
    });
    let Ok(Ok(loaded)) = timeout(DISK_TIMEOUT, loading).await else {
        tracing::warn!("the store did not answer in time: this start goes on without it");
        return (known, None);
    };
    for (kept, found) in &loaded.generations {
        match found {
            GenerationState::Valid(_) | GenerationState::Missing => {}
            why => tracing::warn!("the store's generation {kept:?} is of no use: {why:?}"),
        }
    }
    let Some((_, stored)) = loaded.newest() else {
        tracing::info!("no stored host list was found");
        return (known, None);
    };
    let age = TimeDelta::from_millis(now.saturating_sub(stored.written_ms) as i64);
    let names: Vec<String> =
        known.iter().flat_map(|list| &list.entries).map(|line| line.host.clone()).collect();
    let discounted = discount_hosts(stored, age, comes.trust, &names);
    let confidence = discounted.first().map_or(0.0, |one| one.confidence);
    let age_s = age.as_secs_f64();
    tracing::info!(
        age_s,
        hosts = discounted.len(),
        confidence,
        "a stored list is used till discovery speaks"
    );
    let lines = discounted.into_iter().map(|one| HostListEntry {
        host: one.host.name,
        availability: Availability::Ready,
        address: one.host.dial.parse().ok(),
        site: Some(one.host.site),
        group: Some(one.host.group),
        size: Some(one.host.size),
        started_at_ms: Some(one.host.born_ms),
        is_primary: Some(false),
    });
    let mut list = known.unwrap_or(HostList { version: 0, is_full: true, entries: Vec::new() });
    list.entries.extend(lines);
    (Some(list), (confidence > 0.0).then_some(stored.version))
}

/// Tracks the stages of this start and stores the list for the next one.
pub struct RouterStartup {
    start: StartupTracker,
    comes: StartupSettings,
    deployment: u64,
    router: String,
    rng: Rng,
    /// Ops in flight during the start: their group, and whether they write.
    ops: HashMap<OpId, (GroupId, bool)>,
    told: Stage,
    /// Whether the list changed since it was saved last, when that was, and whether a write is in progress.
    changed: bool,
    saved: Timestamp,
    saving: bool,
    version: i64,
}

impl RouterStartup {
    #[must_use]
    pub fn new(
        now: Timestamp,
        comes: StartupSettings,
        deployment: u64,
        router: &str,
        listed: bool,
        seed: u64,
    ) -> RouterStartup {
        let start = StartupTracker::start(now, StartupConfig::default(), listed);
        RouterStartup {
            told: start.stage(),
            start,
            comes,
            deployment,
            router: router.to_string(),
            rng: Rng::with_seed(seed),
            ops: HashMap::new(),
            changed: false,
            saved: now,
            saving: false,
            version: 0,
        }
    }

    pub fn op_started(&mut self, op: OpId, group: GroupId, write: bool) {
        if !self.start.is_over() {
            self.start.op_received(group, write);
            self.ops.insert(op, (group, write));
        }
    }

    /// An op got its final answer.
    pub fn op_finished(&mut self, now: Timestamp, op: OpId, acked: bool) {
        match self.ops.remove(&op) {
            Some((group, write)) if acked => self.start.op_acked(now, group, write),
            Some(_) => self.start.op_failed(),
            None => {}
        }
    }

    pub fn list_received(&mut self, now: Timestamp, version: i64) {
        self.start.discovery_responded(now);
        (self.changed, self.version) = (true, version);
    }

    /// The retry delay for a busy reply, with jitter during the start.
    pub fn retry_after(&mut self, told: Option<TimeDelta>, most: Option<TimeDelta>) -> Option<TimeDelta> {
        most.map_or(told, |most| self.start.retry_after(told, most, &mut self.rng))
    }

    /// Advances the start and logs its stage and its end.
    pub fn tick(&mut self, now: Timestamp) {
        let full = self.start.tick(now);
        if self.told != self.start.stage() {
            self.told = self.start.stage();
            tracing::info!("the start is at {:?}", self.told);
        }
        let Some(StartupReport {
            took,
            longest_stage: waited_for,
            longest_wait: waited,
            is_full_service: full,
        }) = full
        else {
            return;
        };
        let (ms, waited_ms) = (took.micros() / 1000, waited.micros() / 1000);
        self.ops = HashMap::new();
        if full {
            tracing::info!(ms, waited_ms, "service is full; the longest wait was for {waited_for:?}");
        } else {
            tracing::warn!(
                ms,
                waited_ms,
                "the start is over and service was never full; it waits for {waited_for:?}"
            );
        }
    }

    /// Whether to write the list now; once true, it stays false until `save_finished` is called.
    pub fn should_save(&mut self, now: Timestamp) -> bool {
        let due = self.comes.store.is_some()
            && self.changed
            && !self.saving
            && now - self.saved >= self.comes.save_interval;
        if due {
            (self.changed, self.saving, self.saved) = (false, true, now);
        }
        due
    }

    pub fn save_finished(&mut self, failed: bool) {
        self.saving = false;
        // A failed write is retried after the normal interval.
        self.changed |= failed;
    }

    /// Writes the list on a separate thread, so that a hanging disk delays nothing else.
    pub fn save<B: HostTransport>(
        &self,
        hosts: Vec<arrowyard_store::Host>,
        mail: mpsc::Sender<RouteMessage<B>>,
    ) {
        let Some(folder) = self.comes.store.clone() else { return };
        let now = unix_ms();
        let snapshot = Snapshot {
            deployment: self.deployment,
            router: self.router.clone(),
            written_ms: now,
            number: 0,
            version: self.version,
            hosts,
        };
        let deployment = self.deployment;
        drop(spawn_local(async move {
            let written = spawn_blocking(move || store(&folder, deployment).save(snapshot, now)).await;
            let failed = match written {
                Ok(Ok(_)) => false,
                Ok(Err(why)) => {
                    tracing::warn!("the list could not be stored: {why}");
                    true
                }
                Err(why) => {
                    tracing::warn!("the list could not be stored: {why}");
                    true
                }
            };
            let _ = mail.send(RouteMessage::ListSaved(failed)).await;
        }));
    }
}

/// The startup tracking of a route task, if it is configured.
pub type OptionalStartup = Option<Box<RouterStartup>>;
