//! Random bytes, floods and zero flow-control windows from clients and hosts. Other clients must be served
//! meanwhile.

mod helpers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use arrowyard_testbed::flight::FlightClient;
use arrowyard_testbed::{Cluster, HostSpec, Process, Reply};
use fastrand::Rng;
use helpers::{STANDINGS, host_specs, op_request, runtime, start_router, start_router_with_sockets};

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

fn frame(frame_type: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = &(payload.len() as u32).to_be_bytes()[1..];
    [length, &[frame_type, flags], &stream.to_be_bytes(), payload].concat()
}

fn connect(router: &Process) -> TcpStream {
    let stream = TcpStream::connect(router.address).expect("the router listens");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a nonzero timeout");
    stream
}

/// Whether the router closes the connection in time, whatever it sends before.
fn closes_within(stream: &mut TcpStream, max_time: Duration) -> bool {
    let deadline = Instant::now() + max_time;
    let mut bytes = [0; 4096];
    stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a nonzero timeout");
    while Instant::now() < deadline {
        match stream.read(&mut bytes) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(error)
                if matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) => {}
            Err(_) => return true,
        }
    }
    false
}

/// Asserts that the router serves an op of another client.
fn assert_served(router: &Process, id: u64) {
    runtime().block_on(async {
        let mut client = FlightClient::connect(router.address).await.expect("the router accepts clients");
        let reply = client.execute(&op_request(STANDINGS, id, 5)).await;
        assert!(matches!(reply, Reply::Value(_)), "{reply:?}");
    });
}

#[test]
fn clients_that_send_random_bytes_or_floods_are_disconnected_and_others_served() {
    let cluster = Cluster::start(&host_specs(1, true));
    let router = start_router(&cluster, true, "");
    assert_served(&router, 1);
    let (_, memory_before) = router.resource_usage();
    let mut rng = Rng::with_seed(7);
    for round in 0..20 {
        let mut connection = connect(&router);
        let bytes: Vec<u8> = (0..rng.usize(1..4000)).map(|_| rng.u8(..)).collect();
        let prefix = if round % 2 == 0 { &[PREFACE, &frame(4, 0, 0, &[])].concat()[..] } else { &[] };
        // The router may close the connection before everything is written.
        let _ = connection.write_all(prefix).and_then(|()| connection.write_all(&bytes));
        let _ = connection.shutdown(std::net::Shutdown::Write);
        assert!(closes_within(&mut connection, Duration::from_secs(5)), "round {round}");
    }
    // A header block without an end.
    let mut header_flood = connect(&router);
    let start_of_headers = [PREFACE, &frame(4, 0, 0, &[]), &frame(1, 0, 1, &[0x82, 0x86])].concat();
    header_flood.write_all(&start_of_headers).expect("the router reads it");
    let continuation = frame(9, 0, 1, &[&[0, 1, b'a', 127, 0xff, 0x7f][..], &[b'x'; 8000]].concat());
    let mut frames_sent = 0;
    while frames_sent < 4000 && header_flood.write_all(&continuation).is_ok() {
        frames_sent += 1;
    }
    assert!(frames_sent < 4000 || closes_within(&mut header_flood, Duration::from_secs(5)));
    // Streams that are reset right after they open.
    let mut reset_flood = connect(&router);
    let _ = reset_flood.write_all(&[PREFACE, &frame(4, 0, 0, &[])].concat());
    let headers = [&[0x83, 0x86][..], &[0x04, 2], b"/x", &[0x41, 1], b"a"].concat();
    for number in 0..20_000_u32 {
        let stream = number * 2 + 1;
        let bytes = [frame(1, 4, stream, &headers), frame(3, 0, stream, &8_u32.to_be_bytes())].concat();
        if reset_flood.write_all(&bytes).is_err() {
            break;
        }
    }
    assert!(closes_within(&mut reset_flood, Duration::from_secs(5)));
    assert_served(&router, 2);
    let (_, memory_after) = router.resource_usage();
    assert!(memory_after < memory_before + 8 * 1024, "{memory_before} to {memory_after} KB");
}

