//! Heartbeats of hosts, described in `openapi/control.yaml`.

use std::net::SocketAddrV4;

use arrowyard_messages::{DbRole, Host, Phase, ip_to_u32};
use sonic_rs::{JsonValueTrait, Value};

/// Whether a text can be a field of a line: no blank or control character ends the field or the line.
fn is_word(text: &str) -> bool {
    !text.is_empty() && !text.contains(|c: char| c.is_whitespace() || c.is_control())
}

/// Parses the body of a heartbeat.
///
/// # Errors
/// The field that is not valid, and why. Safety: the id and the service become fields of lines that are sent to
/// hosts; one that ended such a line would let a sender of heartbeats send statements to hosts.
pub fn parse_heartbeat(id: &str, body: &[u8]) -> Result<Host, &'static str> {
    if !is_word(id) {
        return Err("id: is no word.");
    }
    let document: Value = sonic_rs::from_slice(body).map_err(|_| "The body is no JSON.")?;
    let text = |field: &str| document.pointer([field]).and_then(|value| value.as_str()).map(str::to_string);
    let count = |field: &str| document.pointer([field]).and_then(|value| value.as_f64());
    let address: SocketAddrV4 =
        text("address").and_then(|address| address.parse().ok()).ok_or("address: is no address.")?;
    let phase = match text("phase").as_deref() {
        Some("draining") => Phase::Draining,
        Some("in_service") | None => Phase::InService,
        Some(_) => return Err("phase: is no phase."),
    };
    let role = if text("db-role").as_deref() == Some("primary") { DbRole::Primary } else { DbRole::Replica };
    Ok(Host {
        id: id.to_string(),
        service: text("service").filter(|service| is_word(service)).ok_or("service: is no word.")?,
        ip: ip_to_u32(*address.ip()),
        port: address.port().into(),
        zone: text("zone").unwrap_or_default(),
        capacity: count("capacity").unwrap_or(1.0).clamp(1.0, 1e6) as u32,
        phase: phase.into(),
        role: role.into(),
        call_seq: count("call-seq").unwrap_or(0.0).max(0.0) as u64,
    })
}
