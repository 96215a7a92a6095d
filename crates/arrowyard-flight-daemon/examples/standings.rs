//! A program that reads standings over Arrow Flight SQL, with the library's ready-made client as it is:
//!
//!     cargo run -p arrowyard-flight-daemon --example standings -- 127.0.0.1:32010
//!
//! A router is at that address, as `docs/flight.md` starts one. A busy reply says when to come back; this comes back once.

use std::time::Duration;

use arrow_flight::error::FlightError;
use arrow_flight::sql::client::FlightSqlServiceClient;
use futures::TryStreamExt;
use tonic::Code;
use tonic::transport::{Channel, Endpoint};
use tonic_types::StatusExt;

async fn standings(client: &mut FlightSqlServiceClient<Channel>) -> Result<usize, FlightError> {
    let info = client.execute("SELECT payload FROM entries WHERE ref = 'ward-7'".to_string(), None).await?;
    let ticket = info.endpoint.into_iter().next().and_then(|endpoint| endpoint.ticket);
    let ticket = ticket.ok_or_else(|| FlightError::protocol("a plan without a ticket"))?;
    let mut rows = 0;
    let mut batches = client.do_get(ticket).await?;
    while let Some(batch) = batches.try_next().await? {
        rows += batch.num_rows();
    }
    Ok(rows)
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let router = std::env::args().nth(1).ok_or("the router's address has to be given")?;
    let channel = Endpoint::from_shared(format!("http://{router}"))?.connect().await?;
    let mut client = FlightSqlServiceClient::new(channel);
    // What every call says of its op; a statement's own comment could say it as well.
    for (name, value) in [("op-type", "standings"), ("group", "7"), ("timeout-ms", "600")] {
        client.set_header(format!("arrowyard-{name}"), value);
    }
    let mut told = standings(&mut client).await;
    if let Err(FlightError::Tonic(status)) = &told
        && status.code() == Code::Unavailable
    {
        // Nothing of it ran.
        let after = status.get_details_retry_info().and_then(|info| info.retry_delay);
        tokio::time::sleep(after.unwrap_or(Duration::from_millis(100))).await;
        told = standings(&mut client).await;
    }
    println!("{} rows", told?);
    Ok(())
}
