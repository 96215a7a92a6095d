//! Guards against listeners that stop accepting after a failed `accept`. A test binary of its own, since it
//! lowers the process's limit of open files.

use std::fs::File;
use std::net::SocketAddr;
use std::time::Duration;

use arrowyard_testbed::effect_recorder::EffectRecorder;
use rustix::io::Errno;
use rustix::process::{Resource, Rlimit, getrlimit, setrlimit};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::runtime::Builder;
use tokio::time::timeout;

/// Maximum number of open files during the test.
const MAX_OPEN_FILES: u64 = 64;

/// Lowers the soft limit of open files, then opens files until none can be opened any more.
fn exhaust_descriptors() -> Vec<File> {
    let limit = getrlimit(Resource::Nofile);
    let soft_limit = limit.current.map_or(MAX_OPEN_FILES, |current| current.min(MAX_OPEN_FILES));
    setrlimit(Resource::Nofile, Rlimit { current: Some(soft_limit), ..limit }).expect("the limit is lowered");
    let mut files = Vec::new();
    loop {
        match File::open("/dev/null") {
            Ok(file) => files.push(file),
            Err(error) => {
                assert_eq!(error.raw_os_error(), Some(Errno::MFILE.raw_os_error()), "{error}");
                return files;
            }
        }
    }
}

async fn connect(socket: TcpSocket, recorder_address: SocketAddr) -> TcpStream {
    socket.connect(recorder_address).await.expect("the recorder listens")
}

/// Sends an effect and waits until the recorder has replied and closed the connection.
async fn send_effect(mut stream: TcpStream, epoch: u64) {
    let request = format!("POST / HTTP/1.1\r\nLease: task\r\nEpoch: {epoch}\r\nHolder: x\r\n\r\n");
    stream.write_all(request.as_bytes()).await.expect("the recorder reads");
    let mut reply = String::new();
    stream.read_to_string(&mut reply).await.expect("the recorder replies");
    assert!(reply.starts_with("HTTP/1.1 200 "), "{reply}");
}

#[test]
fn the_effect_recorder_accepts_connections_after_descriptors_ran_out() {
    let recorder = EffectRecorder::start(Duration::from_millis(1));
    let runtime = Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    let calls = async {
        // The clients' sockets, opened while there are free descriptors.
        let first_socket = TcpSocket::new_v4().expect("a socket can be opened");
        let second_socket = TcpSocket::new_v4().expect("a socket can be opened");
        let mut files = exhaust_descriptors();
        // One descriptor is left, which the recorder needs to accept the first connection.
        drop(files.pop().expect("files were opened"));
        let first_stream = connect(first_socket, recorder.address).await;
        let second_stream = connect(second_socket, recorder.address).await;
        // The recorder has one worker thread and handles a connection only once its accept loop waits or has
        // ended. Its first reply therefore shows that it has called `accept` without a free descriptor.
        send_effect(first_stream, 1).await;
        drop(files);
        send_effect(second_stream, 2).await;
    };
    runtime
        .block_on(async { timeout(Duration::from_secs(20), calls).await })
        .expect("the recorder replies to both effects");
    let epochs: Vec<u64> = recorder.effects().iter().map(|effect| effect.epoch).collect();
    assert_eq!(epochs, [1, 2]);
}
