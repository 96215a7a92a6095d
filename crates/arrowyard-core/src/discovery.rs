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
use crate::http;
use crate::limits::Limits;
use crate::list::HostList;
use crate::messages::{DiscoveryCommand, DiscoveryEvent, RouteMessage};
use crate::transport::HostTransport;

/// Longer lists are parsed on a separate thread, so that ops are not delayed.
const LONG_TEXT: usize = 256 * 1024;

/// Pacing of calls when many routers reconnect, and the check for outdated lists; if configured.
pub struct ReconnectPolicy {
    pub credence: ListVersionTracker,
    pub herd: CallPacer,
    /// Whether a list is in use.
    pub has_list: bool,
    pub clock: Clock,
}

impl ReconnectPolicy {
    /// The delay before the next call. A fetch while calls succeed is urgent, since a change is expected.
    fn wait(&mut self, first: bool) -> TimeDelta {
        let urgent = !first && !self.herd.is_failing();
        if urgent { TimeDelta::ZERO } else { self.herd.next_wait(self.has_list) }
    }
}

/// A running call, aborted when this is dropped.
struct RunningCall(JoinHandle<()>);

impl Drop for RunningCall {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The task that calls discovery.
pub struct Discovery<B: HostTransport> {
    pub address: SocketAddr,
    /// The version of the last list.
    pub version: Rc<Cell<Option<i64>>>,
    pub messages: mpsc::Sender<RouteMessage<B>>,
    pub limits: Rc<Limits>,
    pub reconnect: Option<Rc<RefCell<ReconnectPolicy>>>,
}

impl<B: HostTransport> Clone for Discovery<B> {
    fn clone(&self) -> Self {
        let Discovery { address, version, messages: mail, limits, reconnect: policy } = self;
        let (version, mail, policy) = (version.clone(), mail.clone(), policy.clone());
        Discovery { address: *address, version, messages: mail, limits: limits.clone(), reconnect: policy }
    }
}

impl<B: HostTransport> Discovery<B> {
    pub async fn run(mut self, mut commands: mpsc::Receiver<DiscoveryCommand>) {
        let mut watch: Option<RunningCall> = None;
        while let Some(command) = commands.recv().await {
            match command {
                DiscoveryCommand::Watch(true)
                    if watch.as_ref().is_some_and(|watch| !watch.0.is_finished()) => {}
                DiscoveryCommand::Watch(true) => watch = Some(self.start_call(true, None)),
                DiscoveryCommand::Watch(false) => drop(watch.take()),
                DiscoveryCommand::SetAddress(address) if address == self.address => {}
                // The old address may stop sending updates at any time. The watch moves at once and
                // continues after the last version; with pacing, the old watch stays until the new call
                // starts.
                DiscoveryCommand::SetAddress(address) => {
                    self.address = address;
                    self.reconnect.iter().for_each(|policy| policy.borrow_mut().credence.address_changed());
                    if let Some(old) = watch.take() {
                        watch = Some(self.start_call(true, Some(old)));
                    }
                }
                DiscoveryCommand::Fetch => drop(spawn_local(self.clone().call(false, TimeDelta::ZERO, None))),
                DiscoveryCommand::SetRouterCount(routers) => {
                    self.reconnect
                        .iter()
                        .for_each(|policy| policy.borrow_mut().herd.set_router_count(routers));
                }
            }
        }
    }

    /// Starts a watch that replaces the old one when its call begins.
    fn start_call(&self, watch: bool, old: Option<RunningCall>) -> RunningCall {
        let wait = self.reconnect.as_ref().map_or(TimeDelta::ZERO, |policy| policy.borrow_mut().wait(true));
        let old = old.filter(|_| wait > TimeDelta::ZERO);
        RunningCall(spawn_local(self.clone().call(watch, wait, old)))
    }

    async fn call(self, watch: bool, wait: TimeDelta, old: Option<RunningCall>) {
        let wait = match &self.reconnect {
            Some(policy) if !watch => policy.borrow_mut().wait(false),
            _ => wait,
        };
        if wait > TimeDelta::ZERO {
            sleep(duration(wait)).await;
        }
        drop(old);
        if let Err(why) = self.read(watch).await {
            self.reconnect.iter().for_each(|policy| policy.borrow_mut().herd.record_failure());
            let call = if watch { "watch" } else { "fetch" };
            tracing::warn!("{call} of the list failed: {why}");
            // The route task ends only with the router.
            let _ = self.messages.send(RouteMessage::Discovery(DiscoveryEvent::Failed)).await;
        }
    }

