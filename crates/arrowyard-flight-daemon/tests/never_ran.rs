//! What HTTP/2 says of a call that was never begun, by a host whose frames are written here byte by byte: an update
//! without a token is sent again only where that is proven.

mod helpers;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrow_flight::sql::DoPutUpdateResult;
use arrow_flight::{PutResult, Result as Told};
use arrowyard_testbed::flight::FlightClient;
use arrowyard_testbed::{Cluster, Process, Reply};
use helpers::{BUY, ask, runtime, specs, start};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the host does with an update whose last byte has come.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Act {
    Serve,
    /// RST_STREAM with this code.
    Reset(u32),
    /// GOAWAY that names the last stream that it began on, and then the end of the connection.
    Away(u32),
    /// The connection ends.
    End,
    /// Word that it is going away, and the answer all the same.
    Going,
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = &(payload.len() as u32).to_be_bytes()[1..];
    [length, &[kind, flags], &stream.to_be_bytes(), payload].concat()
}

/// Names and values as they are, in no table.
fn heads(all: &[(&str, &str)]) -> Vec<u8> {
    all.iter()
        .flat_map(|(name, value)| {
            [&[0, name.len() as u8], name.as_bytes(), &[value.len() as u8], value.as_bytes()].concat()
        })
        .collect()
}

/// One message, and word that all went well.
fn answer(stream: u32, message: &impl Message) -> Vec<u8> {
    let message = message.encode_to_vec();
    let framed = [&[0][..], &(message.len() as u32).to_be_bytes(), &message].concat();
    // 0x88 is `:status 200`.
    let head = [&[0x88][..], &heads(&[("content-type", "application/grpc"), ("arrowyard-role", "primary")])]
        .concat();
    [
        frame(1, 4, stream, &head),
        frame(0, 0, stream, &framed),
        frame(1, 5, stream, &heads(&[("grpc-status", "0")])),
    ]
    .concat()
}

/// A host that does these, one with each update, and serves the rest; what came of updates, by connection.
#[derive(Clone)]
struct Peer {
    acts: Arc<Mutex<Vec<Act>>>,
    came: Arc<Mutex<Vec<(usize, u32)>>>,
}

impl Peer {
    async fn start(acts: &[Act]) -> (Peer, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
        let address = listener.local_addr().expect("it is bound");
        let acts = Arc::new(Mutex::new(acts.iter().rev().copied().collect()));
        let peer = Peer { acts, came: Arc::default() };
        let serving = peer.clone();
        tokio::spawn(async move {
            let mut number = 0;
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serving.clone().talk(number, stream));
                number += 1;
            }
        });
        (peer, address)
    }

    async fn talk(self, number: usize, mut socket: TcpStream) -> Option<()> {
        socket.read_exact(&mut [0; 24]).await.ok()?;
        socket.write_all(&frame(4, 0, 0, &[])).await.ok()?;
        let mut bodies: std::collections::HashMap<u32, Vec<u8>> = std::collections::HashMap::new();
        loop {
            let mut head = [0; 9];
            socket.read_exact(&mut head).await.ok()?;
            let [a, b, c, kind, flags, s0, s1, s2, s3] = head;
            let mut payload = vec![0; u32::from_be_bytes([0, a, b, c]) as usize];
            socket.read_exact(&mut payload).await.ok()?;
            let stream = u32::from_be_bytes([s0, s1, s2, s3]);
            match kind {
                4 if flags & 1 == 0 => socket.write_all(&frame(4, 1, 0, &[])).await.ok()?,
                6 if flags & 1 == 0 => socket.write_all(&frame(6, 1, 0, &payload)).await.ok()?,
                0 => {
                    bodies.entry(stream).or_default().extend_from_slice(&payload);
                    if flags & 1 != 0 {
                        let body = bodies.remove(&stream).unwrap_or_default();
                        self.called(number, stream, &body, &mut socket).await?;
                    }
                }
                _ => {}
            }
        }
    }

    async fn called(&self, number: usize, stream: u32, body: &[u8], socket: &mut TcpStream) -> Option<()> {
        let holds = |text: &[u8]| body.windows(text.len()).any(|window| window == text);
        if holds(b"arrowyard.report") {
            let now = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis());
            let report = Told { body: format!("position={now},primary=1").into_bytes().into() };
            return socket.write_all(&answer(stream, &report)).await.ok();
        }
        assert!(holds(b"INSERT"), "nothing else is asked here");
        self.came.lock().expect("nobody panics with it").push((number, stream));
        let act = self.acts.lock().expect("nobody panics with it").pop().unwrap_or(Act::Serve);
        match act {
            Act::Serve => {
                let result = DoPutUpdateResult { record_count: 1 }.encode_to_vec();
                socket.write_all(&answer(stream, &PutResult { app_metadata: result.into() })).await.ok()
            }
            Act::Reset(code) => socket.write_all(&frame(3, 0, stream, &code.to_be_bytes())).await.ok(),
            Act::Away(last) => {
                let last = if last == u32::MAX { stream } else { last };
                socket.write_all(&frame(7, 0, 0, &[last.to_be_bytes(), [0; 4]].concat())).await.ok()?;
                tokio::time::sleep(Duration::from_millis(20)).await;
                None
            }
            Act::End => None,
            Act::Going => {
                let word = frame(7, 0, 0, &[stream.to_be_bytes(), [0; 4]].concat());
                let result = DoPutUpdateResult { record_count: 1 }.encode_to_vec();
                let answer = answer(stream, &PutResult { app_metadata: result.into() });
                socket.write_all(&[word, answer].concat()).await.ok()
            }
        }
    }
}

