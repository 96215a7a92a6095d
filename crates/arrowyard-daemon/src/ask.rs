//! What commands share that ask a running router and print tables.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use comfy_table::{Table, presets};
use serde_json::Value;

/// Bytes of a router's report at most.
const MOST: usize = 16 * 1024 * 1024;

pub fn table(heads: &[&str], rows: impl Iterator<Item = Vec<String>>) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(heads.iter().copied());
    rows.for_each(|row| {
        table.add_row(row);
    });
    table
}

/// A value as a table shows it.
pub fn text(value: &Value) -> String {
    match value {
        Value::Null => "-".to_string(),
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// These fields of each row of a list.
pub fn rows(list: &Value, fields: &[&str]) -> Vec<Vec<String>> {
    let all = list.as_array().map(Vec::as_slice).unwrap_or_default();
    all.iter().map(|row| fields.iter().map(|field| text(&row[field])).collect()).collect()
}

/// Asks a router by its clients' protocol.
pub fn ask(router: SocketAddr, what: &str) -> std::io::Result<Result<String, String>> {
    let within = Duration::from_secs(5);
    let mut stream = TcpStream::connect_timeout(&router, within)?;
    stream.set_read_timeout(Some(within))?;
    let startup = b"\0\x03\0\0user\0operator\0database\0orders\0\0";
    stream.write_all(&(startup.len() as u32 + 4).to_be_bytes())?;
    stream.write_all(startup)?;
    let query = format!("SHOW {what}\0");
    stream.write_all(b"Q")?;
    stream.write_all(&(query.len() as u32 + 4).to_be_bytes())?;
    stream.write_all(query.as_bytes())?;
    let mut ready = 0;
    loop {
        let mut head = [0; 5];
        stream.read_exact(&mut head)?;
        let length = u32::from_be_bytes([head[1], head[2], head[3], head[4]]) as usize;
        if !(4..=MOST).contains(&length) {
            return Ok(Err("what it answers is no answer".to_string()));
        }
        let mut body = vec![0; length - 4];
        stream.read_exact(&mut body)?;
        match head[0] {
            b'D' => return Ok(Ok(String::from_utf8_lossy(body.get(6..).unwrap_or_default()).into_owned())),
            b'E' => return Ok(Err(format!("the router has no {what}, or is no arrowyard"))),
            // The first one lets us in.
            b'Z' if ready > 0 => return Ok(Err("it said nothing".to_string())),
            b'Z' => ready += 1,
            _ => {}
        }
    }
}
