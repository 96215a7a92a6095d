//! Discovery's side: a watch that stands, whole lists on wish, and word of each failure.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::{JoinHandle, spawn_local};
use tokio::time::{Instant, timeout_at};

use crate::back::Back;
use crate::http;
use crate::limits::Limits;
use crate::list::List;
use crate::mail::{Mail, News, Wish};

pub struct Discovery<B: Back> {
    pub dial: SocketAddr,
    /// The version of the last list.
    pub version: Rc<Cell<Option<i64>>>,
    pub mail: mpsc::Sender<Mail<B>>,
    pub limits: Rc<Limits>,
}

impl<B: Back> Clone for Discovery<B> {
    fn clone(&self) -> Self {
        let Discovery { dial, version, mail, limits } = self;
        Discovery { dial: *dial, version: version.clone(), mail: mail.clone(), limits: limits.clone() }
    }
}

impl<B: Back> Discovery<B> {
    pub async fn run(mut self, mut wishes: mpsc::Receiver<Wish>) {
        let mut watch: Option<JoinHandle<()>> = None;
        while let Some(wish) = wishes.recv().await {
            match wish {
                Wish::Watch(true) if watch.as_ref().is_some_and(|watch| !watch.is_finished()) => {}
                Wish::Watch(true) => watch = Some(spawn_local(self.clone().call(true))),
                Wish::Watch(false) => watch.take().into_iter().for_each(|watch| watch.abort()),
                Wish::Move(dial) if dial == self.dial => {}
                // Danger: the old address stays open for a while and then leaves the router without news. So the
                // watch moves at once, and goes on after the last version.
                Wish::Move(dial) => {
                    self.dial = dial;
                    if let Some(old) = watch.take() {
                        old.abort();
                        watch = Some(spawn_local(self.clone().call(true)));
                    }
                }
                Wish::Fetch => drop(spawn_local(self.clone().call(false))),
            }
        }
    }

    async fn call(self, watch: bool) {
        if let Err(why) = self.read(watch).await {
            let call = if watch { "watch" } else { "fetch" };
            tracing::warn!("{call} of the list failed: {why}");
            // The route stage is gone only when the router ends.
            let _ = self.mail.send(Mail::News(News::ListFailed)).await;
        }
    }

    /// Reads one answer; a watch's ends only by failing.
    async fn read(&self, watch: bool) -> Result<(), String> {
        let path = match self.version.get().filter(|_| watch) {
            Some(version) => format!("/catalog/members?watch=1&from={version}"),
            None if watch => "/catalog/members?watch=1".to_string(),
            None => "/catalog/members".to_string(),
        };
        let mut until = Instant::now() + self.limits.fetch;
        let silent = |_| "no answer in time".to_string();
        let failed = |e: std::io::Error| e.to_string();
        let mut stream =
            timeout_at(until, TcpStream::connect(self.dial)).await.map_err(silent)?.map_err(failed)?;
        stream.write_all(http::get(&path, &self.dial.to_string()).as_bytes()).await.map_err(failed)?;
        let (mut came, mut data, mut body) = (BytesMut::new(), BytesMut::new(), None);
        loop {
            came.reserve(self.limits.read);
            let read =
                timeout_at(until, stream.read_buf(&mut came)).await.map_err(silent)?.map_err(failed)?;
            if watch {
                until = Instant::now() + self.limits.silence;
            }
            if body.is_none() {
                let head = http::head(&mut came, self.limits.head)?;
                body = head.map(|head| if head.status == 200 { Ok(head.body) } else { Err(head.status) });
            }
            if let Some(body) = &mut body {
                let body = body.as_mut().map_err(|status| format!("status {status}"))?;
                body.take(&mut came, &mut data, self.limits.head)?;
                while watch && let Some(line) = http::line(&mut data, self.limits.list)? {
                    if !line.trim_ascii().is_empty() {
                        self.tell(&line).await?;
                    }
                }
                if data.len() > self.limits.list {
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
        let list = List::parse(text)?;
        // Lists of different calls may overtake each other; an older one must not undo a newer one.
        if list.whole || self.version.get().is_none_or(|version| list.version >= version) {
            self.version.set(Some(list.version));
            let _ = self.mail.send(Mail::News(News::Listed(list))).await;
        }
        Ok(())
    }
}
