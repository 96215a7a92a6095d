//! Cells in a router process: tenants use the hosts of their cell, overload and failing hosts affect one
//! cell only, a tenant moves between two groups, and invalid files change nothing.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use arrowyard_testbed::client::OpRequest;
use arrowyard_testbed::cluster::unix_ms;
use arrowyard_testbed::load::{LoadResult, TenantLoad, run_load};
use arrowyard_testbed::router::{OP_TYPES, platform_config};
use arrowyard_testbed::{Client, Cluster, HostBehavior, HostSpec, Process, Reply};
use tokio::runtime::Runtime;

const OPERATOR_CONFIG: &str = r#"epoch: 1
cells {
  cell { name: "a" host: "a-*" }
  cell { name: "b" host: "b-*" }
  tenant { name: "ann" cell: "a" }
  tenant { name: "bob" cell: "b" }
}"#;

fn start_hosts() -> Cluster {
    let host = |name: &str| HostSpec { slots: 16, ..HostSpec::new(name, 7, name == "p-0") };
    Cluster::start(&["p-0", "a-0", "a-1", "b-0", "b-1"].map(host))
}

fn start_router(cluster: &Cluster, operator_config: Option<&str>) -> Process {
    let program = Path::new(env!("CARGO_BIN_EXE_arrowyard"));
    Process::start(program, &platform_config(cluster, &OP_TYPES, 512), operator_config)
        .expect("the router starts")
}

fn runtime() -> Runtime {
    Runtime::new().expect("the runtime starts")
}

/// A client that gives each op an id of its own.
struct OpClient {
    client: Client,
    next_id: u64,
}

impl OpClient {
    async fn new(router: &Process) -> OpClient {
        OpClient {
            client: Client::connect(router.address).await.expect("the router accepts the connection"),
            next_id: 1,
        }
    }

    async fn execute(
        &mut self,
        tenant: Option<&str>,
        op_type: usize,
        token: Option<u64>,
        is_retry: bool,
        group: i64,
    ) -> Reply {
        self.next_id += 1;
        let config = OP_TYPES[op_type];
        let (timeout_ms, is_write) = (config.timeout_ms, config.read_level == "update");
        let request = OpRequest {
            id: self.next_id,
            op_type: config.name,
            tenant,
            group,
            timeout_ms,
            token: token.or(is_write.then_some(self.next_id)),
            is_retry,
            session: 5,
            is_write,
        };
        self.client.execute(&request.statement()).await.expect("the router replies")
    }
}

#[test]
fn tenants_use_the_hosts_of_their_cell_and_all_write_to_the_primary() {
    let cluster = start_hosts();
    let router = start_router(&cluster, Some(OPERATOR_CONFIG));
    runtime().block_on(async {
        let mut client = OpClient::new(&router).await;
        let mut served_hosts: BTreeMap<(String, bool), Vec<String>> = BTreeMap::new();
        for round in 0..60 {
            for tenant in ["ann", "bob"] {
                let op_type = [0, 1, 2, 3][round % 4];
                match client.execute(Some(tenant), op_type, None, false, 7).await {
                    Reply::Value(value) => {
                        let host = value.split(' ').next().unwrap_or_default().to_string();
                        served_hosts.entry((tenant.to_string(), op_type == 2)).or_default().push(host);
                    }
                    other => panic!("{tenant} {op_type}: {other:?}"),
                }
            }
        }
        for ((tenant, is_write), hosts) in served_hosts {
            let cell_prefix = format!("{}-", &tenant[..1]);
            // A bounded read goes to the primary while no replica of the cell is known to be fresh.
            let unexpected =
                hosts.iter().find(|host| !(host.starts_with(&cell_prefix) && !is_write || *host == "p-0"));
            assert_eq!(unexpected, None, "{tenant}, writes: {is_write}");
            assert!(
                is_write
                    || hosts.iter().filter(|host| host.starts_with(&cell_prefix)).count() > hosts.len() / 2
            );
        }
        // An op of a tenant without a cell fails and is not sent to any host.
        let commands_before = cluster.ledger().commands.values().sum::<u64>();
        for tenant in [Some("eve"), None] {
            let reply = client.execute(tenant, 0, None, false, 7).await;
            assert!(matches!(&reply, Reply::Error(message) if message.contains("cell")), "{reply:?}");
        }
        assert_eq!(cluster.ledger().commands.values().sum::<u64>(), commands_before);
    });
}

