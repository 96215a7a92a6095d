//! A safety suite for every pair of client and host protocol: injects seeded host faults under clients with
//! sessions, and checks the clients' replies against the hosts' ledger.

mod helpers;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use arrowyard_testbed::flight::FlightClient;
use arrowyard_testbed::{Client, Cluster, HostBehavior, ProtocolClient, Reply};
use fastrand::Rng;
use helpers::{
    BUY, OP_TYPES, OWN_READ, STANDINGS, SUBMIT, VIEW, host_specs, op_request, runtime, start_router,
};
use tokio::time::{sleep, timeout};

/// The replies to one client.
#[derive(Default)]
struct Replies {
    answered: u64,
    acked: Vec<u64>,
    /// Writes with a busy reply, which must not have run.
    busy: Vec<u64>,
    violations: Vec<String>,
}

/// Sends the ops of one session one after the other until the deadline.
async fn run_client<C: ProtocolClient>(
    router: SocketAddr,
    session: u64,
    next_op_id: Arc<AtomicU64>,
    seed: u64,
    deadline: Instant,
) -> Replies {
    let (mut rng, mut replies) = (Rng::with_seed(seed ^ session << 17), Replies::default());
    let mut client: Option<C> = None;
    // A read of own writes must show the last acked write or one that may have run. The latter may take
    // effect up to `max_run_time` after it was sent, also after a later write was acked.
    let (mut last_acked, mut may_have_run): (Option<u64>, Vec<(Instant, u64)>) = (None, Vec::new());
    let max_run_time = Duration::from_millis(1200);
    let mut retry_token: Option<u64> = None;
    let mut acked_at = Instant::now();
    while Instant::now() < deadline {
        let op_type = match retry_token {
            Some(_) => SUBMIT,
            None => [VIEW, OWN_READ, OWN_READ, SUBMIT, SUBMIT, BUY, STANDINGS][rng.usize(0..7)],
        };
        let id = next_op_id.fetch_add(1, Ordering::Relaxed);
        let token = retry_token.take();
        let mut request = op_request(op_type, id, session);
        request.is_retry = token.is_some();
        request.token = token.or(request.token);
        let write_id = request.token.unwrap_or(id);
        let sent_at = Instant::now();
        let reply_timeout = Duration::from_millis(u64::from(OP_TYPES[op_type].timeout_ms) + 200);
        let pending_reply = timeout(reply_timeout, async {
            if client.is_none() {
                client = Some(C::connect(router).await?);
            }
            client.as_mut().expect("connected above").execute(&request).await
        });
        let reply = match pending_reply.await {
            Ok(Ok(reply)) => reply,
            failure => {
                replies.violations.push(format!(
                    "{} got no reply within {:?}: {:?}",
                    request.op_type,
                    sent_at.elapsed(),
                    failure.err()
                ));
                client = None;
                may_have_run.push((sent_at, write_id));
                continue;
            }
        };
        replies.answered += 1;
        match (op_type, reply) {
            (SUBMIT | BUY, Reply::Value(_)) => {
                replies.acked.push(write_id);
                last_acked = Some(write_id);
                acked_at = Instant::now();
                may_have_run.retain(|(sent_at, other_write_id)| {
                    sent_at.elapsed() < max_run_time && *other_write_id != write_id
                });
            }
            // A busy reply to a retry says nothing about the first attempt, which may have run.
            (SUBMIT | BUY, Reply::Busy(_)) if token.is_none() => replies.busy.push(write_id),
            (SUBMIT | BUY, _) => {
                may_have_run.push((sent_at, write_id));
                retry_token = (op_type == SUBMIT && token.is_none() && rng.bool()).then_some(write_id);
            }
            (OWN_READ, Reply::Value(value)) => {
                let shown_write = value.split(' ').nth(1).unwrap_or_default();
                let is_shown = |write_id: &u64| shown_write == format!("{write_id:016x}");
                let is_allowed =
                    last_acked.iter().chain(may_have_run.iter().map(|(_, write_id)| write_id)).any(is_shown);
                if !(is_allowed || last_acked.is_none() && shown_write == "-") {
                    replies.violations
                        .push(format!("a read of own writes shows {value} {:?} after the last ack; acked: {last_acked:016x?}, may have run: {may_have_run:x?}", acked_at.elapsed()));
                }
            }
            _ => {}
        }
        sleep(Duration::from_millis(rng.u64(0..10))).await;
    }
    replies
}

