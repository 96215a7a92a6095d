//! The discovery client: a long-running watch of the host list, full lists on request, and a report of each
//! failure.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;

use arrowyard_startup::{CallPacer, ListDecision, ListVersionTracker};
use arrowyard_types::TimeDelta;
use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_blocking, spawn_local};
use tokio::time::{Instant, sleep, timeout_at};

use crate::clock::{Clock, duration};
use crate::host_list::HostList;
use crate::http;
use crate::limits::Limits;
use crate::messages::{DiscoveryCommand, DiscoveryEvent, RouteMessage};
use crate::transport::HostTransport;

/// Longer lists are parsed on a separate thread, so that ops are not delayed.
const MAX_INLINE_PARSE_BYTES: usize = 256 * 1024;

/// Paces calls when many routers reconnect, and rejects outdated lists.
pub struct ReconnectPolicy {
    /// Detects lists that are older than an accepted one.
    pub list_versions: ListVersionTracker,
    /// Spreads the calls of all routers over time.
    pub call_pacer: CallPacer,
    /// Whether a host list is in use.
    pub has_list: bool,
    pub clock: Clock,
}

impl ReconnectPolicy {
    /// The delay before the next call. A fetch is urgent, since a change is expected, unless calls fail.
    fn next_delay(&mut self, is_watch: bool) -> TimeDelta {
        let is_urgent = !is_watch && !self.call_pacer.is_failing();
        if is_urgent { TimeDelta::ZERO } else { self.call_pacer.next_wait(self.has_list) }
    }
}

