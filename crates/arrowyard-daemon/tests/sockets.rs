//! The router process on loopback with simulated hosts and discovery. Clients write raw bytes, since the
//! tests need input that no client library sends.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::process::Command;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

use arrowyard_testbed::router::{OpType, Process, platform_config};
use arrowyard_testbed::{Cluster, HostBehavior, HostSpec};
use serde_json::{Value, json};

const PROGRAM: &str = env!("CARGO_BIN_EXE_arrowyard");

fn encode_message(type_byte: u8, body: &[u8]) -> Vec<u8> {
    [&[type_byte][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header).ok()?;
    let mut body = vec![0; u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize - 4];
    stream.read_exact(&mut body).ok()?;
    Some((header[0], body))
}

/// The platform's configuration file of a router for the simulated hosts.
fn test_config(cluster: &Cluster) -> Value {
    let op_type =
        |name, effect, read_level| OpType { name, target_ms: 1500, timeout_ms: 1500, effect, read_level };
    let op_types = [
        op_type("look", "read_like", "loose"),
        op_type("put", "non_idempotent", "update"),
        op_type("mark", "idempotency_key", "update"),
        op_type("view", "read_like", "recent"),
    ];
    let mut config = platform_config(cluster, &op_types, 256);
    config["settings"]["parties"] = json!([{"name": "p", "share": 1.0}]);
    config["settings"]["domain"]["list_role"] = json!("initial");
    config["settings"]["caps"]["max_retry_after"] = json!(700.0);
    config
}

fn start_router(cluster: &Cluster) -> Process {
    Process::start(Path::new(PROGRAM), &test_config(cluster), None).expect("the router starts")
}

/// A connection on which no startup packet has been sent.
fn connect_without_startup(router: &Process) -> TcpStream {
    let stream = TcpStream::connect(router.address).unwrap();
    stream.set_read_timeout(Some(Duration::from_secs(10))).unwrap();
    stream
}

/// A client that has completed the startup.
fn connect_client(router: &Process) -> Client {
    let mut stream = connect_without_startup(router);
    let startup = b"\0\x03\0\0user\0web\0database\0orders\0\0";
    stream.write_all(&(startup.len() as u32 + 4).to_be_bytes()).unwrap();
    stream.write_all(startup).unwrap();
    let mut client = Client { stream };
    while client.read_message().0 != b'Z' {}
    client
}

#[derive(Debug, PartialEq)]
enum Reply {
    Value(String),
    /// SQLSTATE code and detail.
    Error(String, String),
    /// The statement was empty.
    Empty,
    /// Without a result.
    Done,
}

struct Client {
    stream: TcpStream,
}

impl Client {
    fn read_message(&mut self) -> (u8, Vec<u8>) {
        read_message(&mut self.stream).expect("the router replies")
    }

    fn send_query(&mut self, statement: &str) {
        self.stream.write_all(&encode_message(b'Q', format!("{statement}\0").as_bytes())).unwrap();
    }

    /// Reads up to ReadyForQuery.
    fn read_reply(&mut self) -> Reply {
        let mut reply = Reply::Done;
        loop {
            let (type_byte, body) = self.read_message();
            match type_byte {
                b'D' => {
                    // The value of a read is the host's name followed by its newest record.
                    let text = String::from_utf8(body[6..].to_vec()).unwrap();
                    reply = Reply::Value(text.split(' ').next().unwrap_or_default().to_string());
                }
                b'I' => reply = Reply::Empty,
                b'E' => {
                    let text = String::from_utf8(body).unwrap();
                    let field = |field_type| {
                        text.split('\0')
                            .find_map(|field| field.strip_prefix(field_type))
                            .unwrap_or_default()
                            .to_string()
                    };
                    reply = Reply::Error(field('C'), field('D'));
                }
                b'Z' => return reply,
                _ => {}
            }
        }
    }

    fn execute(&mut self, op_type: &str, timeout_ms: u32) -> Reply {
        self.send_query(&statement(op_type, timeout_ms));
        self.read_reply()
    }
}

fn statement(op_type: &str, timeout_ms: u32) -> String {
    let comment =
        format!("/* id=9b1f03aa5c7e2d41,c={op_type},t=p,d={timeout_ms},k=5c0f6e1a2b3d4c59,cluster=7 */");
    match op_type {
        "look" | "view" => format!("{comment} SELECT payload FROM entries WHERE ref = '7f3a9c21e0b4d655'"),
        _ => format!("{comment} INSERT INTO entries (ref, payload) VALUES ('7f3a9c21e0b4d655', '\\x9f03')"),
    }
}

fn wait_until(condition: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + Duration::from_secs(10);
    while !holds() {
        assert!(Instant::now() < deadline, "{condition}");
        sleep(Duration::from_millis(5));
    }
}

fn value(host: &str) -> Reply {
    Reply::Value(host.to_string())
}

fn error(code: &str) -> Reply {
    Reply::Error(code.to_string(), String::new())
}

fn busy(retry_after: &str) -> Reply {
    Reply::Error("53300".to_string(), retry_after.to_string())
}

/// A host whose replication has no delay.
fn host_spec(name: &str, primary: bool) -> HostSpec {
    HostSpec { lag: Duration::ZERO, ..HostSpec::new(name, 7, primary) }
}

/// A router with one host, the primary `one`.
fn start_with_primary(behavior: HostBehavior) -> (Cluster, Process) {
    let cluster = Cluster::start(&[host_spec("one", true)]);
    cluster.set_behavior("one", behavior);
    let router = start_router(&cluster);
    (cluster, router)
}

/// A router with the primary `one` and the replica `two`.
fn start_with_replica(behavior: HostBehavior) -> (Cluster, Process) {
    let cluster = Cluster::start(&[host_spec("one", true), host_spec("two", false)]);
    ["one", "two"].into_iter().for_each(|name| cluster.set_behavior(name, behavior));
    let router = start_router(&cluster);
    (cluster, router)
}

/// Number of statements that the host has read.
fn received_count(cluster: &Cluster, name: &str) -> usize {
    cluster.received_statements(name).len()
}

#[test]
fn reads_go_to_a_replica_and_writes_to_the_primary_unchanged() {
    let (cluster, router) = start_with_replica(HostBehavior::Serve);
    let mut client = connect_client(&router);
    assert_eq!(client.execute("look", 1000), value("two"));
    assert_eq!(client.execute("put", 1000), value("one"));
    let (_, received) = cluster.received_statements("one")[0].clone();
    let (header, rest) = received.split_once(",d=").unwrap();
    let (timeout, rest) = rest.split_once(',').unwrap();
    assert!((1..=1000).contains(&timeout.parse::<u32>().unwrap()), "{timeout}");
    assert_eq!(format!("{header},d=1000,{rest}"), statement("put", 1000));
}

#[test]
fn the_router_answers_session_commands_and_rejects_statements_without_a_comment() {
    let (cluster, router) = start_with_primary(HostBehavior::Serve);
    let mut client = connect_client(&router);
    client.send_query("");
    assert_eq!(client.read_reply(), Reply::Empty);
    client.send_query("SET statement_timeout = 5");
    assert_eq!(client.read_reply(), Reply::Done);
    client.send_query("SELECT now()");
    assert_eq!(client.read_reply(), error("08P01"));
    assert_eq!(client.execute("unheard", 1000), error("08P01"));
    assert_eq!(client.execute("put", 1000), value("one"));
    assert_eq!(received_count(&cluster, "one"), 1);
}

#[test]
fn pipelined_queries_in_small_pieces_are_answered_in_order() {
    let (_cluster, router) = start_with_primary(HostBehavior::Serve);
    let mut stream = connect_without_startup(&router);
    stream.write_all(&[0, 0, 0, 8, 4, 210, 22, 47]).unwrap();
    let mut response = [0];
    stream.read_exact(&mut response).unwrap();
    assert_eq!(response, *b"N", "encryption is not supported");
    let query = |text: &str| encode_message(b'Q', format!("{text}\0").as_bytes());
    let startup = b"\0\0\0\x08\0\x03\0\0".to_vec();
    let without_token = statement("mark", 1000).replace("k=", "x=");
    let unknown_tenant = statement("put", 1000).replace("t=p", "t=stranger");
    let queries = ["", &statement("put", 1000), &without_token, &unknown_tenant, &statement("mark", 1000)];
    let bytes = [startup, queries.map(query).concat()].concat();
    for piece in bytes.chunks(40) {
        stream.write_all(piece).unwrap();
        sleep(Duration::from_millis(1));
    }
    let mut client = Client { stream };
    let replies: Vec<_> = (0..6).map(|_| client.read_reply()).collect();
    let (served, rejected) = (|| value("one"), || error("08P01"));
    assert_eq!(replies, [Reply::Done, Reply::Empty, served(), rejected(), rejected(), served()]);
}

#[test]
fn a_second_row_is_not_forwarded() {
    let (cluster, router) = start_with_primary(HostBehavior::ReplyTwice);
    assert_eq!(connect_client(&router).execute("put", 1000), error("XX000"));
    assert_eq!(received_count(&cluster, "one"), 1);
}

#[test]
fn a_value_above_the_client_message_limit_is_forwarded_whole() {
    let (cluster, router) = start_with_primary(HostBehavior::ReplyLarge(400_000));
    let mut client = connect_client(&router);
    for _ in 0..3 {
        assert_eq!(client.execute("look", 1000), Reply::Value("x".repeat(400_000)));
    }
    assert_eq!(received_count(&cluster, "one"), 3, "each was sent once");
}

#[test]
fn messages_outside_a_command_are_not_taken_as_its_reply() {
    let (cluster, router) = start_with_primary(HostBehavior::ReplyAndReject);
    let mut client = connect_client(&router);
    assert_eq!(client.execute("put", 1000), value("one"));
    assert_eq!(received_count(&cluster, "one"), 1, "the write ran once");
    cluster.set_behavior("one", HostBehavior::ReadyBeforeReply);
    assert_eq!(client.execute("put", 1000), error("XX000"));
    cluster.set_behavior("one", HostBehavior::Serve);
    assert_eq!(client.execute("put", 1000), value("one"));
}

#[test]
fn a_router_restarts_at_its_address_and_reports_a_missing_configuration() {
    let missing = Command::new(PROGRAM).env_remove("RELAY_CONFIG").output().unwrap();
    assert_eq!(missing.status.code(), Some(2));
    assert_eq!(String::from_utf8(missing.stderr).unwrap().lines().count(), 1);
    let (cluster, first) = start_with_primary(HostBehavior::Serve);
    let mut config = test_config(&cluster);
    config["listen"] = json!(first.address.to_string());
    assert_eq!(connect_client(&first).execute("put", 1000), value("one"));
    drop(first);
    let second = Process::start(Path::new(PROGRAM), &config, None).expect("the router restarts");
    assert_eq!(connect_client(&second).execute("put", 1000), value("one"));
}

#[test]
fn a_client_that_violates_the_protocol_is_disconnected_and_others_are_served() {
    let (_cluster, router) = start_with_primary(HostBehavior::Serve);
    let mut violating = connect_client(&router);
    violating.stream.write_all(b"Q\xff\xff\xff\xffSELECT").unwrap();
    assert_eq!(violating.read_message().0, b'E');
    assert!(read_message(&mut violating.stream).is_none());
    assert_eq!(connect_client(&router).execute("put", 1000), value("one"));
}

#[test]
fn silent_connections_are_closed_for_active_ones() {
    let (_cluster, router) = start_with_primary(HostBehavior::Serve);
    let mut first = connect_client(&router);
    assert_eq!(first.execute("put", 1000), value("one"));
    // More than the router's 256 file descriptors.
    let silent: Vec<_> = (0..400).map(|_| TcpStream::connect(router.address).unwrap()).collect();
    let (mut client, connected_at) = (connect_client(&router), Instant::now());
    assert_eq!(client.execute("put", 1000), value("one"));
    assert!(connected_at.elapsed() < Duration::from_secs(2), "{:?}", connected_at.elapsed());
    drop(silent);
}

#[test]
fn incomplete_messages_time_out_and_a_client_that_sent_an_op_may_stay_idle() {
    let (_cluster, router) = start_with_primary(HostBehavior::Serve);
    let (mut idle, mut silent, mut without_op, mut slow) = (
        connect_client(&router),
        connect_without_startup(&router),
        connect_client(&router),
        connect_client(&router),
    );
    assert_eq!(idle.execute("put", 1000), value("one"));
    let started_at = Instant::now();
    let slow_writer = slow.stream.try_clone().map(|mut stream| {
        spawn(move || {
            let bytes = encode_message(b'Q', &[b'x'; 1000]);
            bytes.chunks(1).all(|byte| {
                sleep(Duration::from_millis(50));
                stream.write_all(byte).is_ok()
            })
        })
    });
    let is_closed = |stream: &mut TcpStream| matches!(stream.read(&mut [0]), Ok(0) | Err(_));
    assert!(is_closed(&mut silent) && is_closed(&mut without_op.stream) && is_closed(&mut slow.stream));
    assert!(started_at.elapsed() < Duration::from_secs(3), "{:?}", started_at.elapsed());
    assert!(!slow_writer.unwrap().join().unwrap(), "the slow client was disconnected");
    assert_eq!(idle.execute("put", 1000), value("one"));
}

#[test]
fn a_client_that_sends_at_once_is_served_when_idle_clients_fill_the_limit() {
    let (_cluster, router) = start_with_primary(HostBehavior::Serve);
    // More than the client limit of a router with 256 file descriptors.
    let connect_idle = || {
        let mut client = connect_client(&router);
        client.send_query("");
        assert_eq!(client.read_reply(), Reply::Empty);
        client
    };
    let idle_clients: Vec<Client> = (0..120).map(|_| connect_idle()).collect();
    let query = encode_message(b'Q', format!("{}\0", statement("put", 1000)).as_bytes());
    for _ in 0..20 {
        let mut client = Client { stream: connect_without_startup(&router) };
        client.stream.write_all(&[&b"\0\0\0\x08\0\x03\0\0"[..], &query].concat()).unwrap();
        assert_eq!((client.read_reply(), client.read_reply()), (Reply::Done, value("one")));
    }
    // Clients hold less than a third of the router's file descriptors.
    let is_open = |client: &&Client| {
        client.stream.set_nonblocking(true).unwrap();
        client.stream.peek(&mut [0]).is_err_and(|error| error.kind() == std::io::ErrorKind::WouldBlock)
    };
    let open_count = idle_clients.iter().filter(is_open).count();
    assert!((1..256 / 3).contains(&open_count), "{open_count}");
}

#[test]
fn a_write_whose_connection_breaks_is_not_retried() {
    let (cluster, router) = start_with_replica(HostBehavior::DisconnectBeforeRun);
    let mut client = connect_client(&router);
    assert_eq!(client.execute("put", 1000), error("XX000"));
    assert_eq!(received_count(&cluster, "one"), 1);
    // A read is retried.
    let Reply::Error(code, _) = client.execute("look", 400) else { panic!("no host serves") };
    assert_eq!(code, "53300");
    assert!(received_count(&cluster, "one") + received_count(&cluster, "two") > 2);
}

#[test]
fn a_send_that_did_not_run_or_is_idempotent_is_retried() {
    let cases = [
        ("put", HostBehavior::RejectOverloaded),
        ("put", HostBehavior::RejectReadOnly),
        ("mark", HostBehavior::DisconnectBeforeRun),
    ];
    for (op_type, behavior) in cases {
        let (cluster, router) = start_with_primary(behavior);
        let mut client = connect_client(&router);
        client.send_query(&statement(op_type, 1000));
        wait_until("the write is sent again", || received_count(&cluster, "one") > 1);
        cluster.set_behavior("one", HostBehavior::Serve);
        assert_eq!(client.read_reply(), value("one"));
    }
}

#[test]
fn a_busy_reply_has_a_retry_delay() {
    let (_cluster, router) = start_with_primary(HostBehavior::RejectOverloaded);
    assert_eq!(connect_client(&router).execute("put", 200), busy("700"));
}

#[test]
fn a_complete_result_counts_when_its_connection_breaks() {
    let (cluster, router) = start_with_primary(HostBehavior::ReplyAndDisconnect);
    let mut client = connect_client(&router);
    assert_eq!(client.execute("put", 1000), value("one"));
    assert_eq!(client.execute("put", 1000), value("one"));
    assert_eq!(received_count(&cluster, "one"), 2);
}

#[test]
fn a_disconnect_of_the_client_cancels_its_send() {
    let (cluster, router) = start_with_primary(HostBehavior::Hang);
    let mut client = connect_client(&router);
    client.send_query(&statement("put", 1500));
    wait_until("the write is sent", || received_count(&cluster, "one") == 1);
    let (connection_number, _) = cluster.received_statements("one")[0];
    assert!(!cluster.closed_connections("one").contains(&connection_number));
    drop(client);
    let disconnected_at = Instant::now();
    wait_until("the send is cancelled", || cluster.closed_connections("one").contains(&connection_number));
    assert!(disconnected_at.elapsed() < Duration::from_millis(1000), "the send ended only at its deadline");
}

#[test]
fn idle_connections_to_an_unresponsive_host_are_closed() {
    let (cluster, router) = start_with_primary(HostBehavior::Slow(Duration::from_millis(150)));
    let (mut first, mut second) = (connect_client(&router), connect_client(&router));
    first.send_query(&statement("put", 1500));
    second.send_query(&statement("put", 1500).replace("id=9", "id=8"));
    assert_eq!((first.read_reply(), second.read_reply()), (value("one"), value("one")));
    cluster.set_behavior("one", HostBehavior::Hang);
    assert_eq!(first.execute("put", 300), error("XX000"));
    let connection_numbers: Vec<usize> =
        cluster.received_statements("one").iter().map(|(number, _)| *number).collect();
    assert!(
        connection_numbers[0] != connection_numbers[1]
            && connection_numbers[..2].contains(&connection_numbers[2]),
        "{connection_numbers:?}"
    );
    let are_closed =
        || connection_numbers[..2].iter().all(|number| cluster.closed_connections("one").contains(number));
    wait_until("the idle connection is closed as well", are_closed);
}

#[test]
fn a_draining_host_gets_no_new_ops() {
    let (cluster, router) = start_with_replica(HostBehavior::Serve);
    let mut client = connect_client(&router);
    assert_eq!(client.execute("look", 1000), value("two"));
    wait_until("the list is watched", || !cluster.discovery_requests(cluster.discovery_address).is_empty());
    let watch = format!("GET /catalog/members?watch=1&from={} HTTP/1.1", cluster.list_version());
    assert_eq!(cluster.discovery_requests(cluster.discovery_address), [watch]);
    cluster.drain("two");
    wait_until("reads no longer go to the replica", || client.execute("look", 1000) == value("one"));
    let count_before = received_count(&cluster, "two");
    (0..20).for_each(|_| assert_eq!(client.execute("look", 1000), value("one")));
    assert_eq!(received_count(&cluster, "two"), count_before);
}

#[test]
fn a_position_in_the_future_does_not_count_as_fresh() {
    let (cluster, router) = start_with_replica(HostBehavior::Serve);
    let mut client = connect_client(&router);
    cluster.set_position_offset("two", 3_600_000);
    assert_eq!(client.execute("look", 1000), value("two"));
    cluster.set_position_offset("two", -3_600_000);
    assert_eq!(client.execute("view", 1000), value("one"));
    cluster.set_position_offset("two", 0);
    assert_eq!(client.execute("look", 1000), value("two"));
    assert_eq!(client.execute("view", 1000), value("two"));
}

#[test]
fn a_silent_watch_is_reopened() {
    let cluster = Cluster::start(&[host_spec("one", true)]);
    cluster.silence_new_watches();
    let _router = start_router(&cluster);
    wait_until("the list is watched", || cluster.discovery_requests(cluster.discovery_address).len() == 1);
    wait_until("the silent watch is reopened", || {
        cluster.discovery_requests(cluster.discovery_address).len() == 2
    });
}

#[test]
fn sighup_applies_a_new_discovery_address_and_ignores_a_broken_file() {
    let (cluster, router) = start_with_replica(HostBehavior::Serve);
    let (old, new, config) =
        (cluster.discovery_address, cluster.start_discovery(), test_config(&cluster).to_string());
    let mut client = connect_client(&router);
    wait_until("the list is watched", || cluster.discovery_requests(old).len() == 1);
    router.reload_platform_config(&config[..config.len() / 2]);
    assert_eq!(client.execute("look", 1000), value("two"));
    let new_config = config.replace(&old.to_string(), &new.to_string());
    router.reload_platform_config(&new_config);
    wait_until("the list is watched at the new address", || !cluster.discovery_requests(new).is_empty());
    assert!(cluster.discovery_requests(new)[0].starts_with("GET /catalog/members?watch=1&from="));
    cluster.drain("two");
    wait_until("reads no longer go to the replica", || client.execute("look", 1000) == value("one"));
    assert_eq!(cluster.discovery_requests(old).len(), 1);
}

#[test]
fn closed_client_connections_are_not_counted() {
    let (_cluster, router) = start_with_primary(HostBehavior::Serve);
    let mut first = connect_client(&router);
    assert_eq!(first.execute("put", 1000), value("one"));
    // More than the client limit, one after the other.
    for _ in 0..150 {
        let mut client = connect_client(&router);
        client.send_query("");
        assert_eq!(client.read_reply(), Reply::Empty);
    }
    assert_eq!(first.execute("put", 1000), value("one"));
}

#[test]
fn a_shutdown_answers_admitted_ops() {
    let (cluster, mut router) = start_with_primary(HostBehavior::Hang);
    let (mut idle, mut client) = (connect_client(&router), connect_client(&router));
    client.send_query(&statement("put", 1200));
    wait_until("the write is sent", || received_count(&cluster, "one") == 1);
    let reply = spawn(move || client.read_reply());
    assert!(router.terminate() == Some(0));
    assert_eq!(reply.join().unwrap(), error("XX000"));
    assert!(read_message(&mut idle.stream).is_none());
    assert!(TcpStream::connect(router.address).is_err());
}