#[test]
fn overload_of_hanging_hosts_does_not_affect_another_cell() {
    let host = |name: &str| {
        let service_time = Duration::from_millis(5);
        HostSpec { slots: 2, service_time, queue_capacity: 50, ..HostSpec::new(name, 7, name == "p-0") }
    };
    let cluster = Cluster::start(&["p-0", "a-0", "a-1", "b-0", "b-1"].map(host));
    let router = start_router(&cluster, Some(OPERATOR_CONFIG));
    ["a-0", "a-1"].into_iter().for_each(|name| cluster.set_behavior(name, HostBehavior::Hang));
    let (start, end) = (Duration::ZERO, Duration::from_millis(1500));
    let mix = vec![(0, 2), (3, 3)];
    let load =
        |tenant, rate| TenantLoad { tenant, group: 7, rate, mix: mix.clone(), start, end, sessions: 9 };
    let result = run_load(router.address, &OP_TYPES, &[load("ann", 1000.0), load("bob", 60.0)], 3, |_| {});
    let (ann, bob) = (result.tenant_stats("ann"), result.tenant_stats("bob"));
    assert!(ann.sent > 1000, "{}", ann.sent);
    assert_eq!((ann.unanswered, bob.unanswered), (0, 0), "every op has one reply in time");
    assert!(bob.in_target_share() > 0.9, "{} of {}", bob.in_target, bob.sent);
    let commands = cluster.ledger().commands;
    let other_cell_commands = commands["b-0"] + commands["b-1"];
    assert!(
        other_cell_commands < bob.sent * 2,
        "{other_cell_commands} commands reached the hosts of the other cell, whose ops were {}",
        bob.sent
    );
}

#[test]
fn invalid_and_older_files_are_rejected_and_a_newer_one_applies_at_once() {
    let cluster = start_hosts();
    let router = start_router(&cluster, Some(OPERATOR_CONFIG));
    runtime().block_on(async {
        let mut client = OpClient::new(&router).await;
        let timeout = Duration::from_secs(10);
        router.reload_operator_config(
            &OPERATOR_CONFIG.replace("epoch: 1", "epoch: 2").replace("cell: \"b\"", "cell: \"c\""),
        );
        assert!(router.wait_for_log("no cell is named \"c\"", timeout));
        router.reload_operator_config(&OPERATOR_CONFIG.replace("\"bob\"", "\"eve\""));
        assert!(router.wait_for_log("rejected the operator's file", timeout));
        assert!(matches!(client.execute(Some("eve"), 3, None, false, 7).await, Reply::Error(_)));
        router.reload_operator_config(
            &OPERATOR_CONFIG.replace("epoch: 1", "epoch: 3").replace("\"bob\"", "\"eve\""),
        );
        assert!(router.wait_for_log("applied the operator's file epoch=3", timeout));
        assert!(matches!(client.execute(Some("eve"), 3, None, false, 7).await, Reply::Value(_)));
        assert!(matches!(client.execute(Some("bob"), 3, None, false, 7).await, Reply::Error(_)));
    });
}

#[test]
fn each_cell_has_its_own_retry_budget() {
    let cluster = start_hosts();
    let operator_config = OPERATOR_CONFIG.replace(
        "  tenant { name: \"ann\"",
        "  repeats { share: 0.0 least: 6 window_ms: 60000 }\n  tenant { name: \"ann\"",
    );
    let router = start_router(&cluster, Some(&operator_config));
    runtime().block_on(async {
        let mut client = OpClient::new(&router).await;
        let mut replies = Vec::new();
        for _ in 0..10 {
            replies.push(client.execute(Some("ann"), 3, None, true, 7).await);
        }
        let is_busy = |reply: &&Reply| matches!(reply, Reply::Busy(Some(retry_after)) if *retry_after > 0);
        assert_eq!(replies.iter().filter(is_busy).count(), 4, "{replies:?}");
        // Without budget, failing hosts cause no retries.
        ["a-0", "a-1", "p-0"]
            .into_iter()
            .for_each(|name| cluster.set_behavior(name, HostBehavior::FailBeforeRun));
        let commands_before = cluster.ledger().commands.values().sum::<u64>();
        assert!(!matches!(client.execute(Some("ann"), 3, None, false, 7).await, Reply::Value(_)));
        assert_eq!(cluster.ledger().commands.values().sum::<u64>(), commands_before + 1);
        ["p-0"].into_iter().for_each(|name| cluster.set_behavior(name, HostBehavior::Serve));
        // The other cell's budget is unaffected.
        for _ in 0..6 {
            assert!(matches!(client.execute(Some("bob"), 3, None, true, 7).await, Reply::Value(_)));
        }
    });
}

