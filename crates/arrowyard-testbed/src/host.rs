//! A simulated database host that implements the part of PostgreSQL's wire protocol (version 3) used by
//! routers.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::accept::accept;
use crate::cluster::{DRAIN_GRACE_MS, HostBehavior, MAX_RECORDED, Record, Shared, lock, unix_ms};

/// Maximum size of a message that the host reads.
const MAX_MESSAGE_BYTES: usize = 1 << 20;

/// Binds a listener, by default to a free port.
pub async fn bind(address: Option<SocketAddr>) -> TcpListener {
    let address = address.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
    // The address of a host that was just killed may still be in use.
    for _ in 0..200 {
        if let Ok(listener) = TcpListener::bind(address).await {
            return listener;
        }
        sleep(Duration::from_millis(5)).await;
    }
    panic!("cannot listen at {address}")
}

/// Accepts connections and serves them until the host is killed.
pub fn serve(state: Shared, name: String, listener: TcpListener) {
    let (shared, host_name) = (state.clone(), name.clone());
    let task = tokio::spawn(async move {
        loop {
            let stream = accept(&listener).await;
            let mut locked = lock(&state);
            let host = locked.hosts.get_mut(&name).expect("the host exists");
            let connection_number = host.accepted_connections;
            host.accepted_connections += 1;
            let (shared, host_name) = (state.clone(), name.clone());
            let task = tokio::spawn(async move {
                serve_connection(&shared, &host_name, connection_number, stream).await;
                if let Some(host) = lock(&shared)
                    .hosts
                    .get_mut(&host_name)
                    .filter(|host| host.closed_connections.len() < MAX_RECORDED)
                {
                    host.closed_connections.push(connection_number);
                }
            });
            host.tasks.retain(|task| !task.is_finished());
            host.tasks.push(task.abort_handle());
        }
    });
    lock(&shared).hosts.get_mut(&host_name).expect("the host exists").tasks.push(task.abort_handle());
}

/// Encodes a message: its type, its length and its body.
pub fn encode_message(type_byte: u8, body: &[u8]) -> Vec<u8> {
    [&[type_byte][..], &(body.len() as u32 + 4).to_be_bytes(), body].concat()
}

fn encode_parameter_status(name: &str, value: &str) -> Vec<u8> {
    encode_message(b'S', format!("{name}\0{value}\0").as_bytes())
}

fn encode_row_description() -> Vec<u8> {
    encode_message(b'T', &[b"\0\x01payload\0".as_slice(), &[0; 16], &[0, 1]].concat())
}

fn encode_data_row(value: &[u8]) -> Vec<u8> {
    encode_message(b'D', &[&[0, 1][..], &(value.len() as u32).to_be_bytes(), value].concat())
}

fn encode_command_complete() -> Vec<u8> {
    encode_message(b'C', b"SELECT 1\0")
}

fn encode_result(value: &[u8]) -> Vec<u8> {
    [encode_row_description(), encode_data_row(value), encode_command_complete()].concat()
}

fn encode_error_response(sqlstate: &str) -> Vec<u8> {
    encode_message(b'E', format!("SERROR\0C{sqlstate}\0Mno\0\0").as_bytes())
}

/// Reads a message; `None` if the connection is closed or the message is too long.
pub async fn read_message(stream: &mut TcpStream) -> Option<(u8, Vec<u8>)> {
    let mut header = [0; 5];
    stream.read_exact(&mut header).await.ok()?;
    let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
    let mut body = vec![0; length.checked_sub(4).filter(|&length| length <= MAX_MESSAGE_BYTES)?];
    stream.read_exact(&mut body).await.ok()?;
    Some((header[0], body))
}

/// The value of a field of the statement's comment.
pub(crate) fn comment_field<'a>(statement: &'a str, name: &str) -> Option<&'a str> {
    let comment = statement.split_once("/*")?.1.split_once("*/")?.0;
    comment.split(',').find_map(|field| field.trim().strip_prefix(name)?.strip_prefix('='))
}

/// One of a host's execution slots, released on drop, also when the command is aborted.
pub(crate) struct Slot(Shared, String);

impl Slot {
    pub(crate) fn acquire(state: &Shared, name: &str) -> Option<Slot> {
        let mut locked = lock(state);
        let host = locked.hosts.get_mut(name)?;
        if host.running_commands >= host.spec.slots {
            return None;
        }
        host.running_commands += 1;
        Some(Slot(state.clone(), name.to_string()))
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Ok(mut state) = self.0.lock()
            && let Some(host) = state.hosts.get_mut(&self.1)
        {
            host.running_commands = host.running_commands.saturating_sub(1);
        }
    }
}

