//! The simulated datagram network between the processes of a fleet: a relay on loopback for each ordered
//! pair of processes. Relays lose, delay, duplicate, corrupt and cut datagrams as the fault plan requires.
//! While a process is down, the sockets that lead to it are closed, so that the operating system refuses
//! datagrams to it.

use std::collections::{HashMap, HashSet};
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use fastrand::Rng;
use tokio::net::UdpSocket;
use tokio::runtime::Handle;
use tokio::task::AbortHandle;
use tokio::time::sleep;

/// The faults in effect.
#[derive(Default)]
struct ActiveFaults {
    /// By the fault's index in its plan: the cut pairs of sender and receiver.
    cuts: Vec<(usize, HashSet<(usize, usize)>)>,
    loss: f64,
    duplication: f64,
    corruption: f64,
    delay_ms: u64,
}

/// The address at which one process reaches another, and the socket and task while it is open.
struct Endpoint {
    address: SocketAddr,
    open: Option<(Arc<UdpSocket>, AbortHandle)>,
}

#[derive(Default)]
struct State {
    faults: ActiveFaults,
    /// The address of each process, `None` while it is down.
    process_addresses: Vec<Option<SocketAddr>>,
    /// By sender and receiver.
    endpoints: HashMap<(usize, usize), Endpoint>,
    rng: Rng,
    /// Number of datagrams and bytes sent.
    datagrams: u64,
    bytes: u64,
    /// The first datagrams with sender and receiver, for replay.
    recorded: Vec<(usize, usize, Vec<u8>)>,
}

/// Number of datagrams recorded for replay.
const MAX_RECORDED: usize = 256;

/// The relays between all processes of a fleet.
#[derive(Clone)]
pub struct UdpRelays {
    state: Arc<Mutex<State>>,
    runtime: Handle,
}

fn lock(state: &Arc<Mutex<State>>) -> std::sync::MutexGuard<'_, State> {
    state.lock().expect("the lock is not poisoned")
}

/// A loopback address used by no other relays of this process, so that a closed port can be bound again.
fn unused_loopback_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | high & 63, low, NEXT.fetch_add(1, Ordering::Relaxed).max(1)))
}

