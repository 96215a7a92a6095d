//! One database host on version 3 of PostgreSQL's wire protocol, as far as a router needs it.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::town::{Act, GRACE_MS, KEPT, Record, Shared, lock, unix_ms};

/// Bytes of one message that it reads.
const MOST: usize = 1 << 20;

pub async fn bind(address: Option<SocketAddr>) -> TcpListener {
    let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    // An address that was just given up may be taken for a moment.
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("{address} cannot be listened at")
}

/// Serves till it is killed.
pub fn serve(state: Shared, name: String, listener: TcpListener) {
    let (owner, host) = (state.clone(), name.clone());
    let task = tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let mut locked = lock(&state);
            let host = locked.hosts.get_mut(&name).expect("it is in the town");
            let number = host.accepted;
            host.accepted += 1;
            let (of, who) = (state.clone(), name.clone());
            let task = tokio::spawn(async move {
                talk(&of, &who, number, stream).await;
                if let Some(host) = lock(&of).hosts.get_mut(&who).filter(|host| host.ended.len() < KEPT) {
                    host.ended.push(number);
                }
            });
            host.tasks.retain(|task| !task.is_finished());
            host.tasks.push(task.abort_handle());
        }
    });
    lock(&owner).hosts.get_mut(&host).expect("it is in the town").tasks.push(task.abort_handle());
}

pub fn message(letter: u8, body: &[u8]) -> Vec<u8> {
    [&[letter][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

fn status(name: &str, value: &str) -> Vec<u8> {
    message(b'S', format!("{name}\0{value}\0").as_bytes())
}

fn columns() -> Vec<u8> {
    message(b'T', &[b"\0\x01payload\0".as_slice(), &[0; 16], &[0, 1]].concat())
}

fn data(value: &[u8]) -> Vec<u8> {
    message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat())
}

fn complete() -> Vec<u8> {
    message(b'C', b"SELECT 1\0")
}

fn row(value: &[u8]) -> Vec<u8> {
    [columns(), data(value), complete()].concat()
}

fn error(code: &str) -> Vec<u8> {
    message(b'E', format!("SERROR\0C{code}\0Mno\0\0").as_bytes())
}

pub async fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut head = [0; 5];
    stream.read_exact(&mut head).await.ok()?;
    let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
    let mut body = vec![0; length.checked_sub(4).filter(|&length| length <= MOST)?];
    stream.read_exact(&mut body).await.ok()?;
    Some((head[0], body))
}

/// A name of the statement's comment.
pub(crate) fn told<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let comment = text.split_once("/*")?.1.split_once("*/")?.0;
    comment.split(',').find_map(|part| part.trim().strip_prefix(name)?.strip_prefix('='))
}

/// A place among those that it works on; given back when it is dropped, by an aborted command too.
pub(crate) struct Place(Shared, String);

impl Place {
    pub(crate) fn take(state: &Shared, name: &str) -> Option<Place> {
        let mut locked = lock(state);
        let host = locked.hosts.get_mut(name)?;
        if host.busy >= host.spec.slots {
            return None;
        }
        host.busy += 1;
        Some(Place(state.clone(), name.to_string()))
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.lock()
            && let Some(host) = state.hosts.get_mut(&self.1)
        {
            host.busy = host.busy.saturating_sub(1);
        }
    }
}

async fn talk(state: &Shared, name: &str, number: usize, mut stream: TcpStream) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.ok()?;
    let length = (u32::from_be_bytes(length) as usize).checked_sub(4).filter(|&length| length <= MOST)?;
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    let ready = message(b'Z', b"I");
    stream.write_all(&[message(b'R', &[0; 4]), ready.clone()].concat()).await.ok()?;
    loop {
        let (letter, body) = read_message(&mut stream).await?;
        if letter != b'Q' {
            return None;
        }
        let text = String::from_utf8(body).ok()?;
        let text = text.trim_end_matches('\0');
        if text == "SHOW stats" {
            let answer = report(state, name);
            stream.write_all(&[answer, ready.clone()].concat()).await.ok()?;
            continue;
        }
        if let Some(host) = lock(state).hosts.get_mut(name).filter(|host| host.heard.len() < KEPT) {
            host.heard.push((number, text.to_string()));
        }
        let Some(answer) = command(state, name, text, &mut stream).await else {
            let _ = stream.shutdown().await;
            return None;
        };
        stream.write_all(&[answer, ready.clone()].concat()).await.ok()?;
    }
}

fn report(state: &Shared, name: &str) -> Vec<u8> {
    let state = lock(state);
    let position = state.position(name, unix_ms());
    let primary = u8::from(state.hosts[name].spec.primary);
    row(format!("x0={}.{:03},x1={primary}", position / 1000, position % 1000).as_bytes())
}