    /// Performs one call. A watch returns only with an error.
    async fn read(&self, watch: bool) -> Result<(), String> {
        let path = match self.version.get().filter(|_| watch) {
            Some(version) => format!("/catalog/members?watch=1&from={version}"),
            None if watch => "/catalog/members?watch=1".to_string(),
            None => "/catalog/members".to_string(),
        };
        let mut until = Instant::now() + self.limits.list_fetch_timeout;
        let timed_out = |_| "no answer in time".to_string();
        let failed = |e: std::io::Error| e.to_string();
        let mut stream =
            timeout_at(until, TcpStream::connect(self.address)).await.map_err(timed_out)?.map_err(failed)?;
        stream.write_all(http::get(&path, &self.address.to_string()).as_bytes()).await.map_err(failed)?;
        let (mut received, mut body_bytes, mut body) = (BytesMut::new(), BytesMut::new(), None);
        loop {
            received.reserve(self.limits.read_chunk_bytes);
            let read = timeout_at(until, stream.read_buf(&mut received))
                .await
                .map_err(timed_out)?
                .map_err(failed)?;
            if watch {
                until = Instant::now() + self.limits.watch_idle_timeout;
            }
            if body.is_none() {
                let head = http::head(&mut received, self.limits.max_http_head_bytes)?;
                body = head.map(|head| if head.status == 200 { Ok(head.body) } else { Err(head.status) });
            }
            if let Some(body) = &mut body {
                let body = body.as_mut().map_err(|status| format!("status {status}"))?;
                body.take(&mut received, &mut body_bytes, self.limits.max_http_head_bytes)?;
                while watch && let Some(line) = http::line(&mut body_bytes, self.limits.max_list_line_bytes)?
                {
                    if !line.trim_ascii().is_empty() {
                        self.handle_list(&line).await?;
                    }
                }
                if body_bytes.len() > self.limits.max_list_line_bytes {
                    return Err("the list is too long".to_string());
                }
                if *body == http::Body::Complete || read == 0 {
                    return if watch {
                        Err("the watch ended".to_string())
                    } else {
                        self.handle_list(&body_bytes).await
                    };
                }
            }
            if read == 0 {
                return Err("the answer broke off".to_string());
            }
        }
    }

    async fn handle_list(&self, text: &[u8]) -> Result<(), String> {
        // Parsing thousands of hosts on the core's thread would delay every op.
        let list = if text.len() > LONG_TEXT {
            let text = text.to_vec();
            spawn_blocking(move || HostList::parse(&text)).await.map_err(|e| e.to_string())??
        } else {
            HostList::parse(text)?
        };
        // Lists of different calls may arrive out of order; an older one must not replace a newer one.
        let accepted = match &self.reconnect {
            Some(policy) => self.is_accepted(&mut policy.borrow_mut(), &list)?,
            None => list.is_full || self.version.get().is_none_or(|version| list.version >= version),
        };
        if accepted {
            self.version.set(Some(list.version));
            let _ = self.messages.send(RouteMessage::Discovery(DiscoveryEvent::List(list))).await;
        }
        Ok(())
    }

    fn is_accepted(&self, policy: &mut ReconnectPolicy, list: &HostList) -> Result<bool, String> {
        let held = policy.credence.accepted_version().unwrap_or_default();
        match policy.credence.evaluate(policy.clock.now(), list.version, list.is_full) {
            ListDecision::Accept => {}
            ListDecision::Reset => {
                tracing::warn!(held, told = list.version, "discovery counts its lists anew")
            }
            // Treated as a failed call: another one may reach an up-to-date discovery server.
            ListDecision::Ignore => {
                return Err(format!("list {} is older than {held}, it is passed over", list.version));
            }
        }
        policy.herd.record_success();
        policy.has_list = true;
        Ok(true)
    }
}
