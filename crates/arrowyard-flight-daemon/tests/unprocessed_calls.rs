//! An update without a token is resent only if HTTP/2 frames prove that the host did not process it. The
//! simulated host encodes its frames itself.

mod helpers;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arrow_flight::sql::DoPutUpdateResult;
use arrow_flight::{PutResult, Result as ActionResult};
use arrowyard_testbed::flight::FlightClient;
use arrowyard_testbed::{Cluster, Process, Reply};
use helpers::{BUY, host_specs, op_request, runtime, start_router};
use prost::Message;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What the host does with an update that it has received completely.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Behavior {
    Serve,
    /// Sends RST_STREAM with this error code.
    Reset(u32),
    /// Sends GOAWAY with this last stream id, or with that of the update for `u32::MAX`, and closes the
    /// connection.
    GoAway(u32),
    /// Closes the connection.
    Close,
    /// Sends GOAWAY and serves the update.
    GoAwayAndServe,
}

fn frame(frame_type: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let length = &(payload.len() as u32).to_be_bytes()[1..];
    [length, &[frame_type, flags], &stream.to_be_bytes(), payload].concat()
}

/// Encodes headers as HPACK literals without indexing.
fn encode_headers(headers: &[(&str, &str)]) -> Vec<u8> {
    headers
        .iter()
        .flat_map(|(name, value)| {
            [&[0, name.len() as u8], name.as_bytes(), &[value.len() as u8], value.as_bytes()].concat()
        })
        .collect()
}

/// A response with one message and the gRPC status OK.
fn response(stream: u32, message: &impl Message) -> Vec<u8> {
    let message = message.encode_to_vec();
    let framed = [&[0][..], &(message.len() as u32).to_be_bytes(), &message].concat();
    // 0x88 is `:status 200`.
    let headers = [
        &[0x88][..],
        &encode_headers(&[("content-type", "application/grpc"), ("arrowyard-role", "primary")]),
    ]
    .concat();
    [
        frame(1, 4, stream, &headers),
        frame(0, 0, stream, &framed),
        frame(1, 5, stream, &encode_headers(&[("grpc-status", "0")])),
    ]
    .concat()
}

/// A simulated host that applies one behavior per update and serves further ones. Records connection and
/// stream of each update.
#[derive(Clone)]
struct FrameHost {
    behaviors: Arc<Mutex<Vec<Behavior>>>,
    updates: Arc<Mutex<Vec<(usize, u32)>>>,
}

impl FrameHost {
    async fn start(behaviors: &[Behavior]) -> (FrameHost, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("a bound socket");
        let behaviors = Arc::new(Mutex::new(behaviors.iter().rev().copied().collect()));
        let host = FrameHost { behaviors, updates: Arc::default() };
        let server = host.clone();
        tokio::spawn(async move {
            let mut connection = 0;
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(server.clone().serve_connection(connection, stream));
                connection += 1;
            }
        });
        (host, address)
    }

    async fn serve_connection(self, connection: usize, mut socket: TcpStream) -> Option<()> {
        socket.read_exact(&mut [0; 24]).await.ok()?;
        socket.write_all(&frame(4, 0, 0, &[])).await.ok()?;
        let mut bodies: std::collections::HashMap<u32, Vec<u8>> = std::collections::HashMap::new();
        loop {
            let mut header = [0; 9];
            socket.read_exact(&mut header).await.ok()?;
            let [len0, len1, len2, frame_type, flags, id0, id1, id2, id3] = header;
            let mut payload = vec![0; u32::from_be_bytes([0, len0, len1, len2]) as usize];
            socket.read_exact(&mut payload).await.ok()?;
            let stream = u32::from_be_bytes([id0, id1, id2, id3]);
            match frame_type {
                4 if flags & 1 == 0 => socket.write_all(&frame(4, 1, 0, &[])).await.ok()?,
                6 if flags & 1 == 0 => socket.write_all(&frame(6, 1, 0, &payload)).await.ok()?,
                0 => {
                    bodies.entry(stream).or_default().extend_from_slice(&payload);
                    if flags & 1 != 0 {
                        let body = bodies.remove(&stream).unwrap_or_default();
                        self.handle_call(connection, stream, &body, &mut socket).await?;
                    }
                }
                _ => {}
            }
        }
    }

    async fn handle_call(
        &self,
        connection: usize,
        stream: u32,
        body: &[u8],
        socket: &mut TcpStream,
    ) -> Option<()> {
        let contains = |text: &[u8]| body.windows(text.len()).any(|window| window == text);
        if contains(b"arrowyard.report") {
            let now =
                SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since_epoch| since_epoch.as_millis());
            let report = ActionResult { body: format!("position={now},primary=1").into_bytes().into() };
            return socket.write_all(&response(stream, &report)).await.ok();
        }
        assert!(contains(b"INSERT"), "an unexpected call");
        self.updates.lock().expect("not poisoned").push((connection, stream));
        let behavior = self.behaviors.lock().expect("not poisoned").pop().unwrap_or(Behavior::Serve);
        match behavior {
            Behavior::Serve => {
                let result = DoPutUpdateResult { record_count: 1 }.encode_to_vec();
                socket.write_all(&response(stream, &PutResult { app_metadata: result.into() })).await.ok()
            }
            Behavior::Reset(code) => socket.write_all(&frame(3, 0, stream, &code.to_be_bytes())).await.ok(),
            Behavior::GoAway(last_stream) => {
                let last_stream = if last_stream == u32::MAX { stream } else { last_stream };
                socket
                    .write_all(&frame(7, 0, 0, &[last_stream.to_be_bytes(), [0; 4]].concat()))
                    .await
                    .ok()?;
                tokio::time::sleep(Duration::from_millis(20)).await;
                None
            }
            Behavior::Close => None,
            Behavior::GoAwayAndServe => {
                let goaway = frame(7, 0, 0, &[stream.to_be_bytes(), [0; 4]].concat());
                let result = DoPutUpdateResult { record_count: 1 }.encode_to_vec();
                let response = response(stream, &PutResult { app_metadata: result.into() });
                socket.write_all(&[goaway, response].concat()).await.ok()
            }
        }
    }
}

