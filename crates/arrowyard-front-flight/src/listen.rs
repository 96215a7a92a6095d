//! Clients' connections: accepted and counted here, spoken with by the library's server.

use std::cell::Cell;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

use arrow_flight::flight_service_server::FlightServiceServer;
use arrowyard_core::Limits;
use arrowyard_core::count::UsageGuard;
use arrowyard_core::drain::Stage;
use arrowyard_flight::conduct::LineId;
use futures::stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;
use tonic::transport::Server;
use tonic::transport::server::Connected;

use crate::clerk::Arrival;
use crate::limits::FlightLimits;
use crate::service::FlightFront;

/// Who calls.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    pub line: LineId,
    pub address: SocketAddr,
}

/// A client's connection, which ends when it is kicked.
pub struct Guarded {
    stream: TcpStream,
    peer: Peer,
    kicked: oneshot::Receiver<()>,
    is_kicked: bool,
    /// Tells by its drop that the connection has ended.
    _gone: oneshot::Sender<()>,
}

impl Guarded {
    fn is_kicked(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.is_kicked {
            self.is_kicked = Pin::new(&mut self.kicked).poll(cx).is_ready();
        }
        self.is_kicked
    }
}

impl AsyncRead for Guarded {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_kicked(cx) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Guarded {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl Connected for Guarded {
    type ConnectInfo = Peer;

    fn connect_info(&self) -> Peer {
        self.peer
    }
}

/// What accepts.
pub struct Door {
    pub clients: Rc<Cell<usize>>,
    pub arrivals: mpsc::Sender<Arrival>,
    pub stage: watch::Receiver<Stage>,
    pub limits: Rc<Limits>,
}

impl Door {
    /// Accepts until the router closes, and hands on what has a place.
    pub async fn run(self, listener: TcpListener, taken: mpsc::Sender<Guarded>) {
        let mut stage = self.stage.clone();
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                _ = stage.wait_for(|&stage| stage == Stage::Closing) => return,
            };
            let (stream, address) = match accepted {
                Ok(accepted) => accepted,
                Err(error) => {
                    tracing::warn!("a client could not be accepted: {error}");
                    sleep(self.limits.retry_pause).await;
                    continue;
                }
            };
            let (kept, (gone, told)) = (UsageGuard::one(&self.clients), oneshot::channel());
            let ((kick, kicked), (id, line)) = (oneshot::channel(), oneshot::channel());
            if self.arrivals.send(Arrival { kept, gone: told, kick, id }).await.is_err() {
                return;
            }
            // Without a place it is closed: nothing was asked yet, so that nothing is lost.
            let Ok(Some(line)) = line.await else { continue };
            let peer = Peer { line, address };
            let _ = stream.set_nodelay(true);
            let guarded = Guarded { stream, peer, kicked, is_kicked: false, _gone: gone };
            if taken.send(guarded).await.is_err() {
                return;
            }
        }
    }
}

/// Speaks with the connections that come, till the router closes; streams that are open then go on to their end.
///
/// # Errors
/// The library's server ended.
pub async fn serve(
    front: FlightFront,
    limits: FlightLimits,
    mut stage: watch::Receiver<Stage>,
    taken: mpsc::Receiver<Guarded>,
) -> Result<(), String> {
    let service = FlightServiceServer::new(front)
        .max_decoding_message_size(limits.asked + 4096)
        .max_encoding_message_size(limits.message + 4096);
    let incoming = stream::unfold(taken, |mut taken| async {
        let guarded = taken.recv().await?;
        Some((Ok::<_, io::Error>(guarded), taken))
    });
    let closing = async move { drop(stage.wait_for(|&stage| stage == Stage::Closing).await) };
    Server::builder()
        .max_concurrent_streams(limits.calls as u32)
        .initial_stream_window_size(limits.window)
        .initial_connection_window_size(limits.window.saturating_mul(2))
        .http2_max_header_list_size(limits.metadata)
        // Danger: streams opened and reset at once cost work that no limit on open ones counts.
        .http2_max_pending_accept_reset_streams(Some(32))
        .http2_max_local_error_reset_streams(Some(256))
        .http2_keepalive_interval(Some(limits.idle / 4))
        .http2_keepalive_timeout(Some(limits.first))
        .max_connection_age(limits.age)
        // Danger: a client that opens a call and never sends it, or never comes to its end.
        .timeout(limits.first)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, closing)
        .await
        .map_err(|error| error.to_string())
}
