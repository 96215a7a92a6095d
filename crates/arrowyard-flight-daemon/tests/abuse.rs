//! Bytes that no library sends: noise, floods and windows of nothing, at both sides. Others are served meanwhile.

mod helpers;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use arrowyard_testbed::flight::FlightClient;
use arrowyard_testbed::{Cluster, HostSpec, Process, Reply};
use fastrand::Rng;
use helpers::{STANDINGS, ask, runtime, specs, start, start_small};

const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = &(payload.len() as u32).to_be_bytes()[1..];
    [length, &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

fn connect(router: &Process) -> TcpStream {
    let stream = TcpStream::connect(router.address).expect("it listens");
    stream.set_read_timeout(Some(Duration::from_secs(10))).expect("a time that is none is not given");
    stream
}

/// Whether the router ends the connection within so long, whatever it says before.
fn ends(stream: &mut TcpStream, within: Duration) -> bool {
    let until = Instant::now() + within;
    let mut bytes = [0; 4096];
    stream.set_read_timeout(Some(Duration::from_millis(50))).expect("a time that is none is not given");
    while Instant::now() < until {
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

fn served(router: &Process, id: u64) {
    runtime().block_on(async {
        let mut client = FlightClient::connect(router.address).await.expect("it lets clients in");
        let reply = client.execute(&ask(STANDINGS, id, 5)).await;
        assert!(matches!(reply, Reply::Value(_)), "{reply:?}");
    });
}

#[test]
fn clients_that_send_noise_or_floods_are_let_go_and_others_are_served() {
    let cluster = Cluster::start(&specs(1, true));
    let router = start(&cluster, true, "");
    served(&router, 1);
    let (_, before) = router.resource_usage();
    let mut rng = Rng::with_seed(7);
    for round in 0..20 {
        let mut noise = connect(&router);
        let bytes: Vec<u8> = (0..rng.usize(1..4000)).map(|_| rng.u8(..)).collect();
        let begun = if round % 2 == 0 { &[PREFACE, &frame(4, 0, 0, &[])].concat()[..] } else { &[] };
        // It may be ended before all is said.
        let _ = noise.write_all(begun).and_then(|()| noise.write_all(&bytes));
        let _ = noise.shutdown(std::net::Shutdown::Write);
        assert!(ends(&mut noise, Duration::from_secs(5)), "round {round}");
    }
    // Heads that go on without end.
    let mut endless = connect(&router);
    let begun = [PREFACE, &frame(4, 0, 0, &[]), &frame(1, 0, 1, &[0x82, 0x86])].concat();
    endless.write_all(&begun).expect("it is read");
    let more = frame(9, 0, 1, &[&[0, 1, b'a', 127, 0xff, 0x7f][..], &[b'x'; 8000]].concat());
    let mut sent = 0;
    while sent < 4000 && endless.write_all(&more).is_ok() {
        sent += 1;
    }
    assert!(sent < 4000 || ends(&mut endless, Duration::from_secs(5)));
    // Streams that are opened and reset at once.
    let mut resets = connect(&router);
    let _ = resets.write_all(&[PREFACE, &frame(4, 0, 0, &[])].concat());
    let head = [&[0x83, 0x86][..], &[0x04, 2], b"/x", &[0x41, 1], b"a"].concat();
    for number in 0..20_000_u32 {
        let stream = number * 2 + 1;
        let bytes = [frame(1, 4, stream, &head), frame(3, 0, stream, &8_u32.to_be_bytes())].concat();
        if resets.write_all(&bytes).is_err() {
            break;
        }
    }
    assert!(ends(&mut resets, Duration::from_secs(5)));
    served(&router, 2);
    let (_, after) = router.resource_usage();
    assert!(after < before + 8 * 1024, "{before} to {after} KB");
}

#[test]
fn clients_that_give_no_window_hold_their_ops_no_longer_than_their_time() {
    const ALL: usize = 64;
    let wide = specs(1, true).into_iter().map(|spec| HostSpec { batches: 20, batch_bytes: 10_000, ..spec });
    let cluster = Cluster::start(&wide.collect::<Vec<_>>());
    let router = start_small(&cluster, "held_bytes: 0", ALL as u32);
    let tickets: Vec<Vec<u8>> = runtime().block_on(async {
        let mut client = FlightClient::connect(router.address).await.expect("it lets clients in");
        let mut tickets = Vec::new();
        for id in 0..ALL as u64 {
            let info = client
                .inner
                .execute(ask(STANDINGS, 100 + id, 5).statement(), None)
                .await
                .expect("it is planned");
            tickets.push(info.endpoint[0].ticket.clone().expect("a plan has its ticket").ticket.to_vec());
        }
        tickets
    });
    // A window of nothing for every stream, and as many calls as the router has room for ops.
    let mut shut = connect(&router);
    let no_window = [&4_u16.to_be_bytes()[..], &0_u32.to_be_bytes()].concat();
    shut.write_all(&[PREFACE, &frame(4, 0, 0, &no_window)].concat()).expect("it is read");
    let text = |name: &str, value: &str| {
        [&[0, name.len() as u8][..], name.as_bytes(), &[value.len() as u8], value.as_bytes()].concat()
    };
    let path = "/arrow.flight.protocol.FlightService/DoGet";
    let named = [
        text(":path", path),
        text(":authority", "a"),
        text("content-type", "application/grpc"),
        text("te", "trailers"),
    ];
    let head = [&[0x83, 0x86][..], &named.concat()].concat();
    for (ticket, stream) in tickets.iter().zip((1..).step_by(2)) {
        // A message of one field, its length in two bytes of seven bits.
        let length = [ticket.len() as u8 | 0x80, (ticket.len() >> 7) as u8];
        let message = [&[0x0a], &length[..], ticket].concat();
        let framed = [&[0][..], &(message.len() as u32).to_be_bytes(), &message].concat();
        shut.write_all(&[frame(1, 4, stream, &head), frame(0, 1, stream, &framed)].concat())
            .expect("it is read");
    }
    let began = Instant::now();
    runtime().block_on(async {
        // The hosts take as many as the module gives them at once; the rest waits for these.
        while cluster.ledger().commands.values().sum::<u64>() < 8 {
            assert!(began.elapsed() < Duration::from_secs(5), "they are asked");
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let mut client = FlightClient::connect(router.address).await.expect("it lets clients in");
        let mut id = 1000;
        let mut refused = 0;
        while !matches!(client.execute(&ask(STANDINGS, id, 5)).await, Reply::Value(_)) {
            (id, refused) = (id + 1, refused + 1);
            assert!(began.elapsed() < Duration::from_secs(8), "their time is 900 ms");
        }
        assert!(refused > 0, "for a while there is no room for any other");
    });
}

/// A host that says what it likes once it is called.
fn noisy(bytes: Vec<u8>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let (Ok(mut stream), bytes) = (stream, bytes.clone()) else { continue };
            std::thread::spawn(move || {
                let _ = (stream.read(&mut [0; 64]), stream.write_all(&bytes));
                let mut rest = [0; 1024];
                while stream.read(&mut rest).is_ok_and(|read| read > 0) {}
            });
        }
    });
    address
}

#[test]
fn hosts_that_send_noise_are_left_for_those_that_answer() {
    let mut rng = Rng::with_seed(9);
    for round in 0..4 {
        let cluster = Cluster::start(&specs(2, true));
        let noise: Vec<u8> = (0..rng.usize(1..3000)).map(|_| rng.u8(..)).collect();
        let settings = if round % 2 == 0 { frame(4, 0, 0, &[]) } else { Vec::new() };
        cluster.replace_address("r-0", noisy([settings, noise].concat()));
        let router = start(&cluster, true, "");
        for id in 0..6 {
            served(&router, round * 100 + id + 1);
        }
    }
}
