//! What every client of the stand-ins can do, whatever protocol it speaks: one test plays them all.

use std::io;
use std::net::SocketAddr;

use crate::client::{Ask, Client, Reply};

pub trait Speaks: Sized + Send + 'static {
    /// # Errors
    /// The router cannot be reached, or turns the client away.
    fn connect(router: SocketAddr) -> impl Future<Output = io::Result<Self>> + Send;

    /// # Errors
    /// There was not exactly one answer.
    fn ask(&mut self, ask: &Ask<'_>) -> impl Future<Output = io::Result<Reply>> + Send;
}

impl Speaks for Client {
    async fn connect(router: SocketAddr) -> io::Result<Self> {
        Client::connect(router).await
    }

    async fn ask(&mut self, ask: &Ask<'_>) -> io::Result<Reply> {
        Client::ask(self, &ask.statement()).await
    }
}

#[cfg(feature = "flight")]
impl Speaks for crate::flight::FlightClient {
    async fn connect(router: SocketAddr) -> io::Result<Self> {
        crate::flight::FlightClient::connect(router).await
    }

    async fn ask(&mut self, ask: &Ask<'_>) -> io::Result<Reply> {
        Ok(crate::flight::FlightClient::ask(self, ask).await)
    }
}
