//! A client of Arrow Flight SQL that uses the `arrow-flight` crate's client like an application.

use std::io;
use std::net::SocketAddr;

use arrow_array::cast::AsArray;
use arrow_array::{Array, RecordBatch};
use arrow_flight::error::FlightError;
use arrow_flight::sql::client::FlightSqlServiceClient;
use futures::TryStreamExt;
use tonic::Code;
use tonic::transport::{Channel, Endpoint};
use tonic_types::StatusExt;

use crate::client::{OpRequest, Reply};

/// A connection to a router over Flight SQL.
pub struct FlightClient {
    /// The client of the `arrow-flight` crate.
    pub inner: FlightSqlServiceClient<Channel>,
}

/// The reply that corresponds to a failed call.
#[must_use]
pub fn reply_from_error(error: &FlightError) -> Reply {
    let FlightError::Tonic(status) = error else { return Reply::Error(error.to_string()) };
    if status.code() == Code::Unavailable && status.message().starts_with("busy") {
        let retry_delay = status.get_details_retry_info().and_then(|info| info.retry_delay);
        return Reply::Busy(retry_delay.map(|delay| delay.as_millis() as u64));
    }
    Reply::Error(format!("{:?} {}", status.code(), status.message()))
}

impl FlightClient {
    /// # Errors
    /// The router cannot be reached.
    pub async fn connect(router: SocketAddr) -> io::Result<FlightClient> {
        let endpoint = Endpoint::from_shared(format!("http://{router}")).map_err(io::Error::other)?;
        let channel = endpoint.connect().await.map_err(io::Error::other)?;
        Ok(FlightClient { inner: FlightSqlServiceClient::new(channel) })
    }

    /// Connects with a flow-control window of this many bytes.
    ///
    /// # Errors
    /// The router cannot be reached.
    pub async fn connect_with_window(router: SocketAddr, window_bytes: u32) -> io::Result<FlightClient> {
        let endpoint = Endpoint::from_shared(format!("http://{router}")).map_err(io::Error::other)?;
        let endpoint =
            endpoint.initial_stream_window_size(window_bytes).initial_connection_window_size(window_bytes);
        let channel = endpoint.connect().await.map_err(io::Error::other)?;
        Ok(FlightClient { inner: FlightSqlServiceClient::new(channel) })
    }

    /// Plans the statement and reads its result.
    ///
    /// # Errors
    /// A call failed.
    pub async fn query(&mut self, statement: &str) -> Result<Vec<RecordBatch>, FlightError> {
        let info = self.inner.execute(statement.to_string(), None).await?;
        let ticket = info.endpoint.into_iter().next().and_then(|endpoint| endpoint.ticket);
        let ticket = ticket.ok_or_else(|| FlightError::protocol("FlightInfo without a ticket"))?;
        self.inner.do_get(ticket).await?.try_collect().await
    }

    /// Executes an op. Returns the first value of a read, the row count of a write, or the failure.
    pub async fn execute(&mut self, request: &OpRequest<'_>) -> Reply {
        if request.is_write {
            return match self.inner.execute_update(request.statement(), None).await {
                Ok(count) => Reply::Value(count.to_string()),
                Err(error) => reply_from_error(&error),
            };
        }
        match self.query(&request.statement()).await {
            Ok(batches) => Reply::Value(first_value(&batches)),
            Err(error) => reply_from_error(&error),
        }
    }
}

/// The first value of a result with one binary column, as text.
#[must_use]
pub fn first_value(batches: &[RecordBatch]) -> String {
    let column = batches.iter().find(|batch| batch.num_rows() > 0).map(|batch| batch.column(0));
    let value = column.and_then(|column| column.as_binary_opt::<i32>()).filter(|column| !column.is_null(0));
    value.map_or(String::new(), |column| String::from_utf8_lossy(column.value(0)).into_owned())
}