/// The task of a call; dropping it aborts the call.
struct RunningCall(JoinHandle<()>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The task that calls discovery.
pub struct Discovery<T: HostTransport> {
    /// The address of discovery.
    pub address: SocketAddr,
    /// The version of the last accepted list.
    pub version: Rc<Cell<Option<i64>>>,
    /// Events for the route task.
    pub messages: mpsc::Sender<RouteMessage<T>>,
    pub limits: Rc<Limits>,
    /// Paces calls and checks list versions, if configured. The same policy is shared by all calls.
    pub reconnect: Option<Rc<RefCell<ReconnectPolicy>>>,
}

impl<T: HostTransport> Clone for Discovery<T> {
    fn clone(&self) -> Self {
        let Discovery { address, version, messages, limits, reconnect } = self;
        let (version, messages, reconnect) = (version.clone(), messages.clone(), reconnect.clone());
        Discovery { address: *address, version, messages, limits: limits.clone(), reconnect }
    }
}

impl<T: HostTransport> Discovery<T> {
    /// Handles commands until the channel is closed.
    pub async fn run(mut self, mut commands: mpsc::Receiver<DiscoveryCommand>) {
        let mut watch: Option<RunningCall> = None;
        while let Some(command) = commands.recv().await {
            match command {
                DiscoveryCommand::Watch(true)
                    if watch.as_ref().is_some_and(|watch| !watch.0.is_finished()) => {}
                DiscoveryCommand::Watch(true) => watch = Some(self.start_call(true, None)),
                DiscoveryCommand::Watch(false) => drop(watch.take()),
                DiscoveryCommand::SetAddress(address) if address == self.address => {}
                // The old address may stop sending updates, so the watch moves at once and continues after
                // the last version. With pacing, the old watch stays until the new call starts.
                DiscoveryCommand::SetAddress(address) => {
                    self.address = address;
                    self.reconnect
                        .iter()
                        .for_each(|policy| policy.borrow_mut().list_versions.address_changed());
                    if let Some(old_watch) = watch.take() {
                        watch = Some(self.start_call(true, Some(old_watch)));
                    }
                }
                DiscoveryCommand::Fetch => drop(spawn_local(self.clone().call(false, TimeDelta::ZERO, None))),
                DiscoveryCommand::SetRouterCount(routers) => {
                    self.reconnect
                        .iter()
                        .for_each(|policy| policy.borrow_mut().call_pacer.set_router_count(routers));
                }
            }
        }
    }

    /// Starts a call; with pacing, the old call stays until the new one begins after its delay.
    fn start_call(&self, is_watch: bool, old_call: Option<RunningCall>) -> RunningCall {
        let delay =
            self.reconnect.as_ref().map_or(TimeDelta::ZERO, |policy| policy.borrow_mut().next_delay(true));
        let old_call = old_call.filter(|_| delay > TimeDelta::ZERO);
        RunningCall(spawn_local(self.clone().call(is_watch, delay, old_call)))
    }

    /// Makes one call after its delay, and reports its failure.
    async fn call(self, is_watch: bool, delay: TimeDelta, old_call: Option<RunningCall>) {
        let delay = match &self.reconnect {
            Some(policy) if !is_watch => policy.borrow_mut().next_delay(false),
            _ => delay,
        };
        if delay > TimeDelta::ZERO {
            sleep(duration(delay)).await;
        }
        drop(old_call);
        if let Err(error) = self.fetch_list(is_watch).await {
            self.reconnect.iter().for_each(|policy| policy.borrow_mut().call_pacer.record_failure());
            let call_name = if is_watch { "watch" } else { "fetch" };
            tracing::warn!("{call_name} of the host list failed: {error}");
            // The route task ends only with the router.
            let _ = self.messages.send(RouteMessage::Discovery(DiscoveryEvent::Failed)).await;
        }
    }

    /// Fetches the list, or watches it. A watch returns only with an error.
    async fn fetch_list(&self, is_watch: bool) -> Result<(), String> {
        let path = match self.version.get().filter(|_| is_watch) {
            Some(version) => format!("/catalog/members?watch=1&from={version}"),
            None if is_watch => "/catalog/members?watch=1".to_string(),
            None => "/catalog/members".to_string(),
        };
        let mut deadline = Instant::now() + self.limits.list_fetch_timeout;
        let to_timeout_error = |_| "no response in time".to_string();
        let to_text = |e: std::io::Error| e.to_string();
        let mut stream = timeout_at(deadline, TcpStream::connect(self.address))
            .await
            .map_err(to_timeout_error)?
            .map_err(to_text)?;
        stream
            .write_all(http::get_request(&path, &self.address.to_string()).as_bytes())
            .await
            .map_err(to_text)?;
        let (mut received, mut body_bytes, mut body_or_status) = (BytesMut::new(), BytesMut::new(), None);
        loop {
            received.reserve(self.limits.read_chunk_bytes);
            let read_bytes = timeout_at(deadline, stream.read_buf(&mut received))
                .await
                .map_err(to_timeout_error)?
                .map_err(to_text)?;
            if is_watch {
                deadline = Instant::now() + self.limits.watch_idle_timeout;
            }
            if body_or_status.is_none() {
                let response_head = http::take_response_head(&mut received, self.limits.max_http_head_bytes)?;
                body_or_status = response_head
                    .map(|head| if head.status == 200 { Ok(head.body) } else { Err(head.status) });
            }
            if let Some(body_or_status) = &mut body_or_status {
                let body = body_or_status.as_mut().map_err(|status| format!("status {status}"))?;
                body.take(&mut received, &mut body_bytes, self.limits.max_http_head_bytes)?;
                while is_watch
                    && let Some(line) = http::take_line(&mut body_bytes, self.limits.max_list_line_bytes)?
                {
                    if !line.trim_ascii().is_empty() {
                        self.handle_list(&line).await?;
                    }
                }
                if body_bytes.len() > self.limits.max_list_line_bytes {
                    return Err("the list is too long".to_string());
                }
                if *body == http::Body::Complete || read_bytes == 0 {
                    return if is_watch {
                        Err("the watch ended".to_string())
                    } else {
                        self.handle_list(&body_bytes).await
                    };
                }
            }
            if read_bytes == 0 {
                return Err("the connection closed before the response was complete".to_string());
            }
        }
    }

    /// Parses a list and passes it to the route task, unless it is outdated.
    async fn handle_list(&self, text: &[u8]) -> Result<(), String> {
        // Parsing thousands of hosts on the core's thread would delay every op.
        let list = if text.len() > MAX_INLINE_PARSE_BYTES {
            let text = text.to_vec();
            spawn_blocking(move || HostList::parse(&text)).await.map_err(|e| e.to_string())??
        } else {
            HostList::parse(text)?
        };
        // Lists of different calls may arrive out of order; an older one must not replace a newer one.
        let accepted = match &self.reconnect {
            Some(policy) => self.evaluate_version(&mut policy.borrow_mut(), &list)?,
            None => list.is_full || self.version.get().is_none_or(|version| list.version >= version),
        };
        if accepted {
            self.version.set(Some(list.version));
            let _ = self.messages.send(RouteMessage::Discovery(DiscoveryEvent::List(list))).await;
        }
        Ok(())
    }

    /// Whether the list is to be applied, by its version; records the success of the call if it is.
    ///
    /// # Errors
    /// The list is older than the accepted one.
    fn evaluate_version(&self, policy: &mut ReconnectPolicy, list: &HostList) -> Result<bool, String> {
        let accepted_version = policy.list_versions.accepted_version().unwrap_or_default();
        match policy.list_versions.evaluate(policy.clock.now(), list.version, list.is_full) {
            ListDecision::Accept => {}
            ListDecision::Reset => {
                tracing::warn!(
                    held = accepted_version,
                    told = list.version,
                    "discovery restarted its list versions"
                )
            }
            // Treated as a failed call: another one may reach an up-to-date discovery server.
            ListDecision::Ignore => {
                return Err(format!("list {} is older than {accepted_version}; ignored", list.version));
            }
        }
        policy.call_pacer.record_success();
        policy.has_list = true;
        Ok(true)
    }
}
