//! One safety suite over every pair of protocols: seeded faults of the hosts, clients with sessions, and the five rules
//! checked from what clients were told and what the hosts' ledger holds.

mod helpers;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arrowyard_testbed::flight::FlightClient;
use arrowyard_testbed::{Client, Cluster, HostBehavior, ProtocolClient, Reply};
use fastrand::Rng;
use helpers::{BUY, OP_TYPES, OWN, STANDINGS, SUBMIT, VIEW, ask, runtime, specs, start};
use tokio::time::{sleep, timeout};

/// What one client was told.
#[derive(Default)]
struct Told {
    answered: u64,
    acked: Vec<u64>,
    /// Writes that were given back: nothing of them may have run.
    busy: Vec<u64>,
    broken: Vec<String>,
}

/// One client of one session, op by op, till the time is over.
async fn play<C: ProtocolClient>(
    at: SocketAddr,
    session: u64,
    ids: Arc<AtomicU64>,
    seed: u64,
    until: Instant,
) -> Told {
    let (mut rng, mut told) = (Rng::with_seed(seed ^ session << 17), Told::default());
    let mut client: Option<C> = None;
    // What an own read has to show, and what it may show: the last acked write, and those since that may have run.
    // What may have run may still do so for a while, behind a later one that was acked.
    let (mut last, mut maybe): (Option<u64>, Vec<(Instant, u64)>) = (None, Vec::new());
    let running = Duration::from_millis(1200);
    let mut again: Option<u64> = None;
    let mut acked_at = Instant::now();
    while Instant::now() < until {
        let kind = match again {
            Some(_) => SUBMIT,
            None => [VIEW, OWN, OWN, SUBMIT, SUBMIT, BUY, STANDINGS][rng.usize(0..7)],
        };
        let id = ids.fetch_add(1, Ordering::Relaxed);
        let token = again.take();
        let mut asked = ask(kind, id, session);
        asked.is_retry = token.is_some();
        asked.token = token.or(asked.token);
        let turn = asked.token.unwrap_or(id);
        let began = Instant::now();
        let most = Duration::from_millis(u64::from(OP_TYPES[kind].timeout_ms) + 200);
        let answer = timeout(most, async {
            if client.is_none() {
                client = Some(C::connect(at).await?);
            }
            client.as_mut().expect("it is connected").execute(&asked).await
        });
        let reply = match answer.await {
            Ok(Ok(reply)) => reply,
            other => {
                told.broken.push(format!(
                    "{} had no answer in {:?}: {:?}",
                    asked.op_type,
                    began.elapsed(),
                    other.err()
                ));
                client = None;
                maybe.push((began, turn));
                continue;
            }
        };
        told.answered += 1;
        match (kind, reply) {
            (SUBMIT | BUY, Reply::Value(_)) => {
                told.acked.push(turn);
                last = Some(turn);
                acked_at = Instant::now();
                maybe.retain(|(since, other)| since.elapsed() < running && *other != turn);
            }
            // A first one that was given back never ran; of a repeat the one before may have.
            (SUBMIT | BUY, Reply::Busy(_)) if token.is_none() => told.busy.push(turn),
            (SUBMIT | BUY, _) => {
                maybe.push((began, turn));
                again = (kind == SUBMIT && token.is_none() && rng.bool()).then_some(turn);
            }
            (OWN, Reply::Value(value)) => {
                let shown = value.split(' ').nth(1).unwrap_or_default();
                let fits = |turn: &u64| shown == format!("{turn:016x}");
                let known = last.iter().chain(maybe.iter().map(|(_, turn)| turn)).any(fits);
                if !(known || last.is_none() && shown == "-") {
                    told.broken
                        .push(format!("an own read shows {value}, {:?} after the ack, and {last:016x?} was acked, {maybe:x?}", acked_at.elapsed()));
                }
            }
            _ => {}
        }
        sleep(Duration::from_millis(rng.u64(0..10))).await;
    }
    told
}

