//! Discovery's side: a watch that stands, whole lists on wish, and word of each failure.

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

/// A list of more bytes is read on a thread of its own, since ops wait meanwhile.
const LONG_TEXT: usize = 256 * 1024;

/// How a router asks that comes back among many, and what it believes; where the operator's file says so.
pub struct ReconnectPolicy {
    pub credence: ListVersionTracker,
    pub herd: CallPacer,
    /// A list is there that is used.
    pub has_list: bool,
    pub clock: Clock,
}

impl ReconnectPolicy {
    /// How long the next call waits. One that is asked for while calls succeed is urgent: somebody knows of news.
    fn wait(&mut self, first: bool) -> TimeDelta {
        let urgent = !first && !self.herd.is_failing();
        if urgent { TimeDelta::ZERO } else { self.herd.next_wait(self.has_list) }
    }
}

/// A call that ends with whoever holds this.
struct Standing(JoinHandle<()>);

impl Drop for Standing {
    fn drop(&mut self) {
        self.0.abort();
    }
}

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
        let Discovery { address: dial, version, messages: mail, limits, reconnect: manners } = self;
        let (version, mail, manners) = (version.clone(), mail.clone(), manners.clone());
        Discovery { address: *dial, version, messages: mail, limits: limits.clone(), reconnect: manners }
    }
}

impl<B: HostTransport> Discovery<B> {
    pub async fn run(mut self, mut wishes: mpsc::Receiver<DiscoveryCommand>) {
        let mut watch: Option<Standing> = None;
        while let Some(wish) = wishes.recv().await {
            match wish {
                DiscoveryCommand::Watch(true)
                    if watch.as_ref().is_some_and(|watch| !watch.0.is_finished()) => {}
                DiscoveryCommand::Watch(true) => watch = Some(self.begin(true, None)),
                DiscoveryCommand::Watch(false) => drop(watch.take()),
                DiscoveryCommand::SetAddress(dial) if dial == self.address => {}
                // Danger: the old address stays open for a while and then leaves the router without news. So the
                // watch moves at once, and goes on after the last version; where many move together, each at its moment,
                // and the old watch stands till then.
                DiscoveryCommand::SetAddress(dial) => {
                    self.address = dial;
                    self.reconnect.iter().for_each(|manners| manners.borrow_mut().credence.address_changed());
                    if let Some(old) = watch.take() {
                        watch = Some(self.begin(true, Some(old)));
                    }
                }
                DiscoveryCommand::Fetch => drop(spawn_local(self.clone().call(false, TimeDelta::ZERO, None))),
                DiscoveryCommand::SetRouterCount(routers) => {
                    self.reconnect
                        .iter()
                        .for_each(|manners| manners.borrow_mut().herd.set_router_count(routers));
                }
            }
        }
    }

    /// A call that stands, in place of the old one from its first moment on.
    fn begin(&self, watch: bool, old: Option<Standing>) -> Standing {
        let wait = self.reconnect.as_ref().map_or(TimeDelta::ZERO, |manners| manners.borrow_mut().wait(true));
        let old = old.filter(|_| wait > TimeDelta::ZERO);
        Standing(spawn_local(self.clone().call(watch, wait, old)))
    }

    async fn call(self, watch: bool, wait: TimeDelta, old: Option<Standing>) {
        let wait = match &self.reconnect {
            Some(manners) if !watch => manners.borrow_mut().wait(false),
            _ => wait,
        };
        if wait > TimeDelta::ZERO {
            sleep(duration(wait)).await;
        }
        drop(old);
        if let Err(why) = self.read(watch).await {
            self.reconnect.iter().for_each(|manners| manners.borrow_mut().herd.record_failure());
            let call = if watch { "watch" } else { "fetch" };
            tracing::warn!("{call} of the list failed: {why}");
            // The route stage is gone only when the router ends.
            let _ = self.messages.send(RouteMessage::Discovery(DiscoveryEvent::Failed)).await;
        }
    }

    /// Reads one answer; a watch's ends only by failing.
    async fn read(&self, watch: bool) -> Result<(), String> {
        let path = match self.version.get().filter(|_| watch) {
            Some(version) => format!("/catalog/members?watch=1&from={version}"),
            None if watch => "/catalog/members?watch=1".to_string(),
            None => "/catalog/members".to_string(),
        };
        let mut until = Instant::now() + self.limits.list_fetch_timeout;
        let silent = |_| "no answer in time".to_string();
        let failed = |e: std::io::Error| e.to_string();
        let mut stream =
            timeout_at(until, TcpStream::connect(self.address)).await.map_err(silent)?.map_err(failed)?;
        stream.write_all(http::get(&path, &self.address.to_string()).as_bytes()).await.map_err(failed)?;
        let (mut came, mut data, mut body) = (BytesMut::new(), BytesMut::new(), None);
        loop {
            came.reserve(self.limits.read_chunk_bytes);
            let read =
                timeout_at(until, stream.read_buf(&mut came)).await.map_err(silent)?.map_err(failed)?;
            if watch {
                until = Instant::now() + self.limits.watch_idle_timeout;
            }
            if body.is_none() {
                let head = http::head(&mut came, self.limits.max_http_head_bytes)?;
                body = head.map(|head| if head.status == 200 { Ok(head.body) } else { Err(head.status) });
            }
            if let Some(body) = &mut body {
                let body = body.as_mut().map_err(|status| format!("status {status}"))?;
                body.take(&mut came, &mut data, self.limits.max_http_head_bytes)?;
                while watch && let Some(line) = http::line(&mut data, self.limits.max_list_line_bytes)? {
                    if !line.trim_ascii().is_empty() {
                        self.tell(&line).await?;
                    }
                }
                if data.len() > self.limits.max_list_line_bytes {
                    return Err("the list is too long".to_string());
                }
                if *body == http::Body::Over || read == 0 {
                    return if watch { Err("the watch ended".to_string()) } else { self.tell(&data).await };
                }
            }
            if read == 0 {
                return Err("the answer broke off".to_string());
            }
        }
    }

    async fn tell(&self, text: &[u8]) -> Result<(), String> {
        // Danger: thousands of hosts are read on the one thread, and every op waits for it.
        let list = if text.len() > LONG_TEXT {
            let text = text.to_vec();
            spawn_blocking(move || HostList::parse(&text)).await.map_err(|e| e.to_string())??
        } else {
            HostList::parse(text)?
        };
        // Lists of different calls may overtake each other; an older one must not undo a newer one.
        let taken = match &self.reconnect {
            Some(manners) => self.believed(&mut manners.borrow_mut(), &list)?,
            None => list.is_full || self.version.get().is_none_or(|version| list.version >= version),
        };
        if taken {
            self.version.set(Some(list.version));
            let _ = self.messages.send(RouteMessage::Discovery(DiscoveryEvent::List(list))).await;
        }
        Ok(())
    }

    fn believed(&self, manners: &mut ReconnectPolicy, list: &HostList) -> Result<bool, String> {
        let held = manners.credence.accepted_version().unwrap_or_default();
        match manners.credence.evaluate(manners.clock.now(), list.version, list.is_full) {
            ListDecision::Accept => {}
            ListDecision::Reset => {
                tracing::warn!(held, told = list.version, "discovery counts its lists anew")
            }
            // The call has failed: another one may meet a discovery that is not behind.
            ListDecision::Ignore => {
                return Err(format!("list {} is older than {held}, it is passed over", list.version));
            }
        }
        manners.herd.record_success();
        manners.has_list = true;
        Ok(true)
    }
}
