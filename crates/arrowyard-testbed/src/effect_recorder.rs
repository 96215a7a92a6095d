//! Receives the effects of duties that run under leases: one HTTP call each, with the lease's name, its
//! epoch and its holder. It rejects effects of epochs older than the newest one seen, and effects of
//! another holder in the same epoch. It records when each effect arrived and completed by the machine's
//! monotonic clock, and shares no code with the router.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::{Builder, Runtime};

use crate::accept::accept;
use crate::rig::monotonic_us;

/// An accepted or rejected effect. Times are those of the machine's monotonic clock in microseconds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Effect {
    pub lease: String,
    pub epoch: u64,
    pub holder: String,
    pub received_us: i64,
    /// Equal to `received_us` if the effect was rejected.
    pub completed_us: i64,
    pub accepted: bool,
}

#[derive(Default)]
struct State {
    effects: Vec<Effect>,
    /// By lease: the newest epoch and its holder.
    newest: HashMap<String, (u64, String)>,
    /// Accepts effects of any epoch, for tests of the audit.
    ignores_epochs: bool,
}

/// The recorder and its listener, which runs until this is dropped.
pub struct EffectRecorder {
    state: Arc<Mutex<State>>,
    /// Address of its listener.
    pub address: SocketAddr,
    runtime: Option<Runtime>,
}

impl EffectRecorder {
    /// Starts a recorder in which each effect takes `effect_duration`.
    #[must_use]
    pub fn start(effect_duration: Duration) -> EffectRecorder {
        let runtime = Builder::new_multi_thread().worker_threads(1).enable_all().build();
        let runtime = runtime.expect("the runtime starts");
        let listener = runtime.block_on(TcpListener::bind("127.0.0.1:0")).expect("loopback has a free port");
        let address = listener.local_addr().expect("the socket is bound");
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = state.clone();
        runtime.spawn(async move {
            loop {
                let stream = accept(&listener).await;
                tokio::spawn(handle_effect(shared.clone(), stream, effect_duration));
            }
        });
        EffectRecorder { state, address, runtime: Some(runtime) }
    }

    /// Accepts effects of any epoch from now on.
    pub fn ignore_epochs(&self) {
        self.state.lock().expect("the lock is not poisoned").ignores_epochs = true;
    }

    /// All effects in the order of their arrival.
    #[must_use]
    pub fn effects(&self) -> Vec<Effect> {
        self.state.lock().expect("the lock is not poisoned").effects.clone()
    }
}

impl Drop for EffectRecorder {
    fn drop(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }
}

/// Records the effect of a connection and responds. A malformed request is not recorded.
async fn handle_effect(state: Arc<Mutex<State>>, stream: TcpStream, effect_duration: Duration) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let mut headers = HashMap::new();
    loop {
        let mut header_line = String::new();
        if stream.read_line(&mut header_line).await.ok()? <= 2 {
            break;
        }
        if let Some((name, value)) = header_line.split_once(':') {
            headers.insert(name.to_ascii_lowercase(), value.trim().to_string());
        }
    }
    let (lease, holder) = (headers.get("lease")?.clone(), headers.get("holder")?.clone());
    let epoch: u64 = headers.get("epoch")?.parse().ok()?;
    let received_us = monotonic_us();
    let (index, accepted) = {
        let mut state = state.lock().expect("the lock is not poisoned");
        let newest = state.newest.get(&lease).cloned().unwrap_or((epoch, holder.clone()));
        let is_stale = epoch < newest.0 || epoch == newest.0 && holder != newest.1;
        let accepted = state.ignores_epochs || !is_stale;
        if !is_stale {
            state.newest.insert(lease.clone(), (epoch, holder.clone()));
        }
        state.effects.push(Effect { lease, epoch, holder, received_us, completed_us: received_us, accepted });
        (state.effects.len() - 1, accepted)
    };
    if accepted {
        tokio::time::sleep(effect_duration).await;
        state.lock().expect("the lock is not poisoned").effects[index].completed_us = monotonic_us();
    }
    let status = if accepted { "200 OK" } else { "409 Conflict" };
    let response = format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    stream.write_all(response.as_bytes()).await.ok()
}

/// A violation of the leases' guarantees, with the earlier and the later effect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Violation {
    /// Effects of different holders overlapped in time.
    Overlap(Effect, Effect),
    /// An effect of an older epoch was accepted after one of a newer epoch.
    StaleEpoch(Effect, Effect),
    /// One epoch had two holders.
    SharedEpoch(Effect, Effect),
}

/// Checks a history of effects. With `allow_overlap`, effects of different holders may overlap, as they can
/// when processes were paused or clocks drifted beyond the bound; epochs must still not decrease.
#[must_use]
pub fn audit(effects: &[Effect], allow_overlap: bool) -> Vec<Violation> {
    let mut violations = Vec::new();
    let accepted: Vec<&Effect> = effects.iter().filter(|effect| effect.accepted).collect();
    for (index, first) in accepted.iter().enumerate() {
        for second in accepted[index + 1..].iter().filter(|second| second.lease == first.lease) {
            let (earlier, later) =
                if first.received_us <= second.received_us { (*first, *second) } else { (*second, *first) };
            let cloned_pair = || (earlier.clone(), later.clone());
            if later.epoch < earlier.epoch {
                let (earlier, later) = cloned_pair();
                violations.push(Violation::StaleEpoch(earlier, later));
            }
            if earlier.holder == later.holder {
                continue;
            }
            if earlier.epoch == later.epoch {
                let (earlier, later) = cloned_pair();
                violations.push(Violation::SharedEpoch(earlier, later));
            }
            if !allow_overlap && later.received_us < earlier.completed_us {
                let (earlier, later) = cloned_pair();
                violations.push(Violation::Overlap(earlier, later));
            }
        }
    }
    violations
}

#[cfg(test)]
mod tests {
    use super::*;

    fn effect(holder: &str, epoch: u64, received_us: i64, completed_us: i64) -> Effect {
        let (lease, holder) = ("a".to_string(), holder.to_string());
        Effect { lease, epoch, holder, received_us, completed_us, accepted: true }
    }

    #[test]
    fn the_audit_finds_each_kind_of_violation_and_nothing_else() {
        let valid = [effect("x", 1, 0, 10), effect("x", 1, 20, 30), effect("y", 2, 40, 50)];
        assert!(audit(&valid, false).is_empty());
        let rejected = Effect { accepted: false, ..effect("x", 1, 60, 60) };
        assert!(
            audit(&[&valid[..], &[rejected]].concat(), false).is_empty(),
            "a rejected effect is no violation"
        );
        let overlap = [effect("x", 1, 0, 10), effect("y", 2, 9, 12)];
        assert!(matches!(audit(&overlap, false)[..], [Violation::Overlap(..)]));
        assert!(audit(&overlap, true).is_empty());
        let stale = [effect("y", 2, 0, 10), effect("x", 1, 20, 30)];
        assert!(matches!(audit(&stale, true)[..], [Violation::StaleEpoch(..)]));
        let shared = [effect("x", 1, 0, 10), effect("y", 1, 20, 30)];
        assert!(matches!(audit(&shared, true)[..], [Violation::SharedEpoch(..)]));
        let other_lease = Effect { lease: "b".to_string(), ..effect("y", 1, 5, 6) };
        assert!(
            audit(&[effect("x", 2, 0, 10), other_lease], false).is_empty(),
            "leases are independent of each other"
        );
    }
}
