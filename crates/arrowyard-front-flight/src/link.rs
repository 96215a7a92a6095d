//! One connection to a host that speaks Flight SQL: HTTP/2 with a stream a send, and the frames' word on each.

use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll, Waker, ready};

use arrowyard_core::Limits;
use arrowyard_core::count::UsageGuard;
use arrowyard_flight::frames::{Frames, Sent};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::client::{Builder, ResponseFuture, SendRequest};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Request};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::answer::{Large, Taken};

/// Bytes of a frame that a host may send: of the window, so that no stream waits for the whole of another's.
const FRAME: u32 = 64 * 1024;

/// What the frames of a connection have told, and who waits for it.
#[derive(Default)]
struct Seen {
    frames: Frames,
    waker: Option<Waker>,
    ended: bool,
}

type Shared = Rc<RefCell<Seen>>;

/// Shows the bytes that pass to `Frames`.
struct Watched {
    stream: TcpStream,
    seen: Shared,
}

impl AsyncRead for Watched {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let mut seen = self.seen.borrow_mut();
        seen.frames.back(&buf.filled()[before..]);
        if let Some(waker) = seen.waker.take() {
            waker.wake();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Watched {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.seen.borrow_mut().frames.out(&buf[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A connection that stands.
pub struct Line {
    dial: SocketAddr,
    opener: SendRequest<Bytes>,
    seen: Shared,
    streams: Rc<Cell<usize>>,
    idle_since: Cell<Instant>,
    task: AbortHandle,
}

impl Drop for Line {
    fn drop(&mut self) {
        // Streams that are open hold the line, so that none is cut off by this.
        self.task.abort();
    }
}

/// Why a connection did not come up, or a send broke.
#[derive(Debug)]
pub struct Broken(pub String);

impl<E: std::fmt::Display> From<E> for Broken {
    fn from(error: E) -> Self {
        Broken(error.to_string())
    }
}

impl Line {
    /// Dials the host, and waits till it has told its settings. Danger: a host that accepts and says nothing; a send
    /// over its connection would wait in vain and may have run.
    pub async fn open(
        dial: SocketAddr,
        count: UsageGuard,
        window: u32,
        limits: &Limits,
    ) -> Result<Line, Broken> {
        let opened = timeout(limits.connect_timeout, async {
            let stream = TcpStream::connect(dial).await?;
            stream.set_nodelay(true)?;
            let seen = Shared::default();
            let io = Watched { stream, seen: seen.clone() };
            let (opener, connection) = Builder::new()
                .enable_push(false)
                .initial_window_size(window)
                .initial_connection_window_size(window.saturating_mul(4).min(1 << 30))
                .max_frame_size(FRAME)
                .max_header_list_size(limits.max_http_head_bytes as u32)
                .max_concurrent_reset_streams(64)
                .handshake::<_, Bytes>(io)
                .await?;
            let (ended, kept) = (seen.clone(), count);
            let task = spawn_local(async move {
                let _kept = kept;
                if let Err(error) = connection.await {
                    tracing::debug!(%dial, "a connection ended: {error}");
                }
                let mut seen = ended.borrow_mut();
                seen.ended = true;
                if let Some(waker) = seen.waker.take() {
                    waker.wake();
                }
            });
            let (streams, idle_since) = (Rc::default(), Cell::new(Instant::now()));
            let line = Line { dial, opener, seen, streams, idle_since, task: task.abort_handle() };
            line.settled().await?;
            Ok(line)
        });
        opened.await.unwrap_or_else(|_| Err(Broken("no answer in time".to_string())))
    }

    async fn settled(&self) -> Result<(), Broken> {
        poll_fn(|cx| {
            let mut seen = self.seen.borrow_mut();
            if seen.frames.settled() {
                return Poll::Ready(Ok(()));
            }
            if seen.ended {
                return Poll::Ready(Err(Broken("the host ended the connection".to_string())));
            }
            seen.waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    pub fn dial(&self) -> SocketAddr {
        self.dial
    }

    pub fn streams(&self) -> usize {
        self.streams.get()
    }

    /// Since when no send has been out over it; it is busy as long as one is.
    pub fn idle_since(&self) -> Option<Instant> {
        (self.streams.get() == 0).then(|| self.idle_since.get())
    }

    /// Whether it takes new sends: it stands, and its host is not going away.
    pub fn is_open(&self) -> bool {
        let seen = self.seen.borrow();
        !seen.ended && !seen.frames.going()
    }

    /// Begins a call. Nothing was sent if this fails.
    pub async fn begin(self: &Rc<Self>, request: Request<()>) -> Result<Call, Broken> {
        let mut opener = self.opener.clone().ready().await?;
        let (response, body) = opener.send_request(request, false)?;
        let id = response.stream_id().as_u32();
        self.seen.borrow_mut().frames.watch(id);
        self.streams.set(self.streams.get() + 1);
        Ok(Call { line: self.clone(), id, response, body, queued: false })
    }
}

/// One stream of a connection, till it is dropped.
pub struct Call {
    line: Rc<Line>,
    id: u32,
    response: ResponseFuture,
    body: SendStream<Bytes>,
    /// The last byte was given to the connection.
    queued: bool,
}

impl Drop for Call {
    fn drop(&mut self) {
        self.line.seen.borrow_mut().frames.forget(self.id);
        self.line.streams.set(self.line.streams.get() - 1);
        self.line.idle_since.set(Instant::now());
    }
}

impl Call {
    /// Hands over the message, framed as gRPC does, as the host gives room for it. `queued` is called before the last
    /// of it goes to the connection: from then on the call may be wholly written at any time.
    pub async fn write(&mut self, message: &[u8], queued: impl FnOnce()) -> Result<(), Broken> {
        let mut framed = BytesMut::with_capacity(5 + message.len());
        framed.put_u8(0);
        framed.put_u32(message.len() as u32);
        framed.put_slice(message);
        let mut rest = framed.freeze();
        loop {
            self.body.reserve_capacity(rest.len());
            let room = poll_fn(|cx| self.body.poll_capacity(cx)).await;
            let room = room.ok_or_else(|| Broken("the stream was reset".to_string()))??;
            let now = rest.split_to(room.min(rest.len()));
            if rest.is_empty() {
                queued();
                self.queued = true;
                return Ok(self.body.send_data(now, true)?);
            }
            self.body.send_data(now, false)?;
        }
    }

    /// The heads of the answer, and what follows.
    pub async fn answer(&mut self) -> Result<(HeaderMap, Body), Broken> {
        let response = (&mut self.response).await?;
        if response.status() != http::StatusCode::OK {
            return Err(Broken(format!("HTTP status {}", response.status())));
        }
        let (head, stream) = response.into_parts();
        Ok((head.headers, Body { stream, came: BytesMut::new(), room: None }))
    }

    /// What is proven of a call that broke: whether it never ran. Danger: while its connection stands, what was given
    /// to it may still go out, whatever the frames show so far.
    pub fn never_ran(&self) -> bool {
        let seen = self.line.seen.borrow();
        match seen.frames.sent(self.id) {
            Sent::Refused => true,
            Sent::InPart => seen.ended || !self.queued,
            Sent::Wholly => false,
        }
    }
}

/// The messages of an answer.
pub struct Body {
    stream: RecvStream,
    came: BytesMut,
    /// Of the message under way, if it is large.
    room: Option<Taken>,
}

/// What comes next of an answer.
#[derive(Debug)]
pub enum Next {
    /// With the room that it takes, if it is large.
    Message(Bytes, Option<Taken>),
    /// The end, with what stands there.
    End(HeaderMap),
}

impl Body {
    /// The next message, of `most` bytes; one of more than `small` takes its room first, and `waits` hears of it while
    /// it is waited for. The host may send as much more as was taken.
    pub async fn next(
        &mut self,
        most: usize,
        (small, large): (usize, &Arc<Large>),
        waits: impl Fn(bool),
    ) -> Result<Next, Broken> {
        loop {
            if let Some(length) = self.promised(most)? {
                if length > small && self.room.is_none() {
                    waits(true);
                    let room = large.take(length).await;
                    waits(false);
                    self.room = Some(room.ok_or_else(|| Broken("no room for a large message".to_string()))?);
                }
                if self.came.len() >= 5 + length {
                    self.came.advance(5);
                    return Ok(Next::Message(self.came.split_to(length).freeze(), self.room.take()));
                }
                self.came.reserve(5 + length - self.came.len());
            }
            match self.stream.data().await {
                Some(data) => {
                    let data = data?;
                    self.stream.flow_control().release_capacity(data.len())?;
                    self.came.extend_from_slice(&data);
                }
                None if !self.came.is_empty() => {
                    return Err(Broken("a message without its end".to_string()));
                }
                None => {
                    let trailers = self.stream.trailers().await?;
                    return Ok(Next::End(trailers.unwrap_or_default()));
                }
            }
        }
    }

    /// The length of the message that comes, once its head is there. Danger: it is what the host says; memory is taken
    /// for it only within the bound.
    fn promised(&self, most: usize) -> Result<Option<usize>, Broken> {
        let Some(&[packed, a, b, c, d]) = self.came.get(..5) else { return Ok(None) };
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        if packed != 0 || length > most {
            return Err(Broken("a message that is packed or too long".to_string()));
        }
        Ok(Some(length))
    }
}
