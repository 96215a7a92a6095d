//! Cells in a router process: tenants use the hosts of their cell, overload and failing hosts affect one
//! cell only, a tenant moves between two groups, and invalid files change nothing.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use arrowyard_testbed::client::Ask;
use arrowyard_testbed::load::{Outcome, Stream, play};
use arrowyard_testbed::router::{OP_TYPES, waybill};
use arrowyard_testbed::town::unix_ms;
use arrowyard_testbed::{Act, Client, Process, Reply, Spec, Town};
use tokio::runtime::Runtime;

const BOOK: &str = r#"epoch: 1
cells {
  cell { name: "a" host: "a-*" }
  cell { name: "b" host: "b-*" }
  tenant { name: "ann" cell: "a" }
  tenant { name: "bob" cell: "b" }
}"#;

fn start_hosts() -> Town {
    let host = |name: &str| Spec { slots: 16, ..Spec::new(name, 7, name == "p-0") };
    Town::start(&["p-0", "a-0", "a-1", "b-0", "b-1"].map(host))
}

fn start(town: &Town, book: Option<&str>) -> Process {
    let program = Path::new(env!("CARGO_BIN_EXE_arrowyard"));
    Process::start(program, &waybill(town, &OP_TYPES, 512), book).expect("the router starts")
}

fn runtime() -> Runtime {
    Runtime::new().expect("the runtime starts")
}

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

    async fn ask(
        &mut self,
        tenant: Option<&str>,
        kind: usize,
        token: Option<u64>,
        is_retry: bool,
        group: i64,
    ) -> Reply {
        self.next_id += 1;
        let row = OP_TYPES[kind];
        let (timeout_ms, writes) = (row.timeout_ms, row.read == "update");
        let ask = Ask {
            id: self.next_id,
            op_type: row.name,
            tenant,
            group,
            wait_ms: timeout_ms,
            token: token.or(writes.then_some(self.next_id)),
            again: is_retry,
            session: 5,
            writes,
        };
        self.client.ask(&ask.statement()).await.expect("the router replies")
    }
}

#[test]
fn tenants_use_the_hosts_of_their_cell_and_all_write_to_the_primary() {
    let town = start_hosts();
    let router = start(&town, Some(BOOK));
    runtime().block_on(async {
        let mut client = OpClient::new(&router).await;
        let mut served: BTreeMap<(String, bool), Vec<String>> = BTreeMap::new();
        for turn in 0..60 {
            for tenant in ["ann", "bob"] {
                let kind = [0, 1, 2, 3][turn % 4];
                match client.ask(Some(tenant), kind, None, false, 7).await {
                    Reply::Value(value) => {
                        let host = value.split(' ').next().unwrap_or_default().to_string();
                        served.entry((tenant.to_string(), kind == 2)).or_default().push(host);
                    }
                    other => panic!("{tenant} {kind}: {other:?}"),
                }
            }
        }
        for ((tenant, writes), hosts) in served {
            let cell_prefix = format!("{}-", &tenant[..1]);
            // A bounded read goes to the primary while no replica of the cell is known to be fresh.
            let wrong =
                hosts.iter().find(|host| !(host.starts_with(&cell_prefix) && !writes || *host == "p-0"));
            assert_eq!(wrong, None, "{tenant}, writes: {writes}");
            assert!(
                writes
                    || hosts.iter().filter(|host| host.starts_with(&cell_prefix)).count() > hosts.len() / 2
            );
        }
        // An op of a tenant without a cell fails and is not sent to any host.
        let before = town.ledger().commands.values().sum::<u64>();
        for tenant in [Some("eve"), None] {
            let reply = client.ask(tenant, 0, None, false, 7).await;
            assert!(matches!(&reply, Reply::Error(why) if why.contains("cell")), "{reply:?}");
        }
        assert_eq!(town.ledger().commands.values().sum::<u64>(), before);
    });
}