#[test]
fn clients_with_a_zero_window_hold_their_ops_only_until_the_deadline() {
    const CALLS: usize = 64;
    let host_specs =
        host_specs(1, true).into_iter().map(|spec| HostSpec { batches: 20, batch_bytes: 10_000, ..spec });
    let cluster = Cluster::start(&host_specs.collect::<Vec<_>>());
    let router = start_router_with_sockets(&cluster, "held_bytes: 0", CALLS as u32);
    let tickets: Vec<Vec<u8>> = runtime().block_on(async {
        let mut client = FlightClient::connect(router.address).await.expect("the router accepts clients");
        let mut tickets = Vec::new();
        for id in 0..CALLS as u64 {
            let info = client
                .inner
                .execute(op_request(STANDINGS, 100 + id, 5).statement(), None)
                .await
                .expect("planning succeeds");
            tickets.push(info.endpoint[0].ticket.clone().expect("the plan has a ticket").ticket.to_vec());
        }
        tickets
    });
    // A zero window for every stream, and as many calls as the router's limit on ops.
    let mut blocked_connection = connect(&router);
    let zero_window = [&4_u16.to_be_bytes()[..], &0_u32.to_be_bytes()].concat();
    blocked_connection
        .write_all(&[PREFACE, &frame(4, 0, 0, &zero_window)].concat())
        .expect("the router reads it");
    let header = |name: &str, value: &str| {
        [&[0, name.len() as u8][..], name.as_bytes(), &[value.len() as u8], value.as_bytes()].concat()
    };
    let path = "/arrow.flight.protocol.FlightService/DoGet";
    let named_headers = [
        header(":path", path),
        header(":authority", "a"),
        header("content-type", "application/grpc"),
        header("te", "trailers"),
    ];
    let headers = [&[0x83, 0x86][..], &named_headers.concat()].concat();
    for (ticket, stream) in tickets.iter().zip((1..).step_by(2)) {
        // A protobuf message with one field, whose length is a varint of two bytes.
        let length = [ticket.len() as u8 | 0x80, (ticket.len() >> 7) as u8];
        let message = [&[0x0a], &length[..], ticket].concat();
        let framed = [&[0][..], &(message.len() as u32).to_be_bytes(), &message].concat();
        blocked_connection
            .write_all(&[frame(1, 4, stream, &headers), frame(0, 1, stream, &framed)].concat())
            .expect("the router reads it");
    }
    let started = Instant::now();
    runtime().block_on(async {
        // The decision module limits how many ops run on the hosts at once; the other ops wait for these.
        while cluster.ledger().commands.values().sum::<u64>() < 8 {
            assert!(started.elapsed() < Duration::from_secs(5), "the hosts get the ops");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut client = FlightClient::connect(router.address).await.expect("the router accepts clients");
        let mut id = 1000;
        let mut rejected = 0;
        while !matches!(client.execute(&op_request(STANDINGS, id, 5)).await, Reply::Value(_)) {
            (id, rejected) = (id + 1, rejected + 1);
            assert!(started.elapsed() < Duration::from_secs(8), "the deadline of the blocked ops is 900 ms");
        }
        assert!(rejected > 0, "no other op is admitted before that deadline");
    });
}

/// Starts a host that writes these bytes on every connection.
fn start_random_bytes_host(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), bytes) = (stream, bytes.clone()) else { continue };
            std::thread::spawn(move || {
                let _ = (stream.read(&mut [0; 64]), stream.write_all(&bytes));
                let mut buffer = [0; 1024];
                while stream.read(&mut buffer).is_ok_and(|length| length > 0) {}
            });
        }
    });
    address
}

#[test]
fn ops_are_served_despite_a_host_that_sends_random_bytes() {
    let mut rng = Rng::with_seed(9);
    for round in 0..4 {
        let cluster = Cluster::start(&host_specs(2, true));
        let random_bytes: Vec<u8> = (0..rng.usize(1..3000)).map(|_| rng.u8(..)).collect();
        let settings = if round % 2 == 0 { frame(4, 0, 0, &[]) } else { Vec::new() };
        cluster.replace_address("r-0", start_random_bytes_host([settings, random_bytes].concat()));
        let router = start_router(&cluster, true, "");
        for id in 0..6 {
            assert_served(&router, round * 100 + id + 1);
        }
    }
}
