//! Parameters of prepared statements: found in the text, and put there as literals. Hosts of PostgreSQL's simple
//! protocol have no other place for them.

use arrow_array::cast::AsArray;
use arrow_array::types::{
    Float32Type, Float64Type, Int8Type, Int16Type, Int32Type, Int64Type, UInt8Type, UInt16Type, UInt32Type,
    UInt64Type,
};
use arrow_array::{Array, RecordBatch};
use arrow_schema::DataType;
use bytes::{Buf, BufMut, BytesMut};

use crate::status::Fault;

/// Parameters of a statement at most.
const MOST: usize = 256;

/// One value that stands for a parameter.
#[derive(Clone, Debug, PartialEq)]
pub enum Literal {
    Null,
    Bool(bool),
    /// Of every width, signed or not.
    Int(i128),
    Float(f64),
    Text(String),
    Binary(Vec<u8>),
}

impl Literal {
    /// As SQL text. A quote within text is doubled; a backslash is one character of it, as
    /// `standard_conforming_strings` says.
    fn put(&self, out: &mut String) -> Result<(), Fault> {
        match self {
            Literal::Null => out.push_str("NULL"),
            Literal::Bool(true) => out.push_str("TRUE"),
            Literal::Bool(false) => out.push_str("FALSE"),
            // Danger: `1-$1` with -2 in its place is a comment.
            Literal::Int(number) if *number < 0 => out.push_str(&format!("({number})")),
            Literal::Int(number) => out.push_str(&number.to_string()),
            Literal::Float(number) if !number.is_finite() => {
                out.push_str(&format!(
                    "'{}'::float8",
                    if number.is_nan() {
                        "NaN"
                    } else if *number > 0.0 {
                        "Infinity"
                    } else {
                        "-Infinity"
                    }
                ));
            }
            Literal::Float(number) => out.push_str(&format!("({number:?})")),
            // Danger: the text that a host reads ends at its first NUL.
            Literal::Text(text) if text.contains('\0') => {
                return Err(Fault::NoOp("a parameter's text holds a NUL".to_string()));
            }
            Literal::Text(text) => {
                out.push('\'');
                text.chars().for_each(|c| {
                    if c == '\'' {
                        out.push('\'');
                    }
                    out.push(c);
                });
                out.push('\'');
            }
            Literal::Binary(bytes) => {
                out.push_str("'\\x");
                bytes.iter().for_each(|byte| out.push_str(&format!("{byte:02x}")));
                out.push('\'');
            }
        }
        Ok(())
    }

    pub(crate) fn pack(&self, out: &mut BytesMut) {
        let mut bytes = |kind: u8, bytes: &[u8]| {
            out.put_u8(kind);
            out.put_u32(bytes.len() as u32);
            out.put_slice(bytes);
        };
        match self {
            Literal::Null => bytes(0, &[]),
            Literal::Bool(told) => bytes(1, &[u8::from(*told)]),
            Literal::Int(number) => bytes(2, &number.to_be_bytes()),
            Literal::Float(number) => bytes(3, &number.to_be_bytes()),
            Literal::Text(text) => bytes(4, text.as_bytes()),
            Literal::Binary(binary) => bytes(5, binary),
        }
    }

    pub(crate) fn unpack_all(mut packed: &[u8]) -> Option<Vec<Literal>> {
        let mut all = Vec::new();
        while !packed.is_empty() {
            if packed.len() < 5 || all.len() >= MOST {
                return None;
            }
            let (kind, length) = (packed.get_u8(), packed.get_u32() as usize);
            if packed.len() < length {
                return None;
            }
            let (value, rest) = packed.split_at(length);
            packed = rest;
            all.push(match (kind, value) {
                (0, []) => Literal::Null,
                (1, [told]) => Literal::Bool(*told != 0),
                (2, number) => Literal::Int(i128::from_be_bytes(number.try_into().ok()?)),
                (3, number) => Literal::Float(f64::from_be_bytes(number.try_into().ok()?)),
                (4, text) => Literal::Text(String::from_utf8(text.to_vec()).ok()?),
                (5, binary) => Literal::Binary(binary.to_vec()),
                _ => return None,
            });
        }
        Some(all)
    }
}

