//! What a router is told when it starts: its file, or the variables where the file is silent.

use std::env;
use std::net::SocketAddr;

use serde_json::{Map, Value};

use crate::list::HostList;

pub struct RouterConfig {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub seed: u64,
    pub memory_mb: usize,
    pub sockets: usize,
    /// The list of hosts that this router had last.
    pub host_list: Option<HostList>,
    pub settings: Map<String, Value>,
}

impl RouterConfig {
    pub fn load() -> Result<RouterConfig, String> {
        let path = env::var("RELAY_CONFIG").map_err(|e| format!("RELAY_CONFIG: {e}"))?;
        let text = std::fs::read(&path).map_err(|e| format!("{path}: {e}"))?;
        let told: Value = serde_json::from_slice(&text).map_err(|e| format!("{path}: {e}"))?;
        RouterConfig::from_json(&told, |name| env::var(name).ok())
    }

    pub fn from_json(
        told: &Value,
        variable: impl Fn(&str) -> Option<String>,
    ) -> Result<RouterConfig, String> {
        let text = |field: &str, name: &str| {
            let inside = told.get(field).and_then(Value::as_str).map(str::to_string);
            inside.or_else(|| variable(name)).ok_or_else(|| format!("neither {field} nor {name} is told"))
        };
        let address = |field: &str, name: &str| {
            text(field, name)?.parse().map_err(|e| format!("{field} is not an address: {e}"))
        };
        let limit = |name: &str, otherwise: u64| {
            let told = told.get("limits").and_then(|limits| limits.get(name)).and_then(Value::as_f64);
            told.map_or(otherwise, |number| number as u64) as usize
        };
        let seed = told.get("seed").and_then(Value::as_str).unwrap_or_default();
        let settings = told.get("settings").and_then(Value::as_object).ok_or("no settings are told")?;
        Ok(RouterConfig {
            name: text("name", "RELAY_NAME")?,
            listen: address("listen", "RELAY_LISTEN")?,
            discovery: address("discovery", "RELAY_DISCOVERY")?,
            seed: u64::from_str_radix(seed, 16).map_err(|e| format!("seed: {e}"))?,
            memory_mb: limit("memory_mb", 128),
            sockets: limit("sockets", 512),
            // Danger: a saved list that makes no sense keeps the router from starting. Discovery has a new one.
            host_list: told.get("known").and_then(|known| HostList::from_json(known).ok()),
            settings: settings.clone(),
        })
    }
}
