//! Open-loop load: ops come at their times whether earlier ones were answered or not, each answer is checked, and
//! what became of them is counted by tenant.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use fastrand::Rng;
use hdrhistogram::Histogram;
use tokio::runtime::Builder;
use tokio::time::{sleep_until, timeout};

use crate::client::{Ask, Client, Reply};
use crate::router::OpType;
use crate::town::unix_ms;

/// What one tenant asks for.
#[derive(Clone, Debug)]
pub struct Stream {
    pub tenant: &'static str,
    pub group: i64,
    /// Ops a second.
    pub rate: f64,
    /// Places among the op types, and how often each.
    pub mix: Vec<(usize, u32)>,
    /// When it begins and ends, from the start of the run.
    pub from: Duration,
    pub till: Duration,
    /// Sessions that it has.
    pub sessions: u64,
}

/// What became of the ops of a tenant.
#[derive(Clone, Debug)]
pub struct Stats {
    pub sent: u64,
    /// Acked within the latency target, and later.
    pub good: u64,
    pub late: u64,
    pub busy: u64,
    pub errored: u64,
    /// No answer in time, or a connection that broke without one: rule 1 was broken, or the router was killed.
    pub unanswered: u64,
    /// Of acked ops, in microseconds.
    pub latency: Histogram<u64>,
    /// How long busy replies and errors took.
    pub refusal: Histogram<u64>,
}

impl Default for Stats {
    fn default() -> Self {
        let blank = || Histogram::new(3).expect("three digits are allowed");
        let (latency, refusal) = (blank(), blank());
        Stats { sent: 0, good: 0, late: 0, busy: 0, errored: 0, unanswered: 0, latency, refusal }
    }
}

impl Stats {
    /// The share of ops that were acked within their latency target.
    pub fn share(&self) -> f64 {
        self.good as f64 / self.sent.max(1) as f64
    }

    pub fn add(&mut self, other: &Stats) {
        let Stats { sent, good, late, busy, errored, unanswered, latency, refusal } = other;
        self.sent += sent;
        self.good += good;
        self.late += late;
        self.busy += busy;
        self.errored += errored;
        self.unanswered += unanswered;
        self.latency.add(latency).expect("both are of one form");
        self.refusal.add(refusal).expect("both are of one form");
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// By tenant and op type.
    pub stats: BTreeMap<(&'static str, &'static str), Stats>,
    /// Writes that a client holds an ack for, by their tokens.
    pub acked: Vec<u64>,
    /// When writes were acked, in Unix milliseconds, by tenant.
    pub write_times: BTreeMap<&'static str, Vec<i64>>,
}

impl Outcome {
    pub fn of_tenant(&self, tenant: &str) -> Stats {
        let mut sum = Stats::default();
        self.stats.iter().filter(|((of, _), _)| *of == tenant).for_each(|(_, stats)| sum.add(stats));
        sum
    }

