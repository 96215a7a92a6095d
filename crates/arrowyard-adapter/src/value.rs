//! Typed access to the values of a JSON message.

use serde_json::Value;

/// The values of one message, and its name for error messages.
#[derive(Clone, Copy)]
pub struct Fields<'a> {
    pub name: &'a str,
    pub values: &'a [Value],
}

impl<'a> Fields<'a> {
    pub fn parse(message: &'a Value) -> Result<Self, String> {
        let values = message.as_array().ok_or("a message is not an array")?;
        let name = values.first().and_then(Value::as_str).ok_or("a message has no name")?;
        Ok(Fields { name, values: &values[1..] })
    }

    pub fn type_error(&self, index: usize, expected: &str) -> String {
        format!("{}: value {} is not {expected}", self.name, index + 1)
    }

    pub fn get(&self, index: usize) -> Option<&'a Value> {
        self.values.get(index).filter(|value| !value.is_null())
    }

    fn read<T>(
        &self,
        index: usize,
        expected: &str,
        as_t: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<T, String> {
        self.get(index).and_then(as_t).ok_or_else(|| self.type_error(index, expected))
    }

    fn read_or_none<T>(
        &self,
        index: usize,
        expected: &str,
        as_t: impl Fn(&'a Value) -> Option<T>,
    ) -> Result<Option<T>, String> {
        self.get(index).map(|value| as_t(value).ok_or_else(|| self.type_error(index, expected))).transpose()
    }

    pub fn text(&self, index: usize) -> Result<&'a str, String> {
        self.read(index, "a text", Value::as_str)
    }

    pub fn u64(&self, index: usize) -> Result<u64, String> {
        self.read(index, "a whole number", Value::as_u64)
    }

    pub fn u32(&self, index: usize) -> Result<u32, String> {
        self.read(index, "a whole number", |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }

    pub fn u32_or_none(&self, index: usize) -> Result<Option<u32>, String> {
        self.read_or_none(index, "a whole number", |v| v.as_u64().and_then(|n| u32::try_from(n).ok()))
    }

    pub fn u64_or_none(&self, index: usize) -> Result<Option<u64>, String> {
        self.read_or_none(index, "a whole number", Value::as_u64)
    }

    pub fn f64(&self, index: usize) -> Result<f64, String> {
        self.read(index, "a number", Value::as_f64)
    }

    pub fn f64_or_none(&self, index: usize) -> Result<Option<f64>, String> {
        self.read_or_none(index, "a number", Value::as_f64)
    }

    pub fn bool(&self, index: usize) -> Result<bool, String> {
        self.read(index, "true or false", Value::as_bool)
    }

    pub fn list(&self, index: usize) -> Result<&'a [Value], String> {
        self.read(index, "an array", |v| v.as_array().map(Vec::as_slice))
    }

    /// A number in hex digits.
    pub fn hex_u64_or_none(&self, index: usize) -> Result<Option<u64>, String> {
        self.read_or_none(index, "a key of hex digits", |v| {
            v.as_str().and_then(|s| u64::from_str_radix(s, 16).ok())
        })
    }

    pub fn hex_bytes(&self, index: usize) -> Result<Vec<u8>, String> {
        self.read(index, "bytes in hex digits", |v| {
            let digits = v.as_str().filter(|s| s.is_ascii() && s.len() % 2 == 0)?;
            (0..digits.len()).step_by(2).map(|i| u8::from_str_radix(&digits[i..i + 2], 16).ok()).collect()
        })
    }

    pub fn object_or_none(&self, index: usize) -> Result<Option<&'a serde_json::Map<String, Value>>, String> {
        self.read_or_none(index, "an object", Value::as_object)
    }
}