/// Hosts fall ill, die, drain and take over, as the seed says.
fn trouble(cluster: &Cluster, seed: u64, until: Instant) {
    let mut rng = Rng::with_seed(seed);
    let names = ["p-0", "r-0", "r-1", "r-2"];
    let acts = [
        HostBehavior::Slow(Duration::from_millis(80)),
        HostBehavior::Hang,
        HostBehavior::RejectOverloaded,
        HostBehavior::FailBeforeRun,
        HostBehavior::DisconnectBeforeRun,
        HostBehavior::DisconnectAfterRun,
        HostBehavior::ReplyGarbage,
        HostBehavior::RejectReadOnly,
        HostBehavior::ReplyTwice,
        HostBehavior::DisconnectAfterBatches(0),
        HostBehavior::DisconnectAfterBatches(1),
        HostBehavior::MislabelReply,
    ];
    let mut drained = false;
    while Instant::now() < until {
        let name = names[rng.usize(0..4)];
        match rng.usize(0..8) {
            0 if !drained && !cluster.is_primary(name) => {
                cluster.drain(name);
                drained = true;
            }
            1 if !cluster.is_primary(name) => {
                cluster.kill(name);
                std::thread::sleep(Duration::from_millis(120));
                cluster.restart_as_replica(name);
            }
            2 => {
                // The primary dies, and one that had applied all takes over a little later.
                let primary = names.into_iter().find(|name| cluster.is_primary(name)).expect("there is one");
                let next = names[(names.iter().position(|name| *name == primary).unwrap_or(0) + 1) % 3];
                cluster.kill(primary);
                std::thread::sleep(Duration::from_millis(150));
                cluster.set_behavior(next, HostBehavior::Serve);
                cluster.switchover(next);
                std::thread::sleep(Duration::from_millis(100));
                cluster.restart_as_replica(primary);
            }
            _ => {
                cluster.set_behavior(name, acts[rng.usize(0..acts.len())]);
                std::thread::sleep(Duration::from_millis(150));
                cluster.set_behavior(name, HostBehavior::Serve);
            }
        }
        std::thread::sleep(Duration::from_millis(60));
    }
}

fn suite<C: ProtocolClient>(flight_hosts: bool, flight_clients: bool, seed: u64) {
    let cluster = Cluster::start(&specs(3, flight_hosts));
    let router = start(&cluster, flight_hosts, "");
    let at =
        if flight_clients { router.flight_address.expect("it serves Flight SQL") } else { router.address };
    let ids = Arc::new(AtomicU64::new(1));
    let until = Instant::now() + Duration::from_millis(3500);
    let runtime = runtime();
    let clients: Vec<_> =
        (1..=8).map(|session| runtime.spawn(play::<C>(at, session, ids.clone(), seed, until))).collect();
    trouble(&cluster, seed, until - Duration::from_millis(500));
    let all: Vec<Told> = runtime.block_on(async {
        futures::future::join_all(clients).await.into_iter().map(Result::unwrap).collect()
    });
    let broken: Vec<&String> = all.iter().flat_map(|told| &told.broken).collect();
    assert!(broken.is_empty(), "seed {seed}: {broken:#?}");
    let answered: u64 = all.iter().map(|told| told.answered).sum();
    let acked: Vec<u64> = all.iter().flat_map(|told| told.acked.clone()).collect();
    assert!(answered > 300 && acked.len() > 50, "{answered} answered, {} writes acked", acked.len());
    let ledger = cluster.ledger();
    let held: HashSet<String> = cluster.records(7).into_iter().map(|record| record.write_id).collect();
    for turn in &acked {
        assert!(held.contains(&format!("{turn:016x}")), "seed {seed}: an acked write is not there");
    }
    for (turn, places) in &ledger.applied {
        assert_eq!(places.len(), 1, "seed {seed}: {turn} ran {places:?}");
    }
    for turn in all.iter().flat_map(|told| &told.busy) {
        let applied = ledger.applied.contains_key(&format!("{turn:016x}"));
        assert!(!applied, "seed {seed}: {turn:016x} was given back as never run, and ran");
    }
    for name in ["p-0", "r-0", "r-1", "r-2"] {
        assert_eq!(
            cluster.late_commands(name),
            0,
            "seed {seed}: {name} had new work long after it was told to drain"
        );
    }
}

#[test]
fn postgresql_clients_before_postgresql_hosts() {
    [1, 2].into_iter().for_each(|seed| suite::<Client>(false, false, seed));
}

#[test]
fn flight_sql_clients_before_flight_sql_hosts() {
    [1, 2, 3].into_iter().for_each(|seed| suite::<FlightClient>(true, true, seed));
}

#[test]
fn flight_sql_clients_before_postgresql_hosts() {
    [1, 2].into_iter().for_each(|seed| suite::<FlightClient>(false, true, seed));
}