#[test]
fn overload_of_hanging_hosts_does_not_affect_another_cell() {
    let host = |name: &str| {
        let service = Duration::from_millis(5);
        Spec { slots: 2, service, queue: 50, ..Spec::new(name, 7, name == "p-0") }
    };
    let town = Town::start(&["p-0", "a-0", "a-1", "b-0", "b-1"].map(host));
    let router = start(&town, Some(BOOK));
    ["a-0", "a-1"].into_iter().for_each(|name| town.act(name, Act::Hang));
    let (from, till) = (Duration::ZERO, Duration::from_millis(1500));
    let mix = vec![(0, 2), (3, 3)];
    let stream = |tenant, rate| Stream { tenant, group: 7, rate, mix: mix.clone(), from, till, sessions: 9 };
    let outcome = play(router.address, &OP_TYPES, &[stream("ann", 1000.0), stream("bob", 60.0)], 3, |_| {});
    let (ann, bob) = (outcome.of_tenant("ann"), outcome.of_tenant("bob"));
    assert!(ann.sent > 1000, "{}", ann.sent);
    assert_eq!((ann.unanswered, bob.unanswered), (0, 0), "every op has one reply in time");
    assert!(bob.share() > 0.9, "{} of {}", bob.good, bob.sent);
    let commands = town.ledger().commands;
    let others = commands["b-0"] + commands["b-1"];
    assert!(
        others < bob.sent * 2,
        "{others} commands reached the hosts of the other cell, whose ops were {}",
        bob.sent
    );
}

#[test]
fn invalid_and_older_files_are_rejected_and_a_newer_one_applies_at_once() {
    let town = start_hosts();
    let router = start(&town, Some(BOOK));
    runtime().block_on(async {
        let mut client = OpClient::new(&router).await;
        let within = Duration::from_secs(10);
        router.rebook(&BOOK.replace("epoch: 1", "epoch: 2").replace("cell: \"b\"", "cell: \"c\""));
        assert!(router.said("no cell is named \"c\"", within));
        router.rebook(&BOOK.replace("\"bob\"", "\"eve\""));
        assert!(router.said("rejected the operator's file", within));
        assert!(matches!(client.ask(Some("eve"), 3, None, false, 7).await, Reply::Error(_)));
        router.rebook(&BOOK.replace("epoch: 1", "epoch: 3").replace("\"bob\"", "\"eve\""));
        assert!(router.said("applied the operator's file epoch=3", within));
        assert!(matches!(client.ask(Some("eve"), 3, None, false, 7).await, Reply::Value(_)));
        assert!(matches!(client.ask(Some("bob"), 3, None, false, 7).await, Reply::Error(_)));
    });
}

#[test]
fn each_cell_has_its_own_retry_budget() {
    let town = start_hosts();
    let book = BOOK.replace(
        "  tenant { name: \"ann\"",
        "  repeats { share: 0.0 least: 6 window_ms: 60000 }\n  tenant { name: \"ann\"",
    );
    let router = start(&town, Some(&book));
    runtime().block_on(async {
        let mut client = OpClient::new(&router).await;
        let mut replies = Vec::new();
        for _ in 0..10 {
            replies.push(client.ask(Some("ann"), 3, None, true, 7).await);
        }
        let busy = |reply: &&Reply| matches!(reply, Reply::Busy(Some(after)) if *after > 0);
        assert_eq!(replies.iter().filter(busy).count(), 4, "{replies:?}");
        // Without budget, failing hosts cause no retries.
        ["a-0", "a-1", "p-0"].into_iter().for_each(|name| town.act(name, Act::Fail));
        let before = town.ledger().commands.values().sum::<u64>();
        assert!(!matches!(client.ask(Some("ann"), 3, None, false, 7).await, Reply::Value(_)));
        assert_eq!(town.ledger().commands.values().sum::<u64>(), before + 1);
        ["p-0"].into_iter().for_each(|name| town.act(name, Act::Serve));
        // The other cell's budget is unaffected.
        for _ in 0..6 {
            assert!(matches!(client.ask(Some("bob"), 3, None, true, 7).await, Reply::Value(_)));
        }
    });
}