/// Handles the startup and the statements of a connection until it is closed. The result only allows early
/// returns.
async fn serve_connection(
    state: &Shared,
    name: &str,
    connection_number: usize,
    mut stream: TcpStream,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut length = [0; 4];
    stream.read_exact(&mut length).await.ok()?;
    let length =
        (u32::from_be_bytes(length) as usize).checked_sub(4).filter(|&length| length <= MAX_MESSAGE_BYTES)?;
    stream.read_exact(&mut vec![0; length]).await.ok()?;
    let ready_for_query = encode_message(b'Z', b"I");
    stream.write_all(&[encode_message(b'R', &[0; 4]), ready_for_query.clone()].concat()).await.ok()?;
    loop {
        let (type_byte, body) = read_message(&mut stream).await?;
        if type_byte != b'Q' {
            return None;
        }
        let statement = String::from_utf8(body).ok()?;
        let statement = statement.trim_end_matches('\0');
        if statement == "SHOW stats" {
            let reply = encode_stats(state, name);
            stream.write_all(&[reply, ready_for_query.clone()].concat()).await.ok()?;
            continue;
        }
        if let Some(host) =
            lock(state).hosts.get_mut(name).filter(|host| host.received_statements.len() < MAX_RECORDED)
        {
            host.received_statements.push((connection_number, statement.to_string()));
        }
        let Some(reply) = handle_statement(state, name, statement, &mut stream).await else {
            let _ = stream.shutdown().await;
            return None;
        };
        stream.write_all(&[reply, ready_for_query.clone()].concat()).await.ok()?;
    }
}

fn encode_stats(state: &Shared, name: &str) -> Vec<u8> {
    let state = lock(state);
    let position = state.position(name, unix_ms());
    let primary = u8::from(state.hosts[name].spec.primary);
    encode_result(format!("x0={}.{:03},x1={primary}", position / 1000, position % 1000).as_bytes())
}

/// Handles a statement and returns the reply, or `None` if the connection is closed instead.
async fn handle_statement(
    state: &Shared,
    name: &str,
    statement: &str,
    stream: &mut TcpStream,
) -> Option<Vec<u8>> {
    let (behavior, service_time) = receive_command(state, name)?;
    match behavior {
        HostBehavior::RejectOverloaded => return Some(encode_error_response("53300")),
        HostBehavior::FailBeforeRun => return Some(encode_error_response("XX000")),
        HostBehavior::RejectReadOnly => return Some(encode_error_response("25006")),
        HostBehavior::DisconnectBeforeRun => return None,
        HostBehavior::Hang => {
            // Waits until the router closes the connection.
            let _ = stream.read(&mut [0]).await;
            return None;
        }
        _ => {}
    }
    let slot = wait_for_slot(state, name, stream).await?;
    let delay = if let HostBehavior::Slow(delay) = behavior { delay } else { Duration::ZERO };
    if !(service_time + delay).is_zero() {
        sleep(service_time + delay).await;
    }
    let (parameters, value) = execute_and_encode(state, name, statement);
    drop(slot);
    let Some(value) = value else { return Some(parameters) };
    match behavior {
        HostBehavior::DisconnectAfterRun => None,
        HostBehavior::ReplyGarbage => Some(b"\x01\x02noise that nobody can read".to_vec()),
        HostBehavior::ReplyTwice => Some(
            [
                parameters,
                encode_row_description(),
                encode_data_row(&value),
                encode_data_row(&value),
                encode_command_complete(),
            ]
            .concat(),
        ),
        HostBehavior::ReplyLarge(size) => Some([parameters, encode_result(&vec![b'x'; size])].concat()),
        HostBehavior::ReplyAndReject => {
            Some([parameters, encode_result(&value), encode_error_response("53300")].concat())
        }
        HostBehavior::ReplyAndDisconnect => {
            let _ = stream.write_all(&[parameters, encode_result(&value)].concat()).await;
            None
        }
        HostBehavior::ReadyBeforeReply => {
            stream.write_all(&encode_message(b'Z', b"I")).await.ok()?;
            sleep(Duration::from_millis(20)).await;
            Some([parameters, encode_result(&value)].concat())
        }
        _ => Some([parameters, encode_result(&value)].concat()),
    }
}

