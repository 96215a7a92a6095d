//! The operator's configuration file, in protobuf text format with the schema `proto/yardbook.proto`. An
//! invalid file is rejected as a whole with all errors found, each with line, column, field and the expected
//! value.

mod layout;
mod positions;
mod scan;
mod validate;

use std::fmt;
use std::path::Path;

use prost::Message;
use prost_reflect::{DescriptorPool, DynamicMessage, MessageDescriptor};

pub use layout::{cell_layout, lease_settings, peer_settings, startup_settings};
pub use positions::{FieldPositions, Position};
pub use validate::validate;

/// The types generated from the schema.
#[allow(clippy::derive_partial_eq_without_eq)]
pub mod schema {
    include!(concat!(env!("OUT_DIR"), "/arrowyard.yardbook.rs"));
}

pub use schema::Yardbook;

/// One error in a file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConfigError {
    /// Where the field is in the file, or its nearest enclosing field if it is missing.
    pub position: Position,
    /// The field's path, as in `cells.cell[1].weight`; empty if the error belongs to no field.
    pub field: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Position { line, column } = self.position;
        match self.field.as_str() {
            "" => write!(f, "{line}:{column}: {}", self.message),
            field => write!(f, "{line}:{column}: {field}: {}", self.message),
        }
    }
}

/// The maximum size of a file, in bytes.
pub const MAX_FILE_BYTES: u64 = 64 * 1024 * 1024;

fn root_descriptor() -> MessageDescriptor {
    let pool = DescriptorPool::decode(&include_bytes!(concat!(env!("OUT_DIR"), "/yardbook.bin"))[..]);
    let pool = pool.expect("the embedded schema is valid");
    pool.get_message_by_name("arrowyard.yardbook.Yardbook").expect("the schema contains the root message")
}

/// Parses and validates the text of a file.
///
/// # Errors
/// The errors found, sorted by position. Values are validated only if the text can be parsed.
pub fn parse(text: &str) -> Result<Yardbook, Vec<ConfigError>> {
    let root_descriptor = root_descriptor();
    let (positions, mut errors) = scan::scan(text, &root_descriptor);
    if !errors.is_empty() {
        errors.sort();
        return Err(errors);
    }
    let message = DynamicMessage::parse_text_format(root_descriptor, text);
    let message = message.map_err(|error| vec![positions::parse_error(text, &error)])?;
    let config = message.transcode_to::<Yardbook>().expect("both types are generated from one schema");
    let mut errors = validate(&config, &positions);
    if errors.is_empty() {
        return Ok(config);
    }
    errors.sort();
    Err(errors)
}

/// Loads a file.
///
/// # Errors
/// A report, one line per error with the file's name: the file cannot be read, is too large, is not text or
/// is invalid.
pub fn load(path: &Path) -> Result<Yardbook, String> {
    let name = path.display();
    let size = std::fs::metadata(path).map_err(|error| format!("{name}: {error}"))?.len();
    if size > MAX_FILE_BYTES {
        return Err(format!("{name}: {size} bytes; at most {MAX_FILE_BYTES} are allowed"));
    }
    let bytes = std::fs::read(path).map_err(|error| format!("{name}: {error}"))?;
    let text = String::from_utf8(bytes).map_err(|error| format!("{name}: not UTF-8 text: {error}"))?;
    parse(&text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(|error| format!("{name}:{error}")).collect();
        lines.join("\n")
    })
}

/// The configuration in protobuf's binary form, for comparing two configurations.
pub fn fingerprint(config: &Yardbook) -> Vec<u8> {
    config.encode_to_vec()
}
