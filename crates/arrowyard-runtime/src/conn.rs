//! A non-blocking TCP connection with its output buffer.

use std::io::{self, ErrorKind, Write};
use std::net::Shutdown;
use std::time::Duration;

use mio::net::TcpStream;
use socket2::SockRef;

use crate::commands::CloseReason;

/// TCP user timeout: the connection is closed when sent data stays unacknowledged this long. Without it a
/// write to a host that lost power blocks for the kernel's retransmission limit.
const UNACKNOWLEDGED_DATA_TIMEOUT: Duration = Duration::from_millis(2500);

/// A socket with its unsent output and the stage of its life cycle.
pub(crate) struct Socket {
    pub stream: TcpStream,
    pub output: Vec<u8>,
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    /// A non-blocking connect is in progress.
    Connecting,
    Open,
    /// Closed by the plane: pending output is flushed before the write side is shut down.
    Flushing,
    /// The write side is shut down; received bytes are discarded until the peer closes.
    Draining,
}

impl Socket {
    pub fn new(stream: TcpStream, stage: Stage) -> Self {
        let socket = SockRef::from(&stream);
        // Failures are ignored: the socket works without either option.
        drop(socket.set_tcp_nodelay(true));
        #[cfg(target_os = "linux")]
        drop(socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_DATA_TIMEOUT)));
        Socket { stream, output: Vec::new(), stage }
    }

    /// The result of a non-blocking connect; `None` while it is in progress.
    pub fn connect_result(&self) -> Option<Result<(), CloseReason>> {
        match self.stream.take_error() {
            Ok(None) => {}
            _ => return Some(Err(CloseReason::ConnectFailed)),
        }
        match self.stream.peer_addr() {
            Ok(_) => Some(Ok(())),
            Err(error) if error.kind() == ErrorKind::NotConnected => None,
            Err(_) => Some(Err(CloseReason::ConnectFailed)),
        }
    }

    /// Writes as much pending output as the socket accepts.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.stage == Stage::Connecting {
            return Ok(());
        }
        let mut written = 0;
        let result = loop {
            if written == self.output.len() {
                break Ok(());
            }
            match self.stream.write(&self.output[written..]) {
                Ok(0) => break Err(ErrorKind::WriteZero.into()),
                Ok(count) => written += count,
                Err(error) if error.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                Err(error) => break Err(error),
            }
        };
        if written == self.output.len() {
            self.output = Vec::new();
            if self.stage == Stage::Flushing {
                self.stage = Stage::Draining;
                drop(self.stream.shutdown(Shutdown::Write));
            }
        } else {
            self.output.drain(..written);
        }
        result
    }
}
