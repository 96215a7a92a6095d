//! Whoever takes the effects that are done under leases: a call each, with the lease's name, its epoch and its holder. It
//! takes none of an older epoch than it has taken before, writes down when each came and was done, by the machine's monotonic
//! clock, and what it refused. It shares no code with the router.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};

use crate::rig::mono_us;

/// One effect, or one that was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    pub lease: String,
    pub epoch: u64,
    pub holder: String,
    pub came_us: i64,
    pub done_us: i64,
    pub taken: bool,
}

#[derive(Default)]
struct State {
    effects: Vec<Effect>,
    newest: HashMap<String, (u64, String)>,
    /// Epochs are not looked at, for tests that have to see what that leads to.
    blind: bool,
}

pub struct Taker {
    state: Arc<Mutex<State>>,
    pub address: SocketAddr,
    runtime: Option<Runtime>,
}

impl Taker {
    /// Each effect takes so long.
    #[must_use]
    pub fn start(takes: Duration) -> Taker {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("threads can be had");
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("loopback has a free port");
        let address = listener.local_addr().expect("it is bound");
        let state: Arc<Mutex<State>> = Arc::default();
        let of = state.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(take(of.clone(), stream, takes));
            }
        });
        Taker { state, address, runtime: Some(runtime) }
    }

    pub fn blind(&self) {
        self.state.lock().expect("nobody panics with it").blind = true;
    }

    /// All effects in the order in which they came.
    #[must_use]
    pub fn effects(&self) -> Vec<Effect> {
        self.state.lock().expect("nobody panics with it").effects.clone()
    }
}

impl Drop for Taker {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

async fn take(state: Arc<Mutex<State>>, stream: TcpStream, takes: Duration) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let mut heads = HashMap::new();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line).await.ok()? <= 2 {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            heads.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let (lease, holder) = (heads.get("lease")?.clone(), heads.get("holder")?.clone());
    let epoch: u64 = heads.get("epoch")?.parse().ok()?;
    let came_us = mono_us();
    let (at, taken) = {
        let mut state = state.lock().expect("nobody panics with it");
        let newest = state.newest.get(&lease).cloned().unwrap_or((epoch, holder.clone()));
        let behind = epoch < newest.0 || epoch == newest.0 && holder != newest.1;
        let taken = state.blind || !behind;
        if !behind {
            state.newest.insert(lease.clone(), (epoch, holder.clone()));
        }
        state.effects.push(Effect { lease, epoch, holder, came_us, done_us: came_us, taken });
        (state.effects.len() - 1, taken)
    };
    if taken {
        tokio::time::sleep(takes).await;
        state.lock().expect("nobody panics with it").effects[at].done_us = mono_us();
    }
    let status = if taken { "200 OK" } else { "409 Conflict" };
    let answer = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(answer.as_bytes()).await.ok()
}

/// What is wrong with a history of effects.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wrong {
    /// Two effects of different holders at one time.
    Overlap(Effect, Effect),
    /// An effect of an older epoch was taken after one of a newer.
    Fell(Effect, Effect),
    /// Two holders of one epoch.
    Shared(Effect, Effect),
}

/// Looks through a history. `halts`: processes were halted, or clocks ran beyond the bound, so that two may have acted at one
/// time; what is left then is that epochs never fall.
#[must_use]
pub fn audit(effects: &[Effect], halts: bool) -> Vec<Wrong> {
    let mut wrong = Vec::new();
    let taken: Vec<&Effect> = effects.iter().filter(|effect| effect.taken).collect();
    for (at, one) in taken.iter().enumerate() {
        for two in taken[at + 1..].iter().filter(|two| two.lease == one.lease) {
            let (one, two) = if one.came_us <= two.came_us { (*one, *two) } else { (*two, *one) };
            let pair = || (one.clone(), two.clone());
            if two.epoch < one.epoch {
                let (one, two) = pair();
                wrong.push(Wrong::Fell(one, two));
            }
            if one.holder == two.holder {
                continue;
            }
            if one.epoch == two.epoch {
                let (one, two) = pair();
                wrong.push(Wrong::Shared(one, two));
            }
            if !halts && two.came_us < one.done_us {
                let (one, two) = pair();
                wrong.push(Wrong::Overlap(one, two));
            }
        }
    }
    wrong
}

#[cfg(test)]
mod tests {
    use super::*;

    fn effect(holder: &str, epoch: u64, came_us: i64, done_us: i64) -> Effect {
        let (lease, holder) = ("a".to_string(), holder.to_string());
        Effect { lease, epoch, holder, came_us, done_us, taken: true }
    }

    #[test]
    fn the_auditor_sees_what_is_wrong_and_nothing_else() {
        let good = [effect("x", 1, 0, 10), effect("x", 1, 20, 30), effect("y", 2, 40, 50)];
        assert!(audit(&good, false).is_empty());
        let refused = Effect { taken: false, ..effect("x", 1, 60, 60) };
        assert!(audit(&[&good[..], &[refused]].concat(), false).is_empty(), "it had no effect");
        let overlap = [effect("x", 1, 0, 10), effect("y", 2, 9, 12)];
        assert!(matches!(audit(&overlap, false)[..], [Wrong::Overlap(..)]));
        assert!(audit(&overlap, true).is_empty());
        let fell = [effect("y", 2, 0, 10), effect("x", 1, 20, 30)];
        assert!(matches!(audit(&fell, true)[..], [Wrong::Fell(..)]));
        let shared = [effect("x", 1, 0, 10), effect("y", 1, 20, 30)];
        assert!(matches!(audit(&shared, true)[..], [Wrong::Shared(..)]));
        let other = Effect { lease: "b".to_string(), ..effect("y", 1, 5, 6) };
        assert!(
            audit(&[effect("x", 2, 0, 10), other], false).is_empty(),
            "two leases have nothing to do with each other"
        );
    }
}