impl UdpRelays {
    /// Starts the relays between `count` processes.
    pub async fn start(count: usize, seed: u64) -> UdpRelays {
        let ip = unused_loopback_address();
        let state =
            State { process_addresses: vec![None; count], rng: Rng::with_seed(seed), ..State::default() };
        let relays = UdpRelays { state: Arc::new(Mutex::new(state)), runtime: Handle::current() };
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let socket = UdpSocket::bind((ip, 0)).await.expect("loopback has free ports");
                let address = socket.local_addr().expect("the socket is bound");
                lock(&relays.state).endpoints.insert((from, to), Endpoint { address, open: None });
                relays.open(from, to, socket);
            }
        }
        relays
    }

    /// The address at which process `from` reaches process `to`.
    #[must_use]
    pub fn address(&self, from: usize, to: usize) -> SocketAddr {
        lock(&self.state).endpoints[&(from, to)].address
    }

    /// Sets the address of a process, `None` while it is down.
    pub fn set_process_address(&self, process: usize, address: Option<SocketAddr>) {
        lock(&self.state).process_addresses[process] = address;
        self.update_endpoints();
    }

    /// Drops all datagrams between these pairs of sender and receiver until the fault of this index is
    /// healed.
    pub fn cut(&self, fault: usize, pairs: HashSet<(usize, usize)>) {
        lock(&self.state).faults.cuts.push((fault, pairs));
        self.update_endpoints();
    }

    /// Ends the cuts of a fault.
    pub fn heal(&self, fault: usize) {
        lock(&self.state).faults.cuts.retain(|(index, _)| *index != fault);
        self.update_endpoints();
    }

    /// Sets the share of lost datagrams.
    pub fn set_loss(&self, share: f64) {
        lock(&self.state).faults.loss = share;
    }

    /// Sets the share of duplicated datagrams.
    pub fn set_duplication(&self, share: f64) {
        lock(&self.state).faults.duplication = share;
    }

    /// Sets the share of corrupted datagrams.
    pub fn set_corruption(&self, share: f64) {
        lock(&self.state).faults.corruption = share;
    }

    /// Delays datagrams by `ms` to twice as much.
    pub fn set_delay(&self, ms: u64) {
        lock(&self.state).faults.delay_ms = ms;
    }

    /// Number of datagrams and bytes sent.
    #[must_use]
    pub fn traffic(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.datagrams, state.bytes)
    }

    /// The first datagrams sent, each with sender and receiver.
    #[must_use]
    pub fn recorded(&self) -> Vec<(usize, usize, Vec<u8>)> {
        lock(&self.state).recorded.clone()
    }

    /// Closes the sockets that lead to processes that are down, except across cuts, and opens all others.
    fn update_endpoints(&self) {
        let mut to_open = Vec::new();
        {
            let mut state = lock(&self.state);
            let State { faults, process_addresses, endpoints, .. } = &mut *state;
            for (&(from, to), endpoint) in endpoints.iter_mut() {
                let cut = faults
                    .cuts
                    .iter()
                    .any(|(_, pairs)| pairs.contains(&(from, to)) || pairs.contains(&(to, from)));
                let is_refused = process_addresses[to].is_none() && process_addresses[from].is_some() && !cut;
                if is_refused {
                    if let Some((_, task)) = endpoint.open.take() {
                        task.abort();
                    }
                } else if endpoint.open.is_none() {
                    to_open.push((from, to, endpoint.address));
                }
            }
        }
        for (from, to, address) in to_open {
            let relays = self.clone();
            self.runtime.spawn(async move {
                // The aborted task may hold the socket for a moment.
                for _ in 0..400 {
                    if let Ok(socket) = UdpSocket::bind(address).await {
                        return relays.open(from, to, socket);
                    }
                    sleep(Duration::from_millis(5)).await;
                }
                panic!("cannot bind {address} again");
            });
        }
    }

    /// Forwards what process `from` sends to this socket to process `to`.
    fn open(&self, from: usize, to: usize, socket: UdpSocket) {
        let socket = Arc::new(socket);
        let (relays, receive_socket) = (self.clone(), socket.clone());
        let task = self.runtime.spawn(async move {
            let mut buffer = vec![0; 4096];
            loop {
                match receive_socket.recv_from(&mut buffer).await {
                    Ok((length, _)) => relays.forward(from, to, buffer[..length].to_vec()),
                    // An earlier datagram from this socket was refused.
                    Err(_) => sleep(Duration::from_millis(1)).await,
                }
            }
        });
        let mut state = lock(&self.state);
        if let Some(endpoint) = state.endpoints.get_mut(&(from, to))
            && let Some((_, previous)) = endpoint.open.replace((socket, task.abort_handle()))
        {
            previous.abort();
        }
    }

    /// Forwards a datagram to its receiver, subject to the faults in effect.
    fn forward(&self, from: usize, to: usize, mut bytes: Vec<u8>) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        state.datagrams += 1;
        state.bytes += bytes.len() as u64;
        if state.recorded.len() < MAX_RECORDED {
            state.recorded.push((from, to, bytes.clone()));
        }
        let ActiveFaults { cuts, loss, duplication, corruption, delay_ms } = &state.faults;
        if cuts.iter().any(|(_, pairs)| pairs.contains(&(from, to))) || state.rng.f64() < *loss {
            return;
        }
        if state.rng.f64() < *corruption && !bytes.is_empty() {
            let index = state.rng.usize(..bytes.len());
            bytes[index] ^= 1 << state.rng.u8(..8);
        }
        // The receiver expects the sender's datagrams from the address at which it reaches the sender.
        let Some((socket, _)) = state.endpoints.get(&(to, from)).and_then(|endpoint| endpoint.open.clone())
        else {
            return;
        };
        let Some(destination) = state.process_addresses[to] else { return };
        let copies = 1 + usize::from(state.rng.f64() < *duplication);
        for _ in 0..copies {
            if *delay_ms == 0 {
                let _ = socket.try_send_to(&bytes, destination);
                continue;
            }
            let (socket, bytes) = (socket.clone(), bytes.clone());
            let delay = Duration::from_millis(delay_ms + state.rng.u64(..*delay_ms));
            self.runtime.spawn(async move {
                sleep(delay).await;
                let _ = socket.try_send_to(&bytes, destination);
            });
        }
    }
}
