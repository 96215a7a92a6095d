//! Accepts connections in listeners that must outlive failed `accept` calls.

use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Delay between a failed `accept` and the next one.
const RETRY_DELAY: Duration = Duration::from_millis(5);

/// Accepts the next connection. Retries after errors, since they are transient: the process has no free file
/// descriptor, or the client has disconnected already.
pub(crate) async fn accept(listener: &TcpListener) -> TcpStream {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => return stream,
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}
