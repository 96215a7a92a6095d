//! An open-loop load generator: ops start at their scheduled times even if earlier ones have no reply yet.
//! Replies are checked and counted by tenant and op type.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use hdrhistogram::Histogram;
use tokio::runtime::Builder;
use tokio::time::{sleep_until, timeout};

use crate::client::{Client, OpRequest, Reply};
use crate::cluster::unix_ms;
use crate::router::OpType;

/// The load of one tenant.
#[derive(Clone, Debug)]
pub struct TenantLoad {
    pub tenant: &'static str,
    /// Number of the group that the ops address.
    pub group: i64,
    /// Mean number of ops per second.
    pub rate: f64,
    /// Indices of op types, with weights.
    pub mix: Vec<(usize, u32)>,
    /// Start and end, relative to the start of the run.
    pub start: Duration,
    pub end: Duration,
    /// Number of sessions.
    pub sessions: u64,
}

/// Counts and latencies of ops.
#[derive(Clone, Debug)]
pub struct OpStats {
    pub sent: u64,
    /// Acknowledged within the latency target.
    pub in_target: u64,
    /// Acknowledged after the latency target.
    pub late: u64,
    /// Rejected with a retry delay, or on connecting.
    pub busy: u64,
    /// Failed with an error.
    pub errored: u64,
    /// Without a reply in time: the router violated its guarantee or was killed.
    pub unanswered: u64,
    /// Latency of acknowledged ops in microseconds.
    pub latency: Histogram<u64>,
    /// Latency of busy replies and errors in microseconds.
    pub failure_latency: Histogram<u64>,
}

impl Default for OpStats {
    fn default() -> Self {
        let histogram = || Histogram::new(3).expect("three significant digits are supported");
        let (latency, failure_latency) = (histogram(), histogram());
        OpStats {
            sent: 0,
            in_target: 0,
            late: 0,
            busy: 0,
            errored: 0,
            unanswered: 0,
            latency,
            failure_latency,
        }
    }
}

impl OpStats {
    /// The share of ops acknowledged within their latency target.
    pub fn in_target_share(&self) -> f64 {
        self.in_target as f64 / self.sent.max(1) as f64
    }

    /// Adds the counts and latencies of `other`.
    pub fn add(&mut self, other: &OpStats) {
        let OpStats { sent, in_target, late, busy, errored, unanswered, latency, failure_latency } = other;
        self.sent += sent;
        self.in_target += in_target;
        self.late += late;
        self.busy += busy;
        self.errored += errored;
        self.unanswered += unanswered;
        self.latency.add(latency).expect("the histograms have the same configuration");
        self.failure_latency.add(failure_latency).expect("the histograms have the same configuration");
    }
}

/// The results of a run.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// By tenant and op type.
    pub stats: BTreeMap<(&'static str, &'static str), OpStats>,
    /// Ids of acknowledged writes.
    pub acked_writes: Vec<u64>,
    /// By tenant: times of the acknowledgements of writes, in Unix milliseconds.
    pub write_ack_times: BTreeMap<&'static str, Vec<i64>>,
}

impl LoadResult {
    /// Stats of all ops of a tenant.
    pub fn tenant_stats(&self, tenant: &str) -> OpStats {
        let mut total = OpStats::default();
        self.stats.iter().filter(|((name, _), _)| *name == tenant).for_each(|(_, stats)| total.add(stats));
        total
    }

    /// Stats of all ops of an op type.
    pub fn op_type_stats(&self, op_type: &str) -> OpStats {
        let mut total = OpStats::default();
        self.stats.iter().filter(|((_, name), _)| *name == op_type).for_each(|(_, stats)| total.add(stats));
        total
    }
}

/// State shared by the tasks of a run.
struct LoadRun {
    router: SocketAddr,
    op_types: Vec<OpType>,
    idle_clients: Mutex<Vec<Client>>,
    result: Mutex<LoadResult>,
}

