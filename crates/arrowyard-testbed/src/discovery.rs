//! Simulated discovery over HTTP: complete host lists, and watches that stream changes.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::accept::accept;
use crate::cluster::{Shared, State, lock, unix_ms};

/// A copy of the state that a list is built from, so that long lists are built without holding the lock.
pub(crate) struct ListSnapshot {
    since: Option<u64>,
    version: u64,
    rows: Vec<Value>,
    extra_hosts: Vec<(u64, &'static str)>,
    advertised_addresses: HashMap<String, String>,
}

/// Snapshot of the list for the listener at this address; with `since`, only what changed after that version.
pub(crate) fn list_snapshot(state: &State, listener: Option<SocketAddr>, since: Option<u64>) -> ListSnapshot {
    let changed_hosts =
        state.hosts.values().filter(|host| since.is_none_or(|since| host.changed_version > since));
    let rows = changed_hosts.map(|host| {
        json!({"host": host.spec.name, "dial": host.address.to_string(), "site": "a", "class": "m",
            "block": host.spec.group, "health": host.health, "share": 1.0, "born_ms": host.started_ms,
            "mode": if host.spec.primary { "read-write" } else { "read-only" }})
    });
    let advertised_addresses = listener
        .and_then(|listener| state.listeners.get(&listener))
        .map(|listener| listener.advertised_addresses.clone())
        .unwrap_or_default();
    ListSnapshot {
        since,
        version: state.list_version,
        rows: rows.collect(),
        extra_hosts: state.extra_hosts.clone(),
        advertised_addresses,
    }
}

impl ListSnapshot {
    /// The list as discovery sends it.
    pub(crate) fn into_json(self) -> Value {
        let ListSnapshot { since, version, mut rows, extra_hosts, advertised_addresses } = self;
        for row in &mut rows {
            if let Some(advertised) =
                row["dial"].as_str().and_then(|address| advertised_addresses.get(address))
            {
                row["dial"] = json!(advertised);
            }
        }
        let extra_hosts = extra_hosts.into_iter().enumerate();
        let extra_hosts = extra_hosts.filter(|(_, (changed, _))| since.is_none_or(|since| *changed > since));
        // Hosts of groups that no op addresses, at an address without a listener.
        rows.extend(extra_hosts.map(|(index, (_, health))| {
            json!({"host": format!("x-{index:06}"), "dial": "127.0.0.1:1", "site": "a", "class": "m",
                "block": 1000 + index / 3, "health": health, "share": 1.0, "born_ms": 0.0,
                "mode": if index % 3 == 0 { "read-write" } else { "read-only" }})
        }));
        json!({"seq": version, "whole": since.is_none(), "hosts": rows})
    }
}

/// How discovery responds to requests.
#[derive(Clone, Debug, Default)]
pub enum DiscoveryBehavior {
    /// Responds with the current list.
    #[default]
    Normal,
    /// Responds with status 503.
    Unavailable,
    /// Sends the headers and no body.
    HangAfterHeaders,
    /// Sends half of the body and closes the connection.
    TruncateBody,
    /// Sends the body in this many pieces, each after this delay.
    SlowBody(usize, Duration),
    /// Responds to every second request with this list, like an outdated replica of discovery.
    AlternateWith(Value),
}

/// State of one of discovery's listeners.
#[derive(Default)]
pub(crate) struct ListenerState {
    /// By a host's address: the address that is listed in its place.
    pub advertised_addresses: HashMap<String, String>,
    /// Whether it closes connections and watches.
    pub cut: bool,
}

/// Starts a listener and returns its address.
pub(crate) async fn start(state: Shared, list_versions: watch::Receiver<u64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("the socket is bound");
    tokio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let cut = lock(&state).listeners.get(&address).is_some_and(|listener| listener.cut);
            if !lock(&state).discovery_down && !cut {
                tokio::spawn(handle_request(state.clone(), list_versions.clone(), stream));
            }
        }
    });
    address
}

/// Responds to the request of a connection as discovery's behavior requires.
async fn handle_request(
    state: Shared,
    mut list_versions: watch::Receiver<u64>,
    stream: TcpStream,
) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let mut request_line = String::new();
    stream.read_line(&mut request_line).await.ok()?;
    let listener = stream.get_ref().local_addr().ok()?;
    let (behavior, request_number) = {
        let mut state = lock(&state);
        state.discovery_requests.push((listener, request_line.trim().to_string()));
        state.discovery_call_times.push(unix_ms());
        (state.discovery_behavior.clone(), state.discovery_requests.len())
    };
    let mut header_line = String::new();
    while stream.read_line(&mut header_line).await.ok()? > 2 {
        header_line.clear();
    }
    let outdated_list = match behavior {
        DiscoveryBehavior::Unavailable => {
            return stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await.ok();
        }
        DiscoveryBehavior::HangAfterHeaders => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 512\r\n\r\n").await.ok()?;
            // Waits until the router closes the connection.
            let _ = stream.read_line(&mut header_line).await;
            return None;
        }
        DiscoveryBehavior::TruncateBody | DiscoveryBehavior::SlowBody(..) => {
            let snapshot = list_snapshot(&lock(&state), Some(listener), None);
            let body = format!("{}\n", snapshot.into_json());
            let headers = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(headers.as_bytes()).await.ok()?;
            let (pieces, delay) = match behavior {
                DiscoveryBehavior::SlowBody(pieces, delay) => (pieces, delay),
                _ => return stream.write_all(&body.as_bytes()[..body.len() / 2]).await.ok(),
            };
            for piece in body.as_bytes().chunks(body.len().div_ceil(pieces.max(1))) {
                sleep(delay).await;
                stream.write_all(piece).await.ok()?;
            }
            return Some(());
        }
        DiscoveryBehavior::AlternateWith(list) if request_number % 2 == 0 => Some(list),
        DiscoveryBehavior::AlternateWith(_) | DiscoveryBehavior::Normal => None,
    };
    if let Some(list) = outdated_list {
        let body = format!("{list}\n");
        let headers = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        return stream.write_all([headers, body].concat().as_bytes()).await.ok();
    }
    if !request_line.contains("watch=1") {
        let snapshot = list_snapshot(&lock(&state), Some(listener), None);
        let body = snapshot.into_json().to_string();
        let headers = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        return stream.write_all([headers, body].concat().as_bytes()).await.ok();
    }
    let from_version =
        request_line.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
    if lock(&state).new_watches_silent {
        // Waits until the router closes the connection.
        let _ = stream.read_line(&mut header_line).await;
        return None;
    }
    let (mut sent_version, mut is_first): (Option<u64>, bool) = (from_version, true);
    loop {
        let (snapshot, version) = {
            let state = lock(&state);
            if state.discovery_down || state.listeners.get(&listener).is_some_and(|listener| listener.cut) {
                return None;
            }
            (list_snapshot(&state, Some(listener), sent_version), state.list_version)
        };
        if is_first || sent_version != Some(version) {
            let list_json = snapshot.into_json().to_string();
            let chunk = format!("{:x}\r\n{list_json}\n\r\n", list_json.len() + 1);
            stream.write_all(chunk.as_bytes()).await.ok()?;
            (sent_version, is_first) = (Some(version), false);
        }
        match timeout(Duration::from_secs(2), list_versions.changed()).await {
            Ok(changed) => changed.ok()?,
            Err(_) if lock(&state).listeners.get(&listener).is_some_and(|listener| listener.cut) => {
                return None;
            }
            Err(_) => stream.write_all(b"1\r\n\n\r\n").await.ok()?,
        }
    }
}
