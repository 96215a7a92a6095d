//! Limits per client connection: the number of open calls, and the rate of calls that the client cancels
//! before they are answered.

use std::collections::HashMap;

use arrowyard_types::{TimeDelta, Timestamp};

/// Identifies a client connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// Whether a call may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallAdmission {
    Admitted,
    /// The connection has too many open calls; the call is rejected without running.
    TooManyOpen,
    /// The connection cancelled too many calls or is not registered; the call is rejected without running
    /// and the connection must be closed.
    CloseConnection,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    open_calls: usize,
    window_start: Timestamp,
    /// Calls cancelled in the current window.
    cancelled: u32,
    /// Calls cancelled in the window before it.
    previous_cancelled: u32,
    /// When a call last started or ended.
    last_used: Timestamp,
}

/// The open client connections with their calls.
#[derive(Debug)]
pub struct ClientConnections {
    /// Open calls per connection.
    max_calls: usize,
    max_connections: usize,
    /// Cancelled calls per connection and window.
    max_cancelled: u32,
    window: TimeDelta,
    idle_timeout: TimeDelta,
    connections: HashMap<ConnectionId, Connection>,
    next_id: u64,
}

impl ClientConnections {
    /// Creates an empty set with its limits; `max_calls` and `max_cancelled` apply per connection.
    pub fn new(
        max_connections: usize,
        max_calls: usize,
        max_cancelled: u32,
        window: TimeDelta,
        idle_timeout: TimeDelta,
    ) -> Self {
        ClientConnections {
            max_calls,
            max_connections,
            max_cancelled,
            window,
            idle_timeout,
            connections: HashMap::new(),
            next_id: 0,
        }
    }

    /// The number of open connections.
    pub fn count(&self) -> usize {
        self.connections.len()
    }

    /// Registers a new connection; `None` at the limit.
    pub fn register(&mut self, now: Timestamp) -> Option<ConnectionId> {
        if self.connections.len() >= self.max_connections {
            return None;
        }
        let id = ConnectionId(self.next_id);
        self.next_id += 1;
        self.connections.insert(
            id,
            Connection {
                open_calls: 0,
                window_start: now,
                cancelled: 0,
                previous_cancelled: 0,
                last_used: now,
            },
        );
        Some(id)
    }

    /// Removes a closed connection.
    pub fn remove(&mut self, id: ConnectionId) {
        self.connections.remove(&id);
    }

    /// The idle connections to close: those past the idle timeout or, if there are none and the limit on
    /// connections is reached, the longest idle one.
    pub fn idle_to_close(&self, now: Timestamp) -> Vec<ConnectionId> {
        let idle = || self.connections.iter().filter(|(_, connection)| connection.open_calls == 0);
        let mut expired: Vec<ConnectionId> = idle()
            .filter(|(_, connection)| now - connection.last_used >= self.idle_timeout)
            .map(|(id, _)| *id)
            .collect();
        if expired.is_empty() && self.connections.len() >= self.max_connections {
            expired.extend(
                idle().min_by_key(|(id, connection)| (connection.last_used, **id)).map(|(id, _)| *id),
            );
        }
        expired.sort_unstable();
        expired
    }

    /// Decides whether the connection may start a call, and counts it as open if so.
    pub fn begin_call(&mut self, now: Timestamp, id: ConnectionId) -> CallAdmission {
        let (max_cancelled, max_calls, window) = (self.max_cancelled, self.max_calls, self.window);
        let Some(connection) = self.connections.get_mut(&id) else { return CallAdmission::CloseConnection };
        connection.advance_window(now, window);
        connection.last_used = now;
        if connection.recently_cancelled(now, window) > max_cancelled {
            return CallAdmission::CloseConnection;
        }
        if connection.open_calls >= max_calls {
            return CallAdmission::TooManyOpen;
        }
        connection.open_calls += 1;
        CallAdmission::Admitted
    }

    /// Counts a call as ended; `cancelled` if the client cancelled it before it was answered. Returns whether
    /// to close the connection.
    pub fn end_call(&mut self, now: Timestamp, id: ConnectionId, cancelled: bool) -> bool {
        let (max_cancelled, window) = (self.max_cancelled, self.window);
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.advance_window(now, window);
        connection.last_used = now;
        connection.open_calls = connection.open_calls.saturating_sub(1);
        connection.cancelled += u32::from(cancelled);
        // Calls that are cancelled right after they start load the hosts, but do not reach the limit on open
        // calls.
        connection.recently_cancelled(now, window) > max_cancelled
    }
}

impl Connection {
    /// Starts a new window if the current one has ended.
    fn advance_window(&mut self, now: Timestamp, window: TimeDelta) {
        if now - self.window_start >= window {
            let follows_window = now - self.window_start < window * 2.0;
            (self.previous_cancelled, self.cancelled) = (if follows_window { self.cancelled } else { 0 }, 0);
            self.window_start = if follows_window { self.window_start + window } else { now };
        }
    }

    /// Estimates the calls cancelled in the last `window` before now, with the count of the previous window
    /// weighted by the part of it in that period.
    fn recently_cancelled(&self, now: Timestamp, window: TimeDelta) -> u32 {
        let elapsed = ((now - self.window_start) / window).clamp(0.0, 1.0);
        self.cancelled + (f64::from(self.previous_cancelled) * (1.0 - elapsed)) as u32
    }
}