impl LoadRun {
    /// Executes an op and counts its reply.
    async fn execute(&self, tenant: &'static str, group: i64, op_type: usize, id: u64, session: u64) {
        let op_type = self.op_types[op_type];
        let (is_write, has_token) = (op_type.read_level == "update", op_type.effect == "idempotency_key");
        let request = OpRequest {
            id,
            op_type: op_type.name,
            tenant: Some(tenant),
            group,
            timeout_ms: op_type.timeout_ms,
            token: has_token.then_some(id),
            is_retry: false,
            session,
            is_write,
        };
        let started_at = Instant::now();
        // The op's timeout and an allowance for the network.
        let reply_timeout = Duration::from_millis(u64::from(op_type.timeout_ms) + 150);
        let reply = timeout(reply_timeout, async {
            let idle_client = self.idle_clients.lock().expect("the lock is not poisoned").pop();
            let mut client = match idle_client {
                Some(client) => client,
                None => Client::connect(self.router).await?,
            };
            let reply = match client.execute(&request.statement()).await {
                // The router may close an idle connection at the moment of its reuse: tries once more on a
                // new one.
                Err(error) if error.kind() != std::io::ErrorKind::Other => {
                    client = Client::connect(self.router).await?;
                    client.execute(&request.statement()).await?
                }
                reply => reply?,
            };
            std::io::Result::Ok((client, reply))
        });
        let reply = reply.await;
        let elapsed = started_at.elapsed();
        let mut result = self.result.lock().expect("the lock is not poisoned");
        let stats = result.stats.entry((tenant, op_type.name)).or_default();
        stats.sent += 1;
        let elapsed_us = (elapsed.as_micros() as u64).max(1);
        match reply {
            Ok(Ok((client, reply))) => {
                match &reply {
                    Reply::Value(_) => {
                        let in_target = elapsed <= Duration::from_millis(op_type.target_ms.into());
                        *(if in_target { &mut stats.in_target } else { &mut stats.late }) += 1;
                        let _ = stats.latency.record(elapsed_us);
                    }
                    Reply::Busy(_) => stats.busy += 1,
                    Reply::Error(_) => stats.errored += 1,
                }
                if !matches!(reply, Reply::Value(_)) {
                    let _ = stats.failure_latency.record(elapsed_us);
                } else if is_write {
                    result.acked_writes.push(id);
                    result.write_ack_times.entry(tenant).or_default().push(unix_ms());
                }
                drop(result);
                self.idle_clients.lock().expect("the lock is not poisoned").push(client);
            }
            Ok(Err(error)) if error.to_string() == "the router rejected the connection" => stats.busy += 1,
            _ => stats.unanswered += 1,
        }
    }
}

/// Sends the loads to the router. `on_tick` is called with the time since the start about every 100 ms.
pub fn run_load(
    router: SocketAddr,
    op_types: &[OpType],
    loads: &[TenantLoad],
    seed: u64,
    mut on_tick: impl FnMut(Duration),
) -> LoadResult {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("the runtime starts");
    let (idle_clients, result) = Default::default();
    let run = Arc::new(LoadRun { router, op_types: op_types.to_vec(), idle_clients, result });
    let start = Instant::now();
    let end = loads.iter().map(|load| load.end).max().unwrap_or_default();
    let mut load_tasks = Vec::new();
    for (index, load) in loads.iter().cloned().enumerate() {
        let (run, mut rng) = (run.clone(), Rng::with_seed(seed ^ (index as u64) << 32));
        load_tasks.push(runtime.spawn(async move {
            let mut next_op_offset = load.start;
            let mut op_tasks = Vec::new();
            let total_weight: u32 = load.mix.iter().map(|(_, weight)| weight).sum();
            while next_op_offset < load.end {
                sleep_until((start + next_op_offset).into()).await;
                let mut draw = rng.u32(0..total_weight);
                let op_type = load.mix.iter().find(|(_, weight)| {
                    let chosen = draw < *weight;
                    draw = draw.wrapping_sub(*weight);
                    chosen
                });
                let op_type = op_type.map_or(0, |(op_type, _)| *op_type);
                let (id, session) = (rng.u64(1..), rng.u64(0..load.sessions));
                let (run, tenant, group) = (run.clone(), load.tenant, load.group);
                op_tasks.push(tokio::spawn(
                    async move { run.execute(tenant, group, op_type, id, session).await },
                ));
                if op_tasks.len() > 4096 {
                    op_tasks.retain(|task| !task.is_finished());
                }
                // Poisson arrivals.
                next_op_offset += Duration::from_secs_f64(-rng.f64().max(1e-12).ln() / load.rate);
            }
            for task in op_tasks {
                let _ = task.await;
            }
        }));
    }
    while start.elapsed() < end {
        on_tick(start.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
    runtime.block_on(async {
        for task in load_tasks {
            let _ = task.await;
        }
    });
    let result = run.result.lock().expect("the lock is not poisoned").clone();
    runtime.shutdown_background();
    result
}
