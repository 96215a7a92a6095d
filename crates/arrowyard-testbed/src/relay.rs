//! What lies between the processes of a fleet: a relay of its own for each ordered pair, on loopback, in user space. It
//! loses, delays, doubles, changes and cuts what the fault plan says, and says truthfully that nobody listens where a
//! process is gone: its end of that pair is closed, so that the system refuses what is sent there.

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

/// What is broken just now, each with the number of the act that broke it.
#[derive(Default)]
struct Broken {
    cuts: Vec<(usize, HashSet<(usize, usize)>)>,
    loss: f64,
    double: f64,
    garble: f64,
    delay_ms: u64,
}

/// One end: what this process sends there goes to that one.
struct Face {
    at: SocketAddr,
    open: Option<(Arc<UdpSocket>, AbortHandle)>,
}

#[derive(Default)]
struct State {
    broken: Broken,
    /// Where each process really is; nothing while it is gone.
    real: Vec<Option<SocketAddr>>,
    faces: HashMap<(usize, usize), Face>,
    rng: Rng,
    passed: u64,
    bytes: u64,
    /// The first datagrams that passed, for replays.
    kept: Vec<(usize, usize, Vec<u8>)>,
}

/// Datagrams that are kept for replays.
const KEPT: usize = 256;

#[derive(Clone)]
pub struct Relays {
    state: Arc<Mutex<State>>,
    runtime: Handle,
}

fn lock(state: &Arc<Mutex<State>>) -> std::sync::MutexGuard<'_, State> {
    state.lock().expect("no relay panics while it holds the state")
}

/// An address of loopback that nobody else of this process uses, so that a port that was given up is still there.
fn own_address() -> IpAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | high & 63, low, NEXT.fetch_add(1, Ordering::Relaxed).max(1)))
}

impl Relays {
    /// Between so many processes.
    pub async fn start(count: usize, seed: u64) -> Relays {
        let ip = own_address();
        let state = State { real: vec![None; count], rng: Rng::with_seed(seed), ..State::default() };
        let relays = Relays { state: Arc::new(Mutex::new(state)), runtime: Handle::current() };
        for from in 0..count {
            for to in (0..count).filter(|to| *to != from) {
                let socket = UdpSocket::bind((ip, 0)).await.expect("loopback has free ports");
                let at = socket.local_addr().expect("it is bound");
                lock(&relays.state).faces.insert((from, to), Face { at, open: None });
                relays.serve(from, to, socket);
            }
        }
        relays
    }

    /// Where `from` reaches `to`.
    #[must_use]
    pub fn face(&self, from: usize, to: usize) -> SocketAddr {
        lock(&self.state).faces[&(from, to)].at
    }

    /// Where the process is from now on; nothing if it is gone.
    pub fn place(&self, who: usize, at: Option<SocketAddr>) {
        lock(&self.state).real[who] = at;
        self.refuse();
    }

    pub fn cut(&self, act: usize, pairs: HashSet<(usize, usize)>) {
        lock(&self.state).broken.cuts.push((act, pairs));
        self.refuse();
    }

    pub fn heal(&self, act: usize) {
        lock(&self.state).broken.cuts.retain(|(of, _)| *of != act);
        self.refuse();
    }

    pub fn lose(&self, share: f64) {
        lock(&self.state).broken.loss = share;
    }

    pub fn double(&self, share: f64) {
        lock(&self.state).broken.double = share;
    }

    pub fn garble(&self, share: f64) {
        lock(&self.state).broken.garble = share;
    }

    pub fn delay(&self, ms: u64) {
        lock(&self.state).broken.delay_ms = ms;
    }

    /// Datagrams and bytes that were sent so far.
    #[must_use]
    pub fn passed(&self) -> (u64, u64) {
        let state = lock(&self.state);
        (state.passed, state.bytes)
    }

    /// The first datagrams, each with who sent it to whom.
    #[must_use]
    pub fn kept(&self) -> Vec<(usize, usize, Vec<u8>)> {
        lock(&self.state).kept.clone()
    }

    /// Ends are closed where the process is gone and the way to it is open, and opened where not.
    fn refuse(&self) {
        let mut opened = Vec::new();
        {
            let mut state = lock(&self.state);
            let State { broken, real, faces, .. } = &mut *state;
            for (&(from, to), face) in faces.iter_mut() {
                let cut =
                    broken.cuts.iter().any(|(_, cut)| cut.contains(&(from, to)) || cut.contains(&(to, from)));
                let refuses = real[to].is_none() && real[from].is_some() && !cut;
                if refuses {
                    if let Some((_, task)) = face.open.take() {
                        task.abort();
                    }
                } else if face.open.is_none() {
                    opened.push((from, to, face.at));
                }
            }
        }
        for (from, to, at) in opened {
            let relays = self.clone();
            self.runtime.spawn(async move {
                // The task that had it may hold it for a moment longer.
                for _ in 0..400 {
                    if let Ok(socket) = UdpSocket::bind(at).await {
                        return relays.serve(from, to, socket);
                    }
                    sleep(Duration::from_millis(5)).await;
                }
                panic!("{at} cannot be taken again");
            });
        }
    }

    /// Takes what `from` sends to `to`.
    fn serve(&self, from: usize, to: usize, socket: UdpSocket) {
        let socket = Arc::new(socket);
        let (relays, of) = (self.clone(), socket.clone());
        let task = self.runtime.spawn(async move {
            let mut buffer = vec![0; 4096];
            loop {
                match of.recv_from(&mut buffer).await {
                    Ok((length, _)) => relays.pass(from, to, buffer[..length].to_vec()),
                    // A refusal of what was sent before.
                    Err(_) => sleep(Duration::from_millis(1)).await,
                }
            }
        });
        let mut state = lock(&self.state);
        if let Some(face) = state.faces.get_mut(&(from, to))
            && let Some((_, old)) = face.open.replace((socket, task.abort_handle()))
        {
            old.abort();
        }
    }

    fn pass(&self, from: usize, to: usize, mut bytes: Vec<u8>) {
        let mut state = lock(&self.state);
        let state = &mut *state;
        state.passed += 1;
        state.bytes += bytes.len() as u64;
        if state.kept.len() < KEPT {
            state.kept.push((from, to, bytes.clone()));
        }
        let Broken { cuts, loss, double, garble, delay_ms } = &state.broken;
        if cuts.iter().any(|(_, cut)| cut.contains(&(from, to))) || state.rng.f64() < *loss {
            return;
        }
        if state.rng.f64() < *garble && !bytes.is_empty() {
            let at = state.rng.usize(..bytes.len());
            bytes[at] ^= 1 << state.rng.u8(..8);
        }
        // It leaves from the end by which `to` knows `from`.
        let Some((socket, _)) = state.faces.get(&(to, from)).and_then(|face| face.open.clone()) else {
            return;
        };
        let Some(real) = state.real[to] else { return };
        let copies = 1 + usize::from(state.rng.f64() < *double);
        for _ in 0..copies {
            if *delay_ms == 0 {
                let _ = socket.try_send_to(&bytes, real);
                continue;
            }
            let (socket, bytes) = (socket.clone(), bytes.clone());
            let wait = Duration::from_millis(delay_ms + state.rng.u64(..*delay_ms));
            self.runtime.spawn(async move {
                sleep(wait).await;
                let _ = socket.try_send_to(&bytes, real);
            });
        }
    }
}