fn play(acts: &[Act]) -> (Reply, usize) {
    let (mut replies, came) = play_all(acts, 1);
    (replies.remove(0), came.len())
}

/// So many updates, one after the other: what was said of each, and the connections and streams that they came over.
fn play_all(acts: &[Act], updates: u64) -> (Vec<Reply>, Vec<(usize, u32)>) {
    let cluster = Cluster::start(&specs(0, true));
    let runtime = runtime();
    let (peer, address) = runtime.block_on(Peer::start(acts));
    cluster.replace_address("p-0", address);
    let router: Process = start(&cluster, true, "");
    runtime.block_on(async {
        let mut client = FlightClient::connect(router.address).await.expect("it lets clients in");
        let mut replies = Vec::new();
        for id in 1..=updates {
            replies.push(client.execute(&ask(BUY, id, 5)).await);
        }
        let came = peer.came.lock().expect("nobody panics with it").clone();
        (replies, came)
    })
}

const REFUSED: u32 = 7;
const CANCEL: u32 = 8;

#[test]
fn what_was_refused_or_left_behind_is_sent_again() {
    for act in [Act::Reset(REFUSED), Act::Away(0)] {
        assert_eq!(play(&[act]), (Reply::Value("1".to_string()), 2), "{act:?}");
    }
}

#[test]
fn what_may_have_run_is_an_error_and_is_not() {
    for act in [Act::Reset(CANCEL), Act::Reset(2), Act::Away(u32::MAX), Act::End] {
        let (reply, came) = play(&[act, Act::Serve]);
        assert!(matches!(&reply, Reply::Error(why) if why.contains("may have run")), "{act:?}: {reply:?}");
        assert_eq!(came, 1, "{act:?}");
    }
}

#[test]
fn what_is_always_refused_is_given_back_as_never_run() {
    let (reply, came) = play(&[Act::Reset(REFUSED); 50]);
    assert!(matches!(reply, Reply::Busy(_)), "{reply:?}");
    assert!((2..=6).contains(&came), "{came}");
}

#[test]
fn nothing_new_goes_over_a_connection_whose_host_is_going_away() {
    let (replies, came) = play_all(&[Act::Serve, Act::Going], 4);
    assert!(replies.iter().all(|reply| *reply == Reply::Value("1".to_string())), "{replies:?}");
    let lines: Vec<usize> = came.iter().map(|(line, _)| *line).collect();
    assert!(lines[0] == lines[1] && lines[1] != lines[2] && lines[2] == lines[3], "{came:?}");
}