/// The answer to a statement; nothing where the connection ends instead.
async fn command(state: &Shared, name: &str, text: &str, stream: &mut TcpStream) -> Option<Vec<u8>> {
    let (act, service) = arrive(state, name)?;
    match act {
        Act::TurnAway => return Some(error("53300")),
        Act::Fail => return Some(error("XX000")),
        Act::Miss => return Some(error("25006")),
        Act::Break => return None,
        Act::Hang => {
            // Till the router gives up.
            let _ = stream.read(&mut [0]).await;
            return None;
        }
        _ => {}
    }
    let place = wait(state, name, stream).await?;
    let slow = if let Act::Slow(slow) = act { slow } else { Duration::ZERO };
    if !(service + slow).is_zero() {
        sleep(service + slow).await;
    }
    let (told, value) = apply(state, name, text);
    drop(place);
    let Some(value) = value else { return Some(told) };
    match act {
        Act::LoseAnswer => None,
        Act::Spoil => Some(b"\x01\x02noise that nobody can read".to_vec()),
        Act::ServeTwice => Some([told, columns(), data(&value), data(&value), complete()].concat()),
        Act::ServeLarge(size) => Some([told, row(&vec![b'x'; size])].concat()),
        Act::ServeAndDeny => Some([told, row(&value), error("53300")].concat()),
        Act::ServeAndBreak => {
            let _ = stream.write_all(&[told, row(&value)].concat()).await;
            None
        }
        Act::ReadyEarly => {
            stream.write_all(&message(b'Z', b"I")).await.ok()?;
            sleep(Duration::from_millis(20)).await;
            Some([told, row(&value)].concat())
        }
        _ => Some([told, row(&value)].concat()),
    }
}

/// A place to work on it; nothing if the client gave up meanwhile: what waits in the queue did not run.
async fn wait(state: &Shared, name: &str, stream: &mut TcpStream) -> Option<Place> {
    if let Some(place) = Place::take(state, name) {
        return Some(place);
    }
    lock(state).hosts.get_mut(name)?.waiting += 1;
    let place = loop {
        if let Some(place) = Place::take(state, name) {
            break Some(place);
        }
        let mut byte = [0];
        tokio::select! {
            () = sleep(Duration::from_millis(1)) => {}
            read = stream.peek(&mut byte) => if !matches!(read, Ok(1..)) {
                break None;
            },
        }
    };
    let mut locked = lock(state);
    let host = locked.hosts.get_mut(name)?;
    host.waiting = host.waiting.saturating_sub(1);
    place
}

/// What running a statement came to.
pub(crate) struct Ran {
    pub primary: bool,
    /// The host's position, or that of the commit.
    pub position: Option<i64>,
    /// Nothing where it never ran: a write at a replica.
    pub value: Option<String>,
}

/// A command has come to the host; what it is to do with it, and how long it takes.
pub(crate) fn arrive(state: &Shared, name: &str) -> Option<(Act, Duration)> {
    let mut state = lock(state);
    *state.ledger.commands.entry(name.to_string()).or_default() += 1;
    let host = state.hosts.get_mut(name)?;
    host.commands += 1;
    host.late += u64::from(host.drained_at.is_some_and(|at| unix_ms() > at + GRACE_MS));
    let full = host.waiting >= host.spec.queue || host.health == "DRAINING" && host.act == Act::TurnAway;
    Some((if full { Act::TurnAway } else { host.act }, host.spec.service))
}

/// Runs the statement on the group's state, as this host has it.
pub(crate) fn run(state: &Shared, name: &str, text: &str) -> Ran {
    let mut state = lock(state);
    let (now, memory) = (unix_ms(), state.memory.as_millis() as i64);
    let position = state.position(name, now);
    let (group, primary) = (state.hosts[name].spec.group, state.hosts[name].spec.primary);
    let session = text.split('\'').nth(1).unwrap_or_default().to_string();
    let of = state.groups.get_mut(&group).expect("each host has its group");
    if text.contains("INSERT") {
        if !primary {
            return Ran { primary, position: None, value: None };
        }
        let token = told(text, "k");
        let turn = token.or(told(text, "id")).unwrap_or_default().to_string();
        // What carries no token has its effect as often as it comes.
        let held = token.and_then(|_| of.tokens.get(&turn)).filter(|(first, _)| now < first + memory);
        let held = held.map(|(_, at)| *at);
        let commit = held.unwrap_or_else(|| {
            // Positions never go back. Writes of one millisecond share theirs: were each one more than the last, a burst
            // would run ahead of the clock, and routers leave such positions out.
            let commit = of.log.last().map_or(now, |last| now.max(last.position));
            of.tokens.insert(turn.clone(), (now, commit));
            of.log.push(Record { position: commit, turn: turn.clone(), session });
            commit
        });
        if held.is_none() {
            state.ledger.applied.entry(turn).or_default().push((name.to_string(), commit));
        }
        return Ran { primary, position: Some(commit), value: Some(name.to_string()) };
    }
    // The newest turn of the session that this host has applied.
    let seen = of.log.iter().rev().find(|record| record.position <= position && record.session == session);
    let value = format!("{name} {}", seen.map_or("-", |record| &record.turn));
    Ran { primary, position: Some(position), value: Some(value) }
}

/// What it tells of itself, and the value; without one an error stands with the rest.
fn apply(state: &Shared, name: &str, text: &str) -> (Vec<u8>, Option<Vec<u8>>) {
    let Ran { primary, position, value } = run(state, name, text);
    let mode = status("mode", if primary { "read-write" } else { "read-only" });
    let Some(value) = value else { return ([mode, error("25006")].concat(), None) };
    let position = position.map_or(Vec::new(), |position| status("wal_time", &position.to_string()));
    ([mode, position].concat(), Some(value.into_bytes()))
}
