//! Typed reading of the wire's JSON values.

use serde_json::Value;

/// The values of one message, by their place, with its name for the complaint when one is wrong.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    pub name: &'a str,
    pub values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub fn of(message: &'a Value) -> Result<Self, String> {
        let values = message.as_array().ok_or("a message is not an array")?;
        let name = values.first().and_then(Value::as_str).ok_or("a message has no name")?;
        Ok(Fields { name, values: &values[1..] })
    }

    pub fn wrong(&self, place: usize, wanted: &str) -> String {
        format!("{}: value {} is not {wanted}", self.name, place + 1)
    }

    pub fn get(&self, place: usize) -> Option<&'a Value> {
        self.values.get(place).filter(|value| !value.is_null())
    }

    fn read<T>(
        &self,
        place: usize,
        wanted: &str,
        as_t: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        self.get(place).and_then(as_t).ok_or_else(|| self.wrong(place, wanted))
    }

    fn read_opt<T>(
        &self,
        place: usize,
        wanted: &str,
        as_t: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, String> {
        self.get(place).map(|value| as_t(value).ok_or_else(|| self.wrong(place, wanted))).transpose()
    }

    pub fn text(&self, place: usize) -> Result<&'a str, String> {
        self.read(place, "a text", Value::as_str)
    }

    pub fn whole(&self, place: usize) -> Result<u64, String> {
        self.read(place, "a whole number", Value::as_u64)
    }

    pub fn small(&self, place: usize) -> Result<u32, String> {
        self.read(place, "a whole number", |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }

    pub fn small_or_none(&self, place: usize) -> Result<Option<u32>, String> {
        self.read_opt(place, "a whole number", |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }

    pub fn whole_or_none(&self, place: usize) -> Result<Option<u64>, String> {
        self.read_opt(place, "a whole number", Value::as_u64)
    }

    pub fn number(&self, place: usize) -> Result<f64, String> {
        self.read(place, "a number", Value::as_f64)
    }

    pub fn number_or_none(&self, place: usize) -> Result<Option<f64>, String> {
        self.read_opt(place, "a number", Value::as_f64)
    }

    pub fn truth(&self, place: usize) -> Result<bool, String> {
        self.read(place, "true or false", Value::as_bool)
    }

    pub fn list(&self, place: usize) -> Result<&'a [Value], String> {
        self.read(place, "an array", |v| v.as_array().map(Vec::as_slice))
    }

    /// A key of hex digits.
    pub fn key_or_none(&self, place: usize) -> Result<Option<u64>, String> {
        self.read_opt(place, "a key of hex digits", |v| {
            v.as_str().and_then(|s| u64::from_str_radix(s, 16).ok())
        })
    }

    pub fn bytes(&self, place: usize) -> Result<Vec<u8>, String> {
        self.read(place, "bytes in hex digits", |v| {
            let digits = v.as_str().filter(|s| s.is_ascii() && s.len() % 2 == 0)?;
            (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).ok()).collect()
        })
    }

    /// A load report: an object, or nothing.
    pub fn report(&self, place: usize) -> Result<Option<&'a serde_json::Map<String, Value>>, String> {
        self.read_opt(place, "an object", Value::as_object)
    }
}