#[test]
fn a_failing_canary_cell_is_classified_as_a_bad_release() {
    let cluster = start_hosts();
    let release = "  release { order: [\"a\", \"b\"] wrong: 0.19 }\n  tenant { name: \"ann\"";
    let router = start_router(&cluster, Some(&OPERATOR_CONFIG.replace("  tenant { name: \"ann\"", release)));
    // Both cells get new hosts; those of the canary cell fail.
    for name in ["a-2", "a-3", "b-2"] {
        cluster.add_host(HostSpec::new(name, 7, false), unix_ms());
        cluster.set_behavior(
            name,
            if name == "b-2" { HostBehavior::Serve } else { HostBehavior::FailBeforeRun },
        );
    }
    let timeout = Duration::from_secs(10);
    assert!(
        router.wait_for_log("the release in the preceding cell has no verdict yet cell=b by=a", timeout),
        "{:#?}",
        router.log.lock()
    );
    let (start, end) = (Duration::ZERO, Duration::from_millis(1500));
    let load =
        |tenant| TenantLoad { tenant, group: 7, rate: 150.0, mix: vec![(3, 1)], start, end, sessions: 9 };
    // New hosts get few ops, and two have to fail, so the load is repeated until the verdict.
    let mut results =
        (0..8).map(|seed| run_load(router.address, &OP_TYPES, &[load("ann"), load("bob")], seed, |_| {}));
    let result =
        results.find(|_| router.wait_for_log("release verdict: Bad cell=a", Duration::from_millis(100)));
    let result = result.expect("a failing canary is classified as bad");
    assert!(
        router.wait_for_log("the release in the preceding cell has failed cell=b by=a", timeout),
        "{:#?}",
        router.log.lock()
    );
    let bob = result.tenant_stats("bob");
    assert!(bob.in_target_share() > 0.9, "{} of {}", bob.in_target, bob.sent);
}

/// The operator configuration at a step of the move of `ann` from group 7 to group 8, with the fence at
/// `fence_ms` in Unix milliseconds.
fn move_config(epoch: u64, step: &str, fence_ms: i64, cell: &str) -> String {
    let (copied_through_ms, switch_at_ms, lease_until_ms) =
        (fence_ms + 700, fence_ms + 900, if epoch < 3 { fence_ms - 100 } else { fence_ms + 600_000 });
    let target_fields = match step {
        "SWITCHED" | "DONE" => {
            format!(
                "copied_through_ms: {copied_through_ms} target_floor_ms: {} target_host: \"t-0\"",
                copied_through_ms + 1
            )
        }
        _ => String::new(),
    };
    let move_times = if epoch < 3 {
        String::new()
    } else {
        format!("fence_at_ms: {fence_ms} switch_at_ms: {switch_at_ms}")
    };
    let move_entry = format!(
        "move {{ tenant: \"ann\" from: \"a\" to: \"b\" from_group: 7 to_group: 8 step: {step} {move_times} {target_fields} memory_ms: 2000 }}"
    );
    let move_entry = if step.is_empty() { String::new() } else { move_entry };
    format!(
        "epoch: {epoch}\ncells {{\n cell {{ name: \"a\" }}\n cell {{ name: \"b\" }}\n \
         tenant {{ name: \"ann\" cell: \"{cell}\" }}\n tenant {{ name: \"bob\" cell: \"b\" }}\n tenant {{ name: \"eve\" cell: \"b\" }}\n \
         tenant {{ name: \"cat\" cell: \"a\" }}\n \
         lease {{ until_ms: {lease_until_ms} skew_ms: 20 }}\n {move_entry}\n}}\n"
    )
}

