//! `SHOW` queries to a running router and the tables that the commands print.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use comfy_table::{Table, presets};
use serde_json::Value;

const MAX_MESSAGE_BYTES: usize = 16 * 1024 * 1024;

/// A table without borders.
pub fn table(header: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(header.iter().copied());
    rows.for_each(|row| {
        table.add_row(row);
    });
    table
}

/// A JSON value as shown in a table.
pub fn value_text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// The given fields of each object in a JSON array, as text; empty if `list` is not an array.
pub fn rows(list: &Value, fields: &[&str]) -> Vec<Vec<String>> {
    let objects = list.as_array().map(Vec::as_slice).unwrap_or_default();
    objects.iter().map(|row| fields.iter().map(|field| value_text(&row[field])).collect()).collect()
}

/// Runs `SHOW <subject>` over the router's client protocol. The inner error says why the reply is
/// unusable.
///
/// # Errors
/// The connection fails or times out.
pub fn query_show(router: SocketAddr, subject: &str) -> std::io::Result<Result<String, String>> {
    let timeout = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&router, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    // Protocol version 3.0, then the connection parameters.
    let startup = b"\0\x03\0\0user\0operator\0database\0orders\0\0";
    stream.write_all(&(startup.len() as u32 + 4).to_be_bytes())?;
    stream.write_all(startup)?;
    let query = format!("SHOW {subject}\0");
    stream.write_all(b"Q")?;
    stream.write_all(&(query.len() as u32 + 4).to_be_bytes())?;
    stream.write_all(query.as_bytes())?;
    let mut ready_count = 0;
    loop {
        let mut header = [0; 5];
        stream.read_exact(&mut header)?;
        let length = u32::from_be_bytes([header[1], header[2], header[3], header[4]]) as usize;
        if !(4..=MAX_MESSAGE_BYTES).contains(&length) {
            return Ok(Err("the reply is malformed".to_string()));
        }
        let mut body = vec![0; length - 4];
        stream.read_exact(&mut body)?;
        match header[0] {
            // DataRow: the column's text follows the number of columns (2 bytes) and its length (4 bytes).
            b'D' => return Ok(Ok(String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned())),
            b'E' => {
                return Ok(Err(format!(
                    "no {subject} are configured, or the server is not an arrowyard router"
                )));
            }
            // The first ReadyForQuery ends the startup.
            b'Z' if ready_count > 0 => return Ok(Err("the reply is empty".to_string())),
            b'Z' => ready_count += 1,
            _ => {}
        }
    }
}