#[test]
fn a_failing_canary_cell_is_classified_as_a_bad_release() {
    let town = start_hosts();
    let release = "  release { order: [\"a\", \"b\"] wrong: 0.19 }\n  tenant { name: \"ann\"";
    let router = start(&town, Some(&BOOK.replace("  tenant { name: \"ann\"", release)));
    // Both cells get new hosts; those of the canary cell fail.
    for name in ["a-2", "a-3", "b-2"] {
        town.add(Spec::new(name, 7, false), unix_ms());
        town.act(name, if name == "b-2" { Act::Serve } else { Act::Fail });
    }
    let within = Duration::from_secs(10);
    assert!(
        router.said("the release in the preceding cell has no verdict yet cell=b by=a", within),
        "{:#?}",
        router.log.lock()
    );
    let (from, till) = (Duration::ZERO, Duration::from_millis(1500));
    let stream =
        |tenant| Stream { tenant, group: 7, rate: 150.0, mix: vec![(3, 1)], from, till, sessions: 9 };
    // New hosts get few ops, and two have to fail, so the load is repeated until the verdict.
    let mut rounds =
        (0..8).map(|seed| play(router.address, &OP_TYPES, &[stream("ann"), stream("bob")], seed, |_| {}));
    let outcome = rounds.find(|_| router.said("release verdict: Bad cell=a", Duration::from_millis(100)));
    let outcome = outcome.expect("a failing canary is classified as bad");
    assert!(
        router.said("the release in the preceding cell has failed cell=b by=a", within),
        "{:#?}",
        router.log.lock()
    );
    let bob = outcome.of_tenant("bob");
    assert!(bob.share() > 0.9, "{} of {}", bob.good, bob.sent);
}

/// The operator's file at a step of the move of `ann` from group 7 to group 8, with the fence at `fence` in
/// Unix milliseconds.
fn move_file(epoch: u64, step: &str, fence: i64, cell: &str) -> String {
    let (copied, switch, lease) =
        (fence + 700, fence + 900, if epoch < 3 { fence - 100 } else { fence + 600_000 });
    let end = match step {
        "SWITCHED" | "DONE" => {
            format!("copied_through_ms: {copied} target_floor_ms: {} target_host: \"t-0\"", copied + 1)
        }
        _ => String::new(),
    };
    let times =
        if epoch < 3 { String::new() } else { format!("fence_at_ms: {fence} switch_at_ms: {switch}") };
    let row = format!(
        "move {{ tenant: \"ann\" from: \"a\" to: \"b\" from_group: 7 to_group: 8 step: {step} {times} {end} memory_ms: 2000 }}"
    );
    let row = if step.is_empty() { String::new() } else { row };
    format!(
        "epoch: {epoch}\ncells {{\n cell {{ name: \"a\" }}\n cell {{ name: \"b\" }}\n \
         tenant {{ name: \"ann\" cell: \"{cell}\" }}\n tenant {{ name: \"bob\" cell: \"b\" }}\n tenant {{ name: \"eve\" cell: \"b\" }}\n \
         tenant {{ name: \"cat\" cell: \"a\" }}\n \
         lease {{ until_ms: {lease} skew_ms: 20 }}\n {row}\n}}\n"
    )
}

