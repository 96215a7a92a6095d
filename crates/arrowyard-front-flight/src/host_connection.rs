//! An HTTP/2 connection to a host that speaks Flight SQL, with one stream per call and a frame tracker.

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
use arrowyard_flight::frames::{FrameTracker, RequestProgress};
use bytes::{Buf, BufMut, Bytes, BytesMut};
use h2::client::{Builder, ResponseFuture, SendRequest};
use h2::{RecvStream, SendStream};
use http::{HeaderMap, Request};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::{Instant, timeout};

use crate::response::{LargeMessageBudget, LargeMessagePermit};

/// The maximum size of a host's frame. It is a fraction of the window, so that the frames of concurrent streams
/// are interleaved.
const MAX_FRAME_BYTES: u32 = 64 * 1024;

/// The state of a connection, and the task that waits for a change of it.
#[derive(Default)]
struct ConnectionState {
    tracker: FrameTracker,
    waker: Option<Waker>,
    closed: bool,
}

type SharedState = Rc<RefCell<ConnectionState>>;

/// Passes the bytes of a socket to the frame tracker.
struct ObservedSocket {
    stream: TcpStream,
    state: SharedState,
}

impl AsyncRead for ObservedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let mut state = self.state.borrow_mut();
        state.tracker.on_received(&buf.filled()[filled_before..]);
        if let Some(waker) = state.waker.take() {
            waker.wake();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for ObservedSocket {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(cx, buf))?;
        self.state.borrow_mut().tracker.on_sent(&buf[..written]);
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// An established connection.
pub struct HostConnection {
    address: SocketAddr,
    sender: SendRequest<Bytes>,
    state: SharedState,
    open_streams: Rc<Cell<usize>>,
    idle_since: Cell<Instant>,
    task: AbortHandle,
}

impl Drop for HostConnection {
    fn drop(&mut self) {
        // No call is open, since each call holds a reference to the connection.
        self.task.abort();
    }
}

/// Why connecting or a call failed.
#[derive(Debug)]
pub struct ConnectionError(pub String);

impl<E: std::fmt::Display> From<E> for ConnectionError {
    fn from(error: E) -> Self {
        ConnectionError(error.to_string())
    }
}

impl HostConnection {
    /// Connects to the host and waits for its SETTINGS frame. Otherwise a call to a host that accepts
    /// connections but does not respond would time out as one that may have run.
    pub async fn connect(
        address: SocketAddr,
        usage: UsageGuard,
        window: u32,
        limits: &Limits,
    ) -> Result<HostConnection, ConnectionError> {
        let attempt = timeout(limits.connect_timeout, async {
            let stream = TcpStream::connect(address).await?;
            stream.set_nodelay(true)?;
            let state = SharedState::default();
            let io = ObservedSocket { stream, state: state.clone() };
            let (sender, driver) = Builder::new()
                .enable_push(false)
                .initial_window_size(window)
                .initial_connection_window_size(window.saturating_mul(4).min(1 << 30))
                .max_frame_size(MAX_FRAME_BYTES)
                .max_header_list_size(limits.max_http_head_bytes as u32)
                .max_concurrent_reset_streams(64)
                .handshake::<_, Bytes>(io)
                .await?;
            let (task_state, usage) = (state.clone(), usage);
            let task = spawn_local(async move {
                let _usage = usage;
                if let Err(error) = driver.await {
                    tracing::debug!(dial = %address, "the connection failed: {error}");
                }
                let mut state = task_state.borrow_mut();
                state.closed = true;
                if let Some(waker) = state.waker.take() {
                    waker.wake();
                }
            });
            let (open_streams, idle_since) = (Rc::default(), Cell::new(Instant::now()));
            let connection = HostConnection {
                address,
                sender,
                state,
                open_streams,
                idle_since,
                task: task.abort_handle(),
            };
            connection.wait_for_settings().await?;
            Ok(connection)
        });
        attempt.await.unwrap_or_else(|_| Err(ConnectionError("connect timeout".to_string())))
    }

    async fn wait_for_settings(&self) -> Result<(), ConnectionError> {
        poll_fn(|cx| {
            let mut state = self.state.borrow_mut();
            if state.tracker.settings_received() {
                return Poll::Ready(Ok(()));
            }
            if state.closed {
                return Poll::Ready(Err(ConnectionError("the host closed the connection".to_string())));
            }
            state.waker = Some(cx.waker().clone());
            Poll::Pending
        })
        .await
    }

    /// The address of the host.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The number of open calls, each of which takes one stream.
    pub fn open_streams(&self) -> usize {
        self.open_streams.get()
    }

    /// When the last call ended, or the connection was opened if there was none; `None` while a call is open.
    pub fn idle_since(&self) -> Option<Instant> {
        (self.open_streams.get() == 0).then(|| self.idle_since.get())
    }

    /// Whether it accepts new calls: it is open, and the host sent no GOAWAY.
    pub fn is_open(&self) -> bool {
        let state = self.state.borrow();
        !state.closed && !state.tracker.is_going_away()
    }

    /// Starts a call. If this fails, nothing was sent.
    pub async fn start_call(self: &Rc<Self>, request: Request<()>) -> Result<HostCall, ConnectionError> {
        let mut sender = self.sender.clone().ready().await?;
        let (response, request_body) = sender.send_request(request, false)?;
        let stream_id = response.stream_id().as_u32();
        self.state.borrow_mut().tracker.track(stream_id);
        self.open_streams.set(self.open_streams.get() + 1);
        Ok(HostCall { connection: self.clone(), stream_id, response, request_body, queued: false })
    }
}

/// A call, which takes one stream of the connection until it is dropped.
pub struct HostCall {
    connection: Rc<HostConnection>,
    stream_id: u32,
    response: ResponseFuture,
    request_body: SendStream<Bytes>,
    /// Whether the last byte was passed to the HTTP/2 connection.
    queued: bool,
}

impl Drop for HostCall {
    fn drop(&mut self) {
        self.connection.state.borrow_mut().tracker.untrack(self.stream_id);
        self.connection.open_streams.set(self.connection.open_streams.get() - 1);
        self.connection.idle_since.set(Instant::now());
    }
}

impl HostCall {
    /// Writes the message with its gRPC prefix, within the host's flow-control window. Calls `on_queued` before
    /// the last bytes are passed to the HTTP/2 connection, which may write them at any time from then on.
    pub async fn write(&mut self, message: &[u8], on_queued: impl FnOnce()) -> Result<(), ConnectionError> {
        let mut framed = BytesMut::with_capacity(5 + message.len());
        framed.put_u8(0);
        framed.put_u32(message.len() as u32);
        framed.put_slice(message);
        let mut remaining = framed.freeze();
        loop {
            self.request_body.reserve_capacity(remaining.len());
            let capacity = poll_fn(|cx| self.request_body.poll_capacity(cx)).await;
            let capacity = capacity.ok_or_else(|| ConnectionError("the stream was reset".to_string()))??;
            let chunk = remaining.split_to(capacity.min(remaining.len()));
            if remaining.is_empty() {
                on_queued();
                self.queued = true;
                return Ok(self.request_body.send_data(chunk, true)?);
            }
            self.request_body.send_data(chunk, false)?;
        }
    }

    /// Waits for the response headers and returns them with the body.
    pub async fn response(&mut self) -> Result<(HeaderMap, ResponseBody), ConnectionError> {
        let response = (&mut self.response).await?;
        if response.status() != http::StatusCode::OK {
            return Err(ConnectionError(format!("HTTP status {}", response.status())));
        }
        let (parts, stream) = response.into_parts();
        Ok((parts.headers, ResponseBody { stream, received: BytesMut::new(), permit: None }))
    }

    /// Whether a failed call provably did not run. An incomplete request is no proof while its last bytes are
    /// queued on an open connection, since they may still be written.
    pub fn did_not_run(&self) -> bool {
        let state = self.connection.state.borrow();
        match state.tracker.progress(self.stream_id) {
            RequestProgress::Refused => true,
            RequestProgress::Incomplete => state.closed || !self.queued,
            RequestProgress::Written => false,
        }
    }
}

/// The messages of a response.
pub struct ResponseBody {
    stream: RecvStream,
    received: BytesMut,
    /// The memory of the message being read, if it is large.
    permit: Option<LargeMessagePermit>,
}

/// A part of a response body.
#[derive(Debug)]
pub enum BodyItem {
    /// A message, with its memory if it is large.
    Message(Bytes, Option<LargeMessagePermit>),
    /// The end, with the trailers.
    End(HeaderMap),
}

impl ResponseBody {
    /// Reads the next message of up to `max_bytes`. For a message of more than `max_small_bytes`, first waits
    /// for its memory from `budget`, and calls `set_waiting` before and after the wait.
    pub async fn next(
        &mut self,
        max_bytes: usize,
        (max_small_bytes, budget): (usize, &Arc<LargeMessageBudget>),
        set_waiting: impl Fn(bool),
    ) -> Result<BodyItem, ConnectionError> {
        loop {
            if let Some(length) = self.message_length(max_bytes)? {
                if length > max_small_bytes && self.permit.is_none() {
                    set_waiting(true);
                    let permit = budget.acquire(length).await;
                    set_waiting(false);
                    self.permit =
                        Some(permit.ok_or_else(|| {
                            ConnectionError("a message exceeds the memory budget".to_string())
                        })?);
                }
                if self.received.len() >= 5 + length {
                    self.received.advance(5);
                    return Ok(BodyItem::Message(
                        self.received.split_to(length).freeze(),
                        self.permit.take(),
                    ));
                }
                self.received.reserve(5 + length - self.received.len());
            }
            match self.stream.data().await {
                Some(data) => {
                    let data = data?;
                    self.stream.flow_control().release_capacity(data.len())?;
                    self.received.extend_from_slice(&data);
                }
                None if !self.received.is_empty() => {
                    return Err(ConnectionError("a truncated message".to_string()));
                }
                None => {
                    let trailers = self.stream.trailers().await?;
                    return Ok(BodyItem::End(trailers.unwrap_or_default()));
                }
            }
        }
    }

    /// The length of the next message, once its prefix was received. Checked against the limit before memory
    /// is reserved.
    fn message_length(&self, max_bytes: usize) -> Result<Option<usize>, ConnectionError> {
        let Some(&[compressed, a, b, c, d]) = self.received.get(..5) else { return Ok(None) };
        let length = u32::from_be_bytes([a, b, c, d]) as usize;
        if compressed != 0 || length > max_bytes {
            return Err(ConnectionError("a message that is compressed or too long".to_string()));
        }
        Ok(Some(length))
    }
}
