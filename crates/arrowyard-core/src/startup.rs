//! Startup: loads the stored host list, tracks and logs the startup stages, and stores the list while the
//! router is in service. Decisions are made by `arrowyard-startup`; `arrowyard-store` reads and writes the
//! files.

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

use crate::host_list::{HostList, HostListEntry};
use crate::messages::RouteMessage;
use crate::transport::HostTransport;

/// How long the startup waits for the disk; a hanging disk must not prevent it.
const DISK_TIMEOUT: Duration = Duration::from_millis(500);
/// How far the clock may differ between two starts, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 1000;

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis() as u64)
}

/// A hash that identifies the deployment of a store: sites, names of op types, and domain settings. Tunable
/// numbers such as latency targets are left out, since they may change within one deployment.
#[must_use]
pub fn deployment_fingerprint(settings: &Map<String, Value>) -> u64 {
    let op_type_rows =
        settings.get("grades").and_then(Value::as_array).map(Vec::as_slice).unwrap_or_default();
    let names: Vec<&Value> = op_type_rows.iter().filter_map(|row| row.get("name")).collect();
    let text = format!("{:?} {names:?} {:?}", settings.get("dcs"), settings.get("domain"));
    text.bytes()
        .fold(0xcbf2_9ce4_8422_2325, |hash, byte| (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3))
}

fn open_store(folder: &Path, deployment: u64) -> Store<SystemDisk> {
    Store {
        disk: SystemDisk,
        folder: folder.to_path_buf(),
        deployment: Some(deployment),
        max_clock_skew_ms: MAX_CLOCK_SKEW_MS,
    }
}

/// Returns the list to start with, which is the platform's list extended by stored hosts that are discounted
/// by age, and the version of the stored list if it is used. Errors of the store are logged and ignored.
pub async fn load_stored_list(
    settings: &StartupSettings,
    deployment: u64,
    platform_list: Option<HostList>,
) -> (Option<HostList>, Option<i64>) {
    let Some(folder) = settings.store.clone() else { return (platform_list, None) };
    let now = unix_ms();
    let load_task = spawn_blocking(move || {
        // Creates the folder for the first snapshot.
        let _ = std::fs::create_dir_all(&folder);
        open_store(&folder, deployment).load(now)
    });
    let Ok(Ok(loaded)) = timeout(DISK_TIMEOUT, load_task).await else {
        tracing::warn!("the store did not respond in time; starting without it");
        return (platform_list, None);
    };
    for (generation, state) in &loaded.generations {
        match state {
            GenerationState::Valid(_) | GenerationState::Missing => {}
            state => tracing::warn!("generation {generation:?} of the store is unusable: {state:?}"),
        }
    }
    let Some((_, stored)) = loaded.newest() else {
        tracing::info!("no stored host list was found");
        return (platform_list, None);
    };
    let age = TimeDelta::from_millis(now.saturating_sub(stored.written_ms) as i64);
    let platform_hosts: Vec<String> =
        platform_list.iter().flat_map(|list| &list.entries).map(|entry| entry.host.clone()).collect();
    let discounted = discount_hosts(stored, age, settings.trust, &platform_hosts);
    let confidence = discounted.first().map_or(0.0, |discounted_host| discounted_host.confidence);
    let age_s = age.as_secs_f64();
    tracing::info!(
        age_s,
        hosts = discounted.len(),
        confidence,
        "a stored list is used until discovery responds"
    );
    let stored_entries = discounted.into_iter().map(|discounted_host| HostListEntry {
        host: discounted_host.host.name,
        availability: Availability::Ready,
        address: discounted_host.host.dial.parse().ok(),
        site: Some(discounted_host.host.site),
        group: Some(discounted_host.host.group),
        size: Some(discounted_host.host.size),
        started_at_ms: Some(discounted_host.host.born_ms),
        is_primary: Some(false),
    });
    let mut list = platform_list.unwrap_or(HostList { version: 0, is_full: true, entries: Vec::new() });
    list.entries.extend(stored_entries);
    (Some(list), (confidence > 0.0).then_some(stored.version))
}

/// Tracks the startup stages, and stores the host list for the next start.
pub struct RouterStartup {
    tracker: StartupTracker,
    settings: StartupSettings,
    deployment: u64,
    router: String,
    rng: Rng,
    /// Ops in flight during the startup: their group, and whether they write.
    ops: HashMap<OpId, (GroupId, bool)>,
    /// The stage that was logged last.
    logged_stage: Stage,
    /// Whether the list changed since it was last saved.
    is_changed: bool,
    /// When the list was last saved.
    saved_at: Timestamp,
    /// Whether a write is in progress.
    is_saving: bool,
    /// The version of the latest list of discovery.
    version: i64,
}