#[test]
fn a_tenant_moves_under_load_without_lost_or_repeated_writes() {
    let host = |name: &str| Spec::new(name, if name.starts_with('s') { 7 } else { 8 }, name.ends_with('0'));
    let town = Town::start(&["s-0", "s-1", "s-2", "t-0", "t-1", "t-2"].map(host));
    let fence = unix_ms() + 1500;
    let router = start(&town, Some(&move_file(1, "PLANNED", fence, "a")));
    let (from, till) = (Duration::ZERO, Duration::from_millis(4200));
    let stream = |tenant, group| Stream {
        tenant,
        group,
        rate: 80.0,
        mix: vec![(2, 2), (1, 1), (0, 1)],
        from,
        till,
        sessions: 9,
    };
    let (mut fenced, mut copied) = (false, false);
    let outcome = play(router.address, &OP_TYPES, &[stream("ann", 7), stream("bob", 8)], 5, |_| {
        if !fenced && unix_ms() > fence - 600 {
            router.rebook(&move_file(3, "FENCED", fence, "a"));
            fenced = true;
        }
        if !copied && unix_ms() > fence + 720 {
            town.copy(7, 8, fence + 700);
            router.rebook(&move_file(4, "SWITCHED", fence, "a"));
            copied = true;
        }
    });
    assert!(router.said("stage=switched", Duration::ZERO), "{:#?}", router.log.lock());
    let (ann, bob) = (outcome.of_tenant("ann"), outcome.of_tenant("bob"));
    assert_eq!((ann.unanswered, bob.unanswered), (0, 0));
    assert!(ann.busy > 20, "writes during the fence get a busy reply: {}", ann.busy);
    assert!(bob.share() > 0.97, "{} of {}", bob.good, bob.sent);
    let target: BTreeMap<String, usize> = town.log(8).into_iter().fold(BTreeMap::new(), |mut all, record| {
        *all.entry(record.turn).or_default() += 1;
        all
    });
    let missing = outcome.acked.iter().find(|turn| !target.contains_key(&format!("{turn:016x}")));
    assert_eq!(missing, None, "an acknowledged write is missing at the target");
    assert!(target.values().all(|times| *times == 1));
    // Writes addressed to the source group were applied at the target as well.
    let at_target = town.ledger().applied.values().flatten().filter(|(host, _)| host == "t-0").count();
    assert!(at_target > 100, "{at_target}");
}

/// Moves `ann` from group 7 to 8 while `cat` stays in group 7 in the source cell. `inject_fault` is called
/// with the milliseconds since the fence.
fn move_with_fault(
    extra_load: Option<Stream>,
    mut inject_fault: impl FnMut(&Town, i64),
) -> (Town, Process, Outcome) {
    let host = |name: &str| Spec::new(name, if name.starts_with('s') { 7 } else { 8 }, name.ends_with('0'));
    let town = Town::start(&["s-0", "s-1", "s-2", "t-0", "t-1"].map(host));
    let fence = unix_ms() + 1200;
    let router = start(&town, Some(&move_file(1, "PLANNED", fence, "a")));
    let (from, till, mix) = (Duration::ZERO, Duration::from_millis(3800), vec![(2, 2), (1, 1)]);
    let stream = |tenant| Stream { tenant, group: 7, rate: 60.0, mix: mix.clone(), from, till, sessions: 9 };
    let streams: Vec<Stream> = ["ann", "cat"].map(stream).into_iter().chain(extra_load).collect();
    let (mut fenced, mut copied) = (false, false);
    let outcome = play(router.address, &OP_TYPES, &streams, 5, |_| {
        let now = unix_ms() - fence;
        if !fenced && now > -600 {
            router.rebook(&move_file(3, "FENCED", fence, "a"));
            fenced = true;
        }
        if !copied && now > 720 {
            town.copy(7, 8, fence + 700);
            router.rebook(&move_file(4, "SWITCHED", fence, "a"));
            copied = true;
        }
        inject_fault(&town, now);
    });
    (town, router, outcome)
}

/// Asserts that every acknowledged write is stored in one of the groups and that no write was applied twice.
fn assert_none_lost_or_repeated(town: &Town, outcome: &Outcome) {
    let stored: Vec<String> =
        [7, 8].iter().flat_map(|&group| town.log(group)).map(|record| record.turn).collect();
    for turn in &outcome.acked {
        assert!(stored.contains(&format!("{turn:016x}")), "an acknowledged write is lost");
    }
    assert!(town.ledger().applied.values().all(|places| places.len() == 1), "a write was applied twice");
}

