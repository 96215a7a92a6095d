use std::io::{self, ErrorKind, Write};
use std::net::Shutdown;
use std::time::Duration;

use mio::net::TcpStream;
use socket2::SockRef;

use crate::commands::CloseReason;

/// A peer that takes no bytes for so long counts as gone. Danger: without it a write to a machine without power hangs
/// for as long as the kernel likes.
const DARK: Duration = Duration::from_millis(2500);

/// One socket: what is still to be written, and how far its end has got.
pub(crate) struct Socket {
    pub stream: TcpStream,
    pub out: Vec<u8>,
    pub stage: Stage,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Opening,
    Open,
    /// No more events of it; what is left goes out, then it ends.
    Ending,
    /// Its end is sent; what still comes is thrown away.
    Ended,
}

impl Socket {
    pub fn new(stream: TcpStream, stage: Stage) -> Self {
        let socket = SockRef::from(&stream);
        // Both are help, not need: a socket without them still works.
        drop(socket.set_tcp_nodelay(true));
        #[cfg(target_os = "linux")]
        drop(socket.set_tcp_user_timeout(Some(DARK)));
        Socket { stream, out: Vec::new(), stage }
    }

    /// Whether a dial came through; `None` while it is under way.
    pub fn opened(&self) -> Option<Result<(), CloseReason>> {
        match self.stream.take_error() {
            Ok(None) => {}
            _ => return Some(Err(CloseReason::ConnectFailed)),
        }
        match self.stream.peer_addr() {
            Ok(_) => Some(Ok(())),
            Err(fault) if fault.kind() == ErrorKind::NotConnected => None,
            Err(_) => Some(Err(CloseReason::ConnectFailed)),
        }
    }

    /// Writes what it can of what is waiting.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.stage == Stage::Opening {
            return Ok(());
        }
        let mut done = 0;
        let result = loop {
            if done == self.out.len() {
                break Ok(());
            }
            match self.stream.write(&self.out[done..]) {
                Ok(0) => break Err(ErrorKind::WriteZero.into()),
                Ok(more) => done += more,
                Err(fault) if fault.kind() == ErrorKind::WouldBlock => break Ok(()),
                Err(fault) if fault.kind() == ErrorKind::Interrupted => {}
                Err(fault) => break Err(fault),
            }
        };
        if done == self.out.len() {
            self.out = Vec::new();
            if self.stage == Stage::Ending {
                self.stage = Stage::Ended;
                drop(self.stream.shutdown(Shutdown::Write));
            }
        } else {
            self.out.drain(..done);
        }
        result
    }
}