#[test]
fn a_tenant_moves_under_load_without_lost_or_repeated_writes() {
    let host =
        |name: &str| HostSpec::new(name, if name.starts_with('s') { 7 } else { 8 }, name.ends_with('0'));
    let cluster = Cluster::start(&["s-0", "s-1", "s-2", "t-0", "t-1", "t-2"].map(host));
    let fence_ms = unix_ms() + 1500;
    let router = start_router(&cluster, Some(&move_config(1, "PLANNED", fence_ms, "a")));
    let (start, end) = (Duration::ZERO, Duration::from_millis(4200));
    let load = |tenant, group| TenantLoad {
        tenant,
        group,
        rate: 80.0,
        mix: vec![(2, 2), (1, 1), (0, 1)],
        start,
        end,
        sessions: 9,
    };
    let (mut is_fenced, mut is_copied) = (false, false);
    let result = run_load(router.address, &OP_TYPES, &[load("ann", 7), load("bob", 8)], 5, |_| {
        if !is_fenced && unix_ms() > fence_ms - 600 {
            router.reload_operator_config(&move_config(3, "FENCED", fence_ms, "a"));
            is_fenced = true;
        }
        if !is_copied && unix_ms() > fence_ms + 720 {
            cluster.copy_records(7, 8, fence_ms + 700);
            router.reload_operator_config(&move_config(4, "SWITCHED", fence_ms, "a"));
            is_copied = true;
        }
    });
    assert!(router.wait_for_log("stage=switched", Duration::ZERO), "{:#?}", router.log.lock());
    let (ann, bob) = (result.tenant_stats("ann"), result.tenant_stats("bob"));
    assert_eq!((ann.unanswered, bob.unanswered), (0, 0));
    assert!(ann.busy > 20, "writes during the fence get a busy reply: {}", ann.busy);
    assert!(bob.in_target_share() > 0.97, "{} of {}", bob.in_target, bob.sent);
    let write_counts: BTreeMap<String, usize> =
        cluster.records(8).into_iter().fold(BTreeMap::new(), |mut counts, record| {
            *counts.entry(record.write_id).or_default() += 1;
            counts
        });
    let missing = result.acked_writes.iter().find(|id| !write_counts.contains_key(&format!("{id:016x}")));
    assert_eq!(missing, None, "an acknowledged write is missing at the target");
    assert!(write_counts.values().all(|count| *count == 1));
    // Writes addressed to the source group were applied at the target as well.
    let applied_at_target =
        cluster.ledger().applied.values().flatten().filter(|(host, _)| host == "t-0").count();
    assert!(applied_at_target > 100, "{applied_at_target}");
}

/// Moves `ann` from group 7 to 8 while `cat` stays in group 7 in the source cell. `inject_fault` is called
/// with the milliseconds since the fence.
fn move_with_fault(
    extra_load: Option<TenantLoad>,
    mut inject_fault: impl FnMut(&Cluster, i64),
) -> (Cluster, Process, LoadResult) {
    let host =
        |name: &str| HostSpec::new(name, if name.starts_with('s') { 7 } else { 8 }, name.ends_with('0'));
    let cluster = Cluster::start(&["s-0", "s-1", "s-2", "t-0", "t-1"].map(host));
    let fence_ms = unix_ms() + 1200;
    let router = start_router(&cluster, Some(&move_config(1, "PLANNED", fence_ms, "a")));
    let (start, end, mix) = (Duration::ZERO, Duration::from_millis(3800), vec![(2, 2), (1, 1)]);
    let load =
        |tenant| TenantLoad { tenant, group: 7, rate: 60.0, mix: mix.clone(), start, end, sessions: 9 };
    let loads: Vec<TenantLoad> = ["ann", "cat"].map(load).into_iter().chain(extra_load).collect();
    let (mut is_fenced, mut is_copied) = (false, false);
    let result = run_load(router.address, &OP_TYPES, &loads, 5, |_| {
        let since_fence_ms = unix_ms() - fence_ms;
        if !is_fenced && since_fence_ms > -600 {
            router.reload_operator_config(&move_config(3, "FENCED", fence_ms, "a"));
            is_fenced = true;
        }
        if !is_copied && since_fence_ms > 720 {
            cluster.copy_records(7, 8, fence_ms + 700);
            router.reload_operator_config(&move_config(4, "SWITCHED", fence_ms, "a"));
            is_copied = true;
        }
        inject_fault(&cluster, since_fence_ms);
    });
    (cluster, router, result)
}

/// Asserts that every acknowledged write is stored in one of the groups and that no write was applied twice.
fn assert_none_lost_or_repeated(cluster: &Cluster, result: &LoadResult) {
    let stored: Vec<String> =
        [7, 8].iter().flat_map(|&group| cluster.records(group)).map(|record| record.write_id).collect();
    for id in &result.acked_writes {
        assert!(stored.contains(&format!("{id:016x}")), "an acknowledged write is lost");
    }
    assert!(
        cluster.ledger().applied.values().all(|applications| applications.len() == 1),
        "a write was applied twice"
    );
}