#[test]
fn a_move_to_draining_hosts_rejects_writes_and_loses_none() {
    let mut drained = false;
    let (town, _router, outcome) = move_with_fault(None, |town, now| {
        if !drained && now > 300 {
            ["t-0", "t-1"].into_iter().for_each(|name| town.drain(name));
            drained = true;
        }
    });
    let (ann, cat) = (outcome.of_tenant("ann"), outcome.of_tenant("cat"));
    assert_eq!((ann.unanswered, cat.unanswered), (0, 0), "every op has one reply in time");
    assert!(ann.busy > 50, "its writes get a busy reply: {} of {}", ann.busy, ann.sent);
    assert!(cat.share() > 0.97, "{} of {}", cat.good, cat.sent);
    // A draining host gets no new ops, even as the target of a move.
    assert!(town.ledger().applied.values().flatten().all(|(host, _)| host.starts_with('s')));
    assert_none_lost_or_repeated(&town, &outcome);
}

#[test]
fn a_move_to_overloaded_hosts_rejects_writes_without_using_the_source() {
    // The target cell's own tenant saturates it from before the switch.
    let (from, till) = (Duration::from_millis(1600), Duration::from_millis(3800));
    let eve = Stream { tenant: "eve", group: 8, rate: 600.0, mix: vec![(2, 1)], from, till, sessions: 9 };
    let mut overloaded = false;
    let (town, router, outcome) = move_with_fault(Some(eve), |town, now| {
        if !overloaded && now > 300 {
            ["t-0", "t-1"].into_iter().for_each(|name| town.act(name, Act::TurnAway));
            overloaded = true;
        }
    });
    assert!(router.said("stage=switched", Duration::ZERO), "{:#?}", router.log.lock());
    let (ann, cat) = (outcome.of_tenant("ann"), outcome.of_tenant("cat"));
    assert_eq!((ann.unanswered, cat.unanswered), (0, 0), "every op has one reply in time");
    assert!(ann.busy > 50, "its writes get a busy reply: {} of {}", ann.busy, ann.sent);
    assert!(cat.share() > 0.97, "{} of {}", cat.good, cat.sent);
    assert!(town.ledger().applied.values().flatten().all(|(host, _)| host.starts_with('s')));
    assert_none_lost_or_repeated(&town, &outcome);
}

#[test]
fn tokio_postgres_can_run_ops_and_show_cells() {
    let town = start_hosts();
    let router = start(&town, Some(BOOK));
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
        let shown = client.simple_query("SHOW cells").await.expect("the router reports its cells");
        let shown = shown.iter().find_map(|message| match message {
            tokio_postgres::SimpleQueryMessage::Row(row) => row.get("cells").map(str::to_string),
            _ => None,
        });
        assert!(shown.is_some_and(|text| text.contains(r#""cell":"a""#) && text.contains(r#""taken":1"#)));
        drop(client);
        let _ = connection_task.await;
    });
}

#[test]
fn a_busy_reply_respects_the_platforms_maximum_retry_delay() {
    let town = start_hosts();
    // The lease has expired, and the time of the next file is unknown.
    let expired = format!("  lease {{ until_ms: {} }}\n  tenant {{ name: \"ann\"", unix_ms() - 1000);
    let router = start(&town, Some(&BOOK.replace("  tenant { name: \"ann\"", &expired)));
    runtime().block_on(async {
        let mut client = OpClient::new(&router).await;
        assert_eq!(client.ask(Some("ann"), 2, None, false, 7).await, Reply::Busy(Some(2000)));
        assert!(matches!(client.ask(Some("ann"), 3, None, false, 7).await, Reply::Value(_)));
    });
    assert!(town.ledger().applied.is_empty());
}