/// Sends one update and returns its reply and how often the host received it.
fn send_update(behaviors: &[Behavior]) -> (Reply, usize) {
    let (mut replies, received) = send_updates(behaviors, 1);
    (replies.remove(0), received.len())
}

/// Sends updates one after the other and returns their replies, and connection and stream of each update
/// that the host received.
fn send_updates(behaviors: &[Behavior], updates: u64) -> (Vec<Reply>, Vec<(usize, u32)>) {
    let cluster = Cluster::start(&host_specs(0, true));
    let runtime = runtime();
    let (host, address) = runtime.block_on(FrameHost::start(behaviors));
    cluster.replace_address("p-0", address);
    let router: Process = start_router(&cluster, true, "");
    runtime.block_on(async {
        let mut client = FlightClient::connect(router.address).await.expect("the router accepts clients");
        let mut replies = Vec::new();
        for id in 1..=updates {
            replies.push(client.execute(&op_request(BUY, id, 5)).await);
        }
        let received = host.updates.lock().expect("not poisoned").clone();
        (replies, received)
    })
}

/// HTTP/2 error codes.
const REFUSED_STREAM: u32 = 7;
const CANCEL: u32 = 8;

#[test]
fn refused_updates_are_resent() {
    for behavior in [Behavior::Reset(REFUSED_STREAM), Behavior::GoAway(0)] {
        assert_eq!(send_update(&[behavior]), (Reply::Value("1".to_string()), 2), "{behavior:?}");
    }
}

#[test]
fn updates_that_may_have_run_fail_and_are_not_resent() {
    for behavior in [Behavior::Reset(CANCEL), Behavior::Reset(2), Behavior::GoAway(u32::MAX), Behavior::Close]
    {
        let (reply, received) = send_update(&[behavior, Behavior::Serve]);
        assert!(
            matches!(&reply, Reply::Error(reason) if reason.contains("may have run")),
            "{behavior:?}: {reply:?}"
        );
        assert_eq!(received, 1, "{behavior:?}");
    }
}

#[test]
fn updates_refused_by_all_sends_get_a_busy_reply() {
    let (reply, received) = send_update(&[Behavior::Reset(REFUSED_STREAM); 50]);
    assert!(matches!(reply, Reply::Busy(_)), "{reply:?}");
    assert!((2..=6).contains(&received), "{received}");
}

#[test]
fn no_new_call_uses_a_connection_after_goaway() {
    let (replies, received) = send_updates(&[Behavior::Serve, Behavior::GoAwayAndServe], 4);
    assert!(replies.iter().all(|reply| *reply == Reply::Value("1".to_string())), "{replies:?}");
    let connections: Vec<usize> = received.iter().map(|(connection, _)| *connection).collect();
    assert!(
        connections[0] == connections[1]
            && connections[1] != connections[2]
            && connections[2] == connections[3],
        "{received:?}"
    );
}