impl RouterStartup {
    /// Begins to track a start; `has_list` tells whether a list is available already.
    #[must_use]
    pub fn new(
        now: Timestamp,
        settings: StartupSettings,
        deployment: u64,
        router: &str,
        has_list: bool,
        seed: u64,
    ) -> RouterStartup {
        let tracker = StartupTracker::start(now, StartupConfig::default(), has_list);
        RouterStartup {
            logged_stage: tracker.stage(),
            tracker,
            settings,
            deployment,
            router: router.to_string(),
            rng: Rng::with_seed(seed),
            ops: HashMap::new(),
            is_changed: false,
            saved_at: now,
            is_saving: false,
            version: 0,
        }
    }

    /// An op was received.
    pub fn op_started(&mut self, op: OpId, group: GroupId, is_write: bool) {
        if !self.tracker.is_over() {
            self.tracker.op_received(group, is_write);
            self.ops.insert(op, (group, is_write));
        }
    }

    /// An op got its final reply.
    pub fn op_finished(&mut self, now: Timestamp, op: OpId, acked: bool) {
        match self.ops.remove(&op) {
            Some((group, is_write)) if acked => self.tracker.op_acked(now, group, is_write),
            Some(_) => self.tracker.op_failed(),
            None => {}
        }
    }

    /// Discovery sent the list of this version.
    pub fn list_received(&mut self, now: Timestamp, version: i64) {
        self.tracker.discovery_responded(now);
        (self.is_changed, self.version) = (true, version);
    }

    /// The retry delay for a busy reply, with jitter during the startup.
    pub fn retry_after(
        &mut self,
        retry_after: Option<TimeDelta>,
        max_retry_after: Option<TimeDelta>,
    ) -> Option<TimeDelta> {
        max_retry_after.map_or(retry_after, |max_retry_after| {
            self.tracker.retry_after(retry_after, max_retry_after, &mut self.rng)
        })
    }

    /// Advances the startup and logs its stage and its end.
    pub fn tick(&mut self, now: Timestamp) {
        let report = self.tracker.tick(now);
        if self.logged_stage != self.tracker.stage() {
            self.logged_stage = self.tracker.stage();
            tracing::info!("the start is at {:?}", self.logged_stage);
        }
        let Some(StartupReport { took, longest_stage, longest_wait, is_full_service }) = report else {
            return;
        };
        let (ms, waited_ms) = (took.micros() / 1000, longest_wait.micros() / 1000);
        self.ops = HashMap::new();
        if is_full_service {
            tracing::info!(ms, waited_ms, "service is full; the longest wait was for {longest_stage:?}");
        } else {
            tracing::warn!(
                ms,
                waited_ms,
                "the startup ended before service was full; it waited for {longest_stage:?}"
            );
        }
    }

    /// Whether to write the list now. After it returned true, it returns false until `save_finished` is
    /// called.
    pub fn should_save(&mut self, now: Timestamp) -> bool {
        let is_due = self.settings.store.is_some()
            && self.is_changed
            && !self.is_saving
            && now - self.saved_at >= self.settings.save_interval;
        if is_due {
            (self.is_changed, self.is_saving, self.saved_at) = (false, true, now);
        }
        is_due
    }

    /// A write of the list ended.
    pub fn save_finished(&mut self, failed: bool) {
        self.is_saving = false;
        // A failed write is retried after the normal interval.
        self.is_changed |= failed;
    }

    /// Writes the list on a separate thread, so that a hanging disk delays nothing else.
    pub fn save<T: HostTransport>(
        &self,
        hosts: Vec<arrowyard_store::Host>,
        messages: mpsc::Sender<RouteMessage<T>>,
    ) {
        let Some(folder) = self.settings.store.clone() else { return };
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
            let result = spawn_blocking(move || open_store(&folder, deployment).save(snapshot, now)).await;
            let failed = match result {
                Ok(Ok(_)) => false,
                Ok(Err(error)) => {
                    tracing::warn!("the host list could not be stored: {error}");
                    true
                }
                Err(error) => {
                    tracing::warn!("the host list could not be stored: {error}");
                    true
                }
            };
            let _ = messages.send(RouteMessage::ListSaved(failed)).await;
        }));
    }
}

/// The startup tracking of a route task, if it is configured.
pub type OptionalStartup = Option<Box<RouterStartup>>;
