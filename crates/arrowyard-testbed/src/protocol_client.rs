//! A common interface of the clients of all protocols, so that one test can run with each of them.

use std::io;
use std::net::SocketAddr;

use crate::client::{Client, OpRequest, Reply};

/// A client that executes ops over one protocol.
pub trait ProtocolClient: Sized + Send + 'static {
    /// Connects to a router.
    ///
    /// # Errors
    /// The router cannot be reached or rejects the connection.
    fn connect(router: SocketAddr) -> impl Future<Output = io::Result<Self>> + Send;

    /// Executes an op and returns its reply.
    ///
    /// # Errors
    /// There was no reply, or more than one.
    fn execute(&mut self, request: &OpRequest<'_>) -> impl Future<Output = io::Result<Reply>> + Send;
}

impl ProtocolClient for Client {
    async fn connect(router: SocketAddr) -> io::Result<Self> {
        Client::connect(router).await
    }

    async fn execute(&mut self, request: &OpRequest<'_>) -> io::Result<Reply> {
        Client::execute(self, &request.statement()).await
    }
}

#[cfg(feature = "flight")]
impl ProtocolClient for crate::flight::FlightClient {
    async fn connect(router: SocketAddr) -> io::Result<Self> {
        crate::flight::FlightClient::connect(router).await
    }

    async fn execute(&mut self, request: &OpRequest<'_>) -> io::Result<Reply> {
        Ok(crate::flight::FlightClient::execute(self, request).await)
    }
}
