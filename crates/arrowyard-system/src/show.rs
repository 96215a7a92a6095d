//! Renders the `GET /status` response of a control machine as tables.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use arrowyard_runtime::http::{HttpDecoder, format_request};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

/// Timeout of connecting, of each read and of each write.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum length of the response in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A view of the status.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum View {
    Members,
    Routers,
    Hosts,
    Duties,
    Shares,
}

impl std::str::FromStr for View {
    type Err = String;

    fn from_str(name: &str) -> Result<Self, String> {
        match name {
            "members" => Ok(View::Members),
            "routers" => Ok(View::Routers),
            "hosts" => Ok(View::Hosts),
            "duties" => Ok(View::Duties),
            "shares" => Ok(View::Shares),
            _ => Err(format!("{name} is not one of members, routers, hosts, duties, shares")),
        }
    }
}

/// Requests the status of a control machine.
///
/// # Errors
/// When the request times out or the response is invalid.
pub fn fetch(address: SocketAddr) -> Result<String, String> {
    let with_address = |error: std::io::Error| format!("{address}: {error}");
    let mut stream = TcpStream::connect_timeout(&address, RESPONSE_TIMEOUT).map_err(with_address)?;
    stream.set_read_timeout(Some(RESPONSE_TIMEOUT)).map_err(with_address)?;
    stream.set_write_timeout(Some(RESPONSE_TIMEOUT)).map_err(with_address)?;
    stream
        .write_all(format_request("GET", "/status", &address.to_string(), &[], "").as_bytes())
        .map_err(with_address)?;
    let (mut messages, mut bytes, mut length) = (HttpDecoder::default(), [0; 16 << 10], 0);
    loop {
        let count = stream.read(&mut bytes).map_err(with_address)?;
        length += count;
        if count == 0 || length > MAX_RESPONSE_BYTES {
            return Err(format!("{address}: incomplete or oversized response"));
        }
        messages.put(&bytes[..count]);
        match messages.next_response() {
            Ok(None) => {}
            Ok(Some(response)) if response.status == 200 => {
                return String::from_utf8(response.body)
                    .map_err(|_| format!("{address}: the response is not UTF-8"));
            }
            Ok(Some(response)) => {
                return Err(format!("{address}: responded with status {}", response.status));
            }
            Err(_) => return Err(format!("{address}: not a control machine, the response is malformed")),
        }
    }
}

/// Formats a table with columns as wide as their longest cell.
fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain([header[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..header.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        format!("{}\n", cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    let rows = rows.iter().map(|row| line(row.iter().map(String::as_str).collect()));
    std::iter::once(line(header.to_vec())).chain(rows).collect()
}

fn format_cell(object: &Value, name: &str) -> Result<String, String> {
    let value = object.get(name).ok_or_else(|| format!("{name} is missing"))?;
    let text = value.as_str().map(str::to_string);
    let number = || value.as_u64().map(|number| number.to_string());
    let flag = || value.as_bool().map(|value| if value { "yes" } else { "no" }.to_string());
    text.or_else(number).or_else(flag).ok_or_else(|| format!("{name} is neither a string nor a number"))
}

fn list<'a>(object: &'a Value, name: &str) -> Result<&'a [Value], String> {
    let array = object.get(name).and_then(|value| value.as_array());
    array.map(|array| array.as_slice()).ok_or_else(|| format!("{name} is not a list"))
}

fn parse_rows(object: &Value, name: &str, columns: &[&str]) -> Result<Vec<Vec<String>>, String> {
    let row = |item: &Value| columns.iter().map(|column| format_cell(item, column)).collect();
    list(object, name)?.iter().map(row).collect()
}

/// Renders one view of the status as a table.
///
/// # Errors
/// When the status is not valid, with the field at fault.
pub fn render(status: &str, view: View) -> Result<String, String> {
    let status: Value =
        sonic_rs::from_str(status).map_err(|error| format!("not a status of a control machine: {error}"))?;
    match view {
        View::Members => {
            let addresses = |name| {
                let values = list(&status, name)?.iter().map(|ip| ip.as_str().unwrap_or("?"));
                Ok::<_, String>(values.collect::<Vec<_>>().join(" "))
            };
            let mut rows = Vec::new();
            for name in ["node", "revision", "slot", "votes", "routers-all"] {
                rows.push(vec![name.to_string(), format_cell(&status, name)?]);
            }
            rows.push(vec!["voters".into(), addresses("voters")?]);
            rows.push(vec!["hears".into(), addresses("controls")?]);
            Ok(table(&["what", "value"], &rows))
        }
        View::Routers => {
            // Routers with an older revision come first.
            let newest = format_cell(&status, "revision")?;
            let mut rows = parse_rows(&status, "routers", &["node", "revision"])?;
            rows.sort_by_key(|row| (row[1] == newest, row[0].clone()));
            let behind = rows.iter().filter(|row| row[1] != newest).count();
            let summary = format!("{} fed here, {behind} not by revision {newest} yet\n", rows.len());
            Ok(table(&["router", "serves by"], &rows) + &summary)
        }
        View::Hosts => {
            let columns = ["service", "id", "db-role", "phase", "zone", "silent"];
            let mut rows = parse_rows(&status, "hosts", &columns)?;
            rows.sort();
            Ok(table(&columns, &rows))
        }
        View::Shares => {
            if status.get("divides").and_then(|divides| divides.as_bool()) != Some(true) {
                return Ok("another machine holds the duty, and divides; see: duties\n".to_string());
            }
            let columns = ["host", "service", "owed", "runs", "waits", "held", "pressed-ms"];
            let rows = parse_rows(&status, "shares", &columns)?;
            if rows.is_empty() {
                return Ok("no host is pressed: every service has what it asks for\n".to_string());
            }
            Ok(table(&columns, &rows))
        }
        View::Duties => {
            let duties = table(
                &["duty", "holder", "fence"],
                &parse_rows(&status, "duties", &["duty", "node", "fence"])?,
            );
            let promotions = parse_rows(&status, "promotions", &["service", "stage"])?;
            Ok(duties + "\n" + &table(&["service", "its primary"], &promotions))
        }
    }
}
