//! Discovery: the whole list, and watches that tell what changed.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::town::{Shared, State, lock, unix_ms};

/// What a list is made of, taken in a moment: whoever makes thousands of lines of it holds up nobody else meanwhile.
pub(crate) struct Draft {
    since: Option<u64>,
    version: u64,
    rows: Vec<Value>,
    extras: Vec<(u64, &'static str)>,
    dials: HashMap<String, String>,
}

/// The list, as it is told at this address; with `since`, what changed after that version.
pub(crate) fn draft(state: &State, at: Option<SocketAddr>, since: Option<u64>) -> Draft {
    let changed = state.hosts.values().filter(|host| since.is_none_or(|since| host.changed > since));
    let rows = changed.map(|host| {
        json!({"host": host.spec.name, "dial": host.address.to_string(), "site": "a", "class": "m",
            "block": host.spec.group, "health": host.health, "share": 1.0, "born_ms": host.born_ms,
            "mode": if host.spec.primary { "read-write" } else { "read-only" }})
    });
    let dials = at.and_then(|at| state.sides.get(&at)).map(|side| side.dials.clone()).unwrap_or_default();
    Draft { since, version: state.version, rows: rows.collect(), extras: state.extras.clone(), dials }
}

impl Draft {
    pub(crate) fn list(self) -> Value {
        let Draft { since, version, mut rows, extras, dials } = self;
        for row in &mut rows {
            if let Some(face) = row["dial"].as_str().and_then(|dial| dials.get(dial)) {
                row["dial"] = json!(face);
            }
        }
        let extras = extras.into_iter().enumerate();
        let extras = extras.filter(|(_, (changed, _))| since.is_none_or(|since| *changed > since));
        // Hosts of groups that nobody asks for, at an address that nobody has.
        rows.extend(extras.map(|(n, (_, health))| {
            json!({"host": format!("x-{n:06}"), "dial": "127.0.0.1:1", "site": "a", "class": "m",
                "block": 1000 + n / 3, "health": health, "share": 1.0, "born_ms": 0.0,
                "mode": if n % 3 == 0 { "read-write" } else { "read-only" }})
        }));
        json!({"seq": version, "whole": since.is_none(), "hosts": rows})
    }
}

/// How discovery answers.
#[derive(Clone, Debug, Default)]
pub enum Mood {
    #[default]
    Plain,
    /// Status 503.
    Refuse,
    /// A head, and nothing more.
    HangAfterHead,
    /// Half of a list, and the connection ends.
    Cut,
    /// A list in so many pieces, each after so long.
    Slow(usize, Duration),
    /// Two of it answer by turns: one is as it is now, the other as it was when this was set.
    Divided(Value),
}

/// Of one of its listeners: how it names addresses, and whether it is cut off.
#[derive(Default)]
pub(crate) struct Side {
    pub dials: HashMap<String, String>,
    pub cut: bool,
}

pub(crate) async fn start(state: Shared, news: watch::Receiver<u64>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("loopback has a free port");
    let address = listener.local_addr().expect("it is bound");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let cut = lock(&state).sides.get(&address).is_some_and(|side| side.cut);
            if !lock(&state).undiscovered && !cut {
                tokio::spawn(answer(state.clone(), news.clone(), stream));
            }
        }
    });
    address
}

async fn answer(state: Shared, mut news: watch::Receiver<u64>, stream: TcpStream) -> Option<()> {
    let mut stream = BufReader::new(stream);
    let mut call = String::new();
    stream.read_line(&mut call).await.ok()?;
    let at = stream.get_ref().local_addr().ok()?;
    let (mood, turn) = {
        let mut state = lock(&state);
        state.calls.push((at, call.trim().to_string()));
        state.called.push(unix_ms());
        (state.mood.clone(), state.calls.len())
    };
    let mut line = String::new();
    while stream.read_line(&mut line).await.ok()? > 2 {
        line.clear();
    }
    let behind = match mood {
        Mood::Refuse => {
            return stream.write_all(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n").await.ok();
        }
        Mood::HangAfterHead => {
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 512\r\n\r\n").await.ok()?;
            // Till the router gives up.
            let _ = stream.read_line(&mut line).await;
            return None;
        }
        Mood::Cut | Mood::Slow(..) => {
            let draft = draft(&lock(&state), Some(at), None);
            let body = format!("{}\n", draft.list());
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            stream.write_all(head.as_bytes()).await.ok()?;
            let (pieces, pause) = match mood {
                Mood::Slow(pieces, pause) => (pieces, pause),
                _ => return stream.write_all(&body.as_bytes()[..body.len() / 2]).await.ok(),
            };
            for piece in body.as_bytes().chunks(body.len().div_ceil(pieces.max(1))) {
                sleep(pause).await;
                stream.write_all(piece).await.ok()?;
            }
            return Some(());
        }
        Mood::Divided(then) if turn % 2 == 0 => Some(then),
        Mood::Divided(_) | Mood::Plain => None,
    };
    if let Some(then) = behind {
        let body = format!("{then}\n");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        return stream.write_all([head, body].concat().as_bytes()).await.ok();
    }
    if !call.contains("watch=1") {
        let draft = draft(&lock(&state), Some(at), None);
        let body = draft.list().to_string();
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        return stream.write_all([head, body].concat().as_bytes()).await.ok();
    }
    let from = call.split("from=").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.ok()?;
    if lock(&state).mute {
        // Till the router gives up.
        let _ = stream.read_line(&mut line).await;
        return None;
    }
    let (mut told, mut first): (Option<u64>, bool) = (from, true);
    loop {
        let (text, version) = {
            let state = lock(&state);
            if state.undiscovered || state.sides.get(&at).is_some_and(|side| side.cut) {
                return None;
            }
            (draft(&state, Some(at), told), state.version)
        };
        if first || told != Some(version) {
            let text = text.list().to_string();
            let chunk = format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
            stream.write_all(chunk.as_bytes()).await.ok()?;
            (told, first) = (Some(version), false);
        }
        match timeout(Duration::from_secs(2), news.changed()).await {
            Ok(changed) => changed.ok()?,
            Err(_) if lock(&state).sides.get(&at).is_some_and(|side| side.cut) => return None,
            Err(_) => stream.write_all(b"1\r\n\n\r\n").await.ok()?,
        }
    }
}
