//! What lies between a process and the hosts it sends to: a relay of its own for each pair, over TCP, on loopback. A cut holds up
//! what is sent in that direction, as a network does whose packets are lost and sent again; it goes on where it stopped.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::time::sleep;

/// What is cut of a process's ways: to hosts, and from them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Cut {
    pub to: bool,
    pub from: bool,
}

type Cuts = Arc<Mutex<HashMap<usize, Cut>>>;

#[derive(Clone)]
pub struct Wires {
    cuts: Cuts,
    faces: Arc<Mutex<HashMap<(usize, SocketAddr), SocketAddr>>>,
    runtime: Handle,
}

impl Wires {
    #[must_use]
    pub fn new(runtime: Handle) -> Wires {
        Wires { cuts: Arc::default(), faces: Arc::default(), runtime }
    }

    /// Where this process reaches the host that is really there.
    #[must_use]
    pub fn face(&self, who: usize, real: SocketAddr) -> SocketAddr {
        if let Some(face) = self.faces.lock().expect("nobody panics with it").get(&(who, real)) {
            return *face;
        }
        let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        listener.set_nonblocking(true).expect("a socket can be so");
        let at = listener.local_addr().expect("it is bound");
        let cuts = self.cuts.clone();
        self.runtime.spawn(async move {
            let listener = TcpListener::from_std(listener).expect("it was made just now");
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(pass(cuts.clone(), who, real, stream));
            }
        });
        self.faces.lock().expect("nobody panics with it").insert((who, real), at);
        at
    }

    /// What is cut of this process's ways from now on.
    pub fn cut(&self, who: usize, cut: Cut) {
        self.cuts.lock().expect("nobody panics with it").insert(who, cut);
    }
}

async fn pass(cuts: Cuts, who: usize, real: SocketAddr, stream: TcpStream) -> Option<()> {
    // A host that is not there ends the connection; one that is cut off lets it wait.
    let there = TcpStream::connect(real).await.ok()?;
    there.set_nodelay(true).ok()?;
    stream.set_nodelay(true).ok()?;
    let ((ours_in, ours_out), (theirs_in, theirs_out)) = (stream.into_split(), there.into_split());
    let to = tokio::spawn(copy(cuts.clone(), who, ours_in, theirs_out, |cut| cut.to));
    let from = tokio::spawn(copy(cuts, who, theirs_in, ours_out, |cut| cut.from));
    let _ = (to.await, from.await);
    Some(())
}

async fn copy(
    cuts: Cuts,
    who: usize,
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    cut: impl Fn(Cut) -> bool,
) -> Option<()> {
    let mut buffer = vec![0; 16 * 1024];
    loop {
        let length = from.read(&mut buffer).await.ok()?;
        while cuts.lock().expect("nobody panics with it").get(&who).copied().is_some_and(&cut) {
            sleep(Duration::from_millis(5)).await;
        }
        if length == 0 {
            return to.shutdown().await.ok();
        }
        to.write_all(&buffer[..length]).await.ok()?;
    }
}