#[test]
fn a_move_to_draining_hosts_rejects_writes_and_loses_none() {
    let mut is_drained = false;
    let (cluster, _router, result) = move_with_fault(None, |cluster, since_fence_ms| {
        if !is_drained && since_fence_ms > 300 {
            ["t-0", "t-1"].into_iter().for_each(|name| cluster.drain(name));
            is_drained = true;
        }
    });
    let (ann, cat) = (result.tenant_stats("ann"), result.tenant_stats("cat"));
    assert_eq!((ann.unanswered, cat.unanswered), (0, 0), "every op has one reply in time");
    assert!(ann.busy > 50, "its writes get a busy reply: {} of {}", ann.busy, ann.sent);
    assert!(cat.in_target_share() > 0.97, "{} of {}", cat.in_target, cat.sent);
    // A draining host gets no new ops, even as the target of a move.
    assert!(cluster.ledger().applied.values().flatten().all(|(host, _)| host.starts_with('s')));
    assert_none_lost_or_repeated(&cluster, &result);
}

#[test]
fn a_move_to_overloaded_hosts_rejects_writes_without_using_the_source() {
    // The target cell's own tenant saturates it from before the switch.
    let (start, end) = (Duration::from_millis(1600), Duration::from_millis(3800));
    let eve = TenantLoad { tenant: "eve", group: 8, rate: 600.0, mix: vec![(2, 1)], start, end, sessions: 9 };
    let mut is_overloaded = false;
    let (cluster, router, result) = move_with_fault(Some(eve), |cluster, since_fence_ms| {
        if !is_overloaded && since_fence_ms > 300 {
            ["t-0", "t-1"]
                .into_iter()
                .for_each(|name| cluster.set_behavior(name, HostBehavior::RejectOverloaded));
            is_overloaded = true;
        }
    });
    assert!(router.wait_for_log("stage=switched", Duration::ZERO), "{:#?}", router.log.lock());
    let (ann, cat) = (result.tenant_stats("ann"), result.tenant_stats("cat"));
    assert_eq!((ann.unanswered, cat.unanswered), (0, 0), "every op has one reply in time");
    assert!(ann.busy > 50, "its writes get a busy reply: {} of {}", ann.busy, ann.sent);
    assert!(cat.in_target_share() > 0.97, "{} of {}", cat.in_target, cat.sent);
    assert!(cluster.ledger().applied.values().flatten().all(|(host, _)| host.starts_with('s')));
    assert_none_lost_or_repeated(&cluster, &result);
}

#[test]
fn tokio_postgres_can_run_ops_and_show_cells() {
    let cluster = start_hosts();
    let router = start_router(&cluster, Some(OPERATOR_CONFIG));
    runtime().block_on(async {
        let mut config = tokio_postgres::Config::new();
        config.host("127.0.0.1").port(router.address.port()).user("web").dbname("orders");
        let (client, connection) = config.connect(tokio_postgres::NoTls).await.expect("the router accepts the connection");
        let connection_task = tokio::spawn(connection);
        let statement = "/* id=9b1f03aa5c7e2d41,c=standings,t=ann,d=600,cluster=7 */ SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655'";
        let messages = client.simple_query(statement).await.expect("the op succeeds");
        let row = messages.iter().find_map(|message| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => row.get(0).map(str::to_string),
            _ => None,
        });
        assert!(row.is_some_and(|value| value.starts_with("a-") || value.starts_with("p-")));
        let cells_reply = client.simple_query("SHOW cells").await.expect("the router reports its cells");
        let cells_text = cells_reply.iter().find_map(|message| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => row.get("cells").map(str::to_string),
            _ => None,
        });
        assert!(cells_text.is_some_and(|text| text.contains(r#""cell":"a""#) && text.contains(r#""taken":1"#)));
        drop(client);
        let _ = connection_task.await;
    });
}

#[test]
fn a_busy_reply_respects_the_platforms_maximum_retry_delay() {
    let cluster = start_hosts();
    // The lease has expired, and the time of the next file is unknown.
    let expired = format!("  lease {{ until_ms: {} }}\n  tenant {{ name: \"ann\"", unix_ms() - 1000);
    let router = start_router(&cluster, Some(&OPERATOR_CONFIG.replace("  tenant { name: \"ann\"", &expired)));
    runtime().block_on(async {
        let mut client = OpClient::new(&router).await;
        assert_eq!(client.execute(Some("ann"), 2, None, false, 7).await, Reply::Busy(Some(2000)));
        assert!(matches!(client.execute(Some("ann"), 3, None, false, 7).await, Reply::Value(_)));
    });
    assert!(cluster.ledger().applied.is_empty());
}
