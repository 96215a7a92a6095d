//! Reads standings over Arrow Flight SQL with the client of the `arrow-flight` library:
//!
//!     cargo run -p arrowyard-flight-daemon --example standings -- 127.0.0.1:32010
//!
//! The argument is the address of a router; `docs/flight.md` describes how to start one. A busy reply is
//! retried once, after its retry delay.

use std::time::Duration;

use arrow_flight::error::FlightError;
use arrow_flight::sql::client::FlightSqlServiceClient;
use futures::TryStreamExt;
use tonic::Code;
use tonic::transport::{Channel, Endpoint};
use tonic_types::StatusExt;

async fn count_standings(client: &mut FlightSqlServiceClient<Channel>) -> Result<usize, FlightError> {
    let info = client.execute("SELECT payload FROM entries WHERE ref = 'ward-7'".to_string(), None).await?;
    let ticket = info.endpoint.into_iter().next().and_then(|endpoint| endpoint.ticket);
    let ticket = ticket.ok_or_else(|| FlightError::protocol("the flight info has no ticket"))?;
    let mut rows = 0;
    let mut batches = client.do_get(ticket).await?;
    while let Some(batch) = batches.try_next().await? {
        rows += batch.num_rows();
    }
    Ok(rows)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let router_address = std::env::args().nth(1).ok_or("usage: standings ROUTER_ADDRESS")?;
    let channel = Endpoint::from_shared(format!("http://{router_address}"))?.connect().await?;
    let mut client = FlightSqlServiceClient::new(channel);
    // Sets the op's fields for all calls; a routing comment in the statement could set them too.
    for (name, value) in [("op-type", "standings"), ("group", "7"), ("timeout-ms", "600")] {
        client.set_header(format!("arrowyard-{name}"), value);
    }
    let mut result = count_standings(&mut client).await;
    if let Err(FlightError::Tonic(status)) = &result
        && status.code() == Code::Unavailable
    {
        // The op did not run.
        let retry_after = status.get_details_retry_info().and_then(|info| info.retry_delay);
        tokio::time::sleep(retry_after.unwrap_or(Duration::from_millis(100))).await;
        result = count_standings(&mut client).await;
    }
    println!("{} rows", result?);
    Ok(())
}