/// Walks the text outside of quotes and comments; `found` is told each `$n`, where it begins and where it ends.
fn walk(text: &str, mut found: impl FnMut(usize, usize, usize) -> Result<(), Fault>) -> Result<(), Fault> {
    let bytes = text.as_bytes();
    let mut at = 0;
    let after =
        |from: usize, end: &str| text[from..].find(end).map_or(bytes.len(), |place| from + place + end.len());
    while at < bytes.len() {
        let two = bytes.get(at..at + 2).unwrap_or_default();
        match bytes[at] {
            // In an escape string a backslash keeps a quote within.
            b'\''
                if at > 0 && matches!(bytes[at - 1], b'e' | b'E') && !(at > 1 && is_name(bytes[at - 2])) =>
            {
                at += 1;
                while at < bytes.len() && bytes[at] != b'\'' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
            }
            quote @ (b'\'' | b'"') => {
                // A doubled quote ends one text and begins the next, which comes to the same.
                let end = if quote == b'\'' { "'" } else { "\"" };
                at = after(at + 1, end);
            }
            _ if two == b"--" => at = after(at, "\n"),
            _ if two == b"/*" => {
                // Comments nest.
                let (mut depth, mut place) = (1, at + 2);
                while depth > 0 && place < bytes.len() {
                    match bytes.get(place..place + 2) {
                        Some(b"/*") => (depth, place) = (depth + 1, place + 2),
                        Some(b"*/") => (depth, place) = (depth - 1, place + 2),
                        _ => place += 1,
                    }
                }
                at = place;
            }
            b'$' => {
                let digits = bytes[at + 1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
                let end = at + 1 + digits;
                // A `$` within a name is a part of it.
                let within = at > 0 && is_name(bytes[at - 1]);
                if digits > 0 && !within {
                    let number = text[at + 1..end].parse().ok().filter(|number| (1..=MOST).contains(number));
                    let number =
                        number.ok_or_else(|| Fault::NoOp(format!("a parameter is none of $1 to ${MOST}")))?;
                    found(number, at, end)?;
                    at = end;
                } else if !within && let Some(tag) = dollar_tag(&text[at..]) {
                    at = after(at + tag.len(), tag);
                } else {
                    at = end;
                }
            }
            _ => at += 1,
        }
    }
    Ok(())
}

fn is_name(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}

/// The `$tag$` with which a quoted text begins.
fn dollar_tag(text: &str) -> Option<&str> {
    let end = text[1..].find('$')? + 2;
    let name = &text[1..end - 1];
    name.bytes().all(is_name).then_some(&text[..end])
}

/// How many parameters the statement has: the highest `$n`.
///
/// # Errors
/// A number that is none.
pub fn count(text: &str) -> Result<usize, Fault> {
    let mut most = 0;
    walk(text, |number, _, _| {
        most = most.max(number);
        Ok(())
    })?;
    Ok(most)
}

/// The statement with the values in the places of its parameters.
///
/// # Errors
/// There are more or fewer values than parameters, or one has no SQL text.
pub fn put(text: &str, values: &[Literal]) -> Result<String, Fault> {
    let parameters = count(text)?;
    if parameters != values.len() {
        return Err(Fault::NoOp(format!(
            "the statement has {parameters} parameters, and {} are bound",
            values.len()
        )));
    }
    let (mut whole, mut done) = (String::with_capacity(text.len()), 0);
    walk(text, |number, from, to| {
        whole.push_str(&text[done..from]);
        done = to;
        values[number - 1].put(&mut whole)
    })?;
    whole.push_str(&text[done..]);
    Ok(whole)
}

/// The values of a batch of parameters: one row, a column each.
///
/// # Errors
/// It has another number of rows, or a column of a type that has no SQL text here.
pub fn literals(batch: &RecordBatch) -> Result<Vec<Literal>, Fault> {
    if batch.num_rows() != 1 || batch.num_columns() > MOST {
        return Err(Fault::NoOp(format!("parameters come as one row, not {}", batch.num_rows())));
    }
    batch.columns().iter().map(|column| literal(column)).collect()
}

fn literal(column: &dyn Array) -> Result<Literal, Fault> {
    if column.is_null(0) {
        return Ok(Literal::Null);
    }
    macro_rules! number {
        ($kind:ty) => {
            column.as_primitive::<$kind>().value(0).into()
        };
    }
    Ok(match column.data_type() {
        DataType::Null => Literal::Null,
        DataType::Boolean => Literal::Bool(column.as_boolean().value(0)),
        DataType::Int8 => Literal::Int(number!(Int8Type)),
        DataType::Int16 => Literal::Int(number!(Int16Type)),
        DataType::Int32 => Literal::Int(number!(Int32Type)),
        DataType::Int64 => Literal::Int(number!(Int64Type)),
        DataType::UInt8 => Literal::Int(number!(UInt8Type)),
        DataType::UInt16 => Literal::Int(number!(UInt16Type)),
        DataType::UInt32 => Literal::Int(number!(UInt32Type)),
        DataType::UInt64 => Literal::Int(number!(UInt64Type)),
        DataType::Float32 => Literal::Float(number!(Float32Type)),
        DataType::Float64 => Literal::Float(number!(Float64Type)),
        DataType::Utf8 => Literal::Text(column.as_string::<i32>().value(0).to_string()),
        DataType::LargeUtf8 => Literal::Text(column.as_string::<i64>().value(0).to_string()),
        DataType::Utf8View => Literal::Text(column.as_string_view().value(0).to_string()),
        DataType::Binary => Literal::Binary(column.as_binary::<i32>().value(0).to_vec()),
        DataType::LargeBinary => Literal::Binary(column.as_binary::<i64>().value(0).to_vec()),
        other => return Err(Fault::NoOp(format!("a parameter of type {other} is not taken"))),
    })
}