/// Injects host faults, crashes, a drain and failovers in an order that the seed determines.
fn inject_faults(cluster: &Cluster, seed: u64, deadline: Instant) {
    let mut rng = Rng::with_seed(seed);
    let names = ["p-0", "r-0", "r-1", "r-2"];
    let faults = [
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
    while Instant::now() < deadline {
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
                // The primary crashes, and a host that has applied everything is promoted later.
                let primary = names.into_iter().find(|name| cluster.is_primary(name)).expect("a primary");
                let next_primary =
                    names[(names.iter().position(|name| *name == primary).unwrap_or(0) + 1) % 3];
                cluster.kill(primary);
                std::thread::sleep(Duration::from_millis(150));
                cluster.set_behavior(next_primary, HostBehavior::Serve);
                cluster.switchover(next_primary);
                std::thread::sleep(Duration::from_millis(100));
                cluster.restart_as_replica(primary);
            }
            _ => {
                cluster.set_behavior(name, faults[rng.usize(0..faults.len())]);
                std::thread::sleep(Duration::from_millis(150));
                cluster.set_behavior(name, HostBehavior::Serve);
            }
        }
        std::thread::sleep(Duration::from_millis(60));
    }
}

/// Runs clients against hosts with injected faults, and checks the replies and the ledger.
fn run_suite<C: ProtocolClient>(flight_hosts: bool, flight_clients: bool, seed: u64) {
    let cluster = Cluster::start(&host_specs(3, flight_hosts));
    let router = start_router(&cluster, flight_hosts, "");
    let router_address =
        if flight_clients { router.flight_address.expect("a Flight SQL address") } else { router.address };
    let next_op_id = Arc::new(AtomicU64::new(1));
    let deadline = Instant::now() + Duration::from_millis(3500);
    let runtime = runtime();
    let clients: Vec<_> = (1..=8)
        .map(|session| {
            runtime.spawn(run_client::<C>(router_address, session, next_op_id.clone(), seed, deadline))
        })
        .collect();
    inject_faults(&cluster, seed, deadline - Duration::from_millis(500));
    let replies: Vec<Replies> = runtime.block_on(async {
        futures::future::join_all(clients).await.into_iter().map(Result::unwrap).collect()
    });
    let violations: Vec<&String> = replies.iter().flat_map(|replies| &replies.violations).collect();
    assert!(violations.is_empty(), "seed {seed}: {violations:#?}");
    let answered: u64 = replies.iter().map(|replies| replies.answered).sum();
    let acked: Vec<u64> = replies.iter().flat_map(|replies| replies.acked.clone()).collect();
    assert!(answered > 300 && acked.len() > 50, "{answered} answered, {} writes acked", acked.len());
    let ledger = cluster.ledger();
    let recorded: HashSet<String> = cluster.records(7).into_iter().map(|record| record.write_id).collect();
    for write_id in &acked {
        assert!(recorded.contains(&format!("{write_id:016x}")), "seed {seed}: an acked write is lost");
    }
    for (write_id, applications) in &ledger.applied {
        assert_eq!(applications.len(), 1, "seed {seed}: {write_id} ran {applications:?}");
    }
    for write_id in replies.iter().flat_map(|replies| &replies.busy) {
        let applied = ledger.applied.contains_key(&format!("{write_id:016x}"));
        assert!(!applied, "seed {seed}: {write_id:016x} got a busy reply, but ran");
    }
    for name in ["p-0", "r-0", "r-1", "r-2"] {
        assert_eq!(
            cluster.late_commands(name),
            0,
            "seed {seed}: {name} got new ops long after its drain started"
        );
    }
}

#[test]
fn postgresql_clients_with_postgresql_hosts() {
    [1, 2].into_iter().for_each(|seed| run_suite::<Client>(false, false, seed));
}

#[test]
fn flight_sql_clients_with_flight_sql_hosts() {
    [1, 2, 3].into_iter().for_each(|seed| run_suite::<FlightClient>(true, true, seed));
}

#[test]
fn flight_sql_clients_with_postgresql_hosts() {
    [1, 2].into_iter().for_each(|seed| run_suite::<FlightClient>(false, true, seed));
}