/// Waits for an execution slot; `None` if the client disconnects first, so that a waiting command does not
/// run.
async fn wait_for_slot(state: &Shared, name: &str, stream: &mut TcpStream) -> Option<Slot> {
    if let Some(slot) = Slot::acquire(state, name) {
        return Some(slot);
    }
    lock(state).hosts.get_mut(name)?.queued_commands += 1;
    let slot = loop {
        if let Some(slot) = Slot::acquire(state, name) {
            break Some(slot);
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
    host.queued_commands = host.queued_commands.saturating_sub(1);
    slot
}

/// Result of a statement.
pub(crate) struct CommandResult {
    pub is_primary: bool,
    /// The host's position after a read, the commit's position after a write.
    pub position: Option<i64>,
    /// `None` for a write at a replica, which does not run.
    pub value: Option<String>,
}

/// Counts a command that has arrived at the host. Returns how to handle it and its execution time.
pub(crate) fn receive_command(state: &Shared, name: &str) -> Option<(HostBehavior, Duration)> {
    let mut state = lock(state);
    *state.ledger.commands.entry(name.to_string()).or_default() += 1;
    let host = state.hosts.get_mut(name)?;
    host.received_commands += 1;
    host.late_commands +=
        u64::from(host.drain_started_ms.is_some_and(|start| unix_ms() > start + DRAIN_GRACE_MS));
    let must_reject = host.queued_commands >= host.spec.queue_capacity
        || host.health == "DRAINING" && host.behavior == HostBehavior::RejectOverloaded;
    Some((if must_reject { HostBehavior::RejectOverloaded } else { host.behavior }, host.spec.service_time))
}

/// Executes the statement on the group's records, as far as the host has applied them.
pub(crate) fn execute(state: &Shared, name: &str, statement: &str) -> CommandResult {
    let mut state = lock(state);
    let (now_ms, token_retention) = (unix_ms(), state.token_retention.as_millis() as i64);
    let position = state.position(name, now_ms);
    let (group, is_primary) = (state.hosts[name].spec.group, state.hosts[name].spec.primary);
    let session = statement.split('\'').nth(1).unwrap_or_default().to_string();
    let group = state.groups.get_mut(&group).expect("the host's group exists");
    if statement.contains("INSERT") {
        if !is_primary {
            return CommandResult { is_primary, position: None, value: None };
        }
        let token = comment_field(statement, "k");
        let write_id = token.or(comment_field(statement, "id")).unwrap_or_default().to_string();
        // A write without a token is applied each time it is received.
        let known_position = token
            .and_then(|_| group.tokens.get(&write_id))
            .filter(|(first_ms, _)| now_ms < first_ms + token_retention);
        let known_position = known_position.map(|(_, commit_position)| *commit_position);
        let commit_position = known_position.unwrap_or_else(|| {
            // Positions do not decrease. Writes of one millisecond share a position: with increasing ones,
            // a burst would get positions ahead of the clock, which routers ignore.
            let commit_position = group.records.last().map_or(now_ms, |last| now_ms.max(last.position));
            group.tokens.insert(write_id.clone(), (now_ms, commit_position));
            group.records.push(Record { position: commit_position, write_id: write_id.clone(), session });
            commit_position
        });
        if known_position.is_none() {
            state.ledger.applied.entry(write_id).or_default().push((name.to_string(), commit_position));
        }
        return CommandResult { is_primary, position: Some(commit_position), value: Some(name.to_string()) };
    }
    // The newest write of the session that the host has applied.
    let newest_record =
        group.records.iter().rev().find(|record| record.position <= position && record.session == session);
    let value = format!("{name} {}", newest_record.map_or("-", |record| &record.write_id));
    CommandResult { is_primary, position: Some(position), value: Some(value) }
}

/// Executes the statement. Returns the encoded parameters and the value; without a value, an error follows
/// the parameters.
fn execute_and_encode(state: &Shared, name: &str, statement: &str) -> (Vec<u8>, Option<Vec<u8>>) {
    let CommandResult { is_primary, position, value } = execute(state, name, statement);
    let mode = encode_parameter_status("mode", if is_primary { "read-write" } else { "read-only" });
    let Some(value) = value else { return ([mode, encode_error_response("25006")].concat(), None) };
    let position =
        position.map_or(Vec::new(), |position| encode_parameter_status("wal_time", &position.to_string()));
    ([mode, position].concat(), Some(value.into_bytes()))
}
