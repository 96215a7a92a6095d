//! The simulated network between processes and the hosts they connect to: a TCP relay on loopback for each
//! pair. A cut holds back the bytes of a direction, like a network that loses and retransmits packets; they
//! are delivered once the cut ends.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::time::sleep;

use crate::accept::accept;

/// The directions between a process and all hosts that are cut.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    /// Bytes from the process to the hosts are held back.
    pub to_hosts: bool,
    /// Bytes from the hosts to the process are held back.
    pub from_hosts: bool,
}

/// The cuts by process.
type Cuts = Arc<Mutex<HashMap<usize, Cut>>>;

/// The relays between all processes and hosts.
#[derive(Clone)]
pub struct TcpRelays {
    cuts: Cuts,
    /// By process and host address: the relay's address.
    addresses: Arc<Mutex<HashMap<(usize, SocketAddr), SocketAddr>>>,
    runtime: Handle,
}

impl TcpRelays {
    /// Relays without cuts, which run on `runtime`.
    #[must_use]
    pub fn new(runtime: Handle) -> TcpRelays {
        TcpRelays { cuts: Arc::default(), addresses: Arc::default(), runtime }
    }

    /// The address at which the process reaches the host; starts the relay on first use.
    #[must_use]
    pub fn address(&self, process: usize, host: SocketAddr) -> SocketAddr {
        if let Some(address) = self.addresses.lock().expect("the lock is not poisoned").get(&(process, host))
        {
            return *address;
        }
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        listener.set_nonblocking(true).expect("the socket can be made non-blocking");
        let address = listener.local_addr().expect("the socket is bound");
        let cuts = self.cuts.clone();
        self.runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).expect("the listener is valid");
            loop {
                let stream = accept(&listener).await;
                tokio::spawn(relay(cuts.clone(), process, host, stream));
            }
        });
        self.addresses.lock().expect("the lock is not poisoned").insert((process, host), address);
        address
    }

    /// Sets the cut directions of a process.
    pub fn set_cut(&self, process: usize, cut: Cut) {
        self.cuts.lock().expect("the lock is not poisoned").insert(process, cut);
    }
}

/// Relays a connection of a process to the host until both directions are closed.
async fn relay(cuts: Cuts, process: usize, host: SocketAddr, stream: TcpStream) -> Option<()> {
    // If the host is down, the process's connection is closed.
    let host_stream = TcpStream::connect(host).await.ok()?;
    host_stream.set_nodelay(true).ok()?;
    stream.set_nodelay(true).ok()?;
    let ((process_reader, process_writer), (host_reader, host_writer)) =
        (stream.into_split(), host_stream.into_split());
    let to_host = tokio::spawn(copy(cuts.clone(), process, process_reader, host_writer, |cut| cut.to_hosts));
    let from_host = tokio::spawn(copy(cuts, process, host_reader, process_writer, |cut| cut.from_hosts));
    let _ = (to_host.await, from_host.await);
    Some(())
}

/// Copies bytes in one direction while it is not cut, and closes it after the last one.
async fn copy(
    cuts: Cuts,
    process: usize,
    mut reader: OwnedReadHalf,
    mut writer: OwnedWriteHalf,
    is_cut: impl Fn(Cut) -> bool,
) -> Option<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = reader.read(&mut buffer).await.ok()?;
        while cuts.lock().expect("the lock is not poisoned").get(&process).copied().is_some_and(&is_cut) {
            sleep(Duration::from_millis(5)).await;
        }
        if length == 0 {
            return writer.shutdown().await.ok();
        }
        writer.write_all(&buffer[..length]).await.ok()?;
    }
}
