//! Batches of events for the router instances of this process, each answered with one reply.

use std::collections::HashMap;

use serde_json::Value;

use crate::router::{Instance, batch_time};
use crate::value::Fields;

/// Host lists are numbered from 0 to 15 on the wire.
const POOL_COUNT: usize = 16;

/// A named instance; `None` after a crash.
struct InstanceEntry {
    name: String,
    instance: Option<Instance>,
    seen_in_batch: bool,
}

/// All instances of this process, and the numbered host lists.
#[derive(Default)]
pub struct Process {
    entries: Vec<InstanceEntry>,
    indices_by_name: HashMap<String, usize>,
    pools: Vec<Option<Vec<Value>>>,
}

impl Process {
    /// Handles one line with a batch of events and appends the reply. An error means a malformed batch.
    pub fn handle_batch(&mut self, line: &[u8], reply: &mut String) -> Result<(), String> {
        let mut batch: Value = serde_json::from_slice(line).map_err(|e| format!("batch: {e}"))?;
        let batch = batch.as_object_mut().ok_or("batch: not an object")?;
        let now = batch_time(batch)?;
        let Some(Value::Array(arrivals)) = batch.get_mut("arrivals") else {
            return Err("batch: arrivals is not an array".to_string());
        };
        self.pools.resize_with(POOL_COUNT, || None);
        let mut touched = Vec::new();
        for message in arrivals {
            let fields = Fields::parse(message)?;
            if fields.name == "Pool" {
                let index = fields.u32(0)? as usize;
                let records = fields.list(1)?.to_vec();
                *self.pools.get_mut(index).ok_or_else(|| fields.type_error(0, "a number from 0 to 15"))? =
                    Some(records);
                continue;
            }
            let entry_index = self.entry_index(fields)?;
            let InstanceEntry { instance, seen_in_batch, .. } = &mut self.entries[entry_index];
            match (fields.name, instance.as_mut()) {
                ("PowerOn", _) => *instance = Some(Instance::start(fields, now)?),
                // Also drops the actions of earlier events of this batch.
                ("CrashNow", _) => *instance = None,
                (_, Some(instance)) => {
                    if let Some(event) = instance.parse_event(fields, &self.pools)? {
                        instance.handle(now, event);
                    }
                }
                (_, None) => {}
            }
            if !std::mem::replace(seen_in_batch, true) {
                touched.push(entry_index);
            }
        }
        reply.push_str(r#"{"outbox":["#);
        for entry_index in touched {
            let InstanceEntry { name, instance, seen_in_batch } = &mut self.entries[entry_index];
            *seen_in_batch = false;
            if let Some(instance) = instance {
                instance.write_actions(name, reply);
            }
        }
        reply.push_str("]}\n");
        Ok(())
    }

    fn entry_index(&mut self, fields: Fields) -> Result<usize, String> {
        let name = fields.text(0)?;
        if let Some(&entry_index) = self.indices_by_name.get(name) {
            return Ok(entry_index);
        }
        if fields.name != "PowerOn" {
            return Err(format!("{}: {name} was never started", fields.name));
        }
        self.entries.push(InstanceEntry { name: name.to_string(), instance: None, seen_in_batch: false });
        self.indices_by_name.insert(name.to_string(), self.entries.len() - 1);
        Ok(self.entries.len() - 1)
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn op_of_unknown_type_is_rejected() {
        let line = br#"{"t":1,"arrivals":[["PowerOn","r",5,{}],["Request","r",7,0,null,0,0,null,null,9]]}"#;
        let result = super::Process::default().handle_batch(line, &mut String::new());
        assert_eq!(result, Err("Request: value 3 is not an index into grades".to_string()));
    }
}
