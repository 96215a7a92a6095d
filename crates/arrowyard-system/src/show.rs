//! What a control machine knows, as tables for whoever is on call. `GET /status` is asked; what it answers is read here,
//! without I/O.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use arrowyard_runtime::http::{HttpDecoder, format_request};
use sonic_rs::{JsonContainerTrait, JsonValueTrait, Value};

/// A machine that does not answer in so long is told as one that does not.
const PATIENCE: Duration = Duration::from_secs(2);
/// The longest answer that is read, in bytes: 35,000 hosts take about 4 MB.
const LONGEST: usize = 64 << 20;

/// What is shown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Members,
    Routers,
    Hosts,
    Duties,
    Shares,
}

impl std::str::FromStr for Part {
    type Err = String;

    fn from_str(word: &str) -> Result<Self, String> {
        match word {
            "members" => Ok(Part::Members),
            "routers" => Ok(Part::Routers),
            "hosts" => Ok(Part::Hosts),
            "duties" => Ok(Part::Duties),
            "shares" => Ok(Part::Shares),
            _ => Err(format!("{word} is none of members, routers, hosts, duties, shares")),
        }
    }
}

/// Asks a control machine what it knows.
///
/// # Errors
/// When it does not answer within two seconds, or something else does.
pub fn fetch(address: SocketAddr) -> Result<String, String> {
    let told = |fault: std::io::Error| format!("{address}: {fault}");
    let mut stream = TcpStream::connect_timeout(&address, PATIENCE).map_err(told)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(told)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(told)?;
    stream
        .write_all(format_request("GET", "/status", &address.to_string(), &[], "").as_bytes())
        .map_err(told)?;
    let (mut messages, mut bytes, mut length) = (HttpDecoder::default(), [0; 16 << 10], 0);
    loop {
        let count = stream.read(&mut bytes).map_err(told)?;
        length += count;
        if count == 0 || length > LONGEST {
            return Err(format!("{address}: its answer breaks off, or never ends"));
        }
        messages.put(&bytes[..count]);
        match messages.next_response() {
            Ok(None) => {}
            Ok(Some(response)) if response.status == 200 => {
                return String::from_utf8(response.body).map_err(|_| format!("{address}: no text came"));
            }
            Ok(Some(response)) => return Err(format!("{address}: it answers {}", response.status)),
            Err(_) => return Err(format!("{address}: what answers there is no control machine")),
        }
    }
}

/// Columns that are as wide as what stands in them.
fn table(head: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column)).map(String::len);
        cells.chain([head[column].len()]).max().unwrap_or_default()
    };
    let widths: Vec<usize> = (0..head.len()).map(width).collect();
    let line = |cells: Vec<&str>| {
        let cells = cells.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}"));
        format!("{}\n", cells.collect::<Vec<_>>().join("  ").trim_end())
    };
    let rows = rows.iter().map(|row| line(row.iter().map(String::as_str).collect()));
    std::iter::once(line(head.to_vec())).chain(rows).collect()
}

fn cell(of: &Value, name: &str) -> Result<String, String> {
    let value = of.get(name).ok_or_else(|| format!("{name} is missing"))?;
    let text = value.as_str().map(str::to_string);
    let number = || value.as_u64().map(|number| number.to_string());
    let flag = || value.as_bool().map(|flag| if flag { "yes" } else { "no" }.to_string());
    text.or_else(number).or_else(flag).ok_or_else(|| format!("{name} is neither text nor number"))
}

fn list<'a>(of: &'a Value, name: &str) -> Result<&'a [Value], String> {
    let array = of.get(name).and_then(|value| value.as_array());
    array.map(|array| array.as_slice()).ok_or_else(|| format!("{name} is no list"))
}

fn rows(of: &Value, name: &str, columns: &[&str]) -> Result<Vec<Vec<String>>, String> {
    let row = |item: &Value| columns.iter().map(|column| cell(item, column)).collect();
    list(of, name)?.iter().map(row).collect()
}

/// One part of what a control machine knows, as a table.
///
/// # Errors
/// When the text is no answer to `GET /status`, with the place.
pub fn shown(status: &str, part: Part) -> Result<String, String> {
    let status: Value =
        sonic_rs::from_str(status).map_err(|fault| format!("not the words of a control machine: {fault}"))?;
    match part {
        Part::Members => {
            let of = |name| {
                let words = list(&status, name)?.iter().map(|ip| ip.as_str().unwrap_or("?"));
                Ok::<_, String>(words.collect::<Vec<_>>().join(" "))
            };
            let mut rows = Vec::new();
            for name in ["node", "revision", "slot", "votes", "routers-all"] {
                rows.push(vec![name.to_string(), cell(&status, name)?]);
            }
            rows.push(vec!["voters".into(), of("voters")?]);
            rows.push(vec!["hears".into(), of("controls")?]);
            Ok(table(&["what", "value"], &rows))
        }
        Part::Routers => {
            // Whoever serves by an older version stands first.
            let newest = cell(&status, "revision")?;
            let mut rows = rows(&status, "routers", &["node", "revision"])?;
            rows.sort_by_key(|row| (row[1] == newest, row[0].clone()));
            let behind = rows.iter().filter(|row| row[1] != newest).count();
            let end = format!("{} fed here, {behind} not by revision {newest} yet\n", rows.len());
            Ok(table(&["router", "serves by"], &rows) + &end)
        }
        Part::Hosts => {
            let columns = ["service", "id", "db-role", "phase", "zone", "silent"];
            let mut rows = rows(&status, "hosts", &columns)?;
            rows.sort();
            Ok(table(&columns, &rows))
        }
        Part::Shares => {
            if status.get("divides").and_then(|divides| divides.as_bool()) != Some(true) {
                return Ok("another machine holds the duty, and divides; see: duties\n".to_string());
            }
            let columns = ["host", "service", "owed", "runs", "waits", "held", "pressed-ms"];
            let rows = rows(&status, "shares", &columns)?;
            if rows.is_empty() {
                return Ok("no host is pressed: every service has what it asks for\n".to_string());
            }
            Ok(table(&columns, &rows))
        }
        Part::Duties => {
            let duties =
                table(&["duty", "holder", "fence"], &rows(&status, "duties", &["duty", "node", "fence"])?);
            let changes = rows(&status, "promotions", &["service", "stage"])?;
            Ok(duties + "\n" + &table(&["service", "its primary"], &changes))
        }
    }
}
