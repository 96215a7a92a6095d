//! Accepts and counts client connections, which the server of the gRPC library serves.

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
use arrowyard_flight::client_connections::ConnectionId;
use futures::stream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::sleep;
use tonic::transport::Server;
use tonic::transport::server::Connected;

use crate::front_end_state::NewConnection;
use crate::limits::FlightLimits;
use crate::service::FlightFrontEnd;

/// The client of a call.
#[derive(Clone, Copy, Debug)]
pub struct Peer {
    pub connection: ConnectionId,
    pub address: SocketAddr,
}

/// A client connection, whose reads fail once it has to be closed.
pub struct ClientSocket {
    stream: TcpStream,
    peer: Peer,
    close_request: oneshot::Receiver<()>,
    must_close: bool,
    /// Reports the end of the connection when it is dropped.
    _closed_sender: oneshot::Sender<()>,
}

impl ClientSocket {
    /// Whether the state task requested to close the connection.
    fn must_close(&mut self, cx: &mut Context<'_>) -> bool {
        if !self.must_close {
            self.must_close = Pin::new(&mut self.close_request).poll(cx).is_ready();
        }
        self.must_close
    }
}

impl AsyncRead for ClientSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.must_close(cx) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for ClientSocket {
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

impl Connected for ClientSocket {
    type ConnectInfo = Peer;

    fn connect_info(&self) -> Peer {
        self.peer
    }
}

/// Accepts client connections.
pub struct Acceptor {
    /// The number of client connections of all protocols.
    pub client_connections: Rc<Cell<usize>>,
    /// The channel to the state task, which assigns connection ids.
    pub new_connections: mpsc::Sender<NewConnection>,
    pub stage: watch::Receiver<Stage>,
    pub limits: Rc<Limits>,
}

impl Acceptor {
    /// Accepts connections until the router stops serving, and passes on those within the limit.
    pub async fn run(self, listener: TcpListener, accepted_sockets: mpsc::Sender<ClientSocket>) {
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
                    tracing::warn!("accepting a client connection failed: {error}");
                    sleep(self.limits.retry_pause).await;
                    continue;
                }
            };
            let (usage, (closed_sender, closed_receiver)) =
                (UsageGuard::one(&self.client_connections), oneshot::channel());
            let ((close_sender, close_request), (id_sender, assigned_id)) =
                (oneshot::channel(), oneshot::channel());
            if self
                .new_connections
                .send(NewConnection { usage, closed_receiver, close_sender, id_sender })
                .await
                .is_err()
            {
                return;
            }
            // At the limit on connections no id is assigned, and the connection is closed.
            let Ok(Some(connection)) = assigned_id.await else { continue };
            let peer = Peer { connection, address };
            let _ = stream.set_nodelay(true);
            let socket = ClientSocket {
                stream,
                peer,
                close_request,
                must_close: false,
                _closed_sender: closed_sender,
            };
            if accepted_sockets.send(socket).await.is_err() {
                return;
            }
        }
    }
}

/// Serves the accepted connections until the router stops serving and the open streams have ended.
///
/// # Errors
/// The server of the gRPC library failed.
pub async fn serve(
    front_end: FlightFrontEnd,
    limits: FlightLimits,
    mut stage: watch::Receiver<Stage>,
    accepted_sockets: mpsc::Receiver<ClientSocket>,
) -> Result<(), String> {
    let service = FlightServiceServer::new(front_end)
        .max_decoding_message_size(limits.max_client_message_bytes + 4096)
        .max_encoding_message_size(limits.max_host_message_bytes + 4096);
    let incoming = stream::unfold(accepted_sockets, |mut accepted_sockets| async {
        let socket = accepted_sockets.recv().await?;
        Some((Ok::<_, io::Error>(socket), accepted_sockets))
    });
    let closing = async move { drop(stage.wait_for(|&stage| stage == Stage::Closing).await) };
    Server::builder()
        .max_concurrent_streams(limits.max_calls as u32)
        .initial_stream_window_size(limits.window_bytes)
        .initial_connection_window_size(limits.window_bytes.saturating_mul(2))
        .http2_max_header_list_size(limits.max_metadata_bytes)
        // Streams that are reset right after they open do not reach the limit on open streams.
        .http2_max_pending_accept_reset_streams(Some(32))
        .http2_max_local_error_reset_streams(Some(256))
        .http2_keepalive_interval(Some(limits.idle_timeout / 4))
        .http2_keepalive_timeout(Some(limits.call_timeout))
        .max_connection_age(limits.max_connection_age)
        // Otherwise a client could keep a call open indefinitely by not sending its request.
        .timeout(limits.call_timeout)
        .add_service(service)
        .serve_with_incoming_shutdown(incoming, closing)
        .await
        .map_err(|error| error.to_string())
}
