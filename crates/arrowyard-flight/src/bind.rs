//! Parameters of prepared statements: finds them in the text and substitutes literals, since PostgreSQL's
//! simple query protocol cannot transfer them separately.

use arrow_array::cast::AsArray;
use arrow_array::types::{
    Float32Type, Float64Type, Int8Type, Int16Type, Int32Type, Int64Type, UInt8Type, UInt16Type, UInt32Type,
    UInt64Type,
};
use arrow_array::{Array, RecordBatch};
use arrow_schema::DataType;
use bytes::{Buf, BufMut, BytesMut};

use crate::status::CallError;

/// The maximum number of parameters of a statement.
const MAX_PARAMETERS: usize = 256;

/// The value of a parameter.
#[derive(Clone, Debug, PartialEq)]
pub enum Literal {
    Null,
    Bool(bool),
    /// An integer of any width, signed or unsigned.
    Int(i128),
    Float(f64),
    Text(String),
    Binary(Vec<u8>),
}

impl Literal {
    /// Appends the value as an SQL literal. Quotes in strings are doubled; a backslash is an ordinary
    /// character, as with PostgreSQL's `standard_conforming_strings`.
    fn write_sql(&self, out: &mut String) -> Result<(), CallError> {
        match self {
            Literal::Null => out.push_str("NULL"),
            Literal::Bool(true) => out.push_str("TRUE"),
            Literal::Bool(false) => out.push_str("FALSE"),
            // Without parentheses, `1-$1` with -2 would become `1--2`, which starts a comment.
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
            // A host would take the first NUL as the end of the statement.
            Literal::Text(text) if text.contains('\0') => {
                return Err(CallError::InvalidOp("a text parameter contains a NUL character".to_string()));
            }
            Literal::Text(text) => {
                out.push('\'');
                text.chars().for_each(|character| {
                    if character == '\'' {
                        out.push('\'');
                    }
                    out.push(character);
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

    /// Appends the value as it is encoded in the handle of a prepared statement.
    pub(crate) fn encode(&self, out: &mut BytesMut) {
        let mut put = |tag: u8, bytes: &[u8]| {
            out.put_u8(tag);
            out.put_u32(bytes.len() as u32);
            out.put_slice(bytes);
        };
        match self {
            Literal::Null => put(0, &[]),
            Literal::Bool(flag) => put(1, &[u8::from(*flag)]),
            Literal::Int(number) => put(2, &number.to_be_bytes()),
            Literal::Float(number) => put(3, &number.to_be_bytes()),
            Literal::Text(text) => put(4, text.as_bytes()),
            Literal::Binary(binary) => put(5, binary),
        }
    }

    /// Decodes the values in the handle of a prepared statement.
    pub(crate) fn decode_all(mut encoded: &[u8]) -> Option<Vec<Literal>> {
        let mut values = Vec::new();
        while !encoded.is_empty() {
            if encoded.len() < 5 || values.len() >= MAX_PARAMETERS {
                return None;
            }
            let (tag, length) = (encoded.get_u8(), encoded.get_u32() as usize);
            if encoded.len() < length {
                return None;
            }
            let (value, rest) = encoded.split_at(length);
            encoded = rest;
            values.push(match (tag, value) {
                (0, []) => Literal::Null,
                (1, [flag]) => Literal::Bool(*flag != 0),
                (2, number) => Literal::Int(i128::from_be_bytes(number.try_into().ok()?)),
                (3, number) => Literal::Float(f64::from_be_bytes(number.try_into().ok()?)),
                (4, text) => Literal::Text(String::from_utf8(text.to_vec()).ok()?),
                (5, binary) => Literal::Binary(binary.to_vec()),
                _ => return None,
            });
        }
        Some(values)
    }
}

/// Calls `on_parameter` with the number, start and end of each `$n` outside of quotes and comments.
fn for_each_parameter(
    text: &str,
    mut on_parameter: impl FnMut(usize, usize, usize) -> Result<(), CallError>,
) -> Result<(), CallError> {
    let bytes = text.as_bytes();
    let mut offset = 0;
    let position_after = |from: usize, delimiter: &str| {
        text[from..].find(delimiter).map_or(bytes.len(), |index| from + index + delimiter.len())
    };
    while offset < bytes.len() {
        let next_two = bytes.get(offset..offset + 2).unwrap_or_default();
        match bytes[offset] {
            // In an escape string, a backslash escapes a quote.
            b'\''
                if offset > 0
                    && matches!(bytes[offset - 1], b'e' | b'E')
                    && !(offset > 1 && is_name_byte(bytes[offset - 2])) =>
            {
                offset += 1;
                while offset < bytes.len() && bytes[offset] != b'\'' {
                    offset += if bytes[offset] == b'\\' { 2 } else { 1 };
                }
                offset += 1;
            }
            quote @ (b'\'' | b'"') => {
                // A doubled quote is read as the end of one string and the start of the next.
                let delimiter = if quote == b'\'' { "'" } else { "\"" };
                offset = position_after(offset + 1, delimiter);
            }
            _ if next_two == b"--" => offset = position_after(offset, "\n"),
            _ if next_two == b"/*" => {
                // Comments can be nested.
                let (mut depth, mut end) = (1, offset + 2);
                while depth > 0 && end < bytes.len() {
                    match bytes.get(end..end + 2) {
                        Some(b"/*") => (depth, end) = (depth + 1, end + 2),
                        Some(b"*/") => (depth, end) = (depth - 1, end + 2),
                        _ => end += 1,
                    }
                }
                offset = end;
            }
            b'$' => {
                let digits = bytes[offset + 1..].iter().take_while(|byte| byte.is_ascii_digit()).count();
                let end = offset + 1 + digits;
                // A `$` within a name is a part of the name.
                let in_name = offset > 0 && is_name_byte(bytes[offset - 1]);
                if digits > 0 && !in_name {
                    let number = text[offset + 1..end]
                        .parse()
                        .ok()
                        .filter(|number| (1..=MAX_PARAMETERS).contains(number));
                    let number = number.ok_or_else(|| {
                        CallError::InvalidOp(format!(
                            "a parameter is not in the range $1 to ${MAX_PARAMETERS}"
                        ))
                    })?;
                    on_parameter(number, offset, end)?;
                    offset = end;
                } else if !in_name && let Some(tag) = dollar_tag(&text[offset..]) {
                    offset = position_after(offset + tag.len(), tag);
                } else {
                    offset = end;
                }
            }
            _ => offset += 1,
        }
    }
    Ok(())
}

/// Whether the byte can be a part of an unquoted name.
fn is_name_byte(byte: u8) -> bool {
    byte.is_ascii_alphanumeric() || byte == b'_' || byte >= 0x80
}

/// The `$tag$` that starts a dollar-quoted string.
fn dollar_tag(text: &str) -> Option<&str> {
    let end = text[1..].find('$')? + 2;
    let name = &text[1..end - 1];
    name.bytes().all(is_name_byte).then_some(&text[..end])
}

/// The number of parameters of the statement, which is the highest `$n`.
///
/// # Errors
/// A parameter number is out of range.
pub fn parameter_count(text: &str) -> Result<usize, CallError> {
    let mut highest = 0;
    for_each_parameter(text, |number, _, _| {
        highest = highest.max(number);
        Ok(())
    })?;
    Ok(highest)
}

/// Replaces the parameters of the statement by the values.
///
/// # Errors
/// The number of values is not the number of parameters, or a value cannot be written as SQL.
pub fn substitute(text: &str, values: &[Literal]) -> Result<String, CallError> {
    let expected = parameter_count(text)?;
    if expected != values.len() {
        return Err(CallError::InvalidOp(format!(
            "the statement has {expected} parameters, but {} values are bound",
            values.len()
        )));
    }
    let (mut sql, mut copied_to) = (String::with_capacity(text.len()), 0);
    for_each_parameter(text, |number, start, end| {
        sql.push_str(&text[copied_to..start]);
        copied_to = end;
        values[number - 1].write_sql(&mut sql)
    })?;
    sql.push_str(&text[copied_to..]);
    Ok(sql)
}

/// The parameter values of a batch: one row with a column per parameter.
///
/// # Errors
/// The batch does not have exactly one row, has too many columns, or has a column of an unsupported type.
pub fn batch_literals(batch: &RecordBatch) -> Result<Vec<Literal>, CallError> {
    if batch.num_rows() != 1 || batch.num_columns() > MAX_PARAMETERS {
        return Err(CallError::InvalidOp(format!(
            "parameters must be bound as one row of at most {MAX_PARAMETERS} columns; the batch has {} rows",
            batch.num_rows()
        )));
    }
    batch.columns().iter().map(|column| column_literal(column)).collect()
}

/// The value in the first row of a column.
fn column_literal(column: &dyn Array) -> Result<Literal, CallError> {
    if column.is_null(0) {
        return Ok(Literal::Null);
    }
    macro_rules! number {
        ($primitive:ty) => {
            column.as_primitive::<$primitive>().value(0).into()
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
        unsupported => {
            return Err(CallError::InvalidOp(format!("parameters of type {unsupported} are not supported")));
        }
    })
}