    pub fn of_type(&self, op_type: &str) -> Stats {
        let mut sum = Stats::default();
        self.stats.iter().filter(|((_, of), _)| *of == op_type).for_each(|(_, stats)| sum.add(stats));
        sum
    }
}

struct Run {
    router: SocketAddr,
    op_types: Vec<OpType>,
    idle: Mutex<Vec<Client>>,
    outcome: Mutex<Outcome>,
}

impl Run {
    async fn op(&self, tenant: &'static str, group: i64, kind: usize, number: u64, session: u64) {
        let row = self.op_types[kind];
        let (writes, tokened) = (row.read == "update", row.effect == "idempotency_key");
        let ask = Ask {
            id: number,
            op_type: row.name,
            tenant: Some(tenant),
            group,
            wait_ms: row.timeout_ms,
            token: tokened.then_some(number),
            again: false,
            session,
            writes,
        };
        let began = Instant::now();
        // The router's time for an answer, and some for the way.
        let most = Duration::from_millis(u64::from(row.timeout_ms) + 150);
        let answered = timeout(most, async {
            let kept = self.idle.lock().expect("nobody panics with it").pop();
            let mut client = match kept {
                Some(client) => client,
                None => Client::connect(self.router).await?,
            };
            let reply = match client.ask(&ask.statement()).await {
                // A connection that was idle may be closed as it is used again; a new one is asked once more.
                Err(error) if error.kind() != std::io::ErrorKind::Other => {
                    client = Client::connect(self.router).await?;
                    client.ask(&ask.statement()).await?
                }
                reply => reply?,
            };
            std::io::Result::Ok((client, reply))
        });
        let answered = answered.await;
        let took = began.elapsed();
        let mut outcome = self.outcome.lock().expect("nobody panics with it");
        let stats = outcome.stats.entry((tenant, row.name)).or_default();
        stats.sent += 1;
        let micros = (took.as_micros() as u64).max(1);
        match answered {
            Ok(Ok((client, reply))) => {
                match &reply {
                    Reply::Value(_) => {
                        let good = took <= Duration::from_millis(row.target_ms.into());
                        *(if good { &mut stats.good } else { &mut stats.late }) += 1;
                        let _ = stats.latency.record(micros);
                    }
                    Reply::Busy(_) => stats.busy += 1,
                    Reply::Error(_) => stats.errored += 1,
                }
                if !matches!(reply, Reply::Value(_)) {
                    let _ = stats.refusal.record(micros);
                } else if writes {
                    outcome.acked.push(number);
                    outcome.write_times.entry(tenant).or_default().push(unix_ms());
                }
                drop(outcome);
                self.idle.lock().expect("nobody panics with it").push(client);
            }
            Ok(Err(error)) if error.to_string() == "turned away" => stats.busy += 1,
            _ => stats.unanswered += 1,
        }
    }
}

/// Plays the streams before the router. `watch` is told the time of the run about every 100 ms.
pub fn play(
    router: SocketAddr,
    op_types: &[OpType],
    streams: &[Stream],
    seed: u64,
    mut watch: impl FnMut(Duration),
) -> Outcome {
    let runtime = Builder::new_multi_thread().worker_threads(2).enable_all().build();
    let runtime = runtime.expect("threads can be had");
    let (idle, outcome) = Default::default();
    let run = Arc::new(Run { router, op_types: op_types.to_vec(), idle, outcome });
    let start = Instant::now();
    let last = streams.iter().map(|stream| stream.till).max().unwrap_or_default();
    let mut playing = Vec::new();
    for (row, stream) in streams.iter().cloned().enumerate() {
        let (run, mut rng) = (run.clone(), Rng::with_seed(seed ^ (row as u64) << 32));
        playing.push(runtime.spawn(async move {
            let mut at = stream.from;
            let mut asked = Vec::new();
            let weights: u32 = stream.mix.iter().map(|(_, weight)| weight).sum();
            while at < stream.till {
                sleep_until((start + at).into()).await;
                let mut pick = rng.u32(0..weights);
                let kind = stream.mix.iter().find(|(_, weight)| {
                    let hit = pick < *weight;
                    pick = pick.wrapping_sub(*weight);
                    hit
                });
                let kind = kind.map_or(0, |(kind, _)| *kind);
                let (number, session) = (rng.u64(1..), rng.u64(0..stream.sessions));
                let (run, tenant, group) = (run.clone(), stream.tenant, stream.group);
                asked.push(tokio::spawn(async move { run.op(tenant, group, kind, number, session).await }));
                if asked.len() > 4096 {
                    asked.retain(|task| !task.is_finished());
                }
                // Poisson arrivals.
                at += Duration::from_secs_f64(-rng.f64().max(1e-12).ln() / stream.rate);
            }
            for task in asked {
                let _ = task.await;
            }
        }));
    }
    while start.elapsed() < last {
        watch(start.elapsed());
        std::thread::sleep(Duration::from_millis(100));
    }
    runtime.block_on(async {
        for stream in playing {
            let _ = stream.await;
        }
    });
    let outcome = run.outcome.lock().expect("nobody panics with it").clone();
    runtime.shutdown_background();
    outcome
}
