//! One batch of events in, one reply out, for all instances of this process.

use std::collections::HashMap;

use serde_json::Value;

use crate::router::{Instance, clock};
use crate::value::Fields;

/// How many numbers the wire has for lists.
const POOLS: usize = 16;

/// An instance's name and what runs under it: nothing after it was killed.
struct Seat {
    name: String,
    instance: Option<Instance>,
    touched: bool,
}

#[derive(Default)]
pub struct Process {
    seats: Vec<Seat>,
    numbers: HashMap<String, usize>,
    pools: Vec<Option<Vec<Value>>>,
}

impl Process {
    pub fn play(&mut self, line: &[u8], reply: &mut String) -> Result<(), String> {
        let mut batch: Value = serde_json::from_slice(line).map_err(|e| format!("batch: {e}"))?;
        let batch = batch.as_object_mut().ok_or("batch: not an object")?;
        let now = clock(batch)?;
        let Some(Value::Array(arrivals)) = batch.get_mut("arrivals") else {
            return Err("batch: arrivals is not an array".to_string());
        };
        self.pools.resize_with(POOLS, || None);
        let mut touched = Vec::new();
        for message in arrivals {
            let fields = Fields::of(message)?;
            if fields.name == "Pool" {
                let number = fields.small(0)? as usize;
                let records = fields.list(1)?.to_vec();
                *self.pools.get_mut(number).ok_or_else(|| fields.wrong(0, "a number from 0 to 15"))? =
                    Some(records);
                continue;
            }
            let seat = self.seat(fields)?;
            let Seat { instance, touched: seen, .. } = &mut self.seats[seat];
            match (fields.name, instance.as_mut()) {
                ("PowerOn", _) => *instance = Some(Instance::start(fields, now)?),
                // What it wanted earlier in this batch dies with it.
                ("CrashNow", _) => *instance = None,
                (_, Some(instance)) => {
                    if let Some(note) = instance.note(fields, &self.pools)? {
                        instance.take(now, note);
                    }
                }
                (_, None) => {}
            }
            if !std::mem::replace(seen, true) {
                touched.push(seat);
            }
        }
        reply.push_str(r#"{"outbox":["#);
        for seat in touched {
            let Seat { name, instance, touched } = &mut self.seats[seat];
            *touched = false;
            if let Some(instance) = instance {
                instance.speak(name, reply);
            }
        }
        reply.push_str("]}\n");
        Ok(())
    }

    fn seat(&mut self, fields: Fields) -> Result<usize, String> {
        let name = fields.text(0)?;
        if let Some(&seat) = self.numbers.get(name) {
            return Ok(seat);
        }
        if fields.name != "PowerOn" {
            return Err(format!("{}: {name} was never started", fields.name));
        }
        self.seats.push(Seat { name: name.to_string(), instance: None, touched: false });
        self.numbers.insert(name.to_string(), self.seats.len() - 1);
        Ok(self.seats.len() - 1)
    }
}

#[cfg(test)]
mod tests {
    #[test]
    fn an_op_of_an_unknown_type_is_malformed() {
        let line = br#"{"t":1,"arrivals":[["PowerOn","r",5,{}],["Request","r",7,0,null,0,0,null,null,9]]}"#;
        let told = super::Process::default().play(line, &mut String::new());
        assert_eq!(told, Err("Request: value 3 is not a place in grades".to_string()));
    }
}
